"""The host of one controller in service: calls and their legs as plain state, the time handed in, no sockets.

Whoever owns the sockets calls one method for each thing that happens and does what `Wire` asks. A call keeps its id
from its caller through to the switch; a leg is known by the connection (`link`) that it went out on, since a switch
echoes nothing else. Ends that arise while the controller is at work are put aside and told once it has returned.

Times are whole tenths of a millisecond of the Unix clock.
"""

from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from ..call_controller import CallController
from ..callers import lines
from ..facts import NOTES, Facts, circuits_in, controller_facts
from ..host import GwState, LegEnd, ListEntry, Rsn
from ..switches import messages
from . import shutdown
from .call import Call, CalledOffLeg
from .diagnostics import Diagnostics
from .ended_set_ups import EndedSetUps, EndOfSetUp
from .shutdown import Schedule
from .wire import Conn, Link, Wire

MS = 10  # tenths of a millisecond
SECOND = 10_000
DECLINED, ABORTED = 34, 41  # causes of Q.850: no circuit available, temporary failure
USELESS = 100  # Q.850: invalid information element contents
NORMAL = 16
BUSY = (486, 500)


class Calls:
    """One proxy's calls. Raises BadFactError where the settings can't be read."""

    def __init__(
        self,
        wire: Wire,
        now: int,
        seed: int,
        settings: dict[str, Any],
        make: Callable[..., CallController] = CallController,
        diagnostics: Diagnostics | None = None,
    ) -> None:
        self.wire, self.diagnostics = wire, diagnostics
        start = Facts(settings, "settings")
        here, proxies, self.types, figures = controller_facts(start)
        self.kinds = {str(lane.get("Name", place)): place for place, lane in enumerate(start.get("Lanes", list))}
        self.widths = start.part("Specifics").get("ClassWidth", list, [])
        self.most_open = start.part("Ceilings").get("OpenCap", int, 20_000)
        self.ids: list[str] = []  # switches by gw
        self.gw_of: dict[str, int] = {}
        self.numbers: dict[int, int] = {}  # gw: exchange number
        self.by_number: dict[int, list[int]] = {}  # and back: the machines that hold it now
        self.by_id: dict[str, Call] = {}
        self.by_dialog: dict[int, Call] = {}
        self.on_link: dict[Link, dict[str, Call]] = {}
        self.on_conn: dict[Conn, dict[str, Call]] = {}
        self.standing: dict[int, dict[str, Call]] = {}  # gw: calls that stand there
        self.ended = EndedSetUps()
        self.called_off: dict[tuple[str, Link], CalledOffLeg] = {}
        self.due: list[tuple[int, int, int]] = []  # a leg's time: (when, dialog, leg)
        self.held: list[tuple[Call, int]] = []  # legs, by their numbers, that leave once their callers' bytes are read
        self.dialogs = 0
        self.later: deque[tuple[Call, int, LegEnd]] = deque()
        self.now = self.beat_at = now
        self.counts: dict[str, int] = {}
        self.controller = make(self, seed, here, proxies, self.types, **figures)
        self.controller.start(now)

    # --- what the controller asks for ---

    def send_leg(self, dialog: int, gw: int, limit: int) -> None:
        call = self.by_dialog[dialog]
        call.legs += 1
        call.gw, call.until, call.sent_at = gw, self.now + limit, -1
        heappush(self.due, (call.until, dialog, call.legs))
        if call.legs > 1:
            self.wire.record("leg-again", call.id, switch=self.ids[gw], leg=call.legs)
        link = self.wire.link_to(gw, call.used)
        call.link = link
        if link is None:
            self._over(call, LegEnd.UNREACHABLE)
            return
        call.used.add(link)
        self.on_link.setdefault(link, {})[call.id] = call
        if self.wire.is_up(link):
            self._invite(call) if call.came_at == self.now else self._invite_once_read(call)

    def cancel_leg(self, dialog: int, leg: int) -> None:
        call = self.by_dialog.get(dialog)
        if call is None or call.link is None or call.stands or leg != call.legs - 1:
            return
        link = call.link
        if self._call_off(call):
            self.wire.spoilt(link)
            self._over(call, LegEnd.CANCELLED)
        else:
            self._over(call, LegEnd.UNREACHABLE)  # its connection was not made: it never left

    def decline(self, dialog: int, hold_off: int) -> None:
        if self.diagnostics is not None:
            self.diagnostics.dialog_declined(self.controller, dialog, self.now)
        self._answer(dialog, DECLINED, hold_off // MS)

    def abort(self, dialog: int) -> None:
        self._answer(dialog, ABORTED, 0)

    def schedule_tick(self, delay: int) -> None:
        self.beat_at = self.now + delay

    def send_to_peers(self, told: bytes) -> None:
        """Proxies tell each other nothing here: the platform gives them no way."""

    def subscribe(self) -> None:
        """The event bus is read anyway."""

    # --- callers ---

    def set_up(
        self,
        now: int,
        conn: Conn,
        id: str,
        kind: str,
        left: int,
        number: str,
        far: int,
        width: int,
        advised: int,
        transit: bool,
        redialled: bool,
        cut: bool,
        sdp: str,
    ) -> None:
        self.now = now
        if self._is_known(conn, id):
            return
        place = self.kinds.get(kind)
        if place is None:
            self.unusable(now, conn, id, "field class names no traffic type")
            return
        most = self.widths[place] if place < len(self.widths) else width
        if left * MS > self.types[place].no_answer_time + MS or width > most or far not in self.controller.exchange_by_number:
            self.unusable(now, conn, id, "field left, width or dest is out of range")
            return
        if len(self.by_dialog) >= self.most_open:
            self._refuse_untaken(conn, id, "too many open", DECLINED, self.controller.max_hold_off // MS)
            return
        call = Call(id, self.dialogs, conn, kind, number, sdp, width)
        call.came_at = now
        call.taken_again = id in self.ended
        self.ended.remove(id)
        self.dialogs += 1
        self.by_id[id] = self.by_dialog[call.dialog] = call
        self.on_conn.setdefault(conn, {})[id] = call
        self.wire.record("set-up-taken", id, dest=far, left_ms=left)
        self.controller.dialog_received(
            now, call.dialog, place, far, width, number, left * MS, transit, redialled, cut, -1 if transit else advised
        )
        self._tell_later()

    def unusable(self, now: int, conn: Conn, id: str, why: str) -> None:
        """A set-up that makes no sense, or whose id comes with another at once."""
        self.now = now
        if not self._is_known(conn, id):
            self._refuse_untaken(conn, id, why, USELESS, 0)

    def withdrawn(self, now: int, conn: Conn, id: str) -> None:
        """A set-up came together with its release, so that nobody waits for it any more."""
        self.now = now
        if id not in self.by_id and id not in self.ended:
            self.wire.record("set-up-withdrawn", id)
            self.ended.add(now, id, EndOfSetUp.GIVEN_UP, conn)

    def _refuse_untaken(self, conn: Conn, id: str, why: str, cause: int, wait: int) -> None:
        self.count(f"refused: {why}")
        self.wire.record("set-up-refused", id, why=why)
        self.wire.to_caller(conn, lines.release(id, cause, wait))
        self.ended.add(self.now, id, EndOfSetUp.ANSWERED, conn)

    def _is_known(self, conn: Conn, id: str) -> bool:
        """Whether a set-up with this id is open, or over and not to be taken again; then it has been dealt with."""
        call = self.by_id.get(id)
        if call is not None:
            self._open_already(conn, call)
            return True
        ended = self.ended.get(id)
        if ended is None or ended.how == EndOfSetUp.ELSEWHERE:
            return False
        if conn in ended.connections:
            self.count("set-ups that came again")
            self.wire.record("set-up-came-again", id, after=ended.how.name)
            return True
        if ended.how == EndOfSetUp.CONNECTION_GONE and not ended.forwarded:
            return False
        # What may have run at a switch must not run again.
        self._refuse_untaken(conn, id, "came again", ABORTED if ended.how == EndOfSetUp.CONNECTION_GONE else USELESS, 0)
        self.ended.get(id).connections |= ended.connections
        return True

    def _open_already(self, conn: Conn, call: Call) -> None:
        """On another connection the second one is turned away; on the same one nobody can tell which of the two an answer
        would be for, so neither gets one that says it stands. A release of a call that stands would end it."""
        self.count("refused: id is open already")
        self.wire.record("set-up-refused", call.id, why="id is open already")
        if call.stands:
            if conn != call.conn:
                self.wire.turn_away(conn)
        elif call.conn != conn:
            self.wire.to_caller(conn, lines.release(call.id, USELESS))
        elif not call.over:
            self.wire.to_caller(conn, lines.release(call.id, USELESS))
            self._give_up(call, EndOfSetUp.ANSWERED)

    def stands_at(self, now: int, conn: Conn, id: str, kind: str, number: str, switch: str) -> None:
        """A call that stood before this process began; it may be known."""
        self.now = now
        gw = self.gw_of.get(switch)
        if id in self.by_id or id in self.ended or gw is None:
            return
        call = Call(id, -1, conn, kind, number, "", 0)
        call.gw, call.stands, call.over, call.sent_at = gw, True, True, now
        self.by_id[id] = call
        self.standing.setdefault(gw, {})[id] = call

    def released(self, now: int, conn: Conn, id: str, cause: int) -> None:
        """A caller gives its set-up up, or ends a call that stands."""
        self.now = now
        call = self.by_id.get(id)
        if call is None:
            self.wire.record("release-of-unknown-set-up", id, cause=cause)
            return
        if call.stands:
            self.wire.record("call-ended", id, by="caller", cause=cause, switch=self.ids[call.gw])
            self.wire.knows(conn)
            self.wire.to_caller(conn, lines.released(id))
            self.wire.to_switch(call.gw, messages.bye(call.number, id, call.legs + 1, cause))
            self._ended(call, LegEnd.ENDED)
        elif call.conn == conn:
            self._give_up(call, EndOfSetUp.GIVEN_UP)
        self._tell_later()

    def shut_down(self, now: int) -> Schedule:
        """The process is told to end; when it refuses, has answered all and is gone."""
        self.now = now
        schedule = shutdown.schedule(now, max(kind.no_answer_time for kind in self.types))
        self.controller.shut_down(now, schedule.refuse_from, schedule.answer_by)
        return schedule

    def pinged(self, now: int, conn: Conn, id: str, passed: bool) -> None:
        self.wire.to_caller(conn, lines.pong(id, passed))

    def caller_done(self, now: int, conn: Conn) -> None:
        """A caller has shut down its sending side. Whether it still reads shows in what becomes of the progress it is sent."""
        self.now = now
        for call in list(self.on_conn.get(conn, {}).values()):
            self.wire.record("caller-done", call.id, leg=call.legs if call.link is not None else 0)
            self.controller.caller_done(now, call.dialog)
        self._tell_later()
        for id in self.on_conn.get(conn, ()):
            self.wire.to_caller(conn, lines.progress(id))

    def caller_spoilt(self, now: int, conn: Conn) -> None:
        """A connection brings what can't be read, and is about to be closed: its open set-ups are answered at once."""
        self.now = now
        for call in list(self.on_conn.get(conn, {}).values()):
            cause = ABORTED if call.forwarded else DECLINED
            self.wire.record("set-up-failed" if call.forwarded else "set-up-refused", call.id, why="its connection is spoilt")
            self.wire.to_caller(conn, lines.release(call.id, cause))
            self._give_up(call, EndOfSetUp.ANSWERED)
        self._tell_later()

    def conn_gone(self, now: int, conn: Conn) -> None:
        self.now = now
        for call in list(self.on_conn.pop(conn, {}).values()):
            call.conn = None
            if not call.stands:
                self._give_up(call, EndOfSetUp.GIVEN_UP if call.taken_again else EndOfSetUp.CONNECTION_GONE)
        self._tell_later()

    def _give_up(self, call: Call, how: EndOfSetUp) -> None:
        """Nobody waits for it any more. Its leg is called off: it went well as far as anybody knows, so this must not
        count against the far end."""
        if call.over:
            return
        call.over, call.how_ended = True, how
        self._off_conn(call)
        self.wire.record("set-up-given-up", call.id, legs=call.legs, connection="gone" if call.conn is None else "open")
        self.controller.dialog_cancelled(self.now, call.dialog)
        if call.link is not None:
            self._call_off(call)
            self._over(call, LegEnd.NOT_SENT)
        self._forget(call)

    # --- switches ---

    def link_up(self, now: int, link: Link) -> None:
        """A connection has been made: what waited for it leaves."""
        self.now = now
        for call in list(self.on_link.get(link, {}).values()):
            if call.sent_at < 0:
                self._invite_once_read(call)

    def link_lost(self, now: int, link: Link, was_up: bool) -> None:
        """A connection is over, or was never made: set-ups on it are in doubt, or never ran."""
        self.now = now
        for call in list(self.on_link.get(link, {}).values()):
            self.count("legs cut with their connection" if was_up else "legs to nobody")
            if call.sent_at >= 0:
                call.doubtful.add(call.gw)
            self._leg_over(call, LegEnd.CUT if was_up and call.sent_at >= 0 else LegEnd.UNREACHABLE)
        self.on_link.pop(link, None)
        for key in [key for key in self.called_off if key[1] == link]:
            del self.called_off[key]  # a set-up is given up with its connection
            self._cut_late(key[0])
        self._tell_later()

    def _cut_late(self, id: str) -> None:
        """A switch may not have read the CANCEL that stood on a connection."""
        call = self.by_id.get(id)
        if call is not None and not call.over:
            self.controller.leg_cut_late(self.now, call.dialog)

    def answered(self, now: int, gw: int, link: Link, id: str, sdp: str) -> None:
        self.now = now
        call = self._leg_on(link, id)
        if call is None:
            off = self.called_off.pop((id, link), None)
            if off is not None:
                self._answered_after_cancel(id, link, off)
            return
        self.wire.to_link(link, messages.ack(call.number, id, call.legs))
        del self.on_link[link][id]
        self._off_conn(call)
        call.stands, call.link = True, None
        took = now - call.sent_at
        self.wire.record("set-up-answered", id, switch=self.ids[gw], leg=call.legs, after_ms=took // MS)
        if self.diagnostics is not None:
            self.diagnostics.answered(gw, took)
            dialog = self.controller.dialogs.get(call.dialog)
            self.diagnostics.leg_over(gw, dialog is not None and dialog.destination == self.numbers.get(gw), "200")
        self.standing.setdefault(gw, {})[id] = call
        self.wire.served(call.conn)
        heard = self.wire.to_caller(call.conn, lines.answer(id, sdp))
        call.sdp, call.invite, call.used = "", b"", set()
        self._release_earlier_legs(call, [leg for leg in call.unreleased if leg.gw != gw])
        self.controller.dialog_established(now, call.dialog, took)
        if not heard:
            self._end_unheard(call)
        self._tell_later()

    def _end_unheard(self, call: Call) -> None:
        """Its caller's connection went before the answer could be written: nobody knows that it stands."""
        self.wire.record("call-ended", call.id, by="lost connection", cause=NORMAL, switch=self.ids[call.gw])
        self.wire.to_switch(call.gw, messages.bye(call.number, call.id, call.legs + 1, NORMAL))
        call.how_ended = EndOfSetUp.CONNECTION_GONE
        self._ended(call, LegEnd.ENDED)

    def _answered_after_cancel(self, id: str, link: Link, leg: CalledOffLeg) -> None:
        """The answer crossed the CANCEL, and the leg stands at its switch. Switches know calls by their id alone, so a BYE
        would end a later leg of the call there as well: then it waits for the end of that one."""
        self.count("crossed answers released")
        self.wire.record("answer-after-cancel", id, switch=self.ids[leg.gw], leg=leg.leg)
        ack = messages.ack(leg.number, id, leg.leg)
        call = self.by_id.get(id)
        if call is not None and call.gw == leg.gw and (call.link is not None or call.stands):
            call.unreleased.append(leg)
            self.wire.to_link(link, ack)
            return
        goodbye = ack + messages.bye(leg.number, id, leg.leg + 1, NORMAL)
        if not self.wire.to_link(link, goodbye):
            self.wire.to_switch(leg.gw, goodbye)
        self._cut_late(id)

    def _release_earlier_legs(self, call: Call, legs: list[CalledOffLeg]) -> None:
        for leg in legs:
            call.unreleased.remove(leg)
            self.wire.to_switch(leg.gw, messages.bye(leg.number, call.id, leg.leg + 1, NORMAL))

    def refused(self, now: int, gw: int, link: Link, id: str, status: int, word: str, report: dict[str, float]) -> None:
        self.now = now
        self.called_off.pop((id, link), None)
        free, size = circuits_in(report)
        call = self._leg_on(link, id)
        if call is None:
            self._group_told(gw, free, size)
            return
        self.wire.to_link(link, messages.ack(call.number, id, call.legs))
        how = LegEnd.FULL if status == 503 else LegEnd.BUSY if status in BUSY else LegEnd.NOT_SENT if status == 480 else LegEnd.CUT
        self.count(f"legs refused {status} {word}")
        if self.diagnostics is not None:
            dialog = self.controller.dialogs.get(call.dialog)
            self.diagnostics.leg_over(gw, dialog is not None and dialog.destination == self.numbers.get(gw), f"{status} {word}")
        self._leg_over(call, how, NOTES.get(word, Rsn.NONE), free, size)
        self._tell_later()

    def call_released(self, now: int, gw: int, link: Link, id: str, cause: int, report: dict[str, float]) -> None:
        """A call that stands has come to its end or was cut; or a set-up broke on its way."""
        self.now = now
        self.wire.to_link(link, messages.bye_heard(id))
        free, size = circuits_in(report)
        self._group_told(gw, free, size)
        call = self.by_id.get(id)
        if call is None:
            if id not in self.ended:  # from before this process began
                self.ended.add(now, id, EndOfSetUp.ELSEWHERE)
                self.wire.record("release-of-unknown-call", id, switch=self.ids[gw])
                self.wire.tell_end(None, lines.release(id, cause))
        elif call.stands and call.gw == gw:  # by another switch: the end of an earlier leg, unknown to this proxy
            self.wire.record("call-ended", id, by="switch", cause=cause, switch=self.ids[gw])
            self.wire.tell_end(call.conn, lines.release(id, cause))
            if gw in call.doubtful and not call.unreleased:  # which of its legs there has ended can't be told
                call.unreleased.append(CalledOffLeg(gw, call.legs, call.number))
            self._ended(call, LegEnd.ENDED if cause == NORMAL else LegEnd.CUT)
        elif self._leg_on(link, id) is call:
            # It may end an earlier leg, which stood there unknown to this proxy; this one may be out still.
            self._call_off(call)
            self._leg_over(call, LegEnd.CUT)
        self._tell_later()

    def reported(self, now: int, gw: int, report: dict[str, float]) -> None:
        self.now = now
        free, size = circuits_in(report)
        if self.diagnostics is not None:
            self.diagnostics.reported(gw, free, size)
        self._group_told(gw, free, size)

    def _group_told(self, gw: int, free: int, size: int) -> None:
        """A group leads to an exchange, not to the machine that holds its number: while one machine takes over from
        another both speak for it, and for seconds only the old one did, so the new one's was tried blindly."""
        if size < 0:
            return
        held = self.by_number.get(self.numbers.get(gw, -1), ())
        for other in held if gw in held else (gw,):  # one that has gone speaks for itself alone
            self.controller.trunk_group_reported(self.now, other, free, size)

    def machine_lost(self, now: int, gw: int) -> None:
        """Nothing comes from there and nothing is taken: what stood there is over, also there should it come back."""
        self.now = now
        for call in self.standing.get(gw, {}).values():
            self.wire.to_switch(gw, messages.bye(call.number, call.id, call.legs + 1, ABORTED))
        self._cut(gw, list(self.standing.get(gw, {}).values()))
        self._tell_later()

    def _cut(self, gw: int, calls: list[Call]) -> None:
        for call in calls:
            self.count("calls cut with their machine")
            self.wire.record("call-cut", call.id, switch=self.ids[gw])
            self.wire.tell_end(call.conn, lines.release(call.id, ABORTED))
            self._ended(call, LegEnd.CUT)

    def listed(self, now: int, whole: bool, entries: list[tuple[str, int, GwState, int]]) -> None:
        """The list's words: id, exchange number, state, start (0: long ago)."""
        self.now = now
        told = []
        for name, number, state, started in entries:
            if name not in self.gw_of:
                self.gw_of[name] = len(self.ids)
                self.ids.append(name)
            gw = self.gw_of[name]
            number = self.numbers.setdefault(gw, number) if number < 0 else number
            self.numbers[gw] = number
            held = self.by_number.setdefault(number, [])
            if (state == GwState.GONE) == (gw in held):
                (held.remove if state == GwState.GONE else held.append)(gw)
            told.append(ListEntry(gw, number, state, started))
            # A machine that has started anew holds nothing of what stood there, and may never say so.
            if started > 0:
                self._cut(gw, [call for call in self.standing.get(gw, {}).values() if call.sent_at < started])
        self.controller.exchange_list_received(now, told, whole)
        self._drop_unsent_legs()
        self._tell_later()

    def _drop_unsent_legs(self) -> None:
        """Legs that wait for a connection to a switch that drains or has gone must not leave when it comes up."""
        unsent = [call for held in self.on_link.values() for call in held.values() if call.sent_at < 0]
        for call in unsent:
            if call.link is not None and call.sent_at < 0 and not self.controller.exchanges[call.gw].ready:
                self._leg_over(call, LegEnd.UNREACHABLE)

    # --- time ---

    def beat(self, now: int) -> None:
        """Whatever is due by now."""
        self.now = now
        self._invite_held()
        while self.due and self.due[0][0] <= now:
            _, dialog, leg = heappop(self.due)
            call = self.by_dialog.get(dialog)
            if call is not None and call.legs == leg and call.link is not None and not call.stands:
                link = call.link
                if self._call_off(call):
                    self.wire.spoilt(link)
                    self._leg_over(call, LegEnd.NO_ANSWER)
                else:
                    self._leg_over(call, LegEnd.UNREACHABLE)  # its connection was not made: it never left
        self.ended.forget(now)
        if now >= self.beat_at:
            self.controller.tick(now)
        self._tell_later()
        if self.diagnostics is not None:
            self.diagnostics.log_due(self, now)

    # --- inside ---

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def _invite(self, call: Call) -> None:
        call.sent_at, call.forwarded = self.now, True
        self.wire.record("leg-sent", call.id, switch=self.ids[call.gw], leg=call.legs)
        within = max(1, (call.until - self.now) // MS)
        call.invite = messages.invite(call.number, call.id, call.legs, call.kind, within, call.sdp)
        self.wire.to_link(call.link, call.invite)

    def _invite_once_read(self, call: Call) -> None:
        """Some time has passed since the set-up came. What its caller has written since is read first: for one beat."""
        if self.wire.has_unread(call.conn):
            self.held.append((call, call.legs))
        else:
            self._invite(call)

    def _invite_held(self) -> None:
        held, self.held = self.held, []
        for call, leg in held:
            if call.link is not None and call.legs == leg and call.sent_at < 0 and self.wire.is_up(call.link):
                self._invite(call)

    def _leg_on(self, link: Link, id: str) -> Call | None:
        return self.on_link.get(link, {}).get(id)

    def _call_off(self, call: Call) -> bool:
        """Take a leg off its connection, with CANCEL where it had left; whether it had. One that waits for a switch that has
        stopped reading has not."""
        link = call.link
        self.on_link[link].pop(call.id, None)
        call.link = None
        if call.sent_at < 0:
            return False
        if self.wire.take_back(link, call.invite):
            call.sent_at = -1
            self.wire.spoilt(link)
            return False
        self.called_off[call.id, link] = CalledOffLeg(call.gw, call.legs, call.number)
        call.doubtful.add(call.gw)
        self.wire.record("leg-called-off", call.id, switch=self.ids[call.gw], leg=call.legs, after_ms=self._leg_age(call))
        self.wire.to_link(link, messages.cancel(call.number, call.id, call.legs))
        return True

    def _over(self, call: Call, how: LegEnd) -> None:
        """Tell the controller of a leg's end once it has returned."""
        self.later.append((call, call.gw, how))

    def _leg_over(self, call: Call, how: LegEnd, rsn: int = 0, free: int = -1, size: int = -1) -> None:
        if call.link is not None:
            self.on_link[call.link].pop(call.id, None)
            call.link = None
        self.wire.record("leg-ended", call.id, switch=self.ids[call.gw], leg=call.legs, how=how.name, after_ms=self._leg_age(call))
        self.controller.leg_ended(self.now, call.dialog, call.gw, how, rsn, call.over, free, size)
        self._forget(call)

    def _leg_age(self, call: Call) -> int:
        """Milliseconds since the leg left; -1 where it never did."""
        return (self.now - call.sent_at) // MS if call.sent_at >= 0 else -1

    def _tell_later(self) -> None:
        while self.later:
            call, gw, how = self.later.popleft()
            if call.dialog in self.by_dialog:
                self.controller.leg_ended(self.now, call.dialog, gw, how, 0, call.over, -1, -1)
                self._forget(call)

    def _answer(self, dialog: int, cause: int, wait: int) -> None:
        call = self.by_dialog[dialog]
        if call.over:
            return
        call.over = True
        self.count("declined" if cause == DECLINED else "aborted")
        self.wire.record("set-up-refused" if cause == DECLINED else "set-up-failed", call.id, cause=cause, legs=call.legs)
        self._off_conn(call)
        self.wire.to_caller(call.conn, lines.release(call.id, cause, wait))
        self._forget(call)

    def _ended(self, call: Call, how: LegEnd) -> None:
        """A call that stood is over."""
        call.over = True
        self.standing[call.gw].pop(call.id, None)
        self._off_conn(call)
        if call.dialog >= 0:
            self.controller.leg_ended(self.now, call.dialog, call.gw, how, 0, True, -1, -1)
        self._forget(call)

    def _off_conn(self, call: Call) -> None:
        held = self.on_conn.get(call.conn)
        if held is not None:
            held.pop(call.id, None)
            if not held:
                del self.on_conn[call.conn]

    def _forget(self, call: Call) -> None:
        """A call's ids go once it is over, no leg of it is out, and no end of one is still to be told."""
        if not call.over or call.link is not None:
            return
        self._release_earlier_legs(call, list(call.unreleased))
        if self.by_id.get(call.id) is call:
            del self.by_id[call.id]
            self.ended.add(self.now, call.id, call.how_ended, call.conn, call.forwarded)
        if all(entry[0] is not call for entry in self.later):
            self.by_dialog.pop(call.dialog, None)
