"""Selects records of a trace for display, by time, dialog or position. Blocks that cannot hold a match are not unpacked."""

from collections.abc import Iterator

from .cut import UNBOUNDED, Selection, select_entries
from .format import DIALOG_FIELD
from .stream import Entry, Trace


def select(trace: Trace, low: int | None = None, high: int | None = None, dialog: int | None = None) -> Iterator[Entry]:
    """The entries from `low` to `high` (tenths of a millisecond, inclusive; actions have the time of their event).

    With `dialog`, only the records of the dialogs of that number, whatever their source.
    """
    focus = frozenset((source, dialog) for source in range(len(trace.sources))) if dialog is not None else frozenset()
    yield from select_entries(trace, Selection(-UNBOUNDED if low is None else low, UNBOUNDED if high is None else high, focus))


def records_around(trace: Trace, index: int, distance: int) -> Iterator[tuple[int, Entry]]:
    """The entries up to `distance` records before and after the one at `index` in a trace's first file, with their
    indexes. The position attribute of a span is such an index.
    """
    begin = 0
    for location in trace.block_locations():
        if begin + location.summary.record_count > index - distance and begin <= index + distance:
            reader = trace.readers[location.part]
            for offset, entry in enumerate(trace.unpack_block(reader, reader.block_at(location.offset))):
                if abs(begin + offset - index) <= distance:
                    yield begin + offset, entry
        begin += location.summary.record_count


def dialog_of(entry: Entry) -> int:
    """The dialog that a record belongs to, -1 for none."""
    field = DIALOG_FIELD.get(entry.record[0])
    return entry.record[field] if field is not None else -1
