"""The exchange list: notifies its subscribers of the running machines, with the delays that the day's plan gives."""

import random
import secrets
import time
from pathlib import Path

import gevent

from ..sip.message import Message, response
from ..sip.transactions import ClientFailure, ClientTransaction, Hop, ServerTransaction
from .capture import Capture, FaultInjector
from .day_plan import BEFORE_DAY, DayPlan
from .notifier import Notifier
from .sip_element import SipElement, current_units


class ExchangeList(SipElement):
    """The exchange list of a day. `addresses` gives the two `host:port` addresses of each exchange number."""

    def __init__(
        self,
        plan: DayPlan,
        address: tuple[str, int],
        addresses: dict[int, list[str]],
        epoch: float,
        proxies: frozenset[tuple[str, int]],
        capture: Capture,
    ) -> None:
        self.plan, self.addresses, self.epoch, self.capture = plan, addresses, epoch, capture
        gate = FaultInjector(
            capture, plan, self.now, f"{address[0]}:{address[1]}", f"{plan.seed} list", proxies, self._is_silent, self._is_silent
        )
        super().__init__(address, epoch, gate)
        self.notifier = Notifier(self.transactions, "exchange-list", "exchanges", f"sip:{address[0]}:{address[1]}")
        self.draw = random.Random(f"{plan.seed} list words")
        self.address_indexes = {machine_run.id: machine_run.address_index for machine_run in plan.machine_runs}

    def _is_silent(self, data: bytes, hop: Hop) -> bool:
        return bool(self.plan.active_faults("list-silent", self.now()))

    def _entry(self, name: str, number: int, state: str, started: float) -> dict[str, object]:
        wall_time = 0.0 if started <= 0 else self.epoch + started - time.monotonic() + time.time()
        return {
            "id": name,
            "number": number,
            "state": state,
            "started": round(wall_time, 3),
            "address": self.addresses[number][self.address_indexes[name]],
            "transport": "TCP" if number in self.plan.tcp_exchanges else "UDP",
        }

    def run(self) -> None:
        """Serve the list and publish its updates at their times, until the last one."""
        self.sockets.open()
        self.notifier.entries = {
            machine_run.id: self._entry(machine_run.id, machine_run.number, "ready", 0.0)
            for machine_run in self.plan.machine_runs
            if machine_run.starts_at == BEFORE_DAY
        }
        gevent.spawn(self.run_timers)
        for when, name, number, state, started in self.plan.list_updates():
            gevent.sleep(max(0.0, self.epoch + when - time.monotonic()))
            self.notifier.update(current_units(), {name: self._entry(name, number, state, started)})

    def request_received(self, now: int, server: ServerTransaction, message: Message) -> None:
        if message.method == "SUBSCRIBE":
            self.notifier.subscribe(now, server, message)
        else:
            self.transactions.respond(now, server, response(message, 405, secrets.token_hex(4)))

    def response_received(self, now: int, client: ClientTransaction, message: Message) -> None:
        self.notifier.notify_answered(client, message)

    def client_failed(self, now: int, client: ClientTransaction, failure: ClientFailure) -> None:
        self.notifier.notify_failed(client)


def play(
    plan: DayPlan,
    address: tuple[str, int],
    addresses: dict[int, list[str]],
    epoch: float,
    proxies: frozenset[tuple[str, int]],
    report: Path,
) -> None:
    """Run the exchange list until the process is ended; `report` is the day's folder."""
    ExchangeList(plan, address, addresses, epoch, proxies, Capture(report / "part-list.jsonl", plan.day.capture)).run()
    while True:
        gevent.sleep(60)
