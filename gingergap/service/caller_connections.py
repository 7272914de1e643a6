"""Connections from callers: accepting them, room among them, and whom to tell the end of a call. Times in seconds."""

from __future__ import annotations

import contextlib
import math
from typing import Any, NamedTuple, Protocol

import gevent
from gevent import socket

from ..callers import lines
from ..callers.lines import BadCallerError, Lines
from ..transport.stream import PeerState, Stream, listening

MOST_QUEUED = 1 << 18  # bytes
LONGEST_WRITE = 2.0
SPEAK = 1.5  # seconds: a caller that has said nothing whole by then is closed, as is one that stops in mid line
REST = 8.0  # seconds without a call before a caller's connection is closed; callers do it after four themselves
KNOWN_PATIENCE = 0.4  # seconds a release waits for a caller that is known; it is owed within one second
CALLING_PATIENCE = 0.7  # and for one that has sent a set-up, before it goes to one that has begun a line
LINE_BEGINS = b'{"type"'  # of a caller, as against a stranger's bytes
MOST_PENDING = 1000
PROGRESS_COMES_BACK = 50  # tenths of a millisecond in which a caller that has gone answers a progress with a reset
ANSWER_SETTLES = 0.4  # seconds: most releases that come soon after an answer still go on the connection of the answer
ANSWER_READ_WITHIN = 1.0  # seconds from an answer in which a release on another connection might be read before it
LONGEST_HELD = 0.6  # seconds that a release is held for that; it is owed within one second
FINISH = 0.2  # seconds at the end in which callers may close their side of connections that are half closed
FINISH_OVERDUE = 0.1  # the same where the earliest kill is near
CALLERS_QUIET = 1.0  # seconds without a word from any caller after which they have left; a slow one pauses for half of that


class Owner(Protocol):
    """Who hears of callers' lines and closes; the proxy's process."""

    calls: Any

    def clock(self) -> int: ...

    def seconds(self) -> float: ...

    def details(self, event: str, **fields: Any) -> None: ...

    def pinged(self, caller: CallerConnection, id: str) -> None: ...

    def ends(self) -> bool:
        """Whether the process has been told to end."""


class PendingRelease(NamedTuple):
    """A release that waits for a caller's connection, and until `not_before`."""

    since: float
    not_before: float
    data: bytes


class HeldSetUp(NamedTuple):
    """A set-up that is not taken before it is clear whether its caller is there. `left` in milliseconds, `came_at` in tenths
    of one; the rest as `Calls.set_up` takes it."""

    came_at: int
    id: str
    kind: str
    left: int
    number: str
    far: int
    width: int
    advised: int
    transit: bool
    redialled: bool
    cut: bool
    sdp: str


class CallerConnection(Stream):
    """One connection from callers."""

    def __init__(self, group: CallerConnections, sock: socket.socket, port: int) -> None:
        """`port` is the peer's, by which logs name the connection."""
        super().__init__(sock, most_queued=MOST_QUEUED, longest_write=LONGEST_WRITE)
        self.group, self.owner = group, group.owner
        self.lines = Lines(self)
        self.port = port
        self.since = self.said_at = self.owner.seconds()
        self.spoken = self.known = self.sent_set_up = False
        self.held_set_ups: list[HeldSetUp] = []
        self.done = False  # its peer has shut down its sending side, and set-ups are open on it
        self.answered_at = 0.0  # when the last call of it began to stand

    def came(self, data: bytes) -> None:
        self.said_at = self.owner.seconds()
        try:
            self.lines.feed(data)
        except BadCallerError as bad:
            self.owner.calls.count(f"closed: {str(bad)[:60]}")
            self.close(True, str(bad)[:60])

    def stays_open(self) -> bool:
        if self.finishing or not (self.held_set_ups or self in self.owner.calls.on_conn):
            return False
        self.done = True
        self.group.done[self] = None
        self.owner.calls.caller_done(self.owner.clock(), self)
        self.finish_when_done()
        return True

    def finish_when_done(self) -> None:
        """Half close it where its peer sends nothing more and has all its answers."""
        if self.done and not self.held_set_ups and self not in self.owner.calls.on_conn:
            self.finish(FINISH)

    def _write_failed(self, error: OSError) -> None:
        super()._write_failed(error)
        gevent.spawn(self._give_up)  # not from within whatever was writing

    def _give_up(self) -> None:
        """Nobody reads answers here any more; what the peer wrote before may still be read."""
        self.owner.calls.conn_gone(self.owner.clock(), self)

    def ended(self, reset: bool) -> None:
        self.group.gone(self)

    def at_rest(self) -> bool:
        """Nothing is owed on it and nothing of its peer waits to be read, so that it may be closed."""
        if self.owner.seconds() - self.answered_at < ANSWER_SETTLES:
            return False
        return not (self in self.owner.calls.on_conn or self.queue or self.lines.held or self.readable())

    def say(self, data: bytes) -> bool:
        """Write a line; whether the connection can still be written."""
        self.put(data)
        heard = not (self.closed or self.finishing)
        self.finish_when_done()
        return heard

    def has_unread(self) -> bool:
        """Whether its peer has written, or gone, and that has not been read yet."""
        return self.peer_state() is PeerState.GONE if self.done else self.readable()

    # --- what the lines are ---

    def _spoke(self) -> None:
        self.spoken = True
        self.group.spoke_at = self.owner.seconds()

    def set_up(self, id: str, *figures: Any) -> None:
        self._spoke()
        if self.finishing:  # it crossed the close: its caller sends it again elsewhere
            self.owner.details("set-up-crossed-close", id=id)
            return
        self.sent_set_up = True
        self.group.close_if_gone(id)
        match self.peer_state():
            case PeerState.GONE:
                self.owner.details("set-up-of-gone-caller", id=id)
            case PeerState.DONE:
                self._hold(HeldSetUp(self.owner.clock(), id, *figures))
            case PeerState.THERE:
                self.owner.calls.set_up(self.owner.clock(), self, id, *figures)

    def _hold(self, set_up: HeldSetUp) -> None:
        """Its caller sends nothing more, and may have gone: it is sent a progress, and the set-up taken if that does not come
        back within a look."""
        self.held_set_ups.append(set_up)
        self.put(lines.progress(set_up.id))

    def take_held(self) -> None:
        """Take the set-ups that were held until it was clear that their caller reads on."""
        now = self.owner.clock()
        due = [held for held in self.held_set_ups if now - held.came_at >= PROGRESS_COMES_BACK]
        self.held_set_ups = self.held_set_ups[len(due) :]
        for held in due:
            _, id, kind, left, *more = held
            self.owner.calls.set_up(now, self, id, kind, max(1, left - (now - held.came_at) // 10), *more)
        if due:
            self.owner.calls.caller_done(now, self)
            self.finish_when_done()

    def stands_at(self, id: str, kind: str, number: str, switch: str) -> None:
        self.spoken = self.known = True
        self.owner.calls.stands_at(self.owner.clock(), self, id, kind, number, switch)

    def released(self, id: str, cause: int) -> None:
        self._spoke()
        if any(held.id == id for held in self.held_set_ups):
            self.held_set_ups = [held for held in self.held_set_ups if held.id != id]
            self.owner.calls.withdrawn(self.owner.clock(), self, id)
        self.owner.calls.released(self.owner.clock(), self, id, cause)

    def pinged(self, id: str) -> None:
        self.spoken = True
        self.owner.pinged(self, id)

    def withdrawn(self, id: str) -> None:
        self._spoke()
        self.owner.calls.withdrawn(self.owner.clock(), self, id)

    def unusable(self, id: str, why: str) -> None:
        self._spoke()
        self.owner.calls.unusable(self.owner.clock(), self, id, why)


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
        if conn is None or conn.closed or conn.finishing:
            if conn is not None and conn.finishing:  # its answer may stand unread
                not_before = min(conn.answered_at + ANSWER_READ_WITHIN, now + LONGEST_HELD)
            conn = self._known()
        if conn is not None and not_before <= now:
            conn.say(data)
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
            caller.put(release.data)

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
        return next((caller for caller in reversed(self.open) if caller.known and not (caller.finishing or caller.done)), None)

    def _calling(self) -> CallerConnection | None:
        return next(
            (caller for caller in reversed(self.open) if caller.sent_set_up and not (caller.finishing or caller.done)), None
        )

    def _beginning(self) -> CallerConnection | None:
        """The latest that stands in the middle of a line which begins as callers' lines do."""
        begun = (caller for caller in reversed(self.open) if caller.lines.held.startswith(LINE_BEGINS))
        return next((caller for caller in begun if not caller.finishing), None)

    def _last(self) -> CallerConnection | None:
        """Whoever is left at the end, rather one that has begun a line than one that may be a test of the front."""
        left = [caller for caller in self.open if not caller.finishing]
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
        return self.owner.seconds() - self.spoke_at < CALLERS_QUIET

    def all_finishing(self) -> bool:
        return all(caller.finishing for caller in self.open)

    def may_still_speak(self) -> bool:
        """Whether one that has not noticed its half close yet may still end a call."""
        return bool(self.open) and self.owner.seconds() < self.may_speak_until
