"""What passes between a proxy and a switch: a few methods of SIP over TCP, read into calls, and written.

The switches' SIP has no From, To, tags or branches, so the transactions and dialogs of `sip` can't carry it; its
messages and framing do. `Call-ID` and the method in `CSeq` say what a response answers; numbers in `CSeq` and `Via` are
not echoed, so that answers to two set-ups of one call can only be told apart by the connection.
"""

import re
from typing import Protocol

from ..sip.fields import q850_cause_of
from ..sip.framing import Framer
from ..sip.message import BadMessageError, Message, parse

MOST_MESSAGE = 16_384
ID = re.compile(r"[0-9a-f]{16}\Z")
DESCRIPTION_LINE = re.compile(rb"[a-z]=")
STATE = re.compile(rb"NOTIFY [^\r\n]* SIP/2\.0\r\n.*\r\nLink-State: ([^\r\n]*)\r\n", re.DOTALL)


class Taker(Protocol):
    """Who hears what a switch sent on one connection. `report` is name to figure, empty where none came."""

    def answered(self, id: str, sdp: str) -> None: ...

    def refused(self, id: str, status: int, word: str, report: dict[str, float]) -> None: ...

    def released(self, id: str, cause: int, report: dict[str, float]) -> None: ...

    def reported(self, report: dict[str, float]) -> None: ...


def report_of(text: str) -> dict[str, float]:
    """`x0:12;queue:3`; figures that are none are left out."""
    report: dict[str, float] = {}
    for part in text.split(";"):
        name, _, value = part.partition(":")
        try:
            figure = float(value)
        except ValueError:
            continue
        if -1e9 < figure < 1e9:
            report[name] = figure
    return report


class Reader:
    """What comes on one connection. Raises BadMessageError: the connection is of no further use then."""

    def __init__(self, taker: Taker) -> None:
        self.taker = taker
        self.framer = Framer(MOST_MESSAGE, MOST_MESSAGE, self._read)
        self.last_state = b""

    @property
    def partial(self) -> bool:
        """Whether a message has begun and is not whole."""
        return bool(self.framer.buffer)

    def _read(self, whole: bytes) -> Message | None:
        """States come some hundred times a second, and the same on several connections: they are not parsed in full."""
        if whole.startswith(b"NOTIFY "):
            if whole != self.last_state:
                self.last_state = whole
                state = STATE.match(whole)
                if state is not None:
                    self.taker.reported(report_of(state[1].decode("ascii", "replace")))
            return None
        return parse(whole, stream=True)

    def feed(self, data: bytes) -> None:
        for message in self.framer.iter_messages(data):
            if isinstance(message, BadMessageError):
                raise message
            if message is not None:
                if message.body and DESCRIPTION_LINE.match(self.framer.buffer):
                    raise BadMessageError("the description goes on behind its length", 400, message)
                self._take(message)
        held = self.framer.buffer
        if held and not 65 <= held[0] <= 90:
            raise BadMessageError("what follows begins no message", 0)

    def _take(self, message: Message) -> None:
        report = report_of(message.get("Link-State")) if message.has("Link-State") else {}
        id = message.call_id
        if not ID.match(id):
            raise BadMessageError("Call-ID is not 16 hex digits", 400, message)
        if message.method == "BYE":
            self.taker.released(id, q850_cause_of(message)[0], report)
        elif message.status >= 200:
            method = message.cseq()[1]
            if method == "INVITE" and message.status < 300:
                self.taker.answered(id, _described(message))
            elif method == "INVITE":
                self.taker.refused(id, message.status, message.get("Fail-Word"), report)
            elif report:
                self.taker.reported(report)
        elif message.method and message.method not in ("ACK", "OPTIONS"):
            raise BadMessageError("a switch sends no such request", 405, message)


def _described(message: Message) -> str:
    """An answer's description. One that is cut or damaged must not reach a caller as if it were whole."""
    try:
        text = message.body.decode("ascii")
    except UnicodeDecodeError:
        raise BadMessageError("the description is not text", 400, message) from None
    lines = text.split("\r\n")
    if "SIP/2.0" in text:
        raise BadMessageError("the description is cut, and the next message stands in it", 400, message)
    if len(lines) < 3 or lines[-1] or not text.isascii() or not all(lines[:-1]) or not text.replace("\r\n", "").isprintable():
        raise BadMessageError("the description is not whole", 400, message)
    return text


def _request(method: str, number: str, id: str, cseq: int, fields: str = "", body: bytes = b"") -> bytes:
    return (
        f"{method} sip:{number}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {id}\r\n"
        f"CSeq: {cseq} {method}\r\n{fields}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def invite(number: str, id: str, leg: int, kind: str, within: int, sdp: str) -> bytes:
    """`within`: milliseconds that are waited for the answer."""
    return _request("INVITE", number, id, leg, f"Call-Kind: {kind}\r\nAnswer-Within: {within}\r\n", sdp.encode())


def ack(number: str, id: str, leg: int) -> bytes:
    return _request("ACK", number, id, leg)


def cancel(number: str, id: str, leg: int) -> bytes:
    return _request("CANCEL", number, id, leg)


def bye(number: str, id: str, leg: int, cause: int) -> bytes:
    return _request("BYE", number, id, leg, f"Reason: Q.850;cause={cause}\r\n")


def bye_heard(id: str) -> bytes:
    return (f"SIP/2.0 200 OK\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {id}\r\nCSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n").encode()
