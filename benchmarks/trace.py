"""Traces: bytes an event, packing, replay against real time, seeking; on traces of a played day.

gingergap day play days/bad-monday.sexp --report found/day
python benchmarks/trace.py found/day/traces/*.trace
"""

import sys
import time
import zlib
from pathlib import Path

import msgspec
import zstandard

from gingergap.trace.format import FIRST_ACTION, Reader, pack_events_block
from gingergap.trace.query import select
from gingergap.trace.replay import replay


def timed(run, *args):
    start = time.perf_counter()
    result = run(*args)
    return result, time.perf_counter() - start


def main():
    readers = [Reader(Path(name)) for name in sys.argv[1:]]
    records = [record for reader in readers for record in reader.records() if record[0] != "gap"]
    events = sum(record[0] < FIRST_ACTION for record in records)
    lines = b"\n".join(msgspec.json.encode(record) for record in records)
    packed = msgspec.msgpack.encode(records)
    print(f"{len(readers)} traces, {events} events, {len(records) - events} actions")
    for name, data in (("JSON lines", lines), ("msgpack", packed), ("block", pack_events_block(records))):
        print(f"{name}: {len(data) / events:.1f} bytes an event, {len(data) / len(lines):.3f} of JSON lines")
    for name, run in (("zstd 3", zstandard.ZstdCompressor(level=3).compress), ("zlib 6", zlib.compress)):
        small, took = timed(run, packed)
        print(f"{name}: {len(small) / len(packed):.3f} of msgpack in {took * 1000:.1f} ms")
    spans = played = 0.0
    decisions = 0
    for reader in readers:
        done, took = timed(lambda reader=reader: replay(reader.header, reader.records()))
        assert done.difference is None, done.difference
        spans, played, decisions = spans + done.duration / 10_000, played + took, decisions + done.actions
    print(f"replay: {spans:.1f} s in {played:.2f} s, {spans / played:.0f} times real time, {decisions} decisions, all alike")
    reader = max(readers, key=lambda one: sum(summary.record_count for _, summary in one.block_summaries()))
    summaries = reader.block_summaries()
    low = summaries[len(summaries) // 2][1].first_time
    _, window = timed(lambda: list(select(reader, low, low + 10_000)))
    _, scan = timed(
        lambda: [
            record
            for record in reader.records()
            if record[0] != "gap" and record[0] < FIRST_ACTION and low <= record[1] <= low + 10_000
        ]
    )
    print(f"a second's window: {window * 1000:.1f} ms against {scan * 1000:.1f} ms by a full scan")


if __name__ == "__main__":
    main()
