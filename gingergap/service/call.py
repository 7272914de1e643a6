"""State of one call in the service."""

from typing import NamedTuple

from .ended_set_ups import EndOfSetUp
from .wire import Conn, Link, ProcessConnection


class CancelledLeg(NamedTuple):
    """A leg that CANCEL was sent for and whose answer may still arrive. `leg` is its number within its call, from 1."""

    gw: int
    leg: int
    number: str


class Call:
    """A call from its set-up until it has ended for its caller and no leg of it is left. Times: tenths of a millisecond."""

    __slots__ = (
        "id",
        "dialog",
        "conn",
        "traffic_type",
        "number",
        "sdp",
        "gw",
        "link",
        "leg_count",
        "used_links",
        "sent_at",
        "answer_deadline",
        "established",
        "finished",
        "circuits",
        "end_reason",
        "resubmitted",
        "forwarded",
        "received_at",
        "invite",
        "doubtful_gws",
        "unreleased_legs",
        "announced",
        "latest_start",
        "connection",
        "owner",
        "held_bytes",
    )

    def __init__(self, id: str, dialog: int, conn: Conn | None, traffic_type: str, number: str, sdp: str, circuits: int) -> None:
        self.id, self.dialog, self.conn = id, dialog, conn
        self.held_bytes = 0  # of memory, while it is open
        self.owner = conn  # also once that connection has closed
        self.traffic_type, self.number, self.sdp, self.circuits = traffic_type, number, sdp, circuits
        self.gw = -1
        self.link: Link | None = None  # the connection of the leg that is out
        self.leg_count = 0
        self.used_links: set[Link] = set()
        self.sent_at = -1  # when the INVITE of the leg was written; -1 while its connection is opening
        self.answer_deadline = 0  # of the leg that is out
        self.received_at = -1
        self.invite = b""  # of the leg that is out
        # `finished`: the set-up has its final answer, or the call has ended; legs may still have to be cleared.
        self.established = self.finished = False
        self.end_reason = EndOfSetUp.ANSWERED
        self.resubmitted = False  # its first connection ended before its answer, and it was sent again on another
        self.forwarded = False  # to a switch, on whatever leg
        self.announced = False  # named by a caller: set up by another process of this proxy; `sent_at` is when it was named
        self.connection: ProcessConnection | None = None  # on which it was answered
        self.latest_start = 0  # of an announced call: the latest start of a switch's process where it can stand
        self.doubtful_gws: set[int] = set()  # switches where a leg that was given up may be established
        self.unreleased_legs: list[CancelledLeg] = []  # answered after their CANCEL, at the switch of a later leg
