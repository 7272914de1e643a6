"""One connection from callers: its lines, its end, and set-ups held until it is clear whether their caller is there."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

import gevent
from gevent import socket

from ..callers import lines
from ..callers.lines import BadCallerError, Lines
from ..transport.stream import PeerState, Stream

if TYPE_CHECKING:
    from .caller_connections import CallerConnections

MOST_QUEUED = 1 << 18  # bytes
LONGEST_WRITE = 2.0
PROGRESS_COMES_BACK = 50  # tenths of a millisecond in which a caller that has gone answers a progress with a reset
ANSWER_SETTLES = 0.4  # seconds: most releases that come soon after an answer still go on the connection of the answer
FINISH = 0.2  # seconds at the end in which callers may close their side of connections that are half closed


class Owner(Protocol):
    """Who hears of callers' lines and closes; the proxy's process."""

    calls: Any

    def clock(self) -> int: ...

    def seconds(self) -> float: ...

    def details(self, event: str, **fields: Any) -> None: ...

    def pinged(self, caller: CallerConnection, id: str) -> None: ...

    def ends(self) -> bool:
        """Whether the process has been told to end."""


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
        self.done = False  # its peer has shut down its sending side, and set-ups were open on it
        self.spoilt = False  # what comes on it is not read any more
        self.done_at = 0  # tenths of a millisecond
        self.answered_at = 0.0  # when the last call of it began to stand

    def came(self, data: bytes) -> None:
        if self.spoilt:
            return
        self.said_at = self.owner.seconds()
        try:
            self.lines.feed(data)
        except BadCallerError as bad:
            self.owner.calls.count(f"closed: {str(bad)[:60]}")
            self._close_spoilt(str(bad)[:60])

    def _close_spoilt(self, why: str) -> None:
        """What comes on it can't be read any more. Calls share a connection, so those that are open on it have their answers."""
        self.spoilt = True
        self.lines.held.clear()
        if self not in self.owner.calls.on_conn:
            self.close(True, why)
            return
        self.owner.details("caller-half-closed", port=self.port, why=why)
        self.owner.calls.caller_spoilt(self.owner.clock(), self)
        self.finish(FINISH)

    def stays_open(self) -> bool:
        if self.finishing or not (self.held_set_ups or self in self.owner.calls.on_conn):
            return False
        self.done = True
        self.done_at = self.owner.clock()
        self.group.done[self] = None
        self.owner.calls.caller_done(self.owner.clock(), self)
        self.finish_when_done()
        return True

    def finish_when_done(self) -> None:
        """Half close it where its peer sends nothing more and has all its answers. Not at an end: callers can't come back
        then, and this one may be the last that can be told the ends of calls."""
        if self.done and not (self.owner.ends() or self.held_set_ups or self in self.owner.calls.on_conn):
            self.finish(FINISH)

    def may_be_told(self) -> bool:
        """Whether the ends of calls may be told here: its peer reads on, as far as is known."""
        if self.closed or self.finishing:
            return False
        match self.peer_state():
            case PeerState.GONE:
                return False
            case PeerState.DONE:
                return self.done and self.owner.clock() - self.done_at >= PROGRESS_COMES_BACK
            case PeerState.THERE:
                return True

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
        return not (self in self.owner.calls.on_conn or self.queue or self.lines.held or not self.done and self.readable())

    def say(self, data: bytes) -> bool:
        """Write a line; whether the connection can still be written."""
        self.put(data)
        heard = not self.finishing and self.peer_state() is not PeerState.GONE
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
        for held in due:
            _, id, kind, left, *more = held
            self.owner.calls.set_up(now, self, id, kind, max(1, left - (now - held.came_at) // 10), *more)
        if due:
            self.held_set_ups = self.held_set_ups[len(due) :]  # not before: with none left the first answer would end it
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
