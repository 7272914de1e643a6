"""Encoding and authentication of the datagrams between members: msgpack, a truncated HMAC with a shared key, replay protection.

A datagram is a msgpack array `[version, sender, generation, sequence, to, kind, body]` followed by the first 16 bytes of
its HMAC-SHA-256 (RFC 2104). The generation tells the runs of a member apart. The sequence number grows with each
datagram of one generation; a receiver accepts each number once, by a sliding window (RFC 4303 appendix A2).
"""

import hmac
from collections import OrderedDict
from typing import NamedTuple

import msgspec

VERSION = 1
TAG_LENGTH = 16  # bytes
REPLAY_WINDOW = 256  # sequence numbers
MAX_REPLAY_WINDOWS = 4096
MAX_BODY_LENGTH = 60_000  # bytes


class Envelope(msgspec.Struct, array_like=True):
    """The authenticated header and body. `to` is the receiver's name, empty while the sender does not know it."""

    version: int
    sender: str
    generation: int
    sequence: int
    to: str
    kind: int
    body: bytes


class DecodedMessage(NamedTuple):
    sender: str
    generation: int
    kind: int
    body: bytes


class DatagramRejectedError(Exception):
    """A received datagram that must be dropped. Its text is the reason: `tag`, `version`, `form`, `replay` or `address`."""


class ReplayFilter:
    """Accepts each sequence number of a sender's generation once. The least recently used windows are evicted first."""

    def __init__(self) -> None:
        self.windows: OrderedDict[tuple[str, int], list[int]] = OrderedDict()  # [newest sequence number, bit mask]

    def accept(self, sender: str, generation: int, sequence: int) -> bool:
        """Returns whether the number is new, and marks it as used."""
        key = sender, generation
        window = self.windows.get(key)
        if window is None:
            self.windows[key] = [sequence, 1]
            if len(self.windows) > MAX_REPLAY_WINDOWS:
                self.windows.popitem(last=False)
            return True
        self.windows.move_to_end(key)
        newest, bits = window
        if sequence > newest:
            window[0] = sequence
            window[1] = (bits << min(sequence - newest, REPLAY_WINDOW) | 1) & (1 << REPLAY_WINDOW) - 1
            return True
        age = newest - sequence
        if age >= REPLAY_WINDOW or bits >> age & 1:
            return False
        window[1] = bits | 1 << age
        return True


class DatagramCodec:
    """Encodes and decodes the datagrams of one generation of one member."""

    def __init__(self, key: bytes, name: str, generation: int) -> None:
        self.key, self.name, self.generation = key, name, generation
        self.sequence = 0
        self.replay_filter = ReplayFilter()
        self.envelope_encoder = msgspec.msgpack.Encoder()
        self.envelope_decoder = msgspec.msgpack.Decoder(Envelope)

    def encode(self, to: str, kind: int, body: bytes) -> bytes:
        self.sequence += 1
        data = self.envelope_encoder.encode(Envelope(VERSION, self.name, self.generation, self.sequence, to, kind, body))
        return data + hmac.digest(self.key, data, "sha256")[:TAG_LENGTH]

    def decode(self, data: bytes) -> DecodedMessage:
        """Raises DatagramRejectedError. The tag is verified before anything else of an unauthenticated datagram is parsed."""
        if len(data) <= TAG_LENGTH or len(data) > MAX_BODY_LENGTH + 1000:
            raise DatagramRejectedError("form")
        payload, tag = data[:-TAG_LENGTH], data[-TAG_LENGTH:]
        if not hmac.compare_digest(hmac.digest(self.key, payload, "sha256")[:TAG_LENGTH], tag):
            raise DatagramRejectedError("tag")
        if len(payload) < 2 or payload[1] != VERSION:  # checked before decoding: other versions may have another form
            raise DatagramRejectedError("version")
        try:
            envelope = self.envelope_decoder.decode(payload)
        except msgspec.MsgspecError:
            raise DatagramRejectedError("form") from None
        if envelope.to not in ("", self.name) or (envelope.sender, envelope.generation) == (self.name, self.generation):
            raise DatagramRejectedError("address")
        if not self.replay_filter.accept(envelope.sender, envelope.generation, envelope.sequence):
            raise DatagramRejectedError("replay")
        return DecodedMessage(envelope.sender, envelope.generation, envelope.kind, envelope.body)
