"""The checks of `trial_rules` on hand-written records, and the scripted peers of `trial_peers`."""

import asyncio
from pathlib import Path
from random import Random

import pytest
from trial import Node
from trial_peers import Caller, CallerClose, CallerFault, EstablishedCall, Leg, Reply, SetUp, Switch, format_message, now
from trial_rules import Record, Stop, broken_rules

from gingergap.sip.framing import Framer

ID = "a" * 16
ANSWER = {"type": "answer", "id": ID, "sdp": f"of {ID}\r\n"}
RELEASE = {"type": "release", "id": ID}


# Guards against a check that takes the release of a call for a second final answer because its caller read two connections in
# another order than their lines were received, and against one that misses a real second answer.
@pytest.mark.parametrize(
    ("read", "broken"),
    [
        ([(ANSWER, 1.0), (RELEASE, 1.5)], False),
        ([(RELEASE, 1.5), (ANSWER, 1.0)], False),
        ([(RELEASE, 1.0), (ANSWER, 1.5)], True),
        ([(RELEASE, 1.0), (RELEASE, 1.5)], True),
        ([(ANSWER, 1.0), (ANSWER, 1.5)], True),
        ([(RELEASE, 1.5), (RELEASE, 1.6), (ANSWER, 1.0)], True),
    ],
)
def test_final_answers_are_checked_in_order_of_receipt(read, broken):
    record = Record(set_ups={ID: SetUp(ID, "n0", 3.0, sent_at=0.5)})
    caller = Caller("n0", 0, Random(1), record.set_ups, CallerFault.NONE, [1])
    caller.random = Random(5)  # its first draw is above the share of calls that it ends itself
    for line, at in read:
        caller._line_received(line, at)
    assert bool(broken_rules(record, {}, 9.0)) is broken


# Guards against a check that misses a repeated release, or that blames a node for the release of another.
@pytest.mark.parametrize(("nodes", "broken"), [(["n0"], False), (["n0", "n0"], True), (["n1", "n0"], False), (["n1", "n1"], True)])
def test_a_node_sends_the_release_of_a_call_once(nodes, broken):
    record = Record(set_ups={ID: SetUp(ID, "n0", 3.0, sent_at=0.5, final_answers=[(1.0, "answer", ANSWER["sdp"])])})
    for index, node in enumerate(nodes):
        Caller(node, 0, Random(1), record.set_ups, CallerFault.NONE, [1])._line_received(RELEASE, 2.0 + index)
    assert bool(broken_rules(record, {}, 9.0)) is broken


# Guards against a check that takes the release of a refused call by another node for a second final answer.
def test_a_release_by_another_node_is_not_a_final_answer():
    record = Record(set_ups={ID: SetUp(ID, "n0", 3.0, sent_at=0.5, final_answers=[(1.0, "release", "")])})
    Caller("n1", 0, Random(1), record.set_ups, CallerFault.NONE, [1])._line_received(RELEASE, 2.0)
    assert broken_rules(record, {}, 9.0) == []
    Caller("n0", 0, Random(1), record.set_ups, CallerFault.NONE, [1])._line_received(RELEASE, 3.0)
    assert broken_rules(record, {}, 9.0)


# Guards against a check that ignores a release received from another node before the call's own caller has read the answer.
@pytest.mark.parametrize(("released", "broken"), [(True, False), (False, True)])
def test_a_release_counts_even_if_the_answer_is_read_later(released, broken):
    record = Record(set_ups={ID: SetUp(ID, "n0", 3.0, sent_at=0.5)})
    record.calls = [EstablishedCall(ID, "s-1", established_at=1.0, released_at=1.4)]
    if released:
        Caller("n1", 0, Random(1), record.set_ups, CallerFault.NONE, [1])._line_received(RELEASE, 1.5)
    caller = Caller("n0", 0, Random(1), record.set_ups, CallerFault.NONE, [1])
    caller.random = Random(5)
    caller._line_received(ANSWER, 1.1)
    assert bool(broken_rules(record, {}, 9.0)) is broken


# Guards against a check that misses one of two legs of a call at one switch (soak seed 17), or blames the caller's process for
# the one that was given up.
@pytest.mark.parametrize(("released_at", "broken"), [(2.6, False), (0.0, True)])
def test_the_later_of_two_legs_at_one_switch_must_be_released_to_the_caller(released_at, broken):
    record = Record(set_ups={ID: SetUp(ID, "n0", 3.0, sent_at=0.5, final_answers=[(1.8, "answer", ANSWER["sdp"])])})
    record.calls = [
        EstablishedCall(ID, "s-1", established_at=1.0, released_at=1.4, invite_received_at=0.6),
        EstablishedCall(ID, "s-1", 1.7, released_at=2.5, invite_received_at=1.6),
    ]
    if released_at:
        record.set_ups[ID].releases.append((released_at, "n0"))
    assert bool(broken_rules(record, {}, 9.0)) is broken


# Guards against a check that misses a call that its process ended at the switch but not to the caller.
@pytest.mark.parametrize(
    ("released_at", "by_caller", "given_up", "broken"),
    [(2.6, 0.0, 0.0, False), (0.0, 2.4, 0.0, False), (0.0, 0.0, 1.75, False), (0.0, 0.0, 0.0, True)],
)
def test_a_call_that_was_ended_at_its_switch_must_be_released_to_its_caller(released_at, by_caller, given_up, broken):
    record = Record(set_ups={ID: SetUp(ID, "n0", 3.0, sent_at=0.5, final_answers=[(1.8, "answer", ANSWER["sdp"])])})
    record.set_ups[ID].ended_by_caller_at, record.set_ups[ID].given_up_at = by_caller, given_up
    record.calls = [EstablishedCall(ID, "s-1", established_at=1.7, bye_received_at=2.5, invite_received_at=1.6)]
    if released_at:
        record.set_ups[ID].releases.append((released_at, "n0"))
    assert bool(broken_rules(record, {}, 12.0)) is broken


# Guards against a check that blames a process for a release that its caller closed on, unread, and against one that passes over
# a release lost on another connection, at another time, or never sent.
@pytest.mark.parametrize(
    ("sent_on", "waited_ms", "pause", "closed_at", "broken"),
    [
        (7, 0, None, 1.41, False),
        (7, 600, None, 2.0, False),
        (7, 0, (1.3, 1.5), 1.51, False),
        (7, 0, None, 1.51, True),
        (8, 0, None, 1.41, True),
        (None, 0, None, 1.41, True),
    ],
)
def test_a_release_may_be_lost_only_on_the_connection_that_its_caller_closed(
    tmp_path, sent_on, waited_ms, pause, closed_at, broken
):
    record = Record(set_ups={ID: SetUp(ID, "n0", 3.0, sent_at=0.5, final_answers=[(1.0, "answer", ANSWER["sdp"])])})
    record.calls = [EstablishedCall(ID, "s-1", established_at=1.0, released_at=1.4)]
    record.caller_closes = [CallerClose(closed_at, 7)]
    record.logs["n0"] = tmp_path / "log"
    record.logs["n0"].write_text(f"12:00:00 release-sent id={ID} port={sent_on} waited_ms={waited_ms}\n" if sent_on else "")
    if pause is not None:
        record.pauses["n0"] = [pause]
    assert bool(broken_rules(record, {}, 9.0)) is broken


# Guards against a check that blames a process for a leg that it was sending when it was paused, and against one that accepts a
# leg whose set-up was finished before the pause, or while the process ran.
@pytest.mark.parametrize(
    ("finished_at", "pause", "broken"),
    [(0.51, (0.505, 0.65), False), (0.51, None, True), (0.58, (0.57, 0.65), True), (0.51, (0.4, 0.5), True)],
)
def test_a_leg_after_the_end_of_its_set_up_breaks_a_rule_unless_the_process_was_paused_in_between(finished_at, pause, broken):
    record = Record(set_ups={ID: SetUp(ID, "n0", 3.0, sent_at=0.5, given_up_at=finished_at)})
    record.legs = [Leg(ID, "s-1", invite_received_at=finished_at + 0.14, ended_at=finished_at + 0.15, end_reason="cancelled")]
    if pause is not None:
        record.pauses["n0"] = [pause]
    assert bool(broken_rules(record, {}, 9.0)) is broken


# Guards against a check that accepts the leg of a set-up whose release was sent together with it.
def test_a_leg_of_a_set_up_that_was_withdrawn_at_once_breaks_a_rule():
    record = Record(set_ups={ID: SetUp(ID, "n0", 3.0, sent_at=0.5, given_up_at=0.5, withdrawn_at_once=True)})
    record.legs = [Leg(ID, "s-1", invite_received_at=0.501, ended_at=0.502, end_reason="cancelled")]
    assert broken_rules(record, {}, 9.0)


class RecordingWriter:
    """A connection of a switch that records what is written to it."""

    def __init__(self):
        self.written = []

    def write(self, data):
        self.written.append(data)

    def get_extra_info(self, name):
        return None

    def is_closing(self):
        return False


# Guards against a scripted switch that forgets one of two established legs of a call and never sends its BYE (soak seed 17).
def test_a_switch_releases_each_of_two_legs_of_a_call():
    async def play():
        switch = Switch("s-1", 1, Random(1), [Reply.ANSWER])
        switch.hold = 0.1
        writers = [RecordingWriter(), RecordingWriter()]
        switch.writers.update(writers)
        for writer in writers:
            switch._message_received(
                next(iter(Framer().feed(format_message("INVITE sip:x@net SIP/2.0", ID, "INVITE")))), writer, False
            )
        began = now()
        while now() - began < 5.0 and sum(call.released_at > 0 for call in switch.calls) < 2:
            await asyncio.sleep(0.01)
        return [call.released_at > 0 for call in switch.calls], writers

    released, writers = asyncio.run(play())
    assert released == [True, True]
    assert [sum(data.startswith(b"BYE") for data in writer.written) for writer in writers] == [1, 1]


# Guards against a check that blames a process for calls cut by a switch whose address was used again at once, of which it could not
# know before it ended, and against one that misses a call that a running process knows of.
@pytest.mark.parametrize(
    ("signalled_at", "ended_at", "broken"), [(10.5, 13.0, False), (0.5, 2.5, True), (20.0, 22.0, True), (None, None, True)]
)
def test_a_call_cut_with_a_reused_address_is_excused_only_where_its_process_ended(signalled_at, ended_at, broken):
    set_up = SetUp(ID, "n0", 3.0, sent_at=0.5, final_answers=[(1.0, "answer", ANSWER["sdp"])])
    call = EstablishedCall(ID, "s-1", 1.0, released_at=10.0, cut=True, address_reused=True, end_told_at=11.0)
    record = Record(set_ups={ID: set_up}, calls=[call])
    if signalled_at is not None:
        record.stops.append(Stop("n0", signalled_at, ended_at, 0))
    assert bool(broken_rules(record, {}, 30.0)) is broken


# Guards against a check that blames a process for a connection that the trial itself ended, and against one that excuses others.
@pytest.mark.parametrize(("connection_ended_at", "broken"), [(1.0, True), (9.1, False)])
def test_a_connection_that_the_trial_ends_is_not_judged(connection_ended_at, broken):
    sent_at = connection_ended_at - 0.2
    record = Record(set_ups={ID: SetUp(ID, "n0", 3.0, sent_at=sent_at, connection_ended_at=connection_ended_at)}, closed_at=9.0)
    assert bool(broken_rules(record, {}, 9.2)) is broken


class HangingProcess:
    """A process that ignores SIGTERM and has ended by itself, or still runs, when SIGKILL is sent."""

    def __init__(self, has_ended):
        self.has_ended, self.returncode = has_ended, None
        self.ended = asyncio.Event()

    def send_signal(self, number):
        pass

    def kill(self):
        self.ended.set()
        if self.has_ended:
            raise ProcessLookupError
        self.returncode = -9

    async def wait(self):
        await self.ended.wait()


# Guards against a trial that ends with an exception, and not with its verdict, as the process ended just before SIGKILL was sent.
@pytest.mark.parametrize("has_ended", [True, False])
def test_a_process_that_ends_just_before_the_kill_was_not_killed(has_ended):
    async def stop_and_close():
        record = Record()
        node = Node("n0", Path(), None, {}, record)
        node.process = HangingProcess(has_ended)
        await node.stop(kill_after=0.01)
        node.process = HangingProcess(has_ended)
        node.close()
        return record.stops[0]

    assert asyncio.run(stop_and_close()).killed is not has_ended
