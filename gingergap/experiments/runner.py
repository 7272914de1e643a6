"""Runs an experiment in parallel: round by round in each cell, until its comparisons are decided.

Stored rows are not computed again, and which seeds to run follows from the results alone, so that a run which was killed and
resumed ends with the same rows.
"""

from collections.abc import Callable
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from multiprocessing import get_context
from pathlib import Path
from typing import Any

from .. import call_controller
from ..emulator.controller_factory import UnknownPolicyError, controller_factory
from ..emulator.day import Day
from ..settings.day import DayForm
from ..settings.experiment import ExperimentForm, PolicyForm
from .comparison import Difference, all_decided, compare_paired
from .design import BadExperimentError, Cell, Run, create_cells
from .results import Results


def policy_file(policy: PolicyForm, folder: Path) -> str:
    """The policy argument of `controller_factory`. A module with changes is written to a file in `folder`. Raises
    BadExperimentError for a change whose old text is not in the module exactly once."""
    if not policy.change:
        return policy.module or policy.base
    text = Path(policy.module or call_controller.__file__).read_text()
    for change in policy.change:
        if text.count(change.old) != 1:
            raise BadExperimentError(f"policy {policy.name!r}: {change.old!r} occurs {text.count(change.old)} times in the module")
        text = text.replace(change.old, change.new)
    path = folder / f"policy-{policy.name.replace(' ', '-')}.py"
    path.write_text(text)
    return str(path)


def run_one(day: DayForm, policy: str, run: Run) -> dict[str, Any]:
    """Emulate one day; returns its row of results."""
    emulated = Day(day, run.seed, controller_factory(policy, run.seed, day)).run()
    summary = emulated.summary()
    setup_ms = summary["setup_ms"]
    return {
        "cell": run.cell,
        "policy": run.policy,
        "seed": run.seed,
        **{
            name: float(summary[name])
            for name in ("service", "service_at_end", "stood", "offered", "legs_a_dialog", "declined", "events", "seconds")
        },
        "p50": setup_ms.get("p50", 0.0),
        "p90": setup_ms.get("p90", 0.0),
        "p99": setup_ms.get("p99", 0.0),
        "tandems": float(summary["stood_over_tandems"]),
        "broken": float(sum(rule["broken"] for rule in summary["rules"].values())),
    }


class Runner:
    """An experiment with its results so far. `on_progress` is called with the number of rows that exist and the number known to be
    needed. Raises BadExperimentError, and OSError from the folder of the results."""

    def __init__(
        self, form: ExperimentForm, day: DayForm, folder: Path, on_progress: Callable[[int, int], None] = lambda *_: None
    ) -> None:
        self.form, self.folder, self.on_progress = form, folder, on_progress
        self.cells = {cell.key(): cell for cell in create_cells(form, day)}
        self.results = Results(folder)
        self.policies = {policy.name: policy_file(policy, folder) for policy in form.policy}
        for name, policy in self.policies.items():
            try:
                controller_factory(policy, 1, day)
            except UnknownPolicyError as error:
                raise BadExperimentError(f"policy {name!r}: {error}") from None
        self.comparisons = max(1, (len(form.policy) - 1) * len(self.cells))

    def seeds(self, rounds: int) -> list[int]:
        """The seeds of so many rounds."""
        count = min(rounds * self.form.round, self.form.most_seeds)
        return list(range(self.form.first_seed, self.form.first_seed + count))

    def completed_rounds(self, cell: str) -> int:
        """The number of rounds that were needed and whose rows all exist."""
        rounds = 0
        while self.needs_round(cell, rounds) and all(
            (cell, policy, seed) in self.results.rows for policy in self.policies for seed in self.seeds(rounds + 1)
        ):
            rounds += 1
        return rounds

    def needs_round(self, cell: str, rounds: int) -> bool:
        """Whether another round is needed after so many."""
        if rounds == 0:
            return True
        if len(self.seeds(rounds)) >= self.form.most_seeds or len(self.policies) < 2:
            return False
        return not all_decided([difference for _, difference in self.compare(cell, rounds)])

    def compare(self, cell: str, rounds: int) -> list[tuple[str, Difference]]:
        """The comparison of each other policy with the first one, by name."""
        seeds, form = self.seeds(rounds), self.form
        first, *others = self.policies
        reference = self.results.values(cell, first, form.measure, seeds)
        return [
            (
                name,
                compare_paired(
                    self.results.values(cell, name, form.measure, seeds),
                    reference,
                    form.confidence,
                    self.comparisons,
                    form.tolerance,
                ),
            )
            for name in others
        ]

    def missing_runs(self, cell: str) -> list[Run]:
        """The runs that a cell needs next; none when its comparisons are decided."""
        rounds = self.completed_rounds(cell)
        if not self.needs_round(cell, rounds):
            return []
        return [
            Run(cell, policy, seed)
            for seed in self.seeds(rounds + 1)
            for policy in self.policies
            if (cell, policy, seed) not in self.results.rows
        ]

    def run(self, workers: int) -> None:
        """Run until the comparisons of every cell are decided, in `workers` processes; rows are stored as they complete."""
        with ProcessPoolExecutor(workers, mp_context=get_context("spawn")) as pool:
            running: dict[Future[Any], Run] = {}
            submitted: set[Run] = set()

            def submit_missing(cell: Cell) -> None:
                for run in self.missing_runs(cell.key()):
                    if run not in submitted:
                        submitted.add(run)
                        running[pool.submit(run_one, cell.day, self.policies[run.policy], run)] = run

            for cell in self.cells.values():
                submit_missing(cell)
            self.on_progress(len(self.results.rows), len(self.results.rows) + len(running))
            try:
                while running:
                    done, _ = wait(running, return_when=FIRST_COMPLETED)
                    for future in done:
                        run = running.pop(future)
                        self.results.add(future.result())
                        if not any(other.cell == run.cell for other in running.values()):
                            submit_missing(self.cells[run.cell])
                    if len(self.results.unwritten) >= 4 * workers:
                        self.results.flush()
                    self.on_progress(len(self.results.rows), len(self.results.rows) + len(running))
            finally:
                for future in running:
                    future.cancel()
                self.results.flush()
