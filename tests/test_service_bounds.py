"""Tables that a peer can make grow: each has a bound, and one peer can neither use it up nor empty it for others.

The tables and their bounds are listed in docs/service-design.md.
"""

from collections import Counter
from socket import SHUT_WR
from types import SimpleNamespace

import pytest
import test_service_caller_connections as caller_connections
from test_service_caller_connections import FakeOwner
from test_service_calls import FREE_GROUP, START, RecordingWire, make_calls, receive_set_up
from test_service_switch_connections import FakeOwner as SwitchOwner

from gingergap.service.caller_connections import CallerConnections
from gingergap.service.fair_share import FairShare
from gingergap.service.log import DetailLog
from gingergap.service.named_calls import MAX_DUE
from gingergap.service.process import Process
from gingergap.service.switch_connections import SwitchConnections

connected_caller = caller_connections.connected_caller

A, B = "a" * 16, "b" * 16
FLOOD = 25_000  # more than any table holds
SECOND = 10_000


class SharedLinkWire(RecordingWire):
    """All legs to a switch are sent on one connection until it is retired."""

    def choose_link(self, gw, used_links):
        usable = [link for link, of in self.gw_of.items() if of == gw and link not in self.retired and link not in used_links]
        return usable[0] if usable else super().choose_link(gw, used_links)


def ids(count):
    return (f"{index:016x}" for index in range(count))


def name_call(calls, id, conn, switch="s-1", now=START):
    calls.call_announced(now, conn, id, "voice", "7f", switch)


# Guards against memory that grows without bound, as one client names ever new calls at a switch that runs, and against a client
# whose calls find no room then.
@pytest.mark.parametrize("switch", ["s-1", "s-99"])
def test_calls_named_by_one_client_are_bounded_and_leave_room_for_others(switch):
    calls = make_calls(RecordingWire())
    name_call(calls, A, "c1", switch)
    for id in ids(FLOOD):
        name_call(calls, id, "flood", switch)
    name_call(calls, B, "c2", switch)
    assert len(calls.by_id) <= 10_000
    assert A in calls.by_id and B in calls.by_id


# Guards against the same by ever new connections: the calls of clients that stay connected are kept.
def test_calls_named_on_connections_that_have_gone_make_room_first():
    calls = make_calls(RecordingWire())
    name_call(calls, A, "c1")
    for index, id in enumerate(ids(FLOOD)):
        name_call(calls, id, index)
        calls.conn_lost(START, index)
    name_call(calls, B, "c2")
    assert len(calls.by_id) <= 10_000
    assert A in calls.by_id and B in calls.by_id


# Guards against unlisted switches that one client names: they are forgotten with their calls, so that others find room.
def test_unlisted_switches_that_one_client_names_leave_room_for_others():
    calls = make_calls(RecordingWire())
    for now in (START, START + 3 * SECOND):
        for index, id in enumerate(ids(FLOOD // 10)):
            name_call(calls, id, "flood", f"x-{now}-{index}", now)
        for _ in range(FLOOD // MAX_DUE):
            calls.tick(now + 1)
    assert len(calls.switches.ids) < 2_000
    name_call(calls, A, "c1", "s-77", START + 3 * SECOND)
    assert calls.switches.ids[calls.by_id[A].gw] == "s-77"


def pass_time(calls, now):
    for gw in (1, 2, 3):
        calls.trunk_group_reported(now, gw, FREE_GROUP)
    calls.tick(now)


def run_flood(calls, kind):
    for index, id in enumerate(ids(FLOOD)):
        now = START + 2 * index
        pass_time(calls, now)
        match kind:
            case "withdrawn at once":
                calls.set_up_withdrawn(now, "flood", id)
            case "unsound":
                calls.set_up_invalid(now, "flood", id, "field left is missing or makes no sense")
            case "released by a switch":
                calls.switch_released(now, 2, 99, id, 16, {})
            case "forwarded and given up":
                receive_set_up(calls, id, now, conn="flood", destination=2)
                calls.caller_released(now, "flood", id, 16)


# Guards against a set-up that runs twice: its client left and sent it again on another connection, after a flood of others had
# pushed it out of what is remembered.
@pytest.mark.parametrize("kind", ["withdrawn at once", "unsound", "released by a switch", "forwarded and given up"])
def test_a_flood_of_new_ids_does_not_make_an_earlier_one_run_again(kind):
    wire = RecordingWire()
    calls = make_calls(wire)
    receive_set_up(calls, A)
    calls.conn_lost(START, "c1")
    run_flood(calls, kind)
    receive_set_up(calls, A, START + 2 * FLOOD, "c2")
    assert Counter(message.call_id for _, message in wire.sent("INVITE"))[A] == 1
    assert len(calls.ended_set_ups) <= 40_000
    receive_set_up(calls, B, START + 2 * FLOOD, "c2")
    assert Counter(message.call_id for _, message in wire.sent("INVITE"))[B] == 1


# Guards against memory that grows with set-ups that a client gives up, while their switch does not say so.
def test_cancelled_legs_of_a_switch_that_says_nothing_are_bounded():
    wire = SharedLinkWire()
    calls = make_calls(wire)
    for index, id in enumerate(ids(3_000)):
        now = START + 10 * index
        pass_time(calls, now)
        receive_set_up(calls, id, now, conn="flood")
        calls.caller_released(now, "flood", id, 16)
        for link in [link for link in wire.retired if link in wire.gw_of]:
            calls.link_lost(now, link, True)
            del wire.gw_of[link]
    assert len(wire.sent("CANCEL")) > 1_000
    assert sum(map(len, calls.cancelled_legs.values())) <= 500


# Guards against a call whose release is never told: it waits for a caller, and a flood of releases of unknown calls pushes it out.
def test_releases_of_unknown_calls_do_not_push_out_one_that_waits():
    connections = CallerConnections(FakeOwner(), 10)
    releases = connections.releases
    releases.send(None, A, 41)
    for id in ids(FLOOD):
        releases.send(None, id, 16, told_by=1, is_known=False)
    releases.send(None, B, 16, told_by=2, is_known=False)
    assert list(releases.by_id)[0] == A and list(releases.by_id)[-1] == B
    assert len(releases.by_id) <= 5_000


# Guards against memory that grows with set-ups of a client that has shut down its sending side: they wait for a sign that it reads.
def test_held_set_ups_of_one_connection_are_bounded(connected_caller):
    caller, peer, connections = connected_caller
    refused = []
    connections.owner.calls.by_id = {}
    connections.owner.calls.refuse_set_up = lambda now, conn, id, reason: refused.append(id)
    peer.shutdown(SHUT_WR)
    for id in ids(200):
        caller.set_up_received(id, "voice", 1500, "7f", 1, 1, -1, False, False, False, "x")
    assert len(caller.held_set_ups) + len(refused) == 200 and len(caller.held_set_ups) <= 100


# Guards against memory that grows with the pings that wait until a process is ready.
def test_pings_that_wait_for_the_start_are_bounded_and_answered():
    process = SimpleNamespace(ready=False, shutdown_started=None, held_pings=[], held_pings_share=FairShare(10))
    answered = []
    process.clock = lambda: START
    process.calls = SimpleNamespace(ping_received=lambda now, caller, id, passed: answered.append((id, passed)))
    for id in ids(100):
        Process.ping_received(process, "flood", id)
    Process.ping_received(process, "c1", A)
    assert len(answered) == 95 and not any(passed for _, passed in answered)
    assert ("c1", A) in process.held_pings


# Guards against a call that stands for good at its switch, as its release, which waits for a connection, is pushed out by those of
# calls that another client names and releases.
def test_unsent_messages_of_one_client_do_not_push_out_those_of_others():
    switch = SwitchConnections(SwitchOwner(), 1, ("127.0.0.1", 9), 0.5)
    switch.send(b"first", "c1")
    for _ in range(FLOOD):
        switch.send(b"flood", "flood")
    switch.send(b"last", "c2")
    assert switch.unsent[0] == b"first" and switch.unsent[-1] == b"last" and len(switch.unsent) <= 1_000


# Guards against descriptions of open set-ups that take all memory, and against a client that finds no room for its own.
def test_the_bytes_of_open_set_ups_are_bounded_and_one_client_leaves_room_for_others():
    wire = RecordingWire()
    calls = make_calls(wire)
    for id in ids(4_000):
        calls.set_up_received(START, "flood", id, "voice", 1500, "7f", 1, 1, -1, False, False, False, "a=" + "x" * 15_000)
    held = sum(len(call.sdp) + len(call.invite) for call in calls.by_dialog.values())
    assert held <= 16 << 20
    before = len(calls.by_dialog)
    receive_set_up(calls, A, conn="c1", destination=2)
    assert len(calls.by_dialog) == before + 1


# Guards against memory that grows with names made of what peers sent.
def test_the_names_of_counters_are_bounded():
    calls = make_calls(RecordingWire())
    for index in range(FLOOD):
        calls.increment("closed", f"not a line of a caller: {index}")
    calls.increment("declined")
    assert len(calls.counts) < 1_000 and calls.counts["declined"] == 1 and sum(calls.counts.values()) == FLOOD + 1


# Guards against a flood of log lines that leaves out those of other connections: what one kind of event uses up is its own.
def test_a_flood_of_one_log_line_does_not_leave_out_others():
    written = []
    detail_log = DetailLog(lambda: 1000.0, lambda event, **fields: written.append(event))
    for _ in range(FLOOD):
        detail_log("release-of-unknown-set-up")
    detail_log("call-cut")
    assert "call-cut" in written and len(written) < 1_000
