"""Runs the background tasks in greenlets, as task_scheduler.py decides."""

import time
from collections.abc import Callable
from typing import Any

import gevent

from .task_scheduler import TaskScheduler


class TaskRunner:
    """`clock` returns tenths of a millisecond, `load` the fraction of the process that calls take. `on_finished(name,
    succeeded)` is called after each run."""

    def __init__(
        self,
        scheduler: TaskScheduler,
        clock: Callable[[], int],
        load: Callable[[], float],
        log: Any,
        on_finished: Callable[[str, bool], None],
    ) -> None:
        self.scheduler, self.clock, self.load, self.log, self.on_finished = scheduler, clock, load, log, on_finished
        self.functions: dict[str, Callable[[], bool]] = {}
        self.greenlets: dict[str, gevent.Greenlet] = {}

    def add(self, name: str, work_class: str, run: Callable[[], bool], **options: Any) -> None:
        """`run` returns whether the work was done. `options` are those of `TaskScheduler.add`."""
        self.functions[name] = run
        self.scheduler.add(self.clock(), name, work_class, **options)

    def cancel(self, name: str) -> None:
        self.functions.pop(name, None)
        self.scheduler.cancel(name)
        greenlet = self.greenlets.pop(name, None)
        if greenlet is not None:
            greenlet.kill(block=False)

    def step(self) -> None:
        """Start the tasks that are due and kill those that hang. To be called a few times per second."""
        now = self.clock()
        for name in self.scheduler.hung_tasks(now):
            task = self.scheduler.tasks[name]
            task.overruns += 1
            greenlet = self.greenlets.pop(name, None)
            if greenlet is not None:
                greenlet.kill(block=False)
            self.log.warning("task-hung", task=name, ms=(now - task.started_at) / 10)
            self.scheduler.finish(now, name, task.cost, False)
            self.on_finished(name, False)
        load = self.load()
        while (name := self.scheduler.start_next(now, load)) is not None:
            self.greenlets[name] = gevent.spawn(self._run, name, self.functions[name])

    def _run(self, name: str, run: Callable[[], bool]) -> None:
        started_at = time.thread_time()
        try:
            succeeded = run()
        except Exception as error:
            self.log.warning("task-failed", task=name, why=repr(error))
            succeeded = False
        if self.greenlets.get(name) is not gevent.getcurrent():
            return  # cancelled, or hung: its end was reported already
        del self.greenlets[name]
        # The thread's CPU time includes the work of other greenlets while this one waited: bounded by a plausible duration.
        duration = (
            min((time.thread_time() - started_at) * 1000, 4 * self.scheduler.tasks[name].cost + 1)
            if name in self.scheduler.tasks
            else 0
        )
        self.scheduler.finish(self.clock(), name, duration, succeeded)
        self.on_finished(name, succeeded)

    def stop(self) -> None:
        for name in list(self.functions):
            self.cancel(name)
