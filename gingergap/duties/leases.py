"""Leases by majority, without disks and without clocks that agree, and fencing where the duty has its effect.

A member that wants a duty asks all for their votes, with a counter higher than any it has heard of. A voter grants a
duty to one at a time, for a span by its own monotonic clock (PaxosLease: Trencseni, Gazso, Reinhardt 2012). The
holder counts from before it asked and stops earlier by the clocks' rate error, so its lease is over before any
voter would grant another. A voter that has just started knows nothing of what it granted and stays mute until all of
that is over. What a holder does carries its token, and whatever it touches refuses an older one than the newest it has
seen: an instance that was stopped in the middle of its work does no harm when it wakes (Gray and Cheriton 1989;
fencing as in Burrows 2006, section 2.4). Times in tenths of a millisecond.
"""

from typing import NamedTuple


class FencingToken(NamedTuple):
    """Orders the holders of one duty: `counter` first. `holder` is a member's name and life."""

    counter: int
    holder: str


class Grant:
    __slots__ = ("token", "expires_at")

    def __init__(self, token: FencingToken, until: int) -> None:
        self.token, self.expires_at = token, until


class Voter:
    """One member's votes on all duties. `longest` is the longest lease that anybody asks for, `error` the bound on how
    much two clocks' rates differ, as a part."""

    def __init__(self, now: int, longest: int, clock_error: float) -> None:
        self.mute_until = now + int(longest * (1 + 2 * clock_error)) + 1
        self.longest, self.clock_error = longest, clock_error
        self.grants: dict[str, Grant] = {}
        self.newest: dict[str, int] = {}

    def handle_vote_request(self, now: int, duty: str, token: FencingToken, lease_duration: int) -> bool:
        """Grant or extend a lease; `newest` tells the asker how high to go if not."""
        newest = self.newest.get(duty, 0)
        self.newest[duty] = max(newest, token.counter)
        if now < self.mute_until or lease_duration > self.longest:
            return False
        grant = self.grants.get(duty)
        if grant is not None and grant.token == token:
            grant.expires_at = max(grant.expires_at, now + lease_duration)
            return True
        if grant is not None and now < grant.expires_at and grant.token.holder != token.holder:
            return False
        if token.counter <= newest:
            return False
        self.grants[duty] = Grant(token, now + lease_duration)
        return True

    def handle_release(self, duty: str, token: FencingToken) -> None:
        """The holder gives a lease back before its time."""
        grant = self.grants.get(duty)
        if grant is not None and grant.token == token:
            grant.expires_at = 0


class Claim:
    """One member's way to a lease on one duty, and its hold on it."""

    __slots__ = ("counter", "asked_at", "votes", "held_until", "heard", "not_before")

    def __init__(self) -> None:
        self.counter = 0
        self.asked_at = -1  # of the round of votes under way, -1: none
        self.votes: set[str] = set()
        self.held_until = -1
        self.heard = 0  # the highest counter heard of
        self.not_before = 0

    def holds(self, now: int) -> bool:
        return now < self.held_until

    def ask(self, now: int) -> int:
        """Start a round for a new lease; returns its counter."""
        self.heard += 1
        self.counter, self.asked_at = self.heard, now
        self.votes.clear()
        return self.counter

    def renew(self, now: int) -> int:
        self.asked_at = now
        self.votes.clear()
        return self.counter

    def handle_vote(
        self, now: int, voter: str, counter: int, granted: bool, newest: int, needed: int, lease_duration: int, clock_error: float
    ) -> bool:
        """A vote came; whether it makes the lease ours or longer. It counts from when the round began, since that is
        before any voter's clock began."""
        self.heard = max(self.heard, newest)
        if not granted or counter != self.counter or self.asked_at < 0:
            return False
        self.votes.add(voter)
        if len(self.votes) < needed:
            return False
        until = self.asked_at + int(lease_duration * (1 - 2 * clock_error))
        self.asked_at = -1
        if until <= now:
            return False
        self.held_until = until
        return True

    def drop(self) -> None:
        self.held_until = self.asked_at = -1
        self.votes.clear()


class TokenFence:
    """Stands before what a duty touches. For duties done *once at most* a token never goes back. For those done *at
    least once* each part of a split goes on with counters of its own: an older token is refused only while the newest
    is in use, so that two who both reach the place don't do it twice, and one that alone reaches it isn't shut out."""

    def __init__(self, in_use: int) -> None:
        self.in_use = in_use
        self.newest: dict[str, tuple[FencingToken, int]] = {}

    def admit(self, now: int, duty: str, token: FencingToken, exclusive: bool) -> bool:
        held = self.newest.get(duty)
        if held is not None and token < held[0] and (exclusive or now - held[1] < self.in_use):
            return False
        self.newest[duty] = token, now
        return True
