"""What passes a stand-in's sockets is written down here, before anything is done to it; and here it is harmed:
lost, doubled, delayed, by script. One JSON line a message, written at once, so that a kill loses nothing.
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

ENCODE = msgspec.json.Encoder().encode


class Capture:
    """Lines of one process. `at` is in seconds of the machine's monotonic clock, the same for all processes. Without
    `messages` only notes are kept: a day too long to be judged."""

    def __init__(self, path: Path, messages: bool = True) -> None:
        self.messages = messages
        self.file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def message(self, transport: str, source: str, target: str, data: bytes, times: list[float], at: float | None = None) -> None:
        """`times`: after how many seconds each copy goes on; none for a lost message."""
        if not self.messages:
            return
        line: dict[str, Any] = {
            "at": round(time.monotonic() if at is None else at, 5),
            "transport": transport,
            "from": source,
            "to": target,
            "message": data.decode("utf-8", "backslashreplace"),
        }
        if not times:
            line["lost"] = True
        elif min(times) > 0:
            line["late_by"] = round(min(times), 5)
        os.write(self.file, ENCODE(line) + b"\n")

    def note(self, what: str, at: float | None = None, **fields: Any) -> None:
        line = {"at": round(time.monotonic() if at is None else at, 5), "note": what, **fields}
        os.write(self.file, ENCODE(line) + b"\n")

    def close(self) -> None:
        os.close(self.file)


class HarmfulGate:
    """The network of one stand-in. `lost_in` and `lost_out` say, from the message, whether the stand-in's own
    faults lose it; the day's faults of the network are added here. Datagrams alone are harmed at random."""

    def __init__(
        self,
        capture: Capture,
        plan: DayPlan,
        clock: Callable[[], float],
        own: str,
        seed: str,
        proxies: frozenset[tuple[str, int]],
        lost_in: Callable[[bytes, Hop], bool] | None = None,
        lost_out: Callable[[bytes, Hop], bool] | None = None,
    ) -> None:
        self.capture, self.plan, self.clock, self.own = capture, plan, clock, own
        self.draw = random.Random(seed)
        self.proxies = proxies
        self.lost_in, self.lost_out = lost_in, lost_out

    def incoming(self, data: bytes, hop: Hop, deliver: Callable[[], None], at: float | None) -> None:
        lost = self.lost_in is not None and self.lost_in(data, hop)
        times = self._times(hop) if not lost else []
        self.capture.message(hop.transport, f"{hop.host}:{hop.port}", self.own, data, times, at)
        self._do(times, deliver)

    def outgoing(self, data: bytes, hop: Hop, send: Callable[[], None]) -> None:
        lost = self.lost_out is not None and self.lost_out(data, hop)
        times = self._times(hop) if not lost else []
        self.capture.message(hop.transport, self.own, f"{hop.host}:{hop.port}", data, times)
        self._do(times, send)

    def _times(self, hop: Hop) -> list[float]:
        """After how long each copy goes on; none where the message is lost."""
        if hop.transport != "UDP" or (hop.host, hop.port) not in self.proxies:
            return [0.0]
        now, draw = self.clock(), self.draw
        for fault in self.plan.active_faults("loss", now):
            if draw.random() < fault.factor:
                return []
        times = [0.0]
        for fault in self.plan.active_faults("delay", now):
            times = [fault.ms / 1000]
        for fault in self.plan.active_faults("reordering", now):
            if draw.random() < fault.factor:
                times = [draw.random() * fault.ms / 1000]
        for fault in self.plan.active_faults("duplication", now):
            if draw.random() < fault.factor:
                times = [*times, draw.random() * fault.ms / 1000]
        return times

    @staticmethod
    def _do(times: list[float], act: Callable[[], None]) -> None:
        for after in times:
            if after:
                gevent.spawn_later(after, act)
            else:
                act()
