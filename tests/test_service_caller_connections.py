"""Connections from callers, without a process: when they are closed."""

from types import SimpleNamespace

import pytest
from gevent import socket

from gingergap.service.caller_connections import REST, SPEAK, CallerConnection, CallerConnections


class NotedOwner:
    """The process: a clock that tests set, and no calls."""

    def __init__(self):
        self.now = 1000.0
        self.calls = SimpleNamespace(on_conn={}, conn_gone=lambda now, conn: None)

    def clock(self):
        return int(self.now * 10_000)

    def seconds(self):
        return self.now

    def details(self, event, **fields):
        pass

    def ends(self):
        return False


@pytest.fixture
def connected():
    """A caller's connection, its peer, and the group, as an hour ago."""
    listener = socket.create_server(("127.0.0.1", 0))
    peer = socket.create_connection(listener.getsockname())
    group = CallerConnections(NotedOwner(), 10)
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
