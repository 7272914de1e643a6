"""Which background task runs next: budgets by class, priorities by what is overdue and what it is worth.

Each class of work earns budget (ms of work a second) like a token bucket; under call load it earns less, but never
nothing, so background work yields and is not starved. A task that has been waiting longer than its limit may go into
debt. After a standstill missed times are dropped, not made up for in a burst. No I/O; times in tenths of a
millisecond.
"""

from random import Random

SECOND = 10_000


class WorkBudget:
    """`rate` ms of work a second while calls leave the process idle, `least` the part that is left under full load,
    `burst` the most that can be saved up."""

    __slots__ = ("rate", "least", "burst", "saved", "at")

    def __init__(self, rate: float, least: float = 0.1, burst: float | None = None) -> None:
        self.rate, self.least = rate, least
        self.burst = rate if burst is None else burst
        self.saved = self.burst
        self.at = 0


class Task:
    """One periodic (or single: `period` 0) piece of work. `cost` is an estimate in ms that follows what runs take."""

    __slots__ = (
        "name",
        "kind",
        "period",
        "limit",
        "priority",
        "cost",
        "due",
        "started",
        "runs",
        "failures",
        "missed",
        "overruns",
        "last_done",
        "deadline",
    )

    def __init__(
        self, name: str, kind: str, period: int, limit: int, priority: float, cost: float, due: int, deadline: int
    ) -> None:
        self.name, self.kind, self.period, self.limit, self.priority, self.cost = name, kind, period, limit, priority, cost
        self.due, self.deadline = due, deadline
        self.started = -1  # -1: not running
        self.runs = self.failures = self.missed = self.overruns = 0
        self.last_done = -1


class TaskScheduler:
    """All background tasks of one process. `draw` gives the jitter, a part of the period either way."""

    def __init__(self, draw: Random, classes: dict[str, WorkBudget], jitter: float = 0.05, most_at_once: int = 4) -> None:
        self.draw, self.classes, self.jitter, self.most_at_once = draw, classes, jitter, most_at_once
        self.tasks: dict[str, Task] = {}
        self.running = 0

    # --- what can happen ---

    def add(
        self,
        now: int,
        name: str,
        kind: str,
        *,
        period: int,
        limit: int,
        cost: float = 1.0,
        priority: float = 1.0,
        first_in: int = 0,
        deadline: int | None = None,
    ) -> None:
        """A task comes, or comes again with other figures. `deadline` is how long one run may take; a run that takes
        longer than the period by itself is not started twice."""
        old = self.tasks.get(name)
        task = Task(name, kind, period, limit, priority, cost, now + first_in, deadline or max(period, SECOND))
        if old is not None:
            task.started, task.runs, task.failures, task.cost = old.started, old.runs, old.failures, old.cost
            task.missed, task.overruns, task.last_done = old.missed, old.overruns, old.last_done
        self.tasks[name] = task

    def cancel(self, name: str) -> bool:
        """A task goes; whether a run of it is under way, which the runner then ends."""
        task = self.tasks.pop(name, None)
        if task is None:
            return False
        if task.started >= 0:
            self.running -= 1
        return task.started >= 0

    def next(self, now: int, load: float) -> str | None:
        """The task to start now, or none. `load` is the part of the process that calls take, 0 to 1."""
        if self.running >= self.most_at_once:
            return None
        best, best_rank = None, -1.0
        for task in self.tasks.values():
            if task.started >= 0 or now < task.due:
                continue
            late = now - task.due
            saved = self._saved(task.kind, now, load)
            if saved < min(task.cost, self.classes[task.kind].burst) and late <= task.limit:
                continue
            rank = task.priority * (1 + late / max(1, task.period or task.limit)) * (10 if late > task.limit else 1)
            if rank > best_rank:
                best, best_rank = task, rank
        if best is None:
            return None
        best.started = now
        self.running += 1
        self.classes[best.kind].saved -= best.cost
        return best.name

    def finished(self, now: int, name: str, took: float, done: bool) -> None:
        """A run is over; `took` in ms of work. The next time follows from when it was due, not from when it ran."""
        task = self.tasks.get(name)
        if task is None or task.started < 0:
            return
        self.classes[task.kind].saved += task.cost - took  # the estimate was taken at the start
        task.cost += (took - task.cost) / 4
        task.started = -1
        self.running -= 1
        task.runs += 1
        if done:
            task.last_done = now
        else:
            task.failures += 1
        if task.period == 0:
            del self.tasks[name]
            return
        swing = 1 + self.jitter * (2 * self.draw.random() - 1)
        following = task.due + int(task.period * swing)
        if following <= now:
            behind = (now - task.due) // task.period
            task.missed += behind
            following = now + int(task.period * (0.5 + 0.5 * self.draw.random())) if behind else now
        task.due = following

    def hanging(self, now: int) -> list[str]:
        """Tasks whose run has taken longer than it may."""
        return [task.name for task in self.tasks.values() if task.started >= 0 and now - task.started > task.deadline]

    def _saved(self, kind: str, now: int, load: float) -> float:
        work = self.classes[kind]
        if work.at:
            share = max(work.least, 1 - load)
            # A standstill earns no more than is saved up anyway: nothing is made up for.
            work.saved = min(work.burst, work.saved + work.rate * share * (now - work.at) / SECOND)
        work.at = now
        return work.saved
