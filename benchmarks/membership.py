"""Membership and duties in simulated time: detection times, false alarms, traffic a member, duties moved. Deterministic.

python benchmarks/membership.py [--most 300]
"""

import argparse
import statistics

from gingergap.duties.placement import rank_members
from gingergap.membership.simulated import Network
from gingergap.membership.swim import SECOND


def start_converged(count, loss, seed):
    """A network whose members all know each other, its nodes and their names, and how long that took."""
    network = Network(seed, loss=loss, tick_interval=500)
    seeds = tuple(f"at-m{number}" for number in range(min(3, count)))
    nodes = [network.start(f"m{number}", seeds=seeds) for number in range(count)]
    names = {node.name for node in nodes}
    convergence_time = network.run(120 * SECOND, lambda: network.events[0][0] % 50 == 0 and network.has_converged(names))
    return network, nodes, names, convergence_time


def measure(count, loss, seed=1):
    """One line of the table: times in seconds, false alarms and false departures, traffic a member."""
    network, nodes, names, joined = start_converged(count, loss, seed)
    for node in nodes:
        node.sent = node.sent_bytes = 0
        node.departed.clear()
    seconds = 30
    network.run(seconds * SECOND)
    traffic = sum(node.sent for node in nodes) / count / seconds, sum(node.sent_bytes for node in nodes) / count / seconds
    false_departures = sum(len(node.departed) for node in nodes)
    false_alarms = sum(node.members.false_alarms for node in nodes)
    stopped, remaining = nodes[-1], names - {nodes[-1].name}
    network.stop(stopped)
    stopped_at = network.now
    network.run(120 * SECOND, lambda: network.events[0][0] % 50 == 0 and network.has_converged(remaining))
    detected_after = [when - stopped_at for node in nodes[:-1] for when, name, _ in node.departed if name == stopped.name]
    first = min(detected_after) / SECOND if detected_after else float("nan")
    last = max(detected_after) / SECOND if detected_after else float("nan")
    return (
        f"{count:5d} {loss:5.0%} {joined / SECOND:8.1f} {first:8.1f} {last:8.1f} {false_alarms:8d} "
        f"{false_departures:8d} {traffic[0]:8.1f} {traffic[1]:9.0f}"
    )


def moved_duties(count, duties=600):
    """Share of the duties that change hands when a member joins, as a multiple of the ideal 1 / (count + 1)."""
    before = dict.fromkeys((f"m{number}" for number in range(count)), 1)
    after = {**before, f"m{count}": 1}
    owners = [(rank_members(before, f"d{duty}")[0], rank_members(after, f"d{duty}")[0]) for duty in range(duties)]
    return statistics.mean(a != b for a, b in owners) * (count + 1)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--most", type=int, default=300)
    arguments = parser.parse_args()
    print(" size  loss  joined s  first s   last s   alarms    false  msgs/s   bytes/s   (a member; period 0.5 s)")
    for count in (2, 5, 20, 60, 150, 300):
        if count <= arguments.most:
            for loss in (0.0, 0.05, 0.2) if count <= 60 else (0.0,):
                print(measure(count, loss), flush=True)
    print("duties moved on a join, as a multiple of the ideal:", {count: round(moved_duties(count), 2) for count in (2, 5, 20, 60)})


if __name__ == "__main__":
    main()
