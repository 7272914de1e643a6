"""A part of a trace to be looked at: by time, by dialog. Blocks that can't hold what is asked for are passed over unread."""

from collections.abc import Iterator

from .cut import ALWAYS, Span, selected
from .format import DIALOG_AT
from .stream import Entry, Trace


def select(trace: Trace, low: int | None = None, high: int | None = None, dialog: int | None = None) -> Iterator[Entry]:
    """What falls between `low` and `high` (tenths of a millisecond, both included), with the actions of an event at its
    event's time; of one dialog alone, whichever source it is of, if one is given."""
    focus = frozenset((source, dialog) for source in range(len(trace.sources))) if dialog is not None else frozenset()
    yield from selected(trace, Span(-ALWAYS if low is None else low, ALWAYS if high is None else high, focus))


def at_place(trace: Trace, place: int, around: int) -> Iterator[tuple[int, Entry]]:
    """The records about a place of a trace's first file, and their places: what a span's position points to."""
    seen = 0
    for block in trace.places():
        if seen + block.stretch.records > place - around and seen <= place + around:
            reader = trace.readers[block.part]
            for offset, entry in enumerate(trace.unpacked(reader, reader.block_at(block.at))):
                if abs(seen + offset - place) <= around:
                    yield seen + offset, entry
        seen += block.stretch.records


def dialog_of(entry: Entry) -> int:
    """The dialog that a record is about, -1 for none."""
    at = DIALOG_AT.get(entry.record[0])
    return entry.record[at] if at is not None else -1
