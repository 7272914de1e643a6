"""A call in service, as plain state."""

from typing import NamedTuple

from .ended_set_ups import EndOfSetUp
from .wire import Conn, Link


class CalledOffLeg(NamedTuple):
    """A leg that CANCEL was sent for; its answer may still come. `leg` is its number within its call, from 1."""

    gw: int
    leg: int
    number: str


class Call:
    """A call from its set-up to its last word."""

    __slots__ = (
        "id",
        "dialog",
        "conn",
        "kind",
        "number",
        "sdp",
        "gw",
        "link",
        "legs",
        "used",
        "sent_at",
        "until",
        "stands",
        "over",
        "width",
        "how_ended",
        "taken_again",
        "forwarded",
        "came_at",
        "invite",
        "doubtful",
        "unreleased",
    )

    def __init__(self, id: str, dialog: int, conn: Conn | None, kind: str, number: str, sdp: str, width: int) -> None:
        self.id, self.dialog, self.conn = id, dialog, conn
        self.kind, self.number, self.sdp, self.width = kind, number, sdp, width
        self.gw = -1
        self.link: Link | None = None
        self.legs = 0
        self.used: set[Link] = set()
        self.sent_at = -1  # when the leg was written; -1 while its connection is opening
        self.until = 0
        self.came_at = -1
        self.invite = b""  # of the leg that is out
        self.stands = self.over = False
        self.how_ended = EndOfSetUp.ANSWERED
        self.taken_again = False  # its connection had ended before its answer, and it came once more
        self.forwarded = False  # to a switch, on whatever leg
        self.doubtful: set[int] = set()  # switches (gw) where a leg that was given up may stand
        self.unreleased: list[CalledOffLeg] = []  # answered after they were called off, at the switch of a later leg
