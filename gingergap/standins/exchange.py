"""A simulated exchange: one processor with a queue, trunk groups, dialogs that it answers, and dialogs in transit that it forwards
to its own proxy. One process runs the machines of one exchange number through a day.

For dialogs in transit the exchange is a stateless proxy (RFC 3261 section 16.11) that stays on the path with Record-Route, so that
it sees the release; the only state it keeps of such a dialog is the circuits that it holds.
"""

import random
import secrets
import time
from collections import deque
from collections.abc import Callable
from hashlib import blake2s
from pathlib import Path

import gevent
from gevent.event import Event

from ..duties.leases import FencingToken, TokenFence
from ..sip.dialogs import SipDialog, next_hop
from ..sip.fields import parse_address, parse_params, parse_uri, q850_reason, tag_of, top_via
from ..sip.message import BadMessageError, Message, response
from ..sip.transactions import MAGIC_COOKIE, ClientFailure, ClientTransaction, Hop, ServerTransaction, record_source
from .capture import Capture, FaultInjector
from .day_plan import BEFORE_DAY, NEVER, DayPlan, MachineRun
from .notifier import Notifier
from .shared_circuits import SharedCircuits
from .sip_element import SipElement, current_units

FORWARDED_PREFIX = MAGIC_COOKIE + "t"  # prefix of the branches of forwarded requests
MAX_SETUP_DURATION = 15.0  # seconds after which the circuits of an unfinished set-up are freed
SDP_BODY = b"v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\nm=audio 40000 RTP/AVP 8\r\n"


class HeldCircuits:
    """Circuits of the group to exchange `source`, held for one dialog that reached this exchange."""

    __slots__ = ("source", "circuits", "started_at", "established", "dialog", "server", "released", "acked", "answer", "transit")

    def __init__(self, source: int, circuits: int, started_at: float, transit: bool) -> None:
        self.source, self.circuits, self.started_at, self.transit = source, circuits, started_at, transit
        self.established = self.released = self.acked = False
        self.dialog: SipDialog | None = None
        self.server: ServerTransaction | None = None
        self.answer: Message | None = None


class Machine(SipElement):
    """One machine of an exchange, from its start to its stop.

    `exchange_by_address` maps the addresses of proxies and exchanges to exchange numbers.
    """

    def __init__(
        self,
        plan: DayPlan,
        machine_run: MachineRun,
        address: tuple[str, int],
        proxy: tuple[str, int],
        proxies: frozenset[tuple[str, int]],
        exchange_by_address: dict[tuple[str, int], int],
        shared: SharedCircuits,
        capture: Capture,
        epoch: float,
        proxy_tcp: bool,
    ) -> None:
        self.plan, self.machine_run, self.proxy = plan, machine_run, proxy
        self.exchange_by_address, self.shared, self.capture, self.epoch = exchange_by_address, shared, capture, epoch
        self.proxy_hop = Hop("TCP" if proxy_tcp else "UDP", *proxy)
        self.draw = random.Random(f"{plan.seed} {machine_run.id} {machine_run.starts_at}")
        gate = FaultInjector(
            capture,
            plan,
            self.now,
            f"{address[0]}:{address[1]}",
            f"{plan.seed} {machine_run.id} {machine_run.starts_at} gate",
            proxies,
            self._loses_incoming,
            self._loses_outgoing,
        )
        super().__init__(address, epoch, gate)
        self.uri = f"sip:{address[0]}:{address[1]}"
        self.notifier = Notifier(self.transactions, "trunk-groups", "groups", self.uri)
        self.queue: deque[tuple[float, Callable[[], None]]] = deque()
        self.queued_work = 0.0
        self.work_queued = Event()
        self.held_by_dialog: dict[tuple[str, str], HeldCircuits] = {}
        self.is_forwarded: dict[str, bool] = {}  # by branch of a dialog in transit: whether the INVITE was forwarded
        self.running = True
        self.fence = TokenFence(0)
        self.failed = False
        self.arrivals: deque[float] = deque()
        self.reset_at = 0.0
        self.greenlets: list[gevent.Greenlet] = []

    # --- start and stop ---

    def start(self) -> None:
        """Open the sockets, note the start in the capture and process messages."""
        self.shared.clear(self.machine_run.number)
        for _ in range(100):
            try:
                self.sockets.open()
                break
            except OSError:
                gevent.sleep(0.02)  # the previous machine has not closed the port yet
        cold = self.machine_run.starts_at > BEFORE_DAY
        now = self.epoch + self.now()
        warm_after = self.plan.day.cold.warm_after_ms / 1000
        self.capture.note(
            "exchange",
            now,
            exchange=self.machine_run.id,
            number=self.machine_run.number,
            address=f"{self.address[0]}:{self.address[1]}",
            cold=cold,
            capacity=self.plan.setup_capacity(),
            from_share=self.plan.day.cold.from_share,
            warm_after=warm_after,
        )
        self.notifier.entries = self._group_states()
        self.greenlets = [gevent.spawn(self._run_processor), gevent.spawn(self._run_timers)]

    def stop(self, orderly: bool) -> None:
        """Stop the machine; an orderly stop first releases the established dialogs with a BYE."""
        if not self.running:
            return
        if orderly:
            for key in list(self.held_by_dialog):
                self._cut_dialog(key)
            gevent.sleep(0.1)
        self.running = False
        self.capture.note(
            "stopped", exchange=self.machine_run.id, number=self.machine_run.number, address=f"{self.address[0]}:{self.address[1]}"
        )
        for greenlet in self.greenlets:
            greenlet.kill(block=False)
        self.sockets.close()
        for held in self.held_by_dialog.values():
            if not held.released:
                self.shared.add(held.source, self.machine_run.number, -held.circuits)
                held.released = True

    def _run_timers(self) -> None:
        last_sent = dict(self.notifier.entries)
        round_count = 0
        while True:
            gevent.sleep(0.01)
            if not self._is_silent():
                self.transactions.fire_timers(current_units())
            round_count += 1
            self._apply_resets()
            if round_count % 4 == 0:
                groups = self._group_states()
                changes = {number: line for number, line in groups.items() if last_sent.get(number) != line}
                if changes:
                    last_sent.update(changes)
                    self.notifier.update(current_units(), changes)
            if round_count % 100 == 0:
                self._free_unfinished_setups()
                self._cut_excess_dialogs()

    def _apply_resets(self) -> None:
        now = self.now()
        for fault in self.plan.active_faults_on("resets", self.machine_run.number, now):
            if now >= self.reset_at:
                self.reset_at = now + fault.every_ms / 1000 * (0.5 + self.draw.random())
                self.capture.note("reset", address=f"{self.address[0]}:{self.address[1]}")
                self.sockets.reset()

    def _group_states(self) -> dict[object, dict[str, object]]:
        own_number, now = self.machine_run.number, self.now()
        lines: dict[object, dict[str, object]] = {}
        for number in range(self.plan.day.exchanges):
            if number != own_number:
                size = self.plan.group_size(own_number, number, now)
                free = max(0, size - self.shared.held(own_number, number))
                lines[number] = {"number": number, "free": free, "size": size}
        return lines

    def _free_unfinished_setups(self) -> None:
        for key, held in list(self.held_by_dialog.items()):
            if not held.established and self.now() - held.started_at > MAX_SETUP_DURATION:
                self._free_circuits(key)

    def _cut_excess_dialogs(self) -> None:
        """Cut dialogs of groups that have shrunk below the circuits in use."""
        own_number = self.machine_run.number
        for number in range(self.plan.day.exchanges):
            if number == own_number:
                continue
            excess = self.shared.held(own_number, number) - self.plan.group_size(own_number, number, self.now())
            for key, held in list(self.held_by_dialog.items()):
                if excess <= 0:
                    break
                if held.source == number and held.established:
                    excess -= held.circuits
                    self._cut_dialog(key)

    def cut_share(self, share: float) -> None:
        """Cut a random share of the established dialogs."""
        established = [key for key, held in self.held_by_dialog.items() if held.established and not held.released]
        for key in self.draw.sample(established, round(share * len(established))):
            self._cut_dialog(key)

    # --- the processor ---

    def _run_processor(self) -> None:
        while True:
            if not self.queue:
                self.work_queued.clear()
                self.work_queued.wait()
                continue
            cost, job = self.queue[0]
            remaining = cost
            while remaining > 0:
                speed = 0.0 if self.failed else self.plan.processor_speed(self.machine_run, self.now())
                step = min(remaining / speed, 0.05) if speed > 0 else 0.02
                slept_from = time.monotonic()
                gevent.sleep(step)
                remaining -= (time.monotonic() - slept_from) * speed
            self.queue.popleft()
            self.queued_work -= cost
            job()

    def _enqueue(self, ms: float, job: Callable[[], None]) -> None:
        self.queue.append((ms / 1000, job))
        self.queued_work += ms / 1000
        self.work_queued.set()

    def _queue_delay(self) -> float:
        """Seconds that a job queued now would wait for the processor."""
        speed = self.plan.processor_speed(self.machine_run, self.now())
        return self.queued_work / speed if speed > 0 else self.queued_work + 0.1

    def _count_arrival(self) -> None:
        """Count a set-up; a cold machine that gets too many over the span fails for good."""
        if self.plan.add_arrival(self.machine_run, self.arrivals, self.now()) and not self.failed:
            self.failed = True
            self.capture.note("fell over", exchange=self.machine_run.id, number=self.machine_run.number)

    # --- messages ---

    def _is_silent(self) -> bool:
        return self.failed or bool(self.plan.active_faults_on("silence", self.machine_run.number, self.now()))

    def _peer_exchange(self, data: bytes, hop: Hop) -> int | None:
        return self.exchange_by_address.get((hop.host, hop.port))

    def _loses_incoming(self, data: bytes, hop: Hop) -> bool:
        now = self.now()
        if self._is_silent():
            return True
        peer = self._peer_exchange(data, hop)
        if peer is not None and self.plan.is_cut_off(peer, self.machine_run.number, now):
            return True
        if data.startswith(b"MESSAGE"):
            return any(self.draw.random() < fault.factor for fault in self.plan.active_faults("messages-lost", now))
        return False

    def _loses_outgoing(self, data: bytes, hop: Hop) -> bool:
        now = self.now()
        if self._is_silent():
            return True
        peer = self._peer_exchange(data, hop)
        if peer is not None and peer != self.machine_run.number:
            if self.plan.is_cut_off(peer, self.machine_run.number, now):
                return True
            if data.startswith(b"SIP/2.0") and b" INVITE\r\n" in data:
                return any(
                    self.draw.random() < fault.factor
                    for fault in self.plan.active_faults_on("answers-lost", self.machine_run.number, now)
                )
        return False

    def handle_message(self, message: Message, hop: Hop) -> None:
        if self.running and message.method:
            self._handle_request(message, hop)
        elif self.running:
            self._handle_response(message, hop)

    def invalid_message_received(self, bad: BadMessageError, hop: Hop) -> None:
        self.capture.note("bad message", why=str(bad), peer=f"{hop.host}:{hop.port}")

    def hop_failed(self, hop: Hop, reset: bool) -> None:
        if self.running:
            self.transactions.hop_failed(current_units(), hop, reset)

    def _handle_response(self, message: Message, hop: Hop) -> None:
        via = top_via(message)
        if not via.branch.startswith(FORWARDED_PREFIX):
            self.transactions.received(current_units(), message, hop)
            return
        message.pop_first("Via")
        key = message.call_id, tag_of(message.get("From"))
        held = self.held_by_dialog.get(key)
        _, method = message.cseq()
        if held is not None and held.transit and method == "INVITE":
            if 200 <= message.status < 300:
                held.established = True
            elif message.status >= 300:
                self._free_circuits(key)
        previous_hop = top_via(message)
        params = previous_hop.params
        host = params.get("received") or previous_hop.host
        port = int(params.get("rport") or previous_hop.port)
        self.sockets.transmit(
            bytes(message), Hop(previous_hop.transport, host, port if previous_hop.transport == "UDP" else previous_hop.port)
        )

    def _handle_request(self, message: Message, hop: Hop) -> None:
        routes = message.all("Route")
        if routes and (uri := parse_uri(parse_address(routes[0])[0])) and (uri.host, uri.port) == self.address:
            self._forward_in_dialog(message, hop)
            return
        user = parse_uri(message.uri).user
        if message.method in ("INVITE", "ACK", "CANCEL") and self._exchange_of(message.uri) not in (-1, self.machine_run.number):
            self._handle_transit(message, hop)
        elif message.method == "MESSAGE" and user == "proxy" and (hop.host, hop.port) != self.proxy:
            self._enqueue(self.plan.day.processor.message_ms, lambda: self._forward(message, hop, self.proxy_hop))
        else:
            self.transactions.received(current_units(), message, hop)

    def _exchange_of(self, uri: str) -> int:
        """The exchange that a number belongs to, or -1. Numbers are 0NN and more digits, with NN the exchange."""
        user = parse_uri(uri).user
        return int(user[1:3]) if len(user) > 3 and user[1:3].isdigit() else -1

    def _source_of(self, uri: str) -> int:
        group = parse_uri(uri).user_params.get("tgrp", "")
        first = group[1:].partition("-")[0]
        return int(first) if group.startswith("g") and first.isdigit() else -1

    # --- in transit ---

    def _onward_branch(self, message: Message) -> str:
        via = top_via(message)
        text = f"{via.branch} {via.host}:{via.port}"
        return FORWARDED_PREFIX + blake2s(text.encode("utf-8", "replace"), digest_size=9).hexdigest()

    def _forward(self, message: Message, hop: Hop, onward: Hop, record: bool = False) -> None:
        via = top_via(message)
        branch = self._onward_branch(message)
        forwarded = message.copy()
        record_source(forwarded, via, hop)
        hops = forwarded.get("Max-Forwards", "70").strip()
        if not hops.isdigit() or int(hops) <= 0:
            return
        forwarded.put("Max-Forwards", str(int(hops) - 1))
        if record:
            incoming_parameter = ";transport=tcp" if hop.transport == "TCP" else ""
            outgoing_parameter = ";transport=tcp" if onward.transport == "TCP" else ""
            if incoming_parameter != outgoing_parameter:
                forwarded.push("Record-Route", f"<{self.uri}{incoming_parameter};lr>")
            forwarded.push("Record-Route", f"<{self.uri}{outgoing_parameter};lr>")
        forwarded.push("Via", f"SIP/2.0/{onward.transport} {self.address[0]}:{self.address[1]};branch={branch};rport")
        self.sockets.transmit(bytes(forwarded), onward)

    def _handle_transit(self, message: Message, hop: Hop) -> None:
        branch = self._onward_branch(message)
        if message.method != "INVITE":
            if branch in self.is_forwarded and self.is_forwarded[branch]:
                self._forward(message, hop, self.proxy_hop)
            return
        if branch in self.is_forwarded:
            if self.is_forwarded[branch]:
                self._forward(message, hop, self.proxy_hop, True)
            return
        self._count_arrival()
        if not self._seize_circuits(
            message, True, lambda status, tag, fields: self.transactions.respond_statelessly(message, status, tag, hop, fields)
        ):
            return
        self.is_forwarded[branch] = False
        if len(self.is_forwarded) > 5_000:
            del self.is_forwarded[next(iter(self.is_forwarded))]

        def forward_invite() -> None:
            self.is_forwarded[branch] = True
            self._forward(message, hop, self.proxy_hop, True)

        self._enqueue(self.plan.day.processor.transit_ms, forward_invite)

    def _forward_in_dialog(self, message: Message, hop: Hop) -> None:
        """Forward a request within a dialog in transit along its route set; a BYE frees the circuits held here."""
        while True:
            routes = message.all("Route")
            uri = parse_uri(parse_address(routes[0])[0]) if routes else None
            if uri is None or (uri.host, uri.port) != self.address:
                break
            message.pop_first("Route")
        if message.method == "BYE":
            for tag in (tag_of(message.get("From")), tag_of(message.get("To"))):
                self._free_circuits((message.call_id, tag))
        self._forward(message, hop, next_hop(message))

    # --- circuits ---

    def _seize_circuits(self, message: Message, transit: bool, refuse: Callable[[int, str, list[tuple[str, str]]], None]) -> bool:
        """Seize circuits of the group that the set-up arrived on, or refuse it. Returns whether they were seized."""
        source = self._source_of(message.uri)
        circuits = 1
        for value in message.all("Resource-Priority"):
            for entry in self.plan.day.traffic_type:
                if value in entry.resource_priority:
                    circuits = entry.circuits
        key = message.call_id, tag_of(message.get("From"))
        own_number, processor = self.machine_run.number, self.plan.day.processor
        if not 0 <= source < self.plan.day.exchanges or source == own_number or key in self.held_by_dialog:
            refuse(404 if key not in self.held_by_dialog else 482, "none", [])
            return False
        if self._queue_delay() > processor.turn_away_after_ms / 1000:
            self._enqueue(processor.refuse_ms, lambda: None)
            refuse(503, "full", [q850_reason(42)])
            return False
        if self.shared.held(own_number, source) + circuits > self.plan.group_size(own_number, source, self.now()):
            self._enqueue(processor.refuse_ms, lambda: None)
            refuse(503, "none", [q850_reason(34)])
            return False
        self.shared.add(source, own_number, circuits)
        self.held_by_dialog[key] = HeldCircuits(source, circuits, self.now(), transit)
        return True

    def _free_circuits(self, key: tuple[str, str]) -> None:
        held = self.held_by_dialog.pop(key, None)
        if held is not None and not held.released:
            held.released = True
            self.shared.add(held.source, self.machine_run.number, -held.circuits)

    def _cut_dialog(self, key: tuple[str, str]) -> None:
        held = self.held_by_dialog.get(key)
        if held is None or held.released or held.transit or held.dialog is None or not held.established:
            return
        bye = held.dialog.request("BYE")
        bye.fields.append(q850_reason(38))
        self._free_circuits(key)
        self.transactions.request(current_units(), bye, next_hop(bye), MAGIC_COOKIE + secrets.token_hex(8))

    # --- the transactions' user ---

    def request_received(self, now: int, server: ServerTransaction, message: Message) -> None:
        if message.method == "INVITE":
            self._handle_invite(now, server, message)
        elif message.method == "SUBSCRIBE":
            self.notifier.subscribe(now, server, message)
        elif message.method == "CANCEL":
            self._handle_cancel(now, server, message)
        elif message.method == "BYE":

            def release() -> None:
                tags = tag_of(message.get("From")), tag_of(message.get("To"))
                known = any((message.call_id, tag) in self.held_by_dialog for tag in tags)
                for tag in tags:
                    self._free_circuits((message.call_id, tag))
                self.transactions.respond(current_units(), server, response(message, 200 if known else 481, "bye"))

            self._enqueue(self.plan.day.processor.release_ms, release)
        elif message.method == "OPTIONS":
            self._enqueue(self.plan.day.processor.message_ms, lambda: self._handle_probe(server, message))
        else:
            self.transactions.respond(now, server, response(message, 405, "no"))

    def _handle_probe(self, server: ServerTransaction, message: Message) -> None:
        """Answer an OPTIONS probe; one whose fencing token is older than the newest seen here is refused with 412 (RFC 3903)."""
        duty, _, rest = message.get("Gingergap-Duty").partition(";")
        params = parse_params(rest)
        if duty and params.get("counter", "").isdigit():
            token = FencingToken(int(params["counter"]), params.get("holder", ""))
            admitted = self.fence.admit(current_units(), duty, token, True)
            self.capture.note("probed", exchange=self.machine_run.id, counter=token.counter, holder=token.holder, admitted=admitted)
            if not admitted:
                newest = self.fence.newest[duty][0]
                self.transactions.respond(
                    current_units(),
                    server,
                    response(
                        message, 412, "probe", [("Gingergap-Duty", f"{duty};counter={newest.counter};holder={newest.holder}")]
                    ),
                )
                return
        self.transactions.respond(current_units(), server, response(message, 200, "probe"))

    def _handle_invite(self, now: int, server: ServerTransaction, message: Message) -> None:
        self._count_arrival()
        key = message.call_id, tag_of(message.get("From"))
        if not self._seize_circuits(
            message,
            False,
            lambda status, tag, fields: self.transactions.respond(current_units(), server, response(message, status, tag, fields)),
        ):
            return
        held = self.held_by_dialog[key]
        held.server = server
        self.transactions.respond(now, server, response(message, 100))

        def answer() -> None:
            if self.held_by_dialog.get(key) is not held or held.released:
                return  # cancelled while it was queued
            if self.draw.random() < self.plan.day.processor.lines_busy:
                self._free_circuits(key)
                self.transactions.respond(current_units(), server, response(message, 486, self._tag(key), [q850_reason(17)]))
                return
            tag = self._tag(key)
            held.dialog = SipDialog.from_request(message, tag)
            held.answer = response(
                message,
                200,
                tag,
                [
                    ("Contact", f"<{self.uri}{';transport=tcp' if server.hop.transport == 'TCP' else ''}>"),
                    ("Content-Type", "application/sdp"),
                ],
                SDP_BODY,
            )
            held.established = True
            self.transactions.respond(current_units(), server, held.answer)
            self._schedule_retransmission(key, held, 0.5)

        self._enqueue(self.plan.day.processor.setup_ms, answer)

    def _schedule_retransmission(self, key: tuple[str, str], held: HeldCircuits, gap: float) -> None:
        """Retransmit a 2xx until its ACK arrives, and release the dialog if none does (RFC 3261 section 13.3.1.4).

        `gap` is in seconds; it doubles with each retransmission.
        """

        def retransmit() -> None:
            if not self.running or held.acked or held.released:
                return
            if gap > 8:
                self._cut_dialog(key)
                return
            self.transactions.respond(current_units(), held.server, held.answer)
            self._schedule_retransmission(key, held, 2 * gap)

        gevent.spawn_later(gap, retransmit)

    def _tag(self, key: tuple[str, str]) -> str:
        return blake2s(
            f"{self.machine_run.id} {self.machine_run.starts_at} {key}".encode("utf-8", "replace"), digest_size=5
        ).hexdigest()

    def _handle_cancel(self, now: int, server: ServerTransaction, message: Message) -> None:
        branch, sent_by, _ = server.key
        invite = self.transactions.servers.get((branch, sent_by, "INVITE"))
        self.transactions.respond(now, server, response(message, 200 if invite else 481, "cancel"))
        key = message.call_id, tag_of(message.get("From"))
        held = self.held_by_dialog.get(key)
        if invite is not None and held is not None and not held.established and invite.request is not None:
            self._free_circuits(key)
            self.transactions.respond(now, invite, response(invite.request, 487, self._tag(key)))

    def ack_received(self, now: int, message: Message, hop: Hop) -> None:
        held = self.held_by_dialog.get((message.call_id, tag_of(message.get("From"))))
        if held is not None:
            held.acked = True

    def response_received(self, now: int, client: ClientTransaction, message: Message) -> None:
        self.notifier.notify_answered(client, message)

    def client_failed(self, now: int, client: ClientTransaction, failure: ClientFailure) -> None:
        self.notifier.notify_failed(client)


def play(
    plan: DayPlan,
    number: int,
    epoch: float,
    addresses: list[tuple[str, int]],
    proxy: tuple[str, int],
    proxies: dict[tuple[str, int], int],
    exchange_by_address: dict[tuple[str, int], int],
    report: Path,
    proxy_tcp: bool,
) -> None:
    """Run the machines of exchange `number` until the process is ended; `report` is the day's folder.

    `exchange_by_address` maps the addresses of proxies and exchanges to exchange numbers.
    """
    capture = Capture(report / f"part-exchange-{number}.jsonl", plan.day.capture)
    shared = SharedCircuits(report / "circuits", plan.day.exchanges)
    running: dict[MachineRun, Machine] = {}

    def run_machine(machine_run: MachineRun) -> None:
        machine = Machine(
            plan,
            machine_run,
            addresses[machine_run.address_index],
            proxy,
            frozenset(proxies),
            exchange_by_address,
            shared,
            capture,
            epoch,
            proxy_tcp,
        )
        running[machine_run] = machine
        machine.start()
        if machine_run.stops_at < NEVER:
            gevent.sleep(max(0.0, epoch + machine_run.stops_at - time.monotonic()))
            machine.stop(machine_run.orderly_stop)
            del running[machine_run]

    for machine_run in plan.machine_runs:
        now = time.monotonic() - epoch
        if machine_run.number == number and machine_run.stops_at > now:
            gevent.spawn_later(max(0.0, machine_run.starts_at - now), run_machine, machine_run)
    for scheduled in plan.scheduled_faults:
        if scheduled.fault.kind == "cut":
            wait = epoch + scheduled.fault.at - time.monotonic()
            if wait > 0:
                gevent.spawn_later(
                    wait, lambda share: [machine.cut_share(share) for machine in running.values()], scheduled.fault.share
                )
    while True:
        gevent.sleep(60)
