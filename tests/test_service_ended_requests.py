"""Finished set-ups, as a process handles them with one caller and one switch: report 4ddb56 and related failures.

A set-up is finished once it has its final answer, is released, or its caller's connection has closed. From then on nothing of
it may be sent to a switch or to its caller.
"""

import contextlib
import json
import queue
import signal
import socket
import struct
import time

import pytest
import test_service_process as scripted
from test_service_calls import SDP

start = scripted.start
A, B, C = "a" * 16, "b" * 16, "c" * 16
NORMAL_CLEARING = 16
SETTLE_TIME = 0.8  # seconds in which all messages under way have arrived


def delayed_answer(seconds):
    """A reply of a scripted switch: a 200, so many seconds after the INVITE."""

    def reply(id):
        time.sleep(seconds)
        return scripted.answer(id)

    return reply


def set_up_line(id, destination=1, time_left=2900):
    fields = {"class": "voice", "left": str(time_left), "key": "7f", "extras": f"dest:{destination};width:1;via:-1"}
    return json.dumps({"type": "setup", "id": id, "fields": fields, "sdp": SDP}).encode() + b"\n"


def release_line(id, cause=NORMAL_CLEARING):
    return json.dumps({"type": "release", "id": id, "fields": {}, "cause": cause}).encode() + b"\n"


def lines_until_silent(caller, seconds):
    """(type, cause) of all lines received on a caller's connection until it has been silent for so many seconds."""
    replies = []
    caller.sock.settimeout(seconds)
    with contextlib.suppress(TimeoutError):
        while (line := caller.next()) is not None:
            replies.append((line["type"], line.get("cause")))
    return replies


def methods_received(switch):
    """Methods of the requests that a scripted switch has received and no test has taken yet."""
    sent = []
    while True:
        try:
            sent.append(switch.received.get_nowait()[1].method)
        except queue.Empty:
            return [method for method in sent if method]


# Guards against a set-up that is processed after its refusal: a third copy of its line was forwarded and answered.
@pytest.mark.parametrize("copies", [2, 3, 4])
def test_copies_of_a_set_up_in_one_segment_get_one_refusal_and_no_answer(start, copies):
    service = start(s1=scripted.Switch(delayed_answer(0.3)))
    caller = service.caller()
    caller.sock.sendall(set_up_line(A) * copies)
    assert lines_until_silent(caller, SETTLE_TIME) == [("release", 100)]
    assert methods_received(service.switches["s1"]).count("INVITE") <= 1


# Guards against a set-up that was given up and is forwarded when its line is received again.
def test_a_set_up_that_was_given_up_is_not_forwarded_when_received_again(start):
    service = start(s1=scripted.Switch(delayed_answer(0.3)))
    caller = service.caller()
    caller.sock.sendall(set_up_line(A))
    time.sleep(0.1)
    caller.sock.sendall(release_line(A))
    time.sleep(0.1)
    caller.sock.sendall(set_up_line(A))
    assert lines_until_silent(caller, SETTLE_TIME) == []
    assert methods_received(service.switches["s1"]).count("INVITE") == 1


# Guards against a second final answer: a refused set-up was accepted when its line was received again.
def test_a_refused_set_up_is_not_accepted_when_received_again(start):
    no_path = scripted.sip("SIP/2.0 486 Busy", A, "INVITE", "Fail-Word: line_taken\r\n")
    service = start(s1=scripted.Switch(lambda id: no_path, scripted.answer))
    caller = service.caller()
    caller.sock.sendall(set_up_line(A))
    assert caller.next()["type"] == "release"
    caller.sock.sendall(set_up_line(A))
    assert lines_until_silent(caller, SETTLE_TIME) == []
    assert methods_received(service.switches["s1"]).count("INVITE") == 1


# Guards against a call that is set up a second time after its caller has ended it.
def test_a_call_that_its_caller_has_ended_is_not_set_up_when_received_again(start):
    service = start()
    caller = service.caller()
    caller.sock.sendall(set_up_line(A))
    assert caller.next()["type"] == "answer"
    caller.sock.sendall(release_line(A))
    assert caller.next()["type"] == "released"
    caller.sock.sendall(set_up_line(A))
    assert lines_until_silent(caller, SETTLE_TIME) == []
    assert methods_received(service.switches["s1"]).count("INVITE") == 1


# Guards against a set-up that is sent to a switch although its release was received with it.
def test_a_set_up_received_with_its_release_is_sent_to_no_switch(start):
    service = start()
    caller = service.caller()
    caller.sock.sendall(set_up_line(A) + release_line(A) + set_up_line(B))
    assert caller.next()["id"] == B
    sent = [message for _, message in list(service.switches["s1"].received.queue)]
    assert [message.call_id for message in sent if message.method == "INVITE"] == [B]


# Guards against a set-up left without an answer: its caller had shut down its sending side and kept reading.
def test_a_caller_that_shuts_down_its_sending_side_still_gets_its_answer(start):
    service = start(s1=scripted.Switch(delayed_answer(0.3)))
    caller = service.caller()
    caller.sock.sendall(set_up_line(A))
    caller.sock.shutdown(socket.SHUT_WR)
    replies = lines_until_silent(caller, scripted.WAIT)
    assert [type for type, _ in replies if type != "progress"] == ["answer"]


# Guards against a leg that stays out after its caller has closed, as a caller may shut down only its sending side.
def test_a_caller_that_closes_its_connection_has_its_leg_cancelled(start):
    service = start(s1=scripted.Switch(lambda id: None))
    caller = service.caller()
    caller.sock.sendall(set_up_line(A))
    switch = service.switches["s1"]
    switch.next("INVITE")
    caller.close()
    assert switch.next("CANCEL")[1].call_id == A
    time.sleep(SETTLE_TIME)
    assert methods_received(switch).count("INVITE") == 0


# Guards against a retry for a caller that sends nothing more and may have gone; its set-up is refused at once instead.
def test_a_caller_that_has_shut_down_its_sending_side_gets_no_further_leg(start):
    def full(id):
        time.sleep(0.2)
        return scripted.sip("SIP/2.0 503 Full", id, "INVITE")

    service = start(s1=scripted.Switch(full))
    caller = service.caller()
    caller.sock.sendall(set_up_line(A))
    caller.sock.shutdown(socket.SHUT_WR)
    replies = lines_until_silent(caller, scripted.WAIT)
    assert [entry for entry in replies if entry[0] != "progress"] == [("release", 34)]
    assert methods_received(service.switches["s1"]).count("INVITE") == 1


def reset(conn):
    """End a switch's connection with a reset."""
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    conn.shutdown(socket.SHUT_RD)
    conn.close()


def end_set_up_unread(service, caller, caller_end):
    """The caller ends the set-up while the process is suspended, so that on resuming everything is to be read at once."""
    service.process.send_signal(scripted.signal.SIGSTOP)
    if caller_end == "release":
        caller.sock.sendall(release_line(A))
    elif caller_end == "close":
        caller.close()
    time.sleep(0.15)  # the retry is due by now
    service.process.send_signal(scripted.signal.SIGCONT)


# Guards against a retry of a set-up that its caller has given up in bytes not read yet: timers ran before the bytes were read.
@pytest.mark.parametrize(("caller_end", "retries"), [("release", 0), ("close", 0), ("nothing", 1)])
@pytest.mark.parametrize("seed", range(3))
def test_no_retry_is_sent_while_the_callers_end_is_unread(start, caller_end, retries, seed):
    service = start(s1=scripted.Switch(lambda id: None))
    switch = service.switches["s1"]
    caller = service.caller()
    caller.sock.sendall(set_up_line(A))
    conn, _ = switch.next("INVITE")
    reset(conn)
    time.sleep(0.01 + 0.01 * seed)  # the process has seen the reset, and waits for the release guard
    end_set_up_unread(service, caller, caller_end)
    time.sleep(SETTLE_TIME)
    assert methods_received(switch).count("INVITE") == retries


# Guards against a set-up that is forwarded although its caller had closed its connection before the set-up was read.
@pytest.mark.parametrize("caller_end", ["reset", "close", "nothing"])
def test_a_set_up_whose_caller_had_gone_when_it_was_read_is_sent_to_no_switch(start, caller_end):
    service = start()
    caller = service.caller()
    service.process.send_signal(scripted.signal.SIGSTOP)
    caller.sock.sendall(set_up_line(A))
    if caller_end == "reset":
        caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    if caller_end != "nothing":
        caller.close()
    service.process.send_signal(scripted.signal.SIGCONT)
    time.sleep(SETTLE_TIME)
    assert methods_received(service.switches["s1"]).count("INVITE") == (caller_end == "nothing")


# Guards against a set-up that runs twice, or has no answer: its connection was reset, and its line was received again on another
# connection, which may be read first.
@pytest.mark.parametrize("second_is_older", [True, False])
def test_a_set_up_received_again_on_another_connection_is_answered_there_and_not_forwarded(start, second_is_older):
    switch = scripted.Switch(lambda id: None)
    service = start(s1=switch)
    second = service.caller() if second_is_older else None
    first = service.caller()
    first.sock.sendall(set_up_line(A))
    switch.next("INVITE")
    second = second or service.caller()
    second.sock.sendall(set_up_line(B, destination=2))
    assert second.next()["id"] == B  # accepted by now
    service.process.send_signal(scripted.signal.SIGSTOP)
    second.sock.sendall(set_up_line(A))
    first.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    first.close()
    service.process.send_signal(scripted.signal.SIGCONT)
    replies = second.next()
    assert (replies["id"], replies["type"], replies["cause"]) == (A, "release", 41)
    assert methods_received(switch).count("INVITE") == 0


# Guards against set-ups that are left without an answer because another line on their connection was invalid.
def test_set_ups_are_answered_before_their_connection_is_closed_for_an_invalid_line(start):
    service = start(s1=scripted.Switch(lambda id: None))
    caller = service.caller()
    caller.sock.sendall(set_up_line(A))
    switch = service.switches["s1"]
    switch.next("INVITE")
    caller.sock.sendall(set_up_line(B) + b"no line\n" + set_up_line(C) * 50)
    replies = [caller.next(), caller.next()]
    assert {(line["id"], line["type"], line["cause"]) for line in replies} == {(A, "release", 41), (B, "release", 100)}
    assert caller.next() is None
    assert switch.next("CANCEL")[1].call_id == A
    time.sleep(SETTLE_TIME)
    assert methods_received(switch).count("INVITE") == 0


# Guards against set-ups that are sent on after their client has gone: it closed its connection with many of them still unread
# (report 4fae32, picture d). One that the client sends again on another connection runs once.
@pytest.mark.parametrize("by_reset", [True, False])
def test_unread_set_ups_of_a_client_that_has_gone_are_not_sent_on(start, by_reset):
    service = start()
    gone = service.caller()
    service.process.send_signal(signal.SIGSTOP)
    ids = [f"{index:016x}" for index in range(1, 200)]
    for id in ids:
        gone.sock.sendall(set_up_line(id))
    if by_reset:
        gone.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    gone.close()
    service.process.send_signal(signal.SIGCONT)
    time.sleep(SETTLE_TIME)
    caller = service.caller()
    caller.sock.sendall(set_up_line(ids[0]))
    assert ("answer", None) in lines_until_silent(caller, SETTLE_TIME)
    invited = [message.call_id for _, message in service.switches["s1"].received.queue if message.method == "INVITE"]
    assert invited == [ids[0]]
