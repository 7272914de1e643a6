"""A TCP connection that is read in a greenlet and written without blocking through a bounded queue.

Subclasses implement the protocol in the callbacks `data_received`, `eof_received` and `connection_lost`, which are named
as in asyncio. `write` never switches greenlets, since it is called while a decision is made: bytes that the kernel does not
accept at once are queued. A connection whose peer does not read is closed when the queue is full or a write times out.
"""

import errno
import os
import select
from collections import deque
from enum import Enum

import gevent
from gevent import socket

from .turns import YIELD_TIME

READ_SIZE = 16_384
MAX_BYTES_PER_TURN = 16_384  # read from one connection before other greenlets run
LISTEN_BACKLOG = 512
READ_TIME_AFTER_ERROR = 0.1  # seconds after a failed write in which bytes that the peer wrote before are still read
LOCAL_ERRORS = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}


def create_listener(address: tuple[str, int]) -> socket.socket:
    """Open a TCP listener. Raises OSError if the address is in use."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(LISTEN_BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener


def has_backlog(listener: socket.socket) -> bool:
    """Whether a connection waits to be accepted."""
    poll = select.poll()
    poll.register(listener.fileno(), select.POLLIN)
    return bool(poll.poll(0))


class PeerState(Enum):
    """Whether the peer of a connection can still send and receive."""

    OPEN = "no close seen"
    HALF_CLOSED = "it has shut down its sending side, and may have closed the connection"
    CLOSED = "the connection was reset, or is closed in both directions"


class Stream:
    """A connection, accepted (`sock`) or to be opened with `connect` (None).

    At most `max_queued_bytes` are queued; a write without progress for `write_timeout` seconds closes the connection.
    """

    def __init__(self, sock: socket.socket | None, *, max_queued_bytes: int, write_timeout: float) -> None:
        self.connecting_sock: socket.socket | None = None  # while `connect` blocks
        self.sock, self.max_queued_bytes, self.write_timeout = sock, max_queued_bytes, write_timeout
        self.read_size = READ_SIZE
        self.queue: deque[bytes] = deque()
        self.queued = 0  # bytes
        self.closed = self.finishing = False  # finishing: no more writes are accepted, bytes are still read
        self.close_reason = ""
        self.connection_refused = False  # nothing listens at the peer's address
        self.lacks_resources = False  # not made for want of a descriptor, port or memory here: says nothing of the peer
        self.write_greenlet: gevent.Greenlet | None = None
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        """Called with the bytes of each read."""

    def eof_received(self) -> bool:
        """Called when the peer has shut down its sending side. Returns whether to keep the connection open for writing; then
        the subclass closes it."""
        return False

    def connection_lost(self, reset: bool) -> None:
        """Called once, when the connection is closed. `reset`: it had been established, so that data in flight may be lost."""

    def connect(self, address: tuple[str, int], timeout: float, source: str = "") -> bool:
        """Open the connection within `timeout` seconds, from the local address `source` if given, then write the queue.

        Blocks the calling greenlet. Returns False if the connection could not be opened or was closed meanwhile.
        """
        if self.closed:
            return False
        try:
            sock = self.connecting_sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.settimeout(timeout)
            if source:
                sock.bind((source, 0))
            sock.connect(address)
        except OSError as error:
            self.connection_refused = isinstance(error, ConnectionRefusedError)
            self.lacks_resources = error.errno in LOCAL_ERRORS
            self.close(False, f"not connected: {error}")
            return False
        if self.closed:
            return False
        self.connecting_sock = None
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        if self.queue:
            self.write_greenlet = gevent.spawn(self._write_queue)
        return True

    def write(self, data: bytes) -> None:
        """Write or queue bytes; ignored once the connection is closed or half-closed."""
        if self.closed or self.finishing:
            return
        if self.sock is not None and not self.queue:
            try:
                sent = os.write(self.sock.fileno(), data)
            except BlockingIOError:
                sent = 0
            except OSError as error:
                self._write_failed(error)
                return
            if sent == len(data):
                return
            data = data[sent:]
        if self.queued + len(data) > self.max_queued_bytes:
            # A peer that accepts the connection and never reads must not make the queue grow without bound.
            gevent.spawn(self.close, True, "write queue over its limit")
            return
        self.queue.append(data)
        self.queued += len(data)
        if self.sock is not None and self.write_greenlet is None:
            self.write_greenlet = gevent.spawn(self._write_queue)

    def cancel_write(self, data: bytes) -> bool:
        """Remove an object passed to `write` from the queue. Returns False if it is not queued, or is the first in the queue
        of an open connection, as that may be partly written."""
        for index, queued_data in enumerate(self.queue):
            if queued_data is data and (index > 0 or self.sock is None):
                del self.queue[index]
                self.queued -= len(data)
                return True
        return False

    def _write_queue(self) -> None:
        try:
            while self.queue and not self.closed:
                data = self.queue[0]
                with gevent.Timeout(self.write_timeout, OSError("timed out")):
                    sent = self.sock.send(data)
                if self.closed:
                    return
                self.queued -= sent
                if sent == len(data):
                    self.queue.popleft()
                else:
                    self.queue[0] = data[sent:]
            if self.finishing and not self.closed:
                self._half_close()
        except OSError as error:
            self._write_failed(error)
        finally:
            self.write_greenlet = None

    def _write_failed(self, error: OSError) -> None:
        """Close after a delay, since bytes that the peer wrote before may still be unread."""
        self.finishing = True
        self.queue.clear()
        self.queued = 0
        gevent.spawn_later(READ_TIME_AFTER_ERROR, self.close, True, f"write failed: {error}")

    def read(self) -> None:
        """Read until the connection ends. Runs in a greenlet of its own."""
        bytes_this_turn = 0
        keep_open = False
        reason = "exception in an event handler"
        try:
            while not self.closed and (data := self.sock.recv(self.read_size)):
                self.data_received(data)
                bytes_this_turn += len(data)
                if bytes_this_turn >= MAX_BYTES_PER_TURN:
                    bytes_this_turn = 0
                    gevent.sleep(YIELD_TIME)
            reason = "closed by its peer"
            keep_open = not self.closed and self.eof_received()
        except OSError as error:
            reason = f"read failed: {error}"
        finally:  # also after an exception in a callback: nothing would be read any more, and what waits would never end
            if not keep_open:
                self.close(True, reason)

    def peer_state(self) -> PeerState:
        """State of the peer as the kernel knows it now, including a close that has not been read yet."""
        if self.closed:
            return PeerState.CLOSED
        ready = self._poll(select.POLLRDHUP)
        if ready & (select.POLLHUP | select.POLLERR):
            return PeerState.CLOSED
        return PeerState.HALF_CLOSED if ready else PeerState.OPEN

    def is_readable(self) -> bool:
        """Whether bytes, or the peer's close, are waiting to be read."""
        return bool(self._poll(select.POLLIN))

    def _poll(self, events: int) -> int:
        """The poll events that are set, of `events` and always POLLHUP and POLLERR; 0 if the connection is not open."""
        if self.closed or self.sock is None:
            return 0
        poll = select.poll()
        poll.register(self.sock.fileno(), events)
        return next((ready for _, ready in poll.poll(0)), 0)

    def finish(self, timeout: float) -> None:
        """Half-close: write what is queued, then shut down the sending side. Reading goes on until the peer closes too, for
        `timeout` seconds at most, so that what it wrote before it noticed is received."""
        if self.closed or self.finishing or self.sock is None:
            return
        self.finishing = True
        gevent.spawn_later(timeout, self.close, True, "half-close timed out")
        if not self.queue:
            self._half_close()

    def _half_close(self) -> None:
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close(True, "peer was gone at the half-close")

    def close(self, reset: bool = True, reason: str = "") -> None:
        """Close and call `connection_lost` with `reset`; a second call does nothing. `reason` is for logs."""
        if self.closed:
            return
        self.closed = True
        self.close_reason = reason
        self.queue.clear()
        # A connecting socket is closed too: it would be established all the same, and nothing would read it.
        for sock in (self.sock, self.connecting_sock):
            if sock is not None:
                sock.close()
        self.connection_lost(reset)
