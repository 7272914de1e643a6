"""Connections from callers: accepting them, room among them, and whom to tell the end of a call. Times in seconds."""

from __future__ import annotations

import contextlib
import math
from typing import NamedTuple

import gevent
from gevent import socket

from ..transport.stream import PeerState, listening
from .caller_connection import FINISH, CallerConnection, Owner

SPEAK = 1.5  # seconds: a caller that has said nothing whole by then is closed, as is one that stops in mid line
REST = 8.0  # seconds without a call before a caller's connection is closed; callers do it after four themselves
KNOWN_PATIENCE = 0.4  # seconds a release waits for a caller that is known; it is owed within one second
CALLING_PATIENCE = 0.7  # and for one that has sent a set-up, before it goes to one that has begun a line
LINE_BEGINS = b'{"type"'  # of a caller, as against a stranger's bytes
MOST_PENDING = 1000
ANSWER_READ_WITHIN = 1.0  # seconds from an answer in which a release on another connection might be read before it
LONGEST_HELD = 0.6  # seconds that a release is held for that; it is owed within one second
FINISH_OVERDUE = 0.1  # the same where the earliest kill is near
CALLERS_QUIET = 1.0  # seconds without a word from any caller after which they have left; a slow one pauses for half of that


class PendingRelease(NamedTuple):
    """A release that waits for a caller's connection, and until `not_before`."""

    since: float
    not_before: float
    data: bytes


class CallerConnections:
    """All connections from callers, `most` at once, in the order in which they were accepted."""

    def __init__(self, owner: Owner, most: int) -> None:
        self.owner, self.most = owner, most
        self.open: dict[CallerConnection, None] = {}
        self.done: dict[CallerConnection, None] = {}  # of these, whose peers have shut down their sending side
        self.pending: list[PendingRelease] = []
        self.listener: socket.socket | None = None
        self.spoke_at = -math.inf  # when any of them last spoke of a call
        self.may_speak_until = 0.0  # callers whose connections were half closed may not have noticed it before

    def __len__(self) -> int:
        return len(self.open)

    def gone(self, caller: CallerConnection) -> None:
        self.open.pop(caller, None)
        self.done.pop(caller, None)
        held = self.owner.calls.on_conn.get(caller, ())
        self.owner.details(
            "caller-closed",
            port=caller.port,
            why=caller.close_reason,
            set_ups=",".join(held) or "none",
            partial=len(caller.lines.held),
            queued=caller.queued,
        )
        self.owner.calls.conn_gone(self.owner.clock(), caller)

    # --- accepting ---

    def listen(self, address: tuple[str, int]) -> None:
        """Raises OSError where the address is taken."""
        self.listener = listening(address)

    def start(self) -> None:
        self.acceptor = gevent.spawn(self._accept)

    def _accept(self) -> None:
        while self.listener is not None:
            try:
                sock, address = self.listener.accept()
            except OSError:  # no descriptor may be left: whoever rests makes room
                self._make_room()
                gevent.sleep(0.05)
                continue
            self._accepted(sock, address[1])

    def _accepted(self, sock: socket.socket, port: int) -> None:
        if len(self.open) >= self.most and not self._make_room():
            self.owner.details("caller-turned-away", port=port, callers=len(self.open))
            sock.close()
            return
        caller = CallerConnection(self, sock, port)
        self.open[caller] = None
        gevent.spawn(caller.read)

    def stop_listening(self) -> None:
        """Take what the machine has accepted by now, then refuse connections."""
        if self.listener is None:
            return
        listener, self.listener = self.listener, None
        self.acceptor.kill(block=False)
        listener.settimeout(0)
        with contextlib.suppress(OSError):
            while True:
                sock, address = listener.accept()
                self._accepted(sock, address[1])
        listener.close()

    def _make_room(self) -> bool:
        """Close the oldest that has said nothing, else the one that rests longest; those on which calls stood last,
        since what ends a call can be told only on them."""
        on_conn = self.owner.calls.on_conn
        resting = [caller for caller in self.open if not (caller in on_conn or caller.queue or caller.readable())]
        if not resting:
            return False
        min(resting, key=lambda caller: (caller.known, caller.spoken, caller.said_at)).close(True, "room for another")
        return True

    # --- the ends of calls ---

    def tell_end(self, conn: CallerConnection | None, data: bytes) -> None:
        """On a caller's connection, or on any other where it has gone; later, where there is none. None: any."""
        now = self.owner.seconds()
        not_before = now
        if conn is None or not conn.may_be_told():
            if conn is not None and conn.finishing:  # its answer may stand unread
                not_before = min(conn.answered_at + ANSWER_READ_WITHIN, now + LONGEST_HELD)
            conn = self._known()
        if conn is not None and not_before <= now and conn.say(data):
            return
        self.owner.details("release-waits", callers=len(self), known=conn is not None, line=data.decode().strip())
        self.pending.append(PendingRelease(now, not_before, data))
        del self.pending[:-MOST_PENDING]

    def served(self, conn: CallerConnection) -> None:
        """A call of this connection stands from now on."""
        conn.known = True
        conn.answered_at = self.owner.seconds()

    def tell_pending(self, overdue: bool = False) -> None:
        """Tell releases whose time has come. `overdue`: connections are about to close, so nothing waits any longer."""
        now = self.owner.seconds()
        latest = math.inf if overdue else now
        due = [release for release in self.pending if release.not_before <= latest]
        if not due:
            return
        caller = self._caller_for(now - due[0].since, overdue)
        if caller is None:
            return
        self.pending = [release for release in self.pending if release.not_before > latest]
        for release in due:
            caller.say(release.data)

    def release_waits(self) -> bool:
        """Whether a release waits for its time, and a connection is still open for it."""
        return bool(self.pending) and not self.all_finishing()

    def any_to_tell(self) -> bool:
        """Whether there is a connection that is surely a caller's."""
        return self._known() is not None or self._calling() is not None

    def _caller_for(self, waited: float, overdue: bool) -> CallerConnection | None:
        """Whom to tell a release that has waited for so many seconds; None: it waits on."""
        caller = self._known()
        if caller is None and (self.owner.ends() or waited > KNOWN_PATIENCE):
            caller = self._calling()
        if caller is None and waited > CALLING_PATIENCE:
            caller = self._beginning()
        if caller is None and self.listener is None and (overdue or waited > KNOWN_PATIENCE):
            caller = self._last()
        return caller

    def _known(self) -> CallerConnection | None:
        """The latest connection on which calls stood; any other may be anybody's."""
        return next((caller for caller in reversed(self.open) if caller.known and caller.may_be_told()), None)

    def _calling(self) -> CallerConnection | None:
        return next((caller for caller in reversed(self.open) if caller.sent_set_up and caller.may_be_told()), None)

    def _beginning(self) -> CallerConnection | None:
        """The latest that stands in the middle of a line which begins as callers' lines do."""
        begun = (caller for caller in reversed(self.open) if caller.lines.held.startswith(LINE_BEGINS))
        return next((caller for caller in begun if caller.may_be_told()), None)

    def _last(self) -> CallerConnection | None:
        """Whoever is left at the end, rather one that has begun a line than one that may be a test of the front."""
        left = [caller for caller in self.open if not (caller.finishing or caller.peer_state() is PeerState.GONE)]
        return max(left, key=lambda caller: (caller.spoken, len(caller.lines.held)), default=None)

    # --- closing ---

    def close_if_gone(self, id: str) -> None:
        """Close the connection of an open set-up whose line comes again on another, where it has been reset, unread."""
        call = self.owner.calls.by_id.get(id)
        if call is not None and call.conn is not None and call.conn.peer_state() is PeerState.GONE:
            call.conn.close(True, "its peer has gone, and its set-up came again elsewhere")

    def look_at_done(self) -> None:
        """Close those whose peers have not only shut down their sending side but gone: what was written to them came back."""
        for caller in list(self.done):
            if caller.finishing:
                continue
            if caller.peer_state() is PeerState.GONE:
                caller.close(True, "closed by its peer")
            else:
                caller.take_held()

    def look(self) -> None:
        """From time to time: close callers that say nothing whole, and those without calls for long."""
        now = self.owner.seconds()
        for caller in list(self.open):
            quiet = now - caller.said_at
            if quiet <= SPEAK:
                if not caller.spoken and now - caller.since > 2 * SPEAK:
                    caller.close(True, "bytes and no line")
                continue
            owes = caller in self.owner.calls.on_conn or caller.readable()  # it may have spoken while the process stood still
            if not owes and (not caller.spoken or caller.lines.held or quiet > REST):
                caller.close(True, "nothing whole in time" if caller.lines.held or not caller.spoken else "at rest")

    def turn_away(self, caller: CallerConnection) -> None:
        """Half close it, unless set-ups are open on it."""
        if caller not in self.owner.calls.on_conn:
            self.owner.details("caller-half-closed", port=caller.port, why="the id of a call that stands came again")
            caller.finish(FINISH)

    def half_close(self, overdue: bool) -> None:
        """Half close each on which nothing is owed, and all when `overdue`."""
        within = FINISH_OVERDUE if overdue else FINISH
        for caller in list(self.open):
            if not caller.finishing and (overdue or caller.at_rest()):
                caller.finish(within)
                self.owner.details("caller-half-closed", port=caller.port, why="overdue" if overdue else "nothing is owed on it")
                self.may_speak_until = self.owner.seconds() + within

    def go_on(self) -> bool:
        """Whether callers still use their connections. One that reads slowly does not notice at once that its connection was
        half closed, and what it sends until then would have no answer."""
        return bool(self.open) and self.owner.seconds() - self.spoke_at < CALLERS_QUIET

    def all_finishing(self) -> bool:
        return all(caller.finishing for caller in self.open)

    def may_still_speak(self) -> bool:
        """Whether one that has not noticed its half close yet may still end a call."""
        return bool(self.open) and self.owner.seconds() < self.may_speak_until
