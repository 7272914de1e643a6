"""The search for bad days: drawn by seed, judged against baselines, shrunk without losing what makes them bad."""

from random import Random

from click.testing import CliRunner

from gingergap.cli.main import main
from gingergap.experiments.search import BROKEN, Found, faults, judged, searched, shrunk, smaller
from gingergap.settings.day import DayForm, FaultForm
from gingergap.settings.forms import parse, read

DAY = """(day (name "d") (seconds 12) (exchanges 6) (rate 6)
  (traffic-type (name "a") (share 1) (circuits 1) (hold-s 2) (setup-objective-ms 1500) (no-answer-time-ms 9000) (patience-s 3))
  (groups (mean 5) (spread 0.3)))"""


def day_of(*kinds):
    day = parse(DAY, "d", day=DayForm)
    return day.model_copy(update={"fault": [FaultForm(kind=kind, at=2, lasts=2, share=0.5, factor=2) for kind in kinds]})


def test_drawn_faults_lie_within_the_day_and_are_the_same_for_the_same_seed():
    for seed in range(200):
        drawn = faults(Random(seed), 12.0, 4)
        assert 1 <= len(drawn) <= 4 and drawn == faults(Random(seed), 12.0, 4)
        day = parse(DAY, "d", day=DayForm)
        DayForm.model_validate({**day.model_dump(), "fault": [fault.model_dump() for fault in drawn]})


def test_what_makes_a_day_bad_is_left_and_all_else_goes():
    found = Found(1.0, day_of("slow", "vanish", "burst", "pauses"), 1, "direct")
    asked = []

    def judge(day, seed):
        asked.append(day)
        kinds = [fault.kind for fault in day.fault]
        return (1.0 if "vanish" in kinds and "pauses" in kinds else 0.0), "direct"

    least = shrunk(found, 0.9, judge)
    assert [fault.kind for fault in least.day.fault] == ["vanish", "pauses"]
    assert least.day.exchanges == 4 and least.day.seconds < 9 and all(fault.lasts <= 0.5 for fault in least.day.fault)
    assert all(judge(day, 1)[0] < 0.9 for day in smaller(least.day))  # nothing more can go
    assert len(asked) < 200


def test_a_day_that_is_not_bad_is_left_as_it_is():
    found = Found(-0.1, day_of("slow"), 1, "direct")
    assert shrunk(found, 0.9, lambda day, seed: (0.0, "direct")) == found


def test_a_broken_rule_stays_one_while_it_shrinks():
    found = Found(BROKEN, day_of("slow", "vanish"), 1, "")

    def judge(day, seed):
        return (BROKEN, "") if any(fault.kind == "slow" for fault in day.fault) else (5.0, "direct")

    assert [fault.kind for fault in shrunk(found, 0.5, judge).day.fault] == ["slow"]


def test_days_are_judged_against_the_best_baseline_and_the_search_is_the_same_each_time():
    badness, than = judged(day_of("slow"), 3)
    assert badness < 0 and than in ("direct", "random tandem", "reservation")
    first, again = (list(searched(parse(DAY, "d", day=DayForm), 5, 3, 3)) for _ in range(2))
    assert first == again and len({found.seed for found in first}) == 3


def test_the_command_writes_the_worst_day_so_that_it_can_be_played_again(tmp_path):
    (tmp_path / "d.sexp").write_text(DAY)
    out = tmp_path / "worst.sexp"
    done = CliRunner().invoke(main, ["experiment", "search", str(tmp_path / "d.sexp"), "--days", "4", "--out", str(out)])
    assert done.exit_code == 0, done.output
    assert CliRunner().invoke(main, ["settings", "check", str(out)]).exit_code == 0
    assert CliRunner().invoke(main, ["emulate", str(out)]).exit_code == 0
    again = read(out, day=DayForm)
    assert f"badness {judged(again, again.seed)[0]:.4f}" in done.output


def test_baselines_are_played_on_days_on_which_proxies_remember():
    day = day_of("kill-proxy").model_copy(update={"store": True})
    assert judged(day, 1)[1] in ("direct", "random tandem", "reservation")
