"""Parts of the proxy without I/O: subscriptions, circuit counts, admission control, numbering plan, SIP mapping."""

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


def test_a_subscription_without_responses_fails_and_can_be_started_again():
    subscription = Subscription(20 * SECOND, 2 * SECOND)
    assert subscription.start(0) == SubscribeAction.SUBSCRIBE
    subscription.granted(10, 20 * SECOND)
    assert subscription.notified(20, StateVersion("e", 1, True)) == NotificationUse.APPLY
    assert subscription.next_action(9 * SECOND) == SubscribeAction.NOTHING
    assert subscription.next_action(10 * SECOND + 10) == SubscribeAction.REFRESH
    actions = [subscription.next_action(now) for now in range(10 * SECOND + 20, 40 * SECOND, 100)]
    assert actions.count(SubscribeAction.FAILED) == 1 and actions[-1] == SubscribeAction.NOTHING
    assert subscription.start(41 * SECOND) == SubscribeAction.SUBSCRIBE


def test_a_subscription_that_is_never_granted_fails():
    subscription = Subscription(20 * SECOND, 2 * SECOND)
    subscription.start(0)
    assert [subscription.next_action(now) for now in (10, 2 * SECOND, 2 * SECOND + 10)] == [
        SubscribeAction.NOTHING,
        SubscribeAction.NOTHING,
        SubscribeAction.FAILED,
    ]
    assert subscription.ended(3 * SECOND) == SubscribeAction.NOTHING


def test_a_subscription_stays_active_while_its_refreshes_are_answered():
    subscription = Subscription(20 * SECOND, 2 * SECOND)
    subscription.start(0)
    subscription.granted(0, 20 * SECOND)
    subscription.notified(0, StateVersion("e", 1, True))
    refreshes = 0
    for now in range(0, 200 * SECOND, 100):
        action = subscription.next_action(now)
        assert action != SubscribeAction.FAILED
        if action == SubscribeAction.REFRESH:
            refreshes += 1
            subscription.granted(now, 20 * SECOND)
            subscription.notified(now, StateVersion("e", 1, True))
    assert 18 <= refreshes <= 21


@given(
    st.lists(st.tuples(st.integers(0, 5), st.sampled_from(["pass", "lose", "late", "twice", "restart"])), min_size=1, max_size=40),
    st.randoms(use_true_random=False),
)
@settings(max_examples=200, derandomize=True, deadline=None)
def test_the_state_converges_under_loss_duplication_and_reordering(changes, rng):
    """A notifier of six values over a network that loses, duplicates and reorders; the subscriber requests the full
    state when it has to, and in the end has the state of the notifier."""
    subscription = Subscription(20 * SECOND, 2 * SECOND)
    subscription.start(0)
    subscriber_state, notifier_state = {}, dict.fromkeys(range(6), 0)
    epoch, version, in_flight, now = 0, 0, [], 0

    def full():
        return StateVersion(str(epoch), version, True), dict(notifier_state)

    def arrive(body, values):
        use = subscription.notified(now, body)
        if use == NotificationUse.APPLY:
            if body.full:
                subscriber_state.clear()
            subscriber_state.update(values)
        elif use == NotificationUse.RESYNC:
            in_flight.append(full())

    arrive(*full())
    for key, fate in changes:
        now += SECOND
        if fate == "restart":
            epoch, version = epoch + 1, 0
        notifier_state[key] += 1
        version += 1
        update = StateVersion(str(epoch), version, False), {key: notifier_state[key]}
        if fate != "lose":
            in_flight += [update, update] if fate == "twice" else [update]
        if fate != "late":
            rng.shuffle(in_flight)
            while in_flight:
                arrive(*in_flight.pop())
    while in_flight:
        now += SECOND
        arrive(*in_flight.pop())
    now += SECOND
    arrive(*full())  # the next refresh
    assert subscriber_state == notifier_state


def test_a_version_gap_in_the_list_is_resynchronised(peers):
    peers.notify_list(1, [("x0", "ready", 0), ("x1", "ready", 0), ("x2", "ready", 0), ("x3", "ready", 0)], "full")
    peers.new_messages()
    peers.notify_list(3, [("x1", "gone", 0)])
    assert [m.get("Event") for m in peers.new_messages("SUBSCRIBE")] == ["exchange-list"]
    assert peers.proxy.controller.exchange_by_number[1].ready  # not applied: version 2 is missing
    peers.notify_list(3, [("x0", "ready", 0), ("x1", "gone", 0), ("x2", "draining", 0)], "full")
    states = {name: peers.proxy.controller.exchanges[peers.proxy.gw_by_id[name]].ready for name in ("x1", "x2", "x3")}
    assert states == {"x1": False, "x2": False, "x3": False}
    peers.notify_list(2, [("x1", "ready", 0)])
    assert not peers.proxy.controller.exchange_by_number[1].ready  # stale


def test_the_same_start_time_notified_twice_is_one_start(peers):
    peers.notify_list(1, [("x1", "ready", 1_000_001.5)], "full")
    exchange = peers.proxy.controller.exchange_by_number[1]
    first = exchange.started
    peers.advance_to(30_000)
    peers.notify_list(2, [("x1", "ready", 1_000_001.5)])
    assert exchange.started == first > 0
    peers.notify_list(3, [("x1", "ready", 1_000_002.75)])
    assert exchange.started > first


def test_a_new_machine_of_an_exchange_gets_the_exchanges_trunk_group(peers):
    peers.notify_list(1, [("x1", "ready", 0), ("x2", "ready", 0), ("x0", "ready", 0)], "full")
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
    exchange = peers.proxy.controller.exchange_by_number[1]
    assert peers.proxy.exchange_ids[exchange.gw] == "new" and (exchange.group.free, exchange.group.size) == (20, 20)
    invite = peers.invite()
    assert [hop.port for _, hop in peers.legs(invite.call_id)] == [7201]


def test_a_restart_of_the_own_exchange_renews_the_group_subscription(peers):
    peers.notify_list(1, [("x0", "ready", 0)], "full")
    peers.new_messages()
    peers.notify_list(2, [("x0", "ready", 1_000_000.0)])
    assert [m.get("Event") for m in peers.new_messages("SUBSCRIBE")] == ["trunk-groups"]


@pytest.mark.parametrize(
    "body", [b"", b"{", b"[]", b'{"version":"x"}', b'{"version":1,"state":"full","epoch":"e"}', b"\xff\xfe", b"[" * 5000]
)
def test_an_invalid_list_notification_is_rejected_and_the_old_list_kept(peers, body):
    before = dict(peers.proxy.controller.exchange_by_number)
    subscriber = peers.proxy.subscribers["exchange-list"]
    message = Message("NOTIFY", "sip:127.0.0.1:7000", body=body)
    message.fields = [
        ("Via", "SIP/2.0/UDP 127.0.0.1:9000;branch=z9hG4bKbody"),
        ("From", "<sip:n>;tag=n"),
        ("To", f"<sip:p>;tag={subscriber.tag}"),
        ("Call-ID", subscriber.call_id),
        ("CSeq", "1 NOTIFY"),
        ("Event", "exchange-list"),
        ("Subscription-State", "active"),
    ]
    peers.deliver(message)
    assert [m.status for m in peers.new_messages(port=9000)] == [400 if body else 200]
    assert peers.proxy.controller.exchange_by_number == before


def test_the_list_is_subscribed_to_again_after_it_became_silent(peers):
    peers.notify_list(1, [("x0", "ready", 0), ("x1", "ready", 0)], "full")
    peers.advance_to(100 * SECOND)
    lists = [m for m in peers.all_messages("SUBSCRIBE") if m.get("Event") == "exchange-list"]
    assert len({m.call_id for m in lists}) > 2
    assert peers.proxy.controller.exchange_by_number[1].ready  # the last known list stays in use


# --- circuit counts, admission control, numbering plan, SIP mapping ---


def test_circuits_of_a_leg_not_yet_counted_are_not_free():
    circuits = CircuitCounts()
    assert circuits.count(1) == (-1, -1)
    circuits.leg_sent(1, 7, 2)
    assert circuits.update(1, 5, 10) == (3, 10)
    circuits.leg_reported(1, 7)
    assert circuits.count(1) == (5, 10)


def test_a_refusal_bounds_the_free_count_until_it_expires_or_a_count_arrives():
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
def test_the_free_count_stays_between_zero_and_the_size(events):
    circuits = CircuitCounts()
    for event, leg, number in events:
        if event == "told":
            circuits.update(1, number, 10)
        elif event == "sent":
            circuits.leg_sent(1, leg, 1 + number % 3)
        elif event == "over":
            circuits.leg_reported(1, leg)
        else:
            circuits.group_refused(0, 1, 1 + number % 3)
        free, size = circuits.count(1)
        assert (free, size) == (-1, -1) or 0 <= free <= size


def test_the_last_capacity_is_kept_for_the_most_important_traffic():
    admission = AdmissionControl(100, 500, [1.0, 3.0])
    assert (admission.retry_after(0, 89), admission.retry_after(0, 90)) == (0, 1)
    assert (admission.retry_after(1, 99), admission.retry_after(1, 100)) == (0, 1)


def test_a_late_process_rejects_the_least_important_traffic_first_and_recovers():
    admission = AdmissionControl(100, 500, [1.0, 3.0])
    admission.timer_fired(1_000)
    assert admission.retry_after(0, 0) and not admission.retry_after(1, 0)
    admission.timer_fired(5_000)
    assert admission.retry_after(0, 0) == 2 and admission.retry_after(1, 0)
    for _ in range(20):
        admission.timer_fired(0)
    assert not admission.retry_after(0, 0) and not admission.retry_after(1, 0)


def test_a_draining_proxy_admits_no_dialog():
    admission = AdmissionControl(100, 500, [1.0])
    admission.draining = True
    assert admission.retry_after(0, 0) > 0


@pytest.mark.parametrize(
    ("number", "exchange"),
    [("0115550100", 1), ("0125550100", 2), ("+0115550100", 1), ("0", -1), ("", -1), ("0119", 3), ("01-15", 1)],
)
def test_the_longest_matching_prefix_selects_the_exchange(number, exchange):
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
def test_the_leg_end_that_a_failure_response_means(status, fields, over_tandem, end):
    assert sip_mapping.leg_end_of(Message(status=status, fields=fields), over_tandem) == end


@pytest.mark.parametrize("leg_end", [None, *LegEnd])
@pytest.mark.parametrize("rsn", list(Rsn))
def test_a_decline_by_a_tandem_never_leaves_the_leg_in_doubt(leg_end, rsn):
    status, fields = sip_mapping.decline_response(True, leg_end, rsn, 0)
    end, _ = sip_mapping.leg_end_of(Message(status=status, fields=fields), True)
    assert end in (LegEnd.FULL, LegEnd.BUSY)


def test_a_hold_off_is_rounded_up_to_whole_seconds():
    _, fields = sip_mapping.decline_response(False, None, 0, 15_001)
    assert ("Retry-After", "2") in fields


def test_dialog_params_survive_formatting_and_parsing():
    message = Message(fields=[(sip_mapping.DIALOG_FIELD, sip_mapping.format_dialog_params(True, True, True, 2310))])
    assert sip_mapping.parse_dialog_params(message) == sip_mapping.DialogParams(True, True, True, 2310)
    assert sip_mapping.parse_dialog_params(Message()) == sip_mapping.DialogParams(False, False, False, -1)
    with pytest.raises(BadMessageError):
        sip_mapping.parse_dialog_params(Message(fields=[(sip_mapping.DIALOG_FIELD, "transit;time-left=x")]))


def test_peer_messages_are_sent_to_ready_exchanges_only(make_peers):
    from conftest import EDGE

    peers = make_peers(EDGE.replace("(tell-peers false)", ""))
    peers.notify_list(1, [("x0", "ready", 0), ("x1", "gone", 0), ("x2", "ready", 0), ("x3", "ready", 0)], "full")
    peers.read_count = len(peers.sent)
    peers.advance_to(20_000)
    assert {hop.port for m, hop in peers.sent[peers.read_count :] if m.method == "MESSAGE"} == {7102, 7103}
    peers.new_messages()
    message = Message("MESSAGE", "sip:proxy@127.0.0.1:7000", body=b"\0\2\x0e\x0e")
    message.fields = [
        ("Via", "SIP/2.0/UDP 127.0.0.1:9000;branch=z9hG4bKm"),
        ("From", "<sip:x>;tag=1"),
        ("To", "<sip:p>"),
        ("Call-ID", "m"),
        ("CSeq", "1 MESSAGE"),
    ]
    peers.deliver(message)
    assert peers.proxy.controller.exchange_by_number[2].reachable == (0x0E, 0x0E)
