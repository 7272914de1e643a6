"""Tools for traces: cut, merge, anonymise, compare, diff; each on the trace of a proxy that has served calls of all kinds."""

import itertools
import random
from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st
from test_trace import recorded_run, replay_records, write_trace  # noqa: F401 - busy is a fixture

from gingergap import call_controller
from gingergap.cli.main import main
from gingergap.trace import format as trace_format
from gingergap.trace.anonymise import NumberCipher, anonymise, module_strings
from gingergap.trace.clocks import DirectedDelays, binding_points, estimate_clocks
from gingergap.trace.compare import classify_differences, compare, module_at
from gingergap.trace.cut import cut, resolve_selection
from gingergap.trace.diff import diff_traces
from gingergap.trace.entry_writer import EntryWriter
from gingergap.trace.format import CODES, FIRST_ACTION, FIRST_NOTE, FORMAT, SNAPSHOT, BadTraceError, Header
from gingergap.trace.merge import count_reordered, merge
from gingergap.trace.query import dialog_of
from gingergap.trace.replay import Replay, replay
from gingergap.trace.snapshot import freeze, state_of
from gingergap.trace.stream import Entry, open_traces
from gingergap.trace.timeline import ESTABLISHED, dialog_timelines

TICK, SENT, RECEIVED = CODES["tick"], CODES["sent"], CODES["received"]


def insert_snapshots(header, records, every):
    """The same records, with a snapshot of the module's state before every `every`th event."""
    shadow, result, events = Replay(header), [], 0
    for record in records:
        if record[0] < FIRST_ACTION:
            events += 1
            if events % every == 0:
                result.append([SNAPSHOT, record[1], freeze(shadow.controller)])
        shadow.take(record)
        result.append(record)
    return result


@pytest.fixture
def long_trace(recorded_run, tmp_path):  # noqa: F811
    """A trace with snapshots, in blocks of a hundred records."""
    buffer, header = recorded_run
    records = insert_snapshots(header, buffer.records, 60)
    return open_traces([write_trace(tmp_path, header, records, block_records=100, name="long.trace")])[0]


def replay_all(path):
    (trace,) = open_traces([Path(path)])
    replays = replay(trace.sources, trace.entries(), trace.from_start)
    assert all(run.difference is None for run in replays), [run.difference for run in replays]
    return trace, replays


# --- cut ---


def test_a_cut_window_replays_from_the_snapshot_before_it(long_trace, tmp_path):
    first, last = long_trace.block_locations()[0].summary.first_time, long_trace.block_locations()[-1].summary.last_time
    low, high = first + (last - first) // 2, first + (last - first) * 3 // 4
    cut(long_trace, resolve_selection(long_trace, low, high, frozenset(), None), tmp_path / "cut.trace")
    trace, (done,) = replay_all(tmp_path / "cut.trace")
    assert trace.header.window == (low, high) and not trace.from_start and done.resumed == 1 and done.gaps == 0
    entries = list(trace.entries())
    all_entries = list(long_trace.entries())
    assert 0 < len(entries) < len(all_entries) and done.actions > 10
    inside = [entry for entry in all_entries if low <= entry.time <= high]
    assert [entry for entry in entries if entry.time >= low] == inside


@given(share=st.floats(0, 1), length=st.floats(0, 0.3))
@settings(max_examples=25, derandomize=True, deadline=None)
def test_any_window_holds_exactly_its_entries_and_replays(shared_long_trace, share, length):
    trace, folder = shared_long_trace
    first, last = trace.block_locations()[0].summary.first_time, trace.block_locations()[-1].summary.last_time
    low = first + int((last - first) * share)
    high = min(last, low + int((last - first) * length))
    path = folder / "cut.trace"
    path.unlink(missing_ok=True)
    cut(trace, resolve_selection(trace, low, high, frozenset(), None), path)
    cut_trace, (done,) = replay_all(path)
    assert done.skipped_events == sum(
        entry.time < low and entry.record[0] < FIRST_ACTION
        for entry in itertools.takewhile(lambda entry: entry.record[0] != SNAPSHOT, cut_trace.entries())
    ) * (not cut_trace.from_start)
    assert [entry for entry in cut_trace.entries() if entry.time >= low] == [
        entry for entry in trace.entries() if low <= entry.time <= high
    ]


@pytest.fixture(scope="module")
def shared_long_trace(tmp_path_factory):
    """The same as `long_trace`, built once for all examples of a property test."""
    import conftest
    from test_trace import recorded_run as fixture

    folder = tmp_path_factory.mktemp("long")
    patch = pytest.MonkeyPatch()
    try:
        buffer, header = fixture.__wrapped__(conftest.peers_of.__wrapped__(), patch)
    finally:
        patch.undo()
    return open_traces(
        [write_trace(folder, header, insert_snapshots(header, buffer.records, 60), block_records=100, name="long.trace")]
    )[0], folder


def test_two_windows_that_split_a_dialog_both_replay(long_trace, tmp_path):
    timeline = max(dialog_timelines(long_trace), key=lambda timeline: timeline.last_record_at - timeline.arrived_at)
    middle = (timeline.arrived_at + timeline.last_record_at) // 2
    assert timeline.arrived_at < middle < timeline.last_record_at
    found = []
    for name, low, high in (("a", timeline.arrived_at, middle), ("b", middle + 1, timeline.last_record_at)):
        cut(long_trace, resolve_selection(long_trace, low, high, frozenset(), None), tmp_path / f"{name}.trace")
        trace, (done,) = replay_all(tmp_path / f"{name}.trace")
        assert done.actions > 0
        found += [entry for entry in trace.entries() if low <= entry.time <= high and dialog_of(entry) == timeline.dialog]
    expected = [entry for entry in long_trace.entries() if dialog_of(entry) == timeline.dialog]
    assert found == expected and len(expected) > 2
    timelines = {timeline.dialog: timeline for timeline in dialog_timelines(open_traces([tmp_path / "a.trace"])[0])}
    assert timelines[timeline.dialog].outcome == "open"


def test_dialogs_and_destinations_are_cut_out_with_all_of_their_records(long_trace, tmp_path):
    timeline = next(candidate for candidate in dialog_timelines(long_trace) if candidate.legs and candidate.outcome == ESTABLISHED)
    selection = resolve_selection(long_trace, None, None, frozenset({timeline.dialog}), None)
    assert (selection.low, selection.high) == (timeline.arrived_at, timeline.last_record_at) and selection.focus == {
        (0, timeline.dialog)
    }
    selection = resolve_selection(long_trace, None, None, frozenset(), 2)
    expected = {(0, candidate.dialog) for candidate in dialog_timelines(long_trace) if candidate.involves(2)}
    assert selection.focus == expected and 0 < len(expected) < len(list(dialog_timelines(long_trace)))
    writer = cut(long_trace, selection, tmp_path / "far.trace", bare=True)
    (bare,) = open_traces([tmp_path / "far.trace"])
    dialogs = {entry.record[trace_format.DIALOG_FIELD[entry.record[0]]] for entry in bare.entries()}
    assert {(0, dialog) for dialog in dialogs} == expected and writer.record_count < sum(1 for _ in long_trace.entries())
    with pytest.raises(BadTraceError, match="none of its dialogs matches"):
        resolve_selection(long_trace, None, None, frozenset({10**6}), None)
    with pytest.raises(BadTraceError, match="nothing in that window"):
        cut(long_trace, resolve_selection(long_trace, 1 << 40, None, frozenset(), None), tmp_path / "none.trace")


# --- merge ---


def test_the_true_clock_offset_lies_within_the_reported_uncertainty():
    generator = random.Random(7)
    offset, drift = 2_000.0, 0.5  # 200 ms and 50 millionths
    delays = {(0, 1): DirectedDelays(), (1, 0): DirectedDelays()}
    for _ in range(2_000):
        sent = generator.randrange(600_000)
        delay = 10 + int(generator.expovariate(1 / 50))
        local_time = int(sent + offset + drift * sent / 10_000)
        if generator.random() < 0.5:
            delays[0, 1].add(sent, int(local_time + delay))
        else:
            delays[1, 0].add(local_time, sent + delay)
    (first, second), relaxed_by = estimate_clocks(2, delays, (), 0, 600_000)
    assert first.offset == 0 and relaxed_by == 0
    middle = second.offset + second.drift * 30
    assert abs(middle + offset + drift * 30) <= second.uncertainty + 2
    assert 0 < second.uncertainty < 40 and abs(second.drift + drift) < 0.5


def test_a_clock_step_is_reported_and_one_direction_alone_bounds_one_side():
    delays = {(0, 1): DirectedDelays(), (1, 0): DirectedDelays()}
    for sent in range(0, 100_000, 500):
        shift = 0 if sent < 50_000 else 3_000
        delays[0, 1].add(sent, sent + shift + 10)
        delays[1, 0].add(sent + shift, sent + 10)
    _, relaxed_by = estimate_clocks(2, delays, (), 0, 100_000)
    assert relaxed_by > 300
    direction = DirectedDelays()
    direction.add(0, -500)
    (_, second), relaxed_by = estimate_clocks(2, {(0, 1): direction}, (), 0, 1_000)
    assert second.offset >= 499 and second.uncertainty == -1 and relaxed_by == 0


@given(
    st.lists(st.tuples(st.integers(0, 1_000), st.integers(0, 300)), min_size=1, max_size=60),
    st.integers(-300, 300),
    st.floats(-0.2, 0.2),
)
@settings(max_examples=150, derandomize=True, deadline=None)
def test_points_outside_the_hull_cannot_bind_a_line(points, offset, slope):
    all_points = [(sent, sent + delay) for sent, delay in points]
    hull = binding_points(all_points)
    slack = min(received - sent - offset - slope * sent for sent, received in all_points)
    assert min(received - sent - offset - slope * sent for sent, received in hull) == pytest.approx(slack, abs=1e-6)


def write_proxy_traces(folder, seed, *, skew=2_000, drift=0.0, restart=False, lost=0.0):
    """Traces of three proxies that send each other messages; the clock of the second is off by `skew` and `drift`.

    The times are drawn by the true clock. A share `lost` of the messages is not received.
    """
    generator = random.Random(seed)
    records: list[list] = [[], [], []]
    happenings = []
    for number in range(300):
        sender, receiver = generator.sample(range(3), 2)
        sent = generator.randrange(100_000)
        message_id = number.to_bytes(8)
        happenings.append((sent, sender, SENT, message_id))
        if generator.random() >= lost:
            happenings.append((sent + 1 + int(generator.expovariate(1 / 30)), receiver, RECEIVED, message_id))
    happenings += [(now, index, TICK, b"") for now in range(0, 100_000, 500) for index in range(3)]
    happenings.sort(key=lambda happening: (happening[0], happening[2] != SENT))
    for now, index, code, message_id in happenings:
        local_time = now + (int(skew + drift * now / 10_000) if index == 1 else 0)
        records[index] += [[code, local_time]] if code == TICK else [[code, local_time, message_id, -1]]
    for index in range(3):
        periods = [(0, 45_000), (55_000, 1 << 40)] if restart and index == 2 else [(-1 << 40, 1 << 40)]
        for generation, (low, high) in enumerate(periods):
            header = Header(
                FORMAT,
                f"m{index}",
                f"e{generation}",
                f"p{index}",
                1_000.0 + (5 if generation else 0),
                50_000 if generation else 0,
                {"types": []},
            )
            path = folder / f"p{index}-e{generation}.trace"
            writer = EntryWriter(path, header)
            for record in records[index]:
                if low <= record[1] < high:
                    writer.write(Entry(0, record[1], record))
            writer.close()
    return records


def check_order(path, traces):
    """Checks that a merged trace holds all records of each source in their own order, and returns it."""
    (merged,) = open_traces([path])
    records_by_source = [[] for _ in merged.sources]
    times = []
    for entry in merged.entries():
        records_by_source[entry.source].append(entry.record)
        times.append(entry.time)
    assert times == sorted(times)
    for source, records in zip(merged.sources, records_by_source, strict=True):
        original = next(trace for trace in traces if (trace.header.instance, trace.header.epoch) == (source.instance, source.epoch))
        assert records == [entry.record for entry in original.entries()]
    return merged


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(
    "options",
    [{}, {"skew": -2_000, "drift": 3.0}, {"restart": True}, {"lost": 0.3, "drift": -1.0}],
    ids=["skewed", "drifting", "restarted", "lossy"],
)
def test_merged_traces_keep_each_order_and_receive_nothing_before_it_is_sent(tmp_path, seed, options):
    write_proxy_traces(tmp_path, seed, **options)
    traces = open_traces(sorted(tmp_path.glob("p*.trace")))
    done = merge(traces, tmp_path / "merged.trace")
    merged = check_order(tmp_path / "merged.trace", traces)
    messages, reordered = count_reordered(merged)
    assert reordered == 0 and done.forced == 0 and messages > 150
    skew = options.get("skew", 2_000)
    sources = {source.instance: source for source in done.sources}
    difference = (sources["p1"].offset - sources["p0"].offset) + skew
    drift = options.get("drift", 0.0)
    assert abs(difference + 5 * drift) <= max(sources["p1"].uncertain, 0) + 60 + abs(5 * drift)
    if options.get("restart"):
        restarted_sources = [index for index, source in enumerate(merged.sources) if source.instance == "p2"]
        order = [entry.source for entry in merged.entries() if entry.source in restarted_sources]
        assert order == sorted(order)


def test_a_clock_step_of_half_a_second_reorders_no_message(tmp_path):
    records = write_proxy_traces(tmp_path, 9, skew=0)
    for record in records[1]:
        record[1] += 5_000 if record[1] > 50_000 else 0
    (tmp_path / "p1-e0.trace").unlink()
    writer = EntryWriter(tmp_path / "p1-e0.trace", Header(FORMAT, "m1", "e0", "p1", 1_000.0, 0, {"types": []}))
    for record in records[1]:
        writer.write(Entry(0, record[1], record))
    writer.close()
    traces = open_traces(sorted(tmp_path.glob("p*.trace")))
    done = merge(traces, tmp_path / "merged.trace")
    merged = check_order(tmp_path / "merged.trace", traces)
    assert done.relaxed_by > 0 and done.held_back > 0 and done.forced == 0 and count_reordered(merged)[1] == 0


def test_contradictory_traces_are_merged_and_reported(tmp_path):
    for name, rows in (
        ("a", [[RECEIVED, 10, b"y" * 8, -1], [SENT, 20, b"x" * 8, -1]]),
        ("b", [[RECEIVED, 10, b"x" * 8, -1], [SENT, 20, b"y" * 8, -1]]),
    ):
        writer = EntryWriter(tmp_path / f"{name}.trace", Header(FORMAT, "m", "e", name, 0.0, 0, {"types": []}))
        for record in rows:
            writer.write(Entry(0, record[1], record))
        writer.close()
    done = merge(open_traces([tmp_path / "a.trace", tmp_path / "b.trace"]), tmp_path / "m.trace")
    assert done.forced == 1 and done.records == 4


def test_merged_traces_of_several_modules_replay_and_can_be_cut(recorded_run, tmp_path, monkeypatch):  # noqa: F811
    buffer, header = recorded_run
    records = insert_snapshots(header, buffer.records, 80)
    write_trace(tmp_path, header, records, name="a.trace")
    other = trace_format.msgspec.structs.replace(header, instance="p1", module="another", wall=0.3)
    write_trace(tmp_path, other, records, name="b.trace")
    monkeypatch.setattr("gingergap.trace.entry_writer.BLOCK_RECORDS", 100)
    merge(open_traces([tmp_path / "a.trace", tmp_path / "b.trace"]), tmp_path / "m.trace")
    trace, replays = replay_all(tmp_path / "m.trace")
    assert trace.header.module == "several" and [run.source.module for run in replays] == [header.module, "another"]
    assert replays[0].actions == replays[1].actions > 100
    first, last = trace.block_locations()[0].summary.first_time, trace.block_locations()[-1].summary.last_time
    cut(trace, resolve_selection(trace, (first + 2 * last) // 3, None, frozenset(), None), tmp_path / "cut.trace")
    cut_trace, cut_replays = replay_all(tmp_path / "cut.trace")
    assert cut_trace.merged and all(run.resumed == 1 and run.actions > 0 for run in cut_replays)
    assert sum(run.actions for run in cut_replays) < sum(run.actions for run in replays)
    with pytest.raises(BadTraceError, match="merged trace can't be merged"):
        merge([trace], tmp_path / "mm.trace")


# --- anonymise ---

KEY = b"sixteen bytes or more"


@given(st.from_regex(r"\+?[0-9]{1,15}", fullmatch=True), st.from_regex(r"\+?[0-9]{1,15}", fullmatch=True))
@settings(max_examples=100, derandomize=True, deadline=None)
def test_replaced_numbers_keep_their_form_and_stay_distinct(first_number, second_number):
    numbers = NumberCipher(KEY)
    first_result, second_result = numbers.replace_number(first_number), numbers.replace_number(second_number)
    assert (first_result == second_result) == (first_number == second_number)
    assert len(first_result) == len(first_number) and [char.isdigit() for char in first_result] == [
        char.isdigit() for char in first_number
    ]


@given(st.from_regex(r"[a-zA-Z0-9]{1,24}", fullmatch=True), st.from_regex(r"[a-z0-9]{1,24}", fullmatch=True))
@settings(max_examples=60, derandomize=True, deadline=None)
def test_replaced_alphanumeric_names_stay_distinct(first_name, second_name):
    numbers = NumberCipher(KEY)
    assert (numbers.replace_number(first_name) == numbers.replace_number(second_name)) == (first_name == second_name)
    assert numbers.replace_number(first_name).isdigit() == first_name.isdigit()
    assert numbers.replace_number(f"num:{first_name}").startswith("num:") and numbers.replace_number(f"num:{first_name}")[
        4:
    ] == numbers.replace_number(first_name)


def unpacked_bytes(path):
    """A trace file's bytes, followed by its records unpacked: header, summaries, records, snapshots, index."""
    (trace,) = open_traces([path])
    content = path.read_bytes()
    for reader in trace.readers:
        for block in reader.blocks():
            for record in reader.unpack_block(block):
                content += trace_format.ENCODER.encode(record)
    return content


def test_anonymising_leaves_no_number_and_changes_no_decision(recorded_run, tmp_path):  # noqa: F811
    buffer, header = recorded_run
    records_with_long_numbers = [
        [*record[:6], f"27{record[6]}55", *record[7:]] if record[0] == CODES["dialog_received"] else record
        for record in buffer.records
    ]
    numbers = sorted({record[6] for record in records_with_long_numbers if record[0] == CODES["dialog_received"]})
    records = insert_snapshots(header, records_with_long_numbers, 25)
    records.insert(40, [CODES["remark"], records[39][1], f"lines dead at {numbers[3]}, and at +{numbers[5]} since 09:14"])
    header = trace_format.msgspec.structs.replace(header, instance=f"p{numbers[0]}")
    path = write_trace(tmp_path, header, records, block_records=100)
    assert all(number.encode() in unpacked_bytes(path) for number in numbers)
    (writer,) = anonymise(open_traces([path])[0], NumberCipher(KEY), tmp_path / "out")
    content = unpacked_bytes(writer.path)
    assert not [number for number in numbers if number.encode() in content]
    trace, (done,) = replay_all(writer.path)
    assert done.actions == replay_records(header, records).actions
    remark = next(entry.record[2] for entry in trace.entries() if entry.record[0] == CODES["remark"])
    assert remark.startswith("lines dead at ") and remark.endswith(" since 09:14")
    states = [state_of(entry.record[2]) for entry in trace.entries() if entry.record[0] == SNAPSHOT]
    kept_numbers = {dialog.caller_number for state in states for dialog in state["dialogs"].values()}
    assert kept_numbers and kept_numbers <= {NumberCipher(KEY).replace_number(number) for number in numbers}
    assert {entry_kind for state in states for _, _, entry_kind in state["timers"]} <= module_strings()


def test_a_replay_from_an_anonymised_snapshot_matches(recorded_run, tmp_path):  # noqa: F811
    buffer, header = recorded_run
    records = insert_snapshots(header, buffer.records, 50)
    (writer,) = anonymise(
        open_traces([write_trace(tmp_path, header, records, block_records=100)])[0], NumberCipher(KEY), tmp_path / "out"
    )
    (trace,) = open_traces([writer.path])
    entries = list(trace.entries())
    first = [index for index, entry in enumerate(entries) if entry.record[0] == SNAPSHOT][2]
    (done,) = replay(trace.sources, entries[first:], from_start=False)
    assert done.difference is None and done.resumed == 1 and done.actions > 50


def test_an_unreadable_snapshot_is_not_anonymised(tmp_path, recorded_run):  # noqa: F811
    _, header = recorded_run
    path = write_trace(tmp_path, header, [[SNAPSHOT, 1, b"junk"], [TICK, 2]])
    with pytest.raises(BadTraceError, match="not known which numbers"):
        anonymise(open_traces([path])[0], NumberCipher(KEY), tmp_path / "out")


# --- compare and diff ---

WITHHOLDING_MODULE = """
from .call_controller import *  # noqa
from . import call_controller
LinearCongruentialGenerator, TrunkGroup, Exchange, Dialog = (type(name, (getattr(call_controller, name),), {"__module__": __name__}
                                        | ({"__slots__": ()} if name == "Dialog" else {}))
                                        for name in ("LinearCongruentialGenerator", "TrunkGroup", "Exchange", "Dialog"))


class CallController(call_controller.CallController):
    def _send(self, dialog_index, dialog, exchange):
        if dialog_index % 5 == 0 and not dialog.legs_sent:
            return False
        return super()._send(dialog_index, dialog, exchange)
"""


def test_the_differences_of_another_module_are_counted_at_every_event(recorded_run, tmp_path):  # noqa: F811
    buffer, header = recorded_run
    path = tmp_path / "other.py"
    path.write_text(WITHHOLDING_MODULE)
    (trace,) = open_traces([write_trace(tmp_path, header, buffer.records)])
    result = compare(trace.sources, trace.entries(), True, module_at(path))
    timelines = list(dialog_timelines(trace))
    assert result.decisions == replay_records(header, buffer.records).actions
    withheld_legs = sum(kind.count for name, kind in result.kinds.items() if name.startswith("send_leg ->"))
    assert withheld_legs == sum(bool(timeline.legs) and timeline.dialog % 5 == 0 for timeline in timelines) > 3
    lost_importance = sum(kind.lost_importance for name, kind in result.kinds.items() if name.endswith("-> decline"))
    established = [timeline for timeline in timelines if timeline.outcome == ESTABLISHED and timeline.dialog % 5 == 0]
    declined_kinds = [name for name in result.kinds if name == "send_leg -> decline"]
    assert lost_importance <= len(established) and (lost_importance > 0) == bool(declined_kinds and established)
    same_module_result = compare(trace.sources, trace.entries(), True, call_controller)
    assert same_module_result.kinds == {} and same_module_result.established_importance == result.established_importance > 0


def test_comparing_fails_if_this_module_does_not_decide_as_recorded(recorded_run, tmp_path):  # noqa: F811
    buffer, header = recorded_run
    records = [[CODES["abort"], record[1]] if record[0] == CODES["decline"] else record for record in buffer.records]
    (trace,) = open_traces([write_trace(tmp_path, header, records)])
    with pytest.raises(BadTraceError, match="does not decide as was recorded"):
        compare(trace.sources, trace.entries(), True, call_controller)


@pytest.mark.parametrize("text", ["this is no Python", "x = 1", "raise OSError('no')"])
def test_a_file_that_is_no_module_is_refused_in_one_line(tmp_path, text):
    path = tmp_path / "other.py"
    path.write_text(text)
    with pytest.raises(BadTraceError) as error:
        module_at(path)
    assert str(path) in str(error.value) and "\n" not in str(error.value)


def test_names_of_differences():
    send, decline, wake = CODES["send_leg"], CODES["decline"], CODES["schedule_tick"]
    assert [row[0] for row in classify_differences([[send, 1, 2, 9]], [[send, 1, 3, 9]])] == ["leg to another exchange"]
    assert [row[0] for row in classify_differences([[send, 1, 2, 9]], [[send, 1, 2, 8]])] == ["other figures in send_leg"]
    assert [row[0] for row in classify_differences([[send, 1, 2, 9]], [[decline, 1, 0]])] == ["send_leg -> decline"]
    assert [row[0] for row in classify_differences([[wake, 200]], [])] == ["schedule_tick -> nothing yet"]
    assert [row[0] for row in classify_differences([[send, 1, 2, 9], [decline, 2, 0]], [[decline, 2, 0], [send, 1, 2, 9]])] == [
        "other order of the same"
    ]


def test_diff_finds_the_first_differing_record(recorded_run, tmp_path):  # noqa: F811
    buffer, header = recorded_run
    (left,) = open_traces([write_trace(tmp_path, header, buffer.records, name="a.trace")])
    (same,) = open_traces(
        [write_trace(tmp_path, header, [record for record in buffer.records if record[0] < FIRST_NOTE], name="b.trace")]
    )
    assert diff_traces(left, same).record_index == -1
    changed = list(buffer.records)
    index = next(index for index, record in enumerate(changed) if record[0] == CODES["decline"])
    changed[index] = [CODES["decline"], changed[index][1], 77_777]
    (right,) = open_traces([write_trace(tmp_path, header, changed, name="c.trace")])
    diff = diff_traces(left, right)
    compared = sum(record[0] < FIRST_NOTE for record in buffer.records[:index])
    assert diff.record_index == compared and diff.right[2] == 77_777 and diff.before
    (shorter,) = open_traces([write_trace(tmp_path, header, buffer.records[:-30], name="d.trace")])
    diff = diff_traces(left, shorter)
    assert diff.right is None and diff.counts


# --- the commands ---


def test_the_output_of_one_command_is_the_input_of_the_next(recorded_run, tmp_path):  # noqa: F811
    buffer, header = recorded_run
    records = insert_snapshots(header, buffer.records, 60)
    for name, wall in (("p0", 0.0), ("p1", 0.2)):
        other = trace_format.msgspec.structs.replace(header, instance=name, wall=wall)
        write_trace(tmp_path, other, records, block_records=100, name=f"{name}-e1-000.trace")
    key = tmp_path / "key"
    key.write_bytes(KEY)
    run = CliRunner().invoke
    paths = [str(tmp_path / f"p{number}-e1-000.trace") for number in (0, 1)]
    steps = [
        ["merge", *paths, "--out", f"{tmp_path}/m.trace"],
        ["cut", f"{tmp_path}/m.trace", "--from", "1", "--to", "4", "--out", f"{tmp_path}/c.trace"],
        ["anonymise", f"{tmp_path}/c.trace", "--key", str(key), "--out", f"{tmp_path}/out"],
        ["replay", f"{tmp_path}/out/c.trace"],
        ["info", f"{tmp_path}/out/c.trace"],
        ["diff", paths[0], paths[0]],
        ["summarise", paths[0], "--chart", f"{tmp_path}/chart.svg"],
        ["spans", paths[0], "--out", f"{tmp_path}/spans.jsonl"],
        ["show", paths[0], "--at", "30", "--around", "3"],
    ]
    for step in steps:
        result = run(main, ["trace", *step])
        assert result.exit_code == 0, (step, result.output, result.stderr)
    assert (tmp_path / "chart.svg").stat().st_size > 5_000
    assert run(main, ["trace", "diff", paths[0], paths[1]]).exit_code == 0
    assert run(main, ["trace", "diff", paths[0], f"{tmp_path}/c.trace"]).exit_code == 1
    other_path = tmp_path / "other.py"
    other_path.write_text(WITHHOLDING_MODULE)
    result = run(main, ["trace", "replay", paths[0], "--module", str(other_path)])
    assert result.exit_code == 1 and "send_leg" in result.output


@pytest.mark.parametrize(
    "arguments",
    [
        ["info", "nowhere.trace"],
        ["info", "."],
        ["cut", "p.trace", "--dialog", "99999", "--out", "c.trace"],
        ["anonymise", "p.trace", "--key", "short", "--out", "out"],
        ["anonymise", "p.trace", "--key", "key", "--out", "."],
        ["replay", "p.trace", "--module", "short"],
        ["replay", "bare.trace"],
        ["merge", "bare.trace", "--out", "m.trace"],
        ["cut", "p.trace", "--to", "1", "--out", "p.trace"],
        ["from-tap", "short", "--out", "o"],
        ["summarise", "p.trace", "--chart", "c.nothing"],
        ["spans", "p.trace", "--out", "no/such/folder"],
        ["state", "--control", "none.sock"],
    ],
)
def test_invalid_requests_end_in_one_line_and_exit_2(recorded_run, tmp_path, monkeypatch, arguments):  # noqa: F811
    monkeypatch.chdir(tmp_path)
    buffer, header = recorded_run
    path = write_trace(tmp_path, header, buffer.records, name="p.trace")
    (tmp_path / "short").write_text("x y z")
    (tmp_path / "key").write_bytes(KEY)
    (tmp_path / "empty").mkdir()
    (trace,) = open_traces([path])
    cut(trace, resolve_selection(trace, None, None, frozenset({5}), None), tmp_path / "bare.trace", bare=True)
    before = path.read_bytes()
    if arguments == ["info", "."]:
        arguments = ["info", "empty"]
    result = CliRunner().invoke(main, ["trace", *arguments])
    assert result.exit_code == 2 and len(result.stderr.strip().splitlines()) == 1, (result.output, result.stderr)
    assert path.read_bytes() == before


def test_traces_of_several_processes_in_one_folder_are_separate(recorded_run, tmp_path):  # noqa: F811
    buffer, header = recorded_run
    for epoch, wall in (("e1", 0.0), ("e2", 50.0)):
        write_trace(
            tmp_path,
            trace_format.msgspec.structs.replace(header, epoch=epoch, wall=wall),
            buffer.records,
            name=f"p0-{epoch}-000.trace",
        )
    traces = open_traces([tmp_path])
    assert [trace.header.epoch for trace in traces] == ["e1", "e2"]
    merge(traces, tmp_path / "m.trace")
    merged = check_order(tmp_path / "m.trace", traces)
    assert [key for key, _ in itertools.groupby(entry.source for entry in merged.entries())] == [0, 1]
