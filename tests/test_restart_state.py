"""State preserved across a restart: how the call controller restores what it learned, which changes are written, the audit of
restored dialogs, and a proxy that continues after another one was killed."""

import pytest
import structlog
from conftest import VIDEO, VOICE, RecordingHost, SimulatedPeers, tag
from hypothesis import given, settings
from hypothesis import strategies as st

from gingergap.call_controller import SECOND, CallController
from gingergap.edge.serve import build_proxy
from gingergap.host import GwState, KnownCaller, KnownExchange, KnownPair, Learned, LegEnd, ListEntry, Rsn
from gingergap.sip.fields import top_via
from gingergap.store.audit import DialogAudit
from gingergap.store.proxy_state import ListedExchange, StateRecorder, age_of, restore_state
from gingergap.store.record_store import RecordStore
from gingergap.store.records import ALIVE, CALLER, EXCHANGE, PAIR, STANDING, TOKEN, DialogRecord, HeartbeatRecord, encode_key
from gingergap.trace.replay import learned_from_lists

MINUTE = 60 * SECOND


def make_controller(now=0, listed=True, sizes=(20, 20, 20)):
    host = RecordingHost()
    controller = CallController(
        host,
        7,
        0,
        4,
        [VOICE, VIDEO],
        release_guard=2_000,
        max_legs=4,
        max_hold_off=20_000,
        can_cancel_legs=True,
        must_subscribe=False,
        can_message_peers=False,
        has_route_advice=False,
        cold_share=0.4,
        warm_after=140_000,
        overload_factor=2.5,
        overload_span=20_000,
    )
    if listed:
        controller.exchange_list_received(now, [ListEntry(gw, gw, GwState.READY, 0) for gw in range(4)], True)
    return controller, host


def report_groups(controller, now, sizes=(20, 20, 20)):
    for gw, size in zip((1, 2, 3), sizes, strict=True):
        controller.trunk_group_reported(now, gw, size, size)


def experienced_controller():
    """A controller with some learned state of every kind, and the present time (just after 100,000)."""
    controller, _ = make_controller()
    report_groups(controller, 0)
    now = 100_000
    controller.dialog_received(now, 1, 0, 1, 1, "a", 30_000, False, False, False)
    controller.dialog_established(now + 5_000, 1, 5_000)
    controller.dialog_received(now, 2, 0, 2, 1, "b", 30_000, False, False, False)
    controller.leg_ended(now + 100, 2, 2, LegEnd.NO_ANSWER, Rsn.NONE, False, -1, -1)
    controller.dialog_cancelled(now + 200, 2)
    controller.tandem_backoffs[3, 1] = now + 60_000, 60_000
    controller.proven_tandems[2] = [controller.exchanges[1]]
    controller.exchanges[2].group.cap, controller.exchanges[2].group.accept_below = 19.0, 17.0
    controller.best_setup_rate, controller.average_setup = 80.0, 300.0
    return controller, now + 5_000


# --- the call controller ---


def test_state_learned_a_moment_ago_is_restored_unchanged():
    old, now = experienced_controller()
    new, _ = make_controller(now)
    new.restore(now, old.export_learned(now, 100), 0)
    report_groups(new, now)
    for gw in (1, 2, 3):
        restored, previous = new.exchanges[gw], old.exchanges[gw]
        assert (
            restored.fastest_setup == min(previous.fastest_setup, SECOND // 10)
            and abs(restored.expected_setup(now) - previous.expected_setup(now)) <= 10
        )
        assert restored.overloaded_until == min(previous.overloaded_until, now + 2 * SECOND) or previous.overloaded_until <= now
        assert (restored.group.cap, restored.group.accept_below, restored.group.lower_below) == (
            previous.group.cap,
            previous.group.accept_below,
            previous.group.lower_below,
        )
    assert new.tandem_backoffs == {(3, 1): (160_000, 60_000)} and new.proven_tandems[2] == [new.exchanges[1]]
    assert new.first_tried == old.first_tried != {}
    assert new.best_setup_rate == old.best_setup_rate and new.average_setup == old.average_setup


def thresholds(controller, gw=2):
    group = controller.exchanges[gw].group
    return group.cap, group.accept_below, group.lower_below


def test_a_restored_setup_duration_is_capped_at_half_the_objective():
    old, now = experienced_controller()
    old.exchanges[1].recent_setup = 80_000
    new, host = make_controller(now)
    new.restore(now, old.export_learned(now, 100), 0)
    assert new.exchanges[1].recent_setup == VOICE.setup_objective // 2
    report_groups(new, now)
    new.start(now)
    for dialog in range(40):
        new.dialog_received(now + SECOND, dialog, 0, 1, 1, f"n{dialog}", 30_000, False, False, False)
    assert host.calls_of("send_leg")  # one second later not every set-up is held back


def test_restored_state_loses_weight_gradually_with_age():
    old, now = experienced_controller()
    fresh, _ = make_controller(now)
    report_groups(fresh, now)
    before, start = thresholds(old), thresholds(fresh)
    last = None
    for age in range(0, 10 * MINUTE, MINUTE // 6):
        new, _ = make_controller(now)
        new.restore(now, old.export_learned(now, 100), age)
        report_groups(new, now)
        weight = 2 ** (-age / MINUTE)
        for restored, previous, initial in zip(thresholds(new), before, start, strict=True):
            assert restored == pytest.approx(initial + (previous - initial) * weight)
        expected = new.exchanges[1].expected_setup(now)
        assert last is None or expected <= last
        assert new.best_setup_rate == pytest.approx(80.0 * weight)
        last = expected
    assert last <= fresh.exchanges[1].expected_setup(now) + 1


def test_state_of_unknown_age_is_restored_only_where_age_does_not_matter():
    old, now = experienced_controller()
    new, _ = make_controller(now)
    new.restore(now, old.export_learned(now, 100), -1)
    report_groups(new, now)
    fresh, _ = make_controller(now)
    report_groups(fresh, now)
    assert thresholds(new) == thresholds(fresh) and new.first_tried == {} and new.best_setup_rate == 0
    assert new.exchanges[1].expected_setup(now) <= fresh.exchanges[1].expected_setup(now) + 1
    assert new.tandem_backoffs == {(3, 1): (now, 60_000)}  # the next refusal counts as a repeated one; no tandem is excluded now


def test_a_trunk_group_of_another_size_resets_its_thresholds():
    old, now = experienced_controller()
    new, _ = make_controller(now)
    new.restore(now, old.export_learned(now, 100), 0)
    report_groups(new, now, (20, 12, 20))
    fresh, _ = make_controller(now)
    report_groups(fresh, now, (20, 12, 20))
    assert thresholds(new) == thresholds(fresh)


def test_a_restart_of_the_destination_discards_what_was_known_of_its_processor():
    old, now = experienced_controller()
    new, _ = make_controller(now)
    new.restore(now, old.export_learned(now, 100), 0)
    assert new.exchanges[1].recent_setup > 0
    new.exchange_list_received(now + 10, [ListEntry(1, 1, GwState.READY, now + 5)], False)
    assert new.exchanges[1].recent_setup == 0 and new.exchanges[1].fastest_setup == SECOND // 10
    # listed before the state is restored, with another start time than the stored one
    late, _ = make_controller(now)
    late.exchange_list_received(now, [ListEntry(1, 1, GwState.READY, now - 50)], False)
    late.restore(now, old.export_learned(now, 100), 0)
    assert late.exchanges[1].recent_setup == 0


def test_a_cold_exchange_is_blocked_for_a_limited_time_after_a_start():
    old, now = experienced_controller()
    new, host = make_controller(now, listed=False)
    new.exchange_list_received(now, [ListEntry(0, 0, GwState.READY, 0), ListEntry(1, 1, GwState.READY, now - 10_000)], True)
    known = old.export_learned(now, 0)
    new.restore(
        now,
        known._replace(exchanges=[entry._replace(started=now - 10_000) for entry in known.exchanges if entry.gw == 1], pairs=[]),
        100,
    )
    new.trunk_group_reported(now, 1, 20, 20)
    new.dialog_received(now + 1, 1, 0, 1, 1, "a", 90_000, False, False, False)
    assert host.calls_of("send_leg") == []
    for tick_at in range(now + 200, now + 21_000, 200):
        new.tick(tick_at)
    new.dialog_received(now + 21_000, 2, 0, 1, 1, "b", 90_000, False, False, False)
    assert [entry[0] for entry in host.calls_of("send_leg")] == [2] or len(host.calls_of("send_leg")) >= 1


RATES = st.floats(0, 1e4, allow_nan=False)
DURATIONS = st.integers(0, 10**9)
EXCHANGES = st.lists(
    st.builds(
        KnownExchange,
        st.integers(0, 3),
        st.sampled_from([0, 5]),
        st.integers(1, 10**6),
        DURATIONS,
        DURATIONS,
        DURATIONS,
        st.integers(0, 60),
        RATES,
        RATES,
        RATES,
    ),
    max_size=6,
)
PAIRS = st.lists(st.builds(KnownPair, st.integers(0, 3), st.integers(0, 3), DURATIONS, DURATIONS), max_size=6)
CALLERS = st.lists(st.builds(KnownCaller, st.text(max_size=5), st.integers(0, 1), st.integers(0, 3), DURATIONS), max_size=6)


@given(st.builds(Learned, st.just(0), EXCHANGES, PAIRS, CALLERS, RATES, st.floats(0, 1e3)), st.integers(-1, 10**9))
@settings(max_examples=60, derandomize=True, deadline=None)
def test_no_restored_state_excludes_a_destination_for_good(known, age):
    now = 10**9
    controller, host = make_controller(now)
    controller.restore(now, learned_from_lists([known.now, *known[1:]]), age)
    for exchange in controller.exchanges.values():
        assert exchange.overloaded_until <= now + 2 * SECOND and exchange.cold_blocked_until <= now + 2 * SECOND
        group = exchange.group
        assert group.min_cap <= group.cap <= max(group.size, group.cap if group.size == 0 else group.size)
        assert group.size == 0 or group.lower_below < group.accept_below < group.cap
    assert all(until <= now + MINUTE and duration <= MINUTE for until, duration in controller.tandem_backoffs.values())
    assert all(
        now - first <= controller.traffic_types[traffic_type].no_answer_time
        for (_, traffic_type, _), first in controller.first_tried.items()
    )
    report_groups(controller, now)
    controller.start(now)
    for tick_at in range(now + 200, now + MINUTE + SECOND, SECOND):
        controller.tick(tick_at)
    later = now + MINUTE + SECOND
    for dialog, destination in enumerate((1, 2, 3)):
        controller.dialog_received(later, dialog, 0, destination, 1, f"new{dialog}", 90_000, False, False, False)
    assert sorted(entry[1] for entry in host.calls_of("send_leg")) == [1, 2, 3]  # each gets a trial leg


def test_repeated_crashes_make_no_start_worse_than_the_one_before():
    old, now = experienced_controller()
    caps, expected_durations = [], []
    for _ in range(30):
        known = old.export_learned(now, 100)
        now += 5_000
        old, _ = make_controller(now)
        old.restore(now, known, 5_000)
        report_groups(old, now)
        caps.append(thresholds(old)[0])
        expected_durations.append(old.exchanges[1].expected_setup(now))
        assert len(old.export_learned(now, 100).pairs) <= len(known.pairs)
    assert expected_durations == sorted(expected_durations, reverse=True)
    fresh, _ = make_controller(now)
    report_groups(fresh, now)
    assert abs(caps[-1] - thresholds(fresh)[0]) <= abs(caps[0] - thresholds(fresh)[0])
    assert old.first_tried == {}


# --- written changes ---

IDS = ["x0", "x1", "x2", "x3"]


def heartbeat(wall=1_000.0, monotonic=50.0, boot="b"):
    return HeartbeatRecord(wall, monotonic, boot, "p0", 0.0)


def store_with(folder, changes):
    store = RecordStore(folder)
    store.commit(changes)
    return store


def read_state(store, wall, monotonic=50.0, boot="b", **overrides):
    options = {"list_validity": 3_600.0, "max_dialog_age": 14_400.0, "caller_retention": 9.0, "damage": [], **overrides}
    return restore_state(store.items, wall, monotonic, boot, **options)


def test_only_changed_records_are_written_again():
    old, now = experienced_controller()
    recorder = StateRecorder(3_600, 100, [1.0, 3.0])
    for index, id_ in enumerate(IDS):
        recorder.exchange_listed(id_, ListedExchange(index, 2, 0.0, 990.0, f"127.0.0.1:{7100 + index}", "UDP"))
    recorder.record_learned(1_000.0, old.export_learned(now, 100), IDS)
    first = recorder.take_batch(heartbeat())
    assert {change.kind for change in first} == {EXCHANGE, PAIR, "figures", CALLER, ALIVE}
    recorder.record_learned(1_000.0, old.export_learned(now, 100), IDS)
    assert [change.kind for change in recorder.take_batch(heartbeat())] == [ALIVE]
    old.tandem_backoffs.clear()
    old.first_tried.clear()
    recorder.record_learned(1_000.1, old.export_learned(now, 100), IDS)
    deleted = [change for change in recorder.take_batch(heartbeat()) if change.body is None]
    assert {change.kind for change in deleted} == {PAIR, CALLER}


def test_a_failed_batch_is_written_again_with_later_changes():
    recorder = StateRecorder(3_600, 100, [1.0])
    record = DialogRecord(0, 1, 1, "x1", 1, 5.0, False, "t")
    recorder.dialog_established("a", "ct", record)
    recorder.dialog_established("b", "ct", record)
    failed_batch = recorder.take_batch(heartbeat())
    recorder.dialog_ended("a", "ct")
    recorder.restore_batch(failed_batch)
    retried = {change.key: change.body for change in recorder.take_batch(heartbeat()) if change.kind == STANDING}
    assert retried == {encode_key("a", "ct"): None, encode_key("b", "ct"): record}


def test_records_of_exchanges_long_gone_are_deleted():
    recorder = StateRecorder(100, 100, [1.0])
    recorder.exchange_listed("x1r2", ListedExchange(1, int(GwState.GONE), 5.0, 1_000.0, "127.0.0.1:1", "UDP"))
    recorder.exchange_listed("x1r3", ListedExchange(1, int(GwState.READY), 6.0, 1_000.0, "127.0.0.1:1", "UDP"))
    recorder.take_batch(heartbeat())
    recorder.drop_expired_exchanges(1_050.0)
    assert [change.kind for change in recorder.take_batch(heartbeat())] == [ALIVE]
    recorder.drop_expired_exchanges(1_200.0)
    assert [(change.key, change.body) for change in recorder.take_batch(heartbeat()) if change.kind == EXCHANGE] == [("x1r2", None)]


@pytest.mark.parametrize(
    ("wall", "monotonic", "boot", "age"),
    [
        (1_000.5, 50.5, "b", 5_000),
        (900.0, 52.0, "b", 20_000),  # the wall clock was set: the monotonic clock counts
        (1_060.0, 3.0, "other", 600_000),
        (990.0, 3.0, "other", -1),
        (1_000.0 + 500 * 86_400, 3.0, "other", -1),
        (1_010.0, 40.0, "b", 100_000),
        (1_010.0, 60.0, "", 100_000),
    ],
)
def test_the_age_follows_from_the_clock_that_is_reliable(wall, monotonic, boot, age):
    assert age_of(heartbeat(), wall, monotonic, boot) == age
    assert age_of(None, wall, monotonic, boot) == -1


def test_written_state_is_restored_unchanged(tmp_path):
    old, now = experienced_controller()
    recorder = StateRecorder(3_600, 100, [1.0, 3.0])
    for index, id_ in enumerate(IDS):
        recorder.exchange_listed(
            id_, ListedExchange(index, 2, 990.0 if index == 2 else 0.0, 995.0, f"127.0.0.1:{7100 + index}", "TCP")
        )
    learned = old.export_learned(now, 100)
    recorder.record_learned(1_000.0, learned, IDS)
    recorder.dialog_established("call", "ct", DialogRecord(1, 2, 3, "x3", 3, 990.0, True, "tt"))
    recorder.record_token("probe x1", 17)
    store = store_with(tmp_path, recorder.take_batch(heartbeat()))
    found = read_state(store, 1_002.0, 52.0)
    assert found.age == 20_000 and found.token_counters == {"probe x1": 17} and found.starts["x2"] == 990.0
    assert found.listed["x2"] == ListedExchange(2, 2, 990.0, 995.0, "127.0.0.1:7102", "TCP")
    assert found.dialogs == {("call", "ct"): DialogRecord(1, 2, 3, "x3", 3, 990.0, True, "tt")}
    by_id = {found.exchange_ids[entry.gw]: entry for entry in found.learned.exchanges}
    for known in learned.exchanges:
        restored = by_id[IDS[known.gw]]
        assert (restored.fastest_setup, restored.recent_setup, restored.size, restored.cap) == (
            known.fastest_setup,
            known.recent_setup,
            known.size,
            known.cap,
        )
        assert 0 <= known.recent_setup_age - restored.recent_setup_age < 1_000
    assert {(found.exchange_ids[pair.gw], pair.destination) for pair in found.learned.pairs} == {("x3", 1), ("x1", 2)}
    (caller,) = found.learned.callers
    assert (caller.caller_number, caller.traffic_type, caller.destination) == ("b", 0, 2) and abs(
        caller.first_tried_ago - learned.callers[0].first_tried_ago
    ) <= 1
    assert read_state(store, 1_030.0, 80.0).learned.callers == []  # has given up long ago
    assert read_state(store, 9_000.0, 8_050.0).listed == {}  # entries of the list are valid for an hour
    assert read_state(store, 20_000.0, 19_050.0).dialogs == {}
    unknown = read_state(store, 500.0, 1.0, "other")
    assert unknown.age == -1 and unknown.listed == {} and unknown.learned.callers == [] and unknown.dialogs
    store.close()


def test_unusable_records_are_skipped_and_reported(tmp_path):
    from gingergap.store.records import Change, TandemRecord

    store = store_with(
        tmp_path,
        [
            Change(STANDING, "no key", DialogRecord(0, 1, 1, "x", 1, 5.0, False, "t")),
            Change(PAIR, encode_key("x1", "odd"), TandemRecord(1, 2)),
            Change(PAIR, "[1]", TandemRecord(1, 2)),
            Change(ALIVE, "", heartbeat()),
        ],
    )
    damage = []
    found = read_state(store, 1_001.0, 51.0, damage=damage)
    assert found.dialogs == {} and found.learned.pairs == [] and len(damage) == 3
    store.close()


# --- the audit ---


def test_the_first_count_after_a_start_decides_nothing_and_the_second_ends_impossible_dialogs():
    audit = DialogAudit()
    for dialog in range(5):
        audit.add(1, 100.0 + dialog, dialog, 2)
    assert audit.group_reported(1, 20, 20) == []
    assert audit.group_reported(1, 14, 20) == [0, 1]  # six circuits in use: at most three dialogs, the oldest have ended
    assert audit.group_reported(1, 14, 20) == [] and audit.removed == 2
    audit.dialog_ended(1, 4)
    assert audit.group_reported(1, 18, 20) == [2] and audit.group_reported(2, 0, 5) == [] and audit.group_reported(1, -1, -1) == []


@given(st.lists(st.tuples(st.integers(0, 50), st.integers(1, 3)), max_size=20), st.integers(0, 30), st.integers(0, 30))
@settings(max_examples=100, derandomize=True, deadline=None)
def test_the_audit_ends_no_more_dialogs_than_the_count_requires(dialogs, free, size):
    audit = DialogAudit()
    for number, (since, width) in enumerate(dialogs):
        audit.add(1, float(since), number, width)
    audit.group_reported(1, free, size)
    ended = audit.group_reported(1, free, size)
    widths = [width for _, width in dialogs]
    left = sum(widths) - sum(widths[number] for number in ended)
    in_use = max(0, size - free)
    assert left <= in_use or not dialogs
    if ended:
        assert left + widths[ended[-1]] > in_use


# --- a proxy that continues after another one was killed ---


class Restarted(SimulatedPeers):
    """Peers of a proxy with a store. `found` is the RestoredState that the proxy starts with."""

    def __init__(self, folder, found=None, now=0, wall=1_000_000.0):
        import conftest

        self.recorder = StateRecorder(3_600, 100, [1.0, 3.0])
        self.folder = folder
        proxies = []

        def proxy_with_store(form, wire, log, _now, _wall, fresh):
            proxies.append(build_proxy(form, wire, log, now, wall, fresh, None, self.recorder, found))
            return proxies[0]

        patch = pytest.MonkeyPatch()
        patch.setattr(conftest, "build_proxy", proxy_with_store)
        try:
            super().__init__()
        finally:
            patch.undo()
        self.now = now

    def kill_and_restart(self, after=2.0):
        """Another proxy, `after` seconds later, with the state that this one had written."""
        wall = 1_000_000.0 + self.now / SECOND
        self.proxy.save_learned(self.now, 100)
        store = store_with(self.folder, self.recorder.take_batch(HeartbeatRecord(wall, self.now / SECOND, "b", "p0", 0.0)))
        found = read_state(store, wall + after, self.now / SECOND + after)
        store.close()
        return Restarted(self.folder, found, self.now + int(after * SECOND), wall + after)


def test_a_restored_dialog_is_ended_by_the_callers_bye(tmp_path):
    peers = Restarted(tmp_path)
    invite, leg = peers.establish_dialog()
    restarted = peers.kill_and_restart()
    assert restarted.proxy.counts["remembered"] == 1
    restarted.send_in_dialog("BYE", invite.call_id)
    assert [message.method for message in restarted.new_messages("BYE", port=7101)] == ["BYE"]
    assert restarted.proxy.calls == {}
    third = restarted.kill_and_restart()
    assert "remembered" not in third.proxy.counts


def test_a_restored_dialog_is_ended_by_the_destinations_bye(tmp_path):
    peers = Restarted(tmp_path)
    invite, leg = peers.establish_dialog()
    restarted = peers.kill_and_restart()
    restarted.send_in_dialog("BYE", invite.call_id, by_caller=False)
    assert restarted.new_messages("BYE", port=9000) and restarted.proxy.calls == {}


def test_a_retransmitted_answer_after_a_restart_is_forwarded_and_ends_nothing(tmp_path):
    peers = Restarted(tmp_path)
    invite, leg = peers.establish_dialog()
    restarted = peers.kill_and_restart()
    restarted.answer(leg, 200)
    forwarded = [(message, hop) for message, hop in restarted.sent if message.status == 200 and message.cseq()[1] == "INVITE"]
    assert len(forwarded) == 1 and forwarded[0][1].port == 9000 and top_via(forwarded[0][0]).port == 9000
    assert not restarted.all_messages("BYE") and len(restarted.proxy.calls) == 1
    restarted.answer(leg, 200, tag="another")  # the answer of another fork is released
    assert restarted.all_messages("BYE")


def test_an_answer_to_a_set_up_interrupted_by_the_restart_is_released(tmp_path):
    peers = Restarted(tmp_path)
    invite = peers.invite()
    leg = peers.legs(invite.call_id)[0]
    restarted = peers.kill_and_restart()
    assert "remembered" not in restarted.proxy.counts
    restarted.answer(leg, 200)
    assert restarted.all_messages("ACK") and restarted.all_messages("BYE")


def test_the_exchange_list_is_restored(tmp_path):
    peers = Restarted(tmp_path)
    peers.notify_list(1, [("x0", "ready", 0), ("x1", "gone", 0), ("x2", "draining", 0), ("x3", "ready", 0)], "full")
    restarted = peers.kill_and_restart()
    restarted.notify_groups({1: 20, 2: 20, 3: 20})
    for destination in (1, 2, 3):
        invite = restarted.invite(f"00{destination}555")
        assert bool(restarted.legs(invite.call_id)) == (destination == 3), destination
    restarted.notify_list(1, [("x0", "ready", 0), ("x1", "ready", 0), ("x2", "ready", 0), ("x3", "ready", 0)], "full", epoch="f")
    invite = restarted.invite("001777")
    assert restarted.legs(invite.call_id)


def test_an_exchange_that_replaced_another_keeps_its_number_after_a_restart(tmp_path):
    peers = Restarted(tmp_path)
    peers.notify_list(1, [("x0", "ready", 0), ("x1", "gone", 0), ("x2", "ready", 0), ("x3", "ready", 0)], "full")
    peers.notify(
        "exchange-list",
        {
            "version": 2,
            "state": "partial",
            "epoch": "e",
            "exchanges": [{"id": "x1r2", "number": 1, "state": "ready", "started": 1_000_000.0 - 90, "address": "127.0.0.1:7999"}],
        },
    )
    restarted = peers.kill_and_restart(after=20)
    restarted.notify_groups({1: 20, 2: 20, 3: 20})
    invite = restarted.invite("001555")
    assert [hop.port for _, hop in restarted.legs(invite.call_id)] == [7999]


def test_restored_dialogs_that_the_switch_does_not_count_are_ended(tmp_path):
    peers = Restarted(tmp_path)
    for number in range(3):
        peers.establish_dialog(f"00155{number}")
    restarted = peers.kill_and_restart()  # reports the groups once, with all circuits free
    assert len(restarted.proxy.calls) == 3
    restarted.notify_groups({1: 19, 2: 20, 3: 20})
    assert len(restarted.proxy.calls) == 1 and restarted.proxy.counts["remembered dialogs that were over"] == 2
    restarted.notify_groups({1: 20, 2: 20, 3: 20})
    assert restarted.proxy.calls == {}


def test_learned_state_is_restored_under_the_new_indices(tmp_path):
    peers = Restarted(tmp_path)
    invite = peers.invite("002555")
    leg = peers.legs(invite.call_id)[0]
    peers.advance_to(peers.now + 4_000)
    peers.answer(leg, 200)
    slow = peers.proxy.controller.exchanges[peers.proxy.gw_by_id["x2"]]
    assert slow.recent_setup > 0
    restarted = peers.kill_and_restart(after=0.5)
    known = restarted.proxy.controller.exchanges[restarted.proxy.gw_by_id["x2"]]
    assert known.recent_setup == slow.recent_setup and known.expected_setup(restarted.now) < slow.expected_setup(peers.now)
    assert known.group.size == 20


def test_a_proxy_without_a_store_works(peers):
    invite, leg = peers.establish_dialog()
    peers.send_in_dialog("BYE", invite.call_id)
    assert peers.proxy.calls == {} and peers.proxy.state_recorder is None
    assert tag(invite) == "" and structlog.get_logger() is not None


def test_counters_seen_before_a_restart_are_neither_requested_nor_granted_again(tmp_path):
    from random import Random

    from gingergap.duties.leases import FencingToken
    from gingergap.duties.manager import Duty, DutyManager

    manager = DutyManager(RecordingHost(), Random(1), 0, "p0", 1, frozenset({"p1"}), [Duty("probe x1", 100, 1_000)])
    manager.restore_counter("probe x1", 17)
    assert manager.counters() == {"probe x1": 17} and manager.states["probe x1"].claim.start_round(0) == 18
    granted, newest = manager.handle_vote_request(10**6, "probe x1", FencingToken(12, "p1/1"), 100, -1)
    assert not granted and newest == 17
    granted, _ = manager.handle_vote_request(10**6, "probe x1", FencingToken(19, "p1/1"), 100, -1)
    assert granted
    recorder = StateRecorder(3_600, 100, [1.0])
    for duty, counter in manager.counters().items():
        recorder.record_token(duty, counter)
    store = store_with(tmp_path, recorder.take_batch(heartbeat()))
    assert {item.key: item.body.counter for item in store.items(TOKEN)} == {"probe x1": 19}
    store.close()
