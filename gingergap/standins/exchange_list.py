"""The exchange list: tells its subscribers, late and by script, which machines run. Whole and partial states mixed."""

import random
import secrets
import time
from pathlib import Path

import gevent

from ..sip.message import BadMessageError, Message, response
from ..sip.transactions import Client, Hop, Lost, Server, Transactions
from ..transport.sockets import Sockets
from .capture import Capture, HarmfulGate
from .exchange import units
from .notifier import Notifier
from .script import LONG_AGO, Plan


class ExchangeList:
    """`addresses` gives each exchange number its two `host:port` texts."""

    def __init__(self, plan: Plan, address: tuple[str, int], addresses: dict[int, list[str]], epoch: float,
                 proxies: frozenset[tuple[str, int]], capture: Capture) -> None:
        self.plan, self.addresses, self.epoch, self.capture = plan, addresses, epoch, capture
        gate = HarmfulGate(capture, plan, self.now, f"{address[0]}:{address[1]}", f"{plan.seed} list", proxies,
                           self._lost, self._lost)
        self.sockets = Sockets(self, address, gate)
        self.transactions = Transactions(self, self.sockets, address)
        self.notifier = Notifier(self.transactions, "exchange-list", "exchanges",
                                 f"sip:{address[0]}:{address[1]}")
        self.draw = random.Random(f"{plan.seed} list words")
        self.slots = {life.id: life.slot for life in plan.lives}

    def now(self) -> float:
        return time.monotonic() - self.epoch

    def _lost(self, data: bytes, hop: Hop) -> bool:
        return bool(self.plan.anywhere("list-silent", self.now()))

    def _line(self, name: str, number: int, state: str, started: float) -> dict[str, object]:
        wall = 0.0 if started <= 0 else self.epoch + started - time.monotonic() + time.time()
        return {"id": name, "number": number, "state": state, "started": round(wall, 3),
                "address": self.addresses[number][self.slots[name]],
                "transport": "TCP" if number in self.plan.tcp else "UDP"}

    def run(self) -> None:
        self.sockets.open()
        self.notifier.lines = {life.id: self._line(life.id, life.number, "ready", 0.0)
                               for life in self.plan.lives if life.born == LONG_AGO}
        gevent.spawn(self._tick)
        for when, name, number, state, started in self.plan.list_news():
            gevent.sleep(max(0.0, self.epoch + when - time.monotonic()))
            self.notifier.changed(units(), {name: self._line(name, number, state, started)})

    def _tick(self) -> None:
        while True:
            gevent.sleep(0.01)
            self.transactions.due(units())

    def got(self, message: Message, hop: Hop) -> None:
        try:
            self.transactions.received(units(), message, hop)
        except BadMessageError as bad:
            if message.method and bad.status:
                self.transactions.stateless(message, bad.status, "bad", hop)

    def got_bad(self, bad: BadMessageError, hop: Hop) -> None:
        pass

    def hop_failed(self, hop: Hop, reset: bool) -> None:
        self.transactions.hop_failed(units(), hop, reset)

    def request_came(self, now: int, server: Server, message: Message) -> None:
        if message.method == "SUBSCRIBE":
            self.notifier.subscribe(now, server, message)
        else:
            self.transactions.respond(now, server, response(message, 405, secrets.token_hex(4)))

    def ack_came(self, now: int, message: Message, hop: Hop) -> None:
        pass

    def door_shut(self, now: int, message: Message, hop: Hop) -> None:
        pass

    def response_came(self, now: int, client: Client, message: Message) -> None:
        self.notifier.answered(client, message)

    def stray_response(self, now: int, message: Message) -> None:
        pass

    def client_lost(self, now: int, client: Client, how: Lost) -> None:
        self.notifier.lost(client)

    def server_lost(self, now: int, server: Server) -> None:
        pass


def play(plan: Plan, address: tuple[str, int], addresses: dict[int, list[str]], epoch: float,
         proxies: frozenset[tuple[str, int]], report: Path) -> None:
    ExchangeList(plan, address, addresses, epoch, proxies, Capture(report / "part-list.jsonl")).run()
    while True:
        gevent.sleep(60)
