"""The trials of the soak, played beside the other tests from the moment they are collected."""

import os
import tempfile
from concurrent.futures import Future, ProcessPoolExecutor
from pathlib import Path

from trial import play

SIDE_BY_SIDE = 5


def _keep_traces(folder: str) -> None:
    os.environ["TRIAL_TRACE"] = folder


class Soak:
    """One run of some seeds; `broken` waits for a seed's trial."""

    def __init__(self, seeds: list[int]) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.pool = ProcessPoolExecutor(SIDE_BY_SIDE, initializer=_keep_traces, initargs=(self.folder.name,))
        self.trials: dict[int, Future[list[str]]] = {seed: self.pool.submit(play, seed) for seed in seeds}

    def broken(self, seed: int) -> list[str]:
        """The rules that broke, a sentence each."""
        return self.trials[seed].result()

    def traces(self, seed: int) -> list[str]:
        return [trace.read_text() for trace in Path(self.folder.name).glob(f"trial-{seed}-*.txt")]

    def close(self) -> None:
        self.pool.shutdown(cancel_futures=True)
        self.folder.cleanup()
