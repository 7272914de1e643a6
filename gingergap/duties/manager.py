"""Decides for one member which duties it strives for, holds, hands over or leaves to others. No I/O.

The nearest member present (placement.py) asks for the lease. Whoever holds a duty that another is nearer to hands it
over when that one has been there for a while. The next in rank step in, one after the other, when a duty is overdue
though its owner counts as present: it hangs, fails, or can't reach what the duty needs.
"""

from random import Random
from typing import NamedTuple, Protocol

from .leases import Claim, FencingToken, Voter
from .placement import rank_members


class Duty(NamedTuple):
    """`period` between times it is done, `limit` how long it may go undone, `cost` in ms of work, `worth` against
    other background work. `once`: at most one part of a split does it, the one with a majority of all members;
    else each part goes on."""

    name: str
    period: int
    limit: int
    cost: float = 1.0
    priority: float = 1.0
    exclusive: bool = True


class DutyHost(Protocol):
    def request_votes(self, duty: str, token: FencingToken, lease_duration: int, done_ago: int) -> None:
        """Ask all others for their votes; `done_ago` is how long ago the asker did it, -1 for never."""

    def release_lease(self, duty: str, token: FencingToken) -> None:
        """Tell all that a lease is given back."""

    def start_duty(self, duty: Duty, token: FencingToken, first_in: int) -> None:
        """The duty is ours: do it in `first_in`, then each period, until `end`."""

    def stop_duty(self, duty: Duty) -> None:
        """The duty is no longer ours."""


class DutyState:
    """What the keeper knows of one duty."""

    __slots__ = (
        "duty",
        "claim",
        "held_since",
        "done_at",
        "last_done_at",
        "failures",
        "aside_until",
        "preferred_member",
        "preferred_since",
        "stands_in_until",
        "order",
    )

    def __init__(self, duty: Duty, now: int) -> None:
        self.duty = duty
        self.claim = Claim()
        self.held_since = -1  # when it became ours, -1: it is not
        self.done_at = -1
        self.last_done_at = now  # by anybody, as far as known; at first: give others time
        self.failures = 0
        self.aside_until = 0
        self.preferred_member, self.preferred_since = "", now
        self.order: list[str] = []  # members present, the nearest first
        self.stands_in_until = now  # for an owner that is there but does not do it


class DutyManager:
    """`everybody` are the configured members' names, `lasts` the length of a lease, `error` the clocks' rate error,
    `settle` how long a nearer member has to be present before a duty is handed to it."""

    def __init__(
        self,
        host: DutyHost,
        draw: Random,
        now: int,
        name: str,
        life: int,
        everybody: frozenset[str],
        duties: list[Duty],
        *,
        lease_duration: int = 30_000,
        clock_error: float = 0.01,
        handover_delay: int = 10_000,
        vote_timeout: int = 5_000,
    ) -> None:
        self.host, self.draw, self.name, self.everybody = host, draw, name, everybody | {name}
        self.holder = f"{name}/{life:x}"
        self.lease_duration, self.clock_error, self.handover_delay, self.vote_timeout = (
            lease_duration,
            clock_error,
            handover_delay,
            vote_timeout,
        )
        self.voter = Voter(now, lease_duration, clock_error)
        self.states = {duty.name: DutyState(duty, now) for duty in duties}
        self.present: dict[str, int] = {}

    # --- what can happen ---

    def tick(self, now: int, present: dict[str, int]) -> None:
        """Time has passed. `present` are the members there, oneself included unless it leaves."""
        if present != self.present:  # ranking all anew at each look cost a fifth of the time with sixty of each
            self.present = dict(present)
            able = {name: weight for name, weight in present.items() if name in self.everybody}
            for held in self.states.values():
                held.order = rank_members(able, held.duty.name)
        for held in self.states.values():
            self._look(now, held, present)

    def restore_counter(self, duty: str, counter: int) -> None:
        """A counter that this member had heard of before it was started again: no older one is asked for or granted."""
        self.voter.newest[duty] = max(counter, self.voter.newest.get(duty, 0))
        if duty in self.states:
            self.states[duty].claim.heard = max(counter, self.states[duty].claim.heard)

    def counters(self) -> dict[str, int]:
        """The highest counter heard of for each duty."""
        heard = {name: held.claim.heard for name, held in self.states.items() if held.claim.heard}
        for duty, counter in self.voter.newest.items():
            heard[duty] = max(counter, heard.get(duty, 0))
        return heard

    def handle_vote_request(self, now: int, duty: str, token: FencingToken, lease_duration: int, done_ago: int) -> tuple[bool, int]:
        """Another asks for our vote: whether it has it, and the highest counter heard of."""
        held = self.states.get(duty)
        if held is not None:
            held.claim.heard = max(held.claim.heard, token.counter)
            if done_ago >= 0:
                held.last_done_at = max(held.last_done_at, now - done_ago)
        granted = self.voter.handle_vote_request(now, duty, token, lease_duration)
        return granted, self.voter.newest.get(duty, 0)

    def handle_vote(
        self, now: int, voter: str, duty: str, counter: int, granted: bool, newest: int, present: dict[str, int]
    ) -> None:
        held = self.states.get(duty)
        if held is None or voter not in self.everybody:
            return
        if (
            held.claim.handle_vote(
                now, voter, counter, granted, newest, self._needed(held, present), self.lease_duration, self.clock_error
            )
            and held.held_since < 0
        ):
            held.held_since = now
            first_in = max(0, held.last_done_at + held.duty.period - now)
            self.host.start_duty(held.duty, self.token(held), first_in)

    def handle_release(self, now: int, duty: str, token: FencingToken) -> None:
        self.voter.handle_release(duty, token)
        held = self.states.get(duty)
        if held is not None:
            held.claim.not_before = min(held.claim.not_before, now)

    def record_success(self, now: int, duty: str) -> None:
        held = self.states[duty]
        held.done_at = held.last_done_at = now
        held.failures = 0

    def record_failure(self, now: int, duty: str) -> None:
        """It raised, or hung past its time. Twice in a row, and another shall try."""
        held = self.states[duty]
        held.failures += 1
        if held.failures >= 2:
            held.failures = 0
            held.aside_until = now + 2 * held.duty.limit
            self._give_up(now, held)

    def handle_stale_token(self, now: int, duty: str, newest: FencingToken) -> None:
        """What the duty touches has seen a newer token: the lease is another's, whatever we believed."""
        held = self.states[duty]
        held.claim.heard = max(held.claim.heard, newest.counter)
        held.last_done_at = now
        held.claim.not_before = now + held.duty.limit if not held.duty.exclusive else now + self.vote_timeout
        self._lose(held)

    def leave(self, now: int) -> None:
        """Give everything back, so that others can go on at once."""
        for held in self.states.values():
            held.aside_until = now + (1 << 60)
            self._give_up(now, held)

    # --- what others read ---

    def may_act(self, now: int, duty: str) -> bool:
        """To be asked before each effect."""
        return self.states[duty].claim.holds(now)

    def token(self, held: DutyState) -> FencingToken:
        return FencingToken(held.claim.counter, self.holder)

    def token_of(self, duty: str) -> FencingToken:
        return self.token(self.states[duty])

    # --- parts ---

    def _needed(self, held: DutyState, present: dict[str, int]) -> int:
        """Votes that make a lease: of all configured members for *once at most*, of those present for *at least once*."""
        if held.duty.exclusive:
            return len(self.everybody) // 2 + 1
        return len(set(present) & self.everybody) // 2 + 1

    def _look(self, now: int, held: DutyState, present: dict[str, int]) -> None:
        claim, duty = held.claim, held.duty
        order = held.order
        owner = order[0] if order else ""
        if owner != held.preferred_member:
            held.preferred_member, held.preferred_since = owner, now
        if held.held_since >= 0 and not claim.holds(now):
            self._lose(held)
        rank = order.index(self.name) if self.name in order else len(order)
        if claim.asked_at >= 0 and now - claim.asked_at > self.vote_timeout:
            # Too few votes. Those that we have bar others, so they are given back; and again after a while that differs
            # between rivals, the nearer sooner: claims that met each other round after round were seen in the model.
            claim.asked_at = -1
            claim.not_before = now + self.draw.randrange(self.vote_timeout // 2, (2 + 2 * rank) * self.vote_timeout)
            if held.held_since < 0:
                self.voter.handle_release(duty.name, self.token(held))
                self.host.release_lease(duty.name, self.token(held))
        if held.held_since >= 0:
            if owner not in ("", self.name) and now - held.preferred_since > self.handover_delay and now >= held.stands_in_until:
                self._give_up(now, held)
            elif claim.asked_at < 0 and claim.held_until - now < self.lease_duration * 2 // 3:
                self._ask(now, held, claim.renew(now), present)
            return
        if self.name not in order or now < held.aside_until or now < claim.not_before or claim.asked_at >= 0:
            return
        overdue = now - held.last_done_at - duty.limit // 2
        turn = overdue // max(1, duty.limit // 8)
        if rank == 0:
            if now - held.preferred_since >= self.handover_delay // 4:
                self._ask(now, held, claim.ask(now), present)
        elif overdue > 0 and turn % len(order) == rank:  # one after the other
            held.stands_in_until = now + 2 * duty.limit
            self._ask(now, held, claim.ask(now), present)

    def _ask(self, now: int, held: DutyState, counter: int, present: dict[str, int]) -> None:
        token = FencingToken(counter, self.holder)
        done_ago = now - held.done_at if held.done_at >= 0 else -1
        self.host.request_votes(held.duty.name, token, self.lease_duration, done_ago)
        granted, newest = self.handle_vote_request(now, held.duty.name, token, self.lease_duration, -1)
        self.handle_vote(now, self.name, held.duty.name, counter, granted, newest, present)

    def _give_up(self, now: int, held: DutyState) -> None:
        if held.held_since >= 0:
            token = self.token(held)
            self.voter.handle_release(held.duty.name, token)
            self.host.release_lease(held.duty.name, token)
            held.claim.not_before = now + self.vote_timeout
        self._lose(held)

    def _lose(self, held: DutyState) -> None:
        held.claim.drop()
        if held.held_since >= 0:
            held.held_since = -1
            self.host.stop_duty(held.duty)
