"""A dialog's span tree, from its story: the dialog, its legs and its waits. Pure.

A leg to another proxy has the id of its crossing for its span id, so the tree of the dialog that the other proxy had
in transit hangs from it: in a merged trace both are one trace, else its root names the crossing.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from ..host import LegEnd
from ..trace.format import Source
from ..trace.stream import Trace
from ..trace.timeline import ESTABLISHED, OPEN, DialogTimeline, dialog_timelines

MOST_CROSSINGS = 100_000


class Span(NamedTuple):
    """Times in tenths of a millisecond by the trace's clock. `place` is a record's place in the file named."""

    id: bytes  # 8
    parent: bytes  # 8, empty for none
    name: str
    begin: int
    end: int
    place: int
    file: str
    fields: dict[str, str | int | bool]


class Tree(NamedTuple):
    """`trace_id` has 16 bytes; the first span is the dialog's."""

    trace_id: bytes
    instance: str
    wall: float  # seconds at time 0 of the trace's clock
    spans: list[Span]
    stood: bool

    @property
    def length(self) -> int:
        """From arrival to final answer."""
        return self.spans[0].end - self.spans[0].begin


class Files:
    """Which file a record's place among all falls in."""

    def __init__(self) -> None:
        self.begins: list[tuple[int, str]] = []

    def begin(self, place: int, name: str) -> None:
        """A file's first record has this place among all."""
        self.begins.append((place, name))

    def find(self, place: int) -> tuple[str, int]:
        for begun, name in reversed(self.begins):
            if begun <= place:
                return name, place - begun
        return "", place


class Trees:
    """Turns stories into trees; remembers the crossings of legs for the dialogs that they become elsewhere."""

    def __init__(self, sources: list[Source], wall: float, started: int, files: Files) -> None:
        self.sources, self.files = sources, files
        self.wall = wall - started / 10_000
        self.crossed: OrderedDict[bytes, bytes] = OrderedDict()

    def tree(self, story: DialogTimeline) -> Tree:
        source = self.sources[story.source]
        name = f"{source.instance} {source.epoch} {story.dialog}".encode()
        trace_id = hashlib.blake2s(name, digest_size=16).digest()
        root = hashlib.blake2s(name, digest_size=8, person=b"dialog").digest()
        parent = b""
        if story.crossing in self.crossed:
            trace_id, parent = self.crossed[story.crossing], story.crossing
        file, place = self.files.find(story.place)
        end = story.final_at if story.final_at >= 0 else story.last
        fields: dict[str, str | int | bool] = {
            "dialog": story.dialog,
            "traffic type": story.kind,
            "far": story.far,
            "circuits": story.width,
            "transit": story.transit,
            "redialled": story.redialled,
            "final": story.final,
        }
        if story.cause():
            fields["cause"] = story.cause()
        if story.crossing and not parent:
            fields["crossing"] = story.crossing.hex()
        spans = [Span(root, parent, "transit" if story.transit else "dialog", story.came, end, place, file, fields)]
        for number, leg in enumerate(story.legs):
            over = leg.stood if leg.stood >= 0 else leg.ended if leg.ended >= 0 else story.last
            file, place = self.files.find(leg.place)
            span_id = leg.crossing or hashlib.blake2s(root + bytes([number % 256]), digest_size=8).digest()
            if leg.crossing:
                self.crossed[leg.crossing] = trace_id
                if len(self.crossed) > MOST_CROSSINGS:
                    self.crossed.popitem(last=False)
            how = "stood" if leg.stood >= 0 else LegEnd(leg.how).name.lower() if leg.how is not None else "out"
            spans.append(
                Span(
                    span_id,
                    root,
                    "leg",
                    leg.sent,
                    over,
                    place,
                    file,
                    {"gw": leg.gw, "exchange": leg.number, "tandem": leg.number not in (story.far, -1), "end": how, "rsn": leg.rsn},
                )
            )
        for number, (begin, over) in enumerate(story.waits()):
            file, place = self.files.find(story.place)
            spans.append(
                Span(
                    hashlib.blake2s(root + b"wait" + bytes([number % 256]), digest_size=8).digest(),
                    root,
                    "wait",
                    begin,
                    over,
                    place,
                    file,
                    {},
                )
            )
        return Tree(trace_id, source.instance, self.wall, spans, story.final == ESTABLISHED)


def trees(trace: Trace) -> Iterator[Tree]:
    """Every dialog of a trace. Those of a merged one hang together as far as the sender's dialog ended last: a tandem's
    dialog is over before the one that it serves, so those in transit are given out when their crossing is known."""
    files, place = Files(), 0
    for reader in trace.readers:
        files.begin(place, reader.path.name)
        place += sum(stretch.records for _, stretch in reader.stretches())
    maker = Trees(trace.sources, trace.header.wall, trace.header.started, files)
    yield from hung(maker, dialog_timelines(trace), trace.merged)


def hung(maker: Trees, stories: Iterable[DialogTimeline], wait: bool) -> Iterator[Tree]:
    """Trees of stories; with `wait`, one in transit only after the leg that it came by, or at the end."""
    waiting: OrderedDict[bytes, DialogTimeline] = OrderedDict()
    for story in stories:
        if wait and story.crossing and story.crossing not in maker.crossed:
            waiting[story.crossing] = story
            if len(waiting) > MOST_CROSSINGS:
                yield maker.tree(waiting.popitem(last=False)[1])
            continue
        yield maker.tree(story)
        for leg in story.legs:
            if leg.crossing in waiting:
                yield maker.tree(waiting.pop(leg.crossing))
    for story in waiting.values():
        yield maker.tree(story)


def worth_keeping(tree: Tree, slower: int) -> bool:
    """Whether a dialog took longer than so many tenths of a millisecond, or did not stand."""
    return not tree.stood and tree.spans[0].fields["final"] != OPEN or tree.length > slower
