"""The rules of a fault-injection trial, checked against what its peers recorded. Times: seconds of the event loop's clock."""

import re
from dataclasses import dataclass, field
from pathlib import Path

from trial_peers import CallerClose, EstablishedCall, Leg, SetUp

RELEASE_GUARD = 0.1  # seconds; as in SETTINGS
DRAIN_GRACE = 1.0  # seconds after a drain is known in which set-ups may still be sent to the switch
LIMIT_TOLERANCE = 0.05  # seconds added to each time limit for transport over sockets
ANSWER_TOLERANCE = 0.5  # seconds; an answer this late is worth nothing, but the set-up does not count as lost
KILL_AFTER = 3.7  # seconds from SIGTERM to the earliest SIGKILL: the longest deadline and 0.7 s
RELEASE_LIMIT, LATE_RELEASE_LIMIT = 1.0, 8.0  # seconds in which a caller is sent the release; the second near a fault
CUT_DETECTION_TIME = 0.4  # seconds after SIGTERM in which a process still detects that a switch has died
LIST_DELAY = 6.0  # seconds after the list has an event until a process knows it, when the bus has a fault
RESTART_TIME = 2.0  # seconds after an exit until the next process has started and has callers
CLOCK_TOLERANCE = 0.05  # seconds by which two processes of one machine may time the same event differently


@dataclass
class Stop:
    """A SIGTERM, the exit of the process, and whether it had to be killed with SIGKILL."""

    node: str
    signalled_at: float
    ended_at: float = 0.0
    exit_status: int | None = None
    killed: bool = False


@dataclass
class Record:
    """What was observed in a trial."""

    set_ups: dict[str, SetUp] = field(default_factory=dict)
    stops: list[Stop] = field(default_factory=list)
    drains: dict[str, float] = field(default_factory=dict)  # by switch uid: when the drain was published
    crashes: list[str] = field(default_factory=list)
    legs: list[Leg] = field(default_factory=list)
    calls: list[EstablishedCall] = field(default_factory=list)
    logs: dict[str, Path] = field(default_factory=dict)
    stalls: list[tuple[float, float]] = field(default_factory=list)  # when the peers' own event loop was blocked
    caller_closes: list[CallerClose] = field(default_factory=list)
    closed_at: float = float("inf")  # when the trial itself began to end the processes
    pauses: dict[str, list[tuple[float, float]]] = field(default_factory=dict)  # by node: when its process was stopped


def broken_rules(record: Record, drain_known_at: dict[str, float], observed_until: float) -> list[str]:
    """The broken rules, a sentence each.

    `drain_known_at`: by switch uid, when the process must know of its drain. `observed_until`: the end of the observation.
    """
    violations = [*record.crashes]
    violations += [
        f"fault: a traceback in the log of {name}" for name, log in record.logs.items() if "Traceback" in log.read_text()
    ]
    for stop in record.stops:
        if stop.killed:
            violations.append(f"end: {stop.node} had not ended {KILL_AFTER} s after SIGTERM")
        elif stop.exit_status != 0:
            violations.append(f"crash: {stop.node} ended with {stop.exit_status} after SIGTERM")
    for set_up in record.set_ups.values():
        violations += _check_set_up(set_up, record, observed_until)
    violations += _check_legs(record, drain_known_at)
    violations += _check_calls(record, observed_until)
    violations += [sentence for set_up in record.set_ups.values() for sentence in _check_repeated_releases(set_up, record)]
    return violations


def _describe_last_stop(record: Record, node: str, at: float) -> str:
    since = [at - stop.signalled_at for stop in record.stops if stop.node == node and stop.signalled_at <= at]
    return f"{min(since):.2f} s after SIGTERM" if since else "no SIGTERM before"


def _was_restarted_between(record: Record, node: str, begin: float, end: float) -> bool:
    """Whether the process was replaced meanwhile: the new one does not know what the previous one refused."""
    return any(stop.node == node and begin < stop.ended_at < end for stop in record.stops)


def _check_set_up(set_up: SetUp, record: Record, observed_until: float) -> list[str]:
    if not set_up.sent_at:
        return []
    name = f"{set_up.id} to {set_up.node} ({_describe_last_stop(record, set_up.node, set_up.sent_at)}, left {set_up.time_left:.1f})"
    if len(set_up.final_answers) > 1 and not _was_restarted_between(
        record, set_up.node, set_up.final_answers[0][0], set_up.final_answers[-1][0]
    ):
        listed = ", ".join(f"{kind} after {at - set_up.sent_at:.3f} s" for at, kind, _ in set_up.final_answers)
        return [f"lost: {name} had {len(set_up.final_answers)} final answers: {listed}"]
    if set_up.final_answers:
        at, kind, description = set_up.final_answers[0]
        if kind == "answer" and f"of {set_up.id}\r\n" not in description:
            return [f"lost: {name} was answered with an SDP that no switch sent"]
        delay = at - set_up.sent_at - set_up.time_left
        return (
            [f"lost: {name} answered {delay:.2f} s late"]
            if delay > ANSWER_TOLERANCE + LIMIT_TOLERANCE and not set_up.given_up_at
            else []
        )
    if set_up.given_up_at or set_up.crossed_close:
        return []  # its new connection may have been refused, so that it was not sent at all
    if set_up.connection_ended_at and set_up.connection_ended_at - set_up.sent_at > set_up.time_left + ANSWER_TOLERANCE:
        return [f"lost: {name} not answered in time"]
    if 0 < set_up.connection_ended_at < record.closed_at:
        return [f"lost: {name} connection ended after {set_up.connection_ended_at - set_up.sent_at:.3f} s with no answer"]
    return (
        [f"lost: {name} never answered"]
        if set_up.sent_at + set_up.time_left + ANSWER_TOLERANCE + LIMIT_TOLERANCE < observed_until
        else []
    )


def _check_repeated_releases(set_up: SetUp, record: Record) -> list[str]:
    """A process sends the release of a call once. Another one may send it too, since a switch sends its BYE to any of them."""
    violations = []
    releases = sorted(set_up.releases)
    for node in {node for _, node in releases}:
        times = [at for at, by in releases if by == node]
        if len(times) > 1 and not _was_restarted_between(record, node, times[0], times[-1]):
            violations.append(f"release repeated: of {set_up.id} by {node}, {times[-1] - times[0]:.3f} s after the first")
    return violations


def _were_peers_stalled(record: Record, *times: float) -> bool:
    """Whether the peers' event loop was blocked at one of the times, so that they read late."""
    return any(begin - CLOCK_TOLERANCE < at < end + CLOCK_TOLERANCE for at in times for begin, end in record.stalls)


def _was_paused_on_receipt(record: Record, set_up: SetUp, finished_at: float, leg: Leg) -> bool:
    """Whether the process was paused between reading a set-up that was finished at once and sending its first leg."""
    is_first_leg = all(other.invite_received_at >= leg.invite_received_at for other in record.legs if other.id == leg.id)
    pauses = record.pauses.get(set_up.node, ())
    at_once = finished_at - set_up.sent_at < CLOCK_TOLERANCE
    return (
        is_first_leg
        and at_once
        and any(
            begin < finished_at + CLOCK_TOLERANCE and finished_at < end and leg.invite_received_at < end + CLOCK_TOLERANCE
            for begin, end in pauses
        )
    )


def _check_forwarded_after_end(record: Record, set_up: SetUp, leg: Leg) -> str:
    """The broken rule if a leg was sent after its set-up was finished for the caller, else an empty string."""
    if set_up.withdrawn_at_once:
        return f"forwarded: {leg.id}, whose release was sent together with it"
    finished_at = min((at for at in (set_up.given_up_at, *(at for at, _, _ in set_up.final_answers)) if at), default=float("inf"))
    if set_up.crossed_close or set_up.resent or _was_paused_on_receipt(record, set_up, finished_at, leg):
        return ""
    if leg.invite_received_at - finished_at > LIMIT_TOLERANCE + CLOCK_TOLERANCE:
        return f"forwarded: {leg.id} to {leg.uid} {leg.invite_received_at - finished_at:.3f} s after it was finished for its caller"
    return ""


def _check_legs(record: Record, drain_known_at: dict[str, float]) -> list[str]:
    violations = []
    last_legs: dict[str, Leg] = {}
    for leg in record.legs:
        violation = _check_forwarded_after_end(record, record.set_ups[leg.id], leg)
        if violation and not leg.read_late and not _were_peers_stalled(record, leg.invite_received_at):
            violations.append(violation)
        if leg.read_late or _were_peers_stalled(record, leg.invite_received_at, leg.ended_at):
            continue
        previous = last_legs.get(leg.id)
        last_legs[leg.id] = leg
        if previous is not None and (not previous.ended_at or previous.ended_at > leg.invite_received_at + CLOCK_TOLERANCE):
            violations.append(f"two legs: {leg.id} at {previous.uid} and {leg.uid}")
        elif previous is not None and previous.end_reason in ("cancelled", "its connection ended", "invalid reply"):
            was_resent = record.set_ups[leg.id].resent or record.set_ups[leg.id].crossed_close
            if leg.invite_received_at - previous.ended_at < RELEASE_GUARD - CLOCK_TOLERANCE and not was_resent:
                violations.append(
                    f"guard: {leg.id} {leg.invite_received_at - previous.ended_at:.3f} s "
                    f"after a leg that ended: {previous.end_reason}"
                )
        if leg.uid in drain_known_at and leg.invite_received_at > drain_known_at[leg.uid] + DRAIN_GRACE + LIMIT_TOLERANCE:
            violations.append(
                f"drain: {leg.id} to {leg.uid} {leg.invite_received_at - drain_known_at[leg.uid]:.2f} s after it was due"
            )
    return violations


RELEASE_SENT = "release-sent id={id} port=([0-9]+) waited_ms=([0-9]+)"  # a line of the log


def _was_lost_at_its_caller(record: Record, call: EstablishedCall) -> bool:
    """Whether the release was sent on a connection that a caller closed itself, unread, as the release arrived."""
    closes = {close.port: close.at for close in record.caller_closes}
    for node, log in record.logs.items():
        pauses = record.pauses.get(node, ())
        read_at = max([call.released_at, *(end for begin, end in pauses if begin < call.released_at < end)])
        for port, waited_ms in re.findall(RELEASE_SENT.format(id=call.id), log.read_text()):
            if abs(closes.get(int(port), -1e9) - read_at - int(waited_ms) / 1000) < CLOCK_TOLERANCE:
                return True
    return False


def _check_calls(record: Record, observed_until: float) -> list[str]:
    """Established calls: their release is sent to the caller, or to the switch if the caller ended them."""
    violations = []
    for call in record.calls:
        set_up = record.set_ups[call.id]
        answered = any(kind == "answer" for _, kind, _ in set_up.final_answers)
        if any(
            other.id == call.id and other.uid == call.uid and other.invite_received_at > call.invite_received_at
            for other in record.calls
        ):
            continue  # an earlier leg of the call, which was given up: the caller is sent the release of the last one
        if call.bye_received_at and answered and not (set_up.ended_by_caller_at or set_up.given_up_at or set_up.released_at):
            if call.bye_received_at + LATE_RELEASE_LIMIT + LIMIT_TOLERANCE < observed_until:
                violations.append(f"not released: {call.id} was ended at {call.uid}, its caller was sent no release")
            continue
        if call.bye_received_at or not answered and set_up.final_answers:
            if call.released_at == 0.0 and not call.bye_received_at and observed_until - call.established_at > LATE_RELEASE_LIMIT:
                violations.append(f"not released: {call.id} was refused to its caller and is still established at {call.uid}")
            continue
        if call.cut and any(
            stop.node == set_up.node and stop.signalled_at + CUT_DETECTION_TIME < call.released_at < stop.ended_at + 3
            for stop in record.stops
        ):
            continue  # cut as the process exited or before the next started: no process knows that this call is cut
        if call.address_reused and any(
            stop.node == set_up.node and call.released_at < stop.ended_at and stop.signalled_at < call.end_told_at + LIST_DELAY
            for stop in record.stops
        ):
            continue  # another switch had the address at once, and the process ended before the list told of it
        may_be_late = (
            call.cut
            or call.release_delayed
            or any(stop.node == set_up.node and call.established_at - 5 < stop.signalled_at for stop in record.stops)
        )
        # A switch may send the BYE to any node: also to one that shuts down, or has just started and has no caller yet.
        may_be_late = may_be_late or any(
            stop.signalled_at < call.released_at < stop.ended_at + RESTART_TIME for stop in record.stops
        )
        limit = LATE_RELEASE_LIMIT if may_be_late else RELEASE_LIMIT
        finished_at = call.released_at or 0.0
        latest = finished_at + limit + LIMIT_TOLERANCE + CLOCK_TOLERANCE
        if not answered or not finished_at or 0 < set_up.ended_by_caller_at < latest:
            continue
        if set_up.released_at > latest:
            violations.append(
                f"not released: {call.id} ended at {call.uid}, its caller was told {set_up.released_at - finished_at:.2f} s later"
            )
        elif not set_up.released_at and latest < observed_until and not _was_lost_at_its_caller(record, call):
            violations.append(f"not released: {call.id} ended at {call.uid}, its caller was sent no release")
    return violations


def write_trace(record: Record, broken: list[str], path: Path) -> None:
    """Write what was recorded of each call that a broken rule names: its set-up, legs, established calls and log lines."""
    lines = [str(stop) for stop in record.stops]
    lines += [f"stalls {record.stalls}", f"callers' closes {record.caller_closes}", f"pauses {record.pauses}"]
    logged = [line for log in record.logs.values() for line in log.read_text().splitlines()]
    for sentence in broken:
        lines += ["", sentence]
        for word in sentence.split():
            if word in record.set_ups:
                known = [record.set_ups[word], *record.legs, *record.calls]
                lines += [f"  {entry}" for entry in known if entry.id == word]
                lines += [f"  log: {line}" for line in logged if word in line]
    path.write_text("\n".join([*lines, "", *logged]))
