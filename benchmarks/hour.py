"""An hour's worth of calls: the traces of a played day are cut, merged and replayed to the same decisions, every one compared,
and a module with one changed figure is found to differ. Each step is a command of its own, with its time and peak memory.

    gingergap day play days/an-hour.sexp --report found/hour      # six minutes
    python benchmarks/hour.py found/hour/traces

Exit 1 where a replay differs, a crossing is turned round, or the changed module is not found.
"""

import argparse
import re
import resource
import shutil
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from gingergap.trace.format import is_event
from gingergap.trace.stream import opened
from gingergap.trace.window import select

PACKAGE = Path(__file__).resolve().parent.parent / "gingergap"


def run(*words, root=None):
    """A `gingergap trace` command: exit code, output, seconds, peak memory in MB."""
    code = (
        "import resource, sys; from gingergap.cli.main import main\n"
        "try: main(sys.argv[1:], prog_name='gingergap')\n"
        "finally: print('peak', resource.getrusage(resource.RUSAGE_SELF).ru_maxrss, file=sys.stderr)"
    )
    begun = time.perf_counter()
    done = subprocess.run(
        [sys.executable, "-c", code, "trace", *map(str, words)],
        capture_output=True,
        text=True,
        check=False,
        cwd=root or PACKAGE.parent,
        env={"PYTHONPATH": str(root or PACKAGE.parent), "PATH": "/usr/bin:/bin"},
    )
    took = time.perf_counter() - begun
    peak = re.search(r"peak (\d+)", done.stderr)
    if done.returncode == 2:
        print(done.stderr)
    return done.returncode, done.stdout, took, int(peak[1]) / 1024 if peak else 0.0


def step(name, expected, *words, root=None, last=1):
    code, output, took, peak = run(*words, root=root)
    lines = [line for line in output.splitlines() if line.strip()]
    print(f"{name}: exit {code}, {took:.1f} s, {peak:.0f} MB" + "".join(f"\n    {line}" for line in lines[-last:]), flush=True)
    if code != expected:
        print(f"    expected exit {expected}")
        sys.exit(1)
    return took, peak


def changed(folder):
    """A copy of this package whose module has one other figure: run_limit 5 has become 4."""
    root = folder / "changed"
    shutil.copytree(PACKAGE, root / "gingergap", ignore=shutil.ignore_patterns("__pycache__"))
    path = root / "gingergap" / "call_controller.py"
    text = path.read_text()
    path.write_text(text.replace("run_limit: int = 5", "run_limit: int = 4"))
    assert path.read_text() != text
    return root


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("traces", type=lambda text: Path(text).resolve())
    asked = parser.parse_args()
    traces = opened([asked.traces])
    events = records = 0
    for trace in traces:
        for entry in trace.entries():
            records += 1
            events += entry.record[0] != "gap" and is_event(entry.record[0])
    size = sum(path.stat().st_size for path in asked.traces.glob("*.trace"))
    print(
        f"{len(traces)} processes, {sum(len(trace.readers) for trace in traces)} parts, {records} records, {events} events, "
        f"{size / 2**20:.1f} MB, {size / events:.1f} bytes an event"
    )
    began = min(trace.header.wall for trace in traces)
    span = max(trace.wall(trace.places()[-1].stretch.last) for trace in traces) - began
    with tempfile.TemporaryDirectory(prefix="gingergap-hour-") as scratch:
        folder = Path(scratch)
        took, _ = step("replay of all", 0, "replay", asked.traces)
        print(f"    {span * len(traces) / took:.0f} times real time, all processes together {span:.0f} s each")
        longest = max(traces, key=lambda trace: sum(place.stretch.records for place in trace.places()))
        files = [reader.path for reader in longest.readers]
        middle = (longest.places()[-1].stretch.last - longest.header.started) / 10_000 / 2
        step("cut of a minute", 0, "cut", *files, "--from", middle, "--to", middle + 60, "--out", folder / "cut.trace")
        step("replay of the cut", 0, "replay", folder / "cut.trace")
        whole = step("merge of all", 0, "merge", asked.traces, "--out", folder / "all.trace", last=12)
        step("replay of the merged", 0, "replay", folder / "all.trace")
        step(
            "cut of a minute of the merged",
            0,
            "cut",
            folder / "all.trace",
            "--from",
            middle,
            "--to",
            middle + 60,
            "--out",
            folder / "part.trace",
        )
        step("replay of that", 0, "replay", folder / "part.trace")
        for number, trace in enumerate(traces):
            early = trace.header.started + 10_000 * 60
            places = [place for place in trace.places() if place.stretch.first <= early]
            if places and trace.whole:
                step(
                    f"first minute of {trace.name}",
                    0,
                    "cut",
                    *[reader.path for reader in trace.readers],
                    "--to",
                    60,
                    "--out",
                    folder / "early" / f"{number}.trace",
                )
        few = step("merge of the first minute alone", 0, "merge", folder / "early", "--out", folder / "few.trace")
        print(f"merging all took {whole[1] / few[1]:.2f} times the memory of merging the first minute")
        step("summary", 0, "summarise", asked.traces, "--chart", folder / "chart.svg", last=30)
        step("a module with one figure changed", 1, "replay", asked.traces, root=changed(folder), last=4)
        (largest,) = opened([folder / "all.trace"])
        low = largest.places()[len(largest.places()) // 2].stretch.first
        begun = time.perf_counter()
        window = len(list(select(largest, low, low + 10_000)))
        sought = time.perf_counter() - begun
        begun = time.perf_counter()
        scanned = sum(low <= entry.now <= low + 10_000 for entry in largest.entries())
        full = time.perf_counter() - begun
        print(
            f"a second's window of {window} records: {sought * 1000:.1f} ms, by a full scan {full * 1000:.0f} ms "
            f"({full / sought:.0f} times); the same records: {window == scanned}"
        )
    print(f"this program's own peak: {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024:.0f} MB")


if __name__ == "__main__":
    main()
