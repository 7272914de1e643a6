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


class _Process:
    """What is known of the process of one switch."""

    __slots__ = ("state", "started", "address", "ended_before", "ended_by")

    def __init__(self, state: GwState, started: int, address: str) -> None:
        self.state, self.started, self.address = state, started, address
        self.ended_before = 0  # by what its connections showed: calls set up before that are over
        self.ended_by = ProcessEnd.UNREACHABLE


class SwitchProcesses:
    """The processes of all switches that were ever listed."""

    def __init__(self) -> None:
        self.by_gw: dict[int, _Process] = {}
        self.gw_by_address: dict[str, int] = {}  # the switch that was the latest to start at an address

    # --- events ---

    def listed(self, gw: int, entry: ListedProcess) -> None:
        """The exchange list has an entry for the switch."""
        process = self.by_gw.get(gw)
        is_new = process is None
        if is_new:
            process = self.by_gw[gw] = _Process(entry.state, entry.started, entry.address)
        moved = is_new or entry.address != process.address or entry.started > process.started
        process.state = entry.state
        process.started = max(process.started, entry.started)
        if entry.address and entry.state != GwState.GONE:
            process.address = entry.address
            if moved:
                self._claim_address(gw, process)

    def left_out(self, gw: int) -> None:
        """A whole list was received without the switch."""
        if gw in self.by_gw:
            self.by_gw[gw].state = GwState.GONE

    def connection_refused(self, now: int, gw: int, connections_lost_at: int) -> bool:
        """A connection was refused while none is open; the last one was lost at `connections_lost_at`. Returns whether the
        process is over. Without a loss it may run, and accept no more connections."""
        if now - connections_lost_at > REFUSAL_WINDOW:
            return False
        self._end_by_connections(now, gw, ProcessEnd.REFUSED)
        return True

    def connections_failed(self, now: int, gw: int, failing_since: int, last_read_at: int) -> bool:
        """New connections have failed since `failing_since`. Returns whether the switch counts as lost."""
        if min(now - failing_since, now - last_read_at) <= UNREACHABLE_TIMEOUT:
            return False
        self._end_by_connections(now, gw, ProcessEnd.UNREACHABLE)
        return True

    # --- decisions ---

    def end_of(self, now: int, gw: int, sent_at: int, connections: Iterable[OpenConnection]) -> ProcessEnd | None:
        """How the process ended that answered an INVITE sent at `sent_at`; None while it may run.

        `connections` are those that are open to the address of the switch.
        """
        process = self.by_gw[gw]
        if sent_at < process.started:
            return ProcessEnd.RESTARTED
        if sent_at < process.ended_before:
            return process.ended_by
        if self.replaced_by(gw) is not None:
            return ProcessEnd.REPLACED if self.successor(gw, sent_at) is None else None
        if process.state == GwState.GONE and not self._is_held_open(now, sent_at, connections):
            return ProcessEnd.TERMINATED
        return None

    def successor(self, gw: int, sent_at: int) -> int | None:
        """The switch that answered an INVITE sent to the address of `gw` at `sent_at`, if that was not `gw` itself."""
        other = self.replaced_by(gw)
        return other if other is not None and 0 < self.by_gw[other].started <= sent_at else None

    def replaced_by(self, gw: int) -> int | None:
        """The switch that started at the address of `gw` after it."""
        other = self.gw_by_address.get(self.by_gw[gw].address, gw)
        return other if other != gw else None

    def is_over(self, gw: int) -> bool:
        """Whether the exchange list tells that the process is over; calls set up at its address may stand elsewhere."""
        return self.by_gw[gw].state == GwState.GONE or self.replaced_by(gw) is not None

    # --- internal ---

    def _claim_address(self, gw: int, process: _Process) -> None:
        """Take the address, unless a switch that started later has it."""
        holder = self.gw_by_address.get(process.address, gw)
        if self.by_gw[holder].started <= process.started:
            self.gw_by_address[process.address] = gw

    def _end_by_connections(self, now: int, gw: int, end: ProcessEnd) -> None:
        process = self.by_gw[gw]
        process.ended_before, process.ended_by = now, end

    @staticmethod
    def _is_held_open(now: int, sent_at: int, connections: Iterable[OpenConnection]) -> bool:
        """Whether a connection that was open when the INVITE was sent still is: its process, the switch or another that took
        its address before, has not ended. A machine that has vanished leaves its connections open and silent."""
        return any(
            connection.up_at <= sent_at and now - connection.last_read_at <= TERMINATED_SILENCE_TIMEOUT
            for connection in connections
        )
