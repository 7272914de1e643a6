"""Paired differences with confidence intervals, and whether more seeds are wanted. Pure: the same values, the same verdict.

The same seed draws the same day for every policy (common random numbers), so differences are taken seed by seed. Intervals
by the bootstrap (BCa, Efron 1987); where several policies are compared in several cells the error is shared out among them
(Bonferroni), so that of many comparisons of nothing with nothing none is likely to look like something."""

import statistics
from typing import NamedTuple

import numpy as np
from scipy.stats import bootstrap

BETTER, WORSE, ALIKE, OPEN = "better", "worse", "no difference", "undecided"


class Difference(NamedTuple):
    """Mean of the differences to the first policy, its interval, and what it says: `better` and `worse` where 0 is outside, `no
    difference` where all of it is within the tolerance."""

    mean: float
    low: float
    high: float
    seeds: int
    verdict: str


def paired(ours: list[float], first: list[float], confidence: float, comparisons: int, tolerance: float) -> Difference:
    """Values of the same seeds in the same order."""
    apart = [one - other for one, other in zip(ours, first, strict=True)]
    mean = statistics.fmean(apart)
    if len(set(apart)) == 1:
        low = high = mean
        if mean != 0 and len(apart) < 3:
            low, high = -float("inf"), float("inf")
    else:
        level = 1 - (1 - confidence) / max(1, comparisons)
        found = bootstrap(
            (np.array(apart),), np.mean, confidence_level=level, n_resamples=4_999, method="BCa", rng=np.random.default_rng(1)
        )
        low, high = float(found.confidence_interval.low), float(found.confidence_interval.high)
        if np.isnan(low) or np.isnan(high):
            low, high = min(apart), max(apart)
    return Difference(mean, low, high, len(apart), verdict(low, high, tolerance))


def verdict(low: float, high: float, tolerance: float) -> str:
    if -tolerance <= low and high <= tolerance:
        return ALIKE
    if low > 0:
        return BETTER
    return WORSE if high < 0 else OPEN


def clear(differences: list[Difference]) -> bool:
    """Whether a cell needs no more seeds."""
    return all(difference.verdict != OPEN for difference in differences)


def effect(by_level: dict[float, list[float]]) -> dict[float, float]:
    """Each level's mean, less the mean of all levels: what a factor does."""
    means = {level: statistics.fmean(values) for level, values in by_level.items()}
    whole = statistics.fmean(means.values())
    return {level: mean - whole for level, mean in means.items()}
