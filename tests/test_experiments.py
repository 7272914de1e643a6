"""Experiments: cells from factors, verdicts that find nothing where there is nothing, and runs that go on after a kill."""

import random

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from gingergap.cli.main import main
from gingergap.experiments.cells import BadExperimentError, cells
from gingergap.experiments.judge import ALIKE, BETTER, OPEN, WORSE, clear, effect, paired, verdict
from gingergap.experiments.report import effects, page, table
from gingergap.experiments.results import MEASURES, Results
from gingergap.experiments.runner import Runner, policy_file, run_one
from gingergap.settings.day import DayForm
from gingergap.settings.experiment import ExperimentForm
from gingergap.settings.forms import BadSettingsError, parse

DAY = """(day (name "d") (seconds 6) (exchanges 4) (rate 8)
  (traffic-type (name "a") (share 1) (circuits 1) (hold-s 2) (setup-objective-ms 1500) (no-answer-time-ms 9000) (patience-s 3))
  (groups (mean 6) (spread 0.3)) (fault (kind slow) (at 2) (lasts 2) (share 0.5) (factor 3)))"""
EXPERIMENT = """(experiment (name "e") (day "d.sexp") (policy (name "module")) (policy (name "direct") (base "direct"))
  (policy (name "the same")) (factor (field "exchanges") (level 3 5)) (factor (field "fault.0.factor") (level 2))
  (round 3) (most-seeds 9) (tolerance 0.02))"""


@pytest.fixture
def files(tmp_path):
    (tmp_path / "d.sexp").write_text(DAY)
    (tmp_path / "e.sexp").write_text(EXPERIMENT)
    return tmp_path


def runner_of(folder, text=EXPERIMENT, results="r"):
    return Runner(parse(text, "e", experiment=ExperimentForm), parse(DAY, "d", day=DayForm), folder / results)


def in_process(runner, most=10**9):
    """Run what is missing here, one after the other, up to so many days."""
    done = 0
    while True:
        work = [one for key in runner.cells for one in runner.missing(key)]
        if not work or done >= most:
            break
        for one in work[: most - done]:
            runner.results.put(run_one(runner.cells[one.cell].day, runner.policies[one.policy], one))
            done += 1
    runner.results.flush()
    return done


def test_cells_are_the_combinations_of_levels_each_with_its_day():
    form = parse(EXPERIMENT, "e", experiment=ExperimentForm)
    found = list(cells(form, parse(DAY, "d", day=DayForm)))
    assert [cell.key() for cell in found] == ["3,2", "5,2"]
    assert [(cell.day.exchanges, cell.day.fault[0].factor) for cell in found] == [(3, 2.0), (5, 2.0)]
    large = form.model_copy(update={"factor": [form.factor[0].model_copy(update={"level": [1000]})]})
    assert next(cells(large, parse(DAY, "d", day=DayForm))).day.exchanges == 1_000


@pytest.mark.parametrize(
    ("field", "level", "words"),
    [
        ("nothing", 1, "no 'nothing'"),
        ("fault.7.share", 1, "no '7'"),
        ("groups.odd", 1, "no 'odd'"),
        ("rate", -1, "rate"),
        ("exchanges", 1, "exchanges"),
    ],
)
def test_a_factor_that_is_none_is_a_line(field, level, words):
    form = parse(EXPERIMENT.replace('"fault.0.factor") (level 2)', f'"{field}") (level {level})'), "e", experiment=ExperimentForm)
    with pytest.raises(BadExperimentError, match=words):
        list(cells(form, parse(DAY, "d", day=DayForm)))


@pytest.mark.parametrize(
    "change",
    [
        ('(name "the same")', '(name "module")'),
        ("(level 3 5)", ""),
        ("(round 3)", "(round 2)"),
        ("(most-seeds 9)", "(most-seeds 0)"),
        ("(tolerance 0.02)", "(odd 1)"),
    ],
)
def test_settings_that_make_no_sense_are_refused(change):
    with pytest.raises(BadSettingsError):
        parse(EXPERIMENT.replace(*change), "e", experiment=ExperimentForm)


# --- verdicts ---


def test_two_that_differ_by_nothing_are_called_so():
    draw = random.Random(3)
    for seeds in (3, 6, 24):
        values = [draw.random() for _ in range(seeds)]
        same = paired(values, values, 0.95, 1, 0.01)
        assert same.verdict == ALIKE and same.mean == same.low == same.high == 0


def test_noise_alone_is_seldom_taken_for_a_difference():
    draw = random.Random(5)
    verdicts = []
    for _ in range(200):
        first = [draw.gauss(0.8, 0.1) for _ in range(18)]
        ours = [value + draw.gauss(0, 0.02) for value in first]
        verdicts.append(paired(ours, first, 0.95, 4, 0.001).verdict)
    assert sum(one in (BETTER, WORSE) for one in verdicts) <= 12  # 5% shared by four, and room


def test_a_difference_is_found_and_its_sign():
    draw = random.Random(6)
    first = [draw.gauss(0.8, 0.1) for _ in range(12)]
    up = paired([value + 0.03 + draw.gauss(0, 0.01) for value in first], first, 0.95, 2, 0.005)
    assert up.verdict == BETTER and 0 < up.low < up.mean < up.high and abs(up.mean - 0.03) < 0.015
    assert paired([value - 0.03 + draw.gauss(0, 0.01) for value in first], first, 0.95, 2, 0.005).verdict == WORSE
    assert paired([value - 0.03 for value in first], first, 0.95, 2, 0.005).verdict == WORSE


@given(st.floats(-1, 1), st.floats(0, 1), st.floats(0.001, 0.2))
@settings(max_examples=100, derandomize=True, deadline=None)
def test_a_verdict_says_what_its_interval_does(low, width, tolerance):
    said = verdict(low, low + width, tolerance)
    assert (said == ALIKE) == (low >= -tolerance and low + width <= tolerance)
    assert said != BETTER or low > 0
    assert said != WORSE or low + width < 0
    assert said != OPEN or low <= 0 <= low + width


def test_effects_add_up_to_nothing():
    found = effect({1.0: [1.0, 2.0], 2.0: [3.0], 4.0: [6.0, 6.0]})
    assert sum(found.values()) == pytest.approx(0) and found[4.0] == pytest.approx(2.5)


# --- results and runs ---


def test_rows_come_back_from_their_parts_and_a_broken_part_is_run_again(tmp_path):
    results = Results(tmp_path)
    for seed in range(5):
        results.put({"cell": "c", "policy": "p", "seed": seed, **dict.fromkeys(MEASURES, float(seed))})
        if seed in (1, 4):
            results.flush()
    again = Results(tmp_path)
    assert again.rows == results.rows and again.values("c", "p", "service", [1, 3]) == [1.0, 3.0]
    (tmp_path / "part-000000.parquet").write_bytes(b"junk")
    damaged = Results(tmp_path)
    assert sorted(key[2] for key in damaged.rows) == [2, 3, 4] and len(damaged.damage) == 1
    damaged.put({"cell": "c", "policy": "p", "seed": 0, **dict.fromkeys(MEASURES, 0.0)})
    damaged.flush()
    assert sorted(key[2] for key in Results(tmp_path).rows) == [0, 2, 3, 4]


def strip(rows):
    return {key: {name: value for name, value in row.items() if name != "seconds"} for key, row in rows.items()}


def test_a_run_that_is_broken_off_anywhere_comes_to_the_same_rows(files):
    whole = runner_of(files, results="whole")
    in_process(whole)
    for most in (1, 5, 11):
        while in_process(runner_of(files, results=f"cut{most}"), most):
            pass  # killed and begun again
        assert strip(runner_of(files, results=f"cut{most}").results.rows) == strip(whole.results.rows)


def test_seeds_go_on_only_where_a_comparison_is_not_clear(files):
    runner = runner_of(files)
    in_process(runner)
    for key in runner.cells:
        rounds = runner.rounds_done(key)
        compared = dict(runner.compared(key, rounds))
        assert compared["the same"].verdict == ALIKE and compared["the same"].mean == 0
        assert clear(list(compared.values())) or len(runner.seeds(rounds)) == 9
        assert not runner.missing(key)
        for fewer in range(1, rounds):
            assert not clear([difference for _, difference in runner.compared(key, fewer)])


def test_tables_and_the_page_tell_what_was_found(files):
    runner = runner_of(files)
    in_process(runner)
    rows = table(runner)
    assert [row["policy"] for row in rows[:3]] == ["module", "direct", "the same"] and rows[2]["verdict"] == ALIKE
    assert all(row["rules broken"] == 0 for row in rows if row["policy"] == "module")
    assert {row["factor"] for row in effects(runner)} == {"exchanges"}
    text = page(runner)
    assert "no difference" in text and "data:image/png;base64," in text


def test_a_changed_module_is_a_policy_and_a_change_that_does_not_fit_is_a_line(files):
    changed = '(policy (name "timid") (change (old "run_limit: int = 5") (new "run_limit: int = 1")))'
    runner = runner_of(files, EXPERIMENT.replace('(policy (name "the same"))', changed))
    row = run_one(next(iter(runner.cells.values())).day, runner.policies["timid"], runner.missing("3,2")[2])
    assert row["policy"] == "timid" and 0 < row["service"] <= 1 and row["broken"] == 0
    assert 0 < row["p50"] <= row["p90"] <= row["p99"] and 0 < row["service_at_end"] <= 1 and set(row) >= set(MEASURES)
    for bad in ("not there at all", "self"):
        form = parse(
            EXPERIMENT.replace('(policy (name "the same"))', changed.replace("run_limit: int = 5", bad)),
            "e",
            experiment=ExperimentForm,
        )
        with pytest.raises(BadExperimentError, match="times in the module"):
            policy_file(form.policy[2], files)


def test_the_commands_run_on_all_cores_go_on_and_report(files):
    run = CliRunner().invoke
    words = [str(files / "e.sexp"), "--results", str(files / "r")]
    done = run(main, ["experiment", "run", *words, "--workers", "2"])
    assert done.exit_code == 0 and "no difference" in done.output
    before = sorted((files / "r").glob("*.parquet"))
    assert run(main, ["experiment", "run", *words, "--workers", "2"]).exit_code == 0
    assert sorted((files / "r").glob("*.parquet")) == before
    assert run(main, ["experiment", "compare", *words]).exit_code == 0
    assert run(main, ["experiment", "report", *words, "--out", str(files / "e.html")]).exit_code == 0
    assert (files / "e.html").stat().st_size > 5_000 and (files / "e.png").read_bytes().startswith(b"\x89PNG")
    assert run(main, ["emulate", str(files / "d.sexp"), "--seed", "1", "--seed", "2"]).exit_code == 0
    assert run(main, ["emulate", str(files / "d.sexp"), "--policy", "reservation", "--json"]).exit_code == 0


@pytest.mark.parametrize(
    "words",
    [
        ["emulate", "d.sexp", "--policy", "odd"],
        ["emulate", "d.sexp", "--policy", "none.py"],
        ["experiment", "run", "d.sexp", "--results", "r"],
        ["experiment", "run", "bad.sexp", "--results", "r"],
        ["experiment", "run", "e.sexp", "--results", "d.sexp"],
        ["experiment", "run", "lost.sexp", "--results", "r"],
    ],
)
def test_what_cannot_be_run_is_a_line_and_exit_2(files, monkeypatch, words):
    monkeypatch.chdir(files)
    (files / "bad.sexp").write_text(EXPERIMENT.replace("exchanges", "nothing"))
    (files / "lost.sexp").write_text(EXPERIMENT.replace("d.sexp", "lost-day.sexp"))
    done = CliRunner().invoke(main, words)
    assert done.exit_code == 2 and len(done.stderr.strip().splitlines()) == 1, done.output
