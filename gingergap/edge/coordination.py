"""Connects membership, shared duties and the background scheduler to a running proxy.

Coordination is off unless the settings have a `(coordination ...)` part. It does not influence routing: the figures that
duties produce are kept with their age (`learned`) and shown to operators, but never passed to the decision module.
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
from ..duties.leases import FencingToken
from ..duties.manager import Duty, DutyManager
from ..membership import swim
from ..membership.codec import DatagramCodec
from ..membership.swim import Membership
from ..membership.transport import DUTIES, MEMBERSHIP, DatagramSocket
from ..scheduler.runner import TaskRunner
from ..scheduler.task_scheduler import TaskScheduler, WorkBudget
from ..sip.fields import parse_host_port
from .proxy import DUTY_FIELD, EdgeProxy

SECOND = 10_000
STEP_SECONDS = 0.025
PROBE_TIMEOUT_SECONDS = 1.5


class LocalWork:
    """The background tasks that every proxy runs for itself, with or without coordination.

    `load` returns the share of CPU time that calls take. `budget` is in ms of work a second, `max_dialog_age` in tenths
    of a millisecond.
    """

    def __init__(
        self, proxy: EdgeProxy, clock: Callable[[], int], log: Any, load: Callable[[], float], *, budget: float, max_dialog_age: int
    ) -> None:
        self.proxy, self.clock = proxy, clock
        self.plan = TaskScheduler(
            Random(secrets.randbits(64)), {"duties": WorkBudget(budget), "sweeps": WorkBudget(budget), "store": WorkBudget(budget)}
        )
        self.runner = TaskRunner(self.plan, clock, load, log, self._finished)
        self.task_finished: Callable[[str, bool], None] = lambda name, done: None
        self.runner.add(
            "sweep dialogs",
            "sweeps",
            lambda: self._end_expired_dialogs(max_dialog_age),
            period=5 * SECOND,
            limit=60 * SECOND,
            first_in=5 * SECOND,
        )

    def add_sweep(
        self, name: str, run: Callable[[], bool], *, period: int, limit: int, kind: str = "sweeps", deadline: int | None = None
    ) -> None:
        """Add a periodic housekeeping task; `run` returns whether it succeeded. Times in tenths of a millisecond."""
        self.runner.add(name, kind, run, period=period, limit=limit, first_in=period, deadline=deadline)

    def _finished(self, name: str, done: bool) -> None:
        self.task_finished(name, done)

    def _end_expired_dialogs(self, max_dialog_age: int) -> bool:
        """End dialogs older than any real call: both ends failed without sending BYE."""
        for dialog in self.proxy.dialogs_before(self.clock() - max_dialog_age):
            self.proxy.drop_dialog(self.clock(), dialog)
            gevent.sleep(0)
        return True


class Coordination:
    """Host of `Membership` and `DutyManager`.

    `address` is how other members reach this one, `listen` the local address. `member_addresses` maps the name of each
    configured member to its address. `period`, `lease_duration`, `probe_period` and `probe_limit` are in tenths of a
    millisecond.
    """

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
        member_addresses: dict[str, str],
        weight: int,
        period: int,
        lease_duration: int,
        probe_period: int,
        probe_limit: int,
        tokens: dict[str, int] | None = None,
    ) -> None:
        self.proxy, self.work, self.clock, self.log, self.name = proxy, work, clock, log, name
        self.member_addresses = member_addresses
        generation = time.time_ns() // 1_000_000 << 8 | secrets.randbits(8)
        self.datagrams = DatagramSocket(parse_host_port(listen), DatagramCodec(key, name, generation), self._handle_datagram)
        now = clock()
        self.members = Membership(
            self,
            Random(secrets.randbits(64)),
            now,
            name,
            address,
            generation,
            weight,
            period=period,
            timeout=period * 3 // 10,
            seeds=tuple(member_addresses.values()),
            sync_interval=10 * period,
        )
        duties = [Duty(f"probe {exchange}", probe_period, probe_limit, cost=0.5) for exchange in proxy.exchange_ids]
        duties.append(Duty("check list", 2 * probe_period, 2 * probe_limit, cost=0.2, priority=2.0, exclusive=False))
        self.duty_manager = DutyManager(
            self,
            Random(secrets.randbits(64)),
            now,
            name,
            generation,
            frozenset(member_addresses),
            duties,
            lease_duration=lease_duration,
            handover_delay=2 * period,
            vote_timeout=period,
        )
        for duty, counter in (tokens or {}).items():
            self.duty_manager.restore_counter(duty, counter)
        self.learned: dict[str, tuple[float, int, str]] = {}  # name of a figure to its value, time by the own clock and source
        self.run_counts: dict[str, int] = {}
        work.task_finished = self._duty_run_finished
        self.greenlet: gevent.Greenlet | None = None
        self.not_held: set[str] = set()  # duties whose run found that the lease is lost: neither done nor failed

    def open(self) -> None:
        self.datagrams.open()
        self.greenlet = gevent.spawn(self._run_loop)

    def close(self) -> None:
        if self.greenlet is not None:
            self.greenlet.kill(block=False)
        self.datagrams.close()

    def leave(self) -> None:
        """Release all duties and leave the membership; the loop runs until `close`, so that others are informed."""
        self.duty_manager.leave(self.clock())
        self.members.leave(self.clock())

    def _run_loop(self) -> None:
        step_count = 0
        while True:
            gevent.sleep(STEP_SECONDS)
            now = self.clock()
            self.members.tick(now)
            step_count += 1
            if step_count % 4 == 0:
                self.duty_manager.tick(now, self.members.active_members())

    # --- datagrams ---

    def _handle_datagram(self, kind: int, sender: str, generation: int, address: str, body: bytes) -> None:
        now = self.clock()
        try:
            if kind == MEMBERSHIP:
                self.members.handle_message(now, sender, generation, address, swim.DECODER.decode(body))
            elif kind == DUTIES and sender in self.member_addresses:
                self._handle_duty_message(now, sender, address, messages.DECODER.decode(body))
        except msgspec.MsgspecError:
            self.datagrams.counts["refused: form"] = self.datagrams.counts.get("refused: form", 0) + 1

    def _handle_duty_message(self, now: int, sender: str, address: str, message: Any) -> None:
        match message:
            case messages.VoteRequest(duty, counter, holder, lease_duration, done_ago):
                granted, newest = self.duty_manager.handle_vote_request(
                    now, duty, FencingToken(counter, holder), lease_duration, done_ago
                )
                self._send_duty_message(sender, address, messages.Vote(duty, counter, granted, newest))
            case messages.Vote(duty, counter, granted, newest):
                self.duty_manager.handle_vote(now, sender, duty, counter, granted, newest, self.members.active_members())
            case messages.LeaseRelease(duty, counter, holder):
                self.duty_manager.handle_release(now, duty, FencingToken(counter, holder))
            case messages.DutyResult(duty, _, _, figure, value, age):
                self._record_figure(now - max(0, age), duty, figure, value, sender)

    def _send_duty_message(self, name: str, address: str, message: Any) -> None:
        self.datagrams.send(name, address, DUTIES, messages.ENCODER.encode(message))

    def _broadcast_duty_message(self, message: Any) -> None:
        for name, address in self.member_addresses.items():
            if name != self.name:
                member = self.members.others.get(name)
                self._send_duty_message(name, member.address if member is not None else address, message)

    # --- host of Membership ---

    def send(self, to: str, address: str, message: swim.Message) -> None:
        self.datagrams.send(to, address, MEMBERSHIP, swim.ENCODER.encode(message))

    def member_up(self, name: str) -> None:
        self.log.info("member-up", member=name)

    def member_down(self, name: str, left: bool) -> None:
        self.log.warning("member-left" if left else "member-dead", member=name)

    def name_taken(self, address: str) -> None:
        self.log.error("name-taken", member=self.name, address=address)

    # --- host of the DutyManager ---

    def request_votes(self, duty: str, token: FencingToken, lease_duration: int, done_ago: int) -> None:
        self._broadcast_duty_message(messages.VoteRequest(duty, token.counter, token.holder, lease_duration, done_ago))

    def release_lease(self, duty: str, token: FencingToken) -> None:
        self._broadcast_duty_message(messages.LeaseRelease(duty, token.counter, token.holder))

    def start_duty(self, duty: Duty, token: FencingToken, first_in: int) -> None:
        self.log.info("duty-ours", duty=duty.name, counter=token.counter)
        self.work.runner.add(
            duty.name,
            "duties",
            lambda: self._run_duty(duty),
            period=duty.period,
            limit=duty.limit,
            cost=duty.cost,
            priority=duty.priority,
            first_in=first_in,
            deadline=duty.limit // 2,
        )

    def stop_duty(self, duty: Duty) -> None:
        self.log.info("duty-given-up", duty=duty.name)
        self.work.runner.cancel(duty.name)

    # --- duties ---

    def _run_duty(self, duty: Duty) -> bool:
        if not self.duty_manager.may_act(self.clock(), duty.name):
            self.not_held.add(duty.name)  # the lease has just expired: not a failure, so no back-off
            return False
        self.run_counts[duty.name] = self.run_counts.get(duty.name, 0) + 1
        kind, _, subject = duty.name.partition(" ")
        return self._probe(duty, subject) if kind == "probe" else self._check_list(duty)

    def _duty_run_finished(self, name: str, done: bool) -> None:
        if name in self.not_held:
            self.not_held.discard(name)
        elif name in self.duty_manager.states:
            if done:
                self.duty_manager.record_success(self.clock(), name)
            else:
                self.duty_manager.record_failure(self.clock(), name)

    def _probe(self, duty: Duty, exchange: str) -> bool:
        """Send OPTIONS to an exchange with the lease's fencing token, and share its response time.

        An exchange that does not respond counts as probed, with a response time of -1.
        """
        gw = self.proxy.gw_by_id.get(exchange)
        hop = self.proxy.hops[gw] if gw is not None else None
        if hop is None:
            return True
        token = self.duty_manager.token_of(duty.name)
        answer, sent_at = AsyncResult(), self.clock()
        self.proxy.probe(sent_at, hop, answer.set, f"{exchange};counter={token.counter};holder={token.holder}")
        try:
            message = answer.get(timeout=PROBE_TIMEOUT_SECONDS)
        except gevent.Timeout:
            message = None
        if message is not None and message.status == 412:
            newest = message.get(DUTY_FIELD)
            counter = next(
                (int(part[8:]) for part in newest.split(";") if part.startswith("counter=") and part[8:].isdigit()),
                token.counter + 1,
            )
            self.not_held.add(duty.name)
            self.duty_manager.handle_stale_token(self.clock(), duty.name, FencingToken(counter, ""))
            return False
        answer_ms = -1.0 if message is None else (self.clock() - sent_at) / 10
        self._share_figure(duty, token, f"answer ms of {exchange}", answer_ms)
        return True

    def _check_list(self, duty: Duty) -> bool:
        """Share the version of the own exchange list; members with an older one of the same epoch request it."""
        subscription = self.proxy.subscribers["exchange-list"].subscription
        if subscription.version >= 0:
            self._share_figure(
                duty, self.duty_manager.token_of(duty.name), f"list {subscription.epoch}", float(subscription.version)
            )
        return True

    def _share_figure(self, duty: Duty, token: FencingToken, figure: str, value: float) -> None:
        now = self.clock()
        self._record_figure(now, duty.name, figure, value, self.name)
        self._broadcast_duty_message(messages.DutyResult(duty.name, token.counter, token.holder, figure, value, self.clock() - now))

    def _record_figure(self, at: int, duty: str, figure: str, value: float, source: str) -> None:
        previous = self.learned.get(figure)
        if previous is None or previous[1] <= at:
            self.learned[figure] = value, at, source
            if len(self.learned) > 10_000:
                del self.learned[next(iter(self.learned))]
        if figure.startswith("list "):
            self.proxy.list_version_seen(self.clock(), figure[5:], int(value))

    # --- tables for operators ---

    def members_table(self) -> list[dict[str, Any]]:
        now = self.clock()
        own = {
            "name": self.name,
            "address": self.members.address,
            "standing": "out" if self.members.suspended else "left" if self.members.leaving else "alive",
            "incarnation": self.members.incarnation,
            "since_s": None,
            "own": True,
            "health": self.members.health_score,
        }
        return [own] + [
            {
                "name": member.name,
                "address": member.address,
                "standing": member.state.name.lower(),
                "incarnation": member.incarnation,
                "since_s": round((now - member.state_since) / SECOND, 1),
                "own": False,
            }
            for member in sorted(self.members.others.values(), key=lambda member: member.name)
        ]

    def duties_table(self) -> list[dict[str, Any]]:
        now = self.clock()
        rows = []
        for name, state in sorted(self.duty_manager.states.items()):
            grant = self.duty_manager.voter.grants.get(name)
            holder = grant.token.holder.partition("/")[0] if grant is not None and now < grant.expires_at else ""
            since_done = (now - state.last_done_at) / SECOND
            rows.append(
                {
                    "duty": name,
                    "nearest": state.preferred_member,
                    "holder": self.name if state.held_since >= 0 else holder,
                    "counter": state.claim.counter if state.held_since >= 0 else grant.token.counter if grant else 0,
                    "mode": "once at most" if state.duty.exclusive else "at least once",
                    "done_ago_s": round(since_done, 1),
                    "overdue": since_done * SECOND > state.duty.limit,
                    "runs_here": self.run_counts.get(name, 0),
                }
            )
        return rows

    def learned_table(self) -> list[dict[str, Any]]:
        now = self.clock()
        return [
            {"what": figure, "value": value, "age_s": round((now - at) / SECOND, 1), "by": source}
            for figure, (value, at, source) in sorted(self.learned.items())
        ]
