"""Parts of the proxy that decide or count for themselves: subscriptions, circuits, the door, numbers, words."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gingergap.edge import sip_mapping
from gingergap.edge.admission import AdmissionControl
from gingergap.edge.circuits import DOUBT_DURATION, CircuitCounts
from gingergap.edge.numbering import NumberingPlan
from gingergap.edge.subscriptions import NotificationUse, StateVersion, SubscribeAction, Subscription
from gingergap.host import LegEnd, Rsn
from gingergap.sip.message import BadMessageError, Message

SECOND = 10_000


# --- subscriptions ---


def test_a_subscription_that_falls_silent_fails_and_is_asked_for_anew():
    subscription = Subscription(20 * SECOND, 2 * SECOND)
    assert subscription.start(0) == SubscribeAction.SUBSCRIBE
    subscription.granted(10, 20 * SECOND)
    assert subscription.notified(20, StateVersion("e", 1, True)) == NotificationUse.APPLY
    assert subscription.next_action(9 * SECOND) == SubscribeAction.NOTHING
    assert subscription.next_action(10 * SECOND + 10) == SubscribeAction.REFRESH
    asked = [subscription.next_action(now) for now in range(10 * SECOND + 20, 40 * SECOND, 100)]
    assert asked.count(SubscribeAction.FAILED) == 1 and asked[-1] == SubscribeAction.NOTHING
    assert subscription.start(41 * SECOND) == SubscribeAction.SUBSCRIBE


def test_a_subscription_that_nobody_grants_fails():
    subscription = Subscription(20 * SECOND, 2 * SECOND)
    subscription.start(0)
    assert [subscription.next_action(now) for now in (10, 2 * SECOND, 2 * SECOND + 10)] == [SubscribeAction.NOTHING, SubscribeAction.NOTHING, SubscribeAction.FAILED]
    assert subscription.ended(3 * SECOND) == SubscribeAction.NOTHING


def test_a_refresh_that_is_answered_goes_on_for_ever():
    subscription = Subscription(20 * SECOND, 2 * SECOND)
    subscription.start(0)
    subscription.granted(0, 20 * SECOND)
    subscription.notified(0, StateVersion("e", 1, True))
    refreshes = 0
    for now in range(0, 200 * SECOND, 100):
        ask = subscription.next_action(now)
        assert ask != SubscribeAction.FAILED
        if ask == SubscribeAction.REFRESH:
            refreshes += 1
            subscription.granted(now, 20 * SECOND)
            subscription.notified(now, StateVersion("e", 1, True))
    assert 18 <= refreshes <= 21


@given(
    st.lists(st.tuples(st.integers(0, 5), st.sampled_from(["pass", "lose", "late", "twice", "restart"])), min_size=1, max_size=40),
    st.randoms(use_true_random=False),
)
@settings(max_examples=200, derandomize=True, deadline=None)
def test_whatever_is_lost_or_late_the_state_ends_up_right(changes, draw):
    """A notifier of six values over a network that loses, repeats and reorders; the subscriber asks for the full
    state when told to, and in the end holds what the notifier holds."""
    subscription = Subscription(20 * SECOND, 2 * SECOND)
    subscription.start(0)
    held, truth = {}, dict.fromkeys(range(6), 0)
    epoch, version, on_the_way, now = 0, 0, [], 0

    def full():
        return StateVersion(str(epoch), version, True), dict(truth)

    def arrive(body, values):
        use = subscription.notified(now, body)
        if use == NotificationUse.APPLY:
            if body.full:
                held.clear()
            held.update(values)
        elif use == NotificationUse.RESYNC:
            on_the_way.append(full())

    arrive(*full())
    for key, fate in changes:
        now += SECOND
        if fate == "restart":
            epoch, version = epoch + 1, 0
        truth[key] += 1
        version += 1
        news = StateVersion(str(epoch), version, False), {key: truth[key]}
        if fate != "lose":
            on_the_way += [news, news] if fate == "twice" else [news]
        if fate != "late":
            draw.shuffle(on_the_way)
            while on_the_way:
                arrive(*on_the_way.pop())
    while on_the_way:
        now += SECOND
        arrive(*on_the_way.pop())
    now += SECOND
    arrive(*full())  # the next refresh
    assert held == truth


def test_a_list_with_a_gap_is_asked_for_and_mended(peers):
    peers.tell_list(1, [("x0", "ready", 0), ("x1", "ready", 0), ("x2", "ready", 0), ("x3", "ready", 0)], "full")
    peers.new()
    peers.tell_list(3, [("x1", "gone", 0)])
    assert [m.get("Event") for m in peers.new("SUBSCRIBE")] == ["exchange-list"]
    assert peers.proxy.controller.by_number[1].ready  # not used: something is missing before it
    peers.tell_list(3, [("x0", "ready", 0), ("x1", "gone", 0), ("x2", "draining", 0)], "full")
    states = {name: peers.proxy.controller.gws[peers.proxy.gw_by_id[name]].ready for name in ("x1", "x2", "x3")}
    assert states == {"x1": False, "x2": False, "x3": False}
    peers.tell_list(2, [("x1", "ready", 0)])
    assert not peers.proxy.controller.by_number[1].ready  # overtaken


def test_one_start_told_twice_is_one_start(peers):
    peers.tell_list(1, [("x1", "ready", 1_000_001.5)], "full")
    ex = peers.proxy.controller.by_number[1]
    first = ex.started
    peers.pass_time(30_000)
    peers.tell_list(2, [("x1", "ready", 1_000_001.5)])
    assert ex.started == first > 0
    peers.tell_list(3, [("x1", "ready", 1_000_002.75)])
    assert ex.started > first


def test_a_machine_that_takes_a_number_over_has_its_group(peers):
    peers.tell_list(1, [("x1", "ready", 0), ("x2", "ready", 0), ("x0", "ready", 0)], "full")
    peers.notify(
        "exchange-list",
        {
            "version": 2,
            "state": "partial",
            "epoch": "e",
            "exchanges": [
                {"id": "x1", "number": 1, "state": "draining", "started": 0, "address": "127.0.0.1:7101"},
                {"id": "new", "number": 1, "state": "ready", "started": 0, "address": "127.0.0.1:7201"},
            ],
        },
    )
    ex = peers.proxy.controller.by_number[1]
    assert peers.proxy.exchange_ids[ex.gw] == "new" and (ex.group.free, ex.group.size) == (20, 20)
    invite = peers.invite()
    assert [hop.port for _, hop in peers.legs(invite.call_id)] == [7201]


def test_a_new_start_of_the_own_exchange_is_subscribed_to_again(peers):
    peers.tell_list(1, [("x0", "ready", 0)], "full")
    peers.new()
    peers.tell_list(2, [("x0", "ready", 1_000_000.0)])
    assert [m.get("Event") for m in peers.new("SUBSCRIBE")] == ["trunk-groups"]


@pytest.mark.parametrize(
    "body", [b"", b"{", b"[]", b'{"version":"x"}', b'{"version":1,"state":"full","epoch":"e"}', b"\xff\xfe", b"[" * 5000]
)
def test_a_notification_that_is_no_list_is_refused_and_the_old_one_kept(peers, body):
    before = dict(peers.proxy.controller.by_number)
    sub = peers.proxy.subscribers["exchange-list"]
    message = Message("NOTIFY", "sip:127.0.0.1:7000", body=body)
    message.fields = [
        ("Via", "SIP/2.0/UDP 127.0.0.1:9000;branch=z9hG4bKbody"),
        ("From", "<sip:n>;tag=n"),
        ("To", f"<sip:p>;tag={sub.tag}"),
        ("Call-ID", sub.call_id),
        ("CSeq", "1 NOTIFY"),
        ("Event", "exchange-list"),
        ("Subscription-State", "active"),
    ]
    peers.come(message)
    assert [m.status for m in peers.new(port=9000)] == [400 if body else 200]
    assert peers.proxy.controller.by_number == before


def test_the_list_is_asked_for_again_after_it_fell_silent(peers):
    peers.tell_list(1, [("x0", "ready", 0), ("x1", "ready", 0)], "full")
    peers.pass_time(100 * SECOND)
    lists = [m for m in peers.all("SUBSCRIBE") if m.get("Event") == "exchange-list"]
    assert len({m.call_id for m in lists}) > 2
    assert peers.proxy.controller.by_number[1].ready  # what it last knew still serves


# --- circuits, door, numbers, words ---


def test_a_leg_that_the_exchange_has_not_seen_is_not_free():
    circuits = CircuitCounts()
    assert circuits.count(1) == (-1, -1)
    circuits.leg_sent(1, 7, 2)
    assert circuits.update(1, 5, 10) == (3, 10)
    circuits.leg_reported(1, 7)
    assert circuits.count(1) == (5, 10)


def test_a_turned_back_leg_is_believed_for_a_while():
    circuits = CircuitCounts()
    circuits.update(1, 5, 10)
    circuits.group_refused(100, 1, 2)
    assert circuits.count(1) == (1, 10)
    assert circuits.expire_doubts(100 + DOUBT_DURATION - 1) == []
    assert circuits.expire_doubts(100 + DOUBT_DURATION) == [(1, 5, 10)]
    circuits.group_refused(0, 1, 1)
    assert circuits.update(1, 4, 10) == (4, 10)


@given(st.lists(st.tuples(st.sampled_from(["told", "sent", "over", "back"]), st.integers(0, 4), st.integers(0, 12)), max_size=40))
@settings(derandomize=True, deadline=None)
def test_a_count_is_never_under_nothing_nor_over_the_size(events):
    circuits = CircuitCounts()
    for what, leg, number in events:
        if what == "told":
            circuits.update(1, number, 10)
        elif what == "sent":
            circuits.leg_sent(1, leg, 1 + number % 3)
        elif what == "over":
            circuits.leg_reported(1, leg)
        else:
            circuits.group_refused(0, 1, 1 + number % 3)
        free, size = circuits.count(1)
        assert (free, size) == (-1, -1) or 0 <= free <= size


def test_a_full_house_keeps_its_last_room_for_what_is_worth_most():
    admission = AdmissionControl(100, 500, [1.0, 3.0])
    assert (admission.retry_after(0, 89), admission.retry_after(0, 90)) == (0, 1)
    assert (admission.retry_after(1, 99), admission.retry_after(1, 100)) == (0, 1)


def test_a_process_that_falls_behind_sends_away_cheap_traffic_first_and_recovers():
    admission = AdmissionControl(100, 500, [1.0, 3.0])
    admission.timer_fired(1_000)
    assert admission.retry_after(0, 0) and not admission.retry_after(1, 0)
    admission.timer_fired(5_000)
    assert admission.retry_after(0, 0) == 2 and admission.retry_after(1, 0)
    for _ in range(20):
        admission.timer_fired(0)
    assert not admission.retry_after(0, 0) and not admission.retry_after(1, 0)


def test_a_draining_door_is_shut_to_all():
    admission = AdmissionControl(100, 500, [1.0])
    admission.draining = True
    assert admission.retry_after(0, 0) > 0


@pytest.mark.parametrize(
    ("number", "exchange"),
    [("0115550100", 1), ("0125550100", 2), ("+0115550100", 1), ("0", -1), ("", -1), ("0119", 3), ("01-15", 1)],
)
def test_the_longest_prefix_leads(number, exchange):
    assert NumberingPlan({"011": 1, "012": 2, "0119": 3}).exchange_of(number) == exchange


@pytest.mark.parametrize(
    ("status", "fields", "over_tandem", "end"),
    [
        (486, [], False, (LegEnd.BUSY, Rsn.LINES_BUSY)),
        (600, [], False, (LegEnd.BUSY, Rsn.LINES_BUSY)),
        (503, [sip_mapping.q850_reason(34)], False, (LegEnd.FULL, Rsn.NO_CIRCUIT)),
        (503, [sip_mapping.q850_reason(42)], False, (LegEnd.FULL, Rsn.PROCESSOR_FULL)),
        (503, [], True, (LegEnd.FULL, Rsn.PROCESSOR_FULL)),
        (503, [sip_mapping.q850_reason(42, "RLN")], True, (LegEnd.FULL, Rsn.BEYOND_TANDEM_FULL)),
        (503, [sip_mapping.q850_reason(42, "RLN")], False, (LegEnd.FULL, Rsn.PROCESSOR_FULL)),
        (503, [sip_mapping.q850_reason(21, "TN")], True, (LegEnd.FULL, Rsn.TANDEM_DECLINED)),
        (408, [], False, (LegEnd.NO_ANSWER, Rsn.NONE)),
        (487, [], False, (LegEnd.NO_ANSWER, Rsn.NONE)),
        (404, [], False, (LegEnd.BUSY, Rsn.NO_WAY)),
        (302, [], False, (LegEnd.BUSY, Rsn.NO_WAY)),
        (500, [], False, (LegEnd.BUSY, Rsn.NONE)),
    ],
)
def test_what_an_answer_means(status, fields, over_tandem, end):
    assert sip_mapping.leg_end_of(Message(status=status, fields=fields), over_tandem) == end


@pytest.mark.parametrize("how", [None, *LegEnd])
@pytest.mark.parametrize("rsn", list(Rsn))
def test_a_tandems_refusal_is_never_read_as_doubt(how, rsn):
    status, fields = sip_mapping.decline_response(True, how, rsn, 0)
    end, _ = sip_mapping.leg_end_of(Message(status=status, fields=fields), True)
    assert end in (LegEnd.FULL, LegEnd.BUSY)


def test_a_hold_off_is_never_shorter_in_whole_seconds():
    _, fields = sip_mapping.decline_response(False, None, 0, 15_001)
    assert ("Retry-After", "2") in fields


def test_marks_go_there_and_back():
    message = Message(fields=[(sip_mapping.DIALOG_FIELD, sip_mapping.format_dialog_params(True, True, True, 2310))])
    assert sip_mapping.parse_dialog_params(message) == sip_mapping.DialogParams(True, True, True, 2310)
    assert sip_mapping.parse_dialog_params(Message()) == sip_mapping.DialogParams(False, False, False, -1)
    with pytest.raises(BadMessageError):
        sip_mapping.parse_dialog_params(Message(fields=[(sip_mapping.DIALOG_FIELD, "transit;time-left=x")]))


def test_short_messages_reach_those_that_are_ready_and_no_others(peers_of):
    from conftest import EDGE

    peers = peers_of(EDGE.replace("(tell-peers false)", ""))
    peers.tell_list(1, [("x0", "ready", 0), ("x1", "gone", 0), ("x2", "ready", 0), ("x3", "ready", 0)], "full")
    peers.read = len(peers.sent)
    peers.pass_time(20_000)
    assert {hop.port for m, hop in peers.sent[peers.read :] if m.method == "MESSAGE"} == {7102, 7103}
    peers.new()
    told = Message("MESSAGE", "sip:proxy@127.0.0.1:7000", body=b"\0\2\x0e\x0e")
    told.fields = [
        ("Via", "SIP/2.0/UDP 127.0.0.1:9000;branch=z9hG4bKm"),
        ("From", "<sip:x>;tag=1"),
        ("To", "<sip:p>"),
        ("Call-ID", "m"),
        ("CSeq", "1 MESSAGE"),
    ]
    peers.come(told)
    assert peers.proxy.controller.by_number[2].reach == (0x0E, 0x0E)
