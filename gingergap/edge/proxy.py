"""The signalling proxy without sockets: a stateful proxy (RFC 3261 section 16) with the decision module as its router.

Each event enters through one public method with the current time in tenths of a millisecond; no method blocks. The proxy
is the `TransactionUser` of its transactions and the `Host` of one `CallController`.
"""

from collections import deque
from collections.abc import Callable
from hashlib import blake2s
from heapq import heappop, heappush
from typing import Any

import msgspec

from ..call_controller import CallController
from ..host import GwState, LegEnd, ListEntry, Rsn, TrafficType
from ..sip.dialogs import dialog_to_release, next_hop
from ..sip.fields import parse_address, parse_host_port, parse_seconds, parse_uri, parse_via, tag_of, top_via
from ..sip.message import BadMessageError, Message, response
from ..sip.transactions import MAGIC_COOKIE, ClientFailure, ClientTransaction, Hop, ServerTransaction, Transactions, Transport
from ..store.audit import DialogAudit
from ..store.proxy_state import ListedExchange, RestoredState, StateRecorder
from ..store.records import DialogRecord
from ..trace.instrumentation import TraceBuffer, answer_id, message_id, recording_controller
from ..trace.stored_names import stored_arguments
from . import sip_mapping
from .admission import AdmissionControl
from .calls import Call, ForwardedRequest, Leg, Probe, RestoredServer
from .circuits import CircuitCounts
from .numbering import NumberingPlan
from .subscriptions import NotificationUse, StateVersion, SubscribeAction, Subscription

SECOND = 10_000
LIST_EVENT, GROUPS_EVENT = "exchange-list", "trunk-groups"  # event packages of this system (RFC 6665 section 7.2)
MAX_PENDING_MESSAGES = 3  # unanswered messages per exchange; further ones are dropped, since a later one supersedes them
SWEEP_INTERVAL = SECOND // 4
MIN_RECORDED_DELAY = 100  # 10 ms; timers that run later by this are recorded in the trace
DUTY_FIELD = "Gingergap-Duty"


class ExchangeLine(msgspec.Struct):
    """One exchange in a notified list; `started` is wall time in seconds, 0 if unknown or long ago."""

    id: str
    number: int
    state: str
    started: float = 0.0
    address: str = ""
    transport: str = "UDP"


class GroupLine(msgspec.Struct):
    """One trunk group of the own exchange in a notification: its circuits to exchange `number`."""

    number: int
    free: int
    size: int


class ListBody(msgspec.Struct):
    """The body of a notification of the exchange list."""

    version: int
    state: str
    epoch: str
    exchanges: list[ExchangeLine]


class GroupsBody(msgspec.Struct):
    """The body of a notification of the own exchange's trunk groups."""

    version: int
    state: str
    epoch: str
    groups: list[GroupLine]


LIST_DECODER, GROUPS_DECODER = msgspec.json.Decoder(ListBody), msgspec.json.Decoder(GroupsBody)
STATES = {"gone": GwState.GONE, "draining": GwState.DRAINING, "ready": GwState.READY}


class Subscriber:
    """The SIP dialog of one subscription, whose state machine is `subscription`."""

    def __init__(self, event: str, duration: int) -> None:
        self.event = event
        self.subscription = Subscription(duration, 2 * SECOND)
        self.call_id = self.tag = self.to = ""
        self.cseq = 0
        self.client: ClientTransaction | None = None
        self.retry_at: int | None = None


class EdgeProxy:
    """The proxy of one exchange.

    `address` is its own host and port. `exchanges` holds (number, id, address) of the exchanges known at start.
    `types_by_priority` maps Resource-Priority values to indices in `traffic_types`, `circuits_by_type` has the circuits
    of each type. `wall_time` is the wall time at `now` in seconds, used to convert the start times of exchanges.
    `random_text(length)` returns unguessable text. `default_expires` is in seconds; all other times are in tenths of a
    millisecond. The arguments from `release_guard` to `overload_span` are passed to the `CallController`; with a `trace_buffer`
    its events and actions are recorded, with a `state_recorder` what has to survive a restart is collected.

    A `gw` is the index of an exchange machine, as in `Host`.
    """

    def __init__(
        self,
        transport: Transport,
        now: int,
        wall_time: float,
        random_text: Any,
        log: Any,
        *,
        address: tuple[str, int],
        domain: str,
        own_exchange: int,
        seed: int,
        exchanges: list[tuple[int, str, tuple[str, int]]],
        exchange_list: tuple[str, int] | None,
        traffic_types: list[TrafficType],
        types_by_priority: dict[str, int],
        circuits_by_type: list[int],
        numbering: NumberingPlan,
        admission: AdmissionControl,
        default_expires: int,
        max_transactions: int,
        t1: int,
        release_guard: int,
        max_legs: int,
        max_hold_off: int,
        messages_peers: bool,
        cold_share: float,
        warm_after: int,
        overload_factor: float,
        overload_span: int,
        trace_buffer: TraceBuffer | None = None,
        state_recorder: StateRecorder | None = None,
        restored_state: RestoredState | None = None,
    ) -> None:
        self.transport, self.log, self.random_text = transport, log, random_text
        self.address, self.domain, self.own_exchange = address, domain, own_exchange
        self.trace_buffer, self.state_recorder = trace_buffer, state_recorder
        self.audit = DialogAudit()
        self.traffic_types, self.types_by_priority, self.circuits_by_type = traffic_types, types_by_priority, circuits_by_type
        self.numbering, self.admission, self.default_expires = numbering, admission, default_expires
        self.now, self.wall_time_at_start, self.started_at = now, wall_time, now
        self.transactions = Transactions(self, transport, address, t1=t1, t2=8 * t1, t4=10 * t1, max_servers=max_transactions)
        self.run_id = random_text(6)
        self.serial = 0  # of legs and branches
        self.uri = f"sip:{address[0]}:{address[1]}"
        self.calls: dict[int, Call] = {}
        self.calls_by_key: dict[tuple[str, str], Call] = {}
        self.next_call_index = 0
        self.open_dialogs = 0  # without a final response
        self.released_answers: dict[tuple[str, str], int] = {}  # unwanted 2xx whose BYE was sent: dialog key to expiry time
        self.circuits = CircuitCounts()
        self.leg_timers: list[tuple[int, int, int]] = []  # (due at, serial of the leg, dialog): the leg itself may have ended
        self.ended_legs: deque[tuple[Leg, LegEnd, int]] = deque()
        self.next_tick_at: int | None = None
        self.next_sweep_at = now + SWEEP_INTERVAL
        self.counts: dict[str, int] = {}  # shown to operators
        self.exchange_ids: list[str] = []  # by gw
        self.gw_by_id: dict[str, int] = {}
        self.exchange_numbers: list[int] = []  # by gw
        self.hops: list[Hop | None] = []  # by gw
        self.local_starts: dict[tuple[int, float], int] = {}  # (gw, start in wall time) to time of the own clock
        self.pending_messages: dict[int, int] = {}  # unanswered messages by gw
        self.list_address = exchange_list
        self.subscribers = {LIST_EVENT: Subscriber(LIST_EVENT, 60 * SECOND), GROUPS_EVENT: Subscriber(GROUPS_EVENT, 20 * SECOND)}
        controller_arguments = {
            "release_guard": release_guard,
            "max_legs": max_legs,
            "max_hold_off": max_hold_off,
            "can_cancel_legs": True,
            "must_subscribe": exchange_list is not None,
            "can_message_peers": messages_peers,
            "has_route_advice": False,
            "cold_share": cold_share,
            "warm_after": warm_after,
            "overload_factor": overload_factor,
            "overload_span": overload_span,
        }
        self.controller_arguments = {
            **stored_arguments(controller_arguments),
            "seed": seed,
            "here": own_exchange,
            "proxies": len(exchanges),
            "types": [[*entry[:5], None if entry.pools is None else sorted(entry.pools)] for entry in traffic_types],
        }
        if trace_buffer is None:
            self.controller = CallController(self, seed, own_exchange, len(exchanges), traffic_types, **controller_arguments)
        else:
            self.controller = recording_controller(
                trace_buffer, self, seed, own_exchange, len(exchanges), traffic_types, **controller_arguments
            )
        configured = []
        for number, name, (host, port) in exchanges:
            gw = self._gw_of(name, number)
            self.hops[gw] = Hop("UDP", host, port)
            if state_recorder is not None:
                state_recorder.exchange_configured(name, number, f"{host}:{port}", "UDP")
            configured.append(ListEntry(gw, number, GwState.READY, 0))
        self.controller.exchange_list_received(now, configured, True)
        if restored_state is not None:
            self._restore(now, restored_state)
        self.controller.start(now)
        self._perform_action(now, self.subscribers[GROUPS_EVENT], self.subscribers[GROUPS_EVENT].subscription.start(now))

    # --- events of the process: messages and time ------------------------------------------------------

    def got(self, now: int, message: Message, hop: Hop) -> None:
        self.now = now
        try:
            self.transactions.received(now, message, hop)
        except BadMessageError as bad:
            self.got_bad(now, bad, hop)
        self._report_ended_legs(now)

    def got_bad(self, now: int, bad: BadMessageError, hop: Hop) -> None:
        """An unusable message: answered if RFC 3261 defines a status and the response can be addressed."""
        self.now = now
        self._count("bad message")
        message = bad.message
        self.log.debug("bad-message", why=str(bad), peer=f"{hop.host}:{hop.port}", status=bad.status)
        if message is not None and message.method and bad.status:
            self.transactions.respond_statelessly(
                message, bad.status, self._stable_tag(message), hop, [("Warning", f'399 {self.domain} "{_quotable(str(bad))}"')]
            )

    def hop_failed(self, now: int, hop: Hop, reset: bool) -> None:
        self.now = now
        self.transactions.hop_failed(now, hop, reset)
        self._report_ended_legs(now)

    def due(self, now: int) -> None:
        """Run everything that is due by now."""
        self.now = now
        self.transactions.fire_timers(now)
        self._report_ended_legs(now)
        while self.leg_timers and self.leg_timers[0][0] <= now:
            _, serial, dialog = heappop(self.leg_timers)
            call = self.calls.get(dialog)
            if call is not None and call.leg is not None and call.leg.serial == serial and not call.established:
                self._abandon_leg(now, call.leg, LegEnd.NO_ANSWER)
        self._report_ended_legs(now)
        if self.next_tick_at is not None and now >= self.next_tick_at:
            self.next_tick_at = None
            self.controller.tick(now)
            self._report_ended_legs(now)
        if now >= self.next_sweep_at:
            self.next_sweep_at = now + SWEEP_INTERVAL
            while self.released_answers and next(iter(self.released_answers.values())) <= now:
                del self.released_answers[next(iter(self.released_answers))]
            for number, free, size in self.circuits.expire_doubts(now):
                self._apply_group(now, number, free, size)
        for subscriber in self.subscribers.values():
            if subscriber.retry_at is not None and now >= subscriber.retry_at:
                subscriber.retry_at = None
                self._perform_action(now, subscriber, subscriber.subscription.start(now))
            self._perform_action(now, subscriber, subscriber.subscription.next_action(now))

    def _report_ended_legs(self, now: int) -> None:
        """Report ended legs to the controller, outside of its own calls to the host."""
        while self.ended_legs:
            leg, leg_end, rsn = self.ended_legs.popleft()
            self._finish_leg(now, leg, leg_end, rsn)

    # --- events of the transactions ----------------------------------------------------------------------

    def request_received(self, now: int, server: ServerTransaction, message: Message) -> None:
        method = message.method
        if method == "INVITE" and not tag_of(message.get("To")):
            self._handle_invite(now, server, message)
        elif method == "CANCEL":
            self._handle_cancel(now, server, message)
        elif method == "NOTIFY":
            self._handle_notify(now, server, message)
        elif tag_of(message.get("To")):
            self._forward_in_dialog(now, server, message)
        elif method == "OPTIONS":
            if self.admission.draining:
                self._answer(now, server, 503, [("Retry-After", "5")])
            else:
                self._answer(
                    now,
                    server,
                    200,
                    [
                        ("Allow", "INVITE, ACK, CANCEL, BYE, OPTIONS, MESSAGE, NOTIFY"),
                        ("Accept", "application/sdp, application/octet-stream"),
                    ],
                )
        elif method == "MESSAGE":
            self._handle_peer_message(now, server, message)
        elif method == "BYE":
            self._answer(now, server, 481)
        else:
            self._answer(now, server, 405, [("Allow", "INVITE, ACK, CANCEL, BYE, OPTIONS, MESSAGE, NOTIFY")])

    def ack_received(self, now: int, message: Message, hop: Hop) -> None:
        """The ACK of a 2xx is end to end and forwarded statelessly (section 16.11)."""
        try:
            forwarded = self._prepare_forwarding(message)
            next_hop(forwarded)
        except BadMessageError:
            return  # an ACK has no response
        branch = MAGIC_COOKIE + "a" + blake2s(top_via(message).branch.encode(errors="replace"), digest_size=10).hexdigest()
        if not self._is_addressed_here(forwarded):
            self._send_stateless(forwarded, branch)

    def transaction_limit_reached(self, now: int, message: Message, hop: Hop) -> None:
        self._count("transactions full")
        self.transactions.respond_statelessly(message, 503, self._stable_tag(message), hop, [("Retry-After", "1")])

    def response_received(self, now: int, client: ClientTransaction, message: Message) -> None:
        owner = client.owner
        if type(owner) is Leg:
            self._handle_leg_response(now, owner, message)
        elif type(owner) is ForwardedRequest:
            if message.status > 100:
                message.pop_first("Via")
                self.transactions.respond(now, owner.server, message)
        elif type(owner) is Subscriber:
            self._handle_subscribe_response(now, owner, client, message)
        elif type(owner) is Probe:
            owner.on_answer(message)
        elif type(owner) is int:
            self.pending_messages[owner] -= 1

    def stray_response(self, now: int, message: Message) -> None:
        call = self.calls_by_key.get((message.call_id, tag_of(message.get("From"))))
        if call is not None and call.leg is not None and call.leg.tag == tag_of(message.get("To")):
            self._forward_response(message)  # a dialog from before this process started, whose ACK was lost
        else:
            self._release_answer(now, message)

    def client_failed(self, now: int, client: ClientTransaction, failure: ClientFailure) -> None:
        owner = client.owner
        if type(owner) is Leg:
            if owner.finished:
                if failure == ClientFailure.RESET and owner.given_up and not owner.call.answered:
                    self.controller.leg_cut_late(now, owner.call.index)
                return
            end = {
                ClientFailure.TIMEOUT: LegEnd.NO_ANSWER,
                ClientFailure.UNREACHABLE: LegEnd.UNREACHABLE,
                ClientFailure.RESET: LegEnd.CUT,
            }[failure]
            self.ended_legs.append((owner, end, 0))
        elif type(owner) is ForwardedRequest:
            self._answer(now, owner.server, 408 if failure == ClientFailure.TIMEOUT else 503)
        elif type(owner) is Subscriber:
            if client is owner.client:
                self._perform_action(now, owner, owner.subscription.ended(now))
        elif type(owner) is Probe:
            owner.on_answer(None)
        elif type(owner) is int:
            self.pending_messages[owner] -= 1

    def ack_timed_out(self, now: int, server: ServerTransaction) -> None:
        self._count("answer never acknowledged")

    # --- new dialogs -------------------------------------------------------------------------------------

    def _handle_invite(self, now: int, server: ServerTransaction, message: Message) -> None:
        try:
            dialog_params = sip_mapping.parse_dialog_params(message)
            expires_in = sip_mapping.caller_time_left(message, dialog_params, self.default_expires)
            number = parse_uri(message.uri).user
            hops_left = self._hops_left(message)
            vias = [parse_via(value) for value in message.all("Via")[1:]]
            contact = message.get("Contact")
            if not contact:
                raise BadMessageError("Contact is missing")
            parse_uri(parse_address(message.all("Contact")[0])[0])
        except BadMessageError as bad:
            self._answer(now, server, bad.status or 400, [("Warning", f'399 {self.domain} "{_quotable(str(bad))}"')])
            return
        key = message.call_id, tag_of(message.get("From"))
        if hops_left <= 0:
            self._answer(now, server, 483)
            return
        if key in self.calls_by_key or any((via.host, via.port) == self.address for via in vias):
            self._answer(now, server, 482)  # a loop, or received by two paths (sections 16.3 and 8.2.2.2)
            return
        if message.has("Proxy-Require"):
            self._answer(now, server, 420, [("Unsupported", ", ".join(message.all("Proxy-Require")))])
            return
        destination = self.numbering.exchange_of(number)
        if destination < 0:
            self._answer(now, server, 404, [sip_mapping.q850_reason(1)])
            return
        traffic_type = sip_mapping.traffic_type_of(message, self.types_by_priority)
        retry_after = self.admission.retry_after(traffic_type, self.open_dialogs)
        if retry_after:
            self._count("turned away at the door")
            self._note("dialog_rejected", traffic_type, int(self.admission.lag), self.open_dialogs)
            self._answer(now, server, 503, [("Retry-After", str(retry_after)), sip_mapping.q850_reason(sip_mapping.CONGESTION)])
            return
        call = Call(
            self.next_call_index,
            server,
            message,
            traffic_type,
            self.circuits_by_type[traffic_type],
            destination,
            key,
            dialog_params.transit,
            dialog_params.redialled,
            now,
            number,
        )
        if dialog_params.transit:
            self._trace_arrival(call, message)
        self.next_call_index += 1
        server.owner = call
        self.calls[call.index] = self.calls_by_key[key] = call
        self.open_dialogs += 1
        self._count("dialogs")
        self.transactions.respond(now, server, response(message, 100))
        self.controller.dialog_received(
            now,
            call.index,
            traffic_type,
            destination,
            call.width,
            number,
            expires_in,
            dialog_params.transit,
            dialog_params.redialled,
            dialog_params.cut,
        )

    def _handle_cancel(self, now: int, server: ServerTransaction, message: Message) -> None:
        branch, sent_by, _ = server.key
        invited = self.transactions.servers.get((branch, sent_by, "INVITE"))
        if invited is None:
            self._answer(now, server, 481)
            return
        self._answer(now, server, 200)
        owner = invited.owner
        if type(owner) is ForwardedRequest and owner.client is not None:
            self.transactions.cancel(now, owner.client)
        elif type(owner) is Call and not owner.answered:
            # Answered at once: a pending leg is cancelled and, if its 2xx crosses the CANCEL, released.
            self._send_final(now, owner, 487, [])
            self._count("given up by callers")
            self.controller.dialog_cancelled(now, owner.index)
            if owner.leg is not None:
                self._abandon_leg(now, owner.leg, LegEnd.CANCELLED)
            else:
                self._forget(owner)

    # --- actions of the controller -----------------------------------------------------------------------

    def send_leg(self, dialog: int, gw: int, limit: int) -> None:
        call, now = self.calls[dialog], self.now
        self.serial += 1
        leg = Leg(call, gw, self.exchange_numbers[gw], call.leg_count, self.serial, now)
        call.leg_count += 1
        call.leg = leg
        hop = self.hops[gw]
        if hop is None or call.invite is None:
            self.ended_legs.append((leg, LegEnd.NOT_SENT, 0))
            return
        invite = self._leg_invite(call, leg, hop, limit)
        self._count("legs")
        self.circuits.leg_sent(leg.exchange, leg.serial, call.width)
        branch = self._branch()
        leg.client = self.transactions.request(now, invite, hop, branch, leg)
        if leg.exchange != call.destination:
            leg.trace_id = message_id(branch)
            self._note("sent", leg.trace_id, dialog)
        heappush(self.leg_timers, (now + limit, leg.serial, call.index))

    def cancel_leg(self, dialog: int, leg: int) -> None:
        call = self.calls.get(dialog)
        if call is not None and call.leg is not None and call.leg.index == leg:
            self._count("legs called off")
            self._abandon_leg(self.now, call.leg, LegEnd.CANCELLED)

    def decline(self, dialog: int, hold_off: int) -> None:
        call = self.calls[dialog]
        self._count("declined")
        if call.trace_id:
            self._note("sent", answer_id(call.trace_id), dialog)
        self._send_final(self.now, call, *sip_mapping.decline_response(call.transit, call.leg_end, call.rsn, hold_off))
        if call.leg is None:
            self._forget(call)

    def abort(self, dialog: int) -> None:
        call = self.calls[dialog]
        self._count("aborted")
        self._send_final(self.now, call, *sip_mapping.abort_response())
        if call.leg is None:
            self._forget(call)

    def schedule_tick(self, delay: int) -> None:
        self.next_tick_at = self.now + delay

    def send_to_peers(self, payload: bytes) -> None:
        for gw, number in enumerate(self.exchange_numbers):
            hop = self.hops[gw]
            exchange = self.controller.exchange_by_number.get(number)
            if (
                number == self.own_exchange
                or hop is None
                or exchange is None
                or exchange.gw != gw
                or not exchange.ready
                or self.pending_messages.get(gw, 0) >= MAX_PENDING_MESSAGES
            ):
                continue
            message = Message("MESSAGE", f"sip:proxy@{hop.host}:{hop.port}", body=payload)
            message.fields = [
                ("From", f"<{self.uri}>;tag={self.random_text(8)}"),
                ("To", f"<{message.uri}>"),
                ("Call-ID", self.random_text(16)),
                ("CSeq", "1 MESSAGE"),
                ("Max-Forwards", "10"),
                ("Content-Type", "application/octet-stream"),
            ]
            self.pending_messages[gw] = self.pending_messages.get(gw, 0) + 1
            self._note("sent", message_id(message.call_id), -1)
            self.transactions.request(self.now, message, hop, self._branch(), gw)

    def subscribe(self) -> None:
        subscriber = self.subscribers[LIST_EVENT]
        self._perform_action(self.now, subscriber, subscriber.subscription.start(self.now))

    # --- legs --------------------------------------------------------------------------------------------

    def _leg_invite(self, call: Call, leg: Leg, hop: Hop, limit: int) -> Message:
        """The INVITE of a leg (section 16.6), with the trunk group that the leg takes (RFC 4904)."""
        invite = call.invite.copy()
        via_tandem = leg.exchange != call.destination
        outgoing = ";transport=tcp" if hop.transport == "TCP" else ""
        invite.uri = (
            f"sip:{call.number};tgrp=g{self.own_exchange}-{leg.exchange};trunk-context="
            f"{self.domain}@{hop.host}:{hop.port}{outgoing}"
        )
        self._strip_routes(invite)
        invite.put("Max-Forwards", str(self._hops_left(invite) - 1))
        incoming = ";transport=tcp" if call.server.hop.transport == "TCP" else ""
        if incoming != outgoing:  # RFC 5658: each side gets a Record-Route with its own transport
            invite.push("Record-Route", f"<{self.uri}{incoming};lr>")
        invite.push("Record-Route", f"<{self.uri}{outgoing};lr>")
        invite.put("Expires", str(max(1, -(-limit // SECOND))))
        invite.put(sip_mapping.DIALOG_FIELD, sip_mapping.format_dialog_params(call.redialled, False, via_tandem, limit // 10))
        return invite

    def _handle_leg_response(self, now: int, leg: Leg, message: Message) -> None:
        call, status = leg.call, message.status
        self.circuits.leg_reported(leg.exchange, leg.serial)
        if status < 200:
            if status > 100 and not call.answered and not leg.finished:
                message.pop_first("Via")
                self.transactions.respond(now, call.server, message)
            return
        if status < 300:
            tag = tag_of(message.get("To"))
            if leg.tag and tag == leg.tag:  # retransmitted because its ACK was lost
                message.pop_first("Via")
                self.transactions.respond(now, call.server, message)
                return
            if leg.finished or leg.given_up or call.answered:
                self._release_answer(now, message)  # too late, or from another branch of a fork
                return
            if not message.has("Contact"):
                self.ended_legs.append((leg, LegEnd.BUSY, 0))  # without Contact no request in the dialog could be routed
                return
            message.pop_first("Via")
            leg.tag = tag
            call.established = call.answered = True
            self.open_dialogs -= 1
            self._count("stand")
            self.transactions.respond(now, call.server, message)
            if self.state_recorder is not None:
                self.state_recorder.dialog_established(
                    *call.key,
                    DialogRecord(
                        call.traffic_type,
                        call.width,
                        call.destination,
                        self.exchange_ids[leg.gw],
                        leg.exchange,
                        self._wall_time(call.arrived_at),
                        call.transit,
                        tag,
                    ),
                )
            call.invite = None
            call.number = ""
            leg.client.request = call.server.request = None
            if leg.trace_id:
                self._note("received", answer_id(leg.trace_id), call.index)
            if call.trace_id:
                self._note("sent", answer_id(call.trace_id), call.index)
            self.controller.dialog_established(now, call.index, now - leg.sent_at)
            return
        if not leg.finished:
            self.ended_legs.append((leg, *sip_mapping.leg_end_of(message, leg.exchange != call.destination)))

    def _abandon_leg(self, now: int, leg: Leg, leg_end: LegEnd) -> None:
        """Stop waiting for a leg: cancel it and report its end."""
        if leg.finished or leg.given_up:
            return
        leg.given_up = True
        if leg.client is not None:
            self.transactions.cancel(now, leg.client)
        self.ended_legs.append((leg, leg_end, 0))

    def _finish_leg(self, now: int, leg: Leg, leg_end: LegEnd, rsn: int) -> None:
        if leg.finished:
            return
        call = leg.call
        leg.finished = True
        call.leg = None
        call.leg_end, call.rsn = leg_end, rsn
        self.circuits.leg_reported(leg.exchange, leg.serial)
        if leg_end == LegEnd.FULL and rsn == Rsn.NO_CIRCUIT:
            self.circuits.group_refused(now, leg.exchange, call.width)
        self._count(f"legs ended {leg_end.name.lower()}")
        answered = call.answered
        if leg.trace_id and rsn == Rsn.TANDEM_DECLINED:  # a cause that only the tandem's proxy gives
            self._note("received", answer_id(leg.trace_id), call.index)
        if answered:
            self._forget(call)
        if type(call.server) is RestoredServer:  # restored from the store, unknown to the controller
            self.audit.dialog_ended(leg.exchange, call.index)
            return
        self.controller.leg_ended(now, call.index, leg.gw, leg_end, rsn, answered, *self.circuits.count(leg.exchange))

    def _send_final(self, now: int, call: Call, status: int, fields: list[tuple[str, str]]) -> None:
        call.answered = True
        self.open_dialogs -= 1
        self._answer(now, call.server, status, fields)

    def _forget(self, call: Call) -> None:
        if call.established and self.calls.pop(call.index, None) is not None and self.state_recorder is not None:
            self.state_recorder.dialog_ended(*call.key)
        self.calls.pop(call.index, None)
        if self.calls_by_key.get(call.key) is call:
            del self.calls_by_key[call.key]
        call.server.owner = None

    def _release_answer(self, now: int, answer: Message) -> None:
        """Release a leg whose 2xx is not wanted: ACK each copy of the 2xx, send BYE once."""
        self._count("late answers released")
        try:
            dialog = dialog_to_release(answer, self.address)
            ack = dialog.request("ACK")
            key = dialog.call_id, tag_of(dialog.remote)
            self._send_stateless(ack, self._branch())
            if key not in self.released_answers:
                self.released_answers[key] = self.now + 64 * self.transactions.t1
                bye = dialog.request("BYE")
                bye.fields.append(sip_mapping.q850_reason(sip_mapping.NORMAL))
                self.transactions.request(now, bye, next_hop(bye), self._branch())
        except BadMessageError:
            self._count("late answers without a way back")

    # --- within dialogs ----------------------------------------------------------------------------------

    def _forward_in_dialog(self, now: int, server: ServerTransaction, message: Message) -> None:
        try:
            forwarded = self._prepare_forwarding(message)
            if self._is_addressed_here(forwarded):
                self._answer(now, server, 481)
                return
            hop = next_hop(forwarded)
        except BadMessageError as bad:
            self._answer(now, server, bad.status or 400)
            return
        forwarding = ForwardedRequest(server)
        server.owner = forwarding
        if message.method == "INVITE":
            self.transactions.respond(now, server, response(message, 100))
        forwarding.client = self.transactions.request(now, forwarded, hop, self._branch(), forwarding)
        if message.method == "BYE":
            self._handle_bye(now, message)

    def _handle_bye(self, now: int, message: Message) -> None:
        call_id = message.call_id
        by_caller = self.calls_by_key.get((call_id, tag_of(message.get("From"))))
        call = by_caller or self.calls_by_key.get((call_id, tag_of(message.get("To"))))
        if call is None or not call.established or call.leg is None:
            return  # the other end sent BYE first, or the dialog is older than this process
        self.ended_legs.append((call.leg, LegEnd.ENDED if by_caller else sip_mapping.release_end_of(message), 0))

    def _prepare_forwarding(self, message: Message) -> Message:
        """A request within a dialog as it is forwarded: without own Route values, Max-Forwards reduced by one."""
        hops_left = self._hops_left(message)
        if hops_left <= 0:
            raise BadMessageError("no hops are left", 483)
        forwarded = message.copy()
        self._strip_routes(forwarded)
        forwarded.put("Max-Forwards", str(hops_left - 1))
        return forwarded

    def _strip_routes(self, message: Message) -> None:
        while True:
            first = message.get("Route")
            if not first:
                return
            uri = parse_uri(parse_address(message.all("Route")[0])[0])
            if (uri.host, uri.port) != self.address:
                return
            message.pop_first("Route")

    def _is_addressed_here(self, message: Message) -> bool:
        if message.has("Route"):
            return False
        uri = parse_uri(message.uri)
        return (uri.host, uri.port) == self.address

    def _hops_left(self, message: Message) -> int:
        text = message.get("Max-Forwards", "70").strip()
        if not text.isascii() or not text.isdigit() or int(text) > 255:
            raise BadMessageError("Max-Forwards is not a number up to 255", 400, message)
        return int(text)

    # --- subscriptions: exchange list and trunk groups ---------------------------------------------------

    def _perform_action(self, now: int, subscriber: Subscriber, action: SubscribeAction) -> None:
        """Carry out what the subscription's state machine returned."""
        if action == SubscribeAction.NOTHING:
            return
        if action == SubscribeAction.FAILED:
            self.log.warning("subscription-failed", event_package=subscriber.event)
            self._count("subscriptions failed")
            if subscriber.event == LIST_EVENT:
                self.controller.exchange_list_failed(now)
            else:
                subscriber.retry_at = now + SECOND
            return
        hop = self._notifier_hop(subscriber)
        if hop is None:
            return
        if action == SubscribeAction.SUBSCRIBE:
            subscriber.call_id, subscriber.tag, subscriber.to, subscriber.cseq = self.random_text(16), self.random_text(8), "", 0
        subscriber.cseq += 1
        uri = f"sip:{subscriber.event}@{hop.host}:{hop.port}"
        message = Message("SUBSCRIBE", uri)
        message.fields = [
            ("From", f"<{self.uri}>;tag={subscriber.tag}"),
            ("To", subscriber.to or f"<{uri}>"),
            ("Call-ID", subscriber.call_id),
            ("CSeq", f"{subscriber.cseq} SUBSCRIBE"),
            ("Max-Forwards", "70"),
            ("Contact", f"<{self.uri}>"),
            ("Event", subscriber.event),
            ("Expires", str(subscriber.subscription.duration // SECOND)),
            ("Accept", "application/json"),
        ]
        subscriber.client = self.transactions.request(now, message, hop, self._branch(), subscriber)

    def _notifier_hop(self, subscriber: Subscriber) -> Hop | None:
        if subscriber.event == LIST_EVENT:
            return None if self.list_address is None else Hop("UDP", *self.list_address)
        exchange = self.controller.exchange_by_number.get(self.own_exchange)
        hop = self.hops[exchange.gw] if exchange is not None else None
        return None if hop is None else Hop("UDP", hop.host, hop.port)

    def _handle_subscribe_response(self, now: int, subscriber: Subscriber, client: ClientTransaction, message: Message) -> None:
        if client is not subscriber.client:
            return
        if message.status >= 300:
            self._perform_action(now, subscriber, subscriber.subscription.ended(now))
            return
        try:
            duration = parse_seconds(message, "Expires", subscriber.subscription.duration // SECOND) * SECOND
        except BadMessageError:
            duration = subscriber.subscription.duration
        subscriber.to = message.get("To")
        subscriber.subscription.granted(now, min(duration, subscriber.subscription.duration))

    def _handle_notify(self, now: int, server: ServerTransaction, message: Message) -> None:
        subscriber = self.subscribers.get(message.get("Event").partition(";")[0].strip())
        if subscriber is None:
            self._answer(now, server, 489)
            return
        if message.call_id != subscriber.call_id or tag_of(message.get("To")) != subscriber.tag:
            self._answer(now, server, 481)  # of an abandoned subscription
            return
        try:
            body = (
                (LIST_DECODER if subscriber.event == LIST_EVENT else GROUPS_DECODER).decode(message.body) if message.body else None
            )
        except (msgspec.DecodeError, RecursionError) as error:
            self._answer(now, server, 400, [("Warning", f'399 {self.domain} "{_quotable(str(error))}"')])
            return
        self._answer(now, server, 200)
        if body is not None:
            use = subscriber.subscription.notified(now, StateVersion(body.epoch, body.version, body.state == "full"))
            if use == NotificationUse.APPLY:
                if subscriber.event == LIST_EVENT:
                    self._apply_list(now, body)
                else:
                    self._apply_groups(now, body)
            elif use == NotificationUse.RESYNC:
                self.log.info("notification-gap", event_package=subscriber.event, version=body.version)
                self._count("notification gaps")
                self._perform_action(
                    now, subscriber, SubscribeAction.REFRESH if subscriber.to else subscriber.subscription.start(now)
                )
        if message.get("Subscription-State").partition(";")[0].strip() == "terminated":
            self._perform_action(now, subscriber, subscriber.subscription.ended(now))

    def _apply_list(self, now: int, body: ListBody) -> None:
        entries = []
        previous_machine = self._own_machine()
        for line in body.exchanges:
            gw = self._gw_of(line.id, line.number)
            state = STATES.get(line.state, GwState.GONE)
            hop = self.hops[gw]
            if line.address:
                try:
                    uri = parse_uri(f"sip:{line.address}")
                    hop = Hop("TCP" if line.transport.upper() == "TCP" else "UDP", uri.host, uri.port)
                except BadMessageError:
                    self.log.warning("list-address-unusable", exchange=line.id, address=line.address)
                    hop = None
            self.hops[gw] = hop
            if hop is None:
                state = GwState.GONE
            self.log.info("exchange-listed", exchange=line.id, number=line.number, state=line.state, started=line.started)
            if self.state_recorder is not None:
                self.state_recorder.exchange_listed(
                    line.id,
                    ListedExchange(
                        line.number,
                        int(state),
                        line.started,
                        self._wall_time(now),
                        "" if hop is None else f"{hop.host}:{hop.port}",
                        "UDP" if hop is None else hop.transport,
                    ),
                )
            entries.append(ListEntry(gw, line.number, state, self._local_start(now, gw, line.started)))
        self.controller.exchange_list_received(now, entries, body.state == "full")
        self._report_ended_legs(now)
        for gw, number in enumerate(self.exchange_numbers):  # a new machine of an exchange has the same trunk groups
            free, size = self.circuits.count(number)
            if size >= 0:
                self.controller.trunk_group_reported(now, gw, free, size)
        if self._own_machine() != previous_machine:  # a restarted machine has lost its subscriptions
            groups = self.subscribers[GROUPS_EVENT]
            self._perform_action(now, groups, groups.subscription.start(now))

    def _own_machine(self) -> tuple[int, int]:
        """The gw and start of the own exchange's machine; (-1, 0) if none is known."""
        exchange = self.controller.exchange_by_number.get(self.own_exchange)
        return (-1, 0) if exchange is None else (exchange.gw, exchange.started)

    def _local_start(self, now: int, gw: int, started: float) -> int:
        """A start in wall time as a time of the own clock, 0 if unknown.

        Each start is converted once: two conversions would differ slightly and look like two starts.
        """
        if started <= 0:
            return 0
        if (gw, started) not in self.local_starts:
            local = self.started_at + int((started - self.wall_time_at_start) * SECOND)
            self.local_starts[gw, started] = max(1, min(local, now))
        return self.local_starts[gw, started]

    def _apply_groups(self, now: int, body: GroupsBody) -> None:
        for line in body.groups:
            self._apply_group(now, line.number, *self.circuits.update(line.number, line.free, line.size))

    def _apply_group(self, now: int, number: int, free: int, size: int) -> None:
        for dialog in self.audit.group_reported(number, free, size):
            self._count("remembered dialogs that were over")
            self.drop_dialog(now, dialog)
        for gw, exchange_number in enumerate(self.exchange_numbers):
            if exchange_number == number and gw in self.controller.exchanges:
                self.controller.trunk_group_reported(now, gw, free, size)

    def _handle_peer_message(self, now: int, server: ServerTransaction, message: Message) -> None:
        """A message of another proxy; one that is too short is ignored."""
        self._answer(now, server, 200)
        if len(message.body) >= 3:
            self._note("received", message_id(message.call_id), -1)
            self.controller.peer_report_received(now, message.body)

    # --- state kept over restarts ------------------------------------------------------------------------

    def _restore(self, now: int, restored_state: RestoredState) -> None:
        """Restore what the previous process stored: the exchange list, learned figures, established dialogs."""
        entries = []
        for exchange_id, listed in restored_state.listed.items():
            if listed.state == GwState.GONE and exchange_id not in self.gw_by_id:
                continue  # a machine that is not configured and is gone
            gw = self._gw_of(exchange_id, listed.number)
            if listed.address:
                self.hops[gw] = Hop(listed.transport, *parse_host_port(listed.address))
            state = GwState(listed.state) if self.hops[gw] is not None else GwState.GONE
            entries.append(ListEntry(gw, listed.number, state, self._local_start(now, gw, listed.started)))
        self.controller.exchange_list_received(now, entries, False)
        gws = [self.gw_by_id.get(exchange_id, -1) for exchange_id in restored_state.exchange_ids]
        learned = restored_state.learned._replace(
            now=now,
            exchanges=[
                known._replace(
                    gw=gws[known.gw],
                    started=self._local_start(
                        now, gws[known.gw], restored_state.starts.get(restored_state.exchange_ids[known.gw], 0.0)
                    ),
                )
                for known in restored_state.learned.exchanges
                if gws[known.gw] >= 0
            ],
            pairs=[pair._replace(gw=gws[pair.gw]) for pair in restored_state.learned.pairs if gws[pair.gw] >= 0],
        )
        self.controller.restore(now, learned, restored_state.age)
        for (call_id, tag), record in restored_state.dialogs.items():
            self._restore_dialog(now, (call_id, tag), record)

    def _restore_dialog(self, now: int, key: tuple[str, str], record: DialogRecord) -> None:
        """Restore a dialog established before this process started.

        Its requests are routed by their Route fields; only its trunk group, circuits and start are needed here.
        """
        arrived = self.started_at + int((record.since - self.wall_time_at_start) * SECOND)
        call = Call(
            self.next_call_index,
            RestoredServer(),
            None,
            min(record.kind, len(self.traffic_types) - 1),
            record.width,
            record.far,
            key,
            record.transit,
            False,
            min(arrived, now),
            "",
        )
        self.next_call_index += 1
        self.serial += 1
        call.leg = Leg(call, self.gw_by_id.get(record.leg, -1), record.leg_number, 0, self.serial, now)
        call.leg.tag = record.to_tag
        call.leg_count = 1
        call.established = call.answered = True
        self.calls[call.index] = self.calls_by_key[key] = call
        self.audit.add(record.leg_number, record.since, call.index, record.width)
        self._count("remembered")

    def save_learned(self, now: int, max_callers: int) -> None:
        """Store what the decision module has learned, with at most `max_callers` callers."""
        self.state_recorder.record_learned(
            self._wall_time(now), self.controller.export_learned(now, max_callers), self.exchange_ids
        )
        self.state_recorder.drop_expired_exchanges(self._wall_time(now))

    def _wall_time(self, now: int) -> float:
        return self.wall_time_at_start + (now - self.started_at) / SECOND

    def _forward_response(self, message: Message) -> None:
        """Forward a response without a transaction to the next Via (section 16.11)."""
        message.pop_first("Via")
        try:
            via = top_via(message)
        except BadMessageError:
            return
        port = via.params.get("rport", "")
        self.transport.transmit(
            bytes(message), Hop(via.transport, via.params.get("received", via.host), int(port) if port.isdigit() else via.port)
        )

    # --- background work ----------------------------------------------------------------------------------

    def probe(self, now: int, hop: Hop, on_answer: Callable[[Message | None], None], duty: str) -> None:
        """Send OPTIONS to an exchange (RFC 3261 section 11) with the duty's fencing token in Gingergap-Duty."""
        self.now = now
        message = Message("OPTIONS", f"sip:{hop.host}:{hop.port}")
        message.fields = [
            ("From", f"<{self.uri}>;tag={self.random_text(8)}"),
            ("To", f"<{message.uri}>"),
            ("Call-ID", self.random_text(16)),
            ("CSeq", "1 OPTIONS"),
            ("Max-Forwards", "10"),
            (DUTY_FIELD, duty),
        ]
        self._count("probes")
        self.transactions.request(now, message, hop, self._branch(), Probe(on_answer))

    def list_version_seen(self, now: int, epoch: str, version: int) -> None:
        """Another proxy has this version of the exchange list: request the full list if ours is older."""
        subscriber = self.subscribers[LIST_EVENT]
        subscription = subscriber.subscription
        if subscription.active and subscription.epoch == epoch and subscription.version < version and not subscription.has_gap:
            self._count("list found old")
            self.now = now
            self._perform_action(now, subscriber, SubscribeAction.REFRESH if subscriber.to else subscription.start(now))

    def dialogs_before(self, before: int) -> list[int]:
        """Established dialogs that arrived before a time."""
        return [call.index for call in self.calls.values() if call.established and call.arrived_at < before]

    def drop_dialog(self, now: int, dialog: int) -> None:
        """Treat an established dialog as ended although no BYE was received."""
        self.now = now
        call = self.calls.get(dialog)
        if call is not None and call.established and call.leg is not None:
            self._count("forgotten")
            self.ended_legs.append((call.leg, LegEnd.ENDED, 0))
            self._report_ended_legs(now)

    # --- events for the trace only -----------------------------------------------------------------------

    def timer_ran_late(self, now: int, by: int) -> None:
        """A timer of the process fired late, `by` in tenths of a millisecond."""
        self.admission.timer_fired(by)
        if by >= MIN_RECORDED_DELAY:
            self.now = now
            self._note("ran_late", by)

    def remark(self, now: int, text: str) -> None:
        """Record an operator's remark in the trace."""
        self.now = now
        self._note("remark", text)

    def _note(self, name: str, *fields: Any) -> None:
        if self.trace_buffer is not None:
            self.trace_buffer.note(name, self.now, *fields)

    def _trace_arrival(self, call: Call, message: Message) -> None:
        """Record by which legs of other proxies a dialog in transit arrived.

        The proxy that sent it has the first Via or, behind its tandem, the second.
        """
        for via in [parse_via(value) for value in message.all("Via")[:2]]:
            call.trace_id = message_id(via.branch)
            self._note("received", call.trace_id, call.index)

    # --- helpers -----------------------------------------------------------------------------------------

    def _gw_of(self, name: str, number: int) -> int:
        """The gw of a machine, which is given one if it is new."""
        gw = self.gw_by_id.get(name)
        if gw is None:
            gw = self.gw_by_id[name] = len(self.exchange_ids)
            self.exchange_ids.append(name)
            self.exchange_numbers.append(number)
            self.hops.append(None)
        self.exchange_numbers[gw] = number
        return gw

    def _answer(self, now: int, server: ServerTransaction, status: int, fields: list[tuple[str, str]] | None = None) -> None:
        if server.request is not None:
            self.transactions.respond(now, server, response(server.request, status, self._stable_tag(server.request), fields or ()))

    def _stable_tag(self, message: Message) -> str:
        """A tag derived from the request, so that a stateless response is always the same (section 8.2.7)."""
        text = f"{message.get('Via')} {message.call_id} {self.run_id}"
        return blake2s(text.encode("utf-8", "replace"), digest_size=6).hexdigest()

    def _branch(self) -> str:
        self.serial += 1
        return f"{MAGIC_COOKIE}{self.run_id}{self.serial:x}"

    def _send_stateless(self, message: Message, branch: str) -> None:
        hop = next_hop(message)
        message.push("Via", f"SIP/2.0/{hop.transport} {self.address[0]}:{self.address[1]};branch={branch};rport")
        self.transport.transmit(bytes(message), hop)

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1


def _quotable(text: str) -> str:
    """Text without characters that need quoting in a header field, at most 120 characters."""
    return "".join(char if 32 <= ord(char) < 127 and char not in '"\\' else " " for char in text)[:120]
