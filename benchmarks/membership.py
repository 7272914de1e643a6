"""Membership and duties in simulated time: detection, false alarms, traffic a member, duties moved. Deterministic.

python benchmarks/membership.py [--most 300]
"""

import argparse
import statistics

from gingergap.duties.placement import rank_members
from gingergap.membership.simulated import Network
from gingergap.membership.swim import SECOND


def settled(count, loss, seed):
    net = Network(seed, loss=loss, tick_interval=500)
    seeds = tuple(f"at-m{number}" for number in range(min(3, count)))
    nodes = [net.start(f"m{number}", seeds=seeds) for number in range(count)]
    names = {node.name for node in nodes}
    took = net.run(120 * SECOND, lambda: net.events[0][0] % 50 == 0 and net.has_converged(names))
    return net, nodes, names, took


def row(count, loss, seed=1):
    net, nodes, names, joined = settled(count, loss, seed)
    for node in nodes:
        node.sent = node.sent_bytes = 0
        node.departed.clear()
    span = 30
    net.run(span * SECOND)
    traffic = sum(node.sent for node in nodes) / count / span, sum(node.sent_bytes for node in nodes) / count / span
    false = sum(len(node.departed) for node in nodes)
    alarms = sum(node.members.false_alarms for node in nodes)
    dead, rest = nodes[-1], names - {nodes[-1].name}
    net.stop(dead)
    began = net.now
    net.run(120 * SECOND, lambda: net.events[0][0] % 50 == 0 and net.has_converged(rest))
    seen = [when - began for node in nodes[:-1] for when, name, _ in node.departed if name == dead.name]
    first = min(seen) / SECOND if seen else float("nan")
    last = max(seen) / SECOND if seen else float("nan")
    return (
        f"{count:5d} {loss:5.0%} {joined / SECOND:8.1f} {first:8.1f} {last:8.1f} {alarms:8d} {false:8d} {traffic[0]:8.1f} "
        f"{traffic[1]:9.0f}"
    )


def moved(count, duties=600):
    """Part of the duties that change hands when a member joins, against the ideal 1 / (count + 1)."""
    before = dict.fromkeys((f"m{number}" for number in range(count)), 1)
    after = {**before, f"m{count}": 1}
    owners = [(rank_members(before, f"d{duty}")[0], rank_members(after, f"d{duty}")[0]) for duty in range(duties)]
    return statistics.mean(a != b for a, b in owners) * (count + 1)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--most", type=int, default=300)
    options = parser.parse_args()
    print(" size  loss  joined s  first s   last s   alarms    false  msgs/s   bytes/s   (a member; period 0.5 s)")
    for count in (2, 5, 20, 60, 150, 300):
        if count <= options.most:
            for loss in (0.0, 0.05, 0.2) if count <= 60 else (0.0,):
                print(row(count, loss), flush=True)
    print("duties moved on a join, as a multiple of the ideal:", {count: round(moved(count), 2) for count in (2, 5, 20, 60)})


if __name__ == "__main__":
    main()
