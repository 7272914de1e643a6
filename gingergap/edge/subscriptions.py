"""Keeping a subscription (RFC 6665): when to ask, what of a notification may be used, when it has failed.

The state comes in versions. `full` replaces all, `partial` builds on the version before; a gap, a partial of
another epoch or a list that falls silent is mended by asking for the full state. No I/O, no clock: times are
handed in, in tenths of a millisecond, and what is to be done is returned.
"""

from enum import IntEnum
from typing import NamedTuple


class Use(IntEnum):
    """What to do with a notification's body."""

    TAKE = 0
    OLD = 1  # overtaken by one that was used already
    ASK = 2  # something is missing: ask for the full state


class Ask(IntEnum):
    """What is to be sent now."""

    NOTHING = 0
    FIRST = 1  # a SUBSCRIBE outside any dialog
    REFRESH = 2
    FAILED = 3  # tell that there is no subscription; a new one is asked for by `want`


class Body(NamedTuple):
    """The frame of a notification. A new epoch means that the notifier started anew."""

    epoch: str
    version: int
    full: bool


class Watching:
    """One subscription. `lasts` is asked for; `patience` is how long an answer to a SUBSCRIBE or the full state
    after it may take before the subscription counts as failed."""

    def __init__(self, lasts: int, patience: int) -> None:
        self.lasts, self.patience = lasts, patience
        self.wanted = False
        self.live = False
        self.asked_at: int | None = None
        self.refresh_at = 0
        self.ends_at = 0
        self.epoch, self.version = "", -1
        self.gap = False
        self.gap_asked_at = 0

    def want(self, now: int) -> Ask:
        """A new subscription is wanted, whatever was before."""
        self.wanted, self.live, self.gap = True, False, False
        self.asked_at = now
        return Ask.FIRST

    def granted(self, now: int, lasts: int) -> None:
        """A 2xx to SUBSCRIBE: refreshed at half its time (RFC 6665 leaves when to the subscriber)."""
        self.live = True
        self.refresh_at = now + lasts // 2
        self.ends_at = now + lasts

    def refused(self, now: int) -> Ask:
        """An error, a time-out or an end told by the notifier: nothing more will come."""
        if not self.wanted:
            return Ask.NOTHING
        self.wanted = self.live = self.gap = False
        self.asked_at = None
        return Ask.FAILED

    def notified(self, now: int, body: Body) -> Use:
        """A notification came. Its full state is taken whatever its order, unless it is older than what is held
        of the same epoch."""
        if body.full:
            if body.epoch == self.epoch and body.version < self.version:
                return Use.OLD
            self.epoch, self.version = body.epoch, body.version
            self.asked_at, self.gap = None, False
            return Use.TAKE
        if body.epoch == self.epoch:
            if body.version <= self.version:
                return Use.OLD
            if body.version == self.version + 1 and not self.gap:
                self.version = body.version
                return Use.TAKE
        if self.gap and now - self.gap_asked_at < self.patience // 4:
            return Use.OLD  # asked for already; what comes meanwhile is in the answer
        self.gap, self.gap_asked_at = True, now
        return Use.ASK

    def due(self, now: int) -> Ask:
        """What is to be done as time passes."""
        if not self.wanted:
            return Ask.NOTHING
        if self.asked_at is not None and now - self.asked_at > self.patience:
            return self.refused(now)  # asked, and neither answer nor state came
        if self.live and now >= self.ends_at:
            return self.refused(now)  # silent for its whole time, refreshes too
        if self.live and now >= self.refresh_at:
            # The answer sets the next time; until it comes, ask again at a quarter of what is left.
            self.refresh_at = now + max(self.patience, (self.ends_at - now) // 4)
            self.asked_at = now if self.asked_at is None else self.asked_at
            return Ask.REFRESH
        return Ask.NOTHING
