"""The store: consistent after a crash at any moment, upgrades of older schemas, and damage that loses only corrupt records."""

import os
import random
import select
import signal
import sqlite3
import subprocess
import sys

import apsw
import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from gingergap.cli.main import main
from gingergap.standins.simulated_disk import FullDisk, RecordingDisk, write_crash_image
from gingergap.store import record_store
from gingergap.store.migrations import MIGRATIONS
from gingergap.store.record_store import APPLICATION_ID, FILE_NAME, BadStoreError, RecordStore
from gingergap.store.records import (
    ALIVE,
    CALLER,
    ENCODER,
    RECORD_TYPES,
    SCHEMA_VERSION,
    STANDING,
    TOKEN,
    BadRecordError,
    CallerRecord,
    Change,
    DialogRecord,
    HeartbeatRecord,
    TokenRecord,
    checksum,
    decode_key,
    decode_record,
    encode_key,
    encode_record,
)

DIALOG = DialogRecord(0, 1, 2, "x2", 2, 1_000.0, False, "tag")


def all_records(store):
    """All records of a store by kind and key."""
    return {(record.kind, record.key): record.body for kind in RECORD_TYPES for record in store.items(kind)}


def apply_changes(state, changes):
    """A copy of the state with the changes applied."""
    state = dict(state)
    for change in changes:
        if change.body is None:
            state.pop((change.kind, change.key), None)
        else:
            state[change.kind, change.key] = change.body
    return state


def random_batch(rng, number):
    changes = []
    for _ in range(rng.randrange(1, 8)):
        key = f"k{rng.randrange(12)}"
        if rng.random() < 0.3:
            changes.append(Change(STANDING, key, None))
        elif rng.random() < 0.5:
            changes.append(Change(STANDING, key, DIALOG.__class__(0, 1, number, "x" * rng.randrange(300), 2, 1.0, False, "t")))
        else:
            changes.append(Change(TOKEN, key, TokenRecord(number)))
    return changes


@pytest.fixture(scope="module")
def disk():
    """A file layer that records every operation."""
    disk = RecordingDisk("noted-store")
    yield disk
    disk.unregister()


@pytest.fixture(scope="module")
def sequence(disk, tmp_path_factory):
    """Batches committed on a recording disk: its operations, with marks where a batch began and was acknowledged, and the
    state after each batch."""
    rng = random.Random(5)
    disk.operations.clear()
    store = RecordStore(tmp_path_factory.mktemp("noted"), vfs="noted-store")
    states = [{}]
    for number in range(24):
        changes = random_batch(rng, number)
        disk.add_mark("begin")
        store.commit(changes)
        disk.add_mark("acknowledged")
        states.append(apply_changes(states[-1], changes))
        if number in (8, 16):
            store.db.execute("PRAGMA wal_checkpoint(FULL)")
    store.close()
    return list(disk.operations), states


@given(st.data())
@settings(max_examples=300, derandomize=True, deadline=None)
def test_a_crash_at_any_moment_leaves_the_state_after_a_batch(sequence, tmp_path_factory, data):
    ops, states = sequence
    crash = data.draw(st.integers(0, len(ops)))
    folder = tmp_path_factory.mktemp("crash")
    write_crash_image(ops, crash, random.Random(data.draw(st.integers(0, 10**6))), folder)
    begun = sum(op.kind == "mark" and op.file_name == "begin" for op in ops[:crash])
    acknowledged = sum(op.kind == "mark" and op.file_name == "acknowledged" for op in ops[:crash])
    store = RecordStore(folder)
    assert store.damage == [] and store.verify() == []
    assert all_records(store) in states[acknowledged : begun + 1]  # every acknowledged batch, and no part of another
    store.commit([Change(TOKEN, "after", TokenRecord(1))])
    store.close()


def test_a_crash_after_every_third_operation_leaves_the_state_after_a_batch(sequence, tmp_path):
    ops, states = sequence
    for crash in range(0, len(ops) + 1, 3):
        folder = tmp_path / str(crash)
        folder.mkdir()
        write_crash_image(ops, crash, random.Random(crash), folder)
        begun = sum(op.kind == "mark" and op.file_name == "begin" for op in ops[:crash])
        acknowledged = sum(op.kind == "mark" and op.file_name == "acknowledged" for op in ops[:crash])
        store = RecordStore(folder)
        assert all_records(store) in states[acknowledged : begun + 1], crash
        store.close()


WRITER = """
import random, sys
sys.path.insert(0, {tests!r})
from pathlib import Path
from test_store import random_batch
from gingergap.store.record_store import RecordStore
store = RecordStore(Path({folder!r}))
rng = random.Random({seed})
for number in range(100_000):
    store.commit(random_batch(rng, number))
    sys.stdout.write(f"{{number}}\\n")
    sys.stdout.flush()
"""


@pytest.mark.parametrize("seed", range(6))
def test_a_killed_writer_loses_no_acknowledged_batch(tmp_path, seed):
    rng = random.Random(seed)
    script = WRITER.format(tests=os.path.dirname(__file__), folder=str(tmp_path / "store"), seed=seed)
    process = subprocess.Popen([sys.executable, "-c", script], stdout=subprocess.PIPE)
    output = b""
    min_batches = rng.randrange(20, 200)
    while output.count(b"\n") < min_batches:
        assert select.select([process.stdout], [], [], 60)[0]
        output += os.read(process.stdout.fileno(), 65_536)
    process.send_signal(signal.SIGKILL)
    output += process.stdout.read()
    process.wait()
    acknowledged = output.count(b"\n")
    replayed_rng, states = random.Random(seed), [{}]
    for number in range(acknowledged + 2):
        states.append(apply_changes(states[-1], random_batch(replayed_rng, number)))
    store = RecordStore(tmp_path / "store")
    assert store.verify() == [] and all_records(store) in states[acknowledged:]
    store.close()


# --- opening existing files ---


def write_schema_1(folder, schema=1):
    """A store as schema 1 wrote it: without `leg_number` and `seen`. Record 7 has a wrong checksum."""
    folder.mkdir(exist_ok=True)
    db = apsw.Connection(str(folder / FILE_NAME))
    db.execute(
        "CREATE TABLE item (kind TEXT NOT NULL, key TEXT NOT NULL, body BLOB NOT NULL, checksum INTEGER NOT NULL, "
        f"PRIMARY KEY (kind, key)) WITHOUT ROWID; PRAGMA application_id={APPLICATION_ID}; PRAGMA user_version={schema}"
    )
    for number in range(50):
        body = ENCODER.encode(
            {"kind": 0, "width": 1, "far": number, "leg": "x1", "since": 5.0, "transit": False, "to_tag": f"t{number}"}
        )
        key = encode_key(f"call{number}", "ct")
        check = checksum(STANDING, key, body) + (number == 7)
        db.execute("INSERT INTO item VALUES (?, ?, ?, ?)", (STANDING, key, body, check))
    db.close()


def test_an_older_schema_is_upgraded_in_a_copy(tmp_path):
    write_schema_1(tmp_path)
    store = RecordStore(tmp_path)
    found = all_records(store)
    assert len(found) == 49 and len(store.damage) == 1 and "call7" in store.damage[0]
    assert found[STANDING, encode_key("call3", "ct")].leg_number == 3
    store.close()
    reopened = RecordStore(tmp_path)
    assert all_records(reopened) == found and reopened.damage == []
    reopened.close()
    assert sorted(path.name for path in tmp_path.iterdir()) == [FILE_NAME]


def test_a_failed_upgrade_leaves_the_old_file_unchanged(tmp_path, monkeypatch):
    write_schema_1(tmp_path)
    before = (tmp_path / FILE_NAME).read_bytes()

    def failing_migration(rows):
        yield from list(rows)[:10]
        raise apsw.FullError("the simulated disk is full")

    monkeypatch.setitem(MIGRATIONS, 1, failing_migration)
    with pytest.raises(BadStoreError, match="can't be upgraded"):
        RecordStore(tmp_path)
    db = sqlite3.connect(tmp_path / FILE_NAME)
    assert db.execute("PRAGMA user_version").fetchone() == (1,) and db.execute("SELECT count(*) FROM item").fetchone() == (50,)
    db.close()
    monkeypatch.undo()
    store = RecordStore(tmp_path)  # in spite of the unfinished copy of the first attempt
    assert len(all_records(store)) == 49
    store.close()
    assert before


@pytest.mark.parametrize(
    ("pragma", "message"),
    [
        (f"PRAGMA application_id={APPLICATION_ID}; PRAGMA user_version={SCHEMA_VERSION + 1}", "newer"),
        ("PRAGMA application_id=77", "not a store of this program"),
    ],
)
def test_a_newer_or_foreign_file_is_rejected_and_left_unchanged(tmp_path, pragma, message):
    db = apsw.Connection(str(tmp_path / FILE_NAME))
    db.execute(f"CREATE TABLE item (kind, key); INSERT INTO item VALUES ('a', 'b'); {pragma}")
    db.close()
    with pytest.raises(BadStoreError, match=message) as bad:
        RecordStore(tmp_path)
    assert FILE_NAME in str(bad.value) and "\n" not in str(bad.value)
    db = apsw.Connection(str(tmp_path / FILE_NAME))
    assert list(db.execute("SELECT * FROM item")) == [("a", "b")]
    db.close()


def fill_store(folder, count=3_000):
    """Write a store with `count` dialogs. Returns the path of its file."""
    store = RecordStore(folder)
    store.commit([Change(STANDING, encode_key(f"call{number}", "ct"), DIALOG) for number in range(count)])
    store.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    store.close()
    return folder / FILE_NAME


def test_only_the_corrupt_record_is_lost(tmp_path):
    fill_store(tmp_path, 20)
    db = apsw.Connection(str(tmp_path / FILE_NAME))
    key = encode_key("call5", "ct")
    db.execute("UPDATE item SET body = x'00' WHERE key = ?", (key,))
    db.close()
    store = RecordStore(tmp_path)
    assert len(all_records(store)) == 19 and any("call5" in line for line in store.damage)
    assert len(store.verify()) == 1
    store.close()


@pytest.mark.parametrize("seed", range(6))
def test_only_records_on_corrupt_pages_are_lost(tmp_path, seed):
    path = fill_store(tmp_path)
    data, rng = bytearray(path.read_bytes()), random.Random(seed)
    for _ in range(3):
        page = rng.randrange(3, len(data) // 4096)
        data[page * 4096 : (page + 1) * 4096] = rng.randbytes(4096)
    path.write_bytes(data)
    store = RecordStore(tmp_path)
    found = all_records(store)
    assert all(body == DIALOG for body in found.values()) and len(found) >= 2_700 and store.verify() == []
    store.commit([Change(TOKEN, "goes on", TokenRecord(1))])
    store.close()


def test_a_file_that_is_not_a_database_is_renamed_and_the_store_starts_empty(tmp_path):
    (tmp_path / FILE_NAME).write_bytes(b"this is no database, but long enough to look at " * 50)
    store = RecordStore(tmp_path)
    assert all_records(store) == {} and "damaged-1" in store.damage[0]
    store.commit([Change(TOKEN, "a", TokenRecord(1))])
    store.close()
    assert (tmp_path / f"{FILE_NAME}.damaged-1").read_bytes().startswith(b"this is no database")


def test_a_second_process_cannot_open_the_store_and_the_first_continues(tmp_path):
    store = RecordStore(tmp_path)
    with pytest.raises(BadStoreError, match="another process has it open"):
        RecordStore(tmp_path)
    store.commit([Change(TOKEN, "a", TokenRecord(1))])
    store.close()
    RecordStore(tmp_path).close()


def test_a_path_that_is_not_a_folder_is_reported_in_one_line(tmp_path):
    (tmp_path / "file").write_text("x")
    for folder in (tmp_path / "file", tmp_path / "file" / "store"):
        with pytest.raises(BadStoreError) as bad:
            RecordStore(folder)
        assert "\n" not in str(bad.value)


def test_a_full_disk_rejects_the_whole_batch_and_the_next_one_succeeds_once_there_is_room(tmp_path):
    disk = FullDisk("full-store")
    try:
        store = RecordStore(tmp_path, vfs="full-store")
        store.commit([Change(TOKEN, "a", TokenRecord(1))])
        before = all_records(store)
        disk.free_bytes = 9_000
        with pytest.raises(BadStoreError, match="the disk is full"):
            store.commit([Change(STANDING, encode_key(f"call{number}", "ct"), DIALOG) for number in range(500)])
        assert all_records(store) == before
        disk.free_bytes = 1 << 30
        store.commit([Change(TOKEN, "b", TokenRecord(2))])
        store.close()
        reopened = RecordStore(tmp_path)
        assert all_records(reopened) == {**before, (TOKEN, "b"): TokenRecord(2)} and reopened.verify() == []
        reopened.close()
    finally:
        disk.unregister()


def test_eviction_removes_the_oldest_and_compacting_releases_their_space(tmp_path):
    store = RecordStore(tmp_path)
    store.commit(
        [Change(CALLER, encode_key(str(number), 0, 1), CallerRecord(float(number), 1.0), float(number)) for number in range(5_000)]
    )
    assert store.evict(CALLER, 5_000) == 0 and store.evict(CALLER, 100) == 4_900
    left = sorted(float(decode_key(item.key, 3)[0]) for item in store.items(CALLER))
    assert left == [float(number) for number in range(4_900, 5_000)]
    assert len(list(store.items(CALLER, since=4_990.0))) == 10
    before, after = store.compact()
    assert after < before / 3 and len(list(store.items(CALLER))) == 100
    store.close()


def test_a_record_is_decoded_unchanged_or_rejected():
    for kind, record_type in RECORD_TYPES.items():
        assert kind and record_type
    data, check = encode_record(TOKEN, "a", TokenRecord(5))
    assert decode_record(TOKEN, "a", data, check) == TokenRecord(5)
    for wrong in (
        (TOKEN, "b", data, check),
        (STANDING, "a", data, check),
        (TOKEN, "a", data + b"x", check),
        (TOKEN, "a", "text", check),
        ("other", "a", data, check),
    ):
        with pytest.raises(BadRecordError):
            decode_record(*wrong)
    junk = b"\xff\xff"
    with pytest.raises(BadRecordError):
        decode_record(TOKEN, "a", junk, checksum(TOKEN, "a", junk))
    assert decode_key(encode_key('a"b', 1), 2) == ['a"b', 1]
    with pytest.raises(BadRecordError):
        decode_key("[1", 1)


# --- the commands ---


def test_the_store_commands(tmp_path):
    folder = tmp_path / "store"
    fill_store(folder, 30)
    store = RecordStore(folder)
    store.commit([Change(ALIVE, "", HeartbeatRecord(1.0, 2.0, "b", "p0", 0.5), 1.0)])
    store.close()
    run = CliRunner().invoke
    assert "standing" in run(main, ["store", "info", str(folder)]).output
    assert run(main, ["store", "verify", str(folder)]).exit_code == 0
    out = tmp_path / "out.jsonl"
    done = run(main, ["store", "export", str(folder), "--out", str(out)])
    assert done.exit_code == 0 and len(out.read_text().splitlines()) == 32
    assert run(main, ["store", "import", str(tmp_path / "other"), "--from", str(out)]).exit_code == 0
    stores = [RecordStore(path) for path in (folder, tmp_path / "other")]
    assert all_records(stores[0]) == all_records(stores[1])
    for opened in stores:
        opened.close()
    assert run(main, ["store", "compact", str(folder)]).exit_code == 0
    db = apsw.Connection(str(folder / FILE_NAME))
    db.execute("UPDATE item SET checksum = checksum + 1 WHERE key = ?", (encode_key("call5", "ct"),))
    db.close()
    done = run(main, ["store", "verify", str(folder)])
    assert done.exit_code == 1 and "call5" in done.output and "1 faults" in done.output


@pytest.mark.parametrize(
    "text",
    [
        "",
        "{}",
        '{"gingergap store": 99}',
        '{"gingergap store": 2}\nnot JSON',
        '{"gingergap store": 2}\n{"kind": "odd", "key": "a", "seen": 1, "body": {}}',
        '{"gingergap store": 2}\n{"kind": "token", "key": "a", "seen": 1, "body": {"counter": "x"}}',
    ],
)
def test_a_bad_export_is_reported_in_one_line_and_creates_no_store(tmp_path, text):
    (tmp_path / "in").write_text(text)
    done = CliRunner().invoke(main, ["store", "import", str(tmp_path / "s"), "--from", str(tmp_path / "in")])
    assert done.exit_code == 2 and len(done.stderr.strip().splitlines()) == 1 and not (tmp_path / "s").exists()


@pytest.mark.parametrize(
    "arguments",
    [
        ["info", "none"],
        ["verify", "none"],
        ["export", "here", "--out", "there"],
        ["import", "here", "--from", "none"],
        ["state", "--control", "none.sock"],
    ],
)
def test_missing_files_are_reported_in_one_line(tmp_path, monkeypatch, arguments):
    monkeypatch.chdir(tmp_path)
    fill_store(tmp_path / "here", 3)
    (tmp_path / "there").write_text("mine")
    done = CliRunner().invoke(main, ["store", *arguments])
    assert done.exit_code == 2 and len(done.stderr.strip().splitlines()) == 1
    assert (tmp_path / "there").read_text() == "mine"


def test_the_simulated_disk_produces_lost_partial_and_torn_writes():
    from gingergap.standins.simulated_disk import DiskOperation

    ops = [
        DiskOperation("write", "a", 0, b"x" * 600),
        DiskOperation("sync", "a"),
        DiskOperation("write", "a", 0, b"y" * 2000),
        DiskOperation("truncate", "a", 100),
    ]
    seen = set()
    for seed in range(200):

        class Folder(dict):
            def __truediv__(self, name):
                self.name = name
                return self

            def write_bytes(self, data):
                self[self.name] = bytes(data)

        folder = Folder()
        write_crash_image(ops, 4, random.Random(seed), folder)
        seen.add(folder["a"])
    assert b"x" * 600 in seen and b"y" * 2000 in seen and b"y" * 100 in seen and b"x" * 100 in seen
    assert any(0 < content.count(b"y") < 2000 and content.count(b"y") % 512 == 0 for content in seen)  # torn
    assert record_store.FILE_NAME == FILE_NAME
