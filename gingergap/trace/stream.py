"""Traces as streams: the parts of one process in order, of several processes side by side, block by block in memory.

A stream gives entries: the source's place among the trace's sources, the time, the record. Actions have the time of the
event before them. Parts that are missing and files that break off come as gaps.
"""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

from .format import EVENTS, GAP, BadTraceError, Block, Reader, Source, Stretch, stretch_of, timed

UNKNOWN = -1  # how many events a gap lost, where nobody counted


class Entry(NamedTuple):
    source: int
    now: int  # tenths of a millisecond by the trace's clock
    record: list[Any]  # its first field is "gap" for a hole


class Place(NamedTuple):
    """Where a block is: which part, which byte, and what its frame says."""

    part: int
    at: int
    stretch: Stretch


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
        self.whole = first.whole and first.part == 0

    @property
    def name(self) -> str:
        return self.readers[0].path.name if self.merged else f"{self.header.instance}-{self.header.epoch}"

    def close(self) -> None:
        for reader in self.readers:
            reader.close()

    def breaks(self) -> list[str]:
        """A line for each file that could not be read to its end, once it has been read."""
        return [
            f"{reader.path.name}: readable up to byte {reader.broken.at}: {reader.broken.why}"
            for reader in self.readers
            if reader.broken is not None
        ]

    def places(self) -> list[Place]:
        return [Place(part, at, stretch) for part, reader in enumerate(self.readers) for at, stretch in reader.stretches()]

    def entries(self, since: Place | None = None) -> Iterator[Entry]:
        """All entries in order; from a block on, if one is given."""
        now = 0
        previous: int | None = None
        for part, reader in enumerate(self.readers):
            if since is not None and part < since.part:
                continue
            if since is None and (reader.header.part != previous if previous is not None else reader.header.part > 0):
                yield Entry(0, now, ["gap", now, now, UNKNOWN])
            previous = reader.header.part + 1
            blocks = self._from(reader, since.at) if since is not None and part == since.part else reader.blocks()
            for block in blocks:
                for entry in self.unpacked(reader, block):
                    now = entry.now
                    yield entry
            since = None
            if reader.broken is not None and part + 1 < len(self.readers):
                yield Entry(0, now, ["gap", now, now, UNKNOWN])

    def unpacked(self, reader: Reader, block: Block) -> Iterator[Entry]:
        """The entries of one block."""
        if block.kind not in (EVENTS, GAP):
            return
        if self.merged and block.kind == EVENTS:
            for source, now, *record in reader.unpacked(block):
                yield Entry(source, now, record)
            return
        now = stretch_of(block.payload, reader.version).first if block.kind == EVENTS else 0
        for record in reader.unpacked(block):
            if record[0] == "gap":
                if len(record) == 5:  # of a merged trace: the source is told last
                    yield Entry(record[4], record[2], record[:4])
                else:
                    yield Entry(0, record[2], record)
                continue
            if timed(record):
                now = record[1]
            yield Entry(0, now, record)

    @staticmethod
    def _from(reader: Reader, at: int) -> Iterator[Block]:
        reader.broken = None
        block = reader.block_at(at)
        while block is not None:
            yield block
            block = reader.block_at(block.at + reader.block_size(block))

    def wall(self, now: int) -> float:
        """Seconds of wall time at a time of this trace's clock."""
        return self.header.wall + (now - self.header.started) / 10_000


def open_traces(paths: Iterable[Path]) -> list[Trace]:
    """Files by the process that wrote them, in order of name. Folders stand for the traces in them. Raises
    BadTraceError."""
    files: list[Path] = []
    for path in paths:
        files += sorted(path.glob("*.trace")) if path.is_dir() else [path]
    if not files:
        raise BadTraceError(f"{', '.join(map(str, paths))}: no trace files there")
    groups: dict[tuple[str, str, str], list[Reader]] = {}
    for path in files:
        reader = Reader(path)
        header = reader.header
        alone = str(path) if header.sources or header.window else ""  # what a tool wrote is a trace of its own
        groups.setdefault((header.instance, header.epoch, alone), []).append(reader)
    traces = [Trace(readers) for _, readers in sorted(groups.items())]
    return sorted(traces, key=lambda trace: (trace.header.instance, trace.header.wall, trace.header.epoch))
