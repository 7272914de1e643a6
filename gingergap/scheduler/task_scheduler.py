"""Decides which background task runs next: budgets by class of work, priorities by how overdue and how important a task is.

Each class of work earns budget (ms of work per second) like a token bucket. Under call load it earns less, but never
nothing, so background work yields and does not starve. A task that is overdue by more than its limit may overdraw the
budget. After a standstill missed runs are skipped rather than made up for in a burst. No I/O; times in tenths of a
millisecond.
"""

from random import Random

SECOND = 10_000


class WorkBudget:
    """The token bucket of one class of work. `rate` is in ms of work per second while calls leave the process idle,
    `min_share` is the fraction of it that remains under full load, `burst` is the most that can be saved up, in ms."""

    __slots__ = ("rate", "min_share", "burst", "available", "updated_at")

    def __init__(self, rate: float, min_share: float = 0.1, burst: float | None = None) -> None:
        self.rate, self.min_share = rate, min_share
        self.burst = rate if burst is None else burst
        self.available = self.burst
        self.updated_at = 0


class Task:
    """A piece of work, periodic or, with `period` 0, single. `limit` is how long it may be overdue before it may overdraw
    the budget; `cost` is an estimate in ms that is adapted to what runs take; `deadline` is how long one run may take."""

    __slots__ = (
        "name",
        "work_class",
        "period",
        "limit",
        "priority",
        "cost",
        "due_at",
        "started_at",
        "runs",
        "failures",
        "missed",
        "overruns",
        "last_done_at",
        "deadline",
    )

    def __init__(
        self, name: str, work_class: str, period: int, limit: int, priority: float, cost: float, due_at: int, deadline: int
    ) -> None:
        self.name, self.work_class, self.period, self.limit, self.priority, self.cost = (
            name,
            work_class,
            period,
            limit,
            priority,
            cost,
        )
        self.due_at, self.deadline = due_at, deadline
        self.started_at = -1  # -1: not running
        self.runs = self.failures = self.missed = self.overruns = 0
        self.last_done_at = -1


class TaskScheduler:
    """All background tasks of one process. `jitter` is a fraction of the period, in either direction."""

    def __init__(self, rng: Random, budgets: dict[str, WorkBudget], jitter: float = 0.05, max_running: int = 4) -> None:
        self.rng, self.budgets, self.jitter, self.max_running = rng, budgets, jitter, max_running
        self.tasks: dict[str, Task] = {}
        self.running = 0

    # --- events ---

    def add(
        self,
        now: int,
        name: str,
        work_class: str,
        *,
        period: int,
        limit: int,
        cost: float = 1.0,
        priority: float = 1.0,
        first_in: int = 0,
        deadline: int | None = None,
    ) -> None:
        """Add a task, or replace one of the same name and keep its counters. `deadline` is by default the period, and at
        least one second. A run that takes longer than the period is not started a second time."""
        previous = self.tasks.get(name)
        task = Task(name, work_class, period, limit, priority, cost, now + first_in, deadline or max(period, SECOND))
        if previous is not None:
            task.started_at, task.runs, task.failures, task.cost = (
                previous.started_at,
                previous.runs,
                previous.failures,
                previous.cost,
            )
            task.missed, task.overruns, task.last_done_at = previous.missed, previous.overruns, previous.last_done_at
        self.tasks[name] = task

    def cancel(self, name: str) -> bool:
        """Remove a task. Returns whether it is running: the runner then has to stop it."""
        task = self.tasks.pop(name, None)
        if task is None:
            return False
        if task.started_at >= 0:
            self.running -= 1
        return task.started_at >= 0

    def start_next(self, now: int, load: float) -> str | None:
        """Returns the name of the task to start now, if any. `load` is the fraction of the process that calls take, 0 to 1."""
        if self.running >= self.max_running:
            return None
        best, best_rank = None, -1.0
        for task in self.tasks.values():
            if task.started_at >= 0 or now < task.due_at:
                continue
            overdue = now - task.due_at
            available = self._available(task.work_class, now, load)
            if available < min(task.cost, self.budgets[task.work_class].burst) and overdue <= task.limit:
                continue
            rank = task.priority * (1 + overdue / max(1, task.period or task.limit)) * (10 if overdue > task.limit else 1)
            if rank > best_rank:
                best, best_rank = task, rank
        if best is None:
            return None
        best.started_at = now
        self.running += 1
        self.budgets[best.work_class].available -= best.cost
        return best.name

    def finish(self, now: int, name: str, duration: float, succeeded: bool) -> None:
        """A run has ended; `duration` is in ms of work. The next due time follows from the last due time, not from when the
        task ran."""
        task = self.tasks.get(name)
        if task is None or task.started_at < 0:
            return
        self.budgets[task.work_class].available += task.cost - duration  # the estimate was subtracted at the start
        task.cost += (duration - task.cost) / 4
        task.started_at = -1
        self.running -= 1
        task.runs += 1
        if succeeded:
            task.last_done_at = now
        else:
            task.failures += 1
        if task.period == 0:
            del self.tasks[name]
            return
        jitter_factor = 1 + self.jitter * (2 * self.rng.random() - 1)
        next_due_at = task.due_at + int(task.period * jitter_factor)
        if next_due_at <= now:
            missed = (now - task.due_at) // task.period
            task.missed += missed
            next_due_at = now + int(task.period * (0.5 + 0.5 * self.rng.random())) if missed else now
        task.due_at = next_due_at

    def hung_tasks(self, now: int) -> list[str]:
        """Names of the tasks whose run exceeds its deadline."""
        return [task.name for task in self.tasks.values() if task.started_at >= 0 and now - task.started_at > task.deadline]

    def _available(self, work_class: str, now: int, load: float) -> float:
        budget = self.budgets[work_class]
        if budget.updated_at:
            share = max(budget.min_share, 1 - load)
            # Capped at `burst`: a standstill earns no more than can be saved up.
            budget.available = min(budget.burst, budget.available + budget.rate * share * (now - budget.updated_at) / SECOND)
        budget.updated_at = now
        return budget.available
