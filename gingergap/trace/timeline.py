"""Reconstructs each dialog from a trace's entries: arrival, legs, waits, final answer and end.

Entries are added in order, and timelines come out once a dialog has ended. Memory holds the dialogs that are still open.
No I/O. Times are tenths of a millisecond.
"""

from collections.abc import Iterator
from typing import Any

from ..host import LegEnd, Rsn
from .format import CODES, FIRST_NOTE, Header, Source
from .stream import Entry, Trace

(EXCHANGE_LIST_RECEIVED, DIALOG_RECEIVED, DIALOG_ESTABLISHED, LEG_ENDED, DIALOG_CANCELLED, SEND_LEG, DECLINE, ABORT) = (
    CODES[name]
    for name in (
        "exchange_list_received",
        "dialog_received",
        "dialog_established",
        "leg_ended",
        "dialog_cancelled",
        "send_leg",
        "decline",
        "abort",
    )
)
MESSAGE_SENT, MESSAGE_RECEIVED = CODES["sent"], CODES["received"]
ESTABLISHED, DECLINED, ABORTED, GIVEN_UP, OPEN = "stood", "declined", "aborted", "given up", "open"


class LegTimeline:
    """One leg. `exchange` is the number of the exchange it went to, -1 if the list never named it.

    `ended_at` is -1 while the leg is out, `established_at` -1 if it was never established.
    """

    __slots__ = (
        "gw",
        "exchange",
        "sent_at",
        "limit",
        "established_at",
        "ended_at",
        "end",
        "rsn",
        "free",
        "size",
        "record_index",
        "message_id",
    )

    def __init__(self, gw: int, exchange: int, sent_at: int, limit: int, record_index: int) -> None:
        self.gw, self.exchange, self.sent_at, self.limit, self.record_index = gw, exchange, sent_at, limit, record_index
        self.established_at = self.ended_at = -1
        self.end: LegEnd | None = None
        self.rsn, self.free, self.size = 0, -1, -1
        self.message_id = b""  # by which the trace of the proxy that received it names it

    @property
    def setup_duration(self) -> int:
        """Time from sending the leg to its establishment or end, -1 while it is out unanswered."""
        answered_at = self.established_at if self.established_at >= 0 else self.ended_at
        return answered_at - self.sent_at if answered_at >= 0 else -1


class DialogTimeline:
    """One dialog. `record_index` is the index of its arrival among all records of the trace."""

    __slots__ = (
        "source",
        "dialog",
        "traffic_type",
        "destination",
        "circuits",
        "caller_number",
        "transit",
        "redialled",
        "arrived_at",
        "expires_at",
        "record_index",
        "legs",
        "outcome",
        "final_at",
        "ended_at",
        "last_record_at",
        "message_id",
        "hold_off",
    )

    def __init__(self, source: int, record_index: int, record: list[Any]) -> None:
        (
            _,
            self.arrived_at,
            self.dialog,
            self.traffic_type,
            self.destination,
            self.circuits,
            self.caller_number,
            expires_in,
            self.transit,
            self.redialled,
            *_,
        ) = record
        self.source, self.record_index = source, record_index
        self.expires_at = self.arrived_at + expires_in
        self.legs: list[LegTimeline] = []
        self.outcome, self.final_at, self.ended_at, self.last_record_at = OPEN, -1, -1, self.arrived_at
        self.message_id = b""  # of the leg of another proxy by which it arrived
        self.hold_off = 0

    def involves(self, exchange: int) -> bool:
        """Whether the exchange is the destination or the dialog had a leg to it."""
        return self.destination == exchange or any(leg.exchange == exchange for leg in self.legs)

    @property
    def final_answer_delay(self) -> int:
        """Time from arrival to final answer, -1 without one."""
        return self.final_at - self.arrived_at if self.final_at >= 0 else -1

    def waits(self) -> list[tuple[int, int]]:
        """First and last time of each period before the final answer in which no leg was out."""
        found, begin = [], self.arrived_at
        for leg in self.legs:
            if leg.sent_at > begin:
                found.append((begin, leg.sent_at))
            begin = (
                leg.ended_at
                if leg.ended_at >= 0 and leg.established_at < 0
                else self.final_at
                if self.final_at >= 0
                else self.last_record_at
            )
        end = self.final_at if self.final_at >= 0 else self.last_record_at
        if end > begin:
            found.append((begin, end))
        return found

    def failure_cause(self) -> str:
        """Why the dialog failed as far as its own records tell; empty if it did not."""
        if self.outcome == ESTABLISHED:
            return "cut" if self.legs and self.legs[-1].end == LegEnd.CUT else ""
        if self.outcome == GIVEN_UP:
            return "given up by the caller"
        if self.outcome == OPEN:
            return "still open"
        last = self.legs[-1] if self.legs else None
        if last is None:
            return "no leg: refused in transit" if self.transit else "no leg: no way free in time"
        if last.end is None:
            return "time was up with a leg out"
        if last.end == LegEnd.FULL:
            return f"full: {Rsn(last.rsn).name.lower().replace('_', ' ')}" if last.rsn in set(Rsn) else f"full: {last.rsn}"
        return last.end.name.lower().replace("_", " ")


class TimelineBuilder:
    """Builds timelines from entries in order. `exchange_numbers` maps, for each source, a gw to its exchange number."""

    def __init__(self, sources: list[Source] | list[Header]) -> None:
        self.sources = sources
        self.exchange_numbers: list[dict[int, int]] = [{} for _ in sources]
        self.open_dialogs: dict[tuple[int, int], DialogTimeline] = {}  # by (source, dialog)
        self.finished: list[DialogTimeline] = []
        self.arrival_ids: dict[tuple[int, int], bytes] = {}  # message ids: their notes precede the dialogs' arrivals
        self.record_index = 0  # of the next record among all; gaps do not count
        self.own_exchanges = [source.figures.get("here", -1) for source in sources]

    def add(self, entry: Entry) -> DialogTimeline | None:
        """Adds an entry; returns the timeline it belongs to, if any."""
        source, now, record = entry
        code = record[0]
        if code == "gap":
            self._finish_all(source)
            return None
        record_index = self.record_index
        self.record_index += 1
        if code == DIALOG_RECEIVED:
            timeline = self.open_dialogs[source, record[2]] = DialogTimeline(source, record_index, [code, now, *record[2:]])
            timeline.message_id = self.arrival_ids.pop((source, record[2]), b"")
            return timeline
        if code == EXCHANGE_LIST_RECEIVED:
            for gw, number, _, _ in record[2]:
                self.exchange_numbers[source][gw] = number
            return None
        if code not in TIMELINE_CODES:
            return None
        field = 1 if code in (SEND_LEG, DECLINE, ABORT) else 3 if code >= FIRST_NOTE else 2
        timeline = self.open_dialogs.get((source, record[field]))
        if timeline is None and code == MESSAGE_RECEIVED and record[3] >= 0:
            self.arrival_ids[source, record[3]] = record[2]
            if len(self.arrival_ids) > 1000:  # those left over belong to dialogs whose arrival was lost
                del self.arrival_ids[next(iter(self.arrival_ids))]
        if timeline is None:
            return None
        timeline.last_record_at = now
        if code == SEND_LEG:
            gw = record[2]
            timeline.legs.append(LegTimeline(gw, self.exchange_numbers[source].get(gw, -1), now, record[3], record_index))
        elif code == DIALOG_ESTABLISHED:
            if timeline.legs:
                timeline.legs[-1].established_at = now
            timeline.outcome, timeline.final_at = ESTABLISHED, now
        elif code == LEG_ENDED:
            self._end_leg(timeline, now, record)
        elif code == DECLINE:
            timeline.hold_off = record[2]
            self._set_outcome(timeline, DECLINED, now)
        elif code == ABORT:
            self._set_outcome(timeline, ABORTED, now)
        elif code == DIALOG_CANCELLED:
            self._set_outcome(timeline, GIVEN_UP, now)
        elif code == MESSAGE_SENT and not timeline.transit and timeline.legs and not timeline.legs[-1].message_id:
            timeline.legs[-1].message_id = record[2]  # in transit the message that was sent is the answer
        return timeline

    def take_finished(self) -> Iterator[DialogTimeline]:
        """The timelines that have ended since the last call."""
        finished, self.finished = self.finished, []
        yield from finished

    def unfinished(self) -> Iterator[DialogTimeline]:
        """The timelines still open at the end of the trace."""
        yield from self.open_dialogs.values()

    def _end_leg(self, timeline: DialogTimeline, now: int, record: list[Any]) -> None:
        _, _, _, gw, end, rsn, _, free, size = record
        for leg in reversed(timeline.legs):
            if leg.gw == gw and leg.end is None:
                leg.end, leg.rsn, leg.free, leg.size, leg.ended_at = LegEnd(end), rsn, free, size, now
                break
        if timeline.outcome == ESTABLISHED:
            timeline.ended_at = now
        if timeline.outcome != OPEN and all(leg.end is not None for leg in timeline.legs):
            self._finish(timeline)

    def _set_outcome(self, timeline: DialogTimeline, outcome: str, now: int) -> None:
        if timeline.outcome == OPEN:
            timeline.outcome, timeline.final_at = outcome, now
        if all(leg.end is not None for leg in timeline.legs):
            self._finish(timeline)

    def _finish(self, timeline: DialogTimeline) -> None:
        if self.open_dialogs.pop((timeline.source, timeline.dialog), None) is not None:
            self.finished.append(timeline)

    def _finish_all(self, source: int) -> None:
        """Finishes a source's dialogs as they are: a gap may contain the end of any of them."""
        for key in [key for key in self.open_dialogs if key[0] == source]:
            self.finished.append(self.open_dialogs.pop(key))


def dialog_timelines(trace: Trace) -> Iterator[DialogTimeline]:
    """Each dialog of a trace once, when it ends or at the end of the trace."""
    builder = TimelineBuilder(trace.sources)
    for entry in trace.entries():
        builder.add(entry)
        yield from builder.take_finished()
    yield from builder.unfinished()


TIMELINE_CODES = frozenset(
    {DIALOG_ESTABLISHED, LEG_ENDED, DIALOG_CANCELLED, SEND_LEG, DECLINE, ABORT, MESSAGE_SENT, MESSAGE_RECEIVED}
)
