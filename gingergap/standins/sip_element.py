"""What all stand-ins share of a SIP element: sockets joined to transactions, and silence where nothing is to be done."""

import time

import gevent

from ..sip.message import BadMessageError, Message
from ..sip.transactions import Client, Hop, Lost, Server, Transactions
from ..transport.sockets import Sockets
from .capture import FaultInjector


def units() -> int:
    """Now, in tenths of a millisecond of the monotonic clock."""
    return time.monotonic_ns() // 100_000


class Element:
    """Owner of its sockets and user of its transactions; stand-ins override what they answer to. `epoch` is when the
    day began, in seconds of the monotonic clock."""

    def __init__(self, address: tuple[str, int], epoch: float, gate: FaultInjector) -> None:
        self.address, self.epoch = address, epoch
        self.sockets = Sockets(self, address, gate)
        self.transactions = Transactions(self, self.sockets, address)

    def now(self) -> float:
        """Seconds of the day."""
        return time.monotonic() - self.epoch

    def tick(self) -> None:
        while True:
            gevent.sleep(0.01)
            self.transactions.due(units())

    def got(self, message: Message, hop: Hop) -> None:
        try:
            self.take(message, hop)
        except BadMessageError as bad:
            if message.method and bad.status:
                self.transactions.stateless(message, bad.status, "bad", hop)

    def take(self, message: Message, hop: Hop) -> None:
        self.transactions.received(units(), message, hop)

    def got_bad(self, bad: BadMessageError, hop: Hop) -> None:
        pass

    def hop_failed(self, hop: Hop, reset: bool) -> None:
        self.transactions.hop_failed(units(), hop, reset)

    def request_came(self, now: int, server: Server, message: Message) -> None:
        pass

    def ack_came(self, now: int, message: Message, hop: Hop) -> None:
        pass

    def door_shut(self, now: int, message: Message, hop: Hop) -> None:
        self.transactions.stateless(message, 503, "full", hop)

    def response_came(self, now: int, client: Client, message: Message) -> None:
        pass

    def stray_response(self, now: int, message: Message) -> None:
        pass

    def client_lost(self, now: int, client: Client, how: Lost) -> None:
        pass

    def server_lost(self, now: int, server: Server) -> None:
        pass
