"""The same scripted days on sockets and emulated: service, what stood, set-up times, legs a dialog, side by side.

    python benchmarks/validation.py found/validation --seeds 1:4

Both draw a day from the same script, but each its own calls: differences include chance. Also: emulated calls a second on one core,
with and without the module's own time, and how it grows with size.
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


def on_sockets(day, seed, top):
    folder = top / f"{day}-{seed}"
    for _ in range(3):
        if (folder / "report.json").exists():
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
                str(folder),
            ],
            capture_output=True,
            timeout=150,
            check=False,
        )
    report = json.loads((folder / "report.json").read_text())
    return {
        "service": report["service"],
        "stood": sum(row["stood"] for row in report["by_type"].values()) / report["offered"],
        "p50": report["setup_ms"].get("p50", 0),
        "p90": report["setup_ms"].get("p90", 0),
        "tries": sum(row["tries"] for row in report["by_type"].values()) / report["offered"],
        "legs": report["rules"]["2"]["judged"] / report["offered"],
    }


def emulated(day, seed):
    figures = Day(read(ROOT / "days" / f"{day}.sexp", day=DayForm), seed).run().summary()
    return {
        "service": figures["service"],
        "stood": figures["stood"] / figures["offered"],
        "p50": figures["setup_ms"]["p50"],
        "p90": figures["setup_ms"]["p90"],
        "tries": figures["tries"] / figures["offered"],
        "legs": figures["rules"][2]["judged"] / figures["offered"],
    }


class Timed:
    """The module with the time spent in it."""

    spent = 0.0

    def __init__(self, controller):
        self.controller = controller

    def __getattr__(self, name):
        found = getattr(self.controller, name)
        if not callable(found):
            return found

        def timed(*args):
            begun = time.perf_counter()
            try:
                return found(*args)
            finally:
                Timed.spent += time.perf_counter() - begun

        return timed


def speed():
    form = read(ROOT / "experiments" / "mesh.sexp", day=DayForm)
    for exchanges in (10, 20, 40, 80, 160):
        sized = form.model_copy(update={"exchanges": exchanges})
        day = Day(sized, 1).run()
        Timed.spent = 0.0
        inner = Day(
            sized,
            1,
            lambda host, here, proxies, types, sized=sized: Timed(
                CallController(host, 1000 + here, here, proxies, types, **controller_arguments(sized))
            ),
        )
        inner.run()
        share = min(1.0, Timed.spent / inner.run_duration)
        print(
            f"{exchanges} exchanges: {day.offered} calls, {day.attempts} tries, {day.engine.event_count} events in {day.run_duration:.2f} s: "
            f"{day.attempts / day.run_duration:.0f} tries a second, {day.engine.event_count / day.run_duration:.0f} events a second; in the module and "
            f"what it calls {share:.2f}"
        )


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("top", type=lambda text: Path(text).resolve())
    parser.add_argument("--seeds", default="1:4")
    parser.add_argument("--at-once", type=int, default=3)
    asked = parser.parse_args()
    low, _, high = asked.seeds.partition(":")
    seeds = range(int(low), int(high))
    cases = [(day, seed) for day in DAYS for seed in seeds]
    with ThreadPoolExecutor(asked.at_once) as pool:
        played = dict(zip(cases, pool.map(lambda case: on_sockets(*case, asked.top), cases), strict=True))
    for day in DAYS:
        print(day)
        runs = [emulated(day, seed) for seed in seeds]
        for name in ("service", "stood", "p50", "p90", "tries", "legs"):
            sockets = [played[day, seed][name] for seed in seeds]
            simulated = [run[name] for run in runs]
            print(
                f"  {name:8} sockets {statistics.mean(sockets):8.3f} ({min(sockets):.3f} to {max(sockets):.3f}), emulated "
                f"{statistics.mean(simulated):8.3f} ({min(simulated):.3f} to {max(simulated):.3f})"
            )
    speed()


if __name__ == "__main__":
    main()
