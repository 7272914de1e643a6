"""Leases granted by a majority, without disks and without synchronised clocks, and fencing tokens.

A member that wants a duty asks all members for their votes, with a counter higher than any it has seen. A voter grants a
duty to one member at a time, for a duration by its own monotonic clock (PaxosLease: Trencseni, Gazso, Reinhardt 2012). The
holder counts the duration from before it asked and shortens it by the bound on clock drift, so its lease ends before any
voter would grant another one. A voter that has just started does not know what it granted before, and abstains until all
of that has expired. Each effect of a duty carries the holder's token, and the resource rejects a token that is older than
the newest it has seen: an instance that was paused in the middle of its work does no harm when it resumes (Gray and
Cheriton 1989; fencing as in Burrows 2006, section 2.4). Times in tenths of a millisecond.
"""

from typing import NamedTuple


class FencingToken(NamedTuple):
    """Orders the holders of one duty, by `counter` first. `holder` is a member's name and generation."""

    counter: int
    holder: str


class Grant:
    __slots__ = ("token", "expires_at")

    def __init__(self, token: FencingToken, expires_at: int) -> None:
        self.token, self.expires_at = token, expires_at


class Voter:
    """One member's votes on all duties. `max_lease_duration` is the longest lease that any member asks for; `clock_error`
    bounds the difference between the rates of two clocks, as a fraction."""

    def __init__(self, now: int, max_lease_duration: int, clock_error: float) -> None:
        self.abstain_until = now + int(max_lease_duration * (1 + 2 * clock_error)) + 1
        self.max_lease_duration, self.clock_error = max_lease_duration, clock_error
        self.grants: dict[str, Grant] = {}
        self.highest_counters: dict[str, int] = {}

    def handle_vote_request(self, now: int, duty: str, token: FencingToken, lease_duration: int) -> bool:
        """Grant or extend a lease, or refuse it. `highest_counters` then holds the counter that the next request has to
        exceed."""
        highest_counter = self.highest_counters.get(duty, 0)
        self.highest_counters[duty] = max(highest_counter, token.counter)
        if now < self.abstain_until or lease_duration > self.max_lease_duration:
            return False
        grant = self.grants.get(duty)
        if grant is not None and grant.token == token:
            grant.expires_at = max(grant.expires_at, now + lease_duration)
            return True
        if grant is not None and now < grant.expires_at and grant.token.holder != token.holder:
            return False
        if token.counter <= highest_counter:
            return False
        self.grants[duty] = Grant(token, now + lease_duration)
        return True

    def handle_release(self, duty: str, token: FencingToken) -> None:
        """The holder releases a lease before it expires."""
        grant = self.grants.get(duty)
        if grant is not None and grant.token == token:
            grant.expires_at = 0


class LeaseClaim:
    """One member's rounds of votes for the lease on one duty, and the lease once it is granted."""

    __slots__ = ("counter", "round_started_at", "votes", "lease_expires_at", "highest_counter", "retry_at")

    def __init__(self) -> None:
        self.counter = 0
        self.round_started_at = -1  # -1: no round of votes in progress
        self.votes: set[str] = set()
        self.lease_expires_at = -1
        self.highest_counter = 0  # seen from any member
        self.retry_at = 0

    def is_held(self, now: int) -> bool:
        return now < self.lease_expires_at

    def start_round(self, now: int) -> int:
        """Start a round of votes for a new lease. Returns its counter."""
        self.highest_counter += 1
        self.counter, self.round_started_at = self.highest_counter, now
        self.votes.clear()
        return self.counter

    def start_renewal(self, now: int) -> int:
        """Start a round of votes to extend the lease. Returns its counter."""
        self.round_started_at = now
        self.votes.clear()
        return self.counter

    def handle_vote(
        self,
        now: int,
        voter: str,
        counter: int,
        granted: bool,
        highest_counter: int,
        required_votes: int,
        lease_duration: int,
        clock_error: float,
    ) -> bool:
        """Returns whether this vote grants or extends the lease. Its duration counts from the start of the round, which is
        before any voter's clock started to count."""
        self.highest_counter = max(self.highest_counter, highest_counter)
        if not granted or counter != self.counter or self.round_started_at < 0:
            return False
        self.votes.add(voter)
        if len(self.votes) < required_votes:
            return False
        expires_at = self.round_started_at + int(lease_duration * (1 - 2 * clock_error))
        self.round_started_at = -1
        if expires_at <= now:
            return False
        self.lease_expires_at = expires_at
        return True

    def drop(self) -> None:
        self.lease_expires_at = self.round_started_at = -1
        self.votes.clear()


class TokenFence:
    """Guards the resource that duties act on. For an exclusive duty the accepted tokens never decrease. For the others each
    side of a partition continues with counters of its own: there an older token is rejected only while the newest one was
    accepted less than `active_period` ago, so that two holders that both reach the resource do not do the work twice, and
    a holder that alone reaches it is not locked out."""

    def __init__(self, active_period: int) -> None:
        self.active_period = active_period
        self.newest: dict[str, tuple[FencingToken, int]] = {}  # by duty: token, when it was last accepted

    def admit(self, now: int, duty: str, token: FencingToken, exclusive: bool) -> bool:
        newest = self.newest.get(duty)
        if newest is not None and token < newest[0] and (exclusive or now - newest[1] < self.active_period):
            return False
        self.newest[duty] = token, now
        return True
