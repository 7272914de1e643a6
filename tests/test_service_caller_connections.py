"""Connections from callers, without a process: when they are closed."""

import contextlib
import struct
from types import SimpleNamespace

import gevent
import pytest
from gevent import socket

from gingergap.service.caller_connection import CallerConnection
from gingergap.service.caller_connections import REST, SPEAK, CallerConnections


class NotedOwner:
    """The process: a clock that tests set, and no calls."""

    def __init__(self):
        self.now, self.ending = 1000.0, False
        self.calls = SimpleNamespace(on_conn={}, conn_gone=lambda *args: None, unusable=lambda *args: None)

    def clock(self):
        return int(self.now * 10_000)

    def seconds(self):
        return self.now

    def details(self, event, **fields):
        pass

    def ends(self):
        return self.ending


@pytest.fixture
def connected():
    """A caller's connection, its peer, and the group, as an hour ago."""
    listener = socket.create_server(("127.0.0.1", 0))
    peer = socket.create_connection(listener.getsockname())
    group = CallerConnections(NotedOwner(), 10)
    group.listening = listener
    caller = CallerConnection(group, listener.accept()[0], 1)
    group.open[caller] = None
    yield caller, peer, group
    for sock in (peer, listener):
        sock.close()
    caller.close()


# Guards against a set-up that is lost with its connection: the process had stood still, and closed a caller as silent or at
# rest that had spoken meanwhile.
@pytest.mark.parametrize("spoken", [True, False])
def test_a_caller_is_not_closed_while_what_it_wrote_stands_unread(connected, spoken):
    caller, peer, group = connected
    caller.spoken = spoken
    group.owner.now += SPEAK + REST + 1
    peer.sendall(b"{")
    group.look()
    assert not caller.closed
    caller.sock.recv(100)
    group.look()
    assert caller.closed


# Guards against an answer that is written on another connection than its set-up's, which had broken.
def test_an_answer_goes_to_its_own_connection_or_to_nobody(connected):
    caller, peer, group = connected
    other_peer = socket.create_connection(caller.sock.getsockname())
    other = CallerConnection(group, group.listening.accept()[0], 2)
    other.known = True
    group.open[other] = None
    caller.finishing = True
    assert caller.say(b"answer\n") is False
    group.tell_pending()
    gevent.sleep(0)
    assert not group.pending
    other_peer.settimeout(0.1)
    with pytest.raises(TimeoutError):
        other_peer.recv(10)
    other_peer.close()
    other.close()


# Guards against set-ups of a caller that are still retried although writing to it has failed.
def test_set_ups_of_a_connection_that_can_not_be_written_are_given_up_at_once(connected):
    caller, peer, group = connected
    gone = []
    group.owner.calls.conn_gone = lambda now, conn: gone.append(conn)
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    peer.close()
    gevent.sleep(0.01)
    for _ in range(2):
        caller.say(b"line\n")
    assert not gone  # nothing is decided from within a decision
    gevent.sleep(0)
    assert gone == [caller]


# Guards against a set-up that is taken after its release, since it had been held until its caller was known to read on.
def test_a_set_up_that_is_held_can_be_released(connected):
    caller, peer, group = connected
    events = []
    group.owner.calls = SimpleNamespace(
        on_conn={},
        by_id={},
        conn_gone=lambda *args: None,
        withdrawn=lambda now, conn, id: events.append(("withdrawn", id)),
        released=lambda now, conn, id, cause: None,
        set_up=lambda now, conn, id, *figures: events.append(("set_up", id)),
        caller_done=lambda now, conn: None,
    )
    peer.shutdown(socket.SHUT_WR)
    gevent.sleep(0.01)
    for id in ("a" * 16, "b" * 16):
        caller.set_up(id, "voice", 1500, "7f", 1, 1, -1, False, False, False, "x")
    assert peer.recv(1000).count(b"progress") == 2 and not events
    caller.released("a" * 16, 16)
    group.owner.now += 1
    caller.take_held()
    assert events == [("withdrawn", "a" * 16), ("set_up", "b" * 16)]


# Guards against a set-up that is refused as open already: its connection had been reset, unread, and its line came again here.
def test_the_reset_of_a_connection_counts_before_its_set_up_comes_again_on_another(connected):
    caller, peer, group = connected
    other_peer = socket.create_connection(group.listening.getsockname())
    other = CallerConnection(group, group.listening.accept()[0], 2)
    events = []
    group.owner.calls = SimpleNamespace(
        on_conn={},
        by_id={"a" * 16: SimpleNamespace(conn=caller)},
        conn_gone=lambda now, conn: events.append("gone"),
        set_up=lambda now, conn, id, *figures: events.append("set_up"),
    )
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    peer.close()
    gevent.sleep(0.01)
    other.set_up("a" * 16, "voice", 1500, "7f", 1, 1, -1, False, False, False, "x")
    assert events == ["gone", "set_up"]
    other.close()
    other_peer.close()


# Guards against ends of calls that are told to nobody at an end: the callers that were left had shut down their sending side and
# were half closed once they had their answers, and no other could come.
@pytest.mark.parametrize(("ending", "told"), [(True, b"end\n"), (False, b"")])
def test_a_caller_with_one_side_shut_down_is_told_the_ends_of_calls_at_an_end(connected, ending, told):
    caller, peer, group = connected
    group.owner.ending = ending
    caller.known = caller.done = True
    group.owner.now += 1
    caller.say(b"answer\n")
    assert caller.finishing is not ending
    group.tell_end(None, b"end\n")
    peer.settimeout(0.1)
    got = b""
    with contextlib.suppress(TimeoutError):
        while data := peer.recv(100):
            got += data
    assert got == b"answer\n" + told


# Guards against the end of a call that is told to nobody: the caller's connection had been reset or closed, unread.
@pytest.mark.parametrize("how", ["reset", "closed"])
@pytest.mark.parametrize("own", [True, False])
def test_the_end_of_a_call_is_not_told_on_a_connection_whose_peer_has_gone(connected, how, own):
    caller, peer, group = connected
    other_peer = socket.create_connection(group.listening.getsockname())
    other = CallerConnection(group, group.listening.accept()[0], 2)
    group.open = {other: None, caller: None}
    caller.known = other.known = True
    if how == "reset":
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    peer.close()
    gevent.sleep(0.01)
    group.tell_end(caller if own else None, b"end\n")
    other_peer.settimeout(1.0)
    assert other_peer.recv(100) == b"end\n"
    other.close()
    other_peer.close()


# Guards against an answer that is swallowed: the first of two set-ups that had been held ended their connection.
def test_all_set_ups_that_were_held_have_their_answers(connected):
    caller, peer, group = connected
    group.owner.calls = SimpleNamespace(
        on_conn={},
        by_id={},
        conn_gone=lambda *args: None,
        set_up=lambda now, conn, id, *figures: conn.say(id.encode() + b"\n"),
        caller_done=lambda now, conn: None,
    )
    peer.shutdown(socket.SHUT_WR)
    gevent.sleep(0.01)
    for id in ("a" * 16, "b" * 16):
        caller.set_up(id, "voice", 1500, "7f", 1, 1, -1, False, False, False, "x")
    assert caller.stays_open()
    group.owner.now += 1
    caller.take_held()
    peer.settimeout(1.0)
    got = b""
    while data := peer.recv(1000):
        got += data
    assert [line for line in got.split(b"\n") if b"progress" not in line] == [b"a" * 16, b"b" * 16, b""]


# Guards against ends of calls that go to nobody: a process at its end, whose last caller had left, stayed for others to speak.
def test_nobody_goes_on_where_no_connection_from_callers_is_left(connected):
    caller, peer, group = connected
    caller.unusable("a" * 16, "makes no sense")
    assert group.go_on()
    caller.close()
    assert not group.go_on()
