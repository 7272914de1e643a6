"""The records in a file: SQLite by apsw, in write-ahead mode, each batch one durable transaction.

A batch is acknowledged when `commit` returns: it is on the disk then, whole, and a crash loses only batches that were not.
The application's id and the schema's version stand in the file's header. An older schema is upgraded in a copy that
takes the file's place by a rename; a newer or unknown file is left alone. What can't be read of a damaged file is
left in it under another name, and what can is carried over.
"""

import os
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import apsw

from .migrations import MIGRATIONS
from .records import SCHEMA_VERSION, BadRecordError, Change, packed, unpacked

APPLICATION = 0x67696E67
FILE_NAME = "memory.db"
TABLE = (
    "CREATE TABLE item (kind TEXT NOT NULL, key TEXT NOT NULL, body BLOB NOT NULL, checksum INTEGER NOT NULL, "
    "seen REAL NOT NULL, PRIMARY KEY (kind, key)) WITHOUT ROWID"
)
INDEX = "CREATE INDEX item_by_age ON item (kind, seen)"


class BadStoreError(Exception):
    """A store that can't be opened or written; one plain line. The file is as it was."""


class Item(NamedTuple):
    kind: str
    key: str
    body: Any
    seen: float


class RecordStore:
    """One open store. `damage` says what was lost at opening, a line each. `vfs` names the file layer, for tests."""

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
            self._admit()
        except BaseException:
            self.db.close()
            raise

    # --- opening ---

    def _open(self, path: Path) -> apsw.Connection:
        try:
            db = apsw.Connection(str(path), vfs=self.vfs)
            db.setbusytimeout(0)
            db.execute("PRAGMA locking_mode=EXCLUSIVE")  # before the first read: no second process gets in
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

    def _admit(self) -> None:
        """Whose file it is, and of which schema."""
        try:
            application = next(self.db.execute("PRAGMA application_id"))[0]
            version = next(self.db.execute("PRAGMA user_version"))[0]
            tables = [name for (name,) in self.db.execute("SELECT name FROM sqlite_master WHERE type = 'table'")]
        except apsw.CorruptError:
            self.db.close()
            self.db = self._salvage(self.path)
            return
        except apsw.Error as error:
            raise BadStoreError(f"{self.path}: {error}") from None
        if not tables and application == 0:
            self._create(self.db)
        elif application != APPLICATION:
            raise BadStoreError(f"{self.path}: no store of this program")
        elif version > SCHEMA_VERSION:
            raise BadStoreError(f"{self.path}: schema {version} is newer than {SCHEMA_VERSION}, which this program reads")
        elif version < SCHEMA_VERSION:
            self._upgrade(version)

    @staticmethod
    def _create(db: apsw.Connection) -> None:
        with db:
            db.execute(f"{TABLE}; {INDEX}; PRAGMA application_id={APPLICATION}; PRAGMA user_version={SCHEMA_VERSION}")

    def _upgrade(self, version: int) -> None:
        """In a copy, step by step; the copy takes the file's place once it is whole and on the disk."""
        aside = self.path.with_suffix(".upgrade")
        self._remove(aside)
        try:
            with self._new(aside) as copy:
                rows = ((kind, key, body, check, seen) for kind, key, body, check, seen in self._rows(self.db, self._columns()))
                for step in range(version, SCHEMA_VERSION):
                    rows = MIGRATIONS[step](rows)
                self._fill(copy, rows)
        except (apsw.Error, KeyError) as error:
            raise BadStoreError(f"{self.path}: schema {version} can't be upgraded: {error}") from None
        self.db.close()
        self._take_place(aside)

    def _salvage(self, path: Path) -> apsw.Connection:
        """A damaged file: what can still be read goes into a new one, the old one stays under another name."""
        aside = path.with_suffix(".salvage")
        self._remove(aside)
        kept = 0
        try:
            with self._new(aside) as copy:
                kept = self._fill(copy, self._readable(path))
        except apsw.Error as error:
            raise BadStoreError(f"{path}: damaged, and no new file can be written beside it: {error}") from None
        number = 1
        while (old := path.with_name(f"{path.name}.damaged-{number}")).exists():
            number += 1
        for suffix in ("-wal", "-shm"):
            side = path.with_name(path.name + suffix)
            if side.exists():
                side.rename(old.with_name(old.name + suffix))
        path.rename(old)
        self.damage.append(f"{path.name} was damaged: {kept} records were saved, the file is kept as {old.name}")
        aside.rename(path)
        _sync_folder(path.parent)
        return self._open(path)

    def _readable(self, path: Path) -> Iterator[tuple[Any, ...]]:
        """Rows of a damaged file. A scan ends at the first page that is gone, so the keys are gathered from both ends of the
        table and of its index, and each row is then looked up by itself: only what was on such a page is lost."""
        try:
            db = apsw.Connection(
                f"file:{path}?mode=ro&immutable=1", flags=apsw.SQLITE_OPEN_READONLY | apsw.SQLITE_OPEN_URI, vfs=self.vfs
            )
        except apsw.Error:
            return
        keys: dict[tuple[str, str], None] = {}
        for source, order in (("item", "kind {0}, key {0}"), ("item INDEXED BY item_by_age", "kind {0}, seen {0}")):
            for way in ("ASC", "DESC"):
                try:
                    for kind, key in db.execute(f"SELECT kind, key FROM {source} ORDER BY {order.format(way)}"):
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

    def _fill(self, db: apsw.Connection, rows: Iterable[tuple[Any, ...]]) -> int:
        """Rows whose checksums hold; the rest is told as damage."""
        kept = 0
        with db:
            for kind, key, body, check, seen in rows:
                try:
                    unpacked(kind, key, body, check)
                except BadRecordError as bad:
                    self.damage.append(str(bad))
                    continue
                db.execute("INSERT OR REPLACE INTO item VALUES (?, ?, ?, ?, ?)", (kind, key, body, check, seen))
                kept += 1
        return kept

    def _columns(self) -> list[str]:
        return [row[1] for row in self.db.execute("PRAGMA table_info(item)")]

    @staticmethod
    def _rows(db: apsw.Connection, columns: list[str]) -> Iterator[tuple[Any, ...]]:
        seen = "seen" if "seen" in columns else "0.0"
        yield from db.execute(f"SELECT kind, key, body, checksum, {seen} FROM item")

    def _take_place(self, aside: Path) -> None:
        for suffix in ("-wal", "-shm"):
            self._remove(self.path.with_name(self.path.name + suffix))
        os.replace(aside, self.path)
        _sync_folder(self.folder)
        self.db = self._open(self.path)

    def _remove(self, path: Path) -> None:
        for one in (path, *(path.with_name(path.name + suffix) for suffix in ("-wal", "-shm", "-journal"))):
            one.unlink(missing_ok=True)

    # --- writing and reading ---

    def commit(self, changes: Iterable[Change]) -> int:
        """Put and take away, all or nothing; how many bytes of records. Raises BadStoreError, with nothing of it done."""
        changes = list(changes)
        try:
            try:
                return self._put(changes)
            except apsw.CorruptError:
                self._reopen_damaged()
                return self._put(changes)
        except apsw.FullError:
            raise BadStoreError(f"{self.path}: the disk is full") from None
        except apsw.Error as error:
            raise BadStoreError(f"{self.path}: {error}") from None

    def _put(self, changes: list[Change]) -> int:
        written = 0
        with self.db:
            for kind, key, body, seen in changes:
                if body is None:
                    self.db.execute("DELETE FROM item WHERE kind = ? AND key = ?", (kind, key))
                    continue
                data, check = packed(kind, key, body)
                written += len(data) + len(key)
                self.db.execute("INSERT OR REPLACE INTO item VALUES (?, ?, ?, ?, ?)", (kind, key, data, check, seen))
        return written

    def _reopen_damaged(self) -> None:
        """A page turned out to be gone while the store was in use."""
        self.db.close()
        self.db = self._salvage(self.path)

    def items(self, kind: str, since: float | None = None) -> Iterator[Item]:
        """Records of a kind, seen since then; one that is corrupt is passed over and told in `damage`."""
        more, bound = ("", (kind,)) if since is None else (" AND seen >= ?", (kind, since))
        query = f"SELECT key, body, checksum, seen FROM item WHERE kind = ?{more}"
        given: set[str] = set()
        mended = False
        rows = self.db.execute(query, bound)
        while True:
            try:
                key, body, check, seen = next(rows)
            except StopIteration:
                return
            except apsw.CorruptError as error:
                if mended:
                    self.damage.append(f"{kind}: the rest can't be read: {error}")
                    return
                mended = True
                self._reopen_damaged()
                rows = self.db.execute(query, bound)
                continue
            if key in given:
                continue
            given.add(key)
            try:
                yield Item(kind, key, unpacked(kind, key, body, check), seen)
            except BadRecordError as bad:
                self.damage.append(str(bad))

    def counts(self) -> dict[str, int]:
        return dict(self.db.execute("SELECT kind, count(*) FROM item GROUP BY kind ORDER BY kind"))

    def evict(self, kind: str, most: int) -> int:
        """Take the oldest of a kind away until `most` are left; how many went."""
        over = next(self.db.execute("SELECT count(*) FROM item WHERE kind = ?", (kind,)))[0] - most
        if over <= 0:
            return 0
        with self.db:
            self.db.execute(
                "DELETE FROM item WHERE (kind, key) IN (SELECT kind, key FROM item WHERE kind = ? ORDER BY seen LIMIT ?)",
                (kind, over),
            )
        return over

    def verify(self) -> list[str]:
        """What is wrong, a line each: the pages, and every record."""
        faults = []
        try:
            faults += [line for (line,) in self.db.execute("PRAGMA integrity_check") if line != "ok"]
            for kind, key, body, check in self.db.execute("SELECT kind, key, body, checksum FROM item"):
                try:
                    unpacked(kind, key, body, check)
                except BadRecordError as bad:
                    faults.append(str(bad))
        except apsw.Error as error:
            faults.append(str(error))
        return faults

    def compact(self) -> tuple[int, int]:
        """Give unused room back; bytes before and after."""
        before = self.size()
        try:
            self.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
            self.db.execute("VACUUM")
            self.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
        except apsw.Error as error:
            raise BadStoreError(f"{self.path}: {error}") from None
        return before, self.size()

    def size(self) -> int:
        return sum(path.stat().st_size for path in (self.path, self.path.with_name(FILE_NAME + "-wal")) if path.exists())

    def close(self) -> None:
        self.db.close()


def _sync_folder(folder: Path) -> None:
    """A rename is on the disk once its folder is."""
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
