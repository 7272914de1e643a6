"""All connections from callers: accepting them, closing idle ones, and choosing where to send the release of a call.

Times in seconds.
"""

from __future__ import annotations

import contextlib
import itertools
import math

import gevent
from gevent import socket

from ..transport.stream import PeerState, create_listener, has_backlog
from ..transport.turns import YIELD_TIME, TurnQueue
from .caller_connection import HALF_CLOSE_TIMEOUT, CallerConnection, Owner
from .release_delivery import ReleaseDelivery

LINE_TIMEOUT = 1.5  # seconds in which a connection must have sent its first line, or the rest of a line
IDLE_TIMEOUT = 8.0  # seconds without a call before a connection is closed; callers close it themselves after 4
CALLER_REST_TIME = 4.0  # seconds after which callers close a connection on which they have no call
KNOWN_CALLERS_SHARE = 2  # known callers' lines take one part in so many of the time at most
OTHERS_SHARE = 2  # and those of other clients one in so many
MAX_ACCEPTED_AT_ONCE = 8  # connections
OVERDUE_HALF_CLOSE_TIMEOUT = 0.1  # as HALF_CLOSE_TIMEOUT, where the earliest SIGKILL is near
ACCEPT_RETRY_INTERVAL = 0.05  # seconds
CALLERS_QUIET_TIME = 1.0  # seconds without a message after which all callers have left; a slow one pauses for up to 0.5


class CallerConnections:
    """The open connections from callers, in the order in which they were accepted."""

    def __init__(self, owner: Owner, max_connections: int) -> None:
        self.owner, self.max_connections = owner, max_connections
        self.open: dict[CallerConnection, None] = {}
        self.known_turns, self.other_turns = TurnQueue(KNOWN_CALLERS_SHARE), TurnQueue(OTHERS_SHARE)
        self.half_closed_by_peer: dict[CallerConnection, None] = {}  # those whose peers have shut down their sending side
        self.releases = ReleaseDelivery(owner, self)
        self.listener: socket.socket | None = None
        self.last_message_at = -math.inf  # last message about a call, on any connection
        self.half_close_unnoticed_until = 0.0  # callers may still send on connections that were half-closed

    def __len__(self) -> int:
        return len(self.open)

    def turns_of(self, caller: CallerConnection) -> TurnQueue:
        return self.known_turns if caller.is_known_caller else self.other_turns

    def connection_closed(self, caller: CallerConnection) -> None:
        self.open.pop(caller, None)
        self.half_closed_by_peer.pop(caller, None)
        self.releases.connection_closed(caller)
        open_set_ups = self.owner.calls.by_conn.get(caller, ())
        self.owner.detail_log(
            "caller-closed",
            port=caller.port,
            why=caller.close_reason,
            set_ups=",".join(open_set_ups) or "none",
            partial=len(caller.parser.buffer),
            queued=caller.queued,
        )
        self.owner.calls.conn_lost(self.owner.clock(), caller)

    # --- accepting ---

    def listen(self, address: tuple[str, int]) -> None:
        """Raises OSError where the address is in use."""
        self.listener = create_listener(address)

    def start(self) -> None:
        self.acceptor = gevent.spawn(self._accept)

    def _accept(self) -> None:
        for count in itertools.count(1):
            if count % MAX_ACCEPTED_AT_ONCE == 0:
                gevent.sleep(YIELD_TIME)
            if self.listener is None:  # closed during a pause: a greenlet that is killed may still be resumed by its timer
                return
            try:
                sock, address = self.listener.accept()
            except OSError:  # for example no file descriptor is left: close an idle connection, if another one waits
                if self.listener is not None and has_backlog(self.listener):
                    self._make_room()
                gevent.sleep(ACCEPT_RETRY_INTERVAL)
                continue
            self._add(sock, address[1])

    def _add(self, sock: socket.socket, port: int) -> None:
        if len(self.open) >= self.max_connections and not self._make_room():
            self.owner.detail_log("caller-turned-away", port=port, callers=len(self.open))
            sock.close()
            return
        caller = CallerConnection(self, sock, port)
        self.open[caller] = None
        gevent.spawn(caller.read)

    def stop_listening(self) -> None:
        """Accept the connections in the listener's backlog, then close the listener."""
        if self.listener is None:
            return
        listener, self.listener = self.listener, None
        self.acceptor.kill(block=False)
        listener.settimeout(0)
        with contextlib.suppress(OSError):
            while True:
                sock, address = listener.accept()
                self._add(sock, address[1])
        listener.close()

    def _make_room(self) -> bool:
        """Close a connection for a new one. Returns whether there was one that may be closed."""
        caller = self._least_used()
        if caller is None:
            return False
        caller.close(True, "closed to make room for a new connection")
        return True

    def _least_used(self) -> CallerConnection | None:
        """Of those without open set-ups: the oldest one that has sent nothing, else the one idle for longest; else one whose
        peer reads nothing. Known callers come last, and not while they are in use: releases can be sent on them only. Of
        either kind, those with calls that stand come after the others."""
        calls = self.owner.calls
        by_conn = calls.by_conn
        without_set_ups = [caller for caller in self.open if caller not in by_conn]
        in_use_after = self.owner.seconds() - CALLER_REST_TIME
        idle = [
            caller
            for caller in without_set_ups
            if not (
                caller.queue
                or caller.is_readable()
                or (caller.is_known_caller or caller.has_named_call)
                and caller.last_read_at > in_use_after
            )
        ]
        if idle:
            return min(
                idle,
                key=lambda caller: (
                    caller.is_known_caller,
                    calls.holds_calls(caller),
                    caller.has_sent_message,
                    caller.last_read_at,
                ),
            )
        return max((caller for caller in without_set_ups if caller.queue), key=lambda caller: caller.queued, default=None)

    # --- peers that can be told of the end of a call ---

    def call_established(self, conn: CallerConnection) -> None:
        """A call of this connection has been established."""
        self.releases.caller_identified(conn)
        conn.answered_at = self.owner.seconds()

    def known_caller(self) -> CallerConnection | None:
        """The latest connection whose peer is certainly a caller; other connections may be of unrelated clients."""
        return next((caller for caller in reversed(self.open) if caller.is_known_caller and caller.can_receive_release()), None)

    def set_up_sender(self) -> CallerConnection | None:
        """The latest connection on which a valid set-up came."""
        return next((caller for caller in reversed(self.open) if caller.has_sent_set_up and caller.can_receive_release()), None)

    def last_caller(self) -> CallerConnection | None:
        """Any connection left at the end; one with part of a line in preference to one that may be a health check."""
        left = [caller for caller in self.open if not (caller.finishing or caller.peer_state() is PeerState.CLOSED)]
        return max(left, key=lambda caller: (caller.has_sent_message, len(caller.parser.buffer)), default=None)

    def has_likely_caller(self) -> bool:
        """Whether a release would be settled by writing it to a connection that is open."""
        return self.known_caller() is not None or self.set_up_sender() is not None

    def can_deliver_releases(self) -> bool:
        """Whether there is a connection on which the end of a call can be told, as its peer is a caller or may be one. One that has
        only sent tests counts once it stays open for longer than a health check, and not during a shutdown: the end of a call
        is better told to the next process then, if the switch still can."""
        return any(self._may_be_caller(caller) and caller.can_receive_release() for caller in reversed(self.open))

    def _may_be_caller(self, caller: CallerConnection) -> bool:
        if caller.is_known_caller or caller.has_sent_set_up or caller.has_named_call:
            return True
        if self.owner.is_shutting_down():
            return False
        now = self.owner.seconds()
        return caller.is_tester(now) or caller.is_unknown_sender(now)

    # --- closing ---

    def close_if_reset(self, id: str) -> None:
        """Close the connection of the open set-up `id`, received again on another connection, if its peer has reset it."""
        call = self.owner.calls.by_id.get(id)
        if call is not None and call.conn is not None and call.conn.peer_state() is PeerState.CLOSED:
            call.conn.close(True, "reset by its peer; its set-up was received again on another connection")

    def check_half_closed(self) -> None:
        """Close the connections whose peers have not only shut down their sending side but answer writes with a reset."""
        for caller in list(self.half_closed_by_peer):
            if caller.finishing:
                continue
            if caller.peer_state() is PeerState.CLOSED:
                caller.close(True, "closed by its peer")
            else:
                caller.accept_held_set_ups()

    def check_timeouts(self) -> None:
        """Close connections that have sent no complete line in time, and those idle for IDLE_TIMEOUT; called regularly."""
        now = self.owner.seconds()
        for caller in list(self.open):
            silence = now - caller.last_read_at
            if silence <= LINE_TIMEOUT:
                if not caller.has_sent_message and now - caller.accepted_at > 2 * LINE_TIMEOUT:
                    caller.close(True, "bytes received, but no complete line")
                continue
            # Unread bytes count: they may have arrived while the process was suspended.
            if caller in self.owner.calls.by_conn or caller.is_readable():
                continue
            if caller.parser.buffer or not caller.has_sent_message:
                caller.close(True, "no complete line in time")
            elif silence > IDLE_TIMEOUT and not self._is_needed_for_releases(caller):
                caller.close(True, "idle")

    def _is_needed_for_releases(self, caller: CallerConnection) -> bool:
        """Whether its close would leave the end of a call without a connection: a call stands that was set up or named on it, or
        some call stands and this is the last known caller."""
        calls = self.owner.calls
        return calls.holds_calls(caller) or calls.has_established_calls() and caller is self.known_caller()

    def half_close_unused(self, caller: CallerConnection) -> None:
        """Half-close a connection, unless set-ups are open on it."""
        if caller not in self.owner.calls.by_conn:
            self.owner.detail_log("caller-half-closed", port=caller.port, why="set-up with the id of an established call")
            caller.finish(HALF_CLOSE_TIMEOUT)

    def half_close_idle(self, overdue: bool) -> None:
        """Half-close every idle connection, and all of them when `overdue`."""
        within = OVERDUE_HALF_CLOSE_TIMEOUT if overdue else HALF_CLOSE_TIMEOUT
        for caller in list(self.open):
            if not caller.finishing and (overdue or caller.is_idle()):
                caller.finish(within)
                self.owner.detail_log(
                    "caller-half-closed", port=caller.port, why="overdue" if overdue else "no answer is outstanding"
                )
                self.half_close_unnoticed_until = self.owner.seconds() + within

    def are_active(self) -> bool:
        """Whether callers still use their connections. A slow reader does not notice at once that its connection was
        half-closed, and set-ups that it sends until then would not be answered."""
        return bool(self.open) and self.owner.seconds() - self.last_message_at < CALLERS_QUIET_TIME

    def all_finishing(self) -> bool:
        return all(caller.finishing for caller in self.open)

    def may_still_send(self) -> bool:
        """Whether a caller that has not noticed its half-close yet may still end a call."""
        return bool(self.open) and self.owner.seconds() < self.half_close_unnoticed_until
