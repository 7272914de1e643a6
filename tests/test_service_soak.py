"""Short dense trials by seed: stops in series, a failing bus, drains, reloads, bad callers and switches; all rules judged.

More seeds by hand: `.venv/bin/python tests/trial.py 1 60 4`. The trials begin when the tests have been collected (conftest.py).
"""

import pytest

SEEDS = range(1, 25)
MOST_OF_A_TRACE = 6_000  # characters shown of a trial that failed


# Guards against reports 319500 and 4ddb56 and their kin: set-ups lost or forwarded after their end, switches sent to after a drain,
# calls left standing, ends too late.
@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_is_broken_in_a_dense_trial(request, seed):
    soak = request.config.soak
    broken = soak.broken(seed)
    for trace in soak.traces(seed):
        print(trace[:MOST_OF_A_TRACE])
    assert broken == []
