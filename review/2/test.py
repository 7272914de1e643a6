"""A switch process dies under calls that stand; a new switch is started at its address, under a new id.

With TROUBLE=0 the new switch has an address of its own.
"""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from peers import Bus, Front, Proxy, Switch, listed, run

EXCHANGES = 5
GAP = 1.0  # seconds from the death of the old process to the start of the new one
NOTICE = 1.0  # seconds after which the list tells of both: 0.84 to 5 for an end, 0.21 to 2.5 for a start
CALLS = 5
OWED = 8.0 + 0.05  # seconds after the end of a call in which it has to be released towards its caller


def test(record, folder, trouble):
    switches = [Switch(f"s-{number:08x}", number, record, hold=60) for number in range(1, EXCHANGES)]
    bus = Bus(record)
    bus.publish(listed(Switch("s-00000000", 0, record)), *map(listed, switches), whole=True)
    proxy = Proxy(record, folder, bus)
    proxy.start()
    front = Front(proxy.address, record)
    if not front.ping():
        return None
    old = switches[0]
    ids = [front.set_up(old.number) for _ in range(CALLS)]
    if not front.wait(lambda: all(front.calls[id]["answers"] for id in ids), 5):
        return None

    def callers_go_on(seconds):
        """A call each second to another exchange: callers are connected all the time."""
        until = time.time() + seconds
        while time.time() < until:
            front.set_up(2)
            time.sleep(min(1.0, max(0.0, until - time.time())))

    callers_go_on(3)
    old.die()
    died = time.time()
    callers_go_on(GAP)
    new = Switch("s-000000a1", old.number, record, hold=60, address=old.address if trouble else ("127.0.0.1", 0))
    boot_ms = int(time.time() * 1000)
    record(new.uid, f"starts at {new.address[0]}:{new.address[1]}")
    callers_go_on(max(0.0, died + GAP + NOTICE - time.time()))
    bus.publish(listed(old, "terminated"), listed(new, boot_ms=boot_ms))
    callers_go_on(max(0.0, died + OWED + 4 - time.time()))
    breaches = [] if proxy.process.poll() is None else ["the proxy has ended"]
    with front.lock:
        for id in ids:
            over = old.ended[id][0]
            releases = [at for at, _ in front.calls[id]["releases"]]
            if not releases or min(releases) > over + OWED:
                after = f"{min(releases) - over:.2f} s" if releases else f"never, in {time.time() - over:.1f} s"
                breaches.append(f"call {id} was cut when its switch died; released towards its caller: {after}")
    proxy.stop()
    return breaches


run(test, Path(__file__).with_name("record.txt"))
