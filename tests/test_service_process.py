"""The service as a process among scripted peers on loopback: start, calls, invalid callers and switches, signals."""

import contextlib
import json
import os
import queue
import signal
import socket
import struct
import subprocess
import sys
import threading
import time

import pytest
from test_service_calls import SDP, SETTINGS

from gingergap.sip.framing import Framer

WAIT = 20  # seconds for anything that must arrive; no test depends on how soon


def now_ms():
    return time.time_ns() // 1_000_000


def listener(address="127.0.0.1:0"):
    host, _, port = address.partition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, int(port)))
    sock.listen(50)
    return sock, f"127.0.0.1:{sock.getsockname()[1]}"


class Peer:
    """Accepts connections and serves each in a thread."""

    def __init__(self, address="127.0.0.1:0"):
        self.sock, self.address = listener(address)
        self.conns = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            self.conns.append(conn)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        with contextlib.suppress(OSError):
            self.serve(conn)

    def close(self):
        self.sock.close()
        for conn in self.conns:
            conn.close()

    def die(self):
        """Behave like a killed process: connections are reset, and new ones refused."""
        self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        for conn in self.conns:
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            conn.shutdown(socket.SHUT_RD)
            conn.close()


def sip(start_line, id, cseq, extra="", body=""):
    return (
        f"{start_line}\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {id}\r\nCSeq: 1 {cseq}\r\n{extra}"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


def answer(id):
    return sip("SIP/2.0 200 OK", id, "INVITE", body=f"of {id}\r\nc=IN IP4 10.0.0.1\r\nm=audio 1 RTP/AVP 0\r\n")


class Switch(Peer):
    """Reports `circuits` free ones on each connection; answers INVITEs by `replies` in turn, the last one repeatedly.

    A reply is a function from an id to bytes, or to None for no answer.
    """

    def __init__(self, *replies, address="127.0.0.1:0", circuits=40):
        self.replies, self.circuits = list(replies) or [answer], circuits
        self.received = queue.Queue()  # (connection, message)
        super().__init__(address)

    def serve(self, conn):
        conn.sendall(
            sip("NOTIFY sip:x@net SIP/2.0", "0" * 16, "NOTIFY", f"Link-State: idle:{self.circuits};circuits:{self.circuits}\r\n")
        )
        framer = Framer()
        while data := conn.recv(65_536):
            for message in framer.feed(data):
                self.received.put((conn, message))
                if message.method == "INVITE":
                    reply = self.replies.pop(0) if len(self.replies) > 1 else self.replies[0]
                    response = reply(message.call_id)
                    if response is not None:
                        conn.sendall(response)

    def next(self, method):
        while True:
            conn, message = self.received.get(timeout=WAIT)
            if message.method == method:
                return conn, message


class Bus(Peer):
    """Answers each request with the events after its offset, or as soon as there are any."""

    def __init__(self):
        self.events, self.more = [], threading.Condition()
        self.requested = queue.Queue()
        super().__init__()

    def publish(self, *entries, number=None, whole=False):
        with self.more:
            self.events.append(
                {"offset": number or 2 + len(self.events), "topology": {"rev": 1, "all": whole, "targets": list(entries)}}
            )
            self.more.notify_all()

    def serve(self, conn):
        file = conn.makefile("rb")
        while line := file.readline():
            while file.readline().strip():
                pass
            after = int(line.split(b"from=")[1].split(b"&")[0])
            self.requested.put(after)
            with self.more:
                self.more.wait_for(lambda after=after: any(event["offset"] > after for event in self.events), 0.5)
                batch = [event for event in self.events if event["offset"] > after]
            body = json.dumps({"offset": batch[-1]["offset"] if batch else after, "batch": batch}).encode()
            conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


def list_entry(uid, number, address, state="in_service"):
    return {"uid": uid, "endpoint": address, "pod_group": number, "state": state, "boot_ms": 0}


class Caller:
    def __init__(self, address):
        host, port = address.split(":")
        self.sock = socket.create_connection((host, int(port)), WAIT)
        self.received, self.has_ended = b"", False

    def send(self, type, id, **more):
        self.sock.sendall(json.dumps({"type": type, "id": id, "fields": {}, **more}).encode() + b"\n")

    def set_up(self, id, destination=1, time_left=2900):
        self.send(
            "setup",
            id,
            sdp=SDP,
            fields={"class": "voice", "left": str(time_left), "key": "7f", "extras": f"dest:{destination};width:1;via:-1"},
        )

    def name_call(self, id, switch):
        """Name a call that stands at a switch, as after a restart."""
        self.send("setup", id, fields={"class": "voice", "key": "7f", "extras": f"dest:1;width:1;via:-1;at:{switch}"})

    def close(self):
        self.sock.close()

    def next(self):
        """The next line, or None when the connection is closed. Raises TimeoutError, after which it may be called again."""
        while b"\n" not in self.received:
            try:
                data = self.sock.recv(65_536)
            except ConnectionResetError:
                data = b""
            if not data:
                self.has_ended = True
                return None
            self.received += data
        text, _, self.received = self.received.partition(b"\n")
        return json.loads(text)


class Service:
    """One process with its peers; its own exchange is number 0."""

    def __init__(self, folder, known_states=None, sockets=64, **switches):
        self.folder = folder
        known_states = known_states or {}
        self.bus = Bus()
        self.switches = {"s1": Switch(), "s2": Switch(), **switches}
        sock, self.address = listener()
        sock.close()
        self.config = {
            "name": "n0",
            "listen": self.address,
            "seed": "8c1f30d27a5be964",
            "bus": self.bus.address,
            "limits": {"cores": 1.0, "memory_mb": 80, "sockets": sockets},
            "settings": SETTINGS,
            "known": {
                "offset": 1,
                "batch": [
                    {
                        "offset": 1,
                        "topology": {
                            "rev": 1,
                            "all": True,
                            "targets": [
                                list_entry("s0", 0, "127.0.0.1:9"),
                                *(
                                    list_entry(uid, int(uid[1:]), switch.address, known_states.get(uid, "in_service"))
                                    for uid, switch in self.switches.items()
                                ),
                            ],
                        },
                    }
                ],
            },
        }
        self.path = folder / "config.json"
        self.write()
        self.log = (folder / "log").open("w")
        self.start_process()

    def start_process(self):
        """Start the process, also after one that has ended, and wait until it passes a test."""
        self.process = subprocess.Popen(
            [sys.executable, "-m", "gingergap", "serve"],
            stderr=self.log,
            stdout=self.log,
            env={**os.environ, "LB_CONFIG": str(self.path), "LB_NAME": "n0"},
        )
        while True:
            assert self.process.poll() is None, (self.folder / "log").read_text()
            try:
                caller = self.caller()
            except ConnectionRefusedError:
                continue
            caller.send("ping", "0" * 16)
            assert caller.next()["cause"] == 1
            caller.close()
            break

    def write(self):
        self.path.write_text(json.dumps(self.config))

    def caller(self):
        return Caller(self.address)

    def close(self):
        self.process.kill()
        self.process.wait()
        self.log.close()
        for peer in (self.bus, *self.switches.values()):
            peer.close()


@pytest.fixture
def start(tmp_path):
    running = []

    def start_service(**switches):
        running.append(Service(tmp_path, **switches))
        return running[-1]

    yield start_service
    for service in running:
        service.close()


A, B = "a" * 16, "b" * 16


def test_a_call_is_established_and_its_release_is_delivered_also_when_the_callers_connection_has_closed(start):
    service = start()
    first, second = service.caller(), service.caller()
    first.set_up(A)
    second.set_up(B)
    assert first.next() == {
        "type": "answer",
        "id": A,
        "fields": {},
        "sdp": f"of {A}\r\nc=IN IP4 10.0.0.1\r\nm=audio 1 RTP/AVP 0\r\n",
    }
    assert second.next()["type"] == "answer"
    switch = service.switches["s1"]
    conn, invite = switch.next("INVITE")
    assert invite.body.decode() == SDP
    switch.next("ACK")
    first.sock.shutdown(socket.SHUT_WR)
    assert first.next() is None
    conn.sendall(sip("BYE sip:x@net SIP/2.0", A, "BYE", "Reason: Q.850;cause=16\r\n"))
    assert second.next() == {"type": "release", "id": A, "fields": {}, "cause": 16}


@pytest.mark.parametrize(
    "damaged",
    [
        lambda id: answer(id)[:40],
        lambda id: b"\x00\xff noise\r\n\r\n",
        lambda id: answer(id).replace(b"Content-Length: ", b"Content-Length: 3000000"),
        lambda id: answer(id)[:-4],
        lambda id: answer(B) + answer(id)[:30],
        lambda id: None,
    ],
)
def test_a_damaged_answer_ends_its_connection_and_the_next_leg_is_answered(start, damaged):
    service = start(s1=Switch(damaged, answer))
    caller = service.caller()
    caller.set_up(A)
    switch = service.switches["s1"]
    first, _ = switch.next("INVITE")
    if damaged(A) is None:  # silence alone does not mean that the switch is down: other legs must be answered meanwhile
        for index in range(6):
            other = service.caller()
            other.set_up(f"{index:016x}", destination=2)
            assert other.next()["type"] == "answer"
    reply = caller.next()
    assert reply["id"] == A and reply["type"] in ("answer", "release")
    if reply["type"] == "answer":
        assert reply["sdp"].startswith(f"of {A}")
        second, _ = switch.next("INVITE")
        assert second is not first


def test_an_answer_followed_by_other_answers_is_passed_on_once(start):
    service = start(s1=Switch(lambda id: answer(B) + answer(id) + answer(id)))
    caller = service.caller()
    caller.set_up(A)
    assert caller.next()["id"] == A
    caller.send("ping", "0" * 16)
    assert caller.next()["type"] == "pong"


@pytest.mark.parametrize(
    "data", [b"\xff\xfe\x00\n", b"x" * 40_000, b'{"type":"setup","id":"zz"}\n', b"[" * 9_000 + b"\n", b'{"ty', b""]
)
def test_an_invalid_caller_is_closed_and_other_callers_are_served(start, data):
    service = start()
    bad, good = service.caller(), service.caller()
    bad.sock.sendall(data)
    good.set_up(A)
    assert good.next()["type"] == "answer"
    assert bad.next() is None


def test_callers_are_accepted_despite_hundreds_of_silent_connections(start):
    service = start()
    silent = []
    for _ in range(150):
        silent.append(service.caller())
    good = service.caller()
    good.set_up(A)
    assert good.next()["type"] == "answer"


def test_a_flood_of_withdrawn_set_ups_does_not_delay_other_callers(start):
    service = start(s1=Switch(lambda id: None))
    flood, good = service.caller(), service.caller()
    for index in range(300):
        flood.set_up(f"{index:016x}")
    for index in range(300):
        flood.send("release", f"{index:016x}", cause=16)
    good.set_up(B, destination=2)
    assert good.next()["type"] == "answer"


def test_a_drain_is_applied_from_the_bus_and_after_a_sighup_from_the_new_bus(start):
    service = start()
    caller = service.caller()
    service.bus.publish(list_entry("s1", 1, service.switches["s1"].address, "terminating"))
    while service.bus.requested.get(timeout=WAIT) < 2:
        pass
    caller.set_up(A)
    assert caller.next()["type"] == "release"
    (service.folder / "config.json").write_text("{")
    service.process.send_signal(signal.SIGHUP)
    other = Bus()
    try:
        while "configuration-kept" not in (service.folder / "log").read_text():
            assert service.process.poll() is None
        service.config["bus"] = other.address
        service.write()
        service.process.send_signal(signal.SIGHUP)
        assert other.requested.get(timeout=WAIT) == 2  # the offsets continue
        other.publish(list_entry("s1", 1, service.switches["s1"].address), number=3)
        while other.requested.get(timeout=WAIT) < 3:
            pass
        caller.set_up(B)
        assert caller.next()["type"] == "answer"
    finally:
        other.close()


def test_a_bus_that_closes_its_connection_is_asked_again_from_the_same_offset(start):
    service = start()
    service.bus.requested.get(timeout=WAIT)
    for conn in list(service.bus.conns):
        conn.shutdown(socket.SHUT_RDWR)
    assert service.bus.requested.get(timeout=WAIT) == 1


def test_sigterm_answers_accepted_set_ups_and_exits(start):
    service = start(s1=Switch(lambda id: None))
    caller, late = service.caller(), service.caller()
    caller.set_up(A, time_left=1500)
    service.switches["s1"].next("INVITE")
    service.process.send_signal(signal.SIGTERM)
    late.set_up(B, destination=2)
    assert late.next()["type"] == "answer"
    assert caller.next()["type"] == "release"
    assert service.process.wait(WAIT) == 0


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"listen": "nowhere"}, "field config.listen"),
        ({"bus": 5}, "field config.bus"),
        ({"seed": "x"}, "field config.seed"),
        ({"settings": {"Lanes": 3}}, "settings.Ceilings"),
        ({"known": {"offset": "x"}}, "field known"),
        ({"limits": {"sockets": 3}}, "config.limits.sockets"),
        ({"settings": None}, "field config.settings"),
    ],
)
def test_an_invalid_configuration_is_reported_in_one_line(tmp_path, change, message):
    path = tmp_path / "config.json"
    path.write_text(
        json.dumps(
            {
                "name": "n",
                "listen": "127.0.0.1:1",
                "bus": "127.0.0.1:2",
                "seed": "1",
                "settings": SETTINGS,
                "limits": {"sockets": 64},
                **change,
            }
        )
    )
    done = subprocess.run(
        [sys.executable, "-m", "gingergap", "serve"],
        env={**os.environ, "LB_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode == 2 and message in done.stderr and done.stderr.count("\n") == 1


def test_a_missing_variable_or_file_is_reported_in_one_line(tmp_path):
    for value in ("", str(tmp_path / "none")):
        done = subprocess.run(
            [sys.executable, "-m", "gingergap", "serve"],
            env={**os.environ, "LB_CONFIG": value},
            capture_output=True,
            text=True,
            timeout=60,
        )
        assert done.returncode == 2 and done.stderr.count("\n") == 1


def test_the_service_loads_only_what_it_needs():
    """Memory is scarce in the service, and a restart should be ready at once."""
    code = (
        "import gingergap.service.process, sys; print(sorted(m for m in sys.modules if m.startswith('gingergap.') or '.' not in m))"
    )
    loaded = set(eval(subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout))
    assert not loaded & {"structlog", "pydantic", "click", "numpy", "pyarrow", "sexpdata", "rich", "opentelemetry", "apsw"}
    assert not {
        m
        for m in loaded
        if m.split(".")[1:2]
        and m.split(".")[1]
        in ("store", "trace", "settings", "cli", "edge", "standins", "emulator", "duties", "membership", "benchlink")
    }


class EarlyReload(Service):
    """Its process receives SIGHUP while it reads its first configuration; the second configuration names another bus."""

    def write(self):
        self.next_bus = Bus()
        os.mkfifo(self.path)
        threading.Thread(target=self._reload, daemon=True).start()

    def _reload(self):
        with self.path.open("w") as pipe:  # the process has begun to read
            while not hasattr(self, "process"):
                pass
            self.process.send_signal(signal.SIGHUP)
            self.path.unlink()
            self.path.write_text(json.dumps({**self.config, "bus": self.next_bus.address}))
            pipe.write(json.dumps(self.config))


# Guards against a process that SIGHUP kills during its start, and against a configuration that it misses then.
def test_a_configuration_reloaded_during_the_start_is_read(tmp_path):
    service = EarlyReload(tmp_path)
    assert service.next_bus.requested.get(timeout=WAIT) == 1
    service.next_bus.close()
    service.close()


# Guards against a shutdown that is disturbed by new configurations.
def test_new_configurations_during_a_shutdown_change_nothing_for_callers(start):
    service = start(s2=Switch(lambda id: None))
    caller = service.caller()
    caller.set_up(A, destination=2, time_left=1500)
    service.switches["s2"].next("INVITE")
    service.process.send_signal(signal.SIGTERM)
    for _ in range(5):
        service.process.send_signal(signal.SIGHUP)
    caller.set_up(B)
    assert {caller.next()["id"], caller.next()["id"]} == {A, B}
    assert caller.next() is None
    assert service.process.wait(WAIT) == 0


# Guards against a release that reaches no caller: the only connection from callers had released an established call itself, and
# was not recognised as a caller's.
def test_a_connection_that_has_released_a_call_receives_the_releases_of_others(start):
    service = start()
    first, second = service.caller(), service.caller()
    for id in (A, B):
        first.set_up(id)
        assert first.next()["type"] == "answer"
    conn, _ = service.switches["s1"].next("INVITE")
    first.close()
    second.send("release", A, cause=16)
    assert second.next()["type"] == "released"
    conn.sendall(sip("BYE sip:x@net SIP/2.0", B, "BYE", "Reason: Q.850;cause=16\r\n"))
    assert second.next() == {"type": "release", "id": B, "fields": {}, "cause": 16}
