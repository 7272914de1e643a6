"""Two calls of one client stand at one switch; nothing else goes on, and the proxy closes the client's connection, which rests. Then the
switch releases the first call. 2 s later the proxy is restarted as planned (SIGTERM, and SIGKILL 3.7 s later if it still runs). When it
is ready the client connects, names both calls (`at`) and sends a set-up. With TROUBLE=0 the proxy is not restarted, and the client
connects at the same time."""

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins2 import BROKEN, HELD, TROUBLE, Bus, Caller, Proxy, Switch, run_case  # noqa: E402

LIMIT = 8.05  # seconds from the end of a call to its release towards the client, where no release could be sent before
WAIT = 12.0
KILL_AFTER = 3.7  # seconds after SIGTERM


def name(caller, id, switch):
    caller.send(
        type="setup", id=id, sdp="x",
        fields={"class": "part-lookup", "key": "7f3a9c21e0b4d655", "extras": f"dest:1;width:1;via:-1;at:{switch.uid}"},
    )


async def case(record):
    bus = await Bus(record).start()
    switches = [await Switch(record, f"s-{number:08x}", number, hold=1.0 if number == 2 else None).start() for number in range(4)]
    switch = switches[1]
    bus.tell([switch.entry() for switch in switches], whole=True)
    proxy = Proxy(record, bus.address, {"offset": 1, "batch": bus.events[:1]}).start()
    try:
        await proxy.ready()
        caller = await Caller(record, "caller").open(proxy.address)
        ids = [caller.set_up(1) for _ in range(2)]
        for id in ids:
            if await caller.wait_for(id, "answer") is None:
                raise RuntimeError("a call did not stand")
        until = record.now() + 12.0
        while caller.ended_at is None and record.now() < until:
            await asyncio.sleep(0.05)
        if caller.ended_at is None:
            record("script", "the proxy keeps the client's connection: the client closes it")
            caller.close()
        await asyncio.sleep(1.0)
        ended_at = switch.end_call(ids[0])
        await asyncio.sleep(2.0)
        if TROUBLE:
            record("script", "SIGTERM")
            proxy.process.send_signal(signal.SIGTERM)
            term_at = record.now()
            while proxy.is_running() and record.now() < term_at + KILL_AFTER:
                await asyncio.sleep(0.01)
            proxy.process.kill()
            proxy.process.wait()
            record("script", f"the proxy ended {record.now() - term_at:.2f} s after SIGTERM; it is started again")
            proxy.start()
            await proxy.ready()
        else:
            await asyncio.sleep(1.5)
        again = await Caller(record, "caller again").open(proxy.address)
        told_at = record.now()
        if told_at - ended_at > 6.0:
            raise RuntimeError("the client came back too late for a verdict")
        for id in ids:
            name(again, id, switch)
        while record.now() < ended_at + WAIT:
            if again.ended_at is None:
                again.set_up(2)
            await asyncio.sleep(1.0)
        # That the second call is still released shows that releases reach the client.
        second_ended_at = switch.end_call(ids[1])
        second = await again.wait_for(ids[1], "release", timeout=2.0)
        first = again.of(ids[0], "release")
        second_text = f"the other call's came {second[0] - second_ended_at:.2f} s after its end" if second else "nor was the other call"
        if first and first[0][0] - ended_at <= LIMIT:
            return HELD, f"released {first[0][0] - ended_at:.2f} s after its end; {second_text}"
        return BROKEN, (
            f"not released towards its client within {LIMIT} s of its end, nor within {record.now() - ended_at:.0f} s, though the client "
            f"was connected and had named it {told_at - ended_at:.1f} s after its end; {second_text}"
        )
    finally:
        proxy.stop()


run_case(HERE, case)
