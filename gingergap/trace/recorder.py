"""Writes a running proxy's tape into parts of a trace, off the decision path.

The folder holds files `INSTANCE-EPOCH-000.trace`, `-001` and on, of one process each epoch. A part is closed when it is
large enough; the oldest parts go when all together are over the budget. A disk that is full or slow costs records, never
calls: what could not be written stands as a gap, and the log says so once.
"""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent

from .format import FIRST_ACTION, Header, Writer
from .tape import Tape

EACH_BLOCK = 20_000  # records
EVERY = 0.5  # seconds between writes


class Recorder:
    """`part` and `budget` in bytes. `apart` runs a function away from the event loop and returns its result."""

    def __init__(self, folder: Path, tape: Tape, header: Header, log: Any, *, part: int, budget: int,
                 apart: Callable[..., Any]) -> None:
        self.folder, self.tape, self.header, self.log = folder, tape, header, log
        self.part, self.budget, self.apart = part, budget, apart
        self.parts = 0
        self.writer: Writer | None = None
        self.pending: list[tuple[int, int, int]] = []  # gaps that could not be written yet
        self.written = self.lost = 0
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
        """Write what has come since the last time."""
        records, gaps = self.tape.take()
        if records or gaps:
            self.apart(self._write, records, gaps)

    def close(self) -> None:
        if self.greenlet is not None:
            self.greenlet.kill()
        self.step()
        if self.writer is not None:
            try:
                self.writer.close()
            except OSError as error:
                self._trouble(error)

    def _write(self, records: list[list[Any]], gaps: list[tuple[int, int, int, int]]) -> None:
        begun = 0
        for place, first, last, many in [*gaps, (len(records), 0, 0, 0)]:
            for block in blocks(records[begun:place]):
                self._put_events(block)
            begun = place
            if many:
                self.lost += many
                self.pending.append((first, last, many))
                self._put_gaps()

    def _put_events(self, block: list[list[Any]]) -> None:
        try:
            if self.writer is None or self.writer.size >= self.part:
                self._next_part()
            self._put_gaps()
            if self.pending:
                raise OSError("the gap before can't be written")
            self.writer.events(block)
            self.written += len(block)
            if self.troubled:
                self.troubled = False
                self.log.info("trace-goes-on", lost=self.lost)
        except OSError as error:
            times = [record[1] for record in block if record[0] < FIRST_ACTION]
            self.lost += len(times)
            self.pending.append((times[0], times[-1], len(times)))
            if len(self.pending) > 1:  # one gap, however long the disk is full
                first, last = self.pending[0][0], self.pending[-1][1]
                self.pending = [(first, last, sum(gap[2] for gap in self.pending))]
            self._trouble(error)

    def _put_gaps(self) -> None:
        while self.pending and self.writer is not None:
            try:
                self.writer.gap(*self.pending[0])
            except OSError as error:
                self._trouble(error)
                return
            del self.pending[0]

    def _trouble(self, error: OSError) -> None:
        if not self.troubled:
            self.troubled = True
            self.log.warning("trace-not-written", why=error.strerror or str(error))

    def _next_part(self) -> None:
        if self.writer is not None:
            old, self.writer = self.writer, None
            old.close()
        path = self.folder / f"{self.header.instance}-{self.header.epoch}-{self.parts:03d}.trace"
        self.writer = Writer(path, self.header)
        self.parts += 1
        self._keep_budget(path)

    def _keep_budget(self, current: Path) -> None:
        files = sorted((path for path in self.folder.glob(f"{self.header.instance}-*.trace") if path != current),
                       key=lambda path: path.stat().st_mtime)
        total = sum(path.stat().st_size for path in files)
        for path in files:
            if total + self.part <= self.budget:
                return
            total -= path.stat().st_size
            path.unlink()


def blocks(records: list[list[Any]], each: int = EACH_BLOCK) -> list[list[list[Any]]]:
    """Records cut where an event begins, so that a block never starts with an action."""
    found, begun = [], 0
    while begun < len(records):
        end = min(begun + each, len(records))
        while end < len(records) and records[end][0] >= FIRST_ACTION:
            end += 1
        found.append(records[begun:end])
        begun = end
    return found
