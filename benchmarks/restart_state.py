"""Benefit of state kept over restarts: the day 'restarts' with and without a store, and started with stores that are hours or days
old or hold wrong data; the same seeds for all, on the stand-ins.

    python benchmarks/restart_state.py --seeds 1:5 found/memory

Judged over the first ten seconds of each process that replaces a killed one (with and without), or of each proxy (started with a
store): service of the dialogs received in that time, and legs to exchanges that were slow or not running. All rules are checked
on the traffic of every day.
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
JUDGED_PERIOD = 100_000  # tenths of a millisecond


def play(day, seed, folder, stores=None):
    for _ in range(3):
        if (folder / "report.json").exists():
            return folder
        options = ["--stores", str(stores)] if stores else []
        subprocess.run(
            [sys.executable, "-m", "gingergap", "day", "play", str(day), "--seed", str(seed), "--report", str(folder), *options],
            capture_output=True,
            timeout=150,
            check=False,
        )
    return folder


def write_variant(folder, name, **changes):
    """Write the day with some of its lines replaced."""
    text = DAY.read_text()
    for old, new in changes.get("lines", []):
        assert old in text, old
        text = text.replace(old, new)
    path = folder / f"{name}.sexp"
    path.write_text(text)
    return path


def age_stores(played, target, seconds, shuffle, seed):
    """Copies of the stores of a played day, as if written so many seconds earlier; with `shuffle` the exchanges have each other's
    learned values."""
    rng = random.Random(seed)
    for store in sorted(played.glob("store-*")):
        aged_store = target / store.name
        shutil.rmtree(aged_store, ignore_errors=True)
        shutil.copytree(store, aged_store)
        store_db = RecordStore(aged_store)
        changes = []
        exchanges = [record for record in store_db.items(EXCHANGE)]
        bodies = [record.body for record in exchanges]
        learned = [(body.quickest, body.took, body.pressed_for, body.cap, body.accept_below, body.lower_below) for body in bodies]
        if shuffle:
            rng.shuffle(learned)
            learned = [
                (quickest, 40_000 - min(took, 40_000), 20_000, cap, accept, lower)
                for quickest, took, _, cap, accept, lower in learned
            ]
        for record, new_learned in zip(exchanges, learned, strict=True):
            body = record.body
            (body.quickest, body.took, body.pressed_for, body.cap, body.accept_below, body.lower_below) = new_learned
            body.word_at -= seconds
            body.state, body.started = 2, 0.0  # the next day has other machines; list entries on them are not tested here
            changes.append(Change(EXCHANGE, record.key, body if "r" not in record.key else None, record.seen))
        for kind in (PAIR, CALLER):
            for record in store_db.items(kind):
                changes.append(Change(kind, record.key, record.body if kind == PAIR else None, record.seen))
        for record in store_db.items("standing"):
            changes.append(Change("standing", record.key, None))
        for record in store_db.items(ALIVE):
            record.body.wall -= seconds
            record.body.boot = "another"
            changes.append(Change(ALIVE, "", record.body, record.body.wall))
        store_db.commit(changes)
        store_db.close()
    return target


def judge(folder, seed, restarted):
    """Results over the first seconds of the processes that started within the day (`restarted`) or at its beginning."""
    day = read(DAY, day=DayForm)
    plan = DayPlan(day, seed)
    offered_importance = served_importance = 0.0
    bad_legs = legs = dialogs = 0
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
        started = trace.header.started
        types = trace.header.figures["types"]
        for timeline in dialog_timelines(trace):
            delay = 0 if restarted else round((epoch * 10_000) - started)
            if timeline.arrived_at > started + delay + JUDGED_PERIOD:
                continue
            for leg in timeline.legs:
                sent_at = leg.sent_at / 10_000 - epoch
                faulty = {
                    number
                    for kind in ("slow", "vanish")
                    for scheduled in plan.scheduled_faults
                    if scheduled.fault.kind == kind and scheduled.is_active(sent_at)
                    for number in scheduled.targets
                }
                legs += 1
                bad_legs += leg.exchange in faulty
            if timeline.transit:
                continue
            dialogs += 1
            offered_importance += types[timeline.traffic_type][3]
            if timeline.outcome == ESTABLISHED and timeline.final_answer_delay <= types[timeline.traffic_type][0]:
                served_importance += types[timeline.traffic_type][3]
        trace.close()
    report = json.loads((folder / "report.json").read_text())
    broken = sum(rule["broken"] for rule in report["rules"].values())
    return {
        "service": served_importance / offered_importance if offered_importance else 0.0,
        "bad": bad_legs,
        "legs": legs,
        "came": dialogs,
        "broken": broken,
        "whole": report["service"],
    }


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("folder", type=lambda text: Path(text).resolve())
    parser.add_argument("--seeds", default="1:5")
    parser.add_argument("--at-once", type=int, default=3)
    arguments = parser.parse_args()
    arguments.folder.mkdir(parents=True, exist_ok=True)
    first, _, last = arguments.seeds.partition(":")
    seeds = range(int(first), int(last))
    with_store = write_variant(arguments.folder, "with")
    without = write_variant(arguments.folder, "without", lines=[("(store true)", "(store false)")])
    kill_lines = [line for line in DAY.read_text().splitlines() if "kill-proxy" in line]
    without_kills = [(line, ")" if line.endswith("))") and line.count("(") < line.count(")") else "") for line in kill_lines]
    started_with_state = write_variant(arguments.folder, "begun", lines=without_kills)
    without_state = write_variant(arguments.folder, "plain", lines=[*without_kills, ("(store true)", "(store false)")])

    def play_all(seed):
        play(without, seed, arguments.folder / f"without-{seed}")
        played = play(with_store, seed, arguments.folder / f"with-{seed}")
        play(without_state, seed, arguments.folder / f"plain-{seed}")
        for name, seconds, shuffle in (("hours", 2 * 3_600, False), ("days", 3 * 86_400, False), ("wrong", 1, True)):
            stores = age_stores(played, arguments.folder / f"stores-{name}-{seed}", seconds, shuffle, seed)
            play(started_with_state, seed, arguments.folder / f"{name}-{seed}", stores)

    with ThreadPoolExecutor(arguments.at_once) as pool:
        list(pool.map(play_all, seeds))
    for title, names, restarted in (
        ("after a kill", ("without", "with"), True),
        ("started with a store", ("plain", "hours", "days", "wrong"), False),
    ):
        print(title)
        reference = None
        for name in names:
            rows = [judge(arguments.folder / f"{name}-{seed}", seed, restarted) for seed in seeds]
            service = [row["service"] for row in rows]
            reference = reference or service
            differences = [value - other for value, other in zip(service, reference, strict=True)]
            print(
                f"  {name:8}: service {statistics.mean(service):.3f} (difference to the first {statistics.mean(differences):+.3f}, "
                f"{min(differences):+.3f} to {max(differences):+.3f}), legs to bad exchanges {sum(row['bad'] for row in rows)} of "
                f"{sum(row['legs'] for row in rows)}, dialogs {sum(row['came'] for row in rows)}, whole day "
                f"{statistics.mean(row['whole'] for row in rows):.3f}, rules broken {sum(row['broken'] for row in rows)}"
            )


if __name__ == "__main__":
    main()
