"""Client side of the event bus's long poll, without I/O (HTTP/1.1 by h11, JSON by msgspec).

An incomplete or invalid batch is discarded: EventBusError ends the connection, and the same request is sent again on
another.
"""

from typing import Any

import h11
import msgspec

from ..host import GwState
from ..platform_settings import STATE_BY_NAME

MAX_BODY_BYTES = 4 << 20
UNITS_PER_MS = 10  # tenths of a millisecond


class EventBusError(Exception):
    """The event bus sent an invalid response, or closed the connection before the response was complete."""


class ListedSwitch(msgspec.Struct):
    """A switch as the exchange list describes it. `boot_ms`: Unix milliseconds of its start, 0 if that is long ago."""

    uid: str
    state: str
    endpoint: str = ""  # host:port; required of a switch in service
    pod_group: int = -1  # number of the exchange
    boot_ms: int = 0


class _Topology(msgspec.Struct):
    targets: list[ListedSwitch]
    all: bool = False


class _Event(msgspec.Struct):
    offset: int
    topology: _Topology | None = None


class Batch(msgspec.Struct):
    """The body of a response: events in the order of their offsets."""

    offset: int
    batch: list[_Event]


_decode = msgspec.json.Decoder(Batch).decode


def parse_address(text: str) -> tuple[str, int]:
    """Parse `host:port`; raises ValueError."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError(f"{text!r} is not host:port")
    return host, int(port)


def events_after(last_offset: int, batch: Batch) -> list[tuple[int, bool, list[ListedSwitch]]]:
    """The events after `last_offset` as (offset, whether it is the whole list, switches).

    Raises EventBusError for an event that names an invalid state, number or address.
    """
    found = []
    for event in batch.batch:
        if event.offset <= last_offset:
            continue
        last_offset = event.offset
        if event.topology is None:
            found.append((event.offset, False, []))
            continue
        for entry in event.topology.targets:
            if entry.state not in STATE_BY_NAME or entry.boot_ms < 0 or not -1 <= entry.pod_group < 1_000_000:
                raise EventBusError(f"a field of {entry.uid!r} is out of range")
            if STATE_BY_NAME[entry.state] == GwState.READY or entry.endpoint and STATE_BY_NAME[entry.state] == GwState.DRAINING:
                try:
                    parse_address(entry.endpoint)
                except ValueError as error:
                    raise EventBusError(f"field endpoint of {entry.uid!r}: {error}") from None
        found.append((event.offset, event.topology.all, event.topology.targets))
    return found


def state_of(entry: ListedSwitch) -> GwState:
    return STATE_BY_NAME[entry.state]


def parse_known_batch(known: Any) -> Batch:
    """Convert the initial events of a configuration; raises ValueError naming the field."""
    try:
        return msgspec.convert(known, Batch)
    except msgspec.ValidationError as error:
        raise ValueError(f"field known: {error}") from None


class LongPoll:
    """One connection. Call `request`, then `feed` until it returns a batch; then `request` again."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=16_384)
        self.body = bytearray()

    def request(self, last_offset: int, hold: int) -> bytes:
        """The bytes of a request for the events after `last_offset`; the bus delays an empty response by `hold` milliseconds.

        Raises EventBusError where the bus closes its connection after each response.
        """
        if self.http.our_state is not h11.IDLE:
            try:
                self.http.start_next_cycle()
            except h11.ProtocolError:
                raise EventBusError("the event bus closes the connection after its response") from None
        self.body.clear()
        request = h11.Request(method="GET", target=f"/bus/read?from={last_offset}&hold={hold}", headers=[("Host", self.host)])
        return self.http.send(request) + self.http.send(h11.EndOfMessage())

    def feed(self, data: bytes) -> Batch | None:
        """Returns the batch once the response is complete. Empty `data`: the bus closed. Raises EventBusError."""
        try:
            self.http.receive_data(data)
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    return None
                if isinstance(event, h11.Response) and event.status_code != 200:
                    raise EventBusError(f"the event bus responded with status {event.status_code}")
                if isinstance(event, h11.Data):
                    self.body += event.data
                    if len(self.body) > MAX_BODY_BYTES:
                        raise EventBusError("the response exceeds the size limit")
                elif isinstance(event, h11.EndOfMessage):
                    return _decode(self.body)
                elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                    raise EventBusError("the event bus closed the connection")
        except (h11.ProtocolError, msgspec.MsgspecError) as error:
            raise EventBusError(str(error)) from None
