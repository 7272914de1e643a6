"""Baseline routing policies with the interface of `CallController`. The module is measured against them; no proxy ever runs one.

Direct route only; up to two random tandems where the direct group is full; trunk reservation: the same, but a tandem accepts
two-leg dialogs only while more than `reserved` circuits stay free (Krupp 1982 and later work).
"""

from random import Random
from typing import Any

from ..host import GwState, LegEnd, ListEntry, TrafficType


class BaselineController:
    """Tries the direct route, then up to `tandems` random tandems; declines a dialog at once when none has free circuits."""

    def __init__(
        self,
        host: Any,
        own_exchange: int,
        proxy_count: int,
        traffic_types: list[TrafficType],
        seed: int,
        tandems: int = 0,
        reserved: int = 0,
    ) -> None:
        self.host, self.own_exchange, self.traffic_types = host, own_exchange, traffic_types
        self.tandems, self.reserved = tandems, reserved
        self.random = Random(seed)
        self.exchanges: dict[int, int] = {}  # gw to exchange number
        self.states: dict[int, GwState] = {}
        self.gw_by_number: dict[int, int] = {}
        self.started: dict[int, int] = {}
        self.groups: dict[int, tuple[int, int]] = {}
        self.dialogs: dict[int, list[Any]] = {}  # destination, circuits, transit, deadline, exchanges still to be tried

    def exchange_list_received(self, now: int, entries: list[ListEntry], complete: bool) -> None:
        for entry in entries:
            self.exchanges[entry.gw] = entry.number
            self.states[entry.gw] = entry.state
            self.started[entry.gw] = max(entry.started, self.started.get(entry.gw, 0))
            current = self.gw_by_number.get(entry.number)
            if (
                current is None
                or entry.state == GwState.READY
                and self.started[entry.gw] >= self.started[current]
                or (self.states[current] != GwState.READY)
            ):
                self.gw_by_number[entry.number] = entry.gw

    def start(self, now: int) -> None:
        self.host.schedule_tick(200)

    def tick(self, now: int) -> None:
        for dialog, (_, _, _, deadline, _) in list(self.dialogs.items()):
            if now >= deadline and dialog in self.dialogs:
                del self.dialogs[dialog]
                self.host.abort(dialog)
        self.host.schedule_tick(200)

    def peer_report_received(self, now: int, payload: bytes) -> None:
        pass

    def trunk_group_reported(self, now: int, gw: int, free: int, size: int) -> None:
        self.groups[gw] = free, size

    def dialog_received(
        self,
        now: int,
        dialog: int,
        traffic_type: int,
        destination: int,
        circuits: int,
        caller_number: str,
        expires_in: int,
        transit: bool,
        redialled: bool,
        after_cut: bool,
        advised_tandem: int = -1,
    ) -> None:
        candidates = [] if transit else [number for number in self.gw_by_number if number not in (destination, self.own_exchange)]
        route = [destination, *self.random.sample(candidates, min(self.tandems, len(candidates)))]
        self.dialogs[dialog] = [destination, circuits, transit, now + expires_in - 400, route]
        self._send_next_leg(now, dialog)

    def dialog_established(self, now: int, dialog: int, setup_duration: int) -> None:
        self.dialogs.pop(dialog, None)

    def leg_ended(self, now: int, dialog: int, gw: int, leg_end: LegEnd, rsn: int, finished: bool, free: int, size: int) -> None:
        if size >= 0:
            self.groups[gw] = free, size
        if finished:
            self.dialogs.pop(dialog, None)
        elif dialog in self.dialogs:
            if leg_end in (LegEnd.FULL, LegEnd.UNREACHABLE) and self.dialogs[dialog][4]:
                self._send_next_leg(now, dialog)
            else:
                del self.dialogs[dialog]
                self.host.decline(dialog, 0)

    def dialog_cancelled(self, now: int, dialog: int) -> None:
        self.dialogs.pop(dialog, None)

    def _send_next_leg(self, now: int, dialog: int) -> None:
        destination, circuits, transit, deadline, route = self.dialogs[dialog]
        while route:
            number = route.pop(0)
            gw = self.gw_by_number.get(number)
            if gw is None or self.states[gw] != GwState.READY or now >= deadline:
                continue
            free, size = self.groups.get(gw, (0, 0))
            min_free = self.reserved if transit or number != destination else 0
            if free - circuits >= min_free:
                self.groups[gw] = free - circuits, size
                self.host.send_leg(dialog, gw, deadline - now)
                return
        del self.dialogs[dialog]
        self.host.decline(dialog, 0)


def baseline_factory(name: str, seed: int) -> Any:
    """The factory of controllers that `Day` takes, for "direct", "random tandem" or "reservation". Raises KeyError."""
    options = {"direct": {}, "random tandem": {"tandems": 2}, "reservation": {"tandems": 2, "reserved": 2}}[name]
    return lambda host, own_exchange, proxy_count, traffic_types: BaselineController(
        host, own_exchange, proxy_count, traffic_types, seed * 1000 + own_exchange, **options
    )
