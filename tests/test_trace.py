"""Traces: written while a proxy works, read up to any break, replayed to the same decisions, and a changed module found."""

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
from gingergap.trace.recorder import Recorder, blocks, keep_budget
from gingergap.trace.replay import Replay, replay, words
from gingergap.trace.snapshot import BadSnapshotError, freeze, thaw
from gingergap.trace.stream import Trace, opened
from gingergap.trace.tape import Tape, module_digest
from gingergap.trace.window import select


@pytest.fixture
def busy(peers_of, monkeypatch):
    """A proxy on a tape that has served some calls of all kinds; its tape and header."""
    import conftest

    tape = Tape()
    monkeypatch.setattr(conftest, "build_proxy", lambda *args: build_proxy(*args, tape))
    peers = peers_of()
    for number in range(60):
        invite = peers.invite(f"00{1 + number % 3}{number:03d}", expires=2)
        legs = peers.legs(invite.call_id)
        if legs and number % 4 == 0:
            peers.answer(legs[0], 200)
            peers.within("BYE", invite.call_id)
        elif legs and number % 4 == 1:
            peers.answer(legs[0], 503, fields=[("Reason", "Q.850;cause=34")])
        elif number % 4 == 2:
            peers.cancel(invite)
        peers.pass_time(peers.now + 400)
    peers.tell_list(1, [("x0", "ready", 0), ("x1", "draining", 0), ("x2", "ready", 0)], "full")
    peers.pass_time(peers.now + 30_000)
    return tape, Header(FORMAT, module_digest(), "e1", "p0", 0.0, 0, peers.proxy.controller_arguments)


def replayed(header, records, module=call_controller):
    """All records through one replay."""
    done = Replay(header, True, module)
    for record in records:
        if not done.take(record):
            return done
    done.over()
    return done


def decisions(records):
    """How many events and actions: what a replay counts."""
    return sum(record[0] < FIRST_NOTE for record in records if record[0] != "gap")


def written(tmp_path, header, records, each=200, name="a.trace"):
    path = tmp_path / name
    writer = Writer(path, header)
    begun = 0
    while begun < len(records):
        end = min(begun + each, len(records))
        while end < len(records) and records[end][0] >= FIRST_ACTION:
            end += 1
        writer.events(records[begun:end])
        begun = end
    writer.close()
    return path


def test_a_replay_asks_for_the_same_at_every_event(busy, tmp_path):
    tape, header = busy
    trace = opened([written(tmp_path, header, tape.records)])[0]
    (done,) = replay(trace.sources, trace.entries(), trace.whole)
    assert done.difference is None and done.gaps == 0 and trace.breaks() == []
    assert done.events > 400 and done.actions > 200
    assert done.events + done.actions == decisions(tape.records)


class Timid(CallController):
    """A module that decides otherwise in one case: no tandem is ever tried."""

    def _select_tandems(self, dialog):
        return []


def test_a_changed_module_is_found_with_what_came_before(busy, tmp_path):
    tape, header = busy
    done = replayed(header, tape.records, SimpleNamespace(CallController=Timid))
    assert done.difference is not None and done.difference.before
    assert done.difference.noted != done.difference.asked


def test_a_noted_decision_that_was_changed_is_found(busy):
    tape, header = busy
    places = [place for place, record in enumerate(tape.records) if record[0] == CODES["send_leg"]]
    for place in places[::7]:
        records = list(tape.records)
        records[place] = [*records[place][:2], 9, records[place][3]]
        assert replayed(header, records).difference.place == place
        assert replayed(header, records[:place] + records[place + 1 :]).difference is not None


@given(st.integers(0, 10**9), st.booleans(), st.integers(0, 7))
@settings(max_examples=200, derandomize=True, deadline=None)
def test_a_file_cut_or_changed_anywhere_is_read_up_to_the_break(tmp_path_factory, place, cut, bit):
    folder = tmp_path_factory.mktemp("cut")
    records = list(
        itertools.chain.from_iterable(([CODES["tick"], 200 * number], [CODES["schedule_tick"], 200]) for number in range(300))
    )
    header = Header(FORMAT, "m", "e", "i", 0.0, 0, {})
    path = written(folder, header, records, each=50)
    data = bytearray(path.read_bytes())
    whole = len(data)
    place %= whole
    if cut:
        del data[place:]
    else:
        data[place] ^= 1 << bit
    path.write_bytes(data)
    try:
        reader = Reader(path)
    except BadTraceError as bad:
        assert place < 250 and str(path) in str(bad)
        return
    found = list(reader.records())
    reader.close()
    assert found == records[: len(found)]  # whole blocks, nothing made up
    assert len(found) >= 100 * (place * 6 // whole - 1)
    if reader.broken is not None:
        assert reader.broken.at <= place


def test_the_index_is_made_anew_when_it_is_missing(busy, tmp_path):
    tape, header = busy
    path = written(tmp_path, header, tape.records)
    indexed = Reader(path).stretches()
    data = path.read_bytes()
    last = Reader(path)
    end = [block.at for block in last.blocks() if block.kind == trace_format.INDEX][0]
    path.write_bytes(data[:end])
    assert Reader(path).stretches() == indexed and len(indexed) > 3


def test_a_newer_format_is_refused_in_a_line_and_left_alone(tmp_path):
    path = written(tmp_path, Header(FORMAT + 1, "m", "e", "i", 0.0, 0, {}), [[CODES["tick"], 1]])
    before = path.read_bytes()
    result = CliRunner().invoke(main, ["trace", "info", str(path)])
    assert result.exit_code == 2 and "newer" in result.stderr and len(result.stderr.splitlines()) == 1
    assert path.read_bytes() == before


def test_one_dialog_is_found_without_unpacking_the_rest(busy, tmp_path, monkeypatch):
    tape, header = busy
    trace = opened([written(tmp_path, header, tape.records, each=60)])[0]
    unpacked, unpack = [], Trace.unpacked
    monkeypatch.setattr(Trace, "unpacked", lambda self, *what: unpacked.append(1) or unpack(self, *what))
    found = [entry.record for entry in select(trace, dialog=5)]
    assert found[0][0] == CODES["dialog_received"] and found[0][2] == 5
    assert 0 < len(unpacked) < len(trace.places())
    everything = [
        list(record)
        for record in tape.records
        if record[0] in trace_format.DIALOG_AT and record[trace_format.DIALOG_AT[record[0]]] == 5
    ]
    assert found == everything
    middle = tape.records[len(tape.records) // 2]
    inside = list(select(trace, 1_000, 5_000))
    assert inside and all(1_000 <= entry.now <= 5_000 for entry in inside)
    assert words(middle)


def test_a_tape_that_is_full_loses_whole_events_and_counts_them():
    tape = Tape(most=4)
    for now in range(5):
        tape.event((CODES["tick"], now))
        tape.action((CODES["schedule_tick"], 200))
    tape.note("remark", 5, "no room for this")
    records, gaps = tape.take()
    assert len(records) == 4 and gaps == [(4, 2, 4, 3)]
    tape.state = lambda: b"as it is"
    tape.event((CODES["tick"], 9))
    assert tape.take() == ([(SNAPSHOT, 9, b"as it is"), (CODES["tick"], 9)], [])


def recorder(tmp_path, tape, header, **more):
    figures = {"part": 1 << 20, "lasts": 1 << 40, "apart": lambda run, *args: run(*args), "clock": lambda: 0, **more}
    one = Recorder(tmp_path / "traces", tape, header, structlog.get_logger(), **figures)
    one.folder.mkdir()
    one._next_part()
    return one


def in_parts(tmp_path, busy, **figures):
    """A whole tape recorded in small parts, the state at the start of each as a replay of what came before has it."""
    tape, header = busy
    records, tape.records = tape.records, []
    behind = Replay(header)
    one = recorder(tmp_path, tape, header, **{"part": 600, **figures})
    tape.state = lambda: freeze(behind.controller)
    for block in blocks(records, 100):
        for record in block:
            behind.take(record)
        tape.records = block
        one.step()
    one.close()
    return one, records


def test_parts_go_on_from_one_another_and_replay_as_one(busy, tmp_path):
    one, records = in_parts(tmp_path, busy)
    (trace,) = opened([one.folder])
    assert len(trace.readers) > 2 and one.states == len(trace.readers) - 1
    (done,) = replay(trace.sources, trace.entries(), trace.whole)
    assert done.difference is None and done.events + done.actions == decisions(records) and done.resumed == 0


def test_parts_are_replayed_from_their_state_when_the_parts_before_are_gone(busy, tmp_path):
    one, records = in_parts(tmp_path, busy)
    paths = sorted(one.folder.glob("*.trace"))
    for path in paths[:2]:
        path.unlink()
    paths[4].unlink()
    (trace,) = opened([one.folder])
    (done,) = replay(trace.sources, trace.entries(), trace.whole)
    assert done.difference is None and done.gaps == 2 and done.resumed == 2 and done.passed_over == 0
    assert 0 < done.events + done.actions < decisions(records)


def test_old_parts_are_closed_by_time_too(tmp_path):
    tape, now = Tape(), [0]
    one = recorder(tmp_path, tape, Header(FORMAT, "m", "e1", "p0", 0.0, 0, {}), lasts=1_000, clock=lambda: now[0])
    tape.state = lambda: b"state"
    for now[0] in range(0, 3_000, 100):
        tape.event((CODES["tick"], now[0]))
        one.step()
    one.close()
    assert len(list(one.folder.glob("*.trace"))) == 3


def test_the_oldest_parts_go_first_and_all_stay_under_the_budget(tmp_path):
    tape = Tape()
    one = recorder(tmp_path, tape, Header(FORMAT, "m", "e1", "p0", 0.0, 0, {}), part=600)
    tape.state = lambda: b"state"
    for begun in range(0, 3_000, 300):
        for now in range(begun, begun + 300):
            tape.event((CODES["tick"], now * 7919 % 100_003))
        one.step()
    (one.folder / "q0-e1-000.trace").write_bytes(b"another instance's")
    before = len(list(one.folder.glob("p0-*.trace")))
    gone = keep_budget(one.folder, "p0", 1_500, 600, structlog.get_logger())
    one.close()
    names = sorted(path.name for path in one.folder.glob("p0-*.trace"))
    assert gone == before - len(names) > 0 and f"p0-e1-{one.parts - 1:03d}.trace" in names and "p0-e1-000.trace" not in names
    assert (one.folder / "q0-e1-000.trace").exists()
    assert sum(path.stat().st_size for path in one.folder.glob("p0-*.trace")) < 2_400
    assert keep_budget(one.folder, "p0", 1, 600, structlog.get_logger()) == len(names) - 1
    assert [path.name for path in one.folder.glob("p0-*.trace")] == [f"p0-e1-{one.parts - 1:03d}.trace"]


def test_a_full_disk_costs_records_not_calls_and_the_gap_is_written(tmp_path):
    tape = Tape()
    one = recorder(tmp_path, tape, Header(FORMAT, "m", "e", "i", 0.0, 0, {}))
    tape.state = lambda: b"state"
    write = one.writer.file.write
    full = [False]

    class Disk:
        def __getattr__(self, name):
            return getattr(inner, name)

        def write(self, data):
            if full[0]:
                write(data[: len(data) // 2])  # a part of it still fits
                raise OSError(errno.ENOSPC, "No space left on device")
            return write(data)

    inner, one.writer.file = one.writer.file, Disk()
    for now in range(6):
        full[0] = 2 <= now < 4
        tape.event((CODES["tick"], now * 100))
        one.step()
    one.close()
    reader = Reader(next(one.folder.glob("*.trace")))
    found = list(reader.records())
    assert [record[1] for record in found if record[0] == CODES["tick"]] == [0, 100, 400, 500]
    assert [record[:2] for record in found if record[0] == SNAPSHOT] == [[SNAPSHOT, 400]]
    lost = [record for record in found if record[0] == "gap"]
    assert lost == [["gap", 200, 300, 2]]
    assert reader.broken is None and one.lost == 2
    kinds = ["gap" if record[0] == "gap" else record[0] for record in found]
    assert kinds.index(SNAPSHOT) == kinds.index("gap") + 1  # a replay goes on right behind the hole


def test_a_part_whose_header_found_no_room_is_begun_again(tmp_path, monkeypatch):
    put = Writer._put

    def no_room(self, data):
        raise OSError(errno.ENOSPC, "No space left on device")

    path, header = tmp_path / "a.trace", Header(FORMAT, "m", "e", "i", 0.0, 0, {})
    monkeypatch.setattr(Writer, "_put", no_room)
    with pytest.raises(OSError, match="No space"):
        Writer(path, header)
    monkeypatch.setattr(Writer, "_put", put)
    Writer(path, header).close()
    assert list(Reader(path).records()) == []


def test_a_replay_passes_over_what_follows_a_gap_up_to_the_next_state(busy):
    tape, header = busy
    events = [place for place, record in enumerate(tape.records) if record[0] < FIRST_ACTION]
    first, second = events[100], events[200]
    behind = replayed(header, tape.records[:second])
    state = [SNAPSHOT, tape.records[second][1], freeze(behind.controller)]
    done = replayed(
        header, [*tape.records[:first], ["gap", 1, 2, 3], *tape.records[first + 30 : second], state, *tape.records[second:]]
    )
    assert done.difference is None and done.gaps == 1 and done.resumed == 1 and done.passed_over > 0
    lost = [*tape.records[:first], ["gap", 1, 2, 3], *tape.records[first + 30 :]]
    assert replayed(header, lost).resumed == 0 and replayed(header, lost).events == 100


@pytest.mark.parametrize("place", range(20, 420, 40))
def test_a_state_taken_anywhere_decides_on_as_the_whole_does(busy, place):
    tape, header = busy
    events = [at for at, record in enumerate(tape.records) if record[0] < FIRST_ACTION]
    at = events[place]
    behind = replayed(header, tape.records[:at])
    on = Replay(header, False)
    on.take([SNAPSHOT, 0, freeze(behind.controller)])
    assert on.resumed == 1
    for record in tape.records[at:]:
        assert on.take(record), on.difference
    assert on.over() and on.actions > 0


class Trap:
    def __reduce__(self):
        return (print, ("this must not run",))


@pytest.mark.parametrize(
    "bad", [b"", b"junk", pickle.dumps([1]), pickle.dumps({"due": Trap()}), pickle.dumps({"due": OSError("x")})]
)
def test_a_state_that_is_none_of_the_modules_is_refused_and_runs_nothing(bad, capsys):
    with pytest.raises(BadSnapshotError):
        thaw(bad, None)
    assert capsys.readouterr().out == ""


def test_a_trace_of_the_first_format_is_still_read(busy, tmp_path, monkeypatch):
    tape, header = busy
    plain = [record for record in tape.records if record[0] < FIRST_NOTE]
    frame = trace_format.FRAMES[1]

    class First:
        size = frame.size

        @staticmethod
        def pack(*fields):
            return frame.pack(*fields[:5])

    with monkeypatch.context() as old:
        old.setitem(trace_format.FRAMES, 2, First)
        old.setattr(trace_format, "stretch_of", lambda payload: frame.unpack_from(payload))
        path = written(tmp_path, Header(1, header.module, "e1", "p0", 0.0, 0, header.figures), plain)
    (trace,) = opened([path])
    assert trace.readers[0].version == 1 and all(place.stretch.snapshots == 0 for place in trace.places())
    (done,) = replay(trace.sources, trace.entries(), trace.whole)
    assert done.difference is None and done.events + done.actions == len(plain)


def test_recording_goes_off_and_on_again_with_the_state_before_the_next_event(busy):
    tape, header = busy
    behind = replayed(header, tape.records)
    records = list(tape.records)
    tape.records, tape.state = [], lambda: freeze(behind.controller)
    tape.switch(False)
    for now in range(3):
        tape.event((CODES["tick"], 100_000 + now))
        tape.action((CODES["schedule_tick"], 200))
    tape.note("remark", 100_003, "unheard")
    tape.switch(True)
    tape.event((CODES["tick"], 100_010))
    found, gaps = tape.take()
    assert [record[0] for record in found] == [SNAPSHOT, CODES["tick"]] and gaps == [(0, 100_000, 100_002, 3)]
    assert records


def test_the_commands(busy, tmp_path):
    tape, header = busy
    path = written(tmp_path, header, tape.records)
    runner = CliRunner()
    assert "in order" in runner.invoke(main, ["trace", "info", str(path)]).output
    shown = runner.invoke(main, ["trace", "show", str(path), "--dialog", "3"])
    assert shown.exit_code == 0 and "dialog_received(" in shown.output
    done = runner.invoke(main, ["trace", "replay", str(path)])
    assert done.exit_code == 0 and "decisions compared" in done.output
    wrong = [*tape.records]
    place = next(place for place, record in enumerate(wrong) if record[0] == CODES["decline"])
    wrong[place] = [CODES["abort"], wrong[place][1]]
    other = written(tmp_path, header, wrong, name="b.trace")
    done = runner.invoke(main, ["trace", "replay", str(other)])
    assert done.exit_code == 1 and "noted: abort" in done.output and "asked: decline" in done.output
    for bad in ("none.trace", "junk.trace"):
        (tmp_path / "junk.trace").write_bytes(b"junk")
        result = runner.invoke(main, ["trace", "info", str(tmp_path / bad)])
        assert result.exit_code == 2 and len(result.stderr.splitlines()) == 1


def test_settings_name_the_folder():
    from conftest import EDGE

    form = parse_form(EDGE.strip()[:-1] + ' (trace (folder "t") (part-mb 1)))', "f", edge=EdgeForm)
    assert form.trace.folder == "t" and form.trace.budget_mb == 256 and form.trace.recording
    with pytest.raises(BadSettingsError) as bad:
        parse_form(EDGE.strip()[:-1] + ' (trace (folder "t") (part-mb 16) (budget-mb 20)))', "f", edge=EdgeForm)
    assert "budget-mb" in str(bad.value.faults)
