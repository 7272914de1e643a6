"""What happens on a scripted day, drawn ahead from its seed: who is struck, which machine lives when, which groups
are how large. Every stand-in process works it out alike. No I/O and no clock; times in seconds since the day began.
"""

import random
from collections import deque
from typing import NamedTuple

from ..settings.day import DayForm, FaultForm

BEFORE_DAY = -1e9
DRAIN = 3.0  # seconds from the word that a machine drains to its stop
BACK = 2.0  # seconds that a machine which died of age takes to start


class MachineRun(NamedTuple):
    """One machine from its start to its stop. `drains` and `dies` are infinite where they don't come."""

    id: str
    number: int
    address_index: int  # which of the exchange's addresses it listens on
    starts_at: float
    drains_at: float
    stops_at: float
    orderly_stop: bool  # its standing dialogs are told that they are cut


class ScheduledFault(NamedTuple):
    """A fault with the exchanges it strikes."""

    fault: FaultForm
    targets: frozenset[int]

    def is_active(self, now: float) -> bool:
        return self.fault.at <= now < self.fault.at + self.fault.lasts


NEVER = float("inf")


class DayPlan:
    """A day drawn from its seed."""

    def __init__(self, day: DayForm, seed: int) -> None:
        self.day, self.seed = day, seed
        draw = random.Random(f"{day.name} {seed}")
        count = day.exchanges
        self.scheduled_faults: list[ScheduledFault] = []
        for fault in day.fault:
            many = max(1, round(fault.share * count))
            self.scheduled_faults.append(ScheduledFault(fault, frozenset(draw.sample(range(count), min(many, count)))))
        self.group_sizes = self._sizes(draw)
        self.destination_weights = [
            [0.0 if a == b else 1 + day.skew * (2 * draw.random() - 1) for b in range(count)] for a in range(count)
        ]
        self.tcp_exchanges = {number for number in range(count) if draw.random() < day.exchange_tcp}
        if day.exchange_tcp > 0 and not self.tcp_exchanges:
            self.tcp_exchanges = {count - 1}
        self.machine_runs: list[MachineRun] = [MachineRun(f"x{n}", n, 0, BEFORE_DAY, NEVER, NEVER, False) for n in range(count)]
        for strike in sorted(self.scheduled_faults, key=lambda entry: entry.fault.at):
            self._strike_lives(strike)

    def _sizes(self, draw: random.Random) -> dict[tuple[int, int], int]:
        groups, sizes = self.day.groups, {}
        pairs = [(a, b) for a in range(self.day.exchanges) for b in range(a + 1, self.day.exchanges)]
        for pair in pairs:
            sizes[pair] = max(1, round(groups.mean * (1 + groups.spread * (2 * draw.random() - 1))))
        for pair in draw.sample(pairs, round(groups.without * len(pairs))):
            sizes[pair] = 0
        return sizes

    def _strike_lives(self, strike: ScheduledFault) -> None:
        fault = strike.fault
        if fault.kind == "rolling":
            batches = -(-len(strike.targets) // fault.batch)
            for place, number in enumerate(sorted(strike.targets)):
                when = fault.at + (place // fault.batch) * fault.lasts / batches
                self._replace(number, when)
        elif fault.kind in ("vanish", "mass-restart", "kill-exchange"):
            for number in sorted(strike.targets):
                self._restart(number, fault.at, fault.at + fault.lasts)
        elif fault.kind == "ageing":
            for number in sorted(strike.targets):
                self._restart(number, fault.at + fault.lasts, fault.at + fault.lasts + BACK)

    def _alive(self, number: int, when: float) -> int | None:
        found = None
        for place, life in enumerate(self.machine_runs):
            if life.number == number and life.starts_at <= when < min(life.drains_at, life.stops_at):
                found = place
        return found

    def _restart(self, number: int, dies: float, back: float) -> None:
        place = self._alive(number, dies)
        if place is not None:
            old = self.machine_runs[place]
            self.machine_runs[place] = old._replace(stops_at=dies)
            self.machine_runs.append(MachineRun(old.id, number, old.address_index, back, NEVER, NEVER, False))

    def _replace(self, number: int, when: float) -> None:
        place = self._alive(number, when)
        if place is not None:
            old = self.machine_runs[place]
            self.machine_runs[place] = old._replace(drains_at=when, stops_at=when + DRAIN, orderly_stop=True)
            count = sum(1 for life in self.machine_runs if life.number == number)
            self.machine_runs.append(MachineRun(f"x{number}r{count}", number, 1 - old.address_index, when, NEVER, NEVER, False))

    # --- what holds at a moment ---

    def active_faults_on(self, kind: str, number: int, now: float) -> list[FaultForm]:
        """Faults of a kind that strike an exchange now."""
        return [
            strike.fault
            for strike in self.scheduled_faults
            if strike.fault.kind == kind and number in strike.targets and strike.is_active(now)
        ]

    def active_faults(self, kind: str, now: float) -> list[FaultForm]:
        return [strike.fault for strike in self.scheduled_faults if strike.fault.kind == kind and strike.is_active(now)]

    def group_size(self, a: int, b: int, now: float) -> int:
        """Circuits of the group between two exchanges; lost ones are back when the fault is over."""
        size = self.group_sizes[min(a, b), max(a, b)]
        for strike in self.scheduled_faults:
            if strike.fault.kind == "groups-shrink" and strike.is_active(now) and strike.targets & {a, b}:
                size = int(size / strike.fault.factor)
        return size

    def is_cut_off(self, a: int, b: int, now: float) -> bool:
        """Whether nothing passes between two exchanges: one is in a district that is cut off."""
        return any(
            strike.fault.kind == "district-cut" and strike.is_active(now) and (a in strike.targets) != (b in strike.targets)
            for strike in self.scheduled_faults
        )

    def processor_speed(self, life: MachineRun, now: float) -> float:
        """What a processor can do as a part of what a warm and well one can; 0 while it stands still."""
        speed = 1.0
        age = now - life.starts_at
        cold = self.day.cold
        warm = cold.warm_after_ms / 1000
        if age < warm:
            speed *= cold.from_share + (1 - cold.from_share) * max(0.0, age) / warm
        for fault in self.active_faults_on("slow", life.number, now):
            speed /= fault.factor
        for fault in self.active_faults("all-slow", now):
            speed /= fault.factor
        for fault in self.active_faults_on("ageing", life.number, now):
            speed /= 1 + (fault.factor - 1) * (now - fault.at) / fault.lasts
        for fault in self.active_faults_on("pauses", life.number, now):
            if (now - fault.at) % (fault.every_ms / 1000) < fault.ms / 1000:
                speed = 0.0
        return speed

    def add_arrival(self, life: MachineRun, arrivals: deque[float], now: float) -> bool:
        """A set-up reaches a machine now, after those in `arrivals`, to which it is added: whether a cold one has had more
        of them over the agreed span than the agreed multiple of what it can."""
        cold = self.day.cold
        warm, span = cold.warm_after_ms / 1000, cold.span_ms / 1000
        if life.starts_at == BEFORE_DAY or now - life.starts_at > warm:
            return False
        arrivals.append(now)
        while arrivals[0] <= now - span:
            arrivals.popleft()
        age = max(0.0, now - span - life.starts_at)
        can = self.setup_capacity() * (cold.from_share + (1 - cold.from_share) * age / warm)
        return len(arrivals) > cold.multiple * can * span

    def call_rate(self, number: int, now: float) -> float:
        """First tries a second at an exchange."""
        rate = self.day.rate
        for fault in self.active_faults("burst", now):
            rate *= fault.factor
        for fault in self.active_faults_on("flood", number, now):
            rate *= fault.factor
        return rate

    def setup_capacity(self) -> float:
        """Set-ups a second of a warm and well processor."""
        return 1000 / (self.day.processor.setup_ms + self.day.processor.release_ms)

    def list_updates(self) -> list[tuple[float, str, int, str, float]]:
        """(when told, id, number, state, start) in order of telling; starts long ago are 0."""
        told = self.day.list_
        news = []
        for life in self.machine_runs:
            if life.starts_at > BEFORE_DAY:
                news.append(
                    (life.starts_at + self._late(life.starts_at, told.add_ms), life.id, life.number, "ready", life.starts_at)
                )
            start = life.starts_at if life.starts_at > BEFORE_DAY else 0.0
            if life.drains_at < NEVER:
                news.append(
                    (life.drains_at + self._late(life.drains_at, told.notice_ms / 4), life.id, life.number, "draining", start)
                )
            if life.stops_at < NEVER:
                late = told.notice_ms if life.drains_at < NEVER else told.silent_notice_ms
                news.append((life.stops_at + self._late(life.stops_at, late), life.id, life.number, "gone", start))
        # The source of a list learns things in the order in which they happened, however late it is.
        news.sort()
        latest: dict[str, float] = {}
        kept = []
        for entry in news:
            if entry[4] >= latest.get(entry[1], 0.0):
                latest[entry[1]] = entry[4]
                kept.append(entry)
        return kept

    def _late(self, when: float, ms: float) -> float:
        return (ms + sum(fault.ms for fault in self.active_faults("stale-list", when))) / 1000
