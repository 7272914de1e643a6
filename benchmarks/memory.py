"""What memory is worth: the day 'restarts' with and without a store, and begun with memories that are hours or days old, or
wrong; the same seeds for all, on the stand-ins.

    python benchmarks/memory.py --seeds 1:5 found/memory

Judged over the first ten seconds of every process of a killed proxy (with and without), or of every proxy (begun with a
memory): service of the dialogs that came then, and legs to exchanges that were slow or dead. All rules are judged from the
traffic of every day.
"""

import argparse
import json
import random
import shutil
import statistics
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from gingergap.settings.day import DayForm
from gingergap.settings.forms import read
from gingergap.standins.day_plan import DayPlan
from gingergap.store.record_store import RecordStore
from gingergap.store.records import ALIVE, CALLER, EXCHANGE, PAIR, Change
from gingergap.trace.stream import open_traces
from gingergap.trace.timeline import ESTABLISHED, dialog_timelines

DAY = Path(__file__).resolve().parent.parent / "days" / "restarts.sexp"
FIRST = 100_000  # ten seconds


def play(day, seed, folder, stores=None):
    for _ in range(3):
        if (folder / "report.json").exists():
            return folder
        words = ["--stores", str(stores)] if stores else []
        subprocess.run(
            [sys.executable, "-m", "gingergap", "day", "play", str(day), "--seed", str(seed), "--report", str(folder), *words],
            capture_output=True,
            timeout=150,
            check=False,
        )
    return folder


def variant(top, name, **changes):
    """The day with other lines."""
    text = DAY.read_text()
    for old, new in changes.get("lines", []):
        assert old in text, old
        text = text.replace(old, new)
    path = top / f"{name}.sexp"
    path.write_text(text)
    return path


def aged(source, target, seconds, shuffled, seed):
    """The stores of a played day as if written so long ago; with the exchanges' knowledge mixed up, if asked."""
    draw = random.Random(seed)
    for store in sorted(source.glob("store-*")):
        own = target / store.name
        shutil.rmtree(own, ignore_errors=True)
        shutil.copytree(store, own)
        book = RecordStore(own)
        changes = []
        exchanges = [item for item in book.items(EXCHANGE)]
        bodies = [item.body for item in exchanges]
        learned = [(body.quickest, body.took, body.pressed_for, body.cap, body.accept_below, body.lower_below) for body in bodies]
        if shuffled:
            draw.shuffle(learned)
            learned = [
                (quickest, 40_000 - min(took, 40_000), 20_000, cap, accept, lower)
                for quickest, took, _, cap, accept, lower in learned
            ]
        for item, own_learned in zip(exchanges, learned, strict=True):
            body = item.body
            (body.quickest, body.took, body.pressed_for, body.cap, body.accept_below, body.lower_below) = own_learned
            body.word_at -= seconds
            body.state, body.started = 2, 0.0  # another day's machines: words on them would be another matter
            changes.append(Change(EXCHANGE, item.key, body if "r" not in item.key else None, item.seen))
        for kind in (PAIR, CALLER):
            for item in book.items(kind):
                changes.append(Change(kind, item.key, item.body if kind == PAIR else None, item.seen))
        for item in book.items("standing"):
            changes.append(Change("standing", item.key, None))
        for item in book.items(ALIVE):
            item.body.wall -= seconds
            item.body.boot = "another"
            changes.append(Change(ALIVE, "", item.body, item.body.wall))
        book.commit(changes)
        book.close()
    return target


def judged(folder, seed, restarted):
    """Service, legs to bad exchanges, dialogs: of the first seconds of processes that began within the day, or of all."""
    day = read(DAY, day=DayForm)
    plan = DayPlan(day, seed)
    worth = earned = 0.0
    bad = legs = came = 0
    first_start = {}
    for trace in open_traces([folder / "traces"]):
        first_start.setdefault(trace.header.instance, trace.header.wall)
        if restarted == (trace.header.wall == first_start[trace.header.instance]):
            continue
        epoch = float(
            next(
                line.split()[1]
                for line in (folder / "exchange-0.sexp").read_text().replace("(epoch ", "\n(epoch ").splitlines()
                if line.startswith("(epoch")
            ).rstrip(")")
        )
        begin = trace.header.started
        types = trace.header.figures["types"]
        for timeline in dialog_timelines(trace):
            lead = 0 if restarted else round((epoch * 10_000) - begin)
            if timeline.arrived_at > begin + lead + FIRST:
                continue
            for leg in timeline.legs:
                at = leg.sent_at / 10_000 - epoch
                struck = {
                    number
                    for kind in ("slow", "vanish")
                    for strike in plan.scheduled_faults
                    if strike.fault.kind == kind and strike.is_active(at)
                    for number in strike.targets
                }
                legs += 1
                bad += leg.exchange in struck
            if timeline.transit:
                continue
            came += 1
            worth += types[timeline.traffic_type][3]
            if timeline.outcome == ESTABLISHED and timeline.final_answer_delay <= types[timeline.traffic_type][0]:
                earned += types[timeline.traffic_type][3]
        trace.close()
    report = json.loads((folder / "report.json").read_text())
    broken = sum(rule["broken"] for rule in report["rules"].values())
    return {
        "service": earned / worth if worth else 0.0,
        "bad": bad,
        "legs": legs,
        "came": came,
        "broken": broken,
        "whole": report["service"],
    }


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("top", type=lambda text: Path(text).resolve())
    parser.add_argument("--seeds", default="1:5")
    parser.add_argument("--at-once", type=int, default=3)
    asked = parser.parse_args()
    asked.top.mkdir(parents=True, exist_ok=True)
    low, _, high = asked.seeds.partition(":")
    seeds = range(int(low), int(high))
    with_store = variant(asked.top, "with")
    without = variant(asked.top, "without", lines=[("(store true)", "(store false)")])
    kills = [line for line in DAY.read_text().splitlines() if "kill-proxy" in line]
    calm = [(line, ")" if line.endswith("))") and line.count("(") < line.count(")") else "") for line in kills]
    begun = variant(asked.top, "begun", lines=calm)
    plain = variant(asked.top, "plain", lines=[*calm, ("(store true)", "(store false)")])

    def whole(seed):
        play(without, seed, asked.top / f"without-{seed}")
        source = play(with_store, seed, asked.top / f"with-{seed}")
        play(plain, seed, asked.top / f"plain-{seed}")
        for name, seconds, shuffled in (("hours", 2 * 3_600, False), ("days", 3 * 86_400, False), ("wrong", 1, True)):
            stores = aged(source, asked.top / f"stores-{name}-{seed}", seconds, shuffled, seed)
            play(begun, seed, asked.top / f"{name}-{seed}", stores)

    with ThreadPoolExecutor(asked.at_once) as pool:
        list(pool.map(whole, seeds))
    for title, names, restarted in (
        ("after a kill", ("without", "with"), True),
        ("begun with a memory", ("plain", "hours", "days", "wrong"), False),
    ):
        print(title)
        base = None
        for name in names:
            rows = [judged(asked.top / f"{name}-{seed}", seed, restarted) for seed in seeds]
            service = [row["service"] for row in rows]
            base = base or service
            apart = [one - other for one, other in zip(service, base, strict=True)]
            print(
                f"  {name:8}: service {statistics.mean(service):.3f} (against the first {statistics.mean(apart):+.3f}, "
                f"{min(apart):+.3f} to {max(apart):+.3f}), legs to bad exchanges {sum(row['bad'] for row in rows)} of "
                f"{sum(row['legs'] for row in rows)}, dialogs {sum(row['came'] for row in rows)}, whole day "
                f"{statistics.mean(row['whole'] for row in rows):.3f}, rules broken {sum(row['broken'] for row in rows)}"
            )


if __name__ == "__main__":
    main()
