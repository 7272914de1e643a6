"""Callers of one exchange: first attempts as a Poisson process that does not wait for answers (open loop), redials, callers who
give up, and new attempts after a cut. The outcome of each dialog is written to a file at the end.
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

from ..edge.sip_mapping import DIALOG_FIELD
from ..sip.dialogs import SipDialog, next_hop
from ..sip.fields import parse_seconds, q850_cause_of, tag_of
from ..sip.message import Message, response
from ..sip.transactions import MAGIC_COOKIE, ClientFailure, ClientTransaction, Hop, ServerTransaction, TransactionState
from .capture import Capture, FaultInjector
from .day_plan import DayPlan
from .exchange import SDP_BODY
from .sip_element import SipElement, current_units

DURATION_SIGMA = 0.5  # standard deviation of the logarithm of a dialog's duration


class Offer(msgspec.Struct):
    """One dialog with all its attempts, as the caller saw it. Written to the callers' file under the names of its fields.

    `first` is the time of the first attempt and `stood` that at which the dialog was established, in seconds since the day began;
    `took` is the duration of the successful set-up in seconds; -1 for never.
    """

    type: str
    importance: float
    first: float
    tries: int = 0
    stood: float = -1.0
    took: float = -1.0
    in_time: bool = False
    cut: bool = False
    last: int = 0  # status of the last final response


class CallAttempt:
    """One INVITE of a caller. `status` is 0 until a final response arrives; `cut` tells a cut call from one that the called side
    released."""

    def __init__(self) -> None:
        self.answered = Event()
        self.status = 0
        self.retry_after = 0
        self.dialog: SipDialog | None = None
        self.ack: Message | None = None
        self.ended = Event()
        self.cut = False
        self.given_up = False


class Callers(SipElement):
    """All callers of exchange `home`, whose proxy has the address `proxy`."""

    def __init__(
        self, plan: DayPlan, home: int, address: tuple[str, int], proxy: tuple[str, int], epoch: float, capture: Capture
    ) -> None:
        self.plan, self.home, self.proxy, self.epoch = plan, home, proxy, epoch
        gate = FaultInjector(
            capture, plan, self.now, f"{address[0]}:{address[1]}", f"{plan.seed} callers {home}", frozenset([proxy])
        )
        super().__init__(address, epoch, gate)
        self.draw = random.Random(f"{plan.seed} callers {home}")
        self.attempts: dict[tuple[str, str], CallAttempt] = {}
        self.offers: list[Offer] = []
        self.running = True

    # --- a dialog ---

    def run(self, until: float) -> None:
        """Start dialogs at random times until `until`, in seconds since the day began."""
        self.sockets.open()
        gevent.spawn(self.run_timers)
        traffic_types = self.plan.day.traffic_type
        at = 0.0
        while True:
            rate = self.plan.call_rate(self.home, at)
            at += self.draw.expovariate(rate)
            if at >= until:
                return
            traffic_type = self.draw.choices(traffic_types, [entry.share for entry in traffic_types])[0]
            destination = self.draw.choices(range(self.plan.day.exchanges), self.plan.destination_weights[self.home])[0]
            seed = self.draw.getrandbits(48)
            gevent.sleep(max(0.0, self.epoch + at - time.monotonic()))
            gevent.spawn(self._make_call, traffic_type, destination, random.Random(seed))

    def _make_call(self, traffic_type: Any, destination: int, draw: random.Random) -> None:
        behaviour = self.plan.day.callers
        offer = Offer(traffic_type.name, traffic_type.importance, self.now())
        self.offers.append(offer)
        called_number = f"0{destination:02d}{draw.randrange(10**6):06d}"
        caller_number = f"0{self.home:02d}{draw.randrange(10**6):06d}"
        transport = "TCP" if draw.random() < behaviour.tcp else "UDP"
        duration = draw.lognormvariate(math.log(traffic_type.hold_s) - DURATION_SIGMA**2 / 2, DURATION_SIGMA)
        give_up_at = offer.first + traffic_type.no_answer_time_ms / 1000
        parameters: list[str] = []
        started_at = offer.first
        while True:
            offer.tries += 1
            attempt = self._attempt(traffic_type, called_number, caller_number, transport, parameters, draw)
            offer.last = attempt.status
            if attempt.dialog is not None:
                offer.stood = self.now()
                offer.took = offer.stood - started_at
                offer.in_time = offer.took <= traffic_type.setup_objective_ms / 1000
                offer.cut = self._hold_dialog(attempt, duration)
                if not offer.cut or not self.running:
                    return
                gevent.sleep(0.3 + draw.random())
                parameters, started_at, give_up_at = ["cut"], self.now(), self.now() + traffic_type.no_answer_time_ms / 1000
                offer.in_time = False
                continue
            if offer.tries > behaviour.redials or attempt.given_up and draw.random() < 0.3:
                return
            wait = behaviour.backoff_ms / 1000 * (0.5 + draw.random())
            if attempt.retry_after and draw.random() < behaviour.honour:
                wait = max(wait, attempt.retry_after)
            gevent.sleep(wait)
            if self.now() >= give_up_at or not self.running:
                return
            if behaviour.marks_redial and "redialled" not in parameters:
                parameters = [*parameters, "redialled"]

    def _attempt(
        self, traffic_type: Any, called_number: str, caller_number: str, transport: str, parameters: list[str], draw: random.Random
    ) -> CallAttempt:
        host, port = self.address
        transport_parameter = ";transport=tcp" if transport == "TCP" else ""
        invite = Message("INVITE", f"sip:{called_number}@{self.proxy[0]}:{self.proxy[1]}{transport_parameter}", body=SDP_BODY)
        tag, call_id = secrets.token_hex(4), secrets.token_hex(8)
        invite.fields = [
            ("Max-Forwards", "70"),
            ("From", f'"{caller_number}" <sip:{caller_number}@{host}>;tag={tag}'),
            ("To", f"<sip:{called_number}@{self.proxy[0]}>"),
            ("Call-ID", call_id),
            ("CSeq", "1 INVITE"),
            ("Contact", f"<sip:{caller_number}@{host}:{port}{transport_parameter}>"),
            ("Expires", str(traffic_type.patience_s)),
            ("Content-Type", "application/sdp"),
        ]
        if traffic_type.resource_priority:
            invite.fields.append(("Resource-Priority", traffic_type.resource_priority[0]))
        if parameters:
            invite.fields.append((DIALOG_FIELD, ";".join(parameters)))
        attempt = CallAttempt()
        self.attempts[call_id, tag] = attempt
        client = self.transactions.request(
            current_units(), invite, Hop(transport, *self.proxy), MAGIC_COOKIE + secrets.token_hex(8), attempt
        )
        wait_limit = float(traffic_type.patience_s)
        if draw.random() < self.plan.day.callers.impatient:
            wait_limit *= draw.random() ** 2
        if not attempt.answered.wait(wait_limit):
            attempt.given_up = True
            self.transactions.cancel(current_units(), client)
            if client.state in (TransactionState.CALLING, TransactionState.PROCEEDING):
                attempt.answered.wait(0.5)  # a final response may cross the CANCEL
        if attempt.dialog is None and attempt.status == 0:
            gevent.spawn_later(40, self.attempts.pop, (call_id, tag), None)
        elif attempt.dialog is None:
            gevent.spawn_later(10, self.attempts.pop, (call_id, tag), None)
        return attempt

    def _hold_dialog(self, attempt: CallAttempt, duration: float) -> bool:
        """Release the dialog after `duration` seconds. Returns whether it was cut before that."""
        if attempt.ended.wait(duration):
            return attempt.cut
        self._release(attempt)
        return False

    def _release(self, attempt: CallAttempt) -> None:
        attempt.ended.set()
        bye = attempt.dialog.request("BYE")
        self.transactions.request(current_units(), bye, next_hop(bye), MAGIC_COOKIE + secrets.token_hex(8))
        key = attempt.dialog.call_id, tag_of(attempt.dialog.local)
        gevent.spawn_later(40, self.attempts.pop, key, None)

    def finish(self) -> None:
        """End the day: stop redials and release the established dialogs."""
        self.running = False
        for attempt in list(self.attempts.values()):
            if attempt.dialog is not None and not attempt.ended.is_set():
                self._release(attempt)

    # --- sockets and transactions ---

    def response_received(self, now: int, client: ClientTransaction, message: Message) -> None:
        attempt = client.owner
        if not isinstance(attempt, CallAttempt) or message.status < 200:
            return
        if message.status >= 300:
            if not attempt.status:
                attempt.status = message.status
                attempt.retry_after = parse_seconds(message, "Retry-After", 0)
                attempt.answered.set()
            return
        if attempt.dialog is None:
            attempt.status = message.status
            attempt.dialog = SipDialog.from_response(message)
            attempt.ack = attempt.dialog.request("ACK")
            attempt.ack.push(
                "Via",
                f"SIP/2.0/{next_hop(attempt.ack).transport} {self.address[0]}:"
                f"{self.address[1]};branch={MAGIC_COOKIE}{secrets.token_hex(8)};rport",
            )
            attempt.answered.set()
        self.sockets.transmit(bytes(attempt.ack), next_hop(attempt.ack))
        if attempt.given_up and not attempt.ended.is_set():
            gevent.spawn(self._release, attempt)  # answered after the caller had given up

    def stray_response(self, now: int, message: Message) -> None:
        attempt = self.attempts.get((message.call_id, tag_of(message.get("From"))))
        if attempt is not None and attempt.ack is not None:
            self.sockets.transmit(bytes(attempt.ack), next_hop(attempt.ack))

    def request_received(self, now: int, server: ServerTransaction, message: Message) -> None:
        attempt = self.attempts.get((message.call_id, tag_of(message.get("To"))))
        if message.method == "BYE" and attempt is not None:
            self.transactions.respond(now, server, response(message, 200))
            if not attempt.ended.is_set():
                attempt.cut = q850_cause_of(message)[0] in (27, 38, 41)
                attempt.ended.set()
        else:
            self.transactions.respond(now, server, response(message, 481 if message.method == "BYE" else 405, "x"))

    def client_failed(self, now: int, client: ClientTransaction, failure: ClientFailure) -> None:
        if isinstance(client.owner, CallAttempt):
            client.owner.answered.set()


def play(plan: DayPlan, home: int, address: tuple[str, int], proxy: tuple[str, int], epoch: float, report: Path) -> None:
    """Call until the day ends, let the last attempts end, and write the outcome of each dialog into the folder `report`."""
    capture = Capture(report / f"part-callers-{home}.jsonl", plan.day.capture)
    callers = Callers(plan, home, address, proxy, epoch, capture)
    callers.run(plan.day.seconds)
    max_wait = max(entry.patience_s for entry in plan.day.traffic_type)
    gevent.sleep(max(0.0, epoch + plan.day.seconds + max_wait + 0.5 - time.monotonic()))
    callers.finish()
    gevent.sleep(1.5)
    (report / f"callers-{home}.json").write_bytes(msgspec.json.encode(callers.offers))
    capture.close()
