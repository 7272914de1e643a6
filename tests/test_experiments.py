"""Tests of experiments: cells from factors, paired comparisons, resumption of interrupted runs, reports, commands."""

import random

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from gingergap.cli.main import main
from gingergap.experiments.comparison import (
    BETTER,
    NO_DIFFERENCE,
    UNDECIDED,
    WORSE,
    all_decided,
    compare_paired,
    factor_effects,
    interval_verdict,
)
from gingergap.experiments.design import BadExperimentError, create_cells
from gingergap.experiments.report import comparison_table, effects_table, render_page
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
def folder(tmp_path):
    (tmp_path / "d.sexp").write_text(DAY)
    (tmp_path / "e.sexp").write_text(EXPERIMENT)
    return tmp_path


def create_runner(folder, text=EXPERIMENT, results="r"):
    return Runner(parse(text, "e", experiment=ExperimentForm), parse(DAY, "d", day=DayForm), folder / results)


def run_in_process(runner, max_days=10**9):
    """Run the missing days one after the other in this process, at most so many; returns how many were run."""
    done = 0
    while True:
        missing = [run for key in runner.cells for run in runner.missing_runs(key)]
        if not missing or done >= max_days:
            break
        for run in missing[: max_days - done]:
            runner.results.add(run_one(runner.cells[run.cell].day, runner.policies[run.policy], run))
            done += 1
    runner.results.flush()
    return done


def test_there_is_a_cell_for_each_combination_of_levels():
    form = parse(EXPERIMENT, "e", experiment=ExperimentForm)
    result = list(create_cells(form, parse(DAY, "d", day=DayForm)))
    assert [cell.key() for cell in result] == ["3,2", "5,2"]
    assert [(cell.day.exchanges, cell.day.fault[0].factor) for cell in result] == [(3, 2.0), (5, 2.0)]
    large = form.model_copy(update={"factor": [form.factor[0].model_copy(update={"level": [1000]})]})
    assert next(create_cells(large, parse(DAY, "d", day=DayForm))).day.exchanges == 1_000


@pytest.mark.parametrize(
    ("field", "level", "message"),
    [
        ("nothing", 1, "no 'nothing'"),
        ("fault.7.share", 1, "no '7'"),
        ("groups.odd", 1, "no 'odd'"),
        ("rate", -1, "rate"),
        ("exchanges", 1, "exchanges"),
    ],
)
def test_invalid_factors_are_rejected(field, level, message):
    form = parse(EXPERIMENT.replace('"fault.0.factor") (level 2)', f'"{field}") (level {level})'), "e", experiment=ExperimentForm)
    with pytest.raises(BadExperimentError, match=message):
        list(create_cells(form, parse(DAY, "d", day=DayForm)))


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
def test_invalid_settings_are_rejected(change):
    with pytest.raises(BadSettingsError):
        parse(EXPERIMENT.replace(*change), "e", experiment=ExperimentForm)


# --- verdicts ---


def test_equal_values_give_no_difference():
    rng = random.Random(3)
    for seeds in (3, 6, 24):
        values = [rng.random() for _ in range(seeds)]
        same = compare_paired(values, values, 0.95, 1, 0.01)
        assert same.verdict == NO_DIFFERENCE and same.mean == same.low == same.high == 0


def test_noise_alone_is_rarely_taken_for_a_difference():
    rng = random.Random(5)
    verdicts = []
    for _ in range(200):
        first = [rng.gauss(0.8, 0.1) for _ in range(18)]
        values = [value + rng.gauss(0, 0.02) for value in first]
        verdicts.append(compare_paired(values, first, 0.95, 4, 0.001).verdict)
    # An error probability of 5% is divided among four comparisons; the limit leaves a margin.
    assert sum(verdict in (BETTER, WORSE) for verdict in verdicts) <= 12


def test_a_difference_is_found_with_its_sign():
    rng = random.Random(6)
    first = [rng.gauss(0.8, 0.1) for _ in range(12)]
    better = compare_paired([value + 0.03 + rng.gauss(0, 0.01) for value in first], first, 0.95, 2, 0.005)
    assert better.verdict == BETTER and 0 < better.low < better.mean < better.high and abs(better.mean - 0.03) < 0.015
    assert compare_paired([value - 0.03 + rng.gauss(0, 0.01) for value in first], first, 0.95, 2, 0.005).verdict == WORSE
    assert compare_paired([value - 0.03 for value in first], first, 0.95, 2, 0.005).verdict == WORSE


@given(st.floats(-1, 1), st.floats(0, 1), st.floats(0.001, 0.2))
@settings(max_examples=100, derandomize=True, deadline=None)
def test_a_verdict_follows_from_its_interval(low, width, tolerance):
    verdict = interval_verdict(low, low + width, tolerance)
    assert (verdict == NO_DIFFERENCE) == (low >= -tolerance and low + width <= tolerance)
    assert verdict != BETTER or low > 0
    assert verdict != WORSE or low + width < 0
    assert verdict != UNDECIDED or low <= 0 <= low + width


def test_factor_effects_sum_to_zero():
    result = factor_effects({1.0: [1.0, 2.0], 2.0: [3.0], 4.0: [6.0, 6.0]})
    assert sum(result.values()) == pytest.approx(0) and result[4.0] == pytest.approx(2.5)


# --- results and runs ---


def test_rows_are_read_back_and_those_of_a_damaged_part_are_missing(tmp_path):
    results = Results(tmp_path)
    for seed in range(5):
        results.add({"cell": "c", "policy": "p", "seed": seed, **dict.fromkeys(MEASURES, float(seed))})
        if seed in (1, 4):
            results.flush()
    read_back = Results(tmp_path)
    assert read_back.rows == results.rows and read_back.values("c", "p", "service", [1, 3]) == [1.0, 3.0]
    (tmp_path / "part-000000.parquet").write_bytes(b"junk")
    damaged = Results(tmp_path)
    assert sorted(key[2] for key in damaged.rows) == [2, 3, 4] and len(damaged.damage) == 1
    damaged.add({"cell": "c", "policy": "p", "seed": 0, **dict.fromkeys(MEASURES, 0.0)})
    damaged.flush()
    assert sorted(key[2] for key in Results(tmp_path).rows) == [0, 2, 3, 4]


def without_seconds(rows):
    """Rows without the real time that each took, which differs between runs."""
    return {key: {name: value for name, value in row.items() if name != "seconds"} for key, row in rows.items()}


def test_an_interrupted_experiment_ends_with_the_same_rows(folder):
    complete = create_runner(folder, results="whole")
    run_in_process(complete)
    for max_days in (1, 5, 11):
        while run_in_process(create_runner(folder, results=f"cut{max_days}"), max_days):
            pass  # interrupted and resumed
        assert without_seconds(create_runner(folder, results=f"cut{max_days}").results.rows) == without_seconds(
            complete.results.rows
        )


def test_rounds_are_added_only_while_a_comparison_is_undecided(folder):
    runner = create_runner(folder)
    run_in_process(runner)
    for key in runner.cells:
        rounds = runner.completed_rounds(key)
        compared = dict(runner.compare(key, rounds))
        assert compared["the same"].verdict == NO_DIFFERENCE and compared["the same"].mean == 0
        assert all_decided(list(compared.values())) or len(runner.seeds(rounds)) == 9
        assert not runner.missing_runs(key)
        for fewer in range(1, rounds):
            assert not all_decided([difference for _, difference in runner.compare(key, fewer)])


def test_tables_and_the_page_contain_the_results(folder):
    runner = create_runner(folder)
    run_in_process(runner)
    rows = comparison_table(runner)
    assert [row["policy"] for row in rows[:3]] == ["module", "direct", "the same"] and rows[2]["verdict"] == NO_DIFFERENCE
    assert all(row["rules broken"] == 0 for row in rows if row["policy"] == "module")
    assert {row["factor"] for row in effects_table(runner)} == {"exchanges"}
    text = render_page(runner)
    assert "no difference" in text and "data:image/png;base64," in text


def test_a_policy_with_a_change_runs_and_a_change_that_does_not_match_is_rejected(folder):
    policy_text = '(policy (name "timid") (change (old "run_limit: int = 5") (new "run_limit: int = 1")))'
    runner = create_runner(folder, EXPERIMENT.replace('(policy (name "the same"))', policy_text))
    row = run_one(next(iter(runner.cells.values())).day, runner.policies["timid"], runner.missing_runs("3,2")[2])
    assert row["policy"] == "timid" and 0 < row["service"] <= 1 and row["broken"] == 0
    assert 0 < row["p50"] <= row["p90"] <= row["p99"] and 0 < row["service_at_end"] <= 1 and set(row) >= set(MEASURES)
    for old_text in ("not there at all", "self"):
        form = parse(
            EXPERIMENT.replace('(policy (name "the same"))', policy_text.replace("run_limit: int = 5", old_text)),
            "e",
            experiment=ExperimentForm,
        )
        with pytest.raises(BadExperimentError, match="times in the module"):
            policy_file(form.policy[2], folder)


def test_the_commands_run_resume_compare_and_report(folder):
    run = CliRunner().invoke
    arguments = [str(folder / "e.sexp"), "--results", str(folder / "r")]
    done = run(main, ["experiment", "run", *arguments, "--workers", "2"])
    assert done.exit_code == 0 and "no difference" in done.output
    before = sorted((folder / "r").glob("*.parquet"))
    assert run(main, ["experiment", "run", *arguments, "--workers", "2"]).exit_code == 0
    assert sorted((folder / "r").glob("*.parquet")) == before
    assert run(main, ["experiment", "compare", *arguments]).exit_code == 0
    assert run(main, ["experiment", "report", *arguments, "--out", str(folder / "e.html")]).exit_code == 0
    assert (folder / "e.html").stat().st_size > 5_000 and (folder / "e.png").read_bytes().startswith(b"\x89PNG")
    assert run(main, ["emulate", str(folder / "d.sexp"), "--seed", "1", "--seed", "2"]).exit_code == 0
    assert run(main, ["emulate", str(folder / "d.sexp"), "--policy", "reservation", "--json"]).exit_code == 0


@pytest.mark.parametrize(
    "arguments",
    [
        ["emulate", "d.sexp", "--policy", "odd"],
        ["emulate", "d.sexp", "--policy", "none.py"],
        ["experiment", "run", "d.sexp", "--results", "r"],
        ["experiment", "run", "bad.sexp", "--results", "r"],
        ["experiment", "run", "e.sexp", "--results", "d.sexp"],
        ["experiment", "run", "lost.sexp", "--results", "r"],
    ],
)
def test_bad_input_exits_with_2_and_one_line_on_stderr(folder, monkeypatch, arguments):
    monkeypatch.chdir(folder)
    (folder / "bad.sexp").write_text(EXPERIMENT.replace("exchanges", "nothing"))
    (folder / "lost.sexp").write_text(EXPERIMENT.replace("d.sexp", "lost-day.sexp"))
    done = CliRunner().invoke(main, arguments)
    assert done.exit_code == 2 and len(done.stderr.strip().splitlines()) == 1, done.output
