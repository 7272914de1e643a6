"""The four transaction state machines: their timers, and random orders of events."""

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


class Recorder:
    """Transport and transaction user that record what is sent and reported."""

    def __init__(self, max_servers=1000):
        self.sent, self.reported = [], []
        self.transactions = Transactions(self, self, ("127.0.0.1", 5000), max_servers=max_servers)

    def transmit(self, data, hop):
        self.sent.append(parse(data))

    def request_received(self, now, server, message):
        self.reported.append(("request", server))

    def ack_received(self, now, message, hop):
        self.reported.append(("ack", message))

    def transaction_limit_reached(self, now, message, hop):
        self.reported.append(("limit", message))

    def response_received(self, now, client, message):
        self.reported.append((message.status, client))

    def stray_response(self, now, message):
        self.reported.append(("stray", message))

    def client_failed(self, now, client, failure):
        self.reported.append((failure, client))

    def ack_timed_out(self, now, server):
        self.reported.append(("unacked", server))

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


def client_of(recorder, method="INVITE", hop=PEER):
    return recorder.transactions.request(0, request(method), hop, "z9hG4bKc")


def answer(recorder, now, client, status, tag="t"):
    recorder.transactions.received(
        now, parse(bytes(response(client.request, status, tag, [("Contact", "<sip:f@127.0.0.1:6000>")]))), PEER
    )


@pytest.mark.parametrize(
    ("method", "gaps"),
    [
        ("INVITE", [5_000, 15_000, 35_000, 75_000, 155_000, 315_000]),
        ("OPTIONS", [5_000, 15_000, 35_000, 75_000, 115_000, 155_000, 195_000, 235_000, 275_000, 315_000]),
    ],
)
def test_requests_over_udp_are_retransmitted_until_the_time_out(method, gaps):
    recorder = Recorder()
    client_of(recorder, method)
    at, count = [], 1
    for now in range(0, 330_000, 100):
        recorder.transactions.fire_timers(now)
        if len(recorder.sent) > count:
            count = len(recorder.sent)
            at.append(now)
    assert at == gaps
    assert [entry[0] for entry in recorder.reported] == [ClientFailure.TIMEOUT]
    assert not recorder.transactions.clients and recorder.transactions.next_timer() is None


@pytest.mark.parametrize("method", ["INVITE", "OPTIONS"])
def test_requests_over_streams_are_not_retransmitted(method):
    recorder = Recorder()
    client_of(recorder, method, STREAM)
    recorder.run(0, 64 * T1)
    assert len(recorder.sent) == 1 and recorder.reported[0][0] == ClientFailure.TIMEOUT


def test_a_failure_response_is_acked_each_time_and_reported_once():
    recorder = Recorder()
    client = client_of(recorder)
    for now in (100, 200, 300):
        answer(recorder, now, client, 486)
    assert [entry[0] for entry in recorder.reported] == [486]
    acks = [message for message in recorder.sent if message.method == "ACK"]
    assert len(acks) == 3 and acks[0].get("To").endswith("tag=t") and acks[0].cseq() == (1, "ACK")
    assert acks[0].all("Via") == client.request.all("Via")
    recorder.run(300, 330_000)
    assert not recorder.transactions.clients


def test_a_2xx_is_reported_each_time_and_not_acked_by_the_transaction():
    recorder = Recorder()
    client = client_of(recorder)
    for now in (100, 200):
        answer(recorder, now, client, 200)
    assert [entry[0] for entry in recorder.reported] == [200, 200]
    assert not [message for message in recorder.sent if message.method == "ACK"]
    recorder.run(300, 330_000)
    answer(recorder, 340_000, client, 200)
    assert recorder.reported[-1][0] == "stray"


def test_cancel_has_the_branch_of_its_invite_and_waits_for_a_response():
    recorder = Recorder()
    client = client_of(recorder)
    recorder.transactions.cancel(10, client)
    recorder.run(10, 100_000)
    assert [message.method for message in recorder.sent] == ["INVITE"]
    answer(recorder, 100_100, client, 180)
    cancel = recorder.sent[-1]
    assert cancel.method == "CANCEL" and cancel.all("Via") == client.request.all("Via")
    assert cancel.cseq() == (1, "CANCEL")
    recorder.run(100_100, 500_000)
    assert ClientFailure.TIMEOUT in [entry[0] for entry in recorder.reported] and not recorder.transactions.clients


@pytest.mark.parametrize("reset", [True, False])
def test_transactions_to_a_failed_hop_fail(reset):
    recorder = Recorder()
    client_of(recorder, hop=Hop("TCP", "127.0.0.1", 6000))
    other = recorder.transactions.request(0, request("OPTIONS"), Hop("TCP", "127.0.0.1", 6001), "z9hG4bKo")
    recorder.transactions.hop_failed(10, Hop("TCP", "127.0.0.1", 6000, 9), reset)
    assert [entry[0] for entry in recorder.reported] == [ClientFailure.RESET if reset else ClientFailure.UNREACHABLE]
    assert list(recorder.transactions.clients.values()) == [other]


def test_an_icmp_error_after_a_response_is_ignored():
    recorder = Recorder()
    client = client_of(recorder)
    answer(recorder, 10, client, 100)
    recorder.transactions.hop_failed(20, PEER, False)
    assert client.state == TransactionState.PROCEEDING


def test_a_failure_response_is_retransmitted_until_its_ack():
    recorder = Recorder()
    recorder.transactions.received(0, incoming(), PEER)
    server = recorder.reported[0][1]
    recorder.transactions.respond(0, server, response(incoming(), 503, "t"))
    recorder.run(0, 40_000)
    assert len(recorder.sent) == 4  # 0, 500 ms, 1.5 s, 3.5 s
    recorder.transactions.received(40_000, incoming("ACK"), PEER)
    recorder.transactions.received(40_010, incoming(), PEER)
    recorder.run(40_100, 100_000)
    assert len(recorder.sent) == 4 and not recorder.transactions.servers


def test_a_failure_response_that_is_never_acknowledged_times_out():
    recorder = Recorder()
    recorder.transactions.received(0, incoming(), PEER)
    recorder.transactions.respond(0, recorder.reported[0][1], response(incoming(), 503, "t"))
    recorder.run(0, 330_000)
    assert recorder.reported[-1][0] == "unacked" and not recorder.transactions.servers


def test_a_retransmitted_request_gets_the_last_response_and_is_not_reported():
    recorder = Recorder()
    for now in range(5):
        recorder.transactions.received(now, incoming("OPTIONS"), PEER)
        if now == 1:
            recorder.transactions.respond(now, recorder.reported[0][1], response(incoming("OPTIONS"), 200, "t"))
    assert [entry[0] for entry in recorder.reported] == ["request"]
    assert [message.status for message in recorder.sent] == [200] * 4


def test_no_other_response_is_sent_after_the_final_one():
    recorder = Recorder()
    recorder.transactions.received(0, incoming(), PEER)
    server = recorder.reported[0][1]
    recorder.transactions.respond(0, server, response(incoming(), 487, "t"))
    for status in (100, 180, 200, 486):
        recorder.transactions.respond(1, server, response(incoming(), status, "t"))
    assert [message.status for message in recorder.sent] == [487]


def test_requests_over_the_limit_are_reported_as_such_but_acks_pass():
    recorder = Recorder(max_servers=2)
    for number in range(4):
        recorder.transactions.received(0, incoming(branch=f"z9hG4bK{number}"), PEER)
    assert [entry[0] for entry in recorder.reported] == ["request", "request", "limit", "limit"]
    recorder.transactions.received(0, incoming("ACK", "z9hG4bKnew"), PEER)
    assert recorder.reported[-1][0] == "ack"


def test_requests_without_the_magic_cookie_are_matched_as_in_rfc_2543():
    recorder = Recorder()
    for branch in ("1", "1"):
        recorder.transactions.received(0, incoming(branch=branch), PEER)
    other = incoming(branch="1")
    other.put("Call-ID", "other")
    recorder.transactions.received(0, other, PEER)
    assert [entry[0] for entry in recorder.reported] == ["request", "request"]


def test_a_response_to_another_element_is_dropped():
    recorder = Recorder()
    client = client_of(recorder)
    message = response(client.request, 200, "t")
    message.replace_first("Via", "SIP/2.0/UDP 127.0.0.9:5000;branch=z9hG4bKc")
    recorder.transactions.received(0, message, PEER)
    assert not recorder.reported


def test_the_source_is_added_to_a_via_that_differs_from_it():
    recorder = Recorder()
    message = incoming()
    message.replace_first("Via", "SIP/2.0/UDP inside.example:5060;rport;branch=z9hG4bKr")
    recorder.transactions.received(0, message, Hop("UDP", "127.0.0.1", 6123))
    server = recorder.reported[0][1]
    assert server.request.all("Via") == ["SIP/2.0/UDP inside.example:5060;branch=z9hG4bKr;rport=6123;received=127.0.0.1"]
    assert server.hop == Hop("UDP", "127.0.0.1", 6123)


class TransactionMachine(RuleBasedStateMachine):
    """One INVITE through a client and a server transaction over a network that loses, duplicates and reorders.

    Requests, responses, CANCELs and timers in any order must lead to one final status, repeated but never followed by
    another, and to no state left once all timers have fired.
    """

    @initialize(stream=st.booleans(), seed=st.integers(0, 999))
    def start(self, stream, seed):
        self.now, self.rng = 0, random.Random(seed)
        self.to_server, self.to_client = [], []  # in flight to the server, to the client
        self.server_end, self.client_end = Recorder(), Recorder()
        self.client_end.transactions.sent_by, self.server_end.transactions.sent_by = ("127.0.0.1", 6000), ("127.0.0.1", 7000)
        self.client_end.transmit = lambda data, hop: self.to_server.append(data)
        self.client_end.transactions.transport = self.client_end
        self.server_end.transmit = lambda data, hop: self.to_client.append(data)
        self.server_end.transactions.transport = self.server_end
        self.hop = Hop("TCP" if stream else "UDP", "127.0.0.1", 7000)
        self.client = self.client_end.transactions.request(0, request(), self.hop, "z9hG4bKone")
        self.finals_sent = []

    @rule(lose=st.booleans(), repeat=st.booleans())
    def deliver_to_server(self, lose, repeat):
        self._deliver(self.to_server, self.server_end, Hop(self.hop.transport, "127.0.0.1", 6000), lose, repeat)

    @rule(lose=st.booleans(), repeat=st.booleans())
    def deliver_to_client(self, lose, repeat):
        self._deliver(self.to_client, self.client_end, self.hop, lose, repeat)

    def _deliver(self, queue, end, hop, lose, repeat):
        if not queue:
            return
        data = queue.pop(self.rng.randrange(len(queue)) if self.hop.transport == "UDP" else 0)
        for _ in range(0 if lose and self.hop.transport == "UDP" else 2 if repeat else 1):
            end.transactions.received(self.now, parse(data), hop)

    def _server(self):
        return next(
            (subject for event, subject in self.server_end.reported if event == "request" and subject.method == "INVITE"), None
        )

    @rule(status=st.sampled_from([100, 180, 200, 200, 404, 487, 503]))
    def respond(self, status):
        server = self._server()
        if server is not None and server.request is not None:
            if status >= 200 and not self.finals_sent:
                self.finals_sent.append(status)
            self.server_end.transactions.respond(self.now, server, response(server.request, status, "t"))

    @rule()
    def cancel(self):
        self.client_end.transactions.cancel(self.now, self.client)

    @rule(span=st.sampled_from([50, 1_000, 5_000, 40_000]))
    def pass_time(self, span):
        for _ in range(10):
            self.now += span // 10
            self.client_end.transactions.fire_timers(self.now)
            self.server_end.transactions.fire_timers(self.now)

    @invariant()
    def one_final_status(self):
        if not hasattr(self, "server_end"):
            return
        final_statuses = {status for status, _ in self.client_end.reported if type(status) is int and status >= 200}
        assert len(final_statuses) <= 1 and final_statuses <= set(self.finals_sent)
        ends = [
            event
            for event, subject in self.client_end.reported
            if subject is self.client and (type(event) is ClientFailure or type(event) is int and event >= 300)
        ]
        assert len(ends) <= 1
        assert (
            len([1 for event, subject in self.server_end.reported if event == "request" and subject.method == "INVITE"]) <= 1
            or self.now > 64 * T1
        )  # a copy may arrive after the server transaction has ended

    def teardown(self):
        if not hasattr(self, "server_end"):
            return
        self.to_server.clear()
        self.to_client.clear()
        for _ in range(3):
            self.pass_time(700_000)
        assert not self.client_end.transactions.clients
        for server in self.server_end.transactions.servers.values():
            assert server.state in (TransactionState.TRYING, TransactionState.PROCEEDING)  # waits for a response of its user
        assert self.client_end.transactions.next_timer() is None and self.server_end.transactions.next_timer() is None


TestTransactionMachine = TransactionMachine.TestCase
TestTransactionMachine.settings = settings(max_examples=80, stateful_step_count=40, derandomize=True, deadline=None)


def test_requests_in_a_dialog_have_its_route_target_and_sequence_numbers():
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


def test_a_2xx_without_contact_is_rejected():
    with pytest.raises(BadMessageError):
        SipDialog.from_response(Message(status=200, fields=[("CSeq", "1 INVITE")]))


def test_requests_out_of_order_in_a_dialog_are_rejected():
    invite = request()
    invite.fields.append(("Contact", "<sip:a@h>"))
    dialog = SipDialog.from_request(invite, "t")
    assert dialog.accept_request(Message(fields=[("CSeq", "5 BYE")])) and not dialog.accept_request(
        Message(fields=[("CSeq", "4 BYE")])
    )
