"""Counts where another version of the decision module would have decided differently, event by event.

Both modules are fed the recorded events side by side. Where the other one takes different actions, the difference is
counted by kind, and the other module is given the state of the one that made the recorded decisions: the events that
follow are consequences of those decisions, and a module that is fed the consequences of decisions it did not make would
soon differ for that reason alone. So each count is of single decisions. What a whole day under the other version would
come to can only be found by playing one.
"""

import importlib.util
import inspect
import sys
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from types import ModuleType
from typing import Any, NamedTuple

from .. import call_controller
from .earlier_versions import adapted
from .format import CODES, DIALOG_FIELD, FIRST_NOTE, NAMES, SNAPSHOT, BadTraceError, Source, is_action, is_event
from .replay import ActionCollector, create_controller, feed
from .snapshot import BadSnapshotError, freeze, thaw
from .stream import Entry
from .timeline import ESTABLISHED, DialogTimeline, TimelineBuilder

SEND_LEG, DECLINE, ABORT = CODES["send_leg"], CODES["decline"], CODES["abort"]
MAX_EXAMPLES = 3  # kept of each kind


class Example(NamedTuple):
    """One difference: the recorded action and the other module's (None: no action). `time` in tenths of a millisecond."""

    source: int
    record_index: int
    time: int
    dialog: int
    recorded: list[Any] | None
    other: list[Any] | None


class DifferenceKind:
    """One kind of difference, named by the recorded action and the other module's.

    `lost_importance` is that of dialogs that were established in time and that the other module would have turned away;
    `max_gained_importance` that of dialogs that were turned away and that it would have tried.
    """

    def __init__(self) -> None:
        self.count = 0
        self.lost_importance = self.max_gained_importance = 0.0
        self.outcomes: Counter[str] = Counter()
        self.examples: list[Example] = []


class ComparisonResult:
    """Events fed, decisions compared, importance established in time in total, and differences by kind."""

    def __init__(self) -> None:
        self.events = self.decisions = self.skipped_events = 0
        self.established_importance = 0.0
        self.kinds: dict[str, DifferenceKind] = {}


def module_at(path: Path) -> ModuleType:
    """Another version of call_controller.py, or of brain.py as it was called before, as a module of this package with the
    present interface. Raises BadTraceError.
    """
    name = f"{call_controller.__package__}._other_version"
    spec = importlib.util.spec_from_file_location(name, path)
    if spec is None or spec.loader is None:
        raise BadTraceError(f"{path}: not a Python file")
    module = importlib.util.module_from_spec(spec)
    sys.modules[name] = module
    try:
        spec.loader.exec_module(module)
    except Exception as error:
        raise BadTraceError(f"{path}: {type(error).__name__}: {error}") from None
    if not inspect.isclass(getattr(module, "CallController", None)):
        raise BadTraceError(f"{path}: has no CallController")
    module.CallController = adapted(module.CallController)
    return module


class ControllerPair:
    """One source's two controllers: this program's own and the other module's."""

    def __init__(self, source: Source, from_start: bool, other_module: ModuleType) -> None:
        self.source, self.other_module = source, other_module
        self.own_host, self.other_host = ActionCollector(), ActionCollector()
        self.own: Any = None
        self.other: Any = None
        if from_start:
            self.own, self.other = (
                create_controller(source, self.own_host),
                create_controller(source, self.other_host, other_module),
            )
        self.recorded: list[list[Any]] = []
        self.current_event = 0, 0  # record index and time

    def resume(self, snapshot: bytes) -> None:
        """Gives both controllers the state of a snapshot."""
        self.own = thaw(snapshot, self.own_host)
        self.synchronise()

    def synchronise(self) -> None:
        """Gives the other controller the state of the own one. Raises BadTraceError if it cannot take it."""
        try:
            self.other = thaw(freeze(self.own), self.other_host, self.other_module)
        except BadSnapshotError as error:
            raise BadTraceError(f"the other module can't load the state of this one: {error}") from None
        self.own_host.actions.clear()
        self.other_host.actions.clear()


def compare(sources: list[Source], entries: Iterable[Entry], from_start: bool, other_module: ModuleType) -> ComparisonResult:
    """Compares this program's decisions with those of another module.

    Raises BadTraceError if this program's module does not decide as recorded: then nothing can be said about another.
    """
    result, timelines = ComparisonResult(), TimelineBuilder(sources)
    pairs = [ControllerPair(source, from_start, other_module) for source in sources]
    open_differences: dict[tuple[int, int], list[DifferenceKind]] = {}
    # Timelines that ended at the current event, whose differences are not known yet.
    closing: list[list[DialogTimeline]] = [[] for _ in sources]

    def settle(source: int) -> None:
        _settle(pairs[source], source, result, open_differences)
        for timeline in closing[source]:
            _count_outcome(timeline, sources, result, open_differences)
        closing[source].clear()

    for entry in entries:
        pair, record, code = pairs[entry.source], entry.record, entry.record[0]
        if code == "gap" or code == SNAPSHOT or is_event(code):
            settle(entry.source)
        timelines.add(entry)
        if code == "gap":
            pair.own = None
        elif code == SNAPSHOT:
            if pair.own is None:
                pair.resume(record[2])
        elif code >= FIRST_NOTE:
            pass
        elif pair.own is None:
            result.skipped_events += is_event(code)
        elif is_action(code):
            pair.recorded.append(record)
        else:
            result.events += 1
            pair.current_event = timelines.record_index - 1, entry.time
            feed(pair.own, record)
            try:
                feed(pair.other, record)
            except Exception as error:
                raise BadTraceError(
                    f"the other module fails at record {pair.current_event[0]}: {type(error).__name__}: {error}"
                ) from None
        for timeline in timelines.take_finished():
            closing[timeline.source].append(timeline)
    for source in range(len(pairs)):
        settle(source)
    for timeline in timelines.unfinished():
        _count_outcome(timeline, sources, result, open_differences)
    return result


def _settle(
    pair: ControllerPair,
    source: int,
    result: ComparisonResult,
    open_differences: dict[tuple[int, int], list[DifferenceKind]],
) -> None:
    """Compares the actions of the last event, now that all of them are known."""
    if pair.own is None or not (pair.recorded or pair.own_host.actions or pair.other_host.actions):
        return
    recorded, pair.recorded = pair.recorded, []
    own_actions, other_actions = list(pair.own_host.actions), list(pair.other_host.actions)
    pair.own_host.actions.clear()
    pair.other_host.actions.clear()
    record_index, now = pair.current_event
    if own_actions != recorded:
        raise BadTraceError(
            f"record {record_index}: this program's module does not decide as was recorded; "
            "compare with the version that recorded the trace"
        )
    result.decisions += len(recorded)
    if other_actions == recorded:
        return
    for name, dialog, recorded_action, other_action in classify_differences(recorded, other_actions):
        kind = result.kinds.setdefault(name, DifferenceKind())
        kind.count += 1
        if len(kind.examples) < MAX_EXAMPLES:
            kind.examples.append(Example(source, record_index, now, dialog, recorded_action, other_action))
        if dialog >= 0:
            open_differences.setdefault((source, dialog), []).append(kind)
    pair.synchronise()


def classify_differences(
    recorded: list[list[Any]], other: list[list[Any]]
) -> list[tuple[str, int, list[Any] | None, list[Any] | None]]:
    """Differences between two lists of actions at one event: name, dialog (-1: none), the two actions."""
    found = []
    by_dialog: dict[tuple[int, str], list[list[Any] | None]] = {}
    for side, actions in enumerate((recorded, other)):
        for action in actions:
            field = DIALOG_FIELD.get(action[0])
            key = (action[field], "") if field is not None else (-1, NAMES[action[0]])
            by_dialog.setdefault(key, [None, None])[side] = action
    for (dialog, _), (recorded_action, other_action) in by_dialog.items():
        if recorded_action == other_action:
            continue
        if recorded_action is not None and other_action is not None and recorded_action[0] == other_action[0]:
            name = (
                "leg to another exchange"
                if recorded_action[0] == SEND_LEG and recorded_action[2] != other_action[2]
                else f"other arguments of {NAMES[recorded_action[0]]}"
            )
        else:
            name = f"{_action_name(recorded_action)} -> {_action_name(other_action)}"
        found.append((name, dialog, recorded_action, other_action))
    if not found:
        found.append(("same actions in another order", -1, recorded[0], other[0]))
    return found


def _action_name(action: list[Any] | None) -> str:
    return "no action" if action is None else NAMES[action[0]]


def _count_outcome(
    timeline: DialogTimeline,
    sources: list[Source],
    result: ComparisonResult,
    open_differences: dict[tuple[int, int], list[DifferenceKind]],
) -> None:
    """Counts the outcome of a finished dialog for each difference that concerned it."""
    types = sources[timeline.source].figures["types"]
    objective, importance = types[timeline.traffic_type][0], types[timeline.traffic_type][3]
    in_time = timeline.outcome == ESTABLISHED and timeline.final_answer_delay <= objective
    outcome = "stood in time" if in_time else "stood late" if timeline.outcome == ESTABLISHED else timeline.outcome
    if in_time and not timeline.transit:
        result.established_importance += importance
    for kind in open_differences.pop((timeline.source, timeline.dialog), []):
        kind.outcomes[outcome] += 1
        if timeline.transit:
            continue
        example = kind.examples[0]
        if in_time and example.other is not None and example.other[0] in (DECLINE, ABORT):
            kind.lost_importance += importance
        elif (
            not in_time
            and example.recorded is not None
            and example.recorded[0] in (DECLINE, ABORT)
            and (example.other is None or example.other[0] == SEND_LEG)
        ):
            kind.max_gained_importance += importance
