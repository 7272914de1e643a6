"""Messages cut out of a stream by Content-Length (RFC 3261 section 18.3), in bounded memory."""

from collections.abc import Callable, Iterator
from typing import Any

from .message import MOST_HEAD, BadMessageError, Message, name_of, parse

MOST_BODY = 65_536


def parse_in_stream(whole: bytes) -> Message:
    return parse(whole, stream=True)


class Framer:
    """Feed bytes as they come; whole messages come out. A stream whose framing is lost can't be mended:
    BadMessageError is raised and the connection is to be closed. `most_message` bounds head and body together;
    `read` makes a message of its bytes."""

    def __init__(
        self,
        most_body: int = MOST_BODY,
        most_message: int = MOST_HEAD + 4 + MOST_BODY,
        read: Callable[[bytes], Any] = parse_in_stream,
    ) -> None:
        self.most_body, self.most_message, self.read = most_body, most_message, read
        self.buffer = bytearray()
        self.searched = 0  # no empty line ends before here: a slow sender must not cost a search each byte

    def feed(self, data: bytes) -> list[Any]:
        """Messages that are now whole. One that is framed but unusable comes as its error, in its place."""
        return list(self.iter_messages(data))

    def iter_messages(self, data: bytes) -> Iterator[Any]:
        """The same one by one: what stands before bytes that are no message has come and counts."""
        self.buffer += data
        while True:
            if self.searched == 0:
                blank = 0
                while self.buffer[blank : blank + 2] == b"\r\n":  # keep-alives between messages (RFC 5626)
                    blank += 2
                if blank:
                    del self.buffer[:blank]
            cut = self.buffer.find(b"\r\n\r\n", self.searched)
            if cut < 0:
                if len(self.buffer) > MOST_HEAD:
                    raise BadMessageError("header over the size limit", 513)
                self.searched = max(0, len(self.buffer) - 3)
                return
            self.searched = cut
            if cut > MOST_HEAD:
                raise BadMessageError("header over the size limit", 513)
            end = cut + 4 + self._length(bytes(self.buffer[:cut]))
            if end > self.most_message:
                raise BadMessageError("the message is over the size limit", 513)
            if len(self.buffer) < end:
                return
            whole = bytes(self.buffer[:end])
            del self.buffer[:end]
            self.searched = 0
            try:
                yield self.read(whole)
            except BadMessageError as bad:
                yield bad

    def _length(self, head: bytes) -> int:
        length = None
        for line in head.split(b"\r\n")[1:]:
            raw, colon, value = line.partition(b":")
            if colon and name_of(raw.strip().decode("utf-8", "surrogateescape")) == "Content-Length":
                text = value.strip()
                if not text.isdigit() or length not in (None, int(text)):
                    raise BadMessageError("Content-Length is not a number, or stands twice", 400)
                length = int(text)
        if length is None:
            raise BadMessageError("a message in a stream lacks Content-Length", 400)
        if length > self.most_body:
            raise BadMessageError("the body is over the size limit", 513)
        return length
