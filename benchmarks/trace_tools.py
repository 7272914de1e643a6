"""Trace tools on the traces of an hour of calls: they are cut, merged and replayed, every decision is compared, and a module
with one changed number must be found to differ. Each step is a separate command whose time and peak memory are printed.

    gingergap day play days/an-hour.sexp --report found/hour      # six minutes
    python benchmarks/trace_tools.py found/hour/traces

Exit 1 if a replay differs, a merge orders a message's receipt before its sending, or the changed module is not found to differ.
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
from gingergap.trace.query import select
from gingergap.trace.stream import open_traces

PACKAGE = Path(__file__).resolve().parent.parent / "gingergap"


def run(*arguments, root=None):
    """A `gingergap trace` command: exit code, output, seconds, peak memory in MB."""
    code = (
        "import resource, sys; from gingergap.cli.main import main\n"
        "try: main(sys.argv[1:], prog_name='gingergap')\n"
        "finally: print('peak', resource.getrusage(resource.RUSAGE_SELF).ru_maxrss, file=sys.stderr)"
    )
    started = time.perf_counter()
    process = subprocess.run(
        [sys.executable, "-c", code, "trace", *map(str, arguments)],
        capture_output=True,
        text=True,
        check=False,
        cwd=root or PACKAGE.parent,
        env={"PYTHONPATH": str(root or PACKAGE.parent), "PATH": "/usr/bin:/bin"},
    )
    duration = time.perf_counter() - started
    peak = re.search(r"peak (\d+)", process.stderr)
    if process.returncode == 2:
        print(process.stderr)
    return process.returncode, process.stdout, duration, int(peak[1]) / 1024 if peak else 0.0


def run_step(title, expected_exit, *arguments, root=None, output_lines=1):
    """Run a command and print its time, peak memory and last lines; ends the program if its exit code is not the expected one."""
    code, output, duration, peak = run(*arguments, root=root)
    lines = [line for line in output.splitlines() if line.strip()]
    print(
        f"{title}: exit {code}, {duration:.1f} s, {peak:.0f} MB" + "".join(f"\n    {line}" for line in lines[-output_lines:]),
        flush=True,
    )
    if code != expected_exit:
        print(f"    expected exit {expected_exit}")
        sys.exit(1)
    return duration, peak


def write_changed_package(folder):
    """A copy of this package in which run_limit of the module is 4 instead of 5."""
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
    arguments = parser.parse_args()
    traces = open_traces([arguments.traces])
    events = records = 0
    for trace in traces:
        for entry in trace.entries():
            records += 1
            events += entry.record[0] != "gap" and is_event(entry.record[0])
    size = sum(path.stat().st_size for path in arguments.traces.glob("*.trace"))
    print(
        f"{len(traces)} processes, {sum(len(trace.readers) for trace in traces)} parts, {records} records, {events} events, "
        f"{size / 2**20:.1f} MB, {size / events:.1f} bytes an event"
    )
    first_wall_time = min(trace.header.wall for trace in traces)
    total_seconds = max(trace.wall_time(trace.block_locations()[-1].summary.last_time) for trace in traces) - first_wall_time
    with tempfile.TemporaryDirectory(prefix="gingergap-hour-") as scratch:
        folder = Path(scratch)
        duration, _ = run_step("replay of all", 0, "replay", arguments.traces)
        print(
            f"    {total_seconds * len(traces) / duration:.0f} times real time, all processes together {total_seconds:.0f} s each"
        )
        longest_trace = max(traces, key=lambda trace: sum(block.summary.record_count for block in trace.block_locations()))
        files = [reader.path for reader in longest_trace.readers]
        middle = (longest_trace.block_locations()[-1].summary.last_time - longest_trace.header.started) / 10_000 / 2
        run_step("cut of a minute", 0, "cut", *files, "--from", middle, "--to", middle + 60, "--out", folder / "cut.trace")
        run_step("replay of the cut", 0, "replay", folder / "cut.trace")
        merge_all = run_step("merge of all", 0, "merge", arguments.traces, "--out", folder / "all.trace", output_lines=12)
        run_step("replay of the merged trace", 0, "replay", folder / "all.trace")
        run_step(
            "cut of a minute of the merged trace",
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
        run_step("replay of this cut", 0, "replay", folder / "part.trace")
        for number, trace in enumerate(traces):
            end_time = trace.header.started + 10_000 * 60
            blocks = [block for block in trace.block_locations() if block.summary.first_time <= end_time]
            if blocks and trace.from_start:
                run_step(
                    f"first minute of {trace.name}",
                    0,
                    "cut",
                    *[reader.path for reader in trace.readers],
                    "--to",
                    60,
                    "--out",
                    folder / "early" / f"{number}.trace",
                )
        merge_first_minute = run_step(
            "merge of the first minute alone", 0, "merge", folder / "early", "--out", folder / "few.trace"
        )
        print(f"merging all took {merge_all[1] / merge_first_minute[1]:.2f} times the memory of merging the first minute")
        run_step("summary", 0, "summarise", arguments.traces, "--chart", folder / "chart.svg", output_lines=30)
        run_step(
            "a module with one number changed", 1, "replay", arguments.traces, root=write_changed_package(folder), output_lines=4
        )
        (largest,) = open_traces([folder / "all.trace"])
        window_start = largest.block_locations()[len(largest.block_locations()) // 2].summary.first_time
        started = time.perf_counter()
        window_records = len(list(select(largest, window_start, window_start + 10_000)))
        query_seconds = time.perf_counter() - started
        started = time.perf_counter()
        scanned_records = sum(window_start <= entry.time <= window_start + 10_000 for entry in largest.entries())
        scan_seconds = time.perf_counter() - started
        print(
            f"a second's window of {window_records} records: {query_seconds * 1000:.1f} ms, by a full scan "
            f"{scan_seconds * 1000:.0f} ms ({scan_seconds / query_seconds:.0f} times); "
            f"the same records: {window_records == scanned_records}"
        )
    print(f"this program's own peak: {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024:.0f} MB")


if __name__ == "__main__":
    main()
