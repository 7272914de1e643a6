"""Tests of the search for bad days: drawn by seed, judged against the baselines, shrunk while they stay bad."""

from random import Random

from click.testing import CliRunner

from gingergap.cli.main import main
from gingergap.experiments.search import BROKEN_RULE_BADNESS, BadDay, draw_faults, judge_day, search_days, shrink_day, smaller_days
from gingergap.settings.day import DayForm, FaultForm
from gingergap.settings.forms import parse, read

DAY = """(day (name "d") (seconds 12) (exchanges 6) (rate 6)
  (traffic-type (name "a") (share 1) (circuits 1) (hold-s 2) (setup-objective-ms 1500) (no-answer-time-ms 9000) (patience-s 3))
  (groups (mean 5) (spread 0.3)))"""


def day_with_faults(*kinds):
    day = parse(DAY, "d", day=DayForm)
    return day.model_copy(update={"fault": [FaultForm(kind=kind, at=2, lasts=2, share=0.5, factor=2) for kind in kinds]})


def test_drawn_faults_lie_within_the_day_and_are_reproducible():
    for seed in range(200):
        drawn = draw_faults(Random(seed), 12.0, 4)
        assert 1 <= len(drawn) <= 4 and drawn == draw_faults(Random(seed), 12.0, 4)
        day = parse(DAY, "d", day=DayForm)
        DayForm.model_validate({**day.model_dump(), "fault": [fault.model_dump() for fault in drawn]})


def test_shrinking_keeps_only_what_makes_the_day_bad():
    bad_day = BadDay(1.0, day_with_faults("slow", "vanish", "burst", "pauses"), 1, "direct")
    judged = []

    def judge(day, seed):
        judged.append(day)
        kinds = [fault.kind for fault in day.fault]
        return (1.0 if "vanish" in kinds and "pauses" in kinds else 0.0), "direct"

    shrunk = shrink_day(bad_day, 0.9, judge)
    assert [fault.kind for fault in shrunk.day.fault] == ["vanish", "pauses"]
    assert shrunk.day.exchanges == 4 and shrunk.day.seconds < 9 and all(fault.lasts <= 0.5 for fault in shrunk.day.fault)
    assert all(judge(day, 1)[0] < 0.9 for day in smaller_days(shrunk.day))  # no further step is possible
    assert len(judged) < 200


def test_a_day_that_is_not_bad_is_not_shrunk():
    bad_day = BadDay(-0.1, day_with_faults("slow"), 1, "direct")
    assert shrink_day(bad_day, 0.9, lambda day, seed: (0.0, "direct")) == bad_day


def test_a_broken_rule_is_kept_while_shrinking():
    bad_day = BadDay(BROKEN_RULE_BADNESS, day_with_faults("slow", "vanish"), 1, "")

    def judge(day, seed):
        return (BROKEN_RULE_BADNESS, "") if any(fault.kind == "slow" for fault in day.fault) else (5.0, "direct")

    assert [fault.kind for fault in shrink_day(bad_day, 0.5, judge).day.fault] == ["slow"]


def test_days_are_judged_against_the_best_baseline_and_the_search_is_reproducible():
    badness, better_baseline = judge_day(day_with_faults("slow"), 3)
    assert badness < 0 and better_baseline in ("direct", "random tandem", "reservation")
    first, second = (list(search_days(parse(DAY, "d", day=DayForm), 5, 3, 3)) for _ in range(2))
    assert first == second and len({bad_day.seed for bad_day in first}) == 3


def test_the_command_writes_the_worst_day_as_a_playable_file(tmp_path):
    (tmp_path / "d.sexp").write_text(DAY)
    out = tmp_path / "worst.sexp"
    result = CliRunner().invoke(main, ["experiment", "search", str(tmp_path / "d.sexp"), "--days", "4", "--out", str(out)])
    assert result.exit_code == 0, result.output
    assert CliRunner().invoke(main, ["settings", "check", str(out)]).exit_code == 0
    assert CliRunner().invoke(main, ["emulate", str(out)]).exit_code == 0
    written_day = read(out, day=DayForm)
    assert f"badness {judge_day(written_day, written_day.seed)[0]:.4f}" in result.output


def test_baselines_run_on_days_with_a_store():
    day = day_with_faults("kill-proxy").model_copy(update={"store": True})
    assert judge_day(day, 1)[1] in ("direct", "random tandem", "reservation")
