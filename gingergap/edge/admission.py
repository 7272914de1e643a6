"""Admission control for new dialogs, by the number of open dialogs and by how late the process runs its timers.

Above a limit a dialog is rejected at once and without keeping state, so that admitted dialogs are still served. Traffic
of low importance is rejected at a share of the limit, the most important only at the full limit: the last capacity
of an overloaded proxy is left for the most important traffic. No I/O, no clock.
"""

SECOND = 10_000


class AdmissionControl:
    """Decides whether a new dialog is admitted.

    `max_dialogs` is the limit of unanswered dialogs. `max_lag`, in tenths of a millisecond, is how late the process may
    run before the least important traffic is rejected; at three times that, all traffic is. `importances` are by
    traffic type.
    """

    def __init__(self, max_dialogs: int, max_lag: int, importances: list[float]) -> None:
        self.max_dialogs, self.max_lag = max_dialogs, max_lag
        highest = max(importances)
        self.limit_shares = [0.85 + 0.15 * importance / highest for importance in importances]
        self.lag_limits = [max_lag * (1 + 2 * importance / highest) for importance in importances]
        self.lag = 0.0
        self.draining = False

    def timer_fired(self, late_by: int) -> None:
        """A timer fired `late_by` tenths of a millisecond late. One long stall decays within some ten timers."""
        self.lag = max(late_by, self.lag * 0.75) if late_by > self.lag else self.lag * 0.75 + late_by * 0.25

    def retry_after(self, traffic_type: int, open_dialogs: int) -> int:
        """0 to admit a dialog of this traffic type, else the Retry-After of its rejection in seconds."""
        if self.draining:
            return 5
        if open_dialogs >= self.max_dialogs * self.limit_shares[traffic_type] or self.lag > self.lag_limits[traffic_type]:
            return 1 if self.lag <= 4 * self.max_lag else 2
        return 0
