"""One stream connection, whatever is spoken on it: read in a greenlet, written without ever blocking, bounded.

Its user says in `data_received` what bytes mean and in `connection_lost` what the end means. Sending is called from within decisions,
where no other greenlet may run: what the kernel won't take at once waits in a queue, and a peer that does not read
is closed when the queue is full or stands still.
"""

import os
import select
from collections import deque
from enum import Enum

import gevent
from gevent import socket

READ = 16_384
TURN = 16_384  # bytes that one connection may bring before others have their turn
BACKLOG = 512
READ_OUT = 0.1  # seconds in which what a peer wrote before it reset the connection is still read
YIELD_TIME = 0.0005  # seconds; a timer, since sleep(0) lets up to fifty others run before the loop looks at timers


def create_listener(address: tuple[str, int]) -> socket.socket:
    """A listener for streams; raises OSError where the address is taken."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener


class PeerState(Enum):
    """Whether a connection's peer may still send and read."""

    OPEN = "no sign of its end"
    HALF_CLOSED = "it has shut down its sending side, and may have closed both"
    CLOSED = "the connection was reset, or both sides of it are closed"


class Stream:
    """`most_queued` bytes may wait; a write that stands still for `longest_write` seconds ends the connection."""

    def __init__(self, sock: socket.socket | None, *, max_queued_bytes: int, write_timeout: float) -> None:
        self.opening: socket.socket | None = None  # while `connect` waits
        self.sock, self.max_queued_bytes, self.write_timeout = sock, max_queued_bytes, write_timeout
        self.queue: deque[bytes] = deque()
        self.queued = 0
        self.closed = self.finishing = False
        self.close_reason = ""
        self.connection_refused = False  # the peer's machine said that nobody listens there
        self.writer: gevent.Greenlet | None = None
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        """Bytes have come."""

    def eof_received(self) -> bool:
        """The peer sends nothing more. Whether the connection is kept for what is still to be written; its user ends it."""
        return False

    def connection_lost(self, reset: bool) -> None:
        """The connection is over, once. `reset`: it had been up, so what was under way on it is in doubt."""

    def connect(self, address: tuple[str, int], timeout: float, source: str = "") -> bool:
        """Open it, within seconds; what waits in the queue leaves then. Blocks its greenlet."""
        if self.closed:
            return False
        try:
            sock = self.opening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.settimeout(timeout)
            if source:
                sock.bind((source, 0))
            sock.connect(address)
        except OSError as error:
            self.connection_refused = isinstance(error, ConnectionRefusedError)
            self.close(False, f"not connected: {error}")
            return False
        if self.closed:
            return False
        self.opening = None
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        if self.queue:
            self.writer = gevent.spawn(self._drain)
        return True

    def write(self, data: bytes) -> None:
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
            # A peer that accepts and never reads: what waits for it must not grow.
            gevent.spawn(self.close, True, "write queue over its limit")
            return
        self.queue.append(data)
        self.queued += len(data)
        if self.sock is not None and self.writer is None:
            self.writer = gevent.spawn(self._drain)

    def cancel_write(self, data: bytes) -> bool:
        """Whether something that was put waits still and has now been taken out of the queue. The first that waits may be
        being written."""
        for place, waiting in enumerate(self.queue):
            if waiting is data and (place > 0 or self.sock is None):
                del self.queue[place]
                self.queued -= len(data)
                return True
        return False

    def _drain(self) -> None:
        try:
            while self.queue and not self.closed:
                data = self.queue[0]
                with gevent.Timeout(self.write_timeout, OSError("stood still")):
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
            self.writer = None

    def _write_failed(self, error: OSError) -> None:
        """Nothing more can be written. What the peer wrote before may stand unread: it is read first."""
        self.finishing = True
        self.queue.clear()
        self.queued = 0
        gevent.spawn_later(READ_OUT, self.close, True, f"write failed: {error}")

    def read(self) -> None:
        """Read until the end; runs in a greenlet of its own."""
        turn = 0
        kept = False
        reason = "an event failed"
        try:
            while not self.closed and (data := self.sock.recv(READ)):
                self.data_received(data)
                turn += len(data)
                if turn >= TURN:
                    turn = 0
                    gevent.sleep(YIELD_TIME)
            reason = "closed by its peer"
            kept = not self.closed and self.eof_received()
        except OSError as error:
            reason = f"read failed: {error}"
        finally:  # also where an event failed: nobody would read on, and what waits here would never end
            if not kept:
                self.close(True, reason)

    def peer_state(self) -> PeerState:
        """What is known of the peer now, be it read or not."""
        if self.closed:
            return PeerState.CLOSED
        found = self._polled(select.POLLRDHUP)
        if found & (select.POLLHUP | select.POLLERR):
            return PeerState.CLOSED
        return PeerState.HALF_CLOSED if found else PeerState.OPEN

    def is_readable(self) -> bool:
        """Whether bytes, or the peer's close, wait to be read."""
        return bool(self._polled(select.POLLIN))

    def _polled(self, events: int) -> int:
        """Which of the events are there now; a reset, and both sides closed, always count. 0 where it is not up."""
        if self.closed or self.sock is None:
            return 0
        poll = select.poll()
        poll.register(self.sock.fileno(), events)
        return next((found for _, found in poll.poll(0)), 0)

    def finish(self, within: float) -> None:
        """Write what is queued and no more, and read on until the far end has closed too, `within` seconds at most: what
        it wrote before it noticed still comes."""
        if self.closed or self.finishing or self.sock is None:
            return
        self.finishing = True
        gevent.spawn_later(within, self.close, True, "half closed long enough")
        if not self.queue:
            self._half_close()

    def _half_close(self) -> None:
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close(True, "had gone when it was half closed")

    def close(self, reset: bool = True, reason: str = "") -> None:
        """Close; the user hears of it, once, so that what was under way on it ends. `reason` is for logs."""
        if self.closed:
            return
        self.closed = True
        self.close_reason = reason
        self.queue.clear()
        for sock in (self.sock, self.opening):  # also one that opens: it would come up all the same, and nobody would read it
            if sock is not None:
                sock.close()
        self.connection_lost(reset)
