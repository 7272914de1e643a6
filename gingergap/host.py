"""What the decision module acts through, and the plain types that pass between them.

A host owns one `CallController`, calls one of its methods for each thing that happens, and carries out
what the controller asks for through `Host`. All times are whole tenths of a millisecond; dialogs, legs
and exchanges (`gw`) are small indices that the host gives out.
"""

from enum import IntEnum
from typing import NamedTuple, Protocol


class GwState(IntEnum):
    """What the exchange list says of an exchange."""

    GONE = 0
    DRAINING = 1
    READY = 2


class LegEnd(IntEnum):
    """How a leg ended."""

    ENDED = 0  # the dialog stood and was released
    BUSY = 1  # no line of the number was free, or the signalling failed
    FULL = 2  # turned back: nothing was set up
    NO_ANSWER = 3  # in doubt until the release guard has passed
    UNREACHABLE = 4  # nothing was set up
    CUT = 5  # in doubt until the release guard has passed
    CANCELLED = 6  # in doubt until the release guard has passed
    NOT_SENT = 7  # it never left


class Rsn(IntEnum):
    """Why a leg was turned back."""

    NONE = 0
    NO_CIRCUIT = 1
    TANDEM_DECLINED = 2
    PROCESSOR_FULL = 3
    LINES_BUSY = 4
    NO_WAY = 5  # the number is refused, and would be by any way
    BEYOND_TANDEM_FULL = 18


class TrafficType(NamedTuple):
    """What is known at start of one traffic type."""

    setup_objective: int
    no_answer_time: int
    late_share: float
    importance: float
    repeatable: bool  # a leg in doubt may be followed by another, and the dialog may be declined
    pools: frozenset[int] | None  # the only far ends allowed, where far ends are pools of agents


class ListEntry(NamedTuple):
    """One line of the exchange list."""

    gw: int
    number: int
    state: GwState
    started: int  # 0: long ago


class KnownExchange(NamedTuple):
    """What was learned of a far end: its start as the list told it (0: long ago), the quickest set-up, the one of late and
    how long ago that was (0 and 0: none), for how long it is still skipped as a tandem, and the levels of the own group
    of that size."""

    gw: int
    started: int
    quickest: int
    took: int
    took_ago: int
    pressed_for: int
    size: int
    cap: float
    accept_below: float
    lower_below: float


class KnownPair(NamedTuple):
    """A tandem that turned dialogs to a destination back, for how much longer it is passed over, and how long it was
    passed over last; or (both 0) one that brought a dialog there."""

    gw: int
    destination: int
    left: int
    span: int


class KnownCaller(NamedTuple):
    """A caller not served, and how long ago it first tried."""

    number: str
    kind: int
    far: int
    ago: int


class Learned(NamedTuple):
    """What a module knows that a new one would have to find out again, told at `now`."""

    now: int
    exchanges: list[KnownExchange]
    pairs: list[KnownPair]
    callers: list[KnownCaller]
    best_rate: float
    pace: float


class Host(Protocol):
    """What a controller can ask for."""

    def send_leg(self, dialog: int, gw: int, limit: int) -> None:
        """Set the dialog up toward `gw`; the leg ends unanswered after `limit`."""

    def cancel_leg(self, dialog: int, leg: int) -> None:
        """Stop waiting for a leg (its end is still reported)."""

    def decline(self, dialog: int, hold_off: int) -> None:
        """Final answer: declined; the caller is asked to stay away for `hold_off`."""

    def abort(self, dialog: int) -> None:
        """Final answer: aborted."""

    def wake_after(self, delay: int) -> None:
        """Call `beat` after `delay`."""

    def tell_all(self, told: bytes) -> None:
        """Send other proxies a message, which may be lost; it ends up in their `peer_told`."""

    def subscribe(self) -> None:
        """Ask for the exchange list's changes."""
