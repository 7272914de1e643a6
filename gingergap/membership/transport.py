"""Authenticated UDP datagrams between members, on gevent. Rejected datagrams are counted by reason."""

import socket as system
from collections.abc import Callable

import gevent
from gevent import socket

from .codec import MAX_BODY_LENGTH, DatagramCodec, DatagramRejectedError

MEMBERSHIP, DUTIES = 0, 1  # kinds of messages


class DatagramSocket:
    """One UDP socket. `on_message(kind, sender, generation, address, body)` is called for each authenticated datagram."""

    def __init__(
        self, address: tuple[str, int], codec: DatagramCodec, on_message: Callable[[int, str, int, str, bytes], None]
    ) -> None:
        self.address, self.codec, self.on_message = address, codec, on_message
        self.counts: dict[str, int] = {}
        self.sent = self.sent_bytes = 0
        self.sock: socket.socket | None = None
        self.reader: gevent.Greenlet | None = None
        self.is_blocked: Callable[[str], bool] = lambda address: False  # fault injection for tests, both directions

    def open(self) -> None:
        """Raises OSError if the address is in use."""
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self.sock.bind(self.address)
        except OSError:
            self.sock.close()
            raise
        self.sender_sock = system.fromfd(self.sock.fileno(), system.AF_INET, system.SOCK_DGRAM)
        self.sender_sock.setblocking(False)
        self.reader = gevent.spawn(self._read)

    def close(self) -> None:
        if self.reader is not None:
            self.reader.kill(block=False)
            self.sock.close()
            self.sender_sock.close()

    def send(self, to: str, address: str, kind: int, body: bytes) -> None:
        """Never blocks: a datagram that the kernel does not accept at once is dropped, as the network may drop it."""
        if self.is_blocked(address) or len(body) > MAX_BODY_LENGTH:
            return
        host, _, port = address.rpartition(":")
        data = self.codec.encode(to, kind, body)
        self.sent += 1
        self.sent_bytes += len(data)
        try:
            self.sender_sock.sendto(data, (host, int(port)))
        except (OSError, ValueError):
            self.counts["not sent"] = self.counts.get("not sent", 0) + 1

    def _read(self) -> None:
        while True:
            try:
                data, (host, port) = self.sock.recvfrom(65_536)
            except OSError:
                if self.sock.closed:
                    return
                continue
            address = f"{host}:{port}"
            if self.is_blocked(address):
                continue
            try:
                message = self.codec.decode(data)
            except DatagramRejectedError as error:
                reason = f"refused: {error}"
                self.counts[reason] = self.counts.get(reason, 0) + 1
                continue
            self.on_message(message.kind, message.sender, message.generation, address, message.body)
