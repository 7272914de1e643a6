"""Traces: recorded while a proxy works, readable up to any damage, replayed to the same decisions; a changed module is detected."""

import errno
import itertools
import pickle
from types import SimpleNamespace

import pytest
import structlog
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from gingergap import call_controller
from gingergap.call_controller import CallController
from gingergap.cli.main import main
from gingergap.edge.serve import build_proxy
from gingergap.settings.edge import EdgeForm
from gingergap.settings.forms import BadSettingsError
from gingergap.settings.forms import parse as parse_form
from gingergap.trace import format as trace_format
from gingergap.trace.format import CODES, FIRST_ACTION, FIRST_NOTE, FORMAT, SNAPSHOT, BadTraceError, Header, Reader, Writer
from gingergap.trace.instrumentation import TraceBuffer, module_digest
from gingergap.trace.query import select
from gingergap.trace.recorder import Recorder, enforce_budget, split_blocks
from gingergap.trace.replay import Replay, format_record, replay
from gingergap.trace.snapshot import BadSnapshotError, freeze, thaw
from gingergap.trace.stream import Trace, open_traces


@pytest.fixture
def recorded_run(make_peers, monkeypatch):
    """The trace buffer and header of a proxy that has served calls of all kinds."""
    import conftest

    buffer = TraceBuffer()
    monkeypatch.setattr(conftest, "build_proxy", lambda *args: build_proxy(*args, buffer))
    peers = make_peers()
    for number in range(60):
        invite = peers.invite(f"00{1 + number % 3}{number:03d}", expires=2)
        legs = peers.legs(invite.call_id)
        if legs and number % 4 == 0:
            peers.answer(legs[0], 200)
            peers.send_in_dialog("BYE", invite.call_id)
        elif legs and number % 4 == 1:
            peers.answer(legs[0], 503, fields=[("Reason", "Q.850;cause=34")])
        elif number % 4 == 2:
            peers.cancel(invite)
        peers.advance_to(peers.now + 400)
    peers.notify_list(1, [("x0", "ready", 0), ("x1", "draining", 0), ("x2", "ready", 0)], "full")
    peers.advance_to(peers.now + 30_000)
    return buffer, Header(FORMAT, module_digest(), "e1", "p0", 0.0, 0, peers.proxy.controller_arguments)


def replay_records(header, records, module=call_controller):
    """Replays all records, up to the first difference."""
    replay_run = Replay(header, True, module)
    for record in records:
        if not replay_run.take(record):
            return replay_run
    replay_run.finish()
    return replay_run


def count_decisions(records):
    """The number of events and actions, which is what a replay counts."""
    return sum(record[0] < FIRST_NOTE for record in records if record[0] != "gap")


def write_trace(tmp_path, header, records, block_records=200, name="a.trace"):
    path = tmp_path / name
    writer = Writer(path, header)
    begin = 0
    while begin < len(records):
        end = min(begin + block_records, len(records))
        while end < len(records) and records[end][0] >= FIRST_ACTION:
            end += 1
        writer.write_events(records[begin:end])
        begin = end
    writer.close()
    return path


def test_a_replay_takes_the_same_actions_at_every_event(recorded_run, tmp_path):
    buffer, header = recorded_run
    trace = open_traces([write_trace(tmp_path, header, buffer.records)])[0]
    (done,) = replay(trace.sources, trace.entries(), trace.from_start)
    assert done.difference is None and done.gaps == 0 and trace.corruption_messages() == []
    assert done.events > 400 and done.actions > 200
    assert done.events + done.actions == count_decisions(buffer.records)


class NoTandems(CallController):
    """A module that decides differently in one case: it never tries a tandem."""

    def _select_tandems(self, dialog):
        return []


def test_a_changed_module_is_detected_and_the_records_before_are_kept(recorded_run, tmp_path):
    buffer, header = recorded_run
    done = replay_records(header, buffer.records, SimpleNamespace(CallController=NoTandems))
    assert done.difference is not None and done.difference.before
    assert done.difference.recorded != done.difference.replayed


def test_a_changed_or_missing_action_in_the_trace_is_detected(recorded_run):
    buffer, header = recorded_run
    indexes = [index for index, record in enumerate(buffer.records) if record[0] == CODES["send_leg"]]
    for index in indexes[::7]:
        records = list(buffer.records)
        records[index] = [*records[index][:2], 9, records[index][3]]
        assert replay_records(header, records).difference.record_index == index
        assert replay_records(header, records[:index] + records[index + 1 :]).difference is not None


@given(st.integers(0, 10**9), st.booleans(), st.integers(0, 7))
@settings(max_examples=200, derandomize=True, deadline=None)
def test_a_truncated_or_damaged_file_is_read_up_to_the_damage(tmp_path_factory, position, truncate, bit):
    folder = tmp_path_factory.mktemp("cut")
    records = list(
        itertools.chain.from_iterable(([CODES["tick"], 200 * number], [CODES["schedule_tick"], 200]) for number in range(300))
    )
    header = Header(FORMAT, "m", "e", "i", 0.0, 0, {})
    path = write_trace(folder, header, records, block_records=50)
    data = bytearray(path.read_bytes())
    size = len(data)
    position %= size
    if truncate:
        del data[position:]
    else:
        data[position] ^= 1 << bit
    path.write_bytes(data)
    try:
        reader = Reader(path)
    except BadTraceError as error:
        assert position < 250 and str(path) in str(error)
        return
    read_records = list(reader.records())
    reader.close()
    assert read_records == records[: len(read_records)]  # complete blocks only
    assert len(read_records) >= 100 * (position * 6 // size - 1)
    if reader.corruption is not None:
        assert reader.corruption.offset <= position


def test_a_missing_index_is_replaced_by_a_scan(recorded_run, tmp_path):
    buffer, header = recorded_run
    path = write_trace(tmp_path, header, buffer.records)
    indexed = Reader(path).block_summaries()
    data = path.read_bytes()
    reader = Reader(path)
    index_offset = [block.offset for block in reader.blocks() if block.kind == trace_format.INDEX][0]
    path.write_bytes(data[:index_offset])
    assert Reader(path).block_summaries() == indexed and len(indexed) > 3


def test_a_newer_format_is_refused_in_one_line_and_the_file_unchanged(tmp_path):
    path = write_trace(tmp_path, Header(FORMAT + 1, "m", "e", "i", 0.0, 0, {}), [[CODES["tick"], 1]])
    before = path.read_bytes()
    result = CliRunner().invoke(main, ["trace", "info", str(path)])
    assert result.exit_code == 2 and "newer" in result.stderr and len(result.stderr.splitlines()) == 1
    assert path.read_bytes() == before


def test_one_dialog_is_found_without_unpacking_the_rest(recorded_run, tmp_path, monkeypatch):
    buffer, header = recorded_run
    trace = open_traces([write_trace(tmp_path, header, buffer.records, block_records=60)])[0]
    unpacked_blocks, original = [], Trace.unpack_block
    monkeypatch.setattr(Trace, "unpack_block", lambda self, *arguments: unpacked_blocks.append(1) or original(self, *arguments))
    found = [entry.record for entry in select(trace, dialog=5)]
    assert found[0][0] == CODES["dialog_received"] and found[0][2] == 5
    assert 0 < len(unpacked_blocks) < len(trace.block_locations())
    expected = [
        list(record)
        for record in buffer.records
        if record[0] in trace_format.DIALOG_FIELD and record[trace_format.DIALOG_FIELD[record[0]]] == 5
    ]
    assert found == expected
    middle = buffer.records[len(buffer.records) // 2]
    inside = list(select(trace, 1_000, 5_000))
    assert inside and all(1_000 <= entry.time <= 5_000 for entry in inside)
    assert format_record(middle)


def test_a_full_buffer_drops_and_counts_whole_events():
    buffer = TraceBuffer(max_records=4)
    for now in range(5):
        buffer.event((CODES["tick"], now))
        buffer.action((CODES["schedule_tick"], 200))
    buffer.note("remark", 5, "no room for this")
    records, gaps = buffer.drain()
    assert len(records) == 4 and gaps == [(4, 2, 4, 3)]
    buffer.take_snapshot = lambda: b"as it is"
    buffer.event((CODES["tick"], 9))
    assert buffer.drain() == ([(SNAPSHOT, 9, b"as it is"), (CODES["tick"], 9)], [])


def make_recorder(tmp_path, buffer, header, **options):
    settings = {
        "part_bytes": 1 << 20,
        "part_duration": 1 << 40,
        "run_in_thread": lambda run, *args: run(*args),
        "clock": lambda: 0,
        **options,
    }
    made = Recorder(tmp_path / "traces", buffer, header, structlog.get_logger(), **settings)
    made.folder.mkdir()
    made._open_next_part()
    return made


def record_in_parts(tmp_path, recorded_run, **options):
    """Records a whole run in small parts, each beginning with the snapshot that a replay of the records before it has."""
    buffer, header = recorded_run
    records, buffer.records = buffer.records, []
    shadow = Replay(header)
    recorder = make_recorder(tmp_path, buffer, header, **{"part_bytes": 600, **options})
    buffer.take_snapshot = lambda: freeze(shadow.controller)
    for block in split_blocks(records, 100):
        for record in block:
            shadow.take(record)
        buffer.records = block
        recorder.step()
    recorder.close()
    return recorder, records


def test_consecutive_parts_replay_as_one_trace(recorded_run, tmp_path):
    recorder, records = record_in_parts(tmp_path, recorded_run)
    (trace,) = open_traces([recorder.folder])
    assert len(trace.readers) > 2 and recorder.snapshots == len(trace.readers) - 1
    (done,) = replay(trace.sources, trace.entries(), trace.from_start)
    assert done.difference is None and done.events + done.actions == count_decisions(records) and done.resumed == 0


def test_parts_replay_from_their_snapshot_when_earlier_parts_are_missing(recorded_run, tmp_path):
    recorder, records = record_in_parts(tmp_path, recorded_run)
    paths = sorted(recorder.folder.glob("*.trace"))
    for path in paths[:2]:
        path.unlink()
    paths[4].unlink()
    (trace,) = open_traces([recorder.folder])
    (done,) = replay(trace.sources, trace.entries(), trace.from_start)
    assert done.difference is None and done.gaps == 2 and done.resumed == 2 and done.skipped_events == 0
    assert 0 < done.events + done.actions < count_decisions(records)


def test_parts_are_closed_after_their_maximum_duration(tmp_path):
    buffer, now = TraceBuffer(), [0]
    recorder = make_recorder(
        tmp_path, buffer, Header(FORMAT, "m", "e1", "p0", 0.0, 0, {}), part_duration=1_000, clock=lambda: now[0]
    )
    buffer.take_snapshot = lambda: b"state"
    for now[0] in range(0, 3_000, 100):
        buffer.event((CODES["tick"], now[0]))
        recorder.step()
    recorder.close()
    assert len(list(recorder.folder.glob("*.trace"))) == 3


def test_the_oldest_parts_are_removed_to_stay_under_the_budget(tmp_path):
    buffer = TraceBuffer()
    recorder = make_recorder(tmp_path, buffer, Header(FORMAT, "m", "e1", "p0", 0.0, 0, {}), part_bytes=600)
    buffer.take_snapshot = lambda: b"state"
    for begin in range(0, 3_000, 300):
        for now in range(begin, begin + 300):
            buffer.event((CODES["tick"], now * 7919 % 100_003))
        recorder.step()
    (recorder.folder / "q0-e1-000.trace").write_bytes(b"another instance's")
    before = len(list(recorder.folder.glob("p0-*.trace")))
    removed = enforce_budget(recorder.folder, "p0", 1_500, 600, structlog.get_logger())
    recorder.close()
    names = sorted(path.name for path in recorder.folder.glob("p0-*.trace"))
    assert (
        removed == before - len(names) > 0
        and f"p0-e1-{recorder.part_count - 1:03d}.trace" in names
        and "p0-e1-000.trace" not in names
    )
    assert (recorder.folder / "q0-e1-000.trace").exists()
    assert sum(path.stat().st_size for path in recorder.folder.glob("p0-*.trace")) < 2_400
    assert enforce_budget(recorder.folder, "p0", 1, 600, structlog.get_logger()) == len(names) - 1
    assert [path.name for path in recorder.folder.glob("p0-*.trace")] == [f"p0-e1-{recorder.part_count - 1:03d}.trace"]


def test_a_full_disk_loses_records_and_writes_the_gap_and_a_snapshot(tmp_path):
    buffer = TraceBuffer()
    recorder = make_recorder(tmp_path, buffer, Header(FORMAT, "m", "e", "i", 0.0, 0, {}))
    buffer.take_snapshot = lambda: b"state"
    write = recorder.writer.file.write
    disk_full = [False]

    class FullDisk:
        def __getattr__(self, name):
            return getattr(file, name)

        def write(self, data):
            if disk_full[0]:
                write(data[: len(data) // 2])  # part of the block still fits
                raise OSError(errno.ENOSPC, "No space left on device")
            return write(data)

    file, recorder.writer.file = recorder.writer.file, FullDisk()
    for now in range(6):
        disk_full[0] = 2 <= now < 4
        buffer.event((CODES["tick"], now * 100))
        recorder.step()
    recorder.close()
    reader = Reader(next(recorder.folder.glob("*.trace")))
    records = list(reader.records())
    assert [record[1] for record in records if record[0] == CODES["tick"]] == [0, 100, 400, 500]
    assert [record[:2] for record in records if record[0] == SNAPSHOT] == [[SNAPSHOT, 400]]
    gaps = [record for record in records if record[0] == "gap"]
    assert gaps == [["gap", 200, 300, 2]]
    assert reader.corruption is None and recorder.lost == 2
    codes = ["gap" if record[0] == "gap" else record[0] for record in records]
    assert codes.index(SNAPSHOT) == codes.index("gap") + 1  # a replay resumes directly after the gap


def test_a_part_whose_header_did_not_fit_can_be_created_again(tmp_path, monkeypatch):
    append = Writer._append

    def raise_disk_full(self, data):
        raise OSError(errno.ENOSPC, "No space left on device")

    path, header = tmp_path / "a.trace", Header(FORMAT, "m", "e", "i", 0.0, 0, {})
    monkeypatch.setattr(Writer, "_append", raise_disk_full)
    with pytest.raises(OSError, match="No space"):
        Writer(path, header)
    monkeypatch.setattr(Writer, "_append", append)
    Writer(path, header).close()
    assert list(Reader(path).records()) == []


def test_a_replay_skips_events_between_a_gap_and_the_next_snapshot(recorded_run):
    buffer, header = recorded_run
    events = [index for index, record in enumerate(buffer.records) if record[0] < FIRST_ACTION]
    first, second = events[100], events[200]
    before_second = replay_records(header, buffer.records[:second])
    snapshot = [SNAPSHOT, buffer.records[second][1], freeze(before_second.controller)]
    resumed_run = replay_records(
        header,
        [*buffer.records[:first], ["gap", 1, 2, 3], *buffer.records[first + 30 : second], snapshot, *buffer.records[second:]],
    )
    assert resumed_run.difference is None and resumed_run.gaps == 1 and resumed_run.resumed == 1 and resumed_run.skipped_events > 0
    without_snapshot = [*buffer.records[:first], ["gap", 1, 2, 3], *buffer.records[first + 30 :]]
    assert replay_records(header, without_snapshot).resumed == 0 and replay_records(header, without_snapshot).events == 100


@pytest.mark.parametrize("number", range(20, 420, 40))
def test_a_replay_from_any_snapshot_matches_the_whole_replay(recorded_run, number):
    buffer, header = recorded_run
    event_indexes = [index for index, record in enumerate(buffer.records) if record[0] < FIRST_ACTION]
    index = event_indexes[number]
    before = replay_records(header, buffer.records[:index])
    resumed_run = Replay(header, False)
    resumed_run.take([SNAPSHOT, 0, freeze(before.controller)])
    assert resumed_run.resumed == 1
    for record in buffer.records[index:]:
        assert resumed_run.take(record), resumed_run.difference
    assert resumed_run.finish() and resumed_run.actions > 0


class UnpicklingTrap:
    def __reduce__(self):
        return (print, ("this must not run",))


@pytest.mark.parametrize(
    "data", [b"", b"junk", pickle.dumps([1]), pickle.dumps({"due": UnpicklingTrap()}), pickle.dumps({"due": OSError("x")})]
)
def test_a_foreign_pickle_is_refused_and_runs_no_code(data, capsys):
    with pytest.raises(BadSnapshotError):
        thaw(data, None)
    assert capsys.readouterr().out == ""


def test_a_trace_of_format_1_is_still_read(recorded_run, tmp_path, monkeypatch):
    buffer, header = recorded_run
    without_notes = [record for record in buffer.records if record[0] < FIRST_NOTE]
    summary_struct = trace_format.SUMMARY_STRUCTS[1]

    class FirstFormat:
        size = summary_struct.size

        @staticmethod
        def pack(*fields):
            return summary_struct.pack(*fields[:5])

    with monkeypatch.context() as patch:
        patch.setitem(trace_format.SUMMARY_STRUCTS, 2, FirstFormat)
        patch.setattr(trace_format, "unpack_summary", lambda payload: summary_struct.unpack_from(payload))
        path = write_trace(tmp_path, Header(1, header.module, "e1", "p0", 0.0, 0, header.figures), without_notes)
    (trace,) = open_traces([path])
    assert trace.readers[0].version == 1 and all(location.summary.snapshot_count == 0 for location in trace.block_locations())
    (done,) = replay(trace.sources, trace.entries(), trace.from_start)
    assert done.difference is None and done.events + done.actions == len(without_notes)


def test_recording_resumes_with_a_snapshot_before_the_next_event(recorded_run):
    buffer, header = recorded_run
    shadow = replay_records(header, buffer.records)
    records = list(buffer.records)
    buffer.records, buffer.take_snapshot = [], lambda: freeze(shadow.controller)
    buffer.set_enabled(False)
    for now in range(3):
        buffer.event((CODES["tick"], 100_000 + now))
        buffer.action((CODES["schedule_tick"], 200))
    buffer.note("remark", 100_003, "unheard")
    buffer.set_enabled(True)
    buffer.event((CODES["tick"], 100_010))
    drained, gaps = buffer.drain()
    assert [record[0] for record in drained] == [SNAPSHOT, CODES["tick"]] and gaps == [(0, 100_000, 100_002, 3)]
    assert records


def test_info_show_and_replay_commands(recorded_run, tmp_path):
    buffer, header = recorded_run
    path = write_trace(tmp_path, header, buffer.records)
    runner = CliRunner()
    assert "in order" in runner.invoke(main, ["trace", "info", str(path)]).output
    shown = runner.invoke(main, ["trace", "show", str(path), "--dialog", "3"])
    assert shown.exit_code == 0 and "dialog_received(" in shown.output
    done = runner.invoke(main, ["trace", "replay", str(path)])
    assert done.exit_code == 0 and "decisions compared" in done.output
    records = [*buffer.records]
    index = next(index for index, record in enumerate(records) if record[0] == CODES["decline"])
    records[index] = [CODES["abort"], records[index][1]]
    changed = write_trace(tmp_path, header, records, name="b.trace")
    done = runner.invoke(main, ["trace", "replay", str(changed)])
    assert done.exit_code == 1 and "noted: abort" in done.output and "replayed: decline" in done.output
    for name in ("none.trace", "junk.trace"):
        (tmp_path / "junk.trace").write_bytes(b"junk")
        result = runner.invoke(main, ["trace", "info", str(tmp_path / name)])
        assert result.exit_code == 2 and len(result.stderr.splitlines()) == 1


def test_trace_settings():
    from conftest import EDGE

    form = parse_form(EDGE.strip()[:-1] + ' (trace (folder "t") (part-mb 1)))', "f", edge=EdgeForm)
    assert form.trace.folder == "t" and form.trace.budget_mb == 256 and form.trace.recording
    with pytest.raises(BadSettingsError) as error:
        parse_form(EDGE.strip()[:-1] + ' (trace (folder "t") (part-mb 16) (budget-mb 20)))', "f", edge=EdgeForm)
    assert "budget-mb" in str(error.value.errors)
