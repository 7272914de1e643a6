"""One SIP element's sockets: a datagram socket and a listener on the same port, and connections kept open.

Reading blocks in greenlets. Sending never does: it is called from within decisions, where no other greenlet may
run, so datagrams that the kernel won't take at once are dropped (as the network may) and streams have a queue.
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

TIMESTAMPNS = 35  # Linux: SO_TIMESTAMPNS, and the kind of its control message
IP_RECVERR = 11  # Linux: ICMP errors of an unconnected datagram socket can be read with their address
MOST_DATAGRAM = 65_536
IN_A_ROW = 16  # datagrams read before others have their turn


def _kernel_time(extra: list[tuple[int, int, bytes]]) -> float | None:
    for level, kind, value in extra:
        if level == socket.SOL_SOCKET and kind == TIMESTAMPNS and len(value) >= 16:
            seconds, nanoseconds = struct.unpack_from("=qq", value)
            return seconds + nanoseconds / 1e9 - time.time() + time.monotonic()
    return None


class Gate(Protocol):
    """What stands between sockets and their owner; stand-ins note and harm messages here."""

    def incoming(self, data: bytes, hop: Hop, deliver: Callable[[], None], at: float | None) -> None:
        """`at` is when the kernel had a datagram, by the monotonic clock in seconds."""

    def outgoing(self, data: bytes, hop: Hop, send: Callable[[], None]) -> None: ...


class Owner(Protocol):
    """Who uses the sockets. Called from greenlets, one at a time."""

    def message_received(self, message: Message, hop: Hop) -> None: ...

    def invalid_message_received(self, bad: BadMessageError, hop: Hop) -> None: ...

    def hop_failed(self, hop: Hop, reset: bool) -> None: ...


class Connection(Stream):
    """A stream of SIP, opened by either end. `hop` names its far end; `conn` in it is this connection's number."""

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
            gevent.sleep(0)  # let the answer leave before the connection is closed
            self.close(True)

    def connection_lost(self, reset: bool) -> None:
        self.sockets.connection_over(self, reset)


class Sockets:
    """`most_queued` bytes wait for one connection, `most_connections` are open at once; times in seconds."""

    def __init__(
        self,
        owner: Owner,
        address: tuple[str, int],
        gate: Gate | None = None,
        *,
        connect_timeout: float = 0.5,
        write_timeout: float = 5.0,
        max_queued_bytes: int = 1 << 20,
        max_connections: int = 10_000,
    ) -> None:
        self.owner, self.address, self.gate = owner, address, gate
        self.connect_timeout, self.write_timeout = connect_timeout, write_timeout
        self.max_queued_bytes, self.max_connections = max_queued_bytes, max_connections
        self.connections: dict[int, Connection] = {}
        self.open_traces: dict[tuple[str, int], Connection] = {}  # by us, for requests
        self.numbers = 0
        self.dropped = 0
        self.datagrams: socket.socket | None = None
        self.plain: system.socket | None = None
        self.listener: socket.socket | None = None
        self.greenlets: list[gevent.Greenlet] = []

    def open(self) -> None:
        """Bind both sockets and start reading; raises OSError where the address is taken."""
        self.datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self.datagrams.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
            self.datagrams.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 << 20)
            self.datagrams.setsockopt(socket.IPPROTO_IP, IP_RECVERR, 1)
            if self.gate is not None:
                self.datagrams.setsockopt(socket.SOL_SOCKET, TIMESTAMPNS, 1)
            self.datagrams.bind(self.address)
            self.listener = create_listener(self.address)
        except OSError:
            self.datagrams.close()
            raise
        self.plain = system.fromfd(self.datagrams.fileno(), system.AF_INET, system.SOCK_DGRAM)
        self.plain.setblocking(False)
        self.greenlets = [gevent.spawn(self._read_datagrams), gevent.spawn(self._accept)]

    def close(self) -> None:
        """Close everything; peers see refused connections and unreachable ports."""
        for greenlet in self.greenlets:
            greenlet.kill(block=False)
        self.greenlets = []
        for connection in list(self.connections.values()):
            connection.close(True)
        for sock in (self.datagrams, self.listener, self.plain):
            if sock is not None:
                sock.close()
        self.datagrams = self.listener = self.plain = None

    def reset(self) -> int:
        """Drop every connection as a failing link does; how many there were."""
        connections = list(self.connections.values())
        for connection in connections:
            connection.close(True)
        return len(connections)

    # --- out ---

    def transmit(self, data: bytes, hop: Hop) -> None:
        """Send; the Transport of sip/transactions.py. Never switches greenlets."""
        if self.gate is None:
            self._transmit(data, hop)
        else:
            self.gate.outgoing(data, hop, lambda: self._transmit(data, hop))

    def _transmit(self, data: bytes, hop: Hop) -> None:
        if hop.transport == "UDP":
            self._send_datagram(data, hop)
            return
        connection = self.connections.get(hop.conn) if hop.conn else None
        if connection is None:
            connection = self.open_traces.get((hop.host, hop.port))
        if connection is None:
            if self.datagrams is None or len(self.connections) >= self.max_connections:
                gevent.spawn(self.owner.hop_failed, hop, False)
                return
            connection = self._new(None, hop)
            self.open_traces[hop.host, hop.port] = connection
            gevent.spawn(connection.open, self.connect_timeout)
        connection.write(data)

    def _send_datagram(self, data: bytes, hop: Hop) -> None:
        for _ in range(3):  # an ICMP error of an earlier datagram is told at the next call
            if self.plain is None:
                return
            try:
                self.plain.sendto(data, (hop.host, hop.port))
                return
            except BlockingIOError:
                break
            except OSError as error:
                if error.errno not in (errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH):
                    break
                self._read_errors()
        self.dropped += 1

    # --- in ---

    def deliver(self, message: Message, data: bytes, hop: Hop, at: float | None = None) -> None:
        if self.gate is None:
            self.owner.message_received(message, hop)
        else:
            self.gate.incoming(data, hop, lambda: self.owner.message_received(message, hop), at)

    def _read_datagrams(self) -> None:
        sock = self.datagrams
        in_a_row, at = 0, None
        while True:
            try:
                if self.gate is None:
                    data, (host, port) = sock.recvfrom(MOST_DATAGRAM)
                else:
                    data, extra, _, (host, port) = sock.recvmsg(MOST_DATAGRAM, 64)
                    at = _kernel_time(extra)
            except OSError as error:
                if error.errno == errno.EBADF:
                    return
                self._read_errors()
                continue
            in_a_row += 1
            if in_a_row >= IN_A_ROW:
                # Streams and timers get their turn under a flood. Not by sleep(0): up to fifty of those are run
                # before the loop looks at timers, and under load they were 0.4 s late. Waiting for what is there
                # already costs one turn of the loop.
                in_a_row = 0
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
        """The queue of ICMP errors: each names the address that an earlier datagram was sent to."""
        while self.plain is not None:
            try:
                _, extra, _, address = self.plain.recvmsg(0, 512, system.MSG_ERRQUEUE)
            except OSError:
                return
            for level, kind, value in extra:
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
            connection = self._new(sock, Hop("TCP", host, port))
            gevent.spawn(connection.read)

    def _new(self, sock: socket.socket | None, hop: Hop) -> Connection:
        self.numbers += 1
        connection = Connection(self, sock, hop._replace(conn=self.numbers))
        self.connections[self.numbers] = connection
        return connection

    def connection_over(self, connection: Connection, reset: bool) -> None:
        self.connections.pop(connection.hop.conn, None)
        key = connection.hop.host, connection.hop.port
        if self.open_traces.get(key) is connection:
            del self.open_traces[key]
            self.owner.hop_failed(connection.hop, reset)
