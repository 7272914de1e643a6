"""The store: kills under load, reading on start, what it costs the calls.

python benchmarks/store.py kills [--many 500]     # a writer killed outright, each time opened and compared
python benchmarks/store.py start [--callers 1000000]
python benchmarks/store.py cost [--rounds 4] [--seconds 3] [--rate 600]
"""

import argparse
import multiprocessing
import os
import random
import signal
import statistics
import sys
import tempfile
import time
from pathlib import Path

import calls
import psutil
import structlog

from gingergap.call_controller import CallController
from gingergap.edge.serve import build_proxy, clock
from gingergap.settings.edge import EdgeForm
from gingergap.settings.forms import parse
from gingergap.sip.message import parse as parse_sip
from gingergap.sip.transactions import Hop
from gingergap.standins.player import format_settings, free_ports
from gingergap.store.proxy_state import ListedExchange, StateRecorder, restore_state
from gingergap.store.record_store import RecordStore
from gingergap.store.records import (
    ALIVE,
    CALLER,
    STANDING,
    TOKEN,
    CallerRecord,
    Change,
    DialogRecord,
    HeartbeatRecord,
    TokenRecord,
    encode_key,
)


def batch(draw, number):
    """Dialogs that begin to stand or end, and counters."""
    changes = []
    for _ in range(draw.randrange(1, 20)):
        key = encode_key(f"call{draw.randrange(400)}", "ct")
        if draw.random() < 0.4:
            changes.append(Change(STANDING, key, None))
        else:
            changes.append(Change(STANDING, key, DialogRecord(0, 1, number, "x1", 1, float(number), False, f"t{number}")))
    changes.append(Change(TOKEN, "duty", TokenRecord(number)))
    return changes


def applied(state, changes):
    for change in changes:
        if change.body is None:
            state.pop(change.key, None)
        else:
            state[change.key] = change.body


def writer(folder, seed, begin, told):
    """Commits batches until it is killed; tells the number of each once it is acknowledged."""
    book = RecordStore(Path(folder))
    draw = random.Random(seed)
    for number in range(begin, 1 << 40):
        book.commit(batch(draw, number))
        os.write(told, number.to_bytes(8))


def kills(many):
    """One store all along: what a killed writer leaves, the next one goes on with."""
    context = multiprocessing.get_context("fork")
    draw = random.Random(1)
    state, begin, acknowledged_all, in_doubt = {}, 0, 0, 0
    with tempfile.TemporaryDirectory() as folder:
        for kill in range(many):
            seen, told = os.pipe()
            process = context.Process(target=writer, args=(folder, kill, begin, told), daemon=True)
            process.start()
            os.close(told)
            time.sleep(draw.uniform(0.01, 0.06))
            os.kill(process.pid, signal.SIGKILL)
            process.join()
            heard = b""
            while data := os.read(seen, 65_536):
                heard += data
            os.close(seen)
            acknowledged = len(heard) // 8
            again = random.Random(kill)
            for number in range(begin, begin + acknowledged):
                applied(state, batch(again, number))
            later = dict(state)
            applied(later, batch(again, begin + acknowledged))
            book = RecordStore(Path(folder))
            found = {item.key: item.body for kind in (STANDING, TOKEN) for item in book.items(kind)}
            if book.damage or book.verify() or found not in (state, later):
                print(f"kill {kill}: {book.damage or 'not what was acknowledged'}")
                sys.exit(1)
            if found == later and found != state:
                in_doubt += 1
                begin += 1
                state = later
            book.close()
            begin += acknowledged
            acknowledged_all += acknowledged
        print(
            f"{many} kills, {acknowledged_all} batches acknowledged, each found whole, none twice; {in_doubt} were on the disk "
            "before they could be told"
        )


def settings_of(exchanges):
    return parse(
        format_settings(
            "edge",
            name="p",
            listen="127.0.0.1:9",
            here=0,
            exchange=[
                {"number": number, "id": f"x{number}", "address": f"127.0.0.1:{10_000 + number}", "prefix": [f"{number:03d}"]}
                for number in range(exchanges)
            ],
            traffic_type=[{"name": "v", "setup_objective_ms": 1500, "no_answer_time_ms": 9000}],
        ),
        "f",
        edge=EdgeForm,
    )


INVITE = (
    b"INVITE sip:001555@127.0.0.1:9 SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:9000;branch=z9hG4bKi\r\nMax-Forwards: 70\r\n"
    b"From: <sip:c@127.0.0.1>;tag=c\r\nTo: <sip:001555@127.0.0.1>\r\nCall-ID: i\r\nCSeq: 1 INVITE\r\n"
    b"Contact: <sip:c@127.0.0.1:9000>\r\nContent-Length: 0\r\n\r\n"
)


class Nowhere:
    def transmit(self, data, hop):
        pass


def start(callers):
    """From nothing to the first decision, with a store that has grown."""
    wall = time.time()
    with tempfile.TemporaryDirectory() as folder:
        book = RecordStore(Path(folder))
        memory = StateRecorder(3_600, callers, [1.0])
        for number in range(60):
            memory.exchange_listed(
                f"x{number}", ListedExchange(number, 2, wall - 900, wall - 30, f"127.0.0.1:{10_000 + number}", "UDP")
            )
        book.commit(memory.take_batch(HeartbeatRecord(wall - 2, time.monotonic() - 2, "b", "p", wall)))
        book.commit(
            [
                Change(
                    STANDING,
                    encode_key(f"call{number}", "ct"),
                    DialogRecord(0, 1, number % 60, f"x{number % 60}", number % 60, wall - 30, False, "t"),
                )
                for number in range(10_000)
            ]
        )
        for begun in range(0, callers, 100_000):
            book.commit(
                [
                    Change(
                        CALLER,
                        encode_key(f"27{number:09d}", 0, number % 60),
                        CallerRecord(wall - 2 - number * 0.05, 1.0),
                        wall - 2 - number * 0.05,
                    )
                    for number in range(begun, begun + 100_000)
                ]
            )
        size = book.size()
        book.close()
        took = []
        for _ in range(3):
            begun = time.perf_counter()
            book = RecordStore(Path(folder))
            found = restore_state(
                book.items,
                time.time(),
                time.monotonic(),
                "b",
                list_validity=3_600,
                max_dialog_age=14_400,
                caller_retention=9,
                damage=book.damage,
            )
            proxy = build_proxy(
                settings_of(60),
                Nowhere(),
                structlog.get_logger(),
                clock(),
                time.time(),
                lambda size: "f" * size,
                None,
                StateRecorder(3_600, callers, [1.0]),
                found,
            )
            proxy.got(clock(), parse_sip(INVITE), Hop("UDP", "127.0.0.1", 9000))
            assert proxy.counts["legs"] == 1
            took.append(time.perf_counter() - begun)
            assert proxy.counts["remembered"] == 10_000 and type(proxy.controller) is CallController
            book.close()
        print(
            f"60 exchanges, 10,000 standing dialogs, {callers} callers, {size / 2**20:.0f} MB: first decision after "
            f"{min(took) * 1000:.0f} ms (of three, {max(took) * 1000:.0f} the slowest)"
        )
        begun = time.perf_counter()
        book = RecordStore(Path(folder))
        gone = book.evict(CALLER, 100_000)
        print(f"eviction of {gone} callers: {time.perf_counter() - begun:.2f} s, in a thread")
        assert next(book.items(ALIVE)).body.instance == "p"
        book.close()


def carried(folder, exchange_port, seconds, rate, more):
    """Processor time a call, set-up times, and what the process wrote a call."""
    (port,) = free_ports(1)
    process = calls.edge(folder, port, exchange_port, 4, **more)
    caller = calls.Caller((calls.HOST, port), 4)
    caller.paced(rate, 1)
    watched = psutil.Process(process.pid)
    before, wrote = sum(watched.cpu_times()[:2]), watched.io_counters().write_bytes
    took = caller.paced(rate, seconds)
    used, wrote = sum(watched.cpu_times()[:2]) - before, watched.io_counters().write_bytes - wrote
    process.terminate()
    process.wait(30)
    return used * 1000 / took["calls"], took["p50"], took["p99"], wrote / took["calls"]


def cost(rounds, seconds, rate):
    (exchange_port,) = free_ports(1)
    calls.start(calls.exchange, exchange_port, 4)
    calls.await_answer(exchange_port)
    found = {"off": [], "on": []}
    with tempfile.TemporaryDirectory() as folder:
        for number in range(rounds):
            for name in ("off", "on") if number % 2 else ("on", "off"):
                more = {"store": {"folder": f"{folder}/store-{number}"}} if name == "on" else {}
                found[name].append(carried(Path(folder), exchange_port, seconds, rate, more))
    for name, rows in found.items():
        print(
            f"{name}: "
            + ", ".join(
                f"{what} {statistics.median(column):.3f}"
                for what, column in zip(
                    ("processor ms a call", "p50", "p99 ms", "bytes written a call"), zip(*rows, strict=True), strict=True
                )
            )
        )
    for place, what in enumerate(("processor", "p50", "p99")):
        ratios = sorted(on[place] / off[place] for off, on in zip(found["off"], found["on"], strict=True))
        print(f"{what}, on to off: median {statistics.median(ratios):.3f}, {ratios[0]:.3f} to {ratios[-1]:.3f}")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("what", choices=("kills", "start", "cost"))
    parser.add_argument("--many", type=int, default=500)
    parser.add_argument("--callers", type=int, default=1_000_000)
    parser.add_argument("--rounds", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=3)
    parser.add_argument("--rate", type=float, default=600)
    asked = parser.parse_args()
    match asked.what:
        case "kills":
            kills(asked.many)
        case "start":
            start(asked.callers)
        case "cost":
            cost(asked.rounds, asked.seconds, asked.rate)


if __name__ == "__main__":
    main()
