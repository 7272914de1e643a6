"""A planned restart while a switch drains: the switch ends its drain before the next process is up.

Callers name the calls that stand (`at`) to the next process. With TROUBLE=0 the proxy restarts, and no switch drains.
"""

import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from peers import Bus, Front, Proxy, Switch, listed, run

EXCHANGES = 5
HOLD = 14.0  # seconds
CALLS = 3
NOTICE = 0.9  # seconds after which the list tells of the switch's end: 0.84 to 5
OWED_AFTER_END = 8.0 + 0.05  # seconds after the end of a call, if no release could be sent
OWED_AFTER_RELEASE = 1.0 + 0.05  # seconds after the release by the switch


def test(record, folder, trouble):
    switches = [Switch(f"s-{number:08x}", number, record, hold=HOLD) for number in range(1, EXCHANGES)]
    bus = Bus(record)
    bus.publish(listed(Switch("s-00000000", 0, record)), *map(listed, switches), whole=True)
    proxy = Proxy(record, folder, bus)
    proxy.start()
    front = Front(proxy.address, record)
    if not front.ping():
        return None
    draining, other = switches[:2]
    ids = [front.set_up(draining.number) for _ in range(CALLS)] + [front.set_up(other.number)]
    if not front.wait(lambda: all(front.calls[id]["answers"] for id in ids), 5):
        return None
    if trouble:
        bus.publish(listed(draining, "terminating"))
    time.sleep(1)
    proxy.signal(signal.SIGTERM)
    if proxy.wait(8) is None:
        return None
    if trouble:
        draining.die()
        time.sleep(NOTICE)
        bus.publish(listed(draining, "terminated"))
    proxy.start()
    if not front.ping():
        return None
    for id in ids:
        front.announce(id, (draining if id in ids[:CALLS] else other).uid)
    announced = time.time()
    if trouble and announced > max(draining.ended[id][0] for id in ids[:CALLS]) + OWED_AFTER_END / 2:
        return None  # the new process was ready too late to be blamed
    while time.time() < announced + HOLD:  # callers are connected all the time
        front.set_up(3)
        time.sleep(1)
    breaches = [] if proxy.process.poll() is None else ["the proxy has ended"]
    over = {id: end for switch in (draining, other) for id, end in switch.ended.items()}
    with front.lock:
        for id in ids:
            at, why = over[id]
            owed = OWED_AFTER_RELEASE if "released by the switch" in why else OWED_AFTER_END
            releases = [when for when, _ in front.calls[id]["releases"]]
            if not releases or min(releases) > at + owed:
                after = f"{min(releases) - at:.2f} s" if releases else f"never, in {time.time() - at:.1f} s"
                breaches.append(
                    f"call {id} was over ({why}), named to the new process {announced - at:.2f} s later; "
                    f"released towards its caller: {after}"
                )
    proxy.stop()
    return breaches


run(test, Path(__file__).with_name("record.txt"))
