"""The emulator: simulated time, chance by purpose, rules on every day; against theory, and the same for the same seed."""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gingergap.emulator.day import Day
from gingergap.emulator.engine import SECOND, Engine
from gingergap.emulator.machines import Machine
from gingergap.emulator.policies import Plain, baseline
from gingergap.emulator.rules import Rules
from gingergap.emulator.streams import Stream
from gingergap.emulator.theory import erlang_b, erlang_c, md1_wait, reservation_fixed_point, reserved_blocking
from gingergap.host import GwState, LegEnd
from gingergap.settings.day import FAULT_KINDS, DayForm
from gingergap.settings.forms import parse
from gingergap.standins.script import Plan

DAY = """(day (name "d") (seconds %s) (exchanges %s) (rate %s) (skew 0)
  (traffic-type (name "a") (share 1) (circuits 1) (hold-s %s) (setup-objective-ms 1500) (no-answer-time-ms 9000) (patience-s 3))
  (groups (mean %s) (spread 0)) (processor (setup-ms %s) (transit-ms 1) (release-ms 0.1) (refuse-ms 0.1) (lines-busy 0))
  (callers (redials 0) (impatient 0)) (tell-peers false) %s)"""


def day_of(seconds=20, exchanges=4, rate=6, hold=2, mean=12, setup=10, more=""):
    return parse(DAY % (seconds, exchanges, rate, hold, mean, setup, more), "d", day=DayForm)


def test_what_is_due_at_one_time_happens_in_the_order_asked_for():
    engine, seen = Engine(), []
    for number in range(5):
        engine.at(10, seen.append, number)
    engine.at(5, lambda: engine.after(5, seen.append, "last"))
    engine.at(3, lambda: engine.at(1, seen.append, "past is now"))
    engine.run(9)
    assert seen == ["past is now"] and engine.now == 9
    engine.run(100)
    assert seen[1:] == [0, 1, 2, 3, 4, "last"] and engine.done == 9


def test_each_purpose_has_draws_of_its_own():
    one, again, other = Stream(1, "a"), Stream(1, "a"), Stream(1, "b")
    for _ in range(700):
        other.uniform()
    first = [one.uniform() for _ in range(1_000)]
    assert first == [again.uniform() for _ in range(1_000)] and first[:5] != [other.uniform() for _ in range(5)]
    assert 0.45 < sum(first) / 1_000 < 0.55
    picks = [one.pick([1.0, 1.0, 4.0]) for _ in range(2_000)]
    assert 1 not in picks and 0.2 < picks.count(0) / 2_000 < 0.3


def test_a_day_is_the_same_for_the_same_seed_and_another_for_another():
    more = "(fault (kind slow) (at 2) (lasts 4)) (fault (kind loss) (at 3) (lasts 4) (factor 0.1))"
    runs = [Day(day_of(10, more=more), seed).run().figures() for seed in (1, 1, 2)]
    for run in runs:
        del run["seconds"]
    assert runs[0] == runs[1] != runs[2]


def test_a_change_in_one_part_leaves_other_draws_alike():
    plain, struck = Day(day_of(10), 3), Day(day_of(10, more="(fault (kind loss) (at 1) (lasts 8) (factor 0.2))"), 3)
    came = []
    for day in (plain, struck):
        came.append([])
        taken = day._try
        day._try = lambda caller, taken=taken, came=came[-1]: (came.append(caller.first), taken(caller))
        day.run()
    assert set(came[0]) == set(came[1]) and plain.figures()["setup_ms"] != struck.figures()["setup_ms"]


# --- theory ---


def test_erlangs_formulas_have_their_known_values():
    assert erlang_b(1.0, 1) == 0.5 and erlang_b(10.0, 10) == pytest.approx(0.2146, abs=1e-4)
    assert erlang_c(0.5, 1) == pytest.approx(0.5) and erlang_c(8.0, 10) == pytest.approx(0.4092, abs=1e-4)
    assert md1_wait(0.5, 1.0) == 0.5 and md1_wait(1.0, 1.0) == math.inf
    direct, two_legs = reserved_blocking(10.0, 0.0, 10, 0)
    assert direct == two_legs == pytest.approx(erlang_b(10.0, 10))
    direct, two_legs = reserved_blocking(8.0, 4.0, 10, 3)
    assert direct < erlang_b(12.0, 10) < two_legs


@given(st.floats(0.1, 50), st.integers(1, 60))
@settings(max_examples=60, derandomize=True, deadline=None)
def test_more_circuits_block_less(load, circuits):
    assert 0 <= erlang_b(load, circuits + 1) <= erlang_b(load, circuits) <= 1


def test_direct_dialogs_alone_are_lost_as_erlang_says():
    form = day_of(seconds=600, exchanges=2, rate=4, hold=2, mean=16, setup=1)
    figures = Day(form, 5, baseline("direct", 5)).run().figures()
    lost = 1 - figures["stood"] / figures["offered"]
    expected = erlang_b(2 * 4 * 2, 16)  # both ends offer four a second for two seconds
    spread = 3 * math.sqrt(expected * (1 - expected) / figures["offered"]) + 0.02
    assert abs(lost - expected) < spread, (lost, expected)


def test_one_processor_line_waits_as_pollaczek_and_khinchine_say():
    form = day_of(seconds=300, exchanges=2, rate=30, hold=0.1, mean=200, setup=20)
    figures = Day(form, 6, baseline("direct", 6)).run()
    waits = figures.set_up
    mean = waits.get_mean_value() / 1000
    expected = 20 + md1_wait(30 / 1000, 20.0)
    assert mean == pytest.approx(expected + 1.2, rel=0.12)  # and four ways of 0.3 ms


def test_reservation_in_a_mesh_comes_near_its_fixed_point():
    form = day_of(seconds=60, exchanges=8, rate=40, hold=2, mean=24, setup=0.5)
    figures = Day(form, 7, baseline("reservation", 7)).run().figures()
    lost = 1 - figures["stood"] / figures["offered"]
    expected = reservation_fixed_point(2 * 40 / 7 * 2, 24, 2, 2)
    assert abs(lost - expected) < 0.03, (lost, expected)


# --- rules ---

MIXED = "\n".join(
    f"(fault (kind {kind}) (at {at}) (lasts 4) (share 0.4) {more})"
    for kind, at, more in (
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
def test_the_module_keeps_every_rule_on_days_with_everything_wrong(seed, store):
    day = Day(day_of(20, 6, 9, 2, 9, 18, f"(store {store}) {MIXED}"), seed).run()
    assert day.rules.kept, day.rules.breaches
    assert day.rules.judged[1] > 800 and day.rules.judged[2] > 300 and day.rules.judged[4] > 2
    assert day.came > 700 and 0 < day.figures()["service"] < 1


def test_circuits_are_all_free_when_everybody_has_hung_up():
    day = Day(
        day_of(
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
    assert {pair: held for pair, held in day.groups.held.items() if held} == {}


def test_broken_rules_are_found():
    rules = Rules(2_000, 20_000)
    rules.came(0, 1, 7, 10_000)
    rules.sent(10, 1, 7, "x1")
    rules.sent(20, 1, 7, "x2")
    assert rules.broken[2] == 1
    rules.leg_over(30, 1, 7, LegEnd.NO_ANSWER)
    rules.sent(1_000, 1, 7, "x2")
    assert rules.broken[5] == 1
    rules.word(0, 1, "x3", GwState.DRAINING)
    rules.came(0, 1, 8, 90_000)
    rules.sent(30_000, 1, 8, "x3")
    assert rules.broken[3] == 1
    rules.answered(9_000, 1, 7)
    rules.answered(9_500, 1, 7)
    assert rules.broken[1] == 1
    rules.answered(95_000, 1, 8)
    rules.came(95_000, 1, 9, 1_000)
    rules.ended(200_000)
    rules.fell(5, "x4")
    assert rules.broken[1] == 3 and rules.broken[4] == 1 and not rules.kept


class Greedy(Plain):
    """Sends a leg to a drained machine, and two at once: the checker must see both."""

    def dialog_received(self, now, dialog, kind, far, width, number, *rest):
        super().dialog_received(now, dialog, kind, far, width, number, *rest)
        gone = [gw for gw, state in self.states.items() if state != GwState.READY]
        if gone and dialog in self.dialogs:
            self.host.send_leg(dialog, gone[0], 1_000)


def test_a_module_that_breaks_rules_is_caught_on_a_day():
    form = day_of(14, 4, 6, 1, 12, 5, "(fault (kind rolling) (at 2) (lasts 3) (share 0.5)) (drain-grace-ms 500)")
    day = Day(form, 2, lambda host, here, proxies, types: Greedy(host, here, proxies, types, here)).run()
    assert day.rules.broken[2] > 0 and day.rules.broken[3] > 0


def test_the_module_carries_more_than_the_baselines_where_groups_are_short():
    form = day_of(60, 6, 12, 2, 8, 3)
    service = {
        name: Day(form, 3, make).run().figures()["service"]
        for name, make in (("module", None), ("direct", baseline("direct", 3)), ("random tandem", baseline("random tandem", 3)))
    }
    assert service["module"] > service["direct"]


def test_a_machine_serves_at_the_speed_that_it_has():
    form = day_of(
        more="(fault (kind slow) (at 5) (lasts 5) (share 1) (factor 4)) (fault (kind vanish) (at 12) (lasts 1) (share 1))"
    )
    plan = Plan(form, 1)
    old = next(life for life in plan.lives if life.number == 0 and life.born < 0)
    new = next(life for life in plan.lives if life.number == 0 and life.born > 0)
    machine = Machine(plan, old)
    assert machine.put(10_000, 10) == 10_100 and machine.put(10_000, 10) == 10_200 and machine.wait(10_000) == pytest.approx(0.02)
    assert machine.put(60_000, 10) == 60_400
    assert machine.put(99_900, 10) == 100_100 - 25 or 100_050 <= machine.free_at * SECOND <= 100_350
    cold = Machine(plan, new)
    begun = round(new.born * SECOND)
    assert cold.put(begun, 10) > begun + 250  # a third of the speed at first
    assert not any(cold.arrived(begun + number) for number in range(10)) and cold.runs(begun) and not cold.runs(begun - 1)
    assert any(cold.arrived(begun + 20 + number) for number in range(2_000)) and cold.silent(begun + 5_000)
