"""The state that the proxy keeps of dialogs, legs and other pending requests between messages."""

from collections.abc import Callable

from ..host import LegEnd
from ..sip.message import Message
from ..sip.transactions import ClientTransaction, ServerTransaction


class Leg:
    """One attempt to set a dialog up: an INVITE sent to an exchange, the destination or a tandem.

    `exchange` is its number, `gw` the index of its machine, `index` counts the legs of the dialog, `serial` is unique in the
    process. `given_up` means that the end was reported although an answer may still arrive; `sent_at` is in tenths of a
    millisecond.
    """

    __slots__ = (
        "call",
        "gw",
        "exchange",
        "index",
        "serial",
        "client",
        "sent_at",
        "given_up",
        "finished",
        "tag",
        "by_datagram",
        "trace_id",
    )

    def __init__(self, call: "Call", gw: int, exchange: int, index: int, serial: int, sent_at: int) -> None:
        self.call, self.gw, self.exchange, self.index, self.serial = call, gw, exchange, index, serial
        self.sent_at = sent_at
        self.client: ClientTransaction | None = None
        self.given_up = self.finished = False
        self.tag = ""  # To tag of the first 2xx
        self.trace_id = b""  # id of this leg in the trace of the next proxy


class Call:
    """One dialog from its INVITE to its BYE.

    `key` is Call-ID and the caller's tag, `width` the circuits of the dialog, `destination` the number of the exchange that
    serves the dialled `number`, `arrived_at` in tenths of a millisecond. `leg_end` and `rsn` are those of the last leg.
    `answered` means that the caller has its final response, `established` that it was a 2xx. `invite` is dropped then: it
    would be the larger part of the memory of an established dialog.
    """

    __slots__ = (
        "index",
        "server",
        "invite",
        "traffic_type",
        "width",
        "destination",
        "key",
        "transit",
        "redialled",
        "leg",
        "leg_count",
        "answered",
        "established",
        "leg_end",
        "rsn",
        "arrived_at",
        "number",
        "trace_id",
    )

    def __init__(
        self,
        index: int,
        server: ServerTransaction,
        invite: Message,
        traffic_type: int,
        width: int,
        destination: int,
        key: tuple[str, str],
        transit: bool,
        redialled: bool,
        arrived_at: int,
        number: str,
    ) -> None:
        self.index, self.server, self.traffic_type, self.width, self.destination = index, server, traffic_type, width, destination
        self.invite: Message | None = invite
        self.key, self.transit, self.redialled, self.arrived_at = key, transit, redialled, arrived_at
        self.number = number
        self.trace_id = b""  # id of the leg in the trace of the proxy that sent this dialog
        self.leg: Leg | None = None
        self.leg_count = 0
        self.answered = self.established = False
        self.leg_end: LegEnd | None = None
        self.rsn = 0


class RestoredServer:
    """Stands in for the server transaction of a dialog that was established before this process started."""

    __slots__ = ("owner", "request")

    def __init__(self) -> None:
        self.owner = self.request = None


class ForwardedRequest:
    """A request within a dialog that is forwarded: its server transaction and its client transaction."""

    __slots__ = ("server", "client")

    def __init__(self, server: ServerTransaction) -> None:
        self.server = server
        self.client: ClientTransaction | None = None


class Probe:
    """A pending probe; `on_answer` is called once, with the response or with None if there is none."""

    __slots__ = ("on_answer",)

    def __init__(self, on_answer: Callable[[Message | None], None]) -> None:
        self.on_answer = on_answer
