"""Shutdown of a process whose callers keep sending and whose switches do not answer: report 319500 and related failures."""

import asyncio
import contextlib
import json
import resource
import socket
import struct
import tempfile
import time
from pathlib import Path
from random import Random

import gevent
import pytest
import test_service_process as scripted
from gevent import socket as gevent_socket
from test_service_calls import SDP
from trial import HANGING_REPLIES, MIXED_REPLIES, Trial
from trial_peers import Reply, now
from trial_rules import KILL_AFTER, broken_rules

from gingergap.transport.stream import Stream

start = scripted.start
A, B, C = "a" * 16, "b" * 16, "c" * 16
ANSWER_READ_WITHIN = 1.0  # seconds, as a release is owed within that time


def broken_rules_of(scenario, seed=1):
    """Run one scenario of a trial in a folder of its own; returns the broken rules."""

    async def play(folder):
        trial = Trial(seed, Path(folder))
        began = now()
        told = await scenario(trial) or {}
        await trial.finish()
        return broken_rules(trial.record, told, began + (now() - began))

    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(play(folder))


# Guards against report 319500: set-ups were accepted for as long as callers sent any, so that SIGKILL left some unanswered.
@pytest.mark.parametrize("seed", [1, 2])
def test_a_process_exits_before_the_earliest_sigkill_while_callers_keep_sending(seed):
    async def scenario(trial):
        await trial.start(
            [MIXED_REPLIES, HANGING_REPLIES, [Reply.ANSWER], [Reply.HANG], [Reply.LATE], [Reply.RESET, Reply.ANSWER]], delay=3.5
        )
        for _ in range(6):
            trial.add_caller()
        await asyncio.sleep(1.5)
        await trial.node.stop()

    assert broken_rules_of(scenario, seed) == []


# Guards against a set-up whose caller would wait for longer than the process may still run.
def test_a_set_up_with_more_time_than_the_process_has_left_is_answered_in_time(start):
    service = start(s1=scripted.Switch(lambda id: None))
    caller = service.caller()
    service.process.send_signal(scripted.signal.SIGTERM)
    caller.set_up(A, time_left=3000)
    service.switches["s1"].next("INVITE")
    with contextlib.suppress(TimeoutError):
        caller.sock.settimeout(KILL_AFTER)
        assert caller.next()["type"] == "release"
        assert service.process.wait(KILL_AFTER) == 0
        return
    pytest.fail("not answered when SIGKILL could come")


# Guards against set-ups that are still routed when the process no longer accepts any.
def test_a_set_up_long_after_sigterm_is_refused_at_once_without_a_waiting_time(start):
    service = start(s1=scripted.Switch(lambda id: None))
    caller = service.caller()
    caller.set_up(A, time_left=3000)  # keeps the connection in use
    service.switches["s1"].next("INVITE")
    service.process.send_signal(scripted.signal.SIGTERM)
    scripted.threading.Event().wait(1.2)
    caller.set_up(B, destination=2)
    reply = caller.next()
    assert (reply["id"], reply["type"], reply.get("cause")) == (B, "release", 34)
    assert "wait" not in reply["fields"]


# Guards against answers in the write queue of a slow reader that are lost when its connection is closed at a shutdown.
def test_queued_bytes_for_a_slow_reader_are_written_before_its_connection_is_half_closed():
    listener, address = scripted.listener()
    host, port = address.split(":")
    ours = Stream(gevent_socket.create_connection((host, int(port))), max_queued_bytes=1 << 24, write_timeout=5.0)
    peer, _ = listener.accept()
    answers = b"".join(b"%07d\n" % index for index in range(1_500_000))  # more than the kernel's socket buffers hold
    ours.write(answers)
    assert ours.queue
    gevent.spawn(ours.read)
    ours.finish(5.0)
    received, reader = bytearray(), gevent.get_hub().threadpool
    reader.apply(lambda: [received.extend(data) for data in iter(lambda: peer.recv(1 << 20), b"")])
    peer.close()
    listener.close()
    assert bytes(received) == answers


# Guards against connections in the listener's backlog that are dropped when the listener is closed.
@pytest.mark.parametrize("after", [0.6, 0.72])
def test_connections_in_the_backlog_are_answered_when_the_listener_closes(start, after):
    service = start()
    signals = scripted.signal
    service.process.send_signal(signals.SIGTERM)
    pause = scripted.threading.Event()
    pause.wait(after)
    service.process.send_signal(signals.SIGSTOP)  # suspended while the time of the listener expires
    callers = []
    for index in range(30):
        callers.append(service.caller())
        callers[-1].set_up(f"{index:016x}", destination=2)
    pause.wait(0.3)
    service.process.send_signal(signals.SIGCONT)
    for index, caller in enumerate(callers):
        reply = caller.next()
        assert reply is not None and reply["id"] == f"{index:016x}", f"set-up {index} was accepted and never answered"


# Guards against a release that has reached no caller when the process exits.
def test_a_release_that_could_not_be_delivered_yet_is_delivered_before_the_exit(start):
    full = scripted.Switch(lambda id: scripted.sip("SIP/2.0 503 Full", id, "INVITE", "Fail-Word: no_path\r\n"))
    service = start(s2=full)
    caller = service.caller()
    caller.set_up(B, destination=2)  # refused, so no call was established on this connection
    assert caller.next()["type"] == "release"
    other = service.caller()
    other.set_up(B[:-1] + "c")
    assert other.next()["type"] == "answer"  # ensures that a connection to the switch is up
    conn, _ = service.switches["s1"].next("INVITE")
    other.close()
    scripted.threading.Event().wait(0.2)
    conn.sendall(scripted.sip("BYE sip:x@net SIP/2.0", A, "BYE", "Reason: Q.850;cause=16\r\n"))
    scripted.threading.Event().wait(0.2)
    service.process.send_signal(scripted.signal.SIGTERM)
    assert caller.next() == {"type": "release", "id": A, "fields": {}, "cause": 16}


# Guards against a set-up that is cut off by a shutdown: its first half arrives before the listener closes, the rest after.
def test_a_set_up_in_pieces_across_the_shutdown_is_refused_and_not_cut_off(start):
    service = start()
    caller = service.caller()
    extras = {"class": "voice", "left": "2900", "key": "7f", "extras": "dest:2;width:1;via:-1"}
    line = json.dumps({"type": "setup", "id": A, "fields": extras, "sdp": SDP}).encode() + b"\n"
    service.process.send_signal(scripted.signal.SIGTERM)
    pause = scripted.threading.Event()
    pause.wait(0.3)
    caller.sock.sendall(line[:60])
    pause.wait(0.8)
    caller.sock.sendall(line[60:])
    reply = caller.next()
    assert reply is not None and reply["id"] == A


# Guards against a call that stays established at a switch: its answer crossed the CANCEL on a connection half-closed since.
def test_an_answer_that_crosses_the_cancel_on_a_half_closed_connection_is_released(start):
    service = start(s1=scripted.Switch(lambda id: None, scripted.answer))
    caller = service.caller()
    caller.set_up(A, time_left=600)
    switch = service.switches["s1"]
    conn, _ = switch.next("INVITE")
    assert caller.next()["type"] == "release"
    switch.next("CANCEL")
    scripted.threading.Event().wait(0.4)  # the connection is half-closed by then
    conn.sendall(scripted.answer(A))
    _, bye = switch.next("BYE")
    assert bye.call_id == A


# Guards against an answer that is discarded unread because a write to its connection fails first.
def test_bytes_before_a_reset_are_read_although_a_write_fails_first():
    listener, address = scripted.listener()
    host, port = address.split(":")
    came = []

    class RecordingStream(Stream):
        def data_received(self, data):
            came.append(data)

    ours = RecordingStream(gevent_socket.create_connection((host, int(port))), max_queued_bytes=1000, write_timeout=1.0)
    peer, _ = listener.accept()
    peer.sendall(b"answer")
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    peer.close()
    ours.write(b"more")
    ours.write(b"more")
    gevent.spawn(ours.read).join(2)
    listener.close()
    assert b"".join(came) == b"answer"


# Guards against an accept loop that stops at its first error during a shutdown.
def test_an_error_of_the_listener_does_not_stop_accepting(start):
    service = start()
    pid = service.process.pid
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (len(list(Path(f"/proc/{pid}/fd").iterdir())), 1024))
    service.process.send_signal(scripted.signal.SIGTERM)
    caller = service.caller()  # in the backlog: no file descriptor is left for it
    caller.set_up(A, destination=2)
    pause = scripted.threading.Event()
    pause.wait(0.2)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (1024, 1024))
    assert caller.next()["id"] == A


# Guards against calls that are never released: they were established at a draining switch before the process started, and the
# process had no connection to the switch to receive their releases.
def test_a_new_process_receives_releases_of_calls_at_a_draining_switch(tmp_path):
    switch = scripted.Switch()
    service = scripted.Service(tmp_path, known_states={"s1": "terminating"}, s1=switch)
    try:
        caller = service.caller()
        caller.set_up(B, destination=2)
        assert caller.next()["type"] == "answer"
        deadline = time.monotonic() + scripted.WAIT
        while not switch.conns and time.monotonic() < deadline:
            time.sleep(0.01)
        switch.conns[0].sendall(scripted.sip("BYE sip:x@net SIP/2.0", A, "BYE", "Reason: Q.850;cause=16\r\n"))
        assert caller.next() == {"type": "release", "id": A, "fields": {}, "cause": 16}
        assert not any(message.method == "INVITE" for _, message in list(switch.received.queue))
    finally:
        service.close()


# Guards against a set-up that has arrived, unread, on a connection that is closed as idle to make room for another.
def test_a_connection_with_an_unread_set_up_is_not_closed_to_make_room(start):
    service = start()
    first = service.caller()
    first.set_up(B)
    assert first.next()["type"] == "answer"
    crowd = [service.caller() for _ in range(31)]  # with the first, as many connections as are allowed
    for caller in crowd:
        caller.set_up(f"{crowd.index(caller):016x}", destination=2)
        assert caller.next()["type"] == "answer"
    signals, pause = scripted.signal, scripted.threading.Event()
    service.process.send_signal(signals.SIGSTOP)
    late = [service.caller() for _ in range(8)]
    for caller in (first, *crowd[:4]):
        caller.set_up(f"{id(caller):016x}"[-16:], destination=2)
    pause.wait(0.1)
    service.process.send_signal(signals.SIGCONT)
    for caller in (first, *crowd[:4]):
        reply = caller.next()
        assert reply is not None and reply["id"] == f"{id(caller):016x}"[-16:]
    assert len(late) == 8


# Guards against callers that are never sent a release: their switch died just before the exit of the only process that knew of
# the calls.
def test_calls_at_a_switch_that_has_died_are_released_before_the_process_exits(start):
    service = start()
    caller = service.caller()
    caller.set_up(A)
    assert caller.next()["type"] == "answer"
    service.switches["s1"].die()
    service.process.send_signal(scripted.signal.SIGTERM)
    assert caller.next() == {"type": "release", "id": A, "fields": {}, "cause": 41}


# Guards against an error in a step of the shutdown keeping the process running until SIGKILL.
def test_a_shutdown_stops_in_time_although_a_step_of_it_fails(monkeypatch):
    import gingergap.service.process as module

    class Failing(module.Process):
        def __init__(self):
            self.stopped, self.shutdown_started, self.schedule = module.Event(), None, None
            self.callers = module.CallerConnections(self, 1)
            self.calls = type(
                "Calls", (), {"by_dialog": {}, "shut_down": lambda self, now: module.ShutdownSchedule(now, now, now + 10)}
            )()
            self.clock_offset = 0

    process = Failing()
    process.begin_shutdown()
    assert process.stopped.wait(scripted.WAIT)


# Guards against a release that overtakes its answer: the answer's connection was half-closed before its caller had read it, and
# the release was sent on another.
def test_a_release_during_a_shutdown_follows_its_answer_on_the_same_connection(start):
    service = start()
    other, caller = service.caller(), service.caller()
    other.set_up(B)
    assert other.next()["type"] == "answer"
    conn, _ = service.switches["s1"].next("INVITE")
    service.process.send_signal(scripted.signal.SIGTERM)
    time.sleep(0.65)
    caller.set_up(A)
    conn, _ = service.switches["s1"].next("INVITE")
    time.sleep(0.2)
    conn.sendall(scripted.sip("BYE sip:x@net SIP/2.0", A, "BYE", "Reason: Q.850;cause=16\r\n"))
    assert [caller.next()["type"], caller.next()["type"]] == ["answer", "release"]


# Guards against a release that overtakes its answer where the answer's connection has been half-closed meanwhile and its caller
# reads it late: the release is not sent on another connection sooner than a second after the answer.
def test_a_release_on_another_connection_leaves_the_caller_time_to_read_its_answer(start):
    service = start(s2=scripted.Switch(lambda id: None))
    busy, caller = service.caller(), service.caller()
    busy.set_up(C)
    assert busy.next()["type"] == "answer"
    busy.set_up(B, destination=2)  # open until late in the shutdown, so that its connection stays open
    service.switches["s1"].next("INVITE")
    service.process.send_signal(scripted.signal.SIGTERM)
    time.sleep(0.65)
    answered_after = time.monotonic()
    caller.set_up(A)
    conn, _ = service.switches["s1"].next("INVITE")
    assert caller.next()["type"] == "answer"
    assert caller.next() is None
    conn.sendall(scripted.sip("BYE sip:x@net SIP/2.0", A, "BYE", "Reason: Q.850;cause=16\r\n"))
    told = busy.next()
    assert (told["type"], told["id"]) == ("release", A)
    assert time.monotonic() >= answered_after + ANSWER_READ_WITHIN


# Guards against an attribute of a connection hiding the method that its reader calls: each refusal closed its connection.
def test_a_refusal_leaves_its_connection_open_and_no_traceback_in_the_log(start):
    service = start(s1=scripted.Switch(lambda id: scripted.sip("SIP/2.0 503 Full", id, "INVITE"), scripted.answer))
    caller = service.caller()
    caller.set_up(A)
    first, _ = service.switches["s1"].next("INVITE")
    _, ack = service.switches["s1"].next("ACK")
    assert ack.call_id == A
    caller.next()
    assert "Traceback" not in (service.folder / "log").read_text()


# Guards against a call that stays open for its caller: its release arrived during a shutdown, and the only connection left from
# callers had sent no complete line yet.
def test_a_release_during_a_shutdown_goes_to_a_caller_in_mid_line_if_no_other_is_left(start):
    service = start()
    caller, other = service.caller(), service.caller()
    caller.set_up(A)
    assert caller.next()["type"] == "answer"
    conn, _ = service.switches["s1"].next("INVITE")
    other.sock.sendall(b'{"type":"setup","id":"')
    caller.sock.shutdown(socket.SHUT_RDWR)
    service.process.send_signal(scripted.signal.SIGTERM)
    time.sleep(0.3)
    conn.sendall(scripted.sip("BYE sip:x@net SIP/2.0", A, "BYE", "Reason: Q.850;cause=16\r\n"))
    told = other.next()
    assert told is not None and (told["type"], told["id"]) == ("release", A)


# Guards against a release that a process accepts late in its shutdown and cannot deliver: the switch repeats it on the next
# connection, which must be one of the next process.
def test_a_shutdown_opens_no_connections_to_switches_for_callers_that_have_sent_no_line(start):
    service = start()
    silent = service.caller()
    silent.sock.sendall(b'{"ty')
    service.process.send_signal(scripted.signal.SIGTERM)
    time.sleep(0.9)  # the listener is closed
    switch = service.switches["s1"]
    before = len(switch.conns)
    for conn in list(switch.conns):
        conn.shutdown(socket.SHUT_RDWR)
    assert service.process.wait(scripted.WAIT) == 0
    assert len(switch.conns) == before


# Guards against a connection that comes up after it was given up: a switch would send releases on it, which nobody reads.
def test_a_connection_that_is_given_up_while_it_opens_never_comes_up():
    listener = gevent_socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)  # one connection fits into the backlog
    waiting = gevent_socket.create_connection(listener.getsockname())
    stream = Stream(None, max_queued_bytes=1000, write_timeout=1.0)
    opening = gevent.spawn(stream.connect, listener.getsockname(), 5.0)
    gevent.sleep(0.1)
    stream.close(False, "given up")
    accepted = [listener.accept()[0]]
    listener.listen(50)
    gevent.sleep(1.5)  # the kernel repeats its SYN a second after the first
    listener.settimeout(0)
    with contextlib.suppress(OSError):
        accepted.append(listener.accept()[0])
    assert len(accepted) == 1
    assert opening.get(timeout=scripted.WAIT) is False
    waiting.close()


# Guards against a call that stays open for its caller: a switch reported its end to a process whose only caller was in the middle
# of a line. The switch tells it on the first connection that a new process opens, which is for that caller.
def test_a_release_of_an_unknown_call_goes_to_a_caller_in_mid_line_within_a_second(start):
    service = start()
    caller, switch = service.caller(), service.switches["s1"]
    time.sleep(0.3)
    began = time.monotonic()
    caller.sock.sendall(b'{"type":"setup","id":"')
    while not switch.conns and time.monotonic() < began + scripted.WAIT:
        time.sleep(0.01)
    switch.conns[0].sendall(scripted.sip("BYE sip:x@net SIP/2.0", A, "BYE", "Reason: Q.850;cause=16\r\n"))
    told = caller.next()
    assert told is not None and (told["type"], told["id"]) == ("release", A)
    assert time.monotonic() - began < 1.0


# Guards against a release that a process accepts late in its shutdown and cannot deliver, on a connection that came up late.
def test_a_shutdown_gives_up_connections_to_switches_that_are_still_opening(start):
    queue = socket.socket()
    queue.bind(("127.0.0.1", 0))
    queue.listen(0)  # one connection fits into the backlog
    filler = socket.create_connection(queue.getsockname())
    switch = scripted.Switch()
    switch.address = f"127.0.0.1:{queue.getsockname()[1]}"
    service = start(s1=switch)
    silent = service.caller()
    silent.sock.sendall(b'{"ty')
    service.process.send_signal(scripted.signal.SIGTERM)
    time.sleep(0.95)  # the listener is closed; the process waits for the rest of the line
    queue.listen(50)
    queue.accept()[0].close()
    assert service.process.wait(scripted.WAIT) == 0
    queue.settimeout(0)
    with pytest.raises(BlockingIOError):
        queue.accept()
    filler.close()
    queue.close()


# Guards against a connection that is neither up nor closed because no file descriptor was left.
def test_a_connection_without_a_file_descriptor_counts_as_not_made(monkeypatch):
    ended = []

    class RecordingStream(Stream):
        def connection_lost(self, reset):
            ended.append(reset)

    def no_descriptor_left(*args):
        raise OSError(24, "Too many open files")

    monkeypatch.setattr("gingergap.transport.stream.socket.socket", no_descriptor_left)
    stream = RecordingStream(None, max_queued_bytes=1000, write_timeout=1.0)
    assert stream.connect(("127.0.0.1", 9), 1.0) is False
    assert ended == [False] and not stream.connection_refused and stream.lacks_resources


# Guards against opening a connection that was given up before.
def test_a_connection_that_was_given_up_before_it_opens_is_not_opened():
    listener = gevent_socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(5)
    stream = Stream(None, max_queued_bytes=1000, write_timeout=1.0)
    stream.close(False, "given up")
    assert stream.connect(listener.getsockname(), 1.0) is False
    listener.settimeout(0.1)
    with pytest.raises(OSError):
        listener.accept()


class SlowReader(scripted.threading.Thread):
    """A caller that keeps sending for some seconds and pauses for up to 0.5 s between reads, on a connection of its own."""

    def __init__(self, address, seed, seconds):
        super().__init__(daemon=True)
        host, port = address.split(":")
        self.sock = socket.create_connection((host, int(port)), scripted.WAIT)
        self.random, self.until = Random(seed), time.monotonic() + seconds
        self.sent, self.answered = {}, set()  # ids, with the time when they were sent

    def run(self):
        reading = scripted.threading.Thread(target=self._read, daemon=True)
        reading.start()
        while reading.is_alive() and time.monotonic() < self.until:
            id = f"{self.random.getrandbits(64):016x}"
            try:
                self.sock.sendall(set_up_line(id))
            except OSError:
                return
            self.sent[id] = time.monotonic()
            time.sleep(self.random.uniform(0.05, 0.25))
        reading.join()

    def _read(self):
        held = b""
        with contextlib.suppress(OSError):
            while data := self.sock.recv(400):
                *whole, held = (held + data).split(b"\n")
                self.answered |= {json.loads(line)["id"] for line in whole}
                if time.monotonic() < self.until:
                    time.sleep(self.random.uniform(0.0, 0.5))


def set_up_line(id):
    extras = {"class": "voice", "left": "1500", "key": id[:8], "extras": "dest:2;width:1;via:-1"}
    return json.dumps({"type": "setup", "id": id, "fields": extras, "sdp": SDP}).encode() + b"\n"


# Guards against set-ups that are read and left without an answer, because their connection had been half-closed while their
# caller, a slow reader, was still sending.
def test_slow_readers_are_answered_for_as_long_as_they_send(start):
    service = start()
    callers = [SlowReader(service.address, seed, 3.0) for seed in range(6)]
    for caller in callers:
        caller.start()
    service.process.send_signal(scripted.signal.SIGTERM)
    assert service.process.wait(KILL_AFTER) == 0
    for caller in callers:
        caller.join(scripted.WAIT)
    assert [id for caller in callers for id in caller.sent if id not in caller.answered] == []
    assert sum(len(caller.sent) for caller in callers) > 6 * 10


# Guards against a shutdown that lasts until the earliest SIGKILL although no caller sends any more.
def test_a_process_exits_soon_once_its_callers_are_quiet(start):
    service = start()
    caller = service.caller()
    caller.set_up(A)
    assert caller.next()["type"] == "answer"
    began = time.monotonic()
    service.process.send_signal(scripted.signal.SIGTERM)
    assert caller.next() is None
    assert time.monotonic() - began < KILL_AFTER - 1.0
    assert service.process.wait(scripted.WAIT) == 0
