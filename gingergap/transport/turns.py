"""Shares the time of a process between connections whose peers may send as fast as they can.

What was read from a connection is handled in turns, one at a time. All turns of a queue together take one in `share` parts of the
time, beyond a short burst; the rest is for everything else. Of those that wait, the connection that has worked least of late
has the next turn, so one with little to say does not wait for the others.
"""

import heapq
import itertools
import time

import gevent
from gevent.event import Event

YIELD_TIME = 0.0005  # seconds; more than 0, since up to fifty sleep(0) callbacks run before the loop checks timers
BURST_TIME = 0.005  # seconds of work and of the pauses for it that may be due before a turn waits
MAX_TURN_TIME = 0.02  # seconds; what took longer was a pause of the process
HALF_LIFE = 1.0  # seconds in which work counts half


class Work:
    """The time that the turns of one connection took of late. Times: seconds of the monotonic clock."""

    __slots__ = ("seconds", "noted_at")

    def __init__(self) -> None:
        self.seconds = self.noted_at = 0.0

    def of_late(self, now: float) -> float:
        return self.seconds * 0.5 ** ((now - self.noted_at) / HALF_LIFE)

    def add(self, now: float, seconds: float) -> None:
        self.seconds, self.noted_at = self.of_late(now) + seconds, now


class TurnQueue:
    """The turns of many connections. Together they take one in `share` parts of the time, as long as any waits."""

    def __init__(self, share: int) -> None:
        self.share = share
        self.waiting: list[tuple[float, int, Event]] = []  # heap of (work of late, order, what wakes the greenlet)
        self.order = itertools.count()
        self.is_taken = False  # a turn is under way, or granted
        self.paid_until = 0.0  # when the turns so far will have taken their part of the time only
        self.began_at = 0.0

    def begin(self, work: Work) -> None:
        """Wait for a turn. `end` must follow, without switching greenlets in between."""
        now = time.monotonic()
        if self.is_taken or self.paid_until - BURST_TIME > now:
            granted = Event()
            heapq.heappush(self.waiting, (work.of_late(now), next(self.order), granted))
            if not self.is_taken:
                self._grant_next(now)
            granted.wait()
        self.is_taken, self.began_at = True, time.monotonic()

    def end(self, work: Work) -> None:
        now = time.monotonic()
        worked = min(now - self.began_at, MAX_TURN_TIME)
        work.add(now, worked)
        self.is_taken = False
        self.paid_until = max(self.paid_until, self.began_at) + worked * self.share
        if self.waiting:
            self._grant_next(now)

    def _grant_next(self, now: float) -> None:
        self.is_taken = True
        gevent.spawn_later(max(0.0, self.paid_until - BURST_TIME - now), self._grant)

    def _grant(self) -> None:
        heapq.heappop(self.waiting)[2].set()
