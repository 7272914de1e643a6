"""Simulated time: a heap of what is due, in tenths of a millisecond. What is due at one time happens in the order in which it was
asked for."""

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

SECOND = 10_000


class Engine:
    __slots__ = ("now", "heap", "pushed", "done")

    def __init__(self, now: int = 0) -> None:
        self.now = now
        self.heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.pushed = self.done = 0

    def at(self, when: int, run: Callable[..., None], *args: Any) -> None:
        self.pushed += 1
        heappush(self.heap, (when if when > self.now else self.now, self.pushed, run, args))

    def after(self, delay: int, run: Callable[..., None], *args: Any) -> None:
        self.pushed += 1
        heappush(self.heap, (self.now + delay, self.pushed, run, args))

    def run(self, until: int) -> None:
        """Everything that is due up to then."""
        heap = self.heap
        while heap and heap[0][0] <= until:
            self.now, _, run, args = heappop(heap)
            self.done += 1
            run(*args)
        self.now = until
