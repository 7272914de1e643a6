"""What became of each dialog, put together from a trace's entries: arrival, legs, waits, the final answer, the end.

Pure: entries go in in order, stories come out when a dialog is over. Memory holds the dialogs that are not over.
"""

from collections.abc import Iterator
from typing import Any

from ..host import LegEnd, Rsn
from .format import CODES, FIRST_NOTE, Header, Source
from .stream import Entry, Trace

(EXCHANGE_LIST_RECEIVED, CAME, STANDS, LEG_ENDED, GONE, SEND, DECLINE, ABORT) = (
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
SENT, CAME_BY = CODES["sent"], CODES["came"]
STOOD, DECLINED, ABORTED, GIVEN_UP, OPEN = "stood", "declined", "aborted", "given up", "open"


class Leg:
    """One leg: `number` is that of the exchange it went to, -1 where the list never told. Times in tenths of a
    millisecond; `ended` -1 while it is out, `stood` -1 where it never did."""

    __slots__ = ("gw", "number", "sent", "limit", "stood", "ended", "how", "rsn", "free", "size", "place", "crossing")

    def __init__(self, gw: int, number: int, sent: int, limit: int, place: int) -> None:
        self.gw, self.number, self.sent, self.limit, self.place = gw, number, sent, limit, place
        self.stood = self.ended = -1
        self.how: LegEnd | None = None
        self.rsn, self.free, self.size = 0, -1, -1
        self.crossing = b""  # the id under which the other side knows it

    @property
    def set_up(self) -> int:
        """How long the leg was out unanswered, -1 while it is."""
        over = self.stood if self.stood >= 0 else self.ended
        return over - self.sent if over >= 0 else -1


class Story:
    """One dialog. `place` is where its arrival stands among all records."""

    __slots__ = (
        "source",
        "dialog",
        "kind",
        "far",
        "width",
        "number",
        "transit",
        "redialled",
        "came",
        "expires",
        "place",
        "legs",
        "final",
        "final_at",
        "ended",
        "last",
        "crossing",
        "hold_off",
    )

    def __init__(self, source: int, place: int, record: list[Any]) -> None:
        (_, self.came, self.dialog, self.kind, self.far, self.width, self.number, expires_in, self.transit, self.redialled, *_) = (
            record
        )
        self.source, self.place = source, place
        self.expires = self.came + expires_in
        self.legs: list[Leg] = []
        self.final, self.final_at, self.ended, self.last = OPEN, -1, -1, self.came
        self.crossing = b""  # of the leg of another proxy that it came by
        self.hold_off = 0

    def touches(self, number: int) -> bool:
        return self.far == number or any(leg.number == number for leg in self.legs)

    @property
    def took(self) -> int:
        """From arrival to final answer, -1 without one."""
        return self.final_at - self.came if self.final_at >= 0 else -1

    def waits(self) -> list[tuple[int, int]]:
        """Spans without a leg out and without an answer: first and last time of each."""
        found, at = [], self.came
        for leg in self.legs:
            if leg.sent > at:
                found.append((at, leg.sent))
            at = leg.ended if leg.ended >= 0 and leg.stood < 0 else self.final_at if self.final_at >= 0 else self.last
        end = self.final_at if self.final_at >= 0 else self.last
        if end > at:
            found.append((at, end))
        return found

    def cause(self) -> str:
        """Why it did not stand, as its own records tell."""
        if self.final == STOOD:
            return "cut" if self.legs and self.legs[-1].how == LegEnd.CUT else ""
        if self.final == GIVEN_UP:
            return "given up by the caller"
        if self.final == OPEN:
            return "still open"
        last = self.legs[-1] if self.legs else None
        if last is None:
            return "no leg: refused in transit" if self.transit else "no leg: no way free in time"
        if last.how is None:
            return "time was up with a leg out"
        if last.how == LegEnd.FULL:
            return f"full: {Rsn(last.rsn).name.lower().replace('_', ' ')}" if last.rsn in set(Rsn) else f"full: {last.rsn}"
        return last.how.name.lower().replace("_", " ")


class Stories:
    """Reads entries in order. `numbers` holds, for each source, which exchange number a gw has."""

    def __init__(self, sources: list[Source] | list[Header]) -> None:
        self.sources = sources
        self.numbers: list[dict[int, int]] = [{} for _ in sources]
        self.held: dict[tuple[int, int], Story] = {}
        self.done: list[Story] = []
        self.came_by: dict[tuple[int, int], bytes] = {}  # a dialog's crossing is told just before it comes
        self.place = 0  # of the next record among all; gaps are none
        self.here = [source.figures.get("here", -1) for source in sources]

    def take(self, entry: Entry) -> Story | None:
        """One entry; the story that it belongs to, if any."""
        source, now, record = entry
        code = record[0]
        if code == "gap":
            self._lost(source)
            return None
        place = self.place
        self.place += 1
        if code == CAME:
            story = self.held[source, record[2]] = Story(source, place, [code, now, *record[2:]])
            story.crossing = self.came_by.pop((source, record[2]), b"")
            return story
        if code == EXCHANGE_LIST_RECEIVED:
            for gw, number, _, _ in record[2]:
                self.numbers[source][gw] = number
            return None
        if code not in KNOWN:
            return None
        at = 1 if code in (SEND, DECLINE, ABORT) else 3 if code >= FIRST_NOTE else 2
        story = self.held.get((source, record[at]))
        if story is None and code == CAME_BY and record[3] >= 0:
            self.came_by[source, record[3]] = record[2]
            if len(self.came_by) > 1000:  # of dialogs whose arrival was lost
                del self.came_by[next(iter(self.came_by))]
        if story is None:
            return None
        story.last = now
        if code == SEND:
            gw = record[2]
            story.legs.append(Leg(gw, self.numbers[source].get(gw, -1), now, record[3], place))
        elif code == STANDS:
            if story.legs:
                story.legs[-1].stood = now
            story.final, story.final_at = STOOD, now
        elif code == LEG_ENDED:
            self._leg_ended(story, now, record)
        elif code == DECLINE:
            story.hold_off = record[2]
            self._final(story, DECLINED, now)
        elif code == ABORT:
            self._final(story, ABORTED, now)
        elif code == GONE:
            self._final(story, GIVEN_UP, now)
        elif code == SENT and not story.transit and story.legs and not story.legs[-1].crossing:
            story.legs[-1].crossing = record[2]  # in transit it is the answer that was sent
        return story

    def over(self) -> Iterator[Story]:
        """The stories that have come to an end since the last asking."""
        done, self.done = self.done, []
        yield from done

    def open(self) -> Iterator[Story]:
        """Those that have not, at the end of the trace."""
        yield from self.held.values()

    def _leg_ended(self, story: Story, now: int, record: list[Any]) -> None:
        _, _, _, gw, how, rsn, _, free, size = record
        for leg in reversed(story.legs):
            if leg.gw == gw and leg.how is None:
                leg.how, leg.rsn, leg.free, leg.size, leg.ended = LegEnd(how), rsn, free, size, now
                break
        if story.final == STOOD:
            story.ended = now
        if story.final != OPEN and all(leg.how is not None for leg in story.legs):
            self._close(story)

    def _final(self, story: Story, how: str, now: int) -> None:
        if story.final == OPEN:
            story.final, story.final_at = how, now
        if all(leg.how is not None for leg in story.legs):
            self._close(story)

    def _close(self, story: Story) -> None:
        if self.held.pop((story.source, story.dialog), None) is not None:
            self.done.append(story)

    def _lost(self, source: int) -> None:
        """A gap may have held the end of any dialog: those before it are given out as they stand."""
        for key in [key for key in self.held if key[0] == source]:
            self.done.append(self.held.pop(key))


def stories_of(trace: Trace) -> Iterator[Story]:
    """Each dialog of a trace once, as it comes to its end or the trace does."""
    stories = Stories(trace.sources)
    for entry in trace.entries():
        stories.take(entry)
        yield from stories.over()
    yield from stories.open()


KNOWN = frozenset({STANDS, LEG_ENDED, GONE, SEND, DECLINE, ABORT, SENT, CAME_BY})
