"""The exchange list: tells its subscribers, late and by script, which machines run. Whole and partial states mixed."""

import random
import secrets
import time
from pathlib import Path

import gevent

from ..sip.message import Message, response
from ..sip.transactions import Client, Hop, Lost, Server
from .capture import Capture, FaultInjector
from .day_plan import BEFORE_DAY, DayPlan
from .notifier import Notifier
from .sip_element import Element, units


class ExchangeList(Element):
    """`addresses` gives each exchange number its two `host:port` texts."""

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
            capture, plan, self.now, f"{address[0]}:{address[1]}", f"{plan.seed} list", proxies, self._lost, self._lost
        )
        super().__init__(address, epoch, gate)
        self.notifier = Notifier(self.transactions, "exchange-list", "exchanges", f"sip:{address[0]}:{address[1]}")
        self.draw = random.Random(f"{plan.seed} list words")
        self.slots = {life.id: life.address_index for life in plan.machine_runs}

    def _lost(self, data: bytes, hop: Hop) -> bool:
        return bool(self.plan.active_faults("list-silent", self.now()))

    def _line(self, name: str, number: int, state: str, started: float) -> dict[str, object]:
        wall = 0.0 if started <= 0 else self.epoch + started - time.monotonic() + time.time()
        return {
            "id": name,
            "number": number,
            "state": state,
            "started": round(wall, 3),
            "address": self.addresses[number][self.slots[name]],
            "transport": "TCP" if number in self.plan.tcp_exchanges else "UDP",
        }

    def run(self) -> None:
        self.sockets.open()
        self.notifier.lines = {
            life.id: self._line(life.id, life.number, "ready", 0.0)
            for life in self.plan.machine_runs
            if life.starts_at == BEFORE_DAY
        }
        gevent.spawn(self.tick)
        for when, name, number, state, started in self.plan.list_updates():
            gevent.sleep(max(0.0, self.epoch + when - time.monotonic()))
            self.notifier.changed(units(), {name: self._line(name, number, state, started)})

    def request_came(self, now: int, server: Server, message: Message) -> None:
        if message.method == "SUBSCRIBE":
            self.notifier.subscribe(now, server, message)
        else:
            self.transactions.respond(now, server, response(message, 405, secrets.token_hex(4)))

    def response_came(self, now: int, client: Client, message: Message) -> None:
        self.notifier.answered(client, message)

    def client_lost(self, now: int, client: Client, how: Lost) -> None:
        self.notifier.lost(client)


def play(
    plan: DayPlan,
    address: tuple[str, int],
    addresses: dict[int, list[str]],
    epoch: float,
    proxies: frozenset[tuple[str, int]],
    report: Path,
) -> None:
    ExchangeList(plan, address, addresses, epoch, proxies, Capture(report / "part-list.jsonl", plan.day.capture)).run()
    while True:
        gevent.sleep(60)
