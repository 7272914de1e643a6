"""Circuits between exchanges, seized from both ends, and notices of them to the proxies at both ends."""

from collections.abc import Callable

from ..standins.day_plan import DayPlan
from .engine import SECOND, Engine

LOOK = 400  # tenths of a millisecond between an exchange's looks at its groups


class Groups:
    """`tell(here, number, free, size)` reaches the proxy of `here`."""

    def __init__(self, engine: Engine, plan: DayPlan, tell: Callable[[int, int, int, int], None]) -> None:
        self.engine, self.plan, self.tell = engine, plan, tell
        self.count = plan.day.exchanges
        self.held: dict[tuple[int, int], int] = {}
        self.dirty: list[set[int]] = [set() for _ in range(self.count)]
        self.looking = [False] * self.count
        self.varies = any(strike.fault.kind == "groups-shrink" for strike in plan.scheduled_faults)

    def size(self, a: int, b: int) -> int:
        if self.varies:
            return self.plan.group_size(a, b, self.engine.now / SECOND)
        return self.plan.group_sizes[(a, b) if a < b else (b, a)]

    def free(self, a: int, b: int) -> int:
        return self.size(a, b) - self.held.get((a, b) if a < b else (b, a), 0)

    def seize(self, a: int, b: int, width: int) -> bool:
        """Take circuits, if there are as many."""
        if self.free(a, b) < width:
            return False
        self._change(a, b, width)
        return True

    def release(self, a: int, b: int, width: int) -> None:
        self._change(a, b, -width)

    def changed(self, a: int, b: int) -> None:
        """A size has changed."""
        self._notice(a, b)
        self._notice(b, a)

    def _change(self, a: int, b: int, width: int) -> None:
        pair = (a, b) if a < b else (b, a)
        self.held[pair] = self.held.get(pair, 0) + width
        self._notice(a, b)
        self._notice(b, a)

    def _notice(self, here: int, number: int) -> None:
        self.dirty[here].add(number)
        if not self.looking[here]:
            self.looking[here] = True
            self.engine.at(self.engine.now - self.engine.now % LOOK + LOOK, self._look, here)

    def _look(self, here: int) -> None:
        self.looking[here] = False
        changed = sorted(self.dirty[here])
        self.dirty[here].clear()
        for number in changed:
            self.tell(here, number, max(0, self.free(here, number)), self.size(here, number))
