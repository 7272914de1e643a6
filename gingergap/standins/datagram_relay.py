"""A relay for the datagrams between coordinating proxies: it can partition the members, drop datagrams, and counts them.

Each member's public address is that of a relay socket. A datagram that arrives there from another member's real socket is
forwarded from that other member's relay socket, so that both ends see only public addresses.
"""

import selectors
import socket
import threading
from collections.abc import Callable
from random import Random


class DatagramRelay:
    """Relays between members, in a thread of its own until `close`.

    `real_addresses` and `public_addresses` are indexed by member number. `is_cut(source, target)` returns whether the members are
    partitioned now; `loss` is the probability that a datagram is dropped. Counts: `passed`, `passed_bytes`, `lost`.
    """

    def __init__(
        self,
        real_addresses: list[tuple[str, int]],
        public_addresses: list[tuple[str, int]],
        is_cut: Callable[[int, int], bool],
        loss: float = 0.0,
        seed: int = 1,
    ) -> None:
        self.real_addresses, self.is_cut, self.loss, self.draw = real_addresses, is_cut, loss, Random(seed)
        self.number_by_address = {address: number for number, address in enumerate(real_addresses)}
        self.passed = self.lost = self.passed_bytes = 0
        self.sockets = []
        for address in public_addresses:
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
                self._forward(key.data, self.sockets[key.data])
        selector.close()

    def _forward(self, target: int, sock: socket.socket) -> None:
        try:
            data, address = sock.recvfrom(65_536)
        except OSError:
            return
        source = self.number_by_address.get(address)
        if source is None:
            return
        if self.is_cut(source, target) or self.draw.random() < self.loss:
            self.lost += 1
            return
        self.passed += 1
        self.passed_bytes += len(data)
        try:
            self.sockets[source].sendto(data, self.real_addresses[target])
        except OSError:
            self.lost += 1

    def close(self) -> None:
        self.running = False
        self.thread.join()
        for sock in self.sockets:
            sock.close()
