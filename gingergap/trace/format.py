"""The file: a magic line, then blocks, each on its own: kind, length, checksum, compressed payload. Append only.

    block    kind (1 byte), length of the payload (4, big endian), CRC-32 of kind, length and payload (4), payload
    HEADER   msgpack map: format, module, epoch, instance, wall and monotonic time of the start, figures
    EVENTS   zstandard of a msgpack array of records, after a plain frame: first and last time, how many, dialogs' range
    GAP      msgpack: first and last time, events lost
    INDEX    msgpack: where each EVENTS block is; the last block of a file that was closed in order

A file cut anywhere is read up to its last whole block, and the place of the break is named. A record is an array: a
code, then its fields. Events have their time first, actions have none: they belong to the event before them.
"""

import struct
import zlib
from collections.abc import Iterator
from pathlib import Path
from typing import Any, BinaryIO, NamedTuple

import msgspec
import zstandard

MAGIC = b"gingergap trace\n"
FORMAT = 1
HEAD = struct.Struct(">BII")
FRAME = struct.Struct(">qqIqq")  # first time, last time, records, lowest and highest dialog (-1: none)
HEADER, EVENTS, GAP, INDEX = 1, 2, 3, 4
MOST_BLOCK = 16 << 20
MOST_RAW = 256 << 20

EVENT_NAMES = ("begin", "beat", "peer_told", "list_pushed", "list_failed", "group_told", "dialog_came", "dialog_stands",
               "leg_ended", "dialog_gone")
ACTION_NAMES = ("send_leg", "cancel_leg", "decline", "abort", "wake_after", "tell_all", "subscribe")
CODES = {name: code for code, name in enumerate((*EVENT_NAMES, *ACTION_NAMES))}
NAMES = {code: name for name, code in CODES.items()}
FIRST_ACTION = len(EVENT_NAMES)
DIALOG_AT = {CODES["dialog_came"]: 2, CODES["dialog_stands"]: 2, CODES["leg_ended"]: 2, CODES["dialog_gone"]: 2,
             CODES["send_leg"]: 1, CODES["cancel_leg"]: 1, CODES["decline"]: 1, CODES["abort"]: 1}
ENCODER, DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder()


class BadTraceError(Exception):
    """A file that is no trace, or one of a newer format; one plain line."""


class Header(msgspec.Struct):
    """What a replay needs beside the events. `figures` are the arguments that the module was made with."""

    format: int
    module: str
    epoch: str
    instance: str
    wall: float
    started: int
    figures: dict[str, Any]


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


def pack(kind: int, payload: bytes) -> bytes:
    head = struct.pack(">BI", kind, len(payload))
    return head + struct.pack(">I", zlib.crc32(payload, zlib.crc32(head))) + payload


def events_block(records: list[list[Any]]) -> bytes:
    """Records in order, the first an event."""
    times = [record[1] for record in records if record[0] < FIRST_ACTION]
    dialogs = [record[DIALOG_AT[record[0]]] for record in records if record[0] in DIALOG_AT]
    frame = FRAME.pack(times[0], times[-1], len(records), min(dialogs, default=-1), max(dialogs, default=-1))
    return pack(EVENTS, frame + zstandard.ZstdCompressor(level=3).compress(ENCODER.encode(records)))


def stretch_of(payload: bytes) -> Stretch:
    return Stretch(*FRAME.unpack_from(payload))


def records_of(payload: bytes) -> list[list[Any]]:
    """Raises BadTraceError for a payload that its checksum did not guard."""
    try:
        raw = zstandard.ZstdDecompressor().decompress(payload[FRAME.size:], max_output_size=MOST_RAW)
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
            version = msgspec.msgpack.decode(first.payload)["format"]
            if version > FORMAT:
                self.file.close()
                raise BadTraceError(f"{path}: format {version} is newer than {FORMAT}, which this program reads")
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
        """All records in order. A gap comes as `["gap", first, last, lost]`."""
        for block in self.blocks():
            if block.kind == EVENTS:
                yield from records_of(block.payload)
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
                found.append((block.at, stretch_of(block.payload)))
        return found

    def block_at(self, at: int) -> Block | None:
        self.file.seek(at)
        return self._next()

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

    def events(self, records: list[list[Any]]) -> None:
        data = events_block(records)
        at = self.size
        self._put(data)
        self.index.append((at, tuple(stretch_of(data[HEAD.size:]))))

    def gap(self, first: int, last: int, lost: int) -> None:
        self._put(pack(GAP, ENCODER.encode([first, last, lost])))

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
