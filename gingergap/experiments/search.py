"""Searches the fault space at random for days that the module handles badly, and shrinks the worst one to a minimal example.

The badness of a day is the service of the best baseline less that of the module on the same day; a day on which the module breaks
a rule is worse than any other. Shrinking removes faults, shortens them and the day, and removes exchanges. No I/O.
"""

from collections.abc import Callable, Iterator
from random import Random
from typing import NamedTuple

from ..emulator.baselines import baseline_factory
from ..emulator.day import Day
from ..settings.day import DayForm, FaultForm

BASELINES = ("direct", "random tandem", "reservation")
FAULT_KINDS = (
    "burst",
    "flood",
    "slow",
    "all-slow",
    "ageing",
    "pauses",
    "silence",
    "vanish",
    "mass-restart",
    "rolling",
    "kill-exchange",
    "kill-proxy",
    "pause-proxy",
    "answers-lost",
    "district-cut",
    "groups-shrink",
    "stale-list",
    "list-silent",
    "messages-lost",
    "loss",
    "delay",
)
FACTOR_IS_SHARE = frozenset(
    {"answers-lost", "messages-lost", "loss"}
)  # kinds whose factor is a probability or share, not a multiple
BROKEN_RULE_BADNESS = 10.0  # above any difference of service, which is at most 1


class BadDay(NamedTuple):
    """A day with its seed, its badness, and the best baseline on it (empty if a rule was broken)."""

    badness: float
    day: DayForm
    seed: int
    better_baseline: str


def draw_faults(rng: Random, seconds: float, max_faults: int) -> list[FaultForm]:
    """One to `max_faults` faults of any kind, at any time within a day of so many seconds."""
    drawn = []
    for _ in range(rng.randint(1, max_faults)):
        kind = rng.choice(FAULT_KINDS)
        at = round(rng.uniform(0.1, 0.7) * seconds, 1)
        lasts = round(min(seconds - at, rng.uniform(0.05, 0.3) * seconds), 1)
        factor = round(rng.uniform(0.05, 0.9), 2) if kind in FACTOR_IS_SHARE else round(rng.uniform(1.3, 6.0), 1)
        drawn.append(
            FaultForm(
                kind=kind,
                at=at,
                lasts=max(0.1, lasts),
                share=round(rng.uniform(0.05, 1.0), 2),
                factor=factor,
                ms=round(rng.uniform(20, 2_000)),
                every_ms=round(rng.uniform(400, 3_000)),
            )
        )
    return drawn


def judge_day(day: DayForm, seed: int) -> tuple[float, str]:
    """The badness of a day, and the best baseline on it (empty if the module broke a rule)."""
    run = Day(day, seed).run()
    if not run.rules.all_kept:
        return BROKEN_RULE_BADNESS, ""
    service = run.summary()["service"]
    baselines = [(Day(day, seed, baseline_factory(name, seed)).run().summary()["service"], name) for name in BASELINES]
    best, name = max(baselines)
    return best - service, name


def search_days(day: DayForm, seed: int, count: int, max_faults: int) -> Iterator[BadDay]:
    """Draws so many days from `day` and judges each; the seed of each day is its number added to `seed`."""
    rng = Random(f"bad days {seed}")
    for number in range(count):
        drawn = day.model_copy(update={"fault": draw_faults(rng, day.seconds, max_faults)})
        badness, better_baseline = judge_day(drawn, seed + number)
        yield BadDay(badness, drawn, seed + number, better_baseline)


def smaller_days(day: DayForm) -> Iterator[DayForm]:
    """Variants of a day with one element removed or reduced, in the order of the size of the step."""
    for index in range(len(day.fault)):
        yield day.model_copy(update={"fault": [*day.fault[:index], *day.fault[index + 1 :]]})
    last = max((fault.at + fault.lasts for fault in day.fault), default=0.0)
    if day.seconds > last + 4:
        yield day.model_copy(update={"seconds": round(last + 3, 1)})
    if day.exchanges > 4:
        yield day.model_copy(update={"exchanges": day.exchanges - max(1, day.exchanges // 4)})
    for index, fault in enumerate(day.fault):
        if fault.lasts > 0.5:
            shorter = fault.model_copy(update={"lasts": round(fault.lasts / 2, 2)})
            yield day.model_copy(update={"fault": [*day.fault[:index], shorter, *day.fault[index + 1 :]]})


def shrink_day(bad_day: BadDay, min_share: float, judge: Callable[[DayForm, int], tuple[float, str]] = judge_day) -> BadDay:
    """Shrink a day while it keeps at least `min_share` of its badness; a day that breaks a rule must still break one."""
    if bad_day.badness <= 0:
        return bad_day
    min_badness = BROKEN_RULE_BADNESS if bad_day.badness >= BROKEN_RULE_BADNESS else bad_day.badness * min_share
    changed = True
    while changed:
        changed = False
        for day in smaller_days(bad_day.day):
            badness, better_baseline = judge(day, bad_day.seed)
            if badness >= min_badness:
                bad_day = BadDay(badness, day, bad_day.seed, better_baseline)
                changed = True
                break
    return bad_day
