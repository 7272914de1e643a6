"""The rules of a trial, judged from what its peers wrote down. Times are seconds of the loop's clock."""

from dataclasses import dataclass, field
from pathlib import Path

from trial_peers import Leg, SetUp, Standing

GUARD = 0.1  # seconds; as SETTINGS says
DRAIN_GRACE = 1.0
SLACK = 0.05  # by which each time limit on sockets is longer
ANSWER_SLACK = 0.5  # after its time an answer earns nothing, but the set-up is not lost
KILL_AFTER = 3.7  # longest deadline and 0.7 s: the earliest SIGKILL
RELEASED_WITHIN, RELEASED_AT_LATEST = 1.0, 8.0
CUT_IS_SEEN = 0.4  # seconds after SIGTERM in which a process still finds out that a switch has died
JUST_BEGUN = 2.0  # seconds after an end by which the next process has begun and has callers
MEASURING = 0.05  # seconds by which two processes of one machine may see an instant apart


@dataclass
class Stop:
    """A SIGTERM: when, when the process had ended, its exit status; `killed` where SIGKILL found it."""

    node: str
    at: float
    ended: float = 0.0
    status: int | None = None
    killed: bool = False


@dataclass
class Record:
    """What passed in a trial."""

    set_ups: dict[str, SetUp] = field(default_factory=dict)
    stops: list[Stop] = field(default_factory=list)
    drains: dict[str, float] = field(default_factory=dict)  # uid: when it counts as told
    crashes: list[str] = field(default_factory=list)
    legs: list[Leg] = field(default_factory=list)
    calls: list[Standing] = field(default_factory=list)
    logs: dict[str, Path] = field(default_factory=dict)
    stalls: list[tuple[float, float]] = field(default_factory=list)  # when the peers themselves stood still
    caller_closes: list[float] = field(default_factory=list)
    pauses: dict[str, list[tuple[float, float]]] = field(default_factory=dict)  # by node: when its process was stopped


def broken_rules(record: Record, told: dict[str, float], end: float) -> list[str]:
    """What broke, a sentence each. `told`: when each drain counts as told; `end`: until when answers were waited for."""
    found = [*record.crashes]
    found += [f"fault: a traceback in the log of {name}" for name, log in record.logs.items() if "Traceback" in log.read_text()]
    for stop in record.stops:
        if stop.killed:
            found.append(f"end: {stop.node} had not ended {KILL_AFTER} s after SIGTERM")
        elif stop.status != 0:
            found.append(f"crash: {stop.node} ended with {stop.status} after SIGTERM")
    for set_up in record.set_ups.values():
        found += _set_up_broken(set_up, record, end)
    found += _legs_broken(record, told)
    found += _calls_broken(record, end)
    found += [sentence for set_up in record.set_ups.values() for sentence in _told_again(set_up, record)]
    return found


def _since_stop(record: Record, node: str, at: float) -> str:
    since = [at - stop.at for stop in record.stops if stop.node == node and stop.at <= at]
    return f"{min(since):.2f} s after SIGTERM" if since else "no SIGTERM before"


def _stopped_between(record: Record, node: str, begin: float, end: float) -> bool:
    """Whether another process serves by then: it can't know what the one before refused."""
    return any(stop.node == node and begin < stop.ended < end for stop in record.stops)


def _set_up_broken(set_up: SetUp, record: Record, end: float) -> list[str]:
    if not set_up.sent:
        return []
    name = f"{set_up.id} to {set_up.node} ({_since_stop(record, set_up.node, set_up.sent)}, left {set_up.left:.1f})"
    if len(set_up.finals) > 1 and not _stopped_between(record, set_up.node, set_up.finals[0][0], set_up.finals[-1][0]):
        finals = ", ".join(f"{kind} after {at - set_up.sent:.3f} s" for at, kind, _ in set_up.finals)
        return [f"lost: {name} had {len(set_up.finals)} final answers: {finals}"]
    if set_up.finals:
        at, kind, description = set_up.finals[0]
        if kind == "answer" and f"of {set_up.id}\r\n" not in description:
            return [f"lost: {name} got what no switch made"]
        late = at - set_up.sent - set_up.left
        return [f"lost: {name} answered {late:.2f} s late"] if late > ANSWER_SLACK + SLACK and not set_up.given_up else []
    if set_up.given_up or set_up.crossed:
        return []  # a new connection may be refused: then it was sent nowhere
    if set_up.connection_ended and set_up.connection_ended - set_up.sent > set_up.left + ANSWER_SLACK:
        return [f"lost: {name} not answered in its time"]
    if set_up.connection_ended:
        return [f"lost: {name} connection ended after {set_up.connection_ended - set_up.sent:.3f} s with no answer"]
    return [f"lost: {name} never answered"] if set_up.sent + set_up.left + ANSWER_SLACK + SLACK < end else []


def _told_again(set_up: SetUp, record: Record) -> list[str]:
    """A process tells the end of a call once. Another one may tell it too, as a switch sends its release to any."""
    found = []
    told = sorted(set_up.releases)
    for node in {node for _, node in told}:
        times = [at for at, by in told if by == node]
        if len(times) > 1 and not _stopped_between(record, node, times[0], times[-1]):
            found.append(f"told again: the end of {set_up.id} by {node}, {times[-1] - times[0]:.3f} s after the first time")
    return found


def _stalled(record: Record, *times: float) -> bool:
    """Whether the peers stood still at one of the times, so that they read it late."""
    return any(begin - MEASURING < at < end + MEASURING for at in times for begin, end in record.stalls)


def _paused_while_it_came(record: Record, set_up: SetUp, over: float, leg: Leg) -> bool:
    """Whether the process was stopped between reading a set-up, which was over at once, and sending its first leg."""
    first = all(other.began >= leg.began for other in record.legs if other.id == leg.id)
    pauses = record.pauses.get(set_up.node, ())
    at_once = over - set_up.sent < MEASURING
    return (
        first and at_once and any(begin < over + MEASURING and over < end and leg.began < end + MEASURING for begin, end in pauses)
    )


def _forwarded_after_its_end(record: Record, set_up: SetUp, leg: Leg) -> str:
    """What is wrong with a leg of a set-up that was over for its caller; empty where nothing is."""
    if set_up.taken_back:
        return f"forwarded: {leg.id}, whose release had come with it"
    over = min((at for at in (set_up.given_up, *(at for at, _, _ in set_up.finals)) if at), default=float("inf"))
    if set_up.crossed or set_up.sent_again or _paused_while_it_came(record, set_up, over, leg):
        return ""
    if leg.began - over > SLACK + MEASURING:
        return f"forwarded: {leg.id} to {leg.uid} {leg.began - over:.3f} s after it was over for its caller"
    return ""


def _legs_broken(record: Record, told: dict[str, float]) -> list[str]:
    found = []
    last: dict[str, Leg] = {}
    for leg in record.legs:
        late = _forwarded_after_its_end(record, record.set_ups[leg.id], leg)
        if late and not leg.read_late and not _stalled(record, leg.began):
            found.append(late)
        if leg.read_late or _stalled(record, leg.began, leg.ended):
            continue
        before = last.get(leg.id)
        last[leg.id] = leg
        if before is not None and (not before.ended or before.ended > leg.began + MEASURING):
            found.append(f"two legs: {leg.id} at {before.uid} and {leg.uid}")
        elif before is not None and before.how in ("cancelled", "its connection ended", "spoilt"):
            again = record.set_ups[leg.id].sent_again or record.set_ups[leg.id].crossed
            if leg.began - before.ended < GUARD - MEASURING and not again:
                found.append(f"guard: {leg.id} {leg.began - before.ended:.3f} s after a leg that was {before.how}")
        if leg.uid in told and leg.began > told[leg.uid] + DRAIN_GRACE + SLACK:
            found.append(f"drain: {leg.id} to {leg.uid} {leg.began - told[leg.uid]:.2f} s after its drain counts as told")
    return found


def _calls_broken(record: Record, end: float) -> list[str]:
    """Calls that stood: their ends reach their callers, or the switch where the caller ended them."""
    found = []
    for call in record.calls:
        set_up = record.set_ups[call.id]
        answered = any(kind == "answer" for _, kind, _ in set_up.finals)
        if any(other.id == call.id and other.uid == call.uid and other.began > call.began for other in record.calls):
            continue  # an earlier leg of the call, which was given up: its caller is told of the last one's end
        if call.heard_bye and answered and not (set_up.ended_by_caller or set_up.given_up or set_up.released):
            if call.heard_bye + RELEASED_AT_LATEST + SLACK < end:
                found.append(f"standing: {call.id} was ended at {call.uid}, its caller was never told")
            continue
        if call.heard_bye or not answered and set_up.finals:
            if call.released == 0.0 and not call.heard_bye and end - call.since > RELEASED_AT_LATEST:
                found.append(f"standing: {call.id} refused to its caller, and stands at {call.uid}")
            continue
        if call.cut and any(
            stop.node == set_up.node and stop.at + CUT_IS_SEEN < call.released < stop.ended + 3 for stop in record.stops
        ):
            continue  # cut as the process ended, or before the next began: nobody could tell that of this call
        stopped = call.cut or call.delayed or any(stop.node == set_up.node and call.since - 5 < stop.at for stop in record.stops)
        # A switch may send it to any node: also to one that ends, or that has just begun and has no caller yet.
        stopped = stopped or any(stop.at < call.released < stop.ended + JUST_BEGUN for stop in record.stops)
        if any(abs(closed - call.released) < MEASURING for closed in record.caller_closes):
            continue  # told on a connection that its caller closed at that moment, unread
        limit = RELEASED_AT_LATEST if stopped else RELEASED_WITHIN
        over = call.released or 0.0
        if answered and over and not set_up.released and not set_up.ended_by_caller and over + limit + SLACK + MEASURING < end:
            found.append(f"standing: {call.id} over at {call.uid}, its caller was never told")
        elif answered and over and set_up.released > over + limit + SLACK + MEASURING:
            found.append(f"standing: {call.id} over at {call.uid}, its caller was told {set_up.released - over:.2f} s later")
    return found


def trace(record: Record, broken: list[str], path: Path) -> None:
    """Write what is known of each call that a broken rule names: its set-up, legs, standing, and the process's lines."""
    lines = [str(stop) for stop in record.stops]
    lines += [f"stalls {record.stalls}", f"callers' closes {record.caller_closes}"]
    logged = [line for log in record.logs.values() for line in log.read_text().splitlines()]
    for sentence in broken:
        lines += ["", sentence]
        for word in sentence.split():
            if word in record.set_ups:
                known = [record.set_ups[word], *record.legs, *record.calls]
                lines += [f"  {entry}" for entry in known if entry.id == word]
                lines += [f"  log: {line}" for line in logged if word in line]
    path.write_text("\n".join([*lines, "", *logged]))
