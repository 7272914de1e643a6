"""What `Calls` requires of the owner of its sockets."""

from collections.abc import Hashable
from typing import NamedTuple, Protocol

Conn = Hashable  # a connection from a caller
Link = Hashable  # a connection to a switch


class OpenConnection(NamedTuple):
    """An open connection to a switch: when it was made, and when something was last read on it (tenths of a millisecond)."""

    up_at: int
    last_read_at: int


class Wire(Protocol):
    """Sends for `Calls`. No method blocks or calls back."""

    def log_call(self, event: str, id: str, **fields: object) -> None:
        """Log an event of one call: why it was refused, how a leg ended, that another leg was sent."""

    def send_to_caller(self, conn: Conn, data: bytes) -> bool:
        """Write to that connection only. Returns whether it can still be written to."""

    def send_release(self, conn: Conn | None, id: str, cause: int) -> None:
        """Report the end of an established call on that connection, else to any caller able to receive it, now or later."""

    def has_unread(self, conn: Conn) -> bool:
        """Whether bytes from the caller wait to be read; they may withdraw its set-up."""

    def half_close_unused(self, conn: Conn) -> None:
        """Half-close a caller's connection, unless set-ups are open on it."""

    def call_established(self, conn: Conn) -> None:
        """A call of this connection is established, so its peer is a caller that may be sent releases of other calls."""

    def caller_identified(self, conn: Conn) -> None:
        """This connection ended a call that stands or has stood: its peer is a caller, and may be sent releases of others."""

    def choose_link(self, gw: int, used_links: set[Link]) -> Link | None:
        """A connection to the switch for a new leg, none of `used_links`; it may still be opening. None: unreachable."""

    def is_up(self, link: Link) -> bool: ...

    def open_connections(self, gw: int) -> list[OpenConnection]:
        """The connections to the address of the switch that have been made."""

    def send_on_link(self, link: Link, data: bytes) -> bool:
        """Returns whether the connection can still be written to."""

    def withdraw_unsent(self, link: Link, data: bytes) -> bool:
        """Remove `data` from the connection's write queue. Returns whether it was still there."""

    def send_to_switch(self, gw: int, data: bytes) -> None:
        """Write on any connection to the switch, or on the next that is opened."""

    def retire_link(self, link: Link) -> None:
        """Send no further set-up on this connection: a set-up on it was never answered."""
