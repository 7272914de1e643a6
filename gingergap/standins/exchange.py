"""A small exchange: one processor line with a queue, groups of circuits, dialogs that it answers, and dialogs in
transit that it hands to its own proxy. One process plays the machines of one exchange number through a day.

In transit it is a stateless proxy that stays on the path (RFC 3261 section 16.11), so that it sees the release; what
it keeps of such a dialog is only the circuits that it holds.
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
from ..sip.fields import address_of, params_of, q850, tag_of, top_via, uri_of
from ..sip.message import BadMessageError, Message, response
from ..sip.transactions import MAGIC, Client, Hop, Lost, Server, stamp_via
from .capture import Capture, FaultInjector
from .day_plan import BEFORE_DAY, NEVER, DayPlan, MachineRun
from .notifier import Notifier
from .shared_circuits import SharedCircuits
from .sip_element import Element, units

FORWARDED = MAGIC + "t"
LONGEST_SETUP = 15.0  # seconds after which circuits of a set-up that was never finished are freed
BODY = b"v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\nm=audio 40000 RTP/AVP 8\r\n"


class Held:
    """Circuits held for one dialog that reached this exchange."""

    __slots__ = ("source", "width", "since", "stands", "dialog", "server", "released", "acked", "answer", "transit")

    def __init__(self, source: int, width: int, since: float, transit: bool) -> None:
        self.source, self.width, self.since, self.transit = source, width, since, transit
        self.stands = self.released = self.acked = False
        self.dialog: SipDialog | None = None
        self.server: Server | None = None
        self.answer: Message | None = None


class Machine(Element):
    """One machine from its start to its stop."""

    def __init__(
        self,
        plan: DayPlan,
        life: MachineRun,
        address: tuple[str, int],
        proxy: tuple[str, int],
        proxies: frozenset[tuple[str, int]],
        homes: dict[tuple[str, int], int],
        shared: SharedCircuits,
        capture: Capture,
        epoch: float,
        proxy_tcp: bool,
    ) -> None:
        self.plan, self.life, self.proxy = plan, life, proxy
        self.homes, self.shared, self.capture, self.epoch = homes, shared, capture, epoch
        self.proxy_hop = Hop("TCP" if proxy_tcp else "UDP", *proxy)
        self.draw = random.Random(f"{plan.seed} {life.id} {life.starts_at}")
        gate = FaultInjector(
            capture,
            plan,
            self.now,
            f"{address[0]}:{address[1]}",
            f"{plan.seed} {life.id} {life.starts_at} gate",
            proxies,
            self._lost_in,
            self._lost_out,
        )
        super().__init__(address, epoch, gate)
        self.uri = f"sip:{address[0]}:{address[1]}"
        self.notifier = Notifier(self.transactions, "trunk-groups", "groups", self.uri)
        self.queue: deque[tuple[float, Callable[[], None]]] = deque()
        self.queued = 0.0
        self.work = Event()
        self.held: dict[tuple[str, str], Held] = {}
        self.forwarded: dict[str, bool] = {}  # branches of dialogs in transit: whether the INVITE has gone on
        self.running = True
        self.fence = TokenFence(0)
        self.fallen = False
        self.arrivals: deque[float] = deque()
        self.reset_at = 0.0
        self.greenlets: list[gevent.Greenlet] = []

    # --- life ---

    def start(self) -> None:
        self.shared.clear(self.life.number)
        for _ in range(100):
            try:
                self.sockets.open()
                break
            except OSError:
                gevent.sleep(0.02)  # the machine before has not let go of the port yet
        cold = self.life.starts_at > BEFORE_DAY
        now = self.epoch + self.now()
        warm = self.plan.day.cold.warm_after_ms / 1000
        self.capture.note(
            "exchange",
            now,
            exchange=self.life.id,
            number=self.life.number,
            address=f"{self.address[0]}:{self.address[1]}",
            cold=cold,
            capacity=self.plan.setup_capacity(),
            from_share=self.plan.day.cold.from_share,
            warm_after=warm,
        )
        self.notifier.lines = self._groups()
        self.greenlets = [gevent.spawn(self._line), gevent.spawn(self._tick)]

    def stop(self, orderly: bool) -> None:
        """Stop: in good order standing dialogs are told that they are cut; else everything just ends."""
        if not self.running:
            return
        if orderly:
            for key in list(self.held):
                self._cut(key)
            gevent.sleep(0.1)
        self.running = False
        self.capture.note("stopped", exchange=self.life.id, number=self.life.number, address=f"{self.address[0]}:{self.address[1]}")
        for greenlet in self.greenlets:
            greenlet.kill(block=False)
        self.sockets.close()
        for held in self.held.values():
            if not held.released:
                self.shared.add(held.source, self.life.number, -held.width)
                held.released = True

    def _tick(self) -> None:
        told = dict(self.notifier.lines)
        rounds = 0
        while True:
            gevent.sleep(0.01)
            if not self._silent():
                self.transactions.due(units())
            rounds += 1
            self._drop_connections()
            if rounds % 4 == 0:
                groups = self._groups()
                news = {number: line for number, line in groups.items() if told.get(number) != line}
                if news:
                    told.update(news)
                    self.notifier.changed(units(), news)
            if rounds % 100 == 0:
                self._free_forgotten()
                self._free_lost_circuits()

    def _drop_connections(self) -> None:
        now = self.now()
        for fault in self.plan.active_faults_on("resets", self.life.number, now):
            if now >= self.reset_at:
                self.reset_at = now + fault.every_ms / 1000 * (0.5 + self.draw.random())
                self.capture.note("reset", address=f"{self.address[0]}:{self.address[1]}")
                self.sockets.reset()

    def _groups(self) -> dict[object, dict[str, object]]:
        here, now = self.life.number, self.now()
        lines: dict[object, dict[str, object]] = {}
        for number in range(self.plan.day.exchanges):
            if number != here:
                size = self.plan.group_size(here, number, now)
                free = max(0, size - self.shared.held(here, number))
                lines[number] = {"number": number, "free": free, "size": size}
        return lines

    def _free_forgotten(self) -> None:
        for key, held in list(self.held.items()):
            if not held.stands and self.now() - held.since > LONGEST_SETUP:
                self._free(key)

    def _free_lost_circuits(self) -> None:
        """A group that shrank under what it carries: dialogs on the lost circuits are cut."""
        here = self.life.number
        for number in range(self.plan.day.exchanges):
            if number == here:
                continue
            over = self.shared.held(here, number) - self.plan.group_size(here, number, self.now())
            for key, held in list(self.held.items()):
                if over <= 0:
                    break
                if held.source == number and held.stands:
                    over -= held.width
                    self._cut(key)

    def cut_share(self, share: float) -> None:
        standing = [key for key, held in self.held.items() if held.stands and not held.released]
        for key in self.draw.sample(standing, round(share * len(standing))):
            self._cut(key)

    # --- the processor line ---

    def _line(self) -> None:
        while True:
            if not self.queue:
                self.work.clear()
                self.work.wait()
                continue
            cost, job = self.queue[0]
            left = cost
            while left > 0:
                speed = 0.0 if self.fallen else self.plan.processor_speed(self.life, self.now())
                step = min(left / speed, 0.05) if speed > 0 else 0.02
                before = time.monotonic()
                gevent.sleep(step)
                left -= (time.monotonic() - before) * speed
            self.queue.popleft()
            self.queued -= cost
            job()

    def _put(self, ms: float, job: Callable[[], None]) -> None:
        self.queue.append((ms / 1000, job))
        self.queued += ms / 1000
        self.work.set()

    def _wait(self) -> float:
        """Seconds until something put now would be begun."""
        speed = self.plan.processor_speed(self.life, self.now())
        return self.queued / speed if speed > 0 else self.queued + 0.1

    def _arrived(self) -> None:
        """Set-ups that reach a cold machine weigh; too many for too long and it is down for good."""
        if self.plan.add_arrival(self.life, self.arrivals, self.now()) and not self.fallen:
            self.fallen = True
            self.capture.note("fell over", exchange=self.life.id, number=self.life.number)

    # --- messages ---

    def _silent(self) -> bool:
        return self.fallen or bool(self.plan.active_faults_on("silence", self.life.number, self.now()))

    def _other_end(self, data: bytes, hop: Hop) -> int | None:
        return self.homes.get((hop.host, hop.port))

    def _lost_in(self, data: bytes, hop: Hop) -> bool:
        now = self.now()
        if self._silent():
            return True
        other = self._other_end(data, hop)
        if other is not None and self.plan.is_cut_off(other, self.life.number, now):
            return True
        if data.startswith(b"MESSAGE"):
            return any(self.draw.random() < fault.factor for fault in self.plan.active_faults("messages-lost", now))
        return False

    def _lost_out(self, data: bytes, hop: Hop) -> bool:
        now = self.now()
        if self._silent():
            return True
        other = self._other_end(data, hop)
        if other is not None and other != self.life.number:
            if self.plan.is_cut_off(other, self.life.number, now):
                return True
            if data.startswith(b"SIP/2.0") and b" INVITE\r\n" in data:
                return any(
                    self.draw.random() < fault.factor for fault in self.plan.active_faults_on("answers-lost", self.life.number, now)
                )
        return False

    def take(self, message: Message, hop: Hop) -> None:
        if self.running and message.method:
            self._got_request(message, hop)
        elif self.running:
            self._got_response(message, hop)

    def got_bad(self, bad: BadMessageError, hop: Hop) -> None:
        self.capture.note("bad message", why=str(bad), peer=f"{hop.host}:{hop.port}")

    def hop_failed(self, hop: Hop, reset: bool) -> None:
        if self.running:
            self.transactions.hop_failed(units(), hop, reset)

    def _got_response(self, message: Message, hop: Hop) -> None:
        via = top_via(message)
        if not via.branch.startswith(FORWARDED):
            self.transactions.received(units(), message, hop)
            return
        message.pop_first("Via")
        key = message.call_id, tag_of(message.get("From"))
        held = self.held.get(key)
        _, method = message.cseq()
        if held is not None and held.transit and method == "INVITE":
            if 200 <= message.status < 300:
                held.stands = True
            elif message.status >= 300:
                self._free(key)
        back = top_via(message)
        params = back.params
        host = params.get("received") or back.host
        port = int(params.get("rport") or back.port)
        self.sockets.transmit(bytes(message), Hop(back.transport, host, port if back.transport == "UDP" else back.port))

    def _got_request(self, message: Message, hop: Hop) -> None:
        routes = message.all("Route")
        if routes and (uri := uri_of(address_of(routes[0])[0])) and (uri.host, uri.port) == self.address:
            self._pass_within(message, hop)
            return
        user = uri_of(message.uri).user
        if message.method in ("INVITE", "ACK", "CANCEL") and self._number_of(message.uri) not in (-1, self.life.number):
            self._in_transit(message, hop)
        elif message.method == "MESSAGE" and user == "proxy" and (hop.host, hop.port) != self.proxy:
            self._put(self.plan.day.processor.message_ms, lambda: self._forward(message, hop, self.proxy_hop))
        else:
            self.transactions.received(units(), message, hop)

    def _number_of(self, uri: str) -> int:
        """Numbers are 0NN and digits: the exchange they belong to, -1 for none."""
        user = uri_of(uri).user
        return int(user[1:3]) if len(user) > 3 and user[1:3].isdigit() else -1

    def _source_of(self, uri: str) -> int:
        group = uri_of(uri).user_params.get("tgrp", "")
        first = group[1:].partition("-")[0]
        return int(first) if group.startswith("g") and first.isdigit() else -1

    # --- in transit ---

    def _branch_onward(self, message: Message) -> str:
        via = top_via(message)
        text = f"{via.branch} {via.host}:{via.port}"
        return FORWARDED + blake2s(text.encode("utf-8", "replace"), digest_size=9).hexdigest()

    def _forward(self, message: Message, hop: Hop, onward: Hop, record: bool = False) -> None:
        via = top_via(message)
        branch = self._branch_onward(message)
        onto = message.copy()
        stamp_via(onto, via, hop)
        hops = onto.get("Max-Forwards", "70").strip()
        if not hops.isdigit() or int(hops) <= 0:
            return
        onto.put("Max-Forwards", str(int(hops) - 1))
        if record:
            came = ";transport=tcp" if hop.transport == "TCP" else ""
            goes = ";transport=tcp" if onward.transport == "TCP" else ""
            if came != goes:
                onto.push("Record-Route", f"<{self.uri}{came};lr>")
            onto.push("Record-Route", f"<{self.uri}{goes};lr>")
        onto.push("Via", f"SIP/2.0/{onward.transport} {self.address[0]}:{self.address[1]};branch={branch};rport")
        self.sockets.transmit(bytes(onto), onward)

    def _in_transit(self, message: Message, hop: Hop) -> None:
        branch = self._branch_onward(message)
        if message.method != "INVITE":
            if branch in self.forwarded and self.forwarded[branch]:
                self._forward(message, hop, self.proxy_hop)
            return
        if branch in self.forwarded:
            if self.forwarded[branch]:
                self._forward(message, hop, self.proxy_hop, True)
            return
        self._arrived()
        if not self._seize(
            message, True, lambda status, tag, fields: self.transactions.stateless(message, status, tag, hop, fields)
        ):
            return
        self.forwarded[branch] = False
        if len(self.forwarded) > 5_000:
            del self.forwarded[next(iter(self.forwarded))]

        def go_on() -> None:
            self.forwarded[branch] = True
            self._forward(message, hop, self.proxy_hop, True)

        self._put(self.plan.day.processor.transit_ms, go_on)

    def _pass_within(self, message: Message, hop: Hop) -> None:
        """A request within a dialog in transit: on along its route set; a BYE frees the circuits here."""
        while True:
            routes = message.all("Route")
            uri = uri_of(address_of(routes[0])[0]) if routes else None
            if uri is None or (uri.host, uri.port) != self.address:
                break
            message.pop_first("Route")
        if message.method == "BYE":
            for tag in (tag_of(message.get("From")), tag_of(message.get("To"))):
                self._free((message.call_id, tag))
        self._forward(message, hop, next_hop(message))

    # --- circuits ---

    def _seize(self, message: Message, transit: bool, refuse: Callable[[int, str, list[tuple[str, str]]], None]) -> bool:
        """Take the circuits of the group that the set-up came on, or turn it back."""
        source = self._source_of(message.uri)
        width = 1
        for value in message.all("Resource-Priority"):
            for entry in self.plan.day.traffic_type:
                if value in entry.resource_priority:
                    width = entry.circuits
        key = message.call_id, tag_of(message.get("From"))
        here, processor = self.life.number, self.plan.day.processor
        if not 0 <= source < self.plan.day.exchanges or source == here or key in self.held:
            refuse(404 if key not in self.held else 482, "none", [])
            return False
        if self._wait() > processor.turn_away_after_ms / 1000:
            self._put(processor.refuse_ms, lambda: None)
            refuse(503, "full", [q850(42)])
            return False
        if self.shared.held(here, source) + width > self.plan.group_size(here, source, self.now()):
            self._put(processor.refuse_ms, lambda: None)
            refuse(503, "none", [q850(34)])
            return False
        self.shared.add(source, here, width)
        self.held[key] = Held(source, width, self.now(), transit)
        return True

    def _free(self, key: tuple[str, str]) -> None:
        held = self.held.pop(key, None)
        if held is not None and not held.released:
            held.released = True
            self.shared.add(held.source, self.life.number, -held.width)

    def _cut(self, key: tuple[str, str]) -> None:
        held = self.held.get(key)
        if held is None or held.released or held.transit or held.dialog is None or not held.stands:
            return
        bye = held.dialog.request("BYE")
        bye.fields.append(q850(38))
        self._free(key)
        self.transactions.request(units(), bye, next_hop(bye), MAGIC + secrets.token_hex(8))

    # --- the transactions' user ---

    def request_came(self, now: int, server: Server, message: Message) -> None:
        if message.method == "INVITE":
            self._invited(now, server, message)
        elif message.method == "SUBSCRIBE":
            self.notifier.subscribe(now, server, message)
        elif message.method == "CANCEL":
            self._cancelled(now, server, message)
        elif message.method == "BYE":

            def release() -> None:
                tags = tag_of(message.get("From")), tag_of(message.get("To"))
                known = any((message.call_id, tag) in self.held for tag in tags)
                for tag in tags:
                    self._free((message.call_id, tag))
                self.transactions.respond(units(), server, response(message, 200 if known else 481, "bye"))

            self._put(self.plan.day.processor.release_ms, release)
        elif message.method == "OPTIONS":
            self._put(self.plan.day.processor.message_ms, lambda: self._probed(server, message))
        else:
            self.transactions.respond(now, server, response(message, 405, "no"))

    def _probed(self, server: Server, message: Message) -> None:
        """A probe under a lease is answered if its token is not older than the newest seen here (412, RFC 3903)."""
        duty, _, rest = message.get("Gingergap-Duty").partition(";")
        params = params_of(rest)
        if duty and params.get("counter", "").isdigit():
            token = FencingToken(int(params["counter"]), params.get("holder", ""))
            admitted = self.fence.admit(units(), duty, token, True)
            self.capture.note("probed", exchange=self.life.id, counter=token.counter, holder=token.holder, admitted=admitted)
            if not admitted:
                newest = self.fence.newest[duty][0]
                self.transactions.respond(
                    units(),
                    server,
                    response(
                        message, 412, "probe", [("Gingergap-Duty", f"{duty};counter={newest.counter};holder={newest.holder}")]
                    ),
                )
                return
        self.transactions.respond(units(), server, response(message, 200, "probe"))

    def _invited(self, now: int, server: Server, message: Message) -> None:
        self._arrived()
        key = message.call_id, tag_of(message.get("From"))
        if not self._seize(
            message,
            False,
            lambda status, tag, fields: self.transactions.respond(units(), server, response(message, status, tag, fields)),
        ):
            return
        held = self.held[key]
        held.server = server
        self.transactions.respond(now, server, response(message, 100))

        def answer() -> None:
            if self.held.get(key) is not held or held.released:
                return  # called off meanwhile: the work was for nothing
            if self.draw.random() < self.plan.day.processor.lines_busy:
                self._free(key)
                self.transactions.respond(units(), server, response(message, 486, self._tag(key), [q850(17)]))
                return
            tag = self._tag(key)
            held.dialog = SipDialog.of_uas(message, tag)
            held.answer = response(
                message,
                200,
                tag,
                [
                    ("Contact", f"<{self.uri}{';transport=tcp' if server.hop.transport == 'TCP' else ''}>"),
                    ("Content-Type", "application/sdp"),
                ],
                BODY,
            )
            held.stands = True
            self.transactions.respond(units(), server, held.answer)
            self._answer_again(key, held, 0.5)

        self._put(self.plan.day.processor.setup_ms, answer)

    def _answer_again(self, key: tuple[str, str], held: Held, gap: float) -> None:
        """A 2xx is sent again until its ACK comes; without one the dialog is ended (section 13.3.1.4)."""

        def again() -> None:
            if not self.running or held.acked or held.released:
                return
            if gap > 8:
                self._cut(key)
                return
            self.transactions.respond(units(), held.server, held.answer)
            self._answer_again(key, held, 2 * gap)

        gevent.spawn_later(gap, again)

    def _tag(self, key: tuple[str, str]) -> str:
        return blake2s(f"{self.life.id} {self.life.starts_at} {key}".encode("utf-8", "replace"), digest_size=5).hexdigest()

    def _cancelled(self, now: int, server: Server, message: Message) -> None:
        branch, sent_by, _ = server.key
        invited = self.transactions.servers.get((branch, sent_by, "INVITE"))
        self.transactions.respond(now, server, response(message, 200 if invited else 481, "cancel"))
        key = message.call_id, tag_of(message.get("From"))
        held = self.held.get(key)
        if invited is not None and held is not None and not held.stands and invited.request is not None:
            self._free(key)
            self.transactions.respond(now, invited, response(invited.request, 487, self._tag(key)))

    def ack_came(self, now: int, message: Message, hop: Hop) -> None:
        held = self.held.get((message.call_id, tag_of(message.get("From"))))
        if held is not None:
            held.acked = True

    def response_came(self, now: int, client: Client, message: Message) -> None:
        self.notifier.answered(client, message)

    def client_lost(self, now: int, client: Client, how: Lost) -> None:
        self.notifier.lost(client)


def play(
    plan: DayPlan,
    number: int,
    epoch: float,
    addresses: list[tuple[str, int]],
    proxy: tuple[str, int],
    proxies: dict[tuple[str, int], int],
    homes: dict[tuple[str, int], int],
    report: Path,
    proxy_tcp: bool,
) -> None:
    """Run an exchange's machines until the process is ended. `homes` tells which exchange an address belongs to."""
    capture = Capture(report / f"part-exchange-{number}.jsonl", plan.day.capture)
    shared = SharedCircuits(report / "circuits", plan.day.exchanges)
    running: dict[MachineRun, Machine] = {}

    def live(life: MachineRun) -> None:
        machine = Machine(
            plan, life, addresses[life.address_index], proxy, frozenset(proxies), homes, shared, capture, epoch, proxy_tcp
        )
        running[life] = machine
        machine.start()
        if life.stops_at < NEVER:
            gevent.sleep(max(0.0, epoch + life.stops_at - time.monotonic()))
            machine.stop(life.orderly_stop)
            del running[life]

    for life in plan.machine_runs:
        now = time.monotonic() - epoch
        if life.number == number and life.stops_at > now:
            gevent.spawn_later(max(0.0, life.starts_at - now), live, life)
    for strike in plan.scheduled_faults:
        if strike.fault.kind == "cut":
            wait = epoch + strike.fault.at - time.monotonic()
            if wait > 0:
                gevent.spawn_later(
                    wait, lambda share: [machine.cut_share(share) for machine in running.values()], strike.fault.share
                )
    while True:
        gevent.sleep(60)
