"""Writes the entries of a stream to one new file, a block at a time."""

from pathlib import Path

from .format import SNAPSHOT, BadTraceError, Header, Writer, is_event
from .stream import Entry

BLOCK_RECORDS = 5_000


class EntryWriter:
    """Writes a new trace file, merged if its header has sources. Raises BadTraceError if it cannot be written."""

    def __init__(self, path: Path, header: Header) -> None:
        self.path, self.merged = path, bool(header.sources)
        self.pending: list[Entry] = []
        self.record_count = self.gap_count = 0
        try:
            path.parent.mkdir(parents=True, exist_ok=True)
            self.writer = Writer(path, header)
        except OSError as error:
            raise BadTraceError(f"{path}: {error.strerror}") from None

    def write(self, entry: Entry) -> None:
        code = entry.record[0]
        if code == "gap":
            self._flush()
            first, last, lost = entry.record[1:4]
            self._attempt(lambda: self.writer.write_gap(first, last, lost, entry.source if self.merged else None))
            self.gap_count += 1
            return
        if len(self.pending) >= BLOCK_RECORDS and (is_event(code) or code == SNAPSHOT):
            self._flush()
        self.pending.append(entry)

    def close(self) -> None:
        self._flush()
        self._attempt(self.writer.close)

    def _flush(self) -> None:
        if self.pending:
            records = [entry.record for entry in self.pending]
            sources = [(entry.source, entry.time) for entry in self.pending] if self.merged else None
            self._attempt(lambda: self.writer.write_events(records, sources))
            self.record_count += len(records)
            self.pending.clear()

    def _attempt(self, operation) -> None:
        try:
            operation()
        except OSError as error:
            raise BadTraceError(f"{self.path}: {error.strerror or error}") from None
