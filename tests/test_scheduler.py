"""Background tasks: budgets, priorities, yielding to calls, standstills, and runs that hang or raise."""

from random import Random

import gevent
import pytest
import structlog
from hypothesis import given, settings
from hypothesis import strategies as st

from gingergap.scheduler.runner import TaskRunner
from gingergap.scheduler.task_scheduler import SECOND, TaskScheduler, WorkBudget


def make_scheduler(rate=100.0, jitter=0.0, **options):
    return TaskScheduler(Random(1), {"duty": WorkBudget(rate), "other": WorkBudget(10.0)}, jitter, **options)


def simulate(scheduler, until, load=0.0, duration=None, start=0, step=100):
    """Steps the time; every run ends at once. Returns the runs as (time, name)."""
    runs = []
    for now in range(start, until, step):
        while (name := scheduler.start_next(now, load)) is not None:
            runs.append((now, name))
            scheduler.finish(now, name, scheduler.tasks[name].cost if duration is None else duration, True)
    return runs


def test_a_task_runs_once_per_period():
    scheduler = make_scheduler()
    scheduler.add(0, "a", "duty", period=SECOND, limit=5 * SECOND, first_in=SECOND // 2)
    assert [now for now, _ in simulate(scheduler, 5 * SECOND)] == [5_000, 15_000, 25_000, 35_000, 45_000]


def test_jitter_spreads_runs_but_keeps_the_rate():
    scheduler = make_scheduler(jitter=0.2)
    scheduler.add(0, "a", "duty", period=SECOND, limit=5 * SECOND)
    times = [now for now, _ in simulate(scheduler, 200 * SECOND)]
    assert 190 <= len(times) <= 210 and len({b - a for a, b in zip(times, times[1:], strict=False)}) > 10


def test_a_budget_bounds_what_runs_and_higher_priority_goes_first():
    scheduler = make_scheduler(rate=2.0)
    for name, priority in (("low", 1.0), ("high", 5.0), ("mid", 2.0)):
        scheduler.add(0, name, "duty", period=SECOND, limit=100 * SECOND, cost=1.0, priority=priority)
    runs = [name for _, name in simulate(scheduler, 30 * SECOND)]
    assert len(runs) <= 62
    assert runs.count("high") > runs.count("mid") >= runs.count("low") > 0


def test_under_call_load_background_work_yields_but_does_not_starve():
    counts = []
    for load in (0.0, 0.5, 1.0):
        scheduler = make_scheduler(rate=10.0)
        for number in range(10):
            scheduler.add(0, f"t{number}", "duty", period=SECOND, limit=10**9, cost=2.0)
        counts.append(len(simulate(scheduler, 60 * SECOND, load)))
    assert counts[0] > counts[1] > counts[2] > 20
    assert counts[2] < counts[0] / 5


def test_a_task_that_is_overdue_past_its_limit_may_overdraw_the_budget():
    scheduler = make_scheduler()
    scheduler.budgets["duty"] = WorkBudget(0.001, burst=10.0)
    scheduler.budgets["duty"].available = 0.0
    scheduler.add(0, "a", "duty", period=SECOND, limit=3 * SECOND, cost=5.0)
    assert simulate(scheduler, 3 * SECOND) == []
    assert [name for _, name in simulate(scheduler, 4 * SECOND, start=3 * SECOND)] == ["a"]


def test_missed_runs_are_skipped_after_a_standstill():
    scheduler = make_scheduler(rate=1000.0)
    for number in range(20):
        scheduler.add(0, f"t{number}", "duty", period=SECOND, limit=10 * SECOND, first_in=number * 500)
    simulate(scheduler, 5 * SECOND)
    runs = simulate(scheduler, 70 * SECOND, start=60 * SECOND)
    for number in range(20):
        times = [now for now, name in runs if name == f"t{number}"]
        assert 9 <= len(times) <= 12
        assert min(b - a for a, b in zip(times, times[1:], strict=False)) >= SECOND // 2
    assert sum(task.missed for task in scheduler.tasks.values()) >= 20 * 50


def test_a_task_that_takes_longer_than_its_period_is_not_started_twice():
    scheduler = make_scheduler()
    scheduler.add(0, "a", "duty", period=SECOND, limit=5 * SECOND, deadline=3 * SECOND)
    assert scheduler.start_next(0, 0) == "a"
    assert all(scheduler.start_next(now, 0) is None for now in range(0, 5 * SECOND, 100))
    assert scheduler.hung_tasks(3 * SECOND) == [] and scheduler.hung_tasks(3 * SECOND + 1) == ["a"]
    scheduler.finish(2 * SECOND + 500, "a", 1.0, True)
    assert scheduler.start_next(2 * SECOND + 500, 0) is None


def test_a_cancelled_task_is_removed_and_frees_its_slot():
    scheduler = make_scheduler(max_running=1)
    scheduler.add(0, "a", "duty", period=SECOND, limit=SECOND)
    scheduler.add(0, "b", "duty", period=SECOND, limit=SECOND)
    first = scheduler.start_next(0, 0)
    assert scheduler.start_next(0, 0) is None
    assert scheduler.cancel(first)
    scheduler.finish(10, first, 1.0, True)
    assert scheduler.start_next(10, 0) is not None and not scheduler.cancel("nobody")


@given(
    st.lists(
        st.tuples(st.sampled_from(["next", "finish", "cancel", "add", "pass"]), st.integers(0, 4), st.floats(0, 1)), max_size=80
    )
)
@settings(derandomize=True, deadline=None)
def test_never_more_runs_at_once_than_allowed_and_never_two_of_one_task(events):
    scheduler, now, running = make_scheduler(max_running=2), 0, set()
    for event, number, load in events:
        name = f"t{number}"
        if event == "add":
            scheduler.add(now, name, "duty" if number % 2 else "other", period=SECOND, limit=2 * SECOND)
        elif event == "next":
            started = scheduler.start_next(now, load)
            if started is not None:
                assert started not in running
                running.add(started)
        elif event == "finish" and name in running:
            scheduler.finish(now, name, 1.0, load > 0.5)
            running.discard(name)
        elif event == "cancel":
            scheduler.cancel(name)
            running.discard(name)
        else:
            now += number * 5_000
        assert scheduler.running == len(running) <= 2


@pytest.fixture
def runner():
    """A TaskRunner with a settable clock (`clock_value`) that notes the ends of runs in `finished`."""
    finished = []
    clock = [0]
    runner = TaskRunner(
        make_scheduler(),
        lambda: clock[0],
        lambda: 0.0,
        structlog.get_logger(),
        lambda name, succeeded: finished.append((name, succeeded)),
    )
    runner.finished, runner.clock_value = finished, clock
    yield runner
    runner.stop()


def test_a_run_that_raises_is_reported_and_the_task_runs_again(runner):
    def run():
        raise ValueError("no")

    runner.add("a", "duty", run, period=SECOND, limit=SECOND)
    runner.step()
    gevent.sleep(0)
    assert runner.finished == [("a", False)] and runner.scheduler.tasks["a"].failures == 1
    runner.clock_value[0] = SECOND
    runner.step()
    gevent.sleep(0)
    assert len(runner.finished) == 2


def test_a_run_that_hangs_is_killed(runner):
    runner.add("a", "duty", lambda: gevent.sleep(1000), period=SECOND, limit=SECOND, deadline=SECOND)
    runner.step()
    gevent.sleep(0)
    hung = runner.greenlets["a"]
    runner.clock_value[0] = SECOND + 1
    runner.step()
    hung.join(timeout=20)
    assert hung.dead and runner.finished[0] == ("a", False) and runner.scheduler.tasks["a"].overruns == 1
