"""The store: whole after a crash at any moment, upgraded or left alone, and losing no more than what is corrupt."""

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
from gingergap.standins.disk import FullDisk, NotedDisk, image
from gingergap.store import record_store
from gingergap.store.migrations import MIGRATIONS
from gingergap.store.record_store import APPLICATION, FILE_NAME, BadStoreError, RecordStore
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
    encode_key,
    packed,
    unpacked,
)

STANDS = DialogRecord(0, 1, 2, "x2", 2, 1_000.0, False, "tag")


def held(book):
    """All records of a book."""
    return {(item.kind, item.key): item.body for kind in RECORD_TYPES for item in book.items(kind)}


def applied(state, changes):
    state = dict(state)
    for change in changes:
        if change.body is None:
            state.pop((change.kind, change.key), None)
        else:
            state[change.kind, change.key] = change.body
    return state


def random_batch(draw, number):
    changes = []
    for _ in range(draw.randrange(1, 8)):
        key = f"k{draw.randrange(12)}"
        if draw.random() < 0.3:
            changes.append(Change(STANDING, key, None))
        elif draw.random() < 0.5:
            changes.append(Change(STANDING, key, STANDS.__class__(0, 1, number, "x" * draw.randrange(300), 2, 1.0, False, "t")))
        else:
            changes.append(Change(TOKEN, key, TokenRecord(number)))
    return changes


@pytest.fixture(scope="module")
def disk():
    disk = NotedDisk("noted-store")
    yield disk
    disk.unregister()


@pytest.fixture(scope="module")
def sequence(disk, tmp_path_factory):
    """A sequence of batches on a noted disk: the states after each, and where each began and was acknowledged."""
    draw = random.Random(5)
    disk.ops.clear()
    book = RecordStore(tmp_path_factory.mktemp("noted"), vfs="noted-store")
    states = [{}]
    for number in range(24):
        changes = random_batch(draw, number)
        disk.mark("begin")
        book.commit(changes)
        disk.mark("acknowledged")
        states.append(applied(states[-1], changes))
        if number in (8, 16):
            book.db.execute("PRAGMA wal_checkpoint(FULL)")
    book.close()
    return list(disk.ops), states


@given(st.data())
@settings(max_examples=300, derandomize=True, deadline=None)
def test_a_crash_at_any_moment_leaves_a_state_that_was(sequence, tmp_path_factory, data):
    ops, states = sequence
    crash = data.draw(st.integers(0, len(ops)))
    folder = tmp_path_factory.mktemp("crash")
    image(ops, crash, random.Random(data.draw(st.integers(0, 10**6))), folder)
    begun = sum(op.what == "mark" and op.name == "begin" for op in ops[:crash])
    acknowledged = sum(op.what == "mark" and op.name == "acknowledged" for op in ops[:crash])
    book = RecordStore(folder)
    assert book.damage == [] and book.verify() == []
    assert held(book) in states[acknowledged : begun + 1]  # every acknowledged batch, and none in part
    book.commit([Change(TOKEN, "after", TokenRecord(1))])
    book.close()


def test_a_crash_at_every_point_in_turn_too(sequence, tmp_path):
    ops, states = sequence
    for crash in range(0, len(ops) + 1, 3):
        folder = tmp_path / str(crash)
        folder.mkdir()
        image(ops, crash, random.Random(crash), folder)
        begun = sum(op.what == "mark" and op.name == "begin" for op in ops[:crash])
        acknowledged = sum(op.what == "mark" and op.name == "acknowledged" for op in ops[:crash])
        book = RecordStore(folder)
        assert held(book) in states[acknowledged : begun + 1], crash
        book.close()


WRITER = """
import random, sys
sys.path.insert(0, {tests!r})
from pathlib import Path
from test_store import random_batch
from gingergap.store.record_store import RecordStore
book = RecordStore(Path({folder!r}))
draw = random.Random({seed})
for number in range(100_000):
    book.commit(random_batch(draw, number))
    sys.stdout.write(f"{{number}}\\n")
    sys.stdout.flush()
"""


@pytest.mark.parametrize("seed", range(6))
def test_a_writer_killed_outright_loses_nothing_that_it_acknowledged(tmp_path, seed):
    draw = random.Random(seed)
    script = WRITER.format(tests=os.path.dirname(__file__), folder=str(tmp_path / "store"), seed=seed)
    process = subprocess.Popen([sys.executable, "-c", script], stdout=subprocess.PIPE)
    told = b""
    until = draw.randrange(20, 200)
    while told.count(b"\n") < until:
        assert select.select([process.stdout], [], [], 60)[0]
        told += os.read(process.stdout.fileno(), 65_536)
    process.send_signal(signal.SIGKILL)
    told += process.stdout.read()
    process.wait()
    acknowledged = told.count(b"\n")
    again, states = random.Random(seed), [{}]
    for number in range(acknowledged + 2):
        states.append(applied(states[-1], random_batch(again, number)))
    book = RecordStore(tmp_path / "store")
    assert book.verify() == [] and held(book) in states[acknowledged:]
    book.close()


# --- opening what is there ---


def old_file(folder, schema=1):
    """A store as the first schema wrote it: without the leg's number, without times."""
    folder.mkdir(exist_ok=True)
    db = apsw.Connection(str(folder / FILE_NAME))
    db.execute(
        "CREATE TABLE item (kind TEXT NOT NULL, key TEXT NOT NULL, body BLOB NOT NULL, checksum INTEGER NOT NULL, "
        f"PRIMARY KEY (kind, key)) WITHOUT ROWID; PRAGMA application_id={APPLICATION}; PRAGMA user_version={schema}"
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
    old_file(tmp_path)
    book = RecordStore(tmp_path)
    found = held(book)
    assert len(found) == 49 and len(book.damage) == 1 and "call7" in book.damage[0]
    assert found[STANDING, encode_key("call3", "ct")].leg_number == 3
    book.close()
    again = RecordStore(tmp_path)
    assert held(again) == found and again.damage == []
    again.close()
    assert sorted(path.name for path in tmp_path.iterdir()) == [FILE_NAME]


def test_an_upgrade_that_breaks_off_leaves_the_old_file_as_it_was(tmp_path, monkeypatch):
    old_file(tmp_path)
    before = (tmp_path / FILE_NAME).read_bytes()

    def broken(rows):
        yield from list(rows)[:10]
        raise apsw.FullError("no room")

    monkeypatch.setitem(MIGRATIONS, 1, broken)
    with pytest.raises(BadStoreError, match="can't be upgraded"):
        RecordStore(tmp_path)
    db = sqlite3.connect(tmp_path / FILE_NAME)
    assert db.execute("PRAGMA user_version").fetchone() == (1,) and db.execute("SELECT count(*) FROM item").fetchone() == (50,)
    db.close()
    monkeypatch.undo()
    book = RecordStore(tmp_path)  # what the first try left beside it is no hindrance
    assert len(held(book)) == 49
    book.close()
    assert before


@pytest.mark.parametrize(
    ("pragma", "words"),
    [
        (f"PRAGMA application_id={APPLICATION}; PRAGMA user_version={SCHEMA_VERSION + 1}", "newer"),
        ("PRAGMA application_id=77", "no store of this program"),
    ],
)
def test_a_newer_or_foreign_file_is_left_alone_and_named(tmp_path, pragma, words):
    db = apsw.Connection(str(tmp_path / FILE_NAME))
    db.execute(f"CREATE TABLE item (kind, key); INSERT INTO item VALUES ('a', 'b'); {pragma}")
    db.close()
    with pytest.raises(BadStoreError, match=words) as bad:
        RecordStore(tmp_path)
    assert FILE_NAME in str(bad.value) and "\n" not in str(bad.value)
    db = apsw.Connection(str(tmp_path / FILE_NAME))
    assert list(db.execute("SELECT * FROM item")) == [("a", "b")]
    db.close()


def filled(folder, many=3_000):
    book = RecordStore(folder)
    book.commit([Change(STANDING, encode_key(f"call{number}", "ct"), STANDS) for number in range(many)])
    book.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    book.close()
    return folder / FILE_NAME


def test_a_corrupt_record_loses_itself_alone(tmp_path):
    filled(tmp_path, 20)
    db = apsw.Connection(str(tmp_path / FILE_NAME))
    key = encode_key("call5", "ct")
    db.execute("UPDATE item SET body = x'00' WHERE key = ?", (key,))
    db.close()
    book = RecordStore(tmp_path)
    assert len(held(book)) == 19 and any("call5" in line for line in book.damage)
    assert len(book.verify()) == 1
    book.close()


@pytest.mark.parametrize("seed", range(6))
def test_corrupt_pages_lose_what_was_on_them_and_the_file_is_kept(tmp_path, seed):
    path = filled(tmp_path)
    data, draw = bytearray(path.read_bytes()), random.Random(seed)
    for _ in range(3):
        page = draw.randrange(3, len(data) // 4096)
        data[page * 4096 : (page + 1) * 4096] = draw.randbytes(4096)
    path.write_bytes(data)
    book = RecordStore(tmp_path)
    found = held(book)
    assert all(body == STANDS for body in found.values()) and len(found) >= 2_700 and book.verify() == []
    book.commit([Change(TOKEN, "goes on", TokenRecord(1))])
    book.close()


def test_what_is_no_database_is_put_aside_and_the_proxy_starts_empty(tmp_path):
    (tmp_path / FILE_NAME).write_bytes(b"this is no database, but long enough to look at " * 50)
    book = RecordStore(tmp_path)
    assert held(book) == {} and "damaged-1" in book.damage[0]
    book.commit([Change(TOKEN, "a", TokenRecord(1))])
    book.close()
    assert (tmp_path / f"{FILE_NAME}.damaged-1").read_bytes().startswith(b"this is no database")


def test_a_second_opener_is_told_so_and_the_first_goes_on(tmp_path):
    book = RecordStore(tmp_path)
    with pytest.raises(BadStoreError, match="another process has it open"):
        RecordStore(tmp_path)
    book.commit([Change(TOKEN, "a", TokenRecord(1))])
    book.close()
    RecordStore(tmp_path).close()


def test_a_folder_that_is_none_is_a_line(tmp_path):
    (tmp_path / "file").write_text("x")
    for folder in (tmp_path / "file", tmp_path / "file" / "store"):
        with pytest.raises(BadStoreError) as bad:
            RecordStore(folder)
        assert "\n" not in str(bad.value)


def test_a_full_disk_takes_nothing_of_a_batch_and_the_next_one_fits_again(tmp_path):
    disk = FullDisk("full-store")
    try:
        book = RecordStore(tmp_path, vfs="full-store")
        book.commit([Change(TOKEN, "a", TokenRecord(1))])
        before = held(book)
        disk.room = 9_000
        with pytest.raises(BadStoreError, match="the disk is full"):
            book.commit([Change(STANDING, encode_key(f"call{number}", "ct"), STANDS) for number in range(500)])
        assert held(book) == before
        disk.room = 1 << 30
        book.commit([Change(TOKEN, "b", TokenRecord(2))])
        book.close()
        again = RecordStore(tmp_path)
        assert held(again) == {**before, (TOKEN, "b"): TokenRecord(2)} and again.verify() == []
        again.close()
    finally:
        disk.unregister()


def test_the_oldest_go_first_and_compacting_gives_their_room_back(tmp_path):
    book = RecordStore(tmp_path)
    book.commit(
        [Change(CALLER, encode_key(str(number), 0, 1), CallerRecord(float(number), 1.0), float(number)) for number in range(5_000)]
    )
    assert book.evict(CALLER, 5_000) == 0 and book.evict(CALLER, 100) == 4_900
    left = sorted(float(decode_key(item.key, 3)[0]) for item in book.items(CALLER))
    assert left == [float(number) for number in range(4_900, 5_000)]
    assert len(list(book.items(CALLER, since=4_990.0))) == 10
    before, after = book.compact()
    assert after < before / 3 and len(list(book.items(CALLER))) == 100
    book.close()


def test_records_are_what_they_were_or_told_to_be_corrupt():
    for kind, form in RECORD_TYPES.items():
        assert kind and form
    data, check = packed(TOKEN, "a", TokenRecord(5))
    assert unpacked(TOKEN, "a", data, check) == TokenRecord(5)
    for wrong in (
        (TOKEN, "b", data, check),
        (STANDING, "a", data, check),
        (TOKEN, "a", data + b"x", check),
        (TOKEN, "a", "text", check),
        ("other", "a", data, check),
    ):
        with pytest.raises(BadRecordError):
            unpacked(*wrong)
    junk = b"\xff\xff"
    with pytest.raises(BadRecordError):
        unpacked(TOKEN, "a", junk, checksum(TOKEN, "a", junk))
    assert decode_key(encode_key('a"b', 1), 2) == ['a"b', 1]
    with pytest.raises(BadRecordError):
        decode_key("[1", 1)


# --- the commands ---


def test_the_commands(tmp_path):
    folder = tmp_path / "store"
    filled(folder, 30)
    book = RecordStore(folder)
    book.commit([Change(ALIVE, "", HeartbeatRecord(1.0, 2.0, "b", "p0", 0.5), 1.0)])
    book.close()
    run = CliRunner().invoke
    assert "standing" in run(main, ["store", "info", str(folder)]).output
    assert run(main, ["store", "verify", str(folder)]).exit_code == 0
    out = tmp_path / "out.jsonl"
    done = run(main, ["store", "export", str(folder), "--out", str(out)])
    assert done.exit_code == 0 and len(out.read_text().splitlines()) == 32
    assert run(main, ["store", "import", str(tmp_path / "other"), "--from", str(out)]).exit_code == 0
    books = [RecordStore(one) for one in (folder, tmp_path / "other")]
    assert held(books[0]) == held(books[1])
    for one in books:
        one.close()
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
def test_what_cannot_be_imported_is_a_line_and_leaves_no_store(tmp_path, text):
    (tmp_path / "in").write_text(text)
    done = CliRunner().invoke(main, ["store", "import", str(tmp_path / "s"), "--from", str(tmp_path / "in")])
    assert done.exit_code == 2 and len(done.stderr.strip().splitlines()) == 1 and not (tmp_path / "s").exists()


@pytest.mark.parametrize(
    "words",
    [
        ["info", "none"],
        ["verify", "none"],
        ["export", "here", "--out", "there"],
        ["import", "here", "--from", "none"],
        ["state", "--control", "none.sock"],
    ],
)
def test_what_is_not_there_is_a_line(tmp_path, monkeypatch, words):
    monkeypatch.chdir(tmp_path)
    filled(tmp_path / "here", 3)
    (tmp_path / "there").write_text("mine")
    done = CliRunner().invoke(main, ["store", *words])
    assert done.exit_code == 2 and len(done.stderr.strip().splitlines()) == 1
    assert (tmp_path / "there").read_text() == "mine"


def test_the_file_layer_of_the_tests_knows_what_a_crash_may_leave():
    from gingergap.standins.disk import Op

    ops = [Op("write", "a", 0, b"x" * 600), Op("sync", "a"), Op("write", "a", 0, b"y" * 2000), Op("truncate", "a", 100)]
    seen = set()
    for seed in range(200):

        class Folder(dict):
            def __truediv__(self, name):
                self.name = name
                return self

            def write_bytes(self, data):
                self[self.name] = bytes(data)

        folder = Folder()
        image(ops, 4, random.Random(seed), folder)
        seen.add(folder["a"])
    assert b"x" * 600 in seen and b"y" * 2000 in seen and b"y" * 100 in seen and b"x" * 100 in seen
    assert any(0 < one.count(b"y") < 2000 and one.count(b"y") % 512 == 0 for one in seen)  # torn
    assert record_store.FILE_NAME == FILE_NAME
