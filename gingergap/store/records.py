"""What is kept, as records: a kind, a key, a body with a checksum of its own. Pure.

The database guards its pages against a torn write; the checksum guards a record against everything else, so that a
part that is corrupt loses that part alone. Wall times in seconds, spans in tenths of a millisecond.
"""

import zlib
from typing import Any, NamedTuple

import msgspec

SCHEMA_VERSION = 2
EXCHANGE, PAIR, CALLER, FIGURES, STANDING, TOKEN, ALIVE = "exchange", "pair", "caller", "figures", "standing", "token", "alive"


class BadRecordError(Exception):
    """A record that can't be used; one plain line."""


class ExchangeRecord(msgspec.Struct):
    """An exchange: the list's last word on it (`state` as in host.py, `started` wall time, 0 long ago, `word_at` when it
    was told), where it is, and what was learned of its processor and of the own group to it."""

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
    """A tandem (by its id) and a destination: for how much longer it is passed over, and the span; 0 and 0: it carries."""

    left: int
    span: int


class CallerRecord(msgspec.Struct):
    """A caller not served: the wall time of its first try, and what its traffic type is worth."""

    first: float
    worth: float


class RatesRecord(msgspec.Struct):
    """Rates of the module, as it has them."""

    best_rate: float
    pace: float


class DialogRecord(msgspec.Struct):
    """A dialog that stands: traffic type, circuits, the exchange it goes to, that of its leg (id and number), since when,
    and until when it is remembered at the longest. Its route is in its requests; its tags tell which dialog they are of."""

    kind: int
    width: int
    far: int
    leg: str
    leg_number: int
    since: float
    transit: bool
    to_tag: str


class TokenRecord(msgspec.Struct):
    """The highest counter heard of for a duty."""

    counter: int


class HeartbeatRecord(msgspec.Struct):
    """When the process last wrote, by the wall clock and by the machine's since its boot, and in which boot: where the
    boot is the same, how long ago is known whatever became of the wall clock."""

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
DECODERS = {kind: msgspec.msgpack.Decoder(form) for kind, form in RECORD_TYPES.items()}


class Change(NamedTuple):
    """A record to be put, or with no body to be taken away. `seen` is the wall time by which old ones go first."""

    kind: str
    key: str
    body: Any
    seen: float = 0.0


def packed(kind: str, key: str, body: Any) -> tuple[bytes, int]:
    """The body's bytes and the checksum over kind, key and bytes."""
    data = ENCODER.encode(body)
    return data, checksum(kind, key, data)


def checksum(kind: str, key: str, data: bytes) -> int:
    return zlib.crc32(data, zlib.crc32(f"{kind}\0{key}".encode()))


def unpacked(kind: str, key: str, data: Any, check: Any) -> Any:
    """Raises BadRecordError, naming kind and key."""
    if kind not in DECODERS:
        raise BadRecordError(f"{kind} {key!r}: an unknown kind")
    if not isinstance(data, bytes) or checksum(kind, key, data) != check:
        raise BadRecordError(f"{kind} {key!r}: its checksum is wrong")
    try:
        return DECODERS[kind].decode(data)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise BadRecordError(f"{kind} {key!r}: {error}") from None


def encode_key(*fields: Any) -> str:
    """Several fields as one key."""
    return msgspec.json.encode(list(fields)).decode()


def decode_key(key: str, many: int) -> list[Any]:
    """And back. Raises BadRecordError."""
    try:
        found = msgspec.json.decode(key, type=list)
    except (msgspec.MsgspecError, RecursionError):
        found = []
    if len(found) != many:
        raise BadRecordError(f"{key!r} is no key of {many} fields")
    return found
