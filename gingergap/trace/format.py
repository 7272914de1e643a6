"""The file: a magic line, then blocks, each on its own: kind, length, checksum, compressed payload. Append only.

    block    kind (1 byte), length of the payload (4, big endian), CRC-32 of kind, length and payload (4), payload
    HEADER   msgpack map: format, module, epoch, instance, wall and monotonic time of the start, figures
    EVENTS   zstandard of a msgpack array of records, after a plain frame: first and last time, how many, dialogs' range,
             and (from format 2) how many snapshots
    GAP      msgpack: first and last time, events lost
    INDEX    msgpack: where each EVENTS block is; the last block of a file that was closed in order

A file cut anywhere is read up to its last whole block, and the place of the break is named. A record is an array: a
code, then its fields. Events have their time first, actions have none: they belong to the event before them. Notes
(format 2) have their time first; the module never sees them, a replay passes them over. A merged trace has `sources`
in its header, and before the fields of each record the source's place and the time by the common clock.
"""

import struct
import zlib
from collections.abc import Iterator
from pathlib import Path
from typing import Any, BinaryIO, NamedTuple

import msgspec
import zstandard

MAGIC = b"gingergap trace\n"
FORMAT = 2
HEAD = struct.Struct(">BII")
FRAMES = {
    1: struct.Struct(">qqIqq"),  # first time, last time, records, lowest and highest dialog (-1: none)
    2: struct.Struct(">qqIqqI"),
}  # and snapshots
HEADER, EVENTS, GAP, INDEX = 1, 2, 3, 4
MOST_BLOCK = 16 << 20
MOST_RAW = 256 << 20

EVENT_NAMES = (
    "start",
    "tick",
    "peer_report_received",
    "exchange_list_received",
    "exchange_list_failed",
    "trunk_group_reported",
    "dialog_received",
    "dialog_established",
    "leg_ended",
    "dialog_cancelled",
)
ACTION_NAMES = ("send_leg", "cancel_leg", "decline", "abort", "schedule_tick", "send_to_peers", "subscribe")
# What the module does not see: its own state, bytes that left for or came from another proxy under an id that both
# know, a dialog turned away before it, the process running late, an operator's words.
NOTE_NAMES = ("snapshot", "sent", "came", "turned_away", "ran_late", "remark")
LATER_EVENT_NAMES = ("restore",)  # events that came when the actions had their codes already
FIRST_ACTION, FIRST_LATER, FIRST_NOTE = len(EVENT_NAMES), 24, 32
CODES = {name: code for code, name in enumerate((*EVENT_NAMES, *ACTION_NAMES))}
CODES |= {name: FIRST_LATER + place for place, name in enumerate(LATER_EVENT_NAMES)}
CODES |= {name: FIRST_NOTE + place for place, name in enumerate(NOTE_NAMES)}
NAMES = {code: name for name, code in CODES.items()}
SNAPSHOT = CODES["snapshot"]
DIALOG_AT = {
    CODES["dialog_received"]: 2,
    CODES["dialog_established"]: 2,
    CODES["leg_ended"]: 2,
    CODES["dialog_cancelled"]: 2,
    CODES["send_leg"]: 1,
    CODES["cancel_leg"]: 1,
    CODES["decline"]: 1,
    CODES["abort"]: 1,
    CODES["sent"]: 3,
    CODES["came"]: 3,
}
ENCODER, DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder()


class BadTraceError(Exception):
    """A file that is no trace, or one of a newer format; one plain line."""


class Source(msgspec.Struct):
    """One process's part of a merged trace. A time of its clock is `time + offset + drift * seconds since the merged
    trace's start` by the common clock, in tenths of a millisecond, true within `uncertain` either way (-1: unknown)."""

    module: str
    epoch: str
    instance: str
    wall: float
    started: int
    figures: dict[str, Any]
    offset: int = 0
    drift: float = 0.0
    uncertain: float = -1.0


class Header(msgspec.Struct):
    """What a replay needs beside the events. `figures` are the arguments that the module was made with. `part` counts
    the files of one process. A cut trace has the `window` (first and last time) that was asked for, within what a
    replay of it needs, and in `focus` the dialogs that were asked for; where it is `bare`, no replay is possible."""

    format: int
    module: str
    epoch: str
    instance: str
    wall: float
    started: int
    figures: dict[str, Any]
    part: int = 0
    whole: bool = True  # the first file begins where the process did
    sources: list[Source] = []
    window: tuple[int, int] | None = None
    focus: list[tuple[int, int]] = []  # (source, dialog)
    bare: bool = False


class Block(NamedTuple):
    kind: int
    at: int  # where it begins in the file
    payload: bytes


class Break(NamedTuple):
    """Where a file can be read no further, and why."""

    at: int
    why: str


class Stretch(NamedTuple):
    """An EVENTS block as its frame tells it."""

    first: int
    last: int
    records: int
    low: int
    high: int
    snapshots: int = 0


def is_event(code: int) -> bool:
    """Whether the module was told of it."""
    return code < FIRST_ACTION or FIRST_LATER <= code < FIRST_NOTE


def is_action(code: int) -> bool:
    """Whether the module asked for it."""
    return FIRST_ACTION <= code < FIRST_LATER


def timed(record: list[Any]) -> bool:
    """Whether a record carries its own time: actions don't."""
    return not is_action(record[0])


def pack(kind: int, payload: bytes) -> bytes:
    head = struct.pack(">BI", kind, len(payload))
    return head + struct.pack(">I", zlib.crc32(payload, zlib.crc32(head))) + payload


def events_block(records: list[list[Any]], sources: list[tuple[int, int]] | None = None) -> bytes:
    """Records in order, the first one with a time of its own. Of a merged trace, with source and common time of each."""
    if sources is None:
        first, last = records[0][1], next(record[1] for record in reversed(records) if timed(record))
    else:
        first, last = sources[0][1], sources[-1][1]
    low, high, snapshots = 1 << 62, -1, 0
    for record in records:
        at = DIALOG_AT.get(record[0])
        if at is not None:
            dialog = record[at]
            if dialog > high:
                high = dialog
            if 0 <= dialog < low:
                low = dialog
        elif record[0] == SNAPSHOT:
            snapshots += 1
    frame = FRAMES[FORMAT].pack(first, last, len(records), low if high >= 0 else -1, high, snapshots)
    held = records if sources is None else [[*source, *record] for source, record in zip(sources, records, strict=True)]
    return pack(EVENTS, frame + zstandard.ZstdCompressor(level=3).compress(ENCODER.encode(held)))


def stretch_of(payload: bytes, version: int = FORMAT) -> Stretch:
    return Stretch(*FRAMES[version].unpack_from(payload))


def records_of(payload: bytes, version: int = FORMAT) -> list[list[Any]]:
    """Raises BadTraceError for a payload that its checksum did not guard."""
    try:
        raw = zstandard.ZstdDecompressor().decompress(payload[FRAMES[version].size :], max_output_size=MOST_RAW)
        return DECODER.decode(raw)
    except (zstandard.ZstdError, msgspec.MsgspecError) as error:
        raise BadTraceError(f"a block can't be unpacked: {error}") from None


class Reader:
    """Reads a trace file block by block, in memory for one block. `broken` says where it ended, if not in order."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.broken: Break | None = None
        try:
            self.file: BinaryIO = path.open("rb")
        except OSError as error:
            raise BadTraceError(f"{path}: {error.strerror}") from None
        if self.file.read(len(MAGIC)) != MAGIC:
            self.file.close()
            raise BadTraceError(f"{path}: no trace file")
        first = self._next()
        if first is None or first.kind != HEADER:
            self.file.close()
            raise BadTraceError(f"{path}: broken before its header")
        try:
            self.version = version = msgspec.msgpack.decode(first.payload)["format"]
            if version not in FRAMES:
                self.file.close()
                raise BadTraceError(
                    f"{path}: format {version} is none of those that this program reads, up to {FORMAT}: the file is newer"
                )
            self.header = msgspec.msgpack.decode(first.payload, type=Header)
        except (msgspec.MsgspecError, KeyError, TypeError) as error:
            self.file.close()
            raise BadTraceError(f"{path}: header can't be read: {error}") from None
        self.start = self.file.tell()

    def close(self) -> None:
        self.file.close()

    def blocks(self) -> Iterator[Block]:
        """From the first block after the header to the end or the break."""
        self.file.seek(self.start)
        self.broken = None
        while (block := self._next()) is not None:
            yield block

    def records(self) -> Iterator[list[Any]]:
        """All records in order, of a merged trace with source and time before them. A gap comes as `["gap", first,
        last, lost]`."""
        for block in self.blocks():
            yield from self.unpacked(block)

    def unpacked(self, block: Block) -> Iterator[list[Any]]:
        if block.kind == EVENTS:
            yield from records_of(block.payload, self.version)
        elif block.kind == GAP:
            yield ["gap", *DECODER.decode(block.payload)]

    def stretches(self) -> list[tuple[int, Stretch]]:
        """Where each EVENTS block is, with its frame: from the index where the file has one, else by a scan of heads."""
        index = self._index()
        if index is not None:
            return index
        found = []
        for block in self.blocks():
            if block.kind == EVENTS:
                found.append((block.at, stretch_of(block.payload, self.version)))
        return found

    def block_at(self, at: int) -> Block | None:
        self.file.seek(at)
        return self._next()

    @staticmethod
    def block_size(block: Block) -> int:
        return HEAD.size + len(block.payload)

    def _index(self) -> list[tuple[int, Stretch]] | None:
        """The index at the end: its length stands in the last four bytes of its payload."""
        size = self.file.seek(0, 2)
        if size < self.start + HEAD.size + 4:
            return None
        self.file.seek(size - 4)
        length = int.from_bytes(self.file.read(4))
        at = size - length - HEAD.size
        if length < 4 or at < self.start:
            return None
        block = self.block_at(at)
        if block is None or block.kind != INDEX or self.file.tell() != size:
            self.broken = None
            return None
        return [(where, Stretch(*frame)) for where, frame in DECODER.decode(block.payload[:-4])]

    def _next(self) -> Block | None:
        at = self.file.tell()
        head = self.file.read(HEAD.size)
        if not head:
            return None
        if len(head) < HEAD.size:
            return self._break(at, "a block's head is cut off")
        kind, length, checksum = HEAD.unpack(head)
        if length > MOST_BLOCK or kind not in (HEADER, EVENTS, GAP, INDEX):
            return self._break(at, "what should be a block is none")
        payload = self.file.read(length)
        if len(payload) < length:
            return self._break(at, "a block is cut off")
        if zlib.crc32(payload, zlib.crc32(head[:5])) != checksum:
            return self._break(at, "a block's checksum is wrong")
        return Block(kind, at, payload)

    def _break(self, at: int, why: str) -> None:
        self.broken = Break(at, why)


class Writer:
    """Appends blocks to a new file; every block leaves in one write."""

    def __init__(self, path: Path, header: Header) -> None:
        self.path = path
        self.file = path.open("xb", buffering=0)
        self.index: list[tuple[int, tuple]] = []
        self.size = 0
        try:
            self._put(MAGIC + pack(HEADER, msgspec.msgpack.encode(header)))
        except OSError:
            self.file.close()
            path.unlink(missing_ok=True)  # else the next try under this name finds it taken, long after the disk has room
            raise

    def events(self, records: list[list[Any]], sources: list[tuple[int, int]] | None = None) -> None:
        data = events_block(records, sources)
        at = self.size
        self._put(data)
        self.index.append((at, tuple(stretch_of(data[HEAD.size :]))))

    def gap(self, first: int, last: int, lost: int, source: int | None = None) -> None:
        """`lost` events, -1 where nobody counted; of a merged trace, with the source's place."""
        fields = [first, last, lost] if source is None else [first, last, lost, source]
        self._put(pack(GAP, ENCODER.encode(fields)))

    def close(self) -> None:
        payload = ENCODER.encode(self.index)
        self._put(pack(INDEX, payload + (len(payload) + 4).to_bytes(4)))
        self.file.close()

    def _put(self, data: bytes) -> None:
        """Raises OSError; what a full disk took of a block is cut off again, so that later blocks can be read."""
        done = 0
        try:
            while done < len(data):
                done += self.file.write(data[done:])
        except OSError:
            self.file.truncate(self.size)
            self.file.seek(self.size)
            raise
        self.size += done
