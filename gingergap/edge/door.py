"""Whether a new dialog may come in: bounds on what is open, and on how late the own process runs.

Above a bound the answer is given at once and keeps nothing, so that what is inside is still served. Cheap traffic
is sent away at a part of the bound, dear traffic at the whole of it: as a flooded proxy fills up, its last room is
for what is worth most. No I/O, no clock.
"""

SECOND = 10_000


class Door:
    """`most` dialogs open at once; `late` is how far the process may run behind (tenths of a millisecond) before
    the cheapest traffic is turned away; at three times that, all of it. `importances` by traffic type."""

    def __init__(self, most: int, late: int, importances: list[float]) -> None:
        self.most, self.late = most, late
        top = max(importances)
        self.part = [0.85 + 0.15 * importance / top for importance in importances]
        self.patience = [late * (1 + 2 * importance / top) for importance in importances]
        self.lag = 0.0
        self.draining = False

    def ran(self, late_by: int) -> None:
        """A timer fired `late_by` after it was due. One long stall is forgotten within some ten firings."""
        self.lag = max(late_by, self.lag * 0.75) if late_by > self.lag else self.lag * 0.75 + late_by * 0.25

    def shut(self, kind: int, open_dialogs: int) -> int:
        """0 to let a dialog in, else for how many seconds its caller should stay away."""
        if self.draining:
            return 5
        if open_dialogs >= self.most * self.part[kind] or self.lag > self.patience[kind]:
            return 1 if self.lag <= 4 * self.late else 2
        return 0
