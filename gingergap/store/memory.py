"""What of a running proxy is written down, and what of it counts at the next start. Decisions alone: no I/O, no clock.

Standing dialogs and the list's words are written as they change; what was learned is compared with what is kept, and
only what differs is written. At a start the age of everything follows from when the process last wrote: by the machine's
own clock where the boot is the same, else by the wall clock, and where that went back nobody knows. How age makes
knowledge count for less is the module's own matter (`restore` in call_controller.py).
"""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from ..host import GwState, KnownCaller, KnownExchange, KnownPair, Learned
from .records import (
    ALIVE,
    CALLER,
    ENCODER,
    EXCHANGE,
    FIGURES,
    PAIR,
    STANDING,
    TOKEN,
    BadRecordError,
    Change,
    KeptAlive,
    KeptCaller,
    KeptExchange,
    KeptFigures,
    KeptPair,
    KeptStanding,
    KeptToken,
    fields_of,
    parts,
)

UNIT = 10_000  # tenths of a millisecond in a second
UNKNOWN = -1
OLDEST = 400 * 86_400.0  # seconds: a wall clock that says more was set
WORTH_SECONDS = 10.0  # a caller's unit of importance keeps its record so much longer


class Word(NamedTuple):
    """What the list last told of an exchange. `started` and `at` are wall times, `address` host:port."""

    number: int
    state: int
    started: float
    at: float
    address: str
    transport: str


def word_of(body: KeptExchange) -> Word:
    return Word(body.number, body.state, body.started, body.word_at, body.address, body.transport)


class Recalled(NamedTuple):
    """What a start goes by. `age` in tenths of a millisecond, -1 unknown; `words` and `learned` name exchanges by id:
    `ids` gives the id for each gw in `learned`. `starts` are exchanges' starts as kept, wall time."""

    age: int
    words: dict[str, Word]
    learned: Learned
    ids: list[str]
    starts: dict[str, float]
    standing: dict[tuple[str, str], KeptStanding]
    tokens: dict[str, int]


class Memory:
    """One running proxy's. `word_lasts` in seconds: the list's word on an exchange counts for so long at a start.
    `worths` are the importances of the traffic types."""

    def __init__(self, word_lasts: float, most_callers: int, worths: list[float]) -> None:
        self.word_lasts, self.most_callers, self.worths = word_lasts, most_callers, worths
        self.kept: dict[tuple[str, str], bytes] = {}  # what the book holds, as far as it is compared
        self.pending: dict[tuple[str, str], Change] = {}
        self.words: dict[str, Word] = {}
        self.callers: set[str] = set()

    # --- what can happen ---

    def stood(self, call_id: str, tag: str, standing: KeptStanding) -> None:
        key = parts(call_id, tag)
        self.pending[STANDING, key] = Change(STANDING, key, standing, standing.since)

    def over(self, call_id: str, tag: str) -> None:
        """A dialog that stood is over; one whose record was never written leaves none."""
        key = parts(call_id, tag)
        self.pending[STANDING, key] = Change(STANDING, key, None)

    def known(self, id_: str, number: int, address: str, transport: str) -> None:
        """An exchange of the settings, of which the list has told nothing."""
        self.words.setdefault(id_, Word(number, GwState.READY, 0.0, 0.0, address, transport))

    def listed(self, id_: str, word: Word) -> None:
        """The list told of an exchange: written with what is known of it."""
        self.words[id_] = word
        self._exchange(id_, word, None)

    def token(self, duty: str, counter: int) -> None:
        """A counter was heard of for a duty."""
        self._put(TOKEN, duty, KeptToken(counter), 0.0)

    def learned(self, wall: float, told: Learned, ids: list[str]) -> None:
        """What the module knows now; `ids` by gw."""
        for known in told.exchanges:
            id_ = ids[known.gw]
            word = self.words.get(id_)
            if word is not None:
                self._exchange(id_, word, known)
        pairs = {parts(ids[pair.gw], pair.destination): pair for pair in told.pairs}
        for key, pair in pairs.items():
            self._put(PAIR, key, KeptPair(_coarse(pair.remaining), pair.duration), wall)
        for kind, key in list(self.kept):
            if kind == PAIR and key not in pairs:
                self._take(PAIR, key)
        self._put(FIGURES, "", KeptFigures(round(told.best_setup_rate, 1), round(told.average_setup)), wall)
        callers = {parts(caller.caller_number, caller.traffic_type, caller.destination): caller for caller in told.callers}
        for key, caller in callers.items():
            if key not in self.callers:
                worth = self.worths[caller.traffic_type] if caller.traffic_type < len(self.worths) else 1.0
                first = wall - caller.first_tried_ago / UNIT
                self.pending[CALLER, key] = Change(CALLER, key, KeptCaller(first, worth), first + WORTH_SECONDS * worth)
        for key in self.callers - callers.keys():
            self.pending[CALLER, key] = Change(CALLER, key, None)
        self.callers = set(callers)

    def forgotten(self, wall: float) -> None:
        """Words on machines that are long gone go from the book; rolling replacements would fill it with names."""
        for id_, word in list(self.words.items()):
            if word.state == GwState.GONE and wall - word.at > self.word_lasts:
                del self.words[id_]
                self._take(EXCHANGE, id_)

    def batch(self, alive: KeptAlive) -> list[Change]:
        """All that is to be written now, the sign of life last."""
        changes = list(self.pending.values())
        self.pending.clear()
        return [*changes, Change(ALIVE, "", alive, alive.wall)]

    def not_written(self, changes: Iterable[Change]) -> None:
        """A batch failed: it is to be written again, but for what has changed since."""
        for change in changes:
            if change.kind != ALIVE:
                self.pending.setdefault((change.kind, change.key), change)

    # --- how ---

    def _exchange(self, id_: str, word: Word, known: KnownExchange | None) -> None:
        body = KeptExchange(word.number, word.state, word.started, word.at, word.address, word.transport)
        if known is not None:
            body.quickest, body.took, body.took_ago = known.fastest_setup, known.recent_setup, _coarse(known.recent_setup_age)
            body.pressed_for, body.size = known.overloaded_for, known.size
            body.cap, body.accept_below, body.lower_below = known.cap, known.accept_below, known.lower_below
        self._put(EXCHANGE, id_, body, word.at)

    def _put(self, kind: str, key: str, body: Any, seen: float) -> None:
        data = ENCODER.encode(body)
        if self.kept.get((kind, key)) != data:
            self.kept[kind, key] = data
            self.pending[kind, key] = Change(kind, key, body, seen)

    def _take(self, kind: str, key: str) -> None:
        if self.kept.pop((kind, key), None) is not None:
            self.pending[kind, key] = Change(kind, key, None)


def _coarse(span: int) -> int:
    """A span in whole tenths of a second: it changes with every look, and each change is a record written."""
    return span - span % 1000


def age_of(alive: KeptAlive | None, wall: float, monotonic: float, boot: str) -> int:
    """How long ago the process last wrote, in tenths of a millisecond; -1 where no clock can say."""
    if alive is None:
        return UNKNOWN
    if boot and alive.boot == boot and monotonic >= alive.monotonic:
        return round((monotonic - alive.monotonic) * UNIT)
    passed = wall - alive.wall
    return round(passed * UNIT) if 0 <= passed <= OLDEST else UNKNOWN


def recalled(
    items: Callable[..., Iterable[Any]],
    wall: float,
    monotonic: float,
    boot: str,
    *,
    word_lasts: float,
    longest_dialog: float,
    caller_lasts: float,
    damage: list[str],
) -> Recalled:
    """What the records of a book come to at a start. `items(kind, since)` gives records with key, body and seen."""
    alive = next((item.body for item in items(ALIVE)), None)
    age = age_of(alive, wall, monotonic, boot)
    ids: list[str] = []
    places: dict[str, int] = {}

    def place(id_: str) -> int:
        if id_ not in places:
            places[id_] = len(ids)
            ids.append(id_)
        return places[id_]

    words, starts, exchanges = {}, {}, []
    for item in items(EXCHANGE):
        body = item.body
        starts[item.key] = body.started
        if age >= 0 and wall - body.word_at <= word_lasts:
            words[item.key] = word_of(body)
        exchanges.append(
            KnownExchange(
                place(item.key),
                0,
                body.quickest,
                body.took,
                body.took_ago,
                body.pressed_for,
                body.size,
                body.cap,
                body.accept_below,
                body.lower_below,
            )
        )
    pairs = []
    for item in items(PAIR):
        try:
            id_, destination = fields_of(item.key, 2)
            pairs.append(KnownPair(place(id_), int(destination), item.body.left, item.body.span))
        except (BadRecordError, ValueError, TypeError) as bad:
            damage.append(str(bad))
    callers = []
    if age >= 0:
        for item in items(CALLER, wall - caller_lasts):
            try:
                number, kind, far = fields_of(item.key, 3)
            except BadRecordError as bad:
                damage.append(str(bad))
                continue
            ago = round((wall - item.body.first) * UNIT) - age
            if 0 <= ago + age <= caller_lasts * UNIT:
                callers.append(KnownCaller(str(number), int(kind), int(far), max(0, ago)))
    figures = next((item.body for item in items(FIGURES)), KeptFigures(0.0, 0.0))
    standing = {}
    for item in items(STANDING):
        try:
            call_id, tag = fields_of(item.key, 2)
        except BadRecordError as bad:
            damage.append(str(bad))
            continue
        if age < 0 or wall - item.body.since <= longest_dialog:
            standing[call_id, tag] = item.body
    tokens = {item.key: item.body.counter for item in items(TOKEN)}
    learned = Learned(0, exchanges, pairs, callers, figures.best_rate, figures.pace)
    return Recalled(age, words, learned, ids, starts, standing, tokens)
