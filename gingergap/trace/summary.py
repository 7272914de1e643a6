"""Summarises a trace: arrivals, outcomes, set-up times, and each destination's failures, by intervals of time. No I/O.

There is one `TimeSlice` for each interval of each source; the tables, the chart and the search for causes read them.
Times are tenths of a millisecond unless stated otherwise.
"""

from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

from ..host import GwState, LegEnd, Rsn
from .format import CODES, Header, Source
from .stream import Entry
from .timeline import (
    ABORT,
    DECLINE,
    DECLINED,
    DIALOG_ESTABLISHED,
    DIALOG_RECEIVED,
    ESTABLISHED,
    GIVEN_UP,
    LEG_ENDED,
    SEND_LEG,
    DialogTimeline,
    LegTimeline,
    TimelineBuilder,
)

TICK, EXCHANGE_LIST_RECEIVED, EXCHANGE_LIST_FAILED, TRUNK_GROUP_REPORTED, DIALOG_REJECTED, RAN_LATE = (
    CODES[name]
    for name in ("tick", "exchange_list_received", "exchange_list_failed", "trunk_group_reported", "dialog_rejected", "ran_late")
)
MAX_DURATION_US = 600_000_000  # the largest value of a histogram
STANDSTILL = 2_500  # 250 ms without any record: the module's own timer fires fifty times a second
STANDSTILL_AFTERMATH = 10_000  # dialogs that arrive within a second after a standstill meet the backlog it left
OVERTAKING_TOLERANCE = 300  # 30 ms: legs sent so close to one another may be reordered in the network


def histogram() -> HdrHistogram:
    """Of microseconds, three significant digits."""
    return HdrHistogram(1, MAX_DURATION_US, 3)


class DestinationStats:
    """The dialogs and legs to one destination in an interval: how the legs ended, how long they were out."""

    __slots__ = (
        "legs",
        "ends",
        "setup_durations",
        "established",
        "refusals",
        "overtaken",
        "dialogs",
        "lost",
        "lost_no_circuit",
        "lost_held_back",
        "lost_unanswered",
        "listing_delay",
    )

    def __init__(self) -> None:
        self.legs = self.established = 0
        self.overtaken = 0  # legs still out when a later one to the same machine was answered
        self.dialogs = self.lost = 0  # dialogs to it, and those that were not established in time
        self.lost_no_circuit = 0  # of those lost: no circuit was free when they arrived or were given up
        self.lost_held_back = 0  # of those lost: no leg was sent although circuits were free
        self.lost_unanswered = 0  # of those lost: legs were sent, circuits were free, and no answer came
        self.listing_delay = -1  # how long after its new start the list announced it
        self.ends: Counter[LegEnd] = Counter()
        self.refusals: Counter[int] = Counter()  # by reason, of legs that ended as FULL
        self.setup_durations: list[int] = []  # of established legs


class TimeSlice:
    """One interval of one source.

    Dialogs count in the interval of their arrival, legs in that of their start. Dialogs in transit are counted apart,
    since they are another proxy's dialogs too.
    """

    __slots__ = (
        "source",
        "begin",
        "arrived",
        "importance_offered",
        "importance_served",
        "established",
        "late",
        "declined",
        "aborted",
        "given_up",
        "no_leg",
        "in_transit",
        "transit_refused",
        "turned_away",
        "standstill",
        "ticks",
        "lateness",
        "exchange_list_failed",
        "destinations",
        "causes",
        "lost_after_standstill",
    )

    def __init__(self, source: int, begin: int) -> None:
        self.source, self.begin = source, begin
        self.arrived = self.established = self.late = self.declined = self.aborted = self.given_up = self.no_leg = 0
        self.importance_offered = self.importance_served = 0.0
        self.in_transit = self.transit_refused = self.turned_away = self.exchange_list_failed = self.ticks = 0
        self.standstill = 0  # the longest time without any record
        self.lateness = 0  # the largest delay of a timer
        self.lost_after_standstill = 0  # dialogs lost that arrived during a standstill or soon after it
        self.destinations: dict[int, DestinationStats] = {}
        self.causes: Counter[str] = Counter()

    @property
    def lost(self) -> int:
        """Dialogs that were not established in time, and those turned away by the proxy before the module saw them."""
        return self.arrived - self.established + self.late + self.turned_away

    def destination(self, number: int) -> DestinationStats:
        stats = self.destinations.get(number)
        if stats is None:
            stats = self.destinations[number] = DestinationStats()
        return stats


class TraceSummary:
    """Summarises entries that are added in order. `interval` is the length of a slice."""

    def __init__(self, sources: list[Source] | list[Header], interval: int) -> None:
        self.sources, self.interval = sources, interval
        self.timeline_builder = TimelineBuilder(sources)
        self.slices: list[dict[int, TimeSlice]] = [{} for _ in sources]
        self.last_record_at: list[int] = [-1] * len(sources)
        self.exchange_states: list[dict[int, tuple[int, int]]] = [{} for _ in sources]  # gw: state and start, as last listed
        self.free_circuits: list[dict[int, int]] = [{} for _ in sources]  # by exchange number, as last reported
        self.legs_out: list[dict[int, dict[int, int]]] = [{} for _ in sources]  # gw: dialog: when its leg was sent
        # Keys are (source, dialog) of dialogs that met no free circuit, and (-1 - source, dialog) of those that arrived
        # during or soon after a standstill.
        self.marked: dict[tuple[int, int], bool] = {}
        self.standstill_ended_at = [-1] * len(sources)
        self.setup_histograms = {True: histogram(), False: histogram()}  # direct, over a tandem
        self.failure_histogram = histogram()  # from arrival to final answer of dialogs that were not established
        self.causes: Counter[str] = Counter()
        self.by_traffic_type: dict[int, Counter[str]] = {}
        self.gaps = 0
        self.first_time = self.last_time = -1

    def add(self, entry: Entry) -> None:
        source, now, record = entry
        self.first_time = now if self.first_time < 0 else self.first_time
        self.last_time = max(self.last_time, now)
        code = record[0]
        time_slice = self.slice_at(source, now)
        last_record_at = self.last_record_at[source]
        if code == "gap":
            self.gaps += 1
        elif last_record_at >= 0 and now - last_record_at > 0:
            self._add_silence(source, last_record_at, now)
        self.last_record_at[source] = -1 if code == "gap" else now  # a gap is not known to be a silence
        if code == TICK:
            time_slice.ticks += 1
        elif code == EXCHANGE_LIST_RECEIVED:
            self._add_listing(time_slice, source, now, record[2])
        elif code == EXCHANGE_LIST_FAILED:
            time_slice.exchange_list_failed += 1
        elif code == TRUNK_GROUP_REPORTED:
            self._set_free_circuits(source, record[2], record[3], record[4])
        elif code == DIALOG_REJECTED:
            time_slice.turned_away += 1
        elif code == RAN_LATE:
            time_slice.lateness = max(time_slice.lateness, record[2])
        timeline = self.timeline_builder.add(entry)
        if timeline is not None:
            self._add_dialog_record(time_slice, source, now, record, timeline)
        for timeline in self.timeline_builder.take_finished():
            self._add_timeline(timeline)

    def finish(self) -> None:
        """Ends the trace: dialogs that are still open are counted as such."""
        for timeline in self.timeline_builder.unfinished():
            self._add_timeline(timeline)

    def all_slices(self) -> list[TimeSlice]:
        """All slices by source and time."""
        return [time_slice for by_begin in self.slices for _, time_slice in sorted(by_begin.items())]

    def median_setup(self) -> int:
        """The median set-up time of a direct dialog, in tenths of a millisecond."""
        return round(self.setup_histograms[True].get_value_at_percentile(50) / 100)

    def shortest_objective(self) -> int:
        """The shortest setup objective of any source, in tenths of a millisecond."""
        return min(traffic_type[0] for source in self.sources for traffic_type in source.figures["types"])

    def slice_at(self, source: int, now: int) -> TimeSlice:
        begin = now - now % self.interval
        found = self.slices[source].get(begin)
        if found is None:
            found = self.slices[source][begin] = TimeSlice(source, begin)
        return found

    def _add_silence(self, source: int, since: int, until: int) -> None:
        """Enters a time without any record in each slice that it touches."""
        length = until - since
        if length < self.interval // 20:
            return
        begin = since - since % self.interval
        while begin <= until:
            time_slice = self.slice_at(source, begin)
            time_slice.standstill = max(time_slice.standstill, length)
            begin += self.interval
        if length >= STANDSTILL:
            self.standstill_ended_at[source] = until

    def _add_listing(self, time_slice: TimeSlice, source: int, now: int, entries: list[list[Any]]) -> None:
        states = self.exchange_states[source]
        for gw, number, state, started in entries:
            known = states.get(gw)
            if state == GwState.READY and started > 0 and (known is None or started > known[1]) and states:
                stats = time_slice.destination(number)
                stats.listing_delay = max(stats.listing_delay, now - started)
            states[gw] = (state, max(started, known[1] if known else 0))

    def _set_free_circuits(self, source: int, gw: int, free: int, size: int) -> None:
        if size >= 0:
            self.free_circuits[source][self.timeline_builder.exchange_numbers[source].get(gw, -1)] = free

    def _add_dialog_record(self, time_slice: TimeSlice, source: int, now: int, record: list[Any], timeline: DialogTimeline) -> None:
        """Notes from a dialog's record whether circuits were free, and which legs were overtaken by later ones."""
        code, key = record[0], (source, timeline.dialog)
        if code == DIALOG_RECEIVED:
            if self.free_circuits[source].get(timeline.destination, timeline.circuits) < timeline.circuits:
                self.marked[key] = True
            if now - self.standstill_ended_at[source] <= STANDSTILL_AFTERMATH and self.standstill_ended_at[source] >= 0:
                self.marked.setdefault((-1 - source, timeline.dialog), True)
        elif code == SEND_LEG:
            self.legs_out[source].setdefault(record[2], {})[timeline.dialog] = now
        elif code in (DIALOG_ESTABLISHED, LEG_ENDED) and timeline.legs:
            leg = timeline.legs[-1]
            legs_out = self.legs_out[source].get(leg.gw, {})
            sent_at = legs_out.pop(timeline.dialog, None)
            if code == LEG_ENDED:
                self._set_free_circuits(source, record[3], record[7], record[8])
            answered = code == DIALOG_ESTABLISHED or leg.end in (LegEnd.BUSY, LegEnd.FULL)
            if sent_at is not None and answered:
                for dialog, earlier_sent_at in list(legs_out.items()):
                    if earlier_sent_at < sent_at - OVERTAKING_TOLERANCE:
                        del legs_out[dialog]  # each leg counts once
                        if sent_at - earlier_sent_at > self.shortest_objective():
                            continue  # so long ago that another machine may answer there now
                        self.slice_at(source, earlier_sent_at).destination(leg.exchange).overtaken += 1
        elif (
            code in (DECLINE, ABORT) and self.free_circuits[source].get(timeline.destination, timeline.circuits) < timeline.circuits
        ):
            self.marked[key] = True

    def _add_timeline(self, timeline: DialogTimeline) -> None:
        time_slice = self.slice_at(timeline.source, timeline.arrived_at)
        types = self.sources[timeline.source].figures["types"]
        objective, importance = types[timeline.traffic_type][0], types[timeline.traffic_type][3]
        for leg in timeline.legs:
            self._add_leg(timeline, leg)
        if timeline.transit:
            time_slice.in_transit += 1
            time_slice.transit_refused += timeline.outcome == DECLINED
            return
        time_slice.arrived += 1
        time_slice.importance_offered += importance
        no_circuit = self.marked.pop((timeline.source, timeline.dialog), False)
        standstill = self.marked.pop((-1 - timeline.source, timeline.dialog), False)
        stats = time_slice.destination(timeline.destination)
        stats.dialogs += 1
        caller_side = (
            timeline.legs
            and timeline.legs[-1].end == LegEnd.BUSY
            or timeline.outcome == GIVEN_UP
            and timeline.final_answer_delay < objective
        )
        # Busy lines and callers that give up before the setup objective are not failures of the network.
        if (timeline.outcome != ESTABLISHED or timeline.final_answer_delay > objective) and not caller_side:
            stats.lost += 1
            stats.lost_no_circuit += no_circuit
            # A redial may be refused by admission control whether circuits are free or not.
            stats.lost_held_back += not no_circuit and not timeline.legs and not timeline.redialled
            stats.lost_unanswered += not no_circuit and bool(timeline.legs) and timeline.legs[-1].end != LegEnd.FULL
            time_slice.lost_after_standstill += standstill or time_slice.standstill >= STANDSTILL
        counts = self.by_traffic_type.setdefault(timeline.traffic_type, Counter())
        counts["came"] += 1
        cause = timeline.failure_cause()
        if cause:
            self.causes[cause] += 1
            time_slice.causes[cause] += 1
            counts[timeline.outcome if timeline.outcome != ESTABLISHED else "cut"] += 1
        if timeline.outcome == ESTABLISHED:
            time_slice.established += 1
            counts["stood"] += 1
            if timeline.final_answer_delay > objective:
                time_slice.late += 1
                counts["late"] += 1
            else:
                time_slice.importance_served += importance
                counts["in time"] += 1
            direct = timeline.legs[-1].exchange == timeline.destination if timeline.legs else True
            self.setup_histograms[direct].record_value(min(MAX_DURATION_US, max(1, timeline.final_answer_delay * 100)))
            return
        time_slice.declined += timeline.outcome == DECLINED
        time_slice.given_up += timeline.outcome == GIVEN_UP
        time_slice.aborted += timeline.outcome == "aborted"
        time_slice.no_leg += not timeline.legs
        if timeline.final_answer_delay >= 0:
            self.failure_histogram.record_value(min(MAX_DURATION_US, max(1, timeline.final_answer_delay * 100)))

    def _add_leg(self, timeline: DialogTimeline, leg: LegTimeline) -> None:
        stats = self.slice_at(timeline.source, leg.sent_at).destination(leg.exchange)
        stats.legs += 1
        if leg.established_at >= 0:
            stats.established += 1
            if leg.exchange == timeline.destination:
                stats.setup_durations.append(leg.setup_duration)
            if leg.end == LegEnd.CUT:
                stats.ends[leg.end] += 1
        elif leg.end is not None:
            stats.ends[leg.end] += 1
            if leg.end == LegEnd.FULL:
                stats.refusals[leg.rsn if leg.rsn in set(Rsn) else Rsn.PROCESSOR_FULL] += 1
