"""Decides when the process of a switch is over, and with it the calls that stand there. No I/O; the time is passed in.

A process is identified by its switch's id and its start, never by its address: another switch may start at the address of
one that has gone. A call stands at the process that answered it, and that is the one at the other end of the connection on
which it was answered, for as long as that connection exists and whichever id it was opened for. While such a connection is
open and not silent, its process runs.

The exchange list tells an end by its state, by a later start, or by another switch at the address. The start that it tells
is only about the moment at which the address changed hands, and its events may come before or after that moment. So it
names one or more candidates for the process of a connection. A call ends once its connection is closed and each
candidate is over, and also, towards both sides, when some are over and some may run.

Connections tell an end by a refusal after all of them were lost, or by silence while no new one can be made. A drain is no
end, nor is the loss of connections by itself. One method an event; `fate_of` holds the decision.

Switches are given by gw, the service's own index of their ids. Times: tenths of a millisecond of the Unix clock.
"""

from bisect import insort
from collections.abc import Iterable, Sequence
from enum import Enum
from itertools import pairwise
from typing import NamedTuple

from ..host import GwState
from .wire import ProcessConnection

REFUSAL_WINDOW = 10_000  # after the loss of all connections, in which a refused one tells the end of the process
UNREACHABLE_TIMEOUT = 25_000  # without a connection or a byte before a switch counts as lost
TERMINATED_SILENCE_TIMEOUT = 60_000  # after which an open connection to a terminated switch no longer shows that calls stand
UNLISTED_TIMEOUT = 20_000  # for which a call that a caller names waits for its switch to be listed
ANNOUNCEMENT_TIME = 100_000  # after its start, in which calls that callers name were set up by another process of the proxy
EARLY_ANSWER_TIME = 10_000  # before its listed start, in which a process may accept connections already
HANDOVER_TIME = 50_000  # after the listed start of the next one, or its own told end, in which a process may still answer
MAX_TENURES = 16  # processes remembered of one address


class ListedProcess(NamedTuple):
    """A switch as the exchange list has it. `started`: 0 if that is long ago; `address`: host:port, empty if not told."""

    id: str
    number: int
    state: GwState
    started: int
    address: str = ""


class ProcessEnd(Enum):
    """How the end of a switch's process was learned."""

    TERMINATED = "the exchange list no longer has it"
    RESTARTED = "the exchange list has a later start"
    REPLACED = "another switch is listed at its address"
    REFUSED = "its connections were lost, and a new one was refused"
    UNREACHABLE = "it is silent and can not be reached"
    IN_DOUBT = "its connection is closed, and of the processes that may have answered some are over"
    NOT_LISTED = "a caller named it, and the exchange list does not have it"


class Fate(NamedTuple):
    """What has become of the process at the other end of a connection.

    `end`: None while it may run. `gw`: the switch whose process it is, None if several may be. `may_run`: the switches that
    may hold its calls all the same. `is_watched`: only its open connection shows that it runs, so that the decision has to
    be made again without another event.
    """

    end: ProcessEnd | None = None
    gw: int | None = None
    may_run: Sequence[int] = ()
    is_watched: bool = False


class _Process:
    """A process of a switch as the list has it: the current one, or an earlier one under the same id."""

    __slots__ = ("gw", "state", "started", "site")

    def __init__(self, gw: int) -> None:
        self.gw = gw
        self.state: GwState | None = None  # None: not listed yet
        self.started = 0
        self.site = _Site()


class _Tenure:
    """The time of one process at an address, as the list tells it."""

    __slots__ = ("process", "begins_at", "told_over_at")

    def __init__(self, process: _Process, begins_at: int) -> None:
        self.process, self.begins_at = process, begins_at
        self.told_over_at = 0  # when the list told that it is over; 0 while it has not


class _Site:
    """An address: its processes in the order of their starts, and when its connections last showed an end."""

    __slots__ = ("tenures", "refused_at", "lost_at")

    def __init__(self) -> None:
        self.tenures: list[_Tenure] = []
        self.refused_at = self.lost_at = 0  # by a refusal, or by silence


class SwitchProcesses:
    """The processes of all switches that were ever listed, or named by a caller."""

    def __init__(self, proxy_started_at: int) -> None:
        self.proxy_started_at = proxy_started_at
        self.by_gw: dict[int, _Process] = {}  # the current one of each switch
        self.sites: dict[str, _Site] = {}  # by address

    # --- events ---

    def listed(self, now: int, gw: int, entry: ListedProcess) -> None:
        """The exchange list has an entry for the switch."""
        process = self.by_gw.get(gw)
        has_restarted = process is not None and process.state is not None and entry.started > process.started
        if process is None or has_restarted:
            former, process = process, _Process(gw)
            self.by_gw[gw] = process
            if former is not None:
                process.site = former.site
        process.state = entry.state
        process.started = max(process.started, entry.started)
        if entry.state != GwState.GONE:
            self._take_address(now, process, entry)
        self._note_ends(now, process.site)

    def named(self, now: int, gw: int) -> int:
        """A caller names a call at the switch. Returns the latest start of a process where that call can stand."""
        process = self.by_gw.setdefault(gw, _Process(gw))
        set_up_before = self._set_up_before(now)
        return set_up_before if process.state is None else min(set_up_before, process.started)

    def forget_unlisted(self, gw: int) -> None:
        """No call is left at a switch that callers named and the list never had."""
        del self.by_gw[gw]

    def left_out(self, now: int, gw: int) -> None:
        """A whole list was received without the switch."""
        if gw in self.by_gw:
            self.by_gw[gw].state = GwState.GONE
            self._note_ends(now, self.by_gw[gw].site)

    def connection_refused(self, now: int, gw: int, connections_lost_at: int) -> bool:
        """A connection was refused while none is open to the address of the switch; the last one was lost at
        `connections_lost_at`. Returns whether the processes there are over. Without a loss they may run, and accept no more."""
        if now - connections_lost_at > REFUSAL_WINDOW:
            return False
        self.by_gw[gw].site.refused_at = now
        return True

    def connections_failed(self, now: int, gw: int, failing_since: int, last_read_at: int) -> bool:
        """New connections have failed since `failing_since`. Returns whether the switch counts as lost."""
        if min(now - failing_since, now - last_read_at) <= UNREACHABLE_TIMEOUT:
            return False
        self.by_gw[gw].site.lost_at = now
        return True

    # --- decisions ---

    def fate_of(self, now: int, connection: ProcessConnection, open_connections: Iterable[ProcessConnection]) -> Fate:
        """What has become of the process that answered on `connection`; `open_connections`: those to the same address."""
        site, candidates = self._site_of(connection), self._candidates(connection)
        gw = candidates[0].gw if len(candidates) == 1 else None
        if all(process.site is site for process in candidates):
            if connection.last_read_at + UNREACHABLE_TIMEOUT < site.lost_at:
                return Fate(ProcessEnd.UNREACHABLE, gw, [connection.gw])
            if 0 < connection.closed_at <= site.refused_at:
                return Fate(ProcessEnd.REFUSED, gw)
        ends = [self._told_end(process) for process in candidates]
        if not any(ends):
            return Fate(gw=gw)
        if self._is_alive(now, connection):
            return Fate(gw=gw, is_watched=True)
        running = self._shown_to_run(now, connection, open_connections)
        may_run = [process.gw for process, end in zip(candidates, ends, strict=True) if end is None or process in running]
        if len(may_run) == len(candidates):
            return Fate(gw=gw, is_watched=True)
        end = ProcessEnd.IN_DOUBT if may_run else ends[-1]
        return Fate(end, gw, may_run if connection.closed_at else [connection.gw])

    def end_of_announced(self, now: int, gw: int, announced_at: int, latest_start: int) -> ProcessEnd | None:
        """How the process ended where a call stands that a caller named at `announced_at`; None while it may run.

        `latest_start` is what `named` returned. The call was set up by another process of this proxy, and its caller says at
        which switch: a connection to the address shows nothing of it.
        """
        process = self.by_gw[gw]
        if process.state is None:
            return ProcessEnd.NOT_LISTED if now - announced_at >= UNLISTED_TIMEOUT else None
        if process.started > latest_start:
            return ProcessEnd.RESTARTED
        if process.site.refused_at > self._set_up_before(announced_at):
            return ProcessEnd.REFUSED
        if process.site.lost_at > announced_at:
            return ProcessEnd.UNREACHABLE
        return self._told_end(process)

    def replaced_by(self, gw: int) -> int | None:
        """The switch that started at the address of `gw` after it."""
        tenures = self.by_gw[gw].site.tenures
        latest = tenures[-1].process.gw if tenures else gw
        return latest if latest != gw else None

    def share_address(self, gw: int, other: int) -> bool:
        """Whether a process of either switch may be at the other end of a connection opened for the other one."""
        return gw == other or other in self.sharing_address(gw)

    def sharing_address(self, gw: int) -> set[int]:
        """The switches that have, or had, the address of `gw`; it is one of them."""
        return {gw, *(tenure.process.gw for tenure in self.by_gw[gw].site.tenures)}

    def is_over(self, gw: int) -> bool:
        """Whether the exchange list tells that the process is over, or that another switch has its address."""
        return self._told_end(self.by_gw[gw]) is not None

    # --- internal ---

    def _take_address(self, now: int, process: _Process, entry: ListedProcess) -> None:
        """Enter the process at its address, unless it is there already. One whose start is not told comes after another
        whose start is not told either, and before any other."""
        site = self.sites.setdefault(entry.address, _Site()) if entry.address else process.site
        others = [tenure for tenure in site.tenures if tenure.process is not process]
        if process.site is site and len(others) < len(site.tenures):
            return
        process.site, site.tenures = site, others
        is_after_unknown = bool(site.tenures) and not site.tenures[-1].begins_at
        begins_at = entry.started or (now if is_after_unknown else 0)
        insort(site.tenures, _Tenure(process, begins_at), key=lambda tenure: tenure.begins_at)
        del site.tenures[:-MAX_TENURES]

    def _note_ends(self, now: int, site: _Site) -> None:
        for tenure in site.tenures:
            is_over = self._is_former(tenure.process) or tenure.process.state == GwState.GONE
            tenure.told_over_at = (tenure.told_over_at or now) if is_over else 0

    def _is_former(self, process: _Process) -> bool:
        return self.by_gw[process.gw] is not process

    def _told_end(self, process: _Process) -> ProcessEnd | None:
        """The end of a process as the exchange list tells it."""
        if self._is_former(process):
            return ProcessEnd.RESTARTED
        if self.replaced_by(process.gw) is not None:
            return ProcessEnd.REPLACED
        return ProcessEnd.TERMINATED if process.state == GwState.GONE else None

    def _site_of(self, connection: ProcessConnection) -> _Site:
        return self.sites.get(connection.address) or self.by_gw[connection.gw].site

    def _candidates(self, connection: ProcessConnection) -> list[_Process]:
        """The processes that may be at the other end of a connection, in the order of their starts."""
        tenures = self._site_of(connection).tenures
        if not tenures:
            return [self.by_gw[connection.gw]]
        begun = [tenure for tenure in tenures if connection.up_at >= tenure.begins_at - EARLY_ANSWER_TIME] or tenures[:1]
        earlier = [tenure for tenure, successor in pairwise(begun) if self._may_have_accepted(tenure, successor, connection)]
        return [tenure.process for tenure in (*earlier, begun[-1])]

    @staticmethod
    def _may_have_accepted(tenure: _Tenure, successor: _Tenure, connection: ProcessConnection) -> bool:
        """Whether a connection that was made when `successor` had begun, or was about to, may be to the process before it."""
        if connection.up_at >= successor.begins_at + HANDOVER_TIME:
            return False
        is_certain = connection.up_at < successor.begins_at - EARLY_ANSWER_TIME
        return is_certain or not 0 < tenure.told_over_at <= connection.last_read_at - HANDOVER_TIME

    def _shown_to_run(
        self, now: int, connection: ProcessConnection, open_connections: Iterable[ProcessConnection]
    ) -> list[_Process]:
        """The processes that other connections, certainly to them, show to run. One that was made after `connection` had closed
        may be to another process, which the list does not have yet."""
        live = (
            other
            for other in open_connections
            if self._is_alive(now, other) and not 0 < connection.closed_at <= other.up_at and other is not connection
        )
        candidates = (self._candidates(other) for other in live)
        return [processes[0] for processes in candidates if len(processes) == 1]

    @staticmethod
    def _is_alive(now: int, connection: ProcessConnection) -> bool:
        """Whether a connection is open, and not silent: a machine that has vanished leaves its connections open."""
        return not connection.closed_at and now - connection.last_read_at <= TERMINATED_SILENCE_TIMEOUT

    def _set_up_before(self, announced_at: int) -> int:
        """The time before which a call was set up that a caller named at `announced_at`."""
        return self.proxy_started_at if announced_at - self.proxy_started_at <= ANNOUNCEMENT_TIME else announced_at
