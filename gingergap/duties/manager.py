"""Decides which duties one member acquires, holds, hands over or leaves to others. No I/O; times in tenths of a millisecond.

The preferred member of a duty is the first active one of its ranking (placement.py); it asks for the lease. A holder that
is no longer the preferred member hands the duty over once that member has been active for a while. The members next in
the ranking take over, one after the other, when a duty is overdue although its preferred member counts as active: it
hangs, fails, or cannot reach what the duty needs.
"""

from random import Random
from typing import NamedTuple, Protocol

from .leases import FencingToken, LeaseClaim, Voter
from .placement import rank_members


class Duty(NamedTuple):
    """A periodic duty. `limit` is how long it may go without being performed, `cost` is in ms of work, `priority` is
    relative to other background work. An exclusive duty is performed on at most one side of a partition, the one with a
    majority of all configured members; other duties continue on each side."""

    name: str
    period: int
    limit: int
    cost: float = 1.0
    priority: float = 1.0
    exclusive: bool = True


class DutyHost(Protocol):
    def request_votes(self, duty: str, token: FencingToken, lease_duration: int, done_ago: int) -> None:
        """Ask all other members for their votes. `done_ago` is the time since this member last performed the duty, -1 for
        never."""

    def release_lease(self, duty: str, token: FencingToken) -> None:
        """Tell all other members that a lease is released."""

    def start_duty(self, duty: Duty, token: FencingToken, first_in: int) -> None:
        """The lease is acquired: perform the duty in `first_in`, then every period, until `stop_duty`."""

    def stop_duty(self, duty: Duty) -> None:
        """The lease is lost or released."""


class DutyState:
    """What the manager knows of one duty."""

    __slots__ = (
        "duty",
        "claim",
        "held_since",
        "own_done_at",
        "last_done_at",
        "failures",
        "excluded_until",
        "preferred_member",
        "preferred_since",
        "takeover_until",
        "ranked_members",
    )

    def __init__(self, duty: Duty, now: int) -> None:
        self.duty = duty
        self.claim = LeaseClaim()
        self.held_since = -1  # -1: not held
        self.own_done_at = -1  # last performed by this member, -1: never
        self.last_done_at = now  # last performed by any member, as far as known; starts at `now` to give others time
        self.failures = 0  # in a row
        self.excluded_until = 0  # after failures this member does not ask for the lease until then
        self.preferred_member, self.preferred_since = "", now
        self.ranked_members: list[str] = []  # active members, the preferred one first
        self.takeover_until = now  # no handover to a preferred member that did not perform the duty, until then


class DutyManager:
    """`configured_members` are names, `clock_error` bounds the difference between the rates of two clocks as a fraction,
    `handover_delay` is how long the preferred member has to be active before a duty is handed over to it, and
    `vote_timeout` how long a round of votes may take."""

    def __init__(
        self,
        host: DutyHost,
        rng: Random,
        now: int,
        name: str,
        generation: int,
        configured_members: frozenset[str],
        duties: list[Duty],
        *,
        lease_duration: int = 30_000,
        clock_error: float = 0.01,
        handover_delay: int = 10_000,
        vote_timeout: int = 5_000,
    ) -> None:
        self.host, self.rng, self.name, self.configured_members = host, rng, name, configured_members | {name}
        self.holder = f"{name}/{generation:x}"
        self.lease_duration, self.clock_error, self.handover_delay, self.vote_timeout = (
            lease_duration,
            clock_error,
            handover_delay,
            vote_timeout,
        )
        self.voter = Voter(now, lease_duration, clock_error)
        self.states = {duty.name: DutyState(duty, now) for duty in duties}
        self.active_members: dict[str, int] = {}

    # --- events ---

    def tick(self, now: int, active_members: dict[str, int]) -> None:
        """Time has passed. `active_members` maps names to weights, this member included unless it is leaving."""
        # The ranking is computed only on a change: at each tick it cost a fifth of the time with sixty members and duties.
        if active_members != self.active_members:
            self.active_members = dict(active_members)
            eligible = {name: weight for name, weight in active_members.items() if name in self.configured_members}
            for state in self.states.values():
                state.ranked_members = rank_members(eligible, state.duty.name)
        for state in self.states.values():
            self._update_duty(now, state, active_members)

    def restore_counter(self, duty: str, counter: int) -> None:
        """A counter that this member had seen before its restart: none that is not higher is requested or granted."""
        self.voter.highest_counters[duty] = max(counter, self.voter.highest_counters.get(duty, 0))
        if duty in self.states:
            self.states[duty].claim.highest_counter = max(counter, self.states[duty].claim.highest_counter)

    def counters(self) -> dict[str, int]:
        """The highest counter seen of each duty."""
        counters = {name: state.claim.highest_counter for name, state in self.states.items() if state.claim.highest_counter}
        for duty, counter in self.voter.highest_counters.items():
            counters[duty] = max(counter, counters.get(duty, 0))
        return counters

    def handle_vote_request(self, now: int, duty: str, token: FencingToken, lease_duration: int, done_ago: int) -> tuple[bool, int]:
        """Returns whether this member votes for the request, and the highest counter that it has seen of the duty."""
        state = self.states.get(duty)
        if state is not None:
            state.claim.highest_counter = max(state.claim.highest_counter, token.counter)
            if done_ago >= 0:
                state.last_done_at = max(state.last_done_at, now - done_ago)
        granted = self.voter.handle_vote_request(now, duty, token, lease_duration)
        return granted, self.voter.highest_counters.get(duty, 0)

    def handle_vote(
        self,
        now: int,
        voter: str,
        duty: str,
        counter: int,
        granted: bool,
        highest_counter: int,
        active_members: dict[str, int],
    ) -> None:
        state = self.states.get(duty)
        if state is None or voter not in self.configured_members:
            return
        if (
            state.claim.handle_vote(
                now,
                voter,
                counter,
                granted,
                highest_counter,
                self._required_votes(state, active_members),
                self.lease_duration,
                self.clock_error,
            )
            and state.held_since < 0
        ):
            state.held_since = now
            first_in = max(0, state.last_done_at + state.duty.period - now)
            self.host.start_duty(state.duty, self.token(state), first_in)

    def handle_release(self, now: int, duty: str, token: FencingToken) -> None:
        self.voter.handle_release(duty, token)
        state = self.states.get(duty)
        if state is not None:
            state.claim.retry_at = min(state.claim.retry_at, now)

    def record_success(self, now: int, duty: str) -> None:
        state = self.states[duty]
        state.own_done_at = state.last_done_at = now
        state.failures = 0

    def record_failure(self, now: int, duty: str) -> None:
        """The duty raised an exception or exceeded its deadline. After two failures in a row another member shall try."""
        state = self.states[duty]
        state.failures += 1
        if state.failures >= 2:
            state.failures = 0
            state.excluded_until = now + 2 * state.duty.limit
            self._release(now, state)

    def handle_stale_token(self, now: int, duty: str, newest: FencingToken) -> None:
        """The resource has seen a newer token: another member holds the lease, whatever this one assumed."""
        state = self.states[duty]
        state.claim.highest_counter = max(state.claim.highest_counter, newest.counter)
        state.last_done_at = now
        state.claim.retry_at = now + state.duty.limit if not state.duty.exclusive else now + self.vote_timeout
        self._drop_lease(state)

    def leave(self, now: int) -> None:
        """Release all leases, so that other members can take over at once."""
        for state in self.states.values():
            state.excluded_until = now + (1 << 60)
            self._release(now, state)

    # --- queries ---

    def may_act(self, now: int, duty: str) -> bool:
        """Whether the lease is held. To be checked before each effect of the duty."""
        return self.states[duty].claim.is_held(now)

    def token(self, state: DutyState) -> FencingToken:
        return FencingToken(state.claim.counter, self.holder)

    def token_of(self, duty: str) -> FencingToken:
        return self.token(self.states[duty])

    # --- leases ---

    def _required_votes(self, state: DutyState, active_members: dict[str, int]) -> int:
        """A majority: of all configured members for an exclusive duty, of the active ones for the others."""
        if state.duty.exclusive:
            return len(self.configured_members) // 2 + 1
        return len(set(active_members) & self.configured_members) // 2 + 1

    def _update_duty(self, now: int, state: DutyState, active_members: dict[str, int]) -> None:
        claim, duty = state.claim, state.duty
        ranked_members = state.ranked_members
        preferred_member = ranked_members[0] if ranked_members else ""
        if preferred_member != state.preferred_member:
            state.preferred_member, state.preferred_since = preferred_member, now
        if state.held_since >= 0 and not claim.is_held(now):
            self._drop_lease(state)
        rank = ranked_members.index(self.name) if self.name in ranked_members else len(ranked_members)
        if claim.round_started_at >= 0 and now - claim.round_started_at > self.vote_timeout:
            # Too few votes. Those granted block other members, so they are released. The delay before the next round is
            # random, and shorter for a better rank: with equal delays rivals collided round after round in the model.
            claim.round_started_at = -1
            claim.retry_at = now + self.rng.randrange(self.vote_timeout // 2, (2 + 2 * rank) * self.vote_timeout)
            if state.held_since < 0:
                self.voter.handle_release(duty.name, self.token(state))
                self.host.release_lease(duty.name, self.token(state))
        if state.held_since >= 0:
            if (
                preferred_member not in ("", self.name)
                and now - state.preferred_since > self.handover_delay
                and now >= state.takeover_until
            ):
                self._release(now, state)
            elif claim.round_started_at < 0 and claim.lease_expires_at - now < self.lease_duration * 2 // 3:
                self._request_votes(now, state, claim.start_renewal(now), active_members)
            return
        if self.name not in ranked_members or now < state.excluded_until or now < claim.retry_at or claim.round_started_at >= 0:
            return
        overdue = now - state.last_done_at - duty.limit // 2
        turn = overdue // max(1, duty.limit // 8)
        if rank == 0:
            if now - state.preferred_since >= self.handover_delay // 4:
                self._request_votes(now, state, claim.start_round(now), active_members)
        elif overdue > 0 and turn % len(ranked_members) == rank:  # one member after the other
            state.takeover_until = now + 2 * duty.limit
            self._request_votes(now, state, claim.start_round(now), active_members)

    def _request_votes(self, now: int, state: DutyState, counter: int, active_members: dict[str, int]) -> None:
        token = FencingToken(counter, self.holder)
        done_ago = now - state.own_done_at if state.own_done_at >= 0 else -1
        self.host.request_votes(state.duty.name, token, self.lease_duration, done_ago)
        granted, highest_counter = self.handle_vote_request(now, state.duty.name, token, self.lease_duration, -1)
        self.handle_vote(now, self.name, state.duty.name, counter, granted, highest_counter, active_members)

    def _release(self, now: int, state: DutyState) -> None:
        if state.held_since >= 0:
            token = self.token(state)
            self.voter.handle_release(state.duty.name, token)
            self.host.release_lease(state.duty.name, token)
            state.claim.retry_at = now + self.vote_timeout
        self._drop_lease(state)

    def _drop_lease(self, state: DutyState) -> None:
        state.claim.drop()
        if state.held_since >= 0:
            state.held_since = -1
            self.host.stop_duty(state.duty)
