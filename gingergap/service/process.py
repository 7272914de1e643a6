"""The proxy in service as a process: sockets, one timer, signals, an orderly end.

Everything that comes in ends up in one call of `Calls` at a time, in order; nothing inside it blocks.
"""

from __future__ import annotations

import contextlib
import gc
import math
import os
import signal
import sys
import time
from pathlib import Path
from typing import Any, NamedTuple

import gevent
from gevent import socket
from gevent.event import Event

from ..callers.lines import BadCallerError, Lines
from ..facts import BadFactError, Facts
from ..host import GwState
from ..listfeed.poll import BadFeedError, Batch, Line, address_of, events_after, state_of
from ..transport.stream import Stream, listening
from .belief import Belief
from .calls import Calls
from .configuration import Configuration, configuration_from_environment, read_configuration
from .event_bus import EventBusClient
from .log import DetailLog, log
from .shutdown import Schedule
from .switch_connections import SwitchConnection, SwitchConnections

TICK = 0.01  # seconds between looks at what is due
LOOK = 10  # ticks between looks at connections
COUNT = 1000  # ticks between lines of counts
END_LINES = 50  # ticks between lines about an end
MOST_QUEUED = 1 << 18  # bytes
LONGEST_WRITE = 2.0
SPEAK = 1.5  # seconds: a caller that has said nothing whole by then is closed, as is one that stops in mid line
REST = 8.0  # seconds without a call before a caller's connection is closed; callers do it after four themselves
READY = 0.7  # seconds at most that tests are held after the start until switches have told of their groups
UNTOLD_PATIENCE = 0.4  # seconds a release waits for a caller that is known; it is owed within one second
LAST_PATIENCE = 0.7  # and for one that has sent a set-up, before it goes to one that has begun a line
LINE_BEGINS = b'{"type"'  # of a caller, as against a stranger's bytes
MOST_UNTOLD = 1000
ANSWER_SETTLES = 0.4  # seconds: most releases that come soon after an answer still go on the connection of the answer
ANSWER_READ_WITHIN = 1.0  # seconds from an answer in which a release on another connection might be read before it
LONGEST_HELD = 0.6  # seconds that a release is held for that; it is owed within one second
FINISH = 0.2  # seconds at the end in which callers may close their side of connections that are half closed
FINISH_SWITCHES = 0.1  # and switches theirs


class Untold(NamedTuple):
    """A release that waits for a caller's connection, and until `not_before`; times in seconds."""

    since: float
    not_before: float
    data: bytes


class Caller(Stream):
    """One connection from callers."""

    def __init__(self, process: Process, sock: socket.socket) -> None:
        super().__init__(sock, most_queued=MOST_QUEUED, longest_write=LONGEST_WRITE)
        self.process = process
        self.lines = Lines(self)
        self.since = self.said_at = process.seconds()
        self.spoken = self.known = self.sent_set_up = False
        self.answered_at = 0.0  # seconds: when the last call of it began to stand

    def came(self, data: bytes) -> None:
        self.said_at = self.process.seconds()
        try:
            self.lines.feed(data)
        except BadCallerError as bad:
            self.process.calls.count(f"closed: {str(bad)[:60]}")
            self.close(True, str(bad)[:60])

    def ended(self, reset: bool) -> None:
        self.process.caller_gone(self)

    def at_rest(self) -> bool:
        """Nothing is owed on it and nothing of its peer waits to be read, so that it may be closed."""
        if self.process.seconds() - self.answered_at < ANSWER_SETTLES:
            return False
        return not (self in self.process.calls.on_conn or self.queue or self.lines.held or self.readable())

    # --- what the lines are ---

    def set_up(self, id: str, *figures: Any) -> None:
        self.spoken = True
        if self.finishing:  # it crossed the close: its caller sends it again elsewhere
            self.process.details("set-up-crossed-close", id=id)
            return
        self.sent_set_up = True
        self.process.calls.set_up(self.process.clock(), self, id, *figures)

    def stands_at(self, id: str, kind: str, number: str, switch: str) -> None:
        self.spoken = self.known = True
        self.process.calls.stands_at(self.process.clock(), self, id, kind, number, switch)

    def released(self, id: str, cause: int) -> None:
        self.spoken = True
        self.process.calls.released(self.process.clock(), self, id, cause)

    def pinged(self, id: str) -> None:
        self.spoken = True
        self.process.pinged(self, id)

    def unusable(self, id: str, why: str) -> None:
        self.spoken = True
        self.process.calls.unusable(self.process.clock(), self, id, why)


class Process:
    """One running proxy; the Wire of its calls and the Owner of its connections."""

    def __init__(self, path: Path, config: Configuration, belief: bool = False) -> None:
        self.path, self.config = path, config
        self.ahead = time.time_ns() - time.monotonic_ns()  # the Unix clock, without its steps
        self.callers: dict[Caller, None] = {}
        self.most_callers = config.sockets // 2
        self.switches: dict[int, SwitchConnections] = {}
        self.details = DetailLog(self.seconds)
        self.untold: list[Untold] = []  # releases that no caller could be told yet
        self.tests: list[tuple[Caller, str]] = []
        self.started = self.seconds()
        self.ready = False
        self.ending: float | None = None
        self.schedule: Schedule | None = None  # once told to end
        self.finished_at: float | None = None  # when the last caller's connection was half closed
        self.over = Event()
        self.last = 0
        self.bus = EventBusClient(self, config.bus)
        ceilings = Facts(config.settings, "settings").part("Ceilings")
        self.connect_timeout = ceilings.get("ConnectTimeout", int, 500_000) / 1e6
        self.calls = Calls(self, self.clock(), config.seed, config.settings, belief=Belief(log) if belief else None)
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
            self.listener = listening(self.config.listen)
        except OSError as error:
            print(f"LB_LISTEN: {self.config.listen[0]}:{self.config.listen[1]}: {error.strerror}", file=sys.stderr)
            return 2
        gevent.signal_handler(signal.SIGTERM, self.end)
        gevent.signal_handler(signal.SIGINT, self.end)
        gevent.signal_handler(signal.SIGHUP, self.reload)
        log("serving", name=self.config.name, listen=self.config.listen[0], switches=len(self.switches))
        self.bus.start()
        self.acceptor = gevent.spawn(self._accept)
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

    def to_caller(self, conn: Caller | None, data: bytes) -> None:
        now = self.seconds()
        not_before = now
        if conn is None or conn.closed or conn.finishing:
            if conn is not None and conn.finishing:  # its answer may stand unread
                not_before = min(conn.answered_at + ANSWER_READ_WITHIN, now + LONGEST_HELD)
            conn = self._known_caller()
        if conn is not None and not_before <= now:
            conn.put(data)
            return
        self.details("release-waits", callers=len(self.callers), known=conn is not None, line=data.decode().strip())
        self.untold.append(Untold(now, not_before, data))
        del self.untold[:-MOST_UNTOLD]

    def _tell_untold(self, overdue: bool = False) -> None:
        """Releases that waited go to a known caller; failing that, when time runs out, to one that has sent a set-up.
        `overdue`: callers' connections are about to close, so nothing waits any longer."""
        now = self.seconds()
        latest = math.inf if overdue else now
        due = [release for release in self.untold if release.not_before <= latest]
        if not due:
            return
        caller = self._caller_for(now - due[0].since, overdue)
        if caller is None:
            return
        self.untold = [release for release in self.untold if release.not_before > latest]
        for release in due:
            caller.put(release.data)

    def _caller_for(self, waited: float, overdue: bool) -> Caller | None:
        """Whom to tell a release that has waited for so many seconds; None: it waits on."""
        caller = self._known_caller()
        if caller is None and (self.schedule is not None or waited > UNTOLD_PATIENCE):
            caller = self._calling_caller()
        if caller is None and waited > LAST_PATIENCE:
            caller = self._beginning_caller()
        if caller is None and self.listener is None and (overdue or waited > UNTOLD_PATIENCE):
            caller = self._last_caller()
        return caller

    def _a_release_waits(self) -> bool:
        """Whether a release waits for its time, and a connection is still open for it."""
        return bool(self.untold) and any(not caller.finishing for caller in self.callers)

    def _calling_caller(self) -> Caller | None:
        return next((caller for caller in reversed(self.callers) if caller.sent_set_up and not caller.finishing), None)

    def _beginning_caller(self) -> Caller | None:
        """The latest that stands in the middle of a line which begins as callers' lines do."""
        begun = (caller for caller in reversed(self.callers) if caller.lines.held.startswith(LINE_BEGINS))
        return next((caller for caller in begun if not caller.finishing), None)

    def _last_caller(self) -> Caller | None:
        """Whoever is left at the end, rather one that has begun a line than one that may be a test of the front."""
        left = [caller for caller in self.callers if not caller.finishing]
        return max(left, key=lambda caller: (caller.spoken, len(caller.lines.held)), default=None)

    def served(self, conn: Caller) -> None:
        conn.known = True
        conn.answered_at = self.seconds()

    def _known_caller(self) -> Caller | None:
        """The latest connection on which calls stood; any other may be anybody's."""
        return next((caller for caller in reversed(self.callers) if caller.known and not caller.finishing), None)

    def link_to(self, gw: int, used: set[Any]) -> SwitchConnection | None:
        switch = self.switches.get(gw)
        return switch.link_to(used) if switch is not None else None

    def is_up(self, link: SwitchConnection) -> bool:
        return link.up

    def to_link(self, link: SwitchConnection, data: bytes) -> bool:
        link.put(data)
        return not link.closed and not link.finishing

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

    def caller_gone(self, caller: Caller) -> None:
        self.callers.pop(caller, None)
        held = self.calls.on_conn.get(caller, ())
        if held or caller.queue or caller.lines.held:
            self.details("caller-closed", why=caller.close_reason, set_ups=",".join(held) or "none", partial=len(caller.lines.held))
        self.calls.conn_gone(self.clock(), caller)

    def pinged(self, caller: Caller, id: str) -> None:
        if self.ready:
            self.calls.pinged(self.clock(), caller, id, self.ending is None)
        else:
            self.tests.append((caller, id))

    # --- callers' connections ---

    def _accept(self) -> None:
        while self.listener is not None:
            try:
                sock, _ = self.listener.accept()
            except OSError:  # no descriptor may be left: whoever rests makes room
                self._make_room()
                gevent.sleep(0.05)
                continue
            self._accepted(sock)

    def _accepted(self, sock: socket.socket) -> None:
        if len(self.callers) >= self.most_callers and not self._make_room():
            sock.close()
            return
        caller = Caller(self, sock)
        self.callers[caller] = None
        gevent.spawn(caller.read)

    def _stop_listening(self) -> None:
        """Take what the machine has accepted by now, then refuse connections."""
        listener, self.listener = self.listener, None
        self.acceptor.kill(block=False)
        listener.settimeout(0)
        with contextlib.suppress(OSError):
            while True:
                self._accepted(listener.accept()[0])
        listener.close()

    def _make_room(self) -> bool:
        """Close the oldest that has said nothing, else the one that rests longest; those on which calls stood last,
        since what ends a call can be told only on them."""
        resting = [caller for caller in self.callers if not (caller in self.calls.on_conn or caller.queue or caller.readable())]
        if not resting:
            return False
        min(resting, key=lambda caller: (caller.known, caller.spoken, caller.said_at)).close(True, "room for another")
        return True

    def _look_at_callers(self) -> None:
        now = self.seconds()
        for caller in list(self.callers):
            quiet = now - caller.said_at
            if quiet <= SPEAK:
                if not caller.spoken and now - caller.since > 2 * SPEAK:
                    caller.close(True, "bytes and no line")
                continue
            if caller not in self.calls.on_conn and (not caller.spoken or caller.lines.held or quiet > REST):
                caller.close(True, "nothing whole in time" if caller.lines.held or not caller.spoken else "at rest")

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
            if self.calls.numbers[gw] == self.calls.controller.here:
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
            gevent.sleep(TICK)
            ticks += 1
            try:
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
        nobody = self.schedule is not None and self.listener is None and not (self._known_caller() or self._calling_caller())
        for switch in list(self.switches.values()):
            if nobody:
                switch.give_up_opening()
            else:
                switch.look()
            if not switch.wanted and not switch.links and not self.standing_at(switch):
                del self.switches[switch.gw]
        self._look_at_callers()
        self._tell_untold()
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

    def end(self) -> None:
        """SIGTERM: go on until nothing new can come, answer what was taken, then end."""
        if self.ending is None:
            self.ending = self.seconds()
            self.schedule = self.calls.shut_down(self.clock())
            # Whatever may go wrong in the steps of an end, it has a bound of its own.
            latest = (self.schedule.close_by - self.clock()) / 10_000 + FINISH + FINISH_SWITCHES
            gevent.spawn_later(max(0.0, latest), self.over.set)
            log("ending", open=len(self.calls.by_dialog), callers=len(self.callers), untold=len(self.untold))

    def _log_end(self) -> None:
        """Who still waits while the process ends: the oldest set-ups by id, and what stands in queues."""
        waiting = [id for held in self.calls.on_conn.values() for id in held]
        log(
            "ending-waits",
            after_s=round(self.seconds() - self.ending, 2),
            set_ups=len(waiting),
            oldest=",".join(waiting[:3]) or "none",
            queued=sum(caller.queued for caller in self.callers),
            untold=len(self.untold),
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
        if self.listener is not None:
            self._stop_listening()
        self._end_calls_of_the_dead()
        overdue = now >= self.schedule.close_by
        self._tell_untold(overdue)
        if not overdue and (self._doubts_a_switch() or self._a_release_waits()):
            return
        for caller in list(self.callers):
            if not caller.finishing and (overdue or caller.at_rest()):
                caller.finish(FINISH)
                self.finished_at = self.seconds()
        if any(not caller.finishing for caller in self.callers):
            return
        for switch in self.switches.values():
            switch.give_up_opening()
        if self.callers and self.seconds() - self.finished_at < FINISH:
            return  # a caller that has not noticed yet may still end a call
        self._log_end()
        links = [link for switch in self.switches.values() for link in switch.links]
        for link in links:
            link.finish(FINISH)
        until = self.seconds() + FINISH_SWITCHES
        while self.seconds() < until and not all(link.closed for link in links):
            gevent.sleep(TICK)
        self.over.set()


def main(belief: bool = False) -> int:
    """Exit 2 with one line where the environment or the configuration is not as it should be."""
    try:
        path, config = configuration_from_environment(os.environ)
        process = Process(path, config, belief)
    except (BadFactError, BadFeedError) as bad:
        print(bad, file=sys.stderr)
        return 2
    gc.collect()
    gc.freeze()  # what is loaded stays: the collector needn't look at it again
    gc.set_threshold(5_000, 10, 1_000)
    return process.run()
