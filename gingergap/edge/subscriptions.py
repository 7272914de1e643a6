"""The subscriber's state machine (RFC 6665): when to subscribe, which notifications to apply, when it has failed.

Notified state is versioned. Full state replaces everything, partial state builds on the previous version; after a gap
or partial state of another epoch the full state is requested. No I/O, no clock: methods take the current time in
tenths of a millisecond and return what is to be done.
"""

from enum import IntEnum
from typing import NamedTuple


class NotificationUse(IntEnum):
    """What to do with the state in a notification."""

    APPLY = 0
    STALE = 1  # ignore: newer state was applied already, or the full state was requested
    RESYNC = 2  # a version is missing: request the full state


class SubscribeAction(IntEnum):
    """What the subscriber has to do now."""

    NOTHING = 0
    SUBSCRIBE = 1  # a SUBSCRIBE outside any dialog
    REFRESH = 2  # a SUBSCRIBE within the dialog
    FAILED = 3  # report that the subscription has ended; `start` begins a new one


class StateVersion(NamedTuple):
    """The version of the state in a notification. The epoch changes when the notifier restarts."""

    epoch: str
    version: int
    full: bool


class Subscription:
    """One subscription.

    `duration` is the requested duration; `timeout` limits the wait for the response to a SUBSCRIBE and for the full
    state after it. Both in tenths of a millisecond.
    """

    def __init__(self, duration: int, timeout: int) -> None:
        self.duration, self.timeout = duration, timeout
        self.wanted = False
        self.active = False
        self.requested_at: int | None = None
        self.refresh_at = 0
        self.expires_at = 0
        self.epoch, self.version = "", -1
        self.has_gap = False
        self.resync_requested_at = 0

    def start(self, now: int) -> SubscribeAction:
        """Begin a new subscription, whatever the state of the current one."""
        self.wanted, self.active, self.has_gap = True, False, False
        self.requested_at = now
        return SubscribeAction.SUBSCRIBE

    def granted(self, now: int, duration: int) -> None:
        """A 2xx to SUBSCRIBE. It is refreshed after half of the duration (RFC 6665 leaves that to the subscriber)."""
        self.active = True
        self.refresh_at = now + duration // 2
        self.expires_at = now + duration

    def ended(self, now: int) -> SubscribeAction:
        """The subscription ended by an error, a time-out or the notifier."""
        if not self.wanted:
            return SubscribeAction.NOTHING
        self.wanted = self.active = self.has_gap = False
        self.requested_at = None
        return SubscribeAction.FAILED

    def notified(self, now: int, state: StateVersion) -> NotificationUse:
        """A notification was received. Full state is applied unless it is older than the current one of its epoch."""
        if state.full:
            if state.epoch == self.epoch and state.version < self.version:
                return NotificationUse.STALE
            self.epoch, self.version = state.epoch, state.version
            self.requested_at, self.has_gap = None, False
            return NotificationUse.APPLY
        if state.epoch == self.epoch:
            if state.version <= self.version:
                return NotificationUse.STALE
            if state.version == self.version + 1 and not self.has_gap:
                self.version = state.version
                return NotificationUse.APPLY
        if self.has_gap and now - self.resync_requested_at < self.timeout // 4:
            return NotificationUse.STALE  # requested already; the full state will include this change
        self.has_gap, self.resync_requested_at = True, now
        return NotificationUse.RESYNC

    def next_action(self, now: int) -> SubscribeAction:
        """What has to be done at this time."""
        if not self.wanted:
            return SubscribeAction.NOTHING
        if self.requested_at is not None and now - self.requested_at > self.timeout:
            return self.ended(now)  # neither a response nor the full state arrived
        if self.active and now >= self.expires_at:
            return self.ended(now)  # no response to any refresh
        if self.active and now >= self.refresh_at:
            # The response sets the next refresh; until then the refresh is repeated at a quarter of the remaining time.
            self.refresh_at = now + max(self.timeout, (self.expires_at - now) // 4)
            self.requested_at = now if self.requested_at is None else self.requested_at
            return SubscribeAction.REFRESH
        return SubscribeAction.NOTHING
