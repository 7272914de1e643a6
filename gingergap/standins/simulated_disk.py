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


class DiskOperation(NamedTuple):
    """One thing done to a file: write (at, data), truncate (at), sync, delete; or a mark of the test's."""

    kind: str
    file_name: str
    offset: int = 0
    data: bytes = b""


class RecordingFile(apsw.VFSFile):
    def __init__(self, base: str, name: Any, flags: Any, ops: list[DiskOperation]) -> None:
        self.operations = ops
        self.path = name.filename() if isinstance(name, apsw.URIFilename) else str(name)
        super().__init__(base, name, flags)

    def xWrite(self, data: bytes, offset: int) -> None:  # noqa: N802 - SQLite's name
        super().xWrite(data, offset)
        self.operations.append(DiskOperation("write", Path(self.path).name, offset, bytes(data)))

    def xTruncate(self, size: int) -> None:  # noqa: N802
        super().xTruncate(size)
        self.operations.append(DiskOperation("truncate", Path(self.path).name, size))

    def xSync(self, flags: int) -> None:  # noqa: N802
        super().xSync(flags)
        self.operations.append(DiskOperation("sync", Path(self.path).name))


class RecordingDisk(apsw.VFS):
    """Register it by making one; `ops` is what happened. `name` is what connections ask for."""

    def __init__(self, name: str = "noted") -> None:
        self.operations: list[DiskOperation] = []
        self.name = name
        super().__init__(name, "")

    def xOpen(self, name: Any, flags: Any) -> RecordingFile:  # noqa: N802
        return RecordingFile("", name, flags, self.operations)

    def xDelete(self, filename: str, syncdir: bool) -> None:  # noqa: N802
        super().xDelete(filename, syncdir)
        self.operations.append(DiskOperation("delete", Path(filename).name))

    def add_mark(self, what: str) -> None:
        """A mark among what happened: the test's own."""
        self.operations.append(DiskOperation("mark", what))


class FullDisk(RecordingDisk):
    """Has room for so many bytes more."""

    def __init__(self, name: str = "full") -> None:
        self.free_bytes = 1 << 60
        super().__init__(name)

    def xOpen(self, name: Any, flags: Any) -> "FullFile":  # noqa: N802
        return FullFile(self, name, flags)


class FullFile(RecordingFile):
    def __init__(self, disk: FullDisk, name: Any, flags: Any) -> None:
        self.disk = disk
        super().__init__("", name, flags, disk.operations)

    def xWrite(self, data: bytes, offset: int) -> None:  # noqa: N802
        if len(data) > self.disk.free_bytes:
            raise apsw.FullError("no room")
        self.disk.free_bytes -= len(data)
        super().xWrite(data, offset)


def write_crash_image(ops: list[DiskOperation], crash: int, draw: random.Random, folder: Path) -> None:
    """Write into `folder` the files as a crash after `crash` ops may leave them."""
    sure: dict[str, bytearray] = {}
    unsure: dict[str, list[DiskOperation]] = {}
    for op in ops[:crash]:
        if op.kind in ("write", "truncate"):
            sure.setdefault(op.file_name, bytearray())
            unsure.setdefault(op.file_name, []).append(op)
        elif op.kind == "sync":
            for waiting in unsure.pop(op.file_name, []):
                _apply(sure[op.file_name], waiting)
        elif op.kind == "delete":
            sure.pop(op.file_name, None)
            unsure.pop(op.file_name, None)
    for name, waiting in unsure.items():
        draw.shuffle(waiting)
        for op in waiting:
            fate = draw.random()
            if fate < 0.4:
                continue
            if fate < 0.6 and op.kind == "write" and len(op.data) > SECTOR:
                op = op._replace(data=op.data[: SECTOR * draw.randrange(1, -(-len(op.data) // SECTOR))])
            _apply(sure[name], op)
    for name, data in sure.items():
        (folder / name).write_bytes(data)


def _apply(data: bytearray, op: DiskOperation) -> None:
    if op.kind == "truncate":
        del data[op.offset :]
        return
    if len(data) < op.offset:
        data.extend(bytes(op.offset - len(data)))
    data[op.offset : op.offset + len(op.data)] = op.data
