"""What sharing duties, or recording a trace, costs the calls: calls a second through one edge (of five, for duties) with and
without, in turn, as a ratio in the same run.

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


def carried(folder, exchange_port, seconds, coordinated):
    """Calls a second through one of five edges."""
    ports, at = free_ports(MEMBERS), free_ports(MEMBERS)
    edges = []
    for number in range(MEMBERS):
        more = (
            {
                "coordination": {
                    "key": "a key for the benchmark",
                    "member": [{"name": f"b{other}", "address": f"{calls.HOST}:{port}"} for other, port in enumerate(at)],
                }
            }
            if coordinated
            else {}
        )
        edges.append(calls.edge(folder, ports[number], exchange_port, 4, name=f"b{number}", **more))
    time.sleep(4)  # members have found each other and taken their duties
    rate = calls.Caller((calls.HOST, ports[0]), 4).closed(64, seconds)
    for process in edges:
        process.terminate()
    for process in edges:
        process.wait(30)
    return rate


def traced(folder, exchange_port, seconds, on):
    (port,) = free_ports(1)
    process = calls.edge(folder, port, exchange_port, 4, **({"trace": {"folder": str(folder / "traces")}} if on else {}))
    rate = calls.Caller((calls.HOST, port), 4).closed(64, seconds)
    process.terminate()
    process.wait(30)
    return rate


def cost(folder, exchange_port, seconds, rate, more):
    """Processor time a call (all threads, ms) and set-up times (ms) at a fixed rate."""
    (port,) = free_ports(1)
    process = calls.edge(folder, port, exchange_port, 4, **more)
    caller = calls.Caller((calls.HOST, port), 4)
    caller.paced(rate, 1)  # caches are warm
    before = sum(psutil.Process(process.pid).cpu_times()[:2])
    took = caller.paced(rate, seconds)
    used = sum(psutil.Process(process.pid).cpu_times()[:2]) - before
    process.terminate()
    process.wait(30)
    return used * 1000 / took["calls"], took["p50"], took["p99"]


def recording(exchange_port, options):
    """Processor time a call and set-up times without a trace, with one, and with spans and metrics too, in turn."""
    runs = {
        "off": {},
        "trace": {"trace": {"folder": "t1"}},
        "trace, spans, metrics": {"trace": {"folder": "t2", "spans_slower_ms": 200, "metrics": True}},
    }
    found = {name: [] for name in runs}
    with tempfile.TemporaryDirectory() as folder:
        for number in range(options.rounds):
            for name, more in sorted(runs.items(), key=lambda item, number=number: (item[0] == "off") == (number % 2 == 0)):
                more = {key: {**value, "folder": f"{folder}/{value['folder']}"} for key, value in more.items()}
                found[name].append(cost(Path(folder), exchange_port, options.seconds, options.rate, more))
    for name, rows in found.items():
        medians = [statistics.median(column) for column in zip(*rows, strict=True)]
        ratios = [sorted(one[place] / off[place] for one, off in zip(rows, found["off"], strict=True)) for place in range(3)]
        print(
            f"{name}: {medians[0]:.3f} ms of processor a call, p50 {medians[1]:.2f}, p99 {medians[2]:.2f} ms; to off: "
            + ", ".join(
                f"{what} {statistics.median(row):.3f} ({row[0]:.3f} to {row[-1]:.3f})"
                for what, row in zip(("processor", "p50", "p99"), ratios, strict=True)
            )
        )


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("what", nargs="?", choices=("duties", "trace", "recording"), default="duties")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=3)
    parser.add_argument("--rate", type=float, default=600, help="Calls a second for recording.")
    options = parser.parse_args()
    (exchange_port,) = free_ports(1)
    calls.start(calls.exchange, exchange_port, 4 if options.what == "recording" else 60)
    calls.await_answer(exchange_port)
    if options.what == "recording":
        recording(exchange_port, options)
        return
    with tempfile.TemporaryDirectory() as folder:
        run = carried if options.what == "duties" else traced
        pairs = [
            (run(Path(folder), exchange_port, options.seconds, False), run(Path(folder), exchange_port, options.seconds, True))
            for _ in range(options.rounds)
        ]
    ratios = sorted(on / off for off, on in pairs)
    print("calls/s off, on:", [(round(off), round(on)) for off, on in pairs])
    print(f"on to off: median {statistics.median(ratios):.3f}, {ratios[0]:.3f} to {ratios[-1]:.3f}")


if __name__ == "__main__":
    main()
