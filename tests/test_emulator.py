"""Tests of the emulator: the event engine, random streams, reproducibility, agreement with theory, rule checker."""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gingergap.emulator.baselines import BaselineController, baseline_factory
from gingergap.emulator.day import Day
from gingergap.emulator.engine import SECOND, Engine
from gingergap.emulator.machines import Machine
from gingergap.emulator.rules import RuleChecker
from gingergap.emulator.streams import Stream
from gingergap.emulator.theory import erlang_b, erlang_c, md1_wait, reservation_fixed_point, reserved_blocking
from gingergap.host import GwState, LegEnd
from gingergap.settings.day import FAULT_KINDS, DayForm
from gingergap.settings.forms import parse
from gingergap.standins.day_plan import DayPlan

DAY = """(day (name "d") (seconds %s) (exchanges %s) (rate %s) (skew 0)
  (traffic-type (name "a") (share 1) (circuits 1) (hold-s %s) (setup-objective-ms 1500) (no-answer-time-ms 9000) (patience-s 3))
  (groups (mean %s) (spread 0)) (processor (setup-ms %s) (transit-ms 1) (release-ms 0.1) (refuse-ms 0.1) (lines-busy 0))
  (callers (redials 0) (impatient 0)) (tell-peers false) %s)"""


def create_day_form(seconds=20, exchanges=4, rate=6, hold=2, mean=12, setup=10, extra=""):
    return parse(DAY % (seconds, exchanges, rate, hold, mean, setup, extra), "d", day=DayForm)


def test_events_of_one_time_run_in_the_order_of_scheduling():
    engine, calls = Engine(), []
    for number in range(5):
        engine.schedule_at(10, calls.append, number)
    engine.schedule_at(5, lambda: engine.schedule_after(5, calls.append, "last"))
    engine.schedule_at(3, lambda: engine.schedule_at(1, calls.append, "past is now"))
    engine.run(9)
    assert calls == ["past is now"] and engine.now == 9
    engine.run(100)
    assert calls[1:] == [0, 1, 2, 3, 4, "last"] and engine.event_count == 9


def test_streams_of_different_purposes_are_independent():
    stream, same, other = Stream(1, "a"), Stream(1, "a"), Stream(1, "b")
    for _ in range(700):
        other.uniform()
    first = [stream.uniform() for _ in range(1_000)]
    assert first == [same.uniform() for _ in range(1_000)] and first[:5] != [other.uniform() for _ in range(5)]
    assert 0.45 < sum(first) / 1_000 < 0.55
    picks = [stream.pick_index([1.0, 1.0, 4.0]) for _ in range(2_000)]
    assert 1 not in picks and 0.2 < picks.count(0) / 2_000 < 0.3


def test_a_day_is_reproducible_by_its_seed():
    extra = "(fault (kind slow) (at 2) (lasts 4)) (fault (kind loss) (at 3) (lasts 4) (factor 0.1))"
    runs = [Day(create_day_form(10, extra=extra), seed).run().summary() for seed in (1, 1, 2)]
    for run in runs:
        del run["seconds"]
    assert runs[0] == runs[1] != runs[2]


def test_a_network_fault_does_not_change_the_arrivals():
    plain, faulty = (
        Day(create_day_form(10), 3),
        Day(create_day_form(10, extra="(fault (kind loss) (at 1) (lasts 8) (factor 0.2))"), 3),
    )
    arrivals = []
    for day in (plain, faulty):
        arrivals.append([])
        attempt = day._attempt
        day._attempt = lambda caller, attempt=attempt, arrivals=arrivals[-1]: (arrivals.append(caller.arrived_at), attempt(caller))
        day.run()
    assert set(arrivals[0]) == set(arrivals[1]) and plain.summary()["setup_ms"] != faulty.summary()["setup_ms"]


# --- theory ---


def test_formulas_have_their_known_values():
    assert erlang_b(1.0, 1) == 0.5 and erlang_b(10.0, 10) == pytest.approx(0.2146, abs=1e-4)
    assert erlang_c(0.5, 1) == pytest.approx(0.5) and erlang_c(8.0, 10) == pytest.approx(0.4092, abs=1e-4)
    assert md1_wait(0.5, 1.0) == 0.5 and md1_wait(1.0, 1.0) == math.inf
    direct, two_legs = reserved_blocking(10.0, 0.0, 10, 0)
    assert direct == two_legs == pytest.approx(erlang_b(10.0, 10))
    direct, two_legs = reserved_blocking(8.0, 4.0, 10, 3)
    assert direct < erlang_b(12.0, 10) < two_legs


@given(st.floats(0.1, 50), st.integers(1, 60))
@settings(max_examples=60, derandomize=True, deadline=None)
def test_blocking_falls_with_the_number_of_circuits(load, circuits):
    assert 0 <= erlang_b(load, circuits + 1) <= erlang_b(load, circuits) <= 1


def test_loss_of_direct_routing_agrees_with_erlang_b():
    form = create_day_form(seconds=600, exchanges=2, rate=4, hold=2, mean=16, setup=1)
    summary = Day(form, 5, baseline_factory("direct", 5)).run().summary()
    lost = 1 - summary["stood"] / summary["offered"]
    expected = erlang_b(2 * 4 * 2, 16)  # both ends offer four dialogs a second, of two seconds each
    spread = 3 * math.sqrt(expected * (1 - expected) / summary["offered"]) + 0.02
    assert abs(lost - expected) < spread, (lost, expected)


def test_set_up_times_of_one_processor_agree_with_the_md1_queue():
    form = create_day_form(seconds=300, exchanges=2, rate=30, hold=0.1, mean=200, setup=20)
    day = Day(form, 6, baseline_factory("direct", 6)).run()
    setup_times = day.setup_times
    mean = setup_times.get_mean_value() / 1000
    expected = 20 + md1_wait(30 / 1000, 20.0)
    assert mean == pytest.approx(expected + 1.2, rel=0.12)  # 1.2 ms: four messages of 0.3 ms each


def test_loss_with_reservation_in_a_mesh_is_near_the_fixed_point():
    form = create_day_form(seconds=60, exchanges=8, rate=40, hold=2, mean=24, setup=0.5)
    summary = Day(form, 7, baseline_factory("reservation", 7)).run().summary()
    lost = 1 - summary["stood"] / summary["offered"]
    expected = reservation_fixed_point(2 * 40 / 7 * 2, 24, 2, 2)
    assert abs(lost - expected) < 0.03, (lost, expected)


# --- rules ---

ALL_FAULTS = "\n".join(
    f"(fault (kind {kind}) (at {at}) (lasts 4) (share 0.4) {extra})"
    for kind, at, extra in (
        ("slow", 1, "(factor 5)"),
        ("silence", 3, ""),
        ("vanish", 5, ""),
        ("rolling", 4, ""),
        ("stale-list", 4, "(ms 1500)"),
        ("kill-proxy", 6, ""),
        ("pause-proxy", 8, ""),
        ("answers-lost", 2, "(factor 0.5)"),
        ("loss", 7, "(factor 0.1)"),
        ("groups-shrink", 9, "(factor 3)"),
        ("pauses", 10, ""),
        ("district-cut", 11, ""),
        ("mass-restart", 12, ""),
        ("burst", 2, "(factor 2)"),
        ("messages-lost", 1, "(factor 0.5)"),
        ("cut", 13, ""),
        ("list-silent", 12, ""),
        ("ageing", 8, "(factor 4)"),
        ("delay", 5, "(ms 30)"),
    )
    if kind in FAULT_KINDS
)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("store", ["true", "false"])
def test_the_module_keeps_every_rule_on_days_with_all_kinds_of_faults(seed, store):
    day = Day(create_day_form(20, 6, 9, 2, 9, 18, f"(store {store}) {ALL_FAULTS}"), seed).run()
    assert day.rules.all_kept, day.rules.breaches
    assert day.rules.judged[1] > 800 and day.rules.judged[2] > 300 and day.rules.judged[4] > 2
    assert day.offered > 700 and 0 < day.summary()["service"] < 1


def test_all_circuits_are_free_after_the_last_release():
    day = Day(
        create_day_form(
            12,
            5,
            9,
            1,
            8,
            12,
            "(fault (kind slow) (at 2) (lasts 4) (factor 6)) (fault (kind answers-lost) (at 2) "
            "(lasts 4) (factor 0.4)) (fault (kind cut) (at 8) (share 0.5))",
        ),
        4,
    ).run()
    day.engine.run(day.engine.now + 60 * SECOND)
    assert {pair: held for pair, held in day.groups.seized.items() if held} == {}


def test_the_checker_finds_broken_rules():
    rules = RuleChecker(2_000, 20_000)
    rules.dialog_received(0, 1, 7, 10_000)
    rules.leg_sent(10, 1, 7, "x1")
    rules.leg_sent(20, 1, 7, "x2")
    assert rules.broken[2] == 1
    rules.leg_ended(30, 1, 7, LegEnd.NO_ANSWER)
    rules.leg_sent(1_000, 1, 7, "x2")
    assert rules.broken[5] == 1
    rules.machine_listed(0, 1, "x3", GwState.DRAINING)
    rules.dialog_received(0, 1, 8, 90_000)
    rules.leg_sent(30_000, 1, 8, "x3")
    assert rules.broken[3] == 1
    rules.dialog_answered(9_000, 1, 7)
    rules.dialog_answered(9_500, 1, 7)
    assert rules.broken[1] == 1
    rules.dialog_answered(95_000, 1, 8)
    rules.dialog_received(95_000, 1, 9, 1_000)
    rules.day_ended(200_000)
    rules.machine_overloaded(5, "x4")
    assert rules.broken[1] == 3 and rules.broken[4] == 1 and not rules.all_kept


class RuleBreaker(BaselineController):
    """Sends legs to machines that are not ready, and two legs of a dialog at once."""

    def dialog_received(self, now, dialog, traffic_type, destination, circuits, caller_number, *rest):
        super().dialog_received(now, dialog, traffic_type, destination, circuits, caller_number, *rest)
        gone = [gw for gw, state in self.states.items() if state != GwState.READY]
        if gone and dialog in self.dialogs:
            self.host.send_leg(dialog, gone[0], 1_000)


def test_a_controller_that_breaks_rules_is_caught():
    form = create_day_form(14, 4, 6, 1, 12, 5, "(fault (kind rolling) (at 2) (lasts 3) (share 0.5)) (drain-grace-ms 500)")
    day = Day(
        form,
        2,
        lambda host, own_exchange, proxy_count, traffic_types: RuleBreaker(
            host, own_exchange, proxy_count, traffic_types, own_exchange
        ),
    ).run()
    assert day.rules.broken[2] > 0 and day.rules.broken[3] > 0


def test_the_module_serves_more_than_direct_routing_when_groups_are_small():
    form = create_day_form(60, 6, 12, 2, 8, 3)
    service = {
        name: Day(form, 3, create_controller).run().summary()["service"]
        for name, create_controller in (
            ("module", None),
            ("direct", baseline_factory("direct", 3)),
            ("random tandem", baseline_factory("random tandem", 3)),
        )
    }
    assert service["module"] > service["direct"]


def test_work_takes_as_long_as_the_processor_speed_implies():
    form = create_day_form(
        extra="(fault (kind slow) (at 5) (lasts 5) (share 1) (factor 4)) (fault (kind vanish) (at 12) (lasts 1) (share 1))"
    )
    plan = DayPlan(form, 1)
    old = next(run for run in plan.machine_runs if run.number == 0 and run.starts_at < 0)
    new = next(run for run in plan.machine_runs if run.number == 0 and run.starts_at > 0)
    machine = Machine(plan, old)
    assert (
        machine.add_work(10_000, 10) == 10_100
        and machine.add_work(10_000, 10) == 10_200
        and machine.queue_delay(10_000) == pytest.approx(0.02)
    )
    assert machine.add_work(60_000, 10) == 60_400
    assert machine.add_work(99_900, 10) == 100_100 - 25 or 100_050 <= machine.idle_at * SECOND <= 100_350
    cold = Machine(plan, new)
    cold_start = round(new.starts_at * SECOND)
    assert cold.add_work(cold_start, 10) > cold_start + 250  # it starts at a third of its full speed
    assert (
        not any(cold.setup_arrived(cold_start + number) for number in range(10))
        and cold.is_running(cold_start)
        and not cold.is_running(cold_start - 1)
    )
    assert any(cold.setup_arrived(cold_start + 20 + number) for number in range(2_000)) and cold.is_silent(cold_start + 5_000)
