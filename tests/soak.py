"""Runs the trials of test_service_soak.py in worker processes while the other tests run."""

import os
import tempfile
from concurrent.futures import Future, ProcessPoolExecutor
from pathlib import Path

from trial import play

WORKERS = 5


def _set_trace_folder(folder: str) -> None:
    os.environ["TRIAL_TRACE"] = folder


class Soak:
    """The trials of some seeds, started at once."""

    def __init__(self, seeds: list[int]) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.pool = ProcessPoolExecutor(WORKERS, initializer=_set_trace_folder, initargs=(self.folder.name,))
        self.broken_rules: dict[int, Future[list[str]]] = {seed: self.pool.submit(play, seed) for seed in seeds}

    def wait_for_broken_rules(self, seed: int) -> list[str]:
        """Wait for the trial of a seed. Returns the broken rules, a sentence each."""
        return self.broken_rules[seed].result()

    def traces(self, seed: int) -> list[str]:
        """What was recorded of the broken rules of a seed."""
        return [trace.read_text() for trace in Path(self.folder.name).glob(f"trial-{seed}-*.txt")]

    def close(self) -> None:
        self.pool.shutdown(cancel_futures=True)
        self.folder.cleanup()
