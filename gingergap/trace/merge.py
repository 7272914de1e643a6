"""Several proxies' traces in one, by one clock.

Always kept, whatever the clocks say: each proxy's own order, over its restarts too, and that nothing is received before
it is sent. Three passes, each streamed: find what crossed and estimate the clocks; see whether the estimate would still
turn a crossing round; write, and if one would be, hold back whatever waits for something that is not out yet. Only then
does memory grow with the crossings, by their ids.
"""

import hashlib
import heapq
from collections import OrderedDict
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

from .clocks import Estimate, Way, estimate
from .copy import Copy
from .format import CODES, FORMAT, BadTraceError, Header, Source
from .stream import Entry, Trace

SENT, CAME = CODES["sent"], CODES["received"]
SECOND = 10_000
HORIZON = 120 * SECOND  # a crossing whose other side has not come by then has none


class Merged(NamedTuple):
    """What came of it. `held_back`: crossings that the estimate would have turned round. `forced`: records let go although
    they were to wait, since all waited for one another: the traces contradict themselves. `given_up`: by how much the worst
    bound on the clocks was broken (tenths of a millisecond)."""

    records: int
    crossings: int
    held_back: int
    forced: int
    given_up: float
    sources: list[Source]


class Clock:
    """One process's clock as a line to the common one."""

    def __init__(self, source: Source, base: float) -> None:
        self.source = source
        self.shift = round((source.wall - base) * SECOND) - source.started  # by the wall clocks as they are
        self.found = Estimate(0.0, 0.0, 0.0)

    def rough(self, now: int) -> int:
        return now + self.shift

    def common(self, now: int) -> int:
        rough = now + self.shift
        return rough + round(self.found.offset + self.found.drift * rough / SECOND)


def crossings(clocks: list[Clock], traces: list[Trace]) -> Iterator[tuple[bytes, int, int, int, int]]:
    """Each thing that was sent here and received there: its id, sender and time, receiver and time, by their own clocks.
    Streamed side by side by the wall clocks; memory holds what crossed within the horizon."""
    waiting: OrderedDict[tuple[bytes, int], tuple[int, int, int]] = OrderedDict()

    def side(place: int) -> Iterator[tuple[int, int, Entry]]:
        for entry in traces[place].entries():
            if entry.record[0] in (SENT, CAME):
                yield clocks[place].rough(entry.now), place, entry

    for rough, place, entry in heapq.merge(*(side(place) for place in range(len(traces))), key=lambda item: item[:2]):
        code, now, crossed, _ = entry.record
        other = waiting.pop((crossed, CAME + SENT - code), None)
        if other is None:
            waiting[crossed, code] = rough, place, now
        elif other[1] != place:
            _, there, then = other
            yield (crossed, place, now, there, then) if code == SENT else (crossed, there, then, place, now)
        while waiting and next(iter(waiting.values()))[0] < rough - HORIZON:
            waiting.popitem(last=False)


def merge(traces: list[Trace], path: Path) -> Merged:
    """Raises BadTraceError."""
    for trace in traces:
        if trace.merged or trace.header.bare:
            raise BadTraceError(f"{trace.name}: a {'merged' if trace.merged else 'bare'} trace can't be merged")
    base = min(trace.header.wall for trace in traces)
    clocks = [Clock(trace.sources[0], base) for trace in traces]
    spans = [_span(trace) for trace in traces]
    # Processes of one instance in the order of their starts: all of one lies before all of the next.
    before = {
        later: early
        for early, later in zip(range(len(traces)), range(1, len(traces)), strict=False)
        if traces[early].header.instance == traces[later].header.instance
    }
    ways: dict[tuple[int, int], Way] = {}
    many = 0
    for _, sender, sent, receiver, received in crossings(clocks, traces):
        many += 1
        ways.setdefault((sender, receiver), Way()).add(clocks[sender].rough(sent), clocks[receiver].rough(received))
    after = [
        (early, clocks[early].rough(spans[early][1]), later, clocks[later].rough(spans[later][0]))
        for later, early in before.items()
    ]
    begin = min(clock.rough(span[0]) for clock, span in zip(clocks, spans, strict=True))
    end = max(clock.rough(span[1]) for clock, span in zip(clocks, spans, strict=True))
    found, given_up = estimate(len(clocks), ways, after, 0, end)
    for clock, one in zip(clocks, found, strict=True):
        clock.found = one
    turned = sum(
        clocks[sender].common(sent) >= clocks[receiver].common(received)
        for _, sender, sent, receiver, received in crossings(clocks, traces)
    )
    # Whoever is held back sends what it sends later too: once one crossing must wait, all are watched.
    watched = {crossed for crossed, *_ in crossings(clocks, traces)} if turned else set()
    sources = [
        Source(
            trace.header.module,
            trace.header.epoch,
            trace.header.instance,
            trace.header.wall,
            trace.header.started,
            trace.header.figures,
            round(clock.shift + clock.found.offset),
            round(clock.found.drift, 6),
            round(clock.found.uncertain, 2),
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
        whole=all(trace.whole for trace in traces),
    )
    copy = Copy(path, header)
    forced = 0
    last = begin
    for entry, pushed in ordered(clocks, traces, before, watched):
        last = max(last, entry.now)
        copy.put(entry._replace(now=last))
        forced += pushed
    copy.close()
    return Merged(copy.records, many, turned, forced, given_up, sources)


def ordered(clocks: list[Clock], traces: list[Trace], before: dict[int, int], watched: set[bytes]) -> Iterator[tuple[Entry, bool]]:
    """All entries by the common clock, `watched` crossings received only once they are sent; and whether one was let go
    that should have waited."""
    streams = [trace.entries() for trace in traces]
    heads: dict[int, Entry] = {}
    heap: list[tuple[int, int]] = []
    waiting: dict[bytes, int] = {}  # crossing: the place whose head waits for it
    behind: dict[int, list[int]] = {}  # place: those that begin when it is over
    sent: set[bytes] = set()

    def advance(place: int) -> None:
        entry = next(streams[place], None)
        if entry is None:
            for later in behind.pop(place, []):
                advance(later)
            return
        heads[place] = entry
        record = entry.record
        if record[0] == CAME and record[2] in watched and record[2] not in sent:
            waiting[record[2]] = place
        else:
            heapq.heappush(heap, (clocks[place].common(entry.now), place))

    for place in range(len(streams)):
        if place in before:
            behind.setdefault(before[place], []).append(place)
    for place in range(len(streams)):
        if place not in before:
            advance(place)
    while heap or waiting:
        pushed = not heap
        if pushed:
            crossed, place = min(waiting.items(), key=lambda item: (clocks[item[1]].common(heads[item[1]].now), item[1]))
            del waiting[crossed]
            now = clocks[place].common(heads[place].now)
        else:
            now, place = heapq.heappop(heap)
        entry = heads.pop(place)
        yield Entry(place, now, entry.record), pushed
        if entry.record[0] == SENT and entry.record[2] in watched:
            sent.add(entry.record[2])
            waits = waiting.pop(entry.record[2], None)
            if waits is not None:
                heapq.heappush(heap, (max(now, clocks[waits].common(heads[waits].now)), waits))
        advance(place)


def order(trace: Trace) -> tuple[int, int]:
    """Of a merged trace: how many crossings both sides of which are in it, and how many of them stand turned round."""
    many = turned = 0
    seen: OrderedDict[tuple[bytes, int], int] = OrderedDict()
    for entry in trace.entries():
        code = entry.record[0]
        if code not in (SENT, CAME):
            continue
        crossed = entry.record[2]
        other = seen.pop((crossed, CAME + SENT - code), None)
        if other is None:
            seen[crossed, code] = entry.now
        else:
            many += 1
            turned += code == SENT
        while seen and next(iter(seen.values())) < entry.now - HORIZON:
            seen.popitem(last=False)
    return many, turned


def _span(trace: Trace) -> tuple[int, int]:
    places = trace.places()
    if not places:
        raise BadTraceError(f"{trace.name}: nothing in it")
    return places[0].stretch.first, places[-1].stretch.last
