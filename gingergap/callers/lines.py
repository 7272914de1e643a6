"""The callers' lines: bytes in, calls on whoever takes them; and the lines that go back.

A line is one JSON object ended by a line feed, 16 KiB at most. What can't be read ends its connection
(BadCallerError); a set-up that can be read but holds a figure that makes no sense is told as `unusable`, so that it
can be refused under its own id. What a deployment allows (its traffic types, its exchanges) is not known here.
"""

import re
from typing import Protocol

import msgspec

MOST_LINE = 16_384
MOST_FIGURE = 1_000_000_000
ID = re.compile(r"[0-9a-f]{16}\Z")
NUMBER = re.compile(r"[0-9A-Za-z_.+-]{1,64}\Z")  # goes into a SIP URI: nothing that could end it
WHOLE = re.compile(r"-?[0-9]{1,10}\Z")
DESCRIBED = re.compile(r"[\t\r\n -~]+\Z")


class BadCallerError(Exception):
    """Bytes that are no line of a caller; the connection is to be closed."""


class _Line(msgspec.Struct):
    type: str
    id: str = ""
    fields: dict[str, str | int | float] = {}  # noqa: RUF012 - msgspec copies it
    cause: int | None = None
    sdp: str | None = None


_read = msgspec.json.Decoder(_Line).decode
_write = msgspec.json.Encoder().encode


class Taker(Protocol):
    """Who hears what came, a call a line."""

    def set_up(
        self,
        id: str,
        kind: str,
        left: int,
        number: str,
        far: int,
        width: int,
        advised: int,
        transit: bool,
        redialled: bool,
        cut: bool,
        sdp: str,
    ) -> None:
        """`left` in milliseconds; `advised` -1 for none."""

    def stands_at(self, id: str, kind: str, number: str, switch: str) -> None:
        """A call that stands already, at that switch; no answer is wanted."""

    def released(self, id: str, cause: int) -> None: ...

    def pinged(self, id: str) -> None: ...

    def unusable(self, id: str, why: str) -> None: ...


class Lines:
    """The lines of one connection."""

    def __init__(self, taker: Taker, most_line: int = MOST_LINE) -> None:
        self.taker, self.most_line = taker, most_line
        self.held = bytearray()
        self.searched = 0

    def feed(self, data: bytes) -> None:
        """Tell what is whole now; raises BadCallerError. What stood before the fault has been told."""
        self.held += data
        while True:
            end = self.held.find(b"\n", self.searched)
            if end < 0 and len(self.held) <= self.most_line:
                self.searched = len(self.held)
                return
            if end < 0 or end > self.most_line:
                raise BadCallerError("a line over the size limit")
            line = bytes(self.held[:end])
            del self.held[: end + 1]
            self.searched = 0
            if line.strip():
                self._take(line)

    def _take(self, line: bytes) -> None:
        try:
            told = _read(line)
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as bad:
            raise BadCallerError(f"not a line of a caller: {bad}") from None
        if not ID.match(told.id):
            raise BadCallerError("field id is not 16 hex digits")
        match told.type:
            case "setup":
                self._set_up(told)
            case "release":
                self.taker.released(told.id, told.cause if told.cause is not None and 0 <= told.cause < 128 else 16)
            case "ping":
                self.taker.pinged(told.id)
            case "released" | "progress" | "pong":
                pass  # free, and means nothing here
            case _:
                raise BadCallerError("field type names nothing that a caller sends")

    def _set_up(self, told: _Line) -> None:
        fields = told.fields
        try:
            kind, number = str(fields.get("class", "")), str(fields.get("key", ""))
            extras = _extras(str(fields.get("extras", "")))
            if not NUMBER.match(number):
                raise ValueError("key")
            if not NUMBER.match(kind):
                raise ValueError("class")
            if "at" in extras:
                if not NUMBER.match(extras["at"]):
                    raise ValueError("extras.at")
                self.taker.stands_at(told.id, kind, number, extras["at"])
                return
            left = _whole(fields.get("left"), "left", 1)
            far = _whole(extras.get("dest"), "extras.dest", 0)
            width = _whole(extras.get("width"), "extras.width", 1)
            advised = _whole(extras.get("via", "-1"), "extras.via", -1)
            transit = _whole(extras.get("transit", "0"), "extras.transit", 0) > 0
            cut = _whole(extras.get("again", "0"), "extras.again", 0) > 0
            redialled = _whole(fields.get("retry", "0"), "retry", 0) > 0
            if not told.sdp or not DESCRIBED.match(told.sdp):
                raise ValueError("sdp")
        except ValueError as bad:
            self.taker.unusable(told.id, f"field {bad} is missing or makes no sense")
            return
        self.taker.set_up(told.id, kind, left, number, far, width, advised, transit, redialled, cut, told.sdp)


def _extras(text: str) -> dict[str, str]:
    found: dict[str, str] = {}
    for part in text.split(";"):
        name, colon, value = part.partition(":")
        if not colon or name in found:
            raise ValueError("extras")
        found[name] = value
    return found


def _whole(value: object, name: str, least: int) -> int:
    if isinstance(value, float):
        raise ValueError(name)
    text = str(value)
    if not WHOLE.match(text) or not least <= int(text) <= MOST_FIGURE:
        raise ValueError(name)
    return int(text)


def answer(id: str, sdp: str) -> bytes:
    return _write({"type": "answer", "id": id, "fields": {}, "sdp": sdp}) + b"\n"


def release(id: str, cause: int, wait: int = 0) -> bytes:
    """`wait`: milliseconds to stay away; 0 for none."""
    return _write({"type": "release", "id": id, "fields": {"wait": str(wait)} if wait else {}, "cause": cause}) + b"\n"


def released(id: str) -> bytes:
    return _write({"type": "released", "id": id, "fields": {}}) + b"\n"


def pong(id: str, passed: bool) -> bytes:
    return _write({"type": "pong", "id": id, "fields": {}, "cause": int(passed)}) + b"\n"
