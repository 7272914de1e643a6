"""What is remembered over a restart and how much it counts: the module's part, the decisions on what to write, the audit, and
a proxy that begins where another one was killed."""

import pytest
import structlog
from conftest import VIDEO, VOICE, NotedHost, Peers, tag
from hypothesis import given, settings
from hypothesis import strategies as st

from gingergap.call_controller import SECOND, CallController
from gingergap.edge.serve import build_proxy
from gingergap.host import GwState, KnownCaller, KnownExchange, KnownPair, Learned, LegEnd, ListEntry, Rsn
from gingergap.sip.fields import top_via
from gingergap.store.audit import Audit
from gingergap.store.book import Book
from gingergap.store.memory import Memory, Word, age_of, recalled
from gingergap.store.records import ALIVE, CALLER, EXCHANGE, PAIR, STANDING, TOKEN, KeptAlive, KeptStanding, parts
from gingergap.trace.replay import learned_of

MINUTE = 60 * SECOND


def controller(now=0, listed=True, sizes=(20, 20, 20)):
    host = NotedHost()
    made = CallController(
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
        made.exchange_list_received(now, [ListEntry(gw, gw, GwState.READY, 0) for gw in range(4)], True)
    return made, host


def told(made, now, sizes=(20, 20, 20)):
    for gw, size in zip((1, 2, 3), sizes, strict=True):
        made.trunk_group_reported(now, gw, size, size)


def worked():
    """A controller that has learned something of everything, at time 100,000."""
    made, _ = controller()
    told(made, 0)
    now = 100_000
    made.dialog_received(now, 1, 0, 1, 1, "a", 30_000, False, False, False)
    made.dialog_established(now + 5_000, 1, 5_000)
    made.dialog_received(now, 2, 0, 2, 1, "b", 30_000, False, False, False)
    made.leg_ended(now + 100, 2, 2, LegEnd.NO_ANSWER, Rsn.NONE, False, -1, -1)
    made.dialog_cancelled(now + 200, 2)
    made.tandem_backoffs[3, 1] = now + 60_000, 60_000
    made.proven_tandems[2] = [made.exchanges[1]]
    made.exchanges[2].group.cap, made.exchanges[2].group.accept_below = 19.0, 17.0
    made.best_setup_rate, made.average_setup = 80.0, 300.0
    return made, now + 5_000


# --- the module's part ---


def test_what_was_learned_a_moment_ago_is_known_as_it_was():
    old, now = worked()
    new, _ = controller(now)
    new.restore(now, old.export_learned(now, 100), 0)
    told(new, now)
    for gw in (1, 2, 3):
        ours, theirs = new.exchanges[gw], old.exchanges[gw]
        assert (
            ours.fastest_setup == min(theirs.fastest_setup, SECOND // 10)
            and abs(ours.expected_setup(now) - theirs.expected_setup(now)) <= 10
        )
        assert ours.overloaded_until == min(theirs.overloaded_until, now + 2 * SECOND) or theirs.overloaded_until <= now
        assert (ours.group.cap, ours.group.accept_below, ours.group.lower_below) == (
            theirs.group.cap,
            theirs.group.accept_below,
            theirs.group.lower_below,
        )
    assert new.tandem_backoffs == {(3, 1): (160_000, 60_000)} and new.proven_tandems[2] == [new.exchanges[1]]
    assert new.first_tried == old.first_tried != {}
    assert new.best_setup_rate == old.best_setup_rate and new.average_setup == old.average_setup


def levels(made, gw=2):
    group = made.exchanges[gw].group
    return group.cap, group.accept_below, group.lower_below


def test_a_set_up_time_that_is_remembered_is_believed_up_to_half_the_objective():
    old, now = worked()
    old.exchanges[1].recent_setup = 80_000
    new, host = controller(now)
    new.restore(now, old.export_learned(now, 100), 0)
    assert new.exchanges[1].recent_setup == VOICE.setup_objective // 2
    told(new, now)
    new.start(now)
    for dialog in range(40):
        new.dialog_received(now + SECOND, dialog, 0, 1, 1, f"n{dialog}", 30_000, False, False, False)
    assert host.asked("send_leg")  # a second later far from everything is kept back


def test_knowledge_counts_for_less_by_the_minute_without_a_cliff():
    old, now = worked()
    fresh, _ = controller(now)
    told(fresh, now)
    before, start = levels(old), levels(fresh)
    last = None
    for age in range(0, 10 * MINUTE, MINUTE // 6):
        new, _ = controller(now)
        new.restore(now, old.export_learned(now, 100), age)
        told(new, now)
        weight = 2 ** (-age / MINUTE)
        for ours, theirs, initial in zip(levels(new), before, start, strict=True):
            assert ours == pytest.approx(initial + (theirs - initial) * weight)
        expected = new.exchanges[1].expected_setup(now)
        assert last is None or expected <= last
        assert new.best_setup_rate == pytest.approx(80.0 * weight)
        last = expected
    assert last <= fresh.exchanges[1].expected_setup(now) + 1


def test_of_unknown_age_only_what_needs_no_age_counts():
    old, now = worked()
    new, _ = controller(now)
    new.restore(now, old.export_learned(now, 100), -1)
    told(new, now)
    fresh, _ = controller(now)
    told(fresh, now)
    assert levels(new) == levels(fresh) and new.first_tried == {} and new.best_setup_rate == 0
    assert new.exchanges[1].expected_setup(now) <= fresh.exchanges[1].expected_setup(now) + 1
    assert new.tandem_backoffs == {(3, 1): (now, 60_000)}  # the next turn-back counts as one after others; nothing is shut now


def test_another_size_of_the_group_starts_its_levels_anew():
    old, now = worked()
    new, _ = controller(now)
    new.restore(now, old.export_learned(now, 100), 0)
    told(new, now, (20, 12, 20))
    fresh, _ = controller(now)
    told(fresh, now, (20, 12, 20))
    assert levels(new) == levels(fresh)


def test_a_new_start_of_a_far_end_voids_what_was_known_of_its_processor():
    old, now = worked()
    new, _ = controller(now)
    new.restore(now, old.export_learned(now, 100), 0)
    assert new.exchanges[1].recent_setup > 0
    new.exchange_list_received(now + 10, [ListEntry(1, 1, GwState.READY, now + 5)], False)
    assert new.exchanges[1].recent_setup == 0 and new.exchanges[1].fastest_setup == SECOND // 10
    # listed before the recall, as another start than the one that was remembered
    late, _ = controller(now)
    late.exchange_list_received(now, [ListEntry(1, 1, GwState.READY, now - 50)], False)
    late.restore(now, old.export_learned(now, 100), 0)
    assert late.exchanges[1].recent_setup == 0


def test_a_cold_exchange_rests_for_a_span_after_a_start_and_no_longer():
    old, now = worked()
    new, host = controller(now, listed=False)
    new.exchange_list_received(now, [ListEntry(0, 0, GwState.READY, 0), ListEntry(1, 1, GwState.READY, now - 10_000)], True)
    known = old.export_learned(now, 0)
    new.restore(
        now, known._replace(exchanges=[one._replace(started=now - 10_000) for one in known.exchanges if one.gw == 1], pairs=[]), 100
    )
    new.trunk_group_reported(now, 1, 20, 20)
    new.dialog_received(now + 1, 1, 0, 1, 1, "a", 90_000, False, False, False)
    assert host.asked("send_leg") == []
    for beat in range(now + 200, now + 21_000, 200):
        new.tick(beat)
    new.dialog_received(now + 21_000, 2, 0, 1, 1, "b", 90_000, False, False, False)
    assert [entry[0] for entry in host.asked("send_leg")] == [2] or len(host.asked("send_leg")) >= 1


RATES = st.floats(0, 1e4, allow_nan=False)
SPANS = st.integers(0, 10**9)
EXCHANGES = st.lists(
    st.builds(
        KnownExchange,
        st.integers(0, 3),
        st.sampled_from([0, 5]),
        st.integers(1, 10**6),
        SPANS,
        SPANS,
        SPANS,
        st.integers(0, 60),
        RATES,
        RATES,
        RATES,
    ),
    max_size=6,
)
PAIRS = st.lists(st.builds(KnownPair, st.integers(0, 3), st.integers(0, 3), SPANS, SPANS), max_size=6)
CALLERS = st.lists(st.builds(KnownCaller, st.text(max_size=5), st.integers(0, 1), st.integers(0, 3), SPANS), max_size=6)


@given(st.builds(Learned, st.just(0), EXCHANGES, PAIRS, CALLERS, RATES, st.floats(0, 1e3)), st.integers(-1, 10**9))
@settings(max_examples=60, derandomize=True, deadline=None)
def test_nothing_that_is_remembered_shuts_a_far_end_out_for_good(known, age):
    now = 10**9
    made, host = controller(now)
    made.restore(now, learned_of([known.now, *known[1:]]), age)
    for exchange in made.exchanges.values():
        assert exchange.overloaded_until <= now + 2 * SECOND and exchange.cold_blocked_until <= now + 2 * SECOND
        group = exchange.group
        assert group.min_cap <= group.cap <= max(group.size, group.cap if group.size == 0 else group.size)
        assert group.size == 0 or group.lower_below < group.accept_below < group.cap
    assert all(until <= now + MINUTE and span <= MINUTE for until, span in made.tandem_backoffs.values())
    assert all(now - first <= made.traffic_types[kind].no_answer_time for (_, kind, _), first in made.first_tried.items())
    told(made, now)
    made.start(now)
    for beat in range(now + 200, now + MINUTE + SECOND, SECOND):
        made.tick(beat)
    later = now + MINUTE + SECOND
    for dialog, far in enumerate((1, 2, 3)):
        made.dialog_received(later, dialog, 0, far, 1, f"new{dialog}", 90_000, False, False, False)
    assert sorted(entry[1] for entry in host.asked("send_leg")) == [1, 2, 3]  # a trial always comes


def test_a_crash_loop_makes_no_start_worse_than_the_one_before():
    old, now = worked()
    levels_seen, expected = [], []
    for _ in range(30):
        known = old.export_learned(now, 100)
        now += 5_000
        old, _ = controller(now)
        old.restore(now, known, 5_000)
        told(old, now)
        levels_seen.append(levels(old)[0])
        expected.append(old.exchanges[1].expected_setup(now))
        assert len(old.export_learned(now, 100).pairs) <= len(known.pairs)
    assert expected == sorted(expected, reverse=True)
    fresh, _ = controller(now)
    told(fresh, now)
    assert abs(levels_seen[-1] - levels(fresh)[0]) <= abs(levels_seen[0] - levels(fresh)[0])
    assert old.first_tried == {}


# --- what is written ---

IDS = ["x0", "x1", "x2", "x3"]


def alive(wall=1_000.0, monotonic=50.0, boot="b"):
    return KeptAlive(wall, monotonic, boot, "p0", 0.0)


def filled(folder, changes):
    book = Book(folder)
    book.commit(changes)
    return book


def read(book, wall, monotonic=50.0, boot="b", **more):
    figures = {"word_lasts": 3_600.0, "longest_dialog": 14_400.0, "caller_lasts": 9.0, "damage": [], **more}
    return recalled(book.items, wall, monotonic, boot, **figures)


def test_only_what_differs_is_written_again():
    old, now = worked()
    memory = Memory(3_600, 100, [1.0, 3.0])
    for place, id_ in enumerate(IDS):
        memory.listed(id_, Word(place, 2, 0.0, 990.0, f"127.0.0.1:{7100 + place}", "UDP"))
    memory.learned(1_000.0, old.export_learned(now, 100), IDS)
    first = memory.batch(alive())
    assert {change.kind for change in first} == {EXCHANGE, PAIR, "figures", CALLER, ALIVE}
    memory.learned(1_000.0, old.export_learned(now, 100), IDS)
    assert [change.kind for change in memory.batch(alive())] == [ALIVE]
    old.tandem_backoffs.clear()
    old.first_tried.clear()
    memory.learned(1_000.1, old.export_learned(now, 100), IDS)
    gone = [change for change in memory.batch(alive()) if change.body is None]
    assert {change.kind for change in gone} == {PAIR, CALLER}


def test_a_batch_that_was_not_written_is_written_with_what_came_since():
    memory = Memory(3_600, 100, [1.0])
    standing = KeptStanding(0, 1, 1, "x1", 1, 5.0, False, "t")
    memory.stood("a", "ct", standing)
    memory.stood("b", "ct", standing)
    lost = memory.batch(alive())
    memory.over("a", "ct")
    memory.not_written(lost)
    again = {change.key: change.body for change in memory.batch(alive()) if change.kind == STANDING}
    assert again == {parts("a", "ct"): None, parts("b", "ct"): standing}


def test_words_on_machines_long_gone_leave_the_book():
    memory = Memory(100, 100, [1.0])
    memory.listed("x1r2", Word(1, int(GwState.GONE), 5.0, 1_000.0, "127.0.0.1:1", "UDP"))
    memory.listed("x1r3", Word(1, int(GwState.READY), 6.0, 1_000.0, "127.0.0.1:1", "UDP"))
    memory.batch(alive())
    memory.forgotten(1_050.0)
    assert [change.kind for change in memory.batch(alive())] == [ALIVE]
    memory.forgotten(1_200.0)
    assert [(change.key, change.body) for change in memory.batch(alive()) if change.kind == EXCHANGE] == [("x1r2", None)]


@pytest.mark.parametrize(
    ("wall", "monotonic", "boot", "age"),
    [
        (1_000.5, 50.5, "b", 5_000),
        (900.0, 52.0, "b", 20_000),  # the wall clock was set: the boot's own counts
        (1_060.0, 3.0, "other", 600_000),
        (990.0, 3.0, "other", -1),
        (1_000.0 + 500 * 86_400, 3.0, "other", -1),
        (1_010.0, 40.0, "b", 100_000),
        (1_010.0, 60.0, "", 100_000),
    ],
)
def test_how_long_ago_follows_from_the_clock_that_can_tell(wall, monotonic, boot, age):
    assert age_of(alive(), wall, monotonic, boot) == age
    assert age_of(None, wall, monotonic, boot) == -1


def test_what_is_kept_comes_back_as_it_was(tmp_path):
    old, now = worked()
    memory = Memory(3_600, 100, [1.0, 3.0])
    for place, id_ in enumerate(IDS):
        memory.listed(id_, Word(place, 2, 990.0 if place == 2 else 0.0, 995.0, f"127.0.0.1:{7100 + place}", "TCP"))
    told_now = old.export_learned(now, 100)
    memory.learned(1_000.0, told_now, IDS)
    memory.stood("call", "ct", KeptStanding(1, 2, 3, "x3", 3, 990.0, True, "tt"))
    memory.token("probe x1", 17)
    book = filled(tmp_path, memory.batch(alive()))
    found = read(book, 1_002.0, 52.0)
    assert found.age == 20_000 and found.tokens == {"probe x1": 17} and found.starts["x2"] == 990.0
    assert found.words["x2"] == Word(2, 2, 990.0, 995.0, "127.0.0.1:7102", "TCP")
    assert found.standing == {("call", "ct"): KeptStanding(1, 2, 3, "x3", 3, 990.0, True, "tt")}
    by_id = {found.ids[one.gw]: one for one in found.learned.exchanges}
    for known in told_now.exchanges:
        kept = by_id[IDS[known.gw]]
        assert (kept.fastest_setup, kept.recent_setup, kept.size, kept.cap) == (
            known.fastest_setup,
            known.recent_setup,
            known.size,
            known.cap,
        )
        assert 0 <= known.recent_setup_age - kept.recent_setup_age < 1_000
    assert {(found.ids[pair.gw], pair.destination) for pair in found.learned.pairs} == {("x3", 1), ("x1", 2)}
    (caller,) = found.learned.callers
    assert (caller.caller_number, caller.traffic_type, caller.destination) == ("b", 0, 2) and abs(
        caller.first_tried_ago - told_now.callers[0].first_tried_ago
    ) <= 1
    assert read(book, 1_030.0, 80.0).learned.callers == []  # gave up long ago
    assert read(book, 9_000.0, 8_050.0).words == {}  # words hold for an hour
    assert read(book, 20_000.0, 19_050.0).standing == {}
    unknown = read(book, 500.0, 1.0, "other")
    assert unknown.age == -1 and unknown.words == {} and unknown.learned.callers == [] and unknown.standing
    book.close()


def test_records_that_make_no_sense_are_passed_over_and_told(tmp_path):
    from gingergap.store.records import Change, KeptPair

    book = filled(
        tmp_path,
        [
            Change(STANDING, "no key", KeptStanding(0, 1, 1, "x", 1, 5.0, False, "t")),
            Change(PAIR, parts("x1", "odd"), KeptPair(1, 2)),
            Change(PAIR, "[1]", KeptPair(1, 2)),
            Change(ALIVE, "", alive()),
        ],
    )
    damage = []
    found = read(book, 1_001.0, 51.0, damage=damage)
    assert found.standing == {} and found.learned.pairs == [] and len(damage) == 3
    book.close()


# --- the audit ---


def test_the_first_count_after_a_start_decides_nothing_and_the_second_what_cannot_be():
    audit = Audit()
    for dialog in range(5):
        audit.add(1, 100.0 + dialog, dialog, 2)
    assert audit.told(1, 20, 20) == []
    assert audit.told(1, 14, 20) == [0, 1]  # six circuits in use: three dialogs at most, the oldest are over
    assert audit.told(1, 14, 20) == [] and audit.lost == 2
    audit.over(1, 4)
    assert audit.told(1, 18, 20) == [2] and audit.told(2, 0, 5) == [] and audit.told(1, -1, -1) == []


@given(st.lists(st.tuples(st.integers(0, 50), st.integers(1, 3)), max_size=20), st.integers(0, 30), st.integers(0, 30))
@settings(max_examples=100, derandomize=True, deadline=None)
def test_no_more_is_given_up_than_the_count_asks_for(dialogs, free, size):
    audit = Audit()
    for number, (since, width) in enumerate(dialogs):
        audit.add(1, float(since), number, width)
    audit.told(1, free, size)
    gone = audit.told(1, free, size)
    widths = [width for _, width in dialogs]
    left = sum(widths) - sum(widths[number] for number in gone)
    in_use = max(0, size - free)
    assert left <= in_use or not dialogs
    if gone:
        assert left + widths[gone[-1]] > in_use


# --- a proxy that begins where another one was killed ---


class Restarted(Peers):
    """Peers of a proxy with a memory; `killed` is what a new one finds."""

    def __init__(self, folder, found=None, now=0, wall=1_000_000.0):
        import conftest

        self.memory = Memory(3_600, 100, [1.0, 3.0])
        self.folder = folder
        made = []

        def with_memory(form, wire, log, _now, _wall, fresh):
            made.append(build_proxy(form, wire, log, now, wall, fresh, None, self.memory, found))
            return made[0]

        patch = pytest.MonkeyPatch()
        patch.setattr(conftest, "build_proxy", with_memory)
        try:
            super().__init__()
        finally:
            patch.undo()
        self.now = now

    def killed(self, after=2.0):
        """Another proxy, `after` seconds later, with what this one had written."""
        wall = 1_000_000.0 + self.now / SECOND
        self.proxy.save_learned(self.now, 100)
        book = filled(self.folder, self.memory.batch(KeptAlive(wall, self.now / SECOND, "b", "p0", 0.0)))
        found = read(book, wall + after, self.now / SECOND + after)
        book.close()
        return Restarted(self.folder, found, self.now + int(after * SECOND), wall + after)


def test_a_dialog_that_stood_is_ended_by_its_bye_after_a_restart(tmp_path):
    peers = Restarted(tmp_path)
    invite, leg = peers.standing()
    again = peers.killed()
    assert again.proxy.counts["remembered"] == 1
    again.within("BYE", invite.call_id)
    assert [message.method for message in again.new("BYE", port=7101)] == ["BYE"]
    assert again.proxy.calls == {}
    third = again.killed()
    assert "remembered" not in third.proxy.counts


def test_a_bye_from_the_far_end_too(tmp_path):
    peers = Restarted(tmp_path)
    invite, leg = peers.standing()
    again = peers.killed()
    again.within("BYE", invite.call_id, by_caller=False)
    assert again.new("BYE", port=9000) and again.proxy.calls == {}


def test_an_answer_sent_again_after_a_restart_goes_back_and_ends_nothing(tmp_path):
    peers = Restarted(tmp_path)
    invite, leg = peers.standing()
    again = peers.killed()
    again.answer(leg, 200)
    passed = [(message, hop) for message, hop in again.sent if message.status == 200 and message.cseq()[1] == "INVITE"]
    assert len(passed) == 1 and passed[0][1].port == 9000 and top_via(passed[0][0]).port == 9000
    assert not again.all("BYE") and len(again.proxy.calls) == 1
    again.answer(leg, 200, tag="another")  # a fork that nobody wants is released
    assert again.all("BYE")


def test_an_answer_to_a_dialog_that_was_being_set_up_is_released(tmp_path):
    peers = Restarted(tmp_path)
    invite = peers.invite()
    leg = peers.legs(invite.call_id)[0]
    again = peers.killed()
    assert "remembered" not in again.proxy.counts
    again.answer(leg, 200)
    assert again.all("ACK") and again.all("BYE")


def test_the_lists_word_holds_over_a_restart(tmp_path):
    peers = Restarted(tmp_path)
    peers.tell_list(1, [("x0", "ready", 0), ("x1", "gone", 0), ("x2", "draining", 0), ("x3", "ready", 0)], "full")
    again = peers.killed()
    again.tell_groups({1: 20, 2: 20, 3: 20})
    for far in (1, 2, 3):
        invite = again.invite(f"00{far}555")
        assert bool(again.legs(invite.call_id)) == (far == 3), far
    again.tell_list(1, [("x0", "ready", 0), ("x1", "ready", 0), ("x2", "ready", 0), ("x3", "ready", 0)], "full", epoch="f")
    invite = again.invite("001777")
    assert again.legs(invite.call_id)


def test_a_machine_that_took_a_number_over_has_it_after_a_restart(tmp_path):
    peers = Restarted(tmp_path)
    peers.tell_list(1, [("x0", "ready", 0), ("x1", "gone", 0), ("x2", "ready", 0), ("x3", "ready", 0)], "full")
    peers.notify(
        "exchange-list",
        {
            "version": 2,
            "state": "partial",
            "epoch": "e",
            "exchanges": [{"id": "x1r2", "number": 1, "state": "ready", "started": 1_000_000.0 - 90, "address": "127.0.0.1:7999"}],
        },
    )
    again = peers.killed(after=20)
    again.tell_groups({1: 20, 2: 20, 3: 20})
    invite = again.invite("001555")
    assert [hop.port for _, hop in again.legs(invite.call_id)] == [7999]


def test_remembered_dialogs_that_the_switch_does_not_count_are_let_go(tmp_path):
    peers = Restarted(tmp_path)
    for number in range(3):
        peers.standing(f"00155{number}")
    again = peers.killed()  # tells the groups once, with all circuits free
    assert len(again.proxy.calls) == 3
    again.tell_groups({1: 19, 2: 20, 3: 20})
    assert len(again.proxy.calls) == 1 and again.proxy.counts["remembered dialogs that were over"] == 2
    again.tell_groups({1: 20, 2: 20, 3: 20})
    assert again.proxy.calls == {}


def test_what_was_learned_reaches_the_new_module_under_its_own_indices(tmp_path):
    peers = Restarted(tmp_path)
    invite = peers.invite("002555")
    leg = peers.legs(invite.call_id)[0]
    peers.pass_time(peers.now + 4_000)
    peers.answer(leg, 200)
    slow = peers.proxy.controller.exchanges[peers.proxy.gw_by_id["x2"]]
    assert slow.recent_setup > 0
    again = peers.killed(after=0.5)
    known = again.proxy.controller.exchanges[again.proxy.gw_by_id["x2"]]
    assert known.recent_setup == slow.recent_setup and known.expected_setup(again.now) < slow.expected_setup(peers.now)
    assert known.group.size == 20


def test_a_proxy_without_a_store_works_as_before(peers):
    invite, leg = peers.standing()
    peers.within("BYE", invite.call_id)
    assert peers.proxy.calls == {} and peers.proxy.memory is None
    assert tag(invite) == "" and structlog.get_logger() is not None


def test_counters_heard_of_before_a_restart_are_neither_asked_for_nor_granted_again(tmp_path):
    from random import Random

    from gingergap.duties.keeper import Duty, Keeper
    from gingergap.duties.leases import Token

    keeper = Keeper(NotedHost(), Random(1), 0, "p0", 1, frozenset({"p1"}), [Duty("probe x1", 100, 1_000)])
    keeper.recall("probe x1", 17)
    assert keeper.counters() == {"probe x1": 17} and keeper.held["probe x1"].claim.ask(0) == 18
    granted, newest = keeper.asked(10**6, "probe x1", Token(12, "p1/1"), 100, -1)
    assert not granted and newest == 17
    granted, _ = keeper.asked(10**6, "probe x1", Token(19, "p1/1"), 100, -1)
    assert granted
    memory = Memory(3_600, 100, [1.0])
    for duty, counter in keeper.counters().items():
        memory.token(duty, counter)
    book = filled(tmp_path, memory.batch(alive()))
    assert {item.key: item.body.counter for item in book.items(TOKEN)} == {"probe x1": 19}
    book.close()
