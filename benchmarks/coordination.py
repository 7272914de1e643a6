"""What sharing duties, or recording a trace, costs the calls: calls a second through one edge (of five, for duties) with and
without, in turn, as a ratio in the same run.

    python benchmarks/coordination.py [duties|trace] [--rounds 3] [--seconds 3]
"""

import argparse
import statistics
import tempfile
import time
from pathlib import Path

import calls

from gingergap.standins.player import free_ports

MEMBERS = 5


def carried(folder, exchange_port, seconds, coordinated):
    """Calls a second through one of five edges."""
    ports, at = free_ports(MEMBERS), free_ports(MEMBERS)
    edges = []
    for number in range(MEMBERS):
        more = {"coordination": {"key": "a key for the benchmark", "member": [
            {"name": f"b{other}", "address": f"{calls.HOST}:{port}"} for other, port in enumerate(at)]}} if coordinated else {}
        edges.append(calls.edge(folder, ports[number], exchange_port, 4, name=f"b{number}", **more))
    time.sleep(4)  # members have found each other and taken their duties
    rate = calls.Caller((calls.HOST, ports[0]), 4).closed(64, seconds)
    for process in edges:
        process.terminate()
    for process in edges:
        process.wait(30)
    return rate


def traced(folder, exchange_port, seconds, on):
    port, = free_ports(1)
    process = calls.edge(folder, port, exchange_port, 4, **({"trace": {"folder": str(folder / "traces")}} if on else {}))
    rate = calls.Caller((calls.HOST, port), 4).closed(64, seconds)
    process.terminate()
    process.wait(30)
    return rate


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("what", nargs="?", choices=("duties", "trace"), default="duties")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=3)
    options = parser.parse_args()
    exchange_port, = free_ports(1)
    calls.start(calls.exchange, exchange_port, 60)
    calls.await_answer(exchange_port)
    with tempfile.TemporaryDirectory() as folder:
        run = carried if options.what == "duties" else traced
        pairs = [(run(Path(folder), exchange_port, options.seconds, False), run(Path(folder), exchange_port, options.seconds, True))
                 for _ in range(options.rounds)]
    ratios = sorted(on / off for off, on in pairs)
    print("calls/s off, on:", [(round(off), round(on)) for off, on in pairs])
    print(f"on to off: median {statistics.median(ratios):.3f}, {ratios[0]:.3f} to {ratios[-1]:.3f}")


if __name__ == "__main__":
    main()
