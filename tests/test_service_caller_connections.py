"""Connections from callers, without a process: when they are closed, and what is written on them."""

import contextlib
import errno
import struct
from types import SimpleNamespace

import gevent
import pytest
from gevent import socket

from gingergap.caller_protocol.json_lines import encode_release
from gingergap.service.caller_connection import CallerConnection
from gingergap.service.caller_connections import IDLE_TIMEOUT, LINE_TIMEOUT, MAX_ACCEPTED_AT_ONCE, CallerConnections


class FakeOwner:
    """Stands in for the process: a clock that tests set, and no calls."""

    def __init__(self):
        self.now, self.shutting_down = 1000.0, False
        self.holders = set()  # connections on which calls were set up that stand
        self.calls = SimpleNamespace(
            by_conn={},
            conn_lost=lambda *args: None,
            set_up_invalid=lambda *args: None,
            increment=lambda counter: None,
            holds_calls=lambda conn: conn in self.holders,
            has_established_calls=lambda: bool(self.holders),
        )

    def clock(self):
        return int(self.now * 10_000)

    def seconds(self):
        return self.now

    def detail_log(self, event, **fields):
        pass

    def is_shutting_down(self):
        return self.shutting_down


@pytest.fixture
def connected_caller():
    """A caller's connection, its peer, and the group of connections that holds it."""
    listener = socket.create_server(("127.0.0.1", 0))
    peer = socket.create_connection(listener.getsockname())
    connections = CallerConnections(FakeOwner(), 10)
    connections.listening = listener
    caller = CallerConnection(connections, listener.accept()[0], 1)
    connections.open[caller] = None
    yield caller, peer, connections
    for sock in (peer, listener):
        sock.close()
    caller.close()


# Guards against a set-up that is lost with its connection: after the process had been suspended, it closed a caller as silent or
# idle although bytes from it had arrived meanwhile.
@pytest.mark.parametrize("has_sent_message", [True, False])
def test_a_caller_is_not_closed_while_bytes_from_it_are_unread(connected_caller, has_sent_message):
    caller, peer, connections = connected_caller
    caller.has_sent_message = has_sent_message
    connections.owner.now += LINE_TIMEOUT + IDLE_TIMEOUT + 1
    peer.sendall(b"{")
    connections.check_timeouts()
    assert not caller.closed
    caller.sock.recv(100)
    connections.check_timeouts()
    assert caller.closed


# Guards against an answer that is written on another connection than that of its set-up, which had failed.
def test_an_answer_is_written_on_its_own_connection_only(connected_caller):
    caller, peer, connections = connected_caller
    other_peer = socket.create_connection(caller.sock.getsockname())
    other = CallerConnection(connections, connections.listening.accept()[0], 2)
    other.is_known_caller = True
    connections.open[other] = None
    caller.finishing = True
    assert caller.send_line(b"answer\n") is False
    connections.releases.send_pending()
    gevent.sleep(0)
    assert not connections.releases.by_id
    other_peer.settimeout(0.1)
    with pytest.raises(TimeoutError):
        other_peer.recv(10)
    other_peer.close()
    other.close()


# Guards against set-ups of a caller that are still retried after a write to the caller has failed.
def test_set_ups_of_a_connection_that_cannot_be_written_are_given_up_at_once(connected_caller):
    caller, peer, connections = connected_caller
    lost = []
    connections.owner.calls.conn_lost = lambda now, conn: lost.append(conn)
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    peer.close()
    gevent.sleep(0.01)
    for _ in range(2):
        caller.send_line(b"line\n")
    assert not lost  # no event is handled from within the handling of another
    gevent.sleep(0)
    assert lost == [caller]


# Guards against a set-up that is accepted after its release, because it was held until its caller was known to read.
def test_a_held_set_up_can_be_released(connected_caller):
    caller, peer, connections = connected_caller
    events = []
    connections.owner.calls = SimpleNamespace(
        by_conn={},
        by_id={},
        conn_lost=lambda *args: None,
        set_up_withdrawn=lambda now, conn, id: events.append(("withdrawn", id)),
        caller_released=lambda now, conn, id, cause: None,
        set_up_received=lambda now, conn, id, *arguments: events.append(("set_up", id)),
        caller_half_closed=lambda now, conn: None,
    )
    peer.shutdown(socket.SHUT_WR)
    gevent.sleep(0.01)
    for id in ("a" * 16, "b" * 16):
        caller.set_up_received(id, "voice", 1500, "7f", 1, 1, -1, False, False, False, "x")
    assert peer.recv(1000).count(b"progress") == 2 and not events
    caller.release_received("a" * 16, 16)
    connections.owner.now += 1
    caller.accept_held_set_ups()
    assert events == [("withdrawn", "a" * 16), ("set_up", "b" * 16)]


# Guards against a set-up that is refused as open already: its connection had been reset, unread, and its line was received again
# on another.
def test_a_reset_is_handled_before_its_set_up_is_accepted_on_another_connection(connected_caller):
    caller, peer, connections = connected_caller
    other_peer = socket.create_connection(connections.listening.getsockname())
    other = CallerConnection(connections, connections.listening.accept()[0], 2)
    events = []
    connections.owner.calls = SimpleNamespace(
        by_conn={},
        by_id={"a" * 16: SimpleNamespace(conn=caller)},
        conn_lost=lambda now, conn: events.append("gone"),
        set_up_received=lambda now, conn, id, *arguments: events.append("set_up"),
    )
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    peer.close()
    gevent.sleep(0.01)
    other.set_up_received("a" * 16, "voice", 1500, "7f", 1, 1, -1, False, False, False, "x")
    assert events == ["gone", "set_up"]
    other.close()
    other_peer.close()


# Guards against releases that reach no caller during a shutdown: the callers left had shut down their sending side and were
# half-closed once they had their answers, and no other could connect.
@pytest.mark.parametrize(("shutting_down", "delivered"), [(True, encode_release("a" * 16, 16)), (False, b"")])
def test_a_caller_that_half_closed_is_sent_releases_during_a_shutdown(connected_caller, shutting_down, delivered):
    caller, peer, connections = connected_caller
    connections.owner.shutting_down = shutting_down
    caller.is_known_caller = caller.peer_half_closed = True
    connections.owner.now += 1
    caller.send_line(b"answer\n")
    assert caller.finishing is not shutting_down
    connections.releases.send(None, "a" * 16, 16)
    peer.settimeout(0.1)
    received = b""
    with contextlib.suppress(TimeoutError):
        while data := peer.recv(100):
            received += data
    assert received == b"answer\n" + delivered


# Guards against a release that reaches no caller: the caller's connection had been reset or closed, unread.
@pytest.mark.parametrize("close", ["reset", "closed"])
@pytest.mark.parametrize("own_connection", [True, False])
def test_a_release_is_not_written_on_a_connection_whose_peer_has_gone(connected_caller, close, own_connection):
    caller, peer, connections = connected_caller
    other_peer = socket.create_connection(connections.listening.getsockname())
    other = CallerConnection(connections, connections.listening.accept()[0], 2)
    connections.open = {other: None, caller: None}
    caller.is_known_caller = other.is_known_caller = True
    if close == "reset":
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    peer.close()
    gevent.sleep(0.01)
    connections.releases.send(caller if own_connection else None, "a" * 16, 16)
    other_peer.settimeout(1.0)
    assert other_peer.recv(100) == encode_release("a" * 16, 16)
    other.close()
    other_peer.close()


# Guards against a release that reaches no caller: the one chosen for it had closed its connection, and it was not kept for another.
def test_a_pending_release_is_kept_until_it_is_written(connected_caller):
    caller, peer, connections = connected_caller
    connections.releases.send(None, "a" * 16, 16)
    connections.open, caller.is_known_caller = {caller: None}, True
    caller.send_line = lambda data: False
    connections.releases.send_pending()
    assert list(connections.releases.by_id) == ["a" * 16]
    del caller.send_line
    connections.releases.send_pending()
    assert peer.recv(100) == encode_release("a" * 16, 16) and not connections.releases.by_id


# Guards against an answer that is not written: the first of two held set-ups half-closed their connection.
def test_all_held_set_ups_are_answered(connected_caller):
    caller, peer, connections = connected_caller
    connections.owner.calls = SimpleNamespace(
        by_conn={},
        by_id={},
        conn_lost=lambda *args: None,
        set_up_received=lambda now, conn, id, *arguments: conn.send_line(id.encode() + b"\n"),
        caller_half_closed=lambda now, conn: None,
    )
    peer.shutdown(socket.SHUT_WR)
    gevent.sleep(0.01)
    for id in ("a" * 16, "b" * 16):
        caller.set_up_received(id, "voice", 1500, "7f", 1, 1, -1, False, False, False, "x")
    assert caller.eof_received()
    connections.owner.now += 1
    caller.accept_held_set_ups()
    peer.settimeout(1.0)
    received = b""
    while data := peer.recv(1000):
        received += data
    assert [line for line in received.split(b"\n") if b"progress" not in line] == [b"a" * 16, b"b" * 16, b""]


# Guards against a shutdown that is prolonged for callers to send more although the last of them has left, so that releases reach
# no caller.
def test_callers_are_not_active_once_no_connection_is_left(connected_caller):
    caller, peer, connections = connected_caller
    caller.set_up_invalid("a" * 16, "makes no sense")
    assert connections.are_active()
    caller.close()
    assert not connections.are_active()


# Guards against a traceback at an end: the acceptor, which was killed during its pause, went on once more, with the listener gone
# (trials of seeds 1, 22 and 88).
def test_an_acceptor_that_pauses_while_the_listener_closes_ends(connected_caller, monkeypatch):
    caller, peer, connections = connected_caller
    connections.listen(("127.0.0.1", 0))
    address = connections.listener.getsockname()
    pauses = []

    def close_during_pause(seconds):
        pauses.append(seconds)
        connections.stop_listening()  # it is killed at its next switch to another greenlet, and goes on until then

    monkeypatch.setattr("gingergap.service.caller_connections.gevent.sleep", close_during_pause)
    connections.start()
    peers = [socket.create_connection(address) for _ in range(MAX_ACCEPTED_AT_ONCE - 1)]
    connections.acceptor.join(5)
    assert pauses and connections.acceptor.successful() and connections.listener is None
    for each in peers:
        each.close()


# Guards against the close of a quiet caller, on whose connection a call may stand, for nobody: without a descriptor left, accept
# fails whether or not a connection waits.
@pytest.mark.parametrize("waits", [False, True])
def test_room_is_made_only_for_a_connection_that_waits(connected_caller, monkeypatch, waits):
    caller, peer, connections = connected_caller
    caller.has_sent_message = True

    class ListenerWithoutDescriptors:
        def fileno(self):
            return connections.listening.fileno()

        def accept(self):
            raise OSError(errno.EMFILE, "no descriptor is left")

    connections.listener = ListenerWithoutDescriptors()
    waiting = [socket.create_connection(connections.listening.getsockname())] if waits else []
    connections.start()
    gevent.sleep(0.02)
    connections.acceptor.kill()
    assert caller.closed is waits
    for each in waiting:
        each.close()


def accept_another(connections, listener):
    peer = socket.create_connection(listener.getsockname())
    connections._add(listener.accept()[0], peer.getsockname()[1])
    return peer, list(connections.open)[-1]


# Guards against a caller in use that is closed for a crowd of clients that write slowly or read nothing, as it rests between two
# set-ups while they do not (report 4fae32, picture b).
@pytest.mark.parametrize("crowd", ["writes", "reads nothing", "has a set-up open"])
def test_a_caller_in_use_is_not_closed_to_make_room(connected_caller, monkeypatch, crowd):
    monkeypatch.setattr("gingergap.service.caller_connections.gevent.spawn", lambda *args: None)
    caller, peer, connections = connected_caller
    caller.is_known_caller = caller.has_sent_message = True
    others = []
    for _ in range(30):
        other_peer, other = accept_another(connections, connections.listening)
        others.append((other_peer, other))
        match crowd:
            case "writes":
                other.is_readable = lambda: True
            case "reads nothing":
                other.queue, other.queued = [b"pong"], 4
            case "has a set-up open":
                connections.owner.calls.by_conn[other] = {"a" * 16: None}
        connections.owner.now += 0.1
    assert not caller.closed and len(connections.open) <= connections.max_connections
    if crowd == "reads nothing":
        assert not others[-1][1].closed
    for other_peer, other in others:
        other_peer.close()
        other.close()


# Guards against callers that are turned away because quiet ones, with calls that stand, hold all connections; and against a call
# whose end can be told to nobody, as the connection was closed that it was set up on and not an unused one.
@pytest.mark.parametrize("unused", [None, 3])
def test_quiet_callers_with_calls_make_room_last(connected_caller, monkeypatch, unused):
    monkeypatch.setattr("gingergap.service.caller_connections.gevent.spawn", lambda *args: None)
    caller, peer, connections = connected_caller
    others = [accept_another(connections, connections.listening) for _ in range(connections.max_connections - 1)]
    callers = list(connections.open)
    for each in callers:
        each.is_known_caller = each.has_sent_message = True
    connections.owner.holders = {each for index, each in enumerate(callers) if index != unused}
    connections.owner.now += IDLE_TIMEOUT - 1
    others.append(accept_another(connections, connections.listening))
    assert others[-1][1] in connections.open
    assert [index for index, each in enumerate(callers) if each.closed] == [unused or 0]
    for other_peer, other in others:
        other_peer.close()
        other.close()


# Guards against a call whose end can be told to nobody: the last connection of a known caller was closed as idle, and the call
# had been set up on another one.
def test_the_last_known_caller_is_kept_while_any_call_stands(connected_caller):
    caller, peer, connections = connected_caller
    caller.is_known_caller = caller.has_sent_message = True
    connections.owner.holders = {"a connection that has closed"}
    connections.owner.now += IDLE_TIMEOUT + 1
    connections.check_timeouts()
    assert not caller.closed
    connections.owner.holders = set()
    connections.check_timeouts()
    assert caller.closed
