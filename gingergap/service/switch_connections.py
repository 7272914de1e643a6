"""The connections to one switch: a few, opened as they are needed, and whether the switch is reachable.

Each set-up has a connection of its own as long as one is free, since a damaged answer ends its connection and all set-ups
that are open on it. Reports on the trunk group are taken from one connection only, in order; every connection carries the
same ones.
"""

from __future__ import annotations

from typing import Any, Protocol

import gevent

from ..sip.message import BadMessageError
from ..switch_protocol.sip_messages import SwitchMessageParser
from ..transport.stream import Stream
from .fair_share import FairShare, Owner
from .switch_processes import EARLY_ANSWER_TIME
from .wire import ProcessConnection

MAX_LINKS = 4  # a switch reports its trunk group on that many connections at most
MAX_QUEUED_BYTES = 1 << 18
WRITE_TIMEOUT = 2.0  # seconds
STALL_TIMEOUT = 0.25  # seconds: messages are sent whole, so one that is incomplete for this long will not be completed
SILENCE_TIMEOUT = 1.5  # seconds without a message before a new connection probes whether the switch is reachable
HALF_CLOSE_TIMEOUT = 1.0  # seconds in which a switch may close its side of a half-closed connection
RETRY_INTERVAL = 0.2  # seconds between attempts to connect
CONNECT_TIMEOUT = 3.0  # seconds until an attempt that is late is given up
MAX_LATE_LINKS = 3
MAX_UNSENT = 1000  # messages that wait for the next connection
MAX_UNANSWERED_PROBES = 2  # open to a switch that accepts connections and says nothing on them
UNITS_PER_SECOND = 10_000  # of the owner's clock


class Process(Protocol):
    """Receives the events of connections."""

    def clock(self) -> int:
        """Unix time in tenths of a millisecond."""

    def link_up(self, link: SwitchConnection) -> None: ...

    def link_lost(self, link: SwitchConnection, was_up: bool) -> None: ...

    def open_set_ups(self, link: SwitchConnection) -> int:
        """Number of set-ups that are out on the connection."""

    def connection_refused(self, switch: SwitchConnections) -> None:
        """A connection was refused, and none is open."""

    def connections_failed(self, switch: SwitchConnections) -> bool:
        """New connections have failed since `failing_since`. Returns whether the switch counts as lost."""

    def established_calls(self, switch: SwitchConnections) -> int: ...

    def link_unreadable(self, link: SwitchConnection, reason: str) -> None: ...

    def message_dropped(self, switch: SwitchConnections) -> None:
        """A message waited for a connection, and there is no room for it."""

    def max_idle_links(self) -> int:
        """Number of connections to one switch that may stay open while it is quiet."""

    calls: Any


def to_clock(seconds: float) -> int:
    """Tenths of a millisecond."""
    return round(seconds * UNITS_PER_SECOND)


class SwitchConnection(Stream):
    """One connection to a switch; handles the messages of its parser (`SwitchMessageHandler`)."""

    def __init__(self, switch: SwitchConnections) -> None:
        super().__init__(None, max_queued_bytes=MAX_QUEUED_BYTES, write_timeout=WRITE_TIMEOUT)
        self.switch = switch
        self.parser = SwitchMessageParser(self)
        self.up = self.retired = False  # retired: gets no further set-ups
        self.is_probe = False  # opened to see whether the switch is reachable, and not answered yet
        self.was_read_to_end = False  # the switch has closed its side, and nothing that it wrote is lost
        self.replaces_lost = False  # opened after another was lost, for the messages that the switch had written to that one
        self.superseded = False  # another process has begun under the id; kept for the calls of the one before it
        self.late = False  # not up within the connect timeout, and still being opened
        self.opened_at = switch.now()
        self.last_read_at = 0.0
        self.record = ProcessConnection(switch.gw, f"{switch.address[0]}:{switch.address[1]}")
        self.last_report: dict[str, float] = {}

    def open(self) -> None:
        if not self.connect(self.switch.address, CONNECT_TIMEOUT):
            return
        self.up = True
        self.record.own_port = self.sock.getsockname()[1]
        self.switch.link_up(self)
        self.read()

    def is_usable(self) -> bool:
        """Whether a set-up may be sent on it, now or once it is up."""
        return not (self.retired or self.superseded or self.finishing or self.late)

    def note_read(self) -> None:
        """Something was read, or the connection was made: its process runs."""
        self.last_read_at = self.switch.last_read_at = self.switch.now()
        self.record.last_read_at = to_clock(self.last_read_at)

    def data_received(self, data: bytes) -> None:
        self.note_read()
        try:
            self.parser.feed(data)
        except BadMessageError as error:
            self.switch.owner.link_unreadable(self, str(error))
            self.close(True, str(error)[:60])
            return
        if self.is_probe:
            self.is_probe = False
            self.switch.probe_answered(self)

    def eof_received(self) -> bool:
        self.was_read_to_end = True
        return False

    def has_nothing_unread(self) -> bool:
        """Whether the connection was closed here, and the switch had written nothing that was not read."""
        return self.retired and (self.is_probe or self.finishing and self.was_read_to_end)

    def connection_lost(self, reset: bool) -> None:
        self.switch.link_closed(self, reset and self.up)

    # --- messages of the parser ---

    def answer_received(self, id: str, sdp: str) -> None:
        owner = self.switch.owner
        owner.calls.switch_answered(owner.clock(), self.switch.gw, self, id, sdp)

    def refusal_received(self, id: str, status: int, fail_word: str, report: dict[str, float]) -> None:
        owner = self.switch.owner
        owner.calls.switch_refused(owner.clock(), self.switch.gw, self, id, status, fail_word, report)

    def release_received(self, id: str, cause: int, report: dict[str, float]) -> None:
        owner = self.switch.owner
        owner.calls.switch_released(owner.clock(), self.switch.gw, self, id, cause, report)

    def report_received(self, report: dict[str, float]) -> None:
        self.last_report = report
        if self.switch.reporting_link is self:
            owner = self.switch.owner
            owner.calls.trunk_group_reported(owner.clock(), self.switch.gw, report)


class SwitchConnections:
    """The connections to one switch, by its id: another switch may appear at the same address. Times in seconds."""

    def __init__(self, owner: Process, gw: int, address: tuple[str, int], connect_timeout: float, started: int = 0) -> None:
        """`started`: of the switch's process, in tenths of a millisecond."""
        self.owner, self.gw, self.address, self.connect_timeout, self.started = owner, gw, address, connect_timeout, started
        self.links: list[SwitchConnection] = []
        self.reporting_link: SwitchConnection | None = None  # the one whose reports are used
        self.unsent: list[bytes] = []  # for the next connection
        self.unsent_share = FairShare(MAX_UNSENT)
        self.listed = True  # by the exchange list; else the connections are kept for established calls only
        self.was_connected = False  # a connection has been made
        self.was_closed_in_order = False  # the last one that ended was closed by the switch, and not reset
        self.lost_link = False  # a connection was lost: what the switch wrote to it is repeated on the next one
        self.last_read_at = self.last_attempt_at = 0.0
        self.connections_lost_at = 0.0  # when the last open connection was lost
        self.refused = False  # the last attempt to connect was refused
        self.failing_since = 0.0  # 0 while the last attempt to connect succeeded or none has ended

    def now(self) -> float:
        return self.owner.clock() / UNITS_PER_SECOND

    def close(self) -> None:
        self.listed = False
        for link in list(self.links):
            link.close(True, "the switch has a new address")

    def has_reported(self) -> bool:
        """Whether its trunk group is known from a connection that is open."""
        return self.reporting_link is not None and bool(self.reporting_link.last_report)

    def may_hold_releases(self) -> bool:
        """Whether the switch may have ended calls while it had no connection: none has been made yet, or it has closed all, as
        it does with idle ones. A process that dies resets them; a new one then shows whether it runs."""
        return not self.was_connected or self.was_closed_in_order and not self.has_open_connection()

    def has_open_connection(self) -> bool:
        return any(link.up for link in self.links)

    def open_connections(self) -> list[ProcessConnection]:
        return [link.record for link in self.links if link.up]

    def send_on(self, connection: ProcessConnection, data: bytes) -> bool:
        """Returns whether it was written: the connection is open."""
        link = next((link for link in self.links if link.record is connection and link.up and not link.finishing), None)
        if link is not None:
            link.write(data)
        return link is not None

    def process_restarted(self, started: int) -> None:
        """Another process has begun under the id, at `started` (tenths of a millisecond): no set-up goes to the one before."""
        self.started = started
        for link in self.links:
            link.superseded = link.record.up_at < started + EARLY_ANSWER_TIME
        self._choose_reporting_link()

    def choose_link(self, used_links: set[Any]) -> SwitchConnection | None:
        """A connection for a set-up: a free one, else a new one, else the least busy. None: the switch is unreachable, or no
        longer the one at its address."""
        if not self.listed:
            return None
        candidates = [link for link in self.links if link.is_usable() and link not in used_links]
        by_load = sorted((self.owner.open_set_ups(link), not link.up, index) for index, link in enumerate(candidates))
        if by_load and by_load[0][0] == 0 and candidates[by_load[0][2]].up:
            return candidates[by_load[0][2]]
        if self.failing_since and not any(link.up for link in candidates):
            return None
        if len([link for link in self.links if link.is_usable()]) < MAX_LINKS:
            return self._open_link()
        return candidates[by_load[0][2]] if by_load else self._open_link()

    def send(self, data: bytes, owner: Owner = None) -> None:
        """Write on any connection, or on the next that is opened. `owner`: the caller's connection that it is sent for; owners
        share the room for messages that wait."""
        for link in self.links:
            if link.up and link.is_usable():
                link.write(data)
                return
        if not self.unsent_share.admits(owner):
            self.owner.message_dropped(self)
            return
        self.unsent_share.take(owner)
        self.unsent.append(data)

    def close_unused_opening_links(self) -> None:
        """Close connections that are not up yet and for which no set-up waits."""
        for link in list(self.links):
            if not link.up and self.owner.open_set_ups(link) == 0:
                link.close(False, "no caller is there to receive releases")

    def _open_link(self, is_probe: bool = False) -> SwitchConnection:
        link = SwitchConnection(self)
        self.links.append(link)
        link.replaces_lost, self.lost_link = self.lost_link, False
        link.is_probe = is_probe
        self.last_attempt_at = self.now()
        gevent.spawn(link.open)
        return link

    def link_up(self, link: SwitchConnection) -> None:
        self.failing_since, self.refused = 0.0, False
        self.was_connected = True
        link.late = False
        link.note_read()
        link.record.up_at = link.record.last_read_at
        unsent, self.unsent = self.unsent, []
        self.unsent_share.clear()
        for data in unsent:
            link.write(data)
        self._choose_reporting_link()
        self.owner.link_up(link)

    def link_closed(self, link: SwitchConnection, was_up: bool) -> None:
        if link in self.links:
            self.links.remove(link)
        link.record.closed_at = self.owner.clock()
        is_loss = was_up and not link.has_nothing_unread()
        self.lost_link = self.lost_link or is_loss or link.replaces_lost and not link.late
        self.refused = not was_up and link.connection_refused
        if not was_up and not link.lacks_resources:
            self.failing_since = self.failing_since or self.now()
        if was_up:
            self.connections_lost_at = self.now()
            self.was_closed_in_order = link.was_read_to_end
        if self.reporting_link is link:
            self._choose_reporting_link()
        self.owner.link_lost(link, was_up)
        if self.refused and not self.has_open_connection():
            self.owner.connection_refused(self)

    def _close_surplus_probe(self) -> None:
        """Make room for another probe of a switch that hangs. The newest one is closed: what the switch writes once it goes on
        comes on the connection that waited longest."""
        unanswered = [link for link in self.links if link.up and link.is_probe and self.owner.open_set_ups(link) == 0]
        if len(unanswered) >= MAX_UNANSWERED_PROBES and not unanswered[-1].is_readable():
            unanswered[-1].retired = True
            unanswered[-1].close(True, "the switch says nothing on it")

    def probe_answered(self, probe: SwitchConnection) -> None:
        """The switch is reachable. The probe takes the place of the oldest idle connection, if there are enough: without that, a
        quiet switch would take one descriptor more for each probe."""
        links = [link for link in self.links if link.up and not link.retired]
        idle = [link for link in links if link is not probe and self.owner.open_set_ups(link) == 0]
        idle.sort(key=lambda link: link.record.standing_calls > 0)  # an open connection shows that the process of its calls runs
        surplus = len(links) - self.owner.max_idle_links()
        for link in idle[: max(0, surplus)]:
            link.retired = True

    def _choose_reporting_link(self) -> None:
        """Reports are taken from one connection: from several they would arrive out of order."""
        candidates = [link for link in self.links if link.up and not (link.retired or link.superseded)]
        if self.reporting_link in candidates:
            return
        self.reporting_link = candidates[0] if candidates else None
        if self.reporting_link is not None and self.reporting_link.last_report:
            self.reporting_link.report_received(self.reporting_link.last_report)

    def _check_late_links(self, now: float) -> None:
        """Mark connections that are not up within the connect timeout. Set-ups do not wait for them, but they may still come
        up, as with a slow switch."""
        for link in self.links:
            if not link.up and not link.late and now - link.opened_at > self.connect_timeout:
                link.late = True
                self.lost_link = self.lost_link or link.replaces_lost
                self.failing_since = self.failing_since or now
                self.owner.link_lost(link, False)
        late = [link for link in self.links if link.late]
        for link in late[:-MAX_LATE_LINKS]:
            link.close(False, "connect timeout exceeded, and newer attempts are under way")

    def check(self, may_open: bool = True) -> None:
        """Check for stalled messages, retired connections and whether the switch is reachable; called regularly. `may_open`:
        whether a connection may be opened on which the switch would repeat releases. Without it, attempts that no set-up needs
        are given up, and nothing is concluded from those that failed."""
        now = self.now()
        for link in list(self.links):
            link.retired = link.retired or link.superseded and not link.record.standing_calls
            if link.retired and self.owner.open_set_ups(link) == 0:
                # Half-closed, not closed: a close discarded a BYE that the switch had just written, so that one call in
                # some thousands ended without its caller being notified.
                link.finish(HALF_CLOSE_TIMEOUT)
                self._choose_reporting_link()
            elif link.up and link.parser.has_partial_message and now - link.last_read_at > STALL_TIMEOUT and not link.is_readable():
                self.owner.link_unreadable(link, "a message stands half")
                link.close(True, "a message stands half")
        established_calls = self.owner.established_calls(self)
        if not self.listed:
            # Open connections are kept for calls that may stand at their process. A new one may reach another switch.
            if not established_calls:
                self._retire_unused_links()
            return
        if not may_open:
            self.close_unused_opening_links()
            self.failing_since = 0.0
            return
        self._check_late_links(now)
        usable = [link for link in self.links if link.up and link.is_usable()]
        opening = any(not link.up and not link.late for link in self.links)
        # A BYE that crossed the close of its connection is lost, even while other connections stay open: the switch repeats
        # it on the next connection that is opened, and it has to reach its caller within 1 second.
        if (
            not opening
            and (not usable or established_calls and (self.lost_link or now - self.last_read_at > SILENCE_TIMEOUT))
            and (self.lost_link or now - self.last_attempt_at >= RETRY_INTERVAL)
        ):
            is_probe = bool(usable) and not self.lost_link
            if is_probe:
                self._close_surplus_probe()
            self._open_link(is_probe)
        if self.failing_since and self.owner.connections_failed(self):
            for link in usable:
                link.close(True, "switch is unreachable")

    def _retire_unused_links(self) -> None:
        for link in list(self.links):
            if self.owner.open_set_ups(link) == 0:
                link.retired = True
                link.finish(HALF_CLOSE_TIMEOUT)
