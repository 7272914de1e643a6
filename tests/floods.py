"""Clients that load one service process at full speed or by their number, and what it costs the others.

By hand: `.venv/bin/python tests/floods.py [SECONDS [SHARE [KIND ...]]]` prints, for each kind, the process's memory, and the worst
and the median answer of a caller that sets a call up every 50 ms. Flooding clients run in a process of their own. SHARE: the
process gets one part in that many of a core, beside busy processes.
"""

import contextlib
import itertools
import json
import multiprocessing
import os
import resource
import select
import socket
import statistics
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import NamedTuple

import test_service_process as scripted

SET_UP_INTERVAL = 0.05  # seconds between two set-ups of the measured caller
SET_UP_TIME = 2.0  # seconds that the measured caller waits for an answer
SETTLE_TIME = 1.0  # seconds after the flood
CHUNK_LINES = 200  # written at once by a flooding client
CROWD = 400  # clients
SOCKETS = 256  # descriptors of the process; half of them are for callers
CIRCUITS = 20_000  # of a switch: none is refused for want of one
RECONNECT_TIME = 0.02  # seconds
LONG_DESCRIPTION = "a=" + "x" * 15_000 + "\r\n"


class Measured(NamedTuple):
    """What one flood cost. Times in milliseconds, memory in MB; `lost`: set-ups of the measured caller without an answer."""

    kind: str
    sent: int
    answered: int
    worst: float
    median: float
    refused: int
    lost: int
    memory_before: float
    memory: float
    memory_after: float

    def __str__(self) -> str:
        return (
            f"{self.kind:<22} sent {self.sent:>8}  answered {self.answered:>4} refused {self.refused:>3} lost {self.lost:>3}  "
            f"worst {self.worst:>7.1f} ms median {self.median:>6.1f} ms  memory {self.memory_before:.0f} -> {self.memory:.0f} MB, "
            f"after {self.memory_after:.0f} MB"
        )


# --- lines ---


def _line(type: str, id: str, **more: object) -> bytes:
    return json.dumps({"type": type, "id": id, "fields": {}, **more}).encode() + b"\n"


def _set_up(id: str, destination: int = 2, sdp: str = scripted.SDP, **fields: str) -> bytes:
    fields = {"class": "voice", "left": "1500", "key": "7f", "extras": f"dest:{destination};width:1;via:-1", **fields}
    return _line("setup", id, sdp=sdp, fields=fields)


def _named(id: str, switch: str) -> bytes:
    return _set_up(id, extras=f"dest:1;width:1;via:-1;at:{switch}")


def _many_fields(id: str) -> bytes:
    return _line("setup", id, fields={f"{index:x}": 1 for index in range(1200)})


LINES: dict[str, Callable[[str], bytes]] = {
    "set-ups": _set_up,
    "long set-ups": lambda id: _set_up(id, sdp=LONG_DESCRIPTION),
    "withdrawn": lambda id: _set_up(id) + _line("release", id, cause=16),
    "withdrawn, long": lambda id: _set_up(id, sdp=LONG_DESCRIPTION) + _line("release", id, cause=16),
    "unsound": lambda id: _set_up(id, left="-5"),
    "unsound class": lambda id: _set_up(id, **{"class": f"x{id}"}),
    "named, running": lambda id: _named(id, "s2"),
    "named, unlisted": lambda id: _named(id, f"s-{id}"),
    "releases": lambda id: _line("release", id, cause=16),
    "pings": lambda id: _line("ping", id, cause=0),
    "many fields": _many_fields,
    "blank lines": lambda id: b"\n" * 100,
}


# --- clients ---


def _ids() -> Iterator[str]:
    return (f"{index:016x}" for index in itertools.count(os.getpid() << 32))


def flood(address: tuple[str, int], kind: str, seconds: float, sent: "multiprocessing.Value", reads: bool) -> None:
    """Write lines of a kind at full speed on one connection, and another when it ends; read what comes back if `reads`."""
    until, ids = time.monotonic() + seconds, _ids()
    while time.monotonic() < until:
        with contextlib.suppress(OSError), socket.create_connection(address, 5) as sock:
            sock.setblocking(False)
            pending = b""
            while time.monotonic() < until:
                if not pending:
                    lines = [LINES[kind](next(ids)) for _ in range(CHUNK_LINES)]
                    pending, sent.value = b"".join(lines), sent.value + CHUNK_LINES
                readable, writable, _ = select.select([sock] if reads else [], [sock], [], 0.1)
                if readable and not sock.recv(1 << 18):
                    break
                if writable:
                    pending = pending[sock.send(pending) :]
        time.sleep(RECONNECT_TIME)


def flood_with_new_connections(address: tuple[str, int], seconds: float, sent: "multiprocessing.Value") -> None:
    """Send a line that is not valid, with new text, on ever new connections."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        with contextlib.suppress(OSError), socket.create_connection(address, 5) as sock:
            sock.sendall(b'{"type":"setup","id":"%d","x":\xff\n' % sent.value)
            sent.value += 1
            sock.recv(100)


def crowd(address: tuple[str, int], behaviour: str, seconds: float, sent: "multiprocessing.Value") -> None:
    """Hundreds of clients at once: `slow` write a large line byte by byte, `stopped` write most of one and stop, `fields` write
    set-ups of many short fields, `unread` write pings and read nothing. Each that is closed connects again."""
    whole = {"slow": _set_up("c" * 16, sdp=LONG_DESCRIPTION), "stopped": _set_up("c" * 16, sdp=LONG_DESCRIPTION)}
    ids, until = _ids(), time.monotonic() + seconds
    clients: dict[socket.socket, int] = {}  # bytes written
    while time.monotonic() < until:
        while len(clients) < CROWD:
            with contextlib.suppress(OSError):
                sock = socket.create_connection(address, 5)
                sock.setblocking(False)
                clients[sock] = 0
                sent.value += 1
                continue
            break
        for sock, written in list(clients.items()):
            try:
                if behaviour == "fields":
                    sock.send(_many_fields(next(ids)))
                elif behaviour == "unread":
                    sock.send(_line("ping", next(ids), cause=0) * 100)
                    continue
                elif behaviour == "slow":
                    clients[sock] += sock.send(whole["slow"][written : written + 64])
                elif not written:
                    clients[sock] += sock.send(whole["stopped"][:-10])
                with contextlib.suppress(BlockingIOError):
                    if not sock.recv(1 << 16):
                        raise ConnectionError
            except BlockingIOError:
                continue
            except OSError:
                sock.close()
                del clients[sock]
        time.sleep(RECONNECT_TIME)


CROWDS = ("slow", "stopped", "fields", "unread")
KINDS = [*LINES, "pings, unread", "set-ups, unread", "new connections", *(f"crowd, {behaviour}" for behaviour in CROWDS)]


def start_clients(kind: str, address: tuple[str, int], seconds: float) -> tuple[multiprocessing.Process, "multiprocessing.Value"]:
    sent = multiprocessing.Value("L", 0)
    if kind.startswith("crowd, "):
        target, arguments = crowd, (address, kind.removeprefix("crowd, "), seconds, sent)
    elif kind == "new connections":
        target, arguments = flood_with_new_connections, (address, seconds, sent)
    else:
        target, arguments = flood, (address, kind.removesuffix(", unread"), seconds, sent, not kind.endswith(", unread"))
    process = multiprocessing.Process(target=target, args=arguments, daemon=True)
    process.start()
    return process, sent


# --- the measured caller ---


class MeasuredCaller:
    """Sets a call up every SET_UP_INTERVAL on one connection, as long as that is open, and releases each that is answered."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.ids = (f"{index + (1 << 60):016x}" for index in itertools.count())
        self.sent: dict[str, float] = {}
        self.durations: list[float] = []
        self.refused = 0
        self.connect()

    def connect(self) -> None:
        self.caller = caller = scripted.Caller(self.address)
        threading.Thread(target=self._read, args=(caller,), daemon=True).start()

    def _read(self, caller: scripted.Caller) -> None:
        with contextlib.suppress(OSError, ValueError):
            while (line := caller.next()) is not None:
                sent_at = self.sent.get(line["id"], 0.0)
                if line["type"] == "answer" and sent_at:
                    self.durations.append(time.monotonic() - sent_at)
                    self.sent[line["id"]] = 0.0
                    caller.send("release", line["id"], cause=16)
                elif line["type"] == "release" and sent_at:
                    self.refused += 1
                    self.sent[line["id"]] = 0.0
        if caller is self.caller:
            self.caller = None

    def run(self, seconds: float) -> None:
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            id = next(self.ids)
            with contextlib.suppress(OSError):
                if self.caller is None:
                    self.connect()
                self.sent[id] = time.monotonic()
                self.caller.set_up(id, destination=1, time_left=int(SET_UP_TIME * 1000))
            time.sleep(SET_UP_INTERVAL)

    def lost(self) -> int:
        return sum(1 for sent_at in self.sent.values() if sent_at)


def memory_of(pid: int, field: str = "VmRSS") -> float:
    """MB, of a running process."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.split(f"{field}:")[1].split()[0]) / 1024


def _keep_busy() -> None:
    while True:
        pass


def share_core(pid: int, share: int) -> list[multiprocessing.Process]:
    """Keep a process on one core, beside so many busy ones that it gets one part in `share`."""
    core = max(os.sched_getaffinity(0))
    os.sched_setaffinity(pid, {core})
    busy = [multiprocessing.Process(target=_keep_busy, daemon=True) for _ in range(share - 1)]
    for process in busy:
        process.start()
        os.sched_setaffinity(process.pid, {core})
    return busy


def measure(kind: str, seconds: float, folder: Path, sockets: int = SOCKETS, share: int = 1) -> Measured:
    """Flood a service process with lines, or clients, of a kind."""
    switches = {name: scripted.Switch(circuits=CIRCUITS) for name in ("s1", "s2")}
    service = scripted.Service(folder, sockets=sockets, **switches)
    busy: list[multiprocessing.Process] = []
    try:
        if share > 1:
            busy = share_core(service.process.pid, share)
        caller = MeasuredCaller(service.address)
        caller.run(1.0)
        before = memory_of(service.process.pid)
        host, port = service.address.split(":")
        process, sent = start_clients(kind, (host, int(port)), seconds)
        caller.run(seconds)
        process.join(SETTLE_TIME)
        process.kill()
        time.sleep(SETTLE_TIME + SET_UP_TIME - 1)
        assert service.process.poll() is None, "the process has ended"
        return Measured(
            kind,
            sent.value,
            len(caller.durations),
            1000 * max(caller.durations, default=0.0),
            1000 * statistics.median(caller.durations or [0.0]),
            caller.refused,
            caller.lost(),
            before,
            memory_of(service.process.pid, "VmHWM"),
            memory_of(service.process.pid),
        )
    finally:
        service.close()
        for process in busy:
            process.kill()


def main() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (4096, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 10.0
    share = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    for kind in sys.argv[3:] or KINDS:
        with tempfile.TemporaryDirectory() as folder:
            print(measure(kind, seconds, Path(folder), share=share), flush=True)


if __name__ == "__main__":
    main()
