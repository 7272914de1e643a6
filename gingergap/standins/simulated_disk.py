"""A simulated disk for tests of crash recovery: a file layer for SQLite (apsw's VFS) that records every write and sync, and
images of the files that a power loss at any moment may leave.

Data synced before the crash is complete. Of the data written since the last sync, each write may be present, missing, or torn
at a sector boundary, in any combination and regardless of the order of the writes.
"""

import random
from pathlib import Path
from typing import Any, NamedTuple

import apsw

SECTOR = 512  # bytes


class DiskOperation(NamedTuple):
    """One recorded operation: kind write (offset, data), truncate (offset), sync, delete, or mark (set by a test)."""

    kind: str
    file_name: str
    offset: int = 0
    data: bytes = b""


class RecordingFile(apsw.VFSFile):
    def __init__(self, base: str, name: Any, flags: Any, operations: list[DiskOperation]) -> None:
        self.operations = operations
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
    """A VFS that records its operations in `operations`. Creating an instance registers it; connections select it by `name`."""

    def __init__(self, name: str = "noted") -> None:
        self.operations: list[DiskOperation] = []
        self.name = name
        super().__init__(name, "")

    def xOpen(self, name: Any, flags: Any) -> RecordingFile:  # noqa: N802
        return RecordingFile("", name, flags, self.operations)

    def xDelete(self, filename: str, syncdir: bool) -> None:  # noqa: N802
        super().xDelete(filename, syncdir)
        self.operations.append(DiskOperation("delete", Path(filename).name))

    def add_mark(self, label: str) -> None:
        """Record a mark called `label`, so that a test can tell which operations came before it."""
        self.operations.append(DiskOperation("mark", label))


class FullDisk(RecordingDisk):
    """A recording disk that refuses writes beyond `free_bytes`."""

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
            raise apsw.FullError("the simulated disk is full")
        self.disk.free_bytes -= len(data)
        super().xWrite(data, offset)


def write_crash_image(operations: list[DiskOperation], crash: int, draw: random.Random, folder: Path) -> None:
    """Write into `folder` the files as a crash after the first `crash` operations may leave them.

    `draw` decides which unsynced writes are present, missing or torn.
    """
    synced: dict[str, bytearray] = {}
    unsynced: dict[str, list[DiskOperation]] = {}
    for operation in operations[:crash]:
        if operation.kind in ("write", "truncate"):
            synced.setdefault(operation.file_name, bytearray())
            unsynced.setdefault(operation.file_name, []).append(operation)
        elif operation.kind == "sync":
            for pending in unsynced.pop(operation.file_name, []):
                _apply(synced[operation.file_name], pending)
        elif operation.kind == "delete":
            synced.pop(operation.file_name, None)
            unsynced.pop(operation.file_name, None)
    for name, pending in unsynced.items():
        draw.shuffle(pending)
        for operation in pending:
            outcome = draw.random()
            if outcome < 0.4:
                continue
            if outcome < 0.6 and operation.kind == "write" and len(operation.data) > SECTOR:
                operation = operation._replace(data=operation.data[: SECTOR * draw.randrange(1, -(-len(operation.data) // SECTOR))])
            _apply(synced[name], operation)
    for name, data in synced.items():
        (folder / name).write_bytes(data)


def _apply(data: bytearray, operation: DiskOperation) -> None:
    if operation.kind == "truncate":
        del data[operation.offset :]
        return
    if len(data) < operation.offset:
        data.extend(bytes(operation.offset - len(data)))
    data[operation.offset : operation.offset + len(operation.data)] = operation.data
