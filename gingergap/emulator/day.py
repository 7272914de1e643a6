"""A scripted day in simulated time: the network that carries legs, callers, the list, the faults of the day's plan; and what
it came to, in the same figures as a day on sockets."""

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
from .engine import SECOND, Engine
from .groups import Groups
from .machines import Machine
from .proxies import Call, Leg, Proxy
from .rules import Rules
from .streams import Stream
from .versions import figures_of

HOP = 3  # tenths of a millisecond that a message takes from one to the next, processing of the proxy with it
T1 = 5_000  # the first gap of a message sent again over UDP; it doubles (RFC 3261 section 17)
SPREAD = 0.5  # of the logarithm of how long a dialog lasts, as on the stand-ins
STATES = {"gone": GwState.GONE, "draining": GwState.DRAINING, "ready": GwState.READY}


def units(ms: float) -> int:
    return round(ms * 10)


class Holds:
    """Circuits held for a leg: the groups, the machine at its end, and for a two-leg dialog the call at the tandem."""

    __slots__ = ("source", "number", "width", "machine", "released", "beyond", "tandem")

    def __init__(self, source: int, number: int, width: int, machine: Machine) -> None:
        self.source, self.number, self.width, self.machine = source, number, width, machine
        self.released = False
        self.beyond: Call | None = None  # at the tandem's proxy
        self.tandem: Proxy | None = None


class Caller:
    """One dialog with all its tries."""

    __slots__ = (
        "home",
        "kind",
        "far",
        "first",
        "began",
        "tries",
        "give_up_at",
        "stood_at",
        "in_time",
        "cut",
        "redialled",
        "marks_cut",
        "hold",
        "number",
        "call",
        "open",
        "last",
        "attempt",
    )

    def __init__(self, home: int, kind: int, far: int, now: int, give_up_at: int, hold: int, number: str) -> None:
        self.home, self.kind, self.far, self.first, self.began = home, kind, far, now, now
        self.give_up_at, self.hold, self.number = give_up_at, hold, number
        self.tries = self.last = self.attempt = 0
        self.stood_at = -1
        self.in_time = self.cut = self.redialled = self.marks_cut = False
        self.open = True
        self.call: Call | None = None


class Day:
    """One emulated day. `make(host, here, proxies, types)` gives a controller; the program's own if left out."""

    def __init__(self, form: DayForm, seed: int, make: Callable[..., Any] | None = None) -> None:
        self.form, self.seed = form, seed
        self.plan = DayPlan(form, seed)
        self.figures_told = figures_of(form)
        self.engine = Engine(1)
        self.rules = Rules(units(form.release_guard_ms), units(form.drain_grace_ms))
        self.groups = Groups(self.engine, self.plan, self._tell_group)
        self.types = [
            TrafficType(
                units(kind.setup_objective_ms),
                units(kind.no_answer_time_ms),
                kind.late_share,
                kind.importance,
                kind.repeatable,
                None,
            )
            for kind in form.traffic_type
        ]
        self.widths = [kind.circuits for kind in form.traffic_type]
        self.shares = list(accumulate(kind.share for kind in form.traffic_type))
        self.machines: dict[str, Machine] = {}
        self.by_number: dict[int, Machine] = {}
        self.end = round(form.seconds * SECOND)
        self.chance = {name: Stream(seed, name) for name in ("lines busy", "network", "habits", "holding", "patience", "cuts")}
        self.arrivals = [Stream(seed, f"arrivals {number}") for number in range(form.exchanges)]
        self.ways = [list(accumulate(weights)) for weights in self.plan.destination_weights]
        self.lossy = [strike for strike in self.plan.scheduled_faults if strike.fault.kind in ("loss", "delay", "answers-lost")]
        self.cuts_off = any(strike.fault.kind == "district-cut" for strike in self.plan.scheduled_faults)
        self.standing: dict[int, tuple[Caller, Proxy, Leg]] = {}
        self.set_up = HdrHistogram(1, 600_000_000, 3)
        self.worth = self.earned = 0.0
        self.worth_at_end = self.earned_at_end = 0.0  # of dialogs that came in the last quarter
        self.last_quarter = self.end * 3 // 4
        self.came = self.stood = self.in_time = self.cut = self.tries = 0
        self.finals: dict[int, int] = {}
        self.two_legs = 0
        make = make or self._controller
        exchanges = form.exchanges
        first = []
        for life in self.plan.machine_runs:
            if life.starts_at == BEFORE_DAY:
                self._born(life)
                first.append((life.id, life.number))
        self.proxies = [
            Proxy(
                self.engine,
                self,
                self.rules,
                here,
                lambda host, here=here: make(host, here, exchanges, self.types),
                first,
                form.store,
            )
            for here in range(exchanges)
        ]
        for here in range(exchanges):
            for number in range(exchanges):
                if number != here:
                    self._tell_group(here, number, self.groups.size(here, number), self.groups.size(here, number))
        self._script()

    def _controller(self, host: Any, here: int, proxies: int, types: list[TrafficType]) -> CallController:
        return CallController(host, self.seed * 1000 + here, here, proxies, types, **self.figures_told)

    # --- the day ---

    def run(self) -> "Day":
        """Through to its end, and until the last tries are over."""
        begun = time.perf_counter()
        for home in range(self.form.exchanges):
            self._next_arrival(home)
        longest = max(kind.patience_s for kind in self.form.traffic_type)
        self.engine.run(self.end + round((longest + 0.5) * SECOND))
        self.over = True
        for caller, proxy, leg in list(self.standing.values()):
            self._hang_up(caller, proxy, leg)
        self.engine.run(self.engine.now + 2 * SECOND)
        self.rules.ended(self.engine.now)
        self.took = time.perf_counter() - begun
        return self

    over = False
    took = 0.0

    def _script(self) -> None:
        for life in self.plan.machine_runs:
            if life.starts_at > BEFORE_DAY:
                self.engine.at(round(life.starts_at * SECOND), self._born, life)
            if life.stops_at < NEVER:
                self.engine.at(round(life.stops_at * SECOND), self._dies, life)
        for when, name, number, state, started in self.plan.list_updates():
            self.engine.at(
                round(when * SECOND), self._news, name, number, STATES[state], max(1, round(started * SECOND)) if started > 0 else 0
            )
        for strike in self.plan.scheduled_faults:
            fault, begin = strike.fault, round(strike.fault.at * SECOND)
            end = begin + round(fault.lasts * SECOND)
            if fault.kind == "kill-proxy":
                for number in strike.targets:
                    self.engine.at(begin, self.proxies[number].kill)
                    self.engine.at(end, self._start_proxy, number)
            elif fault.kind == "pause-proxy":
                for number in strike.targets:
                    self.engine.at(begin, self._pause, number, end)
            elif fault.kind == "groups-shrink":
                for when in (begin, end):
                    self.engine.at(when, self._resized, strike)
            elif fault.kind == "cut":
                self.engine.at(begin, self._cut_share, fault.share)

    def _born(self, life: Any) -> None:
        machine = self.machines[life.id] = Machine(self.plan, life)
        self.by_number[life.number] = machine
        if life.starts_at > BEFORE_DAY:
            self.rules.cold()

    def _dies(self, life: Any) -> None:
        """A machine stops: dialogs at it are cut, told so where it stops in good order."""
        machine = self.machines.get(life.id)
        if machine is None or machine.life != life and machine.life.starts_at != life.starts_at:
            return
        for caller, proxy, leg in list(self.standing.values()):
            if leg.holds is not None and (
                leg.holds.machine is machine or leg.holds.beyond is not None and self._end_machine(leg) is machine
            ):
                self._cut(caller, proxy, leg, life.orderly_stop)

    def _end_machine(self, leg: Leg) -> Machine | None:
        beyond = leg.holds.beyond.leg if leg.holds is not None and leg.holds.beyond is not None else None
        return beyond.holds.machine if beyond is not None and beyond.holds is not None else None

    def _news(self, name: str, number: int, state: GwState, started: int) -> None:
        silent = [
            strike.fault
            for strike in self.plan.scheduled_faults
            if strike.fault.kind == "list-silent" and strike.is_active(self.engine.now / SECOND)
        ]
        if silent:  # told once the list is heard again
            self.engine.at(
                round((max(fault.at + fault.lasts for fault in silent) + 0.5) * SECOND), self._news, name, number, state, started
            )
            return
        for proxy in self.proxies:
            self.engine.after(HOP, self._if_running, proxy, proxy.listed, [(name, number, state, started)])

    def _if_running(self, proxy: Proxy, run: Callable[..., None], *args: Any) -> None:
        if proxy.running:
            proxy.when_awake(run, *args)

    def _start_proxy(self, number: int) -> None:
        proxy = self.proxies[number]
        if proxy.running:
            return
        proxy.start()
        now, lines = self.engine.now, []
        for life in self.plan.machine_runs:
            if life.starts_at <= now / SECOND:
                state = (
                    GwState.GONE
                    if now / SECOND >= life.stops_at
                    else GwState.DRAINING
                    if now / SECOND >= life.drains_at
                    else GwState.READY
                )
                lines.append(
                    (life.id, life.number, state, max(1, round(life.starts_at * SECOND)) if life.starts_at > BEFORE_DAY else 0)
                )
        self.engine.after(2 * HOP, self._if_running, proxy, proxy.listed, lines)
        for other in range(self.form.exchanges):
            if other != number:
                self.engine.after(
                    2 * HOP,
                    self._tell_group,
                    number,
                    other,
                    max(0, self.groups.free(number, other)),
                    self.groups.size(number, other),
                )

    def _pause(self, number: int, until: int) -> None:
        self.proxies[number].paused_until = until
        self.rules.stopped(number, self.engine.now, until)

    def _resized(self, strike: Any) -> None:
        for a in range(self.form.exchanges):
            for b in range(a + 1, self.form.exchanges):
                if strike.targets & {a, b}:
                    self.groups.changed(a, b)
                    self._cut_lost(a, b)

    def _cut_lost(self, a: int, b: int) -> None:
        """Dialogs on circuits that are no more."""
        over = -self.groups.free(a, b)
        for caller, proxy, leg in list(self.standing.values()):
            if over <= 0:
                return
            if {proxy.here, leg.number} == {a, b}:
                over -= leg.call.width
                self._cut(caller, proxy, leg, True)

    def _cut_share(self, share: float) -> None:
        for caller, proxy, leg in list(self.standing.values()):
            if self.chance["cuts"].uniform() < share:
                self._cut(caller, proxy, leg, True)

    # --- callers ---

    def _next_arrival(self, home: int) -> None:
        rate = self.plan.call_rate(home, max(0.0, self.engine.now / SECOND))
        when = self.engine.now + self.arrivals[home].exponential() / rate * SECOND
        if when < self.end:
            self.engine.at(round(when), self._arrival, home)

    def _arrival(self, home: int) -> None:
        self._next_arrival(home)
        stream = self.arrivals[home]
        kind = stream.pick(self.shares)
        far = stream.pick(self.ways[home])
        form, now = self.form.traffic_type[kind], self.engine.now
        hold = math.exp(math.log(form.hold_s) - SPREAD**2 / 2 + SPREAD * self.chance["holding"].normal())
        caller = Caller(
            home,
            kind,
            far,
            now,
            now + units(form.no_answer_time_ms),
            round(hold * SECOND),
            f"0{far:03d}{int(stream.uniform() * 1e6):06d}",
        )
        self.came += 1
        self.worth += form.importance
        if now >= self.last_quarter:
            self.worth_at_end += form.importance
        self._try(caller)

    def _try(self, caller: Caller) -> None:
        """An INVITE to the own proxy."""
        form = self.form.traffic_type[caller.kind]
        caller.tries += 1
        caller.attempt += 1
        self.tries += 1
        attempt = caller.attempt
        patience = round(form.patience_s * SECOND)
        habits = self.chance["patience"]
        if habits.uniform() < self.form.callers.impatient:
            patience = round(patience * habits.uniform() ** 2)
        proxy = self.proxies[caller.home]
        if not proxy.running:
            self.engine.after(HOP, self._answered, caller, attempt, 0, 0, 0)
            return
        delay = HOP + self._resent()
        self.engine.after(delay, self._if_running, proxy, self._offer, caller, proxy, attempt, form.patience_s * SECOND, delay)
        self.engine.after(patience, self._patience_ends, caller, proxy, attempt)

    def _offer(self, caller: Caller, proxy: Proxy, attempt: int, expires: int, delay: int) -> None:
        if caller.attempt != attempt or caller.call is not None:
            return
        life = proxy.life
        caller.call = proxy.offered(
            caller.kind,
            self.widths[caller.kind],
            caller.far,
            caller.number,
            max(1, expires - delay),
            False,
            caller.redialled and self.form.callers.marks_redial,
            caller.marks_cut,
            lambda *final: self.engine.after(HOP, self._answered, caller, attempt, *final),
            (caller, life),
        )
        if caller.call.answered and not caller.call.stands:
            caller.call = None

    def _patience_ends(self, caller: Caller, proxy: Proxy, attempt: int) -> None:
        if caller.attempt != attempt or caller.stood_at >= 0 and not caller.open:
            return
        call = caller.call
        if call is not None and not call.answered and call.source[1] == proxy.life and proxy.running:
            self.engine.after(HOP, self._if_running, proxy, proxy.given_up, call)
        if call is None or not call.stands:
            self.engine.after(2 * HOP, self._answered, caller, attempt, 487, 0, 0)

    def _answered(self, caller: Caller, attempt: int, status: int, cause: int, away: int) -> None:
        """A final answer reaches the caller, or nobody is there (0)."""
        if caller.attempt != attempt or not caller.open:
            return
        self.finals[status] = self.finals.get(status, 0) + 1
        caller.last = status
        now = self.engine.now
        if status == 200:
            call = caller.call
            if call is None or call.leg is None:
                return
            caller.attempt += 1
            if caller.stood_at < 0:
                self.stood += 1
                took = now - caller.began
                caller.in_time = took <= self.types[caller.kind].setup_objective
                self.set_up.record_value(max(1, min(600_000_000, took * 100)))
                self.two_legs += call.leg.number != call.far
                if caller.in_time:
                    self.in_time += 1
                    self._earn(caller, self.types[caller.kind].importance)
            caller.stood_at = now
            proxy, leg = self.proxies[caller.home], call.leg
            self.standing[id(leg)] = caller, proxy, leg
            self.engine.after(caller.hold, self._hang_up, caller, proxy, leg)
            return
        caller.attempt += 1
        caller.call = None
        habits = self.chance["habits"]
        if caller.tries > self.form.callers.redials or status == 487 and habits.uniform() < 0.3:
            caller.open = False
            return
        wait = self.form.callers.backoff_ms / 1000 * (0.5 + habits.uniform())
        if away and habits.uniform() < self.form.callers.honour:
            wait = max(wait, away)
        if now + wait * SECOND >= caller.give_up_at or now >= self.end:
            caller.open = False
            return
        caller.redialled = True
        self.engine.after(round(wait * SECOND), self._try, caller)

    def _earn(self, caller: Caller, importance: float) -> None:
        self.earned += importance
        if caller.first >= self.last_quarter:
            self.earned_at_end += importance

    def _hang_up(self, caller: Caller, proxy: Proxy, leg: Leg) -> None:
        if self.standing.pop(id(leg), None) is None:
            return
        caller.open = False
        self._release(leg)
        if proxy.running and proxy.life == leg.proxy_life:
            proxy.when_awake(proxy.ended, leg, LegEnd.ENDED)

    def _cut(self, caller: Caller, proxy: Proxy, leg: Leg, orderly: bool) -> None:
        """A dialog that stood ends under its caller, who comes again if it is told."""
        if self.standing.pop(id(leg), None) is None:
            return
        self._release(leg)
        if caller.in_time and not caller.cut:
            self.in_time -= 1
            self._earn(caller, -self.types[caller.kind].importance)
        self.cut += not caller.cut
        caller.cut = True
        if not orderly:
            caller.open = False
            self.engine.after(caller.hold, self._late_end, proxy, leg)
            return
        if proxy.running and proxy.life == leg.proxy_life:
            proxy.when_awake(proxy.ended, leg, LegEnd.CUT)
        now = self.engine.now
        if now < self.end:
            caller.marks_cut, caller.call = True, None
            caller.began, caller.give_up_at = now, now + self.types[caller.kind].no_answer_time
            self.engine.after(round((0.3 + self.chance["habits"].uniform()) * SECOND), self._try, caller)

    def _late_end(self, proxy: Proxy, leg: Leg) -> None:
        if proxy.running and proxy.life == leg.proxy_life:
            proxy.when_awake(proxy.ended, leg, LegEnd.ENDED)

    # --- legs ---

    def leg(self, proxy: Proxy, leg: Leg, machine: str, limit: int) -> None:
        delay = HOP + self._resent()
        self.engine.after(delay, self._leg_arrives, proxy, leg, machine, limit, 0)

    def _leg_arrives(self, proxy: Proxy, leg: Leg, name: str, limit: int, resent: int) -> None:
        now = self.engine.now
        if leg.over or leg.given_up:
            return
        machine = self.machines.get(name)
        if machine is None or not machine.runs(now):
            self.engine.after(HOP, self._leg_failed, proxy, leg, LegEnd.UNREACHABLE, 0)
            return
        if leg.number == proxy.here:  # there is no group to oneself
            self._answer(proxy, leg, LegEnd.BUSY, Rsn.NONE)
            return
        if machine.silent(now) or self._parted(proxy.here, leg.number):
            if resent < 6:
                self.engine.after(T1 << resent, self._leg_arrives, proxy, leg, name, limit, resent + 1)
            return
        if machine.arrived(now):
            self.rules.fell(now, name)
        processor = self.form.processor
        if machine.wait(now) * 1000 > processor.turn_away_after_ms:
            machine.put(now, processor.refuse_ms)
            self._answer(proxy, leg, LegEnd.FULL, Rsn.PROCESSOR_FULL)
            return
        if not self.groups.seize(proxy.here, leg.number, leg.call.width):
            machine.put(now, processor.refuse_ms)
            self._answer(proxy, leg, LegEnd.FULL, Rsn.NO_CIRCUIT)
            return
        leg.holds = Holds(proxy.here, leg.number, leg.call.width, machine)
        if leg.number == leg.call.far:
            self.engine.at(machine.put(now, processor.setup_ms), self._set_up, proxy, leg)
        else:
            self.engine.at(machine.put(now, processor.transit_ms), self._onward, proxy, leg, limit)

    def _set_up(self, proxy: Proxy, leg: Leg) -> None:
        """The far end's processor has done its work on a set-up."""
        if leg.holds.released or not leg.holds.machine.runs(self.engine.now) or leg.holds.machine.silent(self.engine.now):
            if not leg.holds.released and leg.holds.machine.runs(self.engine.now):
                self.engine.at(leg.holds.machine.heard_again(self.engine.now) + T1 // 2, self._again, proxy, leg)
            return
        if self.chance["lines busy"].uniform() < self.form.processor.lines_busy:
            self._release(leg, work=False)
            self._answer(proxy, leg, LegEnd.BUSY, Rsn.LINES_BUSY)
            return
        self._answer(proxy, leg, None, 0)

    def _again(self, proxy: Proxy, leg: Leg) -> None:
        """An answer is sent again once its machine is heard."""
        if not leg.holds.released and leg.holds.machine.runs(self.engine.now) and not leg.holds.machine.fallen:
            self._answer(proxy, leg, None, 0)

    def _onward(self, proxy: Proxy, leg: Leg, limit: int) -> None:
        """A tandem hands a dialog in transit to its own proxy."""
        if leg.holds.released or not leg.holds.machine.runs(self.engine.now):
            return
        tandem = self.proxies[leg.number]
        if not tandem.running:
            return
        tandem.when_awake(self._offer_transit, proxy, leg, tandem, limit)

    def _offer_transit(self, proxy: Proxy, leg: Leg, tandem: Proxy, limit: int) -> None:
        call = leg.call
        if leg.holds.released:
            return

        def told(status: int, cause: int, away: int) -> None:
            self.engine.after(2 * HOP, self._transit_told, proxy, leg, status, cause)

        leg.holds.tandem = tandem
        leg.holds.beyond = tandem.offered(
            call.kind, call.width, call.far, "", max(1, limit - (self.engine.now - leg.sent)), True, False, False, told, None
        )

    def _transit_told(self, proxy: Proxy, leg: Leg, status: int, cause: int) -> None:
        if status == 200:
            if proxy.running and not proxy.stood(leg):
                self._release(leg)
            return
        self._release(leg, work=False)
        rsn = {21: Rsn.TANDEM_DECLINED, 42: Rsn.BEYOND_TANDEM_FULL}.get(cause, 0)
        how = LegEnd.FULL if rsn else LegEnd.BUSY if cause == 17 else LegEnd.NO_ANSWER
        self._leg_failed(proxy, leg, how, Rsn.LINES_BUSY if cause == 17 else rsn)

    def _answer(self, proxy: Proxy, leg: Leg, how: LegEnd | None, rsn: int) -> None:
        """An answer on its way to the proxy that sent the leg; over UDP it is sent again until it comes."""
        delay = HOP + self._resent(leg.number)
        if how is None:
            self.engine.after(delay, self._leg_stood, proxy, leg)
        else:
            self.engine.after(delay, self._leg_failed, proxy, leg, how, rsn)

    def _leg_stood(self, proxy: Proxy, leg: Leg) -> None:
        if proxy.running:
            proxy.when_awake(self._taken, proxy, leg)
        elif leg.holds is not None:
            self._release(leg)

    def _taken(self, proxy: Proxy, leg: Leg) -> None:
        if not proxy.stood(leg):  # nobody wants it any more
            self._release(leg)

    def _leg_failed(self, proxy: Proxy, leg: Leg, how: LegEnd, rsn: int) -> None:
        if proxy.running:
            proxy.when_awake(proxy.ended, leg, how, rsn)

    def cancel(self, leg: Leg) -> None:
        """A leg is called off: what it holds is freed by the way of a message."""
        self.engine.after(HOP, self._cancelled, leg)

    def _cancelled(self, leg: Leg) -> None:
        holds = leg.holds
        if holds is None or holds.released:
            return
        if holds.beyond is not None and holds.tandem.running:
            holds.tandem.when_awake(holds.tandem.given_up, holds.beyond)
        self._release(leg, work=False)

    def _release(self, leg: Leg, work: bool = True) -> None:
        """Free what a leg holds, beyond a tandem too; the release is work at the far end."""
        holds = leg.holds
        if holds is None or holds.released:
            return
        holds.released = True
        now = self.engine.now
        if work and holds.beyond is None and holds.machine.runs(now):
            self.engine.at(
                holds.machine.put(now, self.form.processor.release_ms), self.groups.release, holds.source, holds.number, holds.width
            )
        else:
            self.groups.release(holds.source, holds.number, holds.width)
        beyond = holds.beyond
        if beyond is not None and beyond.leg is not None and beyond.stands:
            inner = beyond.leg
            self._release(inner)
            if holds.tandem.running and inner.proxy_life == holds.tandem.life:
                holds.tandem.when_awake(holds.tandem.ended, inner, LegEnd.ENDED)

    # --- messages ---

    def say(self, proxy: Proxy, told: bytes) -> None:
        now = self.engine.now / SECOND
        lost = self.plan.active_faults("messages-lost", now)
        for other in self.proxies:
            if other is proxy or self._parted(proxy.here, other.here):
                continue
            if lost and any(self.chance["network"].uniform() < fault.factor for fault in lost):
                continue
            machine = self.by_number.get(other.here)
            if machine is None or not machine.runs(self.engine.now) or machine.silent(self.engine.now):
                continue
            done = machine.put(self.engine.now, self.form.processor.message_ms)
            self.engine.at(done + HOP, self._if_running, other, other.heard, told)

    def _tell_group(self, here: int, number: int, free: int, size: int) -> None:
        proxy = self.proxies[here]
        self.engine.after(HOP, self._if_running, proxy, proxy.trunk_group_reported, number, free, size)

    def _parted(self, a: int, b: int) -> bool:
        return self.cuts_off and self.plan.is_cut_off(a, b, self.engine.now / SECOND)

    def _resent(self, answers_from: int = -1) -> int:
        """How much later a message comes for being lost and sent again, and for a slow network."""
        if not self.lossy:
            return 0
        now, delay, lost = self.engine.now / SECOND, 0, 0.0
        for strike in self.lossy:
            if strike.is_active(now):
                kind = strike.fault.kind
                if kind == "delay":
                    delay += units(strike.fault.ms)
                elif kind == "loss" or answers_from in strike.targets:
                    lost = 1 - (1 - lost) * (1 - strike.fault.factor)
        gap = T1
        while lost and self.chance["network"].uniform() < lost and gap <= T1 << 5:
            delay += gap
            gap *= 2
        return delay

    # --- what it came to ---

    def figures(self) -> dict[str, Any]:
        """Service (importance that stood in time and was not cut, over importance offered) and the rest; times in ms."""
        legs = sum(proxy.counts.get("legs", 0) for proxy in self.proxies)
        dialogs = max(1, self.came)
        return {
            "offered": self.came,
            "stood": self.stood,
            "stood_in_time": self.in_time,
            "cut": self.cut,
            "tries": self.tries,
            "service": round(self.earned / self.worth, 4) if self.worth else 0.0,
            "service_at_end": round(self.earned_at_end / self.worth_at_end, 4) if self.worth_at_end else 0.0,
            "setup_ms": {f"p{share:g}": round(self.set_up.get_value_at_percentile(share) / 1000, 2) for share in (50.0, 90.0, 99.0)}
            if self.stood
            else {},
            "legs_a_dialog": round(legs / dialogs, 3),
            "stood_over_tandems": self.two_legs,
            "declined": sum(proxy.counts.get("declined", 0) for proxy in self.proxies),
            "final_answers": dict(sorted(self.finals.items())),
            "rules": {rule: {"judged": self.rules.judged[rule], "broken": self.rules.broken[rule]} for rule in range(1, 6)},
            "events": self.engine.done,
            "seconds": round(self.took, 3),
        }
