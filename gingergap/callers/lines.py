"""The callers' lines: bytes in, calls on whoever takes them; and the lines that go back.

A line is one JSON object ended by a line feed, 16 KiB at most. What can't be read ends its connection
(BadCallerError); a set-up that can be read but holds a figure that makes no sense is told as `unusable`, so that it
can be refused under its own id. What a deployment allows (its traffic types, its exchanges) is not known here.
"""

import re
from collections.abc import Iterator
from enum import Enum
from typing import Protocol

import msgspec

MOST_LINE = 16_384
MOST_FIGURE = 1_000_000_000
ID = re.compile(r"[0-9a-f]{16}\Z")
NUMBER = re.compile(r"[0-9A-Za-z_.+-]{1,64}\Z")  # goes into a SIP URI: nothing that could end it
WHOLE = re.compile(r"-?[0-9]{1,10}\Z")
TYPES = frozenset({"setup", "release", "ping", "released", "progress", "pong"})  # the last three mean nothing here
DESCRIBED = re.compile(r"[\t\r\n -~]+\Z")


class BadCallerError(Exception):
    """Bytes that are no line of a caller; the connection is to be closed."""


class _Line(msgspec.Struct):
    type: str
    id: str = ""
    fields: dict[str, str | int | float] = {}  # noqa: RUF012 - msgspec copies it
    cause: int | None = None
    sdp: str | None = None


class _Over(Enum):
    """Why a set-up that has come is none any more."""

    WITHDRAWN = "its release stands behind it"
    COMES_AGAIN = "its id comes twice"
    SPOILT = "what follows it can't be read"


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

    def withdrawn(self, id: str) -> None:
        """A set-up came with its release right behind it, so that nobody waits for it."""

    def unusable(self, id: str, why: str) -> None: ...


def _parsed(text: bytes) -> _Line:
    """Raises BadCallerError."""
    try:
        line = _read(text)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as bad:
        raise BadCallerError(f"not a line of a caller: {bad}") from None
    if not ID.match(line.id):
        raise BadCallerError("field id is not 16 hex digits")
    if line.type not in TYPES:
        raise BadCallerError("field type names nothing that a caller sends")
    return line


def _wants_answer(line: _Line) -> bool:
    """Whether it is a set-up, and not one that names a call which stands already."""
    extras = str(line.fields.get("extras", "")).split(";")
    return line.type == "setup" and not any(part.startswith("at:") for part in extras)


def _over_already(lines: list[_Line]) -> dict[int, _Over]:
    """Which set-ups, by their places among lines that came at once, are over."""
    over: dict[int, _Over] = {}
    places: dict[str, list[int]] = {}  # of set-ups since the last release of their id
    for place, line in enumerate(lines):
        if _wants_answer(line):
            places.setdefault(line.id, []).append(place)
            if len(places[line.id]) > 1:
                over |= dict.fromkeys(places[line.id], _Over.COMES_AGAIN)
        elif line.type == "release":
            over |= dict.fromkeys(places.pop(line.id, ()), _Over.WITHDRAWN)
    return over


class Lines:
    """The lines of one connection."""

    def __init__(self, taker: Taker, most_line: int = MOST_LINE) -> None:
        self.taker, self.most_line = taker, most_line
        self.held = bytearray()
        self.searched = 0

    def feed(self, data: bytes) -> None:
        """Tell what is whole now; raises BadCallerError. What stood before the fault has been line.

        What has come at once is told with its end in view: a set-up is not one any more where its release stands behind
        it, and none of several set-ups with one id can be told from the others."""
        self.held += data
        came: list[_Line] = []
        fault: BadCallerError | None = None
        try:
            for line in self._cut():
                came.append(_parsed(line))
        except BadCallerError as bad:
            fault = bad
        over = _over_already(came)
        if fault is not None:  # the connection is about to be closed: what would be called off at once is not begun
            over = {place: _Over.SPOILT for place, line in enumerate(came) if _wants_answer(line)} | over
        for place, line in enumerate(came):
            self._take(line, over.get(place))
        if fault is not None:
            raise fault

    def _cut(self) -> Iterator[bytes]:
        """Whole lines, taken off what is held."""
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
                yield line

    def _take(self, line: _Line, over: _Over | None) -> None:
        match line.type:
            case "setup" if over is _Over.WITHDRAWN:
                self.taker.withdrawn(line.id)
            case "setup" if over is not None:
                self.taker.unusable(line.id, over.value)
            case "setup":
                self._set_up(line)
            case "release":
                self.taker.released(line.id, line.cause if line.cause is not None and 0 <= line.cause < 128 else 16)
            case "ping":
                self.taker.pinged(line.id)

    def _set_up(self, line: _Line) -> None:
        fields = line.fields
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
                self.taker.stands_at(line.id, kind, number, extras["at"])
                return
            left = _whole(fields.get("left"), "left", 1)
            far = _whole(extras.get("dest"), "extras.dest", 0)
            width = _whole(extras.get("width"), "extras.width", 1)
            advised = _whole(extras.get("via", "-1"), "extras.via", -1)
            transit = _whole(extras.get("transit", "0"), "extras.transit", 0) > 0
            cut = _whole(extras.get("again", "0"), "extras.again", 0) > 0
            redialled = _whole(fields.get("retry", "0"), "retry", 0) > 0
            if not line.sdp or not DESCRIBED.match(line.sdp):
                raise ValueError("sdp")
        except ValueError as bad:
            self.taker.unusable(line.id, f"field {bad} is missing or makes no sense")
            return
        self.taker.set_up(line.id, kind, left, number, far, width, advised, transit, redialled, cut, line.sdp)


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


def progress(id: str) -> bytes:
    return _write({"type": "progress", "id": id, "fields": {}}) + b"\n"


def released(id: str) -> bytes:
    return _write({"type": "released", "id": id, "fields": {}}) + b"\n"


def pong(id: str, passed: bool) -> bytes:
    return _write({"type": "pong", "id": id, "fields": {}, "cause": int(passed)}) + b"\n"
