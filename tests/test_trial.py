"""The trials' own judgement, on records by hand."""

import asyncio
from random import Random

import pytest
from trial_peers import Caller, CallerFault, Leg, Reply, SetUp, Standing, Switch, now, sip
from trial_rules import Record, broken_rules

from gingergap.sip.framing import Framer

ID = "a" * 16
ANSWER = {"type": "answer", "id": ID, "sdp": f"of {ID}\r\n"}
RELEASE = {"type": "release", "id": ID}


# Guards against a check that takes the end of a call for a second final answer, since its caller read two connections in
# another order than what was on them came; and against one that would let a real second answer pass.
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
def test_final_answers_are_judged_in_the_order_in_which_they_came(read, broken):
    record = Record(set_ups={ID: SetUp(ID, "n0", 3.0, sent=0.5)})
    caller = Caller("n0", 0, Random(1), record.set_ups, CallerFault.NONE, [1])
    caller.random = Random(5)  # its first draw is above the share of calls that it ends itself
    for line, at in read:
        caller._came(line, at)
    assert bool(broken_rules(record, {}, 9.0)) is broken


# Guards against a check that overlooks a second word on the end of a call, or that blames a node for what another one says.
@pytest.mark.parametrize(("nodes", "broken"), [(["n0"], False), (["n0", "n0"], True), (["n1", "n0"], False), (["n1", "n1"], True)])
def test_a_node_tells_the_end_of_a_call_once(nodes, broken):
    record = Record(set_ups={ID: SetUp(ID, "n0", 3.0, sent=0.5, finals=[(1.0, "answer", ANSWER["sdp"])])})
    for place, node in enumerate(nodes):
        Caller(node, 0, Random(1), record.set_ups, CallerFault.NONE, [1])._came(RELEASE, 2.0 + place)
    assert bool(broken_rules(record, {}, 9.0)) is broken


# Guards against a check that takes what another node was told of a refused call for a second final answer.
def test_a_release_by_another_node_is_no_final_answer():
    record = Record(set_ups={ID: SetUp(ID, "n0", 3.0, sent=0.5, finals=[(1.0, "release", "")])})
    Caller("n1", 0, Random(1), record.set_ups, CallerFault.NONE, [1])._came(RELEASE, 2.0)
    assert broken_rules(record, {}, 9.0) == []
    Caller("n0", 0, Random(1), record.set_ups, CallerFault.NONE, [1])._came(RELEASE, 3.0)
    assert broken_rules(record, {}, 9.0)


# Guards against a check that loses the end of a call, heard on another node before the call's own caller has read the answer.
@pytest.mark.parametrize(("heard", "broken"), [(True, False), (False, True)])
def test_the_end_of_a_call_counts_as_told_also_before_its_answer_is_read(heard, broken):
    record = Record(set_ups={ID: SetUp(ID, "n0", 3.0, sent=0.5)})
    record.calls = [Standing(ID, "s-1", since=1.0, released=1.4)]
    if heard:
        Caller("n1", 0, Random(1), record.set_ups, CallerFault.NONE, [1])._came(RELEASE, 1.5)
    caller = Caller("n0", 0, Random(1), record.set_ups, CallerFault.NONE, [1])
    caller.random = Random(5)
    caller._came(ANSWER, 1.1)
    assert bool(broken_rules(record, {}, 9.0)) is broken


# Guards against a check that loses sight of one of two legs of a call at one switch (soak seed 17), or blames the caller's
# process for the one that was given up.
@pytest.mark.parametrize(("told", "broken"), [(2.6, False), (0.0, True)])
def test_of_two_legs_of_a_call_at_one_switch_the_later_ones_end_is_told(told, broken):
    record = Record(set_ups={ID: SetUp(ID, "n0", 3.0, sent=0.5, finals=[(1.8, "answer", ANSWER["sdp"])])})
    record.calls = [Standing(ID, "s-1", since=1.0, released=1.4, began=0.6), Standing(ID, "s-1", 1.7, released=2.5, began=1.6)]
    if told:
        record.set_ups[ID].releases.append((told, "n0"))
    assert bool(broken_rules(record, {}, 9.0)) is broken


# Guards against a check that overlooks a call that its process ended at the switch and never towards its caller.
@pytest.mark.parametrize(
    ("told", "by_caller", "given_up", "broken"),
    [(2.6, 0.0, 0.0, False), (0.0, 2.4, 0.0, False), (0.0, 0.0, 1.75, False), (0.0, 0.0, 0.0, True)],
)
def test_a_call_that_was_ended_at_its_switch_is_over_for_its_caller_too(told, by_caller, given_up, broken):
    record = Record(set_ups={ID: SetUp(ID, "n0", 3.0, sent=0.5, finals=[(1.8, "answer", ANSWER["sdp"])])})
    record.set_ups[ID].ended_by_caller, record.set_ups[ID].given_up = by_caller, given_up
    record.calls = [Standing(ID, "s-1", since=1.7, heard_bye=2.5, began=1.6)]
    if told:
        record.set_ups[ID].releases.append((told, "n0"))
    assert bool(broken_rules(record, {}, 12.0)) is broken


# Guards against a check that blames a process for a leg that it was sending when it was stopped; and against one that lets a leg
# of a set-up pass that had been over before the process was stopped, or while it ran.
@pytest.mark.parametrize(
    ("over", "pause", "broken"),
    [(0.51, (0.505, 0.65), False), (0.51, None, True), (0.58, (0.57, 0.65), True), (0.51, (0.4, 0.5), True)],
)
def test_a_leg_after_the_end_of_its_set_up_counts_unless_the_process_was_stopped_in_between(over, pause, broken):
    record = Record(set_ups={ID: SetUp(ID, "n0", 3.0, sent=0.5, given_up=over)})
    record.legs = [Leg(ID, "s-1", began=over + 0.14, ended=over + 0.15, how="cancelled")]
    if pause is not None:
        record.pauses["n0"] = [pause]
    assert bool(broken_rules(record, {}, 9.0)) is broken


# Guards against a check that lets the leg of a set-up pass whose release had come with it.
def test_a_leg_of_a_set_up_that_was_taken_back_at_once_counts():
    record = Record(set_ups={ID: SetUp(ID, "n0", 3.0, sent=0.5, given_up=0.5, taken_back=True)})
    record.legs = [Leg(ID, "s-1", began=0.501, ended=0.502, how="cancelled")]
    assert broken_rules(record, {}, 9.0)


class NotedWriter:
    """A connection of a switch; keeps what is written."""

    def __init__(self):
        self.written = []

    def write(self, data):
        self.written.append(data)

    def get_extra_info(self, name):
        return None

    def is_closing(self):
        return False


# Guards against a stand-in that forgets one of two legs of a call that stand at it, whose release then never came (soak seed 17).
def test_a_switch_releases_each_of_two_legs_of_a_call():
    async def play():
        switch = Switch("s-1", 1, Random(1), [Reply.ANSWER])
        switch.hold = 0.1
        connections = [NotedWriter(), NotedWriter()]
        switch.writers.update(connections)
        for writer in connections:
            switch._came(next(iter(Framer().feed(sip("INVITE sip:x@net SIP/2.0", ID, "INVITE")))), writer, False)
        began = now()
        while now() - began < 5.0 and sum(call.released > 0 for call in switch.calls) < 2:
            await asyncio.sleep(0.01)
        return [call.released > 0 for call in switch.calls], connections

    released, connections = asyncio.run(play())
    assert released == [True, True]
    assert [sum(data.startswith(b"BYE") for data in writer.written) for writer in connections] == [1, 1]
