"""What the module believes beside what passed on the sockets, once a second, for finding causes. Off unless asked for.

One line a second for each switch: circuits believed free and those last reported, set-up time expected and that of the
legs answered since the last line, legs out, how legs ended; and one for the dialogs declined, by what stood in the way.
Nothing here is told to the module.
"""

from collections import Counter
from typing import Any

SECOND = 10_000
MS = 10


class Diagnostics:
    """`log(event, **fields)` takes the lines."""

    def __init__(self, log: Any) -> None:
        self.log = log
        self.at = 0
        self.last_reported: dict[int, tuple[int, int]] = {}
        self.took: dict[int, list[int]] = {}
        self.ends: dict[int, Counter[str]] = {}
        self.declined: Counter[str] = Counter()

    def reported(self, gw: int, free: int, size: int) -> None:
        self.last_reported[gw] = free, size

    def answered(self, gw: int, took: int) -> None:
        self.took.setdefault(gw, []).append(took)

    def leg_over(self, gw: int, direct: bool, how: str) -> None:
        self.ends.setdefault(gw, Counter())[("direct:" if direct else "tandem:") + how] += 1

    def dialog_declined(self, controller: Any, dialog: int, now: int) -> None:
        d = controller.dialogs.get(dialog)
        if d is None:
            return
        ex = controller.exchange_by_number.get(d.destination)
        why = (
            "no exchange"
            if ex is None
            else "not ready"
            if not ex.ready
            else "no circuits"
            if not ex.group.fits(d.circuits)
            else "slow"
            if controller._is_held_back(d, ex)
            else "cold"
            if now < ex.cold_until
            else "other"
        )
        self.declined[f"{'transit' if d.transit else 'redialled' if d.redialled else 'first'}, {d.legs_sent} legs, {why}"] += 1

    def log_due(self, calls: Any, now: int) -> None:
        if now < self.at:
            return
        self.at = now + SECOND
        controller = calls.controller
        for gw, ex in controller.exchanges.items():
            if not ex.ready:
                continue
            took = sorted(self.took.get(gw, []))
            self.log(
                "believed",
                switch=calls.switch_ids[gw],
                number=ex.number,
                free=ex.group.free,
                reported=self.last_reported.get(gw),
                expected_ms=ex.expected_setup(now) // MS,
                took_ms=[took[len(took) // 2] // MS, took[-1] // MS] if took else "-",
                out=len(ex.legs_out),
                pressed_ms=max(0, ex.overloaded_until - now) // MS,
                cold_ms=max(0, ex.cold_until - now) // MS,
                ends=dict(self.ends.get(gw, {})),
            )
        self.log("declined", waiting=len(controller.waiting_dialogs), **{"why": dict(self.declined)})
        self.took.clear()
        self.ends.clear()
        self.declined.clear()
