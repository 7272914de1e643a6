"""One connection from callers: its lines, its close, and set-ups held until it is known whether their caller still reads."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

import gevent
from gevent import socket

from ..caller_protocol import json_lines
from ..caller_protocol.json_lines import MAX_LINE_BYTES, CallerLineParser, InvalidLineError
from ..transport.stream import PeerState, Stream
from ..transport.turns import Work

if TYPE_CHECKING:
    from .caller_connections import CallerConnections

MAX_QUEUED_BYTES = 1 << 18
WRITE_TIMEOUT = 2.0  # seconds
CALLER_READ_SIZE = 1 << 13  # bytes
MAX_MESSAGES_PER_TURN = 16
MAX_PIECES_AT_ONCE = 4
PIECE_INTERVAL = 0.05  # seconds between two reads of a line that comes in more pieces
MAX_QUEUED_FOR_READING = 1 << 13  # bytes queued for a peer that does not read, from which on nothing more is read from it
UNREAD_CHECK_INTERVAL = 0.02  # seconds
MAX_HELD_SET_UPS = 100  # of one connection
RESET_TIME = 50  # tenths of a millisecond within which a progress to a caller that has gone is answered by a reset
ANSWER_SETTLE_TIME = 0.4  # seconds: most releases soon after an answer can still be sent on the connection of the answer
LINE_PREFIX = b'{"type"'  # of a caller's line, as opposed to bytes of an unrelated client
HEALTH_CHECK_TIME = 0.7  # seconds after which a connection counts as one that is kept open
HALF_CLOSE_TIMEOUT = 0.2  # seconds at a shutdown in which callers may close their side of half-closed connections


class Owner(Protocol):
    """Receives callers' messages and closes: the proxy's process."""

    calls: Any

    def clock(self) -> int:
        """Unix time in tenths of a millisecond."""

    def seconds(self) -> float:
        """Unix time in seconds."""

    def detail_log(self, event: str, **fields: Any) -> None: ...

    def ping_received(self, caller: CallerConnection, id: str) -> None: ...

    def is_shutting_down(self) -> bool: ...


class HeldSetUp(NamedTuple):
    """A set-up that is accepted only once it is known that its caller still reads. `time_left` in milliseconds, `received_at`
    in tenths of a millisecond; the other fields as of `Calls.set_up_received`."""

    received_at: int
    id: str
    traffic_type: str
    time_left: int
    number: str
    destination: int
    circuits: int
    advised_tandem: int
    transit: bool
    redialled: bool
    after_cut: bool
    sdp: str


class CallerConnection(Stream):
    """One connection from callers; handles the messages of its parser (`CallerLineHandler`)."""

    def __init__(self, connections: CallerConnections, sock: socket.socket, port: int) -> None:
        """`port`: the peer's, by which the log names the connection."""
        super().__init__(sock, max_queued_bytes=MAX_QUEUED_BYTES, write_timeout=WRITE_TIMEOUT)
        self.connections, self.owner = connections, connections.owner
        self.read_size = CALLER_READ_SIZE
        self.parser = CallerLineParser(self)
        self.work = Work()
        self.waits_for_turn = False  # with what was read and is not in the parser yet
        self.pieces = 0  # reads in a row that ended in the middle of a line
        self.port = port
        self.accepted_at = self.last_read_at = self.owner.seconds()
        self.has_sent_message = self.has_named_call = False
        self.has_sent_call_message = False  # other than tests and names of calls
        self.has_sent_set_up = False  # a valid one
        self.is_known_caller = False  # its peer is certainly a caller, as `Calls` found: see `Wire.caller_identified`
        # See ReleaseDelivery: copies of releases that are not settled, and the sequence number of the last one as a tester.
        self.has_copies, self.copied_at, self.last_copied_release = False, 0.0, 0
        self.held_set_ups: list[HeldSetUp] = []
        self.peer_half_closed = False  # its peer has shut down its sending side while set-ups were open on it
        self.unreadable = False  # an invalid line was received; nothing more is read
        self.half_closed_at = 0  # tenths of a millisecond
        self.answered_at = 0.0  # seconds; when its latest call was established

    def data_received(self, data: bytes) -> None:
        if self.unreadable:
            return
        self.last_read_at = self.owner.seconds()
        if b"\n" in data or len(self.parser.buffer) + len(data) > MAX_LINE_BYTES:
            self._handle_in_turns(data)
        else:
            self.parser.receive(data)  # no line is complete: nothing to handle
        self._rest_if_slow(len(data))

    def _handle_in_turns(self, data: bytes) -> None:
        """Take in what was read, and handle as many messages in each turn as a turn has."""
        self._handle_in_turn(data)
        while self.parser.has_pending() and not self.closed:
            self._handle_in_turn(b"")

    def _handle_in_turn(self, data: bytes) -> None:
        turns = self.connections.turns_of(self)
        self.waits_for_turn = True
        turns.begin(self.work)
        self.waits_for_turn = False
        try:
            if data and not self.closed:
                self.parser.receive(data)
            self.parser.dispatch(MAX_MESSAGES_PER_TURN)
        except InvalidLineError as error:
            self.owner.calls.increment("closed", str(error)[:60])
            self._close_unreadable(str(error)[:60])
        finally:
            turns.end(self.work)

    def _rest_if_slow(self, size: int) -> None:
        """Rest while the peer reads nothing of what is queued for it, and a moment if it writes a line in many pieces. `size`: of
        the last read, in bytes."""
        self.pieces = self.pieces + 1 if self.parser.buffer and size < CALLER_READ_SIZE else 0
        if self.pieces > MAX_PIECES_AT_ONCE and not self.closed:
            gevent.sleep(PIECE_INTERVAL)
        while self.queued > MAX_QUEUED_FOR_READING and not self.closed and not self.finishing:
            gevent.sleep(UNREAD_CHECK_INTERVAL)

    def is_readable(self) -> bool:
        return self.waits_for_turn or self.parser.has_pending() or super().is_readable()

    def _close_unreadable(self, reason: str) -> None:
        """Close the connection after an invalid line. Set-ups that are open on it get their refusals first."""
        self.unreadable = True
        self.parser.discard()
        if self not in self.owner.calls.by_conn:
            self.close(True, reason)
            return
        self.owner.detail_log("caller-half-closed", port=self.port, why=reason)
        self.owner.calls.caller_unreadable(self.owner.clock(), self)
        self.finish(HALF_CLOSE_TIMEOUT)

    def eof_received(self) -> bool:
        if self.finishing or not (self.held_set_ups or self in self.owner.calls.by_conn):
            return False
        self.peer_half_closed = True
        self.half_closed_at = self.owner.clock()
        self.connections.half_closed_by_peer[self] = None
        self.owner.calls.caller_half_closed(self.owner.clock(), self)
        self.finish_if_answered()
        return True

    def finish_if_answered(self) -> None:
        """Half-close the connection if its peer sends nothing more and has all its answers. Not during a shutdown: callers
        cannot reconnect then, and this may be the last connection on which releases of calls can be sent."""
        if self.peer_half_closed and not (self.owner.is_shutting_down() or self.held_set_ups or self in self.owner.calls.by_conn):
            self.finish(HALF_CLOSE_TIMEOUT)

    def is_in_mid_line(self) -> bool:
        """Whether it has sent the beginning of a line as callers write them."""
        return self.parser.buffer.startswith(LINE_PREFIX)

    def is_tester(self, now: float) -> bool:
        """Whether it has sent tests or names of calls alone, and is open for longer than health checks usually are."""
        has_tested = self.has_sent_message and not self.has_sent_call_message
        return has_tested and (self.has_named_call or now - self.accepted_at > HEALTH_CHECK_TIME)

    def is_unknown_sender(self, now: float) -> bool:
        """Whether it has sent messages about calls, or part of one, that do not show whether its peer is a caller."""
        return self.is_in_mid_line() or self.has_sent_call_message and now - self.accepted_at > HEALTH_CHECK_TIME

    def can_receive_release(self) -> bool:
        """Whether releases of calls may be sent here: its peer still reads, as far as is known."""
        if self.closed or self.finishing:
            return False
        match self.peer_state():
            case PeerState.CLOSED:
                return False
            case PeerState.HALF_CLOSED:
                return self.peer_half_closed and self.owner.clock() - self.half_closed_at >= RESET_TIME
            case PeerState.OPEN:
                return True

    def _write_failed(self, error: OSError) -> None:
        super()._write_failed(error)
        gevent.spawn(self._give_up_set_ups)  # not from within the code that was writing

    def _give_up_set_ups(self) -> None:
        """The peer no longer reads answers on this connection; what it wrote before may still be read."""
        self.owner.calls.conn_lost(self.owner.clock(), self)

    def connection_lost(self, reset: bool) -> None:
        self.connections.connection_closed(self)
        self.parser.discard()  # freed at once: the connection itself is in a cycle of references

    def is_idle(self) -> bool:
        """Whether no answer is owed on it and nothing from its peer waits to be read, so that it may be closed."""
        if self.owner.seconds() - self.answered_at < ANSWER_SETTLE_TIME:
            return False
        return not (
            self in self.owner.calls.by_conn or self.queue or self.parser.buffer or not self.peer_half_closed and self.is_readable()
        )

    def send_line(self, data: bytes) -> bool:
        """Write a line. Returns whether the connection can still be written to."""
        self.write(data)
        delivered = not self.finishing and self.peer_state() is not PeerState.CLOSED
        self.finish_if_answered()
        return delivered

    def has_unread(self) -> bool:
        """Whether bytes from its peer, or its close, wait to be read."""
        return self.peer_state() is PeerState.CLOSED if self.peer_half_closed else self.is_readable()

    # --- messages of the parser ---

    def _mark_active(self) -> None:
        self.has_sent_message = self.has_sent_call_message = True
        self.connections.last_message_at = self.owner.seconds()

    def set_up_received(self, id: str, traffic_type: str, time_left: int, *more: Any) -> None:
        waited_for_turn = round(1000 * (self.owner.seconds() - self.last_read_at))
        arguments = (traffic_type, max(1, time_left - waited_for_turn), *more)
        self._mark_active()
        if self.finishing:  # the set-up crossed the half-close: its caller sends it again on another connection
            self.owner.detail_log("set-up-crossed-close", id=id)
            return
        self.connections.close_if_reset(id)
        match self.peer_state():
            case PeerState.CLOSED:
                self.owner.detail_log("set-up-of-gone-caller", id=id)
            case PeerState.HALF_CLOSED:
                self._hold(HeldSetUp(self.owner.clock(), id, *arguments))
            case PeerState.OPEN:
                self.owner.calls.set_up_received(self.owner.clock(), self, id, *arguments)

    def _hold(self, set_up: HeldSetUp) -> None:
        """Hold a set-up of a caller that has shut down its sending side and may have gone. It is sent a progress; unless that
        causes a reset within RESET_TIME, the set-up is accepted."""
        if len(self.held_set_ups) >= MAX_HELD_SET_UPS:
            self.owner.calls.refuse_set_up(self.owner.clock(), self, set_up.id, "too many held")
            return
        self.held_set_ups.append(set_up)
        self.write(json_lines.encode_progress(set_up.id))

    def accept_held_set_ups(self) -> None:
        """Accept the set-ups that have been held for RESET_TIME."""
        now = self.owner.clock()
        due = [held for held in self.held_set_ups if now - held.received_at >= RESET_TIME]
        for held in due:
            _, id, traffic_type, time_left, *more = held
            self.owner.calls.set_up_received(now, self, id, traffic_type, max(1, time_left - (now - held.received_at) // 10), *more)
        if due:
            # Not before the loop: with no set-up held, the first answer would half-close the connection.
            self.held_set_ups = self.held_set_ups[len(due) :]
            self.owner.calls.caller_half_closed(now, self)
            self.finish_if_answered()

    def call_announced(self, id: str, traffic_type: str, number: str, switch: str) -> None:
        self.has_sent_message = self.has_named_call = True
        self.owner.calls.call_announced(self.owner.clock(), self, id, traffic_type, number, switch)

    def release_received(self, id: str, cause: int) -> None:
        self._mark_active()
        if any(held.id == id for held in self.held_set_ups):
            self.held_set_ups = [held for held in self.held_set_ups if held.id != id]
            self.owner.calls.set_up_withdrawn(self.owner.clock(), self, id)
        self.owner.calls.caller_released(self.owner.clock(), self, id, cause)

    def ping_received(self, id: str) -> None:
        self.has_sent_message = True
        self.owner.ping_received(self, id)

    def set_up_withdrawn(self, id: str) -> None:
        self._mark_active()
        self.owner.calls.set_up_withdrawn(self.owner.clock(), self, id)

    def set_up_invalid(self, id: str, reason: str) -> None:
        self._mark_active()
        self.owner.calls.set_up_invalid(self.owner.clock(), self, id, reason)
