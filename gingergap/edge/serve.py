"""The edge as a process: settings to a proxy, sockets, the monotonic clock, signals, and an orderly end."""

import secrets
import signal
import time
from typing import Any

import gevent
from gevent.event import Event

from ..host import TrafficType
from ..settings.edge import EdgeForm
from ..sip.fields import host_port
from ..sip.message import BadMessageError, Message
from ..sip.transactions import Hop
from ..transport.sockets import Sockets
from .door import Door
from .numbering import Numbering
from .proxy import EdgeProxy

TICK = 0.005  # seconds between looks at what is due
UNIT = 10_000  # tenths of a millisecond in a second
LATE = 500  # 50 ms behind: the process no longer keeps up


def clock() -> int:
    """Now, in tenths of a millisecond, by the machine's monotonic clock."""
    return time.monotonic_ns() // 100_000


def units(ms: float) -> int:
    return round(ms * 10)


def proxy_of(form: EdgeForm, wire: Any, log: Any, now: int, wall: float, fresh: Any) -> EdgeProxy:
    """The proxy that a settings file describes."""
    types = [TrafficType(units(entry.setup_objective_ms), units(entry.no_answer_time_ms), entry.late_share,
                         entry.importance, entry.repeatable, None) for entry in form.traffic_type]
    kinds = {value.lower(): place for place, entry in enumerate(form.traffic_type)
             for value in entry.resource_priority}
    return EdgeProxy(
        wire, now, wall, fresh, log, address=host_port(form.listen), domain=form.domain, here=form.here,
        seed=form.seed, exchanges=[(entry.number, entry.id, host_port(entry.address))
                                   for entry in form.exchange],
        exchange_list=host_port(form.exchange_list) if form.exchange_list else None, types=types, kinds=kinds,
        widths=[entry.circuits for entry in form.traffic_type],
        numbering=Numbering({prefix: entry.number for entry in form.exchange for prefix in entry.prefix}),
        door=Door(form.bounds.dialogs, LATE, [entry.importance for entry in form.traffic_type]),
        default_expires=form.default_expires_s, most_transactions=form.bounds.transactions,
        t1=units(form.t1_ms), release_guard=units(form.release_guard_ms) + 1, most_legs=form.most_legs,
        longest_hold_off=units(form.longest_hold_off_ms), tells=form.tell_peers,
        cold_from=form.cold.from_share, warm_after=units(form.cold.warm_after_ms) + 1,
        multiple=form.cold.multiple, fall_span=units(form.cold.span_ms) + 1)


class EdgeProcess:
    """One running edge. `run` returns the exit code once it has drained."""

    def __init__(self, form: EdgeForm, log: Any) -> None:
        self.form, self.log = form, log.bind(edge=form.name)
        self.sockets = Sockets(self, host_port(form.listen), most_queued=form.bounds.queued_bytes,
                               most_connections=form.bounds.connections)
        self.proxy: EdgeProxy | None = None
        self.over = Event()
        self.drained_by: float | None = None

    def run(self) -> int:
        try:
            self.sockets.open()
        except OSError as error:
            self.log.error("address-taken", listen=self.form.listen, why=error.strerror)
            return 2
        self.proxy = proxy_of(self.form, self.sockets, self.log, clock(), time.time(),
                              lambda size: secrets.token_hex(size // 2))
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self.drain)
        self.log.info("serving", listen=self.form.listen, here=self.form.here)
        ticker = gevent.spawn(self._tick)
        self.over.wait()
        ticker.kill()
        self.sockets.close()
        self.log.info("ended", **{key.replace(" ", "_"): value for key, value in self.proxy.counts.items()})
        return 0

    def drain(self) -> None:
        """No new dialogs; those that stand may finish until the limit."""
        if self.drained_by is None:
            self.drained_by = time.monotonic() + self.form.drain_limit_s
            self.proxy.door.draining = True
            self.log.info("draining", dialogs=len(self.proxy.calls), limit_s=self.form.drain_limit_s)

    def _tick(self) -> None:
        while True:
            before = clock()
            gevent.sleep(TICK)
            now = clock()
            self.proxy.door.ran(max(0, now - before - int(TICK * UNIT)))
            self._guarded(self.proxy.due, now)
            if self.drained_by is not None and (not self.proxy.calls or time.monotonic() >= self.drained_by):
                if self.proxy.calls:
                    self.log.warning("drain-limit-passed", dialogs=len(self.proxy.calls))
                gevent.sleep(10 * TICK)
                self.over.set()

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
