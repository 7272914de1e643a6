"""The five rules judged from captured traffic alone; what a proxy says of itself is never read.

A capture has one JSON object a line in time order: messages (`at`, `transport`, `from`, `to`, `message`; `lost` where
the network lost it, `late_by` where it held it up) and lines with a `note`: `rules` (the figures), `proxy` (an
address that is judged), `list`, `exchange` (a machine started there, with what it can do), `stopped`,
`reset` (its connections were dropped), `killed`, `paused` (a proxy's process was stopped `until`).

What counts as the end of a leg, seen from outside: a final response that reached the proxy; the CANCEL that the proxy
sent; the stop of the machine. A leg of which the proxy has heard nothing can't be cancelled yet (RFC 3261 section
9.1): it counts as given up since it was last sent, and must not be sent again once another leg is out.
"""

import json
from bisect import bisect_right
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from ..sip.fields import tag_of, top_via
from ..sip.message import BadMessageError, Message, parse

SLACK = 0.02  # seconds between two stand-ins' stamps of events that were in order
AT_ONCE = 0.25  # seconds within which a dialog that its caller gave up is answered
IN_DOUBT = (408, 487, 504)
MOST_NAMED = 200


class BadCaptureError(Exception):
    """A capture that can't be judged; the text names line and fault."""


class Breach(NamedTuple):
    """One broken rule: whose dialog, when, why, and the lines (from 1) that show it."""

    rule: int
    dialog: str
    at: float
    why: str
    lines: list[int]


class Verdict:
    def __init__(self) -> None:
        self.judged = dict.fromkeys(range(1, 6), 0)
        self.broken = dict.fromkeys(range(1, 6), 0)
        self.breaches: list[Breach] = []
        self.excused = 0  # dialogs that a proxy held when it was killed or stopped
        self.over_tandems = 0

    def breach(self, rule: int, dialog: str, at: float, why: str, lines: list[int]) -> None:
        self.broken[rule] += 1
        if len(self.breaches) < MOST_NAMED:
            self.breaches.append(Breach(rule, dialog, at, why, lines))

    @property
    def passed(self) -> bool:
        """Whether all rules were kept, and the capture held something to judge them on."""
        return not any(self.broken.values()) and self.judged[1] > 0 and self.judged[2] > 0


class Taken:
    """A dialog that came to a proxy: one INVITE transaction."""

    def __init__(self, proxy: str, call: str, tag: str, at: float, limit: float, line: int, transit: bool, asker: str) -> None:
        self.proxy, self.call, self.tag, self.at, self.limit, self.line = proxy, call, tag, at, limit, line
        self.transit, self.asker = transit, asker
        self.finals: list[tuple[float, int, str, int]] = []  # when, status, To tag, line
        self.cancelled: tuple[float, int] | None = None


class LegSeen:
    """One INVITE that a proxy sent on."""

    def __init__(self, branch: str, target: str, at: float, line: int, stream: bool) -> None:
        self.branch, self.target, self.at, self.line, self.stream = branch, target, at, line, stream
        self.sends = [(at, line)]
        self.provisional: float | None = None
        self.end: tuple[float, str, int] | None = None  # when, how, line

    def ended(self, at: float, how: str, line: int) -> None:
        if self.end is None or at < self.end[0]:
            self.end = (at, how, line)


class Start(NamedTuple):
    at: float
    exchange: str
    address: str
    capacity: float
    from_share: float
    warm_after: float
    line: int


class Word(NamedTuple):
    """What a proxy was told of an exchange."""

    at: float
    state: str
    cold: bool
    line: int


class Checker:
    """Reads lines in order, then judges."""

    def __init__(self) -> None:
        self.figures: dict[str, float] = {}
        self.proxies: dict[str, int] = {}
        self.lists: set[str] = set()
        self.taken: dict[tuple[str, str], Taken] = {}
        self.legs: dict[tuple[str, str, str], list[LegSeen]] = {}
        self.by_branch: dict[tuple[str, str], LegSeen] = {}
        self.words: dict[tuple[str, str], list[Word]] = {}  # (proxy, exchange id)
        self.told_lists: dict[str, set[str]] = {}
        self.addresses: dict[str, list[tuple[float, str]]] = {}  # address: (since, exchange id)
        self.id_address: dict[str, str] = {}
        self.starts: list[Start] = []
        self.stops: dict[str, list[float]] = {}
        self.resets: dict[str, list[float]] = {}  # all connections of an address were dropped
        self.kills: dict[str, list[float]] = {}
        self.pauses: dict[str, list[tuple[float, float]]] = {}
        self.down: set[str] = set()  # killed, and not heard of since: nobody is there to take anything
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
            raise BadCaptureError(f"line {number}: earlier than the line before")
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
                self.figures = {name: float(line[name]) for name in ("guard", "grace", "multiple", "span")}
            case "proxy":
                self.proxies[line["address"]] = line["number"]
            case "list":
                self.lists.add(line["address"])
            case "exchange":
                self.addresses.setdefault(line["address"], []).append((at, line["exchange"]))
                if line["cold"]:
                    self.starts.append(
                        Start(
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
        sender = f"{via.host}:{via.port}"  # over TCP the source port says nothing
        self.down.discard(sender)
        if target in self.down:
            reached = None
        elif reached is not None:
            reached = self._read_at(target, reached)
        if message.method == "INVITE" and not tag_of(message.get("To")):
            if target in self.proxies:
                self._invite_taken(message, via.branch, target, sender, reached, number)
            elif sender in self.proxies:
                self._leg_sent(message, via.branch, sender, target, at, number, via.transport == "TCP")
        elif message.method == "CANCEL":
            if target in self.proxies and reached is not None:
                taken = self.taken.get((target, via.branch))
                if taken is not None and taken.cancelled is None:
                    taken.cancelled = reached, number
            elif sender in self.proxies:
                leg = self.by_branch.get((sender, via.branch))
                if leg is not None:
                    leg.ended(at, "cancelled", number)
        elif message.method == "NOTIFY" and source in self.lists and target in self.proxies and reached is not None:
            self._told(message, target, reached, number)

    def _read_at(self, proxy: str, reached: float) -> float:
        """When a proxy could read what reached it: one that was stopped reads it on waking."""
        for since, until in self.pauses.get(proxy, ()):
            if since <= reached < until:
                return until
        return reached

    def _invite_taken(self, message: Message, branch: str, proxy: str, asker: str, reached: float | None, number: int) -> None:
        if reached is None:
            return
        key = proxy, branch
        if key in self.taken:
            taken = self.taken[key]
            taken.at = min(taken.at, reached)  # a copy may overtake one that the network holds up
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
        self.taken[key] = Taken(proxy, message.call_id, tag_of(message.get("From")), reached, limit, number, transit, asker)

    def _leg_sent(self, message: Message, branch: str, proxy: str, target: str, at: float, number: int, stream: bool) -> None:
        key = proxy, branch
        leg = self.by_branch.get(key)
        if leg is None:
            leg = self.by_branch[key] = LegSeen(branch, target, at, number, stream)
            self.legs.setdefault((proxy, message.call_id, tag_of(message.get("From"))), []).append(leg)
        else:
            leg.sends.append((at, number))

    def _told(self, message: Message, proxy: str, reached: float, number: int) -> None:
        try:
            body = msgspec.json.decode(message.body)
            lines, state = body["exchanges"], body["state"]
        except (msgspec.DecodeError, KeyError, TypeError):
            return
        known = self.told_lists.setdefault(proxy, set())
        named = set()
        for line in lines:
            name = line["id"]
            named.add(name)
            self.id_address[name] = line["address"]
            self.words.setdefault((proxy, name), []).append(Word(reached, line["state"], line["started"] > 0, number))
        if state == "full":
            for name in known - named:
                self.words[proxy, name].append(Word(reached, "gone", False, number))
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
            taken = self.taken.get((source, via.branch))
            if taken is not None and message.status >= 200:
                taken.finals.append((at, message.status, tag_of(message.get("To")), number))
        elif receiver in self.proxies and reached is not None:
            leg = self.by_branch.get((receiver, via.branch))
            if leg is None:
                return
            if message.status < 200:
                leg.provisional = reached if leg.provisional is None else min(reached, leg.provisional)
            else:
                leg.ended(reached, "in doubt" if message.status in IN_DOUBT else "answered", number)

    # --- judging ---

    def judge(self) -> Verdict:
        """The verdict on everything read."""
        for name in ("guard", "grace", "multiple", "span"):
            if name not in self.figures:
                raise BadCaptureError("the note with the rules' figures is missing")
        if not self.proxies:
            raise BadCaptureError("no note names a proxy")
        verdict = Verdict()
        finals: dict[tuple[str, str, str], float] = {}
        for taken in self.taken.values():
            self._judge_answer(taken, verdict)
            if taken.finals:
                finals[taken.proxy, taken.call, taken.tag] = min(final[0] for final in taken.finals)
        for key, legs in self.legs.items():
            self._judge_legs(key, legs, finals.get(key), verdict)
        self._judge_drains(verdict)
        for start in self.starts:
            self._judge_start(start, verdict)
        return verdict

    def _killed(self, proxy: str, since: float, until: float) -> bool:
        return any(since <= at <= until for at in self.kills.get(proxy, ()))

    def _judge_answer(self, taken: Taken, verdict: Verdict) -> None:
        """Rule 1: exactly one final answer, in time, and at once to one who gave up."""
        dialog = f"{taken.call} at {taken.proxy}"
        by = taken.at + taken.limit + SLACK
        finals = sorted(taken.finals)
        first = finals[0][0] if finals else float("inf")
        if self._killed(taken.proxy, taken.at - SLACK, min(first, by)) or any(
            since < by and until > taken.at + SLACK and first > since for since, until in self.pauses.get(taken.proxy, ())
        ):
            verdict.excused += 1
            return
        if any(taken.at <= at <= min(by, first) for at in self.stops.get(taken.asker, ())):
            return  # who asked is gone, and what was answered meanwhile reached nobody that could note it
        if not finals and self.last_at < by:
            return  # the capture ends before its time is up
        verdict.judged[1] += 1
        if not finals:
            verdict.breach(1, dialog, by, f"no final answer within {taken.limit:.2f} s", [taken.line])
            return
        at, status, tag, line = finals[0]
        if at > by:
            verdict.breach(
                1, dialog, at, f"answered {at - taken.at - taken.limit:.3f} s after the caller's time was up", [taken.line, line]
            )
        elif taken.cancelled is not None and at > taken.cancelled[0] + AT_ONCE:
            verdict.breach(
                1,
                dialog,
                at,
                f"given up, and answered only {at - taken.cancelled[0]:.3f} s later",
                [taken.line, taken.cancelled[1], line],
            )
        for other in finals[1:]:
            if other[1:3] != (status, tag):
                verdict.breach(
                    1, dialog, other[0], f"a second final answer ({status}, then {other[1]})", [taken.line, line, other[3]]
                )
                break

    def _judge_legs(self, key: tuple[str, str, str], legs: list[LegSeen], final: float | None, verdict: Verdict) -> None:
        """Rule 2 (one leg at a time), rule 5 (the release is awaited), and nothing sent once answered (1)."""
        proxy, call, _ = key
        dialog = f"{call} at {proxy}"
        legs.sort(key=lambda leg: leg.at)
        guard = self.figures["guard"]
        verdict.judged[2] += len(legs)
        for place, leg in enumerate(legs):
            if final is not None and leg.at > final + SLACK:
                verdict.breach(1, dialog, leg.at, "a leg was sent after the final answer", [leg.line])
            if place == 0:
                continue
            before = legs[place - 1]
            if self._killed(proxy, before.at, leg.at):
                continue
            ended, how, line = self._end_of(before, leg.at)
            if ended > leg.at + SLACK:
                verdict.breach(2, dialog, leg.at, "a leg was sent while another was out", [before.line, leg.line])
                continue
            again = next((number for at, number in before.sends if at > leg.at + SLACK), None)
            if again is not None:
                verdict.breach(2, dialog, leg.at, "an older leg was sent again after a newer one", [leg.line, again])
                continue
            if how != "answered":
                verdict.judged[5] += 1
                if leg.at < ended + guard - SLACK:
                    verdict.breach(
                        5,
                        dialog,
                        leg.at,
                        f"sent again {leg.at - ended:.3f} s after a leg that was {how}",
                        [before.line, line, leg.line],
                    )

    def _end_of(self, leg: LegSeen, by: float) -> tuple[float, str, int]:
        """When a leg that another one followed at `by` was over. What came after that can't have ended it."""
        if leg.end is not None and leg.end[0] <= by + SLACK:
            return leg.end
        # What was sent on a connection that is just being dropped is read, and noted, a moment after the drop. A drop is
        # noted before it is made, so one noted after the next leg can't be what that leg followed; a kill is noted after.
        over = [at for at in self.stops.get(leg.target, ()) if leg.at - SLACK <= at <= by + SLACK]
        if leg.stream:
            over += [at for at in self.resets.get(leg.target, ()) if leg.at - SLACK <= at <= by]
        stopped = min(over, default=None)
        if stopped is not None:
            return stopped, "reset", leg.line
        if leg.provisional is not None and leg.provisional <= by - SLACK:
            return float("inf"), "out", leg.line
        at, line = [sent for sent in leg.sends if sent[0] <= by + SLACK][-1]
        return at, "silent", line

    def _judge_drains(self, verdict: Verdict) -> None:
        """Rule 3: nothing new past the grace after word that a machine drains or is gone."""
        grace = self.figures["grace"]
        sent: dict[tuple[str, str], list[tuple[float, int, str]]] = {}
        for (proxy, call, _), legs in self.legs.items():
            for leg in legs:
                sent.setdefault((proxy, leg.target), []).append((leg.at, leg.line, call))
        for (proxy, name), words in self.words.items():
            words.sort(key=lambda word: word.at)
            for place, word in enumerate(words):
                if word.state == "ready" or place and words[place - 1].state != "ready":
                    continue
                back = next((later.at for later in words[place:] if later.state == "ready"), float("inf"))
                since = word.at + grace + SLACK
                if self.last_at < since or self._killed(proxy, word.at, since):
                    continue
                verdict.judged[3] += 1
                for at, line, call in sent.get((proxy, self.id_address[name]), ()):
                    if since < at < back and self._machine_at(self.id_address[name], at) in (name, ""):
                        verdict.breach(
                            3,
                            f"{call} at {proxy}",
                            at,
                            f"a leg to {name} {at - word.at:.2f} s after word that it is {word.state}",
                            [word.line, line],
                        )

    def _machine_at(self, address: str, at: float) -> str:
        lives = self.addresses.get(address, [])
        place = bisect_right([since for since, _ in lives], at)
        return lives[place - 1][1] if place else ""

    def _judge_start(self, start: Start, verdict: Verdict) -> None:
        """Rule 4: no span while it is cold brings it more set-ups than the multiple of what it can do."""
        verdict.judged[4] += 1
        span, multiple = self.figures["span"], self.figures["multiple"]
        until = start.at + start.warm_after
        until = min([until, *(at for at in self.stops.get(start.address, ()) if at > start.at)])
        arrivals = []
        for (proxy, call, _), legs in self.legs.items():
            for leg in legs:
                if leg.target == start.address and start.at <= leg.at < until:
                    words = self.words.get((proxy, start.exchange), ())
                    knew = any(word.cold and word.state == "ready" and start.at <= word.at <= leg.at for word in words)
                    arrivals.append((leg.at, knew, leg.line, call))
        arrivals.sort()
        first = 0
        for place, (at, _, line, call) in enumerate(arrivals):
            while arrivals[first][0] <= at - span:
                first += 1
            within = arrivals[first : place + 1]
            age = max(0.0, at - span - start.at)
            can = start.capacity * (start.from_share + (1 - start.from_share) * age / start.warm_after)
            if len(within) > multiple * can * span and 3 * sum(knew for _, knew, _, _ in within) >= 2 * len(within):
                verdict.breach(
                    4,
                    call,
                    at,
                    f"{len(within)} set-ups in {span:g} s to {start.exchange}, which had "
                    f"just started and could do {can * span:.1f}",
                    [start.line, within[0][2], line],
                )
                return


def check(path: Path) -> Verdict:
    """Judge a capture file. Raises BadCaptureError."""
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
        1 for taken in checker.taken.values() if taken.transit and taken.finals and 200 <= min(taken.finals)[1] < 300
    )
    return verdict
