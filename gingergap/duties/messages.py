"""What members say to each other about duties."""

import msgspec


class VoteRequest(msgspec.Struct, array_like=True, tag="ask"):
    duty: str
    counter: int
    holder: str
    lease_duration: int
    done_ago: int


class Vote(msgspec.Struct, array_like=True, tag="vote"):
    duty: str
    counter: int
    granted: bool
    newest: int


class LeaseRelease(msgspec.Struct, array_like=True, tag="rel"):
    duty: str
    counter: int
    holder: str


class DutyResult(msgspec.Struct, array_like=True, tag="learned"):
    """What a duty brought: `what` it is about, a value (ms or a version; -1: no answer), and how long ago (tenths of
    a millisecond) it was learned. Shared so that the price is paid once."""

    duty: str
    counter: int
    holder: str
    what: str
    value: float
    age: int


DECODER = msgspec.msgpack.Decoder(VoteRequest | Vote | LeaseRelease | DutyResult)
ENCODER = msgspec.msgpack.Encoder()
