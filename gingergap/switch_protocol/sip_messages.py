"""Parser and encoder for the messages between a proxy and a switch: a few methods of SIP over TCP, without I/O.

The switches' SIP has no From, To, tags or branches, so the transactions and dialogs of `sip` cannot be used; its
messages and framing can. A response is matched by `Call-ID` and the method in `CSeq`. Switches do not echo the number in
`CSeq` or the value of `Via`, so responses to two INVITEs of one call can only be told apart by their connection.
"""

import re
from typing import Protocol

from ..sip.fields import q850_cause_of
from ..sip.framing import Framer
from ..sip.message import BadMessageError, Message, parse

MAX_MESSAGE_BYTES = 16_384
ID_PATTERN = re.compile(r"[0-9a-f]{16}\Z")
SDP_LINE_PATTERN = re.compile(rb"[a-z]=")
LINK_STATE_PATTERN = re.compile(rb"NOTIFY [^\r\n]* SIP/2\.0\r\n.*\r\nLink-State: ([^\r\n]*)\r\n", re.DOTALL)


class SwitchMessageHandler(Protocol):
    """Receives what a switch sent on one connection. `report` maps names to values of `Link-State`; empty without one."""

    def answer_received(self, id: str, sdp: str) -> None: ...

    def refusal_received(self, id: str, status: int, fail_word: str, report: dict[str, float]) -> None: ...

    def release_received(self, id: str, cause: int, report: dict[str, float]) -> None: ...

    def report_received(self, report: dict[str, float]) -> None: ...


def parse_report(text: str) -> dict[str, float]:
    """Parse a `Link-State` value like `idle:12;queue:3`; entries that are not numbers are left out."""
    report: dict[str, float] = {}
    for part in text.split(";"):
        name, _, value = part.partition(":")
        try:
            number = float(value)
        except ValueError:
            continue
        if -1e9 < number < 1e9:
            report[name] = number
    return report


class SwitchMessageParser:
    """Parses the messages of one connection. Raises BadMessageError, after which the connection must be closed."""

    def __init__(self, handler: SwitchMessageHandler) -> None:
        self.handler = handler
        self.framer = Framer(MAX_MESSAGE_BYTES, MAX_MESSAGE_BYTES, self._parse)
        self.last_notify = b""

    @property
    def has_partial_message(self) -> bool:
        """Whether the first bytes of an incomplete message have been received."""
        return bool(self.framer.buffer)

    def _parse(self, data: bytes) -> Message | None:
        """A NOTIFY arrives several hundred times a second, the same on several connections: it is not parsed in full."""
        if data.startswith(b"NOTIFY "):
            if data != self.last_notify:
                self.last_notify = data
                link_state = LINK_STATE_PATTERN.match(data)
                if link_state is not None:
                    self.handler.report_received(parse_report(link_state[1].decode("ascii", "replace")))
            return None
        return parse(data, stream=True)

    def feed(self, data: bytes) -> None:
        """Pass the complete messages to the handler; raises BadMessageError."""
        for message in self.framer.iter_messages(data):
            if isinstance(message, BadMessageError):
                raise message
            if message is not None:
                if message.body and SDP_LINE_PATTERN.match(self.framer.buffer):
                    raise BadMessageError("the session description is longer than Content-Length", 400, message)
                self._dispatch(message)
        rest = self.framer.buffer
        if rest and not 65 <= rest[0] <= 90:
            raise BadMessageError("the bytes after the message do not begin another message", 0)

    def _dispatch(self, message: Message) -> None:
        report = parse_report(message.get("Link-State")) if message.has("Link-State") else {}
        id = message.call_id
        if not ID_PATTERN.match(id):
            raise BadMessageError("Call-ID is not 16 hex digits", 400, message)
        if message.method == "BYE":
            self.handler.release_received(id, q850_cause_of(message)[0], report)
        elif message.status >= 200:
            method = message.cseq()[1]
            if method == "INVITE" and message.status < 300:
                self.handler.answer_received(id, _decode_sdp(message))
            elif method == "INVITE":
                self.handler.refusal_received(id, message.status, message.get("Fail-Word"), report)
            elif report:
                self.handler.report_received(report)
        elif message.method and message.method not in ("ACK", "OPTIONS"):
            raise BadMessageError("a switch sends no such request", 405, message)


def _decode_sdp(message: Message) -> str:
    """The session description of an answer. A truncated or damaged one must never be passed on to a caller."""
    try:
        text = message.body.decode("ascii")
    except UnicodeDecodeError:
        raise BadMessageError("the session description is not ASCII text", 400, message) from None
    lines = text.split("\r\n")
    if "SIP/2.0" in text:
        raise BadMessageError("the session description is truncated and contains the next message", 400, message)
    if len(lines) < 3 or lines[-1] or not text.isascii() or not all(lines[:-1]) or not text.replace("\r\n", "").isprintable():
        raise BadMessageError("the session description is incomplete or damaged", 400, message)
    return text


def _request(method: str, number: str, id: str, cseq: int, fields: str = "", body: bytes = b"") -> bytes:
    return (
        f"{method} sip:{number}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {id}\r\n"
        f"CSeq: {cseq} {method}\r\n{fields}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def invite(number: str, id: str, leg: int, traffic_type: str, answer_within: int, sdp: str) -> bytes:
    """`answer_within`: milliseconds in which the final response is expected."""
    return _request("INVITE", number, id, leg, f"Call-Kind: {traffic_type}\r\nAnswer-Within: {answer_within}\r\n", sdp.encode())


def ack(number: str, id: str, leg: int) -> bytes:
    return _request("ACK", number, id, leg)


def cancel(number: str, id: str, leg: int) -> bytes:
    return _request("CANCEL", number, id, leg)


def bye(number: str, id: str, leg: int, cause: int) -> bytes:
    """`cause`: a cause code of Q.850."""
    return _request("BYE", number, id, leg, f"Reason: Q.850;cause={cause}\r\n")


def bye_response(id: str) -> bytes:
    return (f"SIP/2.0 200 OK\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {id}\r\nCSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n").encode()
