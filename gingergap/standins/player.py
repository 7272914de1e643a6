"""Plays a scripted day: chooses ports, writes settings, starts a process for each proxy and stand-in, kills and pauses processes
as the day's faults say, and merges the captures.
"""

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
START_DELAY = 2.0  # seconds before the day begins, in addition to those for each process that has to start


class DayFailedError(Exception):
    """The day could not be played; the text is one line."""


def free_ports(count: int) -> list[int]:
    """`count` ports that are free for both TCP and UDP on the loopback address.

    The sockets stay open until all are found, so that no port is returned twice.
    """
    open_sockets, ports = [], []
    try:
        while len(ports) < count:
            stream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            stream.bind((HOST, 0))
            open_sockets.append(stream)
            port = stream.getsockname()[1]
            datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            open_sockets.append(datagrams)
            try:
                datagrams.bind((HOST, port))
            except OSError:
                continue
            ports.append(port)
        return ports
    finally:
        for sock in open_sockets:
            sock.close()


def _parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.partition(":")
    return host, int(port)


def format_settings(name: str, /, **parts: Any) -> str:
    """Settings as an S-expression. A dict value becomes a nested form, a list of dicts several forms.

    Underscores in names become dashes, and a trailing one is dropped (for names that are Python keywords or built-ins).
    """
    return sexpdata.dumps(_to_expression(name, parts))


def _to_expression(name: str, parts: dict[str, Any]) -> list[Any]:
    expression: list[Any] = [sexpdata.Symbol(name)]
    for key, value in parts.items():
        key = key.rstrip("_").replace("_", "-")
        if isinstance(value, dict):
            expression.append(_to_expression(key, value))
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            expression += [_to_expression(key, entry) for entry in value]
        elif isinstance(value, list):
            expression.append([sexpdata.Symbol(key), *value])
        else:
            expression.append([sexpdata.Symbol(key), str(value).lower() if isinstance(value, bool) else value])
    return expression


class DayPlayer:
    """Plays one day, with all its files in one folder."""

    def __init__(self, day: DayForm, path: Path, seed: int, folder: Path, stores: Path | None = None) -> None:
        """`stores` may hold a folder `store-N` for each proxy: the store of an earlier day with which it starts."""
        self.day, self.path, self.seed, self.folder = day, path.resolve(), seed, folder.resolve()
        self.plan, self.stores = DayPlan(day, seed), stores
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.logs: list[Any] = []
        count = day.exchanges
        ports = free_ports(6 * count + 1)
        addresses = [f"{HOST}:{port}" for port in ports]
        self.proxy_addresses, self.caller_addresses = addresses[:count], addresses[count : 2 * count]
        self.exchange_addresses = addresses[2 * count : 4 * count]
        self.list_address = addresses[4 * count]
        self.member_addresses, self.member_listen_addresses = addresses[4 * count + 1 : 5 * count + 1], addresses[5 * count + 1 :]

    def play(self) -> None:
        """Play the day; writes `capture.jsonl` and the callers' files into the folder.

        Raises DayFailedError if a process does not start, does not finish or ends by itself.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        for pattern in ("part-*.jsonl", "callers-*.json", "*.log", "*.sock", "traces/*.trace", "capture.jsonl", "report.json"):
            for old in self.folder.glob(pattern):
                old.unlink()
        SharedCircuits(self.folder / "circuits", self.day.exchanges, create=True).close()
        self.epoch = time.monotonic() + START_DELAY + 0.12 * (3 * self.day.exchanges + 1)
        capture = Capture(self.folder / "part-player.jsonl")
        relay = (
            DatagramRelay(
                [_parse_address(text) for text in self.member_listen_addresses],
                [_parse_address(text) for text in self.member_addresses],
                self._is_split,
                seed=self.seed,
            )
            if self.day.coordination
            else None
        )
        try:
            self._write_notes(capture)
            self._write_settings()
            self._start("list", "standin", "list", "--settings", "list.sexp")
            for number in range(self.day.exchanges):
                self._start(f"exchange-{number}", "standin", "exchange", "--settings", f"exchange-{number}.sexp")
            for number in range(self.day.exchanges):
                self._start(f"edge-{number}", "edge", "run", "--settings", f"edge-{number}.sexp")
                self._start(f"callers-{number}", "standin", "caller", "--settings", f"callers-{number}.sexp")
            self._await_proxies()
            self._apply_process_faults(capture)
            self._finish()
        finally:
            for process in self.processes.values():
                if process.poll() is None:
                    process.kill()  # also ends a paused process
                process.wait()
            for log in self.logs:
                log.close()
            if relay is not None:
                relay.close()
            capture.close()
        self._gather()

    def _is_split(self, source: int, target: int) -> bool:
        """Whether a fault separates the coordination of two proxies now; calls between their exchanges are not affected."""
        now = time.monotonic() - self.epoch
        return any(
            scheduled.fault.kind == "split-proxies"
            and scheduled.is_active(now)
            and (source in scheduled.targets) != (target in scheduled.targets)
            for scheduled in self.plan.scheduled_faults
        )

    def _write_notes(self, capture: Capture) -> None:
        capture.note(
            "rules",
            guard=self.day.release_guard_ms / 1000,
            grace=self.day.drain_grace_ms / 1000,
            multiple=self.day.cold.multiple,
            span=self.day.cold.span_ms / 1000,
        )
        capture.note("list", address=self.list_address)
        for number, address in enumerate(self.proxy_addresses):
            capture.note("proxy", number=number, address=address)

    def _write_settings(self) -> None:
        addresses = {
            "proxy": self.proxy_addresses,
            "exchange": self.exchange_addresses,
            "callers": self.caller_addresses,
            "exchange_list": self.list_address,
        }
        for number in range(self.day.exchanges):
            for part in ("exchange", "callers"):
                self._write_standin_settings(f"{part}-{number}.sexp", number, addresses)
            self._write_edge_settings(number)
        self._write_standin_settings("list.sexp", 0, addresses)

    def _write_standin_settings(self, name: str, number: int, addresses: dict[str, Any]) -> None:
        (self.folder / name).write_text(
            format_settings(
                "standin",
                day=str(self.path),
                number=number,
                seed=self.seed,
                epoch=self.epoch,
                report=str(self.folder),
                places=addresses,
            )
        )

    def _write_edge_settings(self, number: int) -> None:
        day, cold = self.day, self.day.cold
        optional: dict[str, Any] = {}
        if day.store:
            own_store = self.folder / f"store-{number}"
            shutil.rmtree(own_store, ignore_errors=True)
            if self.stores is not None and (self.stores / own_store.name).is_dir():
                shutil.copytree(self.stores / own_store.name, own_store)
            optional["store"] = {"folder": f"store-{number}", "learn_every_ms": 1_000}
        if day.coordination:
            optional["coordination"] = {
                "key": f"the key of a day with seed {self.seed}",
                "period_ms": 300,
                "lease_ms": 1_500,
                "probe_every_ms": 1_000,
                "probe_limit_ms": 6_000,
                "member": [
                    {"name": f"p{other}", "address": address, "listen": self.member_listen_addresses[other]}
                    for other, address in enumerate(self.member_addresses)
                ],
            }
        (self.folder / f"edge-{number}.sexp").write_text(
            format_settings(
                "edge",
                name=f"p{number}",
                listen=self.proxy_addresses[number],
                domain="day.invalid",
                here=number,
                seed=self.seed * 1000 + number,
                exchange_list=self.list_address,
                exchange=[
                    {"number": other, "id": f"x{other}", "address": self.exchange_addresses[2 * other], "prefix": [f"0{other:02d}"]}
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
                **optional,
            )
        )

    def _start(self, name: str, *arguments: str) -> None:
        log = (self.folder / f"{name}.log").open("ab")
        self.logs.append(log)
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", "gingergap", *arguments],
            cwd=self.folder,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
        )

    def _await_proxies(self) -> None:
        """Wait until every proxy has answered OPTIONS. Raises DayFailedError if one has not when the day begins."""
        probe = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        probe.bind((HOST, 0))
        probe.settimeout(0.1)
        own = f"{HOST}:{probe.getsockname()[1]}"
        try:
            for number, address in enumerate(self.proxy_addresses):
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

    def _apply_process_faults(self, capture: Capture) -> None:
        """Kill, restart, pause and resume processes as the day's faults say."""
        actions: list[tuple[float, str, str]] = []
        paused: dict[str, float] = {}
        for scheduled in self.plan.scheduled_faults:
            kind = {"kill-proxy": "edge", "kill-exchange": "exchange", "pause-proxy": "edge"}.get(scheduled.fault.kind)
            if kind is not None:
                is_pause = scheduled.fault.kind == "pause-proxy"
                for number in sorted(scheduled.targets):
                    actions.append((scheduled.fault.at, "pause" if is_pause else "kill", f"{kind}-{number}"))
                    actions.append(
                        (scheduled.fault.at + scheduled.fault.lasts, "wake" if is_pause else "start", f"{kind}-{number}")
                    )
        for at, action, name in sorted(actions):
            time.sleep(max(0.0, self.epoch + at - time.monotonic()))
            kind, _, number = name.partition("-")
            process = self.processes[name]
            if action == "kill" and process.poll() is None:
                process.send_signal(signal.SIGKILL)
                process.wait()
                paused.pop(name, None)
                if kind == "edge":
                    capture.note("killed", address=self.proxy_addresses[int(number)])
                else:
                    for address in self.exchange_addresses[2 * int(number) : 2 * int(number) + 2]:
                        capture.note("stopped", number=int(number), address=address)
            elif action == "pause" and process.poll() is None:
                process.send_signal(signal.SIGSTOP)
                paused[name] = time.monotonic()
            elif action == "wake" and name in paused and process.poll() is None:
                capture.note(
                    "paused", paused.pop(name), address=self.proxy_addresses[int(number)], until=round(time.monotonic(), 5)
                )
                process.send_signal(signal.SIGCONT)
            elif action == "start" and process.poll() is not None:
                arguments = ("edge", "run") if kind == "edge" else ("standin", "exchange")
                self._start(name, *arguments, "--settings", f"{name}.sexp")

    def _finish(self) -> None:
        """Wait until the callers have ended, then drain the proxies; `play` kills the other processes."""
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
        """Merge the captures of all processes into `capture.jsonl`, in time order."""
        lines = []
        for path in sorted(self.folder.glob("part-*.jsonl")):
            for text in path.read_text(encoding="utf-8").splitlines():
                if text.startswith('{"at":') and text.endswith("}"):
                    at = text[6 : text.index(",")]
                    lines.append((float(at), len(lines), text))
        lines.sort()
        with (self.folder / "capture.jsonl").open("w", encoding="utf-8") as file:
            file.writelines(text + "\n" for _, _, text in lines)
