"""The proxy message by message: one final response, one leg at a time, releases, and messages that cross."""

import pytest

from gingergap.host import LegEnd
from gingergap.sip.fields import q850_cause_of, top_via
from gingergap.sip.message import Message
from gingergap.sip.transactions import Hop


def test_a_call_from_invite_to_bye(peers):
    invite = peers.invite()
    assert [m.status for m, hop in peers.sent if hop.port == 9000] == [100]
    ((leg, hop),) = peers.legs(invite.call_id)
    assert hop == Hop("UDP", "127.0.0.1", 7101)
    assert leg.uri.startswith("sip:001555;tgrp=g0-1;trunk-context=")
    assert leg.get("Record-Route") == "<sip:127.0.0.1:7000;lr>" and leg.get("Max-Forwards") == "69"
    peers.answer((leg, hop), 200)
    assert peers.final_statuses(invite.call_id) == [200]
    (call,) = peers.proxy.calls.values()
    assert call.established and peers.proxy.open_dialogs == 0
    peers.send_in_dialog("ACK", invite.call_id, number=1)
    assert peers.all_messages("ACK", port=7101)
    bye = peers.send_in_dialog("BYE", invite.call_id)
    (forwarded,) = peers.all_messages("BYE", port=7101)
    assert forwarded.call_id == bye.call_id and not forwarded.has("Route")
    peers.answer((forwarded, Hop("UDP", "127.0.0.1", 7101)), 200, contact=False)
    assert [m.cseq()[1] for m, hop in peers.sent if m.status == 200 and hop.port == 9000] == ["INVITE", "BYE"]
    assert not peers.proxy.calls and not peers.proxy.calls_by_key and not peers.proxy.controller.dialogs


def test_an_invite_retransmitted_after_the_time_out_gets_the_same_response_and_no_leg(peers):
    invite = peers.invite(expires=1)
    peers.advance_to(12_000)
    assert peers.final_statuses(invite.call_id)[0] == 408
    legs = len(peers.legs(invite.call_id))
    before = len(peers.final_statuses(invite.call_id))
    peers.deliver(invite)
    assert peers.final_statuses(invite.call_id)[before:] == [408]
    assert len(peers.legs(invite.call_id)) == legs
    answers = [m for m in peers.all_messages(status=408) if m.call_id == invite.call_id]
    assert len({bytes(answer) for answer in answers}) == 1


def test_the_final_response_is_sent_before_the_invite_expires(peers):
    invite = peers.invite(expires=2)
    peers.answer(peers.legs(invite.call_id)[0], 100)
    peers.advance_to(20_000)
    assert peers.final_statuses(invite.call_id)[0] == 408
    assert peers.all_messages("CANCEL", port=7101)  # the pending leg is cancelled


def test_a_cancel_after_the_200_has_no_effect(peers):
    invite, leg = peers.establish_dialog()
    peers.cancel(invite)
    assert peers.final_statuses(invite.call_id) == [200]
    assert not peers.all_messages("CANCEL") and not peers.all_messages("BYE")
    peers.send_in_dialog("BYE", invite.call_id)
    assert not peers.proxy.calls


def test_a_200_that_crosses_the_cancel_is_acked_and_released_once(peers):
    invite = peers.invite()
    leg = peers.legs(invite.call_id)[0]
    peers.answer(leg, 100)
    peers.cancel(invite)
    assert peers.final_statuses(invite.call_id) == [487]
    assert [m.status for m, hop in peers.sent if hop.port == 9000 and m.status and m.cseq()[1] == "CANCEL"] == [200]
    assert len(peers.all_messages("CANCEL", port=7101)) == 1
    for _ in range(3):  # the 200 is retransmitted until its ACK arrives
        peers.answer(leg, 200)
    assert peers.final_statuses(invite.call_id) == [487]
    assert len(peers.all_messages("ACK", port=7101)) == 3
    (bye,) = peers.all_messages("BYE", port=7101)
    assert bye.get("To").endswith("tag=far") and bye.get("From") == invite.get("From")
    assert bye.cseq() == (2, "BYE")
    assert not peers.proxy.calls


def test_a_487_after_the_cancel_ends_the_dialog(peers):
    invite = peers.invite()
    leg = peers.legs(invite.call_id)[0]
    peers.answer(leg, 180)
    peers.cancel(invite)
    peers.answer(leg, 487)
    assert peers.final_statuses(invite.call_id) == [487]
    assert peers.all_messages("ACK", port=7101) and not peers.all_messages("BYE")
    assert len(peers.legs(invite.call_id)) == 1


def test_a_cancel_waits_for_a_provisional_response_of_the_leg(peers):
    invite = peers.invite()
    leg = peers.legs(invite.call_id)[0]
    peers.cancel(invite)
    assert not peers.all_messages("CANCEL", port=7101)
    sent = len(peers.sent)
    peers.advance_to(30_000)
    assert not [m for m, hop in peers.sent[sent:] if m.method == "INVITE"]  # and is not retransmitted
    peers.answer(leg, 100)
    assert len(peers.all_messages("CANCEL", port=7101)) == 1


def test_a_late_200_of_an_abandoned_leg_is_not_forwarded_to_the_caller(peers):
    invite = peers.invite(expires=1)
    leg = peers.legs(invite.call_id)[0]
    peers.advance_to(12_000)
    answered = list(peers.final_statuses(invite.call_id))
    peers.answer(leg, 200)
    assert peers.final_statuses(invite.call_id) == answered
    assert len(peers.all_messages("ACK", port=7101)) == 1 and len(peers.all_messages("BYE", port=7101)) == 1


def test_a_late_200_is_released_by_a_process_without_state_of_its_dialog(peers, make_peers):
    invite = peers.invite()
    leg = peers.legs(invite.call_id)[0]
    restarted = make_peers()
    restarted.answer(leg, 200)
    assert len(restarted.all_messages("ACK", port=7101)) == 1 and len(restarted.all_messages("BYE", port=7101)) == 1


def test_a_200_retransmitted_because_its_ack_was_lost_is_forwarded_again(peers):
    invite, leg = peers.establish_dialog()
    peers.answer(leg, 200)
    assert peers.final_statuses(invite.call_id) == [200, 200]
    assert not peers.all_messages("BYE")


def test_a_second_fork_that_answers_is_released_and_the_first_is_kept(peers):
    invite, leg = peers.establish_dialog()
    peers.answer(leg, 200, tag="other")
    assert peers.final_statuses(invite.call_id) == [200]
    (bye,) = peers.all_messages("BYE", port=7101)
    assert bye.get("To").endswith("tag=other")
    assert len(peers.proxy.calls) == 1


def test_byes_from_both_sides_end_the_dialog_once(peers):
    invite, _ = peers.establish_dialog()
    ended = []
    leg_ended = peers.proxy.controller.leg_ended
    peers.proxy.controller.leg_ended = lambda *args: (ended.append(args[3]), leg_ended(*args))
    peers.send_in_dialog("BYE", invite.call_id)
    peers.send_in_dialog("BYE", invite.call_id, by_caller=False)
    assert ended == [LegEnd.ENDED]
    assert len(peers.all_messages("BYE", port=7101)) == 1 and len(peers.all_messages("BYE", port=9000)) == 1


def test_a_bye_with_a_failure_cause_reports_a_cut_dialog(peers):
    invite, _ = peers.establish_dialog()
    ended = []
    leg_ended = peers.proxy.controller.leg_ended
    peers.proxy.controller.leg_ended = lambda *args: (ended.append((args[3], args[5])), leg_ended(*args))
    peers.send_in_dialog("BYE", invite.call_id, by_caller=False, fields=[("Reason", "Q.850;cause=38")])
    assert ended == [(LegEnd.CUT, True)]


def test_a_request_in_a_dialog_from_before_a_restart_is_forwarded(peers):
    peers.send_in_dialog("BYE", "unknown-here")
    assert len(peers.all_messages("BYE", port=7101)) == 1


@pytest.mark.parametrize(
    ("status", "fields", "final"), [(486, [("Reason", "Q.850;cause=17")], 486), (302, [], 480), (404, [], 480)]
)
def test_a_leg_to_a_busy_or_unknown_number_ends_the_dialog(peers, status, fields, final):
    invite = peers.invite()
    peers.answer(peers.legs(invite.call_id)[0], status, fields=fields)
    assert peers.final_statuses(invite.call_id) == [final]
    assert peers.all_messages("ACK", port=7101)


def test_a_leg_over_a_tandem_follows_a_full_direct_group(peers):
    invite = peers.invite()
    peers.answer(peers.legs(invite.call_id)[0], 503, fields=[("Reason", "Q.850;cause=34")])
    legs = peers.legs(invite.call_id)
    assert len(legs) == 2 and legs[1][1].port in (7102, 7103)
    assert "transit" in legs[1][0].get("Gingergap-Dialog")
    peers.answer(legs[1], 200)
    assert peers.final_statuses(invite.call_id) == [200]


def leg_over_tcp(peers):
    """An INVITE and its leg, with the hop, to an exchange reached over TCP."""
    lines = [("x1", "ready", 0.0)]
    peers.notify(
        "exchange-list",
        {
            "version": 1,
            "state": "full",
            "epoch": "e",
            "exchanges": [
                {
                    "id": name,
                    "number": int(name[1]),
                    "state": state,
                    "started": started,
                    "transport": "TCP",
                    "address": f"127.0.0.1:710{name[1]}",
                }
                for name, state, started in lines
            ],
        },
    )
    invite = peers.invite()
    ((leg, hop),) = peers.legs(invite.call_id)
    assert hop.transport == "TCP"
    return invite, leg, hop


def test_the_next_leg_is_sent_after_the_release_guard(peers):
    invite, leg, hop = leg_over_tcp(peers)
    peers.answer((leg, hop), 100)
    peers.proxy.hop_failed(peers.now, Hop("TCP", "127.0.0.1", 7101, 5), True)
    peers.advance_to(1_950)
    assert len(peers.legs(invite.call_id)) == 1
    peers.advance_to(2_600)
    assert len(peers.legs(invite.call_id)) == 2


# A leg was abandoned before any response, so that no CANCEL could be sent, and its connection was reset afterwards. The next
# leg was sent within the release guard counted from that reset.
def test_the_release_guard_restarts_when_the_connection_of_an_abandoned_leg_is_reset(peers):
    invite, _, _ = leg_over_tcp(peers)
    peers.proxy.cancel_leg(next(iter(peers.proxy.calls)), 0)
    peers.advance_to(1_500)
    peers.proxy.hop_failed(peers.now, Hop("TCP", "127.0.0.1", 7101, 5), True)
    peers.advance_to(3_450)
    assert len(peers.legs(invite.call_id)) == 1
    peers.advance_to(4_100)
    assert len(peers.legs(invite.call_id)) == 2


def test_an_unreachable_exchange_is_distinguished_from_a_silent_one(peers):
    invite = peers.invite()
    peers.proxy.hop_failed(peers.now, Hop("UDP", "127.0.0.1", 7101), False)
    assert peers.proxy.counts["legs ended unreachable"] == 1
    assert len(peers.legs(invite.call_id)) == 1  # and it is not tried again at once
    peers.advance_to(32_000)
    assert set(peers.final_statuses(invite.call_id)) == {503}


def test_a_dialog_in_transit_is_sent_to_its_destination_only(peers):
    invite = peers.invite(fields=[("Gingergap-Dialog", "transit;time-left=1500")])
    ((leg, hop),) = peers.legs(invite.call_id)
    assert hop.port == 7101 and "transit" not in leg.get("Gingergap-Dialog")
    peers.answer((leg, hop), 503, fields=[("Reason", "Q.850;cause=42")])
    while len(peers.final_statuses(invite.call_id)) == 0 and peers.now < 20_000:
        peers.advance_to(peers.now + 500)
        for again in peers.legs(invite.call_id)[1:]:
            peers.answer(again, 503, fields=[("Reason", "Q.850;cause=42")])
    (final,) = [m for m, h in peers.sent if m.status == 503 and h.port == 9000]
    assert q850_cause_of(final) == (42, "RLN")


def test_a_dialog_in_transit_declined_for_lack_of_circuits_has_its_own_cause(peers):
    peers.notify_groups({1: 0, 2: 20, 3: 20})
    peers.invite(fields=[("Gingergap-Dialog", "transit;time-left=1500")])
    (final,) = [m for m, h in peers.sent if m.status == 503 and h.port == 9000]
    assert q850_cause_of(final) == (21, "TN") and not final.has("Retry-After")


def test_two_proxies_may_be_tandems_of_each_other(peers):
    own_dialog = peers.invite("002555")
    peers.answer(peers.legs(own_dialog.call_id)[0], 503, fields=[("Reason", "Q.850;cause=34")])
    tandem, hop = peers.legs(own_dialog.call_id)[1]
    far = 4 - (hop.port - 7100)  # neither the tandem nor the full group
    transit = peers.invite(
        f"00{far}777", fields=[("Gingergap-Dialog", "transit;time-left=2000")], call="theirs", hop=Hop("UDP", "127.0.0.1", hop.port)
    )
    assert [h.port for _, h in peers.legs(transit.call_id)] == [7100 + far]
    peers.answer((tandem, hop), 200)
    peers.answer(peers.legs("theirs")[0], 200)
    assert peers.final_statuses(own_dialog.call_id) == [200]
    assert [m.status for m, h in peers.sent if m.call_id == "theirs" and h.port == hop.port and m.status >= 200] == [200]


def test_a_looped_request_is_rejected(peers):
    peers.invite(fields=[("Via", "SIP/2.0/UDP 127.0.0.1:7000;branch=z9hG4bKold")])
    assert peers.all_messages(status=482) and not peers.legs("call1")


def test_the_same_dialog_received_by_a_second_path_is_rejected(peers):
    first = peers.invite()
    peers.invite(branch="z9hG4bKother", call=first.call_id)
    assert len(peers.all_messages(status=482)) == 1 and len(peers.legs(first.call_id)) == 1


@pytest.mark.parametrize(
    ("change", "status"),
    [
        (lambda m: m.put("Max-Forwards", "0"), 483),
        (lambda m: m.put("Max-Forwards", "many"), 400),
        (lambda m: m.drop("CSeq"), 400),
        (lambda m: m.drop("Call-ID"), 400),
        (lambda m: m.drop("Contact"), 400),
        (lambda m: m.put("Expires", "soon"), 400),
        (lambda m: m.put("Gingergap-Dialog", "time-left=-4"), 400),
        (lambda m: m.put("Proxy-Require", "magic"), 420),
        (lambda m: m.put("CSeq", "1 BYE"), 400),
        (lambda m: setattr(m, "uri", "http://x"), 416),
        (lambda m: setattr(m, "uri", "sip:999@127.0.0.1:7000"), 404),
    ],
)
def test_an_invalid_invite_is_answered_and_leaves_no_state(peers, change, status):
    message = peers.invite()
    calls_before = len(peers.proxy.calls)
    peers.read_count = len(peers.sent)
    message = message.copy()
    message.put("Call-ID", "bad")
    message.put("Via", "SIP/2.0/UDP 127.0.0.1:9000;branch=z9hG4bKbad")
    change(message)
    peers.deliver(message)
    assert [m.status for m in peers.new_messages(port=9000)] == [status]
    assert len(peers.proxy.calls) == calls_before and not peers.legs("bad")


def test_a_request_without_via_is_dropped(peers):
    message = Message("INVITE", "sip:001@127.0.0.1:7000")
    message.fields = [("From", "<sip:a>;tag=1"), ("To", "<sip:b>"), ("Call-ID", "x"), ("CSeq", "1 INVITE")]
    peers.deliver(message)
    assert not peers.new_messages() and not peers.proxy.calls


def test_dialogs_over_the_limit_are_rejected_at_once_and_retransmissions_send_no_legs(peers):
    invites = [peers.invite(expires=30) for _ in range(60)]
    peers.read_count = 0
    rejected = [m for m in peers.new_messages(status=503) if m.get("Retry-After")]
    assert rejected and peers.proxy.open_dialogs <= 50
    legs = peers.proxy.counts["legs"]
    for invite in invites:
        peers.deliver(invite)
    assert peers.proxy.counts["legs"] == legs
    assert peers.proxy.open_dialogs <= 50


def test_requests_over_the_transaction_limit_are_answered_without_state(make_peers):
    from conftest import EDGE

    peers = make_peers(EDGE.replace("(transactions 500)", "(transactions 5)"))
    for _ in range(20):
        peers.invite()
    assert len(peers.proxy.transactions.servers) <= 5
    rejected = peers.all_messages(status=503)
    assert len(rejected) >= 15 and all(m.get("Retry-After") == "1" for m in rejected)


def test_a_draining_proxy_rejects_new_dialogs_and_lets_established_ones_finish(peers):
    invite, _ = peers.establish_dialog()
    peers.proxy.admission.draining = True
    late = peers.invite()
    assert peers.final_statuses(late.call_id) == [503]
    peers.send_in_dialog("BYE", invite.call_id)
    assert not peers.proxy.calls


def test_a_width_of_two_circuits_comes_from_resource_priority(peers):
    peers.notify_groups({1: 1, 2: 0, 3: 0})
    wide = peers.invite(fields=[("Resource-Priority", "q735.2")])
    narrow = peers.invite()
    assert not peers.legs(wide.call_id) or peers.proxy.calls[0].width == 2
    assert peers.proxy.calls[0].width == 2 and peers.proxy.calls[1].width == 1
    assert not peers.legs(wide.call_id) and len(peers.legs(narrow.call_id)) <= 1


def test_a_call_over_tcp_to_an_exchange_over_udp_keeps_both_transports_in_the_route(peers):
    invite = peers.invite(hop=Hop("TCP", "127.0.0.1", 9000, 3))
    leg, hop = peers.legs(invite.call_id)[0]
    assert leg.all("Record-Route") == ["<sip:127.0.0.1:7000;lr>", "<sip:127.0.0.1:7000;transport=tcp;lr>"]
    peers.answer((leg, hop), 200)
    message, back = [(m, h) for m, h in peers.sent if m.status == 200][-1]
    assert back.transport == "TCP" and back.conn == 3
    assert top_via(message).transport == "TCP"


@pytest.mark.parametrize("target", ["sip:far@127.0.0.1:7101;transport=sctp", "sip:far@127.0.0.1:99999", "tel:555", "sip:"])
def test_a_request_with_an_unsupported_next_hop_is_rejected_and_an_ack_dropped(peers, target):
    for method in ("BYE", "ACK"):
        message = Message(method, target)
        message.fields = [
            ("Via", f"SIP/2.0/SCTP 127.0.0.1:9000;branch=z9hG4bK{method}"),
            ("Max-Forwards", "70"),
            ("From", "<sip:c>;tag=ct"),
            ("To", "<sip:f>;tag=far"),
            ("Call-ID", "odd"),
            ("CSeq", f"2 {method}"),
        ]
        peers.deliver(message)
    assert [m.status for m in peers.new_messages()] == [400]
    assert not [key for key in peers.proxy.transactions.clients if key[1] == "BYE"]


def test_no_state_is_left_after_all_dialogs_have_ended(peers):
    for number in range(40):
        invite = peers.invite(f"001{number:03d}")
        legs = peers.legs(invite.call_id)
        if number % 4 == 0 and legs:
            peers.answer(legs[0], 200)
            peers.send_in_dialog("BYE", invite.call_id)
        elif number % 4 == 1 and legs:
            peers.answer(legs[0], 486)
        elif number % 4 == 2:
            peers.cancel(invite)
    peers.advance_to(1_000_000)
    proxy = peers.proxy
    assert not proxy.calls and not proxy.calls_by_key and not proxy.controller.dialogs and not proxy.released_answers
    assert not [key for key in proxy.transactions.servers if key[2] == "INVITE"]
    assert not [key for key in proxy.transactions.clients if key[1] in ("INVITE", "CANCEL", "BYE")]
    assert proxy.open_dialogs == 0
    assert not any(group.unseen_legs for group in proxy.circuits.groups.values())
