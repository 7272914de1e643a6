"""Decides when the process of a switch is over, and with it the calls that stand there. No I/O; the time is passed in.

A process is identified by its switch's id and its start, never by its address: another switch may start at the address of
one that has gone, so a connection that can be made there shows only that some process listens.

The exchange list tells an end by its state, by a later start, or by another switch at the address. Connections tell it by a
refusal after all of them were lost, or by silence while no new one can be made. A drain is no end, nor is the loss of
connections by itself. One method an event; `end_of` holds the decision.

Switches are given by gw, the service's own index of their ids. Times: tenths of a millisecond of the Unix clock.
"""

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from ..host import GwState
from .wire import OpenConnection

REFUSAL_WINDOW = 10_000  # after the loss of all connections, in which a refused one tells the end of the process
UNREACHABLE_TIMEOUT = 25_000  # without a connection or a byte before a switch counts as lost
TERMINATED_SILENCE_TIMEOUT = 60_000  # after which an open connection to a terminated switch no longer shows that calls stand
UNLISTED_TIMEOUT = 20_000  # for which a call that a caller names waits for its switch to be listed
ANNOUNCEMENT_TIME = 100_000  # after its start, in which calls that callers name were set up by another process of the proxy


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
    NOT_LISTED = "a caller named it, and the exchange list does not have it"


class _Process:
    """What is known of the process of one switch."""

    __slots__ = ("state", "started", "address", "refused_at", "lost_at")

    def __init__(self) -> None:
        self.state: GwState | None = None  # None: not listed yet
        self.started = 0
        self.address = ""
        self.refused_at = self.lost_at = 0  # when its connections last showed an end, by a refusal or by silence


class SwitchProcesses:
    """The processes of all switches that were ever listed, or named by a caller."""

    def __init__(self, proxy_started_at: int) -> None:
        self.proxy_started_at = proxy_started_at
        self.by_gw: dict[int, _Process] = {}
        self.gw_by_address: dict[str, int] = {}  # the switch that was the latest to start at an address

    # --- events ---

    def listed(self, gw: int, entry: ListedProcess) -> None:
        """The exchange list has an entry for the switch."""
        process = self.by_gw.setdefault(gw, _Process())
        has_moved = entry.address != process.address or entry.started > process.started
        process.state = entry.state
        process.started = max(process.started, entry.started)
        if entry.address and entry.state != GwState.GONE:
            process.address = entry.address
            if has_moved:
                self._claim_address(gw, process)

    def named(self, now: int, gw: int) -> int:
        """A caller names a call at the switch. Returns the latest start of a process where that call can stand."""
        process = self.by_gw.setdefault(gw, _Process())
        set_up_before = self._set_up_before(now)
        return set_up_before if process.state is None else min(set_up_before, process.started)

    def left_out(self, gw: int) -> None:
        """A whole list was received without the switch."""
        if gw in self.by_gw:
            self.by_gw[gw].state = GwState.GONE

    def connection_refused(self, now: int, gw: int, connections_lost_at: int) -> bool:
        """A connection was refused while none is open; the last one was lost at `connections_lost_at`. Returns whether the
        process is over. Without a loss it may run, and accept no more connections."""
        if now - connections_lost_at > REFUSAL_WINDOW:
            return False
        self.by_gw[gw].refused_at = now
        return True

    def connections_failed(self, now: int, gw: int, failing_since: int, last_read_at: int) -> bool:
        """New connections have failed since `failing_since`. Returns whether the switch counts as lost."""
        if min(now - failing_since, now - last_read_at) <= UNREACHABLE_TIMEOUT:
            return False
        self.by_gw[gw].lost_at = now
        return True

    # --- decisions ---

    def end_of(self, now: int, gw: int, sent_at: int, connections: Iterable[OpenConnection]) -> ProcessEnd | None:
        """How the process ended that answered an INVITE sent at `sent_at`; None while it may run.

        `connections` are those that are open to the address of the switch.
        """
        process = self.by_gw[gw]
        if sent_at < process.started:
            return ProcessEnd.RESTARTED
        if sent_at < process.refused_at:
            return ProcessEnd.REFUSED
        if sent_at < process.lost_at:
            return ProcessEnd.UNREACHABLE
        if self.replaced_by(gw) is not None:
            return ProcessEnd.REPLACED if self.successor(gw, sent_at) is None else None
        if process.state == GwState.GONE and not self._is_held_open(now, sent_at, connections):
            return ProcessEnd.TERMINATED
        return None

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
        if process.refused_at > self._set_up_before(announced_at):
            return ProcessEnd.REFUSED
        if process.lost_at > announced_at:
            return ProcessEnd.UNREACHABLE
        if self.replaced_by(gw) is not None:
            return ProcessEnd.REPLACED
        return ProcessEnd.TERMINATED if process.state == GwState.GONE else None

    def successor(self, gw: int, sent_at: int) -> int | None:
        """The switch that answered an INVITE sent to the address of `gw` at `sent_at`, if that was not `gw` itself."""
        other = self.replaced_by(gw)
        return other if other is not None and 0 < self.by_gw[other].started <= sent_at else None

    def replaced_by(self, gw: int) -> int | None:
        """The switch that started at the address of `gw` after it."""
        other = self.gw_by_address.get(self.by_gw[gw].address, gw)
        return other if other != gw else None

    def needs_review(self, gw: int) -> bool:
        """Whether calls there may end without another event: the list has the switch as over, or not yet."""
        return self.by_gw[gw].state is None or self.is_over(gw)

    def is_over(self, gw: int) -> bool:
        """Whether the exchange list tells that the process is over; calls set up at its address may stand elsewhere."""
        return self.by_gw[gw].state == GwState.GONE or self.replaced_by(gw) is not None

    # --- internal ---

    def _claim_address(self, gw: int, process: _Process) -> None:
        """Take the address, unless a switch that started later has it."""
        holder = self.gw_by_address.get(process.address, gw)
        if self.by_gw[holder].started <= process.started:
            self.gw_by_address[process.address] = gw

    def _set_up_before(self, announced_at: int) -> int:
        """The time before which a call was set up that a caller named at `announced_at`."""
        return self.proxy_started_at if announced_at - self.proxy_started_at <= ANNOUNCEMENT_TIME else announced_at

    @staticmethod
    def _is_held_open(now: int, sent_at: int, connections: Iterable[OpenConnection]) -> bool:
        """Whether a connection that was open when the INVITE was sent still is: its process, the switch or another that took
        its address before, has not ended. A machine that has vanished leaves its connections open and silent."""
        return any(
            connection.up_at <= sent_at and now - connection.last_read_at <= TERMINATED_SILENCE_TIMEOUT
            for connection in connections
        )
