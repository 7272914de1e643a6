"""The calls that callers have named as established before this process began, by id. No I/O.

Nothing but a caller's word tells that they stand, so their number is bounded, and connections from callers share it. Those that
connections have named which are closed by now count as free, and the oldest of them are dropped for others: a call that is
dropped is still released by its switch, and no longer ended with the process of its switch. Times: tenths of a millisecond.
"""

from .fair_share import FairShare
from .wire import Conn

CAPACITY = 8_000  # calls
MAX_DUE = 50  # calls at a time, so that other events are not delayed


class NamedCalls:
    """The ids of the calls, by the connection that named them."""

    def __init__(self) -> None:
        self.share = FairShare(CAPACITY)
        self.by_conn: dict[Conn, dict[str, None]] = {}
        self.of_closed: dict[str, None] = {}  # named on connections that are closed, the oldest first
        self.waiting: dict[str, int] = {}  # by id: until when a call waits for its switch to be listed, in that order

    def admits(self, conn: Conn) -> bool:
        return self.share.admits(conn)

    def add(self, id: str, conn: Conn) -> str | None:
        """Add a call that was admitted. Returns the id of one that is dropped for it."""
        self.share.take(conn)
        self.by_conn.setdefault(conn, {})[id] = None
        if self.share.held + len(self.of_closed) <= CAPACITY:
            return None
        return next(iter(self.of_closed))

    def remove(self, id: str, conn: Conn | None) -> None:
        """Remove a call; `conn`: the connection that named it, None if that is closed."""
        self.waiting.pop(id, None)
        if id in self.of_closed:
            del self.of_closed[id]
            return
        ids = self.by_conn[conn]
        del ids[id]
        self.share.give_back(conn)
        if not ids:
            del self.by_conn[conn]

    def connection_closed(self, conn: Conn) -> list[str]:
        """Returns the ids of the calls that were named on the connection."""
        ids = self.by_conn.pop(conn, {})
        if ids:
            self.share.give_back(conn, len(ids))
        self.of_closed |= ids
        return list(ids)

    def wait_for_list(self, id: str, until: int) -> None:
        self.waiting[id] = until

    def due(self, now: int) -> list[str]:
        """The ids of calls that have waited for long enough, up to MAX_DUE of them; they no longer wait."""
        found = []
        for id, until in self.waiting.items():
            if until > now or len(found) == MAX_DUE:
                break
            found.append(id)
        for id in found:
            del self.waiting[id]
        return found
