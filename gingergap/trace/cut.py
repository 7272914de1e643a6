"""A part of a trace that can still be replayed: by time, by dialogs, by far end.

A cut begins at the last snapshot before its window (or at the process's start) and ends with it: what lies before the
window is what a replay needs, and the header says where the window is. A bare cut holds the dialogs asked for and
nothing else; no replay of it is possible, and none is tried.
"""

from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import msgspec

from .copy import Copy
from .format import DIALOG_AT, EVENTS, FORMAT, SNAPSHOT, BadTraceError
from .stream import Entry, Place, Trace
from .timeline import dialog_timelines


class Span(NamedTuple):
    """First and last time, both included, and the dialogs asked for: (source, dialog), none for all."""

    low: int
    high: int
    focus: frozenset[tuple[int, int]]


ALWAYS = 1 << 62


def span_of(trace: Trace, low: int | None, high: int | None, dialogs: frozenset[int], far: int | None) -> Span:
    """What is asked for as times and dialogs: dialogs, and those that went or tried to go to a far end, widen an open
    window to the whole of their lives. Raises BadTraceError where there is nothing of it."""
    low, high = -ALWAYS if low is None else low, ALWAYS if high is None else high
    if not dialogs and far is None:
        return Span(low, high, frozenset())
    focus: set[tuple[int, int]] = set()
    first, last = ALWAYS, -ALWAYS
    for story in dialog_timelines(trace):
        asked = story.dialog in dialogs or far is not None and story.touches(far)
        if asked and story.came <= high and story.last >= low:
            focus.add((story.source, story.dialog))
            first, last = min(first, story.came), max(last, story.last)
    if not focus:
        raise BadTraceError(f"{trace.name}: nothing of that in it")
    return Span(max(low, first), min(high, last), frozenset(focus))


def start_of(trace: Trace, low: int) -> Place | None:
    """Where a replay of what comes from `low` on can begin, each source with a state before it; none: only at the
    trace's start."""
    missing = set(range(len(trace.sources)))
    for place in reversed(trace.places()):
        if not place.stretch.snapshots or place.stretch.first > low:
            continue
        reader = trace.readers[place.part]
        block = reader.block_at(place.at)
        missing -= {entry.source for entry in trace.unpacked(reader, block) if entry.record[0] == SNAPSHOT and entry.now <= low}
        if not missing:
            return place
    return None


def selected(trace: Trace, span: Span) -> Iterator[Entry]:
    """The entries of a bare cut. Blocks outside the window, or without any such dialog, are not unpacked."""
    lowest = min((dialog for _, dialog in span.focus), default=-1)
    highest = max((dialog for _, dialog in span.focus), default=-1)
    for place in trace.places():
        stretch = place.stretch
        if stretch.last < span.low or stretch.first > span.high:
            continue
        if span.focus and (stretch.high < lowest or stretch.low > highest):
            continue
        reader = trace.readers[place.part]
        block = reader.block_at(place.at)
        if block is None or block.kind != EVENTS:
            return
        for entry in trace.unpacked(reader, block):
            if span.low <= entry.now <= span.high and (not span.focus or _of(entry) in span.focus):
                yield entry


def _of(entry: Entry) -> tuple[int, int]:
    at = DIALOG_AT.get(entry.record[0])
    return entry.source, entry.record[at] if at is not None else -1


def cut(trace: Trace, span: Span, path: Path, bare: bool = False) -> Copy:
    """Write the cut; what was written. Raises BadTraceError."""
    place = None if bare else start_of(trace, span.low)
    places = trace.places()
    first = places[0].stretch.first if places else 0
    last = places[-1].stretch.last if places else 0
    window = max(span.low, first), min(span.high, last)
    if window[0] > window[1]:
        raise BadTraceError(f"{trace.name}: nothing in that window, it holds {first} to {last}")
    header = msgspec.structs.replace(
        trace.header, format=FORMAT, window=window, focus=sorted(span.focus), bare=bare, part=0, whole=trace.whole and place is None
    )
    copy = Copy(path, header)
    for entry in selected(trace, span) if bare else trace.entries(place):
        if entry.now > span.high:
            if trace.merged or bare:
                continue
            break
        copy.put(entry)
    copy.close()
    return copy
