"""Set-ups that are over, by id, for as long as their lines may still come again.

Every set-up has an id of its own, a caller's retry included. The same line may come again in one case only: its connection
ended before its answer, and it comes once more on another.
"""

from collections.abc import Hashable
from enum import Enum

REMEMBERED = 100_000  # tenths of a millisecond
MOST_REMEMBERED = 20_000

Conn = Hashable


class EndOfSetUp(Enum):
    """How a set-up was over for its caller."""

    ANSWERED = "it had its final answer"
    GIVEN_UP = "its caller gave it up"
    CONNECTION_GONE = "its connection ended first"
    ELSEWHERE = "another process took it, and a switch told its end here"


class EndedSetUp:
    """One of them. `connections`: those that have had a word on it, or are owed none; `forwarded`: it was sent to a switch."""

    __slots__ = ("how", "connections", "forwarded", "forget_at")

    def __init__(self, how: EndOfSetUp, conn: Conn | None, forwarded: bool, forget_at: int) -> None:
        self.how, self.forwarded, self.forget_at = how, forwarded, forget_at
        self.connections: set[Conn] = {conn} if conn is not None else set()


class EndedSetUps:
    """Times are tenths of a millisecond; the oldest goes where there are too many."""

    def __init__(self) -> None:
        self.by_id: dict[str, EndedSetUp] = {}

    def __contains__(self, id: str) -> bool:
        return id in self.by_id

    def get(self, id: str) -> EndedSetUp | None:
        return self.by_id.get(id)

    def add(self, now: int, id: str, how: EndOfSetUp, conn: Conn | None = None, forwarded: bool = False) -> None:
        self.by_id.pop(id, None)
        self.by_id[id] = EndedSetUp(how, conn, forwarded, now + REMEMBERED)
        if len(self.by_id) > MOST_REMEMBERED:
            del self.by_id[next(iter(self.by_id))]

    def remove(self, id: str) -> None:
        self.by_id.pop(id, None)

    def forget(self, now: int) -> None:
        """Drop those whose time is over; they stand in the order in which they ended."""
        while self.by_id:
            id = next(iter(self.by_id))
            if self.by_id[id].forget_at > now:
                return
            del self.by_id[id]
