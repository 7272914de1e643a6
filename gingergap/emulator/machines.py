"""One machine of an exchange: a processor with one line, cold at first, struck by the day's faults."""

from collections import deque

from ..standins.day_plan import BEFORE_DAY, DayPlan, MachineRun
from .engine import SECOND

STEP = 0.05  # seconds for which a changing speed counts as steady


class Machine:
    """`life` as the day's plan draws it. Times in seconds of the day, as the plan has them; those handed in and out in
    tenths of a millisecond."""

    def __init__(self, plan: DayPlan, life: MachineRun) -> None:
        self.plan, self.life, self.number = plan, life, life.number
        self.free_at = 0.0  # when the line has done all that was put on it
        self.fallen = False
        self.arrivals: deque[float] = deque()
        cold = plan.day.cold
        self.warm_at = life.starts_at + cold.warm_after_ms / 1000 if life.starts_at > BEFORE_DAY else BEFORE_DAY
        self.unsteady = [
            (strike.fault.at, strike.fault.at + strike.fault.lasts)
            for strike in plan.scheduled_faults
            if strike.fault.kind == "all-slow"
            or strike.fault.kind in ("slow", "ageing", "pauses")
            and life.number in strike.targets
        ]
        self.silences = [
            (strike.fault.at, strike.fault.at + strike.fault.lasts)
            for strike in plan.scheduled_faults
            if strike.fault.kind == "silence" and life.number in strike.targets
        ]

    def runs(self, now: int) -> bool:
        at = now / SECOND
        return self.life.starts_at <= at < self.life.stops_at

    def silent(self, now: int) -> bool:
        at = now / SECOND
        return self.fallen or any(begin <= at < end for begin, end in self.silences)

    def heard_again(self, now: int) -> int:
        """When a silence that holds now ends."""
        at = now / SECOND
        return round(max((end for begin, end in self.silences if begin <= at < end), default=at) * SECOND)

    def wait(self, now: int) -> float:
        """Seconds until something put now would be begun."""
        return max(0.0, self.free_at - now / SECOND)

    def put(self, now: int, ms: float) -> int:
        """Work on the line; when it is done."""
        begin = max(now / SECOND, self.free_at)
        self.free_at = self._finish(begin, ms / 1000)
        return round(self.free_at * SECOND)

    def _finish(self, at: float, left: float) -> float:
        if at >= self.warm_at and not self.unsteady:
            return at + left
        while left > 1e-9:
            speed = self.plan.processor_speed(self.life, at)
            if speed <= 0:
                at += 0.02
                continue
            step = min(left / speed, STEP)
            left -= step * speed
            at += step
        return at

    def arrived(self, now: int) -> bool:
        """A set-up reached the machine: cold ones weigh; whether it has just fallen over, for good."""
        if self.fallen or not self.plan.add_arrival(self.life, self.arrivals, now / SECOND):
            return False
        self.fallen = True
        return True
