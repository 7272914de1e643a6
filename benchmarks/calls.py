"""Throughput and memory of one edge process, as ratios to a plain relay of the same messages in the same run.

The load generator and the exchange split and join bytes without a SIP stack, so that the edge is the bottleneck. All messages go
over UDP on loopback. Absolute figures depend on the machine; only ratios are comparable.

    python benchmarks/calls.py [--seconds 4] [--far 4] [--memory] [--profile FILE]
"""

import argparse
import json
import multiprocessing
import os
import re
import resource
import select
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import psutil

from gingergap.standins.player import format_settings, free_ports

HOST = "127.0.0.1"
BODY = b"v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\nm=audio 40000 RTP/AVP 8\r\n"
COPIED_FIELDS = re.compile(rb"\r\n(?:Via|From|To|Call-ID|CSeq|Record-Route):[^\r]*")


def udp_socket(port=0):
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 << 20)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8 << 20)
    sock.bind((HOST, port))
    return sock


def exchange(port, exchanges):
    """Answers every request at once to its source address; reports practically unlimited free circuits to subscribers."""
    sock = udp_socket(port)
    contact = b"\r\nContact: <sip:x@127.0.0.1:%d>\r\nContent-Type: application/sdp\r\nContent-Length: %d\r\n\r\n" % (
        port,
        len(BODY),
    )
    while True:
        data, peer = sock.recvfrom(65_536)
        if data.startswith(b"ACK") or data.startswith(b"SIP"):
            continue
        copied = b"".join(COPIED_FIELDS.findall(data))
        if data.startswith(b"SUBSCRIBE"):
            fields = dict(field.strip().split(b": ", 1) for field in COPIED_FIELDS.findall(data))
            copied = re.sub(rb"(\r\nTo:[^\r]*)", rb"\1;tag=s", copied, count=1)
            sock.sendto(b"SIP/2.0 200 OK" + copied + b"\r\nExpires: 3600\r\nContent-Length: 0\r\n\r\n", peer)
            body = json.dumps(
                {
                    "version": 1,
                    "state": "full",
                    "epoch": "e",
                    "groups": [{"number": number, "free": 1 << 20, "size": 1 << 20} for number in range(1, exchanges + 1)],
                }
            ).encode()
            sock.sendto(
                b"NOTIFY sip:p SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:%d;branch=z9hG4bKn\r\nFrom: %s;tag=s\r\nTo: %s\r\n"
                b"Call-ID: %s\r\nCSeq: 1 NOTIFY\r\nEvent: trunk-groups\r\nSubscription-State: active\r\n"
                b"Content-Length: %d\r\n\r\n%s" % (port, fields[b"To"], fields[b"From"], fields[b"Call-ID"], len(body), body),
                peer,
            )
        elif data.startswith(b"INVITE"):
            copied = re.sub(rb"(\r\nTo:[^\r]*)", rb"\1;tag=x", copied, count=1)
            sock.sendto(b"SIP/2.0 200 OK" + copied + contact + BODY, peer)
        else:
            sock.sendto(b"SIP/2.0 200 OK" + copied + b"\r\nContent-Length: 0\r\n\r\n", peer)


def relay(port, target):
    """The baseline: a gevent relay with one socket that splits each datagram into lines and forwards it."""
    from gevent import socket as gevent_socket

    sock = gevent_socket.socket(gevent_socket.AF_INET, gevent_socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 << 20)
    sock.bind((HOST, port))
    caller = None
    while True:
        data, peer = sock.recvfrom(65_536)
        data.split(b"\r\n")
        if peer == target:
            sock.sendto(data, caller)
        else:
            caller = peer
            sock.sendto(data, target)


class LoadGenerator:
    """Places complete calls, from INVITE to BYE, through `target` to so many exchanges. Times in seconds."""

    def __init__(self, target, exchanges):
        self.sock = udp_socket()
        self.sock.setblocking(False)
        self.port = self.sock.getsockname()[1]
        self.target, self.exchanges = target, exchanges
        self.serial = 0
        self.run_id = os.urandom(4).hex().encode()
        self.started_at = {}
        self.setup_times = []
        self.completed = self.failed = 0

    def invite(self):
        self.serial += 1
        call = b"%s%x" % (self.run_id, self.serial)
        number = b"0%02d555%06d" % (self.serial % self.exchanges + 1, self.serial % 1_000_000)
        data = (
            b"INVITE sip:%s@127.0.0.1 SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:%d;branch=z9hG4bK%s\r\nMax-Forwards: 70\r\n"
            b"From: <sip:c@127.0.0.1>;tag=c\r\nTo: <sip:%s@127.0.0.1>\r\nCall-ID: %s\r\nCSeq: 1 INVITE\r\n"
            b"Contact: <sip:c@127.0.0.1:%d>\r\nExpires: 30\r\nContent-Type: application/sdp\r\nContent-Length: %d\r\n\r\n%s"
            % (number, self.port, call, number, call, self.port, len(BODY), BODY)
        )
        self.started_at[call] = time.perf_counter()
        self.sock.sendto(data, self.target)

    def receive(self, release=True):
        """Process all received datagrams; returns how many calls ended."""
        ended = 0
        while True:
            try:
                data, _ = self.sock.recvfrom(65_536)
            except BlockingIOError:
                return ended
            status = data[8:11]
            if status == b"100":
                continue
            call = data[data.index(b"Call-ID: ") + 9 :].split(b"\r\n", 1)[0]
            if b"CSeq: 1 INVITE" in data:
                started = self.started_at.pop(call, None)
                if started is None:
                    continue
                self.setup_times.append(time.perf_counter() - started)
                if status != b"200":
                    self.failed += 1
                    ended += 1
                    continue
                self.send_in_dialog(b"ACK", 1, call, data)
                if release:
                    self.send_in_dialog(b"BYE", 2, call, data)
                else:
                    ended += 1
            else:
                self.completed += 1
                ended += 1

    def send_in_dialog(self, method, number, call, answer):
        to = re.search(rb"\r\nTo: ([^\r]*)", answer)[1]
        contact = re.search(rb"\r\nContact: <([^>]*)", answer)[1]
        routes = b"".join(b"Route: %s\r\n" % route for route in re.findall(rb"\r\nRecord-Route: ([^\r]*)", answer)[::-1])
        self.sock.sendto(
            b"%s %s SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:%d;branch=z9hG4bK%s%s\r\n%sMax-Forwards: 70\r\n"
            b"From: <sip:c@127.0.0.1>;tag=c\r\nTo: %s\r\nCall-ID: %s\r\nCSeq: %d %s\r\nContent-Length: 0\r\n\r\n"
            % (method, contact, self.port, method, call, routes, to, call, number, method),
            self.target,
        )

    def run_window(self, window, seconds, max_calls=None, release=True):
        """Closed loop with `window` calls in flight; returns calls a second. Stops early if no call ends for two seconds."""
        start = time.perf_counter()
        for _ in range(window):
            self.invite()
        in_flight, ended = window, 0
        last_ended_at = start
        while time.perf_counter() - start < seconds and (max_calls is None or ended < max_calls):
            select.select([self.sock], [], [], 0.2)
            just_ended = self.receive(release)
            if just_ended:
                last_ended_at = time.perf_counter()
            ended += just_ended
            in_flight -= just_ended
            while in_flight < window and (max_calls is None or self.serial < max_calls):
                self.invite()
                in_flight += 1
            if time.perf_counter() - last_ended_at > 2:
                break
        if self.failed:
            raise SystemExit(f"{self.failed} of {self.serial} calls failed: the results are not valid")
        return ended / (last_ended_at - start)

    def run_rate(self, rate, seconds):
        """Open loop at `rate` calls a second; returns percentiles of the set-up time in ms and the number of calls."""
        self.setup_times.clear()
        start = time.perf_counter()
        sent = 0
        while (elapsed := time.perf_counter() - start) < seconds:
            while sent < elapsed * rate:
                self.invite()
                sent += 1
            select.select([self.sock], [], [], 0.0005)
            self.receive()
        until = time.perf_counter() + 0.5
        while time.perf_counter() < until:
            select.select([self.sock], [], [], 0.05)
            self.receive()
        times = sorted(self.setup_times)
        return {"p50": times[len(times) // 2] * 1000, "p99": times[int(len(times) * 0.99)] * 1000, "calls": len(times)}


def start(target, *args):
    process = multiprocessing.Process(target=target, args=args, daemon=True)
    process.start()
    return process


def wait_until_answering(port):
    probe = udp_socket()
    probe.settimeout(0.1)
    while True:
        probe.sendto(
            b"OPTIONS sip:p SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:%d;branch=z9hG4bKo\r\nFrom: <sip:a>;tag=1\r\n"
            b"To: <sip:b>\r\nCall-ID: o\r\nCSeq: 1 OPTIONS\r\n\r\n" % probe.getsockname()[1],
            (HOST, port),
        )
        try:
            probe.recv(2000)
            return
        except OSError:
            time.sleep(0.02)


def start_edge(folder, port, exchange_port, exchanges, profile=None, t1=500, name="bench", **settings):
    """Start an edge process with one exchange more than `exchanges`, all at `exchange_port`; returns once it answers."""
    path = folder / f"{name}-{exchanges}.sexp"
    path.write_text(
        format_settings(
            "edge",
            name=name,
            listen=f"{HOST}:{port}",
            here=0,
            tell_peers=False,
            log_level="warning",
            t1_ms=t1,
            drain_limit_s=0.5,
            exchange=[
                {"number": number, "id": f"x{number}", "address": f"{HOST}:{exchange_port}", "prefix": [f"0{number:02d}"]}
                for number in range(exchanges + 1)
            ],
            traffic_type=[{"name": "voice", "setup_objective_ms": 1500, "no_answer_time_ms": 9000}],
            bounds={"dialogs": 100_000, "transactions": 5_000_000},
            **settings,
        )
    )
    command = [sys.executable]
    if profile:
        command += ["-m", "cProfile", "-o", profile]
    process = subprocess.Popen([*command, "-m", "gingergap", "edge", "run", "--settings", str(path)])
    wait_until_answering(port)
    time.sleep(0.2)
    return process


def stop(process):
    process.terminate()
    process.wait(30)


def memory(folder, exchange_port, result):
    """Memory of an established dialog after its transactions have ended, and growth over finished calls."""
    (port,) = free_ports(1)
    process = start_edge(folder, port, exchange_port, 4, t1=20)
    watched = psutil.Process(process.pid)
    warm_up = LoadGenerator((HOST, port), 4)
    warm_up.run_window(64, 60, 2_000)
    time.sleep(4)
    base_rss = watched.memory_info().rss
    dialogs = 5_000
    LoadGenerator((HOST, port), 4).run_window(64, 60, dialogs, release=False)
    time.sleep(4)
    result["standing_dialog_kb"] = round((watched.memory_info().rss - base_rss) / dialogs / 1024, 2)
    stop(process)
    (port,) = free_ports(1)
    process = start_edge(folder, port, exchange_port, 4, t1=20)
    watched = psutil.Process(process.pid)
    sizes = []
    for _ in range(5):
        LoadGenerator((HOST, port), 4).run_window(64, 120, 20_000)
        time.sleep(4)
        sizes.append(round(watched.memory_info().rss / 2**20, 1))
    result["rss_mb_after_each_20000_calls"] = sizes
    stop(process)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seconds", type=float, default=4)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--memory", action="store_true", help="also measure memory (some minutes)")
    parser.add_argument("--profile", help="only write a cProfile of the edge to this file")
    arguments = parser.parse_args()
    resource.setrlimit(resource.RLIMIT_NOFILE, (4096, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
    exchange_port, relay_port = free_ports(2)
    result = {"cores": psutil.cpu_count(), "python": sys.version.split()[0]}
    with tempfile.TemporaryDirectory() as folder:
        folder = Path(folder)
        start(exchange, exchange_port, 60)
        wait_until_answering(exchange_port)
        if arguments.profile:
            (port,) = free_ports(1)
            process = start_edge(folder, port, exchange_port, 4, arguments.profile)
            print(LoadGenerator((HOST, port), 4).run_window(64, arguments.seconds))
            stop(process)
            return
        start(relay, relay_port, (HOST, exchange_port))
        time.sleep(0.5)
        rounds = {"relay": [], "edge 4": [], "edge 60": []}
        for _ in range(arguments.rounds):  # in turn, so that a disturbance of the machine affects all alike
            rounds["relay"].append(LoadGenerator((HOST, relay_port), 4).run_window(64, arguments.seconds))
            for exchanges in (4, 60):
                (port,) = free_ports(1)
                process = start_edge(folder, port, exchange_port, exchanges)
                rounds[f"edge {exchanges}"].append(LoadGenerator((HOST, port), exchanges).run_window(64, arguments.seconds))
                stop(process)
        for name, rates in rounds.items():
            result[f"{name} calls/s"] = {
                "min": round(min(rates)),
                "median": round(statistics.median(rates)),
                "max": round(max(rates)),
            }
        edge_rate = statistics.median(rounds["edge 4"])
        result["edge to relay"] = round(edge_rate / statistics.median(rounds["relay"]), 3)
        result["60 far ends to 4"] = round(statistics.median(rounds["edge 60"]) / edge_rate, 3)
        (port,) = free_ports(1)
        process = start_edge(folder, port, exchange_port, 4)
        rate = edge_rate / 2
        direct = LoadGenerator((HOST, relay_port), 4).run_rate(rate, arguments.seconds)
        through_edge = LoadGenerator((HOST, port), 4).run_rate(rate, arguments.seconds)
        stop(process)
        result["added delay ms at half"] = {
            percentile: round(through_edge[percentile] - direct[percentile], 2) for percentile in ("p50", "p99")
        }
        if arguments.memory:
            memory(folder, exchange_port, result)
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
