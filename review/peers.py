"""Stand-ins for the platform, written from its protocol page: switches, event bus, callers, and the proxy's process.

Everything listens on loopback addresses and free ports. What is sent, answered and run goes to one record.
"""

import contextlib
import ctypes
import json
import os
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent

# The form is that of the simulator's page, section 5; the values of a small deployment are those of tests/test_service_calls.py.
SETTINGS = {
    "Ceilings": {
        "Cancelling": True,
        "ConnectTimeout": 500000,
        "CpuUsPerRequest": 0.0,
        "CpuUsPerS": 400000,
        "IdleClose": 600000000,
        "MaxRetryAfter": 2000000,
        "MostTries": 6,
        "Multiplex": 1048576,
        "OpenCap": 20000,
        "PeerMessages": False,
        "Probes": True,
        "RetryAfter": True,
        "SecondCopies": False,
    },
    "ClientHabits": {"MarksRetry": True},
    "CountedBy": "request",
    "Family": "trunks",
    "Goal": {"Whole": 0.55, "WorstClass": 0.2, "WorstTenant": 0.0, "WorstWindow": 0.25},
    "Kinds": ["single-core"],
    "Lanes": [
        {
            "Deadline": 3000000,
            "DedupScope": "all",
            "LateShare": 0.1,
            "Name": "voice",
            "OnTime": 380000,
            "Repeat": "safe",
            "RepeatWindow": 5000000,
            "Streaming": True,
            "Value": 1.0,
        },
        {
            "Deadline": 3000000,
            "DedupScope": "all",
            "LateShare": 0.25,
            "Name": "video",
            "OnTime": 630000,
            "Repeat": "safe",
            "RepeatWindow": 5000000,
            "Streaming": True,
            "Value": 3.0,
        },
    ],
    "MembershipMode": "push",
    "MyNumber": 0,
    "NInstances": 5,
    "OverShareWorth": 0.1,
    "Prices": {
        "Connection": 0.0,
        "CrossZone": 0.0,
        "Handshake": 0.0,
        "LateFail": 0.03,
        "MembershipMode": 0.0,
        "Moves": 0.0,
        "Origin": 0.0,
        "Peer": 0.0,
        "Probe": 0.004,
        "Waste": 0.02,
    },
    "Report": {"Names": ["idle", "circuits", "reduce", "avg_ms"], "Via": "answers"},
    "Rules": {
        "AnswerSlack": 20000,
        "AskWithin": 10000000,
        "ColdFrom": 0.34,
        "DrainGrace": 2000000,
        "Fall": 3000000,
        "OverloadFactor": 3.0,
        "WarmAfter": 14000000,
    },
    "Specifics": {
        "ClassHold": [12100000, 12100000],
        "ClassWidth": [1, 2],
        "GivesWait": True,
        "Guard": 100000,
        "Here": 0,
        "Layout": "network",
        "PeerLoad": "answers",
        "PoolsByClass": [],
        "Repeat": 800000,
        "RouteAdvice": False,
    },
    "Tenants": [],
    "Tick": 5000,
    "Tier": 0,
    "Tiers": ["exchanges"],
    "Weights": "none",
    "Zone": 0,
    "Zones": ["jhb-1"],
}


class Record:
    """Lines with the seconds since the start of the test."""

    def __init__(self, path):
        self.file = Path(path).open("w")  # noqa: SIM115 - closed by `close`
        self.lock, self.start = threading.Lock(), time.time()

    def __call__(self, who, text):
        with self.lock:
            if not self.file.closed:
                self.file.write(f"{time.time() - self.start:9.3f} {who:<10} {text}\n")
                self.file.flush()

    def close(self):
        with self.lock:
            self.file.close()


def listen(address=("127.0.0.1", 0)):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(256)
    return sock


def free_address():
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    address = sock.getsockname()
    sock.close()
    return address


def text_of(address):
    return f"{address[0]}:{address[1]}"


def reset(sock):
    """Close with a reset, as a process that has died."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RD)
    sock.close()


class Acceptor:
    """Accepts connections and serves each in a thread of its own."""

    def __init__(self, name, record, address=("127.0.0.1", 0)):
        self.name, self.record = name, record
        self.lock = threading.RLock()
        self.conns = []
        self.stopped = False
        self.sock = listen(address)
        self.address = self.sock.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while not self.stopped:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                if self.stopped:
                    reset(conn)
                    return
                self.conns.append(conn)
            threading.Thread(target=self._run, args=(conn,), daemon=True).start()

    def _run(self, conn):
        with contextlib.suppress(OSError, ValueError):
            self.serve(conn)
        with self.lock:
            if conn in self.conns:
                self.conns.remove(conn)
            with contextlib.suppress(OSError):
                conn.close()

    def stop(self, by_reset=True):
        with self.lock:
            self.stopped = True
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)
            self.sock.close()
            conns, self.conns = self.conns, []
        for conn in conns:
            if by_reset:
                reset(conn)
            else:
                with contextlib.suppress(OSError):
                    conn.shutdown(socket.SHUT_RDWR)
                conn.close()


def sip(start_line, id, cseq, fields="", body=""):
    return (
        f"{start_line}\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {id}\r\nCSeq: {cseq}\r\n{fields}"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


def read_sip(file):
    """(start line, fields, body) of the next message, or None at the end of the connection."""
    line = file.readline()
    while line in (b"\r\n", b"\n"):
        line = file.readline()
    if not line:
        return None
    fields = {}
    while text := file.readline().decode().strip():
        name, _, value = text.partition(":")
        fields[name.strip().lower()] = value.strip()
    body = file.read(int(fields.get("content-length", "0"))).decode()
    return line.decode().strip(), fields, body


class Switch(Acceptor):
    """One switch: a group of circuits towards the proxy, set-ups that it answers, calls that stand.

    It reports the group on each new connection before anything else, and on four connections at most when it changes. A
    call ends after `hold` seconds by its own release (cause 16), which goes out on the connection of its set-up or else on
    any open one, and again on the next connection that is opened.
    """

    def __init__(self, uid, number, record, hold=12.0, setup=0.02, circuits=40, address=("127.0.0.1", 0)):
        self.uid, self.number, self.hold, self.setup, self.circuits = uid, number, hold, setup, circuits
        self.others = 0  # circuits taken by other calls
        self.set_ups, self.standing = {}, {}  # id: connection
        self.ran, self.ended = [], {}
        self.repeat_releases = []  # for the next connection that is opened
        self.accepted = 0
        super().__init__(uid, record, address)

    def idle(self):
        return self.circuits - self.others - len(self.set_ups) - len(self.standing)

    def state(self):
        return sip(
            "NOTIFY sip:state@net SIP/2.0",
            "0" * 16,
            "1 NOTIFY",
            f"Link-State: idle:{self.idle()};circuits:{self.circuits};reduce:0;avg_ms:2\r\n",
        )

    def send(self, conn, data, text=""):
        if text:
            self.record(self.uid, text)
        with self.lock, contextlib.suppress(OSError):
            conn.sendall(data)
            return True
        return False

    def changed(self):
        with self.lock:
            for conn in self.conns[:4]:
                self.send(conn, self.state())

    def serve(self, conn):
        with self.lock:
            self.accepted += 1
            self.send(conn, self.state())
            repeats, self.repeat_releases = self.repeat_releases, []
            for id, cause in repeats:
                self.send(conn, self.bye(id, cause), f"release {id} cause {cause} again on a new connection")
        file = conn.makefile("rb")
        while (message := read_sip(file)) is not None:
            self.received(conn, *message)

    def bye(self, id, cause):
        return sip("BYE sip:caller@net SIP/2.0", id, "1 BYE", f"Reason: Q.850;cause={cause}\r\n")

    def received(self, conn, start, fields, body):
        id = fields.get("call-id", "")
        if start.startswith("SIP/2.0"):
            return
        method = start.split(" ")[0]
        self.record(self.uid, f"got {method} {id}" + (f" within {fields['answer-within']}" if method == "INVITE" else ""))
        if method == "INVITE":
            with self.lock:
                self.ran.append(id)
                self.set_ups[id] = conn
            self.changed()
            threading.Timer(self.setup, self.answer, (conn, id)).start()
        elif method == "CANCEL":
            with self.lock:
                found = self.set_ups.pop(id, None)
            if found is not None:
                self.send(conn, sip("SIP/2.0 487 Request Terminated", id, "1 INVITE"), f"set-up {id} given up")
                self.changed()
        elif method == "BYE":
            self.end(id, "released by the proxy")
            self.send(conn, sip("SIP/2.0 200 OK", id, "1 BYE"))
            self.changed()
        elif method == "OPTIONS":
            self.send(
                conn,
                sip(
                    "SIP/2.0 200 OK",
                    id,
                    fields.get("cseq", "1 OPTIONS"),
                    f"Link-State: idle:{self.idle()};circuits:{self.circuits};reduce:0;avg_ms:2\r\n",
                ),
            )

    def description(self, id):
        return f"{id[::-1]}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"

    def answer(self, conn, id):
        with self.lock:
            if self.stopped or self.set_ups.pop(id, None) is None:
                return
            self.standing[id] = conn
            self.send(conn, sip("SIP/2.0 200 OK", id, "1 INVITE", body=self.description(id)), f"answers {id}: the call stands")
        if self.hold is not None:
            timer = threading.Timer(self.hold, self.release, (id, 16))
            timer.daemon = True
            timer.start()

    def end(self, id, why):
        with self.lock:
            conn = self.standing.pop(id, None)
            if conn is not None:
                self.ended[id] = (time.time(), why)
                self.record(self.uid, f"call {id} is over: {why}")
            return conn

    def release(self, id, cause):
        with self.lock:
            if self.stopped or id not in self.standing:
                return
            conn = self.end(id, f"released by the switch, cause {cause}")
            if conn not in self.conns:
                conn = self.conns[0] if self.conns else None
            if conn is not None:
                self.send(conn, self.bye(id, cause), f"release {id} cause {cause}")
            self.repeat_releases.append((id, cause))
            self.changed()

    def die(self):
        """As a killed process: connections are reset, new ones refused, and its calls are cut."""
        with self.lock:
            self.record(self.uid, f"dies; cuts {', '.join(self.standing) or 'nothing'}")
            self.stop()
            for id in list(self.standing):
                self.end(id, "cut when the switch died")


class Bus(Acceptor):
    """The event bus: `publish` adds an event, which counts as told from then on."""

    def __init__(self, record, events=None, address=("127.0.0.1", 0)):
        self.events = events if events is not None else []
        self.more = threading.Condition()
        super().__init__("bus", record, address)

    def publish(self, *targets, whole=False):
        with self.more:
            offset = self.events[-1]["offset"] + 1 if self.events else 1
            self.events.append({"offset": offset, "topology": {"rev": offset, "all": whole, "targets": list(targets)}})
            self.record("bus", f"event {offset}: " + ", ".join(f"{target['uid']} {target['state']}" for target in targets))
            self.more.notify_all()

    def known(self):
        return {"offset": self.events[-1]["offset"], "batch": list(self.events)}

    def serve(self, conn):
        file = conn.makefile("rb")
        while line := file.readline():
            while file.readline().strip():
                pass
            query = dict(part.split("=") for part in line.split()[1].decode().partition("?")[2].split("&"))
            after, hold = int(query["from"]), min(int(query["hold"]), 5000) / 1000
            with self.more:
                self.more.wait_for(lambda after=after: self.stopped or self.events[-1]["offset"] > after, hold)
                batch = [event for event in self.events if event["offset"] > after]
            body = json.dumps({"offset": batch[-1]["offset"] if batch else after, "batch": batch}).encode()
            conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


def listed(switch, state="in_service", boot_ms=0):
    return {
        "uid": switch.uid,
        "endpoint": text_of(switch.address),
        "az": "jhb-1",
        "model": "single-core",
        "pod_group": switch.number,
        "state": state,
        "capacity_hint": 1,
        "boot_ms": boot_ms,
    }


class Line:
    """One connection of the callers' front to the proxy."""

    def __init__(self, front, timeout=5.0):
        self.front = front
        self.open = set()  # set-ups without an answer
        self.used_at = time.time()
        self.sock = socket.create_connection(front.address, timeout)
        self.sock.settimeout(None)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.port = self.sock.getsockname()[1]
        self.alive = True
        threading.Thread(target=self._read, daemon=True).start()

    def send(self, message):
        self.front.record("caller", f"sends on {self.port} {json.dumps({k: v for k, v in message.items() if k != 'sdp'})}")
        self.sock.sendall(json.dumps(message).encode() + b"\n")

    def _read(self):
        with contextlib.suppress(OSError, ValueError):
            file = self.sock.makefile("rb")
            while line := file.readline():
                self.front.received(self, json.loads(line))
        self.alive = False
        self.front.closed(self)
        with contextlib.suppress(OSError):
            self.sock.close()

    def close(self):
        self.alive = False
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)


class Front:
    """The callers' front: sends set-ups on connections that it opens, and closes one on which there was no call for 4 s."""

    def __init__(self, address, record, idle_close=4.0):
        self.address, self.record, self.idle_close = address, record, idle_close
        self.lock = threading.RLock()
        self.lines = []
        self.calls = {}  # id: what happened to it
        self.count = 0
        self.stopped = False
        threading.Thread(target=self._close_idle, daemon=True).start()

    def new_id(self):
        self.count += 1
        return f"{int.from_bytes(os.urandom(5)):010x}{self.count:06x}"

    def _close_idle(self):
        while not self.stopped:
            time.sleep(0.05)
            with self.lock:
                for line in list(self.lines):
                    if not line.open and time.time() - line.used_at > self.idle_close:
                        self.record("caller", f"closes {line.port}: no call on it for {self.idle_close} s")
                        self.lines.remove(line)
                        line.close()

    def line(self, fresh=False, timeout=5.0):
        with self.lock:
            if not fresh:
                for line in self.lines:
                    if line.alive:
                        return line
            line = Line(self, timeout)
            self.lines.append(line)
            return line

    def set_up(self, dest, left=1500, traffic_type="voice", width=1, line=None):
        with self.lock:
            id = self.new_id()
            line = line or self.line()
            line.open.add(id)
            line.used_at = time.time()
            self.calls[id] = {
                "id": id,
                "dest": dest,
                "left": left / 1000,
                "sent": time.time(),
                "answers": [],
                "releases": [],
                "closed": False,
                "given_up": False,
            }
            try:
                line.send(
                    {
                        "type": "setup",
                        "id": id,
                        "fields": {
                            "class": traffic_type,
                            "left": str(left),
                            "key": id[:8],
                            "extras": f"dest:{dest};width:{width};via:-1",
                        },
                        "sdp": f"{id}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n",
                    }
                )
            except OSError:  # the proxy has closed the connection
                self.calls[id]["closed"] = True
            self.calls[id]["sent"] = time.time()  # a set-up's time runs from its last byte
            return id

    def announce(self, id, switch):
        with self.lock:
            self.line().send(
                {
                    "type": "setup",
                    "id": id,
                    "fields": {
                        "class": "voice",
                        "left": "1500",
                        "key": id[:8],
                        "extras": f"dest:{self.calls[id]['dest']};width:1;via:-1;at:{switch}",
                    },
                    "sdp": f"{id}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n",
                }
            )

    def received(self, line, message):
        arrived = time.time()
        self.record("caller", f"gets on {line.port} {json.dumps(message)}")
        with self.lock:
            line.used_at = time.time()
            call = self.calls.get(message["id"])
            if call is None:
                return
            if message["type"] in ("answer", "release"):
                line.open.discard(message["id"])
                call["answers" if message["type"] == "answer" else "releases"].append((arrived, message))

    def closed(self, line):
        with self.lock:
            self.record("caller", f"connection {line.port} has ended")
            for id in line.open:
                self.calls[id]["closed"] = True
            line.open.clear()
            if line in self.lines:
                self.lines.remove(line)

    def wait(self, condition, seconds):
        until = time.time() + seconds
        while time.time() < until:
            with self.lock:
                if condition():
                    return True
            time.sleep(0.02)
        return False

    def ping(self, seconds=30.0):
        """Whether the proxy has passed a test."""
        until = time.time() + seconds
        while time.time() < until:
            with contextlib.suppress(OSError, ValueError):
                sock = socket.create_connection(self.address, 1.0)
                sock.settimeout(2.0)
                sock.sendall(json.dumps({"type": "ping", "id": self.new_id(), "fields": {}, "cause": 0}).encode() + b"\n")
                line = sock.makefile("rb").readline()
                sock.close()
                if line and json.loads(line).get("cause") == 1:
                    self.record("caller", "the proxy has passed a test")
                    return True
            time.sleep(0.1)
        return False

    def stop(self):
        self.stopped = True
        with self.lock:
            for line in list(self.lines):
                line.close()


def end_with_the_test():
    """In a child: a test that is itself killed leaves no proxy behind."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)  # PR_SET_PDEATHSIG


class Proxy:
    """One proxy, as `run` of the deploy file starts it."""

    def __init__(self, record, folder, bus, address=None, settings=None, sockets=256, name="n0"):
        self.record, self.folder, self.name = record, Path(folder), name
        self.address = address or free_address()
        self.bus, self.settings, self.sockets = bus, settings or SETTINGS, sockets
        self.config = self.folder / f"{name}.json"
        self.log = self.folder / f"{name}.log"
        self.command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.process = None

    def write_config(self):
        self.config.write_text(
            json.dumps(
                {
                    "name": self.name,
                    "listen": text_of(self.address),
                    "seed": os.urandom(8).hex(),
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
                    "bus": text_of(self.bus.address),
                    "known": self.bus.known(),
                    "settings": self.settings,
                }
            )
        )

    def start(self, before_exec=None):
        self.write_config()

        def in_child():
            end_with_the_test()
            if before_exec is not None:
                before_exec()

        environment = os.environ | {
            "LB_CONFIG": str(self.config),
            "LB_LISTEN": text_of(self.address),
            "LB_NAME": self.name,
            "TMPDIR": str(self.folder),
        }
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", self.command],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                start_new_session=True,
                preexec_fn=in_child,
            )
        self.record(self.name, f"started by the deploy file's run, process {self.process.pid}")

    def signal(self, number):
        self.record(self.name, f"gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def wait(self, seconds):
        try:
            code = self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            return None
        self.record(self.name, f"has ended with {code}")
        return code

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def run(test, record_path):
    """Run `test(record, folder, trouble)`; it returns a list of breaches, or None if the case could not run."""
    record = Record(record_path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("test", f"trouble: {'on' if trouble else 'off'}")
    status = 2
    try:
        with tempfile.TemporaryDirectory() as folder:
            try:
                breaches = test(record, folder, trouble)
            finally:
                for log in sorted(Path(folder).glob("*.log")):
                    record("test", f"log of {log.stem}, last lines:")
                    for line in log.read_text(errors="replace").splitlines()[-150:]:
                        record(log.stem, "log: " + line)
        if breaches is None:
            record("test", "the case could not run")
        else:
            for breach in breaches:
                record("test", "BROKEN: " + breach)
            record("test", f"{'the rule was broken' if breaches else 'the rule held'}")
            status = 1 if breaches else 0
    except Exception as error:
        record("test", f"the case could not run: {error!r}")
        import traceback

        traceback.print_exc()
    record.close()
    os._exit(status)
