"""Traces of a played day: bytes an event, compression, speed of replay, time to read a window of a second.

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


def timed(function, *args):
    start = time.perf_counter()
    result = function(*args)
    return result, time.perf_counter() - start


def main():
    readers = [Reader(Path(name)) for name in sys.argv[1:]]
    records = [record for reader in readers for record in reader.records() if record[0] != "gap"]
    events = sum(record[0] < FIRST_ACTION for record in records)
    json_lines = b"\n".join(msgspec.json.encode(record) for record in records)
    packed = msgspec.msgpack.encode(records)
    print(f"{len(readers)} traces, {events} events, {len(records) - events} actions")
    for name, data in (("JSON lines", json_lines), ("msgpack", packed), ("block", pack_events_block(records))):
        print(f"{name}: {len(data) / events:.1f} bytes an event, {len(data) / len(json_lines):.3f} of JSON lines")
    for name, function in (("zstd 3", zstandard.ZstdCompressor(level=3).compress), ("zlib 6", zlib.compress)):
        compressed, duration = timed(function, packed)
        print(f"{name}: {len(compressed) / len(packed):.3f} of msgpack in {duration * 1000:.1f} ms")
    trace_seconds = replay_seconds = 0.0
    decisions = 0
    for reader in readers:
        result, duration = timed(lambda reader=reader: replay(reader.header, reader.records()))
        assert result.difference is None, result.difference
        trace_seconds, replay_seconds, decisions = (
            trace_seconds + result.duration / 10_000,
            replay_seconds + duration,
            decisions + result.actions,
        )
    print(
        f"replay: {trace_seconds:.1f} s in {replay_seconds:.2f} s, {trace_seconds / replay_seconds:.0f} times real time, "
        f"{decisions} decisions, all equal"
    )
    reader = max(readers, key=lambda reader: sum(summary.record_count for _, summary in reader.block_summaries()))
    summaries = reader.block_summaries()
    window_start = summaries[len(summaries) // 2][1].first_time
    _, query_seconds = timed(lambda: list(select(reader, window_start, window_start + 10_000)))
    _, scan_seconds = timed(
        lambda: [
            record
            for record in reader.records()
            if record[0] != "gap" and record[0] < FIRST_ACTION and window_start <= record[1] <= window_start + 10_000
        ]
    )
    print(f"a second's window: {query_seconds * 1000:.1f} ms against {scan_seconds * 1000:.1f} ms by a full scan")


if __name__ == "__main__":
    main()
