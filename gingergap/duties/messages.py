"""Messages between members about duties. Times in tenths of a millisecond."""

import msgspec


class VoteRequest(msgspec.Struct, array_like=True, tag="ask"):
    """`done_ago` is the time since the sender last performed the duty, -1 for never."""

    duty: str
    counter: int
    holder: str
    lease_duration: int
    done_ago: int


class Vote(msgspec.Struct, array_like=True, tag="vote"):
    """`highest_counter` is the highest counter of the duty that the voter has seen."""

    duty: str
    counter: int
    granted: bool
    highest_counter: int


class LeaseRelease(msgspec.Struct, array_like=True, tag="rel"):
    duty: str
    counter: int
    holder: str


class DutyResult(msgspec.Struct, array_like=True, tag="learned"):
    """The result of a duty, shared so that the work is done once: `subject` says what the value is of, `value` is in ms or a
    version (-1: no answer), and `age` is the time since it was obtained."""

    duty: str
    counter: int
    holder: str
    subject: str
    value: float
    age: int


DECODER = msgspec.msgpack.Decoder(VoteRequest | Vote | LeaseRelease | DutyResult)
ENCODER = msgspec.msgpack.Encoder()
