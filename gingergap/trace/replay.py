"""Feeds a trace's events to the decision module and compares each action that it takes with the recorded one.

A replay begins with the arguments in the header, or with a snapshot if the trace does not begin at the process's start;
after a gap it resumes at the next snapshot. Events between a gap and a snapshot are skipped and counted.
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

CONTEXT_RECORDS = 12  # records kept for display before a difference


class Difference(NamedTuple):
    """The first action that differs: the recorded and the replayed one (None: no action), and the records before it.

    `record_index` counts the source's records from 0.
    """

    record_index: int
    recorded: list[Any] | None
    replayed: list[Any] | None
    before: list[list[Any]]


class ActionCollector:
    """A host that collects the actions it is asked for."""

    def __init__(self) -> None:
        self.actions: deque[list[Any]] = deque()

    def __getattr__(self, name: str) -> Any:
        code = CODES[name]
        return lambda *fields: self.actions.append([code, *fields])


def create_controller(header: Header | Source, host: Any, module: ModuleType = call_controller) -> Any:
    """Creates the controller with the arguments that the recorded one was created with."""
    arguments = present_arguments(header.figures)
    types = [TrafficType(*entry[:5], None if entry[5] is None else frozenset(entry[5])) for entry in arguments.pop("traffic_types")]
    return module.CallController(
        host, arguments.pop("seed"), arguments.pop("own_exchange"), arguments.pop("proxy_count"), types, **arguments
    )


def feed(controller: Any, record: list[Any]) -> None:
    """Calls the controller's method for an event."""
    name, fields = NAMES[record[0]], record[1:]
    if name == "exchange_list_received":
        now, entries, complete = fields
        controller.exchange_list_received(
            now, [ListEntry(gw, number, GwState(state), started) for gw, number, state, started in entries], complete
        )
    elif name == "leg_ended":
        now, dialog, gw, leg_end, rsn, finished, free, size = fields
        controller.leg_ended(now, dialog, gw, LegEnd(leg_end), rsn, finished, free, size)
    elif name == "restore":
        now, learned, age = fields
        controller.restore(now, learned_from_lists(learned), age)
    else:
        getattr(controller, name)(*fields)


def learned_from_lists(fields: list[Any]) -> Learned:
    """Rebuilds what a controller learned from the plain lists that a trace stores."""
    now, exchanges, pairs, callers, best_rate, pace = fields
    return Learned(
        now,
        [KnownExchange(*exchange) for exchange in exchanges],
        [KnownPair(*pair) for pair in pairs],
        [KnownCaller(*caller) for caller in callers],
        best_rate,
        pace,
    )


class Replay:
    """Replays one source's records, one at a time. `from_start`: the first record is the process's first."""

    def __init__(self, source: Header | Source, from_start: bool = True, module: ModuleType = call_controller) -> None:
        self.source, self.module = source, module
        self.host = ActionCollector()
        self.controller = create_controller(source, self.host, module) if from_start else None
        self.before: deque[list[Any]] = deque(maxlen=CONTEXT_RECORDS)
        self.record_index = 0
        self.events = self.actions = self.skipped_events = self.gaps = self.resumed = 0
        self.first_time: int | None = None
        self.last_time = 0
        self.difference: Difference | None = None

    def take(self, record: list[Any]) -> bool:
        """Replays a record; returns whether everything has matched so far. After a difference nothing is compared any
        more. Raises BadSnapshotError.
        """
        if self.difference is not None:
            return False
        if type(record) is tuple:
            record = list(record)
        code = record[0]
        if code == "gap":
            self._expect_no_action()
            self.gaps += 1
            self.controller = None
        elif code == SNAPSHOT:
            self._expect_no_action()
            if self.controller is None:
                self.controller = thaw(record[2], self.host, self.module)
                self.resumed += 1
        elif code >= FIRST_NOTE:
            pass
        elif self.controller is None:
            self.skipped_events += is_event(code)
        elif is_action(code):
            action = self.host.actions.popleft() if self.host.actions else None
            if action != record:
                self._set_difference(record, action)
            self.actions += 1
        else:
            self._expect_no_action()
            if self.difference is None:
                self.events += 1
                self.first_time = record[1] if self.first_time is None else self.first_time
                self.last_time = record[1]
                feed(self.controller, record)
        if self.difference is None:
            self.before.append(record)
        self.record_index += code != "gap"
        return self.difference is None

    def finish(self) -> bool:
        """Ends the replay; returns whether everything matched. The last actions may be missing from a file that was
        truncated.
        """
        self._expect_no_action()
        return self.difference is None

    def _expect_no_action(self) -> None:
        if self.host.actions and self.difference is None:
            self._set_difference(None, self.host.actions[0])

    def _set_difference(self, recorded: list[Any] | None, replayed: list[Any] | None) -> None:
        self.difference = Difference(self.record_index, recorded, replayed, list(self.before))

    @property
    def duration(self) -> int:
        """Tenths of a millisecond between the first and the last event replayed."""
        return 0 if self.first_time is None else self.last_time - self.first_time


def replay(
    sources: list[Source] | list[Header], entries: Iterable[Entry], from_start: bool = True, module: ModuleType = call_controller
) -> list[Replay]:
    """Replays each source's events with a controller of its own, up to the end or the first difference of any source.

    `from_start`: the entries begin where the processes did.
    """
    replays = [Replay(source, from_start, module) for source in sources]
    for entry in entries:
        if not replays[entry.source].take(entry.record):
            return replays
    for source_replay in replays:
        source_replay.finish()
    return replays


def format_record(record: list[Any]) -> str:
    """A record as a line of text."""
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
