"""The likeliest cause of each bad stretch of a trace, with what speaks for it. Pure decisions on a tally's slices.

Every trouble of a stretch speaks for one cause, by what only that cause leaves behind:

    own processor   nothing at all happened for a while though the module's beat is due fifty times a second, or dialogs
                    were turned away at the door; and what came in that time or just after it
    circuits        dialogs given up for want of a free circuit of their group
    list            trouble at a far end whose new start the list then told later than a dialog may take
    answers lost    a leg still out when one that left later to the same machine had its answer: a processor with one
                    line answers in order, so the earlier answer is not late, it is lost; where enough legs tell that of a
                    far end, its other troubles follow from it too
    one far end     legs slow, silent, unreachable, or dialogs kept back, nearly all of them at one far end
    all far ends    the same at most of them

The cause with the most troubles is named. What slow means follows from the trace itself and from the setup objective.
"""

from collections.abc import Iterable
from typing import NamedTuple

from ..host import LegEnd, Rsn
from .summary import STANDSTILL, Far, TimeSlice

PROCESSOR, ONE_FAR, ALL_FAR, CIRCUITS, LIST, ANSWERS = (
    "own processor",
    "one far end",
    "all far ends",
    "circuits",
    "list",
    "answers lost",
)
SLOW_TIMES = 4  # times the usual set-up
SLOW_PART = 6  # and no less than this part of the setup objective
BAD_SHARE = 0.12  # of a slice's dialogs in trouble
BAD_LEAST = 2  # troubles in a slice: one alone is chance
STRETCH_LEAST = 4  # troubles in a stretch
BRIDGED = 2  # good slices that do not end a stretch
OVERTAKEN_SHARE = 0.15  # of a far end's legs in trouble: none are overtaken where answers are slow or nobody is there
OVERTAKEN_LEAST = 2
ALONE = 0.25  # the others' troubles a dialog, as a part of the worst far end's: up to this it is that one's
LIST_AFTER = 60_000  # six seconds after a stretch the list may still tell what it should have told before
SILENT = (LegEnd.NO_ANSWER, LegEnd.CUT, LegEnd.CANCELLED)


class BadStretch(NamedTuple):
    """A bad stretch of one source: from and to in tenths of a millisecond, dialogs that came, troubles, dialogs lost, the
    cause named, troubles by cause, and a line of evidence for each cause that anything speaks for."""

    source: int
    begin: int
    end: int
    came: int
    troubles: int
    lost: int
    cause: str
    voices: dict[str, float]
    evidence: list[str]


def slow_limit(usual: int, objective: int) -> int:
    """From where on a set-up is a slow one."""
    return max(SLOW_TIMES * usual, objective // SLOW_PART)


def count_destination_failures(far: Far, limit: int) -> int:
    """Legs and dialogs of a slice that speak against a far end, overtaken ones apart."""
    slow = sum(took > limit for took in far.set_ups)
    refused = far.refused[Rsn.PROCESSOR_FULL]
    silent = sum(far.ends[how] for how in SILENT)
    return max(0, slow + silent - far.overtaken) + far.ends[LegEnd.UNREACHABLE] + refused + far.lost_kept


def troubles(one: TimeSlice, limit: int) -> int:
    """Everything in a slice that went as it should not."""
    of_far = sum(count_destination_failures(far, limit) + far.overtaken + far.lost_full for far in one.far.values())
    return of_far + one.turned_away


def find_bad_stretches(slices: Iterable[TimeSlice], span: int, usual: int, objective: int) -> list[BadStretch]:
    """Bad stretches in order of source and time. `span` of a slice, `usual` set-up and the shortest setup `objective` in
    tenths of a millisecond."""
    limit = slow_limit(usual, objective)
    by_source: dict[int, list[TimeSlice]] = {}
    for one in slices:
        by_source.setdefault(one.source, []).append(one)
    found = []
    for source, held in sorted(by_source.items()):
        held.sort(key=lambda one: one.begin)
        for begin, end in stretches(held, span, limit):
            inside = [one for one in held if begin <= one.begin < end]
            after = [one for one in held if end <= one.begin < end + LIST_AFTER]
            stretch = diagnose(source, begin, end, inside, after, limit, objective)
            if stretch is not None:
                found.append(stretch)
    return found


def stretches(slices: list[TimeSlice], span: int, limit: int) -> list[tuple[int, int]]:
    """Begin and end of runs of bad slices. A standstill is bad whatever came in it: callers could not even be heard."""
    found: list[tuple[int, int]] = []
    for one in slices:
        many = troubles(one, limit)
        bad = many >= BAD_LEAST and many >= BAD_SHARE * (one.came + one.turned_away) or one.standstill >= 2 * STANDSTILL
        if not bad:
            continue
        if found and one.begin - found[-1][1] <= BRIDGED * span:
            found[-1] = (found[-1][0], one.begin + span)
        else:
            found.append((one.begin, one.begin + span))
    return found


def diagnose(
    source: int, begin: int, end: int, inside: list[TimeSlice], after: list[TimeSlice], limit: int, objective: int
) -> BadStretch | None:
    """What a stretch's troubles speak for; none where there are too few to say."""
    voices = dict.fromkeys((PROCESSOR, ONE_FAR, ALL_FAR, CIRCUITS, LIST, ANSWERS), 0.0)
    late = {}
    for one in [*inside, *after]:
        for number, far in one.far.items():
            if far.listed_late > objective:
                late[number] = max(late.get(number, 0), far.listed_late)
    by_far: dict[int, int] = {}
    asked: dict[int, int] = {}
    overtaken: dict[int, int] = {}
    kinds: dict[int, dict[str, int]] = {}
    still = turned_away = still_lost = 0
    stood_still = False
    for one in inside:
        stands_still = one.standstill >= STANDSTILL
        still = max(still, one.standstill if stands_still else 0)
        turned_away += one.turned_away
        for number, far in one.far.items():
            many = count_destination_failures(far, limit)
            if stands_still or stood_still:  # what a process that stood still saw of others says nothing of them
                still_lost += many + far.overtaken + far.lost_full
                continue
            voices[CIRCUITS] += far.lost_full
            overtaken[number] = overtaken.get(number, 0) + far.overtaken
            asked[number] = asked.get(number, 0) + far.asked
            if number in late:
                voices[LIST] += many
            elif many:
                by_far[number] = by_far.get(number, 0) + many
                row = kinds.setdefault(number, {})
                for name, value in (
                    ("slow", sum(took > limit for took in far.set_ups)),
                    ("silent", sum(far.ends[how] for how in SILENT)),
                    ("unreachable", far.ends[LegEnd.UNREACHABLE]),
                    ("processor full", far.refused[Rsn.PROCESSOR_FULL]),
                    ("kept back", far.lost_kept),
                ):
                    row[name] = row.get(name, 0) + value
        stood_still = stands_still
    for number, legs in overtaken.items():
        row = kinds.get(number, {})
        troubled = row.get("slow", 0) + row.get("silent", 0)
        voices[ANSWERS] += legs
        if legs >= OVERTAKEN_LEAST and legs >= OVERTAKEN_SHARE * troubled:
            voices[ANSWERS] += by_far.pop(number, 0)
    if still or turned_away:
        voices[PROCESSOR] = turned_away + still_lost + still / STANDSTILL
    whole = sum(by_far.values())
    if whole:
        worst = max(by_far, key=lambda number: (by_far[number], -number))
        others = sum(by_far.values()) - by_far[worst]
        asked_others = sum(asked.values()) - asked[worst]
        alone = others * max(1, asked[worst]) <= ALONE * by_far[worst] * max(1, asked_others)
        voices[ONE_FAR if alone else ALL_FAR] = float(whole)
    total = sum(voices.values())
    if total < STRETCH_LEAST:
        return None
    cause = max(voices, key=lambda name: voices[name])
    evidence = format_evidence(voices, still, turned_away, by_far, kinds, late, limit, sum(overtaken.values()))
    return BadStretch(
        source, begin, end, sum(one.came for one in inside), round(total), sum(one.lost for one in inside), cause, voices, evidence
    )


def format_evidence(
    voices: dict[str, float],
    still: int,
    turned_away: int,
    by_far: dict[int, int],
    kinds: dict[int, dict[str, int]],
    late: dict[int, int],
    limit: int,
    overtaken: int,
) -> list[str]:
    """The evidence in words, the weightiest first."""
    said: dict[str, str] = {}
    if voices[PROCESSOR]:
        parts = [f"nothing happened for up to {still / 10:.0f} ms"] if still else []
        parts += [f"{turned_away} dialogs turned away at the door"] if turned_away else []
        said[PROCESSOR] = " and ".join(parts)
    if voices[CIRCUITS]:
        said[CIRCUITS] = f"{voices[CIRCUITS]:.0f} dialogs given up while no circuit of their group was free"
    if voices[LIST]:
        said[LIST] = "trouble at far ends whose start the list told late: " + ", ".join(
            f"{number} by {by / 10:.0f} ms" for number, by in sorted(late.items())
        )
    if voices[ANSWERS]:
        said[ANSWERS] = (
            f"{overtaken} legs still out when later ones to the same machine had been answered, and what came of it there"
        )
    name = ONE_FAR if voices[ONE_FAR] else ALL_FAR
    if voices[name]:
        said[name] = f"legs slower than {limit / 10:.0f} ms, silent or refused: " + "; ".join(
            f"far end {number}: " + ", ".join(f"{many} {what}" for what, many in kinds[number].items() if many)
            for number in sorted(by_far, key=lambda number: -by_far[number])[:4]
        )
    ranked = sorted(said, key=lambda cause: -voices[cause])
    return [f"{cause} ({voices[cause]:.0f}): {said[cause]}" for cause in ranked]
