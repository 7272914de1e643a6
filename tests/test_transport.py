"""Real sockets on loopback: halves and pairs of messages, dead peers, peers that never read, bytes that are no SIP."""

import socket as plain

import gevent
import pytest
from gevent import socket
from gevent.event import AsyncResult, Event

from gingergap.sip.message import Message, parse
from gingergap.sip.transactions import Hop
from gingergap.standins.player import free_ports
from gingergap.transport.sockets import Sockets
from gingergap.transport.stream import Stream

OPTIONS = (
    b"OPTIONS sip:a@b SIP/2.0\r\nVia: SIP/2.0/TCP h;branch=z9hG4bK%d\r\nFrom: <sip:a>;tag=1\r\nTo: <sip:b>\r\n"
    b"Call-ID: c\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n"
)


class Owner:
    def __init__(self):
        self.messages, self.bad, self.failed = [], [], []
        self.happened = Event()

    def message_received(self, message, hop):
        self.messages.append((message, hop))
        self.happened.set()

    def invalid_message_received(self, bad, hop):
        self.bad.append(bad)
        self.happened.set()

    def hop_failed(self, hop, reset):
        self.failed.append((hop[:3], reset))
        self.happened.set()

    def await_(self, condition):
        with gevent.Timeout(20):
            while not condition():
                self.happened.wait()
                self.happened.clear()


@pytest.fixture
def element():
    owner = Owner()
    sockets = Sockets(owner, ("127.0.0.1", free_ports(1)[0]), max_queued_bytes=200_000)
    sockets.open()
    yield owner, sockets
    sockets.close()


def test_half_a_message_then_the_rest_then_two_in_one_read(element):
    owner, sockets = element
    with socket.create_connection(sockets.address) as peer:
        first = OPTIONS % 1
        peer.sendall(first[:40])
        gevent.sleep(0.01)
        assert not owner.messages
        peer.sendall(first[40:])
        owner.await_(lambda: len(owner.messages) == 1)
        peer.sendall(OPTIONS % 2 + OPTIONS % 3)
        owner.await_(lambda: len(owner.messages) == 3)
        assert owner.messages[0][1].transport == "TCP" and owner.messages[0][1].conn


def test_an_answer_goes_back_on_the_connection_that_asked(element):
    owner, sockets = element
    with socket.create_connection(sockets.address) as peer:
        peer.sendall(OPTIONS % 1)
        owner.await_(lambda: owner.messages)
        sockets.transmit(bytes(Message(status=200, phrase="OK")), owner.messages[0][1])
        assert parse(peer.recv(1000)).status == 200


def test_a_connection_that_lost_its_frames_is_closed_and_others_go_on(element):
    owner, sockets = element
    with socket.create_connection(sockets.address) as bad, socket.create_connection(sockets.address) as good:
        bad.sendall(b"x" * 20_000)
        owner.await_(lambda: owner.bad)
        with gevent.Timeout(20):
            try:
                while bad.recv(1000):
                    pass
            except ConnectionResetError:
                pass
        good.sendall(OPTIONS % 1)
        owner.await_(lambda: owner.messages)


def test_a_dead_peer_is_told_for_streams_and_for_datagrams(element):
    owner, sockets = element
    dead = free_ports(1)[0]
    sockets.transmit(b"x", Hop("TCP", "127.0.0.1", dead))
    owner.await_(lambda: (("TCP", "127.0.0.1", dead), False) in owner.failed)
    sockets.transmit(OPTIONS % 1, Hop("UDP", "127.0.0.1", dead))
    owner.await_(lambda: (("UDP", "127.0.0.1", dead), False) in owner.failed)


def test_a_peer_that_accepts_and_never_reads_costs_a_bounded_queue(element):
    owner, sockets = element
    listener = plain.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(5)
    hop = Hop("TCP", *listener.getsockname())
    message = bytes(Message("OPTIONS", "sip:a@b", body=b"x" * 50_000))
    highest = 0
    for _ in range(2_000):
        sockets.transmit(message, hop)
        connection = sockets.open_traces.get(hop[1:3])
        highest = max(highest, connection.queued if connection else 0)
        gevent.sleep(0)
        if owner.failed:
            break
    assert ((*hop[:3],), True) in owner.failed
    assert highest <= 200_000
    listener.close()


def test_a_connection_lost_under_way_is_told_and_opened_again_for_the_next(element):
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
    owner.await_(lambda: ((*hop[:3],), True) in owner.failed)
    sockets.transmit(OPTIONS % 2, hop)
    assert b"z9hG4bK2" in served.get(timeout=20)
    listener.close()


def test_datagrams_that_are_no_sip_and_keep_alives_are_passed_over(element):
    owner, sockets = element
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
        for data in (b"\r\n\r\n", b"\0\0\0", b"", b"\xff" * 100):
            peer.sendto(data, sockets.address)
        peer.sendto(OPTIONS % 1, sockets.address)
        owner.await_(lambda: owner.messages)
        assert len(owner.messages) == 1 and len(owner.bad) == 1


def test_a_taken_address_is_told_at_once(element):
    _, sockets = element
    with pytest.raises(OSError):
        Sockets(Owner(), sockets.address).open()


def test_a_reader_that_fails_closes_its_connection():
    """It stayed open with nobody reading, and what waited on it never ended."""
    ends, over = [], Event()

    class Failing(Stream):
        def data_received(self, data):
            raise ValueError(data)

        def connection_lost(self, reset):
            ends.append(reset)
            over.set()

    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    ours, theirs = socket.create_connection(listener.getsockname()), listener.accept()[0]
    reader = gevent.spawn(Failing(ours, max_queued_bytes=100, write_timeout=1.0).read)
    theirs.sendall(b"x")
    assert over.wait(10) and ends == [True]
    assert theirs.recv(10) == b""
    reader.join()
    assert isinstance(reader.exception, ValueError)


def test_a_finished_connection_still_brings_what_the_far_end_had_written():
    """Closed at once, what was under way was lost with it."""
    came, over = [], Event()

    class Kept(Stream):
        def data_received(self, data):
            came.append(data)

        def connection_lost(self, reset):
            over.set()

    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    ours, theirs = socket.create_connection(listener.getsockname()), listener.accept()[0]
    stream = Kept(ours, max_queued_bytes=100, write_timeout=1.0)
    gevent.spawn(stream.read)
    stream.finish(30)
    stream.finish(30)
    stream.write(b"too late")
    assert theirs.recv(10) == b""
    assert not stream.closed
    theirs.sendall(b"a last word")
    theirs.close()
    assert over.wait(10) and b"".join(came) == b"a last word"


# Guards against what is written to a peer that reads on again although it had been taken back meanwhile; and against half of
# something taken back.
def test_what_waits_for_a_peer_that_does_not_read_can_be_taken_back():
    ours, peer = socket.socketpair()
    stream = Stream(None, max_queued_bytes=1 << 24, write_timeout=5.0)
    stream.sock = ours
    first, second, third = b"1" * 4_000_000, b"2" * 1000, b"3" * 1000
    for data in (first, second, third):
        stream.write(data)
    gevent.sleep(0)
    assert not stream.cancel_write(first)  # some of it has gone
    assert stream.cancel_write(second) and not stream.cancel_write(second)
    got = bytearray()
    with gevent.Timeout(20):
        while len(got) < len(first) + len(third):
            got += peer.recv(1 << 20)
    assert bytes(got) == first + third
    stream.close()
    peer.close()
