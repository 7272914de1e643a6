"""The signalling proxy without sockets: a stateful proxy (RFC 3261 section 16) whose ways are chosen by brain.py.

Everything that happens comes in through one of the public methods with the time now, one at a time; nothing in here
waits. It is the `User` of the transactions and the `Host` of one `CallController`.
"""

from collections import deque
from collections.abc import Callable
from hashlib import blake2s
from heapq import heappop, heappush
from typing import Any

import msgspec

from ..brain import CallController
from ..host import GwState, LegEnd, ListEntry, Rsn, TrafficType
from ..sip.dialogs import dialog_to_release, next_hop
from ..sip.fields import parse_address, parse_host_port, parse_seconds, parse_uri, parse_via, tag_of, top_via
from ..sip.message import BadMessageError, Message, response
from ..sip.transactions import MAGIC_COOKIE, ClientFailure, ClientTransaction, Hop, ServerTransaction, Transactions, Transport
from ..store.audit import Audit
from ..store.memory import Memory, Recalled, Word
from ..store.records import KeptStanding
from ..trace.tape import Tape, answer_to, crossing, recorded
from . import sip_mapping
from .admission import AdmissionControl
from .calls import Asked, Call, Leg, NoServer, Onward
from .circuits import CircuitCounts
from .numbering import NumberingPlan
from .subscriptions import Ask, Body, Use, Watching

SECOND = 10_000
LIST, GROUPS = "exchange-list", "trunk-groups"  # event packages of ours (RFC 6665 section 7.2)
MOST_MESSAGES = 3  # short messages to one exchange that may be unanswered at once; a newer one says more
SWEEP = SECOND // 4
NOTED_LATE = 100  # 10 ms
DUTY_FIELD = "Gingergap-Duty"


class ExchangeLine(msgspec.Struct):
    """One exchange in a notified list; `started` in seconds of wall time, 0 for long ago."""

    id: str
    number: int
    state: str
    started: float = 0.0
    address: str = ""
    transport: str = "UDP"


class GroupLine(msgspec.Struct):
    """One own trunk group in a notification: circuits to exchange `number`."""

    number: int
    free: int
    size: int


class ListBody(msgspec.Struct):
    version: int
    state: str
    epoch: str
    exchanges: list[ExchangeLine]


class GroupsBody(msgspec.Struct):
    version: int
    state: str
    epoch: str
    groups: list[GroupLine]


LIST_BODY, GROUPS_BODY = msgspec.json.Decoder(ListBody), msgspec.json.Decoder(GroupsBody)
STATES = {"gone": GwState.GONE, "draining": GwState.DRAINING, "ready": GwState.READY}


class Subscriber:
    """One subscription on the wire: its dialog, and what `Watching` decides of it."""

    def __init__(self, event: str, lasts: int) -> None:
        self.event = event
        self.watching = Watching(lasts, 2 * SECOND)
        self.call_id = self.tag = self.to = ""
        self.cseq = 0
        self.client: ClientTransaction | None = None
        self.again_at: int | None = None


class EdgeProxy:
    """`address` is where it can be reached, `exchanges` is (number, id, address) of each one known at start,
    `kinds` maps Resource-Priority values to places in `types`, `widths` gives their circuits; `wall` is the wall
    time in seconds at `now`, by which other clocks' starts are read. `fresh` draws unguessable text."""

    def __init__(
        self,
        wire: Transport,
        now: int,
        wall: float,
        fresh: Any,
        log: Any,
        *,
        address: tuple[str, int],
        domain: str,
        here: int,
        seed: int,
        exchanges: list[tuple[int, str, tuple[str, int]]],
        exchange_list: tuple[str, int] | None,
        types: list[TrafficType],
        kinds: dict[str, int],
        widths: list[int],
        numbering: NumberingPlan,
        admission: AdmissionControl,
        default_expires: int,
        most_transactions: int,
        t1: int,
        release_guard: int,
        most_legs: int,
        longest_hold_off: int,
        tells: bool,
        cold_from: float,
        warm_after: int,
        multiple: float,
        fall_span: int,
        tape: Tape | None = None,
        memory: Memory | None = None,
        recalled: Recalled | None = None,
    ) -> None:
        self.wire, self.log, self.fresh = wire, log, fresh
        self.address, self.domain, self.here = address, domain, here
        self.tape, self.memory = tape, memory
        self.audit = Audit()
        self.types, self.kinds, self.widths = types, kinds, widths
        self.numbering, self.admission, self.default_expires = numbering, admission, default_expires
        self.now, self.wall_at_start, self.started_at = now, wall, now
        self.transactions = Transactions(self, wire, address, t1=t1, t2=8 * t1, t4=10 * t1, max_servers=most_transactions)
        self.boot = fresh(6)
        self.serial = 0
        self.uri = f"sip:{address[0]}:{address[1]}"
        self.calls: dict[int, Call] = {}
        self.by_key: dict[tuple[str, str], Call] = {}
        self.call_count = 0
        self.open_dialogs = 0  # not yet answered
        self.released: dict[tuple[str, str], int] = {}  # 2xx that nobody wanted: BYE sent, until when noted
        self.circuits = CircuitCounts()
        self.due_legs: list[tuple[int, int, int]] = []  # (when, leg's serial, dialog): not the leg, which may be long over
        self.soon: deque[tuple[Leg, LegEnd, int]] = deque()
        self.wake_at: int | None = None
        self.sweep_at = now + SWEEP
        self.counts: dict[str, int] = {}
        self.ids: list[str] = []  # by gw
        self.gws: dict[str, int] = {}
        self.numbers: list[int] = []  # by gw
        self.hops: list[Hop | None] = []  # by gw
        self.starts: dict[tuple[int, float], int] = {}
        self.messages_out: dict[int, int] = {}
        self.list_at = exchange_list
        self.subscribers = {LIST: Subscriber(LIST, 60 * SECOND), GROUPS: Subscriber(GROUPS, 20 * SECOND)}
        figures = {
            "release_guard": release_guard,
            "most_legs": most_legs,
            "longest_hold_off": longest_hold_off,
            "may_cancel": True,
            "must_ask": exchange_list is not None,
            "may_tell": tells,
            "centre_advises": False,
            "cold_from": cold_from,
            "warm_after": warm_after,
            "multiple": multiple,
            "fall_span": fall_span,
        }
        self.figures = {
            **figures,
            "seed": seed,
            "here": here,
            "proxies": len(exchanges),
            "types": [[*entry[:5], None if entry.pools is None else sorted(entry.pools)] for entry in types],
        }
        if tape is None:
            self.controller = CallController(self, seed, here, len(exchanges), types, **figures)
        else:
            self.controller = recorded(tape, self, seed, here, len(exchanges), types, **figures)
        known = []
        for number, name, (host, port) in exchanges:
            gw = self._gw(name, number)
            self.hops[gw] = Hop("UDP", host, port)
            if memory is not None:
                memory.known(name, number, f"{host}:{port}", "UDP")
            known.append(ListEntry(gw, number, GwState.READY, 0))
        self.controller.list_pushed(now, known, True)
        if recalled is not None:
            self._recall(now, recalled)
        self.controller.begin(now)
        self._subscribe(now, self.subscribers[GROUPS], self.subscribers[GROUPS].watching.want(now))

    # --- what can happen: messages ---------------------------------------------------------------------

    def got(self, now: int, message: Message, hop: Hop) -> None:
        self.now = now
        try:
            self.transactions.received(now, message, hop)
        except BadMessageError as bad:
            self.got_bad(now, bad, hop)
        self._settle(now)

    def got_bad(self, now: int, bad: BadMessageError, hop: Hop) -> None:
        """Bytes or a request that can't be used: answered where the RFC gives a status and a way back."""
        self.now = now
        self._count("bad message")
        message = bad.message
        self.log.debug("bad-message", why=str(bad), peer=f"{hop.host}:{hop.port}", status=bad.status)
        if message is not None and message.method and bad.status:
            self.transactions.respond_statelessly(
                message, bad.status, self._still_tag(message), hop, [("Warning", f'399 {self.domain} "{_plain(str(bad))}"')]
            )

    def hop_failed(self, now: int, hop: Hop, reset: bool) -> None:
        self.now = now
        self.transactions.hop_failed(now, hop, reset)
        self._settle(now)

    def due(self, now: int) -> None:
        """Time has passed: fire what is due."""
        self.now = now
        self.transactions.fire_timers(now)
        self._settle(now)
        while self.due_legs and self.due_legs[0][0] <= now:
            _, serial, dialog = heappop(self.due_legs)
            call = self.calls.get(dialog)
            if call is not None and call.leg is not None and call.leg.serial == serial and not call.stands:
                self._give_up(now, call.leg, LegEnd.NO_ANSWER)
        self._settle(now)
        if self.wake_at is not None and now >= self.wake_at:
            self.wake_at = None
            self.controller.beat(now)
            self._settle(now)
        if now >= self.sweep_at:
            self.sweep_at = now + SWEEP
            while self.released and next(iter(self.released.values())) <= now:
                del self.released[next(iter(self.released))]
            for number, free, size in self.circuits.expire_doubts(now):
                self._group_told(now, number, free, size)
        for sub in self.subscribers.values():
            if sub.again_at is not None and now >= sub.again_at:
                sub.again_at = None
                self._subscribe(now, sub, sub.watching.want(now))
            self._subscribe(now, sub, sub.watching.due(now))

    def _settle(self, now: int) -> None:
        """Ends that arose while the controller was at work are told once it is done."""
        while self.soon:
            leg, how, rsn = self.soon.popleft()
            self._leg_over(now, leg, how, rsn)

    # --- what can happen: the transactions' user ----------------------------------------------------------

    def request_received(self, now: int, server: ServerTransaction, message: Message) -> None:
        method = message.method
        if method == "INVITE" and not tag_of(message.get("To")):
            self._invited(now, server, message)
        elif method == "CANCEL":
            self._cancelled(now, server, message)
        elif method == "NOTIFY":
            self._notified(now, server, message)
        elif tag_of(message.get("To")):
            self._within_dialog(now, server, message)
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
            self._told(now, server, message)
        elif method == "BYE":
            self._answer(now, server, 481)
        else:
            self._answer(now, server, 405, [("Allow", "INVITE, ACK, CANCEL, BYE, OPTIONS, MESSAGE, NOTIFY")])

    def ack_received(self, now: int, message: Message, hop: Hop) -> None:
        """The ACK of a 2xx goes end to end (section 16.11 forwards it without state)."""
        try:
            onward = self._prepared(message)
            next_hop(onward)
        except BadMessageError:
            return  # no answer is due to an ACK
        branch = MAGIC_COOKIE + "a" + blake2s(top_via(message).branch.encode(errors="replace"), digest_size=10).hexdigest()
        if not self._is_own(onward):
            self._send_stateless(onward, branch)

    def transaction_limit_reached(self, now: int, message: Message, hop: Hop) -> None:
        self._count("transactions full")
        self.transactions.respond_statelessly(message, 503, self._still_tag(message), hop, [("Retry-After", "1")])

    def response_received(self, now: int, client: ClientTransaction, message: Message) -> None:
        owner = client.owner
        if type(owner) is Leg:
            self._leg_answered(now, owner, message)
        elif type(owner) is Onward:
            if message.status > 100:
                message.pop_first("Via")
                self.transactions.respond(now, owner.server, message)
        elif type(owner) is Subscriber:
            self._subscribe_answered(now, owner, client, message)
        elif type(owner) is Asked:
            owner.told(message)
        elif type(owner) is int:
            self.messages_out[owner] -= 1

    def stray_response(self, now: int, message: Message) -> None:
        call = self.by_key.get((message.call_id, tag_of(message.get("From"))))
        if call is not None and call.leg is not None and call.leg.tag == tag_of(message.get("To")):
            self._pass_back(message)  # the 2xx of a dialog that stood before this process began: its ACK was lost
        else:
            self._release(now, message)

    def client_failed(self, now: int, client: ClientTransaction, how: ClientFailure) -> None:
        owner = client.owner
        if type(owner) is Leg:
            if owner.over:
                if how == ClientFailure.RESET and owner.given_up and not owner.call.answered:
                    self.controller.leg_cut_late(now, owner.call.index)
                return
            end = {
                ClientFailure.TIMEOUT: LegEnd.NO_ANSWER,
                ClientFailure.UNREACHABLE: LegEnd.UNREACHABLE,
                ClientFailure.RESET: LegEnd.CUT,
            }[how]
            self.soon.append((owner, end, 0))
        elif type(owner) is Onward:
            self._answer(now, owner.server, 408 if how == ClientFailure.TIMEOUT else 503)
        elif type(owner) is Subscriber:
            if client is owner.client:
                self._subscribe(now, owner, owner.watching.refused(now))
        elif type(owner) is Asked:
            owner.told(None)
        elif type(owner) is int:
            self.messages_out[owner] -= 1

    def ack_timed_out(self, now: int, server: ServerTransaction) -> None:
        self._count("answer never acknowledged")

    # --- a dialog comes ----------------------------------------------------------------------------------

    def _invited(self, now: int, server: ServerTransaction, message: Message) -> None:
        try:
            told = sip_mapping.marks_of(message)
            expires = sip_mapping.time_left(message, told, self.default_expires)
            number = parse_uri(message.uri).user
            hops = self._hops_left(message)
            vias = [parse_via(value) for value in message.all("Via")[1:]]
            contact = message.get("Contact")
            if not contact:
                raise BadMessageError("Contact is missing")
            parse_uri(parse_address(message.all("Contact")[0])[0])
        except BadMessageError as bad:
            self._answer(now, server, bad.status or 400, [("Warning", f'399 {self.domain} "{_plain(str(bad))}"')])
            return
        key = message.call_id, tag_of(message.get("From"))
        if hops <= 0:
            self._answer(now, server, 483)
            return
        if key in self.by_key or any((via.host, via.port) == self.address for via in vias):
            self._answer(now, server, 482)  # it came round, or by two ways (sections 16.3 and 8.2.2.2)
            return
        if message.has("Proxy-Require"):
            self._answer(now, server, 420, [("Unsupported", ", ".join(message.all("Proxy-Require")))])
            return
        far = self.numbering.exchange_of(number)
        if far < 0:
            self._answer(now, server, 404, [sip_mapping.q850_reason(1)])
            return
        kind = sip_mapping.kind_of(message, self.kinds)
        away = self.admission.retry_after(kind, self.open_dialogs)
        if away:
            self._count("turned away at the door")
            self._note("turned_away", kind, int(self.admission.lag), self.open_dialogs)
            self._answer(now, server, 503, [("Retry-After", str(away)), sip_mapping.q850_reason(sip_mapping.CONGESTION)])
            return
        call = Call(self.call_count, server, message, kind, self.widths[kind], far, key, told.transit, told.redialled, now, number)
        if told.transit:
            self._came_by(call, message)
        self.call_count += 1
        server.owner = call
        self.calls[call.index] = self.by_key[key] = call
        self.open_dialogs += 1
        self._count("dialogs")
        self.transactions.respond(now, server, response(message, 100))
        self.controller.dialog_came(now, call.index, kind, far, call.width, number, expires, told.transit, told.redialled, told.cut)

    def _cancelled(self, now: int, server: ServerTransaction, message: Message) -> None:
        branch, sent_by, _ = server.key
        invited = self.transactions.servers.get((branch, sent_by, "INVITE"))
        if invited is None:
            self._answer(now, server, 481)
            return
        self._answer(now, server, 200)
        owner = invited.owner
        if type(owner) is Onward and owner.client is not None:
            self.transactions.cancel(now, owner.client)
        elif type(owner) is Call and not owner.answered:
            # Answered at once: a leg that is out is called off, and should its 2xx cross the CANCEL, released.
            self._final(now, owner, 487, [])
            self._count("given up by callers")
            self.controller.dialog_gone(now, owner.index)
            if owner.leg is not None:
                self._give_up(now, owner.leg, LegEnd.CANCELLED)
            else:
                self._forget(owner)

    # --- what the controller asks for -------------------------------------------------------------------

    def send_leg(self, dialog: int, gw: int, limit: int) -> None:
        call, now = self.calls[dialog], self.now
        self.serial += 1
        leg = Leg(call, gw, self.numbers[gw], call.legs, self.serial, now)
        call.legs += 1
        call.leg = leg
        hop = self.hops[gw]
        if hop is None or call.invite is None:
            self.soon.append((leg, LegEnd.NOT_SENT, 0))
            return
        invite = self._leg_invite(call, leg, hop, limit)
        self._count("legs")
        self.circuits.leg_sent(leg.far, leg.serial, call.width)
        branch = self._branch()
        leg.client = self.transactions.request(now, invite, hop, branch, leg)
        if leg.far != call.far:
            leg.crossing = crossing(branch)
            self._note("sent", leg.crossing, dialog)
        heappush(self.due_legs, (now + limit, leg.serial, call.index))

    def cancel_leg(self, dialog: int, leg: int) -> None:
        call = self.calls.get(dialog)
        if call is not None and call.leg is not None and call.leg.place == leg:
            self._count("legs called off")
            self._give_up(self.now, call.leg, LegEnd.CANCELLED)

    def decline(self, dialog: int, hold_off: int) -> None:
        call = self.calls[dialog]
        self._count("declined")
        if call.crossing:
            self._note("sent", answer_to(call.crossing), dialog)
        self._final(self.now, call, *sip_mapping.declined(call.transit, call.how, call.rsn, hold_off))
        if call.leg is None:
            self._forget(call)

    def abort(self, dialog: int) -> None:
        call = self.calls[dialog]
        self._count("aborted")
        self._final(self.now, call, *sip_mapping.aborted())
        if call.leg is None:
            self._forget(call)

    def wake_after(self, delay: int) -> None:
        self.wake_at = self.now + delay

    def tell_all(self, told: bytes) -> None:
        for gw, number in enumerate(self.numbers):
            hop = self.hops[gw]
            ex = self.controller.by_number.get(number)
            if (
                number == self.here
                or hop is None
                or ex is None
                or ex.gw != gw
                or not ex.ready
                or self.messages_out.get(gw, 0) >= MOST_MESSAGES
            ):
                continue
            message = Message("MESSAGE", f"sip:proxy@{hop.host}:{hop.port}", body=told)
            message.fields = [
                ("From", f"<{self.uri}>;tag={self.fresh(8)}"),
                ("To", f"<{message.uri}>"),
                ("Call-ID", self.fresh(16)),
                ("CSeq", "1 MESSAGE"),
                ("Max-Forwards", "10"),
                ("Content-Type", "application/octet-stream"),
            ]
            self.messages_out[gw] = self.messages_out.get(gw, 0) + 1
            self._note("sent", crossing(message.call_id), -1)
            self.transactions.request(self.now, message, hop, self._branch(), gw)

    def subscribe(self) -> None:
        sub = self.subscribers[LIST]
        self._subscribe(self.now, sub, sub.watching.want(self.now))

    # --- legs --------------------------------------------------------------------------------------------

    def _leg_invite(self, call: Call, leg: Leg, hop: Hop, limit: int) -> Message:
        """The INVITE as it goes on (section 16.6), on the trunk group that the leg takes (RFC 4904)."""
        invite = call.invite.copy()
        over = leg.far != call.far
        way = ";transport=tcp" if hop.transport == "TCP" else ""
        invite.uri = f"sip:{call.number};tgrp=g{self.here}-{leg.far};trunk-context={self.domain}@{hop.host}:{hop.port}{way}"
        self._strip_routes(invite)
        invite.put("Max-Forwards", str(self._hops_left(invite) - 1))
        came = ";transport=tcp" if call.server.hop.transport == "TCP" else ""
        if came != way:  # RFC 5658: each side is told the transport that it uses
            invite.push("Record-Route", f"<{self.uri}{came};lr>")
        invite.push("Record-Route", f"<{self.uri}{way};lr>")
        invite.put("Expires", str(max(1, -(-limit // SECOND))))
        invite.put(sip_mapping.DIALOG_FIELD, sip_mapping.marks(call.redialled, False, over, limit // 10))
        return invite

    def _leg_answered(self, now: int, leg: Leg, message: Message) -> None:
        call, status = leg.call, message.status
        self.circuits.leg_reported(leg.far, leg.serial)
        if status < 200:
            if status > 100 and not call.answered and not leg.over:
                message.pop_first("Via")
                self.transactions.respond(now, call.server, message)
            return
        if status < 300:
            tag = tag_of(message.get("To"))
            if leg.tag and tag == leg.tag:  # its ACK was lost
                message.pop_first("Via")
                self.transactions.respond(now, call.server, message)
                return
            if leg.over or leg.given_up or call.answered:
                self._release(now, message)  # late, or a fork after the first
                return
            if not message.has("Contact"):
                self.soon.append((leg, LegEnd.BUSY, 0))  # nothing within such a dialog could reach its end
                return
            message.pop_first("Via")
            leg.tag = tag
            call.stands = call.answered = True
            self.open_dialogs -= 1
            self._count("stand")
            self.transactions.respond(now, call.server, message)
            if self.memory is not None:
                self.memory.stood(
                    *call.key,
                    KeptStanding(
                        call.kind, call.width, call.far, self.ids[leg.gw], leg.far, self._wall(call.arrived), call.transit, tag
                    ),
                )
            call.invite = None
            call.number = ""
            leg.client.request = call.server.request = None
            if leg.crossing:
                self._note("came", answer_to(leg.crossing), call.index)
            if call.crossing:
                self._note("sent", answer_to(call.crossing), call.index)
            self.controller.dialog_stands(now, call.index, now - leg.started)
            return
        if not leg.over:
            self.soon.append((leg, *sip_mapping.leg_end(message, leg.far != call.far)))

    def _give_up(self, now: int, leg: Leg, how: LegEnd) -> None:
        """Nobody waits for this leg any more: called off, and its end told as soon as may be."""
        if leg.over or leg.given_up:
            return
        leg.given_up = True
        if leg.client is not None:
            self.transactions.cancel(now, leg.client)
        self.soon.append((leg, how, 0))

    def _leg_over(self, now: int, leg: Leg, how: LegEnd, rsn: int) -> None:
        if leg.over:
            return
        call = leg.call
        leg.over = True
        call.leg = None
        call.how, call.rsn = how, rsn
        self.circuits.leg_reported(leg.far, leg.serial)
        if how == LegEnd.FULL and rsn == Rsn.NO_CIRCUIT:
            self.circuits.group_refused(now, leg.far, call.width)
        self._count(f"legs ended {how.name.lower()}")
        over = call.answered
        if leg.crossing and rsn == Rsn.TANDEM_DECLINED:  # only the proxy there says that
            self._note("came", answer_to(leg.crossing), call.index)
        if over:
            self._forget(call)
        if type(call.server) is NoServer:  # the module never heard of it
            self.audit.over(leg.far, call.index)
            return
        self.controller.leg_ended(now, call.index, leg.gw, how, rsn, over, *self.circuits.count(leg.far))

    def _final(self, now: int, call: Call, status: int, fields: list[tuple[str, str]]) -> None:
        call.answered = True
        self.open_dialogs -= 1
        self._answer(now, call.server, status, fields)

    def _forget(self, call: Call) -> None:
        if call.stands and self.calls.pop(call.index, None) is not None and self.memory is not None:
            self.memory.over(*call.key)
        self.calls.pop(call.index, None)
        if self.by_key.get(call.key) is call:
            del self.by_key[call.key]
        call.server.owner = None

    def _release(self, now: int, answer: Message) -> None:
        """End a leg that answered when nobody wanted it any more: ACK each 2xx, BYE once."""
        self._count("late answers released")
        try:
            dialog = dialog_to_release(answer, self.address)
            ack = dialog.request("ACK")
            key = dialog.call_id, tag_of(dialog.remote)
            self._send_stateless(ack, self._branch())
            if key not in self.released:
                self.released[key] = self.now + 64 * self.transactions.t1
                bye = dialog.request("BYE")
                bye.fields.append(sip_mapping.q850_reason(sip_mapping.NORMAL))
                self.transactions.request(now, bye, next_hop(bye), self._branch())
        except BadMessageError:
            self._count("late answers without a way back")

    # --- within dialogs ----------------------------------------------------------------------------------

    def _within_dialog(self, now: int, server: ServerTransaction, message: Message) -> None:
        try:
            onward = self._prepared(message)
            if self._is_own(onward):
                self._answer(now, server, 481)
                return
            hop = next_hop(onward)
        except BadMessageError as bad:
            self._answer(now, server, bad.status or 400)
            return
        link = Onward(server)
        server.owner = link
        if message.method == "INVITE":
            self.transactions.respond(now, server, response(message, 100))
        link.client = self.transactions.request(now, onward, hop, self._branch(), link)
        if message.method == "BYE":
            self._bye(now, message)

    def _bye(self, now: int, message: Message) -> None:
        call_id = message.call_id
        by_caller = self.by_key.get((call_id, tag_of(message.get("From"))))
        call = by_caller or self.by_key.get((call_id, tag_of(message.get("To"))))
        if call is None or not call.stands or call.leg is None:
            return  # the other end's BYE came before, or the dialog is older than this process
        self.soon.append((call.leg, LegEnd.ENDED if by_caller else sip_mapping.release_end(message), 0))

    def _prepared(self, message: Message) -> Message:
        """A request within a dialog as it goes on: own routes off, one hop less."""
        hops = self._hops_left(message)
        if hops <= 0:
            raise BadMessageError("no hops are left", 483)
        onward = message.copy()
        self._strip_routes(onward)
        onward.put("Max-Forwards", str(hops - 1))
        return onward

    def _strip_routes(self, message: Message) -> None:
        while True:
            first = message.get("Route")
            if not first:
                return
            uri = parse_uri(parse_address(message.all("Route")[0])[0])
            if (uri.host, uri.port) != self.address:
                return
            message.pop_first("Route")

    def _is_own(self, message: Message) -> bool:
        if message.has("Route"):
            return False
        uri = parse_uri(message.uri)
        return (uri.host, uri.port) == self.address

    def _hops_left(self, message: Message) -> int:
        text = message.get("Max-Forwards", "70").strip()
        if not text.isascii() or not text.isdigit() or int(text) > 255:
            raise BadMessageError("Max-Forwards is not a number up to 255", 400, message)
        return int(text)

    # --- lists and circuits ------------------------------------------------------------------------------

    def _subscribe(self, now: int, sub: Subscriber, ask: Ask) -> None:
        """Carry out what `Watching` asked for."""
        if ask == Ask.NOTHING:
            return
        if ask == Ask.FAILED:
            self.log.warning("subscription-failed", event_package=sub.event)
            self._count("subscriptions failed")
            if sub.event == LIST:
                self.controller.list_failed(now)
            else:
                sub.again_at = now + SECOND
            return
        hop = self._notifier(sub)
        if hop is None:
            return
        if ask == Ask.FIRST:
            sub.call_id, sub.tag, sub.to, sub.cseq = self.fresh(16), self.fresh(8), "", 0
        sub.cseq += 1
        uri = f"sip:{sub.event}@{hop.host}:{hop.port}"
        message = Message("SUBSCRIBE", uri)
        message.fields = [
            ("From", f"<{self.uri}>;tag={sub.tag}"),
            ("To", sub.to or f"<{uri}>"),
            ("Call-ID", sub.call_id),
            ("CSeq", f"{sub.cseq} SUBSCRIBE"),
            ("Max-Forwards", "70"),
            ("Contact", f"<{self.uri}>"),
            ("Event", sub.event),
            ("Expires", str(sub.watching.lasts // SECOND)),
            ("Accept", "application/json"),
        ]
        sub.client = self.transactions.request(now, message, hop, self._branch(), sub)

    def _notifier(self, sub: Subscriber) -> Hop | None:
        if sub.event == LIST:
            return None if self.list_at is None else Hop("UDP", *self.list_at)
        ex = self.controller.by_number.get(self.here)
        hop = self.hops[ex.gw] if ex is not None else None
        return None if hop is None else Hop("UDP", hop.host, hop.port)

    def _subscribe_answered(self, now: int, sub: Subscriber, client: ClientTransaction, message: Message) -> None:
        if client is not sub.client:
            return
        if message.status >= 300:
            self._subscribe(now, sub, sub.watching.refused(now))
            return
        try:
            lasts = parse_seconds(message, "Expires", sub.watching.lasts // SECOND) * SECOND
        except BadMessageError:
            lasts = sub.watching.lasts
        sub.to = message.get("To")
        sub.watching.granted(now, min(lasts, sub.watching.lasts))

    def _notified(self, now: int, server: ServerTransaction, message: Message) -> None:
        sub = self.subscribers.get(message.get("Event").partition(";")[0].strip())
        if sub is None:
            self._answer(now, server, 489)
            return
        if message.call_id != sub.call_id or tag_of(message.get("To")) != sub.tag:
            self._answer(now, server, 481)  # of a subscription given up
            return
        try:
            body = (LIST_BODY if sub.event == LIST else GROUPS_BODY).decode(message.body) if message.body else None
        except (msgspec.DecodeError, RecursionError) as error:
            self._answer(now, server, 400, [("Warning", f'399 {self.domain} "{_plain(str(error))}"')])
            return
        self._answer(now, server, 200)
        if body is not None:
            use = sub.watching.notified(now, Body(body.epoch, body.version, body.state == "full"))
            if use == Use.TAKE:
                if sub.event == LIST:
                    self._list_told(now, body)
                else:
                    self._groups_told(now, body)
            elif use == Use.ASK:
                self.log.info("notification-gap", event_package=sub.event, version=body.version)
                self._count("notification gaps")
                self._subscribe(now, sub, Ask.REFRESH if sub.to else sub.watching.want(now))
        if message.get("Subscription-State").partition(";")[0].strip() == "terminated":
            self._subscribe(now, sub, sub.watching.refused(now))

    def _list_told(self, now: int, body: ListBody) -> None:
        entries = []
        own = self._own_exchange()
        for line in body.exchanges:
            gw = self._gw(line.id, line.number)
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
            if self.memory is not None:
                self.memory.listed(
                    line.id,
                    Word(
                        line.number,
                        int(state),
                        line.started,
                        self._wall(now),
                        "" if hop is None else f"{hop.host}:{hop.port}",
                        "UDP" if hop is None else hop.transport,
                    ),
                )
            entries.append(ListEntry(gw, line.number, state, self._start(now, gw, line.started)))
        self.controller.list_pushed(now, entries, body.state == "full")
        self._settle(now)
        for gw, number in enumerate(self.numbers):  # a machine that took a number over has its groups too
            free, size = self.circuits.count(number)
            if size >= 0:
                self.controller.group_told(now, gw, free, size)
        if self._own_exchange() != own:  # a machine that has just started knows of no subscription
            groups = self.subscribers[GROUPS]
            self._subscribe(now, groups, groups.watching.want(now))

    def _own_exchange(self) -> tuple[int, int]:
        ex = self.controller.by_number.get(self.here)
        return (-1, 0) if ex is None else (ex.gw, ex.started)

    def _start(self, now: int, gw: int, started: float) -> int:
        """A start by the wall clock as a time here. Converted once: two conversions of one start would differ
        and look like two starts."""
        if started <= 0:
            return 0
        if (gw, started) not in self.starts:
            local = self.started_at + int((started - self.wall_at_start) * SECOND)
            self.starts[gw, started] = max(1, min(local, now))
        return self.starts[gw, started]

    def _groups_told(self, now: int, body: GroupsBody) -> None:
        for line in body.groups:
            self._group_told(now, line.number, *self.circuits.update(line.number, line.free, line.size))

    def _group_told(self, now: int, number: int, free: int, size: int) -> None:
        for dialog in self.audit.told(number, free, size):
            self._count("remembered dialogs that were over")
            self.forget_standing(now, dialog)
        for gw, held in enumerate(self.numbers):
            if held == number and gw in self.controller.gws:
                self.controller.group_told(now, gw, free, size)

    def _told(self, now: int, server: ServerTransaction, message: Message) -> None:
        """Another proxy's word; one that is too short says nothing."""
        self._answer(now, server, 200)
        if len(message.body) >= 3:
            self._note("came", crossing(message.call_id), -1)
            self.controller.peer_told(now, message.body)

    # --- memory over restarts --------------------------------------------------------------------------------

    def _recall(self, now: int, recalled: Recalled) -> None:
        """What the process before this one knew: the list's words, what was learned, the dialogs that stand."""
        entries = []
        for id_, word in recalled.words.items():
            if word.state == GwState.GONE and id_ not in self.gws:
                continue  # a machine that came and went: nobody asks for it
            gw = self._gw(id_, word.number)
            if word.address:
                self.hops[gw] = Hop(word.transport, *parse_host_port(word.address))
            state = GwState(word.state) if self.hops[gw] is not None else GwState.GONE
            entries.append(ListEntry(gw, word.number, state, self._start(now, gw, word.started)))
        self.controller.list_pushed(now, entries, False)
        gws = [self.gws.get(id_, -1) for id_ in recalled.ids]
        learned = recalled.learned._replace(
            now=now,
            exchanges=[
                known._replace(
                    gw=gws[known.gw], started=self._start(now, gws[known.gw], recalled.starts.get(recalled.ids[known.gw], 0.0))
                )
                for known in recalled.learned.exchanges
                if gws[known.gw] >= 0
            ],
            pairs=[pair._replace(gw=gws[pair.gw]) for pair in recalled.learned.pairs if gws[pair.gw] >= 0],
        )
        self.controller.recall(now, learned, recalled.age)
        for (call_id, tag), kept in recalled.standing.items():
            self._stands_still(now, (call_id, tag), kept)

    def _stands_still(self, now: int, key: tuple[str, str], kept: KeptStanding) -> None:
        """A dialog that stood before this process began: its requests find their way by their routes; here is known that
        it stands, over which group, and since when."""
        arrived = self.started_at + int((kept.since - self.wall_at_start) * SECOND)
        call = Call(
            self.call_count,
            NoServer(),
            None,
            min(kept.kind, len(self.types) - 1),
            kept.width,
            kept.far,
            key,
            kept.transit,
            False,
            min(arrived, now),
            "",
        )
        self.call_count += 1
        self.serial += 1
        call.leg = Leg(call, self.gws.get(kept.leg, -1), kept.leg_number, 0, self.serial, now)
        call.leg.tag = kept.to_tag
        call.legs = 1
        call.stands = call.answered = True
        self.calls[call.index] = self.by_key[key] = call
        self.audit.add(kept.leg_number, kept.since, call.index, kept.width)
        self._count("remembered")

    def learned(self, now: int, most_callers: int) -> None:
        """Tell the memory what the module knows."""
        self.memory.learned(self._wall(now), self.controller.learned(now, most_callers), self.ids)
        self.memory.forgotten(self._wall(now))

    def _wall(self, now: int) -> float:
        return self.wall_at_start + (now - self.started_at) / SECOND

    def _pass_back(self, message: Message) -> None:
        """A response without a transaction goes to where its next Via says (section 16.11)."""
        message.pop_first("Via")
        try:
            via = top_via(message)
        except BadMessageError:
            return
        port = via.params.get("rport", "")
        self.wire.transmit(
            bytes(message), Hop(via.transport, via.params.get("received", via.host), int(port) if port.isdigit() else via.port)
        )

    # --- background work ----------------------------------------------------------------------------------

    def probe(self, now: int, hop: Hop, told: Callable[[Message | None], None], duty: str) -> None:
        """OPTIONS to an exchange (RFC 3261 section 11), saying under which token it comes (the field is ours)."""
        self.now = now
        message = Message("OPTIONS", f"sip:{hop.host}:{hop.port}")
        message.fields = [
            ("From", f"<{self.uri}>;tag={self.fresh(8)}"),
            ("To", f"<{message.uri}>"),
            ("Call-ID", self.fresh(16)),
            ("CSeq", "1 OPTIONS"),
            ("Max-Forwards", "10"),
            (DUTY_FIELD, duty),
        ]
        self._count("probes")
        self.transactions.request(now, message, hop, self._branch(), Asked(told))

    def list_seen_elsewhere(self, now: int, epoch: str, version: int) -> None:
        """Another proxy holds that version of the list: who is behind asks for it anew."""
        sub = self.subscribers[LIST]
        watching = sub.watching
        if watching.live and watching.epoch == epoch and watching.version < version and not watching.gap:
            self._count("list found old")
            self.now = now
            self._subscribe(now, sub, Ask.REFRESH if sub.to else watching.want(now))

    def standing_since(self, before: int) -> list[int]:
        """Dialogs that came before then and still stand."""
        return [call.index for call in self.calls.values() if call.stands and call.arrived < before]

    def forget_standing(self, now: int, dialog: int) -> None:
        """A dialog that stood past any sense counts as ended: nobody told, and nobody will."""
        self.now = now
        call = self.calls.get(dialog)
        if call is not None and call.stands and call.leg is not None:
            self._count("forgotten")
            self.soon.append((call.leg, LegEnd.ENDED, 0))
            self._settle(now)

    # --- what the trace is told and the module is not --------------------------------------------------------

    def ran_late(self, now: int, by: int) -> None:
        """A timer of the process fired so much after it was due."""
        self.admission.timer_fired(by)
        if by >= NOTED_LATE:
            self.now = now
            self._note("ran_late", by)

    def remark(self, now: int, text: str) -> None:
        """An operator's words, to be found again among what happened."""
        self.now = now
        self._note("remark", text)

    def _note(self, name: str, *fields: Any) -> None:
        if self.tape is not None:
            self.tape.note(name, self.now, *fields)

    def _came_by(self, call: Call, message: Message) -> None:
        """The proxy that sent a dialog here stands first or, behind its tandem, second on the way it came."""
        for via in [parse_via(value) for value in message.all("Via")[:2]]:
            call.crossing = crossing(via.branch)
            self._note("came", call.crossing, call.index)

    # --- small parts -------------------------------------------------------------------------------------

    def _gw(self, name: str, number: int) -> int:
        gw = self.gws.get(name)
        if gw is None:
            gw = self.gws[name] = len(self.ids)
            self.ids.append(name)
            self.numbers.append(number)
            self.hops.append(None)
        self.numbers[gw] = number
        return gw

    def _answer(self, now: int, server: ServerTransaction, status: int, fields: list[tuple[str, str]] | None = None) -> None:
        if server.request is not None:
            self.transactions.respond(now, server, response(server.request, status, self._still_tag(server.request), fields or ()))

    def _still_tag(self, message: Message) -> str:
        """A tag that is the same for the same request, with nothing kept (section 8.2.7)."""
        text = f"{message.get('Via')} {message.call_id} {self.boot}"
        return blake2s(text.encode("utf-8", "replace"), digest_size=6).hexdigest()

    def _branch(self) -> str:
        self.serial += 1
        return f"{MAGIC_COOKIE}{self.boot}{self.serial:x}"

    def _send_stateless(self, message: Message, branch: str) -> None:
        hop = next_hop(message)
        message.push("Via", f"SIP/2.0/{hop.transport} {self.address[0]}:{self.address[1]};branch={branch};rport")
        self.wire.transmit(bytes(message), hop)

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1


def _plain(text: str) -> str:
    """Text fit for a quoted string of a header field."""
    return "".join(char if 32 <= ord(char) < 127 and char not in '"\\' else " " for char in text)[:120]
