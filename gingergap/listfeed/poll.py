"""One connection to the event bus: questions out, whole and well-formed batches in (HTTP/1.1 by h11, JSON by msgspec).

A batch that breaks off, is no JSON, or whose numbers do not go on is not taken: BadFeedError ends the connection, and
the same question is asked again on another.
"""

from typing import Any

import h11
import msgspec

from ..host import GwState
from ..platform_settings import STATE_BY_NAME

MOST_BODY = 4 << 20
UNITS = 10  # tenths of a millisecond in a millisecond


class BadFeedError(Exception):
    """The bus sent something that can't be used, or broke off."""


class Line(msgspec.Struct):
    """A switch as the list names it; `boot_ms` is its Unix millisecond, 0 for long ago."""

    uid: str
    state: str
    endpoint: str = ""  # wanted of those in service
    pod_group: int = -1
    boot_ms: int = 0


class _Topology(msgspec.Struct):
    targets: list[Line]
    all: bool = False


class _Event(msgspec.Struct):
    offset: int
    topology: _Topology | None = None


class Batch(msgspec.Struct):
    offset: int
    batch: list[_Event]


_decode = msgspec.json.Decoder(Batch).decode


def address_of(text: str) -> tuple[str, int]:
    """`host:port`; raises ValueError."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError(f"{text!r} is not host:port")
    return host, int(port)


def events_after(last: int, batch: Batch) -> list[tuple[int, bool, list[Line]]]:
    """Number, whether it is the whole list, and lines of each event after `last`; raises BadFeedError for what does
    not go on from there or holds a line that can't be used."""
    found = []
    for event in batch.batch:
        if event.offset <= last:
            continue
        last = event.offset
        if event.topology is None:
            found.append((event.offset, False, []))
            continue
        for line in event.topology.targets:
            if line.state not in STATE_BY_NAME or line.boot_ms < 0 or not -1 <= line.pod_group < 1_000_000:
                raise BadFeedError(f"a field of {line.uid!r} makes no sense")
            if STATE_BY_NAME[line.state] == GwState.READY or line.endpoint and STATE_BY_NAME[line.state] == GwState.DRAINING:
                try:
                    address_of(line.endpoint)
                except ValueError as bad:
                    raise BadFeedError(f"field endpoint of {line.uid!r}: {bad}") from None
        found.append((event.offset, event.topology.all, event.topology.targets))
    return found


def state_of(line: Line) -> GwState:
    return STATE_BY_NAME[line.state]


def known_batch(known: Any) -> Batch:
    """The events of a configuration; raises ValueError naming the field."""
    try:
        return msgspec.convert(known, Batch)
    except msgspec.ValidationError as bad:
        raise ValueError(f"field known: {bad}") from None


class Poll:
    """One connection. Ask, then feed until a batch comes; then ask again."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=16_384)
        self.body = bytearray()

    def ask(self, last: int, hold: int) -> bytes:
        """Bytes that ask for what comes after `last`, held for `hold` milliseconds where there is nothing."""
        if self.http.our_state is not h11.IDLE:
            try:
                self.http.start_next_cycle()
            except h11.ProtocolError:
                raise BadFeedError("the bus closes after its answer") from None
        self.body.clear()
        request = h11.Request(method="GET", target=f"/bus/read?from={last}&hold={hold}", headers=[("Host", self.host)])
        return self.http.send(request) + self.http.send(h11.EndOfMessage())

    def feed(self, data: bytes) -> Batch | None:
        """`data` empty: the bus closed. Raises BadFeedError."""
        try:
            self.http.receive_data(data)
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    return None
                if isinstance(event, h11.Response) and event.status_code != 200:
                    raise BadFeedError(f"the bus answers {event.status_code}")
                if isinstance(event, h11.Data):
                    self.body += event.data
                    if len(self.body) > MOST_BODY:
                        raise BadFeedError("the answer is over the size limit")
                elif isinstance(event, h11.EndOfMessage):
                    return _decode(self.body)
                elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                    raise BadFeedError("the bus closed")
        except (h11.ProtocolError, msgspec.MsgspecError) as bad:
            raise BadFeedError(str(bad)) from None
