"""Stand-ins for the cases 6 and up: event bus, switches, callers, and the proxy as the deploy file starts it.

Only the standard library is used. All addresses are loopback addresses, all ports are free ones. Every message that is
sent or received goes to record.txt in the folder of the case, with the seconds since the start of the script.
"""

import asyncio
import contextlib
import json
import os
import secrets
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SDP_TAIL = "c=IN IP4 127.0.0.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
HELD, BROKEN, NO_RUN = 0, 1, 2


def settings(here=0, proxies=3, deadline_us=3_000_000, repeat="safe"):
    """Settings with the names of the simulator's first message and the values of a small deployment."""
    lane = {"Deadline": deadline_us, "DedupScope": "all", "LateShare": 0.1, "Repeat": repeat, "Streaming": True}
    return {
        "Ceilings": {
            "Cancelling": True, "ConnectTimeout": 500_000, "IdleClose": 600_000_000, "MaxRetryAfter": 2_000_000,
            "MostTries": 6, "OpenCap": 20_000, "PeerMessages": False, "Probes": True, "RetryAfter": True,
            "SecondCopies": False,
        },
        "Lanes": [
            {"Name": "part-lookup", "OnTime": 380_000, "Value": 1.0, **lane},
            {"Name": "photo-match", "OnTime": 630_000, "Value": 3.0, **lane},
        ],
        "MembershipMode": "push",
        "MyNumber": here,
        "NInstances": proxies,
        "Report": {"Names": ["idle", "circuits", "reduce", "avg_ms"], "Via": "answers"},
        "Rules": {
            "AnswerSlack": 20_000, "ColdFrom": 0.34, "DrainGrace": 2_000_000, "Fall": 3_000_000, "OverloadFactor": 3.0,
            "WarmAfter": 14_000_000,
        },
        "Specifics": {
            "ClassHold": [3_000_000, 3_000_000], "ClassWidth": [1, 2], "GivesWait": True, "Guard": 200_000, "Here": here,
            "Layout": "network", "PeerLoad": "answers", "PoolsByClass": [], "Repeat": 800_000, "RouteAdvice": False,
        },
    }


class Record:
    """Lines of record.txt."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, who, text):
        self.file.write(f"{self.now():8.3f} {who}: {text}\n")
        self.file.flush()


def sip(first, id, cseq, fields="", body=""):
    return (
        f"{first}\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {id}\r\nCSeq: 1 {cseq}\r\n{fields}Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


def new_id():
    return secrets.token_hex(8)


class Message:
    """A SIP message: first line, header fields by lower-case name, body."""

    def __init__(self, first, fields, body):
        self.first, self.fields, self.body = first, fields, body
        self.method = "" if first.startswith("SIP/") else first.split(" ")[0]
        self.id = fields.get("call-id", "")


async def read_sip(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode().strip().split("\r\n")
    fields = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    return Message(first, fields, body.decode())


def reset(writer):
    """End a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Connection:
    """One connection to a switch."""

    def __init__(self, switch, writer, number):
        self.switch, self.writer, self.number = switch, writer, number
        self.is_open, self.forgotten = True, False
        self.used_at = switch.record.now()  # when something last passed on it

    def send(self, data, quiet=False):
        self.used_at = self.switch.record.now()
        if not quiet:
            self.switch.record(f"{self.switch.uid}/{self.number}", "sends " + data.decode("latin-1").split("\r\n")[0] + " " + _id_in(data))
        with contextlib.suppress(OSError):
            self.writer.write(data)


def _id_in(data):
    text = data.decode("latin-1")
    return text.partition("Call-ID: ")[2].partition("\r\n")[0]


class Switch:
    """A sound switch: it reports its group on each connection, answers each INVITE after `delay` seconds and keeps the call until
    `end_call`, a BYE or the end of its time `hold`. A subclass or `on_invite` changes what a set-up gets."""

    def __init__(self, record, uid, number, *, delay=0.01, hold=None, circuits=40, host=HOST):
        self.record, self.uid, self.number, self.delay, self.hold, self.circuits = record, uid, number, delay, hold, circuits
        self.host = host
        self.connections, self.tasks = [], set()
        self.invites = []  # (seconds, id)
        self.standing = {}  # id: connection of its set-up
        self.open = {}  # id: connection of a set-up without an answer
        self.byes = []  # ids that the proxy released
        self.answers = {}  # id: descriptions sent
        self.unsent_releases = []  # releases that found no open connection, and those to be repeated on the next one
        self.on_invite = None
        self.connection_count = 0

    async def start(self):
        self.server = await asyncio.start_server(self._accepted, self.host, 0, backlog=100)
        self.address = f"{self.host}:{self.server.sockets[0].getsockname()[1]}"
        return self

    def entry(self, state="in_service", boot_ms=0):
        return {
            "uid": self.uid, "endpoint": self.address, "az": "jhb-1", "model": "single-core", "pod_group": self.number,
            "state": state, "capacity_hint": 1, "boot_ms": boot_ms,
        }

    def later(self, seconds, function, *arguments):
        async def run():
            await asyncio.sleep(seconds)
            function(*arguments)

        task = asyncio.ensure_future(run())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def report(self):
        free = self.circuits - len(self.standing) - len(self.open)
        return f"Link-State: idle:{free};circuits:{self.circuits};reduce:0;avg_ms:1\r\n"

    def tell_group(self):
        for connection in [c for c in self.connections if c.is_open and not c.forgotten][:4]:
            connection.send(sip("NOTIFY sip:group@net SIP/2.0", "0" * 16, "NOTIFY", self.report()), quiet=True)

    async def _accepted(self, reader, writer):
        self.connection_count += 1
        connection = Connection(self, writer, self.connection_count)
        self.connections.append(connection)
        self.record(f"{self.uid}/{connection.number}", "connection accepted")
        connection.send(sip("NOTIFY sip:group@net SIP/2.0", "0" * 16, "NOTIFY", self.report()), quiet=True)
        releases, self.unsent_releases = self.unsent_releases, []
        for release in releases:
            connection.send(release)
        try:
            while True:
                message = await read_sip(reader)
                if connection.forgotten:  # the switch has lost its state: what comes is answered with a reset
                    self.record(f"{self.uid}/{connection.number}", f"forgotten: answers with a reset to {message.first} {message.id}")
                    reset(writer)
                    return
                self.handle(connection, message)
        except (asyncio.IncompleteReadError, OSError, ValueError):
            pass
        finally:
            connection.is_open = False
            self.record(f"{self.uid}/{connection.number}", "connection ended")
            for id in [id for id, own in self.open.items() if own is connection]:
                del self.open[id]
            writer.close()

    def handle(self, connection, message):
        connection.used_at = self.record.now()
        self.record(f"{self.uid}/{connection.number}", f"receives {message.first} {message.id}")
        if message.method == "INVITE":
            self.invites.append((self.record.now(), message.id))
            self.open[message.id] = connection
            if self.on_invite is not None:
                self.on_invite(self, connection, message)
            else:
                self.later(self.delay, self.answer, connection, message.id)
        elif message.method == "CANCEL" and self.open.get(message.id) is connection:
            del self.open[message.id]
            connection.send(sip("SIP/2.0 487 Request Terminated", message.id, "INVITE"))
        elif message.method == "BYE":
            self.byes.append(message.id)
            self.standing.pop(message.id, None)
            connection.send(sip("SIP/2.0 200 OK", message.id, "BYE"))
            self.tell_group()
        elif message.method == "OPTIONS":
            connection.send(sip("SIP/2.0 200 OK", message.id, "OPTIONS", self.report()))

    def description(self, id):
        text = f"{secrets.token_hex(8)}\r\n{SDP_TAIL}"
        self.answers.setdefault(id, []).append(text)
        return text

    def stands(self, connection, id):
        """The call stands from now on, for `hold` seconds or until it is ended."""
        self.open.pop(id, None)
        self.standing[id] = connection
        if self.hold is not None:
            self.later(self.hold, self.end_call, id)

    def answer(self, connection, id):
        if self.open.get(id) is not connection:  # given up, or tried again since
            return
        self.stands(connection, id)
        connection.send(sip("SIP/2.0 200 OK", id, "INVITE", self.report(), self.description(id)))
        self.tell_group()

    def end_call(self, id, cause=16):
        """The call comes to its end: its release goes out on the connection of its set-up, else on any open one, and again on the
        next that is opened."""
        connection = self.standing.pop(id, None)
        if connection is None:
            return None
        release = sip(f"BYE sip:{id}@net SIP/2.0", id, "BYE", f"Reason: Q.850;cause={cause}\r\n" + self.report())
        usable = [c for c in [connection, *self.connections] if c.is_open and not c.forgotten]
        if usable:
            usable[0].send(release)
        self.unsent_releases.append(release)
        self.tell_group()
        return self.record.now()

    def forget_resting(self, seconds):
        """Forget the connections on which nothing has passed for so long: no word to the other side."""
        for connection in self.connections:
            if connection.is_open and self.record.now() - connection.used_at >= seconds:
                connection.forgotten = True
                self.record(f"{self.uid}/{connection.number}", "is forgotten by the switch")


class Bus:
    """The event bus: a whole list as event 1, then changes."""

    def __init__(self, record):
        self.record, self.events, self.changed = record, [], asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self._accepted, HOST, 0)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"
        return self

    def tell(self, entries, whole=False):
        number = len(self.events) + 1
        self.events.append({"offset": number, "topology": {"rev": number, "all": whole, "targets": entries}})
        self.record("bus", f"event {number}: " + ", ".join(f"{e['uid']} {e['state']}" for e in entries[:6]))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _accepted(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, OSError, ValueError, IndexError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                query = dict(part.split("=") for part in head.split(" ")[1].partition("?")[2].split("&"))
                after, hold = int(query["from"]), min(5.0, int(query["hold"]) / 1000)
                if len(self.events) <= after:
                    with contextlib.suppress(asyncio.TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), hold)
                batch = self.events[after:]
                body = json.dumps({"offset": len(self.events), "batch": batch}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        writer.close()


class Caller:
    """One connection from a caller. `lines`: all that came, with the seconds; `ended_at`: when the connection ended."""

    MAX_LINE = 16_384

    def __init__(self, record, name):
        self.record, self.name, self.lines, self.ended_at = record, name, [], None
        self.arrived = asyncio.Event()

    async def open(self, address):
        host, port = address.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
        self.task = asyncio.ensure_future(self._read())
        return self

    async def _read(self):
        try:
            while line := await self.reader.readline():
                self.record(self.name, "receives " + line.decode("utf-8", "replace").strip()[:300])
                self.lines.append((self.record.now(), json.loads(line), len(line)))
                self.arrived.set()
                self.arrived = asyncio.Event()
        except (OSError, ValueError) as error:
            self.record(self.name, f"reading failed: {error!r}")
        self.ended_at = self.record.now()
        self.record(self.name, "connection ended")
        self.arrived.set()
        self.arrived = asyncio.Event()

    def send(self, quiet=False, **message):
        if not quiet:
            self.record(self.name, "sends " + json.dumps(message)[:300])
        self.writer.write(json.dumps(message, separators=(",", ":")).encode() + b"\n")

    def set_up(self, dest, *, left=2900, kind="part-lookup", extras="", id=None, quiet=False):
        id = id or new_id()
        self.send(
            quiet, type="setup", id=id,
            fields={"class": kind, "left": str(left), "key": secrets.token_hex(8), "extras": f"dest:{dest};width:1;via:-1{extras}"},
            sdp=f"{secrets.token_hex(8)}\r\n{SDP_TAIL}",
        )
        return id

    def release(self, id, cause=16):
        self.send(type="release", id=id, fields={}, cause=cause)

    def of(self, id, *types):
        return [(at, line) for at, line, _ in self.lines if line.get("id") == id and (not types or line["type"] in types)]

    async def wait_for(self, id, *types, timeout=4.0, count=1):
        """The `count`-th line of the id and types, or None."""
        until = self.record.now() + timeout
        while True:
            found = self.of(id, *types)
            if len(found) >= count:
                return found[count - 1]
            left = until - self.record.now()
            if left <= 0 or self.ended_at is not None:
                return None
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.arrived.wait(), left)

    def close(self):
        self.record(self.name, "closes its connection")
        self.writer.close()


def free_port():
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


class Proxy:
    """The proxy as `run` in the deploy file starts it, from the root of the repository."""

    def __init__(self, record, bus, known, *, name="n0", sockets=256, proxy_settings=None):
        self.record = record
        self.folder = tempfile.TemporaryDirectory()
        self.config = Path(self.folder.name) / "config.json"
        self.address = f"{HOST}:{free_port()}"
        self.sockets = sockets
        self.values = {
            "name": name, "listen": self.address, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets}, "bus": bus, "known": known,
            "settings": proxy_settings or settings(),
        }
        self.config.write_text(json.dumps(self.values))
        self.log = open(Path(self.folder.name) / "log.txt", "w+")

    def start(self):
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", f"ulimit -n {self.sockets}; {run}"], cwd=ROOT, stdout=self.log, stderr=subprocess.STDOUT,
            env=os.environ | {"LB_CONFIG": str(self.config), "LB_LISTEN": self.address, "LB_NAME": "n0", "TMPDIR": self.folder.name},
        )
        self.record("proxy", f"started, listens at {self.address}")
        return self

    async def ready(self, timeout=20.0):
        """Wait until it passes a test, as the front does. Raises RuntimeError."""
        until = self.record.now() + timeout
        while self.record.now() < until and self.process.poll() is None:
            try:
                caller = await Caller(self.record, "front").open(self.address)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            id = new_id()
            caller.send(type="ping", id=id, fields={}, cause=0)
            pong = await caller.wait_for(id, "pong", timeout=3.0)
            caller.close()
            if pong and pong[1].get("cause") == 1:
                return self
            await asyncio.sleep(0.1)
        raise RuntimeError("the proxy was not ready")

    def is_running(self):
        return self.process.poll() is None

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def log_lines(self, word):
        self.log.flush()
        return [line for line in Path(self.log.name).read_text().splitlines() if word in line]

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.record("proxy", f"ended with {self.process.returncode}; its last log lines:")
        for line in Path(self.log.name).read_text(errors="replace").splitlines()[-40:]:
            self.record("log", line[:400])
        self.log.close()
        self.folder.cleanup()


def run_case(folder, case):
    """Run `case(record)`, which returns HELD or BROKEN and a text; exits as the review asks."""
    record = Record(folder)
    record("script", f"TROUBLE={int(TROUBLE)}")

    async def limited():
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await asyncio.wait_for(case(record), 115)

    try:
        verdict, text = asyncio.run(limited())
    except (Exception, asyncio.CancelledError) as error:
        record("script", "could not run: " + traceback.format_exc())
        verdict, text = NO_RUN, f"could not run: {error!r}"
    record("script", f"verdict {verdict}: {text}")
    print(f"{('held', 'BROKEN', 'no run')[verdict]}: {text}", flush=True)
    sys.stdout.flush()
    os._exit(verdict)
