"""Reads traces as streams of entries, one block in memory at a time.

A trace is the parts of one process in order, or one merged file. Each entry is a record with the index of its source and
its time; actions have the time of the event before them. Missing parts and damaged files appear as gaps.
"""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

from .format import EVENTS, GAP, BadTraceError, Block, BlockSummary, Reader, Source, has_time, unpack_summary

UNKNOWN = -1  # number of events lost in a gap, if they were not counted


class Entry(NamedTuple):
    """A record with its source, an index into the trace's sources."""

    source: int
    time: int  # tenths of a millisecond by the trace's clock
    record: list[Any]  # its first field is "gap" for a gap


class BlockLocation(NamedTuple):
    """An EVENTS block: the index of its part, its byte offset there and its summary."""

    part: int
    offset: int
    summary: BlockSummary


class Trace:
    """One process's parts, or one merged or cut file. Raises BadTraceError for parts that don't belong together."""

    def __init__(self, readers: list[Reader]) -> None:
        readers.sort(key=lambda reader: (reader.header.part, reader.path.name))
        first = readers[0].header
        for reader in readers[1:]:
            if (reader.header.instance, reader.header.epoch) != (first.instance, first.epoch):
                raise BadTraceError(f"{reader.path}: not of the same process as {readers[0].path}")
            if reader.header.sources or first.sources:
                raise BadTraceError(f"{reader.path}: a merged trace is one file")
        self.readers, self.header = readers, first
        self.sources = first.sources or [
            Source(first.module, first.epoch, first.instance, first.wall, first.started, first.figures)
        ]
        self.merged = bool(first.sources)
        self.from_start = first.whole and first.part == 0  # whether it begins where the process did

    @property
    def name(self) -> str:
        return self.readers[0].path.name if self.merged else f"{self.header.instance}-{self.header.epoch}"

    def close(self) -> None:
        for reader in self.readers:
            reader.close()

    def corruption_messages(self) -> list[str]:
        """A line for each file that could not be read to its end, known once it has been read."""
        return [
            f"{reader.path.name}: readable up to byte {reader.corruption.offset}: {reader.corruption.reason}"
            for reader in self.readers
            if reader.corruption is not None
        ]

    def block_locations(self) -> list[BlockLocation]:
        """All EVENTS blocks in order."""
        return [
            BlockLocation(part, offset, summary)
            for part, reader in enumerate(self.readers)
            for offset, summary in reader.block_summaries()
        ]

    def entries(self, since: BlockLocation | None = None) -> Iterator[Entry]:
        """All entries in order, from the block `since` on if one is given."""
        now = 0
        next_part: int | None = None
        for part, reader in enumerate(self.readers):
            if since is not None and part < since.part:
                continue
            if since is None and (reader.header.part != next_part if next_part is not None else reader.header.part > 0):
                yield Entry(0, now, ["gap", now, now, UNKNOWN])
            next_part = reader.header.part + 1
            blocks = self._blocks_from(reader, since.offset) if since is not None and part == since.part else reader.blocks()
            for block in blocks:
                for entry in self.unpack_block(reader, block):
                    now = entry.time
                    yield entry
            since = None
            if reader.corruption is not None and part + 1 < len(self.readers):
                yield Entry(0, now, ["gap", now, now, UNKNOWN])

    def unpack_block(self, reader: Reader, block: Block) -> Iterator[Entry]:
        """The entries of one block."""
        if block.kind not in (EVENTS, GAP):
            return
        if self.merged and block.kind == EVENTS:
            for source, now, *record in reader.unpack_block(block):
                yield Entry(source, now, record)
            return
        now = unpack_summary(block.payload, reader.version).first_time if block.kind == EVENTS else 0
        for record in reader.unpack_block(block):
            if record[0] == "gap":
                if len(record) == 5:  # in a merged trace the last field is the source
                    yield Entry(record[4], record[2], record[:4])
                else:
                    yield Entry(0, record[2], record)
                continue
            if has_time(record):
                now = record[1]
            yield Entry(0, now, record)

    @staticmethod
    def _blocks_from(reader: Reader, offset: int) -> Iterator[Block]:
        reader.corruption = None
        block = reader.block_at(offset)
        while block is not None:
            yield block
            block = reader.block_at(block.offset + reader.block_size(block))

    def wall_time(self, now: int) -> float:
        """Wall-clock time in seconds at a time of this trace's clock."""
        return self.header.wall + (now - self.header.started) / 10_000


def open_traces(paths: Iterable[Path]) -> list[Trace]:
    """Opens files, grouped by the process that wrote them, in order of instance and start. A folder stands for the
    traces in it. Raises BadTraceError.
    """
    files: list[Path] = []
    for path in paths:
        files += sorted(path.glob("*.trace")) if path.is_dir() else [path]
    if not files:
        raise BadTraceError(f"{', '.join(map(str, paths))}: no trace files found")
    groups: dict[tuple[str, str, str], list[Reader]] = {}
    for path in files:
        reader = Reader(path)
        header = reader.header
        separate = str(path) if header.sources or header.window else ""  # a merged or cut file is a trace of its own
        groups.setdefault((header.instance, header.epoch, separate), []).append(reader)
    traces = [Trace(readers) for _, readers in sorted(groups.items())]
    return sorted(traces, key=lambda trace: (trace.header.instance, trace.header.wall, trace.header.epoch))
