"""The four transaction machines of RFC 3261 section 17, as RFC 6026 mends them, without I/O or clock.

One `Transactions` holds all that are open. It is told what happens (`received`, `hop_failed`, `due`), each time
with the time now in tenths of a millisecond, and acts through the two that it is handed at start: a `Wire`
that carries bytes, and a `User` (RFC 3261's TU). All due times are in one heap.
"""

from enum import IntEnum
from heapq import heappop, heappush
from typing import Any, NamedTuple, Protocol

from .fields import Via, tag_of, top_via
from .message import BadMessageError, Message, check_request, response

MAGIC_COOKIE = "z9hG4bK"
T1, T2, T4 = 5_000, 40_000, 50_000  # RFC 3261 table 4
TIMER_D = 320_000  # at least 32 s over datagrams


class Hop(NamedTuple):
    """Where a message goes to or came from; `conn` numbers a connection that is already there, else 0."""

    transport: str
    host: str
    port: int
    conn: int = 0


class TransactionState(IntEnum):
    """All states of the four machines; each machine uses some of them."""

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


class Wire(Protocol):
    def transmit(self, data: bytes, hop: Hop) -> None:
        """Send, now or soon. A failure comes back as `hop_failed`, never as an exception."""


class User(Protocol):
    def request_received(self, now: int, server: "ServerTransaction", message: Message) -> None:
        """A new request, ACK excepted; answer with `respond`."""

    def ack_received(self, now: int, message: Message, hop: Hop) -> None:
        """An ACK that belongs to no server transaction: the one of a 2xx."""

    def transaction_limit_reached(self, now: int, message: Message, hop: Hop) -> None:
        """A new request while no more transactions may be opened."""

    def response_received(self, now: int, client: "ClientTransaction", message: Message) -> None:
        """Any response but 100 and retransmissions; a 2xx to INVITE each time that it comes."""

    def stray_response(self, now: int, message: Message) -> None:
        """A 2xx to INVITE of which no transaction is known any more."""

    def client_failed(self, now: int, client: "ClientTransaction", how: ClientFailure) -> None:
        """A client transaction ended without a final response."""

    def ack_timed_out(self, now: int, server: "ServerTransaction") -> None:
        """An INVITE server transaction whose final answer was never acknowledged (Timer H)."""


class ClientTransaction:
    """A client transaction. `owner` is the user's own."""

    __slots__ = (
        "branch",
        "method",
        "request",
        "hop",
        "state",
        "owner",
        "gap",
        "seqs",
        "cancelled",
        "heard",
        "sent",
        "started",
        "data",
    )

    def __init__(self, branch: str, request: Message, hop: Hop, owner: Any, now: int) -> None:
        self.branch, self.method, self.request, self.hop, self.owner = branch, request.method, request, hop, owner
        self.state = TransactionState.CALLING if request.method == "INVITE" else TransactionState.TRYING
        self.gap = 0
        self.seqs: dict[str, int] = {}  # timer: the number of its entry in the heap that still counts
        self.cancelled = False
        self.heard = False  # any response came
        self.sent = False
        self.started = now
        self.data = b""


class ServerTransaction:
    """A server transaction."""

    __slots__ = ("key", "method", "request", "hop", "state", "owner", "gap", "seqs", "last", "acked")

    def __init__(self, key: tuple[str, str, str], request: Message, hop: Hop) -> None:
        self.key, self.method, self.request, self.hop = key, request.method, request, hop
        self.state = TransactionState.PROCEEDING if request.method == "INVITE" else TransactionState.TRYING
        self.owner: Any = None
        self.gap = 0
        self.seqs: dict[str, int] = {}
        self.last = b""
        self.acked = False


def answer_hop(via: Via, hop: Hop) -> Hop:
    """Where responses go (section 18.2.2, RFC 3581): the same connection, or where it is gone a new one to
    what Via names; the datagram's source."""
    if hop.transport != "UDP":
        return Hop(hop.transport, hop.host, via.port, hop.conn)
    return Hop("UDP", hop.host, hop.port if "rport" in via.params else via.port)


def record_source(message: Message, via: Via, hop: Hop) -> None:
    """Note the source in the topmost Via where it says something else (section 18.2.1, RFC 3581)."""
    if "rport" not in via.params and via.host == hop.host:
        return
    value = message.all("Via")[0]
    parts = [part for part in value.split(";") if part.partition("=")[0].strip().lower() not in ("rport", "received")]
    if "rport" in via.params:
        parts.append(f"rport={hop.port}")
    parts.append(f"received={hop.host}")
    message.replace_first("Via", ";".join(parts))


def server_key(message: Message, via: Via) -> tuple[str, str, str]:
    """Section 17.2.3: branch, sent-by and method, ACK under INVITE; without the magic cookie, what RFC 2543
    told requests apart by."""
    method = "INVITE" if message.method == "ACK" else message.method
    if via.branch.startswith(MAGIC_COOKIE):
        return via.branch, f"{via.host}:{via.port}", method
    number = message.get("CSeq").split(" ")[0]
    return (f"{message.call_id} {number} {tag_of(message.get('From'))} {message.uri}", f"{via.host}:{via.port}", method)


class Transactions:
    """`t1`, `t2` and `t4` in tenths of a millisecond; `most` bounds the server transactions kept open, and
    beyond it new requests are handed to `transaction_limit_reached` while retransmissions are still absorbed."""

    def __init__(
        self, user: User, wire: Wire, sent_by: tuple[str, int], t1: int = T1, t2: int = T2, t4: int = T4, most: int = 200_000
    ) -> None:
        self.user, self.wire, self.sent_by, self.most = user, wire, sent_by, most
        self.t1, self.t2, self.t4 = t1, t2, t4
        self.timer_d = TIMER_D * t1 // T1
        self.clients: dict[tuple[str, str], ClientTransaction] = {}
        self.servers: dict[tuple[str, str, str], ServerTransaction] = {}
        self.by_hop: dict[tuple[str, str, int], dict[ClientTransaction, None]] = {}  # those without a final response
        self.heap: list[tuple[int, int, ClientTransaction | ServerTransaction, str]] = []
        self.count = 0

    # --- what can happen ---

    def received(self, now: int, message: Message, hop: Hop) -> None:
        """A message as parsed. Raises BadMessageError for one that breaks the grammar that every
        transaction needs; `refuse` says what to answer."""
        if message.method:
            self._request(now, message, hop)
        else:
            self._response(now, message, hop)

    def hop_failed(self, now: int, hop: Hop, reset: bool) -> None:
        """Nothing can be sent to a hop, or its connection is gone (`reset`); its transactions end.
        Datagrams: only those that have heard nothing, since ICMP may speak of an older message."""
        for client in list(self.by_hop.get(hop[:3], ())):
            if hop.transport == "UDP" and client.heard:
                continue
            self._lost(now, client, ClientFailure.RESET if reset else ClientFailure.UNREACHABLE)

    def due(self, now: int) -> None:
        """Fire all timers up to now."""
        heap = self.heap
        while heap and heap[0][0] <= now:
            _, seq, txn, name = heappop(heap)
            if txn.seqs.get(name) == seq:
                del txn.seqs[name]
                if type(txn) is ClientTransaction:
                    self._client_timer(now, txn, name)
                else:
                    self._server_timer(now, txn, name)

    def next_due(self) -> int | None:
        heap = self.heap
        while heap and heap[0][2].seqs.get(heap[0][3]) != heap[0][1]:
            heappop(heap)
        return heap[0][0] if heap else None

    # --- what the user asks for ---

    def request(self, now: int, message: Message, hop: Hop, branch: str, owner: Any = None) -> ClientTransaction:
        """Open a client transaction. The message gets its Via here; its other fields are the user's."""
        host, port = self.sent_by
        message.push("Via", f"SIP/2.0/{hop.transport} {host}:{port};branch={branch};rport")
        client = ClientTransaction(branch, message, hop, owner, now)
        client.data = bytes(message)
        self._open(client)
        if hop.transport == "UDP":
            client.gap = self.t1
            self._set(now + self.t1, client, "again")
        self._set(now + 64 * self.t1, client, "timeout")
        self.wire.transmit(client.data, hop)
        return client

    def respond(self, now: int, server: ServerTransaction, message: Message) -> None:
        """Send a response on a server transaction, as its machine allows; others are dropped."""
        state, status = server.state, message.status
        if server.method == "INVITE":
            if state == TransactionState.PROCEEDING:
                server.last = bytes(message)
                self.wire.transmit(server.last, server.hop)
                if status >= 300:
                    server.state = TransactionState.COMPLETED
                    if server.hop.transport == "UDP":
                        server.gap = self.t1
                        self._set(now + self.t1, server, "again")
                    self._set(now + 64 * self.t1, server, "unacked")
                elif status >= 200:
                    server.state = TransactionState.ACCEPTED
                    server.last = b""
                    self._set(now + 64 * self.t1, server, "end")  # Timer L
            elif state == TransactionState.ACCEPTED and 200 <= status < 300:
                self.wire.transmit(bytes(message), server.hop)
        elif state in (TransactionState.TRYING, TransactionState.PROCEEDING):
            server.last = bytes(message)
            self.wire.transmit(server.last, server.hop)
            server.state = TransactionState.PROCEEDING
            if status >= 200:
                server.state = TransactionState.COMPLETED
                server.request = None
                self._set(now + (64 * self.t1 if server.hop.transport == "UDP" else 0), server, "end")

    def cancel(self, now: int, client: ClientTransaction) -> None:
        """Give an INVITE up (section 9.1). Without a provisional response CANCEL has to wait for one;
        the INVITE is not sent again meanwhile."""
        if client.cancelled or client.state not in (TransactionState.CALLING, TransactionState.PROCEEDING):
            return
        client.cancelled = True
        if client.state == TransactionState.CALLING:
            client.seqs.pop("again", None)
        else:
            self._send_cancel(now, client)

    def respond_statelessly(
        self, message: Message, status: int, tag: str, hop: Hop, fields: list[tuple[str, str]] | None = None
    ) -> None:
        """Answer a request without keeping anything (section 8.2.7); the same request must get the same tag."""
        if message.method == "ACK":
            return
        try:
            via = top_via(message)
        except BadMessageError:
            return
        self.wire.transmit(bytes(response(message, status, tag, fields or ())), answer_hop(via, hop))

    # --- requests ---

    def _request(self, now: int, message: Message, hop: Hop) -> None:
        check_request(message)
        via = top_via(message)
        key = server_key(message, via)
        server = self.servers.get(key)
        if server is not None:
            if message.method == "ACK":
                self._ack(now, server, message, hop)
            elif server.state in (TransactionState.PROCEEDING, TransactionState.COMPLETED) and server.last:
                self.wire.transmit(server.last, server.hop)  # a retransmission
            return
        if message.method == "ACK":
            self.user.ack_received(now, message, hop)
            return
        record_source(message, via, hop)
        if len(self.servers) >= self.most:
            self.user.transaction_limit_reached(now, message, hop)
            return
        server = ServerTransaction(key, message, answer_hop(via, hop))
        self.servers[key] = server
        self.user.request_received(now, server, message)

    def _ack(self, now: int, server: ServerTransaction, message: Message, hop: Hop) -> None:
        if server.state == TransactionState.COMPLETED:
            server.state = TransactionState.CONFIRMED
            server.seqs.clear()
            self._set(now + (self.t4 if server.hop.transport == "UDP" else 0), server, "end")
        elif server.state == TransactionState.ACCEPTED:
            self.user.ack_received(now, message, hop)

    def _server_timer(self, now: int, server: ServerTransaction, name: str) -> None:
        if name == "again":  # Timer G
            self.wire.transmit(server.last, server.hop)
            server.gap = min(2 * server.gap, self.t2)
            self._set(now + server.gap, server, "again")
        else:
            server.state = TransactionState.TERMINATED
            server.seqs.clear()
            self.servers.pop(server.key, None)
            if name == "unacked":  # Timer H
                self.user.ack_timed_out(now, server)
            server.owner = None  # no rings: an owner that holds its server was found again by the collector alone

    # --- responses ---

    def _response(self, now: int, message: Message, hop: Hop) -> None:
        try:
            via = top_via(message)
            _, method = message.cseq()
        except BadMessageError:
            return  # no answer is due to a response
        if (via.host, via.port) != self.sent_by:
            return  # section 18.1.2: not ours
        client = self.clients.get((via.branch, method))
        if client is None:
            if method == "INVITE" and 200 <= message.status < 300:
                self.user.stray_response(now, message)
            return
        client.heard = True
        if method == "INVITE":
            self._invite_response(now, client, message)
        elif client.state in (TransactionState.TRYING, TransactionState.PROCEEDING):
            if message.status < 200:
                client.state = TransactionState.PROCEEDING
                if "again" in client.seqs:  # Timer E goes on at T2
                    self._set(now + self.t2, client, "again")
                return
            self._final(client, TransactionState.COMPLETED)
            self._set(now + (self.t4 if client.hop.transport == "UDP" else 0), client, "end")
            self.user.response_received(now, client, message)

    def _invite_response(self, now: int, client: ClientTransaction, message: Message) -> None:
        status, state = message.status, client.state
        if status < 200:
            if state == TransactionState.CALLING:
                client.state = TransactionState.PROCEEDING
                client.seqs.clear()
                if client.cancelled:
                    self._send_cancel(now, client)
            if state in (TransactionState.CALLING, TransactionState.PROCEEDING):
                self.user.response_received(now, client, message)
        elif status < 300:
            if state in (TransactionState.CALLING, TransactionState.PROCEEDING):
                self._final(client, TransactionState.ACCEPTED)
                client.data = b""
                self._set(now + 64 * self.t1, client, "end")  # Timer M
                self.user.response_received(now, client, message)
            elif state == TransactionState.ACCEPTED:
                self.user.response_received(now, client, message)
            else:  # a fork that accepted after another had refused
                self.user.stray_response(now, message)
        elif state in (TransactionState.CALLING, TransactionState.PROCEEDING):
            self._final(client, TransactionState.COMPLETED)
            client.data = bytes(self._ack_of(client, message))
            self.wire.transmit(client.data, client.hop)
            self._set(now + (self.timer_d if client.hop.transport == "UDP" else 0), client, "end")
            self.user.response_received(now, client, message)
        elif state == TransactionState.COMPLETED:
            self.wire.transmit(client.data, client.hop)

    def _ack_of(self, client: ClientTransaction, message: Message) -> Message:
        """The ACK of a failure (section 17.1.1.3)."""
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
        called_off = ClientTransaction(client.branch, cancel, client.hop, None, now)
        called_off.data = bytes(cancel)
        self._open(called_off)
        if client.hop.transport == "UDP":
            called_off.gap = self.t1
            self._set(now + self.t1, called_off, "again")
        self._set(now + 64 * self.t1, called_off, "timeout")
        self._set(now + 64 * self.t1, client, "timeout")  # section 9.1: then the INVITE counts as cancelled
        self.wire.transmit(called_off.data, client.hop)

    def _client_timer(self, now: int, client: ClientTransaction, name: str) -> None:
        if name == "again":  # Timer A doubles, Timer E doubles up to T2
            self.wire.transmit(client.data, client.hop)
            client.gap = 2 * client.gap if client.method == "INVITE" else min(2 * client.gap, self.t2)
            self._set(now + client.gap, client, "again")
        elif name == "timeout":  # Timer B or F
            self._lost(now, client, ClientFailure.TIMEOUT)
        else:
            self._close(client)
            client.owner = None  # the owner holds the client: without a ring no collector has to look for it

    def _lost(self, now: int, client: ClientTransaction, how: ClientFailure) -> None:
        self._close(client)
        self.user.client_failed(now, client, how)
        client.owner = None

    def _open(self, client: ClientTransaction) -> None:
        self.clients[client.branch, client.method] = client
        self.by_hop.setdefault(client.hop[:3], {})[client] = None

    def _final(self, client: ClientTransaction, state: TransactionState) -> None:
        """A final response came, or none will: nothing that befalls its hop concerns it any more."""
        client.state = state
        client.seqs.clear()
        waiting = self.by_hop.get(client.hop[:3])
        if waiting is not None:
            waiting.pop(client, None)
            if not waiting:
                del self.by_hop[client.hop[:3]]

    def _close(self, client: ClientTransaction) -> None:
        self._final(client, TransactionState.TERMINATED)
        if self.clients.get((client.branch, client.method)) is client:
            del self.clients[client.branch, client.method]

    def _set(self, when: int, txn: ClientTransaction | ServerTransaction, name: str) -> None:
        self.count += 1
        txn.seqs[name] = self.count
        heappush(self.heap, (when, self.count, txn, name))
