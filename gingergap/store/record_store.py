"""The records in a file: SQLite through apsw, in write-ahead mode, each batch one durable transaction.

When `commit` returns, the batch is on the disk as a whole; a crash loses only batches that were not acknowledged. The
file's header holds the application id and the schema version. An older schema is upgraded in a copy that replaces the
file by a rename; a newer or unknown file is left alone. A damaged file is kept under another name, and the records that
can still be read are carried over to a new file.
"""

import os
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import apsw

from .migrations import MIGRATIONS
from .records import SCHEMA_VERSION, BadRecordError, Change, decode_record, encode_record

APPLICATION_ID = 0x67696E67
FILE_NAME = "memory.db"
TABLE = (
    "CREATE TABLE item (kind TEXT NOT NULL, key TEXT NOT NULL, body BLOB NOT NULL, checksum INTEGER NOT NULL, "
    "seen REAL NOT NULL, PRIMARY KEY (kind, key)) WITHOUT ROWID"
)
INDEX = "CREATE INDEX item_by_age ON item (kind, seen)"


class BadStoreError(Exception):
    """A store that cannot be opened or written. Its text is one line. The file is unchanged."""


class StoredRecord(NamedTuple):
    kind: str
    key: str
    body: Any
    seen: float


class RecordStore:
    """One open store. `damage` lists what was lost, one line each. `vfs` names SQLite's file layer, for tests."""

    def __init__(self, folder: Path, vfs: str | None = None) -> None:
        """Raises BadStoreError."""
        self.folder, self.vfs = folder, vfs
        self.path = folder / FILE_NAME
        self.damage: list[str] = []
        try:
            folder.mkdir(parents=True, exist_ok=True)
        except OSError as error:
            raise BadStoreError(f"{folder}: {error.strerror}") from None
        self.db = self._open(self.path)
        try:
            self._check_schema()
        except BaseException:
            self.db.close()
            raise

    # --- opening ---

    def _open(self, path: Path) -> apsw.Connection:
        try:
            db = apsw.Connection(str(path), vfs=self.vfs)
            db.setbusytimeout(0)
            db.execute("PRAGMA locking_mode=EXCLUSIVE")  # before the first read: no second process can open it
            db.execute("PRAGMA journal_mode=WAL")
            db.execute("PRAGMA synchronous=FULL")
            db.execute("BEGIN IMMEDIATE; COMMIT")
        except (apsw.BusyError, apsw.LockedError):
            raise BadStoreError(f"{path}: another process has it open") from None
        except (apsw.CantOpenError, apsw.ReadOnlyError, apsw.PermissionsError, apsw.AuthError) as error:
            raise BadStoreError(f"{path}: can't be opened for writing ({error})") from None
        except apsw.FullError:
            raise BadStoreError(f"{path}: the disk is full") from None
        except (apsw.NotADBError, apsw.CorruptError):
            return self._salvage(path)
        except apsw.Error as error:
            raise BadStoreError(f"{path}: {error}") from None
        return db

    def _check_schema(self) -> None:
        """Create an empty store, accept or upgrade one of this program, or raise BadStoreError."""
        try:
            application_id = next(self.db.execute("PRAGMA application_id"))[0]
            version = next(self.db.execute("PRAGMA user_version"))[0]
            tables = [name for (name,) in self.db.execute("SELECT name FROM sqlite_master WHERE type = 'table'")]
        except apsw.CorruptError:
            self.db.close()
            self.db = self._salvage(self.path)
            return
        except apsw.Error as error:
            raise BadStoreError(f"{self.path}: {error}") from None
        if not tables and application_id == 0:
            self._create(self.db)
        elif application_id != APPLICATION_ID:
            raise BadStoreError(f"{self.path}: not a store of this program")
        elif version > SCHEMA_VERSION:
            raise BadStoreError(f"{self.path}: schema {version} is newer than {SCHEMA_VERSION}, which this program reads")
        elif version < SCHEMA_VERSION:
            self._upgrade(version)

    @staticmethod
    def _create(db: apsw.Connection) -> None:
        with db:
            db.execute(f"{TABLE}; {INDEX}; PRAGMA application_id={APPLICATION_ID}; PRAGMA user_version={SCHEMA_VERSION}")

    def _upgrade(self, version: int) -> None:
        """Migrate step by step in a copy, which replaces the file once it is complete and on the disk."""
        copy_path = self.path.with_suffix(".upgrade")
        self._remove(copy_path)
        try:
            with self._new(copy_path) as copy:
                rows = ((kind, key, body, check, seen) for kind, key, body, check, seen in self._rows(self.db, self._columns()))
                for step in range(version, SCHEMA_VERSION):
                    rows = MIGRATIONS[step](rows)
                self._insert(copy, rows)
        except (apsw.Error, KeyError) as error:
            raise BadStoreError(f"{self.path}: schema {version} can't be upgraded: {error}") from None
        self.db.close()
        self._replace_file(copy_path)

    def _salvage(self, path: Path) -> apsw.Connection:
        """Copy what can still be read of a damaged file to a new one, and keep the damaged file under another name."""
        copy_path = path.with_suffix(".salvage")
        self._remove(copy_path)
        saved = 0
        try:
            with self._new(copy_path) as copy:
                saved = self._insert(copy, self._readable_rows(path))
        except apsw.Error as error:
            raise BadStoreError(f"{path}: damaged, and no new file can be written beside it: {error}") from None
        number = 1
        while (damaged_path := path.with_name(f"{path.name}.damaged-{number}")).exists():
            number += 1
        for suffix in ("-wal", "-shm"):
            side_file = path.with_name(path.name + suffix)
            if side_file.exists():
                side_file.rename(damaged_path.with_name(damaged_path.name + suffix))
        path.rename(damaged_path)
        self.damage.append(f"{path.name} was damaged: {saved} records were saved, the file is kept as {damaged_path.name}")
        copy_path.rename(path)
        _sync_folder(path.parent)
        return self._open(path)

    def _readable_rows(self, path: Path) -> Iterator[tuple[Any, ...]]:
        """Rows of a damaged file. A scan ends at the first unreadable page, so the keys are collected from both ends of the
        table and of its index, and each row is then looked up by itself: only rows on such pages are lost."""
        try:
            db = apsw.Connection(
                f"file:{path}?mode=ro&immutable=1", flags=apsw.SQLITE_OPEN_READONLY | apsw.SQLITE_OPEN_URI, vfs=self.vfs
            )
        except apsw.Error:
            return
        keys: dict[tuple[str, str], None] = {}
        for source, order in (("item", "kind {0}, key {0}"), ("item INDEXED BY item_by_age", "kind {0}, seen {0}")):
            for direction in ("ASC", "DESC"):
                try:
                    for kind, key in db.execute(f"SELECT kind, key FROM {source} ORDER BY {order.format(direction)}"):
                        keys[kind, key] = None
                except apsw.Error:
                    continue
        for kind, key in keys:
            try:
                row = next(db.execute("SELECT body, checksum, seen FROM item WHERE kind = ? AND key = ?", (kind, key)), None)
            except apsw.Error:
                continue
            if row is not None:
                yield kind, key, *row
        db.close()

    class _Copy:
        """A context manager that closes the connection."""

        def __init__(self, db: apsw.Connection) -> None:
            self.db = db

        def __enter__(self) -> apsw.Connection:
            return self.db

        def __exit__(self, *_: Any) -> None:
            self.db.close()

    def _new(self, path: Path) -> "RecordStore._Copy":
        db = apsw.Connection(str(path), vfs=self.vfs)
        db.execute("PRAGMA synchronous=FULL")
        self._create(db)
        return self._Copy(db)

    def _insert(self, db: apsw.Connection, rows: Iterable[tuple[Any, ...]]) -> int:
        """Insert the rows with a valid checksum; the others are reported as damage. Returns how many were inserted."""
        inserted = 0
        with db:
            for kind, key, body, check, seen in rows:
                try:
                    decode_record(kind, key, body, check)
                except BadRecordError as bad:
                    self.damage.append(str(bad))
                    continue
                db.execute("INSERT OR REPLACE INTO item VALUES (?, ?, ?, ?, ?)", (kind, key, body, check, seen))
                inserted += 1
        return inserted

    def _columns(self) -> list[str]:
        return [row[1] for row in self.db.execute("PRAGMA table_info(item)")]

    @staticmethod
    def _rows(db: apsw.Connection, columns: list[str]) -> Iterator[tuple[Any, ...]]:
        seen = "seen" if "seen" in columns else "0.0"
        yield from db.execute(f"SELECT kind, key, body, checksum, {seen} FROM item")

    def _replace_file(self, copy_path: Path) -> None:
        for suffix in ("-wal", "-shm"):
            self._remove(self.path.with_name(self.path.name + suffix))
        os.replace(copy_path, self.path)
        _sync_folder(self.folder)
        self.db = self._open(self.path)

    def _remove(self, path: Path) -> None:
        for file in (path, *(path.with_name(path.name + suffix) for suffix in ("-wal", "-shm", "-journal"))):
            file.unlink(missing_ok=True)

    # --- writing and reading ---

    def commit(self, changes: Iterable[Change]) -> int:
        """Write all changes or none. Returns the bytes of records written. Raises BadStoreError if nothing was written."""
        changes = list(changes)
        try:
            try:
                return self._write(changes)
            except apsw.CorruptError:
                self._reopen_damaged()
                return self._write(changes)
        except apsw.FullError:
            raise BadStoreError(f"{self.path}: the disk is full") from None
        except apsw.Error as error:
            raise BadStoreError(f"{self.path}: {error}") from None

    def _write(self, changes: list[Change]) -> int:
        written = 0
        with self.db:
            for kind, key, body, seen in changes:
                if body is None:
                    self.db.execute("DELETE FROM item WHERE kind = ? AND key = ?", (kind, key))
                    continue
                data, check = encode_record(kind, key, body)
                written += len(data) + len(key)
                self.db.execute("INSERT OR REPLACE INTO item VALUES (?, ?, ?, ?, ?)", (kind, key, data, check, seen))
        return written

    def _reopen_damaged(self) -> None:
        """A page turned out to be unreadable while the store was in use."""
        self.db.close()
        self.db = self._salvage(self.path)

    def items(self, kind: str, since: float | None = None) -> Iterator[StoredRecord]:
        """Records of a kind, with `since` only those seen at that time or later. A corrupt record is skipped and reported in
        `damage`."""
        condition, parameters = ("", (kind,)) if since is None else (" AND seen >= ?", (kind, since))
        query = f"SELECT key, body, checksum, seen FROM item WHERE kind = ?{condition}"
        yielded: set[str] = set()
        reopened = False
        rows = self.db.execute(query, parameters)
        while True:
            try:
                key, body, check, seen = next(rows)
            except StopIteration:
                return
            except apsw.CorruptError as error:
                if reopened:
                    self.damage.append(f"{kind}: the rest can't be read: {error}")
                    return
                reopened = True
                self._reopen_damaged()
                rows = self.db.execute(query, parameters)
                continue
            if key in yielded:
                continue
            yielded.add(key)
            try:
                yield StoredRecord(kind, key, decode_record(kind, key, body, check), seen)
            except BadRecordError as bad:
                self.damage.append(str(bad))

    def counts(self) -> dict[str, int]:
        """Number of records by kind."""
        return dict(self.db.execute("SELECT kind, count(*) FROM item GROUP BY kind ORDER BY kind"))

    def evict(self, kind: str, limit: int) -> int:
        """Delete the oldest records of a kind beyond `limit`. Returns how many were deleted."""
        excess = next(self.db.execute("SELECT count(*) FROM item WHERE kind = ?", (kind,)))[0] - limit
        if excess <= 0:
            return 0
        with self.db:
            self.db.execute(
                "DELETE FROM item WHERE (kind, key) IN (SELECT kind, key FROM item WHERE kind = ? ORDER BY seen LIMIT ?)",
                (kind, excess),
            )
        return excess

    def verify(self) -> list[str]:
        """Check the pages and every record. Returns the faults, one line each."""
        faults = []
        try:
            faults += [line for (line,) in self.db.execute("PRAGMA integrity_check") if line != "ok"]
            for kind, key, body, check in self.db.execute("SELECT kind, key, body, checksum FROM item"):
                try:
                    decode_record(kind, key, body, check)
                except BadRecordError as bad:
                    faults.append(str(bad))
        except apsw.Error as error:
            faults.append(str(error))
        return faults

    def compact(self) -> tuple[int, int]:
        """Release unused space. Returns the size in bytes before and after. Raises BadStoreError."""
        before = self.size()
        try:
            self.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
            self.db.execute("VACUUM")
            self.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
        except apsw.Error as error:
            raise BadStoreError(f"{self.path}: {error}") from None
        return before, self.size()

    def size(self) -> int:
        """In bytes, the write-ahead log included."""
        return sum(path.stat().st_size for path in (self.path, self.path.with_name(FILE_NAME + "-wal")) if path.exists())

    def close(self) -> None:
        self.db.close()


def _sync_folder(folder: Path) -> None:
    """A rename is durable only once its folder is synced."""
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
