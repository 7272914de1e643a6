"""Parser and encoder for the callers' JSON lines, without I/O: bytes in, one handler method per message out.

A line is one JSON object terminated by a line feed, 16 KiB at most. A line that cannot be parsed ends its connection
(InvalidLineError). A set-up that can be parsed but holds an invalid field is reported to the handler as
`set_up_invalid`, so that it can be refused under its own id. Whether the traffic type and the exchange of a set-up exist
in the deployment is not checked here.
"""

import re
from collections import deque
from collections.abc import Iterator
from enum import Enum
from typing import Protocol

import msgspec

MAX_LINE_BYTES = 16_384
MAX_INTEGER = 1_000_000_000
ID_PATTERN = re.compile(r"[0-9a-f]{16}\Z")
NUMBER_PATTERN = re.compile(r"[0-9A-Za-z_.+-]{1,64}\Z")  # copied into a SIP URI: no character that could end the URI
INTEGER_PATTERN = re.compile(r"-?[0-9]{1,10}\Z")
# The last three are accepted from callers and ignored.
MESSAGE_TYPES = frozenset({"setup", "release", "ping", "released", "progress", "pong"})
SDP_PATTERN = re.compile(r"[\t\r\n -~]+\Z")


class InvalidLineError(Exception):
    """The bytes received are not a valid line; the connection must be closed."""


class _CallerMessage(msgspec.Struct):
    type: str
    id: str = ""
    fields: dict[str, str | int | float] = {}  # noqa: RUF012 - msgspec copies it
    cause: int | None = None
    sdp: str | None = None


class _DiscardReason(Enum):
    """Why a set-up is discarded, judging by the lines received together with it."""

    WITHDRAWN = "its release was received with it"
    DUPLICATE_ID = "its id comes twice"
    INVALID_LINE_FOLLOWS = "what follows it can't be read"


_decode = msgspec.json.Decoder(_CallerMessage).decode
_encode = msgspec.json.Encoder().encode


class CallerLineHandler(Protocol):
    """Receives the parsed messages, one call for each line."""

    def set_up_received(
        self,
        id: str,
        traffic_type: str,
        time_left: int,
        number: str,
        destination: int,
        circuits: int,
        advised_tandem: int,
        transit: bool,
        redialled: bool,
        after_cut: bool,
        sdp: str,
    ) -> None:
        """A request to set a call up within `time_left` milliseconds. `advised_tandem` is an exchange number, -1 for none;
        `after_cut`: the caller sets up a call again that had been established and was cut."""

    def call_announced(self, id: str, traffic_type: str, number: str, switch: str) -> None:
        """A call that is already established at `switch`; no answer is expected."""

    def release_received(self, id: str, cause: int) -> None: ...

    def ping_received(self, id: str) -> None: ...

    def set_up_withdrawn(self, id: str) -> None:
        """A set-up was received together with its release, so no answer is expected."""

    def set_up_invalid(self, id: str, reason: str) -> None: ...


def _parse_line(line: bytes) -> _CallerMessage:
    """Raises InvalidLineError."""
    try:
        message = _decode(line)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise InvalidLineError(f"not a line of a caller: {error}") from None
    if not ID_PATTERN.match(message.id):
        raise InvalidLineError("field id is not 16 hex digits")
    if message.type not in MESSAGE_TYPES:
        raise InvalidLineError("field type names nothing that a caller sends")
    return message


def _is_set_up_request(message: _CallerMessage) -> bool:
    """Whether the message asks for a new call, as opposed to announcing one that is already established."""
    extras = str(message.fields.get("extras", "")).split(";")
    return message.type == "setup" and not any(part.startswith("at:") for part in extras)


def _discarded_set_ups(messages: list[_CallerMessage]) -> dict[int, _DiscardReason]:
    """Finds the set-ups to discard among messages received together; keys are indices into `messages`."""
    discarded: dict[int, _DiscardReason] = {}
    indices: dict[str, list[int]] = {}  # by id: set-ups since the last release of that id
    for index, message in enumerate(messages):
        if _is_set_up_request(message):
            indices.setdefault(message.id, []).append(index)
            if len(indices[message.id]) > 1:
                discarded |= dict.fromkeys(indices[message.id], _DiscardReason.DUPLICATE_ID)
        elif message.type == "release":
            discarded |= dict.fromkeys(indices.pop(message.id, ()), _DiscardReason.WITHDRAWN)
    return discarded


class CallerLineParser:
    """Parses the lines of one connection."""

    def __init__(self, handler: CallerLineHandler, max_line_bytes: int = MAX_LINE_BYTES) -> None:
        self.handler, self.max_line_bytes = handler, max_line_bytes
        self.buffer = bytearray()  # an incomplete line
        self.pending: deque[tuple[_CallerMessage, _DiscardReason | None]] = deque()
        self.failure: InvalidLineError | None = None  # raised once the pending messages are passed on

    def feed(self, data: bytes) -> None:
        """Pass the complete lines to the handler. Raises InvalidLineError after the lines before the invalid one were passed."""
        self.receive(data)
        while self.has_pending():
            self.dispatch(len(self.pending))

    def receive(self, data: bytes) -> None:
        """Take the lines of one read; `dispatch` passes them to the handler.

        All lines of one read are examined before the first is passed on: a set-up whose release follows is reported as
        withdrawn, and set-ups that share an id are all refused, since an answer could not be assigned to one of them.
        """
        messages: list[_CallerMessage] = []
        try:
            for line in self._complete_lines(data):
                messages.append(_parse_line(line))
        except InvalidLineError as error:
            self.failure = error
        discarded = _discarded_set_ups(messages)
        if self.failure is not None:  # the connection is about to be closed, which would cancel these set-ups at once
            discarded = {
                index: _DiscardReason.INVALID_LINE_FOLLOWS for index, message in enumerate(messages) if _is_set_up_request(message)
            } | discarded
        self.pending += [(message, discarded.get(index)) for index, message in enumerate(messages)]

    def has_pending(self) -> bool:
        """Whether `dispatch` has messages to pass on, or an invalid line to report."""
        return bool(self.pending) or self.failure is not None

    def dispatch(self, max_messages: int) -> None:
        """Pass up to `max_messages` on. Raises InvalidLineError after the last one before an invalid line."""
        for _ in range(max_messages):
            if not self.pending:
                break
            self._dispatch(*self.pending.popleft())
        if not self.pending and self.failure is not None:
            failure, self.failure = self.failure, None
            raise failure

    def discard(self) -> None:
        """The connection is closed: nothing more is passed on."""
        self.buffer.clear()
        self.pending.clear()
        self.failure = None

    def _complete_lines(self, data: bytes) -> Iterator[bytes]:
        """Add `data` to the incomplete line, and yield the complete ones; raises InvalidLineError for one over the size limit."""
        end = data.rfind(b"\n")
        if end >= 0:
            lines = (bytes(self.buffer) + data[:end]).split(b"\n")
            self.buffer.clear()
            data = data[end + 1 :]
            for line in lines:
                if len(line) > self.max_line_bytes:
                    raise InvalidLineError("a line over the size limit")
                if line.strip():
                    yield line
        self.buffer += data
        if len(self.buffer) > self.max_line_bytes:
            raise InvalidLineError("a line over the size limit")

    def _dispatch(self, message: _CallerMessage, discard_reason: _DiscardReason | None) -> None:
        match message.type:
            case "setup" if discard_reason is _DiscardReason.WITHDRAWN:
                self.handler.set_up_withdrawn(message.id)
            case "setup" if discard_reason is not None:
                self.handler.set_up_invalid(message.id, discard_reason.value)
            case "setup":
                self._dispatch_set_up(message)
            case "release":
                self.handler.release_received(
                    message.id, message.cause if message.cause is not None and 0 <= message.cause < 128 else 16
                )
            case "ping":
                self.handler.ping_received(message.id)

    def _dispatch_set_up(self, message: _CallerMessage) -> None:
        fields = message.fields
        try:
            traffic_type, number = str(fields.get("class", "")), str(fields.get("key", ""))
            extras = _parse_extras(str(fields.get("extras", "")))
            if not NUMBER_PATTERN.match(number):
                raise ValueError("key")
            if not NUMBER_PATTERN.match(traffic_type):
                raise ValueError("class")
            if "at" in extras:
                if not NUMBER_PATTERN.match(extras["at"]):
                    raise ValueError("extras.at")
                self.handler.call_announced(message.id, traffic_type, number, extras["at"])
                return
            time_left = _parse_integer(fields.get("left"), "left", 1)
            destination = _parse_integer(extras.get("dest"), "extras.dest", 0)
            circuits = _parse_integer(extras.get("width"), "extras.width", 1)
            advised_tandem = _parse_integer(extras.get("via", "-1"), "extras.via", -1)
            transit = _parse_integer(extras.get("transit", "0"), "extras.transit", 0) > 0
            after_cut = _parse_integer(extras.get("again", "0"), "extras.again", 0) > 0
            redialled = _parse_integer(fields.get("retry", "0"), "retry", 0) > 0
            if not message.sdp or not SDP_PATTERN.match(message.sdp):
                raise ValueError("sdp")
        except ValueError as error:
            self.handler.set_up_invalid(message.id, f"field {error} is missing or makes no sense")
            return
        self.handler.set_up_received(
            message.id,
            traffic_type,
            time_left,
            number,
            destination,
            circuits,
            advised_tandem,
            transit,
            redialled,
            after_cut,
            message.sdp,
        )


def _parse_extras(text: str) -> dict[str, str]:
    """Parse `name:value;name:value`; raises ValueError with the field's name."""
    found: dict[str, str] = {}
    for part in text.split(";"):
        name, colon, value = part.partition(":")
        if not colon or name in found:
            raise ValueError("extras")
        found[name] = value
    return found


def _parse_integer(value: object, name: str, minimum: int) -> int:
    """An integer from `minimum` to MAX_INTEGER, also as text; raises ValueError with the field's name."""
    if isinstance(value, float):
        raise ValueError(name)
    text = str(value)
    if not INTEGER_PATTERN.match(text) or not minimum <= int(text) <= MAX_INTEGER:
        raise ValueError(name)
    return int(text)


def encode_answer(id: str, sdp: str) -> bytes:
    return _encode({"type": "answer", "id": id, "fields": {}, "sdp": sdp}) + b"\n"


def encode_release(id: str, cause: int, wait: int = 0) -> bytes:
    """`wait`: milliseconds before the caller may try again; 0 for none."""
    return _encode({"type": "release", "id": id, "fields": {"wait": str(wait)} if wait else {}, "cause": cause}) + b"\n"


def encode_progress(id: str) -> bytes:
    return _encode({"type": "progress", "id": id, "fields": {}}) + b"\n"


def encode_released(id: str) -> bytes:
    return _encode({"type": "released", "id": id, "fields": {}}) + b"\n"


def encode_pong(id: str, passed: bool) -> bytes:
    return _encode({"type": "pong", "id": id, "fields": {}, "cause": int(passed)}) + b"\n"
