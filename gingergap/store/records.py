"""The records of the store: a kind, a key, and a body with a checksum of its own. No I/O.

The database protects its pages against torn writes; the checksum protects each record against any other corruption, so
that only the corrupt record is lost. Wall-clock times are in seconds since the epoch, durations in tenths of a millisecond.
The names of kinds and fields are part of the stored format.
"""

import zlib
from typing import Any, NamedTuple

import msgspec

SCHEMA_VERSION = 2
EXCHANGE, PAIR, CALLER, FIGURES, STANDING, TOKEN, ALIVE = "exchange", "pair", "caller", "figures", "standing", "token", "alive"


class BadRecordError(Exception):
    """A record that cannot be used. Its text is one line."""


class ExchangeRecord(msgspec.Struct):
    """An exchange: its last entry in the exchange list (`state` as in host.py, `started` as wall-clock time, 0 for long ago,
    `word_at` when the entry was received), its address, and what was learned about its processor (its fastest and recent
    set-up durations `quickest` and `took`, the age `took_ago` of the latter, and for how much longer it is not used as a
    tandem, `pressed_for`) and about the own trunk group to it."""

    number: int
    state: int
    started: float
    word_at: float
    address: str
    transport: str
    quickest: int = 1000
    took: int = 0
    took_ago: int = 0
    pressed_for: int = 0
    size: int = 0
    cap: float = 0.0
    accept_below: float = 0.0
    lower_below: float = 0.0


class TandemRecord(msgspec.Struct):
    """A tandem (by its exchange id) and a destination: for how much longer it is not tried (`left`), and the whole duration
    of that back-off (`span`). 0 and 0: it has set a dialog up to the destination."""

    left: int
    span: int


class CallerRecord(msgspec.Struct):
    """A caller that was not served: the wall-clock time of its first attempt, and the importance of its traffic type."""

    first: float
    worth: float


class RatesRecord(msgspec.Struct):
    """The best rate of set-ups (`best_rate`, dialogs established in ten seconds) and their average duration (`pace`)."""

    best_rate: float
    pace: float


class DialogRecord(msgspec.Struct):
    """An established dialog: traffic type (`kind`), circuits (`width`), the number of its destination (`far`), the id and
    the number of the exchange that its leg goes to, the wall-clock time since when it is established, and the tag of the
    called party. Its route is carried by its requests; the tags identify the dialog."""

    kind: int
    width: int
    far: int
    leg: str
    leg_number: int
    since: float
    transit: bool
    to_tag: str


class TokenRecord(msgspec.Struct):
    """The highest counter seen for the lease on a duty."""

    counter: int


class HeartbeatRecord(msgspec.Struct):
    """When the process last wrote, by the wall clock and by the monotonic clock of the machine, and the id of the machine's
    boot: after a restart within the same boot the elapsed time is known even if the wall clock was set."""

    wall: float
    monotonic: float
    boot: str
    instance: str
    started: float


RECORD_TYPES: dict[str, Any] = {
    EXCHANGE: ExchangeRecord,
    PAIR: TandemRecord,
    CALLER: CallerRecord,
    FIGURES: RatesRecord,
    STANDING: DialogRecord,
    TOKEN: TokenRecord,
    ALIVE: HeartbeatRecord,
}
ENCODER = msgspec.msgpack.Encoder()
DECODERS = {kind: msgspec.msgpack.Decoder(record_type) for kind, record_type in RECORD_TYPES.items()}


class Change(NamedTuple):
    """A record to insert or replace, or, with `body` None, to delete. Eviction removes the records with the oldest `seen`
    (wall-clock time) first."""

    kind: str
    key: str
    body: Any
    seen: float = 0.0


def encode_record(kind: str, key: str, body: Any) -> tuple[bytes, int]:
    """Returns the body's bytes and the checksum over kind, key and bytes."""
    data = ENCODER.encode(body)
    return data, checksum(kind, key, data)


def checksum(kind: str, key: str, data: bytes) -> int:
    return zlib.crc32(data, zlib.crc32(f"{kind}\0{key}".encode()))


def decode_record(kind: str, key: str, data: Any, check: Any) -> Any:
    """Returns the body. Raises BadRecordError, which names kind and key."""
    if kind not in DECODERS:
        raise BadRecordError(f"{kind} {key!r}: unknown kind")
    if not isinstance(data, bytes) or checksum(kind, key, data) != check:
        raise BadRecordError(f"{kind} {key!r}: wrong checksum")
    try:
        return DECODERS[kind].decode(data)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise BadRecordError(f"{kind} {key!r}: {error}") from None


def encode_key(*fields: Any) -> str:
    """A key of several fields, as a JSON array."""
    return msgspec.json.encode(list(fields)).decode()


def decode_key(key: str, count: int) -> list[Any]:
    """The fields of a key. Raises BadRecordError unless there are `count`."""
    try:
        fields = msgspec.json.decode(key, type=list)
    except (msgspec.MsgspecError, RecursionError):
        fields = []
    if len(fields) != count:
        raise BadRecordError(f"{key!r} is not a key of {count} fields")
    return fields
