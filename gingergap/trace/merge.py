"""Merges the traces of several proxies into one, ordered by a common clock.

Two orders are kept whatever the clocks say: each proxy's own, across its restarts too, and that no message is received
before it is sent. There are three passes, each of them streamed: match the messages and estimate the clocks; check whether
the estimate would still put a reception before its sending; write, and if it would, hold back each reception whose sending
has not been written yet. Only in that case does memory grow with the number of messages, by their ids.
"""

import hashlib
import heapq
from collections import OrderedDict
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

from .clocks import DirectedDelays, Estimate, estimate_clocks
from .entry_writer import EntryWriter
from .format import CODES, FORMAT, BadTraceError, Header, Source
from .stream import Entry, Trace

SENT, RECEIVED = CODES["sent"], CODES["received"]
SECOND = 10_000
MATCH_HORIZON = 120 * SECOND  # a message whose other side is not found within this time has none


class MergeResult(NamedTuple):
    """Statistics of a merge.

    `messages` is the number of messages recorded by both sides, and `held_back` how many of them the clock estimate would
    have reordered. `forced` counts records that were written although they should have waited, because all traces waited
    for one another: the traces contradict themselves. `relaxed_by` is the amount by which the bounds on the clocks had to
    be relaxed (tenths of a millisecond).
    """

    records: int
    messages: int
    held_back: int
    forced: int
    relaxed_by: float
    sources: list[Source]


class Clock:
    """Maps one process's clock to the common one by a line."""

    def __init__(self, source: Source, base: float) -> None:
        self.source = source
        self.shift = round((source.wall - base) * SECOND) - source.started  # by the uncorrected wall clocks
        self.estimate = Estimate(0.0, 0.0, 0.0)

    def by_wall(self, now: int) -> int:
        """A time of this clock as the uncorrected wall clocks have it."""
        return now + self.shift

    def common(self, now: int) -> int:
        """A time of this clock by the common clock."""
        by_wall = now + self.shift
        return by_wall + round(self.estimate.offset + self.estimate.drift * by_wall / SECOND)


def match_messages(clocks: list[Clock], traces: list[Trace]) -> Iterator[tuple[bytes, int, int, int, int]]:
    """Each message that one trace sent and another received: its id, sender and time, receiver and time, by their own
    clocks. The traces are streamed side by side by the wall clocks; memory holds the messages within the match horizon.
    """
    unmatched: OrderedDict[tuple[bytes, int], tuple[int, int, int]] = OrderedDict()

    def messages_of(index: int) -> Iterator[tuple[int, int, Entry]]:
        for entry in traces[index].entries():
            if entry.record[0] in (SENT, RECEIVED):
                yield clocks[index].by_wall(entry.time), index, entry

    for by_wall, index, entry in heapq.merge(*(messages_of(index) for index in range(len(traces))), key=lambda item: item[:2]):
        code, now, message, _ = entry.record
        other = unmatched.pop((message, RECEIVED + SENT - code), None)
        if other is None:
            unmatched[message, code] = by_wall, index, now
        elif other[1] != index:
            _, other_index, other_time = other
            yield (
                (message, index, now, other_index, other_time) if code == SENT else (message, other_index, other_time, index, now)
            )
        while unmatched and next(iter(unmatched.values()))[0] < by_wall - MATCH_HORIZON:
            unmatched.popitem(last=False)


def merge(traces: list[Trace], path: Path) -> MergeResult:
    """Merges traces into a new file. Raises BadTraceError."""
    for trace in traces:
        if trace.merged or trace.header.bare:
            raise BadTraceError(f"{trace.name}: a {'merged' if trace.merged else 'bare'} trace can't be merged")
    base = min(trace.header.wall for trace in traces)
    clocks = [Clock(trace.sources[0], base) for trace in traces]
    spans = [_time_span(trace) for trace in traces]
    # Processes of one instance, in the order of their starts: all of one precedes all of the next.
    predecessors = {
        later: earlier
        for earlier, later in zip(range(len(traces)), range(1, len(traces)), strict=False)
        if traces[earlier].header.instance == traces[later].header.instance
    }
    delays: dict[tuple[int, int], DirectedDelays] = {}
    messages = 0
    for _, sender, sent, receiver, received in match_messages(clocks, traces):
        messages += 1
        delays.setdefault((sender, receiver), DirectedDelays()).add(
            clocks[sender].by_wall(sent), clocks[receiver].by_wall(received)
        )
    orderings = [
        (earlier, clocks[earlier].by_wall(spans[earlier][1]), later, clocks[later].by_wall(spans[later][0]))
        for later, earlier in predecessors.items()
    ]
    begin = min(clock.by_wall(span[0]) for clock, span in zip(clocks, spans, strict=True))
    end = max(clock.by_wall(span[1]) for clock, span in zip(clocks, spans, strict=True))
    estimates, relaxed_by = estimate_clocks(len(clocks), delays, orderings, 0, end)
    for clock, estimate in zip(clocks, estimates, strict=True):
        clock.estimate = estimate
    reordered = sum(
        clocks[sender].common(sent) >= clocks[receiver].common(received)
        for _, sender, sent, receiver, received in match_messages(clocks, traces)
    )
    # Holding a proxy's record back also delays what it sends later: if one message must wait, all are watched.
    watched = {message for message, *_ in match_messages(clocks, traces)} if reordered else set()
    sources = [
        Source(
            trace.header.module,
            trace.header.epoch,
            trace.header.instance,
            trace.header.wall,
            trace.header.started,
            trace.header.figures,
            round(clock.shift + clock.estimate.offset),
            round(clock.estimate.drift, 6),
            round(clock.estimate.uncertainty, 2),
        )
        for trace, clock in zip(traces, clocks, strict=True)
    ]
    modules = {source.module for source in sources}
    epoch = hashlib.blake2s(" ".join(source.epoch for source in sources).encode(), digest_size=4).hexdigest()
    header = Header(
        FORMAT,
        modules.pop() if len(modules) == 1 else "several",
        epoch,
        "merged",
        base,
        0,
        {},
        sources=sources,
        whole=all(trace.from_start for trace in traces),
    )
    writer = EntryWriter(path, header)
    forced = 0
    last = begin
    for entry, was_forced in merge_entries(clocks, traces, predecessors, watched):
        last = max(last, entry.time)
        writer.write(entry._replace(time=last))
        forced += was_forced
    writer.close()
    return MergeResult(writer.record_count, messages, reordered, forced, relaxed_by, sources)


def merge_entries(
    clocks: list[Clock], traces: list[Trace], predecessors: dict[int, int], watched: set[bytes]
) -> Iterator[tuple[Entry, bool]]:
    """All entries by the common clock, with `watched` messages received only after they are sent.

    The flag is set for an entry that was forced: it should have waited, but everything else waited too. `predecessors`
    maps a process to the one of the same instance before it.
    """
    streams = [trace.entries() for trace in traces]
    heads: dict[int, Entry] = {}  # by index of the stream
    heap: list[tuple[int, int]] = []
    waiting: dict[bytes, int] = {}  # message: the stream whose head waits for its sending
    successors: dict[int, list[int]] = {}  # stream: those that begin when it has ended
    sent: set[bytes] = set()

    def advance(index: int) -> None:
        entry = next(streams[index], None)
        if entry is None:
            for later in successors.pop(index, []):
                advance(later)
            return
        heads[index] = entry
        record = entry.record
        if record[0] == RECEIVED and record[2] in watched and record[2] not in sent:
            waiting[record[2]] = index
        else:
            heapq.heappush(heap, (clocks[index].common(entry.time), index))

    for index in range(len(streams)):
        if index in predecessors:
            successors.setdefault(predecessors[index], []).append(index)
    for index in range(len(streams)):
        if index not in predecessors:
            advance(index)
    while heap or waiting:
        forced = not heap
        if forced:
            message, index = min(waiting.items(), key=lambda item: (clocks[item[1]].common(heads[item[1]].time), item[1]))
            del waiting[message]
            now = clocks[index].common(heads[index].time)
        else:
            now, index = heapq.heappop(heap)
        entry = heads.pop(index)
        yield Entry(index, now, entry.record), forced
        if entry.record[0] == SENT and entry.record[2] in watched:
            sent.add(entry.record[2])
            receiver = waiting.pop(entry.record[2], None)
            if receiver is not None:
                heapq.heappush(heap, (max(now, clocks[receiver].common(heads[receiver].time)), receiver))
        advance(index)


def count_reordered(trace: Trace) -> tuple[int, int]:
    """Of a merged trace: the number of messages recorded by both sides, and how many of them are received before they
    are sent.
    """
    messages = reordered = 0
    unmatched: OrderedDict[tuple[bytes, int], int] = OrderedDict()
    for entry in trace.entries():
        code = entry.record[0]
        if code not in (SENT, RECEIVED):
            continue
        message = entry.record[2]
        other = unmatched.pop((message, RECEIVED + SENT - code), None)
        if other is None:
            unmatched[message, code] = entry.time
        else:
            messages += 1
            reordered += code == SENT
        while unmatched and next(iter(unmatched.values())) < entry.time - MATCH_HORIZON:
            unmatched.popitem(last=False)
    return messages, reordered


def _time_span(trace: Trace) -> tuple[int, int]:
    locations = trace.block_locations()
    if not locations:
        raise BadTraceError(f"{trace.name}: contains no records")
    return locations[0].summary.first_time, locations[-1].summary.last_time
