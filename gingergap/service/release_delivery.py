"""Delivery of the ends of calls: the releases that are owed to callers, until each is written on a connection of a caller.

A release is settled once it is written on the connection that the call was set up or named on, on a known caller's, or, after a
while, on one that a valid set-up came on. As long as there is none of these, copies go to other connections whose peers may be
callers: all those that only tested or named calls, and one of those that wrote something else. They may also be health checks or
faulty clients, so a copy settles nothing until its connection turns out to be a caller's. Times in seconds.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..caller_protocol import json_lines
from .caller_connection import CallerConnection, Owner
from .fair_share import FairShare

if TYPE_CHECKING:
    from .caller_connections import CallerConnections

KNOWN_CALLER_WAIT = 0.4  # seconds a release waits for a known caller; it is owed within 1 second
UNIDENTIFIED_WAIT = 0.7  # seconds it waits for one that has sent a valid set-up, before it is copied to others
MAX_PENDING_UNKNOWN = 1000  # releases of calls that this process does not know; switches share them
ANSWER_READ_TIME = 1.0  # seconds after an answer in which a release on another connection might be read before it
MAX_RELEASE_DELAY = 0.6  # seconds that a release is delayed for that; it is owed within 1 second
UNKNOWN_SENDER_WAIT = 5.0  # seconds before one of those whose lines show nothing; owed within 8 if it could not be sent before
LINE_WAIT = 1.0  # seconds that a peer has for the rest of a line before a copy that it got is told to others
MAX_COPIES = 400  # written at a time
MAX_COPIES_OF_ONE = 20  # of those, on one connection


@dataclass(slots=True)
class PendingRelease:
    """A release that is not settled. It is written at `not_before` at the earliest. `told_by`: the gw of the switch that sent it,
    which sends it once more on the next connection that is opened; None if this process ended the call. `is_known`: whether this
    process knew the call. `copied_to`: open connections; `is_copied_to_sender`: one of them, or one that has closed, had sent more
    than tests. `sequence`: greater than those of all releases queued before."""

    sequence: int
    queued_at: float
    not_before: float
    id: str
    cause: int
    told_by: int | None
    is_known: bool
    copied_to: set[CallerConnection] = field(default_factory=set)
    is_copied_to_sender: bool = False


class ReleaseDelivery:
    """The releases of one process that are not settled."""

    def __init__(self, owner: Owner, connections: CallerConnections) -> None:
        self.owner, self.connections = owner, connections
        self.by_id: dict[str, PendingRelease] = {}  # in the order of their sequence numbers
        self.last_sequence = 0
        self.unknown_share = FairShare(MAX_PENDING_UNKNOWN)  # of those that are not known, by the switch that sent them

    # --- events ---

    def send(self, conn: CallerConnection | None, id: str, cause: int, told_by: int | None = None, is_known: bool = True) -> None:
        """Send a release on the connection that the call was set up or named on, or on another if that has gone (`None`: on any);
        later if there is none. The other arguments are as of PendingRelease."""
        if id in self.by_id:
            return
        now = not_before = self.owner.seconds()
        if conn is not None and conn.can_receive_release():
            if told_by is not None:
                self.caller_identified(conn)  # a switch knows the call, which a faulty client could not name
        else:
            if conn is not None and conn.finishing:  # its answer may not have been read yet
                not_before = min(conn.answered_at + ANSWER_READ_TIME, now + MAX_RELEASE_DELAY)
            conn = self.connections.known_caller()
        if conn is not None and not_before <= now and self._write(conn, id, cause):
            return
        self.owner.detail_log("release-waits", id=id, cause=cause, callers=len(self.connections), known=conn is not None)
        if not is_known:
            if not self.unknown_share.admits(told_by):
                self.owner.calls.increment("releases of unknown calls dropped")
                return
            self.unknown_share.take(told_by)
        self.last_sequence += 1
        self.by_id[id] = PendingRelease(self.last_sequence, now, not_before, id, cause, told_by, is_known)

    def caller_identified(self, conn: CallerConnection) -> None:
        """The peer of the connection is certainly a caller."""
        conn.is_known_caller = True
        self._settle_copies(conn)

    def set_up_taken(self, conn: CallerConnection) -> None:
        """A valid set-up came on the connection."""
        conn.has_sent_set_up = True
        self._settle_copies(conn)

    def connection_closed(self, conn: CallerConnection) -> None:
        """What was copied there alone is copied to others."""
        if conn.has_copies:
            for release in self.by_id.values():
                release.copied_to.discard(conn)

    def settle(self, id: str) -> None:
        """A release is no longer owed."""
        release = self.by_id.pop(id, None)
        if release is not None and not release.is_known:
            self.unknown_share.give_back(release.told_by)

    def send_pending(self, overdue: bool = False) -> None:
        """Write the releases that are due; all of them when `overdue`, as connections are about to be closed."""
        if not self.by_id:
            return
        now = self.owner.seconds()
        latest = math.inf if overdue else now
        receiver, wait = self.connections.known_caller(), 0.0
        if receiver is None:
            receiver = self.connections.set_up_sender()
            wait = 0.0 if self.owner.is_shutting_down() else KNOWN_CALLER_WAIT
        if receiver is None:
            self._copy_all(now, latest)
            return
        for release in list(self.by_id.values()):
            waited = now - release.queued_at
            if release.not_before > latest or waited < wait or not overdue and self._awaits_line(release, now):
                continue
            if self._write(receiver, release.id, release.cause, waited):
                self.settle(release.id)

    # --- queries ---

    def is_undelivered(self) -> bool:
        """Whether a release is copied to no connection that is open, and there is one that it could be written to."""
        is_one_left = any(not caller.finishing for caller in self.connections.open)
        return is_one_left and any(not release.copied_to for release in self.by_id.values())

    def switches_owing(self) -> set[int]:
        """The gws of the switches that told of calls whose release is not settled."""
        return {release.told_by for release in self.by_id.values() if release.told_by is not None}

    # --- internal ---

    def _settle_copies(self, conn: CallerConnection) -> None:
        if not conn.has_copies:
            return
        conn.has_copies = False
        for release in list(self.by_id.values()):
            if conn in release.copied_to:
                self.settle(release.id)

    def _awaits_line(self, release: PendingRelease, now: float) -> bool:
        """Whether the release was copied to a peer that is in the middle of a line. The rest of the line may show that it is a
        caller, and a release should not be told to a caller twice."""
        return any(
            now - caller.copied_at < LINE_WAIT and caller.is_in_mid_line() and caller.can_receive_release()
            for caller in release.copied_to
        )

    def _write(self, conn: CallerConnection, id: str, cause: int, waited: float = 0.0) -> bool:
        """Returns whether the connection can still be written to."""
        self.owner.detail_log("release-sent", id=id, port=conn.port, waited_ms=round(waited * 1000))
        return conn.send_line(json_lines.encode_release(id, cause))

    def _copy_all(self, now: float, latest: float) -> None:
        """Copy the releases with `not_before` up to `latest` to connections that may be callers'."""
        due = [release for release in self.by_id.values() if release.not_before <= latest]
        able = [caller for caller in self.connections.open if not caller.queue and caller.can_receive_release()]
        waited = [release for release in due if now - release.queued_at >= UNIDENTIFIED_WAIT]
        self._copy_to_testers([caller for caller in able if caller.is_tester(now)], waited, now)
        in_mid_line = next((caller for caller in reversed(able) if caller.is_in_mid_line()), None)
        if in_mid_line is not None:
            self._copy_to_one(in_mid_line, [release for release in waited if not release.is_copied_to_sender], now)
        sender = next((caller for caller in reversed(able) if caller.is_unknown_sender(now)), None)
        if sender is not None:
            late = [release for release in waited if now - release.queued_at >= UNKNOWN_SENDER_WAIT]
            self._copy_to_one(sender, [release for release in late if not release.is_copied_to_sender], now)
        if self.connections.listener is None:  # no other connection will come
            wait = 0.0 if latest == math.inf else KNOWN_CALLER_WAIT
            self._copy_to_last([release for release in due if now - release.queued_at >= wait], now)

    def _copy_to_last(self, releases: list[PendingRelease], now: float) -> None:
        """Copy those that were copied to no open connection, to any that is left."""
        last = self.connections.last_caller()
        if last is not None:
            self._copy_to_one(last, [release for release in releases if not release.copied_to], now)

    def _copy_to_testers(self, testers: list[CallerConnection], releases: list[PendingRelease], now: float) -> None:
        sequences = [release.sequence for release in releases]
        room = MAX_COPIES
        for caller in testers:
            first = bisect_right(sequences, caller.last_copied_release)
            for release in releases[first : first + min(room, MAX_COPIES_OF_ONE)]:
                if not self._copy(caller, release, now):
                    break
                caller.last_copied_release = release.sequence
                room -= 1

    def _copy_to_one(self, sender: CallerConnection, releases: list[PendingRelease], now: float) -> None:
        for release in releases[:MAX_COPIES]:
            if sender in release.copied_to:
                continue
            if not self._copy(sender, release, now):
                return
            release.is_copied_to_sender = True

    def _copy(self, caller: CallerConnection, release: PendingRelease, now: float) -> bool:
        """Returns whether the connection can still be written to."""
        self.owner.detail_log("release-copied", id=release.id, port=caller.port, waited_ms=round((now - release.queued_at) * 1000))
        if not caller.send_line(json_lines.encode_release(release.id, release.cause)):
            return False
        release.copied_to.add(caller)
        caller.has_copies, caller.copied_at = True, now
        return True
