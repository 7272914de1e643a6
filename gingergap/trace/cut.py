"""Writes a part of a trace, by time, dialogs or destination, so that it can still be replayed.

A cut begins at the last snapshot before its window (or at the process's start) and ends with the window: the records
before the window are needed for a replay, and the header says where the window begins. A bare cut holds only the
requested dialogs and cannot be replayed.
"""

from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import msgspec

from .entry_writer import EntryWriter
from .format import DIALOG_FIELD, EVENTS, FORMAT, SNAPSHOT, BadTraceError
from .stream import BlockLocation, Entry, Trace
from .timeline import dialog_timelines


class Selection(NamedTuple):
    """First and last time, inclusive (tenths of a millisecond), and the requested dialogs as (source, dialog); an empty
    set stands for all.
    """

    low: int
    high: int
    focus: frozenset[tuple[int, int]]


UNBOUNDED = 1 << 62


def resolve_selection(
    trace: Trace, low: int | None, high: int | None, dialogs: frozenset[int], destination: int | None
) -> Selection:
    """Turns a request into times and dialogs.

    Selects `dialogs` and those that had `destination` as their destination or tried a leg to it, and limits the window
    to the time in which they were alive. Raises BadTraceError if no dialog matches.
    """
    low, high = -UNBOUNDED if low is None else low, UNBOUNDED if high is None else high
    if not dialogs and destination is None:
        return Selection(low, high, frozenset())
    focus: set[tuple[int, int]] = set()
    first, last = UNBOUNDED, -UNBOUNDED
    for timeline in dialog_timelines(trace):
        requested = timeline.dialog in dialogs or destination is not None and timeline.involves(destination)
        if requested and timeline.arrived_at <= high and timeline.last_record_at >= low:
            focus.add((timeline.source, timeline.dialog))
            first, last = min(first, timeline.arrived_at), max(last, timeline.last_record_at)
    if not focus:
        raise BadTraceError(f"{trace.name}: none of its dialogs matches")
    return Selection(max(low, first), min(high, last), frozenset(focus))


def find_replay_start(trace: Trace, low: int) -> BlockLocation | None:
    """The last block from which a replay of everything since `low` can begin, with a snapshot of each source before it.
    None if the replay has to begin at the trace's start.
    """
    missing = set(range(len(trace.sources)))
    for location in reversed(trace.block_locations()):
        if not location.summary.snapshot_count or location.summary.first_time > low:
            continue
        reader = trace.readers[location.part]
        block = reader.block_at(location.offset)
        missing -= {
            entry.source for entry in trace.unpack_block(reader, block) if entry.record[0] == SNAPSHOT and entry.time <= low
        }
        if not missing:
            return location
    return None


def select_entries(trace: Trace, selection: Selection) -> Iterator[Entry]:
    """The entries of a bare cut. Blocks outside the window, or without any requested dialog, are not unpacked."""
    lowest = min((dialog for _, dialog in selection.focus), default=-1)
    highest = max((dialog for _, dialog in selection.focus), default=-1)
    for location in trace.block_locations():
        summary = location.summary
        if summary.last_time < selection.low or summary.first_time > selection.high:
            continue
        if selection.focus and (summary.highest_dialog < lowest or summary.lowest_dialog > highest):
            continue
        reader = trace.readers[location.part]
        block = reader.block_at(location.offset)
        if block is None or block.kind != EVENTS:
            return
        for entry in trace.unpack_block(reader, block):
            if selection.low <= entry.time <= selection.high and (not selection.focus or _dialog_key(entry) in selection.focus):
                yield entry


def _dialog_key(entry: Entry) -> tuple[int, int]:
    field = DIALOG_FIELD.get(entry.record[0])
    return entry.source, entry.record[field] if field is not None else -1


def cut(trace: Trace, selection: Selection, path: Path, bare: bool = False) -> EntryWriter:
    """Writes the cut to `path` and returns the writer with its counts. Raises BadTraceError."""
    start = None if bare else find_replay_start(trace, selection.low)
    locations = trace.block_locations()
    first = locations[0].summary.first_time if locations else 0
    last = locations[-1].summary.last_time if locations else 0
    window = max(selection.low, first), min(selection.high, last)
    if window[0] > window[1]:
        raise BadTraceError(f"{trace.name}: nothing in that window, it holds {first} to {last}")
    header = msgspec.structs.replace(
        trace.header,
        format=FORMAT,
        window=window,
        focus=sorted(selection.focus),
        bare=bare,
        part=0,
        whole=trace.from_start and start is None,
    )
    writer = EntryWriter(path, header)
    for entry in select_entries(trace, selection) if bare else trace.entries(start):
        if entry.time > selection.high:
            if trace.merged or bare:
                continue
            break
        writer.write(entry)
    writer.close()
    return writer
