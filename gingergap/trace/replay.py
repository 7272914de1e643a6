"""Feeds a trace's events to the module and compares every action that it asks for with the one that was noted.

Begins with the figures of the header, or with a snapshot where the start is not in the trace; after a gap it goes on
from the next snapshot. What lies between a gap and a snapshot is passed over and counted.
"""

from collections import deque
from collections.abc import Iterable
from types import ModuleType
from typing import Any, NamedTuple

from .. import call_controller
from ..host import GwState, KnownCaller, KnownExchange, KnownPair, Learned, LegEnd, ListEntry, TrafficType
from .format import CODES, FIRST_NOTE, NAMES, SNAPSHOT, Header, Source, is_action, is_event
from .snapshot import thaw
from .stored_names import present_arguments
from .stream import Entry

SHOWN = 12  # records kept to be shown before a difference


class Difference(NamedTuple):
    """A place where the module asked for something else. `place` counts the source's records from 0."""

    place: int
    noted: list[Any] | None
    asked: list[Any] | None
    before: list[list[Any]]


class Asked:
    """A host that keeps what it is asked for."""

    def __init__(self) -> None:
        self.done: deque[list[Any]] = deque()

    def __getattr__(self, name: str) -> Any:
        code = CODES[name]
        return lambda *fields: self.done.append([code, *fields])


def controller_of(header: Header | Source, host: Any, module: ModuleType = call_controller) -> Any:
    """The module as it was made when the trace was begun."""
    figures = present_arguments(header.figures)
    types = [TrafficType(*entry[:5], None if entry[5] is None else frozenset(entry[5])) for entry in figures.pop("traffic_types")]
    return module.CallController(
        host, figures.pop("seed"), figures.pop("own_exchange"), figures.pop("proxy_count"), types, **figures
    )


def feed(controller: Any, record: list[Any]) -> None:
    """One event into the module."""
    name, fields = NAMES[record[0]], record[1:]
    if name == "exchange_list_received":
        now, entries, whole = fields
        controller.exchange_list_received(
            now, [ListEntry(gw, number, GwState(state), started) for gw, number, state, started in entries], whole
        )
    elif name == "leg_ended":
        now, dialog, gw, how, rsn, over, free, size = fields
        controller.leg_ended(now, dialog, gw, LegEnd(how), rsn, over, free, size)
    elif name == "restore":
        now, told, age = fields
        controller.restore(now, learned_of(told), age)
    else:
        getattr(controller, name)(*fields)


def learned_of(told: list[Any]) -> Learned:
    """What a module was told of another's memory, from plain lists."""
    at, exchanges, pairs, callers, best_rate, pace = told
    return Learned(
        at,
        [KnownExchange(*one) for one in exchanges],
        [KnownPair(*one) for one in pairs],
        [KnownCaller(*one) for one in callers],
        best_rate,
        pace,
    )


class Replay:
    """One source's records, one at a time. `make` gives the controller at the start."""

    def __init__(self, source: Header | Source, whole: bool = True, module: ModuleType = call_controller) -> None:
        self.source, self.module = source, module
        self.host = Asked()
        self.controller = controller_of(source, self.host, module) if whole else None
        self.before: deque[list[Any]] = deque(maxlen=SHOWN)
        self.place = 0
        self.events = self.actions = self.passed_over = self.gaps = self.resumed = 0
        self.first: int | None = None
        self.last = 0
        self.difference: Difference | None = None

    def take(self, record: list[Any]) -> bool:
        """Whether all is alike so far; once it is not, nothing more is compared. Raises BadSnapshotError."""
        if self.difference is not None:
            return False
        if type(record) is tuple:
            record = list(record)
        code = record[0]
        if code == "gap":
            self._expect_nothing()
            self.gaps += 1
            self.controller = None
        elif code == SNAPSHOT:
            self._expect_nothing()
            if self.controller is None:
                self.controller = thaw(record[2], self.host, self.module)
                self.resumed += 1
        elif code >= FIRST_NOTE:
            pass
        elif self.controller is None:
            self.passed_over += is_event(code)
        elif is_action(code):
            asked = self.host.done.popleft() if self.host.done else None
            if asked != record:
                self._differs(record, asked)
            self.actions += 1
        else:
            self._expect_nothing()
            if self.difference is None:
                self.events += 1
                self.first = record[1] if self.first is None else self.first
                self.last = record[1]
                feed(self.controller, record)
        if self.difference is None:
            self.before.append(record)
        self.place += code != "gap"
        return self.difference is None

    def over(self) -> bool:
        """The trace is at its end; whether all was alike. A file that breaks off may have lost its last actions."""
        self._expect_nothing()
        return self.difference is None

    def _expect_nothing(self) -> None:
        if self.host.done and self.difference is None:
            self._differs(None, self.host.done[0])

    def _differs(self, noted: list[Any] | None, asked: list[Any] | None) -> None:
        self.difference = Difference(self.place, noted, asked, list(self.before))

    @property
    def span(self) -> int:
        """Tenths of a millisecond between the first and the last event fed."""
        return 0 if self.first is None else self.last - self.first


def replay(
    sources: list[Source] | list[Header], entries: Iterable[Entry], whole: bool = True, module: ModuleType = call_controller
) -> list[Replay]:
    """Each source's events to a module of its own, to the end or to the first difference of any. `whole`: the entries
    begin where the processes did."""
    replays = [Replay(source, whole, module) for source in sources]
    for entry in entries:
        if not replays[entry.source].take(entry.record):
            return replays
    for one in replays:
        one.over()
    return replays


def words(record: list[Any]) -> str:
    """A record as a person reads it."""
    if record[0] == "gap":
        lost = "events not counted, lost" if record[3] < 0 else f"{record[3]} events lost"
        return f"gap: {lost} between {record[1]} and {record[2]}"
    name, fields = NAMES[record[0]], record[1:]
    if record[0] == SNAPSHOT:
        return f"# the module's state ({len(record[2])} bytes)"
    shown = ", ".join(field.hex() if isinstance(field, bytes) else str(field) for field in fields)
    if record[0] >= FIRST_NOTE:
        return f"# {name}({shown})"
    return f"{name}({shown})" if is_event(record[0]) else f"    -> {name}({shown})"
