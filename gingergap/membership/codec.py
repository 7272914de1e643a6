"""Messages between members as bytes: msgpack by msgspec, a version, a tag with a shared key, and no replays.

A datagram is a msgpack array `[version, from, life, count, to, kind, body]` followed by the first 16 bytes of its
HMAC-SHA-256 (RFC 2104). `count` grows with each datagram of one life; a receiver takes each count of a life once,
by a sliding window (RFC 4303 appendix A2).
"""

import hmac
from collections import OrderedDict
from typing import NamedTuple

import msgspec

VERSION = 1
TAG = 16
WINDOW = 256
MOST_LIVES = 4096
MOST_BYTES = 60_000


class Envelope(msgspec.Struct, array_like=True):
    """What surrounds every message. `to` is a name, or empty where the sender does not know it yet."""

    version: int
    sender: str
    generation: int
    count: int
    to: str
    kind: int
    body: bytes


class Opened(NamedTuple):
    sender: str
    generation: int
    kind: int
    body: bytes


class Refused(Exception):  # noqa: N818 - it says what happened to a datagram, not that we erred
    """Why a datagram is not used: `tag`, `version`, `form`, `replay`, `address`. To be counted and dropped."""


class Replays:
    """Which counts of which lives have been seen. The least recently heard lives are forgotten first."""

    def __init__(self) -> None:
        self.seen: OrderedDict[tuple[str, int], list[int]] = OrderedDict()

    def fresh(self, sender: str, generation: int, count: int) -> bool:
        """Whether this count has not been taken, and takes it."""
        key = sender, generation
        window = self.seen.get(key)
        if window is None:
            self.seen[key] = [count, 1]
            if len(self.seen) > MOST_LIVES:
                self.seen.popitem(last=False)
            return True
        self.seen.move_to_end(key)
        newest, bits = window
        if count > newest:
            window[0] = count
            window[1] = (bits << min(count - newest, WINDOW) | 1) & (1 << WINDOW) - 1
            return True
        back = newest - count
        if back >= WINDOW or bits >> back & 1:
            return False
        window[1] = bits | 1 << back
        return True


class DatagramCodec:
    """Seals what leaves and opens what comes, for one member of one life."""

    def __init__(self, key: bytes, name: str, generation: int) -> None:
        self.key, self.name, self.generation = key, name, generation
        self.count = 0
        self.replays = Replays()
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(Envelope)

    def seal(self, to: str, kind: int, body: bytes) -> bytes:
        self.count += 1
        data = self.encoder.encode(Envelope(VERSION, self.name, self.generation, self.count, to, kind, body))
        return data + hmac.digest(self.key, data, "sha256")[:TAG]

    def open(self, data: bytes) -> Opened:
        """Raises Refused. The tag is looked at first: nothing else of a stranger's bytes is."""
        if len(data) <= TAG or len(data) > MOST_BYTES + 1000:
            raise Refused("form")
        whole, tag = data[:-TAG], data[-TAG:]
        if not hmac.compare_digest(hmac.digest(self.key, whole, "sha256")[:TAG], tag):
            raise Refused("tag")
        if len(whole) < 2 or whole[1] != VERSION:  # the first element of the array, before its form is relied on
            raise Refused("version")
        try:
            envelope = self.decoder.decode(whole)
        except msgspec.MsgspecError:
            raise Refused("form") from None
        if envelope.to not in ("", self.name) or (envelope.sender, envelope.generation) == (self.name, self.generation):
            raise Refused("address")
        if not self.replays.fresh(envelope.sender, envelope.generation, envelope.count):
            raise Refused("replay")
        return Opened(envelope.sender, envelope.generation, envelope.kind, envelope.body)
