"""Cost of shared duties and of traces for the calls: throughput of one edge (of five, for duties) with and without, in turn, as a
ratio within the same run.

    python benchmarks/coordination.py [duties|trace|recording] [--rounds 3] [--seconds 3]
"""

import argparse
import statistics
import tempfile
import time
from pathlib import Path

import calls
import psutil

from gingergap.standins.player import free_ports

MEMBERS = 5


def rate_with_duties(folder, exchange_port, seconds, coordinated):
    """Calls a second through one of five edges that share duties or not."""
    ports, member_ports = free_ports(MEMBERS), free_ports(MEMBERS)
    edges = []
    for number in range(MEMBERS):
        settings = (
            {
                "coordination": {
                    "key": "a key for the benchmark",
                    "member": [{"name": f"b{other}", "address": f"{calls.HOST}:{port}"} for other, port in enumerate(member_ports)],
                }
            }
            if coordinated
            else {}
        )
        edges.append(calls.start_edge(folder, ports[number], exchange_port, 4, name=f"b{number}", **settings))
    time.sleep(4)  # until the members have found each other and claimed their duties
    rate = calls.LoadGenerator((calls.HOST, ports[0]), 4).run_window(64, seconds)
    for process in edges:
        process.terminate()
    for process in edges:
        process.wait(30)
    return rate


def rate_with_trace(folder, exchange_port, seconds, enabled):
    (port,) = free_ports(1)
    process = calls.start_edge(folder, port, exchange_port, 4, **({"trace": {"folder": str(folder / "traces")}} if enabled else {}))
    rate = calls.LoadGenerator((calls.HOST, port), 4).run_window(64, seconds)
    process.terminate()
    process.wait(30)
    return rate


def measure_cost(folder, exchange_port, seconds, rate, settings):
    """Processor time a call (all threads, ms), and median and 99th percentile of the set-up time (ms), at a fixed rate."""
    (port,) = free_ports(1)
    process = calls.start_edge(folder, port, exchange_port, 4, **settings)
    caller = calls.LoadGenerator((calls.HOST, port), 4)
    caller.run_rate(rate, 1)  # warm-up
    cpu_before = sum(psutil.Process(process.pid).cpu_times()[:2])
    times = caller.run_rate(rate, seconds)
    cpu_seconds = sum(psutil.Process(process.pid).cpu_times()[:2]) - cpu_before
    process.terminate()
    process.wait(30)
    return cpu_seconds * 1000 / times["calls"], times["p50"], times["p99"]


def compare_recordings(exchange_port, arguments):
    """Print processor time a call and set-up times without a trace, with one, and with spans and metrics too, measured in turn."""
    variants = {
        "off": {},
        "trace": {"trace": {"folder": "t1"}},
        "trace, spans, metrics": {"trace": {"folder": "t2", "spans_slower_ms": 200, "metrics": True}},
    }
    costs = {name: [] for name in variants}
    with tempfile.TemporaryDirectory() as folder:
        for number in range(arguments.rounds):
            for name, settings in sorted(variants.items(), key=lambda item, number=number: (item[0] == "off") == (number % 2 == 0)):
                settings = {key: {**value, "folder": f"{folder}/{value['folder']}"} for key, value in settings.items()}
                costs[name].append(measure_cost(Path(folder), exchange_port, arguments.seconds, arguments.rate, settings))
    for name, rows in costs.items():
        medians = [statistics.median(column) for column in zip(*rows, strict=True)]
        ratios = [
            sorted(with_setting[index] / off[index] for with_setting, off in zip(rows, costs["off"], strict=True))
            for index in range(3)
        ]
        print(
            f"{name}: {medians[0]:.3f} ms of CPU time a call, p50 {medians[1]:.2f}, p99 {medians[2]:.2f} ms; ratio to off: "
            + ", ".join(
                f"{metric} {statistics.median(row):.3f} ({row[0]:.3f} to {row[-1]:.3f})"
                for metric, row in zip(("CPU time", "p50", "p99"), ratios, strict=True)
            )
        )


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("benchmark", nargs="?", choices=("duties", "trace", "recording"), default="duties")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=3)
    parser.add_argument("--rate", type=float, default=600, help="Calls a second for recording.")
    arguments = parser.parse_args()
    (exchange_port,) = free_ports(1)
    calls.start(calls.exchange, exchange_port, 4 if arguments.benchmark == "recording" else 60)
    calls.wait_until_answering(exchange_port)
    if arguments.benchmark == "recording":
        compare_recordings(exchange_port, arguments)
        return
    with tempfile.TemporaryDirectory() as folder:
        run = rate_with_duties if arguments.benchmark == "duties" else rate_with_trace
        pairs = [
            (run(Path(folder), exchange_port, arguments.seconds, False), run(Path(folder), exchange_port, arguments.seconds, True))
            for _ in range(arguments.rounds)
        ]
    ratios = sorted(enabled / off for off, enabled in pairs)
    print("calls/s off, on:", [(round(off), round(enabled)) for off, enabled in pairs])
    print(f"ratio on/off: median {statistics.median(ratios):.3f}, {ratios[0]:.3f} to {ratios[-1]:.3f}")


if __name__ == "__main__":
    main()
