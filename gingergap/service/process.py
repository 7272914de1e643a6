"""The proxy in service as a process: sockets, one timer, signals, orderly shutdown.

Events are passed to `Calls` one at a time, in order; no method of it blocks.
"""

from __future__ import annotations

import gc
import os
import signal
import sys
import time
from pathlib import Path
from typing import Any

import gevent
from gevent.event import Event

from ..exchange_list.long_poll import Batch, EventBusError, ListedSwitch, events_after, parse_address, state_of
from ..host import GwState
from ..platform_settings import BadFieldError, SettingsReader
from ..transport.turns import YIELD_TIME
from . import early_signals
from .caller_connection import CallerConnection
from .caller_connections import OVERDUE_HALF_CLOSE_TIMEOUT, CallerConnections
from .calls import UNITS_PER_MS, Calls
from .configuration import Configuration, configuration_from_environment, read_configuration
from .diagnostics import Diagnostics
from .event_bus import EventBusClient
from .fair_share import FairShare
from .log import DetailLog, log
from .shutdown import ShutdownSchedule
from .switch_connections import MAX_LINKS, SwitchConnection, SwitchConnections, to_clock
from .switch_processes import ListedProcess
from .wire import ProcessConnection

TICK = 0.01  # seconds between two runs of the timer
CHECK_TICKS = 10  # ticks between two checks of the connections
COUNTS_TICKS = 1000  # ticks between two log lines of counts
SHUTDOWN_LOG_TICKS = 50  # ticks between two log lines about a shutdown
IDLE_LINKS_EIGHTHS = 3  # of all descriptors, for idle connections to switches; callers may hold half
MAX_HELD_PINGS = 1000  # until the process is ready; connections share them
READY_TIMEOUT = 0.7  # seconds after the start for which pings are held until the switches that are being connected to have reported
SWITCH_HALF_CLOSE_TIMEOUT = 0.05  # seconds at a shutdown in which switches may close their side of half-closed connections


def _listed_process(entry: ListedSwitch) -> ListedProcess:
    return ListedProcess(entry.uid, entry.pod_group, state_of(entry), entry.boot_ms * UNITS_PER_MS, entry.endpoint)


class Process:
    """One running proxy; the Wire of its calls and the Owner of its connections and its event bus client."""

    def __init__(self, path: Path, config: Configuration, diagnostics: bool = False) -> None:
        self.path, self.config = path, config
        # Added to the monotonic clock: the Unix time at the start, without later adjustments of the clock.
        self.clock_offset = time.time_ns() - time.monotonic_ns()
        self.callers = CallerConnections(self, config.sockets // 2)
        self.switches: dict[int, SwitchConnections] = {}  # by gw
        self.detail_log = DetailLog(self.seconds)
        self.held_pings: list[tuple[CallerConnection, str]] = []
        self.held_pings_share = FairShare(MAX_HELD_PINGS)
        self.started = self.seconds()
        self.ready = False
        self.has_met_callers = False  # somebody could be told of the end of a call since the start
        self.shutdown_started: float | None = None  # seconds
        self.schedule: ShutdownSchedule | None = None  # during a shutdown
        self.stopped = Event()
        self.last_offset = 0
        self.bus = EventBusClient(self, config.bus)
        ceilings = SettingsReader(config.settings, "settings").section("Ceilings")
        self.connect_timeout = ceilings.get("ConnectTimeout", int, 500_000) / 1e6
        self.calls = Calls(self, self.clock(), config.seed, config.settings, diagnostics=Diagnostics(log) if diagnostics else None)
        for offset, complete, entries in events_after(0, config.known):
            self._apply_event(offset, complete, entries)
        self.last_offset = max(self.last_offset, config.known.offset)

    def clock(self) -> int:
        """Unix time in tenths of a millisecond."""
        return (time.monotonic_ns() + self.clock_offset) // 100_000

    def seconds(self) -> float:
        """Unix time in seconds."""
        return self.clock() / 10_000

    def run(self) -> int:
        """Serve until SIGTERM or SIGINT; returns the exit status."""
        try:
            self.callers.listen(self.config.listen)
        except OSError as error:
            print(f"LB_LISTEN: {self.config.listen[0]}:{self.config.listen[1]}: {error.strerror}", file=sys.stderr)
            return 2
        gevent.signal_handler(signal.SIGTERM, self.begin_shutdown)
        gevent.signal_handler(signal.SIGINT, self.begin_shutdown)
        gevent.signal_handler(signal.SIGHUP, self.reload)
        log("serving", name=self.config.name, listen=self.config.listen[0], switches=len(self.switches))
        self.bus.start()
        if early_signals.sighup_received():
            self.reload()
        self.callers.start()
        ticker = gevent.spawn(self._run_timer)
        self.stopped.wait()
        self.bus.stop()
        ticker.kill(block=False)
        self._log_counts("ended")
        return 0

    def _log_counts(self, event: str) -> None:
        log(
            event,
            open=len(self.calls.by_dialog),
            callers=len(self.callers),
            links=sum(len(switch.links) for switch in self.switches.values()),
            standing=sum(map(len, self.calls.established.values())),
            **{counter.replace(" ", "-"): value for counter, value in self.calls.counts.items()},
        )

    # --- Wire of the calls ---

    def log_call(self, event: str, id: str, **fields: Any) -> None:
        self.detail_log(event, id=id, **fields)

    def send_to_caller(self, conn: CallerConnection, data: bytes) -> bool:
        return conn.send_line(data)

    def send_release(
        self, conn: CallerConnection | None, id: str, cause: int, told_by: int | None = None, is_known: bool = True
    ) -> None:
        self.callers.releases.send(conn, id, cause, told_by, is_known)

    def is_release_pending(self, id: str) -> bool:
        return id in self.callers.releases.by_id

    def settle_release(self, id: str) -> None:
        self.callers.releases.settle(id)

    def half_close_unused(self, conn: CallerConnection) -> None:
        self.callers.half_close_unused(conn)

    def has_unread(self, conn: CallerConnection) -> bool:
        return conn.has_unread()

    def call_established(self, conn: CallerConnection) -> None:
        self.callers.call_established(conn)

    def set_up_taken(self, conn: CallerConnection) -> None:
        self.callers.releases.set_up_taken(conn)

    def caller_identified(self, conn: CallerConnection) -> None:
        self.callers.releases.caller_identified(conn)

    def choose_link(self, gw: int, used_links: set[Any]) -> SwitchConnection | None:
        switch = self.switches.get(gw)
        return switch.choose_link(used_links) if switch is not None else None

    def is_up(self, link: SwitchConnection) -> bool:
        return link.up

    def connection(self, link: SwitchConnection) -> ProcessConnection:
        return link.record

    def open_connections(self, address: str) -> list[ProcessConnection]:
        return [
            connection
            for switch in self.switches.values()
            for connection in switch.open_connections()
            if connection.address == address
        ]

    def send_on_connection(self, connection: ProcessConnection, data: bytes) -> bool:
        switch = self.switches.get(connection.gw)
        return switch is not None and switch.send_on(connection, data)

    def send_on_link(self, link: SwitchConnection, data: bytes) -> bool:
        link.write(data)
        return not link.closed and not link.finishing

    def withdraw_unsent(self, link: SwitchConnection, data: bytes) -> bool:
        return link.cancel_write(data)

    def send_to_switch(self, gw: int, data: bytes, owner: CallerConnection | None = None) -> None:
        switch = self.switches.get(gw)
        if switch is not None:
            switch.send(data, owner)

    def retire_link(self, link: SwitchConnection) -> None:
        link.retired = True

    # --- Owner of the connections ---

    def link_up(self, link: SwitchConnection) -> None:
        self.detail_log("switch-connection-up", switch=self.calls.switches.ids[link.switch.gw], own_port=link.record.own_port)
        self.calls.link_up(self.clock(), link)

    def link_lost(self, link: SwitchConnection, was_up: bool) -> None:
        legs = self.calls.by_link.get(link, ())
        established_calls = self.established_calls(link.switch)
        if legs or established_calls or link.record.standing_calls:
            self.detail_log(
                "switch-connection-closed" if was_up else "switch-connection-failed",
                switch=self.calls.switches.ids[link.switch.gw],
                why=link.close_reason,
                legs=",".join(legs) or "none",
                calls=established_calls,
                own_port=link.record.own_port,
                calls_on_it=link.record.standing_calls,
            )
        self.calls.link_lost(self.clock(), link, was_up)

    def open_set_ups(self, link: SwitchConnection) -> int:
        return len(self.calls.by_link.get(link, ()))

    def established_calls(self, switch: SwitchConnections) -> int:
        return len(self.calls.established.get(switch.gw, ()))

    def connection_refused(self, switch: SwitchConnections) -> None:
        at_address = self._at_address_of(switch)
        if not any(other.has_open_connection() for other in at_address):
            lost_at = max(other.connections_lost_at for other in at_address)
            self.calls.connection_refused(self.clock(), switch.gw, to_clock(lost_at))

    def _at_address_of(self, switch: SwitchConnections) -> list[SwitchConnections]:
        return [other for other in (switch, *self.switches.values()) if other.address == switch.address]

    def connections_failed(self, switch: SwitchConnections) -> bool:
        established_calls = self.established_calls(switch)
        failing_since, last_read_at = to_clock(switch.failing_since), to_clock(switch.last_read_at)
        is_lost = self.calls.connections_failed(self.clock(), switch.gw, failing_since, last_read_at)
        if is_lost and established_calls:
            log("machine-lost", switch=self.calls.switches.ids[switch.gw], calls=established_calls)
        return is_lost

    def max_idle_links(self) -> int:
        share = self.config.sockets * IDLE_LINKS_EIGHTHS // 8 // max(1, len(self.switches))
        return max(1, min(MAX_LINKS, share))

    def link_unreadable(self, link: SwitchConnection, reason: str) -> None:
        self.calls.increment("link closed", reason[:60])

    def message_dropped(self, switch: SwitchConnections) -> None:
        self.calls.increment("messages to switches dropped")

    def ping_received(self, caller: CallerConnection, id: str) -> None:
        if self.ready:
            self.calls.ping_received(self.clock(), caller, id, self.shutdown_started is None)
        elif self.held_pings_share.admits(caller):
            self.held_pings_share.take(caller)
            self.held_pings.append((caller, id))
        else:
            self.calls.ping_received(self.clock(), caller, id, False)

    # --- exchange list ---

    def _apply_event(self, offset: int, complete: bool, entries: list[ListedSwitch]) -> None:
        """Apply one event of the bus; `complete`: the entries are the whole list."""
        self.last_offset = offset
        log(
            "list-changed",
            number=offset,
            whole=complete,
            switches=",".join(f"{entry.uid}:{entry.state}" for entry in entries[:8]),
            started=",".join(f"{entry.uid}:{entry.boot_ms}" for entry in entries[:8] if entry.boot_ms) or "none",
        )
        self.calls.exchange_list_received(self.clock(), complete, [_listed_process(entry) for entry in entries])
        for entry in entries:
            self._follow_entry(self.calls.switches.gw_of[entry.uid], entry)
        for gw, switch in self.switches.items():
            switch.listed = switch.listed and not self.calls.switch_processes.is_over(gw)

    def _follow_entry(self, gw: int, entry: ListedSwitch) -> None:
        """Connect to a listed switch, if calls may go there or its calls may end."""
        is_own_exchange = self.calls.switches.exchange_numbers[gw] == self.calls.controller.own_exchange
        if is_own_exchange or self.calls.switch_processes.is_over(gw):
            return
        state = state_of(entry)
        if state == GwState.READY or state == GwState.DRAINING and gw not in self.switches and entry.endpoint:
            # A draining switch gets no new calls, but it reports the ends of calls established before this process.
            self._connect_to(gw, parse_address(entry.endpoint))

    def _connect_to(self, gw: int, address: tuple[str, int]) -> None:
        switch = self.switches.get(gw)
        if switch is not None and switch.address != address:
            switch.close()
            switch = None
        started = self.calls.switch_processes.by_gw[gw].started
        if switch is None:
            switch = self.switches[gw] = SwitchConnections(self, gw, address, self.connect_timeout, started)
        elif started > switch.started:
            switch.process_restarted(started)
        switch.listed = True

    def batch_received(self, batch: Batch) -> None:
        for offset, complete, entries in events_after(self.last_offset, batch):
            self._apply_event(offset, complete, entries)

    # --- timer ---

    def _run_timer(self) -> None:
        ticks = 0
        while True:
            slept_at = self.seconds()
            gevent.sleep(TICK)
            if self.seconds() - slept_at > 2 * TICK:
                gevent.sleep(YIELD_TIME)  # the process was suspended: what arrived meanwhile is read before timeouts are applied
            ticks += 1
            try:
                self.callers.check_half_closed()
                self.calls.tick(self.clock())
                if ticks % CHECK_TICKS == 0 or not self.ready or self._meets_first_caller():
                    self._check_connections()
                if self.schedule is not None:
                    self._continue_shutdown()
                if ticks % COUNTS_TICKS == 0:
                    self._log_counts("counts")
                if self.shutdown_started is not None and ticks % SHUTDOWN_LOG_TICKS == 0:
                    self._log_shutdown()
            except Exception as error:  # an error in one event must not stop the timer: the other calls go on
                log("event-failed", error=repr(error))
                import traceback

                traceback.print_exc()

    def _meets_first_caller(self) -> bool:
        """Whether connections to switches are opened now that a caller is there for the first time."""
        return not self.has_met_callers and self.callers.can_deliver_releases()

    def _check_connections(self) -> None:
        has_caller = self.callers.has_likely_caller()
        can_deliver = has_caller or self.callers.can_deliver_releases()
        self.has_met_callers = self.has_met_callers or can_deliver
        # Told of calls whose release is not settled: they send it once more, on the next connection that is opened.
        owing = {self.switches[gw].address for gw in self.callers.releases.switches_owing() if gw in self.switches}
        for switch in list(self.switches.values()):
            is_owing = switch.address in owing
            switch.check(has_caller or not is_owing and (can_deliver or self._may_connect_without_callers(switch)))
            if not switch.listed and not switch.links and not self.established_calls(switch):
                del self.switches[switch.gw]
        self.callers.check_timeouts()
        self.callers.releases.send_pending()
        if not self.ready and (
            self.seconds() - self.started > READY_TIMEOUT
            or all(switch.has_reported() for switch in self.switches.values() if switch.links)
        ):
            self.ready = True
            for caller, id in self.held_pings:
                self.ping_received(caller, id)
            self.held_pings.clear()
            self.held_pings_share.clear()

    def _may_connect_without_callers(self, switch: SwitchConnections) -> bool:
        """Whether a connection may be opened although the end of a call could be told to nobody. A switch sends a release once
        more on the next connection that is opened, and nothing that is told to this process outlives it. So none is opened to a
        switch that may hold releases, nor during a shutdown. Elsewhere it shows whether the calls there still stand."""
        return not (switch.may_hold_releases() or self.is_shutting_down())

    # --- signals and shutdown ---

    def reload(self) -> None:
        """SIGHUP: follow the bus named by the configuration file now. An invalid file changes nothing."""
        try:
            config = read_configuration(self.path)
        except BadFieldError as error:
            log("configuration-kept", file=self.path, why=error)
            return
        log("configuration-read", bus=f"{config.bus[0]}:{config.bus[1]}")
        self.bus.move_to(config.bus)

    def is_shutting_down(self) -> bool:
        return self.schedule is not None

    def begin_shutdown(self) -> None:
        """SIGTERM: serve until no new set-ups can arrive, answer those accepted, then stop."""
        if self.shutdown_started is None:
            self.shutdown_started = self.seconds()
            self.schedule = self.calls.shut_down(self.clock())
            # Stops the process in time even if a step of the shutdown fails.
            latest = (self.schedule.close_by - self.clock()) / 10_000 + OVERDUE_HALF_CLOSE_TIMEOUT + SWITCH_HALF_CLOSE_TIMEOUT
            gevent.spawn_later(max(0.0, latest), self.stopped.set)
            log(
                "ending",
                open=len(self.calls.by_dialog),
                callers=len(self.callers),
                untold=len(self.callers.releases.by_id),
            )

    def _log_shutdown(self) -> None:
        """Log what the shutdown waits for: the oldest open set-ups by id, and bytes still queued."""
        open_set_ups = [id for set_ups in self.calls.by_conn.values() for id in set_ups]
        log(
            "ending-waits",
            after_s=round(self.seconds() - self.shutdown_started, 2),
            set_ups=len(open_set_ups),
            oldest=",".join(open_set_ups[:3]) or "none",
            queued=sum(caller.queued for caller in self.callers.open),
            untold=len(self.callers.releases.by_id),
        )

    def _end_calls_of_dead_switches(self) -> None:
        """End the calls at switches that refuse connections. Their callers must be notified now, as the next process may not be
        told of these calls; whenever a switch lost its connections counts as now."""
        for switch in self.switches.values():
            has_open_connection = any(other.has_open_connection() for other in self._at_address_of(switch))
            if switch.refused and self.established_calls(switch) and not has_open_connection:
                self.calls.connection_refused(self.clock(), switch.gw, self.clock())

    def _has_calls_at_unreachable_switch(self) -> bool:
        """Whether an unreachable switch has established calls: it may turn out to be lost while callers can still be notified."""
        return any(switch.failing_since and self.established_calls(switch) for switch in self.switches.values())

    def _continue_shutdown(self) -> None:
        """One step of the shutdown: callers' connections are half-closed once idle, then those to switches."""
        now = self.clock()
        if now < self.schedule.refuse_from:
            return
        self.callers.stop_listening()
        self._end_calls_of_dead_switches()
        overdue = now >= self.schedule.close_by
        self.callers.releases.send_pending(overdue)
        if not overdue and (
            self.callers.are_active() or self._has_calls_at_unreachable_switch() or self.callers.releases.is_undelivered()
        ):
            return
        self.callers.half_close_idle(overdue)
        if not self.callers.all_finishing():
            return
        for switch in self.switches.values():
            switch.close_unused_opening_links()
        if self.callers.may_still_send():
            return
        self._log_shutdown()
        links = [link for switch in self.switches.values() for link in switch.links]
        for link in links:
            link.finish(SWITCH_HALF_CLOSE_TIMEOUT)
        until = self.seconds() + SWITCH_HALF_CLOSE_TIMEOUT
        while self.seconds() < until and not all(link.closed for link in links):
            gevent.sleep(TICK)
        self.stopped.set()


def main(diagnostics: bool = False) -> int:
    """Run the proxy; returns the exit status: 2, with one line on standard error, if the configuration is invalid."""
    try:
        path, config = configuration_from_environment(os.environ)
        process = Process(path, config, diagnostics)
    except (BadFieldError, EventBusError) as error:
        print(error, file=sys.stderr)
        return 2
    gc.collect()
    gc.freeze()  # objects created so far live until the exit, so the collector need not traverse them again
    gc.set_threshold(5_000, 10, 1_000)
    return process.run()
