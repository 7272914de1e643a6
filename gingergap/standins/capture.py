"""Capture of the messages at a stand-in's sockets, and the faults of the simulated network: loss, duplication, delay.

Each message is captured before a fault is applied to it, as one JSON line that is written at once, so that a killed process
loses none.
"""

import os
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent
import msgspec

from ..sip.transactions import Hop
from .day_plan import DayPlan

ENCODE_JSON = msgspec.json.Encoder().encode


class Capture:
    """Capture file of one process.

    `at` is in seconds of the machine's monotonic clock, which is the same for all processes. Without `messages` only notes are
    written, for days whose captures would be too large to keep; such a day cannot be checked.
    """

    def __init__(self, path: Path, messages: bool = True) -> None:
        self.messages = messages
        self.file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def message(self, transport: str, source: str, target: str, data: bytes, delays: list[float], at: float | None = None) -> None:
        """Write one message. `delays` holds the delay in seconds of each copy that is passed on; it is empty for a lost message."""
        if not self.messages:
            return
        line: dict[str, Any] = {
            "at": round(time.monotonic() if at is None else at, 5),
            "transport": transport,
            "from": source,
            "to": target,
            "message": data.decode("utf-8", "backslashreplace"),
        }
        if not delays:
            line["lost"] = True
        elif min(delays) > 0:
            line["late_by"] = round(min(delays), 5)
        os.write(self.file, ENCODE_JSON(line) + b"\n")

    def note(self, kind: str, at: float | None = None, **fields: Any) -> None:
        """Write a note, a line on an event that no message shows (a start, a stop, a reset). `checker` reads them by kind."""
        line = {"at": round(time.monotonic() if at is None else at, 5), "note": kind, **fields}
        os.write(self.file, ENCODE_JSON(line) + b"\n")

    def close(self) -> None:
        os.close(self.file)


class FaultInjector:
    """The simulated network between one stand-in and its peers: captures each message, then drops, delays or duplicates it.

    `lost_in` and `lost_out` return whether a fault of the stand-in itself loses a message; the day's faults of the network are
    applied here. These affect only datagrams to or from `proxies`.
    """

    def __init__(
        self,
        capture: Capture,
        plan: DayPlan,
        clock: Callable[[], float],
        own_address: str,
        seed: str,
        proxies: frozenset[tuple[str, int]],
        lost_in: Callable[[bytes, Hop], bool] | None = None,
        lost_out: Callable[[bytes, Hop], bool] | None = None,
    ) -> None:
        self.capture, self.plan, self.clock, self.own_address = capture, plan, clock, own_address
        self.draw = random.Random(seed)
        self.proxies = proxies
        self.lost_in, self.lost_out = lost_in, lost_out

    def incoming(self, data: bytes, hop: Hop, deliver: Callable[[], None], at: float | None) -> None:
        lost = self.lost_in is not None and self.lost_in(data, hop)
        delays = self._draw_delays(hop) if not lost else []
        self.capture.message(hop.transport, f"{hop.host}:{hop.port}", self.own_address, data, delays, at)
        self._schedule(delays, deliver)

    def outgoing(self, data: bytes, hop: Hop, send: Callable[[], None]) -> None:
        lost = self.lost_out is not None and self.lost_out(data, hop)
        delays = self._draw_delays(hop) if not lost else []
        self.capture.message(hop.transport, self.own_address, f"{hop.host}:{hop.port}", data, delays)
        self._schedule(delays, send)

    def _draw_delays(self, hop: Hop) -> list[float]:
        """Delay in seconds of each copy of a message that is passed on; empty if the message is lost."""
        if hop.transport != "UDP" or (hop.host, hop.port) not in self.proxies:
            return [0.0]
        now, draw = self.clock(), self.draw
        for fault in self.plan.active_faults("loss", now):
            if draw.random() < fault.factor:
                return []
        delays = [0.0]
        for fault in self.plan.active_faults("delay", now):
            delays = [fault.ms / 1000]
        for fault in self.plan.active_faults("reordering", now):
            if draw.random() < fault.factor:
                delays = [draw.random() * fault.ms / 1000]
        for fault in self.plan.active_faults("duplication", now):
            if draw.random() < fault.factor:
                delays = [*delays, draw.random() * fault.ms / 1000]
        return delays

    @staticmethod
    def _schedule(delays: list[float], action: Callable[[], None]) -> None:
        for delay in delays:
            if delay:
                gevent.spawn_later(delay, action)
            else:
                action()
