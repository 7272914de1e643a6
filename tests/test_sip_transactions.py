"""The four machines by their timers, and under any order of events."""

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from gingergap.sip.dialogs import SipDialog, dialog_to_release, next_hop
from gingergap.sip.message import BadMessageError, Message, parse, response
from gingergap.sip.transactions import T1, ClientFailure, Hop, Transactions, TransactionState

PEER = Hop("UDP", "127.0.0.1", 6000)
STREAM = Hop("TCP", "127.0.0.1", 6000, 4)


class Noted:
    """Wire and user in one: what is sent and told is kept."""

    def __init__(self, max_servers=1000):
        self.sent, self.told = [], []
        self.transactions = Transactions(self, self, ("127.0.0.1", 5000), max_servers=max_servers)

    def transmit(self, data, hop):
        self.sent.append(parse(data))

    def request_received(self, now, server, message):
        self.told.append(("request", server))

    def ack_received(self, now, message, hop):
        self.told.append(("ack", message))

    def transaction_limit_reached(self, now, message, hop):
        self.told.append(("shut", message))

    def response_received(self, now, client, message):
        self.told.append((message.status, client))

    def stray_response(self, now, message):
        self.told.append(("stray", message))

    def client_failed(self, now, client, how):
        self.told.append((how, client))

    def ack_timed_out(self, now, server):
        self.told.append(("unacked", server))

    def run(self, start, until, step=100):
        for now in range(start, until + 1, step):
            self.transactions.fire_timers(now)


def request(method="INVITE", branch="z9hG4bKx", to="<sip:b@h>"):
    message = Message(method, "sip:b@h.example")
    message.fields = [
        ("From", "<sip:a@h>;tag=a"),
        ("To", to),
        ("Call-ID", "c"),
        ("CSeq", f"1 {method if method != 'CANCEL' else 'CANCEL'}"),
        ("Max-Forwards", "70"),
    ]
    return message


def incoming(method="INVITE", branch="z9hG4bKx"):
    message = request(method)
    message.push("Via", f"SIP/2.0/UDP 127.0.0.1:6000;branch={branch}")
    return message


def client_of(noted, method="INVITE", hop=PEER):
    return noted.transactions.request(0, request(method), hop, "z9hG4bKc")


def answer(noted, now, client, status, tag="t"):
    noted.transactions.received(
        now, parse(bytes(response(client.request, status, tag, [("Contact", "<sip:f@127.0.0.1:6000>")]))), PEER
    )


@pytest.mark.parametrize(
    ("method", "gaps"),
    [
        ("INVITE", [5_000, 15_000, 35_000, 75_000, 155_000, 315_000]),
        ("OPTIONS", [5_000, 15_000, 35_000, 75_000, 115_000, 155_000, 195_000, 235_000, 275_000, 315_000]),
    ],
)
def test_requests_over_datagrams_are_sent_again_and_given_up(method, gaps):
    noted = Noted()
    client_of(noted, method)
    at, count = [], 1
    for now in range(0, 330_000, 100):
        noted.transactions.fire_timers(now)
        if len(noted.sent) > count:
            count = len(noted.sent)
            at.append(now)
    assert at == gaps
    assert [entry[0] for entry in noted.told] == [ClientFailure.TIMEOUT]
    assert not noted.transactions.clients and noted.transactions.next_timer() is None


@pytest.mark.parametrize("method", ["INVITE", "OPTIONS"])
def test_streams_are_trusted(method):
    noted = Noted()
    client_of(noted, method, STREAM)
    noted.run(0, 64 * T1)
    assert len(noted.sent) == 1 and noted.told[0][0] == ClientFailure.TIMEOUT


def test_a_failure_is_acked_each_time_and_told_once():
    noted = Noted()
    client = client_of(noted)
    for now in (100, 200, 300):
        answer(noted, now, client, 486)
    assert [entry[0] for entry in noted.told] == [486]
    acks = [message for message in noted.sent if message.method == "ACK"]
    assert len(acks) == 3 and acks[0].get("To").endswith("tag=t") and acks[0].cseq() == (1, "ACK")
    assert acks[0].all("Via") == client.request.all("Via")
    noted.run(300, 330_000)
    assert not noted.transactions.clients


def test_a_2xx_is_told_each_time_and_never_acked_here():
    noted = Noted()
    client = client_of(noted)
    for now in (100, 200):
        answer(noted, now, client, 200)
    assert [entry[0] for entry in noted.told] == [200, 200]
    assert not [message for message in noted.sent if message.method == "ACK"]
    noted.run(300, 330_000)
    answer(noted, 340_000, client, 200)
    assert noted.told[-1][0] == "stray"


def test_cancel_has_the_branch_of_its_invite_and_waits_for_a_word():
    noted = Noted()
    client = client_of(noted)
    noted.transactions.cancel(10, client)
    noted.run(10, 100_000)
    assert [message.method for message in noted.sent] == ["INVITE"]
    answer(noted, 100_100, client, 180)
    cancel = noted.sent[-1]
    assert cancel.method == "CANCEL" and cancel.all("Via") == client.request.all("Via")
    assert cancel.cseq() == (1, "CANCEL")
    noted.run(100_100, 500_000)
    assert ClientFailure.TIMEOUT in [entry[0] for entry in noted.told] and not noted.transactions.clients


@pytest.mark.parametrize("reset", [True, False])
def test_a_lost_hop_ends_what_was_under_way_there(reset):
    noted = Noted()
    client_of(noted, hop=Hop("TCP", "127.0.0.1", 6000))
    other = noted.transactions.request(0, request("OPTIONS"), Hop("TCP", "127.0.0.1", 6001), "z9hG4bKo")
    noted.transactions.hop_failed(10, Hop("TCP", "127.0.0.1", 6000, 9), reset)
    assert [entry[0] for entry in noted.told] == [ClientFailure.RESET if reset else ClientFailure.UNREACHABLE]
    assert list(noted.transactions.clients.values()) == [other]


def test_an_icmp_error_after_a_word_says_nothing_of_the_transaction():
    noted = Noted()
    client = client_of(noted)
    answer(noted, 10, client, 100)
    noted.transactions.hop_failed(20, PEER, False)
    assert client.state == TransactionState.PROCEEDING


def test_a_final_failure_is_sent_again_until_its_ack():
    noted = Noted()
    noted.transactions.received(0, incoming(), PEER)
    server = noted.told[0][1]
    noted.transactions.respond(0, server, response(incoming(), 503, "t"))
    noted.run(0, 40_000)
    assert len(noted.sent) == 4  # 0, 500 ms, 1.5 s, 3.5 s
    noted.transactions.received(40_000, incoming("ACK"), PEER)
    noted.transactions.received(40_010, incoming(), PEER)
    noted.run(40_100, 100_000)
    assert len(noted.sent) == 4 and not noted.transactions.servers


def test_an_answer_never_acknowledged_is_given_up():
    noted = Noted()
    noted.transactions.received(0, incoming(), PEER)
    noted.transactions.respond(0, noted.told[0][1], response(incoming(), 503, "t"))
    noted.run(0, 330_000)
    assert noted.told[-1][0] == "unacked" and not noted.transactions.servers


def test_a_retransmission_is_answered_as_before_without_work():
    noted = Noted()
    for now in range(5):
        noted.transactions.received(now, incoming("OPTIONS"), PEER)
        if now == 1:
            noted.transactions.respond(now, noted.told[0][1], response(incoming("OPTIONS"), 200, "t"))
    assert [entry[0] for entry in noted.told] == ["request"]
    assert [message.status for message in noted.sent] == [200] * 4


def test_after_the_final_answer_no_other_goes_out():
    noted = Noted()
    noted.transactions.received(0, incoming(), PEER)
    server = noted.told[0][1]
    noted.transactions.respond(0, server, response(incoming(), 487, "t"))
    for status in (100, 180, 200, 486):
        noted.transactions.respond(1, server, response(incoming(), status, "t"))
    assert [message.status for message in noted.sent] == [487]


def test_over_the_bound_requests_are_shut_out_but_acks_pass():
    noted = Noted(max_servers=2)
    for number in range(4):
        noted.transactions.received(0, incoming(branch=f"z9hG4bK{number}"), PEER)
    assert [entry[0] for entry in noted.told] == ["request", "request", "shut", "shut"]
    noted.transactions.received(0, incoming("ACK", "z9hG4bKnew"), PEER)
    assert noted.told[-1][0] == "ack"


def test_requests_of_old_stacks_are_told_apart_without_the_cookie():
    noted = Noted()
    for branch in ("1", "1"):
        noted.transactions.received(0, incoming(branch=branch), PEER)
    other = incoming(branch="1")
    other.put("Call-ID", "other")
    noted.transactions.received(0, other, PEER)
    assert [entry[0] for entry in noted.told] == ["request", "request"]


def test_a_response_of_others_is_dropped():
    noted = Noted()
    client = client_of(noted)
    message = response(client.request, 200, "t")
    message.replace_first("Via", "SIP/2.0/UDP 127.0.0.9:5000;branch=z9hG4bKc")
    noted.transactions.received(0, message, PEER)
    assert not noted.told


def test_the_source_is_noted_where_via_says_otherwise():
    noted = Noted()
    message = incoming()
    message.replace_first("Via", "SIP/2.0/UDP inside.example:5060;rport;branch=z9hG4bKr")
    noted.transactions.received(0, message, Hop("UDP", "127.0.0.1", 6123))
    server = noted.told[0][1]
    assert server.request.all("Via") == ["SIP/2.0/UDP inside.example:5060;branch=z9hG4bKr;rport=6123;received=127.0.0.1"]
    assert server.hop == Hop("UDP", "127.0.0.1", 6123)


class AnyOrder(RuleBasedStateMachine):
    """One INVITE through a client and a server machine joined by a network that loses, repeats and reorders; requests,
    answers, cancels and time in any order. Seen from outside: one kind of final answer, nothing after it but itself,
    and nothing left over once all timers have run out."""

    @initialize(stream=st.booleans(), seed=st.integers(0, 999))
    def start(self, stream, seed):
        self.now, self.draw = 0, random.Random(seed)
        self.up, self.down = [], []  # on their way to the server, to the client
        self.far, self.near = Noted(), Noted()
        self.near.transactions.sent_by, self.far.transactions.sent_by = ("127.0.0.1", 6000), ("127.0.0.1", 7000)
        self.near.transmit = lambda data, hop: self.up.append(data)
        self.near.transactions.transport = self.near
        self.far.transmit = lambda data, hop: self.down.append(data)
        self.far.transactions.transport = self.far
        self.hop = Hop("TCP" if stream else "UDP", "127.0.0.1", 7000)
        self.client = self.near.transactions.request(0, request(), self.hop, "z9hG4bKone")
        self.finals_sent = []

    @rule(lose=st.booleans(), repeat=st.booleans())
    def carry_up(self, lose, repeat):
        self._carry(self.up, self.far, Hop(self.hop.transport, "127.0.0.1", 6000), lose, repeat)

    @rule(lose=st.booleans(), repeat=st.booleans())
    def carry_down(self, lose, repeat):
        self._carry(self.down, self.near, self.hop, lose, repeat)

    def _carry(self, queue, end, hop, lose, repeat):
        if not queue:
            return
        data = queue.pop(self.draw.randrange(len(queue)) if self.hop.transport == "UDP" else 0)
        for _ in range(0 if lose and self.hop.transport == "UDP" else 2 if repeat else 1):
            end.transactions.received(self.now, parse(data), hop)

    def _server(self):
        return next((what for kind, what in self.far.told if kind == "request" and what.method == "INVITE"), None)

    @rule(status=st.sampled_from([100, 180, 200, 200, 404, 487, 503]))
    def respond(self, status):
        server = self._server()
        if server is not None and server.request is not None:
            if status >= 200 and not self.finals_sent:
                self.finals_sent.append(status)
            self.far.transactions.respond(self.now, server, response(server.request, status, "t"))

    @rule()
    def cancel(self):
        self.near.transactions.cancel(self.now, self.client)

    @rule(span=st.sampled_from([50, 1_000, 5_000, 40_000]))
    def pass_time(self, span):
        for _ in range(10):
            self.now += span // 10
            self.near.transactions.fire_timers(self.now)
            self.far.transactions.fire_timers(self.now)

    @invariant()
    def one_kind_of_final(self):
        if not hasattr(self, "far"):
            return
        told = {status for status, _ in self.near.told if type(status) is int and status >= 200}
        assert len(told) <= 1 and told <= set(self.finals_sent)
        ends = [
            kind
            for kind, what in self.near.told
            if what is self.client and (type(kind) is ClientFailure or type(kind) is int and kind >= 300)
        ]
        assert len(ends) <= 1
        assert (
            len([1 for kind, what in self.far.told if kind == "request" and what.method == "INVITE"]) <= 1 or self.now > 64 * T1
        )  # a copy may come after all was forgotten

    def teardown(self):
        if not hasattr(self, "far"):
            return
        self.up.clear()
        self.down.clear()
        for _ in range(3):
            self.pass_time(700_000)
        assert not self.near.transactions.clients
        for server in self.far.transactions.servers.values():
            assert server.state in (TransactionState.TRYING, TransactionState.PROCEEDING)  # it waits for its user, nobody else
        assert self.near.transactions.next_timer() is None and self.far.transactions.next_timer() is None


TestAnyOrder = AnyOrder.TestCase
TestAnyOrder.settings = settings(max_examples=80, stateful_step_count=40, derandomize=True, deadline=None)


def test_a_dialog_keeps_route_target_and_numbers():
    answer = Message(
        status=200,
        fields=[
            ("Record-Route", "<sip:p2:1;lr>, <sip:x:2;lr>"),
            ("Record-Route", "<sip:p1:3;lr>"),
            ("From", "<sip:a>;tag=a"),
            ("To", "<sip:b>;tag=b"),
            ("Call-ID", "c"),
            ("CSeq", "7 INVITE"),
            ("Contact", "<sip:b@127.0.0.1:9;transport=tcp>"),
        ],
    )
    dialog = SipDialog.from_response(answer)
    ack, bye = dialog.request("ACK"), dialog.request("BYE")
    assert ack.cseq() == (7, "ACK") and bye.cseq() == (8, "BYE")
    assert bye.all("Route") == ["<sip:p1:3;lr>", "<sip:x:2;lr>", "<sip:p2:1;lr>"]
    assert bye.uri == "sip:b@127.0.0.1:9;transport=tcp" and next_hop(bye) == Hop("UDP", "p1", 3)
    middle = dialog_to_release(answer, ("x", 2))
    assert middle.request("BYE").all("Route") == ["<sip:p2:1;lr>"]
    dialog.route = []
    assert next_hop(dialog.request("BYE")) == Hop("TCP", "127.0.0.1", 9)


def test_a_2xx_without_contact_makes_no_dialog():
    with pytest.raises(BadMessageError):
        SipDialog.from_response(Message(status=200, fields=[("CSeq", "1 INVITE")]))


def test_requests_out_of_order_within_a_dialog_are_seen():
    invite = request()
    invite.fields.append(("Contact", "<sip:a@h>"))
    dialog = SipDialog.from_request(invite, "t")
    assert dialog.accept_request(Message(fields=[("CSeq", "5 BYE")])) and not dialog.accept_request(
        Message(fields=[("CSeq", "4 BYE")])
    )
