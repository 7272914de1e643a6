"""Finished set-ups by id, kept for as long as their lines may be received again.

Every set-up has an id of its own, also one that a caller retries. The same line is sent again in one case only: its
connection ended before the answer, and the caller repeats the line on another connection.

What was forwarded to a switch must not run there again, so it is kept for its whole time whatever else ends: when too many of
them are kept, new set-ups are not admitted. The others never ran, and the oldest are dropped for new ones; a connection that has
more than an eighth of them makes room itself.
"""

from collections.abc import Hashable
from enum import Enum

from .fair_share import FairShare, Owner

RETENTION_TIME = 100_000  # tenths of a millisecond
RELEASE_RETENTION_TIME = 600_000  # tenths of a millisecond; a switch repeats a release on the next connection that is opened
MAX_RELEASED = 20_000  # calls whose release may be repeated
MAX_FORWARDED = 20_000  # set-ups that were forwarded to a switch; connections share them
MAX_RETAINED = 20_000  # other set-ups
MAX_OF_ONE_OWNER = MAX_RETAINED // 8  # of those, where no more are kept

Conn = Hashable


class EndOfSetUp(Enum):
    """How a set-up ended for its caller."""

    ANSWERED = "a final answer was sent"
    GIVEN_UP = "the caller gave it up"
    CONNECTION_GONE = "its connection ended before the answer"
    ELSEWHERE = "another process accepted it, and a switch reported its end here"


class EndedSetUp:
    """A finished set-up.

    `connections` are those on which it was answered, or on which no answer is owed; `forwarded` says whether it was sent to
    a switch, `stood` whether it was established; `owner` had it, a connection or a switch; `expires_at` is in tenths of a
    millisecond.
    """

    __slots__ = ("reason", "connections", "forwarded", "stood", "owner", "expires_at")

    def __init__(
        self, reason: EndOfSetUp, connections: tuple[Conn, ...], forwarded: bool, stood: bool, owner: Owner, expires_at: int
    ) -> None:
        self.reason, self.connections, self.forwarded, self.stood = reason, connections, forwarded, stood
        self.owner, self.expires_at = owner, expires_at


class EndedSetUps:
    """The finished set-ups, in the order of their ends. Times: tenths of a millisecond."""

    def __init__(self) -> None:
        self.by_id: dict[str, EndedSetUp] = {}
        self.forwarded_share = FairShare(MAX_FORWARDED)
        self.released: dict[str, int] = {}  # calls that stood: until when their release may be repeated
        self.others: dict[str, None] = {}  # ids of those that were not forwarded
        self.others_by_owner: dict[Owner, dict[str, None]] = {}

    def __contains__(self, id: str) -> bool:
        return id in self.by_id

    def __len__(self) -> int:
        return len(self.by_id)

    def get(self, id: str) -> EndedSetUp | None:
        return self.by_id.get(id)

    def knows_release(self, id: str) -> bool:
        """Whether a release of the call by a switch is not news: it has ended."""
        return id in self.by_id or id in self.released

    def admits(self, conn: Conn) -> bool:
        """Whether there is room for another set-up of the connection that may be forwarded."""
        return self.forwarded_share.admits(conn)

    def add(
        self,
        now: int,
        id: str,
        reason: EndOfSetUp,
        conn: Conn | None = None,
        forwarded: bool = False,
        stood: bool = False,
        owner: Owner = None,
    ) -> None:
        """Add a set-up of `owner`, by default of the connection."""
        self.remove(id)
        owner = conn if owner is None else owner
        connections = (conn,) if conn is not None else ()
        self.by_id[id] = EndedSetUp(reason, connections, forwarded, stood, owner, now + RETENTION_TIME)
        if stood:
            self.released[id] = now + RELEASE_RETENTION_TIME
            if len(self.released) > MAX_RELEASED:
                del self.released[next(iter(self.released))]
        if forwarded:
            self.forwarded_share.take(owner)
            return
        of_owner = self.others_by_owner.setdefault(owner, {})
        self.others[id] = of_owner[id] = None
        if len(self.others) > MAX_RETAINED:
            self.remove(next(iter(of_owner if len(of_owner) > MAX_OF_ONE_OWNER else self.others)))

    def remove(self, id: str) -> None:
        ended = self.by_id.pop(id, None)
        if ended is None:
            return
        if ended.forwarded:
            self.forwarded_share.give_back(ended.owner)
            return
        del self.others[id]
        of_owner = self.others_by_owner[ended.owner]
        del of_owner[id]
        if not of_owner:
            del self.others_by_owner[ended.owner]

    def remove_expired(self, now: int) -> None:
        while self.released and self.released[next(iter(self.released))] <= now:
            del self.released[next(iter(self.released))]
        while self.by_id:
            id = next(iter(self.by_id))
            if self.by_id[id].expires_at > now:
                return
            self.remove(id)
