"""The course of a scripted day, drawn in advance from its seed: targets of faults, runs of machines, sizes of trunk groups.

Every stand-in process computes the same plan from the same settings and seed. No I/O and no clock; times are in seconds since
the day began.
"""

import random
from collections import deque
from typing import NamedTuple

from ..settings.day import DayForm, FaultForm

BEFORE_DAY = -1e9  # start of the machines that run when the day begins
DRAIN_DURATION = 3.0  # seconds from the start of a machine's drain to its stop
RESTART_DURATION = 2.0  # seconds from the stop of an ageing machine to its next start


class MachineRun(NamedTuple):
    """One machine from its start to its stop. `drains_at` and `stops_at` are NEVER if it does not drain or stop."""

    id: str  # name in the exchange list
    number: int  # of its exchange
    address_index: int  # which of the exchange's two addresses it listens on
    starts_at: float
    drains_at: float
    stops_at: float
    orderly_stop: bool  # its established dialogs are released with a BYE


class ScheduledFault(NamedTuple):
    """A fault with the numbers of the exchanges that it affects."""

    fault: FaultForm
    targets: frozenset[int]

    def is_active(self, now: float) -> bool:
        return self.fault.at <= now < self.fault.at + self.fault.lasts


NEVER = float("inf")


class DayPlan:
    """Plan of one day.

    `group_sizes` maps exchange pairs (lower number first) to circuits; `destination_weights[a][b]` weighs calls from a to b;
    `tcp_exchanges` are the exchanges reached over TCP.
    """

    def __init__(self, day: DayForm, seed: int) -> None:
        self.day, self.seed = day, seed
        draw = random.Random(f"{day.name} {seed}")
        count = day.exchanges
        self.scheduled_faults: list[ScheduledFault] = []
        for fault in day.fault:
            target_count = max(1, round(fault.share * count))
            self.scheduled_faults.append(ScheduledFault(fault, frozenset(draw.sample(range(count), min(target_count, count)))))
        self.group_sizes = self._draw_group_sizes(draw)
        self.destination_weights = [
            [0.0 if a == b else 1 + day.skew * (2 * draw.random() - 1) for b in range(count)] for a in range(count)
        ]
        self.tcp_exchanges = {number for number in range(count) if draw.random() < day.exchange_tcp}
        if day.exchange_tcp > 0 and not self.tcp_exchanges:
            self.tcp_exchanges = {count - 1}
        self.machine_runs: list[MachineRun] = [MachineRun(f"x{n}", n, 0, BEFORE_DAY, NEVER, NEVER, False) for n in range(count)]
        for scheduled in sorted(self.scheduled_faults, key=lambda entry: entry.fault.at):
            self._apply_to_machine_runs(scheduled)

    def _draw_group_sizes(self, draw: random.Random) -> dict[tuple[int, int], int]:
        groups, sizes = self.day.groups, {}
        pairs = [(a, b) for a in range(self.day.exchanges) for b in range(a + 1, self.day.exchanges)]
        for pair in pairs:
            sizes[pair] = max(1, round(groups.mean * (1 + groups.spread * (2 * draw.random() - 1))))
        for pair in draw.sample(pairs, round(groups.without * len(pairs))):
            sizes[pair] = 0
        return sizes

    def _apply_to_machine_runs(self, scheduled: ScheduledFault) -> None:
        fault = scheduled.fault
        if fault.kind == "rolling":
            batches = -(-len(scheduled.targets) // fault.batch)
            for index, number in enumerate(sorted(scheduled.targets)):
                when = fault.at + (index // fault.batch) * fault.lasts / batches
                self._replace(number, when)
        elif fault.kind in ("vanish", "mass-restart", "kill-exchange"):
            for number in sorted(scheduled.targets):
                self._restart(number, fault.at, fault.at + fault.lasts)
        elif fault.kind == "ageing":
            for number in sorted(scheduled.targets):
                self._restart(number, fault.at + fault.lasts, fault.at + fault.lasts + RESTART_DURATION)

    def _running_index(self, number: int, when: float) -> int | None:
        found = None
        for index, run in enumerate(self.machine_runs):
            if run.number == number and run.starts_at <= when < min(run.drains_at, run.stops_at):
                found = index
        return found

    def _restart(self, number: int, stops_at: float, restarts_at: float) -> None:
        index = self._running_index(number, stops_at)
        if index is not None:
            old = self.machine_runs[index]
            self.machine_runs[index] = old._replace(stops_at=stops_at)
            self.machine_runs.append(MachineRun(old.id, number, old.address_index, restarts_at, NEVER, NEVER, False))

    def _replace(self, number: int, when: float) -> None:
        index = self._running_index(number, when)
        if index is not None:
            old = self.machine_runs[index]
            self.machine_runs[index] = old._replace(drains_at=when, stops_at=when + DRAIN_DURATION, orderly_stop=True)
            count = sum(1 for run in self.machine_runs if run.number == number)
            self.machine_runs.append(MachineRun(f"x{number}r{count}", number, 1 - old.address_index, when, NEVER, NEVER, False))

    # --- state at a given time ---

    def active_faults_on(self, kind: str, number: int, now: float) -> list[FaultForm]:
        """Active faults of a kind that affect exchange `number`."""
        return [
            scheduled.fault
            for scheduled in self.scheduled_faults
            if scheduled.fault.kind == kind and number in scheduled.targets and scheduled.is_active(now)
        ]

    def active_faults(self, kind: str, now: float) -> list[FaultForm]:
        """Active faults of a kind, whichever exchanges they affect."""
        return [scheduled.fault for scheduled in self.scheduled_faults if scheduled.fault.kind == kind and scheduled.is_active(now)]

    def group_size(self, a: int, b: int, now: float) -> int:
        """Circuits of the group between two exchanges; a `groups-shrink` fault reduces them while it is active."""
        size = self.group_sizes[min(a, b), max(a, b)]
        for scheduled in self.scheduled_faults:
            if scheduled.fault.kind == "groups-shrink" and scheduled.is_active(now) and scheduled.targets & {a, b}:
                size = int(size / scheduled.fault.factor)
        return size

    def is_cut_off(self, a: int, b: int, now: float) -> bool:
        """Whether no message passes between two exchanges, because just one of them is in a district that is cut off."""
        return any(
            scheduled.fault.kind == "district-cut"
            and scheduled.is_active(now)
            and (a in scheduled.targets) != (b in scheduled.targets)
            for scheduled in self.scheduled_faults
        )

    def processor_speed(self, run: MachineRun, now: float) -> float:
        """Speed of a machine's processor relative to a warm one without faults; 0 while a pause lasts."""
        speed = 1.0
        age = now - run.starts_at
        cold = self.day.cold
        warm_after = cold.warm_after_ms / 1000
        if age < warm_after:
            speed *= cold.from_share + (1 - cold.from_share) * max(0.0, age) / warm_after
        for fault in self.active_faults_on("slow", run.number, now):
            speed /= fault.factor
        for fault in self.active_faults("all-slow", now):
            speed /= fault.factor
        for fault in self.active_faults_on("ageing", run.number, now):
            speed /= 1 + (fault.factor - 1) * (now - fault.at) / fault.lasts
        for fault in self.active_faults_on("pauses", run.number, now):
            if (now - fault.at) % (fault.every_ms / 1000) < fault.ms / 1000:
                speed = 0.0
        return speed

    def add_arrival(self, run: MachineRun, arrivals: deque[float], now: float) -> bool:
        """Add a set-up that reaches a machine now to `arrivals`, the times of those before it within the span of the cold settings.

        Returns whether the machine is cold and got more set-ups over that span than `multiple` times what it can process.
        """
        cold = self.day.cold
        warm_after, span = cold.warm_after_ms / 1000, cold.span_ms / 1000
        if run.starts_at == BEFORE_DAY or now - run.starts_at > warm_after:
            return False
        arrivals.append(now)
        while arrivals[0] <= now - span:
            arrivals.popleft()
        age = max(0.0, now - span - run.starts_at)
        capacity = self.setup_capacity() * (cold.from_share + (1 - cold.from_share) * age / warm_after)
        return len(arrivals) > cold.multiple * capacity * span

    def call_rate(self, number: int, now: float) -> float:
        """First attempts per second of the callers of an exchange."""
        rate = self.day.rate
        for fault in self.active_faults("burst", now):
            rate *= fault.factor
        for fault in self.active_faults_on("flood", number, now):
            rate *= fault.factor
        return rate

    def setup_capacity(self) -> float:
        """Set-ups per second that a warm processor without faults can handle."""
        return 1000 / (self.day.processor.setup_ms + self.day.processor.release_ms)

    def list_updates(self) -> list[tuple[float, str, int, str, float]]:
        """Updates of the exchange list: (time of the update, id, number, state, start time), in time order.

        The start time is 0 for machines that run when the day begins.
        """
        delays = self.day.list_
        updates = []
        for run in self.machine_runs:
            if run.starts_at > BEFORE_DAY:
                updates.append(
                    (run.starts_at + self._notice_delay(run.starts_at, delays.add_ms), run.id, run.number, "ready", run.starts_at)
                )
            start = run.starts_at if run.starts_at > BEFORE_DAY else 0.0
            if run.drains_at < NEVER:
                updates.append(
                    (run.drains_at + self._notice_delay(run.drains_at, delays.notice_ms / 4), run.id, run.number, "draining", start)
                )
            if run.stops_at < NEVER:
                delay_ms = delays.notice_ms if run.drains_at < NEVER else delays.silent_notice_ms
                updates.append((run.stops_at + self._notice_delay(run.stops_at, delay_ms), run.id, run.number, "gone", start))
        # The list learns of events in the order in which they happened, whatever the delays: an update about an earlier
        # run of a machine that would follow one about a later run is dropped.
        updates.sort()
        latest: dict[str, float] = {}
        in_order = []
        for entry in updates:
            if entry[4] >= latest.get(entry[1], 0.0):
                latest[entry[1]] = entry[4]
                in_order.append(entry)
        return in_order

    def _notice_delay(self, when: float, base_ms: float) -> float:
        return (base_ms + sum(fault.ms for fault in self.active_faults("stale-list", when))) / 1000
