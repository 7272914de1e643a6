"""The five rules, judged on every emulated day from what the proxies do. Pure."""

from ..host import GwState, LegEnd
from .engine import SECOND

IN_DOUBT = (LegEnd.NO_ANSWER, LegEnd.CUT, LegEnd.CANCELLED)


class Rules:
    """`guard` and `grace` in tenths of a millisecond. What is known of a dialog goes when it is over."""

    def __init__(self, guard: int, grace: int, shown: int = 20) -> None:
        self.guard, self.grace, self.shown = guard, grace, shown
        self.judged = dict.fromkeys(range(1, 6), 0)
        self.broken = dict.fromkeys(range(1, 6), 0)
        self.breaches: list[tuple[int, int, str]] = []  # rule, when, why
        self.until: dict[tuple[int, int], int] = {}  # (proxy, dialog): the caller's time
        self.out: dict[tuple[int, int], int] = {}
        self.doubt: dict[tuple[int, int], int] = {}
        self.words: dict[tuple[int, str], int] = {}  # (proxy, machine): told that it drains or is gone
        self.stops: dict[int, list[tuple[int, int]]] = {}  # spans in which a proxy's process stood still
        self.excused = 0

    def came(self, now: int, proxy: int, dialog: int, expires_in: int) -> None:
        self.until[proxy, dialog] = now + expires_in
        self.judged[1] += 1

    def answered(self, now: int, proxy: int, dialog: int, late_ok: int = 200) -> None:
        until = self.until.pop((proxy, dialog), None)
        if until is None:
            self._broken(1, now, f"proxy {proxy}: a second final answer to dialog {dialog}")
        elif now > until + late_ok and any(begin <= until and now <= end + late_ok for begin, end in self.stops.get(proxy, ())):
            self.excused += 1  # it stood still when the time ran out, and answered as it went on
        elif now > until + late_ok:
            self._broken(1, now, f"proxy {proxy}: dialog {dialog} answered {(now - until) / 10:.0f} ms late")

    def sent(self, now: int, proxy: int, dialog: int, machine: str) -> None:
        key = proxy, dialog
        self.judged[2] += 1
        if key in self.out:
            self._broken(2, now, f"proxy {proxy}: two legs out for dialog {dialog}")
        self.out[key] = now
        if key not in self.until:
            self._broken(1, now, f"proxy {proxy}: a leg for dialog {dialog}, which is answered")
        told = self.words.get((proxy, machine))
        if told is not None:
            self.judged[3] += 1
            if now > told + self.grace:
                self._broken(3, now, f"proxy {proxy}: a leg to {machine} {(now - told) / 10:.0f} ms after the word on it")
        since = self.doubt.get(key)
        if since is not None:
            self.judged[5] += 1
            if now < since + self.guard:
                self._broken(5, now, f"proxy {proxy}: dialog {dialog} sent {(now - since) / 10:.0f} ms after a leg in doubt")

    def leg_over(self, now: int, proxy: int, dialog: int, how: LegEnd) -> None:
        self.out.pop((proxy, dialog), None)
        if how in IN_DOUBT:
            self.doubt[proxy, dialog] = now

    def over(self, proxy: int, dialog: int) -> None:
        self.doubt.pop((proxy, dialog), None)
        self.out.pop((proxy, dialog), None)

    def word(self, now: int, proxy: int, machine: str, state: GwState) -> None:
        if state == GwState.READY:
            self.words.pop((proxy, machine), None)
        else:
            self.words.setdefault((proxy, machine), now)

    def cold(self) -> None:
        self.judged[4] += 1

    def fell(self, now: int, machine: str) -> None:
        self._broken(4, now, f"{machine} was pushed over while it was cold")

    def stopped(self, proxy: int, begin: int, end: int) -> None:
        """A process stands still for a span."""
        self.stops.setdefault(proxy, []).append((begin, end))

    def ended(self, now: int) -> None:
        """The day is over: whoever still waits past its time was never answered."""
        for (proxy, dialog), until in self.until.items():
            if now > until + SECOND // 50:
                self._broken(1, now, f"proxy {proxy}: dialog {dialog} was never answered")

    def lost(self, proxy: int) -> None:
        """A proxy was killed: what it held is nobody's to answer."""
        for held in (self.until, self.out, self.doubt):
            for key in [key for key in held if key[0] == proxy]:
                del held[key]
        for key in [key for key in self.words if key[0] == proxy]:
            del self.words[key]

    @property
    def kept(self) -> bool:
        return not any(self.broken.values())

    def _broken(self, rule: int, now: int, why: str) -> None:
        self.broken[rule] += 1
        if len(self.breaches) < self.shown:
            self.breaches.append((rule, now, why))
