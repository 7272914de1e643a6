"""All routing and admission decisions of one signalling proxy.

A proxy makes one `CallController` with its `Host` (see host.py), calls `start` once and then one method for each event,
with the present time. The controller acts by calling the host's methods before it returns. It does no I/O and reads no
clock. Times and durations are whole tenths of a millisecond.

The names of classes and fields here are not those in stored snapshots: a renamed field needs an entry in
trace/stored_names.py.
"""

from bisect import insort
from heapq import heappop, heappush

from .host import (
    GwState,
    Host,
    KnownCaller,
    KnownExchange,
    KnownPair,
    Learned,
    LegEnd,
    ListEntry,
    Rsn,
    TrafficType,
)

SECOND = 10_000
TICK_INTERVAL = SECOND // 50  # the one periodic timer of an instance
NEVER = 1 << 62
IN_DOUBT = (LegEnd.NO_ANSWER, LegEnd.CUT, LegEnd.CANCELLED)


class LinearCongruentialGenerator:
    """Pseudo-random numbers from the high bits of a 64-bit state, the same for the same seed on every platform."""

    def __init__(self, seed: int) -> None:
        self.state = seed & (1 << 64) - 1
        self.draw()

    def draw(self) -> float:
        """A number from 0 (included) to 1 (excluded)."""
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & (1 << 64) - 1
        return (self.state >> 33) / (1 << 31)


class TrunkGroup:
    """One trunk group of the own exchange. TBCA-BP (threshold based call admission and bandwidth prediction) limits the
    circuits that two-leg dialogs take in it.

    `run_limit`: so many declines (or acceptances at low occupancy) in a row leave the levels as they are; one more raises
    (or lowers) them. `steps`: by how many circuits the cap and the two thresholds then move.
    """

    def __init__(self, generator: LinearCongruentialGenerator, run_limit: int = 5, steps: tuple[float, float] = (2, 1)) -> None:
        self.generator, self.run_limit = generator, run_limit
        self.cap_step, self.threshold_step = steps
        self.free = 1 << 20  # until the first report: a direct leg may be tried, a tandem needs a known size
        self.reset_levels(0)

    def reset_levels(self, size: int) -> None:
        """Set the levels for a group of `size` circuits; levels learned at another size do not apply to it."""
        self.size = size
        self.min_cap = max(size / 2, size - 4)
        self.cap = size - min(2, size / 10)
        self.accept_below = self.cap - max(1, size / 10)
        self.lower_below = min(self.cap / 2, self.accept_below - 1)
        self.consecutive_declines = self.consecutive_low = 0

    def update(self, free: int, size: int) -> None:
        """A report of the group: free circuits and size."""
        if size != self.size:
            self.reset_levels(size)
        self.free = free

    def has_room(self, circuits: int) -> bool:
        """Whether a two-leg dialog would stay below the cap."""
        return self.size > 0 and self.size - self.free + circuits < self.cap

    def fits(self, circuits: int) -> bool:
        """Whether enough circuits are free."""
        return circuits <= self.free

    def admit(self, circuits: int, fresh: bool) -> bool:
        """Whether TBCA-BP accepts a two-leg dialog; adapts the levels to the run of results. A redialled dialog is not
        `fresh`: it is no new demand, and its decline is not counted."""
        occupied = self.size - self.free + circuits
        if circuits > self.free or occupied > self.cap:
            accepted = False
            self.consecutive_low = 0
        elif occupied < self.accept_below:
            accepted = True
            self.consecutive_low = self.consecutive_low + 1 if occupied < self.lower_below else 0
        else:
            accepted = self.generator.draw() >= (occupied - self.accept_below) / (self.cap - self.accept_below)
            self.consecutive_low = 0
        if accepted:
            self.consecutive_declines = 0
        elif fresh:
            self.consecutive_declines += 1
        if self.consecutive_declines > self.run_limit:
            self.consecutive_declines = 0
            self._shift_levels(1)
        elif self.consecutive_low > self.run_limit:
            self.consecutive_low = 0
            self._shift_levels(-1)
        return accepted

    def restore(self, known: KnownExchange, weight: float) -> None:
        """Take over levels learned before a restart. `weight` (0 to 1, less for older knowledge) places them between
        the initial levels and the learned ones. Free circuits stay unknown until the first report; if that gives
        another size, the levels are reset."""
        self.reset_levels(known.size)
        cap = self.cap + (known.cap - self.cap) * weight
        self.accept_below += (known.accept_below - self.accept_below) * weight
        self.lower_below += (known.lower_below - self.lower_below) * weight
        self.cap = min(max(cap, self.min_cap), self.size)
        self.accept_below = min(self.accept_below, self.cap - 1)
        self.lower_below = min(self.lower_below, self.accept_below - 1)

    def _shift_levels(self, direction: int) -> None:
        cap = self.cap + direction * self.cap_step
        if self.min_cap <= cap <= self.size:
            self.accept_below += direction * self.threshold_step
            self.lower_below += direction * self.threshold_step
        self.cap = min(max(cap, self.min_cap), self.size)
        self.accept_below = min(self.accept_below, self.cap - 1)
        self.lower_below = min(self.lower_below, self.accept_below - 1)


class Exchange:
    """What this proxy knows of a far end: its entry in the exchange list, the leg budget after a cold start, and how
    loaded its processor seems from set-up times and rejections.

    `cold_share`: the share of a warm exchange's legs that a cold one can process; `overload_factor`: how many times its
    capacity it endures for `cold_span`; `warm_after`: time from start until it is warm; `proxy_count`: proxies among
    which the budget is divided; `half_life`: time in which signs of load lose half their weight.
    """

    def __init__(
        self,
        gw: int,
        group: TrunkGroup,
        cold_share: float,
        warm_after: int,
        overload_factor: float,
        cold_span: int,
        proxy_count: int,
        half_life: int = SECOND,
    ) -> None:
        self.gw, self.group, self.number, self.half_life = gw, group, -1, half_life
        self.cold_share = cold_share * overload_factor / proxy_count
        self.min_cold_rate = 1 / proxy_count / SECOND  # one leg a second from all proxies until a set-up rate is known
        self.warm_after, self.cold_span = warm_after, cold_span
        self.ready = False
        self.started = 0
        self.overloaded_until = self.cold_until = 0
        # Bitmaps of the exchange numbers to which it reports room, for one-circuit and for the widest dialogs; all at first.
        self.reachable = -1, -1
        self.cold_legs: list[int] = []  # times of the legs sent within the last cold span, while cold
        self.needs_phase = False  # it restarted, and the random phase of its first leg is still to be drawn
        self.legs_out: dict[int, int] = {}  # dialogs with an unanswered leg to it: when the leg was sent
        self.fastest_setup = half_life // 10
        self.recent_setup = self.recent_setup_at = 0
        self.fault_share = 0.0  # moving average of the legs that ended with a signalling fault
        self.cold_blocked_until = 0  # cold when this controller started: legs sent by the process before are unknown
        self.restored = False

    def update_entry(self, entry: ListEntry) -> None:
        """Take over the exchange's entry in the list; a later start time makes it cold."""
        self.number = entry.number
        self.ready = entry.state == GwState.READY
        if entry.started > self.started:
            self.started = entry.started
            self.cold_until = entry.started + self.warm_after
            self.cold_legs.clear()
            self.needs_phase = True
            if self.restored:  # another process: set-up times restored from the one before do not apply
                self.recent_setup = self.overloaded_until = 0
                self.fastest_setup = self.half_life // 10

    def restore(self, now: int, known: KnownExchange, age: int, weight: float) -> None:
        """Take over what was learned `age` ago, with `weight` (0 to 1). A recent set-up time fades with its age, as it
        does while the controller runs."""
        self.restored = True
        self.cold_blocked_until = now + self.cold_span
        if known.size > 0:
            self.group.restore(known, weight)
        if known.started != self.started:
            return
        # A fastest set-up slower than the initial guess is not taken over: it would hold back every dialog, and
        # without legs it would never be corrected.
        self.fastest_setup += int((min(known.fastest_setup, self.fastest_setup) - self.fastest_setup) * weight)
        if known.recent_setup > 0:
            self.recent_setup, self.recent_setup_at = known.recent_setup, now - age - known.recent_setup_age
        self.overloaded_until = now + min(max(0, known.overloaded_for - age), 2 * self.half_life)

    def has_cold_budget(self, now: int, leg_rate: float) -> bool:
        """Whether a cold exchange may get one more leg from this proxy. `leg_rate`: legs that one warm far end gets from
        all proxies in a tenth of a millisecond.

        A warm exchange also has its own dialogs, probes, answers and releases to process, so three times that rate is
        still a low estimate of its capacity; the cold share applies until it must be warm. With many proxies the share
        of one is below one leg a span. One leg from each would exceed the budget of all, so the span is stretched until
        the share is one leg, and begins at a random phase."""
        if now >= self.cold_until:
            return True
        if now < self.cold_blocked_until:
            return False
        budget = max(3 * self.cold_share * leg_rate, self.min_cold_rate) * self.cold_span
        span = int(self.cold_span / min(1, budget))
        if self.needs_phase and budget < 1:
            self.cold_legs.append(now - int(self.group.generator.draw() * span))
        self.needs_phase = False
        while self.cold_legs and self.cold_legs[0] <= now - span:
            del self.cold_legs[0]
        return len(self.cold_legs) < max(1, int(budget))

    def leg_answered(self, dialog_index: int) -> None:
        """A leg has been answered. A processor with one queue answers in order, so answers still missing for earlier
        legs are lost, not late; a lost answer must not make a working exchange look silent."""
        sent_at = self.legs_out.pop(dialog_index, None)
        while sent_at is not None and self.legs_out and next(iter(self.legs_out.values())) < sent_at:
            del self.legs_out[next(iter(self.legs_out))]

    def record_setup(self, now: int, setup_duration: int) -> None:
        self.fastest_setup = min(setup_duration, self.fastest_setup + 10)
        self.recent_setup = (self.recent_setup + setup_duration) // 2  # a slow answer may be one short stall: it counts half
        self.recent_setup_at = now

    def expected_setup(self, now: int) -> int:
        """The set-up time to expect now: the recent one, its excess over the fastest halved each `half_life` without an
        answer, and at least the time that the oldest unanswered leg has been out."""
        duration = self.fastest_setup
        if self.recent_setup > duration:
            duration += int((self.recent_setup - duration) * 0.5 ** ((now - self.recent_setup_at) / self.half_life))
        if self.legs_out:
            duration = max(duration, now - next(iter(self.legs_out.values())))
        return duration


class Dialog:
    """A dialog from its arrival until it is answered and no leg of it is out."""

    __slots__ = (
        "first_tried_at",
        "traffic_type",
        "destination",
        "circuits",
        "caller_number",
        "transit",
        "redialled",
        "expires_at",
        "objective_at",
        "legs_sent",
        "leg_exchange",
        "next_leg_at",
        "answered",
        "in_doubt",
        "no_more_legs",
        "tried_gws",
        "waiting",
        "established",
        "random_rank",
        "advised_tandem",
    )

    def __init__(
        self,
        first_tried_at: int,
        traffic_type: int,
        destination: int,
        circuits: int,
        caller_number: str,
        transit: bool,
        redialled: bool,
        expires_at: int,
        objective_at: int,
        random_rank: float,
        advised_tandem: int,
    ) -> None:
        self.first_tried_at, self.traffic_type, self.destination, self.circuits, self.caller_number = (
            first_tried_at,
            traffic_type,
            destination,
            circuits,
            caller_number,
        )
        self.transit, self.redialled = transit, redialled
        self.expires_at, self.objective_at = expires_at, objective_at
        self.advised_tandem = advised_tandem  # exchange number of a tandem, or -1
        self.random_rank = random_rank  # drawn once: a waiting dialog must not draw again until it is let through
        self.legs_sent = 0
        self.leg_exchange: Exchange | None = None
        self.next_leg_at = 0  # no leg before this time
        self.answered = self.in_doubt = self.established = self.waiting = False
        self.no_more_legs = False  # no leg follows the one that is out
        self.tried_gws: set[int] = set()


class CallController:
    """Decides for one proxy.

    `own_exchange`: number of the own exchange, -1 where far ends are pools of agents; `proxy_count`: proxies of the
    network; `release_guard`: time that must pass after a leg in doubt before the next; `max_legs`: legs of one dialog;
    `max_hold_off`: hold-off asked of a declined caller; `must_subscribe`: the exchange list has to be asked for;
    `has_route_advice`: dialogs come with an advised tandem; `cold_share`, `warm_after`, `overload_factor` and
    `overload_span` describe an exchange after its start (see `Exchange`).
    """

    def __init__(
        self,
        host: Host,
        seed: int,
        own_exchange: int,
        proxy_count: int,
        traffic_types: list[TrafficType],
        *,
        release_guard: int,
        max_legs: int,
        max_hold_off: int,
        can_cancel_legs: bool,
        must_subscribe: bool,
        can_message_peers: bool,
        has_route_advice: bool,
        cold_share: float,
        warm_after: int,
        overload_factor: float,
        overload_span: int,
    ) -> None:
        self.host, self.own_exchange, self.proxy_count, self.traffic_types = host, own_exchange, proxy_count, traffic_types
        self.release_guard, self.max_legs = release_guard, max_legs
        self.max_hold_off, self.can_cancel_legs, self.must_subscribe = max_hold_off, can_cancel_legs, must_subscribe
        self.has_route_advice = has_route_advice  # the advice covers what proxies would report to each other
        self.next_report_at = 0 if can_message_peers and not has_route_advice and 0 <= own_exchange < 1000 else None
        # How fast signs of load fade: with shorter objectives queues empty sooner, and a second is long.
        self.half_life = min(2 * traffic_type.setup_objective // 3 for traffic_type in traffic_types)
        self.exchange_arguments = (cold_share, warm_after, overload_factor, overload_span, proxy_count, self.half_life)
        self.generator = LinearCongruentialGenerator(seed)
        self.exchanges: dict[int, Exchange] = {}  # by gw
        self.exchange_by_number: dict[int, Exchange] = {}
        self.dialogs: dict[int, Dialog] = {}
        self.timers: list[tuple[int, int, str]] = []  # heap of all timers but the tick: (due at, dialog, action)
        self.waiting_dialogs: list[tuple[float, int]] = []  # (-importance, dialog), sorted: they wait for a circuit
        self.now = 0
        self.refuse_from = self.answer_by = NEVER  # set by `shut_down`
        self.setup_rate = self.best_setup_rate = 0.0  # dialogs established in ten seconds: lately, and the best
        self.legs_sent = 0
        self.legs_out: dict[int, int] = {}  # dialogs with an unanswered leg: the leg's number in order of sending
        self.average_setup, self.max_circuits = 0.0, 1  # set-up time over all far ends; circuits of the widest dialog
        self.consecutive_full = self.last_full_at = 0  # legs in a row that came back full; when the last one did
        self.max_importance = max(t.importance for t in traffic_types)
        self.first_tried: dict[tuple[str, int, int], int] = {}  # unserved callers: time of their first try
        self.far_ends: list[Exchange] = []  # in the order of the last random picks
        self.proven_tandems: dict[int, list[Exchange]] = {}  # by destination: they set a dialog up to it
        self.tandem_backoffs: dict[tuple[int, int], tuple[int, int]] = {}  # (tandem gw, destination): until, duration

    # --- events ----------------------------------------------------------------------------------------

    def start(self, now: int) -> None:
        self.now = now
        if self.must_subscribe:
            self.host.subscribe()
        self.host.schedule_tick(TICK_INTERVAL)

    def tick(self, now: int) -> None:
        """Runs due timers, serves waiting dialogs and reports to peers."""
        self.now = now
        # The best rate of the last minute: one that fell with service would starve cold exchanges for good.
        self.best_setup_rate = max(self.best_setup_rate * (1 - TICK_INTERVAL / (60 * SECOND)), self.setup_rate)
        self.setup_rate *= 1 - TICK_INTERVAL / (10 * SECOND)
        while self.timers and self.timers[0][0] <= now:
            _, dialog_index, action = heappop(self.timers)
            dialog = self.dialogs.get(dialog_index)
            if action == "subscribe":
                self.host.subscribe()
            elif dialog is None or dialog.answered or dialog.established:
                continue
            elif action == "answer":  # every dialog is answered before its caller gives up, with or without a leg out
                if now >= self.answer_by and dialog.leg_exchange is None:
                    self._decline(dialog_index, dialog)  # this process ends: another one may serve the caller
                else:
                    self._abort(dialog_index, dialog)
            elif action == "give up" and dialog.waiting:
                self._decline(dialog_index, dialog)
            elif action == "silent" and dialog.leg_exchange is not None:
                self._cancel_silent_leg(dialog_index, dialog, dialog.leg_exchange)
            elif action == "again" and dialog.leg_exchange is None and not dialog.waiting and now >= dialog.next_leg_at:
                self._route(dialog_index, dialog)
        while self.first_tried:
            key = next(iter(self.first_tried))
            if now - self.first_tried[key] < self.traffic_types[key[1]].no_answer_time:
                break
            del self.first_tried[key]
        self._serve_waiting()
        if self.next_report_at is not None and now >= self.next_report_at:
            # Each proxy gets eight reports a second whatever their number: each report is work for its processor.
            self.next_report_at = now + int((0.5 + self.generator.draw()) * self.proxy_count * SECOND / 8)
            self.host.send_to_peers(
                b"".join([self.own_exchange.to_bytes(2), self._reachable_bitmap(1), self._reachable_bitmap(self.max_circuits)])
            )
        self.host.schedule_tick(TICK_INTERVAL)

    def peer_report_received(self, now: int, report: bytes) -> None:
        """Another proxy reports to which exchanges its own groups have room. Before the first report its exchange counts
        as reaching all. `report`: the peer's exchange number (2 bytes, big endian) and two bitmaps of equal length, for
        one-circuit and for the widest dialogs; a report of an unknown exchange or without bitmaps is ignored."""
        exchange = self.exchange_by_number.get(int.from_bytes(report[:2]))
        half = len(report) // 2 + 1
        if exchange is not None and half > 2:
            exchange.reachable = int.from_bytes(report[2:half]), int.from_bytes(report[half:])

    def _reachable_bitmap(self, circuits: int) -> bytes:
        bitmap = sum(
            1 << number
            for number, exchange in self.exchange_by_number.items()
            if number < 1000 and exchange.group.has_room(circuits)
        )
        return bitmap.to_bytes(min(max(self.exchange_by_number), 999) // 8 + 1)

    def exchange_list_received(self, now: int, entries: list[ListEntry], complete: bool) -> None:
        """Entries of the exchange list. `complete`: exchanges that it leaves out are gone."""
        self.now = now
        if complete:
            listed_gws = {entry.gw for entry in entries}
            for gw, exchange in self.exchanges.items():
                exchange.ready = exchange.ready and gw in listed_gws
        for entry in entries:
            exchange = self._exchange_for(entry.gw)
            exchange.update_entry(entry)
            # A replacement may hold the number already when its predecessor is listed as draining: it keeps the number.
            holder = self.exchange_by_number.get(entry.number)
            if holder is None or exchange.ready and exchange.started >= holder.started or not holder.ready:
                self.exchange_by_number[entry.number] = exchange

    def exchange_list_failed(self, now: int) -> None:
        """The exchange list could not be fetched; asked for again a second later."""
        self.now = now
        heappush(self.timers, (now + SECOND, -1, "subscribe"))

    def trunk_group_reported(self, now: int, gw: int, free: int, size: int) -> None:
        """Free circuits and size of the own group to `gw`."""
        self.now = now
        self._exchange_for(gw).group.update(free, size)

    def dialog_received(
        self,
        now: int,
        dialog_index: int,
        traffic_type: int,
        destination: int,
        circuits: int,
        caller_number: str,
        expires_in: int,
        transit: bool,
        redialled: bool,
        after_cut: bool,
        advised_tandem: int = -1,
    ) -> None:
        """A caller asks for a dialog, or an exchange for the second leg of one (`transit`). `expires_in`: the caller gives
        up after it; `after_cut`: it replaces an established dialog that was cut, so its objective starts now."""
        self.now = now
        expires_at = min(now + expires_in - 2 * TICK_INTERVAL, self.answer_by)
        first_tried_at = now if transit or after_cut else self.first_tried.pop((caller_number, traffic_type, destination), now)
        redialled = redialled or first_tried_at < now
        objective_at = min(first_tried_at + self.traffic_types[traffic_type].setup_objective, expires_at)
        self.max_circuits = max(self.max_circuits, circuits)
        dialog = Dialog(
            first_tried_at,
            traffic_type,
            destination,
            circuits,
            caller_number,
            transit,
            redialled,
            expires_at,
            objective_at,
            self.generator.draw(),
            advised_tandem,
        )
        self.dialogs[dialog_index] = dialog
        if now >= self.refuse_from:
            self._decline(dialog_index, dialog)
            return
        heappush(self.timers, (expires_at, dialog_index, "answer"))
        self._route(dialog_index, dialog)

    def shut_down(self, now: int, refuse_from: int, answer_by: int) -> None:
        """The process is about to end: dialogs received from `refuse_from` on are declined at once, and every dialog is
        answered by `answer_by`, however long its caller would wait."""
        self.now, self.refuse_from, self.answer_by = now, refuse_from, answer_by
        for dialog_index, dialog in self.dialogs.items():
            if dialog.expires_at > answer_by:
                dialog.expires_at = answer_by
                heappush(self.timers, (answer_by, dialog_index, "answer"))

    def dialog_established(self, now: int, dialog_index: int, setup_duration: int) -> None:
        """The leg that is out was answered `setup_duration` after it was sent."""
        self.now = now
        dialog = self.dialogs.get(dialog_index)
        if dialog is None:
            return
        dialog.established = True
        self.setup_rate += 1
        if dialog.leg_exchange is not None:
            self.legs_out.pop(dialog_index, None)
            dialog.leg_exchange.leg_answered(dialog_index)
            dialog.leg_exchange.fault_share -= dialog.leg_exchange.fault_share / 8
            self.average_setup += (setup_duration - self.average_setup) / 8
            self.consecutive_full = 0
            if dialog.leg_exchange.number == dialog.destination:
                dialog.leg_exchange.record_setup(now, setup_duration)
            elif dialog.leg_exchange not in self.proven_tandems.setdefault(dialog.destination, []):
                self.proven_tandems[dialog.destination].append(dialog.leg_exchange)
                self.tandem_backoffs.pop((dialog.leg_exchange.gw, dialog.destination), None)

    def leg_ended(
        self, now: int, dialog_index: int, gw: int, leg_end: LegEnd, rsn: int, finished: bool, free: int, size: int
    ) -> None:
        """A leg to `gw` has ended. `rsn`: why it was rejected (`Rsn`); `finished`: the dialog has had its final answer;
        `free` and `size`: the group's report that came with the end, -1 and -1 if none did."""
        self.now = now
        exchange = self._exchange_for(gw)
        if size >= 0:
            exchange.group.update(free, size)
        dialog = self.dialogs.get(dialog_index)
        if dialog is None:
            return
        exchange.legs_out.pop(dialog_index, None)
        self.legs_out.pop(dialog_index, None)
        dialog.leg_exchange = None
        if rsn in (Rsn.PROCESSOR_FULL, Rsn.BEYOND_TANDEM_FULL) or leg_end == LegEnd.UNREACHABLE:
            # A full processor (which rejections load as well), the own exchange down, or an unreachable one: whatever
            # the cause, it gets no other leg at once. A rejection counts a quarter, since it may be a short stall of
            # all processors; several in a row add up.
            overloaded = self.exchange_by_number[dialog.destination] if rsn == Rsn.BEYOND_TANDEM_FULL else exchange
            duration = self.traffic_types[dialog.traffic_type].setup_objective
            if leg_end == LegEnd.FULL:
                duration = (3 * overloaded.recent_setup + duration) // 4
                dialog.next_leg_at = now + self.half_life // 4
            overloaded.recent_setup, overloaded.recent_setup_at = max(overloaded.recent_setup, duration), now
            overloaded.overloaded_until = now + 2 * self.half_life
            self.consecutive_full, self.last_full_at = self.consecutive_full + 1, now
        elif leg_end == LegEnd.FULL and exchange.number != dialog.destination:
            # The tandem's own group is not visible from here: each rejection rules the tandem out for this destination,
            # twice as long each time in a row, since in large fleets many pairs have no group at all.
            duration = min(2 * self.tandem_backoffs.get((exchange.gw, dialog.destination), (0, 3 * self.half_life))[1], 60 * SECOND)
            self.tandem_backoffs[(exchange.gw, dialog.destination)] = (now + duration, duration)
            if exchange in self.proven_tandems.get(dialog.destination, ()):
                self.proven_tandems[dialog.destination].remove(exchange)
        if leg_end == LegEnd.BUSY:
            dialog.in_doubt = True  # it may have been set up: only a repeatable dialog gets another leg
            if rsn == Rsn.NONE:
                exchange.fault_share += (1 - exchange.fault_share) / 8
        if leg_end in IN_DOUBT:
            dialog.in_doubt = True
            dialog.next_leg_at = now + self.release_guard
            if leg_end != LegEnd.CUT:  # no answer, whatever the cause: not used as a tandem for a while
                exchange.overloaded_until = now + 2 * self.half_life
        dialog.answered = dialog.answered or finished
        if dialog.answered:
            del self.dialogs[dialog_index]
        elif dialog.established:
            self._abort(dialog_index, dialog)
        elif dialog.no_more_legs:
            self._decline(dialog_index, dialog)
        elif leg_end == LegEnd.BUSY and (rsn != Rsn.NONE or exchange.fault_share > 0.9):
            # Busy lines stay busy. A signalling fault may pass: the dialog is routed again as long as any legs to that
            # exchange succeed, otherwise each dialog would send all its legs to a broken exchange.
            self._decline(dialog_index, dialog)
        elif dialog.next_leg_at > now:
            heappush(self.timers, (dialog.next_leg_at, dialog_index, "again"))
        else:
            self._route(dialog_index, dialog)

    def leg_cut_late(self, now: int, dialog_index: int) -> None:
        """The connection of a cancelled leg was lost only now, so the leg may have been out until now: the release guard
        starts again, unless another leg has been sent."""
        self.now = now
        dialog = self.dialogs.get(dialog_index)
        if dialog is None or dialog.answered or dialog.established or dialog.leg_exchange is not None:
            return
        dialog.next_leg_at = now + self.release_guard
        heappush(self.timers, (dialog.next_leg_at, dialog_index, "again"))

    def caller_done(self, now: int, dialog_index: int) -> None:
        """The caller has closed its sending side and may have gone: a leg that is out may still be answered, but no other
        leg is sent."""
        self.now = now
        dialog = self.dialogs.get(dialog_index)
        if dialog is None or dialog.answered or dialog.established:
            return
        dialog.no_more_legs = True
        if dialog.leg_exchange is None:
            self._decline(dialog_index, dialog)

    def dialog_cancelled(self, now: int, dialog_index: int) -> None:
        """The caller has given the dialog up."""
        self.now = now
        dialog = self.dialogs.get(dialog_index)
        if dialog is not None:
            self._close(dialog_index, dialog)

    # --- state over restarts -----------------------------------------------------------------------------

    def export_learned(self, now: int, max_callers: int) -> Learned:
        """What a controller that replaces this one should know; of unserved callers the latest `max_callers`."""
        exchanges = [
            KnownExchange(
                exchange.gw,
                exchange.started,
                exchange.fastest_setup,
                exchange.recent_setup,
                now - exchange.recent_setup_at if exchange.recent_setup else 0,
                max(0, exchange.overloaded_until - now),
                exchange.group.size,
                exchange.group.cap,
                exchange.group.accept_below,
                exchange.group.lower_below,
            )
            for exchange in self.exchanges.values()
        ]
        pairs = [
            KnownPair(gw, destination, until - now, duration)
            for (gw, destination), (until, duration) in self.tandem_backoffs.items()
            if until > now
        ]
        pairs += [
            KnownPair(exchange.gw, destination, 0, 0)
            for destination, tandems in self.proven_tandems.items()
            for exchange in tandems
        ]
        latest = list(self.first_tried.items())[-max_callers:]
        callers = [KnownCaller(*key, now - first_tried_at) for key, first_tried_at in latest]
        return Learned(now, exchanges, pairs, callers, self.best_setup_rate, self.average_setup)

    def restore(self, now: int, known: Learned, age: int) -> None:
        """Called before `start`, with exchanges listed: take over what another controller exported `age` ago (-1: unknown).
        Its weight halves each minute, as the best rate fades while the controller runs, and it blocks nothing for good:
        whatever keeps dialogs from a far end or a tandem expires."""
        weight = 0.0 if age < 0 else 2.0 ** (-age / (60 * SECOND))
        if age < 0:
            known, age = known._replace(callers=[]), 60 * SECOND
        # Restored set-up times may be outdated: taken over in full, those of slow far ends held back dialogs that these
        # could have served.
        max_setup = min(traffic_type.setup_objective for traffic_type in self.traffic_types) // 2
        for exchange in known.exchanges:
            exchange = exchange._replace(recent_setup=min(exchange.recent_setup, max_setup))
            self._exchange_for(exchange.gw).restore(now, exchange, age, weight)
        for gw, destination, remaining, duration in known.pairs:
            if duration:
                until = now + min(max(0, remaining - age), duration, 60 * SECOND)
                self.tandem_backoffs[gw, destination] = until, min(duration, 60 * SECOND)
            else:
                self.proven_tandems.setdefault(destination, []).append(self._exchange_for(gw))
        for caller_number, traffic_type, destination, first_tried_ago in known.callers:
            if age + first_tried_ago < self.traffic_types[traffic_type].no_answer_time:
                self.first_tried[caller_number, traffic_type, destination] = now - age - first_tried_ago
        self.best_setup_rate = max(self.best_setup_rate, known.best_setup_rate * weight)
        self.average_setup = known.average_setup * weight

    # --- routing -----------------------------------------------------------------------------------------

    def _route(self, dialog_index: int, dialog: Dialog) -> None:
        """Try the dialog's routes in order: a transit dialog takes the direct group if TBCA-BP accepts it; any other the
        direct group if it fits, then the better of two random tandems, then the other one; then it waits for a circuit
        of the direct group, or is declined."""
        direct = self.exchange_by_number.get(dialog.destination)
        if dialog.transit:
            if not (
                direct is not None
                and direct.group.admit(dialog.circuits, not dialog.redialled)
                and self._send(dialog_index, dialog, direct)
            ):
                self._decline(dialog_index, dialog)
            return
        if direct is None or not direct.ready or dialog.in_doubt and not self.traffic_types[dialog.traffic_type].repeatable:
            self._decline(dialog_index, dialog)
            return
        if self._is_held_back(dialog, direct):
            self._wait(dialog_index, dialog, direct)
            return
        # A redial past its objective takes direct circuits only as a two-leg dialog would: fresh dialogs come first.
        late = self.now >= dialog.objective_at
        accepted = direct.group.admit(dialog.circuits, False) if late else direct.group.fits(dialog.circuits)
        if accepted and self._send(dialog_index, dialog, direct):
            return
        for tandem in self._select_tandems(dialog):
            if tandem.group.admit(dialog.circuits, not dialog.redialled) and self._send(dialog_index, dialog, tandem):
                return
        self._wait(dialog_index, dialog, direct)

    def _select_tandems(self, dialog: Dialog) -> list[Exchange]:
        """Up to two random tandems, the one with more free first-leg circuits first. Tandems that have set a dialog up to
        the destination since they last rejected one come before others: in a large fleet most others have no second
        group, or a full one, and each rejection is work for two processors. An advised tandem, the one with the most
        room on both groups, takes the first place."""
        if dialog.redialled:
            return []
        advised = self.exchange_by_number.get(dialog.advised_tandem)
        selected = self._fill_tandems([advised], dialog, []) if advised is not None else []
        if len(selected) < 2:
            selected = self._fill_tandems(self.proven_tandems.get(dialog.destination, []), dialog, selected)
        if len(selected) < 2 and not (
            self.has_route_advice and dialog.legs_sent
        ):  # with advice, no tandem without a record after the first leg
            selected = self._fill_tandems(self.far_ends, dialog, selected)
        selected.sort(key=lambda exchange: -exchange.group.free)
        return selected

    def _fill_tandems(self, pool: list[Exchange], dialog: Dialog, selected: list[Exchange]) -> list[Exchange]:
        """Add random usable exchanges of the pool until two are selected, looking at no more of them than needed. Leaves
        the pool partly shuffled."""
        allowed = self.traffic_types[dialog.traffic_type].pools
        for index in range(len(pool)):
            other = index + int(self.generator.draw() * (len(pool) - index))
            exchange = pool[other]
            pool[index], pool[other] = exchange, pool[index]
            if (
                exchange.ready
                and dialog.circuits <= exchange.group.free <= exchange.group.size
                and exchange.number not in (dialog.destination, self.own_exchange)
                and exchange.gw not in dialog.tried_gws
                and exchange not in selected
                and exchange.reachable[dialog.circuits > 1] >> dialog.destination & 1
                and self.tandem_backoffs.get((exchange.gw, dialog.destination), (0, 0))[0] <= self.now
                and (allowed is None or exchange.number in allowed)
                and not self._is_avoided(exchange, dialog)
            ):
                selected.append(exchange)
                if len(selected) == 2:
                    break
        return selected

    def _is_avoided(self, exchange: Exchange, dialog: Dialog) -> bool:
        """Whether a tandem is skipped: it was full or silent lately, or is too slow to be one hop of two."""
        return (
            exchange.overloaded_until > self.now
            or max(self.average_setup, exchange.expected_setup(self.now)) > (dialog.objective_at - self.now) // 4
        )

    def _is_held_back(self, dialog: Dialog, exchange: Exchange) -> bool:
        """Whether the route is too slow for this dialog, because the far processor is loaded, paused or silent or the own
        one is flooded: dialogs of low importance are held back first. This costs service where stalls are short."""
        traffic_type = self.traffic_types[dialog.traffic_type]
        late = self.now >= dialog.objective_at
        remaining = traffic_type.setup_objective // 4 if late else dialog.objective_at - self.now
        rank = traffic_type.importance / self.max_importance * (traffic_type.late_share if late else 1)
        duration = exchange.expected_setup(self.now)
        if self.consecutive_full > 3:  # far ends are not all full at the same time: it is the own processor
            duration = max(duration, traffic_type.setup_objective * 0.5 ** ((self.now - self.last_full_at) / self.half_life))
        return (duration / remaining - 0.15 - 0.4 * rank) / 0.3 > dialog.random_rank

    # --- waiting for a circuit -----------------------------------------------------------------------------

    def _wait(self, dialog_index: int, dialog: Dialog, exchange: Exchange) -> None:
        """Keep a dialog that no route takes while it can still be established within its setup objective; else decline it."""
        until = dialog.objective_at - max(2 * exchange.fastest_setup, exchange.expected_setup(self.now))
        if dialog.redialled or until <= self.now:
            self._decline(dialog_index, dialog)
            return
        if exchange.group.size < dialog.circuits:  # no direct circuit will ever be free: tandems are tried again later
            heappush(
                self.timers,
                (self.now + self.traffic_types[dialog.traffic_type].setup_objective // 4, dialog_index, "again"),
            )
        elif not dialog.waiting:
            dialog.waiting = True
            insort(self.waiting_dialogs, (-self.traffic_types[dialog.traffic_type].importance, dialog_index))
            heappush(self.timers, (until, dialog_index, "give up"))

    def _is_reserved(self, dialog: Dialog, exchange: Exchange) -> bool:
        """Whether a more important dialog waits for more circuits to this exchange than are free: narrow dialogs, which
        are more frequent, would take each freed circuit before enough for a wide one are free at once."""
        return any(
            -rank > self.traffic_types[dialog.traffic_type].importance
            and self.dialogs[other].destination == exchange.number
            and exchange.group.free < self.dialogs[other].circuits <= exchange.group.size
            for rank, other in self.waiting_dialogs
        )

    def _serve_waiting(self) -> None:
        """Give freed circuits to waiting dialogs, the more important first."""
        for entry in list(self.waiting_dialogs):
            dialog = self.dialogs[entry[1]]
            direct = self.exchange_by_number[dialog.destination]
            if (
                direct.group.fits(dialog.circuits)
                and not self._is_held_back(dialog, direct)
                and self._send(entry[1], dialog, direct)
            ):
                dialog.waiting = False
                self.waiting_dialogs.remove(entry)

    # --- the only places that act on a dialog -----------------------------------------------------------------

    def _send(self, dialog_index: int, dialog: Dialog, exchange: Exchange) -> bool:
        """Send a leg if every rule allows it. Nothing else sends legs."""
        if (
            dialog.answered
            or dialog.established
            or dialog.leg_exchange is not None
            or self.now < dialog.next_leg_at
            or dialog.legs_sent >= self.max_legs
            or self.now >= dialog.expires_at
            or (dialog.in_doubt and not self.traffic_types[dialog.traffic_type].repeatable)
            or not exchange.ready
            or exchange.number == self.own_exchange
            or (dialog.transit and exchange.number != dialog.destination)
            or not exchange.group.fits(dialog.circuits)
            or self._is_reserved(dialog, exchange)
            or not exchange.has_cold_budget(self.now, self._leg_rate())
        ):
            return False
        if self.now < exchange.cold_until:
            exchange.cold_legs.append(self.now)
        dialog.legs_sent, dialog.leg_exchange = dialog.legs_sent + 1, exchange
        dialog.tried_gws.add(exchange.gw)
        exchange.legs_out[dialog_index] = self.now
        exchange.group.free -= dialog.circuits
        self.legs_out[dialog_index] = self.legs_sent = self.legs_sent + 1
        heappush(
            self.timers,
            (dialog.objective_at - self.release_guard - 4 * exchange.fastest_setup, dialog_index, "silent"),
        )
        self.host.send_leg(dialog_index, exchange.gw, dialog.expires_at - self.now)
        return True

    def _cancel_silent_leg(self, dialog_index: int, dialog: Dialog, exchange: Exchange) -> None:
        """Cancel an unanswered leg at the last moment at which the release guard and another leg fit the objective, if
        its answer seems lost or the exchange is down: most legs sent after it, to any exchange, were answered, and
        quickly. Otherwise processors are slow, and cancelling would leave them with useless work. A single slow far end
        looks the same from here, and cancelling wastes its work."""
        later = self.legs_sent - self.legs_out[dialog_index]
        silent = list(reversed(self.legs_out)).index(dialog_index)
        if (
            self.can_cancel_legs
            and not dialog.no_more_legs
            and later > 1
            and 2 * silent <= later
            and self.now - exchange.legs_out.get(dialog_index, 0) > 3 * self.average_setup
        ):
            self.host.cancel_leg(dialog_index, dialog.legs_sent - 1)

    def _decline(self, dialog_index: int, dialog: Dialog) -> None:
        if dialog.in_doubt and not self.traffic_types[dialog.traffic_type].repeatable:
            self._abort(dialog_index, dialog)
            return
        # A process that is ending asks for no hold-off: other proxies serve the callers, and so will its successor.
        self.host.decline(dialog_index, 0 if dialog.transit or self.refuse_from < NEVER else self.max_hold_off)
        self._close(dialog_index, dialog)

    def _abort(self, dialog_index: int, dialog: Dialog) -> None:
        if dialog.leg_exchange is not None and self.can_cancel_legs:
            self.host.cancel_leg(dialog_index, dialog.legs_sent - 1)
        self.host.abort(dialog_index)
        self._close(dialog_index, dialog)

    def _close(self, dialog_index: int, dialog: Dialog) -> None:
        """Mark a dialog as answered, and forget it unless a leg is out, whose end will still be reported. An unserved
        caller may redial, with or without a mark, and its objective counts from the first try: treated as fresh, redials
        took circuits from dialogs still within their objective. Callers that share a number suffer from this."""
        dialog.answered = True
        if not (dialog.transit or dialog.established):
            self.first_tried[dialog.caller_number, dialog.traffic_type, dialog.destination] = dialog.first_tried_at
        if dialog.waiting:
            self.waiting_dialogs.remove((-self.traffic_types[dialog.traffic_type].importance, dialog_index))
            dialog.waiting = False
        if dialog.leg_exchange is None:
            del self.dialogs[dialog_index]

    def _leg_rate(self) -> float:
        """Legs that one far end sets up for all proxies in a tenth of a millisecond, as estimated from the own ones. Legs
        that failed do not count: in congestion they would raise the budget of a cold exchange."""
        return self.best_setup_rate / (10 * SECOND) / max(1, len(self.exchange_by_number)) * self.proxy_count

    def _exchange_for(self, gw: int) -> Exchange:
        if gw not in self.exchanges:
            self.exchanges[gw] = Exchange(gw, TrunkGroup(self.generator), *self.exchange_arguments)
            self.far_ends.append(self.exchanges[gw])
        return self.exchanges[gw]
