"""Feeds a trace's events to the module and compares every action that it asks for with the one that was noted."""

from collections import deque
from collections.abc import Iterable
from typing import Any, NamedTuple

from ..brain import CallController
from ..host import GwState, LegEnd, ListEntry, TrafficType
from .format import CODES, FIRST_ACTION, NAMES, Header

SHOWN = 12  # events kept to be shown before a difference


class Difference(NamedTuple):
    """The first place where the module asked for something else. `place` counts records from 0."""

    place: int
    noted: list[Any] | None
    asked: list[Any] | None
    before: list[list[Any]]


class Replayed(NamedTuple):
    events: int
    actions: int  # compared, each one
    difference: Difference | None
    gap: tuple[int, int, int] | None  # the replay can go no further than the first gap
    span: int  # tenths of a millisecond between first and last event


class Asked:
    """A host that keeps what it is asked for."""

    def __init__(self) -> None:
        self.done: deque[list[Any]] = deque()

    def __getattr__(self, name: str) -> Any:
        code = CODES[name]
        return lambda *fields: self.done.append([code, *fields])


def controller_of(header: Header, host: Any, make: Any = CallController) -> Any:
    """The module as it was made when the trace was begun."""
    figures = dict(header.figures)
    types = [TrafficType(*entry[:5], None if entry[5] is None else frozenset(entry[5])) for entry in figures.pop("types")]
    return make(host, figures.pop("seed"), figures.pop("here"), figures.pop("proxies"), types, **figures)


def feed(controller: Any, record: list[Any]) -> None:
    """One event into the module."""
    name, fields = NAMES[record[0]], record[1:]
    if name == "list_pushed":
        now, entries, whole = fields
        controller.list_pushed(now, [ListEntry(gw, number, GwState(state), started)
                                     for gw, number, state, started in entries], whole)
    elif name == "leg_ended":
        now, dialog, gw, how, rsn, over, free, size = fields
        controller.leg_ended(now, dialog, gw, LegEnd(how), rsn, over, free, size)
    else:
        getattr(controller, name)(*fields)


def replay(header: Header, records: Iterable[list[Any]], make: Any = CallController) -> Replayed:
    """Until the end, the first difference or the first gap."""
    host = Asked()
    controller = controller_of(header, host, make)
    before: deque[list[Any]] = deque(maxlen=SHOWN)
    events = actions = 0
    first = last = None
    for place, record in enumerate(records):
        if record[0] == "gap":
            return _over(events, actions, None, tuple(record[1:]), first, last)
        if record[0] >= FIRST_ACTION:
            asked = host.done.popleft() if host.done else None
            if asked != record:
                return _over(events, actions, Difference(place, record, asked, list(before)), None, first, last)
            actions += 1
        else:
            if host.done:
                return _over(events, actions, Difference(place, None, host.done[0], list(before)), None, first, last)
            events += 1
            first = record[1] if first is None else first
            last = record[1]
            feed(controller, record)
        before.append(record)
    if host.done:
        return _over(events, actions, Difference(events + actions, None, host.done[0], list(before)), None, first, last)
    return _over(events, actions, None, None, first, last)


def _over(events: int, actions: int, difference: Difference | None, gap: Any, first: int | None,
          last: int | None) -> Replayed:
    return Replayed(events, actions, difference, gap, 0 if first is None else last - first)


def words(record: list[Any]) -> str:
    """A record as a person reads it."""
    if record[0] == "gap":
        return f"gap: {record[3]} events lost between {record[1]} and {record[2]}"
    name, fields = NAMES[record[0]], record[1:]
    shown = ", ".join(field.hex() if isinstance(field, bytes) else str(field) for field in fields)
    return f"{name}({shown})" if record[0] < FIRST_ACTION else f"    -> {name}({shown})"
