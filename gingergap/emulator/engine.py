"""Discrete-event engine: a heap of scheduled callbacks. Times are whole tenths of a millisecond; callbacks scheduled for the same
time run in the order in which they were scheduled."""

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

SECOND = 10_000


class Engine:
    """Simulated clock and event queue. `event_count` counts the callbacks that have run."""

    __slots__ = ("now", "heap", "scheduled", "event_count")

    def __init__(self, now: int = 0) -> None:
        self.now = now
        self.heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.scheduled = self.event_count = 0

    def schedule_at(self, time: int, callback: Callable[..., None], *args: Any) -> None:
        """Call `callback` at `time`, or now if that is past."""
        self.scheduled += 1
        heappush(self.heap, (time if time > self.now else self.now, self.scheduled, callback, args))

    def schedule_after(self, delay: int, callback: Callable[..., None], *args: Any) -> None:
        self.scheduled += 1
        heappush(self.heap, (self.now + delay, self.scheduled, callback, args))

    def run(self, until: int) -> None:
        """Run all callbacks scheduled up to and including `until`, and set the clock to it."""
        heap = self.heap
        while heap and heap[0][0] <= until:
            self.now, _, callback, args = heappop(heap)
            self.event_count += 1
            callback(*args)
        self.now = until
