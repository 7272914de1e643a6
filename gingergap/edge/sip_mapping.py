"""SIP's words and the module's, one table each way (docs/edge.md shows the same table).

Statuses and causes: RFC 3261, RFC 3326 with the causes of Q.850, RFC 8606 for where a cause arose. What no
standard has (dialled again, cut and comes again, in transit, time left in ms) stands in one field of our own:
`Gingergap-Dialog: transit;time-left=2310;redialled`.
"""

import math
from typing import NamedTuple

from ..host import LegEnd, Rsn
from ..sip.fields import parse_params, parse_seconds, q850_cause_of, q850_reason
from ..sip.message import BadMessageError, Message

NO_CIRCUIT, CONGESTION, USER_BUSY, REJECTED, NORMAL, OUT_OF_ORDER, TIMER = 34, 42, 17, 21, 16, 38, 102
TANDEM, BEYOND = "TN", "RLN"  # RFC 8606: transit network; remote local network
CUT_CAUSES = frozenset({27, 38, 41})  # destination out of order, network out of order, temporary failure
DIALOG_FIELD = "Gingergap-Dialog"


class Marks(NamedTuple):
    """What a request says of its dialog; `time_left` in ms, -1 where it does not say."""

    redialled: bool
    cut: bool
    transit: bool
    time_left: int


def marks_of(message: Message) -> Marks:
    """Raises BadMessageError for a time left that is no number."""
    text = message.get(DIALOG_FIELD)
    if not text:
        return Marks(False, False, False, -1)
    params = parse_params(text)
    left = params.get("time-left", "-1")
    if left != "-1" and not (left.isascii() and left.isdigit() and len(left) < 10):
        raise BadMessageError(f"{DIALOG_FIELD} has a time-left that is no number", 400, message)
    return Marks("redialled" in params, "cut" in params, "transit" in params, int(left))


def marks(redialled: bool, cut: bool, transit: bool, time_left: int) -> str:
    """The field's value, `time_left` in ms."""
    parts = [name for name, on in (("redialled", redialled), ("cut", cut), ("transit", transit)) if on]
    return ";".join([*parts, f"time-left={time_left}"])


def leg_end(message: Message, over_tandem: bool) -> tuple[LegEnd, Rsn]:
    """What a final failure response to a leg means."""
    cause, where = q850_cause_of(message)
    status = message.status
    if status in (486, 600) or cause == USER_BUSY:
        return LegEnd.BUSY, Rsn.LINES_BUSY
    if status in (408, 487, 504):  # nobody knows what the leg still holds
        return LegEnd.NO_ANSWER, Rsn.NONE
    if cause == NO_CIRCUIT:
        return LegEnd.FULL, Rsn.NO_CIRCUIT
    if cause == REJECTED and over_tandem:
        return LegEnd.FULL, Rsn.TANDEM_DECLINED
    if cause == CONGESTION and over_tandem and where == BEYOND:
        return LegEnd.FULL, Rsn.BEYOND_TANDEM_FULL
    if cause == CONGESTION or status == 503:
        return LegEnd.FULL, Rsn.PROCESSOR_FULL
    return LegEnd.BUSY, Rsn.NONE if 500 <= status < 600 else Rsn.NO_WAY


def declined(transit: bool, how: LegEnd | None, rsn: int, hold_off: int) -> tuple[int, list[tuple[str, str]]]:
    """Status and fields of a dialog declined after a last leg that ended so (none: no leg). `hold_off` in tenths of
    a millisecond; SIP has whole seconds, and a caller asked to stay away is not let back early."""
    if how == LegEnd.BUSY:
        return (486, [q850_reason(USER_BUSY)]) if rsn == Rsn.LINES_BUSY else (480, [q850_reason(41)])
    fields = [
        q850_reason(CONGESTION, BEYOND if transit else "")
        if rsn in (Rsn.PROCESSOR_FULL, Rsn.BEYOND_TANDEM_FULL)
        else q850_reason(REJECTED, TANDEM)
        if transit
        else q850_reason(NO_CIRCUIT)
    ]
    if hold_off > 0:
        fields.append(("Retry-After", str(math.ceil(hold_off / 10_000))))
    return 503, fields


def aborted() -> tuple[int, list[tuple[str, str]]]:
    return 408, [q850_reason(TIMER)]


def release_end(message: Message) -> LegEnd:
    """Whether a BYE ends a dialog as it should, or tells that it was cut."""
    return LegEnd.CUT if q850_cause_of(message)[0] in CUT_CAUSES else LegEnd.ENDED


def time_left(message: Message, told: Marks, default_s: int) -> int:
    """Tenths of a millisecond until the caller gives up: the finer mark where a proxy gave one, else Expires."""
    if told.time_left >= 0:
        return told.time_left * 10
    return parse_seconds(message, "Expires", default_s) * 10_000


def kind_of(message: Message, kinds: dict[str, int]) -> int:
    """The traffic type by Resource-Priority (RFC 4412): the first value that is known, else the first type."""
    for value in message.all("Resource-Priority"):
        kind = kinds.get(value.lower())
        if kind is not None:
            return kind
    return 0
