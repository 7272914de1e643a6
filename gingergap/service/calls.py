"""The calls of one proxy in service, without sockets: the host of its controller, with the time passed in.

The owner of the sockets calls one method for each event and carries out what `Wire` asks for. A call has the same id on
its caller's connection and at the switch. A leg is identified by the connection (`link`) on which its INVITE was sent,
since a switch echoes nothing else. Leg ends that occur while the controller runs are queued and reported to it once it
has returned.

Times are whole tenths of a millisecond of the Unix clock.
"""

from collections import deque
from collections.abc import Callable, Iterable
from heapq import heappop, heappush
from typing import Any

from ..call_controller import CallController
from ..caller_protocol import json_lines
from ..host import LegEnd, ListEntry, Rsn
from ..platform_settings import RSN_BY_REASON, SettingsReader, circuits_in_report, controller_arguments
from ..switch_protocol import sip_messages
from . import shutdown
from .call import Call, CancelledLeg
from .diagnostics import Diagnostics
from .ended_set_ups import EndedSetUps, EndOfSetUp
from .fair_share import FairShare
from .named_calls import NamedCalls
from .shutdown import ShutdownSchedule
from .switch_directory import SwitchDirectory
from .switch_processes import UNLISTED_TIMEOUT, Fate, ListedProcess, ProcessEnd, SwitchProcesses
from .wire import Conn, Link, ProcessConnection, Wire

UNITS_PER_MS = 10
UNITS_PER_SECOND = 10_000
DECLINED, ABORTED = 34, 41  # causes of Q.850: no circuit available, temporary failure
INVALID_CONTENTS = 100  # Q.850: invalid information element contents
NORMAL_CLEARING = 16  # Q.850
MAX_OPEN_BYTES = 8 << 20  # of open set-ups; connections share them
SET_UP_BYTES = 1000  # of an open set-up, besides its description
MAX_DETAIL_COUNTS = 100
MAX_FAIL_WORD = 20  # characters
MAX_CANCELLED_LEGS = 100  # of one connection to a switch
BUSY_STATUSES = (486, 500)


class Calls:
    """All calls of one proxy. Raises BadFieldError where the settings are invalid."""

    def __init__(
        self,
        wire: Wire,
        now: int,
        seed: int,
        settings: dict[str, Any],
        controller_factory: Callable[..., CallController] = CallController,
        diagnostics: Diagnostics | None = None,
    ) -> None:
        self.wire, self.diagnostics = wire, diagnostics
        settings_reader = SettingsReader(settings, "settings")
        own_exchange, proxies, self.traffic_types, controller_options = controller_arguments(settings_reader)
        self.type_indices = {str(lane.get("Name", index)): index for index, lane in enumerate(settings_reader.get("Lanes", list))}
        self.max_circuits = settings_reader.section("Specifics").get("ClassWidth", list, [])  # of one call, by traffic type
        self.open_share = FairShare(settings_reader.section("Ceilings").get("OpenCap", int, 20_000))  # calls, by connection
        self.bytes_share = FairShare(MAX_OPEN_BYTES)  # of open set-ups, by connection
        self.switches = SwitchDirectory()
        self.by_id: dict[str, Call] = {}
        self.by_dialog: dict[int, Call] = {}
        self.by_link: dict[Link, dict[str, Call]] = {}  # calls with a leg out, by its connection and the call's id
        self.by_conn: dict[Conn, dict[str, Call]] = {}  # open set-ups, by the caller's connection and their id
        self.established: dict[int, dict[str, Call]] = {}  # established calls, by gw and id
        self.established_by_conn: dict[Conn, int] = {}  # how many of them were set up on each connection that is open
        self.switch_processes = SwitchProcesses(now)
        self.gws_to_review: set[int] = set()  # switches with calls that may end without another event
        self.named_calls = NamedCalls()
        self.ended_set_ups = EndedSetUps()
        self.cancelled_legs: dict[Link, dict[str, CancelledLeg]] = {}  # by connection and the call's id
        self.leg_deadlines: list[tuple[int, int, int]] = []  # heap of (time, dialog, leg number)
        self.deferred_legs: list[tuple[Call, int]] = []  # call and leg number; sent once the caller's bytes are read
        self.next_dialog = 0
        self.pending_leg_ends: deque[tuple[Call, int, LegEnd]] = deque()
        self.now = self.next_tick_at = now
        self.counts: dict[str, int] = {}
        self.detail_counts = 0  # of those counts, that are named after what a peer sent
        self.controller = controller_factory(self, seed, own_exchange, proxies, self.traffic_types, **controller_options)
        self.controller.start(now)

    # --- actions of the controller (Host) ---

    def send_leg(self, dialog: int, gw: int, limit: int) -> None:
        call = self.by_dialog[dialog]
        call.leg_count += 1
        call.gw, call.answer_deadline, call.sent_at = gw, self.now + limit, -1
        heappush(self.leg_deadlines, (call.answer_deadline, dialog, call.leg_count))
        if call.leg_count > 1:
            self.wire.log_call("leg-again", call.id, switch=self.switches.ids[gw], leg=call.leg_count)
        link = self.wire.choose_link(gw, call.used_links)
        call.link = link
        if link is None:
            self._queue_leg_end(call, LegEnd.UNREACHABLE)
            return
        call.used_links.add(link)
        self.by_link.setdefault(link, {})[call.id] = call
        if self.wire.is_up(link):
            self._send_invite(call) if call.received_at == self.now else self._send_invite_once_read(call)

    def cancel_leg(self, dialog: int, leg: int) -> None:
        call = self.by_dialog.get(dialog)
        if call is None or call.link is None or call.established or leg != call.leg_count - 1:
            return
        link = call.link
        if self._detach_leg(call):
            self.wire.retire_link(link)
            self._queue_leg_end(call, LegEnd.CANCELLED)
        else:
            self._queue_leg_end(call, LegEnd.UNREACHABLE)  # the connection was not made, so the INVITE was never sent

    def decline(self, dialog: int, hold_off: int) -> None:
        if self.diagnostics is not None:
            self.diagnostics.dialog_declined(self.controller, dialog, self.now)
        self._refuse(dialog, DECLINED, hold_off // UNITS_PER_MS)

    def abort(self, dialog: int) -> None:
        self._refuse(dialog, ABORTED, 0)

    def schedule_tick(self, delay: int) -> None:
        self.next_tick_at = self.now + delay

    def send_to_peers(self, payload: bytes) -> None:
        """Does nothing: the platform has no channel between proxies."""

    def subscribe(self) -> None:
        """Does nothing: the event bus is always followed."""

    # --- events from callers ---

    def set_up_received(
        self,
        now: int,
        conn: Conn,
        id: str,
        traffic_type: str,
        time_left: int,
        number: str,
        destination: int,
        circuits: int,
        advised_tandem: int,
        transit: bool,
        redialled: bool,
        after_cut: bool,
        sdp: str,
    ) -> None:
        """Arguments as of `CallerLineHandler.set_up_received`; `time_left` in milliseconds."""
        self.now = now
        if self._handle_known_id(conn, id):
            return
        type_index = self.type_indices.get(traffic_type)
        if type_index is None:
            self.set_up_invalid(now, conn, id, "field class names no traffic type")
            return
        max_circuits = self.max_circuits[type_index] if type_index < len(self.max_circuits) else circuits
        if (
            time_left * UNITS_PER_MS > self.traffic_types[type_index].no_answer_time + UNITS_PER_MS
            or circuits > max_circuits
            or destination not in self.controller.exchange_by_number
        ):
            self.set_up_invalid(now, conn, id, "field left, width or dest is out of range")
            return
        self.wire.set_up_taken(conn)
        size = SET_UP_BYTES + 2 * len(sdp)  # it stands in the set-up and in its INVITE
        if not (self.open_share.admits(conn) and self.bytes_share.admits(conn, size) and self.ended_set_ups.admits(conn)):
            self.refuse_set_up(now, conn, id, "too many open")
            return
        call = Call(id, self.next_dialog, conn, traffic_type, number, sdp, circuits)
        call.received_at, call.held_bytes = now, size
        self.open_share.take(conn)
        self.bytes_share.take(conn, size)
        call.resubmitted = id in self.ended_set_ups
        self.ended_set_ups.remove(id)
        self.next_dialog += 1
        self.by_id[id] = self.by_dialog[call.dialog] = call
        self.by_conn.setdefault(conn, {})[id] = call
        self.wire.log_call("set-up-taken", id, dest=destination, left_ms=time_left)
        self.controller.dialog_received(
            now,
            call.dialog,
            type_index,
            destination,
            circuits,
            number,
            time_left * UNITS_PER_MS,
            transit,
            redialled,
            after_cut,
            -1 if transit else advised_tandem,
        )
        self._report_leg_ends()

    def set_up_invalid(self, now: int, conn: Conn, id: str, reason: str) -> None:
        """A set-up has an invalid field, or was received together with another of the same id."""
        self.now = now
        if not self._handle_known_id(conn, id):
            self._refuse_at_once(conn, id, reason, INVALID_CONTENTS, 0)

    def refuse_set_up(self, now: int, conn: Conn, id: str, reason: str) -> None:
        """Refuse a set-up for want of room here. Its caller may try again later."""
        self.now = now
        self._refuse_at_once(conn, id, reason, DECLINED, self.controller.max_hold_off // UNITS_PER_MS)

    def set_up_withdrawn(self, now: int, conn: Conn, id: str) -> None:
        """A set-up was received together with its release, so no answer is expected."""
        self.now = now
        if id not in self.by_id and id not in self.ended_set_ups:
            self.wire.log_call("set-up-withdrawn", id)
            self.ended_set_ups.add(now, id, EndOfSetUp.GIVEN_UP, conn)

    def _refuse_at_once(self, conn: Conn, id: str, reason: str, cause: int, wait: int, forwarded: bool = False) -> None:
        """Refuse a set-up that is not passed to the controller. `wait`: milliseconds; `forwarded`: it was, when it came before."""
        self.increment("refused", reason)
        self.wire.log_call("set-up-refused", id, why=reason)
        self.wire.send_to_caller(conn, json_lines.encode_release(id, cause, wait))
        self.ended_set_ups.add(self.now, id, EndOfSetUp.ANSWERED, conn, forwarded)

    def _handle_known_id(self, conn: Conn, id: str) -> bool:
        """Handle a set-up whose id is open, or has ended and must not be accepted again. Returns whether that was the case."""
        call = self.by_id.get(id)
        if call is not None:
            self._refuse_open_id(conn, call)
            return True
        ended = self.ended_set_ups.get(id)
        if ended is None or ended.reason == EndOfSetUp.ELSEWHERE:
            return False
        if conn in ended.connections:
            self.increment("set-ups that came again")
            self.wire.log_call("set-up-came-again", id, after=ended.reason.name)
            return True
        if ended.reason == EndOfSetUp.CONNECTION_GONE and not ended.forwarded:
            return False
        # A set-up that may have been processed at a switch must not be processed there twice.
        cause = ABORTED if ended.reason == EndOfSetUp.CONNECTION_GONE else INVALID_CONTENTS
        self._refuse_at_once(conn, id, "came again", cause, 0, ended.forwarded)
        self.ended_set_ups.get(id).connections += ended.connections
        return True

    def _refuse_open_id(self, conn: Conn, call: Call) -> None:
        """Handle a set-up whose id is open already.

        On another connection the second one is refused. On the same connection an answer could not be assigned to one of the
        two, so both are refused. For an established call no release is sent, since it would end that call.
        """
        self.increment("refused: id is open already")
        self.wire.log_call("set-up-refused", call.id, why="id is open already")
        if call.established:
            if conn != call.conn:
                self.wire.half_close_unused(conn)
        elif call.conn != conn:
            self.wire.send_to_caller(conn, json_lines.encode_release(call.id, INVALID_CONTENTS))
        elif not call.finished:
            self.wire.send_to_caller(conn, json_lines.encode_release(call.id, INVALID_CONTENTS))
            self._give_up(call, EndOfSetUp.ANSWERED)

    def call_announced(self, now: int, conn: Conn, id: str, traffic_type: str, number: str, switch: str) -> None:
        """A caller names a call that was established before this process started; it may be known already."""
        self.now = now
        if self._is_known_end(id) or id in self.by_id and self.by_id[id].established and not self.by_id[id].announced:
            self.wire.caller_identified(conn)
            return
        if id in self.by_id or id in self.ended_set_ups:
            return
        if not self.named_calls.admits(conn):
            self.increment("named calls not kept")
            self.wire.log_call("call-not-kept", id, switch=switch)
            return
        gw = self.switches.gw_of_named(switch, conn)
        self.wire.log_call("call-announced", id, switch=switch, listed=self.switches.is_listed(gw))
        call = Call(id, -1, conn, traffic_type, number, "", 0)
        call.gw, call.established, call.finished, call.sent_at = gw, True, True, now
        call.announced, call.latest_start = True, self.switch_processes.named(now, gw)
        self.by_id[id] = call
        self.established.setdefault(gw, {})[id] = call
        dropped = self.named_calls.add(id, conn)
        if dropped is not None:
            self._drop_named(self.by_id[dropped])
        if not self.switches.is_listed(gw):
            self.named_calls.wait_for_list(id, now + UNLISTED_TIMEOUT)
        self._review_announced(call)

    def _is_known_end(self, id: str) -> bool:
        """Whether a call of that id has stood and is over."""
        ended = self.ended_set_ups.get(id)
        return ended is not None and ended.stood or self.wire.is_release_pending(id)

    def _drop_named(self, call: Call) -> None:
        """Forget a call that a caller named, without a word to either side: it may stand."""
        self.increment("named calls not kept")
        self.wire.log_call("call-not-kept", call.id, switch=self.switches.ids[call.gw])
        del self.by_id[call.id]
        self._remove_established(call)

    def caller_released(self, now: int, conn: Conn, id: str, cause: int) -> None:
        """A caller gives its set-up up, or ends an established call."""
        self.now = now
        call = self.by_id.get(id)
        if call is None:
            self.wire.log_call("release-of-unknown-set-up", id, cause=cause)
            if self._is_known_end(id):  # its release crosses that of its switch, which may wait for a caller
                self.wire.settle_release(id)
                self.wire.caller_identified(conn)
            return
        if call.established:
            self.wire.log_call("call-ended", id, by="caller", cause=cause, switch=self.switches.ids[call.gw])
            if not call.announced:  # a faulty client may name and release a call that no switch knows
                self.wire.caller_identified(conn)
            self.wire.send_to_caller(conn, json_lines.encode_released(id))
            self._send_bye(call, cause)
            self._end_call(call, LegEnd.ENDED)
        elif call.conn == conn:
            self._give_up(call, EndOfSetUp.GIVEN_UP)
        self._report_leg_ends()

    def shut_down(self, now: int) -> ShutdownSchedule:
        """Start the shutdown; returns its deadlines."""
        self.now = now
        schedule = shutdown.shutdown_schedule(now, max(traffic_type.no_answer_time for traffic_type in self.traffic_types))
        self.controller.shut_down(now, schedule.refuse_from, schedule.answer_by)
        return schedule

    def ping_received(self, now: int, conn: Conn, id: str, passed: bool) -> None:
        self.wire.send_to_caller(conn, json_lines.encode_pong(id, passed))

    def caller_half_closed(self, now: int, conn: Conn) -> None:
        """A caller has shut down its sending side. The progress sent to it shows whether it still reads: if it does not, the
        connection is reset."""
        self.now = now
        for call in list(self.by_conn.get(conn, {}).values()):
            self.wire.log_call("caller-done", call.id, leg=call.leg_count if call.link is not None else 0)
            self.controller.caller_done(now, call.dialog)
        self._report_leg_ends()
        for id in self.by_conn.get(conn, ()):
            self.wire.send_to_caller(conn, json_lines.encode_progress(id))

    def caller_unreadable(self, now: int, conn: Conn) -> None:
        """A line on a connection was invalid and it is about to be closed: its open set-ups are refused at once."""
        self.now = now
        for call in list(self.by_conn.get(conn, {}).values()):
            cause = ABORTED if call.forwarded else DECLINED
            self.wire.log_call(
                "set-up-failed" if call.forwarded else "set-up-refused", call.id, why="invalid line on its connection"
            )
            self.wire.send_to_caller(conn, json_lines.encode_release(call.id, cause))
            self._give_up(call, EndOfSetUp.ANSWERED)
        self._report_leg_ends()

    def conn_lost(self, now: int, conn: Conn) -> None:
        """A caller's connection has ended: its open set-ups are given up."""
        self.now = now
        for call in list(self.by_conn.pop(conn, {}).values()):
            call.conn = None
            if not call.established:
                self._give_up(call, EndOfSetUp.GIVEN_UP if call.resubmitted else EndOfSetUp.CONNECTION_GONE)
        for id in self.named_calls.connection_closed(conn):
            self.by_id[id].conn = None
        self.established_by_conn.pop(conn, None)
        self._report_leg_ends()

    def holds_calls(self, conn: Conn) -> bool:
        """Whether calls stand that were set up or named on the connection."""
        return conn in self.established_by_conn or conn in self.named_calls.by_conn

    def has_established_calls(self) -> bool:
        return any(self.established.values())

    def _give_up(self, call: Call, reason: EndOfSetUp) -> None:
        """End a set-up whose caller no longer waits. Its leg is cancelled without being counted against the destination, since no
        failure of it is known."""
        if call.finished:
            return
        call.finished, call.end_reason = True, reason
        self._remove_from_conn(call)
        self.wire.log_call("set-up-given-up", call.id, legs=call.leg_count, connection="gone" if call.conn is None else "open")
        self.controller.dialog_cancelled(self.now, call.dialog)
        if call.link is not None:
            self._detach_leg(call)
            self._queue_leg_end(call, LegEnd.NOT_SENT)
        self._forget_if_done(call)

    # --- events from switches ---

    def link_up(self, now: int, link: Link) -> None:
        """A connection has been made: the legs that waited for it are sent."""
        self.now = now
        for call in list(self.by_link.get(link, {}).values()):
            if call.sent_at < 0:
                self._send_invite_once_read(call)

    def link_lost(self, now: int, link: Link, was_up: bool) -> None:
        """A connection has ended, or could not be made. Legs that were sent on it are in doubt; the others were never sent."""
        self.now = now
        for call in list(self.by_link.get(link, {}).values()):
            self.increment("legs cut with their connection" if was_up else "legs to nobody")
            if call.sent_at >= 0:
                call.doubtful_gws.add(call.gw)
            self._end_leg(call, LegEnd.CUT if was_up and call.sent_at >= 0 else LegEnd.UNREACHABLE)
        self.by_link.pop(link, None)
        for id in self.cancelled_legs.pop(link, ()):  # a switch gives a set-up up when its connection ends
            self._report_late_cut(id)
        connection = self.wire.connection(link)
        if connection.standing_calls:
            self._review_calls_at(self.switch_processes.sharing_address(connection.gw))
        self._report_leg_ends()

    def _report_late_cut(self, id: str) -> None:
        """Tell the controller that a cancelled leg was cut: the switch may not have read the CANCEL on the connection."""
        call = self.by_id.get(id)
        if call is not None and not call.finished:
            self.controller.leg_cut_late(self.now, call.dialog)

    def switch_answered(self, now: int, gw: int, link: Link, id: str, sdp: str) -> None:
        self.now = now
        call = self._call_on_link(link, id)
        if call is None:
            cancelled_leg = self._pop_cancelled_leg(id, link)
            if cancelled_leg is not None:
                self._answered_after_cancel(id, link, cancelled_leg)
            return
        self.wire.send_on_link(link, sip_messages.ack(call.number, id, call.leg_count))
        del self.by_link[link][id]
        self._remove_from_conn(call)
        call.established, call.link = True, None
        setup_duration = now - call.sent_at
        connection = call.connection = self.wire.connection(link)
        connection.standing_calls += 1
        self.wire.log_call(
            "set-up-answered",
            id,
            switch=self.switches.ids[gw],
            leg=call.leg_count,
            after_ms=setup_duration // UNITS_PER_MS,
            own_port=connection.own_port,
        )
        if self.diagnostics is not None:
            self.diagnostics.leg_answered(gw, setup_duration)
            dialog = self.controller.dialogs.get(call.dialog)
            self.diagnostics.leg_ended(
                gw, dialog is not None and dialog.destination == self.switches.exchange_numbers.get(gw), "200"
            )
        self.established.setdefault(gw, {})[id] = call
        self.established_by_conn[call.conn] = self.established_by_conn.get(call.conn, 0) + 1
        if self.switch_processes.is_over(gw) or self.switch_processes.replaced_by(gw) is not None:
            self.gws_to_review.add(gw)
        self.wire.call_established(call.conn)
        delivered = self.wire.send_to_caller(call.conn, json_lines.encode_answer(id, sdp))
        call.invite, call.used_links = b"", set()
        self._drop_description(call)
        self._release_cancelled_legs(call, [leg for leg in call.unreleased_legs if leg.gw != gw])
        self.controller.dialog_established(now, call.dialog, setup_duration)
        if not delivered:
            self._end_undelivered(call)
        self._report_leg_ends()

    def _pop_cancelled_leg(self, id: str, link: Link) -> CancelledLeg | None:
        cancelled_legs = self.cancelled_legs.get(link, {})
        leg = cancelled_legs.pop(id, None)
        if leg is not None and not cancelled_legs:
            del self.cancelled_legs[link]
        return leg

    def _end_undelivered(self, call: Call) -> None:
        """End a call whose answer could not be written, since its caller's connection had gone."""
        self.wire.log_call("call-ended", call.id, by="lost connection", cause=NORMAL_CLEARING, switch=self.switches.ids[call.gw])
        self._send_bye(call, NORMAL_CLEARING)
        call.end_reason = EndOfSetUp.CONNECTION_GONE
        self._end_call(call, LegEnd.ENDED)

    def _send_bye(self, call: Call, cause: int) -> None:
        """End an established call at the process that answered it."""
        bye = sip_messages.bye(call.number, call.id, call.leg_count + 1, cause)
        if call.connection is None or not self.wire.send_on_connection(call.connection, bye):
            self.wire.send_to_switch(call.gw, bye, call.owner)

    def _answered_after_cancel(self, id: str, link: Link, leg: CancelledLeg) -> None:
        """Release a leg whose answer crossed its CANCEL. A switch identifies calls by id alone, so while a later leg of the
        call is at the same switch a BYE would end that one as well: the release then waits until the later leg has ended."""
        self.increment("crossed answers released")
        self.wire.log_call("answer-after-cancel", id, switch=self.switches.ids[leg.gw], leg=leg.leg)
        ack = sip_messages.ack(leg.number, id, leg.leg)
        call = self.by_id.get(id)
        if call is not None and call.gw == leg.gw and (call.link is not None or call.established):
            call.unreleased_legs.append(leg)
            self.wire.send_on_link(link, ack)
            return
        ack_and_bye = ack + sip_messages.bye(leg.number, id, leg.leg + 1, NORMAL_CLEARING)
        if not self.wire.send_on_link(link, ack_and_bye):
            self.wire.send_to_switch(leg.gw, ack_and_bye)
        self._report_late_cut(id)

    def _release_cancelled_legs(self, call: Call, legs: list[CancelledLeg]) -> None:
        for leg in legs:
            call.unreleased_legs.remove(leg)
            self.wire.send_to_switch(leg.gw, sip_messages.bye(leg.number, call.id, leg.leg + 1, NORMAL_CLEARING), call.owner)

    def switch_refused(self, now: int, gw: int, link: Link, id: str, status: int, fail_word: str, report: dict[str, float]) -> None:
        """A final response from 300 on. `report`: the switch's Link-State, empty without one."""
        self.now = now
        self._pop_cancelled_leg(id, link)
        free, size = circuits_in_report(report)
        call = self._call_on_link(link, id)
        if call is None:
            self._report_trunk_group(gw, free, size)
            return
        self.wire.send_on_link(link, sip_messages.ack(call.number, id, call.leg_count))
        leg_end = (
            LegEnd.FULL
            if status == 503
            else LegEnd.BUSY
            if status in BUSY_STATUSES
            else LegEnd.NOT_SENT
            if status == 480
            else LegEnd.CUT
        )
        self.increment("legs refused", f"{status} {fail_word[:MAX_FAIL_WORD]}")
        if self.diagnostics is not None:
            dialog = self.controller.dialogs.get(call.dialog)
            self.diagnostics.leg_ended(
                gw, dialog is not None and dialog.destination == self.switches.exchange_numbers.get(gw), f"{status} {fail_word}"
            )
        self._end_leg(call, leg_end, RSN_BY_REASON.get(fail_word, Rsn.NONE), free, size)
        self._report_leg_ends()

    def switch_released(self, now: int, gw: int, link: Link, id: str, cause: int, report: dict[str, float]) -> None:
        """A BYE: an established call has ended or was cut, or a set-up failed on its way."""
        self.now = now
        self.wire.send_on_link(link, sip_messages.bye_response(id))
        free, size = circuits_in_report(report)
        self._report_trunk_group(gw, free, size)
        call = self.by_id.get(id)
        if call is None:
            if not self.ended_set_ups.knows_release(id):  # established before this process started
                self.ended_set_ups.add(now, id, EndOfSetUp.ELSEWHERE, stood=True, owner=gw)
                self.wire.log_call("release-of-unknown-call", id, switch=self.switches.ids[gw])
                self.wire.send_release(None, id, cause, gw, is_known=False)
        elif call.established and self.switch_processes.share_address(gw, call.gw):
            # A BYE of another switch ends an earlier leg that this proxy had given up.
            self.wire.log_call("call-ended", id, by="switch", cause=cause, switch=self.switches.ids[gw])
            self.wire.send_release(call.conn, id, cause, gw)
            if gw in call.doubtful_gws and not call.unreleased_legs:  # it is unknown which of the legs there has ended
                call.unreleased_legs.append(CancelledLeg(gw, call.leg_count, call.number))
            self._end_call(call, LegEnd.ENDED if cause == NORMAL_CLEARING else LegEnd.CUT)
        elif self._call_on_link(link, id) is call:
            # The BYE may be for an earlier leg that was established without this proxy's knowledge, with this leg still out.
            self._detach_leg(call)
            self._end_leg(call, LegEnd.CUT)
        self._report_leg_ends()

    def trunk_group_reported(self, now: int, gw: int, report: dict[str, float]) -> None:
        self.now = now
        free, size = circuits_in_report(report)
        if self.diagnostics is not None:
            self.diagnostics.trunk_group_reported(gw, free, size)
        self._report_trunk_group(gw, free, size)

    def _report_trunk_group(self, gw: int, free: int, size: int) -> None:
        """Tell the controller the circuits of a trunk group; `size` -1 for unknown.

        A group leads to an exchange number, not to the switch that holds the number. While one switch takes over from
        another, a report from either counts for both: for seconds only the old one sent reports, so that legs were sent to
        the new one without knowing its free circuits.
        """
        if size < 0:
            return
        for other in self.switches.sharing_number(gw):
            self.controller.trunk_group_reported(self.now, other, free, size)

    def connection_refused(self, now: int, gw: int, connections_lost_at: int) -> bool:
        """A connection to a switch was refused while none is open to its address; see `SwitchProcesses`."""
        self.now = now
        is_over = self.switch_processes.connection_refused(now, gw, connections_lost_at)
        if is_over:
            self._review_calls_at(self.switch_processes.sharing_address(gw))
        return is_over

    def connections_failed(self, now: int, gw: int, failing_since: int, last_read_at: int) -> bool:
        """New connections to a switch have failed for some time; see `SwitchProcesses`."""
        self.now = now
        is_lost = self.switch_processes.connections_failed(now, gw, failing_since, last_read_at)
        if is_lost:
            self._review_calls_at(self.switch_processes.sharing_address(gw))
        return is_lost

    def _review_calls_at(self, gws: Iterable[int]) -> None:
        """End the calls at switches whose process is over, and file those that another process answered at its address."""
        for gw in list(gws):
            self.gws_to_review.discard(gw)
            fates: dict[ProcessConnection, Fate] = {}  # the same for all calls of a connection
            for call in list(self.established.get(gw, {}).values()):
                if call.connection is None:
                    self._review_announced(call)
                    continue
                if call.connection not in fates:
                    open_connections = self.wire.open_connections(call.connection.address)
                    fates[call.connection] = self.switch_processes.fate_of(self.now, call.connection, open_connections)
                self._apply_fate(call, fates[call.connection])
        self._report_leg_ends()

    def _review_announced(self, call: Call) -> None:
        end = self.switch_processes.end_of_announced(self.now, call.gw, call.sent_at, call.latest_start)
        if end is not None:
            self._cut_call(call, end, [call.gw] if end is ProcessEnd.UNREACHABLE else [])

    def _apply_fate(self, call: Call, fate: Fate) -> None:
        if fate.end is not None:
            self._cut_call(call, fate.end, fate.may_run)
            return
        if fate.gw is not None and fate.gw != call.gw:
            self._file_at(call, fate.gw)
        if fate.is_watched:
            self.gws_to_review.add(call.gw)

    def _file_at(self, call: Call, gw: int) -> None:
        """Move a call to the switch whose process answered it."""
        self.wire.log_call("call-refiled", call.id, switch=self.switches.ids[call.gw], at=self.switches.ids[gw])
        del self.established[call.gw][call.id]
        call.gw = gw
        self.established.setdefault(gw, {})[call.id] = call

    def _cut_call(self, call: Call, end: ProcessEnd, may_run: Iterable[int]) -> None:
        """End a call whose switch can not release it, towards its caller, and at the switches where it may stand all the same."""
        self.increment("calls cut with their machine")
        own_port = call.connection.own_port if call.connection is not None else 0
        self.wire.log_call("call-cut", call.id, switch=self.switches.ids[call.gw], why=end.name, own_port=own_port)
        for gw in may_run:
            self.wire.send_to_switch(gw, sip_messages.bye(call.number, call.id, call.leg_count + 1, ABORTED), call.owner)
        self.wire.send_release(call.conn, call.id, ABORTED)
        self._end_call(call, LegEnd.CUT)

    def exchange_list_received(self, now: int, complete: bool, entries: list[ListedProcess]) -> None:
        """Changes of the exchange list, or (`complete`) all of it."""
        self.now = now
        list_entries = [self._entry_received(entry) for entry in entries]
        if complete:
            for gw in self.switches.listed_without(entry.gw for entry in list_entries):
                self.switch_processes.left_out(now, gw)
        self._review_calls_at(self.established)
        self.controller.exchange_list_received(now, list_entries, complete)
        self._drop_unsent_legs()
        self._report_leg_ends()

    def _entry_received(self, entry: ListedProcess) -> ListEntry:
        """Take one entry of the exchange list; returns it as the controller is told."""
        gw = self.switches.entry_received(entry)
        self.switch_processes.listed(self.now, gw, entry)
        return ListEntry(gw, self.switches.exchange_numbers[gw], entry.state, entry.started)

    def _drop_unsent_legs(self) -> None:
        """End the legs that wait for a connection to a switch that drains or has gone, before the connection comes up."""
        unsent = [call for calls in self.by_link.values() for call in calls.values() if call.sent_at < 0]
        for call in unsent:
            if call.link is not None and call.sent_at < 0 and not self.controller.exchanges[call.gw].ready:
                self._end_leg(call, LegEnd.UNREACHABLE)

    # --- time ---

    def tick(self, now: int) -> None:
        """Handle everything that is due by now."""
        self.now = now
        self._send_deferred_invites()
        while self.leg_deadlines and self.leg_deadlines[0][0] <= now:
            _, dialog, leg = heappop(self.leg_deadlines)
            call = self.by_dialog.get(dialog)
            if call is not None and call.leg_count == leg and call.link is not None and not call.established:
                link = call.link
                if self._detach_leg(call):
                    self.wire.retire_link(link)
                    self._end_leg(call, LegEnd.NO_ANSWER)
                else:
                    self._end_leg(call, LegEnd.UNREACHABLE)  # the connection was not made, so the INVITE was never sent
        self._review_calls_at(self.gws_to_review)
        for id in self.named_calls.due(now):
            self._review_announced(self.by_id[id])
        self.ended_set_ups.remove_expired(now)
        if now >= self.next_tick_at:
            self.controller.tick(now)
        self._report_leg_ends()
        if self.diagnostics is not None:
            self.diagnostics.log_due(self, now)

    # --- internal ---

    def increment(self, counter: str, detail: str = "") -> None:
        """Count an event; `detail`, which peers can make up, is told apart for the first ones only."""
        name = f"{counter}: {detail}" if detail else counter
        if detail and name not in self.counts:
            if self.detail_counts < MAX_DETAIL_COUNTS:
                self.detail_counts += 1
            else:
                name = counter
        self.counts[name] = self.counts.get(name, 0) + 1

    def _send_invite(self, call: Call) -> None:
        call.sent_at, call.forwarded = self.now, True
        self.wire.log_call("leg-sent", call.id, switch=self.switches.ids[call.gw], leg=call.leg_count)
        answer_within = max(1, (call.answer_deadline - self.now) // UNITS_PER_MS)
        call.invite = sip_messages.invite(call.number, call.id, call.leg_count, call.traffic_type, answer_within, call.sdp)
        self.wire.send_on_link(call.link, call.invite)

    def _send_invite_once_read(self, call: Call) -> None:
        """Send a leg some time after the set-up was received. Bytes that its caller has written since are read first, for one
        tick, since they may give the set-up up."""
        if self.wire.has_unread(call.conn):
            self.deferred_legs.append((call, call.leg_count))
        else:
            self._send_invite(call)

    def _send_deferred_invites(self) -> None:
        deferred, self.deferred_legs = self.deferred_legs, []
        for call, leg in deferred:
            if call.link is not None and call.leg_count == leg and call.sent_at < 0 and self.wire.is_up(call.link):
                self._send_invite(call)

    def _call_on_link(self, link: Link, id: str) -> Call | None:
        return self.by_link.get(link, {}).get(id)

    def _detach_leg(self, call: Call) -> bool:
        """Take a leg off its connection, with CANCEL if its INVITE was sent. Returns whether it was sent; an INVITE still in
        the write queue, as of a switch that has stopped reading, was not."""
        link = call.link
        self.by_link[link].pop(call.id, None)
        call.link = None
        if call.sent_at < 0:
            return False
        if self.wire.withdraw_unsent(link, call.invite):
            call.sent_at = -1
            self.wire.retire_link(link)
            return False
        cancelled_legs = self.cancelled_legs.setdefault(link, {})
        cancelled_legs[call.id] = CancelledLeg(call.gw, call.leg_count, call.number)
        if len(cancelled_legs) >= MAX_CANCELLED_LEGS:  # the switch answers none of them; it gives them up with the connection
            self.wire.retire_link(link)
        call.doubtful_gws.add(call.gw)
        self.wire.log_call(
            "leg-called-off", call.id, switch=self.switches.ids[call.gw], leg=call.leg_count, after_ms=self._leg_age_ms(call)
        )
        self.wire.send_on_link(link, sip_messages.cancel(call.number, call.id, call.leg_count))
        return True

    def _queue_leg_end(self, call: Call, leg_end: LegEnd) -> None:
        """Report a leg's end to the controller once it has returned."""
        self.pending_leg_ends.append((call, call.gw, leg_end))

    def _end_leg(self, call: Call, leg_end: LegEnd, rsn: int = 0, free: int = -1, size: int = -1) -> None:
        if call.link is not None:
            self.by_link[call.link].pop(call.id, None)
            call.link = None
        self.wire.log_call(
            "leg-ended",
            call.id,
            switch=self.switches.ids[call.gw],
            leg=call.leg_count,
            how=leg_end.name,
            after_ms=self._leg_age_ms(call),
        )
        self.controller.leg_ended(self.now, call.dialog, call.gw, leg_end, rsn, call.finished, free, size)
        self._forget_if_done(call)

    def _leg_age_ms(self, call: Call) -> int:
        """Milliseconds since the INVITE of the leg was sent; -1 if it never was."""
        return (self.now - call.sent_at) // UNITS_PER_MS if call.sent_at >= 0 else -1

    def _report_leg_ends(self) -> None:
        """Report the queued leg ends to the controller."""
        while self.pending_leg_ends:
            call, gw, leg_end = self.pending_leg_ends.popleft()
            if call.dialog in self.by_dialog:
                self.controller.leg_ended(self.now, call.dialog, gw, leg_end, 0, call.finished, -1, -1)
                self._forget_if_done(call)

    def _refuse(self, dialog: int, cause: int, wait: int) -> None:
        """Send the final refusal that the controller decided on. `wait`: milliseconds."""
        call = self.by_dialog[dialog]
        if call.finished:
            return
        call.finished = True
        self.increment("declined" if cause == DECLINED else "aborted")
        self.wire.log_call("set-up-refused" if cause == DECLINED else "set-up-failed", call.id, cause=cause, legs=call.leg_count)
        self._remove_from_conn(call)
        self.wire.send_to_caller(call.conn, json_lines.encode_release(call.id, cause, wait))
        self._forget_if_done(call)

    def _end_call(self, call: Call, leg_end: LegEnd) -> None:
        """Remove an established call that has ended."""
        call.finished = True
        self._remove_established(call)
        self._remove_from_conn(call)
        if call.dialog >= 0:
            self.controller.leg_ended(self.now, call.dialog, call.gw, leg_end, 0, True, -1, -1)
        self._forget_if_done(call)

    def _remove_established(self, call: Call) -> None:
        calls_there = self.established[call.gw]
        del calls_there[call.id]
        if call.connection is not None:
            call.connection.standing_calls -= 1
        if call.announced:
            self.named_calls.remove(call.id, call.conn)
        elif call.conn in self.established_by_conn:
            self.established_by_conn[call.conn] -= 1
            if not self.established_by_conn[call.conn]:
                del self.established_by_conn[call.conn]
        if not calls_there and not self.switches.is_listed(call.gw):
            del self.established[call.gw]
            self.switches.forget_unlisted(call.gw)
            self.switch_processes.forget_unlisted(call.gw)

    def _remove_from_conn(self, call: Call) -> None:
        open_set_ups = self.by_conn.get(call.conn)
        if open_set_ups is not None:
            open_set_ups.pop(call.id, None)
            if not open_set_ups:
                del self.by_conn[call.conn]

    def _forget_if_done(self, call: Call) -> None:
        """Remove a call once it has finished, no leg of it is out, and no end of a leg is still to be reported."""
        if not call.finished or call.link is not None:
            return
        self._release_cancelled_legs(call, list(call.unreleased_legs))
        if self.by_id.get(call.id) is call:
            del self.by_id[call.id]
            self.ended_set_ups.add(self.now, call.id, call.end_reason, call.conn, call.forwarded, call.established, call.owner)
        if all(entry[0] is not call for entry in self.pending_leg_ends):
            self._drop_description(call)
            if self.by_dialog.pop(call.dialog, None) is not None:
                self.open_share.give_back(call.owner)

    def _drop_description(self, call: Call) -> None:
        call.sdp = ""
        if call.held_bytes:
            self.bytes_share.give_back(call.owner, call.held_bytes)
            call.held_bytes = 0
