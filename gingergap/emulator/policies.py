"""Baselines, as controllers of the module's shape: what the module is measured against, never what a proxy runs.

Direct alone; a random tandem where the direct group is full; fixed reservation: the same, but a tandem takes two-leg dialogs
only while more than `reserved` circuits stay free (Krupp 1982 and the field since)."""

from random import Random
from typing import Any

from ..host import GwState, LegEnd, ListEntry, TrafficType


class Plain:
    """Direct first, then up to `tandems` random ones; a dialog that nothing takes is declined at once."""

    def __init__(
        self, host: Any, here: int, proxies: int, types: list[TrafficType], seed: int, tandems: int = 0, reserved: int = 0
    ) -> None:
        self.host, self.here, self.types = host, here, types
        self.tandems, self.reserved = tandems, reserved
        self.draw = Random(seed)
        self.exchanges: dict[int, int] = {}  # known far ends
        self.states: dict[int, GwState] = {}
        self.by_number: dict[int, int] = {}
        self.started: dict[int, int] = {}
        self.groups: dict[int, tuple[int, int]] = {}
        self.dialogs: dict[int, list[Any]] = {}  # far, width, transit, expires, numbers still to be tried

    def exchange_list_received(self, now: int, entries: list[ListEntry], whole: bool) -> None:
        for entry in entries:
            self.exchanges[entry.gw] = entry.number
            self.states[entry.gw] = entry.state
            self.started[entry.gw] = max(entry.started, self.started.get(entry.gw, 0))
            held = self.by_number.get(entry.number)
            if (
                held is None
                or entry.state == GwState.READY
                and self.started[entry.gw] >= self.started[held]
                or (self.states[held] != GwState.READY)
            ):
                self.by_number[entry.number] = entry.gw

    def start(self, now: int) -> None:
        self.host.schedule_tick(200)

    def tick(self, now: int) -> None:
        for dialog, (_, _, _, expires, _) in list(self.dialogs.items()):
            if now >= expires and dialog in self.dialogs:
                del self.dialogs[dialog]
                self.host.abort(dialog)
        self.host.schedule_tick(200)

    def peer_report_received(self, now: int, told: bytes) -> None:
        pass

    def trunk_group_reported(self, now: int, gw: int, free: int, size: int) -> None:
        self.groups[gw] = free, size

    def dialog_received(
        self,
        now: int,
        dialog: int,
        kind: int,
        far: int,
        width: int,
        number: str,
        expires_in: int,
        transit: bool,
        redialled: bool,
        cut: bool,
        advised: int = -1,
    ) -> None:
        others = [] if transit else [one for one in self.by_number if one not in (far, self.here)]
        ways = [far, *self.draw.sample(others, min(self.tandems, len(others)))]
        self.dialogs[dialog] = [far, width, transit, now + expires_in - 400, ways]
        self._next(now, dialog)

    def dialog_established(self, now: int, dialog: int, took: int) -> None:
        self.dialogs.pop(dialog, None)

    def leg_ended(self, now: int, dialog: int, gw: int, how: LegEnd, rsn: int, over: bool, free: int, size: int) -> None:
        if size >= 0:
            self.groups[gw] = free, size
        if over:
            self.dialogs.pop(dialog, None)
        elif dialog in self.dialogs:
            if how in (LegEnd.FULL, LegEnd.UNREACHABLE) and self.dialogs[dialog][4]:
                self._next(now, dialog)
            else:
                del self.dialogs[dialog]
                self.host.decline(dialog, 0)

    def dialog_cancelled(self, now: int, dialog: int) -> None:
        self.dialogs.pop(dialog, None)

    def _next(self, now: int, dialog: int) -> None:
        far, width, transit, expires, ways = self.dialogs[dialog]
        while ways:
            number = ways.pop(0)
            gw = self.by_number.get(number)
            if gw is None or self.states[gw] != GwState.READY or now >= expires:
                continue
            free, size = self.groups.get(gw, (0, 0))
            least = self.reserved if transit or number != far else 0
            if free - width >= least:
                self.groups[gw] = free - width, size
                self.host.send_leg(dialog, gw, expires - now)
                return
        del self.dialogs[dialog]
        self.host.decline(dialog, 0)


def baseline(name: str, seed: int) -> Any:
    """A maker of controllers for `Day`: "direct", "random tandem" or "reservation". Raises KeyError."""
    figures = {"direct": {}, "random tandem": {"tandems": 2}, "reservation": {"tandems": 2, "reserved": 2}}[name]
    return lambda host, here, proxies, types: Plain(host, here, proxies, types, seed * 1000 + here, **figures)
