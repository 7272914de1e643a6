"""Builds a dialog's span tree from its timeline: the dialog, its legs and its waits. No I/O.

The span id of a leg to another proxy is its message id, so the tree of the dialog that the other proxy had in transit can
refer to it as its parent: in a merged trace both form one trace, otherwise the root of the second carries the message id.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from ..host import LegEnd
from ..trace.format import Source
from ..trace.stream import Trace
from ..trace.timeline import ESTABLISHED, OPEN, DialogTimeline, dialog_timelines

MAX_MESSAGES = 100_000  # message ids and waiting dialogs in memory


class Span(NamedTuple):
    """Times in tenths of a millisecond by the trace's clock. `record_index` is that of a record in `file`."""

    id: bytes  # 8 bytes
    parent: bytes  # 8 bytes, empty for none
    name: str
    begin: int
    end: int
    record_index: int
    file: str
    attributes: dict[str, str | int | bool]


class SpanTree(NamedTuple):
    """The spans of a dialog; the first is the dialog's own. `trace_id` has 16 bytes."""

    trace_id: bytes
    instance: str
    wall: float  # wall-clock time in seconds at time 0 of the trace's clock
    spans: list[Span]
    established: bool

    @property
    def duration(self) -> int:
        """Time from arrival to final answer, in tenths of a millisecond."""
        return self.spans[0].end - self.spans[0].begin


class RecordLocator:
    """Maps the index of a record among all records to its file and its index there."""

    def __init__(self) -> None:
        self.files: list[tuple[int, str]] = []

    def add_file(self, record_index: int, name: str) -> None:
        """Adds a file, whose first record has this index among all."""
        self.files.append((record_index, name))

    def locate(self, record_index: int) -> tuple[str, int]:
        """File name and index in that file."""
        for first_index, name in reversed(self.files):
            if first_index <= record_index:
                return name, record_index - first_index
        return "", record_index


class SpanTreeBuilder:
    """Builds trees from timelines. It remembers the message ids of legs, to link the dialogs that they become elsewhere."""

    def __init__(self, sources: list[Source], wall: float, started: int, locator: RecordLocator) -> None:
        self.sources, self.locator = sources, locator
        self.wall = wall - started / 10_000
        self.trace_ids: OrderedDict[bytes, bytes] = OrderedDict()  # by message id of the leg

    def build(self, timeline: DialogTimeline) -> SpanTree:
        source = self.sources[timeline.source]
        name = f"{source.instance} {source.epoch} {timeline.dialog}".encode()
        trace_id = hashlib.blake2s(name, digest_size=16).digest()
        root = hashlib.blake2s(name, digest_size=8, person=b"dialog").digest()
        parent = b""
        if timeline.message_id in self.trace_ids:
            trace_id, parent = self.trace_ids[timeline.message_id], timeline.message_id
        file, record_index = self.locator.locate(timeline.record_index)
        end = timeline.final_at if timeline.final_at >= 0 else timeline.last_record_at
        attributes: dict[str, str | int | bool] = {
            "dialog": timeline.dialog,
            "traffic type": timeline.traffic_type,
            "far": timeline.destination,
            "circuits": timeline.circuits,
            "transit": timeline.transit,
            "redialled": timeline.redialled,
            "final": timeline.outcome,
        }
        if timeline.failure_cause():
            attributes["cause"] = timeline.failure_cause()
        if timeline.message_id and not parent:
            attributes["crossing"] = timeline.message_id.hex()
        spans = [
            Span(
                root,
                parent,
                "transit" if timeline.transit else "dialog",
                timeline.arrived_at,
                end,
                record_index,
                file,
                attributes,
            )
        ]
        for number, leg in enumerate(timeline.legs):
            leg_end = (
                leg.established_at if leg.established_at >= 0 else leg.ended_at if leg.ended_at >= 0 else timeline.last_record_at
            )
            file, record_index = self.locator.locate(leg.record_index)
            span_id = leg.message_id or hashlib.blake2s(root + bytes([number % 256]), digest_size=8).digest()
            if leg.message_id:
                self.trace_ids[leg.message_id] = trace_id
                if len(self.trace_ids) > MAX_MESSAGES:
                    self.trace_ids.popitem(last=False)
            result = "stood" if leg.established_at >= 0 else LegEnd(leg.end).name.lower() if leg.end is not None else "out"
            spans.append(
                Span(
                    span_id,
                    root,
                    "leg",
                    leg.sent_at,
                    leg_end,
                    record_index,
                    file,
                    {
                        "gw": leg.gw,
                        "exchange": leg.exchange,
                        "tandem": leg.exchange not in (timeline.destination, -1),
                        "end": result,
                        "rsn": leg.rsn,
                    },
                )
            )
        for number, (wait_begin, wait_end) in enumerate(timeline.waits()):
            file, record_index = self.locator.locate(timeline.record_index)
            spans.append(
                Span(
                    hashlib.blake2s(root + b"wait" + bytes([number % 256]), digest_size=8).digest(),
                    root,
                    "wait",
                    wait_begin,
                    wait_end,
                    record_index,
                    file,
                    {},
                )
            )
        return SpanTree(trace_id, source.instance, self.wall, spans, timeline.outcome == ESTABLISHED)


def span_trees(trace: Trace) -> Iterator[SpanTree]:
    """The tree of every dialog of a trace.

    In a merged trace, the tandem's dialog ends before the one that it serves, so dialogs in transit are yielded once the
    message id of the leg by which they arrived is known.
    """
    locator, record_index = RecordLocator(), 0
    for reader in trace.readers:
        locator.add_file(record_index, reader.path.name)
        record_index += sum(summary.record_count for _, summary in reader.block_summaries())
    builder = SpanTreeBuilder(trace.sources, trace.header.wall, trace.header.started, locator)
    yield from link_trees(builder, dialog_timelines(trace), trace.merged)


def link_trees(builder: SpanTreeBuilder, timelines: Iterable[DialogTimeline], wait: bool) -> Iterator[SpanTree]:
    """Trees of timelines. With `wait`, a dialog in transit follows the one whose leg it arrived by, or comes at the end."""
    waiting: OrderedDict[bytes, DialogTimeline] = OrderedDict()
    for timeline in timelines:
        if wait and timeline.message_id and timeline.message_id not in builder.trace_ids:
            waiting[timeline.message_id] = timeline
            if len(waiting) > MAX_MESSAGES:
                yield builder.build(waiting.popitem(last=False)[1])
            continue
        yield builder.build(timeline)
        for leg in timeline.legs:
            if leg.message_id in waiting:
                yield builder.build(waiting.pop(leg.message_id))
    for timeline in waiting.values():
        yield builder.build(timeline)


def is_worth_keeping(tree: SpanTree, slower: int) -> bool:
    """Whether a dialog failed, or took longer than `slower` (tenths of a millisecond)."""
    return not tree.established and tree.spans[0].attributes["final"] != OPEN or tree.duration > slower
