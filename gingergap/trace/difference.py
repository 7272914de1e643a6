"""Whether two traces say the same, and where they first part."""

from collections import Counter, deque
from itertools import zip_longest
from typing import Any, NamedTuple

from .format import FIRST_NOTE, NAMES, SNAPSHOT
from .stream import Trace


class Parted(NamedTuple):
    """`headers`: what the headers say differently. `place`: the first record that differs (-1: none), with both sides of
    it and the records before. `counts`: records by name, here and there, where the numbers differ."""

    headers: list[str]
    place: int
    left: list[Any] | None
    right: list[Any] | None
    before: list[list[Any]]
    counts: list[tuple[str, int, int]]
    records: int


def difference(left: Trace, right: Trace, shown: int = 8) -> Parted:
    """Both are read to their ends. Snapshots and other notes are compared only among `counts`: they are no decisions."""
    headers = [
        f"{name}: {here!r} and {there!r}"
        for name in ("module", "instance", "epoch")
        if (here := getattr(left.header, name)) != (there := getattr(right.header, name))
    ]
    ours, theirs = left.header.figures, right.header.figures
    headers += [
        f"figure {name}: {ours.get(name)!r} and {theirs.get(name)!r}"
        for name in sorted(ours | theirs)
        if ours.get(name) != theirs.get(name)
    ]
    counts: tuple[Counter[str], Counter[str]] = Counter(), Counter()

    def heard(trace: Trace, count: Counter[str]):
        for entry in trace.entries():
            code = entry.record[0]
            count["gap" if code == "gap" else NAMES[code]] += 1
            if code == "gap" or code < FIRST_NOTE:
                yield entry.source, entry.record

    place, first = -1, (None, None)
    before: deque[list[Any]] = deque(maxlen=shown)
    many = 0
    for one, other in zip_longest(heard(left, counts[0]), heard(right, counts[1])):
        if place < 0 and one != other:
            place, first = many, (one and one[1], other and other[1])
        if place < 0:
            before.append(one[1])
        many += 1
    names = sorted(name for name in counts[0] | counts[1] if counts[0][name] != counts[1][name] and name != NAMES[SNAPSHOT])
    return Parted(
        headers, place, first[0], first[1], list(before), [(name, counts[0][name], counts[1][name]) for name in names], many
    )
