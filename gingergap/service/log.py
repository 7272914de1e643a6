"""The service's log: one line per event on standard error.

The logging library of the other commands takes more memory than the rest of the service.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from typing import Any

from .fair_share import FairShare

MAX_DETAILS = 300  # lines of one kind a second: a flood of bad requests must not cause a flood of log lines


def log(event: str, **fields: Any) -> None:
    """Write one line: the time of day in UTC, the event's name, `name=value` for each field."""
    pairs = [f"{name}={str(value)!r}" if " " in str(value) else f"{name}={value}" for name, value in fields.items()]
    print(time.strftime("%H:%M:%S"), event, *pairs, file=sys.stderr, flush=True)


class DetailLog:
    """Logs events of single calls and connections, at most `MAX_DETAILS` a second of one kind and twice as many in all, so that a
    flood of one does not leave out the others; the number dropped is logged.

    `clock` returns seconds; `write` takes an event and its fields.
    """

    def __init__(self, clock: Callable[[], float], write: Callable[..., None] = log) -> None:
        self.clock, self.write = clock, write
        self.second = 0
        self.written = FairShare(2 * MAX_DETAILS)  # in the current second, by event
        self.dropped = 0

    def __call__(self, event: str, **fields: Any) -> None:
        second = int(self.clock())
        if second != self.second:
            if self.dropped:
                self.write("lines-left-out", count=self.dropped)
            self.second, self.dropped = second, 0
            self.written.clear()
        if not self.written.admits(event):
            self.dropped += 1
            return
        self.written.take(event)
        self.write(event, **fields)
