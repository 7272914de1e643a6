"""What the host of the controller in service asks of whoever owns its sockets."""

from collections.abc import Hashable
from typing import Protocol

Conn = Hashable
Link = Hashable


class Wire(Protocol):
    """What the owner of the sockets does for its calls. Nothing here blocks or calls back."""

    def record(self, event: str, id: str, **fields: object) -> None:
        """A line for the log about one call: why it was refused, how a leg of it ended, that another was sent."""

    def to_caller(self, conn: Conn, data: bytes) -> bool:
        """On that connection alone; whether it can still be written there."""

    def tell_end(self, conn: Conn | None, data: bytes) -> None:
        """That a call which stood is over: on that connection, or to any caller that may be told, now or when there is one."""

    def has_unread(self, conn: Conn) -> bool:
        """Whether something of a caller stands unread: it may have given up."""

    def turn_away(self, conn: Conn) -> None:
        """Close a caller's connection, unless set-ups are open on it."""

    def served(self, conn: Conn) -> None:
        """A call of this connection stands, so its far end is one of the callers that may be told of calls' ends."""

    def knows(self, conn: Conn) -> None:
        """This connection ended a call that stood, so its peer is one of the callers that may be told of calls' ends."""

    def link_to(self, gw: int, used: set[Link]) -> Link | None:
        """A connection for a set-up, none of those used; perhaps still opening. None: there is no way there."""

    def is_up(self, link: Link) -> bool: ...

    def to_link(self, link: Link, data: bytes) -> bool:
        """Whether it can still be written there."""

    def take_back(self, link: Link, data: bytes) -> bool:
        """Whether what was to be written there waits still, and now is not written."""

    def to_switch(self, gw: int, data: bytes) -> None:
        """On any connection there, or the next that is opened."""

    def spoilt(self, link: Link) -> None:
        """Nothing new on this connection: a set-up on it was never answered."""
