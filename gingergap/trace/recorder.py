"""Writes the trace buffer of a running proxy to the files of a trace, off the decision path.

The folder holds the files `INSTANCE-EPOCH-000.trace`, `-001` and so on, one process per epoch. A part is closed once it
is large or old enough. Every part but the first begins with a snapshot of the module's state, so that it can be replayed
when earlier parts have been removed. A full or slow disk costs records, never calls: what could not be written is
recorded as a gap and logged once, and a snapshot follows the gap. A background task removes old parts
(`enforce_budget`).
"""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent
import msgspec

from .format import SNAPSHOT, Header, Writer, has_time, is_event
from .instrumentation import TraceBuffer

BLOCK_RECORDS = 20_000
WRITE_INTERVAL_S = 0.5


class Recorder:
    """Drains `buffer` periodically and writes its records to the current part.

    A part is closed when it reaches `part_bytes` or `part_duration` (tenths of a millisecond), whichever comes first.
    `clock` returns tenths of a millisecond. `run_in_thread` calls a function in another thread and returns its result.
    `on_written` is called there with each run of written records and the name of their file, in order.
    """

    def __init__(
        self,
        folder: Path,
        buffer: TraceBuffer,
        header: Header,
        log: Any,
        *,
        part_bytes: int,
        part_duration: int,
        clock: Callable[[], int],
        run_in_thread: Callable[..., Any],
        on_written: Callable[[list[list[Any]], str], None] | None = None,
    ) -> None:
        self.folder, self.buffer, self.header, self.log = folder, buffer, header, log
        self.part_bytes, self.part_duration, self.clock, self.run_in_thread, self.on_written = (
            part_bytes,
            part_duration,
            clock,
            run_in_thread,
            on_written,
        )
        self.part_count = 0
        self.writer: Writer | None = None
        self.part_started = 0  # time at which the current part was opened
        self.pending_gaps: list[tuple[int, int, int]] = []  # first and last time, events lost; not written yet
        self.written = self.lost = self.snapshots = self.closed_bytes = 0
        self.write_failed = False
        self.greenlet: gevent.Greenlet | None = None

    def open(self) -> None:
        """Opens the first part and starts the writing task. Raises OSError if the folder cannot be written."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self._open_next_part()
        self.greenlet = gevent.spawn(self._run)

    def _run(self) -> None:
        while True:
            gevent.sleep(WRITE_INTERVAL_S)
            self.step()

    def step(self) -> None:
        """Writes what has been recorded since the last call, and starts a new part with a snapshot if the current one is
        full. Nothing else runs between `drain` and `take_snapshot`, so the snapshot is the state after the last record
        drained.
        """
        records, gaps = self.buffer.drain()
        snapshot = b""
        if self.writer is None or self.writer.size >= self.part_bytes or self.clock() - self.part_started >= self.part_duration:
            snapshot = self.buffer.take_snapshot() if not self.buffer.dropping else b""
        if records or gaps or snapshot:
            self.run_in_thread(self._write, records, gaps, snapshot, self.clock())

    def close(self) -> None:
        """Writes what is left and closes the current part."""
        if self.greenlet is not None:
            self.greenlet.kill()
        records, gaps = self.buffer.drain()
        if records or gaps:
            self.run_in_thread(self._write, records, gaps, b"", 0)
        if self.writer is not None:
            try:
                self.writer.close()
            except OSError as error:
                self._log_failure(error)

    def statistics(self) -> dict[str, Any]:
        """Counters for operators: total records, lost events, snapshots and bytes of all parts of this process."""
        return {
            "on": self.buffer.enabled,
            "part": self.writer.path.name if self.writer is not None else "",
            "records": self.written,
            "lost_events": self.lost,
            "states": self.snapshots,
            "bytes": self.closed_bytes + (self.writer.size if self.writer is not None else 0),
        }

    # --- run by `run_in_thread` ---

    def _write(self, records: list[list[Any]], gaps: list[tuple[int, int, int, int]], snapshot: bytes, now: int) -> None:
        begin = 0
        for index, first, last, lost in [*gaps, (len(records), 0, 0, 0)]:
            for block in split_blocks(records[begin:index]):
                self._write_events(block)
            begin = index
            if lost:
                self.lost += lost
                self.pending_gaps.append((first, last, lost))
                self._write_gaps()
        if snapshot:
            try:
                self._open_next_part()
                self._write_gaps()
                self._write_events([[SNAPSHOT, now, snapshot]])
                self.snapshots += 1
            except OSError as error:
                self.buffer.request_snapshot()  # the part lacks its snapshot: one is taken before the next event
                self._log_failure(error)

    def _write_events(self, block: list[list[Any]]) -> None:
        try:
            if self.writer is None:
                self._open_next_part()
            self._write_gaps()
            if self.pending_gaps:
                raise OSError("the record of the preceding gap can't be written")
            self.writer.write_events(block)
        except OSError as error:
            times = [record[1] for record in block if has_time(record)]
            lost = sum(is_event(record[0]) for record in block)
            self.lost += lost
            self.pending_gaps.append((times[0], times[-1], lost))
            if len(self.pending_gaps) > 1:  # merged into one gap, however long the disk is full
                first, last = self.pending_gaps[0][0], self.pending_gaps[-1][1]
                self.pending_gaps = [(first, last, sum(gap[2] for gap in self.pending_gaps))]
            self.buffer.request_snapshot()
            self._log_failure(error)
            return
        if self.on_written is not None:
            self.on_written(block, self.writer.path.name)
        self.written += len(block)
        if self.write_failed:
            self.write_failed = False
            self.log.info("trace-goes-on", lost=self.lost)

    def _write_gaps(self) -> None:
        while self.pending_gaps and self.writer is not None:
            try:
                self.writer.write_gap(*self.pending_gaps[0])
            except OSError as error:
                self._log_failure(error)
                return
            gap = self.pending_gaps.pop(0)
            if self.on_written is not None:
                self.on_written([["gap", *gap]], self.writer.path.name)

    def _log_failure(self, error: OSError) -> None:
        """Logs the first failure until a write succeeds again."""
        if not self.write_failed:
            self.write_failed = True
            self.log.warning("trace-not-written", why=error.strerror or str(error))

    def _open_next_part(self) -> None:
        if self.writer is not None:
            previous, self.writer = self.writer, None
            self.closed_bytes += previous.size
            previous.close()
        path = self.folder / f"{self.header.instance}-{self.header.epoch}-{self.part_count:03d}.trace"
        self.writer = Writer(path, msgspec.structs.replace(self.header, part=self.part_count))
        self.part_count += 1
        self.part_started = self.clock()


def enforce_budget(folder: Path, instance: str, budget: int, part_bytes: int, log: Any) -> int:
    """Removes the oldest parts of an instance until one more part fits under `budget` bytes; returns how many.

    The newest part stays whatever its size: it is the one being written. Raises OSError.
    """
    files = []
    for path in folder.glob(f"{instance}-*.trace"):
        status, spans = path.stat(), path.with_suffix(".spans")
        span_bytes = spans.stat().st_size if spans.exists() else 0
        files.append((status.st_mtime_ns, path.name, status.st_size + span_bytes, path))
    files.sort()
    total, removed = sum(file[2] for file in files), 0
    for _, _, size, path in files[:-1]:
        if total + part_bytes <= budget:
            break
        path.unlink(missing_ok=True)
        path.with_suffix(".spans").unlink(missing_ok=True)  # spans refer to records of this part
        total -= size
        removed += 1
    if removed:
        log.info("trace-parts-removed", parts=removed, left_bytes=total)
    return removed


def split_blocks(records: list[list[Any]], block_records: int = BLOCK_RECORDS) -> list[list[list[Any]]]:
    """Splits records before an event or a snapshot, so that everything that belongs to one event is in one block."""
    blocks, begin = [], 0
    while begin < len(records):
        end = min(begin + block_records, len(records))
        while end < len(records) and not is_event(records[end][0]) and records[end][0] != SNAPSHOT:
            end += 1
        blocks.append(records[begin:end])
        begin = end
    return blocks
