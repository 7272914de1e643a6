"""The proxy in service as a process: sockets, one timer, signals, an orderly end.

Everything that comes in ends up in one call of `Calls` at a time, in order; nothing inside it blocks.
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

from ..facts import BadFactError, Facts
from ..host import GwState
from ..listfeed.poll import BadFeedError, Batch, Line, address_of, events_after, state_of
from ..transport.stream import PAUSE
from . import early_signals
from .caller_connection import CallerConnection
from .caller_connections import FINISH_OVERDUE, CallerConnections
from .calls import Calls
from .configuration import Configuration, configuration_from_environment, read_configuration
from .diagnostics import Diagnostics
from .event_bus import EventBusClient
from .log import DetailLog, log
from .shutdown import Schedule
from .switch_connections import SwitchConnection, SwitchConnections

TICK = 0.01  # seconds between looks at what is due
LOOK = 10  # ticks between looks at connections
COUNT = 1000  # ticks between lines of counts
END_LINES = 50  # ticks between lines about an end
READY = 0.7  # seconds at most that tests are held after the start until switches have told of their groups
FINISH_SWITCHES = 0.05  # seconds at the end in which switches may close their side of connections that are half closed


class Process:
    """One running proxy; the Wire of its calls and the Owner of its connections."""

    def __init__(self, path: Path, config: Configuration, diagnostics: bool = False) -> None:
        self.path, self.config = path, config
        self.ahead = time.time_ns() - time.monotonic_ns()  # the Unix clock, without its steps
        self.callers = CallerConnections(self, config.sockets // 2)
        self.switches: dict[int, SwitchConnections] = {}
        self.details = DetailLog(self.seconds)
        self.tests: list[tuple[CallerConnection, str]] = []
        self.started = self.seconds()
        self.ready = False
        self.ending: float | None = None
        self.schedule: Schedule | None = None  # once told to end
        self.over = Event()
        self.last = 0
        self.bus = EventBusClient(self, config.bus)
        ceilings = Facts(config.settings, "settings").part("Ceilings")
        self.connect_timeout = ceilings.get("ConnectTimeout", int, 500_000) / 1e6
        self.calls = Calls(self, self.clock(), config.seed, config.settings, diagnostics=Diagnostics(log) if diagnostics else None)
        for number, whole, entries in events_after(0, config.known):
            self.listed(number, whole, entries)
        self.last = max(self.last, config.known.offset)

    def clock(self) -> int:
        """Now, in tenths of a millisecond of the Unix clock."""
        return (time.monotonic_ns() + self.ahead) // 100_000

    def seconds(self) -> float:
        return self.clock() / 10_000

    def run(self) -> int:
        try:
            self.callers.listen(self.config.listen)
        except OSError as error:
            print(f"LB_LISTEN: {self.config.listen[0]}:{self.config.listen[1]}: {error.strerror}", file=sys.stderr)
            return 2
        gevent.signal_handler(signal.SIGTERM, self.end)
        gevent.signal_handler(signal.SIGINT, self.end)
        gevent.signal_handler(signal.SIGHUP, self.reload)
        log("serving", name=self.config.name, listen=self.config.listen[0], switches=len(self.switches))
        self.bus.start()
        if early_signals.reload_came():
            self.reload()
        self.callers.start()
        ticker = gevent.spawn(self._tick)
        self.over.wait()
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
            standing=sum(map(len, self.calls.standing.values())),
            **{key.replace(" ", "-"): value for key, value in self.calls.counts.items()},
        )

    # --- the wire of the calls ---

    def record(self, event: str, id: str, **fields: Any) -> None:
        self.details(event, id=id, **fields)

    def to_caller(self, conn: CallerConnection, data: bytes) -> bool:
        return conn.say(data)

    def tell_end(self, conn: CallerConnection | None, data: bytes) -> None:
        self.callers.tell_end(conn, data)

    def turn_away(self, conn: CallerConnection) -> None:
        self.callers.turn_away(conn)

    def has_unread(self, conn: CallerConnection) -> bool:
        return conn.has_unread()

    def served(self, conn: CallerConnection) -> None:
        self.callers.served(conn)

    def knows(self, conn: CallerConnection) -> None:
        conn.known = True

    def link_to(self, gw: int, used: set[Any]) -> SwitchConnection | None:
        switch = self.switches.get(gw)
        return switch.link_to(used) if switch is not None else None

    def is_up(self, link: SwitchConnection) -> bool:
        return link.up

    def to_link(self, link: SwitchConnection, data: bytes) -> bool:
        link.put(data)
        return not link.closed and not link.finishing

    def take_back(self, link: SwitchConnection, data: bytes) -> bool:
        return link.take_back(data)

    def to_switch(self, gw: int, data: bytes) -> None:
        switch = self.switches.get(gw)
        if switch is not None:
            switch.send(data)

    def spoilt(self, link: SwitchConnection) -> None:
        link.retired = True

    # --- the owner of the connections ---

    def link_up(self, link: SwitchConnection) -> None:
        port = link.sock.getsockname()[1]
        self.details("switch-connection-up", switch=self.calls.ids[link.switch.gw], own_port=port)
        self.calls.link_up(self.clock(), link)

    def link_lost(self, link: SwitchConnection, was_up: bool) -> None:
        legs = self.calls.on_link.get(link)
        if legs:
            uid = self.calls.ids[link.switch.gw]
            self.details("switch-connection-closed", switch=uid, why=link.close_reason, legs=",".join(legs))
        self.calls.link_lost(self.clock(), link, was_up)

    def link_busy(self, link: SwitchConnection) -> int:
        return len(self.calls.on_link.get(link, ()))

    def standing_at(self, switch: SwitchConnections) -> int:
        return len(self.calls.standing.get(switch.gw, ()))

    def machine_lost(self, switch: SwitchConnections) -> None:
        log("machine-lost", switch=self.calls.ids[switch.gw], calls=self.standing_at(switch))
        self.calls.machine_lost(self.clock(), switch.gw)

    def spoilt_by(self, link: SwitchConnection, why: str) -> None:
        self.calls.count(f"link closed: {why[:60]}")

    def pinged(self, caller: CallerConnection, id: str) -> None:
        if self.ready:
            self.calls.pinged(self.clock(), caller, id, self.ending is None)
        else:
            self.tests.append((caller, id))

    # --- the list ---

    def listed(self, number: int, whole: bool, entries: list[Line]) -> None:
        self.last = number
        log("list-changed", number=number, whole=whole, switches=",".join(f"{line.uid}:{line.state}" for line in entries[:8]))
        self.calls.listed(self.clock(), whole, [(line.uid, line.pod_group, state_of(line), line.boot_ms * 10) for line in entries])
        named = {self.calls.gw_of[line.uid] for line in entries}
        if whole:
            for gw, switch in self.switches.items():
                switch.wanted = switch.wanted and gw in named
        for line in entries:
            gw, state = self.calls.gw_of[line.uid], state_of(line)
            if self.calls.numbers[gw] == self.calls.controller.own_exchange:
                continue
            if state == GwState.READY or state == GwState.DRAINING and gw not in self.switches and line.endpoint:
                # A switch that drains already gets nothing new, but calls that stood there before may end.
                self._follow_switch(gw, address_of(line.endpoint))
            elif state == GwState.GONE and gw in self.switches:
                self.switches[gw].wanted = False

    def _follow_switch(self, gw: int, address: tuple[str, int]) -> None:
        switch = self.switches.get(gw)
        if switch is not None and switch.address != address:
            switch.close()
            switch = None
        if switch is None:
            switch = self.switches[gw] = SwitchConnections(self, gw, address, self.connect_timeout)
        switch.wanted = True

    def batch_came(self, batch: Batch) -> None:
        for number, whole, entries in events_after(self.last, batch):
            self.listed(number, whole, entries)

    # --- time ---

    def _tick(self) -> None:
        ticks = 0
        while True:
            slept_at = self.seconds()
            gevent.sleep(TICK)
            if self.seconds() - slept_at > 2 * TICK:
                gevent.sleep(PAUSE)  # the process stood still: what was written to it meanwhile is read before timers act
            ticks += 1
            try:
                self.callers.look_at_done()
                self.calls.beat(self.clock())
                if ticks % LOOK == 0 or not self.ready:
                    self._look()
                if self.schedule is not None:
                    self._advance_end()
                if ticks % COUNT == 0:
                    self._log_counts("counts")
                if self.ending is not None and ticks % END_LINES == 0:
                    self._log_end()
            except Exception as error:  # one event that fails must not end the timer: the other calls go on
                log("event-failed", error=repr(error))
                import traceback

                traceback.print_exc()

    def _look(self) -> None:
        # Then a new connection to a switch would bring releases that nobody can be told; the next process will hear them.
        nobody = self.ends() and self.callers.listener is None and not self.callers.any_to_tell()
        for switch in list(self.switches.values()):
            if nobody:
                switch.give_up_opening()
            else:
                switch.look()
            if not switch.wanted and not switch.links and not self.standing_at(switch):
                del self.switches[switch.gw]
        self.callers.look()
        self.callers.tell_pending()
        if not self.ready and (
            self.seconds() - self.started > READY
            or all(switch.main is not None and switch.main.state for switch in self.switches.values())
        ):
            self.ready = True
            for caller, id in self.tests:
                self.pinged(caller, id)
            self.tests.clear()

    # --- signals ---

    def reload(self) -> None:
        """SIGHUP: the bus of the file that is there now. A file that can't be read changes nothing."""
        try:
            config = read_configuration(self.path)
        except BadFactError as bad:
            log("configuration-kept", file=self.path, why=bad)
            return
        log("configuration-read", bus=f"{config.bus[0]}:{config.bus[1]}")
        self.bus.move_to(config.bus)

    def ends(self) -> bool:
        """Whether it has been told to end."""
        return self.schedule is not None

    def end(self) -> None:
        """SIGTERM: go on until nothing new can come, answer what was taken, then end."""
        if self.ending is None:
            self.ending = self.seconds()
            self.schedule = self.calls.shut_down(self.clock())
            # Whatever may go wrong in the steps of an end, it has a bound of its own.
            latest = (self.schedule.close_by - self.clock()) / 10_000 + FINISH_OVERDUE + FINISH_SWITCHES
            gevent.spawn_later(max(0.0, latest), self.over.set)
            log("ending", open=len(self.calls.by_dialog), callers=len(self.callers), untold=len(self.callers.pending))

    def _log_end(self) -> None:
        """Who still waits while the process ends: the oldest set-ups by id, and what stands in queues."""
        waiting = [id for held in self.calls.on_conn.values() for id in held]
        log(
            "ending-waits",
            after_s=round(self.seconds() - self.ending, 2),
            set_ups=len(waiting),
            oldest=",".join(waiting[:3]) or "none",
            queued=sum(caller.queued for caller in self.callers.open),
            untold=len(self.callers.pending),
        )

    def _end_calls_of_the_dead(self) -> None:
        """Once this process is gone nobody knows of calls whose switch has died, so their callers are told before."""
        for switch in self.switches.values():
            if switch.nobody_listens and self.standing_at(switch) and not any(link.up for link in switch.links):
                self.machine_lost(switch)

    def _doubts_a_switch(self) -> bool:
        """Whether calls stand at a switch that can't be reached: it may turn out to be lost while callers can be told."""
        return any(switch.failed_since and self.standing_at(switch) for switch in self.switches.values())

    def _advance_end(self) -> None:
        """One step of the end: first callers' connections, each once nothing is owed on it, then the switches'."""
        now = self.clock()
        if now < self.schedule.refuse_from:
            return
        self.callers.stop_listening()
        self._end_calls_of_the_dead()
        overdue = now >= self.schedule.close_by
        self.callers.tell_pending(overdue)
        if not overdue and (self.callers.go_on() or self._doubts_a_switch() or self.callers.release_waits()):
            return
        self.callers.half_close(overdue)
        if not self.callers.all_finishing():
            return
        for switch in self.switches.values():
            switch.give_up_opening()
        if self.callers.may_still_speak():
            return
        self._log_end()
        links = [link for switch in self.switches.values() for link in switch.links]
        for link in links:
            link.finish(FINISH_SWITCHES)
        until = self.seconds() + FINISH_SWITCHES
        while self.seconds() < until and not all(link.closed for link in links):
            gevent.sleep(TICK)
        self.over.set()


def main(diagnostics: bool = False) -> int:
    """Exit 2 with one line where the environment or the configuration is not as it should be."""
    try:
        path, config = configuration_from_environment(os.environ)
        process = Process(path, config, diagnostics)
    except (BadFactError, BadFeedError) as bad:
        print(bad, file=sys.stderr)
        return 2
    gc.collect()
    gc.freeze()  # what is loaded stays: the collector needn't look at it again
    gc.set_threshold(5_000, 10, 1_000)
    return process.run()
