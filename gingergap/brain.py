"""All routing and admission decisions of one signalling proxy.

A proxy makes one `CallController` with its `Host` (see host.py), calls `begin` once and then one method for
each thing that happens, with the time now. The controller acts by calling the host before it returns.
Times are whole tenths of a millisecond.
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
BEAT = SECOND // 50  # the one periodic timer of an instance
NEVER = 1 << 62
IN_DOUBT = (LegEnd.NO_ANSWER, LegEnd.CUT, LegEnd.CANCELLED)


class Chance:
    """A linear congruential generator of which the high bits are used."""

    def __init__(self, seed: int) -> None:
        self.state = seed & (1 << 64) - 1
        self.draw()

    def draw(self) -> float:
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & (1 << 64) - 1
        return (self.state >> 33) / (1 << 31)


class TrunkGroup:
    """One own group, guarded against two-leg dialogs by the paper's TBCA-BP."""

    def __init__(self, chance: Chance, patience: int = 5, steps: tuple[float, float] = (2, 1)) -> None:
        self.chance, self.patience = chance, patience
        self.cap_step, self.threshold_step = steps
        self.free = 1 << 20  # until told: a direct leg may try its luck, a tandem needs a known size
        self.resize(0)

    def resize(self, size: int) -> None:
        """Start the levels anew: what was learned of another size says nothing of this one."""
        self.size = size
        self.floor = max(size / 2, size - 4)
        self.cap = size - min(2, size / 10)
        self.accept_below = self.cap - max(1, size / 10)
        self.lower_below = min(self.cap / 2, self.accept_below - 1)
        self.declines = self.idles = 0

    def told(self, free: int, size: int) -> None:
        if size != self.size:
            self.resize(size)
        self.free = free

    def room(self, width: int) -> bool:
        return self.size > 0 and self.size - self.free + width < self.cap

    def fits(self, width: int) -> bool:
        return width <= self.free

    def judge(self, width: int, fresh: bool) -> bool:
        """The paper's judgement of a two-leg dialog; one dialled again is no fresh sign of demand."""
        after = self.size - self.free + width
        if width > self.free or after > self.cap:
            accepted = False
            self.idles = 0
        elif after < self.accept_below:
            accepted = True
            self.idles = self.idles + 1 if after < self.lower_below else 0
        else:
            accepted = self.chance.draw() >= (after - self.accept_below) / (self.cap - self.accept_below)
            self.idles = 0
        if accepted:
            self.declines = 0
        elif fresh:
            self.declines += 1
        if self.declines > self.patience:
            self.declines = 0
            self._move(1)
        elif self.idles > self.patience:
            self.idles = 0
            self._move(-1)
        return accepted

    def recall(self, known: KnownExchange, weight: float) -> None:
        """Levels learned before a restart, drawn toward where they would start by how old they are. Circuits
        are not known until told: should the group have another size then, the levels start anew."""
        self.resize(known.size)
        cap = self.cap + (known.cap - self.cap) * weight
        self.accept_below += (known.accept_below - self.accept_below) * weight
        self.lower_below += (known.lower_below - self.lower_below) * weight
        self.cap = min(max(cap, self.floor), self.size)
        self.accept_below = min(self.accept_below, self.cap - 1)
        self.lower_below = min(self.lower_below, self.accept_below - 1)

    def _move(self, way: int) -> None:
        cap = self.cap + way * self.cap_step
        if self.floor <= cap <= self.size:
            self.accept_below += way * self.threshold_step
            self.lower_below += way * self.threshold_step
        self.cap = min(max(cap, self.floor), self.size)
        self.accept_below = min(self.accept_below, self.cap - 1)
        self.lower_below = min(self.lower_below, self.accept_below - 1)


class Exchange:
    """A far end as this proxy knows it: the list's word, the cold budget, the processor's pressure."""

    def __init__(
        self,
        gw: int,
        group: TrunkGroup,
        cold_from: float,
        warm_after: int,
        multiple: float,
        span: int,
        proxies: int,
        ease: int = SECOND,
    ) -> None:
        self.gw, self.group, self.number, self.ease = gw, group, -1, ease
        self.cold_share = cold_from * multiple / proxies
        self.least = 1 / proxies / SECOND  # all together a leg a second until service has been seen
        self.warm_after, self.span = warm_after, span
        self.ready = False
        self.started = 0
        self.pressed_until = self.cold_until = 0
        self.reach = -1, -1  # a bit for each number that it has room to, for narrow and for wide dialogs
        self.sent: list[int] = []  # legs sent within the cold budget's span, while cold
        self.unspread = False  # a start whose first moment is still to be drawn
        self.out: dict[int, int] = {}  # dialogs with an unanswered leg here, and when it left
        self.quickest = ease // 10
        self.took = self.took_at = 0
        self.faults = 0.0  # the share of late of legs that came back with a fault in signalling
        self.rests_until = 0  # cold when this module began: what was sent to it before is not known
        self.recalled = False

    def listed(self, entry: ListEntry) -> None:
        self.number = entry.number
        self.ready = entry.state == GwState.READY
        if entry.started > self.started:
            self.started = entry.started
            self.cold_until = entry.started + self.warm_after
            self.sent.clear()
            self.unspread = True
            if self.recalled:  # another process: what was remembered of the one before says nothing of it
                self.took = self.pressed_until = 0
                self.quickest = self.ease // 10

    def recall(self, now: int, known: KnownExchange, age: int, weight: float) -> None:
        """What was learned `age` ago. A set-up time of late fades by itself, as while the module runs."""
        self.recalled = True
        self.rests_until = now + self.span
        if known.size > 0:
            self.group.recall(known, weight)
        if known.started != self.started:
            return
        # Slower than a fresh guess is nothing to begin with: it would keep all back, and nothing mend it.
        self.quickest += int((min(known.quickest, self.quickest) - self.quickest) * weight)
        if known.took > 0:
            self.took, self.took_at = known.took, now - age - known.took_ago
        self.pressed_until = now + min(max(0, known.pressed_for - age), 2 * self.ease)

    def cold_room(self, now: int, usual: float) -> bool:
        """Whether a cold exchange may get one more leg from here. `usual` is what one warm far end gets
        from all proxies a tenth of a millisecond. Its own dialogs, looks, answers and releases come on top,
        so thrice as much is still a low guess of its capacity; the cold share holds until it must be warm.
        Among many proxies a share is under one leg a span. One leg each would add up to more than the budget
        of all, so it is then one in as many spans as that takes, from a random moment on."""
        if now >= self.cold_until:
            return True
        if now < self.rests_until:
            return False
        share = max(3 * self.cold_share * usual, self.least) * self.span
        span = int(self.span / min(1, share))
        if self.unspread and share < 1:
            self.sent.append(now - int(self.group.chance.draw() * span))
        self.unspread = False
        while self.sent and self.sent[0] <= now - span:
            del self.sent[0]
        return len(self.sent) < max(1, int(share))

    def overtaken(self, dialog: int) -> None:
        """A leg is over. A processor with one line answers in order: an answer to it means that those for
        earlier legs are lost, not late, and a lost answer must not make a running exchange look silent."""
        left = self.out.pop(dialog, None)
        while left is not None and self.out and next(iter(self.out.values())) < left:
            del self.out[next(iter(self.out))]

    def answered(self, now: int, took: int) -> None:
        self.quickest = min(took, self.quickest + 10)
        self.took = (self.took + took) // 2  # one slow answer may be a short stall: it counts half
        self.took_at = now

    def expected(self, now: int) -> int:
        """The set-up time to expect now: of late, halved for each `ease` without news, and no less
        than the longest that a leg has been out here."""
        took = self.quickest
        if self.took > took:
            took += int((self.took - took) * 0.5 ** ((now - self.took_at) / self.ease))
        if self.out:
            took = max(took, now - next(iter(self.out.values())))
        return took


class Dialog:
    """A dialog from its arrival to its last word."""

    __slots__ = (
        "first",
        "kind",
        "far",
        "width",
        "number",
        "transit",
        "redialled",
        "expires",
        "objective_at",
        "legs",
        "leg_to",
        "not_before",
        "answered",
        "doubt",
        "last_leg",
        "tried",
        "waits",
        "stands",
        "luck",
        "advised",
    )

    def __init__(
        self,
        first: int,
        kind: int,
        far: int,
        width: int,
        number: str,
        transit: bool,
        redialled: bool,
        expires: int,
        objective_at: int,
        luck: float,
        advised: int,
    ) -> None:
        self.first, self.kind, self.far, self.width, self.number = first, kind, far, width, number
        self.transit, self.redialled = transit, redialled
        self.expires, self.objective_at = expires, objective_at
        self.advised = advised  # a tandem's number, or -1
        self.luck = luck  # drawn once: a dialog that waits must not draw until it wins
        self.legs = 0
        self.leg_to: Exchange | None = None
        self.not_before = 0
        self.answered = self.doubt = self.stands = self.waits = False
        self.last_leg = False  # no leg follows the one that is out
        self.tried: set[int] = set()


class CallController:
    """Decides for one proxy. `here` is the own exchange's number, -1 where far ends are pools of agents."""

    def __init__(
        self,
        host: Host,
        seed: int,
        here: int,
        proxies: int,
        types: list[TrafficType],
        *,
        release_guard: int,
        most_legs: int,
        longest_hold_off: int,
        may_cancel: bool,
        must_ask: bool,
        may_tell: bool,
        centre_advises: bool,
        cold_from: float,
        warm_after: int,
        multiple: float,
        fall_span: int,
    ) -> None:
        self.host, self.here, self.proxies, self.types = host, here, proxies, types
        self.release_guard, self.most_legs = release_guard, most_legs
        self.longest_hold_off, self.may_cancel, self.must_ask = longest_hold_off, may_cancel, must_ask
        self.centre_advises = centre_advises  # it knows at no cost what proxies would tell each other
        self.tell_at = 0 if may_tell and not centre_advises and 0 <= here < 1000 else None
        # How fast signs of pressure fade: where all is quicker, queues empty sooner, and a second is long.
        self.ease = min(2 * kind.setup_objective // 3 for kind in types)
        self.cold_figures = (cold_from, warm_after, multiple, fall_span, proxies, self.ease)
        self.chance = Chance(seed)
        self.gws: dict[int, Exchange] = {}
        self.by_number: dict[int, Exchange] = {}
        self.dialogs: dict[int, Dialog] = {}
        self.due: list[tuple[int, int, str]] = []  # all due times but the beat: (when, dialog, what)
        self.waiting: list[tuple[float, int]] = []  # (less importance, dialog): none would take it
        self.now = 0
        self.refuse_from = self.answer_by = NEVER  # set when the process is told to end
        self.stood_rate = self.best_rate = 0.0  # dialogs that stood, over the last ten seconds
        self.legs_sent = 0
        self.legs_out: dict[int, int] = {}  # dialogs with an unanswered leg, numbered as sent
        self.pace, self.widest = 0.0, 1  # set-up time of late, over all far ends; of all dialogs
        self.fulls = self.full_at = 0  # legs in a row that came back full, and the last of them
        self.top_importance = max(t.importance for t in types)
        self.first_tried: dict[tuple[str, int, int], int] = {}  # unserved callers: when they first tried
        self.far_ends: list[Exchange] = []  # in the order of the last random picks
        self.carried: dict[int, list[Exchange]] = {}  # destination: tandems that brought a dialog there
        self.turned_back: dict[tuple[int, int], tuple[int, int]] = {}  # (tandem, destination): until, span

    # --- what can happen -----------------------------------------------------------------------------

    def begin(self, now: int) -> None:
        self.now = now
        if self.must_ask:
            self.host.subscribe()
        self.host.wake_after(BEAT)

    def beat(self, now: int) -> None:
        self.now = now
        # The best of the last minute: a guess that falls with service would starve cold exchanges for good.
        self.best_rate = max(self.best_rate * (1 - BEAT / (60 * SECOND)), self.stood_rate)
        self.stood_rate *= 1 - BEAT / (10 * SECOND)
        while self.due and self.due[0][0] <= now:
            _, dialog, what = heappop(self.due)
            d = self.dialogs.get(dialog)
            if what == "subscribe":
                self.host.subscribe()
            elif d is None or d.answered or d.stands:
                continue
            elif what == "answer":  # no dialog outlives the client's time: answer, whatever is still out
                if now >= self.answer_by and d.leg_to is None:
                    self._decline(dialog, d)  # the process ends: another may serve it
                else:
                    self._abort(dialog, d)
            elif what == "give up" and d.waits:
                self._decline(dialog, d)
            elif what == "silent" and d.leg_to is not None:
                self._end_silent(dialog, d, d.leg_to)
            elif what == "again" and d.leg_to is None and not d.waits and now >= d.not_before:
                self._route(dialog, d)
        while self.first_tried:
            key = next(iter(self.first_tried))
            if now - self.first_tried[key] < self.types[key[1]].no_answer_time:
                break
            del self.first_tried[key]
        self._serve()
        if self.tell_at is not None and now >= self.tell_at:
            # Eight tellings a second reach each proxy whatever their number: each is work for its processor.
            self.tell_at = now + int((0.5 + self.chance.draw()) * self.proxies * SECOND / 8)
            self.host.tell_all(b"".join([self.here.to_bytes(2), self._reach(1), self._reach(self.widest)]))
        self.host.wake_after(BEAT)

    def peer_told(self, now: int, told: bytes) -> None:
        """Which groups of another proxy have room. Until it has told, its exchange counts as reaching all."""
        ex = self.by_number.get(int.from_bytes(told[:2]))
        half = len(told) // 2 + 1
        if ex is not None and half > 2:
            ex.reach = int.from_bytes(told[2:half]), int.from_bytes(told[half:])

    def _reach(self, width: int) -> bytes:
        able = sum(1 << n for n, ex in self.by_number.items() if n < 1000 and ex.group.room(width))
        return able.to_bytes(min(max(self.by_number), 999) // 8 + 1)

    def list_pushed(self, now: int, entries: list[ListEntry], whole: bool) -> None:
        self.now = now
        if whole:
            named = {entry.gw for entry in entries}
            for gw, ex in self.gws.items():
                ex.ready = ex.ready and gw in named
        for entry in entries:
            ex = self._exchange(entry.gw)
            ex.listed(entry)
            # The new machine may hold the number already when the old one's drain is told: it keeps it.
            held = self.by_number.get(entry.number)
            if held is None or ex.ready and ex.started >= held.started or not held.ready:
                self.by_number[entry.number] = ex

    def list_failed(self, now: int) -> None:
        self.now = now
        heappush(self.due, (now + SECOND, -1, "subscribe"))

    def group_told(self, now: int, gw: int, free: int, size: int) -> None:
        self.now = now
        self._exchange(gw).group.told(free, size)

    def dialog_came(
        self,
        now: int,
        dialog: int,
        kind: int,
        far: int,
        width: int,
        number: str,
        expires_in: int,
        transit: bool,
        redialled: bool,
        cut: bool,
        advised: int = -1,
    ) -> None:
        self.now = now
        expires = min(now + expires_in - 2 * BEAT, self.answer_by)
        first = now if transit or cut else self.first_tried.pop((number, kind, far), now)
        redialled = redialled or first < now
        objective_at = min(first + self.types[kind].setup_objective, expires)
        self.widest = max(self.widest, width)
        d = Dialog(first, kind, far, width, number, transit, redialled, expires, objective_at, self.chance.draw(), advised)
        self.dialogs[dialog] = d
        if now >= self.refuse_from:
            self._decline(dialog, d)
            return
        heappush(self.due, (expires, dialog, "answer"))
        self._route(dialog, d)

    def shut_down(self, now: int, refuse_from: int, answer_by: int) -> None:
        """The process ends: dialogs that come from `refuse_from` on are declined at once, and each has its answer by
        `answer_by`, whatever time its caller gave it."""
        self.now, self.refuse_from, self.answer_by = now, refuse_from, answer_by
        for dialog, d in self.dialogs.items():
            if d.expires > answer_by:
                d.expires = answer_by
                heappush(self.due, (answer_by, dialog, "answer"))

    def dialog_stands(self, now: int, dialog: int, took: int) -> None:
        self.now = now
        d = self.dialogs.get(dialog)
        if d is None:
            return
        d.stands = True
        self.stood_rate += 1
        if d.leg_to is not None:
            self.legs_out.pop(dialog, None)
            d.leg_to.overtaken(dialog)
            d.leg_to.faults -= d.leg_to.faults / 8
            self.pace += (took - self.pace) / 8
            self.fulls = 0
            if d.leg_to.number == d.far:
                d.leg_to.answered(now, took)
            elif d.leg_to not in self.carried.setdefault(d.far, []):
                self.carried[d.far].append(d.leg_to)
                self.turned_back.pop((d.leg_to.gw, d.far), None)

    def leg_ended(self, now: int, dialog: int, gw: int, how: LegEnd, rsn: int, over: bool, free: int, size: int) -> None:
        self.now = now
        ex = self._exchange(gw)
        if size >= 0:
            ex.group.told(free, size)
        d = self.dialogs.get(dialog)
        if d is None:
            return
        ex.out.pop(dialog, None)
        self.legs_out.pop(dialog, None)
        d.leg_to = None
        if rsn in (Rsn.PROCESSOR_FULL, Rsn.BEYOND_TANDEM_FULL) or how == LegEnd.UNREACHABLE:
            # Full processors (what they turn away costs them work too), the own one down, or nobody there:
            # whatever the cause, nobody asks again at once. A full one counts a quarter: it may be a short stall
            # of all, and in a row they add up.
            full = self.by_number[d.far] if rsn == Rsn.BEYOND_TANDEM_FULL else ex
            took = self.types[d.kind].setup_objective
            if how == LegEnd.FULL:
                took = (3 * full.took + took) // 4
                d.not_before = now + self.ease // 4
            full.took, full.took_at = max(full.took, took), now
            full.pressed_until = now + 2 * self.ease
            self.fulls, self.full_at = self.fulls + 1, now
        elif how == LegEnd.FULL and ex.number != d.far:
            # The second group can't be seen from here: each turn-back tells of it for a while, and for twice
            # as long where the last one told the same, since in large fleets many pairs have no group at all.
            span = min(2 * self.turned_back.get((ex.gw, d.far), (0, 3 * self.ease))[1], 60 * SECOND)
            self.turned_back[(ex.gw, d.far)] = (now + span, span)
            if ex in self.carried.get(d.far, ()):
                self.carried[d.far].remove(ex)
        if how == LegEnd.BUSY:
            d.doubt = True  # it may have run: only what may be repeated goes again
            if rsn == Rsn.NONE:
                ex.faults += (1 - ex.faults) / 8
        if how in IN_DOUBT:
            d.doubt = True
            d.not_before = now + self.release_guard
            if how != LegEnd.CUT:  # silent, whatever the cause: no tandem for now
                ex.pressed_until = now + 2 * self.ease
        d.answered = d.answered or over
        if d.answered:
            del self.dialogs[dialog]
        elif d.stands:
            self._abort(dialog, d)
        elif d.last_leg:
            self._decline(dialog, d)
        elif how == LegEnd.BUSY and (rsn != Rsn.NONE or ex.faults > 0.9):
            # Busy lines stay so. A fault in signalling need not: the way is tried again, for as long as any
            # legs stand there; else each dialog would cost a broken far end all its legs.
            self._decline(dialog, d)
        elif d.not_before > now:
            heappush(self.due, (d.not_before, dialog, "again"))
        else:
            self._route(dialog, d)

    def leg_cut_late(self, now: int, dialog: int) -> None:
        """The connection of a leg that was given up is lost only now, so that the leg may have been out until now: the
        release guard begins anew, unless another leg has been sent."""
        self.now = now
        d = self.dialogs.get(dialog)
        if d is None or d.answered or d.stands or d.leg_to is not None:
            return
        d.not_before = now + self.release_guard
        heappush(self.due, (d.not_before, dialog, "again"))

    def caller_done(self, now: int, dialog: int) -> None:
        """The caller sends nothing more, and may have gone: a leg that is out may still be answered, but no other is sent."""
        self.now = now
        d = self.dialogs.get(dialog)
        if d is None or d.answered or d.stands:
            return
        d.last_leg = True
        if d.leg_to is None:
            self._decline(dialog, d)

    def dialog_gone(self, now: int, dialog: int) -> None:
        self.now = now
        d = self.dialogs.get(dialog)
        if d is not None:
            self._drop(dialog, d)

    # --- memory ------------------------------------------------------------------------------------------

    def learned(self, now: int, most_callers: int) -> Learned:
        """What a module that takes this one's place should know; of callers the latest, up to so many."""
        exchanges = [
            KnownExchange(
                ex.gw,
                ex.started,
                ex.quickest,
                ex.took,
                now - ex.took_at if ex.took else 0,
                max(0, ex.pressed_until - now),
                ex.group.size,
                ex.group.cap,
                ex.group.accept_below,
                ex.group.lower_below,
            )
            for ex in self.gws.values()
        ]
        pairs = [KnownPair(gw, to, until - now, span) for (gw, to), (until, span) in self.turned_back.items() if until > now]
        pairs += [KnownPair(ex.gw, to, 0, 0) for to, held in self.carried.items() for ex in held]
        latest = list(self.first_tried.items())[-most_callers:]
        callers = [KnownCaller(*key, now - first) for key, first in latest]
        return Learned(now, exchanges, pairs, callers, self.best_rate, self.pace)

    def recall(self, now: int, known: Learned, age: int) -> None:
        """Before `begin`, exchanges listed: what another module learned `age` ago (-1: nobody knows when). It
        counts for less by the minute, as the best rate does while the module runs, and shuts nothing out:
        whatever keeps dialogs from a far end or a tandem ends by itself."""
        weight = 0.0 if age < 0 else 2.0 ** (-age / (60 * SECOND))
        if age < 0:
            known, age = known._replace(callers=[]), 60 * SECOND
        # What is remembered may be wrong: slow far ends believed in full kept back what these could serve.
        most = min(kind.setup_objective for kind in self.types) // 2
        for exchange in known.exchanges:
            exchange = exchange._replace(took=min(exchange.took, most))
            self._exchange(exchange.gw).recall(now, exchange, age, weight)
        for gw, to, left, span in known.pairs:
            if span:
                until = now + min(max(0, left - age), span, 60 * SECOND)
                self.turned_back[gw, to] = until, min(span, 60 * SECOND)
            else:
                self.carried.setdefault(to, []).append(self._exchange(gw))
        for number, kind, far, ago in known.callers:
            if age + ago < self.types[kind].no_answer_time:
                self.first_tried[number, kind, far] = now - age - ago
        self.best_rate = max(self.best_rate, known.best_rate * weight)
        self.pace = known.pace * weight

    # --- the ordinary path -----------------------------------------------------------------------------

    def _route(self, dialog: int, d: Dialog) -> None:
        """A dialog's way, top to bottom: transit by judgement; direct if it fits; the better of two random
        tandems, then the other; then it waits for a circuit of its own group, or is declined."""
        direct = self.by_number.get(d.far)
        if d.transit:
            if not (direct is not None and direct.group.judge(d.width, not d.redialled) and self._send(dialog, d, direct)):
                self._decline(dialog, d)
            return
        if direct is None or not direct.ready or d.doubt and not self.types[d.kind].repeatable:
            self._decline(dialog, d)
            return
        if self._kept_back(d, direct):
            self._wait(dialog, d, direct)
            return
        # A redial past its objective takes circuits only as a two-leg dialog would: fresh ones come first.
        late = self.now >= d.objective_at
        takes = direct.group.judge(d.width, False) if late else direct.group.fits(d.width)
        if takes and self._send(dialog, d, direct):
            return
        for ex in self._tandems(d):
            if ex.group.judge(d.width, not d.redialled) and self._send(dialog, d, ex):
                return
        self._wait(dialog, d, direct)

    def _tandems(self, d: Dialog) -> list[Exchange]:
        """Two random tandems with own groups, the one with more free first-leg circuits first. Those that
        have brought a dialog there since they last turned one back come before the rest: in a large fleet
        most others have no second group, or a full one, and each turn-back is work at two processors. Where
        a centre advises a tandem, that one, which had most room on both groups, stands for the first."""
        if d.redialled:
            return []
        advised = self.by_number.get(d.advised)
        able = self._two([advised], d, []) if advised is not None else []
        if len(able) < 2:
            able = self._two(self.carried.get(d.far, []), d, able)
        if len(able) < 2 and not (self.centre_advises and d.legs):  # else a blind try after a known one
            able = self._two(self.far_ends, d, able)
        able.sort(key=lambda ex: -ex.group.free)
        return able

    def _two(self, pool: list[Exchange], d: Dialog, able: list[Exchange]) -> list[Exchange]:
        """Fill up to two with random ones of the pool, looking at no more of them than it takes."""
        allowed = self.types[d.kind].pools
        for place in range(len(pool)):
            other = place + int(self.chance.draw() * (len(pool) - place))
            ex = pool[other]
            pool[place], pool[other] = ex, pool[place]
            if (
                ex.ready
                and d.width <= ex.group.free <= ex.group.size
                and ex.number not in (d.far, self.here)
                and ex.gw not in d.tried
                and ex not in able
                and ex.reach[d.width > 1] >> d.far & 1
                and self.turned_back.get((ex.gw, d.far), (0, 0))[0] <= self.now
                and (allowed is None or ex.number in allowed)
                and not self._pressed(ex, d)
            ):
                able.append(ex)
                if len(able) == 2:
                    break
        return able

    def _pressed(self, ex: Exchange, d: Dialog) -> bool:
        """Whether a tandem is skipped: it was full or silent of late, or too slow for a way through it."""
        return ex.pressed_until > self.now or max(self.pace, ex.expected(self.now)) > (d.objective_at - self.now) // 4

    def _kept_back(self, d: Dialog, ex: Exchange) -> bool:
        """Whether the way there is too slow for this dialog, be the far processor pressed, paused or silent
        or the own one flooded: cheap dialogs are kept back first. It harms where stalls end by themselves."""
        kind = self.types[d.kind]
        late = self.now >= d.objective_at
        left = kind.setup_objective // 4 if late else d.objective_at - self.now
        rank = kind.importance / self.top_importance * (kind.late_share if late else 1)
        took = ex.expected(self.now)
        if self.fulls > 3:  # far ends are not all full at once: it is the own processor
            took = max(took, kind.setup_objective * 0.5 ** ((self.now - self.full_at) / self.ease))
        return (took / left - 0.15 - 0.4 * rank) / 0.3 > d.luck

    # --- waiting ---------------------------------------------------------------------------------------

    def _wait(self, dialog: int, d: Dialog, ex: Exchange) -> None:
        """Hold a dialog that nothing would take while it can still stand within its setup objective."""
        until = d.objective_at - max(2 * ex.quickest, ex.expected(self.now))
        if d.redialled or until <= self.now:
            self._decline(dialog, d)
            return
        if ex.group.size < d.width:  # no own circuit will ever free: tandems are tried again, in time
            heappush(self.due, (self.now + self.types[d.kind].setup_objective // 4, dialog, "again"))
        elif not d.waits:
            d.waits = True
            insort(self.waiting, (-self.types[d.kind].importance, dialog))
            heappush(self.due, (until, dialog, "give up"))

    def _claimed(self, d: Dialog, ex: Exchange) -> bool:
        """Whether a more important dialog waits for circuits to there, and more than are free: narrow ones,
        which come more often, took every circuit that was freed before three were free at once."""
        return any(
            -rank > self.types[d.kind].importance
            and self.dialogs[other].far == ex.number
            and ex.group.free < self.dialogs[other].width <= ex.group.size
            for rank, other in self.waiting
        )

    def _serve(self) -> None:
        """Freed circuits go to those who wait, the more important first."""
        for entry in list(self.waiting):
            d = self.dialogs[entry[1]]
            to = self.by_number[d.far]
            if to.group.fits(d.width) and not self._kept_back(d, to) and self._send(entry[1], d, to):
                d.waits = False
                self.waiting.remove(entry)

    # --- the only ways out -----------------------------------------------------------------------------

    def _send(self, dialog: int, d: Dialog, ex: Exchange) -> bool:
        """The one place from which a leg can leave: every rule is checked here."""
        if (
            d.answered
            or d.stands
            or d.leg_to is not None
            or self.now < d.not_before
            or d.legs >= self.most_legs
            or self.now >= d.expires
            or (d.doubt and not self.types[d.kind].repeatable)
            or not ex.ready
            or ex.number == self.here
            or (d.transit and ex.number != d.far)
            or not ex.group.fits(d.width)
            or self._claimed(d, ex)
            or not ex.cold_room(self.now, self._usual())
        ):
            return False
        if self.now < ex.cold_until:
            ex.sent.append(self.now)
        d.legs, d.leg_to = d.legs + 1, ex
        d.tried.add(ex.gw)
        ex.out[dialog] = self.now
        ex.group.free -= d.width
        self.legs_out[dialog] = self.legs_sent = self.legs_sent + 1
        heappush(self.due, (d.objective_at - self.release_guard - 4 * ex.quickest, dialog, "silent"))
        self.host.send_leg(dialog, ex.gw, d.expires - self.now)
        return True

    def _end_silent(self, dialog: int, d: Dialog, ex: Exchange) -> None:
        """End a leg that is still out when release guard and a further leg just fit the objective, if its
        answer is lost or nobody is there: most legs sent after it, wherever, have been answered, and quickly.
        Else processors are slow, and giving up would leave them with work for nothing, as it does at a lone
        slow far end, which looks the same from here."""
        later = self.legs_sent - self.legs_out[dialog]
        silent = list(reversed(self.legs_out)).index(dialog)
        if (
            self.may_cancel
            and not d.last_leg
            and later > 1
            and 2 * silent <= later
            and self.now - ex.out.get(dialog, 0) > 3 * self.pace
        ):
            self.host.cancel_leg(dialog, d.legs - 1)

    def _decline(self, dialog: int, d: Dialog) -> None:
        if d.doubt and not self.types[d.kind].repeatable:
            self._abort(dialog, d)
            return
        # One that ends does not keep callers away: others serve them, and so will the process after it.
        self.host.decline(dialog, 0 if d.transit or self.refuse_from < NEVER else self.longest_hold_off)
        self._drop(dialog, d)

    def _abort(self, dialog: int, d: Dialog) -> None:
        if d.leg_to is not None and self.may_cancel:
            self.host.cancel_leg(dialog, d.legs - 1)
        self.host.abort(dialog)
        self._drop(dialog, d)

    def _drop(self, dialog: int, d: Dialog) -> None:
        """Forget an answered dialog, but not a leg that is still out: its end is yet to come. An unserved
        caller may dial again, marked or not, and the objective counts from the first: taken for fresh,
        redials displaced dialogs in time. It harms callers who share a number."""
        d.answered = True
        if not (d.transit or d.stands):
            self.first_tried[d.number, d.kind, d.far] = d.first
        if d.waits:
            self.waiting.remove((-self.types[d.kind].importance, dialog))
            d.waits = False
        if d.leg_to is None:
            del self.dialogs[dialog]

    def _usual(self) -> float:
        """Legs that one far end sets up for all proxies a tenth of a millisecond, as far as seen from here.
        Sends that came to nothing don't count: they would swell the budget of a cold exchange in a jam."""
        return self.best_rate / (10 * SECOND) / max(1, len(self.by_number)) * self.proxies

    def _exchange(self, gw: int) -> Exchange:
        if gw not in self.gws:
            self.gws[gw] = Exchange(gw, TrunkGroup(self.chance), *self.cold_figures)
            self.far_ends.append(self.gws[gw])
        return self.gws[gw]
