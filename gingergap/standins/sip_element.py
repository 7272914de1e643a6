"""Base class of the stand-ins: a SIP element with sockets and transactions that ignores every event it does not handle."""

import time

import gevent

from ..sip.message import BadMessageError, Message
from ..sip.transactions import ClientFailure, ClientTransaction, Hop, ServerTransaction, Transactions
from ..transport.sockets import Sockets
from .capture import FaultInjector


def current_units() -> int:
    """The monotonic clock in the time unit of the transactions, 0.1 ms."""
    return time.monotonic_ns() // 100_000


class SipElement:
    """A SIP element; the stand-ins override the event methods that they handle.

    `epoch` is the beginning of the day, in seconds of the monotonic clock. Malformed requests are refused with the status of the
    BadMessageError that they raise, new requests beyond the transactions' limit with 503.
    """

    def __init__(self, address: tuple[str, int], epoch: float, gate: FaultInjector) -> None:
        self.address, self.epoch = address, epoch
        self.sockets = Sockets(self, address, gate)
        self.transactions = Transactions(self, self.sockets, address)

    def now(self) -> float:
        """Seconds since the day began."""
        return time.monotonic() - self.epoch

    def run_timers(self) -> None:
        """Fire the timers of the transactions every 10 ms, for ever."""
        while True:
            gevent.sleep(0.01)
            self.transactions.fire_timers(current_units())

    def message_received(self, message: Message, hop: Hop) -> None:
        try:
            self.handle_message(message, hop)
        except BadMessageError as bad:
            if message.method and bad.status:
                self.transactions.respond_statelessly(message, bad.status, "bad", hop)

    def handle_message(self, message: Message, hop: Hop) -> None:
        self.transactions.received(current_units(), message, hop)

    def invalid_message_received(self, bad: BadMessageError, hop: Hop) -> None:
        pass

    def hop_failed(self, hop: Hop, reset: bool) -> None:
        self.transactions.hop_failed(current_units(), hop, reset)

    def request_received(self, now: int, server: ServerTransaction, message: Message) -> None:
        pass

    def ack_received(self, now: int, message: Message, hop: Hop) -> None:
        pass

    def transaction_limit_reached(self, now: int, message: Message, hop: Hop) -> None:
        self.transactions.respond_statelessly(message, 503, "full", hop)

    def response_received(self, now: int, client: ClientTransaction, message: Message) -> None:
        pass

    def stray_response(self, now: int, message: Message) -> None:
        pass

    def client_failed(self, now: int, client: ClientTransaction, failure: ClientFailure) -> None:
        pass

    def ack_timed_out(self, now: int, server: ServerTransaction) -> None:
        pass
