"""The network between coordinating proxies: a relay that can split them, lose what passes, and count it.

Each member is known by the address of a relay socket. What comes there from another member's real socket is sent on from
that other's relay socket, so that both ends see nothing but known addresses.
"""

import selectors
import socket
import threading
from collections.abc import Callable
from random import Random


class DatagramRelay:
    """`real` and `known` addresses by member number; `cut(source, target)` says whether nothing passes now."""

    def __init__(
        self,
        real: list[tuple[str, int]],
        known: list[tuple[str, int]],
        cut: Callable[[int, int], bool],
        loss: float = 0.0,
        seed: int = 1,
    ) -> None:
        self.real, self.cut, self.loss, self.draw = real, cut, loss, Random(seed)
        self.numbers = {address: number for number, address in enumerate(real)}
        self.passed = self.lost = self.passed_bytes = 0
        self.sockets = []
        for address in known:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.bind(address)
            sock.setblocking(False)
            self.sockets.append(sock)
        self.running = True
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        selector = selectors.DefaultSelector()
        for number, sock in enumerate(self.sockets):
            selector.register(sock, selectors.EVENT_READ, number)
        while self.running:
            for key, _ in selector.select(0.1):
                self._pass(key.data, self.sockets[key.data])
        selector.close()

    def _pass(self, target: int, sock: socket.socket) -> None:
        try:
            data, address = sock.recvfrom(65_536)
        except OSError:
            return
        source = self.numbers.get(address)
        if source is None:
            return
        if self.cut(source, target) or self.draw.random() < self.loss:
            self.lost += 1
            return
        self.passed += 1
        self.passed_bytes += len(data)
        try:
            self.sockets[source].sendto(data, self.real[target])
        except OSError:
            self.lost += 1

    def close(self) -> None:
        self.running = False
        self.thread.join()
        for sock in self.sockets:
            sock.close()
