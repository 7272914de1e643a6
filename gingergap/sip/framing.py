"""Splits a byte stream into SIP messages by Content-Length (RFC 3261 section 18.3), in bounded memory."""

from collections.abc import Callable, Iterator
from typing import Any

from .message import MAX_HEADER_BYTES, BadMessageError, Message, canonical_name, parse

MAX_BODY_BYTES = 65_536


def parse_from_stream(encoded: bytes) -> Message:
    """Parse a message whose body has been cut to length. Raises BadMessageError."""
    return parse(encoded, stream=True)


class Framer:
    """Accepts the bytes of one stream as they arrive and returns complete messages.

    BadMessageError raised by `feed` or while iterating means that framing is lost: the connection must be closed.
    Limits are in bytes, `max_message` for header and body together; `parse_message` turns the bytes of one message
    into an object.
    """

    def __init__(
        self,
        max_body: int = MAX_BODY_BYTES,
        max_message: int = MAX_HEADER_BYTES + 4 + MAX_BODY_BYTES,
        parse_message: Callable[[bytes], Any] = parse_from_stream,
    ) -> None:
        self.max_body, self.max_message, self.parse_message = max_body, max_message, parse_message
        self.buffer = bytearray()
        self.search_start = 0  # the end of the header is not before this offset; avoids searching the whole buffer for each byte

    def feed(self, data: bytes) -> list[Any]:
        """All messages that are now complete. A framed but unusable one is returned as its BadMessageError."""
        return list(self.iter_messages(data))

    def iter_messages(self, data: bytes) -> Iterator[Any]:
        """Like `feed`, one by one, so that messages before a framing error are still delivered."""
        self.buffer += data
        while True:
            if self.search_start == 0:
                blank_bytes = 0
                while self.buffer[blank_bytes : blank_bytes + 2] == b"\r\n":  # keep-alives between messages (RFC 5626)
                    blank_bytes += 2
                if blank_bytes:
                    del self.buffer[:blank_bytes]
            header_end = self.buffer.find(b"\r\n\r\n", self.search_start)
            if header_end < 0:
                if len(self.buffer) > MAX_HEADER_BYTES:
                    raise BadMessageError("header over the size limit", 513)
                self.search_start = max(0, len(self.buffer) - 3)
                return
            self.search_start = header_end
            if header_end > MAX_HEADER_BYTES:
                raise BadMessageError("header over the size limit", 513)
            message_end = header_end + 4 + self._body_length(bytes(self.buffer[:header_end]))
            if message_end > self.max_message:
                raise BadMessageError("the message is over the size limit", 513)
            if len(self.buffer) < message_end:
                return
            encoded = bytes(self.buffer[:message_end])
            del self.buffer[:message_end]
            self.search_start = 0
            try:
                yield self.parse_message(encoded)
            except BadMessageError as bad:
                yield bad

    def _body_length(self, header: bytes) -> int:
        length = None
        for line in header.split(b"\r\n")[1:]:
            raw_name, colon, value = line.partition(b":")
            if colon and canonical_name(raw_name.strip().decode("utf-8", "surrogateescape")) == "Content-Length":
                digits = value.strip()
                if not digits.isdigit() or length not in (None, int(digits)):
                    raise BadMessageError("Content-Length is not a number, or stands twice", 400)
                length = int(digits)
        if length is None:
            raise BadMessageError("a message in a stream lacks Content-Length", 400)
        if length > self.max_body:
            raise BadMessageError("the body is over the size limit", 513)
        return length
