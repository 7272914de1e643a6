"""Set-ups that are over for their caller, as a process sees them among one caller and one switch: report 4ddb56 and its kin.

A set-up is over once it has its final answer, is released, or its caller's connection has gone. From then on nothing of it
may reach a switch or its caller.
"""

import json
import queue
import socket
import struct
import time

import pytest
import test_service_process as scripted
from test_service_calls import SDP

start = scripted.start
A, B, C = "a" * 16, "b" * 16, "c" * 16
NORMAL = 16
SETTLES = 0.8  # seconds in which whatever is still on its way has come


def late_answer(seconds):
    """A reply of a scripted switch: its 200, so many seconds after the INVITE."""

    def reply(id):
        time.sleep(seconds)
        return scripted.answer(id)

    return reply


def set_up_line(id, far=1, left=2900):
    fields = {"class": "voice", "left": str(left), "key": "7f", "extras": f"dest:{far};width:1;via:-1"}
    return json.dumps({"type": "setup", "id": id, "fields": fields, "sdp": SDP}).encode() + b"\n"


def release_line(id, cause=NORMAL):
    return json.dumps({"type": "release", "id": id, "fields": {}, "cause": cause}).encode() + b"\n"


def said_within(caller, seconds):
    """(type, cause) of all lines of a caller's connection until it has been silent for so long."""
    said = []
    caller.sock.settimeout(seconds)
    try:
        while (line := caller.next()) is not None:
            said.append((line["type"], line.get("cause")))
    except TimeoutError:
        caller.file = caller.sock.makefile("rb")
    return said


def methods_at(switch):
    """What a scripted switch has been sent so far, without the messages of tests already taken."""
    sent = []
    while True:
        try:
            sent.append(switch.came.get_nowait()[1].method)
        except queue.Empty:
            return [method for method in sent if method]


# Guards against a set-up that comes back after its refusal: a third copy of its line was forwarded and answered.
@pytest.mark.parametrize("copies", [2, 3, 4])
def test_copies_of_a_set_up_in_one_segment_get_one_refusal_and_no_answer(start, copies):
    service = start(s1=scripted.Switch(late_answer(0.3)))
    caller = service.caller()
    caller.sock.sendall(set_up_line(A) * copies)
    assert said_within(caller, SETTLES) == [("release", 100)]
    assert methods_at(service.switches["s1"]).count("INVITE") <= 1


# Guards against a set-up that was given up and is forwarded all the same when its line comes again.
def test_a_set_up_that_was_given_up_is_not_forwarded_when_its_line_comes_again(start):
    service = start(s1=scripted.Switch(late_answer(0.3)))
    caller = service.caller()
    caller.sock.sendall(set_up_line(A))
    time.sleep(0.1)
    caller.sock.sendall(release_line(A))
    time.sleep(0.1)
    caller.sock.sendall(set_up_line(A))
    assert said_within(caller, SETTLES) == []
    assert methods_at(service.switches["s1"]).count("INVITE") == 1


# Guards against a second final answer: a set-up that had been refused was taken again when its line came again.
def test_a_set_up_that_was_refused_is_not_taken_when_its_line_comes_again(start):
    no_path = scripted.sip("SIP/2.0 486 Busy", A, "INVITE", "Fail-Word: line_taken\r\n")
    service = start(s1=scripted.Switch(lambda id: no_path, scripted.answer))
    caller = service.caller()
    caller.sock.sendall(set_up_line(A))
    assert caller.next()["type"] == "release"
    caller.sock.sendall(set_up_line(A))
    assert said_within(caller, SETTLES) == []
    assert methods_at(service.switches["s1"]).count("INVITE") == 1


# Guards against a call that is set up a second time after its caller has ended it.
def test_a_call_that_its_caller_has_ended_is_not_set_up_when_its_line_comes_again(start):
    service = start()
    caller = service.caller()
    caller.sock.sendall(set_up_line(A))
    assert caller.next()["type"] == "answer"
    caller.sock.sendall(release_line(A))
    assert caller.next()["type"] == "released"
    caller.sock.sendall(set_up_line(A))
    assert said_within(caller, SETTLES) == []
    assert methods_at(service.switches["s1"]).count("INVITE") == 1


# Guards against a set-up that reaches a switch although its release had come with it.
def test_a_set_up_whose_release_comes_with_it_reaches_no_switch(start):
    service = start()
    caller = service.caller()
    caller.sock.sendall(set_up_line(A) + release_line(A) + set_up_line(B))
    assert caller.next()["id"] == B
    sent = [message for _, message in list(service.switches["s1"].came.queue)]
    assert [message.call_id for message in sent if message.method == "INVITE"] == [B]


# Guards against a set-up left without a word: its caller had shut down its sending side and went on reading.
def test_a_caller_that_shuts_down_its_sending_side_still_gets_its_answer(start):
    service = start(s1=scripted.Switch(late_answer(0.3)))
    caller = service.caller()
    caller.sock.sendall(set_up_line(A))
    caller.sock.shutdown(socket.SHUT_WR)
    said = said_within(caller, scripted.WAIT)
    assert [type for type, _ in said if type != "progress"] == ["answer"]


# Guards against a leg that goes on after its caller has gone, now that a caller may shut down one side alone.
def test_a_caller_that_closes_its_connection_has_its_leg_called_off(start):
    service = start(s1=scripted.Switch(lambda id: None))
    caller = service.caller()
    caller.sock.sendall(set_up_line(A))
    switch = service.switches["s1"]
    switch.next("INVITE")
    caller.file.close()
    caller.sock.close()
    assert switch.next("CANCEL")[1].call_id == A
    time.sleep(SETTLES)
    assert methods_at(switch).count("INVITE") == 0


# Guards against a retry for a caller that sends nothing more and may have gone; it is answered at once instead.
def test_a_caller_that_has_shut_down_its_sending_side_gets_no_further_leg(start):
    def full(id):
        time.sleep(0.2)
        return scripted.sip("SIP/2.0 503 Full", id, "INVITE")

    service = start(s1=scripted.Switch(full))
    caller = service.caller()
    caller.sock.sendall(set_up_line(A))
    caller.sock.shutdown(socket.SHUT_WR)
    said = said_within(caller, scripted.WAIT)
    assert [entry for entry in said if entry[0] != "progress"] == [("release", 34)]
    assert methods_at(service.switches["s1"]).count("INVITE") == 1


def resetting(conn):
    """End a switch's connection with a reset."""
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    conn.shutdown(socket.SHUT_RD)
    conn.close()


def ended_unread(service, caller, how):
    """While the process stands still its caller ends the set-up, and the process has everything to read at once."""
    service.process.send_signal(scripted.signal.SIGSTOP)
    if how == "release":
        caller.sock.sendall(release_line(A))
    elif how == "close":
        caller.file.close()
        caller.sock.close()
    time.sleep(0.15)  # the retry is due by now
    service.process.send_signal(scripted.signal.SIGCONT)


# Guards against a retry of a set-up whose caller had given it up before, unread: timers came before what had been written.
@pytest.mark.parametrize(("how", "retries"), [("release", 0), ("close", 0), ("nothing", 1)])
@pytest.mark.parametrize("seed", range(3))
def test_a_retry_does_not_leave_while_the_callers_end_stands_unread(start, how, retries, seed):
    service = start(s1=scripted.Switch(lambda id: None))
    switch = service.switches["s1"]
    caller = service.caller()
    caller.sock.sendall(set_up_line(A))
    conn, _ = switch.next("INVITE")
    resetting(conn)
    time.sleep(0.01 + 0.01 * seed)  # the process has seen it, and waits for the release guard
    ended_unread(service, caller, how)
    time.sleep(SETTLES)
    assert methods_at(switch).count("INVITE") == retries


# Guards against a set-up that is forwarded although its caller had closed its connection before it was read.
@pytest.mark.parametrize("how", ["reset", "close", "nothing"])
def test_a_set_up_whose_caller_had_gone_when_it_was_read_reaches_no_switch(start, how):
    service = start()
    caller = service.caller()
    service.process.send_signal(scripted.signal.SIGSTOP)
    caller.sock.sendall(set_up_line(A))
    if how == "reset":
        caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    if how != "nothing":
        caller.file.close()
        caller.sock.close()
    service.process.send_signal(scripted.signal.SIGCONT)
    time.sleep(SETTLES)
    assert methods_at(service.switches["s1"]).count("INVITE") == (how == "nothing")


# Guards against a set-up that runs twice, or has no word: its connection was reset, and its line came again on another, which may
# be read first.
@pytest.mark.parametrize("second_is_older", [True, False])
def test_a_set_up_that_comes_again_on_another_connection_is_answered_there_and_not_forwarded(start, second_is_older):
    switch = scripted.Switch(lambda id: None)
    service = start(s1=switch)
    second = service.caller() if second_is_older else None
    first = service.caller()
    first.sock.sendall(set_up_line(A))
    switch.next("INVITE")
    second = second or service.caller()
    second.sock.sendall(set_up_line(B, far=2))
    assert second.next()["id"] == B  # accepted by now
    service.process.send_signal(scripted.signal.SIGSTOP)
    second.sock.sendall(set_up_line(A))
    first.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    first.file.close()
    first.sock.close()
    service.process.send_signal(scripted.signal.SIGCONT)
    said = second.next()
    assert (said["id"], said["type"], said["cause"]) == (A, "release", 41)
    assert methods_at(switch).count("INVITE") == 0


# Guards against set-ups that are left without a word, since another line on their connection could not be read.
def test_set_ups_have_their_answers_before_their_connection_is_closed_for_a_line_that_can_not_be_read(start):
    service = start(s1=scripted.Switch(lambda id: None))
    caller = service.caller()
    caller.sock.sendall(set_up_line(A))
    switch = service.switches["s1"]
    switch.next("INVITE")
    caller.sock.sendall(set_up_line(B) + b"no line\n" + set_up_line(C) * 50)
    said = [caller.next(), caller.next()]
    assert {(line["id"], line["type"], line["cause"]) for line in said} == {(A, "release", 41), (B, "release", 100)}
    assert caller.next() is None
    assert switch.next("CANCEL")[1].call_id == A
    time.sleep(SETTLES)
    assert methods_at(switch).count("INVITE") == 0
