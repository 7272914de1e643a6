"""A client asks once and keeps its connection for good. Its call stands for 12 s, then the switch ends it. Where the proxy closes
the client's connection, the client opens another one and sends a test on it. With TROUBLE=0 the same client sends a set-up
every 2 s, so that its connection does not rest."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins2 import BROKEN, HELD, TROUBLE, Bus, Caller, Proxy, Switch, new_id, run_case  # noqa: E402

HOLD = 12.0  # seconds for which the call stands
LIMIT = 8.05  # seconds from the end of a call to its release towards the client, where no release could be sent before
WAIT = 10.0


async def case(record):
    bus = await Bus(record).start()
    switches = [await Switch(record, f"s-{number:08x}", number).start() for number in range(4)]
    bus.tell([switch.entry() for switch in switches], whole=True)
    proxy = Proxy(record, bus.address, {"offset": 1, "batch": bus.events[:1]}).start()
    try:
        await proxy.ready()
        caller = await Caller(record, "caller").open(proxy.address)
        id = caller.set_up(1)
        if await caller.wait_for(id, "answer") is None:
            raise RuntimeError("the call did not stand")
        answered_at = record.now()
        callers = [caller]

        async def keep_open():
            if callers[-1].ended_at is not None:
                callers.append(await Caller(record, f"caller again ({len(callers)})").open(proxy.address))
                callers[-1].send(type="ping", id=new_id(), fields={}, cause=0)

        next_set_up = answered_at + 2.0
        while record.now() < answered_at + HOLD:
            await asyncio.sleep(0.05)
            await keep_open()
            if not TROUBLE and record.now() >= next_set_up:
                next_set_up += 2.0
                callers[-1].set_up(2)
        ended_at = switches[1].end_call(id)
        while record.now() < ended_at + WAIT:
            await keep_open()
            await asyncio.sleep(0.05)
        releases = [at for connection in callers for at, _ in connection.of(id, "release")]
        if releases and releases[0] - ended_at <= LIMIT:
            return HELD, f"released {releases[0] - ended_at:.3f} s after the switch's release"
        ends = [round(connection.ended_at - ended_at, 1) for connection in callers if connection.ended_at is not None]
        return BROKEN, (
            f"the call was not released towards its client within {LIMIT} s of the switch's release, nor within {WAIT} s; "
            f"the client had {len(callers)} connections, which the proxy closed at {ends} s from the release"
        )
    finally:
        proxy.stop()


run_case(HERE, case)
