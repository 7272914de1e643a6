"""Bad days: drawn over the fault space, the worst one shrunk to the least that still shows it.

A day is bad by how much the module serves less than the best baseline on the same day (what it gives away for nothing), and
worse than any of these where it breaks a rule. Shrinking takes away whatever can be taken away: faults, their length,
exchanges, the length of the day. Pure but for the days it has run.
"""

from collections.abc import Callable, Iterator
from random import Random
from typing import NamedTuple

from ..emulator.day import Day
from ..emulator.policies import baseline
from ..settings.day import DayForm, FaultForm

BASELINES = ("direct", "random tandem", "reservation")
DRAWN = (
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
PARTS = frozenset({"answers-lost", "messages-lost", "loss"})  # kinds whose factor is a part
BROKEN = 10.0  # a broken rule is worse than any service


class Found(NamedTuple):
    """A day with its seed, how bad it is, and the baseline that did better there (empty for a broken rule)."""

    badness: float
    day: DayForm
    seed: int
    than: str


def faults(draw: Random, seconds: float, most: int) -> list[FaultForm]:
    """One to so many troubles, of any kind, anywhere within the day."""
    drawn = []
    for _ in range(draw.randint(1, most)):
        kind = draw.choice(DRAWN)
        at = round(draw.uniform(0.1, 0.7) * seconds, 1)
        lasts = round(min(seconds - at, draw.uniform(0.05, 0.3) * seconds), 1)
        factor = round(draw.uniform(0.05, 0.9), 2) if kind in PARTS else round(draw.uniform(1.3, 6.0), 1)
        drawn.append(
            FaultForm(
                kind=kind,
                at=at,
                lasts=max(0.1, lasts),
                share=round(draw.uniform(0.05, 1.0), 2),
                factor=factor,
                ms=round(draw.uniform(20, 2_000)),
                every_ms=round(draw.uniform(400, 3_000)),
            )
        )
    return drawn


def judged(day: DayForm, seed: int) -> tuple[float, str]:
    """How bad a day is, and against whom."""
    run = Day(day, seed).run()
    if not run.rules.kept:
        return BROKEN, ""
    service = run.figures()["service"]
    others = [(Day(day, seed, baseline(name, seed)).run().figures()["service"], name) for name in BASELINES]
    best, name = max(others)
    return best - service, name


def searched(day: DayForm, seed: int, many: int, most_faults: int) -> Iterator[Found]:
    """So many drawn days, each as bad as it is."""
    draw = Random(f"bad days {seed}")
    for number in range(many):
        drawn = day.model_copy(update={"fault": faults(draw, day.seconds, most_faults)})
        badness, than = judged(drawn, seed + number)
        yield Found(badness, drawn, seed + number, than)


def smaller(day: DayForm) -> Iterator[DayForm]:
    """Days with one thing less, the largest steps first."""
    for place in range(len(day.fault)):
        yield day.model_copy(update={"fault": [*day.fault[:place], *day.fault[place + 1 :]]})
    last = max((fault.at + fault.lasts for fault in day.fault), default=0.0)
    if day.seconds > last + 4:
        yield day.model_copy(update={"seconds": round(last + 3, 1)})
    if day.exchanges > 4:
        yield day.model_copy(update={"exchanges": day.exchanges - max(1, day.exchanges // 4)})
    for place, fault in enumerate(day.fault):
        if fault.lasts > 0.5:
            shorter = fault.model_copy(update={"lasts": round(fault.lasts / 2, 2)})
            yield day.model_copy(update={"fault": [*day.fault[:place], shorter, *day.fault[place + 1 :]]})


def shrunk(found: Found, keeps: float, judge: Callable[[DayForm, int], tuple[float, str]] = judged) -> Found:
    """The least day that is still at least `keeps` as bad (a part of how bad it was; a broken rule stays one)."""
    if found.badness <= 0:
        return found
    least = BROKEN if found.badness >= BROKEN else found.badness * keeps
    went = True
    while went:
        went = False
        for day in smaller(found.day):
            badness, than = judge(day, found.seed)
            if badness >= least:
                found = Found(badness, day, found.seed, than)
                went = True
                break
    return found
