"""Which state of a running proxy is written to the store, and what of it is restored at the next start. No I/O, no clock.

Established dialogs and entries of the exchange list are written as they change. What was learned is compared with what was
written, and only differences are written. At a start the age of the state follows from when the process last wrote: by
the machine's monotonic clock if the boot is the same, else by the wall clock; if that went backwards the age is unknown.
How much less old knowledge counts is decided by the call controller (`restore` in call_controller.py).
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
    CallerRecord,
    Change,
    DialogRecord,
    ExchangeRecord,
    HeartbeatRecord,
    RatesRecord,
    TandemRecord,
    TokenRecord,
    decode_key,
    encode_key,
)

SECOND = 10_000  # in tenths of a millisecond
UNKNOWN_AGE = -1
MAX_AGE_SECONDS = 400 * 86_400.0  # a larger difference means that the wall clock was set
RETENTION_PER_IMPORTANCE = 10.0  # seconds by which each unit of importance postpones the eviction of a caller


class ListedExchange(NamedTuple):
    """The last entry for an exchange in the exchange list. `started` and `listed_at` are wall-clock times in seconds,
    `address` is host:port."""

    number: int
    state: int
    started: float
    listed_at: float
    address: str
    transport: str


def listed_exchange(record: ExchangeRecord) -> ListedExchange:
    return ListedExchange(record.number, record.state, record.started, record.word_at, record.address, record.transport)


class RestoredState(NamedTuple):
    """The state at a start. `age` is in tenths of a millisecond, -1 if unknown. `listed` and `starts` are by exchange id;
    `exchange_ids` gives the id for each gw in `learned`. `starts` are wall-clock times of the exchanges' starts, as stored."""

    age: int
    listed: dict[str, ListedExchange]
    learned: Learned
    exchange_ids: list[str]
    starts: dict[str, float]
    dialogs: dict[tuple[str, str], DialogRecord]
    token_counters: dict[str, int]


class StateRecorder:
    """Collects the changes of one running proxy. `list_validity` is how long, in seconds, an entry of the exchange list is
    restored and how long that of a gone exchange is kept; `importances` are those of the traffic types."""

    def __init__(self, list_validity: float, max_callers: int, importances: list[float]) -> None:
        self.list_validity, self.max_callers, self.importances = list_validity, max_callers, importances
        self.written: dict[tuple[str, str], bytes] = {}  # encoded records that later ones are compared with
        self.pending: dict[tuple[str, str], Change] = {}
        self.listed: dict[str, ListedExchange] = {}
        self.callers: set[str] = set()

    # --- events ---

    def dialog_established(self, call_id: str, tag: str, record: DialogRecord) -> None:
        key = encode_key(call_id, tag)
        self.pending[STANDING, key] = Change(STANDING, key, record, record.since)

    def dialog_ended(self, call_id: str, tag: str) -> None:
        """An established dialog ended. If its record was not written yet, none will be."""
        key = encode_key(call_id, tag)
        self.pending[STANDING, key] = Change(STANDING, key, None)

    def exchange_configured(self, id_: str, number: int, address: str, transport: str) -> None:
        """An exchange of the settings, for which no entry of the list has been received."""
        self.listed.setdefault(id_, ListedExchange(number, GwState.READY, 0.0, 0.0, address, transport))

    def exchange_listed(self, id_: str, entry: ListedExchange) -> None:
        """An entry of the exchange list was received."""
        self.listed[id_] = entry
        self._put_exchange(id_, entry, None)

    def record_token(self, duty: str, counter: int) -> None:
        """The highest counter seen for the lease on a duty."""
        self._put(TOKEN, duty, TokenRecord(counter), 0.0)

    def record_learned(self, wall: float, learned: Learned, exchange_ids: list[str]) -> None:
        """What the call controller has learned so far; `exchange_ids` by gw."""
        for known in learned.exchanges:
            id_ = exchange_ids[known.gw]
            entry = self.listed.get(id_)
            if entry is not None:
                self._put_exchange(id_, entry, known)
        pairs = {encode_key(exchange_ids[pair.gw], pair.destination): pair for pair in learned.pairs}
        for key, pair in pairs.items():
            self._put(PAIR, key, TandemRecord(_round_down(pair.remaining), pair.duration), wall)
        for kind, key in list(self.written):
            if kind == PAIR and key not in pairs:
                self._delete(PAIR, key)
        self._put(FIGURES, "", RatesRecord(round(learned.best_setup_rate, 1), round(learned.average_setup)), wall)
        callers = {encode_key(caller.caller_number, caller.traffic_type, caller.destination): caller for caller in learned.callers}
        for key, caller in callers.items():
            if key not in self.callers:
                importance = self.importances[caller.traffic_type] if caller.traffic_type < len(self.importances) else 1.0
                first = wall - caller.first_tried_ago / SECOND
                self.pending[CALLER, key] = Change(
                    CALLER, key, CallerRecord(first, importance), first + RETENTION_PER_IMPORTANCE * importance
                )
        for key in self.callers - callers.keys():
            self.pending[CALLER, key] = Change(CALLER, key, None)
        self.callers = set(callers)

    def drop_expired_exchanges(self, wall: float) -> None:
        """Delete the records of exchanges that are long gone: rolling replacements would fill the store with their ids."""
        for id_, entry in list(self.listed.items()):
            if entry.state == GwState.GONE and wall - entry.listed_at > self.list_validity:
                del self.listed[id_]
                self._delete(EXCHANGE, id_)

    def take_batch(self, heartbeat: HeartbeatRecord) -> list[Change]:
        """Returns all pending changes, the heartbeat last, and clears them."""
        changes = list(self.pending.values())
        self.pending.clear()
        return [*changes, Change(ALIVE, "", heartbeat, heartbeat.wall)]

    def restore_batch(self, changes: Iterable[Change]) -> None:
        """A batch could not be written: its changes are pending again, except those that were superseded meanwhile."""
        for change in changes:
            if change.kind != ALIVE:
                self.pending.setdefault((change.kind, change.key), change)

    # --- changes ---

    def _put_exchange(self, id_: str, entry: ListedExchange, known: KnownExchange | None) -> None:
        record = ExchangeRecord(entry.number, entry.state, entry.started, entry.listed_at, entry.address, entry.transport)
        if known is not None:
            record.quickest, record.took, record.took_ago = (
                known.fastest_setup,
                known.recent_setup,
                _round_down(known.recent_setup_age),
            )
            record.pressed_for, record.size = known.overloaded_for, known.size
            record.cap, record.accept_below, record.lower_below = known.cap, known.accept_below, known.lower_below
        self._put(EXCHANGE, id_, record, entry.listed_at)

    def _put(self, kind: str, key: str, record: Any, seen: float) -> None:
        data = ENCODER.encode(record)
        if self.written.get((kind, key)) != data:
            self.written[kind, key] = data
            self.pending[kind, key] = Change(kind, key, record, seen)

    def _delete(self, kind: str, key: str) -> None:
        if self.written.pop((kind, key), None) is not None:
            self.pending[kind, key] = Change(kind, key, None)


def _round_down(duration: int) -> int:
    """To whole tenths of a second: the exact value differs each time, and each difference is written as a record."""
    return duration - duration % 1000


def age_of(heartbeat: HeartbeatRecord | None, wall: float, monotonic: float, boot: str) -> int:
    """The time since the process last wrote, in tenths of a millisecond, or -1 if no clock can tell."""
    if heartbeat is None:
        return UNKNOWN_AGE
    if boot and heartbeat.boot == boot and monotonic >= heartbeat.monotonic:
        return round((monotonic - heartbeat.monotonic) * SECOND)
    elapsed = wall - heartbeat.wall
    return round(elapsed * SECOND) if 0 <= elapsed <= MAX_AGE_SECONDS else UNKNOWN_AGE


def restore_state(
    items: Callable[..., Iterable[Any]],
    wall: float,
    monotonic: float,
    boot: str,
    *,
    list_validity: float,
    max_dialog_age: float,
    caller_retention: float,
    damage: list[str],
) -> RestoredState:
    """The state that the records of a store describe. `items(kind, since)` returns records with key, body and seen. Durations
    are in seconds. Unusable records are skipped and reported in `damage`."""
    heartbeat = next((item.body for item in items(ALIVE)), None)
    age = age_of(heartbeat, wall, monotonic, boot)
    exchange_ids: list[str] = []
    gws: dict[str, int] = {}

    def gw_of(id_: str) -> int:
        if id_ not in gws:
            gws[id_] = len(exchange_ids)
            exchange_ids.append(id_)
        return gws[id_]

    listed, starts, exchanges = {}, {}, []
    for item in items(EXCHANGE):
        record = item.body
        starts[item.key] = record.started
        if age >= 0 and wall - record.word_at <= list_validity:
            listed[item.key] = listed_exchange(record)
        exchanges.append(
            KnownExchange(
                gw_of(item.key),
                0,
                record.quickest,
                record.took,
                record.took_ago,
                record.pressed_for,
                record.size,
                record.cap,
                record.accept_below,
                record.lower_below,
            )
        )
    pairs = []
    for item in items(PAIR):
        try:
            id_, destination = decode_key(item.key, 2)
            pairs.append(KnownPair(gw_of(id_), int(destination), item.body.left, item.body.span))
        except (BadRecordError, ValueError, TypeError) as bad:
            damage.append(str(bad))
    callers = []
    if age >= 0:
        for item in items(CALLER, wall - caller_retention):
            try:
                number, traffic_type, destination = decode_key(item.key, 3)
            except BadRecordError as bad:
                damage.append(str(bad))
                continue
            ago = round((wall - item.body.first) * SECOND) - age
            if 0 <= ago + age <= caller_retention * SECOND:
                callers.append(KnownCaller(str(number), int(traffic_type), int(destination), max(0, ago)))
    rates = next((item.body for item in items(FIGURES)), RatesRecord(0.0, 0.0))
    dialogs = {}
    for item in items(STANDING):
        try:
            call_id, tag = decode_key(item.key, 2)
        except BadRecordError as bad:
            damage.append(str(bad))
            continue
        if age < 0 or wall - item.body.since <= max_dialog_age:
            dialogs[call_id, tag] = item.body
    token_counters = {item.key: item.body.counter for item in items(TOKEN)}
    learned = Learned(0, exchanges, pairs, callers, rates.best_rate, rates.pace)
    return RestoredState(age, listed, learned, exchange_ids, starts, dialogs, token_counters)
