"""The store: consistency after kills, time to start from a large store, cost for the calls.

python benchmarks/store.py kills [--many 500]     # kills a writer, then opens and compares the store
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


def random_batch(rng, number):
    """Changes of established dialogs, which begin or end, and of a counter."""
    changes = []
    for _ in range(rng.randrange(1, 20)):
        key = encode_key(f"call{rng.randrange(400)}", "ct")
        if rng.random() < 0.4:
            changes.append(Change(STANDING, key, None))
        else:
            changes.append(Change(STANDING, key, DialogRecord(0, 1, number, "x1", 1, float(number), False, f"t{number}")))
    changes.append(Change(TOKEN, "duty", TokenRecord(number)))
    return changes


def apply_changes(state, changes):
    for change in changes:
        if change.body is None:
            state.pop(change.key, None)
        else:
            state[change.key] = change.body


def write_until_killed(folder, seed, begin, pipe):
    """Commits batches until it is killed; writes the number of each to the pipe once it is committed."""
    store = RecordStore(Path(folder))
    rng = random.Random(seed)
    for number in range(begin, 1 << 40):
        store.commit(random_batch(rng, number))
        os.write(pipe, number.to_bytes(8))


def measure_kills(kill_count):
    """Kill writers of one store in turn: it must hold every acknowledged batch, and at most one more, complete."""
    context = multiprocessing.get_context("fork")
    rng = random.Random(1)
    state, begin, total_acknowledged, unacknowledged = {}, 0, 0, 0
    with tempfile.TemporaryDirectory() as folder:
        for kill in range(kill_count):
            read_end, write_end = os.pipe()
            process = context.Process(target=write_until_killed, args=(folder, kill, begin, write_end), daemon=True)
            process.start()
            os.close(write_end)
            time.sleep(rng.uniform(0.01, 0.06))
            os.kill(process.pid, signal.SIGKILL)
            process.join()
            received = b""
            while data := os.read(read_end, 65_536):
                received += data
            os.close(read_end)
            acknowledged = len(received) // 8
            replayed_rng = random.Random(kill)
            for number in range(begin, begin + acknowledged):
                apply_changes(state, random_batch(replayed_rng, number))
            next_state = dict(state)
            apply_changes(next_state, random_batch(replayed_rng, begin + acknowledged))
            store = RecordStore(Path(folder))
            restored = {item.key: item.body for kind in (STANDING, TOKEN) for item in store.items(kind)}
            if store.damage or store.verify() or restored not in (state, next_state):
                print(f"kill {kill}: {store.damage or 'differs from the acknowledged batches'}")
                sys.exit(1)
            if restored == next_state and restored != state:
                unacknowledged += 1
                begin += 1
                state = next_state
            store.close()
            begin += acknowledged
            total_acknowledged += acknowledged
        print(
            f"{kill_count} kills, {total_acknowledged} batches acknowledged, each found complete, none twice; {unacknowledged} "
            "were on the disk but not yet acknowledged"
        )


def create_settings(exchanges):
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


class NullTransport:
    def transmit(self, data, hop):
        pass


def measure_start(callers):
    """Time from opening a large store to the first leg that the proxy sends, and time to evict callers."""
    wall_time = time.time()
    with tempfile.TemporaryDirectory() as folder:
        store = RecordStore(Path(folder))
        recorder = StateRecorder(3_600, callers, [1.0])
        for number in range(60):
            recorder.exchange_listed(
                f"x{number}", ListedExchange(number, 2, wall_time - 900, wall_time - 30, f"127.0.0.1:{10_000 + number}", "UDP")
            )
        store.commit(recorder.take_batch(HeartbeatRecord(wall_time - 2, time.monotonic() - 2, "b", "p", wall_time)))
        store.commit(
            [
                Change(
                    STANDING,
                    encode_key(f"call{number}", "ct"),
                    DialogRecord(0, 1, number % 60, f"x{number % 60}", number % 60, wall_time - 30, False, "t"),
                )
                for number in range(10_000)
            ]
        )
        for first_caller in range(0, callers, 100_000):
            store.commit(
                [
                    Change(
                        CALLER,
                        encode_key(f"27{number:09d}", 0, number % 60),
                        CallerRecord(wall_time - 2 - number * 0.05, 1.0),
                        wall_time - 2 - number * 0.05,
                    )
                    for number in range(first_caller, first_caller + 100_000)
                ]
            )
        size = store.size()
        store.close()
        start_times = []
        for _ in range(3):
            started = time.perf_counter()
            store = RecordStore(Path(folder))
            restored = restore_state(
                store.items,
                time.time(),
                time.monotonic(),
                "b",
                list_validity=3_600,
                max_dialog_age=14_400,
                caller_retention=9,
                damage=store.damage,
            )
            proxy = build_proxy(
                create_settings(60),
                NullTransport(),
                structlog.get_logger(),
                clock(),
                time.time(),
                lambda size: "f" * size,
                None,
                StateRecorder(3_600, callers, [1.0]),
                restored,
            )
            proxy.got(clock(), parse_sip(INVITE), Hop("UDP", "127.0.0.1", 9000))
            assert proxy.counts["legs"] == 1
            start_times.append(time.perf_counter() - started)
            assert proxy.counts["remembered"] == 10_000 and type(proxy.controller) is CallController
            store.close()
        print(
            f"60 exchanges, 10,000 standing dialogs, {callers} callers, {size / 2**20:.0f} MB: first decision after "
            f"{min(start_times) * 1000:.0f} ms (of three, {max(start_times) * 1000:.0f} the slowest)"
        )
        started = time.perf_counter()
        store = RecordStore(Path(folder))
        evicted = store.evict(CALLER, 100_000)
        print(f"eviction of {evicted} callers: {time.perf_counter() - started:.2f} s, in a thread")
        assert next(store.items(ALIVE)).body.instance == "p"
        store.close()


def measure_cost(folder, exchange_port, seconds, rate, settings):
    """Processor time a call (ms), median and 99th percentile of the set-up time (ms), bytes written a call."""
    (port,) = free_ports(1)
    process = calls.start_edge(folder, port, exchange_port, 4, **settings)
    caller = calls.LoadGenerator((calls.HOST, port), 4)
    caller.run_rate(rate, 1)
    process_info = psutil.Process(process.pid)
    cpu_before, bytes_written = sum(process_info.cpu_times()[:2]), process_info.io_counters().write_bytes
    times = caller.run_rate(rate, seconds)
    cpu_seconds, bytes_written = (
        sum(process_info.cpu_times()[:2]) - cpu_before,
        process_info.io_counters().write_bytes - bytes_written,
    )
    process.terminate()
    process.wait(30)
    return cpu_seconds * 1000 / times["calls"], times["p50"], times["p99"], bytes_written / times["calls"]


def compare_costs(rounds, seconds, rate):
    (exchange_port,) = free_ports(1)
    calls.start(calls.exchange, exchange_port, 4)
    calls.wait_until_answering(exchange_port)
    costs = {"off": [], "on": []}
    with tempfile.TemporaryDirectory() as folder:
        for number in range(rounds):
            for name in ("off", "on") if number % 2 else ("on", "off"):
                settings = {"store": {"folder": f"{folder}/store-{number}"}} if name == "on" else {}
                costs[name].append(measure_cost(Path(folder), exchange_port, seconds, rate, settings))
    for name, rows in costs.items():
        print(
            f"{name}: "
            + ", ".join(
                f"{metric} {statistics.median(column):.3f}"
                for metric, column in zip(
                    ("CPU ms a call", "p50", "p99 ms", "bytes written a call"), zip(*rows, strict=True), strict=True
                )
            )
        )
    for index, metric in enumerate(("CPU time", "p50", "p99")):
        ratios = sorted(on[index] / off[index] for off, on in zip(costs["off"], costs["on"], strict=True))
        print(f"{metric}, ratio on/off: median {statistics.median(ratios):.3f}, {ratios[0]:.3f} to {ratios[-1]:.3f}")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("benchmark", choices=("kills", "start", "cost"))
    parser.add_argument("--many", type=int, default=500)
    parser.add_argument("--callers", type=int, default=1_000_000)
    parser.add_argument("--rounds", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=3)
    parser.add_argument("--rate", type=float, default=600)
    arguments = parser.parse_args()
    match arguments.benchmark:
        case "kills":
            measure_kills(arguments.many)
        case "start":
            measure_start(arguments.callers)
        case "cost":
            compare_costs(arguments.rounds, arguments.seconds, arguments.rate)


if __name__ == "__main__":
    main()
