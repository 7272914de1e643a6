"""Trunk groups between exchanges: circuits are seized from either end, and the proxies at both ends receive periodic reports."""

from collections.abc import Callable

from ..standins.day_plan import DayPlan
from .engine import SECOND, Engine

REPORT_INTERVAL = 400  # tenths of a millisecond between two checks of an exchange for changed groups


class TrunkGroups:
    """Occupancy of all trunk groups.

    `report(exchange, other, free, size)` is called for the proxy of `exchange` when the group to `other` has changed.
    """

    def __init__(self, engine: Engine, plan: DayPlan, report: Callable[[int, int, int, int], None]) -> None:
        self.engine, self.plan, self.report = engine, plan, report
        self.exchange_count = plan.day.exchanges
        self.seized: dict[tuple[int, int], int] = {}
        self.changed: list[set[int]] = [set() for _ in range(self.exchange_count)]
        self.check_scheduled = [False] * self.exchange_count
        self.sizes_vary = any(scheduled.fault.kind == "groups-shrink" for scheduled in plan.scheduled_faults)

    def size(self, a: int, b: int) -> int:
        """Circuits of the group between two exchanges at the current time."""
        if self.sizes_vary:
            return self.plan.group_size(a, b, self.engine.now / SECOND)
        return self.plan.group_sizes[(a, b) if a < b else (b, a)]

    def free(self, a: int, b: int) -> int:
        """Free circuits; negative while a group that has shrunk holds more dialogs than it has circuits."""
        return self.size(a, b) - self.seized.get((a, b) if a < b else (b, a), 0)

    def seize(self, a: int, b: int, circuits: int) -> bool:
        """Seize circuits; False, with nothing seized, if too few are free."""
        if self.free(a, b) < circuits:
            return False
        self._add_seized(a, b, circuits)
        return True

    def release(self, a: int, b: int, circuits: int) -> None:
        self._add_seized(a, b, -circuits)

    def size_changed(self, a: int, b: int) -> None:
        """The size of a group has changed: both ends receive a report."""
        self._mark_changed(a, b)
        self._mark_changed(b, a)

    def _add_seized(self, a: int, b: int, circuits: int) -> None:
        pair = (a, b) if a < b else (b, a)
        self.seized[pair] = self.seized.get(pair, 0) + circuits
        self._mark_changed(a, b)
        self._mark_changed(b, a)

    def _mark_changed(self, exchange: int, other: int) -> None:
        self.changed[exchange].add(other)
        if not self.check_scheduled[exchange]:
            self.check_scheduled[exchange] = True
            self.engine.schedule_at(
                self.engine.now - self.engine.now % REPORT_INTERVAL + REPORT_INTERVAL, self._report_changes, exchange
            )

    def _report_changes(self, exchange: int) -> None:
        self.check_scheduled[exchange] = False
        changed = sorted(self.changed[exchange])
        self.changed[exchange].clear()
        for other in changed:
            self.report(exchange, other, max(0, self.free(exchange, other)), self.size(exchange, other))
