"""Finds the likeliest cause of each bad stretch of a trace, with the evidence for it. Works on a summary's slices; no I/O.

Each failure in a stretch counts for one cause, by what only that cause leaves behind:

    own processor   nothing at all was recorded for a while although the module's timer is due fifty times a second, or
                    dialogs were turned away by the proxy; and whatever arrived during that time or soon after it
    circuits        dialogs given up because no circuit of their group was free
    list            failures at a destination whose new start the list then announced later than a dialog may take
    answers lost    a leg still out when a later one to the same machine had its answer: a processor with a single queue
                    answers in order, so the earlier answer is not late but lost; if enough legs show that for a
                    destination, its other failures are attributed to it too
    one far end     legs that are slow, unanswered or unreachable, or dialogs held back, nearly all at one destination
    all far ends    the same at most of them

The cause with the most failures is reported. What counts as slow follows from the trace itself and the setup objective.
"""

from collections.abc import Iterable
from typing import NamedTuple

from ..host import LegEnd, Rsn
from .summary import STANDSTILL, DestinationStats, TimeSlice

PROCESSOR, ONE_DESTINATION, ALL_DESTINATIONS, CIRCUITS, LIST, ANSWERS = (
    "own processor",
    "one far end",
    "all far ends",
    "circuits",
    "list",
    "answers lost",
)
SLOW_MEDIAN_FACTOR = 4  # a set-up is slow from this multiple of the median on
SLOW_OBJECTIVE_DIVISOR = 6  # but not below this fraction of the setup objective
BAD_SHARE = 0.12  # of a slice's dialogs that failed
MIN_SLICE_FAILURES = 2  # a single failure may be chance
MIN_STRETCH_FAILURES = 4
MAX_GOOD_SLICES = 2  # good slices within a stretch that do not end it
OVERTAKEN_SHARE = (
    0.15  # of a destination's failed legs: none are overtaken where answers are slow or the destination is unreachable
)
MIN_OVERTAKEN = 2
MAX_OTHERS_RATIO = 0.25  # failures per dialog of the other destinations to those of the worst, if it alone is the cause
LISTING_TAIL = 60_000  # the list may announce a start up to six seconds after the stretch that it explains
SILENT = (LegEnd.NO_ANSWER, LegEnd.CUT, LegEnd.CANCELLED)


class BadStretch(NamedTuple):
    """A bad stretch of one source: begin and end in tenths of a millisecond, dialogs that arrived, failures, dialogs
    lost, the likeliest cause, the failures attributed to each cause, and a line of evidence for each cause that has any.
    """

    source: int
    begin: int
    end: int
    arrived: int
    failures: int
    lost: int
    cause: str
    scores: dict[str, float]
    evidence: list[str]


def slow_limit(median_setup: int, objective: int) -> int:
    """The set-up time above which a set-up is slow, in the unit of the arguments."""
    return max(SLOW_MEDIAN_FACTOR * median_setup, objective // SLOW_OBJECTIVE_DIVISOR)


def count_destination_failures(stats: DestinationStats, limit: int) -> int:
    """The failed legs and dialogs of a destination in a slice, without the overtaken legs."""
    slow = sum(duration > limit for duration in stats.setup_durations)
    refused = stats.refusals[Rsn.PROCESSOR_FULL]
    silent = sum(stats.ends[end] for end in SILENT)
    return max(0, slow + silent - stats.overtaken) + stats.ends[LegEnd.UNREACHABLE] + refused + stats.lost_held_back


def count_failures(time_slice: TimeSlice, limit: int) -> int:
    """All failures in a slice."""
    at_destinations = sum(
        count_destination_failures(stats, limit) + stats.overtaken + stats.lost_no_circuit
        for stats in time_slice.destinations.values()
    )
    return at_destinations + time_slice.turned_away


def find_bad_stretches(slices: Iterable[TimeSlice], interval: int, median_setup: int, objective: int) -> list[BadStretch]:
    """The bad stretches by source and time.

    `interval` (the length of a slice), `median_setup` and `objective` (the shortest setup objective) are in tenths of a
    millisecond.
    """
    limit = slow_limit(median_setup, objective)
    by_source: dict[int, list[TimeSlice]] = {}
    for time_slice in slices:
        by_source.setdefault(time_slice.source, []).append(time_slice)
    found = []
    for source, source_slices in sorted(by_source.items()):
        source_slices.sort(key=lambda time_slice: time_slice.begin)
        for begin, end in find_bad_intervals(source_slices, interval, limit):
            inside = [time_slice for time_slice in source_slices if begin <= time_slice.begin < end]
            after = [time_slice for time_slice in source_slices if end <= time_slice.begin < end + LISTING_TAIL]
            stretch = diagnose(source, begin, end, inside, after, limit, objective)
            if stretch is not None:
                found.append(stretch)
    return found


def find_bad_intervals(slices: list[TimeSlice], interval: int, limit: int) -> list[tuple[int, int]]:
    """Begin and end of runs of bad slices. A standstill is bad even without failures, since no call was handled then."""
    found: list[tuple[int, int]] = []
    for time_slice in slices:
        failures = count_failures(time_slice, limit)
        bad = (
            failures >= MIN_SLICE_FAILURES
            and failures >= BAD_SHARE * (time_slice.arrived + time_slice.turned_away)
            or time_slice.standstill >= 2 * STANDSTILL
        )
        if not bad:
            continue
        if found and time_slice.begin - found[-1][1] <= MAX_GOOD_SLICES * interval:
            found[-1] = (found[-1][0], time_slice.begin + interval)
        else:
            found.append((time_slice.begin, time_slice.begin + interval))
    return found


def diagnose(
    source: int, begin: int, end: int, inside: list[TimeSlice], after: list[TimeSlice], limit: int, objective: int
) -> BadStretch | None:
    """Attributes the failures of a stretch to causes; None if there are too few to tell."""
    scores = dict.fromkeys((PROCESSOR, ONE_DESTINATION, ALL_DESTINATIONS, CIRCUITS, LIST, ANSWERS), 0.0)
    listing_delays = {}
    for time_slice in [*inside, *after]:
        for number, stats in time_slice.destinations.items():
            if stats.listing_delay > objective:
                listing_delays[number] = max(listing_delays.get(number, 0), stats.listing_delay)
    failures_by_destination: dict[int, int] = {}
    dialogs: dict[int, int] = {}
    overtaken: dict[int, int] = {}
    details: dict[int, dict[str, int]] = {}
    longest_standstill = turned_away = standstill_failures = 0
    previous_standstill = False
    for time_slice in inside:
        standstill = time_slice.standstill >= STANDSTILL
        longest_standstill = max(longest_standstill, time_slice.standstill if standstill else 0)
        turned_away += time_slice.turned_away
        for number, stats in time_slice.destinations.items():
            failures = count_destination_failures(stats, limit)
            if standstill or previous_standstill:  # what a stalled process observed says nothing about the destinations
                standstill_failures += failures + stats.overtaken + stats.lost_no_circuit
                continue
            scores[CIRCUITS] += stats.lost_no_circuit
            overtaken[number] = overtaken.get(number, 0) + stats.overtaken
            dialogs[number] = dialogs.get(number, 0) + stats.dialogs
            if number in listing_delays:
                scores[LIST] += failures
            elif failures:
                failures_by_destination[number] = failures_by_destination.get(number, 0) + failures
                row = details.setdefault(number, {})
                for name, value in (
                    ("slow", sum(duration > limit for duration in stats.setup_durations)),
                    ("silent", sum(stats.ends[leg_end] for leg_end in SILENT)),
                    ("unreachable", stats.ends[LegEnd.UNREACHABLE]),
                    ("processor full", stats.refusals[Rsn.PROCESSOR_FULL]),
                    ("kept back", stats.lost_held_back),
                ):
                    row[name] = row.get(name, 0) + value
        previous_standstill = standstill
    for number, legs in overtaken.items():
        row = details.get(number, {})
        failed_legs = row.get("slow", 0) + row.get("silent", 0)
        scores[ANSWERS] += legs
        if legs >= MIN_OVERTAKEN and legs >= OVERTAKEN_SHARE * failed_legs:
            scores[ANSWERS] += failures_by_destination.pop(number, 0)
    if longest_standstill or turned_away:
        scores[PROCESSOR] = turned_away + standstill_failures + longest_standstill / STANDSTILL
    destination_failures = sum(failures_by_destination.values())
    if destination_failures:
        worst = max(failures_by_destination, key=lambda number: (failures_by_destination[number], -number))
        others = sum(failures_by_destination.values()) - failures_by_destination[worst]
        dialogs_to_others = sum(dialogs.values()) - dialogs[worst]
        alone = others * max(1, dialogs[worst]) <= MAX_OTHERS_RATIO * failures_by_destination[worst] * max(1, dialogs_to_others)
        scores[ONE_DESTINATION if alone else ALL_DESTINATIONS] = float(destination_failures)
    total = sum(scores.values())
    if total < MIN_STRETCH_FAILURES:
        return None
    cause = max(scores, key=lambda name: scores[name])
    evidence = format_evidence(
        scores,
        longest_standstill,
        turned_away,
        failures_by_destination,
        details,
        listing_delays,
        limit,
        sum(overtaken.values()),
    )
    return BadStretch(
        source,
        begin,
        end,
        sum(time_slice.arrived for time_slice in inside),
        round(total),
        sum(time_slice.lost for time_slice in inside),
        cause,
        scores,
        evidence,
    )


def format_evidence(
    scores: dict[str, float],
    longest_standstill: int,
    turned_away: int,
    failures_by_destination: dict[int, int],
    details: dict[int, dict[str, int]],
    listing_delays: dict[int, int],
    limit: int,
    overtaken: int,
) -> list[str]:
    """A line of evidence for each cause with failures, the highest score first."""
    texts: dict[str, str] = {}
    if scores[PROCESSOR]:
        parts = [f"nothing happened for up to {longest_standstill / 10:.0f} ms"] if longest_standstill else []
        parts += [f"{turned_away} dialogs turned away before the module saw them"] if turned_away else []
        texts[PROCESSOR] = " and ".join(parts)
    if scores[CIRCUITS]:
        texts[CIRCUITS] = f"{scores[CIRCUITS]:.0f} dialogs given up while no circuit of their group was free"
    if scores[LIST]:
        texts[LIST] = "failures at far ends whose start the list announced late: " + ", ".join(
            f"{number} by {delay / 10:.0f} ms" for number, delay in sorted(listing_delays.items())
        )
    if scores[ANSWERS]:
        texts[ANSWERS] = (
            f"{overtaken} legs still out when later ones to the same machine had been answered, and failures that followed there"
        )
    name = ONE_DESTINATION if scores[ONE_DESTINATION] else ALL_DESTINATIONS
    if scores[name]:
        texts[name] = f"legs slower than {limit / 10:.0f} ms, silent or refused: " + "; ".join(
            f"far end {number}: " + ", ".join(f"{count} {kind}" for kind, count in details[number].items() if count)
            for number in sorted(failures_by_destination, key=lambda number: -failures_by_destination[number])[:4]
        )
    ranked = sorted(texts, key=lambda cause: -scores[cause])
    return [f"{cause} ({scores[cause]:.0f}): {texts[cause]}" for cause in ranked]
