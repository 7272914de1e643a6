"""One proxy in simulated time: the host of one controller. What the running edge does between SIP and the module, without SIP:
legs, late answers released, dialogs in transit, counts of circuits. The decisions are the module's own, unchanged."""

from collections.abc import Callable
from typing import Any, Protocol

from ..edge.circuits import CircuitCounts
from ..host import GwState, Learned, LegEnd, ListEntry, Rsn
from .engine import SECOND, Engine
from .rules import Rules


class Call:
    """A dialog at one proxy. `told` is called once with its final answer: status, Q.850 cause, seconds to stay away."""

    __slots__ = (
        "index",
        "kind",
        "width",
        "far",
        "transit",
        "told",
        "leg",
        "answered",
        "stands",
        "how",
        "rsn",
        "came",
        "source",
        "legs",
    )

    def __init__(
        self, index: int, kind: int, width: int, far: int, transit: bool, told: Callable[..., None], came: int, source: Any
    ) -> None:
        self.index, self.kind, self.width, self.far, self.transit = index, kind, width, far, transit
        self.told, self.came, self.source = told, came, source
        self.leg: Leg | None = None
        self.answered = self.stands = False
        self.how: LegEnd | None = None
        self.rsn = self.legs = 0


class Leg:
    """A leg of a call; `holds` is what the network keeps for it, to be released."""

    __slots__ = ("call", "gw", "number", "place", "sent", "over", "given_up", "holds", "proxy_life")

    def __init__(self, call: Call, gw: int, number: int, place: int, sent: int, proxy_life: int) -> None:
        self.call, self.gw, self.number, self.place, self.sent = call, gw, number, place, sent
        self.over = self.given_up = False
        self.holds: Any = None
        self.proxy_life = proxy_life


class Network(Protocol):
    """What carries a proxy's legs."""

    def leg(self, proxy: "Proxy", leg: Leg, machine: str, limit: int) -> None: ...
    def cancel(self, leg: Leg) -> None: ...
    def say(self, proxy: "Proxy", told: bytes) -> None: ...


class Proxy:
    """The proxy of exchange `here`. `make` gives its controller for a host; `life` counts its starts. With `remembers`
    a process begins with what the one before knew when it was killed."""

    def __init__(
        self,
        engine: Engine,
        network: Network,
        rules: Rules,
        here: int,
        make: Callable[[Any], Any],
        machines: list[tuple[str, int]],
        remembers: bool = False,
    ) -> None:
        self.engine, self.network, self.rules, self.here, self.make = engine, network, rules, here, make
        self.remembers = remembers
        self.kept: tuple[Learned, list[str], dict[str, ListEntry]] | None = None
        self.words: dict[str, ListEntry] = {}
        self.first = machines
        self.life = 0
        self.running = False
        self.paused_until = 0
        self.counts: dict[str, int] = {}
        self.start()

    # --- its life ---

    def start(self) -> None:
        """A process that knows nothing but its settings begins."""
        self.running = True
        self.life += 1
        self.ids: list[str] = []
        self.gws: dict[str, int] = {}
        self.numbers: list[int] = []
        self.calls: dict[int, Call] = {}
        self.circuits = CircuitCounts()
        self.dialogs = 0
        self.soon: list[tuple[Leg, LegEnd, int]] = []
        self.settling = False
        self.controller = self.make(self)
        entries = [ListEntry(self._gw(name, number), number, GwState.READY, 0) for name, number in self.first]
        now = self.engine.now
        self.controller.exchange_list_received(now, entries, True)
        if self.kept is not None:
            self._recall(now, *self.kept)
        self.controller.start(now)

    def _recall(self, now: int, learned: Learned, ids: list[str], words: dict[str, ListEntry]) -> None:
        """What the process before knew, under the indices of this one."""
        for name, word in words.items():
            if word.state != GwState.GONE or name in self.gws:
                self.controller.exchange_list_received(now, [word._replace(gw=self._gw(name, word.number))], False)
                self.rules.word(now, self.here, name, word.state)
        gws = [self.gws.get(name, -1) for name in ids]
        self.controller.restore(
            now,
            learned._replace(
                exchanges=[known._replace(gw=gws[known.gw]) for known in learned.exchanges if gws[known.gw] >= 0],
                pairs=[pair._replace(gw=gws[pair.gw]) for pair in learned.pairs if gws[pair.gw] >= 0],
            ),
            now - learned.now,
        )

    def kill(self) -> None:
        if not self.running:
            return
        if self.remembers and hasattr(self.controller, "export_learned"):  # baselines know nothing worth keeping
            self.kept = self.controller.export_learned(self.engine.now, 100_000), list(self.ids), dict(self.words)
        self.running = False
        self.life += 1
        self.rules.lost(self.here)
        self.calls.clear()

    def when_awake(self, run: Callable[..., None], *args: Any) -> None:
        """Now, or when the process goes on, if it still is the same by then."""
        if self.engine.now >= self.paused_until:
            run(*args)
        else:
            self.engine.at(self.paused_until, self._if_same, self.life, run, args)

    def _if_same(self, life: int, run: Callable[..., None], args: tuple[Any, ...]) -> None:
        if life == self.life and self.running:
            self.when_awake(run, *args)

    # --- what can happen ---

    def offered(
        self,
        kind: int,
        width: int,
        far: int,
        number: str,
        expires_in: int,
        transit: bool,
        redialled: bool,
        cut: bool,
        told: Callable[..., None],
        source: Any = None,
    ) -> Call:
        """A dialog comes."""
        now = self.engine.now
        call = Call(self.dialogs, kind, width, far, transit, told, now, source)
        self.dialogs += 1
        self.calls[call.index] = call
        self.rules.came(now, self.here, call.index, expires_in)
        self.controller.dialog_received(now, call.index, kind, far, width, number, expires_in, transit, redialled, cut)
        self._settle()
        return call

    def given_up(self, call: Call) -> None:
        """The caller called off: answered at once."""
        if call.answered or call.index not in self.calls:
            return
        self._final(call)
        self.controller.dialog_cancelled(self.engine.now, call.index)
        if call.leg is not None:
            self._give_up(call.leg, LegEnd.CANCELLED)
        else:
            self._forget(call)
        self._settle()

    def stood(self, leg: Leg) -> bool:
        """A leg was answered; whether anybody still wanted it."""
        call = leg.call
        if leg.over or leg.given_up or call.answered or not self._mine(leg):
            return False
        self.circuits.leg_reported(leg.number, id(leg))
        call.stands = True
        self._final(call)
        call.told(200, 0, 0)
        self.controller.dialog_established(self.engine.now, call.index, self.engine.now - leg.sent)
        self._settle()
        return True

    def ended(self, leg: Leg, how: LegEnd, rsn: int = 0) -> None:
        """A leg's end is known."""
        if not self._mine(leg):
            return
        self.soon.append((leg, how, rsn))
        self._settle()

    def listed(self, lines: list[tuple[str, int, GwState, int]]) -> None:
        """The list tells: id, number, state, start."""
        now = self.engine.now
        entries = []
        for name, number, state, started in lines:
            self.rules.word(now, self.here, name, state)
            entries.append(ListEntry(self._gw(name, number), number, state, started))
            self.words[name] = entries[-1]
        self.controller.exchange_list_received(now, entries, False)
        for number in {number for _, number, _, _ in lines}:
            free, size = self.circuits.count(number)
            if size >= 0:
                self._group(number, free, size)
        self._settle()

    def trunk_group_reported(self, number: int, free: int, size: int) -> None:
        self._group(number, *self.circuits.update(number, free, size))
        self._settle()

    def heard(self, told: bytes) -> None:
        self.controller.peer_report_received(self.engine.now, told)

    # --- what the controller asks for ---

    def send_leg(self, dialog: int, gw: int, limit: int) -> None:
        call, now = self.calls[dialog], self.engine.now
        leg = Leg(call, gw, self.numbers[gw], call.legs, now, self.life)
        call.legs += 1
        call.leg = leg
        self.rules.sent(now, self.here, dialog, self.ids[gw])
        self._count("legs")
        self.circuits.leg_sent(leg.number, id(leg), call.width)
        self.engine.after(limit, self._limit, leg)
        self.network.leg(self, leg, self.ids[gw], limit)

    def cancel_leg(self, dialog: int, leg: int) -> None:
        call = self.calls.get(dialog)
        if call is not None and call.leg is not None and call.leg.place == leg:
            self._give_up(call.leg, LegEnd.CANCELLED)

    def decline(self, dialog: int, hold_off: int) -> None:
        call = self.calls[dialog]
        self._count("declined")
        self._final(call)
        call.told(503, 21 if call.transit and call.how is None else self._cause(call), -(-hold_off // SECOND))
        if call.leg is None:
            self._forget(call)

    def abort(self, dialog: int) -> None:
        call = self.calls[dialog]
        self._count("aborted")
        self._final(call)
        call.told(408, 0, 0)
        if call.leg is None:
            self._forget(call)

    def schedule_tick(self, delay: int) -> None:
        self.engine.after(delay, self._beat, self.life)

    def send_to_peers(self, told: bytes) -> None:
        self.network.say(self, told)

    def subscribe(self) -> None:
        pass  # the list comes unasked here

    # --- small parts ---

    def _beat(self, life: int) -> None:
        if life != self.life or not self.running:
            return
        if self.engine.now < self.paused_until:
            self.engine.at(self.paused_until, self._beat, life)
            return
        self.controller.tick(self.engine.now)
        self._settle()

    def _limit(self, leg: Leg) -> None:
        if self._mine(leg) and not leg.over and not leg.given_up and not leg.call.stands:
            self._give_up(leg, LegEnd.NO_ANSWER)
            self._settle()

    def _mine(self, leg: Leg) -> bool:
        return self.running and leg.proxy_life == self.life

    def _settle(self) -> None:
        """Ends that arose while the controller was at work are told once it is done."""
        if self.settling:
            return
        self.settling = True
        while self.soon:
            self._leg_over(*self.soon.pop(0))
        self.settling = False

    def _leg_over(self, leg: Leg, how: LegEnd, rsn: int) -> None:
        if leg.over:
            return
        call, now = leg.call, self.engine.now
        leg.over = True
        call.leg = None
        call.how, call.rsn = how, rsn
        self.circuits.leg_reported(leg.number, id(leg))
        if how == LegEnd.FULL and rsn == Rsn.NO_CIRCUIT:
            self.circuits.group_refused(now, leg.number, call.width)
        self.rules.leg_over(now, self.here, call.index, how)
        over = call.answered
        if over:
            self._forget(call)
        self.controller.leg_ended(now, call.index, leg.gw, how, rsn, over, *self.circuits.count(leg.number))

    def _give_up(self, leg: Leg, how: LegEnd) -> None:
        if leg.over or leg.given_up:
            return
        leg.given_up = True
        self.network.cancel(leg)
        self.soon.append((leg, how, 0))

    def _final(self, call: Call) -> None:
        call.answered = True
        self.rules.answered(self.engine.now, self.here, call.index)

    def _forget(self, call: Call) -> None:
        self.calls.pop(call.index, None)
        self.rules.over(self.here, call.index)

    def _cause(self, call: Call) -> int:
        if call.how == LegEnd.BUSY:
            return 17
        return 42 if call.rsn in (Rsn.PROCESSOR_FULL, Rsn.BEYOND_TANDEM_FULL) else 21 if call.transit else 34

    def _group(self, number: int, free: int, size: int) -> None:
        for gw, held in enumerate(self.numbers):
            if held == number and gw in self.controller.exchanges:
                self.controller.trunk_group_reported(self.engine.now, gw, free, size)

    def _gw(self, name: str, number: int) -> int:
        gw = self.gws.get(name)
        if gw is None:
            gw = self.gws[name] = len(self.ids)
            self.ids.append(name)
            self.numbers.append(number)
        self.numbers[gw] = number
        return gw

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1
