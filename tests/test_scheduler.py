"""Background work: budgets, priorities, yielding, standstills, and what hangs or raises."""

from random import Random

import gevent
import pytest
import structlog
from hypothesis import given, settings
from hypothesis import strategies as st

from gingergap.scheduler.runner import TaskRunner
from gingergap.scheduler.task_scheduler import SECOND, TaskScheduler, WorkBudget


def plan(rate=100.0, jitter=0.0, **more):
    return TaskScheduler(Random(1), {"duty": WorkBudget(rate), "other": WorkBudget(10.0)}, jitter, **more)


def play(back, until, load=0.0, took=None, start=0, step=100):
    """Runs that are over at once; which ran when."""
    ran = []
    for now in range(start, until, step):
        while (name := back.next(now, load)) is not None:
            ran.append((now, name))
            back.finished(now, name, back.tasks[name].cost if took is None else took, True)
    return ran


def test_a_task_runs_each_period():
    back = plan()
    back.add(0, "a", "duty", period=SECOND, limit=5 * SECOND, first_in=SECOND // 2)
    assert [now for now, _ in play(back, 5 * SECOND)] == [5_000, 15_000, 25_000, 35_000, 45_000]


def test_jitter_spreads_but_keeps_the_rate():
    back = plan(jitter=0.2)
    back.add(0, "a", "duty", period=SECOND, limit=5 * SECOND)
    times = [now for now, _ in play(back, 200 * SECOND)]
    assert 190 <= len(times) <= 210 and len({b - a for a, b in zip(times, times[1:], strict=False)}) > 10


def test_a_budget_bounds_what_runs_and_the_worthier_goes_first():
    back = plan(rate=2.0)
    for name, worth in (("cheap", 1.0), ("dear", 5.0), ("mid", 2.0)):
        back.add(0, name, "duty", period=SECOND, limit=100 * SECOND, cost=1.0, priority=worth)
    ran = [name for _, name in play(back, 30 * SECOND)]
    assert len(ran) <= 62
    assert ran.count("dear") > ran.count("mid") >= ran.count("cheap") > 0


def test_under_call_load_background_work_yields_but_is_never_starved():
    counts = []
    for load in (0.0, 0.5, 1.0):
        back = plan(rate=10.0)
        for number in range(10):
            back.add(0, f"t{number}", "duty", period=SECOND, limit=10**9, cost=2.0)
        counts.append(len(play(back, 60 * SECOND, load)))
    assert counts[0] > counts[1] > counts[2] > 20
    assert counts[2] < counts[0] / 5


def test_what_is_overdue_past_its_limit_runs_on_credit():
    back = plan()
    back.classes["duty"] = WorkBudget(0.001, burst=10.0)
    back.classes["duty"].saved = 0.0
    back.add(0, "a", "duty", period=SECOND, limit=3 * SECOND, cost=5.0)
    assert play(back, 3 * SECOND) == []
    assert [name for _, name in play(back, 4 * SECOND, start=3 * SECOND)] == ["a"]


def test_after_a_standstill_nothing_comes_in_a_burst():
    back = plan(rate=1000.0)
    for number in range(20):
        back.add(0, f"t{number}", "duty", period=SECOND, limit=10 * SECOND, first_in=number * 500)
    play(back, 5 * SECOND)
    ran = play(back, 70 * SECOND, start=60 * SECOND)
    for number in range(20):
        times = [now for now, name in ran if name == f"t{number}"]
        assert 9 <= len(times) <= 12
        assert min(b - a for a, b in zip(times, times[1:], strict=False)) >= SECOND // 2
    assert sum(task.missed for task in back.tasks.values()) >= 20 * 50


def test_one_that_takes_longer_than_its_period_is_not_started_twice():
    back = plan()
    back.add(0, "a", "duty", period=SECOND, limit=5 * SECOND, deadline=3 * SECOND)
    assert back.next(0, 0) == "a"
    assert all(back.next(now, 0) is None for now in range(0, 5 * SECOND, 100))
    assert back.hanging(3 * SECOND) == [] and back.hanging(3 * SECOND + 1) == ["a"]
    back.finished(2 * SECOND + 500, "a", 1.0, True)
    assert back.next(2 * SECOND + 500, 0) is None


def test_a_cancelled_task_is_gone_and_its_place_is_free():
    back = plan(most_at_once=1)
    back.add(0, "a", "duty", period=SECOND, limit=SECOND)
    back.add(0, "b", "duty", period=SECOND, limit=SECOND)
    first = back.next(0, 0)
    assert back.next(0, 0) is None
    assert back.cancel(first)
    back.finished(10, first, 1.0, True)
    assert back.next(10, 0) is not None and not back.cancel("nobody")


@given(
    st.lists(
        st.tuples(st.sampled_from(["next", "finish", "cancel", "add", "pass"]), st.integers(0, 4), st.floats(0, 1)), max_size=80
    )
)
@settings(derandomize=True, deadline=None)
def test_never_more_at_once_than_allowed_and_never_one_twice(events):
    back, now, running = plan(most_at_once=2), 0, set()
    for what, number, load in events:
        name = f"t{number}"
        if what == "add":
            back.add(now, name, "duty" if number % 2 else "other", period=SECOND, limit=2 * SECOND)
        elif what == "next":
            started = back.next(now, load)
            if started is not None:
                assert started not in running
                running.add(started)
        elif what == "finish" and name in running:
            back.finished(now, name, 1.0, load > 0.5)
            running.discard(name)
        elif what == "cancel":
            back.cancel(name)
            running.discard(name)
        else:
            now += number * 5_000
        assert back.running == len(running) <= 2


@pytest.fixture
def runner():
    told = []
    clock = [0]
    runner = TaskRunner(plan(), lambda: clock[0], lambda: 0.0, structlog.get_logger(), lambda name, done: told.append((name, done)))
    runner.told, runner.clock_at = told, clock
    yield runner
    runner.stop()


def test_a_run_that_raises_is_told_and_the_next_comes(runner):
    def run():
        raise ValueError("no")

    runner.add("a", "duty", run, period=SECOND, limit=SECOND)
    runner.step()
    gevent.sleep(0)
    assert runner.told == [("a", False)] and runner.plan.tasks["a"].failures == 1
    runner.clock_at[0] = SECOND
    runner.step()
    gevent.sleep(0)
    assert len(runner.told) == 2


def test_a_run_that_hangs_is_ended(runner):
    runner.add("a", "duty", lambda: gevent.sleep(1000), period=SECOND, limit=SECOND, deadline=SECOND)
    runner.step()
    gevent.sleep(0)
    hung = runner.greenlets["a"]
    runner.clock_at[0] = SECOND + 1
    runner.step()
    hung.join(timeout=20)
    assert hung.dead and runner.told[0] == ("a", False) and runner.plan.tasks["a"].overruns == 1
