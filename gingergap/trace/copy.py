"""Writes entries of a stream into one new file, a block at a time."""

from pathlib import Path

from .format import SNAPSHOT, BadTraceError, Header, Writer, is_event
from .stream import Entry

EACH_BLOCK = 5_000  # records


class Copy:
    """A new trace file; `merged` where its header has sources. Raises BadTraceError where it can't be written."""

    def __init__(self, path: Path, header: Header) -> None:
        self.path, self.merged = path, bool(header.sources)
        self.held: list[Entry] = []
        self.records = self.gaps = 0
        try:
            path.parent.mkdir(parents=True, exist_ok=True)
            self.writer = Writer(path, header)
        except OSError as error:
            raise BadTraceError(f"{path}: {error.strerror}") from None

    def put(self, entry: Entry) -> None:
        code = entry.record[0]
        if code == "gap":
            self._flush()
            first, last, lost = entry.record[1:4]
            self._write(lambda: self.writer.gap(first, last, lost, entry.source if self.merged else None))
            self.gaps += 1
            return
        if len(self.held) >= EACH_BLOCK and (is_event(code) or code == SNAPSHOT):
            self._flush()
        self.held.append(entry)

    def close(self) -> None:
        self._flush()
        self._write(self.writer.close)

    def _flush(self) -> None:
        if self.held:
            records = [entry.record for entry in self.held]
            sources = [(entry.source, entry.now) for entry in self.held] if self.merged else None
            self._write(lambda: self.writer.events(records, sources))
            self.records += len(records)
            self.held.clear()

    def _write(self, write) -> None:
        try:
            write()
        except OSError as error:
            raise BadTraceError(f"{self.path}: {error.strerror or error}") from None
