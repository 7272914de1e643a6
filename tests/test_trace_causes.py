"""Causes of bad stretches: on slices made by hand, and on traces whose records tell one plain trouble."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gingergap.host import GwState, LegEnd, Rsn
from gingergap.trace.causes import (
    ALL_FAR,
    ANSWERS,
    CIRCUITS,
    LIST,
    ONE_FAR,
    PROCESSOR,
    bad_stretches,
    far_troubles,
    slow_limit,
    stretches,
)
from gingergap.trace.format import CODES, FORMAT, Header
from gingergap.trace.stream import Entry
from gingergap.trace.tally import Slice, Tally

SPAN, USUAL, OBJECTIVE = 10_000, 160, 15_000
LIMIT = slow_limit(USUAL, OBJECTIVE)
FIGURES = {"here": 0, "types": [[OBJECTIVE, 90_000, 0.1, 1.0, True, None]]}


def slices(many=30, source=0, far_ends=(1, 2, 3)):
    """A calm time: ten dialogs a second, spread over the far ends."""
    found = []
    for number in range(many):
        one = Slice(source, number * SPAN)
        one.came = one.stood = 9
        for far_end in far_ends:
            far = one.at(far_end)
            far.asked = far.legs = far.stood = 9 // len(far_ends)
            far.set_ups = [USUAL] * far.legs
        found.append(one)
    return found


def judge(held):
    return bad_stretches(held, SPAN, USUAL, OBJECTIVE)


def test_a_calm_time_has_no_bad_stretch_and_one_failure_is_chance():
    held = slices()
    assert judge(held) == []
    held[4].at(1).ends[LegEnd.NO_ANSWER] += 1
    assert judge(held) == []


def slow(held, far_ends, low=10, high=14, took=LIMIT + 1, many=3):
    for one in held[low:high]:
        for far_end in far_ends:
            one.at(far_end).set_ups = [took] * many


def test_one_slow_far_end_is_told_from_all_of_them():
    held = slices()
    slow(held, [2])
    (stretch,) = judge(held)
    assert (stretch.cause, stretch.begin, stretch.end) == (ONE_FAR, 10 * SPAN, 14 * SPAN)
    assert "far end 2: 12 slow" in stretch.evidence[0]
    held = slices()
    slow(held, [1, 2, 3])
    assert judge(held)[0].cause == ALL_FAR
    held = slices()
    slow(held, [2], took=LIMIT)
    assert judge(held) == []


def test_kept_back_dialogs_speak_against_their_far_end():
    held = slices()
    for one in held[5:9]:
        one.at(3).lost_kept, one.at(3).lost, one.stood = 3, 3, 6
    (stretch,) = judge(held)
    assert stretch.cause == ONE_FAR and stretch.lost == 12 and "kept back" in stretch.evidence[0]


def test_overtaken_legs_mean_lost_answers_and_so_do_the_troubles_that_follow_there():
    held = slices()
    slow(held, [1, 2], many=2)
    for one in held[10:14]:
        one.at(1).overtaken = one.at(2).overtaken = 1
        one.at(2).lost_kept = 1
    (stretch,) = judge(held)
    assert stretch.cause == ANSWERS and stretch.voices[ONE_FAR] == stretch.voices[ALL_FAR] == 0
    held[10].at(1).overtaken = 0
    for one in held[10:14]:
        one.at(1).overtaken = one.at(2).overtaken = 0
    assert judge(held)[0].cause == ALL_FAR


def test_dialogs_without_circuits_are_not_the_far_ends_fault():
    held = slices()
    for one in held[10:15]:
        one.at(1).lost_full = one.at(2).lost_full = 2
    slow(held, [3], 10, 12, many=1)
    (stretch,) = judge(held)
    assert stretch.cause == CIRCUITS and stretch.voices[CIRCUITS] == 20


def test_a_start_that_the_list_tells_late_explains_what_was_wrong_there_before():
    held = slices()
    for one in held[10:14]:
        one.at(1).ends[LegEnd.UNREACHABLE] = 4
    assert judge(held)[0].cause == ONE_FAR
    held[15].at(1).listed_late = OBJECTIVE + 1
    (stretch,) = judge(held)
    assert stretch.cause == LIST and "1 by 1500 ms" in stretch.evidence[0]
    held[15].at(1).listed_late = OBJECTIVE
    assert judge(held)[0].cause == ONE_FAR


def test_a_process_that_stood_still_is_the_cause_of_what_it_saw():
    held = slices()
    for one in held[10:13]:
        one.standstill = 25_000
        one.came = one.stood = 0
    held[12].turned_away = 20
    slow(held, [1, 2, 3], 12, 14)
    (stretch,) = judge(held)
    assert stretch.cause == PROCESSOR and "2500 ms" in stretch.evidence[0] and "20 dialogs" in stretch.evidence[0]
    quiet = slices()
    quiet[10].standstill = 2_000
    assert judge(quiet) == []


def test_stretches_are_joined_over_short_good_times_and_sources_kept_apart():
    held = slices()
    slow(held, [1], 5, 7)
    slow(held, [1], 9, 11)
    slow(held, [1], 20, 22)
    assert stretches(held, SPAN, LIMIT) == [(5 * SPAN, 11 * SPAN), (20 * SPAN, 22 * SPAN)]
    other = slices(source=1)
    slow(other, [2], 6, 8)
    assert [(one.source, one.begin // SPAN) for one in judge(other + held)] == [(0, 5), (0, 20), (1, 6)]


@given(st.data())
@settings(max_examples=60, derandomize=True, deadline=None)
def test_whatever_is_counted_the_named_cause_has_the_most_troubles_and_evidence(data):
    held = slices(12)
    few = st.integers(0, 4)
    for one in held:
        for far in one.far.values():
            far.lost_kept, far.lost_full, far.overtaken = data.draw(few), data.draw(few), data.draw(few)
            far.ends[LegEnd.NO_ANSWER], far.ends[LegEnd.UNREACHABLE] = data.draw(few), data.draw(few)
            far.refused[Rsn.PROCESSOR_FULL] = data.draw(few)
            far.listed_late = data.draw(st.sampled_from([-1, 100, 20_000]))
        one.standstill = data.draw(st.sampled_from([0, 0, 0, 3_000]))
        one.turned_away = data.draw(few)
    found = judge(held)
    for stretch in found:
        assert stretch.voices[stretch.cause] == max(stretch.voices.values()) > 0
        assert stretch.evidence[0].startswith(stretch.cause)
        assert len(stretch.evidence) == sum(value > 0 for value in stretch.voices.values())
        assert stretch.begin < stretch.end
    assert [(one.source, one.begin) for one in found] == sorted((one.source, one.begin) for one in found)


def test_no_trouble_of_a_far_end_counts_twice():
    one = Slice(0, 0)
    far = one.at(1)
    far.set_ups, far.overtaken = [LIMIT + 1, 10], 1
    assert far_troubles(far, LIMIT) == 0
    far.ends[LegEnd.NO_ANSWER] = 2
    assert far_troubles(far, LIMIT) == 2


# --- from records ---


class Told:
    """Makes records, keeps time, and lets the beat go on fifty times a second unless the process stands still."""

    def __init__(self):
        self.tally = Tally([Header(FORMAT, "m", "e", "p", 0.0, 0, FIGURES)], SPAN)
        self.now, self.dialogs = 0, 0
        self.put("exchange_list_received", 0, [[number, number, int(GwState.READY), 0] for number in range(4)], True)
        for number in (1, 2, 3):
            self.put("trunk_group_reported", 0, number, 20, 20)

    def put(self, name, *fields):
        self.tally.take(Entry(0, self.now, [CODES[name], *fields]))

    def beats(self, until):
        while self.now + 200 <= until:
            self.now += 200
            self.put("tick", self.now)
        self.now = max(self.now, until)

    def came(self, far, transit=False, redialled=False):
        self.dialogs += 1
        self.put("dialog_received", self.now, self.dialogs, 0, far, 1, "n", 30_000, transit, redialled, False, -1)
        return self.dialogs

    def sent(self, dialog, gw):
        self.put("send_leg", dialog, gw, 20_000)

    def stands(self, dialog):
        self.put("dialog_established", self.now, dialog, 100)

    def ended(self, dialog, gw, how, rsn=0, free=20, over=False):
        self.put("leg_ended", self.now, dialog, gw, int(how), int(rsn), over, free, 20)

    def done(self):
        self.tally.end()
        return self.tally

    def call(self, far, took=160):
        dialog = self.came(far)
        self.sent(dialog, far)
        self.beats(self.now + took)
        self.stands(dialog)
        return dialog

    def calm(self, seconds):
        for _ in range(seconds * 6):
            self.call(1 + self.dialogs % 3)
            self.beats(self.now + 1_500)


def causes_of(told):
    tally = told.done()
    return bad_stretches(tally.all_slices(), SPAN, tally.usual(), tally.objective())


def test_a_calm_trace_is_counted_whole():
    told = Told()
    told.calm(4)
    tally = told.done()
    assert tally.by_kind[0]["in time"] == told.dialogs == sum(one.came for one in tally.all_slices())
    assert tally.usual() == pytest.approx(160, rel=0.01) and bad_stretches(tally.all_slices(), SPAN, 160, OBJECTIVE) == []
    assert tally.set_up[True].get_total_count() == told.dialogs and tally.objective() == OBJECTIVE


def test_a_later_leg_answered_first_shows_a_lost_answer():
    told = Told()
    told.calm(4)
    for _ in range(8):
        lost = told.came(2)
        told.sent(lost, 2)
        told.beats(told.now + 400)
        told.call(2)
        told.call(1)
        told.beats(told.now + 5_000)
        told.stands(lost)
    (stretch,) = causes_of(told)
    assert stretch.cause == ANSWERS and stretch.voices[ANSWERS] >= 5


def test_legs_that_leave_together_may_change_places():
    told = Told()
    told.calm(4)
    for _ in range(8):
        first, second = told.came(2), told.came(2)
        told.sent(first, 2)
        told.beats(told.now + 200)
        told.sent(second, 2)
        told.beats(told.now + 200)
        told.stands(second)
        told.stands(first)
        told.beats(told.now + 2_000)
    assert causes_of(told) == []


def test_a_slow_machine_is_not_mistaken_for_lost_answers():
    told = Told()
    told.calm(4)
    waiting = []
    for _ in range(10):
        dialog = told.came(3)
        told.sent(dialog, 3)
        waiting.append(dialog)
        told.beats(told.now + 1_500)
        if len(waiting) > 3:
            told.stands(waiting.pop(0))
        told.call(1)
    for dialog in waiting:
        told.stands(dialog)
    (stretch,) = causes_of(told)
    assert stretch.cause == ONE_FAR and stretch.voices[ANSWERS] == 0


def test_a_full_group_and_a_kept_back_dialog_are_told_apart():
    told = Told()
    told.calm(4)
    told.put("trunk_group_reported", told.now, 1, 0, 20)
    for _ in range(12):
        told.put("decline", told.came(1), 0)
        told.beats(told.now + 2_000)
    (stretch,) = causes_of(told)
    assert stretch.cause == CIRCUITS
    told = Told()
    told.calm(4)
    for _ in range(12):
        told.put("decline", told.came(1), 0)
        told.put("decline", told.came(2, redialled=True), 0)  # judged whatever is free: it tells nothing of the far end
        told.beats(told.now + 2_000)
    (stretch,) = causes_of(told)
    assert stretch.cause == ONE_FAR and 8 <= stretch.voices[ONE_FAR] <= 12


def test_lines_in_use_and_short_tempers_are_nobodys_fault():
    told = Told()
    told.calm(4)
    for _ in range(12):
        dialog = told.came(1)
        told.sent(dialog, 1)
        told.ended(dialog, 1, LegEnd.BUSY, Rsn.LINES_BUSY)
        told.put("decline", dialog, 0)
        told.put("dialog_cancelled", told.now, told.came(2))
        told.beats(told.now + 2_000)
    assert causes_of(told) == []


def test_a_start_listed_late_is_measured_from_the_list_itself():
    told = Told()
    told.calm(4)
    begun = told.now
    for _ in range(10):
        dialog = told.came(2)
        told.sent(dialog, 2)
        told.ended(dialog, 2, LegEnd.UNREACHABLE)
        told.put("decline", dialog, 0)
        told.beats(told.now + 3_000)
    told.put("exchange_list_received", told.now, [[2, 2, int(GwState.READY), begun]], False)
    told.calm(3)
    (stretch,) = causes_of(told)
    assert stretch.cause == LIST


def test_a_standstill_is_seen_by_the_beats_that_did_not_come():
    told = Told()
    told.calm(4)
    told.now += 20_000
    for _ in range(12):
        told.put("turned_away", told.now, 0, 900, 3)
    told.calm(3)
    tally = told.done()
    (stretch,) = bad_stretches(tally.all_slices(), SPAN, tally.usual(), tally.objective())
    assert stretch.cause == PROCESSOR and "20" in stretch.evidence[0]
    assert max(one.standstill for one in tally.all_slices()) >= 20_000


def test_dialogs_in_transit_count_apart_and_gaps_are_no_standstill():
    told = Told()
    told.calm(2)
    before = told.dialogs
    told.put("decline", told.came(1, transit=True), 0)
    told.tally.take(Entry(0, told.now, ["gap", told.now, told.now + 50_000, 40]))
    told.now += 50_000
    told.calm(2)
    tally = told.done()
    assert sum(one.in_transit for one in tally.all_slices()) == 1 == sum(one.transit_refused for one in tally.all_slices())
    assert tally.by_kind[0]["came"] == told.dialogs - 1 and before < told.dialogs and tally.gaps == 1
    assert max(one.standstill for one in tally.all_slices()) < 2_500
