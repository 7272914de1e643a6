"""Compares emulated days with the same scripted days on sockets: service, established dialogs, set-up times, attempts, legs.

    python benchmarks/validation.py found/validation --seeds 1:4

Both take a day from the same script but draw their own calls, so that differences include random variation. Also prints the
speed of the emulator on one core for meshes of different sizes, and the share of time that the controllers take.
"""

import argparse
import json
import statistics
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from gingergap.call_controller import CallController
from gingergap.emulator.controller_factory import controller_arguments
from gingergap.emulator.day import Day
from gingergap.settings.day import DayForm
from gingergap.settings.forms import read

ROOT = Path(__file__).resolve().parent.parent
DAYS = ("quiet", "bad-monday", "restarts")


def play_on_sockets(day, seed, folder):
    day_folder = folder / f"{day}-{seed}"
    for _ in range(3):
        if (day_folder / "report.json").exists():
            break
        subprocess.run(
            [
                sys.executable,
                "-m",
                "gingergap",
                "day",
                "play",
                str(ROOT / "days" / f"{day}.sexp"),
                "--seed",
                str(seed),
                "--report",
                str(day_folder),
            ],
            capture_output=True,
            timeout=150,
            check=False,
        )
    report = json.loads((day_folder / "report.json").read_text())
    return {
        "service": report["service"],
        "stood": sum(row["stood"] for row in report["by_type"].values()) / report["offered"],
        "p50": report["setup_ms"].get("p50", 0),
        "p90": report["setup_ms"].get("p90", 0),
        "tries": sum(row["tries"] for row in report["by_type"].values()) / report["offered"],
        "legs": report["rules"]["2"]["judged"] / report["offered"],
    }


def emulate(day, seed):
    summary = Day(read(ROOT / "days" / f"{day}.sexp", day=DayForm), seed).run().summary()
    return {
        "service": summary["service"],
        "stood": summary["stood"] / summary["offered"],
        "p50": summary["setup_ms"]["p50"],
        "p90": summary["setup_ms"]["p90"],
        "tries": summary["tries"] / summary["offered"],
        "legs": summary["rules"][2]["judged"] / summary["offered"],
    }


class TimedController:
    """A controller that adds the real time spent in its methods to `seconds`, the sum over all instances."""

    seconds = 0.0

    def __init__(self, controller):
        self.controller = controller

    def __getattr__(self, name):
        attribute = getattr(self.controller, name)
        if not callable(attribute):
            return attribute

        def timed(*args):
            started = time.perf_counter()
            try:
                return attribute(*args)
            finally:
                TimedController.seconds += time.perf_counter() - started

        return timed


def measure_speed():
    form = read(ROOT / "experiments" / "mesh.sexp", day=DayForm)
    for exchanges in (10, 20, 40, 80, 160):
        sized_form = form.model_copy(update={"exchanges": exchanges})
        day = Day(sized_form, 1).run()
        TimedController.seconds = 0.0
        timed_day = Day(
            sized_form,
            1,
            lambda host, own_exchange, proxy_count, traffic_types, sized_form=sized_form: TimedController(
                CallController(
                    host, 1000 + own_exchange, own_exchange, proxy_count, traffic_types, **controller_arguments(sized_form)
                )
            ),
        )
        timed_day.run()
        share = min(1.0, TimedController.seconds / timed_day.run_duration)
        print(
            f"{exchanges} exchanges: {day.offered} calls, {day.attempts} tries, {day.engine.event_count} events in "
            f"{day.run_duration:.2f} s: {day.attempts / day.run_duration:.0f} tries a second, "
            f"{day.engine.event_count / day.run_duration:.0f} events a second; share of time in the controllers {share:.2f}"
        )


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("folder", type=lambda text: Path(text).resolve())
    parser.add_argument("--seeds", default="1:4")
    parser.add_argument("--at-once", type=int, default=3)
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition(":")
    seeds = range(int(first), int(last))
    cases = [(day, seed) for day in DAYS for seed in seeds]
    with ThreadPoolExecutor(arguments.at_once) as pool:
        played = dict(zip(cases, pool.map(lambda case: play_on_sockets(*case, arguments.folder), cases), strict=True))
    for day in DAYS:
        print(day)
        emulated = [emulate(day, seed) for seed in seeds]
        for name in ("service", "stood", "p50", "p90", "tries", "legs"):
            sockets = [played[day, seed][name] for seed in seeds]
            simulated = [run[name] for run in emulated]
            print(
                f"  {name:8} sockets {statistics.mean(sockets):8.3f} ({min(sockets):.3f} to {max(sockets):.3f}), emulated "
                f"{statistics.mean(simulated):8.3f} ({min(simulated):.3f} to {max(simulated):.3f})"
            )
    measure_speed()


if __name__ == "__main__":
    main()
