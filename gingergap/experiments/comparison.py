"""Paired differences with confidence intervals, and whether more seeds are needed. Deterministic: equal values give equal verdicts.

A seed draws the same day for every policy (common random numbers), so differences are taken seed by seed. Intervals are BCa
bootstrap intervals (Efron 1987). Where several policies are compared in several cells, the error probability is divided among the
comparisons (Bonferroni), so that among many comparisons of equal policies a false difference remains unlikely."""

import statistics
from typing import NamedTuple

import numpy as np
from scipy.stats import bootstrap

BETTER, WORSE, NO_DIFFERENCE, UNDECIDED = "better", "worse", "no difference", "undecided"


class Difference(NamedTuple):
    """Mean of the differences to the first policy, its confidence interval, and the verdict: `better` or `worse` if 0 is outside
    the interval, `no difference` if the whole interval is within the tolerance."""

    mean: float
    low: float
    high: float
    seeds: int
    verdict: str


def compare_paired(
    values: list[float], reference: list[float], confidence: float, comparisons: int, tolerance: float
) -> Difference:
    """Compare values with those of the first policy, for the same seeds in the same order."""
    differences = [value - other for value, other in zip(values, reference, strict=True)]
    mean = statistics.fmean(differences)
    if len(set(differences)) == 1:
        low = high = mean
        if mean != 0 and len(differences) < 3:
            low, high = -float("inf"), float("inf")
    else:
        level = 1 - (1 - confidence) / max(1, comparisons)
        result = bootstrap(
            (np.array(differences),),
            np.mean,
            confidence_level=level,
            n_resamples=4_999,
            method="BCa",
            rng=np.random.default_rng(1),
        )
        low, high = float(result.confidence_interval.low), float(result.confidence_interval.high)
        if np.isnan(low) or np.isnan(high):
            low, high = min(differences), max(differences)
    return Difference(mean, low, high, len(differences), interval_verdict(low, high, tolerance))


def interval_verdict(low: float, high: float, tolerance: float) -> str:
    if -tolerance <= low and high <= tolerance:
        return NO_DIFFERENCE
    if low > 0:
        return BETTER
    return WORSE if high < 0 else UNDECIDED


def all_decided(differences: list[Difference]) -> bool:
    """Whether a cell needs no more seeds."""
    return all(difference.verdict != UNDECIDED for difference in differences)


def factor_effects(by_level: dict[float, list[float]]) -> dict[float, float]:
    """The effect of each level of a factor: its mean less the mean of all levels."""
    means = {level: statistics.fmean(values) for level, values in by_level.items()}
    grand_mean = statistics.fmean(means.values())
    return {level: mean - grand_mean for level, mean in means.items()}
