"""What `Calls` requires of the owner of its sockets."""

from collections.abc import Hashable
from dataclasses import dataclass
from typing import Protocol

Conn = Hashable  # a connection from a caller
Link = Hashable  # a connection to a switch


@dataclass(slots=True, eq=False)
class ProcessConnection:
    """A connection to a process of a switch, as kept with the calls answered on it. The same process is at its other end from
    `up_at` to `closed_at`, whichever switch listens at the address later. Times: tenths of a millisecond; 0 for not yet."""

    gw: int  # the switch that it was opened for
    address: str  # host:port
    own_port: int = 0
    up_at: int = 0
    last_read_at: int = 0
    closed_at: int = 0
    standing_calls: int = 0  # answered on it and not ended


class Wire(Protocol):
    """Sends for `Calls`. No method blocks or calls back."""

    def log_call(self, event: str, id: str, **fields: object) -> None:
        """Log an event of one call: why it was refused, how a leg ended, that another leg was sent."""

    def send_to_caller(self, conn: Conn, data: bytes) -> bool:
        """Write to that connection only. Returns whether it can still be written to."""

    def send_release(self, conn: Conn | None, id: str, cause: int, told_by: int | None = None, is_known: bool = True) -> None:
        """Report the end of an established call on that connection, else to any caller able to receive it, now or later.
        `told_by`: the gw of the switch that told it; `is_known`: whether this process knew the call."""

    def is_release_pending(self, id: str) -> bool:
        """Whether the end of that call is still owed to its caller."""

    def settle_release(self, id: str) -> None:
        """The end of that call is no longer owed, if it was: its caller has ended it itself."""

    def has_unread(self, conn: Conn) -> bool:
        """Whether bytes from the caller wait to be read; they may withdraw its set-up."""

    def half_close_unused(self, conn: Conn) -> None:
        """Half-close a caller's connection, unless set-ups are open on it."""

    def call_established(self, conn: Conn) -> None:
        """A call of this connection is established, so its peer is a caller that may be sent releases of other calls."""

    def set_up_taken(self, conn: Conn) -> None:
        """A valid set-up came on this connection, so its peer may be sent releases of other calls if no known caller is there."""

    def caller_identified(self, conn: Conn) -> None:
        """This connection ended or named a call that stands or has stood: its peer is a caller, and may be sent releases of
        others."""

    def choose_link(self, gw: int, used_links: set[Link]) -> Link | None:
        """A connection to the switch for a new leg, none of `used_links`; it may still be opening. None: unreachable."""

    def is_up(self, link: Link) -> bool: ...

    def connection(self, link: Link) -> ProcessConnection: ...

    def open_connections(self, address: str) -> list[ProcessConnection]:
        """The connections to an address that have been made, whichever switch they were opened for."""

    def send_on_link(self, link: Link, data: bytes) -> bool:
        """Returns whether the connection can still be written to."""

    def send_on_connection(self, connection: ProcessConnection, data: bytes) -> bool:
        """Returns whether it was written: the connection is open."""

    def withdraw_unsent(self, link: Link, data: bytes) -> bool:
        """Remove `data` from the connection's write queue. Returns whether it was still there."""

    def send_to_switch(self, gw: int, data: bytes, owner: Conn | None = None) -> None:
        """Write on any connection to the switch, or on the next that is opened. `owner`: the caller's connection that it is sent
        for; they share the room for messages that wait."""

    def retire_link(self, link: Link) -> None:
        """Send no further set-up on this connection: a set-up on it was never answered."""
