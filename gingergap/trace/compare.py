"""What another version of the decisions would have done: asked at every event, from the state that was really there.

Both modules run side by side on the noted events. Where the other one asks for something else, the difference is counted
by kind, and it is given the state of the module that really decided: the world's answers that follow are answers to that
one's decisions, and a module led on by answers to questions it never asked would soon differ for no other reason. So
each count is of single decisions, not of days lived under the other version; what a day under it would come to only
playing one can tell.
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
from .format import CODES, DIALOG_AT, FIRST_NOTE, NAMES, SNAPSHOT, BadTraceError, Source, is_action, is_event
from .replay import Asked, controller_of, feed
from .snapshot import BadSnapshotError, freeze, thaw
from .stories import STOOD, Stories, Story
from .stream import Entry

SEND, DECLINE, ABORT = CODES["send_leg"], CODES["decline"], CODES["abort"]
SHOWN = 3  # examples kept of each kind


class Example(NamedTuple):
    source: int
    place: int
    now: int
    dialog: int
    noted: list[Any] | None
    asked: list[Any] | None


class Kind:
    """One kind of difference: what was done, what the other would have done. `lost`: importance that really stood in time
    and that the other would have turned away; `at_most_gained`: importance turned away that it would have tried."""

    def __init__(self) -> None:
        self.many = 0
        self.lost = self.at_most_gained = 0.0
        self.outcomes: Counter[str] = Counter()
        self.examples: list[Example] = []


class Compared:
    """The result: events fed, decisions compared, differences by kind, importance that stood in time in all."""

    def __init__(self) -> None:
        self.events = self.decisions = self.passed_over = 0
        self.stood = 0.0
        self.kinds: dict[str, Kind] = {}


def module_at(path: Path) -> ModuleType:
    """Another version of call_controller.py, or of brain.py as it was called before, as a module of this package with the
    present interface. Raises BadTraceError."""
    name = f"{call_controller.__package__}._other_version"
    spec = importlib.util.spec_from_file_location(name, path)
    if spec is None or spec.loader is None:
        raise BadTraceError(f"{path}: no Python file")
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


class Side:
    """One source's two modules."""

    def __init__(self, source: Source, whole: bool, other: ModuleType) -> None:
        self.source, self.other = source, other
        self.own_host, self.other_host = Asked(), Asked()
        self.own: Any = None
        self.others: Any = None
        if whole:
            self.own, self.others = controller_of(source, self.own_host), controller_of(source, self.other_host, other)
        self.noted: list[list[Any]] = []
        self.at = 0, 0  # place and time of the event under way

    def begin(self, state: bytes) -> None:
        self.own = thaw(state, self.own_host)
        self.take_over()

    def take_over(self) -> None:
        """The other module goes on from the state of the one that decided. Raises BadTraceError where it can't."""
        try:
            self.others = thaw(freeze(self.own), self.other_host, self.other)
        except BadSnapshotError as error:
            raise BadTraceError(f"the other module can't take over this one's state: {error}") from None
        self.own_host.done.clear()
        self.other_host.done.clear()


def compare(sources: list[Source], entries: Iterable[Entry], whole: bool, other: ModuleType) -> Compared:
    """Raises BadTraceError where this program's module does not decide as noted: then nothing can be said of another."""
    result, stories = Compared(), Stories(sources)
    sides = [Side(source, whole, other) for source in sources]
    open_differences: dict[tuple[int, int], list[Kind]] = {}
    closing: list[list[Story]] = [[] for _ in sources]  # ended by the event under way, whose differences are not known yet

    def settle(source: int) -> None:
        _settle(sides[source], source, result, open_differences)
        for story in closing[source]:
            _ended(story, sources, result, open_differences)
        closing[source].clear()

    for entry in entries:
        side, record, code = sides[entry.source], entry.record, entry.record[0]
        if code == "gap" or code == SNAPSHOT or is_event(code):
            settle(entry.source)
        stories.take(entry)
        if code == "gap":
            side.own = None
        elif code == SNAPSHOT:
            if side.own is None:
                side.begin(record[2])
        elif code >= FIRST_NOTE:
            pass
        elif side.own is None:
            result.passed_over += is_event(code)
        elif is_action(code):
            side.noted.append(record)
        else:
            result.events += 1
            side.at = stories.place - 1, entry.now
            feed(side.own, record)
            try:
                feed(side.others, record)
            except Exception as error:
                raise BadTraceError(f"the other module fails at record {side.at[0]}: {type(error).__name__}: {error}") from None
        for story in stories.over():
            closing[story.source].append(story)
    for place in range(len(sides)):
        settle(place)
    for left in stories.open():
        _ended(left, sources, result, open_differences)
    return result


def _settle(side: Side, source: int, result: Compared, open_differences: dict[tuple[int, int], list[Kind]]) -> None:
    """All that the last event brought forth is known."""
    if side.own is None or not (side.noted or side.own_host.done or side.other_host.done):
        return
    noted, side.noted = side.noted, []
    own, others = list(side.own_host.done), list(side.other_host.done)
    side.own_host.done.clear()
    side.other_host.done.clear()
    place, now = side.at
    if own != noted:
        raise BadTraceError(
            f"record {place}: this program's module does not decide as was noted; compare with the version that recorded the trace"
        )
    result.decisions += len(noted)
    if others == noted:
        return
    for name, dialog, was, would in kinds_of(noted, others):
        kind = result.kinds.setdefault(name, Kind())
        kind.many += 1
        if len(kind.examples) < SHOWN:
            kind.examples.append(Example(source, place, now, dialog, was, would))
        if dialog >= 0:
            open_differences.setdefault((source, dialog), []).append(kind)
    side.take_over()


def kinds_of(noted: list[list[Any]], others: list[list[Any]]) -> list[tuple[str, int, list[Any] | None, list[Any] | None]]:
    """Differences between two lists of actions at one event: name, dialog (-1: none), the two actions."""
    found = []
    by_dialog: dict[tuple[int, str], list[list[Any] | None]] = {}
    for side, actions in enumerate((noted, others)):
        for action in actions:
            at = DIALOG_AT.get(action[0])
            key = (action[at], "") if at is not None else (-1, NAMES[action[0]])
            by_dialog.setdefault(key, [None, None])[side] = action
    for (dialog, _), (was, would) in by_dialog.items():
        if was == would:
            continue
        if was is not None and would is not None and was[0] == would[0]:
            what = "leg to another exchange" if was[0] == SEND and was[2] != would[2] else f"other figures in {NAMES[was[0]]}"
        else:
            what = f"{_word(was)} -> {_word(would)}"
        found.append((what, dialog, was, would))
    if not found:
        found.append(("other order of the same", -1, noted[0], others[0]))
    return found


def _word(action: list[Any] | None) -> str:
    return "nothing yet" if action is None else NAMES[action[0]]


def _ended(story: Story, sources: list[Source], result: Compared, open_differences: dict[tuple[int, int], list[Kind]]) -> None:
    types = sources[story.source].figures["types"]
    objective, importance = types[story.kind][0], types[story.kind][3]
    in_time = story.final == STOOD and story.took <= objective
    outcome = "stood in time" if in_time else "stood late" if story.final == STOOD else story.final
    if in_time and not story.transit:
        result.stood += importance
    for kind in open_differences.pop((story.source, story.dialog), []):
        kind.outcomes[outcome] += 1
        if story.transit:
            continue
        example = kind.examples[0]
        if in_time and example.asked is not None and example.asked[0] in (DECLINE, ABORT):
            kind.lost += importance
        elif (
            not in_time
            and example.noted is not None
            and example.noted[0] in (DECLINE, ABORT)
            and (example.asked is None or example.asked[0] == SEND)
        ):
            kind.at_most_gained += importance
