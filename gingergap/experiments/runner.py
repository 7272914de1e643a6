"""Runs an experiment on all cores: round by round in each cell, until its comparisons are clear. What was done is not done
again; which seeds are run follows from the results alone, so a run that was killed and resumed comes to the same rows."""

from collections.abc import Callable
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from multiprocessing import get_context
from pathlib import Path
from typing import Any

from .. import call_controller
from ..emulator.day import Day
from ..emulator.versions import UnknownPolicyError, maker
from ..settings.day import DayForm
from ..settings.experiment import ExperimentForm, PolicyForm
from .cells import BadExperimentError, Cell, Work, cells
from .judge import Difference, clear, paired
from .results import Results


def policy_file(policy: PolicyForm, folder: Path) -> str:
    """What `maker` is told for a policy; the module with its changes goes into a file. Raises BadExperimentError."""
    if not policy.change:
        return policy.module or policy.base
    text = Path(policy.module or call_controller.__file__).read_text()
    for change in policy.change:
        if text.count(change.old) != 1:
            raise BadExperimentError(f"policy {policy.name!r}: {change.old!r} stands {text.count(change.old)} times in the module")
        text = text.replace(change.old, change.new)
    path = folder / f"policy-{policy.name.replace(' ', '-')}.py"
    path.write_text(text)
    return str(path)


def run_one(day: DayForm, policy: str, work: Work) -> dict[str, Any]:
    """One emulated day as a row."""
    done = Day(day, work.seed, maker(policy, work.seed, day)).run()
    figures = done.figures()
    times = figures["setup_ms"]
    return {
        "cell": work.cell,
        "policy": work.policy,
        "seed": work.seed,
        **{
            name: float(figures[name])
            for name in ("service", "service_at_end", "stood", "offered", "legs_a_dialog", "declined", "events", "seconds")
        },
        "p50": times.get("p50", 0.0),
        "p90": times.get("p90", 0.0),
        "p99": times.get("p99", 0.0),
        "tandems": float(figures["stood_over_tandems"]),
        "broken": float(sum(rule["broken"] for rule in figures["rules"].values())),
    }


class Runner:
    """`told` is called with the number of rows that are there and that are known to be wanted so far."""

    def __init__(
        self, form: ExperimentForm, day: DayForm, folder: Path, told: Callable[[int, int], None] = lambda *_: None
    ) -> None:
        self.form, self.folder, self.told = form, folder, told
        self.cells = {cell.key(): cell for cell in cells(form, day)}
        self.results = Results(folder)
        self.policies = {policy.name: policy_file(policy, folder) for policy in form.policy}
        for name, policy in self.policies.items():
            try:
                maker(policy, 1, day)
            except UnknownPolicyError as error:
                raise BadExperimentError(f"policy {name!r}: {error}") from None
        self.comparisons = max(1, (len(form.policy) - 1) * len(self.cells))

    def seeds(self, rounds: int) -> list[int]:
        many = min(rounds * self.form.round, self.form.most_seeds)
        return list(range(self.form.first_seed, self.form.first_seed + many))

    def rounds_done(self, cell: str) -> int:
        """Rounds of which every row is there, and that were wanted."""
        rounds = 0
        while self.wanted(cell, rounds) and all(
            (cell, policy, seed) in self.results.rows for policy in self.policies for seed in self.seeds(rounds + 1)
        ):
            rounds += 1
        return rounds

    def wanted(self, cell: str, rounds: int) -> bool:
        """Whether another round follows one that is done."""
        if rounds == 0:
            return True
        if len(self.seeds(rounds)) >= self.form.most_seeds or len(self.policies) < 2:
            return False
        return not clear([difference for _, difference in self.compared(cell, rounds)])

    def compared(self, cell: str, rounds: int) -> list[tuple[str, Difference]]:
        """Each policy but the first, against it."""
        seeds, form = self.seeds(rounds), self.form
        first, *others = self.policies
        base = self.results.values(cell, first, form.measure, seeds)
        return [
            (
                name,
                paired(
                    self.results.values(cell, name, form.measure, seeds), base, form.confidence, self.comparisons, form.tolerance
                ),
            )
            for name in others
        ]

    def missing(self, cell: str) -> list[Work]:
        """What is to be run next in a cell; nothing when it is clear."""
        rounds = self.rounds_done(cell)
        if not self.wanted(cell, rounds):
            return []
        return [
            Work(cell, policy, seed)
            for seed in self.seeds(rounds + 1)
            for policy in self.policies
            if (cell, policy, seed) not in self.results.rows
        ]

    def run(self, workers: int) -> None:
        """Until every cell is clear; rows are kept as they come."""
        with ProcessPoolExecutor(workers, mp_context=get_context("spawn")) as pool:
            out: dict[Future[Any], Work] = {}
            asked: set[Work] = set()

            def ask(cell: Cell) -> None:
                for work in self.missing(cell.key()):
                    if work not in asked:
                        asked.add(work)
                        out[pool.submit(run_one, cell.day, self.policies[work.policy], work)] = work

            for cell in self.cells.values():
                ask(cell)
            self.told(len(self.results.rows), len(self.results.rows) + len(out))
            try:
                while out:
                    done, _ = wait(out, return_when=FIRST_COMPLETED)
                    for future in done:
                        work = out.pop(future)
                        self.results.put(future.result())
                        if not any(other.cell == work.cell for other in out.values()):
                            ask(self.cells[work.cell])
                    if len(self.results.held) >= 4 * workers:
                        self.results.flush()
                    self.told(len(self.results.rows), len(self.results.rows) + len(out))
            finally:
                for future in out:
                    future.cancel()
                self.results.flush()
