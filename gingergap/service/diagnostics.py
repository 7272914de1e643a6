"""Logs the controller's estimates beside the measured values, once a second, for troubleshooting. Off unless asked for.

One line a second for each switch in service: free circuits as estimated and as last reported, set-up time as expected and as
measured on the legs answered since the last line, legs out, and how legs ended. One more line counts the declined dialogs by
the reason for which no leg was sent to the destination. Nothing is fed back to the controller.
"""

from collections import Counter
from typing import Any

UNITS_PER_SECOND = 10_000
UNITS_PER_MS = 10


class Diagnostics:
    """Collects measured values from `Calls`. `log(event, **fields)` writes the lines. Times: tenths of a millisecond."""

    def __init__(self, log: Any) -> None:
        self.log = log
        self.next_log_at = 0
        self.last_reported: dict[int, tuple[int, int]] = {}
        self.setup_durations: dict[int, list[int]] = {}
        self.leg_ends: dict[int, Counter[str]] = {}
        self.declined: Counter[str] = Counter()

    def trunk_group_reported(self, gw: int, free: int, size: int) -> None:
        """A switch has reported the free circuits and the size of its trunk group."""
        self.last_reported[gw] = free, size

    def leg_answered(self, gw: int, setup_duration: int) -> None:
        self.setup_durations.setdefault(gw, []).append(setup_duration)

    def leg_ended(self, gw: int, direct: bool, outcome: str) -> None:
        """A leg was answered or refused. `direct`: it was sent to the destination; `outcome`: status, and reason of a refusal."""
        self.leg_ends.setdefault(gw, Counter())[("direct:" if direct else "tandem:") + outcome] += 1

    def dialog_declined(self, controller: Any, dialog_id: int, now: int) -> None:
        """Count a dialog that the controller declines by the reason that applies to its destination."""
        dialog = controller.dialogs.get(dialog_id)
        if dialog is None:
            return
        exchange = controller.exchange_by_number.get(dialog.destination)
        reason = (
            "no exchange"
            if exchange is None
            else "not ready"
            if not exchange.ready
            else "no circuits"
            if not exchange.group.fits(dialog.circuits)
            else "slow"
            if controller._is_held_back(dialog, exchange)
            else "cold"
            if now < exchange.cold_until
            else "other"
        )
        self.declined[
            f"{'transit' if dialog.transit else 'redialled' if dialog.redialled else 'first'}, {dialog.legs_sent} legs, {reason}"
        ] += 1

    def log_due(self, calls: Any, now: int) -> None:
        """Write the lines if a second has passed since the last ones."""
        if now < self.next_log_at:
            return
        self.next_log_at = now + UNITS_PER_SECOND
        controller = calls.controller
        for gw, exchange in controller.exchanges.items():
            if not exchange.ready:
                continue
            durations = sorted(self.setup_durations.get(gw, []))
            self.log(
                "believed",
                switch=calls.switches.ids[gw],
                number=exchange.number,
                free=exchange.group.free,
                reported=self.last_reported.get(gw),
                expected_ms=exchange.expected_setup(now) // UNITS_PER_MS,
                took_ms=[durations[len(durations) // 2] // UNITS_PER_MS, durations[-1] // UNITS_PER_MS] if durations else "-",
                out=len(exchange.legs_out),
                pressed_ms=max(0, exchange.overloaded_until - now) // UNITS_PER_MS,
                cold_ms=max(0, exchange.cold_until - now) // UNITS_PER_MS,
                ends=dict(self.leg_ends.get(gw, {})),
            )
        self.log("declined", waiting=len(controller.waiting_dialogs), **{"why": dict(self.declined)})
        self.setup_durations.clear()
        self.leg_ends.clear()
        self.declined.clear()
