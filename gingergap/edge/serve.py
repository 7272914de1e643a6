"""The edge as a process: settings to a proxy, sockets, the monotonic clock, signals, and an orderly end."""

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
from ..store.memory import Memory, Recalled
from ..trace.format import FORMAT, Header, Source
from ..trace.live import LiveStories
from ..trace.recorder import Recorder, keep_budget
from ..trace.tape import Tape, module_digest
from ..transport.sockets import Sockets
from .admission import AdmissionControl
from .coordination import Coordination, LocalWork
from .numbering import NumberingPlan
from .proxy import EdgeProxy
from .remembering import Remembering

TICK = 0.005  # seconds between looks at what is due
UNIT = 10_000  # tenths of a millisecond in a second
MOST_REMARK = 500  # characters
LATE = 500  # 50 ms behind: the process no longer keeps up


def clock() -> int:
    """Now, in tenths of a millisecond, by the machine's monotonic clock."""
    return time.monotonic_ns() // 100_000


def units(ms: float) -> int:
    return round(ms * 10)


def build_proxy(
    form: EdgeForm,
    wire: Any,
    log: Any,
    now: int,
    wall: float,
    fresh: Any,
    tape: Tape | None = None,
    memory: Memory | None = None,
    recalled: Recalled | None = None,
) -> EdgeProxy:
    """The proxy that a settings file describes."""
    types = [
        TrafficType(
            units(entry.setup_objective_ms),
            units(entry.no_answer_time_ms),
            entry.late_share,
            entry.importance,
            entry.repeatable,
            None,
        )
        for entry in form.traffic_type
    ]
    kinds = {value.lower(): place for place, entry in enumerate(form.traffic_type) for value in entry.resource_priority}
    return EdgeProxy(
        wire,
        now,
        wall,
        fresh,
        log,
        address=parse_host_port(form.listen),
        domain=form.domain,
        here=form.here,
        seed=form.seed,
        exchanges=[(entry.number, entry.id, parse_host_port(entry.address)) for entry in form.exchange],
        exchange_list=parse_host_port(form.exchange_list) if form.exchange_list else None,
        types=types,
        kinds=kinds,
        widths=[entry.circuits for entry in form.traffic_type],
        numbering=NumberingPlan({prefix: entry.number for entry in form.exchange for prefix in entry.prefix}),
        admission=AdmissionControl(form.bounds.dialogs, LATE, [entry.importance for entry in form.traffic_type]),
        default_expires=form.default_expires_s,
        most_transactions=form.bounds.transactions,
        t1=units(form.t1_ms),
        release_guard=units(form.release_guard_ms) + 1,
        most_legs=form.most_legs,
        longest_hold_off=units(form.longest_hold_off_ms),
        tells=form.tell_peers,
        cold_from=form.cold.from_share,
        warm_after=units(form.cold.warm_after_ms) + 1,
        multiple=form.cold.multiple,
        fall_span=units(form.cold.span_ms) + 1,
        tape=tape,
        memory=memory,
        recalled=recalled,
    )


class EdgeProcess:
    """One running edge. `run` returns the exit code once it has drained."""

    def __init__(self, form: EdgeForm, log: Any) -> None:
        self.form, self.log = form, log.bind(edge=form.name)
        self.sockets = Sockets(
            self, parse_host_port(form.listen), most_queued=form.bounds.queued_bytes, most_connections=form.bounds.connections
        )
        self.proxy: EdgeProxy | None = None
        self.over = Event()
        self.drained_by: float | None = None
        self.work: LocalWork | None = None
        self.coordination: Coordination | None = None
        self.control: ControlServer | None = None
        self.tape = Tape()
        self.recorder: Recorder | None = None
        self.spans: Any = None
        self.store: Remembering | None = None
        self.figures: Any = None
        self.busy = 0.0  # the part of the time that calls take, of late

    def run(self) -> int:
        try:
            self.sockets.open()
        except OSError as error:
            self.log.error("address-taken", listen=self.form.listen, why=error.strerror)
            return 2
        recalled = self._open_store()
        self.proxy = build_proxy(
            self.form,
            self.sockets,
            self.log,
            clock(),
            time.time(),
            lambda size: secrets.token_hex(size // 2),
            None if self.form.trace is None else self.tape,
            None if self.store is None else self.store.memory,
            recalled,
        )
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self.drain)
        self.log.info("serving", listen=self.form.listen, here=self.form.here)
        self.work = LocalWork(
            self.proxy,
            clock,
            self.log,
            lambda: self.busy,
            budget=self.form.background_ms_per_s,
            longest_dialog=round(self.form.longest_dialog_s * UNIT),
        )
        try:
            self._open_coordination({} if recalled is None else recalled.tokens)
            if self.store is not None:
                if self.coordination is not None:
                    self.store.counters = self.coordination.keeper.counters
                self.store.start(
                    self.proxy,
                    self.work,
                    clock,
                    every=self.form.store.every_ms / 1000,
                    learn_every=self.form.store.learn_every_ms / 1000,
                )
            self._open_control()
            self._open_trace()
        except OSError as error:
            self.log.error("cannot-open", path=error.filename, why=error.strerror or str(error))
            self.sockets.close()
            return 2
        ticker = gevent.spawn(self._tick)
        self.over.wait()
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

    def _open_store(self) -> Recalled | None:
        form = self.form.store
        if form is None:
            return None
        self.store = Remembering(
            Path(form.folder),
            self.form.name,
            self.log,
            [entry.importance for entry in self.form.traffic_type],
            word_lasts=form.word_lasts_s,
            longest_dialog=self.form.longest_dialog_s,
            most_callers=form.most_callers,
            caller_lasts=max(entry.no_answer_time_ms for entry in self.form.traffic_type) / 1000,
            apart=self._apart,
        )
        recalled = self.store.open()
        if self.store.book is None:
            self.store = None
        return recalled

    @staticmethod
    def _apart(run: Any, *args: Any) -> Any:
        """In a thread, while other greenlets go on."""
        return gevent.get_hub().threadpool.apply(run, args)

    def _open_coordination(self, tokens: dict[str, int]) -> None:
        form = self.form.coordination
        if form is None:
            return
        everybody = {entry.name: entry.address for entry in form.member}
        listens = {entry.name: entry.listen or entry.address for entry in form.member}
        self.coordination = Coordination(
            self.proxy,
            self.work,
            clock,
            self.log,
            name=self.form.name,
            address=everybody[self.form.name],
            listen=listens[self.form.name],
            key=form.key.encode(),
            everybody=everybody,
            weight=form.weight,
            period=units(form.period_ms),
            lasts=units(form.lease_ms),
            probe_every=units(form.probe_every_ms),
            probe_limit=units(form.probe_limit_ms),
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
            self.proxy.wall_at_start,
            self.proxy.started_at,
            self.proxy.figures,
        )
        folder, part, budget = Path(form.folder), round(form.part_mb * 2**20), round(form.budget_mb * 2**20)
        self.tape.switch(form.recording)

        source = Source(header.module, header.epoch, header.instance, header.wall, header.started, header.figures)
        told: list[Any] = []
        if form.metrics:
            from ..metrics.calls import CallFigures  # its library and that of spans take longer to load than all the rest

            self.figures = CallFigures([entry.name for entry in self.form.traffic_type])
            told.append(self.figures.over)
        if form.spans_slower_ms is not None:
            from ..spans.live import LiveSpans

            self.spans = LiveSpans(folder, source, units(form.spans_slower_ms))
            told.append(self.spans.over)
        stories = LiveStories(source, self.log, told)

        def seen(records: list[list[Any]], name: str) -> None:
            if self.spans is not None:
                self.spans.file(name, stories.stories.place)
            stories.take(records)

        self.recorder = Recorder(
            folder,
            self.tape,
            header,
            self.log,
            part=part,
            lasts=round(form.part_s * UNIT),
            clock=clock,
            apart=self._apart,
            seen=seen if told else None,
        )
        self.recorder.open()
        self.work.add_sweep(
            "trace budget",
            lambda: self._apart(keep_budget, folder, self.form.name, budget, part, self.log) >= 0,
            period=10 * UNIT,
            limit=60 * UNIT,
        )

    def drain(self) -> None:
        """No new dialogs; those that stand may finish until the limit."""
        if self.drained_by is None:
            if self.coordination is not None:
                self.coordination.leave()
            self.drained_by = time.monotonic() + self.form.drain_limit_s
            self.proxy.admission.draining = True
            self.log.info("draining", dialogs=len(self.proxy.calls), limit_s=self.form.drain_limit_s)

    def _tick(self) -> None:
        ticks = 0
        cpu, at = time.process_time(), time.monotonic()
        while True:
            before = clock()
            gevent.sleep(TICK)
            now = clock()
            ticks += 1
            if ticks % 10 == 0:
                cpu_now, at_now = time.process_time(), time.monotonic()
                self.busy = 0.7 * self.busy + 0.3 * min(1.0, (cpu_now - cpu) / max(1e-6, at_now - at))
                cpu, at = cpu_now, at_now
                self.work.runner.step()
            self.proxy.ran_late(now, max(0, now - before - int(TICK * UNIT)))
            self._guarded(self.proxy.due, now)
            if self.drained_by is not None and (not self.proxy.calls or time.monotonic() >= self.drained_by):
                if self.proxy.calls:
                    self.log.warning("drain-limit-passed", dialogs=len(self.proxy.calls))
                gevent.sleep(10 * TICK)
                self.over.set()

    # --- what the control socket asks ---

    def answer_question(self, what: str) -> Any:
        """Tables for operators; raises KeyError for what there is not."""
        joined = self.coordination
        match what:
            case "members":
                return joined.members_table() if joined is not None else []
            case "duties":
                return joined.duties_table() if joined is not None else []
            case "learned":
                return joined.learned_table() if joined is not None else []
            case "leave":
                if joined is None:
                    raise KeyError("this proxy does not coordinate")
                joined.leave()
                return "left"
            case "trace":
                return self._traced().figures()
            case "store":
                if self.store is None:
                    raise KeyError("this proxy has no (store ...) in its settings, or could not open it")
                return self.store.figures()
            case "metrics":
                if self.figures is None:
                    raise KeyError("this proxy has no (metrics true) in its (trace ...)")
                return self.figures.text()
            case "trace on" | "trace off":
                self._traced()
                self.tape.switch(what == "trace on")
                self.log.info("trace-switched", on=self.tape.on)
                return self.recorder.figures()
            case _ if what.startswith("remark "):
                self._traced()
                self.proxy.remark(clock(), what.removeprefix("remark ")[:MOST_REMARK])
                return "noted"
            case "exchanges":
                return self._exchanges()
            case "counts":
                return {
                    "name": self.form.name,
                    "busy": round(self.busy, 3),
                    "open": self.proxy.open_dialogs,
                    "dialogs": len(self.proxy.calls),
                    "uptime_s": round((clock() - self.proxy.started_at) / UNIT, 1),
                    "counts": dict(self.proxy.counts),
                    "coordinates": joined is not None,
                    "datagrams": dict(joined.datagrams.counts, sent=joined.datagrams.sent, bytes=joined.datagrams.sent_bytes)
                    if joined is not None
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
        raise KeyError(f"nothing is called {what!r}")

    def _traced(self) -> Recorder:
        if self.recorder is None:
            raise KeyError("this proxy has no (trace ...) in its settings")
        return self.recorder

    def _exchanges(self) -> list[dict[str, Any]]:
        now, rows = clock(), []
        for gw, name in enumerate(self.proxy.ids):
            ex = self.proxy.controller.gws.get(gw)
            if ex is not None:
                rows.append(
                    {
                        "exchange": name,
                        "number": ex.number,
                        "ready": ex.ready,
                        "free": ex.group.free,
                        "circuits": ex.group.size,
                        "expected_ms": ex.expected(now) / 10,
                        "legs_out": len(ex.out),
                        "cold": now < ex.cold_until,
                        "pressed": now < ex.pressed_until,
                    }
                )
        return rows

    def got(self, message: Message, hop: Hop) -> None:
        self._guarded(self.proxy.got, clock(), message, hop)

    def got_bad(self, bad: BadMessageError, hop: Hop) -> None:
        self._guarded(self.proxy.got_bad, clock(), bad, hop)

    def hop_failed(self, hop: Hop, reset: bool) -> None:
        self._guarded(self.proxy.hop_failed, clock(), hop, reset)

    def _guarded(self, method: Any, *args: Any) -> None:
        """One event that fails must not end the reader that brought it: the rest of the calls go on."""
        try:
            method(*args)
        except Exception:
            self.log.exception("event-failed", event_name=method.__name__)
