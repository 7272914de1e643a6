"""Finished set-ups by id, kept for as long as their lines may be received again.

Every set-up has an id of its own, also one that a caller retries. The same line is sent again in one case only: its
connection ended before the answer, and the caller repeats the line on another connection.
"""

from collections.abc import Hashable
from enum import Enum

RETENTION_TIME = 100_000  # tenths of a millisecond
MAX_RETAINED = 20_000

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
    a switch, `stood` whether it was established; `expires_at` is in tenths of a millisecond.
    """

    __slots__ = ("reason", "connections", "forwarded", "stood", "expires_at")

    def __init__(self, reason: EndOfSetUp, conn: Conn | None, forwarded: bool, stood: bool, expires_at: int) -> None:
        self.reason, self.forwarded, self.stood, self.expires_at = reason, forwarded, stood, expires_at
        self.connections: set[Conn] = {conn} if conn is not None else set()


class EndedSetUps:
    """Retains up to MAX_RETAINED finished set-ups; the oldest is dropped for a new one. Times: tenths of a millisecond."""

    def __init__(self) -> None:
        self.by_id: dict[str, EndedSetUp] = {}  # in the order of their ends

    def __contains__(self, id: str) -> bool:
        return id in self.by_id

    def get(self, id: str) -> EndedSetUp | None:
        return self.by_id.get(id)

    def add(
        self, now: int, id: str, reason: EndOfSetUp, conn: Conn | None = None, forwarded: bool = False, stood: bool = False
    ) -> None:
        self.by_id.pop(id, None)
        self.by_id[id] = EndedSetUp(reason, conn, forwarded, stood, now + RETENTION_TIME)
        if len(self.by_id) > MAX_RETAINED:
            del self.by_id[next(iter(self.by_id))]

    def remove(self, id: str) -> None:
        self.by_id.pop(id, None)

    def remove_expired(self, now: int) -> None:
        while self.by_id:
            id = next(iter(self.by_id))
            if self.by_id[id].expires_at > now:
                return
            del self.by_id[id]
