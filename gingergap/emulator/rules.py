"""Checks the five rules that a proxy must keep, on every emulated day, from what the proxies do. No I/O.

1. Each dialog gets one final answer in time, and no leg is sent after it. 2. A dialog has at most one leg out. 3. No leg goes to a
machine that was listed as draining or gone more than the drain grace ago. 4. No cold machine is overloaded. 5. After a leg in
doubt the release guard passes before the next leg of the dialog.
"""

from ..host import GwState, LegEnd
from .engine import SECOND

IN_DOUBT = (LegEnd.NO_ANSWER, LegEnd.CUT, LegEnd.CANCELLED)


class RuleChecker:
    """Judges events of all proxies. All times are in tenths of a millisecond; state of a dialog is dropped when it ends.

    `judged` and `broken` count per rule; `breaches` describes the first `max_breaches` ones; `excused` counts late answers of
    proxies whose process was paused when the time ran out.
    """

    def __init__(self, release_guard: int, drain_grace: int, max_breaches: int = 20) -> None:
        self.release_guard, self.drain_grace, self.max_breaches = release_guard, drain_grace, max_breaches
        self.judged = dict.fromkeys(range(1, 6), 0)
        self.broken = dict.fromkeys(range(1, 6), 0)
        self.breaches: list[tuple[int, int, str]] = []  # rule, time, description
        self.deadlines: dict[tuple[int, int], int] = {}  # (proxy, dialog): when the caller stops waiting
        self.legs_out: dict[tuple[int, int], int] = {}
        self.in_doubt_since: dict[tuple[int, int], int] = {}
        self.not_ready_since: dict[tuple[int, str], int] = {}  # (proxy, machine): when it was listed as draining or gone
        self.pauses: dict[int, list[tuple[int, int]]] = {}  # periods in which a proxy's process was paused
        self.excused = 0

    def dialog_received(self, now: int, proxy: int, dialog: int, expires_in: int) -> None:
        self.deadlines[proxy, dialog] = now + expires_in
        self.judged[1] += 1

    def dialog_answered(self, now: int, proxy: int, dialog: int, tolerance: int = 200) -> None:
        """A final answer was sent; `tolerance` is how late it may be."""
        deadline = self.deadlines.pop((proxy, dialog), None)
        if deadline is None:
            self._record_breach(1, now, f"proxy {proxy}: a second final answer to dialog {dialog}")
        elif now > deadline + tolerance and any(
            begin <= deadline and now <= end + tolerance for begin, end in self.pauses.get(proxy, ())
        ):
            self.excused += 1  # the process was paused when the time ran out, and answered as soon as it resumed
        elif now > deadline + tolerance:
            self._record_breach(1, now, f"proxy {proxy}: dialog {dialog} answered {(now - deadline) / 10:.0f} ms late")

    def leg_sent(self, now: int, proxy: int, dialog: int, machine: str) -> None:
        key = proxy, dialog
        self.judged[2] += 1
        if key in self.legs_out:
            self._record_breach(2, now, f"proxy {proxy}: two legs out for dialog {dialog}")
        self.legs_out[key] = now
        if key not in self.deadlines:
            self._record_breach(1, now, f"proxy {proxy}: a leg for dialog {dialog}, which is answered")
        listed_at = self.not_ready_since.get((proxy, machine))
        if listed_at is not None:
            self.judged[3] += 1
            if now > listed_at + self.drain_grace:
                self._record_breach(
                    3,
                    now,
                    f"proxy {proxy}: a leg to {machine} {(now - listed_at) / 10:.0f} ms after it was listed as draining or gone",
                )
        doubt_began = self.in_doubt_since.get(key)
        if doubt_began is not None:
            self.judged[5] += 1
            if now < doubt_began + self.release_guard:
                self._record_breach(
                    5, now, f"proxy {proxy}: dialog {dialog} sent {(now - doubt_began) / 10:.0f} ms after a leg in doubt"
                )

    def leg_ended(self, now: int, proxy: int, dialog: int, leg_end: LegEnd) -> None:
        self.legs_out.pop((proxy, dialog), None)
        if leg_end in IN_DOUBT:
            self.in_doubt_since[proxy, dialog] = now

    def dialog_ended(self, proxy: int, dialog: int) -> None:
        self.in_doubt_since.pop((proxy, dialog), None)
        self.legs_out.pop((proxy, dialog), None)

    def machine_listed(self, now: int, proxy: int, machine: str, state: GwState) -> None:
        """The exchange list gave a proxy the state of a machine."""
        if state == GwState.READY:
            self.not_ready_since.pop((proxy, machine), None)
        else:
            self.not_ready_since.setdefault((proxy, machine), now)

    def cold_machine_started(self) -> None:
        self.judged[4] += 1

    def machine_overloaded(self, now: int, machine: str) -> None:
        self._record_breach(4, now, f"{machine} was pushed over while it was cold")

    def proxy_paused(self, proxy: int, begin: int, end: int) -> None:
        """The process of a proxy does nothing from `begin` to `end`."""
        self.pauses.setdefault(proxy, []).append((begin, end))

    def day_ended(self, now: int) -> None:
        """Record a breach for each dialog whose time has passed without a final answer."""
        for (proxy, dialog), deadline in self.deadlines.items():
            if now > deadline + SECOND // 50:
                self._record_breach(1, now, f"proxy {proxy}: dialog {dialog} was never answered")

    def proxy_killed(self, proxy: int) -> None:
        """Forget the dialogs and list entries of a proxy whose process was killed: it can no longer answer them."""
        for by_dialog in (self.deadlines, self.legs_out, self.in_doubt_since):
            for key in [key for key in by_dialog if key[0] == proxy]:
                del by_dialog[key]
        for key in [key for key in self.not_ready_since if key[0] == proxy]:
            del self.not_ready_since[key]

    @property
    def all_kept(self) -> bool:
        return not any(self.broken.values())

    def _record_breach(self, rule: int, now: int, description: str) -> None:
        self.broken[rule] += 1
        if len(self.breaches) < self.max_breaches:
            self.breaches.append((rule, now, description))
