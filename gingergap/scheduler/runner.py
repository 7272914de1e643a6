"""Runs background tasks in greenlets as task_scheduler.py decides."""

import time
from collections.abc import Callable
from typing import Any

import gevent

from .task_scheduler import TaskScheduler


class TaskRunner:
    """`clock` gives tenths of a millisecond, `load` the part that calls take. `run` of a task is called with nothing and
    returns whether it was done."""

    def __init__(
        self, plan: TaskScheduler, clock: Callable[[], int], load: Callable[[], float], log: Any, over: Callable[[str, bool], None]
    ) -> None:
        self.plan, self.clock, self.load, self.log, self.over = plan, clock, load, log, over
        self.runs: dict[str, Callable[[], bool]] = {}
        self.greenlets: dict[str, gevent.Greenlet] = {}

    def add(self, name: str, kind: str, run: Callable[[], bool], **figures: Any) -> None:
        self.runs[name] = run
        self.plan.add(self.clock(), name, kind, **figures)

    def cancel(self, name: str) -> None:
        self.runs.pop(name, None)
        self.plan.cancel(name)
        greenlet = self.greenlets.pop(name, None)
        if greenlet is not None:
            greenlet.kill(block=False)

    def step(self) -> None:
        """Start what is due and end what hangs; to be called some times a second."""
        now = self.clock()
        for name in self.plan.hanging(now):
            task = self.plan.tasks[name]
            task.overruns += 1
            greenlet = self.greenlets.pop(name, None)
            if greenlet is not None:
                greenlet.kill(block=False)
            self.log.warning("task-hung", task=name, ms=(now - task.started) / 10)
            self.plan.finished(now, name, task.cost, False)
            self.over(name, False)
        load = self.load()
        while (name := self.plan.next(now, load)) is not None:
            self.greenlets[name] = gevent.spawn(self._run, name, self.runs[name])

    def _run(self, name: str, run: Callable[[], bool]) -> None:
        began = time.thread_time()
        try:
            done = run()
        except Exception as error:
            self.log.warning("task-failed", task=name, why=repr(error))
            done = False
        if self.greenlets.get(name) is not gevent.getcurrent():
            return  # cancelled or hung, and told so already
        del self.greenlets[name]
        # Work by the thread's clock holds other greenlets' work too while this one waits: bounded by what is plausible.
        took = min((time.thread_time() - began) * 1000, 4 * self.plan.tasks[name].cost + 1) if name in self.plan.tasks else 0
        self.plan.finished(self.clock(), name, took, done)
        self.over(name, done)

    def stop(self) -> None:
        for name in list(self.runs):
            self.cancel(name)
