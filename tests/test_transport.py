"""Transport on real loopback sockets: message framing, unreachable peers, peers that never read, and invalid input."""

import socket as system
import time

import gevent
import pytest
from gevent import socket
from gevent.event import AsyncResult, Event

from gingergap.sip.message import Message, parse
from gingergap.sip.transactions import Hop
from gingergap.standins.player import free_ports
from gingergap.transport.sockets import Sockets
from gingergap.transport.stream import Stream
from gingergap.transport.turns import TurnQueue, Work

OPTIONS = (
    b"OPTIONS sip:a@b SIP/2.0\r\nVia: SIP/2.0/TCP h;branch=z9hG4bK%d\r\nFrom: <sip:a>;tag=1\r\nTo: <sip:b>\r\n"
    b"Call-ID: c\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n"
)


class RecordingOwner:
    def __init__(self):
        self.messages, self.invalid, self.failed = [], [], []
        self.event_received = Event()

    def message_received(self, message, hop):
        self.messages.append((message, hop))
        self.event_received.set()

    def invalid_message_received(self, error, hop):
        self.invalid.append(error)
        self.event_received.set()

    def hop_failed(self, hop, reset):
        self.failed.append((hop[:3], reset))
        self.event_received.set()

    def wait_until(self, condition):
        with gevent.Timeout(20):
            while not condition():
                self.event_received.wait()
                self.event_received.clear()


@pytest.fixture
def element():
    owner = RecordingOwner()
    sockets = Sockets(owner, ("127.0.0.1", free_ports(1)[0]), max_queued_bytes=200_000)
    sockets.open()
    yield owner, sockets
    sockets.close()


def test_partial_messages_and_several_messages_in_one_read(element):
    owner, sockets = element
    with socket.create_connection(sockets.address) as peer:
        first = OPTIONS % 1
        peer.sendall(first[:40])
        gevent.sleep(0.01)
        assert not owner.messages
        peer.sendall(first[40:])
        owner.wait_until(lambda: len(owner.messages) == 1)
        peer.sendall(OPTIONS % 2 + OPTIONS % 3)
        owner.wait_until(lambda: len(owner.messages) == 3)
        assert owner.messages[0][1].transport == "TCP" and owner.messages[0][1].conn


def test_a_response_is_sent_on_the_connection_of_its_request(element):
    owner, sockets = element
    with socket.create_connection(sockets.address) as peer:
        peer.sendall(OPTIONS % 1)
        owner.wait_until(lambda: owner.messages)
        sockets.transmit(bytes(Message(status=200, phrase="OK")), owner.messages[0][1])
        assert parse(peer.recv(1000)).status == 200


def test_a_connection_with_invalid_framing_is_closed_and_others_go_on(element):
    owner, sockets = element
    with socket.create_connection(sockets.address) as bad, socket.create_connection(sockets.address) as good:
        bad.sendall(b"x" * 20_000)
        owner.wait_until(lambda: owner.invalid)
        with gevent.Timeout(20):
            try:
                while bad.recv(1000):
                    pass
            except ConnectionResetError:
                pass
        good.sendall(OPTIONS % 1)
        owner.wait_until(lambda: owner.messages)


def test_an_unreachable_peer_is_reported_for_tcp_and_udp(element):
    owner, sockets = element
    dead = free_ports(1)[0]
    sockets.transmit(b"x", Hop("TCP", "127.0.0.1", dead))
    owner.wait_until(lambda: (("TCP", "127.0.0.1", dead), False) in owner.failed)
    sockets.transmit(OPTIONS % 1, Hop("UDP", "127.0.0.1", dead))
    owner.wait_until(lambda: (("UDP", "127.0.0.1", dead), False) in owner.failed)


def test_the_queue_for_a_peer_that_never_reads_is_bounded(element):
    owner, sockets = element
    listener = system.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(5)
    hop = Hop("TCP", *listener.getsockname())
    message = bytes(Message("OPTIONS", "sip:a@b", body=b"x" * 50_000))
    highest = 0
    for _ in range(2_000):
        sockets.transmit(message, hop)
        connection = sockets.outbound.get(hop[1:3])
        highest = max(highest, connection.queued if connection else 0)
        gevent.sleep(0)
        if owner.failed:
            break
    assert ((*hop[:3],), True) in owner.failed
    assert highest <= 200_000
    listener.close()


def test_a_lost_connection_is_reported_and_reopened_for_the_next_message(element):
    owner, sockets = element
    served = AsyncResult()
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(5)

    def serve():
        first, _ = listener.accept()
        first.recv(10)
        first.close()
        second, _ = listener.accept()
        served.set(second.recv(1000))

    gevent.spawn(serve)
    hop = Hop("TCP", *listener.getsockname())
    sockets.transmit(OPTIONS % 1, hop)
    owner.wait_until(lambda: ((*hop[:3],), True) in owner.failed)
    sockets.transmit(OPTIONS % 2, hop)
    assert b"z9hG4bK2" in served.get(timeout=20)
    listener.close()


def test_keep_alives_are_ignored_and_invalid_datagrams_reported(element):
    owner, sockets = element
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
        for data in (b"\r\n\r\n", b"\0\0\0", b"", b"\xff" * 100):
            peer.sendto(data, sockets.address)
        peer.sendto(OPTIONS % 1, sockets.address)
        owner.wait_until(lambda: owner.messages)
        assert len(owner.messages) == 1 and len(owner.invalid) == 1


def test_an_address_in_use_raises_at_open(element):
    _, sockets = element
    with pytest.raises(OSError):
        Sockets(RecordingOwner(), sockets.address).open()


def test_an_exception_in_a_callback_closes_the_connection():
    """Otherwise the connection stays open with nothing reading it, and what waits for its end never finishes."""
    resets, closed = [], Event()

    class FailingStream(Stream):
        def data_received(self, data):
            raise ValueError(data)

        def connection_lost(self, reset):
            resets.append(reset)
            closed.set()

    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    ours, theirs = socket.create_connection(listener.getsockname()), listener.accept()[0]
    reader = gevent.spawn(FailingStream(ours, max_queued_bytes=100, write_timeout=1.0).read)
    theirs.sendall(b"x")
    assert closed.wait(10) and resets == [True]
    assert theirs.recv(10) == b""
    reader.join()
    assert isinstance(reader.exception, ValueError)


def test_a_half_closed_connection_still_receives_what_the_peer_writes():
    """A connection that is closed at once loses what its peer has written meanwhile."""
    received, closed = [], Event()

    class RecordingStream(Stream):
        def data_received(self, data):
            received.append(data)

        def connection_lost(self, reset):
            closed.set()

    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    ours, theirs = socket.create_connection(listener.getsockname()), listener.accept()[0]
    stream = RecordingStream(ours, max_queued_bytes=100, write_timeout=1.0)
    gevent.spawn(stream.read)
    stream.finish(30)
    stream.finish(30)
    stream.write(b"too late")
    assert theirs.recv(10) == b""
    assert not stream.closed
    theirs.sendall(b"a last word")
    theirs.close()
    assert closed.wait(10) and b"".join(received) == b"a last word"


# Guards against sending a cancelled write once a peer that did not read resumes, and against cancelling a write that has been
# partly sent.
def test_a_queued_write_to_a_peer_that_does_not_read_can_be_cancelled():
    ours, peer = socket.socketpair()
    stream = Stream(None, max_queued_bytes=1 << 24, write_timeout=5.0)
    stream.sock = ours
    first, second, third = b"1" * 4_000_000, b"2" * 1000, b"3" * 1000
    for data in (first, second, third):
        stream.write(data)
    gevent.sleep(0)
    assert not stream.cancel_write(first)  # partly sent
    assert stream.cancel_write(second) and not stream.cancel_write(second)
    received = bytearray()
    with gevent.Timeout(20):
        while len(received) < len(first) + len(third):
            received += peer.recv(1 << 20)
    assert bytes(received) == first + third
    stream.close()
    peer.close()


# Guards against callers that wait for seconds after a pause of the process: it fell into a turn, and was taken for work.
def test_a_pause_of_the_process_within_a_turn_does_not_delay_the_next_ones(monkeypatch):
    now = [1000.0]
    monkeypatch.setattr("gingergap.transport.turns.time.monotonic", lambda: now[0])
    queue = TurnQueue(2)
    queue.begin(Work())
    now[0] += 3.0
    queue.end(Work())
    assert queue.paid_until - now[0] <= 0.04


# Guards against a client that has its turn after all others have theirs, though it has worked least.
def test_the_connection_that_has_worked_least_has_the_next_turn():
    queue, order = TurnQueue(2), []
    busy, quiet = Work(), Work()
    busy.add(time.monotonic(), 1.0)

    def take_turn(name, work):
        queue.begin(work)
        order.append(name)
        queue.end(work)

    queue.begin(first := Work())
    others = [gevent.spawn(take_turn, name, work) for name, work in (("busy", busy), ("quiet", quiet))]
    gevent.sleep(0)
    queue.end(first)
    gevent.joinall(others)
    assert order == ["quiet", "busy"]
