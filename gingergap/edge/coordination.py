"""Joins membership, duties and the background scheduler to one running proxy.

Off unless the settings have a `(coordination ...)` part. Nothing here is a decision on calls: what duties bring is kept
beside the module with its age (`learned`), shown to operators, and never reaches brain.py.
"""

import secrets
import time
from collections.abc import Callable
from random import Random
from typing import Any

import gevent
import msgspec
from gevent.event import AsyncResult

from ..duties import messages
from ..duties.keeper import Duty, Keeper
from ..duties.leases import Token
from ..membership import swim
from ..membership.codec import Sealer
from ..membership.swim import Members
from ..membership.transport import DUTIES, MEMBERSHIP, Datagrams
from ..scheduler.plan import Background, WorkClass
from ..scheduler.runner import Runner
from ..sip.fields import parse_host_port
from .proxy import DUTY_FIELD, EdgeProxy

SECOND = 10_000
STEP = 0.025  # seconds between looks at what is due
PROBE_TIMEOUT = 1.5  # seconds


class LocalWork:
    """Background tasks that every proxy does for itself, coordinated or not."""

    def __init__(
        self, proxy: EdgeProxy, clock: Callable[[], int], log: Any, load: Callable[[], float], *, budget: float, longest_dialog: int
    ) -> None:
        self.proxy, self.clock = proxy, clock
        self.plan = Background(
            Random(secrets.randbits(64)), {"duties": WorkClass(budget), "sweeps": WorkClass(budget), "store": WorkClass(budget)}
        )
        self.runner = Runner(self.plan, clock, load, log, self._over)
        self.over: Callable[[str, bool], None] = lambda name, done: None
        self.runner.add(
            "sweep dialogs",
            "sweeps",
            lambda: self._sweep(longest_dialog),
            period=5 * SECOND,
            limit=60 * SECOND,
            first_in=5 * SECOND,
        )

    def add_sweep(
        self, name: str, run: Callable[[], bool], *, period: int, limit: int, kind: str = "sweeps", deadline: int | None = None
    ) -> None:
        """Housekeeping of another part of this process; `run` says whether it was done."""
        self.runner.add(name, kind, run, period=period, limit=limit, first_in=period, deadline=deadline)

    def _over(self, name: str, done: bool) -> None:
        self.over(name, done)

    def _sweep(self, longest_dialog: int) -> bool:
        """Dialogs that have stood past any sense: both ends died without a word."""
        for dialog in self.proxy.dialogs_before(self.clock() - longest_dialog):
            self.proxy.drop_dialog(self.clock(), dialog)
            gevent.sleep(0)
        return True


class Coordination:
    """Host of `Members` and of the `Keeper`. `everybody` maps each configured member's name to its address."""

    def __init__(
        self,
        proxy: EdgeProxy,
        work: LocalWork,
        clock: Callable[[], int],
        log: Any,
        *,
        name: str,
        address: str,
        listen: str,
        key: bytes,
        everybody: dict[str, str],
        weight: int,
        period: int,
        lasts: int,
        probe_every: int,
        probe_limit: int,
        tokens: dict[str, int] | None = None,
    ) -> None:
        self.proxy, self.work, self.clock, self.log, self.name = proxy, work, clock, log, name
        self.everybody = everybody
        life = time.time_ns() // 1_000_000 << 8 | secrets.randbits(8)
        self.datagrams = Datagrams(parse_host_port(listen), Sealer(key, name, life), self._got)
        now = clock()
        self.members = Members(
            self,
            Random(secrets.randbits(64)),
            now,
            name,
            address,
            life,
            weight,
            period=period,
            timeout=period * 3 // 10,
            seeds=tuple(everybody.values()),
            sync_every=10 * period,
        )
        duties = [Duty(f"probe {exchange}", probe_every, probe_limit, cost=0.5) for exchange in proxy.exchange_ids]
        duties.append(Duty("check list", 2 * probe_every, 2 * probe_limit, cost=0.2, worth=2.0, once=False))
        self.keeper = Keeper(
            self,
            Random(secrets.randbits(64)),
            now,
            name,
            life,
            frozenset(everybody),
            duties,
            lasts=lasts,
            settle=2 * period,
            patience=period,
        )
        for duty, counter in (tokens or {}).items():
            self.keeper.recall(duty, counter)
        self.learned: dict[str, tuple[float, int, str]] = {}  # what: value, when by the own clock, who learned it
        self.runs: dict[str, int] = {}
        work.over = self._run_over
        self.greenlet: gevent.Greenlet | None = None
        self.refused: set[str] = set()  # duties whose run found that they are not ours: neither done nor failed

    def open(self) -> None:
        self.datagrams.open()
        self.greenlet = gevent.spawn(self._steps)

    def close(self) -> None:
        if self.greenlet is not None:
            self.greenlet.kill(block=False)
        self.datagrams.close()

    def leave(self) -> None:
        """Hand everything over and say good-bye; steps go on until `close`, so that the word spreads."""
        self.keeper.leave(self.clock())
        self.members.leave(self.clock())

    def _steps(self) -> None:
        steps = 0
        while True:
            gevent.sleep(STEP)
            now = self.clock()
            self.members.due(now)
            steps += 1
            if steps % 4 == 0:
                self.keeper.due(now, self.members.present())

    # --- datagrams ---

    def _got(self, kind: int, sender: str, life: int, address: str, body: bytes) -> None:
        now = self.clock()
        try:
            if kind == MEMBERSHIP:
                self.members.received(now, sender, life, address, swim.DECODER.decode(body))
            elif kind == DUTIES and sender in self.everybody:
                self._heard(now, sender, address, messages.DECODER.decode(body))
        except msgspec.MsgspecError:
            self.datagrams.counts["refused: form"] = self.datagrams.counts.get("refused: form", 0) + 1

    def _heard(self, now: int, sender: str, address: str, message: Any) -> None:
        match message:
            case messages.Ask(duty, counter, holder, lasts, done_ago):
                granted, newest = self.keeper.asked(now, duty, Token(counter, holder), lasts, done_ago)
                self._tell(sender, address, messages.Vote(duty, counter, granted, newest))
            case messages.Vote(duty, counter, granted, newest):
                self.keeper.voted(now, sender, duty, counter, granted, newest, self.members.present())
            case messages.Release(duty, counter, holder):
                self.keeper.released(now, duty, Token(counter, holder))
            case messages.Learned(duty, _, _, what, value, age):
                self._learn(now - max(0, age), duty, what, value, sender)

    def _tell(self, name: str, address: str, message: Any) -> None:
        self.datagrams.send(name, address, DUTIES, messages.ENCODER.encode(message))

    def _tell_all(self, message: Any) -> None:
        for name, address in self.everybody.items():
            if name != self.name:
                member = self.members.others.get(name)
                self._tell(name, member.address if member is not None else address, message)

    # --- host of Members ---

    def send(self, to: str, address: str, message: swim.Message) -> None:
        self.datagrams.send(to, address, MEMBERSHIP, swim.ENCODER.encode(message))

    def member_up(self, name: str) -> None:
        self.log.info("member-up", member=name)

    def member_down(self, name: str, left: bool) -> None:
        self.log.warning("member-left" if left else "member-dead", member=name)

    def name_taken(self, address: str) -> None:
        self.log.error("name-taken", member=self.name, address=address)

    # --- host of the Keeper ---

    def ask(self, duty: str, token: Token, lasts: int, done_ago: int) -> None:
        self._tell_all(messages.Ask(duty, token.counter, token.holder, lasts, done_ago))

    def release(self, duty: str, token: Token) -> None:
        self._tell_all(messages.Release(duty, token.counter, token.holder))

    def begin(self, duty: Duty, token: Token, first_in: int) -> None:
        self.log.info("duty-ours", duty=duty.name, counter=token.counter)
        self.work.runner.add(
            duty.name,
            "duties",
            lambda: self._run(duty),
            period=duty.period,
            limit=duty.limit,
            cost=duty.cost,
            worth=duty.worth,
            first_in=first_in,
            deadline=duty.limit // 2,
        )

    def end(self, duty: Duty) -> None:
        self.log.info("duty-given-up", duty=duty.name)
        self.work.runner.cancel(duty.name)

    # --- duties ---

    def _run(self, duty: Duty) -> bool:
        if not self.keeper.may_act(self.clock(), duty.name):
            self.refused.add(duty.name)  # the lease ran out just now: no failure of ours to stand aside for
            return False
        self.runs[duty.name] = self.runs.get(duty.name, 0) + 1
        kind, _, about = duty.name.partition(" ")
        return self._probe(duty, about) if kind == "probe" else self._check_list(duty)

    def _run_over(self, name: str, done: bool) -> None:
        if name in self.refused:
            self.refused.discard(name)
        elif name in self.keeper.held:
            if done:
                self.keeper.done(self.clock(), name)
            else:
                self.keeper.failed(self.clock(), name)

    def _probe(self, duty: Duty, exchange: str) -> bool:
        """OPTIONS to an exchange, under the lease's token; its answer time is shared. One that does not answer has been
        probed all the same."""
        gw = self.proxy.gw_by_id.get(exchange)
        hop = self.proxy.hops[gw] if gw is not None else None
        if hop is None:
            return True
        token = self.keeper.token_of(duty.name)
        answer, began = AsyncResult(), self.clock()
        self.proxy.probe(began, hop, answer.set, f"{exchange};counter={token.counter};holder={token.holder}")
        try:
            message = answer.get(timeout=PROBE_TIMEOUT)
        except gevent.Timeout:
            message = None
        if message is not None and message.status == 412:
            newest = message.get(DUTY_FIELD)
            counter = next(
                (int(part[8:]) for part in newest.split(";") if part.startswith("counter=") and part[8:].isdigit()),
                token.counter + 1,
            )
            self.refused.add(duty.name)
            self.keeper.refused(self.clock(), duty.name, Token(counter, ""))
            return False
        took = -1.0 if message is None else (self.clock() - began) / 10
        self._share(duty, token, f"answer ms of {exchange}", took)
        return True

    def _check_list(self, duty: Duty) -> bool:
        """Which version of the list we hold; who holds an older one of the same epoch asks for it anew."""
        subscription = self.proxy.subscribers["exchange-list"].subscription
        if subscription.version >= 0:
            self._share(duty, self.keeper.token_of(duty.name), f"list {subscription.epoch}", float(subscription.version))
        return True

    def _share(self, duty: Duty, token: Token, what: str, value: float) -> None:
        now = self.clock()
        self._learn(now, duty.name, what, value, self.name)
        self._tell_all(messages.Learned(duty.name, token.counter, token.holder, what, value, self.clock() - now))

    def _learn(self, at: int, duty: str, what: str, value: float, who: str) -> None:
        held = self.learned.get(what)
        if held is None or held[1] <= at:
            self.learned[what] = value, at, who
            if len(self.learned) > 10_000:
                del self.learned[next(iter(self.learned))]
        if what.startswith("list "):
            self.proxy.list_version_seen(self.clock(), what[5:], int(value))

    # --- what operators see ---

    def members_table(self) -> list[dict[str, Any]]:
        now = self.clock()
        own = {
            "name": self.name,
            "address": self.members.address,
            "standing": "out" if self.members.out else "left" if self.members.leaving else "alive",
            "incarnation": self.members.incarnation,
            "since_s": None,
            "own": True,
            "health": self.members.health,
        }
        return [own] + [
            {
                "name": member.name,
                "address": member.address,
                "standing": member.standing.name.lower(),
                "incarnation": member.incarnation,
                "since_s": round((now - member.since) / SECOND, 1),
                "own": False,
            }
            for member in sorted(self.members.others.values(), key=lambda one: one.name)
        ]

    def duties_table(self) -> list[dict[str, Any]]:
        now = self.clock()
        rows = []
        for name, held in sorted(self.keeper.held.items()):
            grant = self.keeper.voter.grants.get(name)
            holder = grant.token.holder.partition("/")[0] if grant is not None and now < grant.until else ""
            ago = (now - held.heard_done_at) / SECOND
            rows.append(
                {
                    "duty": name,
                    "nearest": held.owner,
                    "holder": self.name if held.since >= 0 else holder,
                    "counter": held.claim.counter if held.since >= 0 else grant.token.counter if grant else 0,
                    "mode": "once at most" if held.duty.once else "at least once",
                    "done_ago_s": round(ago, 1),
                    "overdue": ago * SECOND > held.duty.limit,
                    "runs_here": self.runs.get(name, 0),
                }
            )
        return rows

    def learned_table(self) -> list[dict[str, Any]]:
        now = self.clock()
        return [
            {"what": what, "value": value, "age_s": round((now - at) / SECOND, 1), "by": who}
            for what, (value, at, who) in sorted(self.learned.items())
        ]
