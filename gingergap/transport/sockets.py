"""The sockets of a SIP element: a UDP socket and a TCP listener on the same port, and persistent TCP connections.

Reading blocks in greenlets. Sending never switches greenlets, since it is called while a decision is made: datagrams that
the kernel does not accept at once are dropped, as the network may do, and TCP connections have a write queue.
"""

import errno
import socket as system
import struct
import time
from collections.abc import Callable
from typing import Protocol

import gevent
from gevent import socket

from ..sip.framing import Framer
from ..sip.message import BadMessageError, Message, parse
from ..sip.transactions import Hop
from .stream import Stream, create_listener

TIMESTAMPNS = 35  # Linux: SO_TIMESTAMPNS, and the type of its control message
IP_RECVERR = 11  # Linux: queue ICMP errors of an unconnected UDP socket with the address they belong to
MAX_DATAGRAM_SIZE = 65_536  # bytes
DATAGRAMS_PER_TURN = 16  # read before other greenlets run


def _kernel_receive_time(ancillary: list[tuple[int, int, bytes]]) -> float | None:
    """When the kernel received a datagram, in seconds of the monotonic clock."""
    for level, kind, value in ancillary:
        if level == socket.SOL_SOCKET and kind == TIMESTAMPNS and len(value) >= 16:
            seconds, nanoseconds = struct.unpack_from("=qq", value)
            return seconds + nanoseconds / 1e9 - time.time() + time.monotonic()
    return None


class MessageInterceptor(Protocol):
    """Hook between the sockets and their owner, with which the stand-ins capture, delay and drop messages."""

    def incoming(self, data: bytes, hop: Hop, deliver: Callable[[], None], at: float | None) -> None:
        """Called for each received message; `deliver` passes it on. `at`: when the kernel received the datagram, in
        seconds of the monotonic clock; None for TCP."""

    def outgoing(self, data: bytes, hop: Hop, send: Callable[[], None]) -> None:
        """Called for each message to be sent; `send` sends it."""


class Owner(Protocol):
    """Receives the messages and errors of the sockets. Called from greenlets, one at a time."""

    def message_received(self, message: Message, hop: Hop) -> None: ...

    def invalid_message_received(self, error: BadMessageError, hop: Hop) -> None: ...

    def hop_failed(self, hop: Hop, reset: bool) -> None:
        """A destination is unreachable or its connection has ended. `reset`: the connection had been established."""


class Connection(Stream):
    """A TCP connection that carries SIP, opened by either side. `hop` is its peer; `hop.conn` is the connection's number."""

    def __init__(self, sockets: "Sockets", sock: socket.socket | None, hop: Hop) -> None:
        super().__init__(sock, max_queued_bytes=sockets.max_queued_bytes, write_timeout=sockets.write_timeout)
        self.sockets, self.hop = sockets, hop
        self.framer = Framer()

    def open(self, timeout: float) -> None:
        if self.connect((self.hop.host, self.hop.port), timeout, self.sockets.address[0]):
            self.read()

    def data_received(self, data: bytes) -> None:
        try:
            for message in self.framer.iter_messages(data):
                if isinstance(message, BadMessageError):
                    self.sockets.owner.invalid_message_received(message, self.hop)
                else:
                    self.sockets.deliver(message, bytes(message), self.hop)
        except BadMessageError as bad:
            self.sockets.owner.invalid_message_received(bad, self.hop)
            gevent.sleep(0)  # let the response be sent before the connection is closed
            self.close(True)

    def connection_lost(self, reset: bool) -> None:
        self.sockets.connection_closed(self, reset)


class Sockets:
    """The sockets at `address`. At most `max_queued_bytes` are queued per connection; times in seconds."""

    def __init__(
        self,
        owner: Owner,
        address: tuple[str, int],
        interceptor: MessageInterceptor | None = None,
        *,
        connect_timeout: float = 0.5,
        write_timeout: float = 5.0,
        max_queued_bytes: int = 1 << 20,
        max_connections: int = 10_000,
    ) -> None:
        self.owner, self.address, self.interceptor = owner, address, interceptor
        self.connect_timeout, self.write_timeout = connect_timeout, write_timeout
        self.max_queued_bytes, self.max_connections = max_queued_bytes, max_connections
        self.connections: dict[int, Connection] = {}
        self.outbound: dict[tuple[str, int], Connection] = {}  # opened by this element, by destination
        self.last_conn = 0
        self.dropped = 0  # datagrams that could not be sent
        self.datagrams: socket.socket | None = None
        self.nonblocking_datagrams: system.socket | None = None
        self.listener: socket.socket | None = None
        self.greenlets: list[gevent.Greenlet] = []

    def open(self) -> None:
        """Bind both sockets and start reading. Raises OSError if the address is in use."""
        self.datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self.datagrams.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
            self.datagrams.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 << 20)
            self.datagrams.setsockopt(socket.IPPROTO_IP, IP_RECVERR, 1)
            if self.interceptor is not None:
                self.datagrams.setsockopt(socket.SOL_SOCKET, TIMESTAMPNS, 1)
            self.datagrams.bind(self.address)
            self.listener = create_listener(self.address)
        except OSError:
            self.datagrams.close()
            raise
        self.nonblocking_datagrams = system.fromfd(self.datagrams.fileno(), system.AF_INET, system.SOCK_DGRAM)
        self.nonblocking_datagrams.setblocking(False)
        self.greenlets = [gevent.spawn(self._read_datagrams), gevent.spawn(self._accept)]

    def close(self) -> None:
        """Close all sockets; peers then see refused connections and unreachable ports."""
        for greenlet in self.greenlets:
            greenlet.kill(block=False)
        self.greenlets = []
        for connection in list(self.connections.values()):
            connection.close(True)
        for sock in (self.datagrams, self.listener, self.nonblocking_datagrams):
            if sock is not None:
                sock.close()
        self.datagrams = self.listener = self.nonblocking_datagrams = None

    def reset(self) -> int:
        """Close every connection, as a failing link does. Returns how many there were."""
        connections = list(self.connections.values())
        for connection in connections:
            connection.close(True)
        return len(connections)

    # --- sending ---

    def transmit(self, data: bytes, hop: Hop) -> None:
        """Send a message; implements `Transport` of sip/transactions.py. Never switches greenlets."""
        if self.interceptor is None:
            self._transmit(data, hop)
        else:
            self.interceptor.outgoing(data, hop, lambda: self._transmit(data, hop))

    def _transmit(self, data: bytes, hop: Hop) -> None:
        if hop.transport == "UDP":
            self._send_datagram(data, hop)
            return
        connection = self.connections.get(hop.conn) if hop.conn else None
        if connection is None:
            connection = self.outbound.get((hop.host, hop.port))
        if connection is None:
            if self.datagrams is None or len(self.connections) >= self.max_connections:
                gevent.spawn(self.owner.hop_failed, hop, False)
                return
            connection = self._add_connection(None, hop)
            self.outbound[hop.host, hop.port] = connection
            gevent.spawn(connection.open, self.connect_timeout)
        connection.write(data)

    def _send_datagram(self, data: bytes, hop: Hop) -> None:
        for _ in range(3):  # an ICMP error of an earlier datagram is returned by the next call
            if self.nonblocking_datagrams is None:
                return
            try:
                self.nonblocking_datagrams.sendto(data, (hop.host, hop.port))
                return
            except BlockingIOError:
                break
            except OSError as error:
                if error.errno not in (errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH):
                    break
                self._read_errors()
        self.dropped += 1

    # --- receiving ---

    def deliver(self, message: Message, data: bytes, hop: Hop, at: float | None = None) -> None:
        if self.interceptor is None:
            self.owner.message_received(message, hop)
        else:
            self.interceptor.incoming(data, hop, lambda: self.owner.message_received(message, hop), at)

    def _read_datagrams(self) -> None:
        sock = self.datagrams
        read_count, at = 0, None
        while True:
            try:
                if self.interceptor is None:
                    data, (host, port) = sock.recvfrom(MAX_DATAGRAM_SIZE)
                else:
                    data, ancillary, _, (host, port) = sock.recvmsg(MAX_DATAGRAM_SIZE, 64)
                    at = _kernel_receive_time(ancillary)
            except OSError as error:
                if error.errno == errno.EBADF:
                    return
                self._read_errors()
                continue
            read_count += 1
            if read_count >= DATAGRAMS_PER_TURN:
                # Under a flood, connections and timers must still run. Not by sleep(0): up to fifty of those callbacks run
                # before the loop checks timers, which were 0.4 s late under load. Waiting for a socket that is readable
                # already takes one iteration of the loop.
                read_count = 0
                socket.wait_read(sock.fileno())
            if not data.strip(b"\r\n\0 "):
                continue
            hop = Hop("UDP", host, port)
            try:
                message = parse(data)
            except BadMessageError as bad:
                self.owner.invalid_message_received(bad, hop)
                continue
            self.deliver(message, data, hop, at)

    def _read_errors(self) -> None:
        """Read the queue of ICMP errors, each with the destination of the datagram that caused it."""
        while self.nonblocking_datagrams is not None:
            try:
                _, ancillary, _, address = self.nonblocking_datagrams.recvmsg(0, 512, system.MSG_ERRQUEUE)
            except OSError:
                return
            for level, kind, value in ancillary:
                if level == socket.IPPROTO_IP and kind == IP_RECVERR and len(value) >= 16:
                    number, origin = struct.unpack_from("=IB", value)
                    if origin in (1, 2) and number in (errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH):
                        gevent.spawn(self.owner.hop_failed, Hop("UDP", address[0], address[1]), False)

    def _accept(self) -> None:
        while True:
            try:
                sock, (host, port) = self.listener.accept()
            except OSError as error:
                if error.errno == errno.EBADF:
                    return
                gevent.sleep(0.05)
                continue
            if len(self.connections) >= self.max_connections:
                sock.close()
                continue
            connection = self._add_connection(sock, Hop("TCP", host, port))
            gevent.spawn(connection.read)

    def _add_connection(self, sock: socket.socket | None, hop: Hop) -> Connection:
        self.last_conn += 1
        connection = Connection(self, sock, hop._replace(conn=self.last_conn))
        self.connections[self.last_conn] = connection
        return connection

    def connection_closed(self, connection: Connection, reset: bool) -> None:
        self.connections.pop(connection.hop.conn, None)
        key = connection.hop.host, connection.hop.port
        if self.outbound.get(key) is connection:
            del self.outbound[key]
            self.owner.hop_failed(connection.hop, reset)
