"""Short dense trials by seed: stops in series, a failing bus, drains, reloads, bad callers and switches; all rules judged.

More seeds by hand: `.venv/bin/python tests/trial.py 1 60 4`.
"""

import os
from concurrent.futures import ProcessPoolExecutor

import pytest
from trial import play

SEEDS = range(1, 25)
SIDE_BY_SIDE = 6


MOST_OF_A_TRACE = 6_000  # characters shown of a trial that failed


def keep_traces(folder):
    os.environ["TRIAL_TRACE"] = str(folder)


@pytest.fixture(scope="module")
def traces(tmp_path_factory):
    return tmp_path_factory.mktemp("traces")


@pytest.fixture(scope="module")
def trials(traces):
    with ProcessPoolExecutor(SIDE_BY_SIDE, initializer=keep_traces, initargs=(traces,)) as pool:
        yield {seed: pool.submit(play, seed) for seed in SEEDS}


# Guards against report 319500 and its kin: set-ups lost, switches sent to after a drain, calls left standing, ends too late.
@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_is_broken_in_a_dense_trial(trials, traces, seed):
    broken = trials[seed].result()
    for trace in traces.glob(f"trial-{seed}-*.txt"):
        print(trace.read_text()[:MOST_OF_A_TRACE])
    assert broken == []
