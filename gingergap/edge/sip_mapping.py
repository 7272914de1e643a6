"""Maps SIP statuses, causes and header fields to the terms of the decision module and back (see docs/edge.md).

Statuses follow RFC 3261, Reason RFC 3326 with the causes of Q.850, the location of a cause RFC 8606. What no standard
covers (a redialled dialog, one set up again after it was cut, transit, the time left in ms) is in a header field of this
system: `Gingergap-Dialog: transit;time-left=2310;redialled`.
"""

import math
from typing import NamedTuple

from ..host import LegEnd, Rsn
from ..sip.fields import parse_params, parse_seconds, q850_cause_of, q850_reason
from ..sip.message import BadMessageError, Message

NO_CIRCUIT, CONGESTION, USER_BUSY, REJECTED, NORMAL, OUT_OF_ORDER, TIMER = 34, 42, 17, 21, 16, 38, 102  # Q.850 causes
TRANSIT_NETWORK, REMOTE_LOCAL_NETWORK = "TN", "RLN"  # RFC 8606
CUT_CAUSES = frozenset({27, 38, 41})  # destination out of order, network out of order, temporary failure
DIALOG_FIELD = "Gingergap-Dialog"


class DialogParams(NamedTuple):
    """The parameters of Gingergap-Dialog in a request; `time_left` in ms, -1 if not given."""

    redialled: bool
    cut: bool
    transit: bool
    time_left: int


def parse_dialog_params(message: Message) -> DialogParams:
    """Parse Gingergap-Dialog. Raises BadMessageError if time-left is not a number."""
    text = message.get(DIALOG_FIELD)
    if not text:
        return DialogParams(False, False, False, -1)
    params = parse_params(text)
    time_left_text = params.get("time-left", "-1")
    if time_left_text != "-1" and not (time_left_text.isascii() and time_left_text.isdigit() and len(time_left_text) < 10):
        raise BadMessageError(f"{DIALOG_FIELD} has a time-left that is no number", 400, message)
    return DialogParams("redialled" in params, "cut" in params, "transit" in params, int(time_left_text))


def format_dialog_params(redialled: bool, cut: bool, transit: bool, time_left: int) -> str:
    """The value of Gingergap-Dialog, `time_left` in ms."""
    parts = [name for name, is_set in (("redialled", redialled), ("cut", cut), ("transit", transit)) if is_set]
    return ";".join([*parts, f"time-left={time_left}"])


def leg_end_of(message: Message, over_tandem: bool) -> tuple[LegEnd, Rsn]:
    """How a leg ended according to its failure response, and the reason."""
    cause, location = q850_cause_of(message)
    status = message.status
    if status in (486, 600) or cause == USER_BUSY:
        return LegEnd.BUSY, Rsn.LINES_BUSY
    if status in (408, 487, 504):  # it is unknown which circuits the leg still holds
        return LegEnd.NO_ANSWER, Rsn.NONE
    if cause == NO_CIRCUIT:
        return LegEnd.FULL, Rsn.NO_CIRCUIT
    if cause == REJECTED and over_tandem:
        return LegEnd.FULL, Rsn.TANDEM_DECLINED
    if cause == CONGESTION and over_tandem and location == REMOTE_LOCAL_NETWORK:
        return LegEnd.FULL, Rsn.BEYOND_TANDEM_FULL
    if cause == CONGESTION or status == 503:
        return LegEnd.FULL, Rsn.PROCESSOR_FULL
    return LegEnd.BUSY, Rsn.NONE if 500 <= status < 600 else Rsn.NO_WAY


def decline_response(transit: bool, leg_end: LegEnd | None, rsn: int, hold_off: int) -> tuple[int, list[tuple[str, str]]]:
    """Status and header fields of the response to a declined dialog.

    `leg_end` and `rsn` are those of its last leg, `leg_end` is None if there was none. `hold_off`, in tenths of a
    millisecond, is rounded up to the whole seconds of Retry-After, so that the caller does not retry early.
    """
    if leg_end == LegEnd.BUSY:
        return (486, [q850_reason(USER_BUSY)]) if rsn == Rsn.LINES_BUSY else (480, [q850_reason(41)])
    fields = [
        q850_reason(CONGESTION, REMOTE_LOCAL_NETWORK if transit else "")
        if rsn in (Rsn.PROCESSOR_FULL, Rsn.BEYOND_TANDEM_FULL)
        else q850_reason(REJECTED, TRANSIT_NETWORK)
        if transit
        else q850_reason(NO_CIRCUIT)
    ]
    if hold_off > 0:
        fields.append(("Retry-After", str(math.ceil(hold_off / 10_000))))
    return 503, fields


def abort_response() -> tuple[int, list[tuple[str, str]]]:
    """Status and header fields of the response to an aborted dialog."""
    return 408, [q850_reason(TIMER)]


def release_end_of(message: Message) -> LegEnd:
    """Whether a BYE ends a dialog normally or reports that it was cut."""
    return LegEnd.CUT if q850_cause_of(message)[0] in CUT_CAUSES else LegEnd.ENDED


def caller_time_left(message: Message, dialog_params: DialogParams, default_s: int) -> int:
    """Tenths of a millisecond until the caller gives up: time-left of a proxy if given, else Expires.

    `default_s` in seconds if there is neither. Raises BadMessageError.
    """
    if dialog_params.time_left >= 0:
        return dialog_params.time_left * 10
    return parse_seconds(message, "Expires", default_s) * 10_000


def traffic_type_of(message: Message, types_by_priority: dict[str, int]) -> int:
    """The index of the traffic type by the first known value of Resource-Priority (RFC 4412), else 0."""
    for value in message.all("Resource-Priority"):
        traffic_type = types_by_priority.get(value.lower())
        if traffic_type is not None:
            return traffic_type
    return 0
