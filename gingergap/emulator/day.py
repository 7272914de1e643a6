"""A scripted day in simulated time: the network that carries legs, the callers, the exchange list and the faults of the day's
plan; its results are the same figures as those of a day on sockets."""

import math
import time
from collections.abc import Callable
from itertools import accumulate
from typing import Any

from hdrh.histogram import HdrHistogram

from ..call_controller import CallController
from ..host import GwState, LegEnd, Rsn, TrafficType
from ..settings.day import DayForm
from ..standins.day_plan import BEFORE_DAY, NEVER, DayPlan
from .controller_factory import controller_arguments
from .engine import SECOND, Engine
from .machines import Machine
from .proxies import Call, Leg, Proxy
from .rules import RuleChecker
from .streams import Stream
from .trunk_groups import TrunkGroups

MESSAGE_DELAY = 3  # tenths of a millisecond that a message takes from one hop to the next, processing by the proxy included
T1 = 5_000  # first retransmission interval over UDP in tenths of a millisecond; it doubles (RFC 3261 section 17)
HOLD_TIME_SIGMA = 0.5  # standard deviation of the logarithm of a dialog's duration, as on the stand-ins
STATE_BY_NAME = {"gone": GwState.GONE, "draining": GwState.DRAINING, "ready": GwState.READY}


def to_ticks(ms: float) -> int:
    """Milliseconds as whole tenths of a millisecond."""
    return round(ms * 10)


class LegResources:
    """What the network holds for a leg: circuits between two exchanges, the machine at the far end, and for a dialog in transit
    the onward call at the tandem's proxy."""

    __slots__ = ("origin", "number", "circuits", "machine", "released", "onward_call", "tandem")

    def __init__(self, origin: int, number: int, circuits: int, machine: Machine) -> None:
        self.origin, self.number, self.circuits, self.machine = origin, number, circuits, machine
        self.released = False
        self.onward_call: Call | None = None  # at the tandem's proxy
        self.tandem: Proxy | None = None


class Caller:
    """One dialog with all its attempts. Times are in tenths of a millisecond.

    `started_at` and `redial_until` start anew after a cut; `attempt_id` tells answers to the current attempt from late ones;
    `after_cut` marks attempts that replace an established dialog which was cut.
    """

    __slots__ = (
        "exchange",
        "traffic_type",
        "destination",
        "arrived_at",
        "started_at",
        "attempts",
        "redial_until",
        "established_at",
        "in_time",
        "cut",
        "redialled",
        "after_cut",
        "hold_time",
        "caller_number",
        "call",
        "active",
        "last_status",
        "attempt_id",
    )

    def __init__(
        self,
        exchange: int,
        traffic_type: int,
        destination: int,
        now: int,
        redial_until: int,
        hold_time: int,
        caller_number: str,
    ) -> None:
        self.exchange, self.traffic_type, self.destination, self.arrived_at, self.started_at = (
            exchange,
            traffic_type,
            destination,
            now,
            now,
        )
        self.redial_until, self.hold_time, self.caller_number = redial_until, hold_time, caller_number
        self.attempts = self.last_status = self.attempt_id = 0
        self.established_at = -1
        self.in_time = self.cut = self.redialled = self.after_cut = False
        self.active = True
        self.call: Call | None = None


class Day:
    """One emulated day; the network of its proxies.

    `create_controller(host, own_exchange, proxy_count, traffic_types)` makes the controllers; by default they are the program's
    own.
    """

    def __init__(self, form: DayForm, seed: int, create_controller: Callable[..., Any] | None = None) -> None:
        self.form, self.seed = form, seed
        self.plan = DayPlan(form, seed)
        self.controller_arguments = controller_arguments(form)
        self.engine = Engine(1)
        self.rules = RuleChecker(to_ticks(form.release_guard_ms), to_ticks(form.drain_grace_ms))
        self.groups = TrunkGroups(self.engine, self.plan, self._report_group)
        self.traffic_types = [
            TrafficType(
                to_ticks(type_form.setup_objective_ms),
                to_ticks(type_form.no_answer_time_ms),
                type_form.late_share,
                type_form.importance,
                type_form.repeatable,
                None,
            )
            for type_form in form.traffic_type
        ]
        self.circuits_by_type = [type_form.circuits for type_form in form.traffic_type]
        self.cumulative_shares = list(accumulate(type_form.share for type_form in form.traffic_type))
        self.machines: dict[str, Machine] = {}
        self.machine_by_exchange: dict[int, Machine] = {}
        self.end_time = round(form.seconds * SECOND)
        self.streams = {name: Stream(seed, name) for name in ("lines busy", "network", "habits", "holding", "patience", "cuts")}
        self.arrival_streams = [Stream(seed, f"arrivals {number}") for number in range(form.exchanges)]
        self.cumulative_destinations = [list(accumulate(weights)) for weights in self.plan.destination_weights]
        self.network_faults = [
            scheduled for scheduled in self.plan.scheduled_faults if scheduled.fault.kind in ("loss", "delay", "answers-lost")
        ]
        self.has_district_cut = any(scheduled.fault.kind == "district-cut" for scheduled in self.plan.scheduled_faults)
        self.established_dialogs: dict[int, tuple[Caller, Proxy, Leg]] = {}
        self.setup_times = HdrHistogram(1, 600_000_000, 3)
        self.offered_importance = self.served_importance = 0.0
        self.offered_at_end = self.served_at_end = 0.0  # importance of dialogs that arrived in the last quarter
        self.last_quarter = self.end_time * 3 // 4
        self.offered = self.established = self.in_time = self.cut = self.attempts = 0
        self.final_answers: dict[int, int] = {}
        self.tandem_dialogs = 0
        create_controller = create_controller or self._create_controller
        exchanges = form.exchanges
        initial_machines = []
        for run in self.plan.machine_runs:
            if run.starts_at == BEFORE_DAY:
                self._start_machine(run)
                initial_machines.append((run.id, run.number))
        self.proxies = [
            Proxy(
                self.engine,
                self,
                self.rules,
                own_exchange,
                lambda host, own_exchange=own_exchange: create_controller(host, own_exchange, exchanges, self.traffic_types),
                initial_machines,
                form.store,
            )
            for own_exchange in range(exchanges)
        ]
        for exchange in range(exchanges):
            for other in range(exchanges):
                if other != exchange:
                    self._report_group(exchange, other, self.groups.size(exchange, other), self.groups.size(exchange, other))
        self._schedule_plan()

    def _create_controller(
        self, host: Any, own_exchange: int, proxy_count: int, traffic_types: list[TrafficType]
    ) -> CallController:
        return CallController(
            host, self.seed * 1000 + own_exchange, own_exchange, proxy_count, traffic_types, **self.controller_arguments
        )

    # --- the day ---

    def run(self) -> "Day":
        """Run the day to its end and until the last attempts have ended, then release all dialogs."""
        started = time.perf_counter()
        for exchange in range(self.form.exchanges):
            self._schedule_arrival(exchange)
        max_patience = max(type_form.patience_s for type_form in self.form.traffic_type)
        self.engine.run(self.end_time + round((max_patience + 0.5) * SECOND))
        self.finished = True
        for caller, proxy, leg in list(self.established_dialogs.values()):
            self._hang_up(caller, proxy, leg)
        self.engine.run(self.engine.now + 2 * SECOND)
        self.rules.day_ended(self.engine.now)
        self.run_duration = time.perf_counter() - started
        return self

    finished = False
    run_duration = 0.0  # seconds of real time

    def _schedule_plan(self) -> None:
        for run in self.plan.machine_runs:
            if run.starts_at > BEFORE_DAY:
                self.engine.schedule_at(round(run.starts_at * SECOND), self._start_machine, run)
            if run.stops_at < NEVER:
                self.engine.schedule_at(round(run.stops_at * SECOND), self._stop_machine, run)
        for when, name, number, state, started in self.plan.list_updates():
            self.engine.schedule_at(
                round(when * SECOND),
                self._publish_list_update,
                name,
                number,
                STATE_BY_NAME[state],
                max(1, round(started * SECOND)) if started > 0 else 0,
            )
        for scheduled in self.plan.scheduled_faults:
            fault, begin = scheduled.fault, round(scheduled.fault.at * SECOND)
            end = begin + round(fault.lasts * SECOND)
            if fault.kind == "kill-proxy":
                for number in scheduled.targets:
                    self.engine.schedule_at(begin, self.proxies[number].kill)
                    self.engine.schedule_at(end, self._start_proxy, number)
            elif fault.kind == "pause-proxy":
                for number in scheduled.targets:
                    self.engine.schedule_at(begin, self._pause_proxy, number, end)
            elif fault.kind == "groups-shrink":
                for when in (begin, end):
                    self.engine.schedule_at(when, self._resize_groups, scheduled)
            elif fault.kind == "cut":
                self.engine.schedule_at(begin, self._cut_share, fault.share)

    def _start_machine(self, run: Any) -> None:
        machine = self.machines[run.id] = Machine(self.plan, run)
        self.machine_by_exchange[run.number] = machine
        if run.starts_at > BEFORE_DAY:
            self.rules.cold_machine_started()

    def _stop_machine(self, run: Any) -> None:
        """A machine stops. Its dialogs are cut; after an orderly stop the proxies are notified."""
        machine = self.machines.get(run.id)
        if machine is None or machine.run != run and machine.run.starts_at != run.starts_at:
            return
        for caller, proxy, leg in list(self.established_dialogs.values()):
            if leg.resources is not None and (
                leg.resources.machine is machine
                or leg.resources.onward_call is not None
                and self._destination_machine(leg) is machine
            ):
                self._cut_dialog(caller, proxy, leg, run.orderly_stop)

    def _destination_machine(self, leg: Leg) -> Machine | None:
        """The machine at the end of the onward leg of a dialog in transit."""
        onward_leg = leg.resources.onward_call.leg if leg.resources is not None and leg.resources.onward_call is not None else None
        return onward_leg.resources.machine if onward_leg is not None and onward_leg.resources is not None else None

    def _publish_list_update(self, name: str, number: int, state: GwState, started: int) -> None:
        silent = [
            scheduled.fault
            for scheduled in self.plan.scheduled_faults
            if scheduled.fault.kind == "list-silent" and scheduled.is_active(self.engine.now / SECOND)
        ]
        if silent:  # published half a second after the list resumes
            self.engine.schedule_at(
                round((max(fault.at + fault.lasts for fault in silent) + 0.5) * SECOND),
                self._publish_list_update,
                name,
                number,
                state,
                started,
            )
            return
        for proxy in self.proxies:
            self.engine.schedule_after(
                MESSAGE_DELAY, self._run_on_proxy, proxy, proxy.exchange_list_received, [(name, number, state, started)]
            )

    def _run_on_proxy(self, proxy: Proxy, callback: Callable[..., None], *args: Any) -> None:
        if proxy.running:
            proxy.run_when_resumed(callback, *args)

    def _start_proxy(self, number: int) -> None:
        """Start a killed proxy again; it receives the whole list and the state of its trunk groups."""
        proxy = self.proxies[number]
        if proxy.running:
            return
        proxy.start()
        now, lines = self.engine.now, []
        for run in self.plan.machine_runs:
            if run.starts_at <= now / SECOND:
                state = (
                    GwState.GONE
                    if now / SECOND >= run.stops_at
                    else GwState.DRAINING
                    if now / SECOND >= run.drains_at
                    else GwState.READY
                )
                lines.append(
                    (run.id, run.number, state, max(1, round(run.starts_at * SECOND)) if run.starts_at > BEFORE_DAY else 0)
                )
        self.engine.schedule_after(2 * MESSAGE_DELAY, self._run_on_proxy, proxy, proxy.exchange_list_received, lines)
        for other in range(self.form.exchanges):
            if other != number:
                self.engine.schedule_after(
                    2 * MESSAGE_DELAY,
                    self._report_group,
                    number,
                    other,
                    max(0, self.groups.free(number, other)),
                    self.groups.size(number, other),
                )

    def _pause_proxy(self, number: int, until: int) -> None:
        self.proxies[number].paused_until = until
        self.rules.proxy_paused(number, self.engine.now, until)

    def _resize_groups(self, scheduled: Any) -> None:
        for a in range(self.form.exchanges):
            for b in range(a + 1, self.form.exchanges):
                if scheduled.targets & {a, b}:
                    self.groups.size_changed(a, b)
                    self._cut_excess(a, b)

    def _cut_excess(self, a: int, b: int) -> None:
        """Cut dialogs until those of a group that has shrunk fit into it."""
        excess = -self.groups.free(a, b)
        for caller, proxy, leg in list(self.established_dialogs.values()):
            if excess <= 0:
                return
            if {proxy.own_exchange, leg.number} == {a, b}:
                excess -= leg.call.circuits
                self._cut_dialog(caller, proxy, leg, True)

    def _cut_share(self, share: float) -> None:
        for caller, proxy, leg in list(self.established_dialogs.values()):
            if self.streams["cuts"].uniform() < share:
                self._cut_dialog(caller, proxy, leg, True)

    # --- callers ---

    def _schedule_arrival(self, exchange: int) -> None:
        rate = self.plan.call_rate(exchange, max(0.0, self.engine.now / SECOND))
        when = self.engine.now + self.arrival_streams[exchange].exponential() / rate * SECOND
        if when < self.end_time:
            self.engine.schedule_at(round(when), self._caller_arrives, exchange)

    def _caller_arrives(self, exchange: int) -> None:
        self._schedule_arrival(exchange)
        stream = self.arrival_streams[exchange]
        traffic_type = stream.pick_index(self.cumulative_shares)
        destination = stream.pick_index(self.cumulative_destinations[exchange])
        type_form, now = self.form.traffic_type[traffic_type], self.engine.now
        hold_time_s = math.exp(
            math.log(type_form.hold_s) - HOLD_TIME_SIGMA**2 / 2 + HOLD_TIME_SIGMA * self.streams["holding"].normal()
        )
        caller = Caller(
            exchange,
            traffic_type,
            destination,
            now,
            now + to_ticks(type_form.no_answer_time_ms),
            round(hold_time_s * SECOND),
            f"0{destination:03d}{int(stream.uniform() * 1e6):06d}",
        )
        self.offered += 1
        self.offered_importance += type_form.importance
        if now >= self.last_quarter:
            self.offered_at_end += type_form.importance
        self._attempt(caller)

    def _attempt(self, caller: Caller) -> None:
        """The caller sends an INVITE to its own proxy."""
        type_form = self.form.traffic_type[caller.traffic_type]
        caller.attempts += 1
        caller.attempt_id += 1
        self.attempts += 1
        attempt_id = caller.attempt_id
        patience = round(type_form.patience_s * SECOND)
        stream = self.streams["patience"]
        if stream.uniform() < self.form.callers.impatient:
            patience = round(patience * stream.uniform() ** 2)
        proxy = self.proxies[caller.exchange]
        if not proxy.running:
            self.engine.schedule_after(MESSAGE_DELAY, self._final_answer, caller, attempt_id, 0, 0, 0)
            return
        delay = MESSAGE_DELAY + self._extra_delay()
        self.engine.schedule_after(
            delay, self._run_on_proxy, proxy, self._offer, caller, proxy, attempt_id, type_form.patience_s * SECOND, delay
        )
        self.engine.schedule_after(patience, self._patience_ends, caller, proxy, attempt_id)

    def _offer(self, caller: Caller, proxy: Proxy, attempt_id: int, expires_in: int, delay: int) -> None:
        if caller.attempt_id != attempt_id or caller.call is not None:
            return
        generation = proxy.generation
        caller.call = proxy.dialog_received(
            caller.traffic_type,
            self.circuits_by_type[caller.traffic_type],
            caller.destination,
            caller.caller_number,
            max(1, expires_in - delay),
            False,
            caller.redialled and self.form.callers.marks_redial,
            caller.after_cut,
            lambda *final: self.engine.schedule_after(MESSAGE_DELAY, self._final_answer, caller, attempt_id, *final),
            (caller, generation),
        )
        if caller.call.answered and not caller.call.established:
            caller.call = None

    def _patience_ends(self, caller: Caller, proxy: Proxy, attempt_id: int) -> None:
        if caller.attempt_id != attempt_id or caller.established_at >= 0 and not caller.active:
            return
        call = caller.call
        if call is not None and not call.answered and call.caller[1] == proxy.generation and proxy.running:
            self.engine.schedule_after(MESSAGE_DELAY, self._run_on_proxy, proxy, proxy.dialog_cancelled, call)
        if call is None or not call.established:
            self.engine.schedule_after(2 * MESSAGE_DELAY, self._final_answer, caller, attempt_id, 487, 0, 0)

    def _final_answer(self, caller: Caller, attempt_id: int, status: int, cause: int, retry_after: int) -> None:
        """The caller gets a final answer; status 0 means that its proxy is not running. `retry_after` in seconds."""
        if caller.attempt_id != attempt_id or not caller.active:
            return
        self.final_answers[status] = self.final_answers.get(status, 0) + 1
        caller.last_status = status
        now = self.engine.now
        if status == 200:
            call = caller.call
            if call is None or call.leg is None:
                return
            caller.attempt_id += 1
            if caller.established_at < 0:
                self.established += 1
                setup_time = now - caller.started_at
                caller.in_time = setup_time <= self.traffic_types[caller.traffic_type].setup_objective
                self.setup_times.record_value(max(1, min(600_000_000, setup_time * 100)))
                self.tandem_dialogs += call.leg.number != call.destination
                if caller.in_time:
                    self.in_time += 1
                    self._add_served(caller, self.traffic_types[caller.traffic_type].importance)
            caller.established_at = now
            proxy, leg = self.proxies[caller.exchange], call.leg
            self.established_dialogs[id(leg)] = caller, proxy, leg
            self.engine.schedule_after(caller.hold_time, self._hang_up, caller, proxy, leg)
            return
        caller.attempt_id += 1
        caller.call = None
        stream = self.streams["habits"]
        if caller.attempts > self.form.callers.redials or status == 487 and stream.uniform() < 0.3:
            caller.active = False
            return
        wait = self.form.callers.backoff_ms / 1000 * (0.5 + stream.uniform())
        if retry_after and stream.uniform() < self.form.callers.honour:
            wait = max(wait, retry_after)
        if now + wait * SECOND >= caller.redial_until or now >= self.end_time:
            caller.active = False
            return
        caller.redialled = True
        self.engine.schedule_after(round(wait * SECOND), self._attempt, caller)

    def _add_served(self, caller: Caller, importance: float) -> None:
        self.served_importance += importance
        if caller.arrived_at >= self.last_quarter:
            self.served_at_end += importance

    def _hang_up(self, caller: Caller, proxy: Proxy, leg: Leg) -> None:
        if self.established_dialogs.pop(id(leg), None) is None:
            return
        caller.active = False
        self._release(leg)
        if proxy.running and proxy.generation == leg.proxy_generation:
            proxy.run_when_resumed(proxy.leg_ended, leg, LegEnd.ENDED)

    def _cut_dialog(self, caller: Caller, proxy: Proxy, leg: Leg, notified: bool) -> None:
        """An established dialog is cut. If the parties are notified, the caller tries again; otherwise it notices nothing before
        it hangs up."""
        if self.established_dialogs.pop(id(leg), None) is None:
            return
        self._release(leg)
        if caller.in_time and not caller.cut:
            self.in_time -= 1
            self._add_served(caller, -self.traffic_types[caller.traffic_type].importance)
        self.cut += not caller.cut
        caller.cut = True
        if not notified:
            caller.active = False
            self.engine.schedule_after(caller.hold_time, self._report_late_end, proxy, leg)
            return
        if proxy.running and proxy.generation == leg.proxy_generation:
            proxy.run_when_resumed(proxy.leg_ended, leg, LegEnd.CUT)
        now = self.engine.now
        if now < self.end_time:
            caller.after_cut, caller.call = True, None
            caller.started_at, caller.redial_until = now, now + self.traffic_types[caller.traffic_type].no_answer_time
            self.engine.schedule_after(round((0.3 + self.streams["habits"].uniform()) * SECOND), self._attempt, caller)

    def _report_late_end(self, proxy: Proxy, leg: Leg) -> None:
        if proxy.running and proxy.generation == leg.proxy_generation:
            proxy.run_when_resumed(proxy.leg_ended, leg, LegEnd.ENDED)

    # --- legs ---

    def send_leg(self, proxy: Proxy, leg: Leg, machine: str, time_limit: int) -> None:
        delay = MESSAGE_DELAY + self._extra_delay()
        self.engine.schedule_after(delay, self._leg_arrives, proxy, leg, machine, time_limit, 0)

    def _leg_arrives(self, proxy: Proxy, leg: Leg, name: str, time_limit: int, retransmissions: int) -> None:
        now = self.engine.now
        if leg.finished or leg.abandoned:
            return
        machine = self.machines.get(name)
        if machine is None or not machine.is_running(now):
            self.engine.schedule_after(MESSAGE_DELAY, self._leg_failed, proxy, leg, LegEnd.UNREACHABLE, 0)
            return
        if leg.number == proxy.own_exchange:  # an exchange has no trunk group to itself
            self._send_answer(proxy, leg, LegEnd.BUSY, Rsn.NONE)
            return
        if machine.is_silent(now) or self._is_cut_off(proxy.own_exchange, leg.number):
            if retransmissions < 6:
                self.engine.schedule_after(
                    T1 << retransmissions, self._leg_arrives, proxy, leg, name, time_limit, retransmissions + 1
                )
            return
        if machine.setup_arrived(now):
            self.rules.machine_overloaded(now, name)
        processor = self.form.processor
        if machine.queue_delay(now) * 1000 > processor.turn_away_after_ms:
            machine.add_work(now, processor.refuse_ms)
            self._send_answer(proxy, leg, LegEnd.FULL, Rsn.PROCESSOR_FULL)
            return
        if not self.groups.seize(proxy.own_exchange, leg.number, leg.call.circuits):
            machine.add_work(now, processor.refuse_ms)
            self._send_answer(proxy, leg, LegEnd.FULL, Rsn.NO_CIRCUIT)
            return
        leg.resources = LegResources(proxy.own_exchange, leg.number, leg.call.circuits, machine)
        if leg.number == leg.call.destination:
            self.engine.schedule_at(machine.add_work(now, processor.setup_ms), self._set_up_done, proxy, leg)
        else:
            self.engine.schedule_at(machine.add_work(now, processor.transit_ms), self._forward_to_tandem, proxy, leg, time_limit)

    def _set_up_done(self, proxy: Proxy, leg: Leg) -> None:
        """The processor of the destination has finished its work on a set-up."""
        if (
            leg.resources.released
            or not leg.resources.machine.is_running(self.engine.now)
            or leg.resources.machine.is_silent(self.engine.now)
        ):
            if not leg.resources.released and leg.resources.machine.is_running(self.engine.now):
                self.engine.schedule_at(
                    leg.resources.machine.silence_end(self.engine.now) + T1 // 2, self._retransmit_answer, proxy, leg
                )
            return
        if self.streams["lines busy"].uniform() < self.form.processor.lines_busy:
            self._release(leg, work=False)
            self._send_answer(proxy, leg, LegEnd.BUSY, Rsn.LINES_BUSY)
            return
        self._send_answer(proxy, leg, None, 0)

    def _retransmit_answer(self, proxy: Proxy, leg: Leg) -> None:
        """Send an answer again once the machine is no longer silent."""
        if not leg.resources.released and leg.resources.machine.is_running(self.engine.now) and not leg.resources.machine.failed:
            self._send_answer(proxy, leg, None, 0)

    def _forward_to_tandem(self, proxy: Proxy, leg: Leg, time_limit: int) -> None:
        """A tandem hands a dialog in transit to its own proxy."""
        if leg.resources.released or not leg.resources.machine.is_running(self.engine.now):
            return
        tandem = self.proxies[leg.number]
        if not tandem.running:
            return
        tandem.run_when_resumed(self._offer_transit, proxy, leg, tandem, time_limit)

    def _offer_transit(self, proxy: Proxy, leg: Leg, tandem: Proxy, time_limit: int) -> None:
        call = leg.call
        if leg.resources.released:
            return

        def on_final(status: int, cause: int, retry_after: int) -> None:
            self.engine.schedule_after(2 * MESSAGE_DELAY, self._transit_answered, proxy, leg, status, cause)

        leg.resources.tandem = tandem
        leg.resources.onward_call = tandem.dialog_received(
            call.traffic_type,
            call.circuits,
            call.destination,
            "",
            max(1, time_limit - (self.engine.now - leg.sent_at)),
            True,
            False,
            False,
            on_final,
            None,
        )

    def _transit_answered(self, proxy: Proxy, leg: Leg, status: int, cause: int) -> None:
        if status == 200:
            if proxy.running and not proxy.leg_answered(leg):
                self._release(leg)
            return
        self._release(leg, work=False)
        rsn = {21: Rsn.TANDEM_DECLINED, 42: Rsn.BEYOND_TANDEM_FULL}.get(cause, 0)
        leg_end = LegEnd.FULL if rsn else LegEnd.BUSY if cause == 17 else LegEnd.NO_ANSWER
        self._leg_failed(proxy, leg, leg_end, Rsn.LINES_BUSY if cause == 17 else rsn)

    def _send_answer(self, proxy: Proxy, leg: Leg, leg_end: LegEnd | None, rsn: int) -> None:
        """Send an answer to the proxy that sent the leg (`leg_end` None: accepted); over UDP it is retransmitted until it
        arrives."""
        delay = MESSAGE_DELAY + self._extra_delay(leg.number)
        if leg_end is None:
            self.engine.schedule_after(delay, self._leg_accepted, proxy, leg)
        else:
            self.engine.schedule_after(delay, self._leg_failed, proxy, leg, leg_end, rsn)

    def _leg_accepted(self, proxy: Proxy, leg: Leg) -> None:
        if proxy.running:
            proxy.run_when_resumed(self._deliver_answer, proxy, leg)
        elif leg.resources is not None:
            self._release(leg)

    def _deliver_answer(self, proxy: Proxy, leg: Leg) -> None:
        if not proxy.leg_answered(leg):  # the dialog has ended or been answered otherwise
            self._release(leg)

    def _leg_failed(self, proxy: Proxy, leg: Leg, leg_end: LegEnd, rsn: int) -> None:
        if proxy.running:
            proxy.run_when_resumed(proxy.leg_ended, leg, leg_end, rsn)

    def cancel_leg(self, leg: Leg) -> None:
        """Release what a leg holds as soon as the cancellation has arrived."""
        self.engine.schedule_after(MESSAGE_DELAY, self._cancel_arrives, leg)

    def _cancel_arrives(self, leg: Leg) -> None:
        resources = leg.resources
        if resources is None or resources.released:
            return
        if resources.onward_call is not None and resources.tandem.running:
            resources.tandem.run_when_resumed(resources.tandem.dialog_cancelled, resources.onward_call)
        self._release(leg, work=False)

    def _release(self, leg: Leg, work: bool = True) -> None:
        """Release what a leg holds, beyond a tandem too. With `work` the processor of the destination has to process the
        release before the circuits are free."""
        resources = leg.resources
        if resources is None or resources.released:
            return
        resources.released = True
        now = self.engine.now
        if work and resources.onward_call is None and resources.machine.is_running(now):
            self.engine.schedule_at(
                resources.machine.add_work(now, self.form.processor.release_ms),
                self.groups.release,
                resources.origin,
                resources.number,
                resources.circuits,
            )
        else:
            self.groups.release(resources.origin, resources.number, resources.circuits)
        onward_call = resources.onward_call
        if onward_call is not None and onward_call.leg is not None and onward_call.established:
            onward_leg = onward_call.leg
            self._release(onward_leg)
            if resources.tandem.running and onward_leg.proxy_generation == resources.tandem.generation:
                resources.tandem.run_when_resumed(resources.tandem.leg_ended, onward_leg, LegEnd.ENDED)

    # --- messages ---

    def send_to_peers(self, proxy: Proxy, payload: bytes) -> None:
        """Send a MESSAGE to the proxy of each other exchange, through that exchange's machine."""
        now = self.engine.now / SECOND
        loss_faults = self.plan.active_faults("messages-lost", now)
        for other in self.proxies:
            if other is proxy or self._is_cut_off(proxy.own_exchange, other.own_exchange):
                continue
            if loss_faults and any(self.streams["network"].uniform() < fault.factor for fault in loss_faults):
                continue
            machine = self.machine_by_exchange.get(other.own_exchange)
            if machine is None or not machine.is_running(self.engine.now) or machine.is_silent(self.engine.now):
                continue
            processed_at = machine.add_work(self.engine.now, self.form.processor.message_ms)
            self.engine.schedule_at(processed_at + MESSAGE_DELAY, self._run_on_proxy, other, other.peer_report_received, payload)

    def _report_group(self, exchange: int, other: int, free: int, size: int) -> None:
        proxy = self.proxies[exchange]
        self.engine.schedule_after(MESSAGE_DELAY, self._run_on_proxy, proxy, proxy.trunk_group_reported, other, free, size)

    def _is_cut_off(self, a: int, b: int) -> bool:
        return self.has_district_cut and self.plan.is_cut_off(a, b, self.engine.now / SECOND)

    def _extra_delay(self, answering_exchange: int = -1) -> int:
        """Delay of a message by a slow network and by retransmissions after losses. `answering_exchange` sends the message if it
        is an answer."""
        if not self.network_faults:
            return 0
        now, delay, loss = self.engine.now / SECOND, 0, 0.0
        for scheduled in self.network_faults:
            if scheduled.is_active(now):
                kind = scheduled.fault.kind
                if kind == "delay":
                    delay += to_ticks(scheduled.fault.ms)
                elif kind == "loss" or answering_exchange in scheduled.targets:
                    loss = 1 - (1 - loss) * (1 - scheduled.fault.factor)
        interval = T1
        while loss and self.streams["network"].uniform() < loss and interval <= T1 << 5:
            delay += interval
            interval *= 2
        return delay

    # --- results ---

    def summary(self) -> dict[str, Any]:
        """The day's results; the keys are those printed by `emulate --json`.

        Service is the importance of dialogs established in time and not cut, over the importance offered; `service_at_end` is that
        of the last quarter. `setup_ms` in milliseconds; `seconds` is the real time that the run took.
        """
        legs = sum(proxy.counts.get("legs", 0) for proxy in self.proxies)
        dialogs = max(1, self.offered)
        return {
            "offered": self.offered,
            "stood": self.established,
            "stood_in_time": self.in_time,
            "cut": self.cut,
            "tries": self.attempts,
            "service": round(self.served_importance / self.offered_importance, 4) if self.offered_importance else 0.0,
            "service_at_end": round(self.served_at_end / self.offered_at_end, 4) if self.offered_at_end else 0.0,
            "setup_ms": {
                f"p{share:g}": round(self.setup_times.get_value_at_percentile(share) / 1000, 2) for share in (50.0, 90.0, 99.0)
            }
            if self.established
            else {},
            "legs_a_dialog": round(legs / dialogs, 3),
            "stood_over_tandems": self.tandem_dialogs,
            "declined": sum(proxy.counts.get("declined", 0) for proxy in self.proxies),
            "final_answers": dict(sorted(self.final_answers.items())),
            "rules": {rule: {"judged": self.rules.judged[rule], "broken": self.rules.broken[rule]} for rule in range(1, 6)},
            "events": self.engine.event_count,
            "seconds": round(self.run_duration, 3),
        }
