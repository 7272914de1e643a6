"""Checks the five rules on captured traffic alone; logs and traces of the proxies are never read.

A capture has one JSON object per line, in time order: messages (`at`, `transport`, `from`, `to`, `message`; `lost` if the
network lost it, `late_by` if the network delayed it) and lines with a `note`: `rules` (the rules' parameters), `proxy` (an address
that is checked), `list`, `exchange` (a machine started there, with its capacity), `stopped`, `reset` (all connections of the
address were dropped), `killed`, `paused` (a proxy's process was stopped until `until`). All times are in seconds.

Seen from outside, a leg ends with a final response that reached the proxy, with the CANCEL that the proxy sent, or with the stop
of the machine. A leg for which the proxy has received no response can't be cancelled yet (RFC 3261 section 9.1): it counts as
given up since it was last sent, and must not be sent again once another leg is out.
"""

import json
from bisect import bisect_right
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from ..sip.fields import tag_of, top_via
from ..sip.message import BadMessageError, Message, parse

SLACK = 0.02  # seconds by which the time stamps of two stand-ins may contradict the order of events
CANCEL_ANSWER_LIMIT = 0.25  # seconds within which a dialog that its caller cancelled must get its final answer
IN_DOUBT = (408, 487, 504)  # final responses after which the leg may still have been set up
MAX_LISTED_BREACHES = 200  # further ones are only counted


class BadCaptureError(Exception):
    """A capture that can't be checked; the text names the line and the fault."""


class Breach(NamedTuple):
    """One breach of a rule: the dialog, the time, the reason, and the numbers (from 1) of the lines that show it.

    The fields are written to `report.json` under their names.
    """

    rule: int
    dialog: str
    at: float
    why: str
    lines: list[int]


class Verdict:
    """Result of a check: by rule, how many cases were `judged` and `broken`; and the breaches."""

    def __init__(self) -> None:
        self.judged = dict.fromkeys(range(1, 6), 0)
        self.broken = dict.fromkeys(range(1, 6), 0)
        self.breaches: list[Breach] = []
        self.excused = 0  # dialogs that a proxy had open when it was killed or paused
        self.over_tandems = 0

    def add_breach(self, rule: int, dialog: str, at: float, why: str, lines: list[int]) -> None:
        self.broken[rule] += 1
        if len(self.breaches) < MAX_LISTED_BREACHES:
            self.breaches.append(Breach(rule, dialog, at, why, lines))

    @property
    def passed(self) -> bool:
        """Whether no rule was broken, and the capture held cases to judge rules 1 and 2 on."""
        return not any(self.broken.values()) and self.judged[1] > 0 and self.judged[2] > 0


class ReceivedDialog:
    """A dialog received by a proxy: one INVITE server transaction. `limit` is in seconds, `sender` is the address it came from."""

    def __init__(self, proxy: str, call: str, tag: str, at: float, limit: float, line: int, transit: bool, sender: str) -> None:
        self.proxy, self.call, self.tag, self.at, self.limit, self.line = proxy, call, tag, at, limit, line
        self.transit, self.sender = transit, sender
        self.finals: list[tuple[float, int, str, int]] = []  # time, status, To tag, line
        self.cancelled: tuple[float, int] | None = None


class ObservedLeg:
    """One leg: an INVITE client transaction of a proxy. `stream` is true over TCP."""

    def __init__(self, branch: str, target: str, at: float, line: int, stream: bool) -> None:
        self.branch, self.target, self.at, self.line, self.stream = branch, target, at, line, stream
        self.sends = [(at, line)]
        self.provisional: float | None = None
        self.end: tuple[float, str, int] | None = None  # time, kind, line

    def set_end(self, at: float, kind: str, line: int) -> None:
        if self.end is None or at < self.end[0]:
            self.end = (at, kind, line)


class ColdStart(NamedTuple):
    """Start of a machine with a cold processor.

    Its capacity rises from `from_share` of `capacity`, in set-ups per second, to all of it in `warm_after` seconds.
    """

    at: float
    exchange: str
    address: str
    capacity: float
    from_share: float
    warm_after: float
    line: int


class ListedState(NamedTuple):
    """State of an exchange in a notification of the exchange list that reached a proxy."""

    at: float
    state: str
    cold: bool
    line: int


class Checker:
    """Reads the lines of a capture in order, then judges them."""

    def __init__(self) -> None:
        self.parameters: dict[str, float] = {}
        self.proxies: dict[str, int] = {}
        self.lists: set[str] = set()
        self.dialogs: dict[tuple[str, str], ReceivedDialog] = {}
        self.legs: dict[tuple[str, str, str], list[ObservedLeg]] = {}
        self.leg_by_branch: dict[tuple[str, str], ObservedLeg] = {}
        self.listed_states: dict[tuple[str, str], list[ListedState]] = {}  # (proxy, exchange id)
        self.listed_names: dict[str, set[str]] = {}
        self.addresses: dict[str, list[tuple[float, str]]] = {}  # by address: (start time, exchange id)
        self.address_by_id: dict[str, str] = {}
        self.starts: list[ColdStart] = []
        self.stops: dict[str, list[float]] = {}
        self.resets: dict[str, list[float]] = {}  # all connections of an address were dropped
        self.kills: dict[str, list[float]] = {}
        self.pauses: dict[str, list[tuple[float, float]]] = {}
        self.down: set[str] = set()  # killed, and no message from it since: it receives nothing
        self.last_at = float("-inf")

    # --- reading ---

    def read(self, text: str, number: int) -> None:
        try:
            line = json.loads(text)
            at = float(line["at"])
            if "note" in line:
                self._note(line, at, number)
                return
            data, source, target = line["message"], line["from"], line["to"]
            if not all(isinstance(part, str) for part in (data, source, target)):
                raise TypeError
        except (ValueError, KeyError, TypeError) as error:
            raise BadCaptureError(f"line {number}: not a captured message or note ({type(error).__name__})") from None
        if at < self.last_at - 1e-6:
            raise BadCaptureError(f"line {number}: its time is earlier than that of the previous line")
        self.last_at = at
        try:
            message = parse(data.encode("utf-8", "surrogateescape"))
        except BadMessageError:
            return
        reached = None if line.get("lost") else at + float(line.get("late_by", 0.0))
        if message.method:
            self._request(message, source, target, at, reached, number)
        else:
            self._response(message, source, at, reached, number)

    def _note(self, line: dict[str, Any], at: float, number: int) -> None:
        match line["note"]:
            case "rules":
                self.parameters = {name: float(line[name]) for name in ("guard", "grace", "multiple", "span")}
            case "proxy":
                self.proxies[line["address"]] = line["number"]
            case "list":
                self.lists.add(line["address"])
            case "exchange":
                self.addresses.setdefault(line["address"], []).append((at, line["exchange"]))
                if line["cold"]:
                    self.starts.append(
                        ColdStart(
                            at,
                            line["exchange"],
                            line["address"],
                            float(line["capacity"]),
                            float(line["from_share"]),
                            float(line["warm_after"]),
                            number,
                        )
                    )
            case "reset":
                self.resets.setdefault(line["address"], []).append(at)
            case "stopped":
                self.stops.setdefault(line["address"], []).append(at)
            case "paused":
                self.pauses.setdefault(line["address"], []).append((at, float(line["until"])))
            case "killed":
                self.kills.setdefault(line["address"], []).append(at)
                self.down.add(line["address"])

    def _request(self, message: Message, source: str, target: str, at: float, reached: float | None, number: int) -> None:
        try:
            via = top_via(message)
        except BadMessageError:
            return
        sender = f"{via.host}:{via.port}"  # over TCP the source port is ephemeral
        self.down.discard(sender)
        if target in self.down:
            reached = None
        elif reached is not None:
            reached = self._read_at(target, reached)
        if message.method == "INVITE" and not tag_of(message.get("To")):
            if target in self.proxies:
                self._dialog_received(message, via.branch, target, sender, reached, number)
            elif sender in self.proxies:
                self._leg_sent(message, via.branch, sender, target, at, number, via.transport == "TCP")
        elif message.method == "CANCEL":
            if target in self.proxies and reached is not None:
                dialog = self.dialogs.get((target, via.branch))
                if dialog is not None and dialog.cancelled is None:
                    dialog.cancelled = reached, number
            elif sender in self.proxies:
                leg = self.leg_by_branch.get((sender, via.branch))
                if leg is not None:
                    leg.set_end(at, "cancelled", number)
        elif message.method == "NOTIFY" and source in self.lists and target in self.proxies and reached is not None:
            self._list_notified(message, target, reached, number)

    def _read_at(self, proxy: str, reached: float) -> float:
        """Time at which a proxy could read a message that reached it: a paused process reads it when it is resumed."""
        for since, until in self.pauses.get(proxy, ()):
            if since <= reached < until:
                return until
        return reached

    def _dialog_received(self, message: Message, branch: str, proxy: str, sender: str, reached: float | None, number: int) -> None:
        if reached is None:
            return
        key = proxy, branch
        if key in self.dialogs:
            dialog = self.dialogs[key]
            dialog.at = min(dialog.at, reached)  # a copy may overtake one that the network delays
            return
        limit = 0.0
        transit = False
        for part in message.get("Gingergap-Dialog").split(";"):
            name, _, value = part.partition("=")
            transit = transit or name.strip() == "transit"
            if name.strip() == "time-left" and value.strip().isdigit():
                limit = int(value) / 1000
        expires = message.get("Expires").strip()
        if not limit:
            limit = float(expires) if expires.isdigit() else 180.0
        self.dialogs[key] = ReceivedDialog(
            proxy, message.call_id, tag_of(message.get("From")), reached, limit, number, transit, sender
        )

    def _leg_sent(self, message: Message, branch: str, proxy: str, target: str, at: float, number: int, stream: bool) -> None:
        key = proxy, branch
        leg = self.leg_by_branch.get(key)
        if leg is None:
            leg = self.leg_by_branch[key] = ObservedLeg(branch, target, at, number, stream)
            self.legs.setdefault((proxy, message.call_id, tag_of(message.get("From"))), []).append(leg)
        else:
            leg.sends.append((at, number))

    def _list_notified(self, message: Message, proxy: str, reached: float, number: int) -> None:
        try:
            body = msgspec.json.decode(message.body)
            lines, state = body["exchanges"], body["state"]
        except (msgspec.DecodeError, KeyError, TypeError):
            return
        known = self.listed_names.setdefault(proxy, set())
        named = set()
        for line in lines:
            name = line["id"]
            named.add(name)
            self.address_by_id[name] = line["address"]
            self.listed_states.setdefault((proxy, name), []).append(
                ListedState(reached, line["state"], line["started"] > 0, number)
            )
        if state == "full":
            for name in known - named:
                self.listed_states[proxy, name].append(ListedState(reached, "gone", False, number))
        known |= named

    def _response(self, message: Message, source: str, at: float, reached: float | None, number: int) -> None:
        try:
            via = top_via(message)
            _, method = message.cseq()
        except BadMessageError:
            return
        if method != "INVITE":
            return
        receiver = f"{via.host}:{via.port}"
        self.down.discard(source)
        if source in self.proxies:
            dialog = self.dialogs.get((source, via.branch))
            if dialog is not None and message.status >= 200:
                dialog.finals.append((at, message.status, tag_of(message.get("To")), number))
        elif receiver in self.proxies and reached is not None:
            leg = self.leg_by_branch.get((receiver, via.branch))
            if leg is None:
                return
            if message.status < 200:
                leg.provisional = reached if leg.provisional is None else min(reached, leg.provisional)
            else:
                leg.set_end(reached, "in doubt" if message.status in IN_DOUBT else "answered", number)

    # --- judging ---

    def judge(self) -> Verdict:
        """Judge everything that was read. Raises BadCaptureError if the parameters of the rules or the proxies are missing."""
        for name in ("guard", "grace", "multiple", "span"):
            if name not in self.parameters:
                raise BadCaptureError("the note with the rules' figures is missing")
        if not self.proxies:
            raise BadCaptureError("no note names a proxy")
        verdict = Verdict()
        finals: dict[tuple[str, str, str], float] = {}
        for dialog in self.dialogs.values():
            self._judge_answer(dialog, verdict)
            if dialog.finals:
                finals[dialog.proxy, dialog.call, dialog.tag] = min(final[0] for final in dialog.finals)
        for key, legs in self.legs.items():
            self._judge_legs(key, legs, finals.get(key), verdict)
        self._judge_drains(verdict)
        for start in self.starts:
            self._judge_start(start, verdict)
        return verdict

    def _was_killed(self, proxy: str, since: float, until: float) -> bool:
        return any(since <= at <= until for at in self.kills.get(proxy, ()))

    def _judge_answer(self, dialog: ReceivedDialog, verdict: Verdict) -> None:
        """Rule 1: exactly one final answer, within the time limit, and within CANCEL_ANSWER_LIMIT of a CANCEL."""
        label = f"{dialog.call} at {dialog.proxy}"
        deadline = dialog.at + dialog.limit + SLACK
        finals = sorted(dialog.finals)
        first = finals[0][0] if finals else float("inf")
        if self._was_killed(dialog.proxy, dialog.at - SLACK, min(first, deadline)) or any(
            since < deadline and until > dialog.at + SLACK and first > since for since, until in self.pauses.get(dialog.proxy, ())
        ):
            verdict.excused += 1
            return
        if any(dialog.at <= at <= min(deadline, first) for at in self.stops.get(dialog.sender, ())):
            return  # the sender has stopped, so an answer may have reached no process that could capture it
        if not finals and self.last_at < deadline:
            return  # the capture ends before the time limit
        verdict.judged[1] += 1
        if not finals:
            verdict.add_breach(1, label, deadline, f"no final answer within {dialog.limit:.2f} s", [dialog.line])
            return
        at, status, tag, line = finals[0]
        if at > deadline:
            verdict.add_breach(
                1, label, at, f"answered {at - dialog.at - dialog.limit:.3f} s after the caller's time was up", [dialog.line, line]
            )
        elif dialog.cancelled is not None and at > dialog.cancelled[0] + CANCEL_ANSWER_LIMIT:
            verdict.add_breach(
                1,
                label,
                at,
                f"given up, and answered only {at - dialog.cancelled[0]:.3f} s later",
                [dialog.line, dialog.cancelled[1], line],
            )
        for other in finals[1:]:
            if other[1:3] != (status, tag):
                verdict.add_breach(
                    1, label, other[0], f"a second final answer ({status}, then {other[1]})", [dialog.line, line, other[3]]
                )
                break

    def _judge_legs(self, key: tuple[str, str, str], legs: list[ObservedLeg], final: float | None, verdict: Verdict) -> None:
        """Rule 2 (one leg at a time), rule 5 (the release guard after a leg without an answer), and rule 1 (no leg after the final
        answer)."""
        proxy, call, _ = key
        label = f"{call} at {proxy}"
        legs.sort(key=lambda leg: leg.at)
        guard = self.parameters["guard"]
        verdict.judged[2] += len(legs)
        for index, leg in enumerate(legs):
            if final is not None and leg.at > final + SLACK:
                verdict.add_breach(1, label, leg.at, "a leg was sent after the final answer", [leg.line])
            if index == 0:
                continue
            previous = legs[index - 1]
            if self._was_killed(proxy, previous.at, leg.at):
                continue
            ended, kind, line = self._end_of(previous, leg.at)
            if ended > leg.at + SLACK:
                verdict.add_breach(2, label, leg.at, "a leg was sent while another was out", [previous.line, leg.line])
                continue
            again = next((number for at, number in previous.sends if at > leg.at + SLACK), None)
            if again is not None:
                verdict.add_breach(2, label, leg.at, "an older leg was sent again after a newer one", [leg.line, again])
                continue
            if kind != "answered":
                verdict.judged[5] += 1
                if leg.at < ended + guard - SLACK:
                    verdict.add_breach(
                        5,
                        label,
                        leg.at,
                        f"sent again {leg.at - ended:.3f} s after a leg that was {kind}",
                        [previous.line, line, leg.line],
                    )

    def _end_of(self, leg: ObservedLeg, next_at: float) -> tuple[float, str, int]:
        """Time, kind and line of the end of a leg that was followed by another leg at `next_at`.

        Later events can't have ended it. The time is infinite for a leg that was still out.
        """
        if leg.end is not None and leg.end[0] <= next_at + SLACK:
            return leg.end
        # A message sent on a connection that is being dropped may be read, and captured, a moment after the drop. A drop is
        # noted before it is made, so a drop noted after the next leg can't be the reason for that leg; a kill is noted after it.
        ends = [at for at in self.stops.get(leg.target, ()) if leg.at - SLACK <= at <= next_at + SLACK]
        if leg.stream:
            ends += [at for at in self.resets.get(leg.target, ()) if leg.at - SLACK <= at <= next_at]
        stopped = min(ends, default=None)
        if stopped is not None:
            return stopped, "reset", leg.line
        if leg.provisional is not None and leg.provisional <= next_at - SLACK:
            return float("inf"), "out", leg.line
        at, line = [sent for sent in leg.sends if sent[0] <= next_at + SLACK][-1]
        return at, "silent", line

    def _judge_drains(self, verdict: Verdict) -> None:
        """Rule 3: no new leg to a machine later than the grace period after the list reported it as draining or gone."""
        grace = self.parameters["grace"]
        sent: dict[tuple[str, str], list[tuple[float, int, str]]] = {}
        for (proxy, call, _), legs in self.legs.items():
            for leg in legs:
                sent.setdefault((proxy, leg.target), []).append((leg.at, leg.line, call))
        for (proxy, name), states in self.listed_states.items():
            states.sort(key=lambda listed: listed.at)
            for index, listed in enumerate(states):
                if listed.state == "ready" or index and states[index - 1].state != "ready":
                    continue
                ready_at = next((later.at for later in states[index:] if later.state == "ready"), float("inf"))
                since = listed.at + grace + SLACK
                if self.last_at < since or self._was_killed(proxy, listed.at, since):
                    continue
                verdict.judged[3] += 1
                for at, line, call in sent.get((proxy, self.address_by_id[name]), ()):
                    if since < at < ready_at and self._machine_at(self.address_by_id[name], at) in (name, ""):
                        verdict.add_breach(
                            3,
                            f"{call} at {proxy}",
                            at,
                            f"a leg to {name} {at - listed.at:.2f} s after word that it is {listed.state}",
                            [listed.line, line],
                        )

    def _machine_at(self, address: str, at: float) -> str:
        runs = self.addresses.get(address, [])
        index = bisect_right([since for since, _ in runs], at)
        return runs[index - 1][1] if index else ""

    def _judge_start(self, start: ColdStart, verdict: Verdict) -> None:
        """Rule 4: a cold machine gets no more set-ups in any span than `multiple` times its capacity over that span.

        A breach needs two thirds of the set-ups to come from proxies that the list had notified of the cold start.
        """
        verdict.judged[4] += 1
        span, multiple = self.parameters["span"], self.parameters["multiple"]
        until = start.at + start.warm_after
        until = min([until, *(at for at in self.stops.get(start.address, ()) if at > start.at)])
        arrivals = []
        for (proxy, call, _), legs in self.legs.items():
            for leg in legs:
                if leg.target == start.address and start.at <= leg.at < until:
                    states = self.listed_states.get((proxy, start.exchange), ())
                    was_notified = any(
                        listed.cold and listed.state == "ready" and start.at <= listed.at <= leg.at for listed in states
                    )
                    arrivals.append((leg.at, was_notified, leg.line, call))
        arrivals.sort()
        first = 0
        for index, (at, _, line, call) in enumerate(arrivals):
            while arrivals[first][0] <= at - span:
                first += 1
            in_span = arrivals[first : index + 1]
            age = max(0.0, at - span - start.at)
            possible = start.capacity * (start.from_share + (1 - start.from_share) * age / start.warm_after)
            if len(in_span) > multiple * possible * span and 3 * sum(was_notified for _, was_notified, _, _ in in_span) >= 2 * len(
                in_span
            ):
                verdict.add_breach(
                    4,
                    call,
                    at,
                    f"{len(in_span)} set-ups in {span:g} s to {start.exchange}, which had "
                    f"just started and could do {possible * span:.1f}",
                    [start.line, in_span[0][2], line],
                )
                return


def check(path: Path) -> Verdict:
    """Check a capture file. Raises BadCaptureError."""
    checker = Checker()
    try:
        with path.open(encoding="utf-8") as file:
            for number, text in enumerate(file, 1):
                if text.strip():
                    checker.read(text, number)
    except (OSError, UnicodeDecodeError) as error:
        raise BadCaptureError(f"{path}: {getattr(error, 'strerror', None) or 'not UTF-8'}") from None
    except BadCaptureError as bad:
        raise BadCaptureError(f"{path}: {bad}") from None
    try:
        verdict = checker.judge()
    except BadCaptureError as bad:
        raise BadCaptureError(f"{path}: {bad}") from None
    verdict.over_tandems = sum(
        1 for dialog in checker.dialogs.values() if dialog.transit and dialog.finals and 200 <= min(dialog.finals)[1] < 300
    )
    return verdict
