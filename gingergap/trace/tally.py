"""A trace in figures: what came, what stood, set-up times, and each far end's troubles, by spans of time. Pure.

One `Slice` for each span of each source; they are what the tables, the chart and the search for causes read.
"""

from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

from ..host import GwState, LegEnd, Rsn
from .format import CODES, Header, Source
from .stories import ABORT, CAME, DECLINE, DECLINED, GIVEN_UP, LEG_ENDED, SEND, STANDS, STOOD, Leg, Stories, Story
from .stream import Entry

TICK, EXCHANGE_LIST_RECEIVED, EXCHANGE_LIST_FAILED, TRUNK_GROUP_REPORTED, TURNED_AWAY, RAN_LATE = (
    CODES[name]
    for name in ("tick", "exchange_list_received", "exchange_list_failed", "trunk_group_reported", "turned_away", "ran_late")
)
LONGEST = 600_000_000  # microseconds in a histogram
STANDSTILL = 2_500  # 250 ms in which nothing happened: the module's own beat comes fifty times a second
AFTER = 10_000  # dialogs that come within a second after a standstill meet what it left behind
OVERTAKES = 300  # 30 ms: legs that left so close to one another may change places on the way


def histogram() -> HdrHistogram:
    """Of microseconds, three digits."""
    return HdrHistogram(1, LONGEST, 3)


class Far:
    """What happened with legs to one far end in a span: how they ended, how long they were out."""

    __slots__ = (
        "legs",
        "ends",
        "set_ups",
        "stood",
        "refused",
        "overtaken",
        "asked",
        "lost",
        "lost_full",
        "lost_kept",
        "lost_silent",
        "listed_late",
    )

    def __init__(self) -> None:
        self.legs = self.stood = 0
        self.overtaken = 0  # legs still out when a later one to the same machine was answered
        self.asked = self.lost = 0  # dialogs for it, and those that did not stand in time
        self.lost_full = 0  # of these, no circuit was free when they came or when they were given up
        self.lost_kept = 0  # of these, no leg was sent although circuits were free
        self.lost_silent = 0  # of these, all was done that could be, and no answer came
        self.listed_late = -1  # by how much the list told its new start late
        self.ends: Counter[LegEnd] = Counter()
        self.refused: Counter[int] = Counter()  # reasons of those that came back full
        self.set_ups: list[int] = []  # of legs that stood


class Slice:
    """One span of one source. Dialogs count in the span of their arrival, legs in that of their start; in transit ones
    are apart: they are another proxy's dialogs too."""

    __slots__ = (
        "source",
        "begin",
        "came",
        "worth",
        "earned",
        "stood",
        "late",
        "declined",
        "aborted",
        "given_up",
        "no_leg",
        "in_transit",
        "transit_refused",
        "turned_away",
        "standstill",
        "beats",
        "lateness",
        "exchange_list_failed",
        "far",
        "causes",
        "after_standstill",
    )

    def __init__(self, source: int, begin: int) -> None:
        self.source, self.begin = source, begin
        self.came = self.stood = self.late = self.declined = self.aborted = self.given_up = self.no_leg = 0
        self.worth = self.earned = 0.0
        self.in_transit = self.transit_refused = self.turned_away = self.exchange_list_failed = self.beats = 0
        self.standstill = 0  # the longest time between two things that happened
        self.lateness = 0  # the most that a timer was late
        self.after_standstill = 0  # dialogs lost that came while nothing happened, or soon after it
        self.far: dict[int, Far] = {}
        self.causes: Counter[str] = Counter()

    @property
    def lost(self) -> int:
        """Dialogs that did not stand in time, and those turned away at the door."""
        return self.came - self.stood + self.late + self.turned_away

    def at(self, number: int) -> Far:
        far = self.far.get(number)
        if far is None:
            far = self.far[number] = Far()
        return far


class Tally:
    """Takes entries in order. `span` in tenths of a millisecond."""

    def __init__(self, sources: list[Source] | list[Header], span: int) -> None:
        self.sources, self.span = sources, span
        self.stories = Stories(sources)
        self.slices: list[dict[int, Slice]] = [{} for _ in sources]
        self.heard: list[int] = [-1] * len(sources)
        self.states: list[dict[int, tuple[int, int]]] = [{} for _ in sources]  # gw: state and start, as last listed
        self.free: list[dict[int, int]] = [{} for _ in sources]  # circuits to each exchange number, as last told
        self.out: list[dict[int, dict[int, int]]] = [{} for _ in sources]  # gw: dialog: when its leg left
        self.short: dict[tuple[int, int], bool] = {}  # dialogs that came when no circuit was free
        self.still_until = [-1] * len(sources)  # the end of the last standstill
        self.set_up = {True: histogram(), False: histogram()}  # direct, over a tandem
        self.answered = histogram()  # from arrival to final answer of those that did not stand
        self.causes: Counter[str] = Counter()
        self.by_kind: dict[int, Counter[str]] = {}
        self.gaps = 0
        self.first = self.last = -1

    def take(self, entry: Entry) -> None:
        source, now, record = entry
        self.first = now if self.first < 0 else self.first
        self.last = max(self.last, now)
        code = record[0]
        here = self.slice(source, now)
        heard = self.heard[source]
        if code == "gap":
            self.gaps += 1
        elif heard >= 0 and now - heard > 0:
            self._quiet(source, heard, now)
        self.heard[source] = -1 if code == "gap" else now  # what a gap held is not known to be silence
        if code == TICK:
            here.beats += 1
        elif code == EXCHANGE_LIST_RECEIVED:
            self._listed(here, source, now, record[2])
        elif code == EXCHANGE_LIST_FAILED:
            here.exchange_list_failed += 1
        elif code == TRUNK_GROUP_REPORTED:
            self._told(source, record[2], record[3], record[4])
        elif code == TURNED_AWAY:
            here.turned_away += 1
        elif code == RAN_LATE:
            here.lateness = max(here.lateness, record[2])
        story = self.stories.take(entry)
        if story is not None:
            self._step(here, source, now, record, story)
        for story in self.stories.over():
            self._over(story)

    def end(self) -> None:
        """The trace is over: what is still open counts as such."""
        for story in self.stories.open():
            self._over(story)

    def all_slices(self) -> list[Slice]:
        return [one for by_begin in self.slices for _, one in sorted(by_begin.items())]

    def usual(self) -> int:
        """The median set-up of a direct dialog, in tenths of a millisecond."""
        return round(self.set_up[True].get_value_at_percentile(50) / 100)

    def objective(self) -> int:
        """The shortest setup objective of any source."""
        return min(kind[0] for source in self.sources for kind in source.figures["types"])

    def slice(self, source: int, now: int) -> Slice:
        begin = now - now % self.span
        found = self.slices[source].get(begin)
        if found is None:
            found = self.slices[source][begin] = Slice(source, begin)
        return found

    def _quiet(self, source: int, since: int, until: int) -> None:
        """Nothing at all happened between two times: each span that it touches is told."""
        length = until - since
        if length < self.span // 20:
            return
        begin = since - since % self.span
        while begin <= until:
            one = self.slice(source, begin)
            one.standstill = max(one.standstill, length)
            begin += self.span
        if length >= STANDSTILL:
            self.still_until[source] = until

    def _listed(self, here: Slice, source: int, now: int, entries: list[list[Any]]) -> None:
        states = self.states[source]
        for gw, number, state, started in entries:
            known = states.get(gw)
            if state == GwState.READY and started > 0 and (known is None or started > known[1]) and states:
                far = here.at(number)
                far.listed_late = max(far.listed_late, now - started)
            states[gw] = (state, max(started, known[1] if known else 0))

    def _told(self, source: int, gw: int, free: int, size: int) -> None:
        if size >= 0:
            self.free[source][self.stories.numbers[source].get(gw, -1)] = free

    def _step(self, here: Slice, source: int, now: int, record: list[Any], story: Story) -> None:
        """A record of a dialog: circuits when it came, and legs that others overtake."""
        code, key = record[0], (source, story.dialog)
        if code == CAME:
            if self.free[source].get(story.far, story.width) < story.width:
                self.short[key] = True
            if now - self.still_until[source] <= AFTER and self.still_until[source] >= 0:
                self.short.setdefault((-1 - source, story.dialog), True)
        elif code == SEND:
            self.out[source].setdefault(record[2], {})[story.dialog] = now
        elif code in (STANDS, LEG_ENDED) and story.legs:
            leg = story.legs[-1]
            out = self.out[source].get(leg.gw, {})
            left = out.pop(story.dialog, None)
            if code == LEG_ENDED:
                self._told(source, record[3], record[7], record[8])
            answered = code == STANDS or leg.how in (LegEnd.BUSY, LegEnd.FULL)
            if left is not None and answered:
                for dialog, sent in list(out.items()):
                    if sent < left - OVERTAKES:
                        del out[dialog]  # once is enough
                        if left - sent > self.objective():
                            continue  # so long ago that another machine may answer there now
                        self.slice(source, sent).at(leg.number).overtaken += 1
        elif code in (DECLINE, ABORT) and self.free[source].get(story.far, story.width) < story.width:
            self.short[key] = True

    def _over(self, story: Story) -> None:
        here = self.slice(story.source, story.came)
        types = self.sources[story.source].figures["types"]
        objective, importance = types[story.kind][0], types[story.kind][3]
        for leg in story.legs:
            self._leg(story, leg)
        if story.transit:
            here.in_transit += 1
            here.transit_refused += story.final == DECLINED
            return
        here.came += 1
        here.worth += importance
        short = self.short.pop((story.source, story.dialog), False)
        still = self.short.pop((-1 - story.source, story.dialog), False)
        far = here.at(story.far)
        far.asked += 1
        busy = story.legs and story.legs[-1].how == LegEnd.BUSY or story.final == GIVEN_UP and story.took < objective
        if (story.final != STOOD or story.took > objective) and not busy:  # lines in use and short tempers are nobody's fault
            far.lost += 1
            far.lost_full += short
            far.lost_kept += not short and not story.legs and not story.redialled  # redials are judged, full or not
            far.lost_silent += not short and bool(story.legs) and story.legs[-1].how != LegEnd.FULL
            here.after_standstill += still or here.standstill >= STANDSTILL
        kind = self.by_kind.setdefault(story.kind, Counter())
        kind["came"] += 1
        cause = story.cause()
        if cause:
            self.causes[cause] += 1
            here.causes[cause] += 1
            kind[story.final if story.final != STOOD else "cut"] += 1
        if story.final == STOOD:
            here.stood += 1
            kind["stood"] += 1
            if story.took > objective:
                here.late += 1
                kind["late"] += 1
            else:
                here.earned += importance
                kind["in time"] += 1
            direct = story.legs[-1].number == story.far if story.legs else True
            self.set_up[direct].record_value(min(LONGEST, max(1, story.took * 100)))
            return
        here.declined += story.final == DECLINED
        here.given_up += story.final == GIVEN_UP
        here.aborted += story.final == "aborted"
        here.no_leg += not story.legs
        if story.took >= 0:
            self.answered.record_value(min(LONGEST, max(1, story.took * 100)))

    def _leg(self, story: Story, leg: Leg) -> None:
        far = self.slice(story.source, leg.sent).at(leg.number)
        far.legs += 1
        if leg.stood >= 0:
            far.stood += 1
            if leg.number == story.far:
                far.set_ups.append(leg.set_up)
            if leg.how == LegEnd.CUT:
                far.ends[leg.how] += 1
        elif leg.how is not None:
            far.ends[leg.how] += 1
            if leg.how == LegEnd.FULL:
                far.refused[leg.rsn if leg.rsn in set(Rsn) else Rsn.PROCESSOR_FULL] += 1
