"""Sealed datagrams between members, on gevent: bytes in and out, and what was refused counted."""

import socket as system
from collections.abc import Callable

import gevent
from gevent import socket

from .codec import MOST_BYTES, DatagramCodec, Refused

MEMBERSHIP, DUTIES = 0, 1  # kinds of messages


class DatagramSocket:
    """One socket. `got(kind, sender, life, address, body)` is called for each datagram that was proven."""

    def __init__(self, address: tuple[str, int], sealer: DatagramCodec, got: Callable[[int, str, int, str, bytes], None]) -> None:
        self.address, self.sealer, self.got = address, sealer, got
        self.counts: dict[str, int] = {}
        self.sent = self.sent_bytes = 0
        self.sock: socket.socket | None = None
        self.reader: gevent.Greenlet | None = None
        self.barred: Callable[[str], bool] = lambda address: False  # a fault for tests: nothing passes to or from there

    def open(self) -> None:
        """Raises OSError where the address is taken."""
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self.sock.bind(self.address)
        except OSError:
            self.sock.close()
            raise
        self.plain = system.fromfd(self.sock.fileno(), system.AF_INET, system.SOCK_DGRAM)
        self.plain.setblocking(False)
        self.reader = gevent.spawn(self._read)

    def close(self) -> None:
        if self.reader is not None:
            self.reader.kill(block=False)
            self.sock.close()
            self.plain.close()

    def send(self, to: str, address: str, kind: int, body: bytes) -> None:
        """Never blocks: what the kernel does not take at once is lost, as the network may lose it."""
        if self.barred(address) or len(body) > MOST_BYTES:
            return
        host, _, port = address.rpartition(":")
        data = self.sealer.seal(to, kind, body)
        self.sent += 1
        self.sent_bytes += len(data)
        try:
            self.plain.sendto(data, (host, int(port)))
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
            if self.barred(address):
                continue
            try:
                opened = self.sealer.open(data)
            except Refused as refused:
                why = f"refused: {refused}"
                self.counts[why] = self.counts.get(why, 0) + 1
                continue
            self.got(opened.kind, opened.sender, opened.generation, address, opened.body)
