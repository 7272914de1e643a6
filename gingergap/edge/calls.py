"""What the proxy keeps of a dialog and of its legs between messages."""

from collections.abc import Callable

from ..host import LegEnd
from ..sip.message import Message
from ..sip.transactions import ClientTransaction, ServerTransaction


class Leg:
    """One way tried: an INVITE sent on. `given_up` once its end has been told though it may still answer."""

    __slots__ = ("call", "gw", "far", "place", "serial", "client", "started", "given_up", "over", "tag", "by_datagram", "crossing")

    def __init__(self, call: "Call", gw: int, far: int, place: int, serial: int, started: int) -> None:
        self.call, self.gw, self.far, self.place, self.serial = call, gw, far, place, serial
        self.started = started
        self.client: ClientTransaction | None = None
        self.given_up = self.over = False
        self.tag = ""  # the To tag of the 2xx that counts
        self.crossing = b""  # by which the next proxy's trace names it


class Call:
    """One dialog from its INVITE to its BYE. The INVITE goes once the dialog stands: it is the larger part of
    what a standing dialog would take in memory."""

    __slots__ = (
        "index",
        "server",
        "invite",
        "kind",
        "width",
        "far",
        "key",
        "transit",
        "redialled",
        "leg",
        "legs",
        "answered",
        "stands",
        "how",
        "rsn",
        "arrived",
        "number",
        "crossing",
    )

    def __init__(
        self,
        index: int,
        server: ServerTransaction,
        invite: Message,
        kind: int,
        width: int,
        far: int,
        key: tuple[str, str],
        transit: bool,
        redialled: bool,
        arrived: int,
        number: str,
    ) -> None:
        self.index, self.server, self.kind, self.width, self.far = index, server, kind, width, far
        self.invite: Message | None = invite
        self.key, self.transit, self.redialled, self.arrived = key, transit, redialled, arrived
        self.number = number
        self.crossing = b""  # of the leg of another proxy that it is
        self.leg: Leg | None = None
        self.legs = 0
        self.answered = self.stands = False
        self.how: LegEnd | None = None
        self.rsn = 0


class NoServer:
    """In place of the server transaction of a dialog that stood before this process began."""

    __slots__ = ("owner", "request")

    def __init__(self) -> None:
        self.owner = self.request = None


class Onward:
    """A request within a dialog that is passed on: its server transaction, and the way onward."""

    __slots__ = ("server", "client")

    def __init__(self, server: ServerTransaction) -> None:
        self.server = server
        self.client: ClientTransaction | None = None


class Asked:
    """A probe on its way; `told` is called once with its answer, or with none."""

    __slots__ = ("told",)

    def __init__(self, told: Callable[[Message | None], None]) -> None:
        self.told = told
