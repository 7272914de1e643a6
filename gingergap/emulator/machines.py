"""One machine of an exchange: a processor with a single queue that starts cold and is subject to the day's faults."""

from collections import deque

from ..standins.day_plan import BEFORE_DAY, DayPlan, MachineRun
from .engine import SECOND

SPEED_STEP = 0.05  # seconds for which a changing processor speed is treated as constant


class Machine:
    """One run of a machine, as the day's plan draws it (`run`).

    Attributes are in seconds since the start of the day, as in the plan; times passed to and returned by methods are in tenths
    of a millisecond unless stated otherwise.
    """

    def __init__(self, plan: DayPlan, run: MachineRun) -> None:
        self.plan, self.run, self.number = plan, run, run.number
        self.idle_at = 0.0  # when the processor has finished all queued work
        self.failed = False
        self.arrivals: deque[float] = deque()
        cold = plan.day.cold
        self.warm_at = run.starts_at + cold.warm_after_ms / 1000 if run.starts_at > BEFORE_DAY else BEFORE_DAY
        self.slow_periods = [
            (scheduled.fault.at, scheduled.fault.at + scheduled.fault.lasts)
            for scheduled in plan.scheduled_faults
            if scheduled.fault.kind == "all-slow"
            or scheduled.fault.kind in ("slow", "ageing", "pauses")
            and run.number in scheduled.targets
        ]
        self.silent_periods = [
            (scheduled.fault.at, scheduled.fault.at + scheduled.fault.lasts)
            for scheduled in plan.scheduled_faults
            if scheduled.fault.kind == "silence" and run.number in scheduled.targets
        ]

    def is_running(self, now: int) -> bool:
        seconds = now / SECOND
        return self.run.starts_at <= seconds < self.run.stops_at

    def is_silent(self, now: int) -> bool:
        """Whether the machine neither receives nor sends messages."""
        seconds = now / SECOND
        return self.failed or any(begin <= seconds < end for begin, end in self.silent_periods)

    def silence_end(self, now: int) -> int:
        """When the current silent period ends; `now` if there is none."""
        seconds = now / SECOND
        return round(max((end for begin, end in self.silent_periods if begin <= seconds < end), default=seconds) * SECOND)

    def queue_delay(self, now: int) -> float:
        """Seconds until work queued now would be started."""
        return max(0.0, self.idle_at - now / SECOND)

    def add_work(self, now: int, ms: float) -> int:
        """Queue work of so many milliseconds at full speed; returns when it will be finished."""
        begin = max(now / SECOND, self.idle_at)
        self.idle_at = self._finish_time(begin, ms / 1000)
        return round(self.idle_at * SECOND)

    def _finish_time(self, time: float, remaining: float) -> float:
        if time >= self.warm_at and not self.slow_periods:
            return time + remaining
        while remaining > 1e-9:
            speed = self.plan.processor_speed(self.run, time)
            if speed <= 0:
                time += 0.02
                continue
            step = min(remaining / speed, SPEED_STEP)
            remaining -= step * speed
            time += step
        return time

    def setup_arrived(self, now: int) -> bool:
        """Record that a set-up has arrived. True if it overloads the machine while it is cold: the machine then fails for good."""
        if self.failed or not self.plan.add_arrival(self.run, self.arrivals, now / SECOND):
            return False
        self.failed = True
        return True
