"""Writes a running proxy's tape into parts of a trace, off the decision path.

The folder holds files `INSTANCE-EPOCH-000.trace`, `-001` and on, of one process each epoch. A part is closed when it is
large or old enough; every part but the first begins with the module's state, so that it can be replayed when the parts
before it are gone. A disk that is full or slow costs records, never calls: what could not be written stands as a gap,
the log says so once, and the state is noted behind it. Removing old parts is a background task (`keep_budget`).
"""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent
import msgspec

from .format import SNAPSHOT, Header, Writer, is_event, timed
from .instrumentation import TraceBuffer

EACH_BLOCK = 20_000  # records
EVERY = 0.5  # seconds between writes


class Recorder:
    """`part` in bytes, `lasts` in tenths of a millisecond: a part is closed at the first that is reached. `apart` runs a
    function away from the event loop and returns its result. `clock` gives tenths of a millisecond. `seen` is handed each
    run of written records with its file's name, in order, away from the event loop."""

    def __init__(
        self,
        folder: Path,
        buffer: TraceBuffer,
        header: Header,
        log: Any,
        *,
        part: int,
        lasts: int,
        clock: Callable[[], int],
        apart: Callable[..., Any],
        seen: Callable[[list[list[Any]], str], None] | None = None,
    ) -> None:
        self.folder, self.buffer, self.header, self.log = folder, buffer, header, log
        self.part, self.lasts, self.clock, self.apart, self.seen = part, lasts, clock, apart, seen
        self.parts = 0
        self.writer: Writer | None = None
        self.begun = 0  # when the part was
        self.pending: list[tuple[int, int, int]] = []  # gaps that could not be written yet
        self.written = self.lost = self.states = self.bytes_before = 0
        self.troubled = False
        self.greenlet: gevent.Greenlet | None = None

    def open(self) -> None:
        """Raises OSError where the folder can't be written."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self._next_part()
        self.greenlet = gevent.spawn(self._steps)

    def _steps(self) -> None:
        while True:
            gevent.sleep(EVERY)
            self.step()

    def step(self) -> None:
        """Write what has come since the last time; where the part is full, go on in a new one that begins with the
        state. Between `take` and `state` nothing else runs, so the state is that after the last record taken."""
        records, gaps = self.buffer.take()
        state = b""
        if self.writer is None or self.writer.size >= self.part or self.clock() - self.begun >= self.lasts:
            state = self.buffer.state() if not self.buffer.dropping else b""
        if records or gaps or state:
            self.apart(self._write, records, gaps, state, self.clock())

    def close(self) -> None:
        if self.greenlet is not None:
            self.greenlet.kill()
        records, gaps = self.buffer.take()
        if records or gaps:
            self.apart(self._write, records, gaps, b"", 0)
        if self.writer is not None:
            try:
                self.writer.close()
            except OSError as error:
                self._trouble(error)

    def figures(self) -> dict[str, Any]:
        """For operators."""
        return {
            "on": self.buffer.on,
            "part": self.writer.path.name if self.writer is not None else "",
            "records": self.written,
            "lost_events": self.lost,
            "states": self.states,
            "bytes": self.bytes_before + (self.writer.size if self.writer is not None else 0),
        }

    # --- away from the event loop ---

    def _write(self, records: list[list[Any]], gaps: list[tuple[int, int, int, int]], state: bytes, now: int) -> None:
        begun = 0
        for place, first, last, many in [*gaps, (len(records), 0, 0, 0)]:
            for block in blocks(records[begun:place]):
                self._put_events(block)
            begun = place
            if many:
                self.lost += many
                self.pending.append((first, last, many))
                self._put_gaps()
        if state:
            try:
                self._next_part()
                self._put_gaps()
                self._put_events([[SNAPSHOT, now, state]])
                self.states += 1
            except OSError as error:
                self.buffer.after_a_hole()  # the part lacks its state: the next event brings one
                self._trouble(error)

    def _put_events(self, block: list[list[Any]]) -> None:
        try:
            if self.writer is None:
                self._next_part()
            self._put_gaps()
            if self.pending:
                raise OSError("the gap before can't be written")
            self.writer.events(block)
        except OSError as error:
            times = [record[1] for record in block if timed(record)]
            many = sum(is_event(record[0]) for record in block)
            self.lost += many
            self.pending.append((times[0], times[-1], many))
            if len(self.pending) > 1:  # one gap, however long the disk is full
                first, last = self.pending[0][0], self.pending[-1][1]
                self.pending = [(first, last, sum(gap[2] for gap in self.pending))]
            self.buffer.after_a_hole()
            self._trouble(error)
            return
        if self.seen is not None:
            self.seen(block, self.writer.path.name)
        self.written += len(block)
        if self.troubled:
            self.troubled = False
            self.log.info("trace-goes-on", lost=self.lost)

    def _put_gaps(self) -> None:
        while self.pending and self.writer is not None:
            try:
                self.writer.gap(*self.pending[0])
            except OSError as error:
                self._trouble(error)
                return
            gap = self.pending.pop(0)
            if self.seen is not None:
                self.seen([["gap", *gap]], self.writer.path.name)

    def _trouble(self, error: OSError) -> None:
        if not self.troubled:
            self.troubled = True
            self.log.warning("trace-not-written", why=error.strerror or str(error))

    def _next_part(self) -> None:
        if self.writer is not None:
            old, self.writer = self.writer, None
            self.bytes_before += old.size
            old.close()
        path = self.folder / f"{self.header.instance}-{self.header.epoch}-{self.parts:03d}.trace"
        self.writer = Writer(path, msgspec.structs.replace(self.header, part=self.parts))
        self.parts += 1
        self.begun = self.clock()


def keep_budget(folder: Path, instance: str, budget: int, part: int, log: Any) -> int:
    """Remove the oldest parts of an instance until one more fits under `budget` bytes; how many went. The newest stays
    whatever it takes: it is the one being written. Raises OSError."""
    files = []
    for path in folder.glob(f"{instance}-*.trace"):
        held, spans = path.stat(), path.with_suffix(".spans")
        beside = spans.stat().st_size if spans.exists() else 0
        files.append((held.st_mtime_ns, path.name, held.st_size + beside, path))
    files.sort()
    total, gone = sum(file[2] for file in files), 0
    for _, _, size, path in files[:-1]:
        if total + part <= budget:
            break
        path.unlink(missing_ok=True)
        path.with_suffix(".spans").unlink(missing_ok=True)  # spans lead to records: without them they lead nowhere
        total -= size
        gone += 1
    if gone:
        log.info("trace-parts-removed", parts=gone, left_bytes=total)
    return gone


def blocks(records: list[list[Any]], each: int = EACH_BLOCK) -> list[list[list[Any]]]:
    """Records cut where an event or a snapshot stands, so that what belongs to one event is in one block."""
    found, begun = [], 0
    while begun < len(records):
        end = min(begun + each, len(records))
        while end < len(records) and not is_event(records[end][0]) and records[end][0] != SNAPSHOT:
            end += 1
        found.append(records[begun:end])
        begun = end
    return found
