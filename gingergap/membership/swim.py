"""Failure detection and membership: SWIM (Das, Gupta, Motivala 2002) with the Lifeguard extensions (Dadgar, Phillips, Currey
2018): local health awareness, suspicion timeouts that shorten with independent confirmations, and the buddy system.

In each period one other member is pinged, in a shuffled round-robin order. Without an ack some others are asked to ping it
(ping-req). Without an ack from these either it is suspected, and unless it refutes the suspicion in time it is declared
dead. Updates are piggybacked on these messages, a bounded number on each. A member that is slow, or was paused, raises its
own timeouts before it suspects others.

The protocol does no I/O: `MemberHost` performs its actions. All times are in tenths of a millisecond of the local
monotonic clock, which is the only clock used.
"""

import math
from enum import IntEnum
from heapq import heappop, heappush
from random import Random
from typing import Protocol

import msgspec


class MemberState(IntEnum):
    """In order of precedence: a higher state overrides a lower one of the same incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Update(msgspec.Struct, array_like=True):
    """What one member knows of another. `generation` tells the runs of a member apart, by the time of its start;
    `reporter` is the member that suspects it, if any."""

    name: str
    address: str
    generation: int
    incarnation: int
    state: int
    weight: int = 1
    reporter: str = ""


class Ping(msgspec.Struct, array_like=True, tag="p"):
    seq: int
    updates: list[Update]


class Ack(msgspec.Struct, array_like=True, tag="a"):
    seq: int
    updates: list[Update]


class PingRequest(msgspec.Struct, array_like=True, tag="r"):
    """Asks the receiver to ping another member and to forward its ack (SWIM's ping-req)."""

    seq: int
    name: str
    address: str
    updates: list[Update]


class Nack(msgspec.Struct, array_like=True, tag="n"):
    """The answer to a PingRequest whose target did not answer in time (Lifeguard)."""

    seq: int


class Sync(msgspec.Struct, array_like=True, tag="s"):
    """Anti-entropy: a part of the sender's whole state, for members that missed updates. `reply_wanted` asks for one in
    return."""

    updates: list[Update]
    reply_wanted: bool


Message = Ping | Ack | PingRequest | Nack | Sync
DECODER = msgspec.msgpack.Decoder(Message)
ENCODER = msgspec.msgpack.Encoder()
SECOND = 10_000  # in tenths of a millisecond


class MemberHost(Protocol):
    def send(self, to: str, address: str, message: Message) -> None:
        """Send a message, unreliably. `to` is empty where the name of the member at the address is not known."""

    def member_up(self, name: str) -> None:
        """A member joined, or joined again with a new generation."""

    def member_down(self, name: str, left: bool) -> None:
        """A member was declared dead, or left."""

    def name_taken(self, address: str) -> None:
        """An older instance runs under this member's name at `address`: this instance suspends itself."""


class Member:
    """What is known of another member."""

    __slots__ = (
        "name",
        "address",
        "generation",
        "incarnation",
        "state",
        "weight",
        "state_since",
        "reporters",
        "suspicion_deadline",
        "suspected_at",
    )

    def __init__(self, update: Update, now: int) -> None:
        self.name, self.address, self.generation, self.weight = update.name, update.address, update.generation, update.weight
        self.incarnation, self.state, self.state_since = update.incarnation, MemberState(update.state), now
        self.reporters: set[str] = set()  # members that confirmed the suspicion
        self.suspicion_deadline = self.suspected_at = 0

    def to_update(self, reporter: str = "") -> Update:
        return Update(self.name, self.address, self.generation, self.incarnation, int(self.state), self.weight, reporter)


class Probe:
    """An unfinished probe of another member."""

    __slots__ = ("target", "generation", "acked", "helper_count", "nacks")

    def __init__(self, target: str, generation: int) -> None:
        self.target, self.generation = target, generation
        self.acked = False
        self.helper_count = self.nacks = 0


class Membership:
    """The protocol state of one member.

    A probe starts every `period`; a direct ack is awaited for `timeout`, then `indirect_probes` helpers are asked. A
    suspicion lasts `suspicion_multiplier` periods times the logarithm of the group's size, and up to
    `max_suspicion_multiplier` times that while nobody confirms it. At most `max_updates` are piggybacked on a message.
    `seeds` are addresses where other members may be found. Dead members are forgotten after `forget_after`.
    """

    def __init__(
        self,
        host: MemberHost,
        rng: Random,
        now: int,
        name: str,
        address: str,
        generation: int,
        weight: int = 1,
        *,
        seeds: tuple[str, ...] = (),
        period: int = 5_000,
        timeout: int = 1_500,
        indirect_probes: int = 3,
        suspicion_multiplier: float = 3.0,
        max_suspicion_multiplier: float = 4.0,
        max_updates: int = 10,
        sync_interval: int = 50_000,
        forget_after: int = 600_000,
        max_health_score: int = 8,
    ) -> None:
        self.host, self.rng, self.now = host, rng, now
        self.name, self.address, self.generation, self.weight = name, address, generation, weight
        self.seeds = tuple(seed for seed in seeds if seed != address)
        self.period, self.timeout, self.indirect_probes = period, timeout, indirect_probes
        self.suspicion_multiplier, self.max_suspicion_multiplier, self.max_updates = (
            suspicion_multiplier,
            max_suspicion_multiplier,
            max_updates,
        )
        self.sync_interval, self.forget_after, self.max_health_score = sync_interval, forget_after, max_health_score
        self.incarnation = 1
        self.health_score = 0  # Lifeguard's local health multiplier, 0: healthy
        self.others: dict[str, Member] = {}
        self.suspects: set[str] = set()
        self.probe_order: list[str] = []
        self.broadcasts: dict[str, tuple[Update, int]] = {}  # latest update by name, and how often it was sent
        self.probes: dict[int, Probe] = {}
        self.relays: dict[int, tuple[str, str, int]] = {}  # own seq: who asked, its address, its seq
        self.conflict_checks: dict[int, tuple[int, int, str]] = {}  # own seq: rival's generation, incarnation, address
        self.seq = 0
        self.timers: list[tuple[int, int, str, int]] = []  # heap of (time, serial number, timer's name, seq)
        self.timer_count = 0
        self.last_tick = now
        self.leaving = self.suspended = False
        self.false_alarms = 0  # suspicions of this member that it refuted
        self._announce_self()
        self._schedule(now + rng.randrange(period), "probe")
        self._schedule(now + 1, "sync")

    # --- events ---

    def tick(self, now: int) -> None:
        """Run the timers that are due. To be called several times per `timeout`: a longer gap means that this process was
        paused."""
        gap = now - self.last_tick
        if gap > 2 * self.timeout:
            # Acks and refutations that arrived during the pause may not have been read yet: extend every deadline by the gap.
            self.timers = [(when + gap, serial, timer, seq) for when, serial, timer, seq in self.timers]
            for member in self.others.values():
                member.suspicion_deadline += gap
                member.suspected_at += gap
            self._raise_health_score(2)
        self.last_tick = self.now = now
        while self.timers and self.timers[0][0] <= now:
            _, _, timer, seq = heappop(self.timers)
            if self.suspended and timer != "again":
                continue
            match timer:
                case "probe":
                    self._start_probe()
                case "indirect":
                    self._send_ping_requests(seq)
                case "end":
                    self._finish_probe(seq)
                case "nack":
                    self._finish_relay(seq)
                case "claim":
                    self._finish_conflict_check(seq)
                case "sync":
                    self._sync()
                case "again":
                    self._resume()
        if self.suspects and not self.suspended:
            self._expire_suspicions()

    def handle_message(self, now: int, sender: str, generation: int, address: str, message: Message) -> None:
        """A message from an authenticated sender."""
        self.now = now
        if self.suspended:
            return
        match message:
            case Ping(seq, updates):
                self._apply_updates(updates)
                self.host.send(sender, address, Ack(seq, self._piggyback(sender)))
            case Ack(seq, updates):
                self._apply_updates(updates)
                self._handle_ack(seq, sender, generation)
            case PingRequest(seq, name, target_address, updates):
                self._apply_updates(updates)
                self.seq += 1
                self.relays[self.seq] = sender, address, seq
                self.host.send(name, target_address, Ping(self.seq, self._piggyback(name)))
                self._schedule(now + self.timeout, "nack", self.seq)
            case Nack(seq):
                probe = self.probes.get(seq)
                if probe is not None:
                    probe.nacks += 1
            case Sync(updates, reply_wanted):
                self._apply_updates(updates)
                if reply_wanted:
                    self.host.send(sender, address, Sync(self._partial_state(), False))

    def leave(self, now: int) -> None:
        """Announce the departure. The host keeps calling `tick` for some periods so that the update spreads."""
        self.now = now
        self.leaving = True
        self._announce_self()
        for member in self._sample(list(self.others.values()), 4):
            self.host.send(member.name, member.address, Ping(0, self._piggyback(member.name)))

    # --- queries ---

    def active_members(self) -> dict[str, int]:
        """Names and weights of the members that count as present, this one included. Suspects count until they are dead."""
        active = {member.name: member.weight for member in self.others.values() if member.state <= MemberState.SUSPECT}
        if not (self.leaving or self.suspended):
            active[self.name] = self.weight
        return active

    def active_count(self) -> int:
        return 1 + sum(member.state <= MemberState.SUSPECT for member in self.others.values())

    # --- probing ---

    def _start_probe(self) -> None:
        self._schedule(self.now + self.period * (1 + self.health_score), "probe")
        while self.probe_order:
            member = self.others.get(self.probe_order.pop())
            if member is not None and member.state <= MemberState.SUSPECT:
                break
        else:
            self.probe_order = [name for name, other in self.others.items() if other.state <= MemberState.SUSPECT]
            self.rng.shuffle(self.probe_order)
            if not self.probe_order:
                return
            member = self.others[self.probe_order.pop()]
        self.seq += 1
        self.probes[self.seq] = Probe(member.name, member.generation)
        self.host.send(member.name, member.address, Ping(self.seq, self._piggyback(member.name)))
        self._schedule(self.now + self.timeout * (1 + self.health_score), "indirect", self.seq)
        self._schedule(self.now + self.period * (1 + self.health_score) - 1, "end", self.seq)

    def _send_ping_requests(self, seq: int) -> None:
        probe = self.probes.get(seq)
        if probe is None or probe.acked or probe.target not in self.others:
            return
        target = self.others[probe.target]
        helpers = self._sample(
            [member for member in self.others.values() if member.state == MemberState.ALIVE and member is not target],
            self.indirect_probes,
        )
        probe.helper_count = len(helpers)
        for helper in helpers:
            self.host.send(helper.name, helper.address, PingRequest(seq, target.name, target.address, self._piggyback(helper.name)))
        # The ping or its ack may just have been lost: another direct ping is worth as much as one by a helper.
        self.host.send(target.name, target.address, Ping(seq, self._piggyback(target.name)))

    def _handle_ack(self, seq: int, sender: str, generation: int) -> None:
        if seq in self.relays:
            requester, address, requester_seq = self.relays.pop(seq)
            self.host.send(requester, address, Ack(requester_seq, self._piggyback(requester)))
            return
        if seq in self.conflict_checks:
            rival_generation, incarnation, address = self.conflict_checks[seq]
            if sender == self.name and generation == rival_generation:
                del self.conflict_checks[seq]
                self._resolve_name_conflict(rival_generation, incarnation, address)
            return
        probe = self.probes.get(seq)
        if probe is not None and not probe.acked:
            probe.acked = True
            self.health_score = max(0, self.health_score - 1)

    def _finish_probe(self, seq: int) -> None:
        probe = self.probes.pop(seq, None)
        if probe is None or probe.acked:
            return
        member = self.others.get(probe.target)
        # If helpers did not answer either, the fault may be on this side (Lifeguard section IV.A).
        self._raise_health_score(1 if probe.helper_count and probe.nacks < probe.helper_count else 0)
        if member is not None and member.generation == probe.generation and member.state == MemberState.ALIVE:
            update = member.to_update(self.name)
            update.state = int(MemberState.SUSPECT)
            self._apply_update(update)

    def _finish_relay(self, seq: int) -> None:
        relay = self.relays.pop(seq, None)
        if relay is not None:
            self.host.send(relay[0], relay[1], Nack(relay[2]))

    def _raise_health_score(self, amount: int) -> None:
        self.health_score = min(self.max_health_score, self.health_score + amount)

    # --- suspicions ---

    def _expire_suspicions(self) -> None:
        for name in sorted(self.suspects):
            member = self.others.get(name)
            if member is None or member.state != MemberState.SUSPECT:
                self.suspects.discard(name)
            elif self.now >= member.suspicion_deadline:
                update = member.to_update()
                update.state = int(MemberState.DEAD)
                self._apply_update(update)

    def _forget_dead_members(self) -> None:
        for member in list(self.others.values()):
            if member.state >= MemberState.DEAD and self.now - member.state_since > self.forget_after:
                del self.others[member.name]
                self.broadcasts.pop(member.name, None)

    def _suspicion_timeout(self, member: Member) -> int:
        """The longest timeout while nobody confirms the suspicion, shorter with each confirmation (Lifeguard IV.B)."""
        shortest = self.suspicion_multiplier * max(1.0, math.log10(max(1, self.active_count()))) * self.period
        expected = min(3, self.active_count() - 2)
        if expected < 1:
            return int(shortest)
        longest = shortest * self.max_suspicion_multiplier
        confirmed = max(0, len(member.reporters) - 1)
        fraction = math.log(confirmed + 1) / math.log(expected + 1)
        return int(max(shortest, longest - (longest - shortest) * fraction))

    # --- received updates ---

    def _apply_updates(self, updates: list[Update]) -> None:
        for update in updates:
            if update.name == self.name:
                self._apply_own_update(update)
            elif 0 <= update.state <= MemberState.LEFT:
                self._apply_update(update)

    def _apply_update(self, update: Update) -> None:
        member = self.others.get(update.name)
        if member is None:
            if update.state > MemberState.SUSPECT:
                return  # an unknown member that is gone
            member = self.others[update.name] = Member(update, self.now)
            self.probe_order.insert(self.rng.randrange(len(self.probe_order) + 1), update.name)
            if member.state == MemberState.SUSPECT:
                self._start_suspicion(member, update.reporter)
            self.broadcasts[update.name] = update, 0
            self.host.member_up(update.name)
            return
        if (update.generation, update.incarnation, update.state) == (member.generation, member.incarnation, member.state):
            if member.state == MemberState.SUSPECT and update.reporter and update.reporter not in member.reporters:
                member.reporters.add(update.reporter)
                member.suspicion_deadline = member.suspected_at + self._suspicion_timeout(member)
                if len(member.reporters) <= 4:
                    self.broadcasts[update.name] = update, 0  # a few confirmations are spread too
            return
        if update.generation == member.generation:
            newer = (update.incarnation, update.state) > (member.incarnation, member.state)
        else:
            newer = (update.incarnation, -update.generation) > (member.incarnation, -member.generation)
        if not newer:
            return
        previous_state, restarted = member.state, update.generation != member.generation
        member.address, member.generation, member.weight = update.address, update.generation, update.weight
        member.incarnation, member.state, member.state_since = update.incarnation, MemberState(update.state), self.now
        member.reporters = set()
        self.broadcasts[update.name] = update, 0
        if member.state == MemberState.SUSPECT:
            self._start_suspicion(member, update.reporter)
        active = member.state <= MemberState.SUSPECT
        if previous_state <= MemberState.SUSPECT and (not active or restarted):
            self.host.member_down(update.name, member.state == MemberState.LEFT)
        if active and (previous_state > MemberState.SUSPECT or restarted):
            self.host.member_up(update.name)

    def _start_suspicion(self, member: Member, reporter: str) -> None:
        self.suspects.add(member.name)
        member.reporters = {reporter} if reporter else set()
        member.suspected_at = self.now
        member.suspicion_deadline = self.now + self._suspicion_timeout(member)

    def _apply_own_update(self, update: Update) -> None:
        if update.generation == self.generation:
            if update.state != MemberState.ALIVE and update.incarnation >= self.incarnation and not self.leaving:
                self.incarnation = update.incarnation + 1
                self.false_alarms += 1
                self._raise_health_score(1)
                self._announce_self()
            return
        if update.incarnation < self.incarnation:
            return  # superseded already
        if update.state > MemberState.SUSPECT or update.address == self.address:
            self.incarnation = update.incarnation + 1  # an earlier run of this member
            self._announce_self()
        elif not any(rival == update.generation for rival, _, _ in self.conflict_checks.values()):
            # Another instance runs, or ran until a moment ago, under this name at another address: ping it.
            self.seq += 1
            self.conflict_checks[self.seq] = update.generation, update.incarnation, update.address
            self.host.send("", update.address, Ping(self.seq, []))
            self._schedule(self.now + 2 * self.timeout, "claim", self.seq)

    def _finish_conflict_check(self, seq: int) -> None:
        check = self.conflict_checks.pop(seq, None)
        if check is not None:  # no answer: the other instance is gone
            self.incarnation = max(self.incarnation, check[1] + 1)
            self._announce_self()

    def _resolve_name_conflict(self, generation: int, incarnation: int, address: str) -> None:
        """Two instances run under one name: the younger one suspends itself and tries again later."""
        if generation < self.generation:
            self.suspended = True
            self._schedule(self.now + 20 * self.period, "again")
            self.host.name_taken(address)
        else:
            self.incarnation = max(self.incarnation, incarnation + 1)
            self._announce_self()

    def _resume(self) -> None:
        self.suspended = False
        self.timers.clear()
        self._schedule(self.now + self.period, "probe")
        self._schedule(self.now + 1, "sync")

    # --- dissemination ---

    def _announce_self(self) -> None:
        self.broadcasts[self.name] = self._own_update(), 0

    def _own_update(self) -> Update:
        state = MemberState.LEFT if self.leaving else MemberState.ALIVE
        return Update(self.name, self.address, self.generation, self.incarnation, int(state), self.weight)

    def _piggyback(self, to: str) -> list[Update]:
        """The updates for one message: first a suspicion of its receiver, so that it can refute it, then those sent least
        often. Each update is sent about three times the logarithm of the group's size, which reaches all members with
        high probability (SWIM 4.1)."""
        updates = []
        member = self.others.get(to)
        if member is not None and member.state != MemberState.ALIVE:
            updates.append(member.to_update(next(iter(sorted(member.reporters)), "")))
        max_transmissions = math.ceil(3 * math.log2(self.active_count() + 1))
        for name in sorted(self.broadcasts, key=lambda key: self.broadcasts[key][1])[: self.max_updates]:
            update, sent = self.broadcasts[name]
            updates.append(update)
            if sent + 1 >= max_transmissions:
                del self.broadcasts[name]
            else:
                self.broadcasts[name] = update, sent + 1
        return updates[: self.max_updates]

    def _partial_state(self) -> list[Update]:
        """A bounded part of the whole state: this member and a random sample of the others, dead ones included."""
        sample = self._sample(list(self.others.values()), 8 * self.max_updates)
        return [self._own_update(), *(member.to_update() for member in sample)]

    def _sync(self) -> None:
        """Exchange state with one active member, to repair missed updates, and with some addresses of dead members and
        seeds, so that the sides of a partition find each other again."""
        self._forget_dead_members()
        active = [member for member in self.others.values() if member.state <= MemberState.SUSPECT]
        for member in self._sample(active, 1):
            self.host.send(member.name, member.address, Sync(self._partial_state(), True))
        known = {member.address for member in active}
        dead = [member.address for member in self.others.values() if member.state == MemberState.DEAD]
        candidates = sorted(set(dead) | set(self.seeds) - known)
        for address in self._sample(candidates, 2 if active else 4):
            self.host.send("", address, Sync(self._partial_state(), True))
        # Exactly one timer in every case: with a second one for a member without others, the number of timers doubled at
        # each sync while it stayed alone.
        alone = not active and self.seeds
        self._schedule(
            self.now + (self.period if alone else self.sync_interval // 2 + self.rng.randrange(self.sync_interval)), "sync"
        )

    def _sample(self, pool: list, count: int) -> list:
        return self.rng.sample(pool, min(count, len(pool)))

    def _schedule(self, when: int, timer: str, seq: int = 0) -> None:
        self.timer_count += 1
        heappush(self.timers, (when, self.timer_count, timer, seq))
