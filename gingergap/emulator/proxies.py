"""One proxy in simulated time: the host of one controller. It does what the running edge does between SIP and the controller,
without SIP: legs, release of late answers, dialogs in transit, counts of circuits."""

from collections.abc import Callable
from typing import Any, Protocol

from ..edge.circuits import CircuitCounts
from ..host import GwState, Learned, LegEnd, ListEntry, Rsn
from .engine import SECOND, Engine
from .rules import RuleChecker


class Call:
    """A dialog at one proxy.

    `on_final` is called once with the final answer: SIP status, Q.850 cause, seconds to wait before a new attempt. `leg_end` and
    `rsn` are those of the last leg that ended; `caller` is whatever the originator of the dialog passed in.
    """

    __slots__ = (
        "index",
        "traffic_type",
        "circuits",
        "destination",
        "transit",
        "on_final",
        "leg",
        "answered",
        "established",
        "leg_end",
        "rsn",
        "received_at",
        "caller",
        "leg_count",
    )

    def __init__(
        self,
        index: int,
        traffic_type: int,
        circuits: int,
        destination: int,
        transit: bool,
        on_final: Callable[..., None],
        received_at: int,
        caller: Any,
    ) -> None:
        self.index, self.traffic_type, self.circuits, self.destination, self.transit = (
            index,
            traffic_type,
            circuits,
            destination,
            transit,
        )
        self.on_final, self.received_at, self.caller = on_final, received_at, caller
        self.leg: Leg | None = None
        self.answered = self.established = False
        self.leg_end: LegEnd | None = None
        self.rsn = self.leg_count = 0


class Leg:
    """A leg of a call to the exchange `number`, the `index`-th of its dialog. `resources` is what the network keeps for it and
    has to release."""

    __slots__ = ("call", "gw", "number", "index", "sent_at", "finished", "abandoned", "resources", "proxy_generation")

    def __init__(self, call: Call, gw: int, number: int, index: int, sent_at: int, proxy_generation: int) -> None:
        self.call, self.gw, self.number, self.index, self.sent_at = call, gw, number, index, sent_at
        self.finished = self.abandoned = False
        self.resources: Any = None
        self.proxy_generation = proxy_generation


class Network(Protocol):
    """Carries the legs and messages of a proxy."""

    def send_leg(self, proxy: "Proxy", leg: Leg, machine: str, time_limit: int) -> None: ...
    def cancel_leg(self, leg: Leg) -> None: ...
    def send_to_peers(self, proxy: "Proxy", payload: bytes) -> None: ...


class Proxy:
    """The proxy of `own_exchange`.

    `create_controller` makes the controller for this host. `generation` changes with each start and kill of the process. With
    `keeps_state` a new process starts with what the controller of the killed one had learned. Times are in tenths of a
    millisecond.
    """

    def __init__(
        self,
        engine: Engine,
        network: Network,
        rules: RuleChecker,
        own_exchange: int,
        create_controller: Callable[[Any], Any],
        machines: list[tuple[str, int]],
        keeps_state: bool = False,
    ) -> None:
        self.engine, self.network, self.rules, self.own_exchange, self.create_controller = (
            engine,
            network,
            rules,
            own_exchange,
            create_controller,
        )
        self.keeps_state = keeps_state
        self.saved_state: tuple[Learned, list[str], dict[str, ListEntry]] | None = None
        self.listed: dict[str, ListEntry] = {}
        self.configured_machines = machines
        self.generation = 0
        self.running = False
        self.paused_until = 0
        self.counts: dict[str, int] = {}
        self.start()

    # --- process ---

    def start(self) -> None:
        """Start a process that knows its settings and the saved state, if there is any."""
        self.running = True
        self.generation += 1
        self.machine_ids: list[str] = []
        self.gw_by_id: dict[str, int] = {}
        self.exchange_of_gw: list[int] = []
        self.calls: dict[int, Call] = {}
        self.circuits = CircuitCounts()
        self.dialog_count = 0
        self.pending_leg_ends: list[tuple[Leg, LegEnd, int]] = []
        self.reporting = False
        self.controller = self.create_controller(self)
        entries = [ListEntry(self._gw_of(name, number), number, GwState.READY, 0) for name, number in self.configured_machines]
        now = self.engine.now
        self.controller.exchange_list_received(now, entries, True)
        if self.saved_state is not None:
            self._restore(now, *self.saved_state)
        self.controller.start(now)

    def _restore(self, now: int, learned: Learned, machine_ids: list[str], listed: dict[str, ListEntry]) -> None:
        """Hand the state of the previous process to the controller, translated to the indices of this process."""
        for name, entry in listed.items():
            if entry.state != GwState.GONE or name in self.gw_by_id:
                self.controller.exchange_list_received(now, [entry._replace(gw=self._gw_of(name, entry.number))], False)
                self.rules.machine_listed(now, self.own_exchange, name, entry.state)
        gws = [self.gw_by_id.get(name, -1) for name in machine_ids]
        self.controller.restore(
            now,
            learned._replace(
                exchanges=[known._replace(gw=gws[known.gw]) for known in learned.exchanges if gws[known.gw] >= 0],
                pairs=[pair._replace(gw=gws[pair.gw]) for pair in learned.pairs if gws[pair.gw] >= 0],
            ),
            now - learned.now,
        )

    def kill(self) -> None:
        """End the process without notice; its dialogs are lost."""
        if not self.running:
            return
        if self.keeps_state and hasattr(self.controller, "export_learned"):  # baselines learn nothing worth keeping
            self.saved_state = (
                self.controller.export_learned(self.engine.now, 100_000),
                list(self.machine_ids),
                dict(self.listed),
            )
        self.running = False
        self.generation += 1
        self.rules.proxy_killed(self.own_exchange)
        self.calls.clear()

    def run_when_resumed(self, callback: Callable[..., None], *args: Any) -> None:
        """Run now or, while the process is paused, when it resumes, provided that it is still the same process."""
        if self.engine.now >= self.paused_until:
            callback(*args)
        else:
            self.engine.schedule_at(self.paused_until, self._run_if_same_process, self.generation, callback, args)

    def _run_if_same_process(self, generation: int, callback: Callable[..., None], args: tuple[Any, ...]) -> None:
        if generation == self.generation and self.running:
            self.run_when_resumed(callback, *args)

    # --- events ---

    def dialog_received(
        self,
        traffic_type: int,
        circuits: int,
        destination: int,
        caller_number: str,
        expires_in: int,
        transit: bool,
        redialled: bool,
        after_cut: bool,
        on_final: Callable[..., None],
        caller: Any = None,
    ) -> Call:
        now = self.engine.now
        call = Call(self.dialog_count, traffic_type, circuits, destination, transit, on_final, now, caller)
        self.dialog_count += 1
        self.calls[call.index] = call
        self.rules.dialog_received(now, self.own_exchange, call.index, expires_in)
        self.controller.dialog_received(
            now, call.index, traffic_type, destination, circuits, caller_number, expires_in, transit, redialled, after_cut
        )
        self._report_leg_ends()
        return call

    def dialog_cancelled(self, call: Call) -> None:
        """The caller cancelled the dialog, which counts as its final answer."""
        if call.answered or call.index not in self.calls:
            return
        self._mark_answered(call)
        self.controller.dialog_cancelled(self.engine.now, call.index)
        if call.leg is not None:
            self._abandon_leg(call.leg, LegEnd.CANCELLED)
        else:
            self._forget_call(call)
        self._report_leg_ends()

    def leg_answered(self, leg: Leg) -> bool:
        """A leg was answered. False if the dialog no longer wants it, so that the network has to release it."""
        call = leg.call
        if leg.finished or leg.abandoned or call.answered or not self._is_current(leg):
            return False
        self.circuits.leg_reported(leg.number, id(leg))
        call.established = True
        self._mark_answered(call)
        call.on_final(200, 0, 0)
        self.controller.dialog_established(self.engine.now, call.index, self.engine.now - leg.sent_at)
        self._report_leg_ends()
        return True

    def leg_ended(self, leg: Leg, leg_end: LegEnd, rsn: int = 0) -> None:
        if not self._is_current(leg):
            return
        self.pending_leg_ends.append((leg, leg_end, rsn))
        self._report_leg_ends()

    def exchange_list_received(self, lines: list[tuple[str, int, GwState, int]]) -> None:
        """Lines of the exchange list: machine id, exchange number, state, start time."""
        now = self.engine.now
        entries = []
        for name, number, state, started in lines:
            self.rules.machine_listed(now, self.own_exchange, name, state)
            entries.append(ListEntry(self._gw_of(name, number), number, state, started))
            self.listed[name] = entries[-1]
        self.controller.exchange_list_received(now, entries, False)
        for number in {number for _, number, _, _ in lines}:
            free, size = self.circuits.count(number)
            if size >= 0:
                self._report_group(number, free, size)
        self._report_leg_ends()

    def trunk_group_reported(self, number: int, free: int, size: int) -> None:
        self._report_group(number, *self.circuits.update(number, free, size))
        self._report_leg_ends()

    def peer_report_received(self, payload: bytes) -> None:
        self.controller.peer_report_received(self.engine.now, payload)

    # --- actions of the controller (`Host`) ---

    def send_leg(self, dialog_index: int, gw: int, time_limit: int) -> None:
        call, now = self.calls[dialog_index], self.engine.now
        leg = Leg(call, gw, self.exchange_of_gw[gw], call.leg_count, now, self.generation)
        call.leg_count += 1
        call.leg = leg
        self.rules.leg_sent(now, self.own_exchange, dialog_index, self.machine_ids[gw])
        self._count("legs")
        self.circuits.leg_sent(leg.number, id(leg), call.circuits)
        self.engine.schedule_after(time_limit, self._leg_timed_out, leg)
        self.network.send_leg(self, leg, self.machine_ids[gw], time_limit)

    def cancel_leg(self, dialog_index: int, leg_index: int) -> None:
        call = self.calls.get(dialog_index)
        if call is not None and call.leg is not None and call.leg.index == leg_index:
            self._abandon_leg(call.leg, LegEnd.CANCELLED)

    def decline(self, dialog_index: int, hold_off: int) -> None:
        call = self.calls[dialog_index]
        self._count("declined")
        self._mark_answered(call)
        call.on_final(503, 21 if call.transit and call.leg_end is None else self._q850_cause(call), -(-hold_off // SECOND))
        if call.leg is None:
            self._forget_call(call)

    def abort(self, dialog_index: int) -> None:
        call = self.calls[dialog_index]
        self._count("aborted")
        self._mark_answered(call)
        call.on_final(408, 0, 0)
        if call.leg is None:
            self._forget_call(call)

    def schedule_tick(self, delay: int) -> None:
        self.engine.schedule_after(delay, self._tick, self.generation)

    def send_to_peers(self, payload: bytes) -> None:
        self.network.send_to_peers(self, payload)

    def subscribe(self) -> None:
        pass  # the emulated list is pushed without a subscription

    # --- helpers ---

    def _tick(self, generation: int) -> None:
        if generation != self.generation or not self.running:
            return
        if self.engine.now < self.paused_until:
            self.engine.schedule_at(self.paused_until, self._tick, generation)
            return
        self.controller.tick(self.engine.now)
        self._report_leg_ends()

    def _leg_timed_out(self, leg: Leg) -> None:
        if self._is_current(leg) and not leg.finished and not leg.abandoned and not leg.call.established:
            self._abandon_leg(leg, LegEnd.NO_ANSWER)
            self._report_leg_ends()

    def _is_current(self, leg: Leg) -> bool:
        """Whether the process that sent the leg is still running."""
        return self.running and leg.proxy_generation == self.generation

    def _report_leg_ends(self) -> None:
        """Report pending ends of legs to the controller. Ends that arise within one of its methods wait until that returns."""
        if self.reporting:
            return
        self.reporting = True
        while self.pending_leg_ends:
            self._finish_leg(*self.pending_leg_ends.pop(0))
        self.reporting = False

    def _finish_leg(self, leg: Leg, leg_end: LegEnd, rsn: int) -> None:
        if leg.finished:
            return
        call, now = leg.call, self.engine.now
        leg.finished = True
        call.leg = None
        call.leg_end, call.rsn = leg_end, rsn
        self.circuits.leg_reported(leg.number, id(leg))
        if leg_end == LegEnd.FULL and rsn == Rsn.NO_CIRCUIT:
            self.circuits.group_refused(now, leg.number, call.circuits)
        self.rules.leg_ended(now, self.own_exchange, call.index, leg_end)
        finished = call.answered
        if finished:
            self._forget_call(call)
        self.controller.leg_ended(now, call.index, leg.gw, leg_end, rsn, finished, *self.circuits.count(leg.number))

    def _abandon_leg(self, leg: Leg, leg_end: LegEnd) -> None:
        if leg.finished or leg.abandoned:
            return
        leg.abandoned = True
        self.network.cancel_leg(leg)
        self.pending_leg_ends.append((leg, leg_end, 0))

    def _mark_answered(self, call: Call) -> None:
        call.answered = True
        self.rules.dialog_answered(self.engine.now, self.own_exchange, call.index)

    def _forget_call(self, call: Call) -> None:
        self.calls.pop(call.index, None)
        self.rules.dialog_ended(self.own_exchange, call.index)

    def _q850_cause(self, call: Call) -> int:
        if call.leg_end == LegEnd.BUSY:
            return 17
        return 42 if call.rsn in (Rsn.PROCESSOR_FULL, Rsn.BEYOND_TANDEM_FULL) else 21 if call.transit else 34

    def _report_group(self, number: int, free: int, size: int) -> None:
        for gw, exchange in enumerate(self.exchange_of_gw):
            if exchange == number and gw in self.controller.exchanges:
                self.controller.trunk_group_reported(self.engine.now, gw, free, size)

    def _gw_of(self, name: str, number: int) -> int:
        """The index of a machine, which is assigned when its id is first seen."""
        gw = self.gw_by_id.get(name)
        if gw is None:
            gw = self.gw_by_id[name] = len(self.machine_ids)
            self.machine_ids.append(name)
            self.exchange_of_gw.append(number)
        self.exchange_of_gw[gw] = number
        return gw

    def _count(self, event: str) -> None:
        self.counts[event] = self.counts.get(event, 0) + 1
