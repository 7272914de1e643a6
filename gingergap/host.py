"""The interface between a `CallController` and its host, and the plain types that pass between them.

A host owns one `CallController`, calls one of its methods for each event, and carries out what the controller asks for
through `Host`. All times and durations are whole tenths of a millisecond; dialogs, legs and exchanges (`gw`) are small
indices that the host gives out.
"""

from enum import IntEnum
from typing import NamedTuple, Protocol


class GwState(IntEnum):
    """State of an exchange in the exchange list."""

    GONE = 0
    DRAINING = 1
    READY = 2


class LegEnd(IntEnum):
    """How a leg ended."""

    ENDED = 0  # the dialog was established and has been released
    BUSY = 1  # no line of the called number was free, or the signalling failed
    FULL = 2  # rejected: nothing was set up
    NO_ANSWER = 3  # in doubt until the release guard has passed
    UNREACHABLE = 4  # nothing was set up
    CUT = 5  # in doubt until the release guard has passed
    CANCELLED = 6  # in doubt until the release guard has passed
    NOT_SENT = 7  # it never left this proxy


class Rsn(IntEnum):
    """Why a leg was rejected."""

    NONE = 0
    NO_CIRCUIT = 1
    TANDEM_DECLINED = 2
    PROCESSOR_FULL = 3
    LINES_BUSY = 4
    NO_WAY = 5  # the called number is refused, whatever the route
    BEYOND_TANDEM_FULL = 18


class TrafficType(NamedTuple):
    """Configuration of one traffic type."""

    setup_objective: int
    no_answer_time: int
    late_share: float
    importance: float
    repeatable: bool  # a leg in doubt may be followed by another, and the dialog may be declined
    pools: frozenset[int] | None  # the only far ends allowed, where far ends are pools of agents


class ListEntry(NamedTuple):
    """One entry of the exchange list."""

    gw: int
    number: int
    state: GwState
    started: int  # 0: long ago


class KnownExchange(NamedTuple):
    """What a controller has learned of a far end.

    `started`: its start according to the exchange list (0: long ago); `recent_setup` and its age (0 and 0: none);
    `overloaded_for`: how much longer it is not used as a tandem; `size` and the three levels: those of the own trunk group
    to it.
    """

    gw: int
    started: int
    fastest_setup: int
    recent_setup: int
    recent_setup_age: int
    overloaded_for: int
    size: int
    cap: float
    accept_below: float
    lower_below: float


class KnownPair(NamedTuple):
    """A tandem and a destination. Either the tandem rejected dialogs to it: for how much longer it is not tried, and the
    whole duration of that back-off; or, both 0, it has set a dialog up to it."""

    gw: int
    destination: int
    remaining: int
    duration: int


class KnownCaller(NamedTuple):
    """A caller that has not been served, and how long ago it first tried."""

    caller_number: str
    traffic_type: int
    destination: int
    first_tried_ago: int


class Learned(NamedTuple):
    """What a controller has learned and a new one would have to learn again, as of `now`."""

    now: int
    exchanges: list[KnownExchange]
    pairs: list[KnownPair]
    callers: list[KnownCaller]
    best_setup_rate: float  # dialogs established in ten seconds
    average_setup: float


class Host(Protocol):
    """What a controller can ask for."""

    def send_leg(self, dialog_index: int, gw: int, time_limit: int) -> None:
        """Send a leg of the dialog to `gw`; without an answer it ends after `time_limit`."""

    def cancel_leg(self, dialog_index: int, leg_index: int) -> None:
        """Cancel a leg (its end is still reported)."""

    def decline(self, dialog_index: int, hold_off: int) -> None:
        """Final answer: declined; the caller is asked not to redial for `hold_off`."""

    def abort(self, dialog_index: int) -> None:
        """Final answer: aborted."""

    def schedule_tick(self, delay: int) -> None:
        """Call `tick` after `delay`."""

    def send_to_peers(self, report: bytes) -> None:
        """Send a message to the other proxies, which may be lost; they receive it as `peer_report_received`."""

    def subscribe(self) -> None:
        """Ask for the exchange list and its changes."""
