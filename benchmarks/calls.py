"""Speed and memory of one edge process, as ratios to a plain relay of the same messages in the same run.

Three processes beside the one that is measured: a caller and an exchange that are as cheap as can be (bytes cut and
joined, no SIP stack), so that what is measured is the edge. Everything goes over UDP on loopback. Figures are of
this machine and this run; only ratios are worth comparing.

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
HEADS = re.compile(rb"\r\n(?:Via|From|To|Call-ID|CSeq|Record-Route):[^\r]*")


def datagrams(port=0):
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 << 20)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8 << 20)
    sock.bind((HOST, port))
    return sock


def exchange(port, far):
    """Answers everything at once to where it came from; tells a proxy that subscribes of endless circuits."""
    sock = datagrams(port)
    contact = b"\r\nContact: <sip:x@127.0.0.1:%d>\r\nContent-Type: application/sdp\r\nContent-Length: %d\r\n\r\n" % (
        port,
        len(BODY),
    )
    while True:
        data, peer = sock.recvfrom(65_536)
        if data.startswith(b"ACK") or data.startswith(b"SIP"):
            continue
        kept = b"".join(HEADS.findall(data))
        if data.startswith(b"SUBSCRIBE"):
            heads = dict(part.strip().split(b": ", 1) for part in HEADS.findall(data))
            kept = re.sub(rb"(\r\nTo:[^\r]*)", rb"\1;tag=s", kept, count=1)
            sock.sendto(b"SIP/2.0 200 OK" + kept + b"\r\nExpires: 3600\r\nContent-Length: 0\r\n\r\n", peer)
            body = json.dumps(
                {
                    "version": 1,
                    "state": "full",
                    "epoch": "e",
                    "groups": [{"number": number, "free": 1 << 20, "size": 1 << 20} for number in range(1, far + 1)],
                }
            ).encode()
            sock.sendto(
                b"NOTIFY sip:p SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:%d;branch=z9hG4bKn\r\nFrom: %s;tag=s\r\nTo: %s\r\n"
                b"Call-ID: %s\r\nCSeq: 1 NOTIFY\r\nEvent: trunk-groups\r\nSubscription-State: active\r\n"
                b"Content-Length: %d\r\n\r\n%s" % (port, heads[b"To"], heads[b"From"], heads[b"Call-ID"], len(body), body),
                peer,
            )
        elif data.startswith(b"INVITE"):
            kept = re.sub(rb"(\r\nTo:[^\r]*)", rb"\1;tag=x", kept, count=1)
            sock.sendto(b"SIP/2.0 200 OK" + kept + contact + BODY, peer)
        else:
            sock.sendto(b"SIP/2.0 200 OK" + kept + b"\r\nContent-Length: 0\r\n\r\n", peer)


def relay(port, target):
    """The baseline: gevent, one socket, each datagram received, split into lines and sent on."""
    from gevent import socket as blocking

    sock = blocking.socket(blocking.AF_INET, blocking.SOCK_DGRAM)
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


class Caller:
    """Whole calls from INVITE to BYE against `target`: as many at once as `window`, or `rate` a second."""

    def __init__(self, target, far):
        self.sock = datagrams()
        self.sock.setblocking(False)
        self.port = self.sock.getsockname()[1]
        self.target, self.far = target, far
        self.serial = 0
        self.run_id = os.urandom(4).hex().encode()
        self.began = {}
        self.took = []
        self.done = self.failed = 0

    def invite(self):
        self.serial += 1
        call = b"%s%x" % (self.run_id, self.serial)
        number = b"0%02d555%06d" % (self.serial % self.far + 1, self.serial % 1_000_000)
        data = (
            b"INVITE sip:%s@127.0.0.1 SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:%d;branch=z9hG4bK%s\r\nMax-Forwards: 70\r\n"
            b"From: <sip:c@127.0.0.1>;tag=c\r\nTo: <sip:%s@127.0.0.1>\r\nCall-ID: %s\r\nCSeq: 1 INVITE\r\n"
            b"Contact: <sip:c@127.0.0.1:%d>\r\nExpires: 30\r\nContent-Type: application/sdp\r\nContent-Length: %d\r\n\r\n%s"
            % (number, self.port, call, number, call, self.port, len(BODY), BODY)
        )
        self.began[call] = time.perf_counter()
        self.sock.sendto(data, self.target)

    def take(self, release=True):
        """Read what has come; how many calls ended."""
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
                started = self.began.pop(call, None)
                if started is None:
                    continue
                self.took.append(time.perf_counter() - started)
                if status != b"200":
                    self.failed += 1
                    ended += 1
                    continue
                self.within(b"ACK", 1, call, data)
                if release:
                    self.within(b"BYE", 2, call, data)
                else:
                    ended += 1
            else:
                self.done += 1
                ended += 1

    def within(self, method, number, call, answer):
        to = re.search(rb"\r\nTo: ([^\r]*)", answer)[1]
        contact = re.search(rb"\r\nContact: <([^>]*)", answer)[1]
        routes = b"".join(b"Route: %s\r\n" % route for route in re.findall(rb"\r\nRecord-Route: ([^\r]*)", answer)[::-1])
        self.sock.sendto(
            b"%s %s SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:%d;branch=z9hG4bK%s%s\r\n%sMax-Forwards: 70\r\n"
            b"From: <sip:c@127.0.0.1>;tag=c\r\nTo: %s\r\nCall-ID: %s\r\nCSeq: %d %s\r\nContent-Length: 0\r\n\r\n"
            % (method, contact, self.port, method, call, routes, to, call, number, method),
            self.target,
        )

    def closed(self, window, seconds, most=None, release=True):
        """Calls a second with `window` at once."""
        start = time.perf_counter()
        for _ in range(window):
            self.invite()
        out, ended = window, 0
        last = start
        while time.perf_counter() - start < seconds and (most is None or ended < most):
            select.select([self.sock], [], [], 0.2)
            now = self.take(release)
            if now:
                last = time.perf_counter()
            ended += now
            out -= now
            while out < window and (most is None or self.serial < most):
                self.invite()
                out += 1
            if time.perf_counter() - last > 2:
                break
        if self.failed:
            raise SystemExit(f"{self.failed} of {self.serial} calls failed: no figure is worth giving")
        return ended / (last - start)

    def paced(self, rate, seconds):
        """Set-up times in ms of calls that start by the clock, whatever came of those before."""
        self.took.clear()
        start = time.perf_counter()
        sent = 0
        while (now := time.perf_counter() - start) < seconds:
            while sent < now * rate:
                self.invite()
                sent += 1
            select.select([self.sock], [], [], 0.0005)
            self.take()
        until = time.perf_counter() + 0.5
        while time.perf_counter() < until:
            select.select([self.sock], [], [], 0.05)
            self.take()
        took = sorted(self.took)
        return {"p50": took[len(took) // 2] * 1000, "p99": took[int(len(took) * 0.99)] * 1000, "calls": len(took)}


def start(target, *args):
    process = multiprocessing.Process(target=target, args=args, daemon=True)
    process.start()
    return process


def await_answer(port):
    probe = datagrams()
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


def edge(folder, port, exchange_port, far, profile=None, t1=500, name="bench", **more):
    path = folder / f"{name}-{far}.sexp"
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
                for number in range(far + 1)
            ],
            traffic_type=[{"name": "voice", "setup_objective_ms": 1500, "no_answer_time_ms": 9000}],
            bounds={"dialogs": 100_000, "transactions": 5_000_000},
            **more,
        )
    )
    words = [sys.executable]
    if profile:
        words += ["-m", "cProfile", "-o", profile]
    process = subprocess.Popen([*words, "-m", "gingergap", "edge", "run", "--settings", str(path)])
    await_answer(port)
    time.sleep(0.2)
    return process


def stop(process):
    process.terminate()
    process.wait(30)


def memory(folder, exchange_port, result):
    """What a standing dialog takes once its transactions are over, and whether finished ones leave anything."""
    (port,) = free_ports(1)
    process = edge(folder, port, exchange_port, 4, t1=20)
    seen = psutil.Process(process.pid)
    warm = Caller((HOST, port), 4)
    warm.closed(64, 60, 2_000)
    time.sleep(4)
    base = seen.memory_info().rss
    many = 5_000
    Caller((HOST, port), 4).closed(64, 60, many, release=False)
    time.sleep(4)
    result["standing_dialog_kb"] = round((seen.memory_info().rss - base) / many / 1024, 2)
    stop(process)
    (port,) = free_ports(1)
    process = edge(folder, port, exchange_port, 4, t1=20)
    seen = psutil.Process(process.pid)
    sizes = []
    for _ in range(5):
        Caller((HOST, port), 4).closed(64, 120, 20_000)
        time.sleep(4)
        sizes.append(round(seen.memory_info().rss / 2**20, 1))
    result["rss_mb_after_each_20000_calls"] = sizes
    stop(process)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seconds", type=float, default=4)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--memory", action="store_true", help="also measure memory (some minutes)")
    parser.add_argument("--profile", help="write a cProfile of the edge there and do nothing else")
    options = parser.parse_args()
    resource.setrlimit(resource.RLIMIT_NOFILE, (4096, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
    exchange_port, relay_port = free_ports(2)
    result = {"cores": psutil.cpu_count(), "python": sys.version.split()[0]}
    with tempfile.TemporaryDirectory() as folder:
        folder = Path(folder)
        start(exchange, exchange_port, 60)
        await_answer(exchange_port)
        if options.profile:
            (port,) = free_ports(1)
            process = edge(folder, port, exchange_port, 4, options.profile)
            print(Caller((HOST, port), 4).closed(64, options.seconds))
            stop(process)
            return
        start(relay, relay_port, (HOST, exchange_port))
        time.sleep(0.5)
        rounds = {"relay": [], "edge 4": [], "edge 60": []}
        for _ in range(options.rounds):  # taken in turn, so that a noisy spell touches all alike
            rounds["relay"].append(Caller((HOST, relay_port), 4).closed(64, options.seconds))
            for far in (4, 60):
                (port,) = free_ports(1)
                process = edge(folder, port, exchange_port, far)
                rounds[f"edge {far}"].append(Caller((HOST, port), far).closed(64, options.seconds))
                stop(process)
        for name, rates in rounds.items():
            result[f"{name} calls/s"] = {
                "min": round(min(rates)),
                "median": round(statistics.median(rates)),
                "max": round(max(rates)),
            }
        carried = statistics.median(rounds["edge 4"])
        result["edge to relay"] = round(carried / statistics.median(rounds["relay"]), 3)
        result["60 far ends to 4"] = round(statistics.median(rounds["edge 60"]) / carried, 3)
        (port,) = free_ports(1)
        process = edge(folder, port, exchange_port, 4)
        half = carried / 2
        direct = Caller((HOST, relay_port), 4).paced(half, options.seconds)
        through = Caller((HOST, port), 4).paced(half, options.seconds)
        stop(process)
        result["added delay ms at half"] = {part: round(through[part] - direct[part], 2) for part in ("p50", "p99")}
        if options.memory:
            memory(folder, exchange_port, result)
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
