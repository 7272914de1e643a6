"""Traces of the versions that had the decisions in brain.py, and such versions themselves, under the present names.

Guards against a renamed class, field, argument or method with which stored traces can no longer be read, or which older
versions could not read. `tests/data/first-names.trace` was recorded at commit a6ad7c0: one process of 1,057 random events
of every kind, restored from a predecessor, with a snapshot every 120 steps.
"""

import io
import pickle
from pathlib import Path

import pytest
from conftest import VIDEO, VOICE, RecordingHost

from gingergap import call_controller
from gingergap.host import GwState, KnownCaller, KnownExchange, KnownPair, Learned, LegEnd, ListEntry, Rsn
from gingergap.trace.compare import compare, module_at
from gingergap.trace.format import SNAPSHOT
from gingergap.trace.replay import replay
from gingergap.trace.snapshot import BadSnapshotError, freeze, thaw
from gingergap.trace.stored_names import (
    STORED_ARGUMENTS,
    STORED_CLASSES,
    STORED_CONTROLLER_FIELDS,
    present_arguments,
    stored_arguments,
)
from gingergap.trace.stream import open_traces

RECORDED = Path(__file__).parent / "data" / "first-names.trace"
STORED = {
    "CallController": (
        "here proxies types release_guard most_legs longest_hold_off may_cancel must_ask centre_advises tell_at ease "
        "cold_figures chance gws by_number dialogs due waiting now refuse_from answer_by stood_rate best_rate legs_sent "
        "legs_out pace widest fulls full_at top_importance first_tried far_ends carried turned_back"
    ),
    "gingergap.brain.Chance": "state",
    "gingergap.brain.TrunkGroup": (
        "chance patience cap_step threshold_step free size floor cap accept_below lower_below declines idles"
    ),
    "gingergap.brain.Exchange": (
        "gw group number ease cold_share least warm_after span ready started pressed_until cold_until reach sent unspread "
        "out quickest took took_at faults rests_until recalled"
    ),
    "gingergap.brain.Dialog": (
        "first kind far width number transit redialled expires objective_at legs leg_to not_before answered doubt last_leg "
        "tried waits stands luck advised"
    ),
}
ARGUMENTS = {
    "here", "proxies", "types", "seed", "release_guard", "most_legs", "longest_hold_off", "may_cancel", "must_ask", "may_tell",
    "centre_advises", "cold_from", "warm_after", "multiple", "fall_span",
}  # fmt: skip
POSITIONAL = ("seed", "own_exchange", "proxy_count", "traffic_types")  # present names


class Stored:
    """Any instance in a snapshot, with its class and fields as stored."""

    def __new__(cls, *_):
        made = super().__new__(cls)
        made.fields = {}
        return made

    def __init__(self, *_):
        pass

    def __setstate__(self, state):
        for fields in state if isinstance(state, tuple) else (state,):
            self.fields.update(fields or {})


class StoredReader(pickle.Unpickler):
    """Reads a snapshot without the program's own reader."""

    def __init__(self, data):
        super().__init__(io.BytesIO(data))
        self.classes = {}

    def find_class(self, module, name):
        if module == "builtins":
            return {"set": set, "frozenset": frozenset}[name]
        if (module, name) == ("gingergap.host", "TrafficType"):
            return super().find_class(module, name)
        return self.classes.setdefault(f"{module}.{name}", type(name, (Stored,), {"stored_name": f"{module}.{name}"}))


def shape(value, seen=None):
    """A value as nested lists: classes, fields, order, and at a repeated object the number of its first place."""
    seen = {} if seen is None else seen
    if value is None or isinstance(value, bool | int | float | str | bytes):
        return value
    if isinstance(value, set | frozenset):
        return [type(value).__name__, *sorted(value)]
    if isinstance(value, tuple):
        return [type(value).__name__, *(shape(part, seen) for part in value)]
    if id(value) in seen:
        return ["again", seen[id(value)]]
    seen[id(value)] = len(seen)
    if isinstance(value, dict):
        return ["dict", *([shape(key, seen), shape(part, seen)] for key, part in value.items())]
    if isinstance(value, list):
        return ["list", *(shape(part, seen) for part in value)]
    return [value.stored_name, *([name, shape(part, seen)] for name, part in value.fields.items())]


def instances(value):
    if isinstance(value, list):
        if value and isinstance(value[0], str) and value[0].startswith("gingergap.brain."):
            yield value
        for part in value:
            yield from instances(part)


@pytest.fixture
def recorded():
    (trace,) = open_traces([RECORDED])
    return trace


def snapshots(trace):
    return [entry.record[2] for entry in trace.entries() if entry.record[0] == SNAPSHOT]


def test_a_trace_of_the_first_names_replays_whole(recorded):
    (done,) = replay(recorded.sources, recorded.entries(), recorded.from_start)
    assert done.difference is None and done.events == 1057 and done.actions == 650 and recorded.corruption_messages() == []


def test_a_trace_of_the_first_names_replays_from_each_of_its_snapshots(recorded):
    entries = list(recorded.entries())
    begins = [index for index, entry in enumerate(entries) if entry.record[0] == SNAPSHOT]
    assert len(begins) == 7
    for begin in begins:
        (done,) = replay(recorded.sources, entries[begin:], from_start=False)
        assert done.difference is None and done.resumed == 1 and done.events > 50 and done.actions > 40


def test_a_snapshot_is_written_as_the_first_version_wrote_it(recorded):
    for data in snapshots(recorded):
        stored = shape(StoredReader(data).load())
        assert shape(StoredReader(freeze(thaw(data, None))).load()) == stored
        assert " ".join(name for name, _ in stored[1:]) == STORED["CallController"]
        held = list(instances(stored))
        assert {one[0] for one in held} == STORED.keys() - {"CallController"}
        assert all(" ".join(name for name, _ in one[1:]) == STORED[one[0]] for one in held)


def test_a_thawed_state_has_the_present_classes_and_fields(recorded):
    for data in snapshots(recorded):
        controller = thaw(data, None)
        fresh = call_controller.CallController(
            None, 1, 0, 2, [VOICE], **{name: 1 for name in present_arguments(dict.fromkeys(ARGUMENTS)) if name not in POSITIONAL}
        )
        assert vars(controller).keys() == vars(fresh).keys()
        assert type(controller.generator) is call_controller.LinearCongruentialGenerator
        for exchange in controller.exchanges.values():
            assert type(exchange) is call_controller.Exchange and type(exchange.group) is call_controller.TrunkGroup
            assert vars(exchange).keys() == vars(fresh._exchange_for(1)).keys()
            assert vars(exchange.group).keys() == vars(fresh._exchange_for(1).group).keys()
            assert exchange.group.generator is controller.generator
            assert any(exchange is far_end for far_end in controller.far_ends)
        assert controller.dialogs
        for dialog in controller.dialogs.values():
            assert type(dialog) is call_controller.Dialog
            assert all(hasattr(dialog, name) for name in call_controller.Dialog.__slots__)
            leg_exchange = dialog.leg_exchange
            assert leg_exchange is None or leg_exchange is controller.exchanges[leg_exchange.gw]


def test_arguments_in_a_header_have_their_stored_names(peers, recorded):
    assert peers.proxy.controller_arguments.keys() == recorded.sources[0].figures.keys() == ARGUMENTS
    present = present_arguments(peers.proxy.controller_arguments)
    assert (
        stored_arguments(present) == peers.proxy.controller_arguments
        and present["max_legs"] == peers.proxy.controller_arguments["most_legs"]
    )


def test_no_present_name_is_the_stored_name_of_something_else():
    for names in (STORED_ARGUMENTS, STORED_CONTROLLER_FIELDS, *(stored.fields for stored in STORED_CLASSES)):
        assert len(set(names.values())) == len(names) and not names.keys() & names.values()
    for stored in STORED_CLASSES:
        assert not stored.fields.keys() & set(STORED[f"gingergap.brain.{stored.stored_name}"].split())
    assert not STORED_CONTROLLER_FIELDS.keys() & set(STORED["CallController"].split())


class Trap:
    def __reduce__(self):
        return (print, ("this must not run",))


@pytest.mark.parametrize("name", ["Unknown", "SECOND", "insort", "LegEnd"])
def test_a_snapshot_makes_nothing_but_the_modules_own_classes(name):
    data = b"\x80\x05\x8c\x0fgingergap.brain\x8c" + bytes([len(name)]) + name.encode() + b"\x93."
    with pytest.raises(BadSnapshotError, match="not one of the module's own classes"):
        thaw(data, None)


def test_a_snapshot_that_calls_a_function_in_a_field_is_refused(recorded, capsys):
    controller = thaw(snapshots(recorded)[0], None)
    controller.exchanges[1].recent_setup = Trap()
    with pytest.raises(BadSnapshotError):
        thaw(freeze(controller), None)
    assert capsys.readouterr().out == ""


# --- versions with the earlier interface ---

EARLIER = """
from .host import GwState, Host, KnownCaller, KnownExchange, KnownPair, Learned, LegEnd, ListEntry, Rsn, TrafficType


class Chance:
    pass


class TrunkGroup:
    pass


class Exchange:
    pass


class Dialog:
    __slots__ = (
        "first", "kind", "far", "width", "number", "transit", "redialled", "expires", "objective_at", "legs", "leg_to",
        "not_before", "answered", "doubt", "last_leg", "tried", "waits", "stands", "luck", "advised",
    )


class CallController:
    called = []

    def __init__(
        self, host, seed, here, proxies, types, *, release_guard, most_legs, longest_hold_off, may_cancel, must_ask, may_tell,
        centre_advises, cold_from, warm_after, multiple, fall_span,
    ):
        self.host, self.here, self.proxies, self.types = host, here, proxies, types
        self.most_legs, self.longest_hold_off, self.fall_span = most_legs, longest_hold_off, fall_span
        self.gws, self.by_number = {}, {}

    def begin(self, now):
        self.host.subscribe()
        self.host.wake_after(200)

    def beat(self, now):
        self.host.tell_all(b"told")
        self.host.wake_after(200)

    def peer_told(self, now, told):
        self.called.append(("peer_told", now, told))

    def list_pushed(self, now, entries, whole):
        for entry in entries:
            self.gws[entry.gw] = self.by_number[entry.number] = (entry.state == GwState.READY, entry.started)

    def list_failed(self, now):
        self.called.append(("list_failed", now))

    def group_told(self, now, gw, free, size):
        self.called.append(("group_told", gw, free, size))

    def dialog_came(self, now, dialog, kind, far, width, number, expires_in, transit, redialled, cut, advised=-1):
        self.called.append(("dialog_came", self.types[kind].importance, advised))
        self.host.send_leg(dialog, far, expires_in)

    def dialog_stands(self, now, dialog, took):
        self.host.cancel_leg(dialog, took)

    def leg_ended(self, now, dialog, gw, how, rsn, over, free, size):
        self.host.decline(dialog, self.longest_hold_off)

    def dialog_gone(self, now, dialog):
        self.host.abort(dialog)

    def learned(self, now, most_callers):
        known = [KnownExchange(1, 0, 2, 3, 4, 5, 6, 7.0, 8.0, 9.0)]
        return Learned(now, known, [KnownPair(1, 2, 3, 4)], [KnownCaller("n", 0, 1, 5)][:most_callers], 60.0, 300.0)

    def recall(self, now, known, age):
        exchange = [one._replace(took=min(one.took, 1)) for one in known._replace(callers=[]).exchanges][0]
        self.called.append((exchange.quickest, exchange.took, exchange.took_ago, exchange.pressed_for))
        for gw, to, left, span in known.pairs:
            self.called.append((gw, to, left, span))
        for number, kind, far, ago in known.callers:
            self.called.append((number, kind, far, ago))
        self.called.append((known.best_rate, known.pace, age))
"""


@pytest.fixture
def earlier(tmp_path):
    path = tmp_path / "brain.py"
    path.write_text(EARLIER)
    return module_at(path)


def test_a_version_with_the_earlier_interface_is_called_and_calls_by_the_present_names(earlier):
    host = RecordingHost()
    arguments = {name: 7 for name in present_arguments(dict.fromkeys(ARGUMENTS)) if name not in POSITIONAL}
    controller = earlier.CallController(host, 1, 0, 4, [VOICE, VIDEO], **arguments)
    controller.exchange_list_received(1, [ListEntry(3, 9, GwState.READY, 5)], True)
    assert controller.exchanges == {3: (True, 5)} and controller.exchange_by_number == {9: (True, 5)}
    learned = controller.export_learned(2, 10)
    assert type(learned) is Learned and learned.exchanges[0].recent_setup == 3 and learned.average_setup == 300.0
    controller.restore(2, learned, 50)
    controller.start(3)
    controller.tick(4)
    controller.peer_report_received(5, b"report")
    controller.exchange_list_failed(6)
    controller.trunk_group_reported(7, 3, 10, 20)
    controller.dialog_received(8, 11, 1, 9, 1, "n", 30_000, False, False, False, 6)
    controller.dialog_established(9, 11, 90)
    controller.leg_ended(10, 11, 3, LegEnd.ENDED, Rsn.NONE, True, -1, -1)
    controller.dialog_cancelled(11, 12)
    assert controller.called == [
        (2, 1, 4, 5),
        (1, 2, 3, 4),
        ("n", 0, 1, 5),
        (60.0, 300.0, 50),
        ("peer_told", 5, b"report"),
        ("list_failed", 6),
        ("group_told", 3, 10, 20),
        ("dialog_came", VIDEO.importance, 6),
    ]
    assert host.calls_of("subscribe") == [()] and host.calls_of("schedule_tick") == [(200,), (200,)]
    assert host.calls_of("send_to_peers") == [(b"told",)] and host.calls_of("send_leg") == [(11, 9, 30_000)]
    assert host.calls_of("cancel_leg") == [(11, 90)] and host.calls_of("decline") == [(11, 7)] and host.calls_of("abort") == [(12,)]
    with pytest.raises(AttributeError):
        _ = controller.no_such_field


def test_a_version_with_the_earlier_interface_takes_a_stored_state_over_under_its_own_names(earlier, recorded):
    host = RecordingHost()
    for data in snapshots(recorded):
        controller = thaw(data, host, earlier)
        assert {type(exchange) for exchange in controller.gws.values()} == {earlier.Exchange}
        assert controller.gws[1].group.chance is controller.chance and controller.gws[1].quickest > 0
        assert all(type(dialog) is earlier.Dialog and dialog.kind in (0, 1, 2) for dialog in controller.dialogs.values())
        assert controller.exchanges is controller.gws and controller.max_legs == 4
        assert vars(thaw(freeze(thaw(data, None)), host, earlier)).keys() == vars(controller).keys()
    controller.start(1)
    assert host.calls_of("schedule_tick") == [(200,)]


def test_a_version_with_the_earlier_interface_is_compared_event_by_event(earlier, recorded):
    entries = list(recorded.entries())
    found = compare(recorded.sources, entries, True, earlier)
    assert found.events == 1057 and found.decisions == 650
    assert "send_leg -> decline" in found.kinds or "send_leg -> no action" in found.kinds
    assert any(name == "decline -> send_leg" for name in found.kinds)


def test_what_a_controller_restores_has_present_field_names():
    known = KnownExchange(1, 0, 2, 3, 4, 5, 6, 7.0, 8.0, 9.0)
    assert (known.fastest_setup, known.recent_setup, known.recent_setup_age, known.overloaded_for) == (2, 3, 4, 5)
    assert KnownPair(1, 2, 3, 4)._fields == ("gw", "destination", "remaining", "duration")
    assert KnownCaller("n", 0, 1, 5)._fields == ("caller_number", "traffic_type", "destination", "first_tried_ago")
