"""Plays a scripted day: works out ports and settings, starts a process for each part, kills by script, gathers."""

import os
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import sexpdata

from ..settings.day import DayForm
from .capture import Capture
from .datagram_relay import DatagramRelay
from .day_plan import DayPlan
from .shared_circuits import SharedCircuits

HOST = "127.0.0.1"
LEAD = 2.0  # seconds until the day begins, and more for each process that has to come up


class DayFailedError(Exception):
    """The day could not be played; one plain line."""


def free_ports(count: int) -> list[int]:
    """Ports that both transports have free now. The sockets are held until all are found."""
    held, ports = [], []
    try:
        while len(ports) < count:
            stream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            stream.bind((HOST, 0))
            held.append(stream)
            port = stream.getsockname()[1]
            datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            held.append(datagrams)
            try:
                datagrams.bind((HOST, port))
            except OSError:
                continue
            ports.append(port)
        return ports
    finally:
        for sock in held:
            sock.close()


def _pair(text: str) -> tuple[str, int]:
    host, _, port = text.partition(":")
    return host, int(port)


def format_settings(name: str, /, **parts: Any) -> str:
    """An S-expression settings text. A dict value is a form within, a list of them several."""
    return sexpdata.dumps(_sexp(name, parts))


def _sexp(name: str, parts: dict[str, Any]) -> list[Any]:
    whole: list[Any] = [sexpdata.Symbol(name)]
    for key, value in parts.items():
        key = key.rstrip("_").replace("_", "-")
        if isinstance(value, dict):
            whole.append(_sexp(key, value))
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            whole += [_sexp(key, entry) for entry in value]
        elif isinstance(value, list):
            whole.append([sexpdata.Symbol(key), *value])
        else:
            whole.append([sexpdata.Symbol(key), str(value).lower() if isinstance(value, bool) else value])
    return whole


class DayPlayer:
    """One day in one folder."""

    def __init__(self, day: DayForm, path: Path, seed: int, folder: Path, stores: Path | None = None) -> None:
        """`stores` holds a folder `store-N` for each proxy that shall begin with what another day left."""
        self.day, self.path, self.seed, self.folder = day, path.resolve(), seed, folder.resolve()
        self.plan, self.stores = DayPlan(day, seed), stores
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.logs: list[Any] = []
        count = day.exchanges
        ports = free_ports(6 * count + 1)
        at = [f"{HOST}:{port}" for port in ports]
        self.proxies, self.callers = at[:count], at[count : 2 * count]
        self.exchanges = at[2 * count : 4 * count]
        self.list_at = at[4 * count]
        self.members, self.members_at = at[4 * count + 1 : 5 * count + 1], at[5 * count + 1 :]

    def play(self) -> None:
        """Run the day through; leaves `capture.jsonl` and the callers' files in the folder."""
        self.folder.mkdir(parents=True, exist_ok=True)
        for pattern in ("part-*.jsonl", "callers-*.json", "*.log", "*.sock", "traces/*.trace", "capture.jsonl", "report.json"):
            for old in self.folder.glob(pattern):
                old.unlink()
        SharedCircuits(self.folder / "circuits", self.day.exchanges, create=True).close()
        self.epoch = time.monotonic() + LEAD + 0.12 * (3 * self.day.exchanges + 1)
        capture = Capture(self.folder / "part-player.jsonl")
        relay = (
            DatagramRelay(
                [_pair(text) for text in self.members_at], [_pair(text) for text in self.members], self._split, seed=self.seed
            )
            if self.day.coordination
            else None
        )
        try:
            self._notes(capture)
            self._write_settings()
            self._start("list", "standin", "list", "--settings", "list.sexp")
            for number in range(self.day.exchanges):
                self._start(f"exchange-{number}", "standin", "exchange", "--settings", f"exchange-{number}.sexp")
            for number in range(self.day.exchanges):
                self._start(f"edge-{number}", "edge", "run", "--settings", f"edge-{number}.sexp")
                self._start(f"callers-{number}", "standin", "caller", "--settings", f"callers-{number}.sexp")
            self._await_edges()
            self._strike(capture)
            self._finish()
        finally:
            for process in self.processes.values():
                if process.poll() is None:
                    process.kill()  # also one that is stopped
                process.wait()
            for log in self.logs:
                log.close()
            if relay is not None:
                relay.close()
            capture.close()
        self._gather()

    def _split(self, source: int, target: int) -> bool:
        """Whether a fault parts two proxies now; calls between their exchanges are not touched."""
        now = time.monotonic() - self.epoch
        return any(
            strike.fault.kind == "split-proxies"
            and strike.is_active(now)
            and (source in strike.targets) != (target in strike.targets)
            for strike in self.plan.scheduled_faults
        )

    def _notes(self, capture: Capture) -> None:
        capture.note(
            "rules",
            guard=self.day.release_guard_ms / 1000,
            grace=self.day.drain_grace_ms / 1000,
            multiple=self.day.cold.multiple,
            span=self.day.cold.span_ms / 1000,
        )
        capture.note("list", address=self.list_at)
        for number, address in enumerate(self.proxies):
            capture.note("proxy", number=number, address=address)

    def _write_settings(self) -> None:
        places = {"proxy": self.proxies, "exchange": self.exchanges, "callers": self.callers, "exchange_list": self.list_at}
        for number in range(self.day.exchanges):
            for part in ("exchange", "callers"):
                self._standin(f"{part}-{number}.sexp", number, places)
            self._edge(number)
        self._standin("list.sexp", 0, places)

    def _standin(self, name: str, number: int, places: dict[str, Any]) -> None:
        (self.folder / name).write_text(
            format_settings(
                "standin",
                day=str(self.path),
                number=number,
                seed=self.seed,
                epoch=self.epoch,
                report=str(self.folder),
                places=places,
            )
        )

    def _edge(self, number: int) -> None:
        day, cold = self.day, self.day.cold
        more: dict[str, Any] = {}
        if day.store:
            own = self.folder / f"store-{number}"
            shutil.rmtree(own, ignore_errors=True)
            if self.stores is not None and (self.stores / own.name).is_dir():
                shutil.copytree(self.stores / own.name, own)
            more["store"] = {"folder": f"store-{number}", "learn_every_ms": 1_000}
        if day.coordination:
            more["coordination"] = {
                "key": f"the key of a day with seed {self.seed}",
                "period_ms": 300,
                "lease_ms": 1_500,
                "probe_every_ms": 1_000,
                "probe_limit_ms": 6_000,
                "member": [
                    {"name": f"p{other}", "address": address, "listen": self.members_at[other]}
                    for other, address in enumerate(self.members)
                ],
            }
        (self.folder / f"edge-{number}.sexp").write_text(
            format_settings(
                "edge",
                name=f"p{number}",
                listen=self.proxies[number],
                domain="day.invalid",
                here=number,
                seed=self.seed * 1000 + number,
                exchange_list=self.list_at,
                exchange=[
                    {"number": other, "id": f"x{other}", "address": self.exchanges[2 * other], "prefix": [f"0{other:02d}"]}
                    for other in range(day.exchanges)
                ],
                traffic_type=[entry.model_dump(exclude={"share", "hold_s", "patience_s"}) for entry in day.traffic_type],
                release_guard_ms=day.release_guard_ms,
                most_legs=day.most_legs,
                longest_hold_off_ms=day.longest_hold_off_ms,
                tell_peers=day.tell_peers,
                cold=cold.model_dump(),
                bounds=day.bounds.model_dump(),
                drain_limit_s=5,
                log_level="info",
                control=f"edge-{number}.sock",
                trace={"folder": "traces"},
                **more,
            )
        )

    def _start(self, name: str, *words: str) -> None:
        log = (self.folder / f"{name}.log").open("ab")
        self.logs.append(log)
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", "gingergap", *words],
            cwd=self.folder,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
        )

    def _await_edges(self) -> None:
        """Every proxy answers OPTIONS before the day begins."""
        probe = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        probe.bind((HOST, 0))
        probe.settimeout(0.1)
        own = f"{HOST}:{probe.getsockname()[1]}"
        try:
            for number, address in enumerate(self.proxies):
                host, _, port = address.partition(":")
                while True:
                    text = (
                        f"OPTIONS sip:{address} SIP/2.0\r\nVia: SIP/2.0/UDP {own};branch=z9hG4bK"
                        f"{secrets.token_hex(8)}\r\nFrom: <sip:{own}>;tag=p\r\nTo: <sip:{address}>\r\n"
                        f"Call-ID: {secrets.token_hex(8)}\r\nCSeq: 1 OPTIONS\r\nMax-Forwards: 1\r\n\r\n"
                    )
                    probe.sendto(text.encode(), (host, int(port)))
                    try:
                        probe.recvfrom(65_536)
                        break
                    except OSError:
                        pass
                    if time.monotonic() > self.epoch or self.processes[f"edge-{number}"].poll() is not None:
                        raise DayFailedError(f"the proxy of exchange {number} did not come up; see edge-{number}.log")
        finally:
            probe.close()

    def _strike(self, capture: Capture) -> None:
        """Kill and restart by script, until the day is over."""
        acts: list[tuple[float, str, str]] = []
        paused: dict[str, float] = {}
        for strike in self.plan.scheduled_faults:
            kind = {"kill-proxy": "edge", "kill-exchange": "exchange", "pause-proxy": "edge"}.get(strike.fault.kind)
            if kind is not None:
                pauses = strike.fault.kind == "pause-proxy"
                for number in sorted(strike.targets):
                    acts.append((strike.fault.at, "pause" if pauses else "kill", f"{kind}-{number}"))
                    acts.append((strike.fault.at + strike.fault.lasts, "wake" if pauses else "start", f"{kind}-{number}"))
        for at, act, name in sorted(acts):
            time.sleep(max(0.0, self.epoch + at - time.monotonic()))
            kind, _, number = name.partition("-")
            process = self.processes[name]
            if act == "kill" and process.poll() is None:
                process.send_signal(signal.SIGKILL)
                process.wait()
                paused.pop(name, None)
                if kind == "edge":
                    capture.note("killed", address=self.proxies[int(number)])
                else:
                    for address in self.exchanges[2 * int(number) : 2 * int(number) + 2]:
                        capture.note("stopped", number=int(number), address=address)
            elif act == "pause" and process.poll() is None:
                process.send_signal(signal.SIGSTOP)
                paused[name] = time.monotonic()
            elif act == "wake" and name in paused and process.poll() is None:
                capture.note("paused", paused.pop(name), address=self.proxies[int(number)], until=round(time.monotonic(), 5))
                process.send_signal(signal.SIGCONT)
            elif act == "start" and process.poll() is not None:
                words = ("edge", "run") if kind == "edge" else ("standin", "exchange")
                self._start(name, *words, "--settings", f"{name}.sexp")

    def _finish(self) -> None:
        """Callers end by themselves; then the proxies drain and the rest is stopped."""
        longest = max(entry.patience_s for entry in self.day.traffic_type)
        limit = self.epoch + self.day.seconds + longest + 15
        for number in range(self.day.exchanges):
            try:
                code = self.processes[f"callers-{number}"].wait(max(0.1, limit - time.monotonic()))
            except subprocess.TimeoutExpired:
                raise DayFailedError(f"the callers of exchange {number} did not finish") from None
            if code:
                raise DayFailedError(f"the callers of exchange {number} ended with {code}; see callers-{number}.log")
        edges = [name for name in self.processes if name.startswith("edge-")]
        for name in edges:
            if self.processes[name].poll() is not None:
                raise DayFailedError(f"{name} ended by itself with {self.processes[name].returncode}; see {name}.log")
            self.processes[name].send_signal(signal.SIGTERM)
        for name in edges:
            code = self.processes[name].wait(20)
            if code:
                raise DayFailedError(f"{name} drained with exit code {code}; see {name}.log")

    def _gather(self) -> None:
        """All parts in one file in time order."""
        lines = []
        for path in sorted(self.folder.glob("part-*.jsonl")):
            for text in path.read_text(encoding="utf-8").splitlines():
                if text.startswith('{"at":') and text.endswith("}"):
                    at = text[6 : text.index(",")]
                    lines.append((float(at), len(lines), text))
        lines.sort()
        with (self.folder / "capture.jsonl").open("w", encoding="utf-8") as file:
            file.writelines(text + "\n" for _, _, text in lines)
