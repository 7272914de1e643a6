"""The end of a call is told to its caller, whoever closes the caller's connections and whenever the process ends.

A release is owed until it is written on a connection of a caller. Until then it is kept by the process, or by the switch, which
sends it once more on the next connection that is opened.
"""

import signal
import time

import pytest
import test_service_process as scripted

from gingergap.service.caller_connections import IDLE_TIMEOUT

start = scripted.start
A, B, C, D = "a" * 16, "b" * 16, "c" * 16, "d" * 16
PROBE_TIME = 2.0  # seconds in which a process looks whether a quiet switch can still be reached
QUIET_TIME = 1.5  # seconds in which nothing more may be told


class Switch(scripted.Switch):
    """Sends a release on an open connection, if there is one, and once more on the next that is opened."""

    def __init__(self, *replies):
        self.owed = []
        self.live = []  # connections
        super().__init__(*replies)

    def serve(self, conn):
        owed, self.owed = self.owed, []
        for bye in owed:
            conn.sendall(bye)
        self.live.append(conn)
        try:
            super().serve(conn)
        finally:
            self.live.remove(conn)

    def open_connection(self):
        """The oldest one that the process has not closed, or None."""
        return self.live[0] if self.live else None

    def close_connections(self):
        for conn in list(self.live):
            conn.shutdown(scripted.socket.SHUT_RDWR)

    def end_call(self, id, on=None):
        bye = scripted.sip("BYE sip:x@net SIP/2.0", id, "BYE", "Reason: Q.850;cause=16\r\n")
        if on is not None:
            on.sendall(bye)
        self.owed.append(bye)


def releases_read(caller, seconds=QUIET_TIME, until=()):
    """The ids of the calls whose releases are read within so many seconds, or until all of `until` are."""
    ids = []
    deadline = time.monotonic() + seconds
    while not (until and set(until) <= set(ids)):
        caller.sock.settimeout(max(0.01, deadline - time.monotonic()))
        try:
            line = caller.next()
        except TimeoutError:
            break
        if line is None:
            break
        if line["type"] == "release":
            ids.append(line["id"])
    return ids


def set_up_and_close(service, calls):
    """Calls, by id and their switch's number, of a client that then closes its connection. Returns the connections to switches."""
    caller = service.caller()
    conns = {}
    for id, number in calls.items():
        caller.set_up(id, destination=number)
        assert caller.next()["type"] == "answer"
        conns[id], _ = service.switches[f"s{number}"].next("INVITE")
    caller.close()
    time.sleep(0.2)
    return conns


def end_call_while_no_process_runs(service):
    """A call A stands at s1 and ends there; then the process is started again."""
    set_up_and_close(service, {A: 1})
    service.process.kill()
    service.process.wait()
    service.switches["s1"].end_call(A)
    service.start_process()


def restart(service, how):
    service.process.send_signal(how)
    service.process.wait(scripted.WAIT)
    service.start_process()


# Guards against a release that is lost with the process that it was told to: the process spent the switch's repetition although
# nobody was there to be told (review, case 7).
@pytest.mark.parametrize(
    ("ended", "others", "restarts"),
    [
        pytest.param([A], [B], [signal.SIGTERM], id="sigterm"),
        pytest.param([A], [B], [signal.SIGKILL], id="sigkill"),
        pytest.param([A], [], [signal.SIGTERM], id="no_other_call"),
        pytest.param([A], [B], [signal.SIGTERM, signal.SIGTERM], id="two_restarts"),
        pytest.param([A], [B], [signal.SIGKILL, signal.SIGKILL, signal.SIGTERM], id="two_kills_and_a_restart"),
        pytest.param([A, C], [B], [signal.SIGTERM], id="several_switches"),
    ],
)
def test_a_release_that_waits_for_a_caller_outlives_the_process(start, ended, others, restarts):
    service = start(s1=Switch(), s2=Switch())
    calls = {A: 1, B: 1, C: 2}
    conns = set_up_and_close(service, {id: calls[id] for id in ended + others})
    for id in ended:
        service.switches[f"s{calls[id]}"].end_call(id, on=conns[id])
    time.sleep(PROBE_TIME)
    for how in restarts:
        restart(service, how)
    caller = service.caller()
    for id in ended + others:
        caller.name_call(id, f"s{calls[id]}")
    assert sorted(releases_read(caller)) == sorted(ended)


# Guards against a release that nobody is told: the call ended while no process ran, and the next process was restarted, too.
def test_the_end_of_a_call_while_no_process_runs_outlives_the_next_process(start):
    service = start(s1=Switch())
    end_call_while_no_process_runs(service)
    restart(service, signal.SIGTERM)
    caller = service.caller()
    caller.set_up(D)
    assert releases_read(caller) == [A]


# Guards against a release that is lost as the process took the switch's repetition for a health check, which had been told already.
def test_a_release_told_to_a_health_check_outlives_the_process(start):
    service = start(s1=Switch())
    conns = set_up_and_close(service, {A: 1, B: 1})
    health_check = service.caller()
    health_check.send("ping", D)
    service.switches["s1"].end_call(A, on=conns[A])
    time.sleep(1.0 + PROBE_TIME)
    restart(service, signal.SIGTERM)
    caller = service.caller()
    caller.name_call(A, "s1")
    assert releases_read(caller) == [A]


# Guards against a release that is lost with a process which was told of it on a connection that nobody needed: the switch had
# closed its idle connections, before or after the end of the call.
@pytest.mark.parametrize("closed_first", [False, True])
def test_the_end_of_a_call_at_a_switch_that_closes_idle_connections_outlives_the_process(start, closed_first):
    service = start(s1=Switch())
    conns, switch = set_up_and_close(service, {A: 1, B: 1}), service.switches["s1"]
    if not closed_first:
        switch.end_call(A, on=conns[A])
    switch.close_connections()
    if closed_first:
        switch.end_call(A)
    time.sleep(PROBE_TIME)
    restart(service, signal.SIGTERM)
    caller = service.caller()
    caller.name_call(A, "s1")
    assert releases_read(caller) == [A]


# Guards against a release that is kept from a client that comes to a process which is about to end.
@pytest.mark.parametrize("names", [True, False])
def test_a_client_that_comes_during_a_shutdown_is_told_of_an_end(start, names):
    service = start(s1=Switch())
    conns = set_up_and_close(service, {A: 1, B: 1})
    service.switches["s1"].end_call(A, on=conns[A])
    time.sleep(0.3)
    service.process.send_signal(signal.SIGTERM)
    time.sleep(0.1)
    caller = service.caller()
    caller.name_call(A, "s1") if names else caller.set_up(D)
    assert releases_read(caller, scripted.WAIT, until=[A]) == [A]


# Guards against a release that is lost where a client comes just before its process is killed.
@pytest.mark.parametrize("after", [0.0, 0.02, 0.3])
def test_a_client_that_comes_just_before_the_kill_is_told_by_one_of_the_processes(start, after):
    service = start(s1=Switch())
    conns = set_up_and_close(service, {A: 1, B: 1})
    service.switches["s1"].end_call(A, on=conns[A])
    time.sleep(0.3)
    first = service.caller()
    first.name_call(A, "s1")
    first.set_up(D)
    time.sleep(after)
    restart(service, signal.SIGKILL)
    second = service.caller()
    second.name_call(A, "s1")
    assert A in releases_read(first) + releases_read(second)


# Guards against a switch whose end is not noticed any more while nobody is there to be told.
def test_calls_at_a_switch_that_dies_while_no_caller_is_there_are_told_later(start):
    service = start(s1=Switch())
    set_up_and_close(service, {A: 1})
    service.switches["s1"].die()
    time.sleep(2.0)
    caller = service.caller()
    caller.set_up(D, destination=2)
    assert releases_read(caller) == [A]


# Guards against a call whose end is told to nobody: the connection of its quiet client was closed as idle (review, case 8).
@pytest.mark.parametrize("named", [False, True])
def test_the_connection_of_a_quiet_client_is_kept_while_its_call_stands(start, named):
    service = start(s1=Switch())
    caller = service.caller()
    if named:
        caller.name_call(A, "s1")
    else:
        caller.set_up(A)
        assert caller.next()["type"] == "answer"
    time.sleep(IDLE_TIMEOUT + 1.0)
    service.switches["s1"].end_call(A, on=service.switches["s1"].conns[0])
    assert releases_read(caller) == [A]
    assert caller.next() is None  # idle from then on


# Guards against a call whose end is told to nobody: its client had closed the connection of its set-up, and sent only tests on the
# one that it opened then.
def test_a_client_that_only_tests_is_told_of_an_end_in_time(start):
    service = start(s1=Switch())
    conns = set_up_and_close(service, {A: 1})
    caller = service.caller()
    caller.send("ping", D)
    time.sleep(1.0)
    service.switches["s1"].end_call(A, on=conns[A])
    assert releases_read(caller, seconds=1.0) == [A]


# Guards against a release that is lost as it was told to a health check or a faulty client alone.
@pytest.mark.parametrize("other", ["tests", "names an unknown call", "sends an invalid set-up", "begins a line"])
def test_a_release_told_to_another_client_is_told_to_the_caller_that_comes_later(start, other):
    service = start(s1=Switch())
    conns = set_up_and_close(service, {A: 1})
    client = service.caller()
    match other:
        case "tests":
            client.send("ping", D)
        case "names an unknown call":
            client.name_call(D, "s1")
        case "sends an invalid set-up":
            client.send("setup", D, sdp="x", fields={"class": "no such class", "left": "900", "key": "7f", "extras": "dest:1"})
        case "begins a line":
            client.sock.sendall(b'{"type":"setup","id":"')
    service.switches["s1"].end_call(A, on=conns[A])
    time.sleep(1.2)
    caller = service.caller()
    caller.set_up(B)
    assert releases_read(caller) == [A]


# Guards against a second release on the connection of a caller that was taken for another client at first.
def test_a_client_that_tests_and_then_sets_a_call_up_is_told_once(start):
    service = start(s1=Switch())
    conns = set_up_and_close(service, {A: 1})
    caller = service.caller()
    caller.send("ping", D)
    time.sleep(1.0)
    service.switches["s1"].end_call(A, on=conns[A])
    assert releases_read(caller, seconds=scripted.WAIT, until=[A]) == [A]
    caller.set_up(B)
    assert releases_read(caller) == []


# Guards against a new process that asks no switch for the ends of calls, as its only client sends tests alone.
def test_a_client_that_only_tests_is_told_by_a_new_process(start):
    service = start(s1=Switch())
    end_call_while_no_process_runs(service)
    caller = service.caller()
    caller.send("ping", D)
    assert releases_read(caller, seconds=4.0, until=[A]) == [A]


# Guards against callers that are turned away as quiet ones, on whose connections calls stand, hold the descriptors that are left.
def test_callers_are_let_in_while_quiet_ones_hold_calls(start):
    service = start(s1=Switch(), s2=Switch())
    quiet = []
    for index in range(21):  # a third of the 64 descriptors of the process
        quiet.append(service.caller())
        quiet[-1].set_up(f"{index:016x}")
        assert quiet[-1].next()["type"] == "answer"
    crowd = [service.caller() for _ in range(30)]
    late = [service.caller() for _ in range(5)]
    for index, caller in enumerate(late):
        caller.set_up(f"{100 + index:016x}", destination=2)
        assert caller.next()["type"] == "answer"
    assert len(crowd) == 30
    conn = service.switches["s1"].conns[0]
    for index in range(21):
        service.switches["s1"].end_call(f"{index:016x}", on=conn)
    for index, caller in enumerate(quiet):
        assert releases_read(caller, scripted.WAIT, until=[f"{index:016x}"]) == [f"{index:016x}"]
