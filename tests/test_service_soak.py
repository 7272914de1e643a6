"""Randomised fault-injection trials by seed: shutdowns, bus faults, drains, reloads, faulty callers and switches.

More seeds by hand: `.venv/bin/python tests/trial.py 1 60 4`. The trials start once the tests are collected (conftest.py).
"""

import pytest

SEEDS = range(1, 25)
MAX_TRACE_SHOWN = 6_000  # characters, of a trial that failed


# Guards against set-ups that are lost or forwarded after their end, set-ups sent to a drained switch, calls left established, and
# shutdowns that take too long (reports 319500 and 4ddb56).
@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_is_broken_in_a_dense_trial(request, seed):
    soak = request.config.soak
    broken_rules = soak.wait_for_broken_rules(seed)
    for trace in soak.traces(seed):
        print(trace[:MAX_TRACE_SHOWN])
    assert broken_rules == []
