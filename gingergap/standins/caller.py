"""Callers of one exchange: first tries in a Poisson stream that waits for nobody (open loop), redials, patience that
ends, calls that are cut and come again. What became of each dialog goes into a file at the end.
"""

import math
import random
import secrets
import time
from pathlib import Path
from typing import Any

import gevent
import msgspec
from gevent.event import Event

from ..edge.words import MARKS
from ..sip.dialogs import SipDialog, next_hop
from ..sip.fields import reason_of, seconds_of, tag_of
from ..sip.message import Message, response
from ..sip.transactions import MAGIC, Client, Hop, Lost, Server, State
from .capture import Capture, FaultInjector
from .day_plan import DayPlan
from .exchange import BODY
from .sip_element import Element, units

SPREAD = 0.5  # of the logarithm of how long a dialog lasts


class Offer(msgspec.Struct):
    """One dialog with all its tries, as the caller saw it. Times in seconds of the day; -1 for never."""

    type: str
    importance: float
    first: float
    tries: int = 0
    stood: float = -1.0
    took: float = -1.0
    in_time: bool = False
    cut: bool = False
    last: int = 0  # the last final status


class Try:
    """One INVITE of a caller."""

    def __init__(self) -> None:
        self.answered = Event()
        self.status = 0
        self.retry_after = 0
        self.dialog: SipDialog | None = None
        self.ack: Message | None = None
        self.ended = Event()
        self.cut = False
        self.given_up = False


class Callers(Element):
    """All callers of exchange `home`, who reach their proxy at `proxy`."""

    def __init__(
        self, plan: DayPlan, home: int, address: tuple[str, int], proxy: tuple[str, int], epoch: float, capture: Capture
    ) -> None:
        self.plan, self.home, self.proxy, self.epoch = plan, home, proxy, epoch
        gate = FaultInjector(
            capture, plan, self.now, f"{address[0]}:{address[1]}", f"{plan.seed} callers {home}", frozenset([proxy])
        )
        super().__init__(address, epoch, gate)
        self.draw = random.Random(f"{plan.seed} callers {home}")
        self.tries: dict[tuple[str, str], Try] = {}
        self.offers: list[Offer] = []
        self.open = True

    # --- a dialog ---

    def run(self, until: float) -> None:
        """First tries until the day's end."""
        self.sockets.open()
        gevent.spawn(self.tick)
        types = self.plan.day.traffic_type
        at = 0.0
        while True:
            rate = self.plan.call_rate(self.home, at)
            at += self.draw.expovariate(rate)
            if at >= until:
                return
            kind = self.draw.choices(types, [entry.share for entry in types])[0]
            far = self.draw.choices(range(self.plan.day.exchanges), self.plan.destination_weights[self.home])[0]
            seed = self.draw.getrandbits(48)
            gevent.sleep(max(0.0, self.epoch + at - time.monotonic()))
            gevent.spawn(self._dialog, kind, far, random.Random(seed))

    def _dialog(self, kind: Any, far: int, draw: random.Random) -> None:
        habits = self.plan.day.callers
        offer = Offer(kind.name, kind.importance, self.now())
        self.offers.append(offer)
        number = f"0{far:02d}{draw.randrange(10**6):06d}"
        caller = f"0{self.home:02d}{draw.randrange(10**6):06d}"
        transport = "TCP" if draw.random() < habits.tcp else "UDP"
        hold = draw.lognormvariate(math.log(kind.hold_s) - SPREAD**2 / 2, SPREAD)
        give_up_at = offer.first + kind.no_answer_time_ms / 1000
        marks: list[str] = []
        began = offer.first
        while True:
            offer.tries += 1
            attempt = self._try(kind, number, caller, transport, marks, draw)
            offer.last = attempt.status
            if attempt.dialog is not None:
                offer.stood = self.now()
                offer.took = offer.stood - began
                offer.in_time = offer.took <= kind.setup_objective_ms / 1000
                offer.cut = self._talk(attempt, hold)
                if not offer.cut or not self.open:
                    return
                gevent.sleep(0.3 + draw.random())
                marks, began, give_up_at = ["cut"], self.now(), self.now() + kind.no_answer_time_ms / 1000
                offer.in_time = False
                continue
            if offer.tries > habits.redials or attempt.given_up and draw.random() < 0.3:
                return
            wait = habits.backoff_ms / 1000 * (0.5 + draw.random())
            if attempt.retry_after and draw.random() < habits.honour:
                wait = max(wait, attempt.retry_after)
            gevent.sleep(wait)
            if self.now() >= give_up_at or not self.open:
                return
            if habits.marks_redial and "redialled" not in marks:
                marks = [*marks, "redialled"]

    def _try(self, kind: Any, number: str, caller: str, transport: str, marks: list[str], draw: random.Random) -> Try:
        host, port = self.address
        way = ";transport=tcp" if transport == "TCP" else ""
        invite = Message("INVITE", f"sip:{number}@{self.proxy[0]}:{self.proxy[1]}{way}", body=BODY)
        tag, call_id = secrets.token_hex(4), secrets.token_hex(8)
        invite.fields = [
            ("Max-Forwards", "70"),
            ("From", f'"{caller}" <sip:{caller}@{host}>;tag={tag}'),
            ("To", f"<sip:{number}@{self.proxy[0]}>"),
            ("Call-ID", call_id),
            ("CSeq", "1 INVITE"),
            ("Contact", f"<sip:{caller}@{host}:{port}{way}>"),
            ("Expires", str(kind.patience_s)),
            ("Content-Type", "application/sdp"),
        ]
        if kind.resource_priority:
            invite.fields.append(("Resource-Priority", kind.resource_priority[0]))
        if marks:
            invite.fields.append((MARKS, ";".join(marks)))
        attempt = Try()
        self.tries[call_id, tag] = attempt
        client = self.transactions.request(units(), invite, Hop(transport, *self.proxy), MAGIC + secrets.token_hex(8), attempt)
        patience = float(kind.patience_s)
        if draw.random() < self.plan.day.callers.impatient:
            patience *= draw.random() ** 2
        if not attempt.answered.wait(patience):
            attempt.given_up = True
            self.transactions.cancel(units(), client)
            if client.state in (State.CALLING, State.PROCEEDING):
                attempt.answered.wait(0.5)  # a final answer may cross the CANCEL
        if attempt.dialog is None and attempt.status == 0:
            gevent.spawn_later(40, self.tries.pop, (call_id, tag), None)
        elif attempt.dialog is None:
            gevent.spawn_later(10, self.tries.pop, (call_id, tag), None)
        return attempt

    def _talk(self, attempt: Try, hold: float) -> bool:
        """Hold the dialog, end it; whether it was cut before."""
        if attempt.ended.wait(hold):
            return attempt.cut
        self._hang_up(attempt)
        return False

    def _hang_up(self, attempt: Try) -> None:
        attempt.ended.set()
        bye = attempt.dialog.request("BYE")
        self.transactions.request(units(), bye, next_hop(bye), MAGIC + secrets.token_hex(8))
        key = attempt.dialog.call_id, tag_of(attempt.dialog.local)
        gevent.spawn_later(40, self.tries.pop, key, None)

    def finish(self) -> None:
        """The day is over: no more redials, and whoever still talks hangs up."""
        self.open = False
        for attempt in list(self.tries.values()):
            if attempt.dialog is not None and not attempt.ended.is_set():
                self._hang_up(attempt)

    # --- sockets and transactions ---

    def response_came(self, now: int, client: Client, message: Message) -> None:
        attempt = client.owner
        if not isinstance(attempt, Try) or message.status < 200:
            return
        if message.status >= 300:
            if not attempt.status:
                attempt.status = message.status
                attempt.retry_after = seconds_of(message, "Retry-After", 0)
                attempt.answered.set()
            return
        if attempt.dialog is None:
            attempt.status = message.status
            attempt.dialog = SipDialog.of_uac(message)
            attempt.ack = attempt.dialog.request("ACK")
            attempt.ack.push(
                "Via",
                f"SIP/2.0/{next_hop(attempt.ack).transport} {self.address[0]}:"
                f"{self.address[1]};branch={MAGIC}{secrets.token_hex(8)};rport",
            )
            attempt.answered.set()
        self.sockets.transmit(bytes(attempt.ack), next_hop(attempt.ack))
        if attempt.given_up and not attempt.ended.is_set():
            gevent.spawn(self._hang_up, attempt)  # it stood after the caller had gone

    def stray_response(self, now: int, message: Message) -> None:
        attempt = self.tries.get((message.call_id, tag_of(message.get("From"))))
        if attempt is not None and attempt.ack is not None:
            self.sockets.transmit(bytes(attempt.ack), next_hop(attempt.ack))

    def request_came(self, now: int, server: Server, message: Message) -> None:
        attempt = self.tries.get((message.call_id, tag_of(message.get("To"))))
        if message.method == "BYE" and attempt is not None:
            self.transactions.respond(now, server, response(message, 200))
            if not attempt.ended.is_set():
                attempt.cut = reason_of(message)[0] in (27, 38, 41)
                attempt.ended.set()
        else:
            self.transactions.respond(now, server, response(message, 481 if message.method == "BYE" else 405, "x"))

    def client_lost(self, now: int, client: Client, how: Lost) -> None:
        if isinstance(client.owner, Try):
            client.owner.answered.set()


def play(plan: DayPlan, home: int, address: tuple[str, int], proxy: tuple[str, int], epoch: float, report: Path) -> None:
    """Call for the day's length, let the last tries end, and write what became of each dialog."""
    capture = Capture(report / f"part-callers-{home}.jsonl", plan.day.capture)
    callers = Callers(plan, home, address, proxy, epoch, capture)
    callers.run(plan.day.seconds)
    longest = max(entry.patience_s for entry in plan.day.traffic_type)
    gevent.sleep(max(0.0, epoch + plan.day.seconds + longest + 0.5 - time.monotonic()))
    callers.finish()
    gevent.sleep(1.5)
    (report / f"callers-{home}.json").write_bytes(msgspec.json.encode(callers.offers))
    capture.close()
