"""Compares two traces and finds the first record that differs."""

from collections import Counter, deque
from itertools import zip_longest
from typing import Any, NamedTuple

from .format import FIRST_NOTE, NAMES, SNAPSHOT
from .stream import Trace


class TraceDiff(NamedTuple):
    """The differences between two traces.

    `headers` describes differing header fields. `record_index` is that of the first differing record (-1: none), with
    both versions of it and the records `before`. `counts` holds the names of records whose numbers differ, with the
    number in either trace. `records` is the number of records compared.
    """

    headers: list[str]
    record_index: int
    left: list[Any] | None
    right: list[Any] | None
    before: list[list[Any]]
    counts: list[tuple[str, int, int]]
    records: int


def diff_traces(left: Trace, right: Trace, context: int = 8) -> TraceDiff:
    """Reads both traces to the end. Snapshots and other notes only appear in `counts`, since they are no decisions.

    `context` is the number of records to keep from before the first difference.
    """
    headers = [
        f"{name}: {left_value!r} and {right_value!r}"
        for name in ("module", "instance", "epoch")
        if (left_value := getattr(left.header, name)) != (right_value := getattr(right.header, name))
    ]
    left_figures, right_figures = left.header.figures, right.header.figures
    headers += [
        f"figure {name}: {left_figures.get(name)!r} and {right_figures.get(name)!r}"
        for name in sorted(left_figures | right_figures)
        if left_figures.get(name) != right_figures.get(name)
    ]
    counts: tuple[Counter[str], Counter[str]] = Counter(), Counter()

    def compared_records(trace: Trace, count: Counter[str]):
        for entry in trace.entries():
            code = entry.record[0]
            count["gap" if code == "gap" else NAMES[code]] += 1
            if code == "gap" or code < FIRST_NOTE:
                yield entry.source, entry.record

    record_index, first = -1, (None, None)
    before: deque[list[Any]] = deque(maxlen=context)
    records = 0
    for left_item, right_item in zip_longest(compared_records(left, counts[0]), compared_records(right, counts[1])):
        if record_index < 0 and left_item != right_item:
            record_index, first = records, (left_item and left_item[1], right_item and right_item[1])
        if record_index < 0:
            before.append(left_item[1])
        records += 1
    names = sorted(name for name in counts[0] | counts[1] if counts[0][name] != counts[1][name] and name != NAMES[SNAPSHOT])
    return TraceDiff(
        headers,
        record_index,
        first[0],
        first[1],
        list(before),
        [(name, counts[0][name], counts[1][name]) for name in names],
        records,
    )
