"""Short dense trials by seed: stops in series, a failing bus, drains, reloads, bad callers and switches; all rules judged.

More seeds by hand: `.venv/bin/python tests/trial.py 1 60 4`.
"""

from concurrent.futures import ProcessPoolExecutor

import pytest
from trial import play

SEEDS = range(1, 25)
SIDE_BY_SIDE = 6


@pytest.fixture(scope="module")
def trials():
    with ProcessPoolExecutor(SIDE_BY_SIDE) as pool:
        yield {seed: pool.submit(play, seed) for seed in SEEDS}


# Guards against report 319500 and its kin: set-ups lost, switches sent to after a drain, calls left standing, ends too late.
@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_is_broken_in_a_dense_trial(trials, seed):
    assert trials[seed].result() == []
