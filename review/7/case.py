"""A switch's answers arrive in two pieces, 50 ms apart, as TCP may deliver them. The Content-Length of every third one doesn't fit: it
ends with the second of the three lines of the description. With TROUBLE=0 the same pieces come with the right length."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins2 import BROKEN, HELD, TROUBLE, Bus, Caller, Proxy, Switch, run_case, sip  # noqa: E402

CALLS = 6


async def case(record):
    bus = await Bus(record).start()
    switches = [await Switch(record, f"s-{number:08x}", number).start() for number in range(4)]

    def on_invite(switch, connection, message):
        text = switch.description(message.id)
        whole = sip("SIP/2.0 200 OK", message.id, "INVITE", switch.report(), text)
        cut = len(text) - len(text.splitlines(keepends=True)[-1])
        if TROUBLE and len(switch.invites) % 3 == 1:
            whole = whole.replace(b"Content-Length: %d" % len(text), b"Content-Length: %d" % cut)
        first, rest = whole[: len(whole) - (len(text) - cut)], whole[len(whole) - (len(text) - cut) :]
        switch.stands(connection, message.id)
        connection.send(first)
        record(switch.uid, f"the rest follows in 50 ms: {rest!r}")
        switch.later(0.05, connection.writer.write, rest)

    switches[1].on_invite = on_invite
    bus.tell([switch.entry() for switch in switches], whole=True)
    proxy = Proxy(record, bus.address, {"offset": 1, "batch": bus.events[:1]}).start()
    try:
        await proxy.ready()
        caller = await Caller(record, "caller").open(proxy.address)
        wrong = 0
        for _ in range(CALLS):
            id = caller.set_up(1, left=1500)
            found = await caller.wait_for(id, "answer", "release", timeout=3.0)
            made = [text for switch in switches for text in switch.answers.get(id, [])]
            if found is not None and found[1]["type"] == "answer" and found[1]["sdp"] not in made:
                wrong += 1
                record("script", f"{id}: served with {found[1]['sdp']!r}, but the switches made {made!r}")
            await asyncio.sleep(0.3)
        if wrong:
            return BROKEN, f"{wrong} of {CALLS} calls were answered 'served' with a description that no switch made"
        return HELD, f"none of {CALLS} calls was answered with a description that no switch made"
    finally:
        proxy.stop()


run_case(HERE, case)
