"""Causes of bad stretches, on hand-made slices and on traces whose records show a single kind of failure."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gingergap.host import GwState, LegEnd, Rsn
from gingergap.trace.causes import (
    ALL_DESTINATIONS,
    ANSWERS,
    CIRCUITS,
    LIST,
    ONE_DESTINATION,
    PROCESSOR,
    count_destination_failures,
    find_bad_intervals,
    find_bad_stretches,
    slow_limit,
)
from gingergap.trace.format import CODES, FORMAT, Header
from gingergap.trace.stream import Entry
from gingergap.trace.summary import TimeSlice, TraceSummary

INTERVAL, MEDIAN_SETUP, OBJECTIVE = 10_000, 160, 15_000
LIMIT = slow_limit(MEDIAN_SETUP, OBJECTIVE)
FIGURES = {"here": 0, "types": [[OBJECTIVE, 90_000, 0.1, 1.0, True, None]]}


def calm_slices(count=30, source=0, destinations=(1, 2, 3)):
    """Slices without failures: nine dialogs a second, spread over the destinations."""
    slices = []
    for number in range(count):
        time_slice = TimeSlice(source, number * INTERVAL)
        time_slice.arrived = time_slice.established = 9
        for destination in destinations:
            stats = time_slice.destination(destination)
            stats.dialogs = stats.legs = stats.established = 9 // len(destinations)
            stats.setup_durations = [MEDIAN_SETUP] * stats.legs
        slices.append(time_slice)
    return slices


def find_stretches(slices):
    return find_bad_stretches(slices, INTERVAL, MEDIAN_SETUP, OBJECTIVE)


def test_calm_traffic_and_a_single_failure_are_no_bad_stretch():
    slices = calm_slices()
    assert find_stretches(slices) == []
    slices[4].destination(1).ends[LegEnd.NO_ANSWER] += 1
    assert find_stretches(slices) == []


def make_slow(slices, destinations, first=10, end=14, duration=LIMIT + 1, count=3):
    for time_slice in slices[first:end]:
        for destination in destinations:
            time_slice.destination(destination).setup_durations = [duration] * count


def test_one_slow_destination_is_distinguished_from_all_being_slow():
    slices = calm_slices()
    make_slow(slices, [2])
    (stretch,) = find_stretches(slices)
    assert (stretch.cause, stretch.begin, stretch.end) == (ONE_DESTINATION, 10 * INTERVAL, 14 * INTERVAL)
    assert "far end 2: 12 slow" in stretch.evidence[0]
    slices = calm_slices()
    make_slow(slices, [1, 2, 3])
    assert find_stretches(slices)[0].cause == ALL_DESTINATIONS
    slices = calm_slices()
    make_slow(slices, [2], duration=LIMIT)
    assert find_stretches(slices) == []


def test_held_back_dialogs_count_against_their_destination():
    slices = calm_slices()
    for time_slice in slices[5:9]:
        time_slice.destination(3).lost_held_back, time_slice.destination(3).lost, time_slice.established = 3, 3, 6
    (stretch,) = find_stretches(slices)
    assert stretch.cause == ONE_DESTINATION and stretch.lost == 12 and "kept back" in stretch.evidence[0]


def test_overtaken_legs_and_other_failures_there_count_as_lost_answers():
    slices = calm_slices()
    make_slow(slices, [1, 2], count=2)
    for time_slice in slices[10:14]:
        time_slice.destination(1).overtaken = time_slice.destination(2).overtaken = 1
        time_slice.destination(2).lost_held_back = 1
    (stretch,) = find_stretches(slices)
    assert stretch.cause == ANSWERS and stretch.scores[ONE_DESTINATION] == stretch.scores[ALL_DESTINATIONS] == 0
    slices[10].destination(1).overtaken = 0
    for time_slice in slices[10:14]:
        time_slice.destination(1).overtaken = time_slice.destination(2).overtaken = 0
    assert find_stretches(slices)[0].cause == ALL_DESTINATIONS


def test_dialogs_without_circuits_do_not_count_against_the_destination():
    slices = calm_slices()
    for time_slice in slices[10:15]:
        time_slice.destination(1).lost_no_circuit = time_slice.destination(2).lost_no_circuit = 2
    make_slow(slices, [3], 10, 12, count=1)
    (stretch,) = find_stretches(slices)
    assert stretch.cause == CIRCUITS and stretch.scores[CIRCUITS] == 20


def test_a_late_listed_start_explains_earlier_failures_at_that_destination():
    slices = calm_slices()
    for time_slice in slices[10:14]:
        time_slice.destination(1).ends[LegEnd.UNREACHABLE] = 4
    assert find_stretches(slices)[0].cause == ONE_DESTINATION
    slices[15].destination(1).listing_delay = OBJECTIVE + 1
    (stretch,) = find_stretches(slices)
    assert stretch.cause == LIST and "1 by 1500 ms" in stretch.evidence[0]
    slices[15].destination(1).listing_delay = OBJECTIVE
    assert find_stretches(slices)[0].cause == ONE_DESTINATION


def test_a_standstill_of_the_process_is_the_cause_of_failures_around_it():
    slices = calm_slices()
    for time_slice in slices[10:13]:
        time_slice.standstill = 25_000
        time_slice.arrived = time_slice.established = 0
    slices[12].turned_away = 20
    make_slow(slices, [1, 2, 3], 12, 14)
    (stretch,) = find_stretches(slices)
    assert stretch.cause == PROCESSOR and "2500 ms" in stretch.evidence[0] and "20 dialogs" in stretch.evidence[0]
    quiet = calm_slices()
    quiet[10].standstill = 2_000
    assert find_stretches(quiet) == []


def test_stretches_are_joined_over_short_good_times_but_not_across_sources():
    slices = calm_slices()
    make_slow(slices, [1], 5, 7)
    make_slow(slices, [1], 9, 11)
    make_slow(slices, [1], 20, 22)
    assert find_bad_intervals(slices, INTERVAL, LIMIT) == [(5 * INTERVAL, 11 * INTERVAL), (20 * INTERVAL, 22 * INTERVAL)]
    other = calm_slices(source=1)
    make_slow(other, [2], 6, 8)
    assert [(stretch.source, stretch.begin // INTERVAL) for stretch in find_stretches(other + slices)] == [(0, 5), (0, 20), (1, 6)]


@given(st.data())
@settings(max_examples=60, derandomize=True, deadline=None)
def test_the_named_cause_always_has_the_highest_score_and_the_first_evidence(data):
    slices = calm_slices(12)
    few_failures = st.integers(0, 4)
    for time_slice in slices:
        for stats in time_slice.destinations.values():
            stats.lost_held_back, stats.lost_no_circuit, stats.overtaken = (
                data.draw(few_failures),
                data.draw(few_failures),
                data.draw(few_failures),
            )
            stats.ends[LegEnd.NO_ANSWER], stats.ends[LegEnd.UNREACHABLE] = data.draw(few_failures), data.draw(few_failures)
            stats.refusals[Rsn.PROCESSOR_FULL] = data.draw(few_failures)
            stats.listing_delay = data.draw(st.sampled_from([-1, 100, 20_000]))
        time_slice.standstill = data.draw(st.sampled_from([0, 0, 0, 3_000]))
        time_slice.turned_away = data.draw(few_failures)
    found = find_stretches(slices)
    for stretch in found:
        assert stretch.scores[stretch.cause] == max(stretch.scores.values()) > 0
        assert stretch.evidence[0].startswith(stretch.cause)
        assert len(stretch.evidence) == sum(value > 0 for value in stretch.scores.values())
        assert stretch.begin < stretch.end
    assert [(stretch.source, stretch.begin) for stretch in found] == sorted((stretch.source, stretch.begin) for stretch in found)


def test_no_failure_at_a_destination_counts_twice():
    time_slice = TimeSlice(0, 0)
    stats = time_slice.destination(1)
    stats.setup_durations, stats.overtaken = [LIMIT + 1, 10], 1
    assert count_destination_failures(stats, LIMIT) == 0
    stats.ends[LegEnd.NO_ANSWER] = 2
    assert count_destination_failures(stats, LIMIT) == 2


# --- on traces ---


class TraceScript:
    """Makes records and advances time, with a tick fifty times a second unless the process is to stand still."""

    def __init__(self):
        self.summary = TraceSummary([Header(FORMAT, "m", "e", "p", 0.0, 0, FIGURES)], INTERVAL)
        self.now, self.dialog_count = 0, 0
        self.record("exchange_list_received", 0, [[number, number, int(GwState.READY), 0] for number in range(4)], True)
        for number in (1, 2, 3):
            self.record("trunk_group_reported", 0, number, 20, 20)

    def record(self, name, *fields):
        self.summary.add(Entry(0, self.now, [CODES[name], *fields]))

    def tick_until(self, time):
        while self.now + 200 <= time:
            self.now += 200
            self.record("tick", self.now)
        self.now = max(self.now, time)

    def arrive(self, destination, transit=False, redialled=False):
        self.dialog_count += 1
        self.record("dialog_received", self.now, self.dialog_count, 0, destination, 1, "n", 30_000, transit, redialled, False, -1)
        return self.dialog_count

    def send_leg(self, dialog, gw):
        self.record("send_leg", dialog, gw, 20_000)

    def establish(self, dialog):
        self.record("dialog_established", self.now, dialog, 100)

    def end_leg(self, dialog, gw, leg_end, rsn=0, free=20, finished=False):
        self.record("leg_ended", self.now, dialog, gw, int(leg_end), int(rsn), finished, free, 20)

    def finish(self):
        self.summary.finish()
        return self.summary

    def complete_call(self, destination, duration=160):
        dialog = self.arrive(destination)
        self.send_leg(dialog, destination)
        self.tick_until(self.now + duration)
        self.establish(dialog)
        return dialog

    def calm_seconds(self, seconds):
        for _ in range(seconds * 6):
            self.complete_call(1 + self.dialog_count % 3)
            self.tick_until(self.now + 1_500)


def stretches_of(script):
    summary = script.finish()
    return find_bad_stretches(summary.all_slices(), INTERVAL, summary.median_setup(), summary.shortest_objective())


def test_a_calm_trace_is_counted_completely():
    script = TraceScript()
    script.calm_seconds(4)
    summary = script.finish()
    assert (
        summary.by_traffic_type[0]["in time"]
        == script.dialog_count
        == sum(time_slice.arrived for time_slice in summary.all_slices())
    )
    assert (
        summary.median_setup() == pytest.approx(160, rel=0.01)
        and find_bad_stretches(summary.all_slices(), INTERVAL, 160, OBJECTIVE) == []
    )
    assert summary.setup_histograms[True].get_total_count() == script.dialog_count and summary.shortest_objective() == OBJECTIVE


def test_a_later_leg_answered_first_indicates_a_lost_answer():
    script = TraceScript()
    script.calm_seconds(4)
    for _ in range(8):
        lost = script.arrive(2)
        script.send_leg(lost, 2)
        script.tick_until(script.now + 400)
        script.complete_call(2)
        script.complete_call(1)
        script.tick_until(script.now + 5_000)
        script.establish(lost)
    (stretch,) = stretches_of(script)
    assert stretch.cause == ANSWERS and stretch.scores[ANSWERS] >= 5


def test_legs_sent_close_together_may_be_reordered():
    script = TraceScript()
    script.calm_seconds(4)
    for _ in range(8):
        first, second = script.arrive(2), script.arrive(2)
        script.send_leg(first, 2)
        script.tick_until(script.now + 200)
        script.send_leg(second, 2)
        script.tick_until(script.now + 200)
        script.establish(second)
        script.establish(first)
        script.tick_until(script.now + 2_000)
    assert stretches_of(script) == []


def test_a_slow_machine_is_not_mistaken_for_lost_answers():
    script = TraceScript()
    script.calm_seconds(4)
    waiting = []
    for _ in range(10):
        dialog = script.arrive(3)
        script.send_leg(dialog, 3)
        waiting.append(dialog)
        script.tick_until(script.now + 1_500)
        if len(waiting) > 3:
            script.establish(waiting.pop(0))
        script.complete_call(1)
    for dialog in waiting:
        script.establish(dialog)
    (stretch,) = stretches_of(script)
    assert stretch.cause == ONE_DESTINATION and stretch.scores[ANSWERS] == 0


def test_a_full_group_and_a_held_back_dialog_are_distinguished():
    script = TraceScript()
    script.calm_seconds(4)
    script.record("trunk_group_reported", script.now, 1, 0, 20)
    for _ in range(12):
        script.record("decline", script.arrive(1), 0)
        script.tick_until(script.now + 2_000)
    (stretch,) = stretches_of(script)
    assert stretch.cause == CIRCUITS
    script = TraceScript()
    script.calm_seconds(4)
    for _ in range(12):
        script.record("decline", script.arrive(1), 0)
        script.record(
            "decline", script.arrive(2, redialled=True), 0
        )  # may be refused whatever is free, so it says nothing about the destination
        script.tick_until(script.now + 2_000)
    (stretch,) = stretches_of(script)
    assert stretch.cause == ONE_DESTINATION and 8 <= stretch.scores[ONE_DESTINATION] <= 12


def test_busy_lines_and_early_cancels_are_not_failures():
    script = TraceScript()
    script.calm_seconds(4)
    for _ in range(12):
        dialog = script.arrive(1)
        script.send_leg(dialog, 1)
        script.end_leg(dialog, 1, LegEnd.BUSY, Rsn.LINES_BUSY)
        script.record("decline", dialog, 0)
        script.record("dialog_cancelled", script.now, script.arrive(2))
        script.tick_until(script.now + 2_000)
    assert stretches_of(script) == []


def test_the_listing_delay_is_measured_from_the_list_itself():
    script = TraceScript()
    script.calm_seconds(4)
    started_at = script.now
    for _ in range(10):
        dialog = script.arrive(2)
        script.send_leg(dialog, 2)
        script.end_leg(dialog, 2, LegEnd.UNREACHABLE)
        script.record("decline", dialog, 0)
        script.tick_until(script.now + 3_000)
    script.record("exchange_list_received", script.now, [[2, 2, int(GwState.READY), started_at]], False)
    script.calm_seconds(3)
    (stretch,) = stretches_of(script)
    assert stretch.cause == LIST


def test_a_standstill_is_detected_by_missing_ticks():
    script = TraceScript()
    script.calm_seconds(4)
    script.now += 20_000
    for _ in range(12):
        script.record("dialog_rejected", script.now, 0, 900, 3)
    script.calm_seconds(3)
    summary = script.finish()
    (stretch,) = find_bad_stretches(summary.all_slices(), INTERVAL, summary.median_setup(), summary.shortest_objective())
    assert stretch.cause == PROCESSOR and "20" in stretch.evidence[0]
    assert max(time_slice.standstill for time_slice in summary.all_slices()) >= 20_000


def test_dialogs_in_transit_count_apart_and_gaps_are_no_standstill():
    script = TraceScript()
    script.calm_seconds(2)
    before = script.dialog_count
    script.record("decline", script.arrive(1, transit=True), 0)
    script.summary.add(Entry(0, script.now, ["gap", script.now, script.now + 50_000, 40]))
    script.now += 50_000
    script.calm_seconds(2)
    summary = script.finish()
    assert (
        sum(time_slice.in_transit for time_slice in summary.all_slices())
        == 1
        == sum(time_slice.transit_refused for time_slice in summary.all_slices())
    )
    assert summary.by_traffic_type[0]["came"] == script.dialog_count - 1 and before < script.dialog_count and summary.gaps == 1
    assert max(time_slice.standstill for time_slice in summary.all_slices()) < 2_500
