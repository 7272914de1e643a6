"""A part of a trace: by time, by dialog. Blocks that can't hold what is asked for are passed over unread."""

from collections.abc import Iterator
from typing import Any

from .format import DIALOG_AT, EVENTS, FIRST_ACTION, Reader, records_of


def select(reader: Reader, low: int | None = None, high: int | None = None,
           dialog: int | None = None) -> Iterator[tuple[int, list[Any]]]:
    """Time and record of what falls between `low` and `high` (tenths of a millisecond, both included), with the actions
    of an event at its event's time; of one dialog alone, if one is given."""
    for at, frame in reader.stretches():
        if low is not None and frame.last < low or high is not None and frame.first > high:
            continue
        if dialog is not None and not frame.low <= dialog <= frame.high:
            continue
        block = reader.block_at(at)
        if block is None or block.kind != EVENTS:
            return
        now = frame.first
        for record in records_of(block.payload):
            if record[0] < FIRST_ACTION:
                now = record[1]
            if low is not None and now < low or high is not None and now > high:
                continue
            if dialog is None or record[0] in DIALOG_AT and record[DIALOG_AT[record[0]]] == dialog:
                yield now, record
