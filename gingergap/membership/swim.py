"""Failure detection and membership: SWIM (Das, Gupta, Motivala 2002) with Lifeguard's local health awareness, its
suspicions that shorten with independent confirmations, and its buddy system (Dadgar, Phillips, Currey 2018).

Each period one other member is pinged, in a shuffled round; without an answer some others are asked to ping it; then
it is suspected, and unless it refutes the suspicion in time it is dead. What is learned rides on these messages, each
bounded. Whoever is slow itself, or was stopped for a while, doubts itself first. No I/O; times in tenths of a
millisecond of the own monotonic clock, which is the only clock used.
"""

import math
from enum import IntEnum
from heapq import heappop, heappush
from random import Random
from typing import Protocol

import msgspec


class MemberState(IntEnum):
    """In the order in which one word overrides another of the same incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Update(msgspec.Struct, array_like=True):
    """A word on a member. `life` tells its starts apart; `by` who suspects it."""

    name: str
    address: str
    generation: int
    incarnation: int
    state: int
    weight: int = 1
    by: str = ""


class Ping(msgspec.Struct, array_like=True, tag="p"):
    seq: int
    updates: list[Update]


class Ack(msgspec.Struct, array_like=True, tag="a"):
    seq: int
    updates: list[Update]


class PingFor(msgspec.Struct, array_like=True, tag="r"):
    """Ask another to ping a member and pass its answer on."""

    seq: int
    name: str
    address: str
    updates: list[Update]


class Nack(msgspec.Struct, array_like=True, tag="n"):
    """I am there, but the one you asked me to ping does not answer me either."""

    seq: int


class Sync(msgspec.Struct, array_like=True, tag="s"):
    """Part of the whole state, for those who missed updates. `answer` asks for the other's part."""

    updates: list[Update]
    answer: bool


Message = Ping | Ack | PingFor | Nack | Sync
DECODER = msgspec.msgpack.Decoder(Message)
ENCODER = msgspec.msgpack.Encoder()
SECOND = 10_000


class MemberHost(Protocol):
    def send(self, to: str, address: str, message: Message) -> None:
        """Send, perhaps in vain. `to` is empty where the name at the address is not known."""

    def member_up(self, name: str) -> None:
        """A member is there, or there again with a new life."""

    def member_down(self, name: str, left: bool) -> None:
        """A member is dead, or has left."""

    def name_taken(self, address: str) -> None:
        """Another instance, older than this, runs under our name: this one stays out."""


class Member:
    """What is known of another."""

    __slots__ = ("name", "address", "generation", "incarnation", "state", "weight", "state_since", "by", "deadline", "began")

    def __init__(self, word: Update, now: int) -> None:
        self.name, self.address, self.generation, self.weight = word.name, word.address, word.generation, word.weight
        self.incarnation, self.state, self.state_since = word.incarnation, MemberState(word.state), now
        self.by: set[str] = set()  # who has confirmed the suspicion
        self.deadline = self.began = 0

    def word(self, by: str = "") -> Update:
        return Update(self.name, self.address, self.generation, self.incarnation, int(self.state), self.weight, by)


class Probe:
    """A ping of ours under way."""

    __slots__ = ("target", "generation", "acked", "asked", "nacks")

    def __init__(self, target: str, generation: int) -> None:
        self.target, self.generation = target, generation
        self.acked = False
        self.asked = self.nacks = 0


class Membership:
    """`period` between pings, `timeout` for a direct answer, `indirect` helpers; a suspicion lasts `patience` periods
    times the logarithm of the size, and up to `widest` times that while nobody confirms it. `most_updates` ride on a
    message. `seeds` are addresses where others may be found."""

    def __init__(
        self,
        host: MemberHost,
        draw: Random,
        now: int,
        name: str,
        address: str,
        generation: int,
        weight: int = 1,
        *,
        seeds: tuple[str, ...] = (),
        period: int = 5_000,
        timeout: int = 1_500,
        indirect: int = 3,
        patience: float = 3.0,
        widest: float = 4.0,
        most_updates: int = 10,
        sync_interval: int = 50_000,
        forget_after: int = 600_000,
        most_health: int = 8,
    ) -> None:
        self.host, self.draw, self.now = host, draw, now
        self.name, self.address, self.generation, self.weight = name, address, generation, weight
        self.seeds = tuple(seed for seed in seeds if seed != address)
        self.period, self.timeout, self.indirect = period, timeout, indirect
        self.patience, self.widest, self.most_updates = patience, widest, most_updates
        self.sync_interval, self.forget_after, self.most_health = sync_interval, forget_after, most_health
        self.incarnation = 1
        self.health_score = 0  # Lifeguard's local health multiplier, 0: well
        self.others: dict[str, Member] = {}
        self.suspects: set[str] = set()
        self.ring: list[str] = []
        self.news: dict[str, tuple[Update, int]] = {}  # latest word by name, and how often it was sent
        self.probes: dict[int, Probe] = {}
        self.relays: dict[int, tuple[str, str, int]] = {}  # own seq: who asked, where, under which seq
        self.claims: dict[int, tuple[int, int, str]] = {}  # own seq: rival's life, incarnation, address
        self.seq = 0
        self.heap: list[tuple[int, int, str, int]] = []
        self.pushed = 0
        self.last_due = now
        self.leaving = self.suspended = False
        self.false_alarms = 0  # suspicions of us that we had to refute
        self._say_own()
        self._at(now + draw.randrange(period), "probe")
        self._at(now + 1, "sync")

    # --- what can happen ---

    def tick(self, now: int) -> None:
        """Time has passed. To be called several times a timeout; a long gap means that we stood still."""
        gap = now - self.last_due
        if gap > 2 * self.timeout:
            # We were stopped, or starved: answers and refutations may lie unread, so every deadline moves by as much.
            self.heap = [(when + gap, order, what, about) for when, order, what, about in self.heap]
            for member in self.others.values():
                member.deadline += gap
                member.began += gap
            self._unwell(2)
        self.last_due = self.now = now
        while self.heap and self.heap[0][0] <= now:
            _, _, what, about = heappop(self.heap)
            if self.suspended and what != "again":
                continue
            match what:
                case "probe":
                    self._probe()
                case "indirect":
                    self._ask_others(about)
                case "end":
                    self._probe_over(about)
                case "nack":
                    self._relay_over(about)
                case "claim":
                    self._claim_over(about)
                case "sync":
                    self._sync()
                case "again":
                    self._come_again()
        if self.suspects and not self.suspended:
            self._judge_suspicions()

    def handle_message(self, now: int, sender: str, generation: int, address: str, message: Message) -> None:
        """A message whose sender has been proven."""
        self.now = now
        if self.suspended:
            return
        match message:
            case Ping(seq, updates):
                self._hear(updates)
                self.host.send(sender, address, Ack(seq, self._riders(sender)))
            case Ack(seq, updates):
                self._hear(updates)
                self._acked(seq, sender, generation)
            case PingFor(seq, name, there, updates):
                self._hear(updates)
                self.seq += 1
                self.relays[self.seq] = sender, address, seq
                self.host.send(name, there, Ping(self.seq, self._riders(name)))
                self._at(now + self.timeout, "nack", self.seq)
            case Nack(seq):
                probe = self.probes.get(seq)
                if probe is not None:
                    probe.nacks += 1
            case Sync(updates, answer):
                self._hear(updates)
                if answer:
                    self.host.send(sender, address, Sync(self._part(), False))

    def leave(self, now: int) -> None:
        """Say good-bye; the host goes on for some periods so that the word spreads."""
        self.now = now
        self.leaving = True
        self._say_own()
        for member in self._some(list(self.others.values()), 4):
            self.host.send(member.name, member.address, Ping(0, self._riders(member.name)))

    # --- what others read ---

    def active_members(self) -> dict[str, int]:
        """Names that count as there, oneself included, with their weights: suspects are there until they are dead."""
        there = {member.name: member.weight for member in self.others.values() if member.state <= MemberState.SUSPECT}
        if not (self.leaving or self.suspended):
            there[self.name] = self.weight
        return there

    def size(self) -> int:
        return 1 + sum(member.state <= MemberState.SUSPECT for member in self.others.values())

    # --- probing ---

    def _probe(self) -> None:
        self._at(self.now + self.period * (1 + self.health_score), "probe")
        while self.ring:
            member = self.others.get(self.ring.pop())
            if member is not None and member.state <= MemberState.SUSPECT:
                break
        else:
            self.ring = [name for name, one in self.others.items() if one.state <= MemberState.SUSPECT]
            self.draw.shuffle(self.ring)
            if not self.ring:
                return
            member = self.others[self.ring.pop()]
        self.seq += 1
        self.probes[self.seq] = Probe(member.name, member.generation)
        self.host.send(member.name, member.address, Ping(self.seq, self._riders(member.name)))
        self._at(self.now + self.timeout * (1 + self.health_score), "indirect", self.seq)
        self._at(self.now + self.period * (1 + self.health_score) - 1, "end", self.seq)

    def _ask_others(self, seq: int) -> None:
        probe = self.probes.get(seq)
        if probe is None or probe.acked or probe.target not in self.others:
            return
        target = self.others[probe.target]
        helpers = self._some(
            [member for member in self.others.values() if member.state == MemberState.ALIVE and member is not target], self.indirect
        )
        probe.asked = len(helpers)
        for helper in helpers:
            self.host.send(helper.name, helper.address, PingFor(seq, target.name, target.address, self._riders(helper.name)))
        # The datagram or its answer may just have been lost: one more try from here, as good as a helper's.
        self.host.send(target.name, target.address, Ping(seq, self._riders(target.name)))

    def _acked(self, seq: int, sender: str, generation: int) -> None:
        if seq in self.relays:
            asker, address, theirs = self.relays.pop(seq)
            self.host.send(asker, address, Ack(theirs, self._riders(asker)))
            return
        if seq in self.claims:
            rival, incarnation, address = self.claims[seq]
            if sender == self.name and generation == rival:
                del self.claims[seq]
                self._rival_lives(rival, incarnation, address)
            return
        probe = self.probes.get(seq)
        if probe is not None and not probe.acked:
            probe.acked = True
            self.health_score = max(0, self.health_score - 1)

    def _probe_over(self, seq: int) -> None:
        probe = self.probes.pop(seq, None)
        if probe is None or probe.acked:
            return
        member = self.others.get(probe.target)
        # No answer from helpers either: the fault may be ours (Lifeguard section IV.A).
        self._unwell(1 if probe.asked and probe.nacks < probe.asked else 0)
        if member is not None and member.generation == probe.generation and member.state == MemberState.ALIVE:
            word = member.word(self.name)
            word.state = int(MemberState.SUSPECT)
            self._apply(word)

    def _relay_over(self, seq: int) -> None:
        relay = self.relays.pop(seq, None)
        if relay is not None:
            self.host.send(relay[0], relay[1], Nack(relay[2]))

    def _unwell(self, by: int) -> None:
        self.health_score = min(self.most_health, self.health_score + by)

    # --- suspicions ---

    def _judge_suspicions(self) -> None:
        for name in sorted(self.suspects):
            member = self.others.get(name)
            if member is None or member.state != MemberState.SUSPECT:
                self.suspects.discard(name)
            elif self.now >= member.deadline:
                word = member.word()
                word.state = int(MemberState.DEAD)
                self._apply(word)

    def _forget_old(self) -> None:
        for member in list(self.others.values()):
            if member.state >= MemberState.DEAD and self.now - member.state_since > self.forget_after:
                del self.others[member.name]
                self.news.pop(member.name, None)

    def _suspicion(self, member: Member) -> int:
        """How long a suspicion lasts: long while nobody confirms it, shorter with each who does (Lifeguard IV.B)."""
        shortest = self.patience * max(1.0, math.log10(max(1, self.size()))) * self.period
        wanted = min(3, self.size() - 2)
        if wanted < 1:
            return int(shortest)
        longest = shortest * self.widest
        confirmed = max(0, len(member.by) - 1)
        part = math.log(confirmed + 1) / math.log(wanted + 1)
        return int(max(shortest, longest - (longest - shortest) * part))

    # --- what is heard ---

    def _hear(self, updates: list[Update]) -> None:
        for word in updates:
            if word.name == self.name:
                self._heard_of_self(word)
            elif 0 <= word.state <= MemberState.LEFT:
                self._apply(word)

    def _apply(self, word: Update) -> None:
        member = self.others.get(word.name)
        if member is None:
            if word.state > MemberState.SUSPECT:
                return  # nobody we knew
            member = self.others[word.name] = Member(word, self.now)
            self.ring.insert(self.draw.randrange(len(self.ring) + 1), word.name)
            if member.state == MemberState.SUSPECT:
                self._suspect(member, word.by)
            self.news[word.name] = word, 0
            self.host.member_up(word.name)
            return
        if (word.generation, word.incarnation, word.state) == (member.generation, member.incarnation, member.state):
            if member.state == MemberState.SUSPECT and word.by and word.by not in member.by:
                member.by.add(word.by)
                member.deadline = member.began + self._suspicion(member)
                if len(member.by) <= 4:
                    self.news[word.name] = word, 0  # confirmations spread too, a few of them
            return
        if word.generation == member.generation:
            newer = (word.incarnation, word.state) > (member.incarnation, member.state)
        else:
            newer = (word.incarnation, -word.generation) > (member.incarnation, -member.generation)
        if not newer:
            return
        was, another = member.state, word.generation != member.generation
        member.address, member.generation, member.weight = word.address, word.generation, word.weight
        member.incarnation, member.state, member.state_since = word.incarnation, MemberState(word.state), self.now
        member.by = set()
        self.news[word.name] = word, 0
        if member.state == MemberState.SUSPECT:
            self._suspect(member, word.by)
        there = member.state <= MemberState.SUSPECT
        if was <= MemberState.SUSPECT and (not there or another):
            self.host.member_down(word.name, member.state == MemberState.LEFT)
        if there and (was > MemberState.SUSPECT or another):
            self.host.member_up(word.name)

    def _suspect(self, member: Member, by: str) -> None:
        self.suspects.add(member.name)
        member.by = {by} if by else set()
        member.began = self.now
        member.deadline = self.now + self._suspicion(member)

    def _heard_of_self(self, word: Update) -> None:
        if word.generation == self.generation:
            if word.state != MemberState.ALIVE and word.incarnation >= self.incarnation and not self.leaving:
                self.incarnation = word.incarnation + 1
                self.false_alarms += 1
                self._unwell(1)
                self._say_own()
            return
        if word.incarnation < self.incarnation:
            return  # superseded already
        if word.state > MemberState.SUSPECT or word.address == self.address:
            self.incarnation = word.incarnation + 1  # our own life before this one
            self._say_own()
        elif not any(rival == word.generation for rival, _, _ in self.claims.values()):
            # Somebody runs under our name elsewhere, or did a moment ago: ask there.
            self.seq += 1
            self.claims[self.seq] = word.generation, word.incarnation, word.address
            self.host.send("", word.address, Ping(self.seq, []))
            self._at(self.now + 2 * self.timeout, "claim", self.seq)

    def _claim_over(self, seq: int) -> None:
        claim = self.claims.pop(seq, None)
        if claim is not None:  # nobody answered there
            self.incarnation = max(self.incarnation, claim[1] + 1)
            self._say_own()

    def _rival_lives(self, generation: int, incarnation: int, address: str) -> None:
        """Two instances under one name: the younger stays out, and asks again later."""
        if generation < self.generation:
            self.suspended = True
            self._at(self.now + 20 * self.period, "again")
            self.host.name_taken(address)
        else:
            self.incarnation = max(self.incarnation, incarnation + 1)
            self._say_own()

    def _come_again(self) -> None:
        self.suspended = False
        self.heap.clear()
        self._at(self.now + self.period, "probe")
        self._at(self.now + 1, "sync")

    # --- spreading ---

    def _say_own(self) -> None:
        self.news[self.name] = self._own(), 0

    def _own(self) -> Update:
        state = MemberState.LEFT if self.leaving else MemberState.ALIVE
        return Update(self.name, self.address, self.generation, self.incarnation, int(state), self.weight)

    def _riders(self, to: str) -> list[Update]:
        """What rides on a message: a suspicion of the receiver first, so that it can refute; then what was sent least.
        Each word is sent some three times the logarithm of the size, which reaches all with high chance (SWIM 4.1)."""
        riders = []
        member = self.others.get(to)
        if member is not None and member.state != MemberState.ALIVE:
            riders.append(member.word(next(iter(sorted(member.by)), "")))
        limit = math.ceil(3 * math.log2(self.size() + 1))
        for name in sorted(self.news, key=lambda one: self.news[one][1])[: self.most_updates]:
            word, sent = self.news[name]
            riders.append(word)
            if sent + 1 >= limit:
                del self.news[name]
            else:
                self.news[name] = word, sent + 1
        return riders[: self.most_updates]

    def _part(self) -> list[Update]:
        """A bounded part of the whole state: oneself and random others, the gone among them."""
        some = self._some(list(self.others.values()), 8 * self.most_updates)
        return [self._own(), *(member.word() for member in some)]

    def _sync(self) -> None:
        """Mend what updates missed, with one who is there; and knock where the dead and the seeds are or were, so that
        the parts of a split find each other again."""
        self._forget_old()
        there = [member for member in self.others.values() if member.state <= MemberState.SUSPECT]
        for member in self._some(there, 1):
            self.host.send(member.name, member.address, Sync(self._part(), True))
        known = {member.address for member in there}
        gone = [member.address for member in self.others.values() if member.state == MemberState.DEAD]
        strangers = sorted(set(gone) | set(self.seeds) - known)
        for address in self._some(strangers, 2 if there else 4):
            self.host.send("", address, Sync(self._part(), True))
        # One event, whatever the case: a second one for the lonely doubled their number each time they stayed alone.
        alone = not there and self.seeds
        self._at(self.now + (self.period if alone else self.sync_interval // 2 + self.draw.randrange(self.sync_interval)), "sync")

    def _some(self, pool: list, many: int) -> list:
        return self.draw.sample(pool, min(many, len(pool)))

    def _at(self, when: int, what: str, about: int = 0) -> None:
        self.pushed += 1
        heappush(self.heap, (when, self.pushed, what, about))
