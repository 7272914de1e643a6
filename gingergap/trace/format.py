"""Reads and writes trace files: a magic line, then self-contained blocks. Files are append-only.

    block    kind (1 byte), payload length (4, big endian), CRC-32 of kind, length and payload (4), payload
    HEADER   msgpack map: format, module, epoch, instance, wall and monotonic time of the start, figures
    EVENTS   an uncompressed summary (first and last time, record count, lowest and highest dialog, and from format 2
             on the snapshot count), then a zstandard-compressed msgpack array of records
    GAP      msgpack: first and last time, number of events lost
    INDEX    msgpack: offset and summary of each EVENTS block; the last block of a file that was closed cleanly

A file that is truncated or damaged anywhere can be read up to its last intact block, and the offset of the damage is
reported. A record is an array: a code, then its fields. The first field of an event is its time; actions have no time of
their own, they belong to the event before them. Notes (since format 2) begin with their time too; the decision module
never sees them, and a replay skips them. A merged trace has `sources` in its header, and each of its records is
prefixed with the index of its source and its time by the common clock. Times are tenths of a millisecond.
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
BLOCK_HEAD = struct.Struct(">BII")
SUMMARY_STRUCTS = {  # by format version
    1: struct.Struct(">qqIqq"),  # first time, last time, records, lowest and highest dialog (-1: none)
    2: struct.Struct(">qqIqqI"),  # the same, then the number of snapshots
}
HEADER, EVENTS, GAP, INDEX = 1, 2, 3, 4
MAX_PAYLOAD_BYTES = 16 << 20
MAX_UNPACKED_BYTES = 256 << 20

# Methods of the controller and of its host. A name's code is its position: names may change, positions may not.
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
# What the controller does not see: its own state; a message sent to or received from another proxy, under an id that both
# derive; a dialog rejected before it reached the controller; the process running late; an operator's remark.
NOTE_NAMES = ("snapshot", "sent", "received", "dialog_rejected", "ran_late", "remark")
LATER_EVENT_NAMES = ("restore",)  # added after the codes that follow the other events had been given to the actions
FIRST_ACTION, FIRST_LATER, FIRST_NOTE = len(EVENT_NAMES), 24, 32
CODES = {name: code for code, name in enumerate((*EVENT_NAMES, *ACTION_NAMES))}
CODES |= {name: FIRST_LATER + index for index, name in enumerate(LATER_EVENT_NAMES)}
CODES |= {name: FIRST_NOTE + index for index, name in enumerate(NOTE_NAMES)}
NAMES = {code: name for name, code in CODES.items()}
SNAPSHOT = CODES["snapshot"]
DIALOG_FIELD = {  # index of the dialog's number in the records that belong to a dialog
    CODES["dialog_received"]: 2,
    CODES["dialog_established"]: 2,
    CODES["leg_ended"]: 2,
    CODES["dialog_cancelled"]: 2,
    CODES["send_leg"]: 1,
    CODES["cancel_leg"]: 1,
    CODES["decline"]: 1,
    CODES["abort"]: 1,
    CODES["sent"]: 3,
    CODES["received"]: 3,
}
ENCODER, DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder()


class BadTraceError(Exception):
    """A file is not a trace, is damaged, or has a newer format. The message is a single line."""


class Source(msgspec.Struct):
    """One process's part of a merged trace.

    A time of its clock is `time + offset + drift * seconds since the merged trace's start` by the common clock, in
    tenths of a millisecond, accurate to within plus or minus `uncertain` (-1: unknown).
    """

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
    """What a replay needs besides the events.

    `module` is the digest of the decision module's source, `wall` the wall-clock time (seconds) at the monotonic time
    `started`, and `figures` the arguments that the module was created with. `part` counts the files of one process. A cut
    trace has in `window` the first and last time that were requested (the file may begin earlier, with what a replay
    needs) and in `focus` the requested dialogs; if it is `bare`, it cannot be replayed.
    """

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
    """One block of a file; `offset` is that of its first byte."""

    kind: int
    offset: int
    payload: bytes


class Corruption(NamedTuple):
    """The byte offset up to which a file could be read, and why no further."""

    offset: int
    reason: str


class BlockSummary(NamedTuple):
    """The uncompressed summary at the start of an EVENTS block. Dialog numbers are -1 if no record has one."""

    first_time: int
    last_time: int
    record_count: int
    lowest_dialog: int
    highest_dialog: int
    snapshot_count: int = 0


def is_event(code: int) -> bool:
    """Whether the record is an input of the decision module."""
    return code < FIRST_ACTION or FIRST_LATER <= code < FIRST_NOTE


def is_action(code: int) -> bool:
    """Whether the record is an output of the decision module."""
    return FIRST_ACTION <= code < FIRST_LATER


def has_time(record: list[Any]) -> bool:
    """Whether a record carries its own time: all but actions do."""
    return not is_action(record[0])


def pack_block(kind: int, payload: bytes) -> bytes:
    head = struct.pack(">BI", kind, len(payload))
    return head + struct.pack(">I", zlib.crc32(payload, zlib.crc32(head))) + payload


def pack_events_block(records: list[list[Any]], sources: list[tuple[int, int]] | None = None) -> bytes:
    """Packs records, in order, into an EVENTS block. The first record must carry a time.

    For a merged trace, `sources` holds the source index and the common time of each record.
    """
    if sources is None:
        first_time, last_time = records[0][1], next(record[1] for record in reversed(records) if has_time(record))
    else:
        first_time, last_time = sources[0][1], sources[-1][1]
    lowest, highest, snapshots = 1 << 62, -1, 0
    for record in records:
        field = DIALOG_FIELD.get(record[0])
        if field is not None:
            dialog = record[field]
            if dialog > highest:
                highest = dialog
            if 0 <= dialog < lowest:
                lowest = dialog
        elif record[0] == SNAPSHOT:
            snapshots += 1
    summary = SUMMARY_STRUCTS[FORMAT].pack(first_time, last_time, len(records), lowest if highest >= 0 else -1, highest, snapshots)
    stored = records if sources is None else [[*source, *record] for source, record in zip(sources, records, strict=True)]
    return pack_block(EVENTS, summary + zstandard.ZstdCompressor(level=3).compress(ENCODER.encode(stored)))


def unpack_summary(payload: bytes, version: int = FORMAT) -> BlockSummary:
    """The summary of an EVENTS block's payload."""
    return BlockSummary(*SUMMARY_STRUCTS[version].unpack_from(payload))


def unpack_records(payload: bytes, version: int = FORMAT) -> list[list[Any]]:
    """The records of an EVENTS block's payload.

    Raises BadTraceError if the payload cannot be unpacked although its checksum matched.
    """
    try:
        raw = zstandard.ZstdDecompressor().decompress(payload[SUMMARY_STRUCTS[version].size :], max_output_size=MAX_UNPACKED_BYTES)
        return DECODER.decode(raw)
    except (zstandard.ZstdError, msgspec.MsgspecError) as error:
        raise BadTraceError(f"a block can't be unpacked: {error}") from None


class Reader:
    """Reads a trace file, one block in memory at a time.

    `corruption` is set when reading ended before the end of the file. Raises BadTraceError if the file cannot be opened
    or its header cannot be read.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.corruption: Corruption | None = None
        try:
            self.file: BinaryIO = path.open("rb")
        except OSError as error:
            raise BadTraceError(f"{path}: {error.strerror}") from None
        if self.file.read(len(MAGIC)) != MAGIC:
            self.file.close()
            raise BadTraceError(f"{path}: not a trace file")
        first = self._read_block()
        if first is None or first.kind != HEADER:
            self.file.close()
            raise BadTraceError(f"{path}: damaged before the end of its header")
        try:
            self.version = version = msgspec.msgpack.decode(first.payload)["format"]
            if version not in SUMMARY_STRUCTS:
                self.file.close()
                raise BadTraceError(
                    f"{path}: format {version} is not supported (this program reads formats up to {FORMAT}): the file is newer"
                )
            self.header = msgspec.msgpack.decode(first.payload, type=Header)
        except (msgspec.MsgspecError, KeyError, TypeError) as error:
            self.file.close()
            raise BadTraceError(f"{path}: header can't be read: {error}") from None
        self.first_block_offset = self.file.tell()

    def close(self) -> None:
        self.file.close()

    def blocks(self) -> Iterator[Block]:
        """All blocks after the header, up to the end of the file or the first damage."""
        self.file.seek(self.first_block_offset)
        self.corruption = None
        while (block := self._read_block()) is not None:
            yield block

    def records(self) -> Iterator[list[Any]]:
        """All records in order; those of a merged trace are prefixed with source and time. A gap is yielded as
        `["gap", first, last, lost]`.
        """
        for block in self.blocks():
            yield from self.unpack_block(block)

    def unpack_block(self, block: Block) -> Iterator[list[Any]]:
        """The records or the gap of one block; nothing for other kinds."""
        if block.kind == EVENTS:
            yield from unpack_records(block.payload, self.version)
        elif block.kind == GAP:
            yield ["gap", *DECODER.decode(block.payload)]

    def block_summaries(self) -> list[tuple[int, BlockSummary]]:
        """Offset and summary of each EVENTS block, from the index if the file has one, else by scanning the blocks."""
        index = self._read_index()
        if index is not None:
            return index
        found = []
        for block in self.blocks():
            if block.kind == EVENTS:
                found.append((block.offset, unpack_summary(block.payload, self.version)))
        return found

    def block_at(self, offset: int) -> Block | None:
        self.file.seek(offset)
        return self._read_block()

    @staticmethod
    def block_size(block: Block) -> int:
        return BLOCK_HEAD.size + len(block.payload)

    def _read_index(self) -> list[tuple[int, BlockSummary]] | None:
        """The index at the end of the file, if there is one. The last four bytes of its payload are the payload's length."""
        size = self.file.seek(0, 2)
        if size < self.first_block_offset + BLOCK_HEAD.size + 4:
            return None
        self.file.seek(size - 4)
        length = int.from_bytes(self.file.read(4))
        offset = size - length - BLOCK_HEAD.size
        if length < 4 or offset < self.first_block_offset:
            return None
        block = self.block_at(offset)
        if block is None or block.kind != INDEX or self.file.tell() != size:
            self.corruption = None
            return None
        return [(offset, BlockSummary(*summary)) for offset, summary in DECODER.decode(block.payload[:-4])]

    def _read_block(self) -> Block | None:
        offset = self.file.tell()
        head = self.file.read(BLOCK_HEAD.size)
        if not head:
            return None
        if len(head) < BLOCK_HEAD.size:
            return self._set_corruption(offset, "a block's head is cut off")
        kind, length, checksum = BLOCK_HEAD.unpack(head)
        if length > MAX_PAYLOAD_BYTES or kind not in (HEADER, EVENTS, GAP, INDEX):
            return self._set_corruption(offset, "not a valid block head")
        payload = self.file.read(length)
        if len(payload) < length:
            return self._set_corruption(offset, "a block is cut off")
        if zlib.crc32(payload, zlib.crc32(head[:5])) != checksum:
            return self._set_corruption(offset, "a block's checksum is wrong")
        return Block(kind, offset, payload)

    def _set_corruption(self, offset: int, reason: str) -> None:
        self.corruption = Corruption(offset, reason)


class Writer:
    """Appends blocks to a new file, each block in a single write where the system allows. Raises OSError."""

    def __init__(self, path: Path, header: Header) -> None:
        self.path = path
        self.file = path.open("xb", buffering=0)
        self.index: list[tuple[int, tuple]] = []
        self.size = 0
        try:
            self._append(MAGIC + pack_block(HEADER, msgspec.msgpack.encode(header)))
        except OSError:
            self.file.close()
            path.unlink(missing_ok=True)  # otherwise a retry would find the name taken even after the disk has room again
            raise

    def write_events(self, records: list[list[Any]], sources: list[tuple[int, int]] | None = None) -> None:
        """Appends an EVENTS block; see pack_events_block for the arguments."""
        data = pack_events_block(records, sources)
        offset = self.size
        self._append(data)
        self.index.append((offset, tuple(unpack_summary(data[BLOCK_HEAD.size :]))))

    def write_gap(self, first_time: int, last_time: int, lost: int, source: int | None = None) -> None:
        """Appends a GAP block. `lost` counts events, -1 if unknown; `source` is the source's index in a merged trace."""
        fields = [first_time, last_time, lost] if source is None else [first_time, last_time, lost, source]
        self._append(pack_block(GAP, ENCODER.encode(fields)))

    def close(self) -> None:
        """Appends the index and closes the file."""
        payload = ENCODER.encode(self.index)
        self._append(pack_block(INDEX, payload + (len(payload) + 4).to_bytes(4)))
        self.file.close()

    def _append(self, data: bytes) -> None:
        """Raises OSError. The part of a block that fitted on a full disk is truncated, so that later blocks stay readable."""
        written = 0
        try:
            while written < len(data):
                written += self.file.write(data[written:])
        except OSError:
            self.file.truncate(self.size)
            self.file.seek(self.size)
            raise
        self.size += written
