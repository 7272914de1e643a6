"""The signalling proxy as a process: settings, sockets, the monotonic clock, signals and an orderly shutdown."""

import secrets
import signal
import time
from pathlib import Path
from typing import Any

import gevent
from gevent.event import Event

from ..control.server import ControlServer
from ..host import TrafficType
from ..settings.edge import EdgeForm
from ..sip.fields import parse_host_port
from ..sip.message import BadMessageError, Message
from ..sip.transactions import Hop
from ..store.proxy_state import RestoredState, StateRecorder
from ..trace.format import FORMAT, Header, Source
from ..trace.instrumentation import TraceBuffer, module_digest
from ..trace.live import LiveTimelines
from ..trace.recorder import Recorder, enforce_budget
from ..transport.sockets import Sockets
from .admission import AdmissionControl
from .coordination import Coordination, LocalWork
from .numbering import NumberingPlan
from .proxy import EdgeProxy
from .proxy_store import ProxyStore

TICK_SECONDS = 0.005
UNITS_PER_SECOND = 10_000  # tenths of a millisecond in a second
MAX_REMARK_LENGTH = 500  # characters
MAX_LAG = 500  # 50 ms; a process whose timers run later than this is overloaded


def clock() -> int:
    """The time of the monotonic clock in tenths of a millisecond."""
    return time.monotonic_ns() // 100_000


def to_units(ms: float) -> int:
    """Milliseconds as whole tenths of a millisecond."""
    return round(ms * 10)


def build_proxy(
    form: EdgeForm,
    transport: Any,
    log: Any,
    now: int,
    wall_time: float,
    random_text: Any,
    trace_buffer: TraceBuffer | None = None,
    state_recorder: StateRecorder | None = None,
    restored_state: RestoredState | None = None,
) -> EdgeProxy:
    """Build the proxy that the settings describe; the other arguments are those of `EdgeProxy`."""
    traffic_types = [
        TrafficType(
            to_units(entry.setup_objective_ms),
            to_units(entry.no_answer_time_ms),
            entry.late_share,
            entry.importance,
            entry.repeatable,
            None,
        )
        for entry in form.traffic_type
    ]
    types_by_priority = {value.lower(): index for index, entry in enumerate(form.traffic_type) for value in entry.resource_priority}
    return EdgeProxy(
        transport,
        now,
        wall_time,
        random_text,
        log,
        address=parse_host_port(form.listen),
        domain=form.domain,
        own_exchange=form.here,
        seed=form.seed,
        exchanges=[(entry.number, entry.id, parse_host_port(entry.address)) for entry in form.exchange],
        exchange_list=parse_host_port(form.exchange_list) if form.exchange_list else None,
        traffic_types=traffic_types,
        types_by_priority=types_by_priority,
        circuits_by_type=[entry.circuits for entry in form.traffic_type],
        numbering=NumberingPlan({prefix: entry.number for entry in form.exchange for prefix in entry.prefix}),
        admission=AdmissionControl(form.bounds.dialogs, MAX_LAG, [entry.importance for entry in form.traffic_type]),
        default_expires=form.default_expires_s,
        max_transactions=form.bounds.transactions,
        t1=to_units(form.t1_ms),
        release_guard=to_units(form.release_guard_ms) + 1,
        max_legs=form.most_legs,
        max_hold_off=to_units(form.longest_hold_off_ms),
        messages_peers=form.tell_peers,
        cold_share=form.cold.from_share,
        warm_after=to_units(form.cold.warm_after_ms) + 1,
        overload_factor=form.cold.multiple,
        overload_span=to_units(form.cold.span_ms) + 1,
        trace_buffer=trace_buffer,
        state_recorder=state_recorder,
        restored_state=restored_state,
    )


class EdgeProcess:
    """One running proxy process."""

    def __init__(self, form: EdgeForm, log: Any) -> None:
        self.form, self.log = form, log.bind(edge=form.name)
        self.sockets = Sockets(
            self, parse_host_port(form.listen), max_queued_bytes=form.bounds.queued_bytes, max_connections=form.bounds.connections
        )
        self.proxy: EdgeProxy | None = None
        self.drain_complete = Event()
        self.drain_deadline: float | None = None
        self.work: LocalWork | None = None
        self.coordination: Coordination | None = None
        self.control: ControlServer | None = None
        self.trace_buffer = TraceBuffer()
        self.recorder: Recorder | None = None
        self.spans: Any = None
        self.store: ProxyStore | None = None
        self.metrics: Any = None
        self.load = 0.0  # smoothed share of CPU time in use, 0 to 1

    def run(self) -> int:
        """Serve until drained and return the exit code: 0, or 2 if a socket, path or address could not be opened."""
        try:
            self.sockets.open()
        except OSError as error:
            self.log.error("address-taken", listen=self.form.listen, why=error.strerror)
            return 2
        restored_state = self._open_store()
        self.proxy = build_proxy(
            self.form,
            self.sockets,
            self.log,
            clock(),
            time.time(),
            lambda size: secrets.token_hex(size // 2),
            None if self.form.trace is None else self.trace_buffer,
            None if self.store is None else self.store.state_recorder,
            restored_state,
        )
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(signal_number, self.drain)
        self.log.info("serving", listen=self.form.listen, here=self.form.here)
        self.work = LocalWork(
            self.proxy,
            clock,
            self.log,
            lambda: self.load,
            budget=self.form.background_ms_per_s,
            max_dialog_age=round(self.form.longest_dialog_s * UNITS_PER_SECOND),
        )
        try:
            self._open_coordination({} if restored_state is None else restored_state.token_counters)
            if self.store is not None:
                if self.coordination is not None:
                    self.store.token_counters = self.coordination.duty_manager.counters
                self.store.start(
                    self.proxy,
                    self.work,
                    clock,
                    write_interval=self.form.store.every_ms / 1000,
                    learn_interval=self.form.store.learn_every_ms / 1000,
                )
            self._open_control()
            self._open_trace()
        except OSError as error:
            self.log.error("cannot-open", path=error.filename, why=error.strerror or str(error))
            self.sockets.close()
            return 2
        ticker = gevent.spawn(self._tick)
        self.drain_complete.wait()
        ticker.kill()
        if self.coordination is not None:
            self.coordination.close()
        if self.control is not None:
            self.control.close()
        self.work.runner.stop()
        if self.store is not None:
            self.store.close()
        if self.recorder is not None:
            self.recorder.close()
        if self.spans is not None:
            self.spans.close()
        self.sockets.close()
        self.log.info("ended", **{key.replace(" ", "_"): value for key, value in self.proxy.counts.items()})
        return 0

    def _open_store(self) -> RestoredState | None:
        form = self.form.store
        if form is None:
            return None
        self.store = ProxyStore(
            Path(form.folder),
            self.form.name,
            self.log,
            [entry.importance for entry in self.form.traffic_type],
            list_validity=form.word_lasts_s,
            max_dialog_age=self.form.longest_dialog_s,
            max_callers=form.most_callers,
            caller_retention=max(entry.no_answer_time_ms for entry in self.form.traffic_type) / 1000,
            run_in_thread=self._run_in_thread,
        )
        restored_state = self.store.open()
        if self.store.record_store is None:
            self.store = None
        return restored_state

    @staticmethod
    def _run_in_thread(run: Any, *args: Any) -> Any:
        """Run a function in a thread, while other greenlets continue."""
        return gevent.get_hub().threadpool.apply(run, args)

    def _open_coordination(self, tokens: dict[str, int]) -> None:
        form = self.form.coordination
        if form is None:
            return
        addresses = {entry.name: entry.address for entry in form.member}
        listen_addresses = {entry.name: entry.listen or entry.address for entry in form.member}
        self.coordination = Coordination(
            self.proxy,
            self.work,
            clock,
            self.log,
            name=self.form.name,
            address=addresses[self.form.name],
            listen=listen_addresses[self.form.name],
            key=form.key.encode(),
            member_addresses=addresses,
            weight=form.weight,
            period=to_units(form.period_ms),
            lease_duration=to_units(form.lease_ms),
            probe_period=to_units(form.probe_every_ms),
            probe_limit=to_units(form.probe_limit_ms),
            tokens=tokens,
        )
        self.coordination.open()

    def _open_control(self) -> None:
        if self.form.control is not None:
            self.control = ControlServer(self.form.control, self)
            self.control.open()

    def _open_trace(self) -> None:
        form = self.form.trace
        if form is None:
            return
        header = Header(
            FORMAT,
            module_digest(),
            secrets.token_hex(4),
            self.form.name,
            self.proxy.wall_time_at_start,
            self.proxy.started_at,
            self.proxy.controller_arguments,
        )
        folder, part_bytes, budget_bytes = Path(form.folder), round(form.part_mb * 2**20), round(form.budget_mb * 2**20)
        self.trace_buffer.set_enabled(form.recording)

        source = Source(header.module, header.epoch, header.instance, header.wall, header.started, header.figures)
        span_consumers: list[Any] = []
        if form.metrics:
            # imported here: the libraries of metrics and spans take longer to load than all the rest
            from ..metrics.calls import CallMetrics

            self.metrics = CallMetrics([entry.name for entry in self.form.traffic_type])
            span_consumers.append(self.metrics.observe)
        if form.spans_slower_ms is not None:
            from ..spans.live import LiveSpans

            self.spans = LiveSpans(folder, source, to_units(form.spans_slower_ms))
            span_consumers.append(self.spans.write)
        timelines = LiveTimelines(source, self.log, span_consumers)

        def records_written(records: list[list[Any]], name: str) -> None:
            if self.spans is not None:
                self.spans.set_file(name, timelines.builder.record_index)
            timelines.add(records)

        self.recorder = Recorder(
            folder,
            self.trace_buffer,
            header,
            self.log,
            part_bytes=part_bytes,
            part_duration=round(form.part_s * UNITS_PER_SECOND),
            clock=clock,
            run_in_thread=self._run_in_thread,
            on_written=records_written if span_consumers else None,
        )
        self.recorder.open()
        self.work.add_sweep(
            "trace budget",
            lambda: self._run_in_thread(enforce_budget, folder, self.form.name, budget_bytes, part_bytes, self.log) >= 0,
            period=10 * UNITS_PER_SECOND,
            limit=60 * UNITS_PER_SECOND,
        )

    def drain(self) -> None:
        """Admit no new dialogs; established ones may finish until the drain limit."""
        if self.drain_deadline is None:
            if self.coordination is not None:
                self.coordination.leave()
            self.drain_deadline = time.monotonic() + self.form.drain_limit_s
            self.proxy.admission.draining = True
            self.log.info("draining", dialogs=len(self.proxy.calls), limit_s=self.form.drain_limit_s)

    def _tick(self) -> None:
        tick_count = 0
        cpu_start, wall_start = time.process_time(), time.monotonic()
        while True:
            previous = clock()
            gevent.sleep(TICK_SECONDS)
            now = clock()
            tick_count += 1
            if tick_count % 10 == 0:
                cpu_end, wall_end = time.process_time(), time.monotonic()
                self.load = 0.7 * self.load + 0.3 * min(1.0, (cpu_end - cpu_start) / max(1e-6, wall_end - wall_start))
                cpu_start, wall_start = cpu_end, wall_end
                self.work.runner.step()
            self.proxy.timer_ran_late(now, max(0, now - previous - int(TICK_SECONDS * UNITS_PER_SECOND)))
            self._guarded(self.proxy.due, now)
            if self.drain_deadline is not None and (not self.proxy.calls or time.monotonic() >= self.drain_deadline):
                if self.proxy.calls:
                    self.log.warning("drain-limit-passed", dialogs=len(self.proxy.calls))
                gevent.sleep(10 * TICK_SECONDS)
                self.drain_complete.set()

    # --- questions of the control socket ---

    def answer_question(self, question: str) -> Any:
        """Answer a question of the control socket. Raises KeyError with a message if it can't be answered."""
        coordination = self.coordination
        match question:
            case "members":
                return coordination.members_table() if coordination is not None else []
            case "duties":
                return coordination.duties_table() if coordination is not None else []
            case "learned":
                return coordination.learned_table() if coordination is not None else []
            case "leave":
                if coordination is None:
                    raise KeyError("this proxy does not coordinate")
                coordination.leave()
                return "left"
            case "trace":
                return self._require_recorder().statistics()
            case "store":
                if self.store is None:
                    raise KeyError("this proxy has no (store ...) in its settings, or could not open it")
                return self.store.figures()
            case "metrics":
                if self.metrics is None:
                    raise KeyError("this proxy has no (metrics true) in its (trace ...)")
                return self.metrics.render()
            case "trace on" | "trace off":
                self._require_recorder()
                self.trace_buffer.set_enabled(question == "trace on")
                self.log.info("trace-switched", on=self.trace_buffer.enabled)
                return self.recorder.statistics()
            case _ if question.startswith("remark "):
                self._require_recorder()
                self.proxy.remark(clock(), question.removeprefix("remark ")[:MAX_REMARK_LENGTH])
                return "noted"
            case "exchanges":
                return self._exchanges()
            case "counts":
                return {
                    "name": self.form.name,
                    "busy": round(self.load, 3),
                    "open": self.proxy.open_dialogs,
                    "dialogs": len(self.proxy.calls),
                    "uptime_s": round((clock() - self.proxy.started_at) / UNITS_PER_SECOND, 1),
                    "counts": dict(self.proxy.counts),
                    "coordinates": coordination is not None,
                    "datagrams": dict(
                        coordination.datagrams.counts, sent=coordination.datagrams.sent, bytes=coordination.datagrams.sent_bytes
                    )
                    if coordination is not None
                    else {},
                    "tasks": [
                        {
                            "task": task.name,
                            "runs": task.runs,
                            "failures": task.failures,
                            "missed": task.missed,
                            "overruns": task.overruns,
                        }
                        for task in self.work.plan.tasks.values()
                    ],
                }
        raise KeyError(f"unknown question {question!r}")

    def _require_recorder(self) -> Recorder:
        if self.recorder is None:
            raise KeyError("this proxy has no (trace ...) in its settings")
        return self.recorder

    def _exchanges(self) -> list[dict[str, Any]]:
        now, rows = clock(), []
        for gw, name in enumerate(self.proxy.exchange_ids):
            exchange = self.proxy.controller.exchanges.get(gw)
            if exchange is not None:
                rows.append(
                    {
                        "exchange": name,
                        "number": exchange.number,
                        "ready": exchange.ready,
                        "free": exchange.group.free,
                        "circuits": exchange.group.size,
                        "expected_ms": exchange.expected_setup(now) / 10,
                        "legs_out": len(exchange.legs_out),
                        "cold": now < exchange.cold_until,
                        "pressed": now < exchange.overloaded_until,
                    }
                )
        return rows

    def message_received(self, message: Message, hop: Hop) -> None:
        self._guarded(self.proxy.got, clock(), message, hop)

    def invalid_message_received(self, bad: BadMessageError, hop: Hop) -> None:
        self._guarded(self.proxy.got_bad, clock(), bad, hop)

    def hop_failed(self, hop: Hop, reset: bool) -> None:
        self._guarded(self.proxy.hop_failed, clock(), hop, reset)

    def _guarded(self, method: Any, *args: Any) -> None:
        """Handle one event; an exception is logged, with the name of the method, and must not end the calling greenlet."""
        try:
            method(*args)
        except Exception:
            self.log.exception("event-failed", event_name=method.__name__)
