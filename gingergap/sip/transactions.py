"""The four transaction state machines of RFC 3261 section 17 as updated by RFC 6026, without I/O or clock.

One `Transactions` object holds all open transactions. Its event methods (`received`, `hop_failed`, `fire_timers`) take
the current time in tenths of a millisecond. It sends through a `Transport` and reports to a `TransactionUser` (the TU
of RFC 3261). All timers are in one heap.
"""

from enum import IntEnum
from heapq import heappop, heappush
from typing import Any, NamedTuple, Protocol

from .fields import Via, tag_of, top_via
from .message import BadMessageError, Message, check_request, response

MAGIC_COOKIE = "z9hG4bK"
T1, T2, T4 = 5_000, 40_000, 50_000  # tenths of a millisecond, RFC 3261 table 4
TIMER_D = 320_000  # tenths of a millisecond; at least 32 s over datagrams (RFC 3261 table 4)


class Hop(NamedTuple):
    """Where a message goes to or came from: "UDP" or "TCP", host and port.

    `conn` is the number of an open connection, 0 for none.
    """

    transport: str
    host: str
    port: int
    conn: int = 0


class TransactionState(IntEnum):
    """The states of all four state machines; each machine uses some of them."""

    CALLING = 0
    TRYING = 1
    PROCEEDING = 2
    COMPLETED = 3
    CONFIRMED = 4
    ACCEPTED = 5
    TERMINATED = 6


class ClientFailure(IntEnum):
    """Why a client transaction ended without a final response."""

    TIMEOUT = 0
    UNREACHABLE = 1  # nothing could be sent
    RESET = 2  # a connection that had carried the request was lost


class Transport(Protocol):
    """Sends messages for the transactions."""

    def transmit(self, data: bytes, hop: Hop) -> None:
        """Send now or later, without blocking. A failure is reported by `hop_failed`, never by an exception."""


class TransactionUser(Protocol):
    """The events that transactions report to their user."""

    def request_received(self, now: int, server: "ServerTransaction", message: Message) -> None:
        """A new request other than ACK; respond with `Transactions.respond`."""

    def ack_received(self, now: int, message: Message, hop: Hop) -> None:
        """The ACK of a 2xx, which is not absorbed by the server transaction."""

    def transaction_limit_reached(self, now: int, message: Message, hop: Hop) -> None:
        """A new request while the limit of open server transactions is reached; no transaction was opened."""

    def response_received(self, now: int, client: "ClientTransaction", message: Message) -> None:
        """A response to INVITE: each provisional one (100 too), each copy of a 2xx, the first failure; else the first final."""

    def stray_response(self, now: int, message: Message) -> None:
        """A 2xx to INVITE without a matching transaction."""

    def client_failed(self, now: int, client: "ClientTransaction", failure: ClientFailure) -> None:
        """A client transaction ended without a final response."""

    def ack_timed_out(self, now: int, server: "ServerTransaction") -> None:
        """The final response of an INVITE server transaction was never acknowledged (Timer H)."""


class ClientTransaction:
    """A client transaction. `owner` is an arbitrary object of the transaction user; times as in `Transactions`."""

    __slots__ = (
        "branch",
        "method",
        "request",
        "hop",
        "state",
        "owner",
        "retransmit_interval",
        "timer_ids",
        "cancelled",
        "has_response",
        "sent",
        "started",
        "encoded",
    )

    def __init__(self, branch: str, request: Message, hop: Hop, owner: Any, now: int) -> None:
        self.branch, self.method, self.request, self.hop, self.owner = branch, request.method, request, hop, owner
        self.state = TransactionState.CALLING if request.method == "INVITE" else TransactionState.TRYING
        self.retransmit_interval = 0
        self.timer_ids: dict[str, int] = {}  # timer name to the number of its valid entry in the heap; others are stale
        self.cancelled = False
        self.has_response = False  # including provisional ones
        self.sent = False
        self.started = now
        self.encoded = b""


class ServerTransaction:
    """A server transaction. `request` is dropped after the final response to a request other than INVITE."""

    __slots__ = (
        "key",
        "method",
        "request",
        "hop",
        "state",
        "owner",
        "retransmit_interval",
        "timer_ids",
        "last_response",
        "acknowledged",
    )

    def __init__(self, key: tuple[str, str, str], request: Message, hop: Hop) -> None:
        self.key, self.method, self.request, self.hop = key, request.method, request, hop
        self.state = TransactionState.PROCEEDING if request.method == "INVITE" else TransactionState.TRYING
        self.owner: Any = None
        self.retransmit_interval = 0
        self.timer_ids: dict[str, int] = {}
        self.last_response = b""
        self.acknowledged = False


def response_hop(via: Via, hop: Hop) -> Hop:
    """Where responses to a request from `hop` are sent (section 18.2.2, RFC 3581).

    Over a stream: the same connection or, if it is closed, a new one to the port in Via. Over UDP: the source host,
    and the source port if Via has `rport`.
    """
    if hop.transport != "UDP":
        return Hop(hop.transport, hop.host, via.port, hop.conn)
    return Hop("UDP", hop.host, hop.port if "rport" in via.params else via.port)


def record_source(message: Message, via: Via, hop: Hop) -> None:
    """Add `received` and `rport` to the topmost Via if it differs from the source (section 18.2.1, RFC 3581)."""
    if "rport" not in via.params and via.host == hop.host:
        return
    value = message.all("Via")[0]
    parts = [part for part in value.split(";") if part.partition("=")[0].strip().lower() not in ("rport", "received")]
    if "rport" in via.params:
        parts.append(f"rport={hop.port}")
    parts.append(f"received={hop.host}")
    message.replace_first("Via", ";".join(parts))


def server_transaction_key(message: Message, via: Via) -> tuple[str, str, str]:
    """The key that matches a request to its server transaction (section 17.2.3).

    Branch, sent-by and method, with ACK under INVITE; for a branch without the magic cookie, the fields that RFC 2543
    uses instead of the branch.
    """
    method = "INVITE" if message.method == "ACK" else message.method
    if via.branch.startswith(MAGIC_COOKIE):
        return via.branch, f"{via.host}:{via.port}", method
    number = message.get("CSeq").split(" ")[0]
    return (f"{message.call_id} {number} {tag_of(message.get('From'))} {message.uri}", f"{via.host}:{via.port}", method)


class Transactions:
    """All open transactions of one SIP element.

    `sent_by` is the element's own host and port; `t1`, `t2` and `t4` are in tenths of a millisecond. `max_servers` is
    the limit of open server transactions: beyond it new requests are passed to `transaction_limit_reached`, while
    retransmissions are still absorbed.
    """

    def __init__(
        self,
        user: TransactionUser,
        transport: Transport,
        sent_by: tuple[str, int],
        t1: int = T1,
        t2: int = T2,
        t4: int = T4,
        max_servers: int = 200_000,
    ) -> None:
        self.user, self.transport, self.sent_by, self.max_servers = user, transport, sent_by, max_servers
        self.t1, self.t2, self.t4 = t1, t2, t4
        self.timer_d = TIMER_D * t1 // T1
        self.clients: dict[tuple[str, str], ClientTransaction] = {}
        self.servers: dict[tuple[str, str, str], ServerTransaction] = {}
        self.pending_by_hop: dict[tuple[str, str, int], dict[ClientTransaction, None]] = {}  # without a final response
        self.timers: list[tuple[int, int, ClientTransaction | ServerTransaction, str]] = []
        self.last_timer_id = 0

    # --- events ---

    def received(self, now: int, message: Message, hop: Hop) -> None:
        """A message was received. Raises BadMessageError for a request that lacks what every transaction needs."""
        if message.method:
            self._request(now, message, hop)
        else:
            self._response(now, message, hop)

    def hop_failed(self, now: int, hop: Hop, reset: bool) -> None:
        """Nothing can be sent to a hop, or its connection was lost (`reset`): its client transactions fail.

        Over UDP only those without any response fail, since the ICMP error may be about an earlier message.
        """
        for client in list(self.pending_by_hop.get(hop[:3], ())):
            if hop.transport == "UDP" and client.has_response:
                continue
            self._fail(now, client, ClientFailure.RESET if reset else ClientFailure.UNREACHABLE)

    def fire_timers(self, now: int) -> None:
        """Run all timers that are due."""
        timers = self.timers
        while timers and timers[0][0] <= now:
            _, timer_id, transaction, name = heappop(timers)
            if transaction.timer_ids.get(name) == timer_id:
                del transaction.timer_ids[name]
                if type(transaction) is ClientTransaction:
                    self._client_timer(now, transaction, name)
                else:
                    self._server_timer(now, transaction, name)

    def next_timer(self) -> int | None:
        """When the next timer is due; None if there is none."""
        timers = self.timers
        while timers and timers[0][2].timer_ids.get(timers[0][3]) != timers[0][1]:
            heappop(timers)
        return timers[0][0] if timers else None

    # --- requests of the transaction user ---

    def request(self, now: int, message: Message, hop: Hop, branch: str, owner: Any = None) -> ClientTransaction:
        """Open a client transaction and send the request. Via is added here; all other fields must be set."""
        host, port = self.sent_by
        message.push("Via", f"SIP/2.0/{hop.transport} {host}:{port};branch={branch};rport")
        client = ClientTransaction(branch, message, hop, owner, now)
        client.encoded = bytes(message)
        self._open(client)
        if hop.transport == "UDP":
            client.retransmit_interval = self.t1
            self._set_timer(now + self.t1, client, "retransmit")
        self._set_timer(now + 64 * self.t1, client, "timeout")
        self.transport.transmit(client.encoded, hop)
        return client

    def respond(self, now: int, server: ServerTransaction, message: Message) -> None:
        """Send a response on a server transaction if its state allows it; otherwise drop the response."""
        state, status = server.state, message.status
        if server.method == "INVITE":
            if state == TransactionState.PROCEEDING:
                server.last_response = bytes(message)
                self.transport.transmit(server.last_response, server.hop)
                if status >= 300:
                    server.state = TransactionState.COMPLETED
                    if server.hop.transport == "UDP":
                        server.retransmit_interval = self.t1
                        self._set_timer(now + self.t1, server, "retransmit")
                    self._set_timer(now + 64 * self.t1, server, "ack_timeout")
                elif status >= 200:
                    server.state = TransactionState.ACCEPTED
                    server.last_response = b""
                    self._set_timer(now + 64 * self.t1, server, "end")  # Timer L
            elif state == TransactionState.ACCEPTED and 200 <= status < 300:
                self.transport.transmit(bytes(message), server.hop)
        elif state in (TransactionState.TRYING, TransactionState.PROCEEDING):
            server.last_response = bytes(message)
            self.transport.transmit(server.last_response, server.hop)
            server.state = TransactionState.PROCEEDING
            if status >= 200:
                server.state = TransactionState.COMPLETED
                server.request = None
                self._set_timer(now + (64 * self.t1 if server.hop.transport == "UDP" else 0), server, "end")

    def cancel(self, now: int, client: ClientTransaction) -> None:
        """Cancel an INVITE (section 9.1). CANCEL is sent after the first provisional response.

        Until then the INVITE is not retransmitted either.
        """
        if client.cancelled or client.state not in (TransactionState.CALLING, TransactionState.PROCEEDING):
            return
        client.cancelled = True
        if client.state == TransactionState.CALLING:
            client.timer_ids.pop("retransmit", None)
        else:
            self._send_cancel(now, client)

    def respond_statelessly(
        self, message: Message, status: int, tag: str, hop: Hop, fields: list[tuple[str, str]] | None = None
    ) -> None:
        """Respond to a request without a transaction (section 8.2.7). The same request must get the same tag."""
        if message.method == "ACK":
            return
        try:
            via = top_via(message)
        except BadMessageError:
            return
        self.transport.transmit(bytes(response(message, status, tag, fields or ())), response_hop(via, hop))

    # --- requests ---

    def _request(self, now: int, message: Message, hop: Hop) -> None:
        check_request(message)
        via = top_via(message)
        key = server_transaction_key(message, via)
        server = self.servers.get(key)
        if server is not None:
            if message.method == "ACK":
                self._ack(now, server, message, hop)
            elif server.state in (TransactionState.PROCEEDING, TransactionState.COMPLETED) and server.last_response:
                self.transport.transmit(server.last_response, server.hop)  # a retransmission
            return
        if message.method == "ACK":
            self.user.ack_received(now, message, hop)
            return
        record_source(message, via, hop)
        if len(self.servers) >= self.max_servers:
            self.user.transaction_limit_reached(now, message, hop)
            return
        server = ServerTransaction(key, message, response_hop(via, hop))
        self.servers[key] = server
        self.user.request_received(now, server, message)

    def _ack(self, now: int, server: ServerTransaction, message: Message, hop: Hop) -> None:
        if server.state == TransactionState.COMPLETED:
            server.state = TransactionState.CONFIRMED
            server.timer_ids.clear()
            self._set_timer(now + (self.t4 if server.hop.transport == "UDP" else 0), server, "end")
        elif server.state == TransactionState.ACCEPTED:
            self.user.ack_received(now, message, hop)

    def _server_timer(self, now: int, server: ServerTransaction, name: str) -> None:
        if name == "retransmit":  # Timer G
            self.transport.transmit(server.last_response, server.hop)
            server.retransmit_interval = min(2 * server.retransmit_interval, self.t2)
            self._set_timer(now + server.retransmit_interval, server, "retransmit")
        else:
            server.state = TransactionState.TERMINATED
            server.timer_ids.clear()
            self.servers.pop(server.key, None)
            if name == "ack_timeout":  # Timer H
                self.user.ack_timed_out(now, server)
            server.owner = None  # breaks the reference cycle, which only the garbage collector would free

    # --- responses ---

    def _response(self, now: int, message: Message, hop: Hop) -> None:
        try:
            via = top_via(message)
            _, method = message.cseq()
        except BadMessageError:
            return  # a bad response is dropped
        if (via.host, via.port) != self.sent_by:
            return  # section 18.1.2: not sent by this element
        client = self.clients.get((via.branch, method))
        if client is None:
            if method == "INVITE" and 200 <= message.status < 300:
                self.user.stray_response(now, message)
            return
        client.has_response = True
        if method == "INVITE":
            self._invite_response(now, client, message)
        elif client.state in (TransactionState.TRYING, TransactionState.PROCEEDING):
            if message.status < 200:
                client.state = TransactionState.PROCEEDING
                if "retransmit" in client.timer_ids:  # Timer E continues at T2
                    self._set_timer(now + self.t2, client, "retransmit")
                return
            self._finish(client, TransactionState.COMPLETED)
            self._set_timer(now + (self.t4 if client.hop.transport == "UDP" else 0), client, "end")
            self.user.response_received(now, client, message)

    def _invite_response(self, now: int, client: ClientTransaction, message: Message) -> None:
        status, state = message.status, client.state
        if status < 200:
            if state == TransactionState.CALLING:
                client.state = TransactionState.PROCEEDING
                client.timer_ids.clear()
                if client.cancelled:
                    self._send_cancel(now, client)
            if state in (TransactionState.CALLING, TransactionState.PROCEEDING):
                self.user.response_received(now, client, message)
        elif status < 300:
            if state in (TransactionState.CALLING, TransactionState.PROCEEDING):
                self._finish(client, TransactionState.ACCEPTED)
                client.encoded = b""
                self._set_timer(now + 64 * self.t1, client, "end")  # Timer M
                self.user.response_received(now, client, message)
            elif state == TransactionState.ACCEPTED:
                self.user.response_received(now, client, message)
            else:  # another branch of a fork accepted after the failure response
                self.user.stray_response(now, message)
        elif state in (TransactionState.CALLING, TransactionState.PROCEEDING):
            self._finish(client, TransactionState.COMPLETED)
            client.encoded = bytes(self._ack_of(client, message))
            self.transport.transmit(client.encoded, client.hop)
            self._set_timer(now + (self.timer_d if client.hop.transport == "UDP" else 0), client, "end")
            self.user.response_received(now, client, message)
        elif state == TransactionState.COMPLETED:
            self.transport.transmit(client.encoded, client.hop)

    def _ack_of(self, client: ClientTransaction, message: Message) -> Message:
        """The ACK of a failure response (section 17.1.1.3)."""
        request = client.request
        ack = Message("ACK", request.uri)
        ack.fields = [("Via", request.all("Via")[0])]
        ack.fields += [entry for entry in request.fields if entry[0] == "Route"]
        number, _ = request.cseq()
        ack.fields += [
            ("From", request.get("From")),
            ("To", message.get("To")),
            ("Call-ID", request.call_id),
            ("CSeq", f"{number} ACK"),
            ("Max-Forwards", "70"),
        ]
        return ack

    def _send_cancel(self, now: int, client: ClientTransaction) -> None:
        request = client.request
        number, _ = request.cseq()
        cancel = Message("CANCEL", request.uri)
        cancel.fields = [("Via", request.all("Via")[0])]
        cancel.fields += [entry for entry in request.fields if entry[0] == "Route"]
        cancel.fields += [
            ("From", request.get("From")),
            ("To", request.get("To")),
            ("Call-ID", request.call_id),
            ("CSeq", f"{number} CANCEL"),
            ("Max-Forwards", "70"),
        ]
        cancellation = ClientTransaction(client.branch, cancel, client.hop, None, now)
        cancellation.encoded = bytes(cancel)
        self._open(cancellation)
        if client.hop.transport == "UDP":
            cancellation.retransmit_interval = self.t1
            self._set_timer(now + self.t1, cancellation, "retransmit")
        self._set_timer(now + 64 * self.t1, cancellation, "timeout")
        self._set_timer(now + 64 * self.t1, client, "timeout")  # section 9.1: then the INVITE is considered cancelled
        self.transport.transmit(cancellation.encoded, client.hop)

    def _client_timer(self, now: int, client: ClientTransaction, name: str) -> None:
        if name == "retransmit":  # Timer A doubles, Timer E doubles up to T2
            self.transport.transmit(client.encoded, client.hop)
            client.retransmit_interval = (
                2 * client.retransmit_interval if client.method == "INVITE" else min(2 * client.retransmit_interval, self.t2)
            )
            self._set_timer(now + client.retransmit_interval, client, "retransmit")
        elif name == "timeout":  # Timer B or F
            self._fail(now, client, ClientFailure.TIMEOUT)
        else:
            self._close(client)
            client.owner = None  # breaks the reference cycle, which only the garbage collector would free

    def _fail(self, now: int, client: ClientTransaction, failure: ClientFailure) -> None:
        self._close(client)
        self.user.client_failed(now, client, failure)
        client.owner = None

    def _open(self, client: ClientTransaction) -> None:
        self.clients[client.branch, client.method] = client
        self.pending_by_hop.setdefault(client.hop[:3], {})[client] = None

    def _finish(self, client: ClientTransaction, state: TransactionState) -> None:
        """Enter a state after the final response: stop all timers and ignore later failures of the hop."""
        client.state = state
        client.timer_ids.clear()
        pending = self.pending_by_hop.get(client.hop[:3])
        if pending is not None:
            pending.pop(client, None)
            if not pending:
                del self.pending_by_hop[client.hop[:3]]

    def _close(self, client: ClientTransaction) -> None:
        self._finish(client, TransactionState.TERMINATED)
        if self.clients.get((client.branch, client.method)) is client:
            del self.clients[client.branch, client.method]

    def _set_timer(self, due_at: int, transaction: ClientTransaction | ServerTransaction, name: str) -> None:
        self.last_timer_id += 1
        transaction.timer_ids[name] = self.last_timer_id
        heappush(self.timers, (due_at, self.last_timer_id, transaction, name))
