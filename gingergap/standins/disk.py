"""A disk that loses power: a file layer for SQLite (apsw's VFS) that notes every write and sync, and images of what a crash at
any moment may leave of them.

What was synced before the crash is there, whole. Of what was written since, each part may be there, be missing, or be torn
at a sector, in any combination, whatever order it was written in.
"""

import random
from pathlib import Path
from typing import Any, NamedTuple

import apsw

SECTOR = 512


class Op(NamedTuple):
    """One thing done to a file: write (at, data), truncate (at), sync, delete; or a mark of the test's."""

    what: str
    name: str
    at: int = 0
    data: bytes = b""


class NotedFile(apsw.VFSFile):
    def __init__(self, base: str, name: Any, flags: Any, ops: list[Op]) -> None:
        self.ops = ops
        self.path = name.filename() if isinstance(name, apsw.URIFilename) else str(name)
        super().__init__(base, name, flags)

    def xWrite(self, data: bytes, offset: int) -> None:  # noqa: N802 - SQLite's name
        super().xWrite(data, offset)
        self.ops.append(Op("write", Path(self.path).name, offset, bytes(data)))

    def xTruncate(self, size: int) -> None:  # noqa: N802
        super().xTruncate(size)
        self.ops.append(Op("truncate", Path(self.path).name, size))

    def xSync(self, flags: int) -> None:  # noqa: N802
        super().xSync(flags)
        self.ops.append(Op("sync", Path(self.path).name))


class NotedDisk(apsw.VFS):
    """Register it by making one; `ops` is what happened. `name` is what connections ask for."""

    def __init__(self, name: str = "noted") -> None:
        self.ops: list[Op] = []
        self.name = name
        super().__init__(name, "")

    def xOpen(self, name: Any, flags: Any) -> NotedFile:  # noqa: N802
        return NotedFile("", name, flags, self.ops)

    def xDelete(self, filename: str, syncdir: bool) -> None:  # noqa: N802
        super().xDelete(filename, syncdir)
        self.ops.append(Op("delete", Path(filename).name))

    def mark(self, what: str) -> None:
        """A mark among what happened: the test's own."""
        self.ops.append(Op("mark", what))


class FullDisk(NotedDisk):
    """Has room for so many bytes more."""

    def __init__(self, name: str = "full") -> None:
        self.room = 1 << 60
        super().__init__(name)

    def xOpen(self, name: Any, flags: Any) -> "FullFile":  # noqa: N802
        return FullFile(self, name, flags)


class FullFile(NotedFile):
    def __init__(self, disk: FullDisk, name: Any, flags: Any) -> None:
        self.disk = disk
        super().__init__("", name, flags, disk.ops)

    def xWrite(self, data: bytes, offset: int) -> None:  # noqa: N802
        if len(data) > self.disk.room:
            raise apsw.FullError("no room")
        self.disk.room -= len(data)
        super().xWrite(data, offset)


def image(ops: list[Op], crash: int, draw: random.Random, folder: Path) -> None:
    """Write into `folder` the files as a crash after `crash` ops may leave them."""
    sure: dict[str, bytearray] = {}
    unsure: dict[str, list[Op]] = {}
    for op in ops[:crash]:
        if op.what in ("write", "truncate"):
            sure.setdefault(op.name, bytearray())
            unsure.setdefault(op.name, []).append(op)
        elif op.what == "sync":
            for waiting in unsure.pop(op.name, []):
                _apply(sure[op.name], waiting)
        elif op.what == "delete":
            sure.pop(op.name, None)
            unsure.pop(op.name, None)
    for name, waiting in unsure.items():
        draw.shuffle(waiting)
        for op in waiting:
            fate = draw.random()
            if fate < 0.4:
                continue
            if fate < 0.6 and op.what == "write" and len(op.data) > SECTOR:
                op = op._replace(data=op.data[: SECTOR * draw.randrange(1, -(-len(op.data) // SECTOR))])
            _apply(sure[name], op)
    for name, data in sure.items():
        (folder / name).write_bytes(data)


def _apply(data: bytearray, op: Op) -> None:
    if op.what == "truncate":
        del data[op.at :]
        return
    if len(data) < op.at:
        data.extend(bytes(op.at - len(data)))
    data[op.at : op.at + len(op.data)] = op.data
