"""Tools on traces: cut, merge, anonymise, compare, diff; each on the tape of a proxy that has served calls of all kinds."""

import itertools
import random
from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st
from test_trace import busy, replayed, written  # noqa: F401 - busy is a fixture

from gingergap import call_controller
from gingergap.cli.main import main
from gingergap.trace import format as trace_format
from gingergap.trace.anonymise import Numbers, anonymise, own_words
from gingergap.trace.clocks import Way, binding, estimate
from gingergap.trace.compare import compare, kinds_of, module_at
from gingergap.trace.copy import Copy
from gingergap.trace.cut import cut, span_of
from gingergap.trace.difference import difference
from gingergap.trace.format import CODES, FIRST_ACTION, FIRST_NOTE, FORMAT, SNAPSHOT, BadTraceError, Header
from gingergap.trace.merge import merge, order
from gingergap.trace.replay import Replay, replay
from gingergap.trace.snapshot import freeze, state_of
from gingergap.trace.stories import STOOD, stories_of
from gingergap.trace.stream import Entry, opened
from gingergap.trace.window import dialog_of

TICK, SENT, CAME = CODES["tick"], CODES["sent"], CODES["came"]


def with_states(header, records, every):
    """The same records with the module's state before every so many events."""
    behind, found, events = Replay(header), [], 0
    for record in records:
        if record[0] < FIRST_ACTION:
            events += 1
            if events % every == 0:
                found.append([SNAPSHOT, record[1], freeze(behind.controller)])
        behind.take(record)
        found.append(record)
    return found


@pytest.fixture
def long(busy, tmp_path):  # noqa: F811
    """A trace with states in it, in blocks of a hundred records."""
    tape, header = busy
    records = with_states(header, tape.records, 60)
    return opened([written(tmp_path, header, records, each=100, name="long.trace")])[0]


def all_alike(path):
    (trace,) = opened([Path(path)])
    done = replay(trace.sources, trace.entries(), trace.whole)
    assert all(one.difference is None for one in done), [one.difference for one in done]
    return trace, done


# --- cut ---


def test_a_window_is_replayed_by_itself_from_the_state_before_it(long, tmp_path):
    first, last = long.places()[0].stretch.first, long.places()[-1].stretch.last
    low, high = first + (last - first) // 2, first + (last - first) * 3 // 4
    cut(long, span_of(long, low, high, frozenset(), None), tmp_path / "cut.trace")
    trace, (done,) = all_alike(tmp_path / "cut.trace")
    assert trace.header.window == (low, high) and not trace.whole and done.resumed == 1 and done.gaps == 0
    entries = list(trace.entries())
    whole = list(long.entries())
    assert 0 < len(entries) < len(whole) and done.actions > 10
    inside = [entry for entry in whole if low <= entry.now <= high]
    assert [entry for entry in entries if entry.now >= low] == inside


@given(share=st.floats(0, 1), length=st.floats(0, 0.3))
@settings(max_examples=25, derandomize=True, deadline=None)
def test_any_window_holds_what_happened_in_it_and_replays(long_once, share, length):
    trace, folder = long_once
    first, last = trace.places()[0].stretch.first, trace.places()[-1].stretch.last
    low = first + int((last - first) * share)
    high = min(last, low + int((last - first) * length))
    path = folder / "cut.trace"
    path.unlink(missing_ok=True)
    cut(trace, span_of(trace, low, high, frozenset(), None), path)
    cutting, (done,) = all_alike(path)
    assert done.passed_over == sum(
        entry.now < low and entry.record[0] < FIRST_ACTION
        for entry in itertools.takewhile(lambda one: one.record[0] != SNAPSHOT, cutting.entries())
    ) * (not cutting.whole)
    assert [entry for entry in cutting.entries() if entry.now >= low] == [
        entry for entry in trace.entries() if low <= entry.now <= high
    ]


@pytest.fixture(scope="module")
def long_once(tmp_path_factory):
    """The same as `long`, made once for a property."""
    import conftest
    from test_trace import busy as fixture

    folder = tmp_path_factory.mktemp("long")
    patch = pytest.MonkeyPatch()
    try:
        tape, header = fixture.__wrapped__(conftest.peers_of.__wrapped__(), patch)
    finally:
        patch.undo()
    return opened([written(folder, header, with_states(header, tape.records, 60), each=100, name="long.trace")])[0], folder


def test_two_windows_that_split_a_dialog_both_replay(long, tmp_path):
    story = max(stories_of(long), key=lambda one: one.last - one.came)
    middle = (story.came + story.last) // 2
    assert story.came < middle < story.last
    heard = []
    for name, low, high in (("a", story.came, middle), ("b", middle + 1, story.last)):
        cut(long, span_of(long, low, high, frozenset(), None), tmp_path / f"{name}.trace")
        trace, (done,) = all_alike(tmp_path / f"{name}.trace")
        assert done.actions > 0
        heard += [entry for entry in trace.entries() if low <= entry.now <= high and dialog_of(entry) == story.dialog]
    whole = [entry for entry in long.entries() if dialog_of(entry) == story.dialog]
    assert heard == whole and len(whole) > 2
    here = {one.dialog: one for one in stories_of(opened([tmp_path / "a.trace"])[0])}
    assert here[story.dialog].final == "open"


def test_dialogs_and_far_ends_are_cut_out_with_the_whole_of_their_lives(long, tmp_path):
    story = next(one for one in stories_of(long) if one.legs and one.final == STOOD)
    span = span_of(long, None, None, frozenset({story.dialog}), None)
    assert (span.low, span.high) == (story.came, story.last) and span.focus == {(0, story.dialog)}
    span = span_of(long, None, None, frozenset(), 2)
    touched = {(0, one.dialog) for one in stories_of(long) if one.touches(2)}
    assert span.focus == touched and 0 < len(touched) < len(list(stories_of(long)))
    copy = cut(long, span, tmp_path / "far.trace", bare=True)
    (bare,) = opened([tmp_path / "far.trace"])
    dialogs = {entry.record[trace_format.DIALOG_AT[entry.record[0]]] for entry in bare.entries()}
    assert {(0, dialog) for dialog in dialogs} == touched and copy.records < sum(1 for _ in long.entries())
    with pytest.raises(BadTraceError, match="nothing of that"):
        span_of(long, None, None, frozenset({10**6}), None)
    with pytest.raises(BadTraceError, match="nothing in that window"):
        cut(long, span_of(long, 1 << 40, None, frozenset(), None), tmp_path / "none.trace")


# --- merge ---


def test_clocks_are_found_from_what_crossed_and_the_truth_lies_within_what_is_told():
    draw = random.Random(7)
    offset, drift = 2_000.0, 0.5  # 200 ms and 50 millionths
    ways = {(0, 1): Way(), (1, 0): Way()}
    for _ in range(2_000):
        sent = draw.randrange(600_000)
        delay = 10 + int(draw.expovariate(1 / 50))
        here = int(sent + offset + drift * sent / 10_000)
        if draw.random() < 0.5:
            ways[0, 1].add(sent, int(here + delay))
        else:
            ways[1, 0].add(here, sent + delay)
    (first, second), given_up = estimate(2, ways, (), 0, 600_000)
    assert first.offset == 0 and given_up == 0
    middle = second.offset + second.drift * 30
    assert abs(middle + offset + drift * 30) <= second.uncertain + 2
    assert 0 < second.uncertain < 40 and abs(second.drift + drift) < 0.5


def test_a_clock_that_was_set_is_told_and_one_way_alone_bounds_one_side():
    ways = {(0, 1): Way(), (1, 0): Way()}
    for sent in range(0, 100_000, 500):
        shift = 0 if sent < 50_000 else 3_000
        ways[0, 1].add(sent, sent + shift + 10)
        ways[1, 0].add(sent + shift, sent + 10)
    _, given_up = estimate(2, ways, (), 0, 100_000)
    assert given_up > 300
    way = Way()
    way.add(0, -500)
    (_, second), given_up = estimate(2, {(0, 1): way}, (), 0, 1_000)
    assert second.offset >= 499 and second.uncertain == -1 and given_up == 0


@given(
    st.lists(st.tuples(st.integers(0, 1_000), st.integers(0, 300)), min_size=1, max_size=60),
    st.integers(-300, 300),
    st.floats(-0.2, 0.2),
)
@settings(max_examples=150, derandomize=True, deadline=None)
def test_points_that_are_dropped_can_bind_no_line(points, offset, slope):
    given = [(sent, sent + delay) for sent, delay in points]
    kept = binding(given)
    room = min(received - sent - offset - slope * sent for sent, received in given)
    assert min(received - sent - offset - slope * sent for sent, received in kept) == pytest.approx(room, abs=1e-6)


def proxies(folder, seed, *, skew=2_000, drift=0.0, restart=False, lost=0.0):
    """Traces of three proxies that tell each other things; the clock of the second is off. True times are in beats' own."""
    draw = random.Random(seed)
    records: list[list] = [[], [], []]
    happened = []
    for number in range(300):
        sender, receiver = draw.sample(range(3), 2)
        sent = draw.randrange(100_000)
        crossed = number.to_bytes(8)
        happened.append((sent, sender, SENT, crossed))
        if draw.random() >= lost:
            happened.append((sent + 1 + int(draw.expovariate(1 / 30)), receiver, CAME, crossed))
    happened += [(now, place, TICK, b"") for now in range(0, 100_000, 500) for place in range(3)]
    happened.sort(key=lambda one: (one[0], one[2] != SENT))
    for now, place, code, crossed in happened:
        clock = now + (int(skew + drift * now / 10_000) if place == 1 else 0)
        records[place] += [[code, clock]] if code == TICK else [[code, clock, crossed, -1]]
    for place in range(3):
        cuts = [(0, 45_000), (55_000, 1 << 40)] if restart and place == 2 else [(-1 << 40, 1 << 40)]
        for life, (low, high) in enumerate(cuts):
            header = Header(
                FORMAT, f"m{place}", f"e{life}", f"p{place}", 1_000.0 + (5 if life else 0), 50_000 if life else 0, {"types": []}
            )
            path = folder / f"p{place}-e{life}.trace"
            copy = Copy(path, header)
            for record in records[place]:
                if low <= record[1] < high:
                    copy.put(Entry(0, record[1], record))
            copy.close()
    return records


def kept_order(path, traces):
    """Whether each source's records stand in a merged trace in their own order, all of them."""
    (merged,) = opened([path])
    found = [[] for _ in merged.sources]
    times = []
    for entry in merged.entries():
        found[entry.source].append(entry.record)
        times.append(entry.now)
    assert times == sorted(times)
    for source, records in zip(merged.sources, found, strict=True):
        own = next(trace for trace in traces if (trace.header.instance, trace.header.epoch) == (source.instance, source.epoch))
        assert records == [entry.record for entry in own.entries()]
    return merged


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(
    "figures",
    [{}, {"skew": -2_000, "drift": 3.0}, {"restart": True}, {"lost": 0.3, "drift": -1.0}],
    ids=["skewed", "drifting", "restarted", "lossy"],
)
def test_merged_traces_keep_every_order_and_turn_nothing_round(tmp_path, seed, figures):
    proxies(tmp_path, seed, **figures)
    traces = opened(sorted(tmp_path.glob("p*.trace")))
    done = merge(traces, tmp_path / "merged.trace")
    merged = kept_order(tmp_path / "merged.trace", traces)
    many, turned = order(merged)
    assert turned == 0 and done.forced == 0 and many > 150
    skew = figures.get("skew", 2_000)
    found = {source.instance: source for source in done.sources}
    apart = (found["p1"].offset - found["p0"].offset) + skew
    drifted = figures.get("drift", 0.0)
    assert abs(apart + 5 * drifted) <= max(found["p1"].uncertain, 0) + 60 + abs(5 * drifted)
    if figures.get("restart"):
        lives = [place for place, source in enumerate(merged.sources) if source.instance == "p2"]
        order_of = [entry.source for entry in merged.entries() if entry.source in lives]
        assert order_of == sorted(order_of)


def test_a_clock_set_by_half_a_second_turns_nothing_round_either(tmp_path):
    records = proxies(tmp_path, 9, skew=0)
    for record in records[1]:
        record[1] += 5_000 if record[1] > 50_000 else 0
    (tmp_path / "p1-e0.trace").unlink()
    copy = Copy(tmp_path / "p1-e0.trace", Header(FORMAT, "m1", "e0", "p1", 1_000.0, 0, {"types": []}))
    for record in records[1]:
        copy.put(Entry(0, record[1], record))
    copy.close()
    traces = opened(sorted(tmp_path.glob("p*.trace")))
    done = merge(traces, tmp_path / "merged.trace")
    merged = kept_order(tmp_path / "merged.trace", traces)
    assert done.given_up > 0 and done.held_back > 0 and done.forced == 0 and order(merged)[1] == 0


def test_traces_that_contradict_themselves_are_merged_and_told(tmp_path):
    for name, rows in (
        ("a", [[CAME, 10, b"y" * 8, -1], [SENT, 20, b"x" * 8, -1]]),
        ("b", [[CAME, 10, b"x" * 8, -1], [SENT, 20, b"y" * 8, -1]]),
    ):
        copy = Copy(tmp_path / f"{name}.trace", Header(FORMAT, "m", "e", name, 0.0, 0, {"types": []}))
        for record in rows:
            copy.put(Entry(0, record[1], record))
        copy.close()
    done = merge(opened([tmp_path / "a.trace", tmp_path / "b.trace"]), tmp_path / "m.trace")
    assert done.forced == 1 and done.records == 4


def test_merged_traces_of_several_modules_replay_each_with_its_own_and_cut_again(busy, tmp_path, monkeypatch):  # noqa: F811
    tape, header = busy
    records = with_states(header, tape.records, 80)
    written(tmp_path, header, records, name="a.trace")
    other = trace_format.msgspec.structs.replace(header, instance="p1", module="another", wall=0.3)
    written(tmp_path, other, records, name="b.trace")
    monkeypatch.setattr("gingergap.trace.copy.EACH_BLOCK", 100)
    merge(opened([tmp_path / "a.trace", tmp_path / "b.trace"]), tmp_path / "m.trace")
    trace, done = all_alike(tmp_path / "m.trace")
    assert trace.header.module == "several" and [one.source.module for one in done] == [header.module, "another"]
    assert done[0].actions == done[1].actions > 100
    first, last = trace.places()[0].stretch.first, trace.places()[-1].stretch.last
    cut(trace, span_of(trace, (first + 2 * last) // 3, None, frozenset(), None), tmp_path / "cut.trace")
    short, again = all_alike(tmp_path / "cut.trace")
    assert short.merged and all(one.resumed == 1 and one.actions > 0 for one in again)
    assert sum(one.actions for one in again) < sum(one.actions for one in done)
    with pytest.raises(BadTraceError, match="merged trace can't be merged"):
        merge([trace], tmp_path / "mm.trace")


# --- anonymise ---

KEY = b"sixteen bytes or more"


@given(st.from_regex(r"\+?[0-9]{1,15}", fullmatch=True), st.from_regex(r"\+?[0-9]{1,15}", fullmatch=True))
@settings(max_examples=100, derandomize=True, deadline=None)
def test_numbers_keep_their_form_and_never_two_become_one(one, other):
    numbers = Numbers(KEY)
    first, second = numbers.number(one), numbers.number(other)
    assert (first == second) == (one == other)
    assert len(first) == len(one) and [char.isdigit() for char in first] == [char.isdigit() for char in one]


@given(st.from_regex(r"[a-zA-Z0-9]{1,24}", fullmatch=True), st.from_regex(r"[a-z0-9]{1,24}", fullmatch=True))
@settings(max_examples=60, derandomize=True, deadline=None)
def test_names_of_letters_and_digits_too(one, other):
    numbers = Numbers(KEY)
    assert (numbers.number(one) == numbers.number(other)) == (one == other)
    assert numbers.number(one).isdigit() == one.isdigit()
    assert numbers.number(f"num:{one}").startswith("num:") and numbers.number(f"num:{one}")[4:] == numbers.number(one)


def everything(path):
    """All bytes of a trace file with its blocks unpacked: header, frames, records, snapshots, index."""
    (trace,) = opened([path])
    whole = path.read_bytes()
    for reader in trace.readers:
        for block in reader.blocks():
            for record in reader.unpacked(block):
                whole += trace_format.ENCODER.encode(record)
    return whole


def test_no_number_is_left_anywhere_and_every_decision_is_the_same(busy, tmp_path):  # noqa: F811
    tape, header = busy
    grown = [
        [*record[:6], f"27{record[6]}55", *record[7:]] if record[0] == CODES["dialog_received"] else record
        for record in tape.records
    ]
    called = sorted({record[6] for record in grown if record[0] == CODES["dialog_received"]})
    records = with_states(header, grown, 25)
    records.insert(40, [CODES["remark"], records[39][1], f"lines dead at {called[3]}, and at +{called[5]} since 09:14"])
    header = trace_format.msgspec.structs.replace(header, instance=f"p{called[0]}")
    path = written(tmp_path, header, records, each=100)
    assert all(number.encode() in everything(path) for number in called)
    (copy,) = anonymise(opened([path])[0], Numbers(KEY), tmp_path / "out")
    whole = everything(copy.path)
    assert not [number for number in called if number.encode() in whole]
    trace, (done,) = all_alike(copy.path)
    assert done.actions == replayed(header, records).actions
    remark = next(entry.record[2] for entry in trace.entries() if entry.record[0] == CODES["remark"])
    assert remark.startswith("lines dead at ") and remark.endswith(" since 09:14")
    states = [state_of(entry.record[2]) for entry in trace.entries() if entry.record[0] == SNAPSHOT]
    held = {dialog.caller_number for state in states for dialog in state["dialogs"].values()}
    assert held and held <= {Numbers(KEY).number(number) for number in called}
    assert {what for state in states for _, _, what in state["timers"]} <= own_words()


def test_a_replay_from_an_anonymised_state_goes_on_as_before(busy, tmp_path):  # noqa: F811
    tape, header = busy
    records = with_states(header, tape.records, 50)
    (copy,) = anonymise(opened([written(tmp_path, header, records, each=100)])[0], Numbers(KEY), tmp_path / "out")
    (trace,) = opened([copy.path])
    entries = list(trace.entries())
    first = [place for place, entry in enumerate(entries) if entry.record[0] == SNAPSHOT][2]
    (done,) = replay(trace.sources, entries[first:], whole=False)
    assert done.difference is None and done.resumed == 1 and done.actions > 50


def test_a_state_that_cannot_be_read_is_not_passed_on(tmp_path, busy):  # noqa: F811
    _, header = busy
    path = written(tmp_path, header, [[SNAPSHOT, 1, b"junk"], [TICK, 2]])
    with pytest.raises(BadTraceError, match="not known which numbers"):
        anonymise(opened([path])[0], Numbers(KEY), tmp_path / "out")


# --- compare and diff ---

TIMID = """
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


def test_another_version_is_asked_at_every_event_and_its_differences_counted(busy, tmp_path):  # noqa: F811
    tape, header = busy
    path = tmp_path / "timid.py"
    path.write_text(TIMID)
    (trace,) = opened([written(tmp_path, header, tape.records)])
    found = compare(trace.sources, trace.entries(), True, module_at(path))
    stories = list(stories_of(trace))
    assert found.decisions == replayed(header, tape.records).actions
    withheld = sum(kind.many for name, kind in found.kinds.items() if name.startswith("send_leg ->"))
    assert withheld == sum(bool(one.legs) and one.dialog % 5 == 0 for one in stories) > 3
    lost = sum(kind.lost for name, kind in found.kinds.items() if name.endswith("-> decline"))
    stood = [one for one in stories if one.final == STOOD and one.dialog % 5 == 0]
    declined = [name for name in found.kinds if name == "send_leg -> decline"]
    assert lost <= len(stood) and (lost > 0) == bool(declined and stood)
    same = compare(trace.sources, trace.entries(), True, call_controller)
    assert same.kinds == {} and same.stood == found.stood > 0


def test_nothing_is_said_of_another_version_where_this_one_does_not_decide_as_noted(busy, tmp_path):  # noqa: F811
    tape, header = busy
    records = [[CODES["abort"], record[1]] if record[0] == CODES["decline"] else record for record in tape.records]
    (trace,) = opened([written(tmp_path, header, records)])
    with pytest.raises(BadTraceError, match="does not decide as was noted"):
        compare(trace.sources, trace.entries(), True, call_controller)


@pytest.mark.parametrize("text", ["this is no Python", "x = 1", "raise OSError('no')"])
def test_a_file_that_is_no_module_is_refused_in_a_line(tmp_path, text):
    path = tmp_path / "other.py"
    path.write_text(text)
    with pytest.raises(BadTraceError) as bad:
        module_at(path)
    assert str(path) in str(bad.value) and "\n" not in str(bad.value)


def test_differences_have_plain_names():
    send, decline, wake = CODES["send_leg"], CODES["decline"], CODES["schedule_tick"]
    assert [row[0] for row in kinds_of([[send, 1, 2, 9]], [[send, 1, 3, 9]])] == ["leg to another exchange"]
    assert [row[0] for row in kinds_of([[send, 1, 2, 9]], [[send, 1, 2, 8]])] == ["other figures in send_leg"]
    assert [row[0] for row in kinds_of([[send, 1, 2, 9]], [[decline, 1, 0]])] == ["send_leg -> decline"]
    assert [row[0] for row in kinds_of([[wake, 200]], [])] == ["schedule_tick -> nothing yet"]
    assert [row[0] for row in kinds_of([[send, 1, 2, 9], [decline, 2, 0]], [[decline, 2, 0], [send, 1, 2, 9]])] == [
        "other order of the same"
    ]


def test_two_traces_are_told_apart_at_the_first_record(busy, tmp_path):  # noqa: F811
    tape, header = busy
    (left,) = opened([written(tmp_path, header, tape.records, name="a.trace")])
    (same,) = opened([written(tmp_path, header, [record for record in tape.records if record[0] < FIRST_NOTE], name="b.trace")])
    assert difference(left, same).place == -1
    wrong = list(tape.records)
    place = next(place for place, record in enumerate(wrong) if record[0] == CODES["decline"])
    wrong[place] = [CODES["decline"], wrong[place][1], 77_777]
    (right,) = opened([written(tmp_path, header, wrong, name="c.trace")])
    found = difference(left, right)
    heard = sum(record[0] < FIRST_NOTE for record in tape.records[:place])
    assert found.place == heard and found.right[2] == 77_777 and found.before
    (shorter,) = opened([written(tmp_path, header, tape.records[:-30], name="d.trace")])
    found = difference(left, shorter)
    assert found.right is None and found.counts


# --- the commands ---


def test_the_commands_go_from_one_to_the_next(busy, tmp_path):  # noqa: F811
    tape, header = busy
    records = with_states(header, tape.records, 60)
    for name, wall in (("p0", 0.0), ("p1", 0.2)):
        other = trace_format.msgspec.structs.replace(header, instance=name, wall=wall)
        written(tmp_path, other, records, each=100, name=f"{name}-e1-000.trace")
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
        done = run(main, ["trace", *step])
        assert done.exit_code == 0, (step, done.output, done.stderr)
    assert (tmp_path / "chart.svg").stat().st_size > 5_000
    assert run(main, ["trace", "diff", paths[0], paths[1]]).exit_code == 0
    assert run(main, ["trace", "diff", paths[0], f"{tmp_path}/c.trace"]).exit_code == 1
    timid = tmp_path / "timid.py"
    timid.write_text(TIMID)
    done = run(main, ["trace", "replay", paths[0], "--module", str(timid)])
    assert done.exit_code == 1 and "send_leg" in done.output


@pytest.mark.parametrize(
    "words",
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
def test_what_cannot_be_done_is_one_line_and_exit_2(busy, tmp_path, monkeypatch, words):  # noqa: F811
    monkeypatch.chdir(tmp_path)
    tape, header = busy
    path = written(tmp_path, header, tape.records, name="p.trace")
    (tmp_path / "short").write_text("x y z")
    (tmp_path / "key").write_bytes(KEY)
    (tmp_path / "empty").mkdir()
    (trace,) = opened([path])
    cut(trace, span_of(trace, None, None, frozenset({5}), None), tmp_path / "bare.trace", bare=True)
    before = path.read_bytes()
    if words == ["info", "."]:
        words = ["info", "empty"]
    done = CliRunner().invoke(main, ["trace", *words])
    assert done.exit_code == 2 and len(done.stderr.strip().splitlines()) == 1, (done.output, done.stderr)
    assert path.read_bytes() == before


def test_what_several_processes_wrote_in_one_folder_stays_apart(busy, tmp_path):  # noqa: F811
    tape, header = busy
    for epoch, wall in (("e1", 0.0), ("e2", 50.0)):
        written(
            tmp_path,
            trace_format.msgspec.structs.replace(header, epoch=epoch, wall=wall),
            tape.records,
            name=f"p0-{epoch}-000.trace",
        )
    traces = opened([tmp_path])
    assert [trace.header.epoch for trace in traces] == ["e1", "e2"]
    merge(traces, tmp_path / "m.trace")
    merged = kept_order(tmp_path / "m.trace", traces)
    assert [key for key, _ in itertools.groupby(entry.source for entry in merged.entries())] == [0, 1]
