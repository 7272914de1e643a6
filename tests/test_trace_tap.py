"""Conversion of a bench run's wire capture to traces."""

import io
import json

import pytest
from click.testing import CliRunner
from test_benchlink import END, KNOCK, LIST, SPAWN, TICK

from gingergap.benchlink.__main__ import serve
from gingergap.cli.main import main
from gingergap.trace.format import BadTraceError
from gingergap.trace.stream import open_traces
from gingergap.trace.timeline import dialog_timelines
from gingergap.trace.wire_capture import convert_wire_capture, read_batches


def write_capture(path, *batches):
    """Writes a capture: each batch with the adapter's own reply to it."""
    out, lines = io.StringIO(), []
    remaining = iter(batches)

    def input_lines():
        for batch in remaining:
            lines.append(f">> process 0, {len(batch)} bytes")
            for msg in batch:
                lines.append(json.dumps(msg))
                yield lines[-1]
            text = out.getvalue()
            out.seek(0)
            out.truncate()
            lines.append(f"<< process 0, {len(text)} bytes")
            lines.extend(text.splitlines())

    serve(input_lines(), out)
    path.write_text("\n".join(lines) + "\n")
    return path


def make_batches(restart=False):
    batches = [[TICK, SPAWN, *LIST, END]]
    for number in range(20):
        at = TICK["Time"] + number * 30_000
        events = [{**KNOCK, "Rid": 100 + number}, {"t": "Elapsed", "Proxy": "proxy_0", "Cookie": "beat"}]
        if number % 3 == 1:
            events.append({"t": "Headers", "Proxy": "proxy_0", "Rid": 100 + number, "Switch": "switch.a", "TimeTaken": 15_000})
        if number == 10 and restart:
            events = [{"t": "Stop", "Proxy": "proxy_0"}, SPAWN, *LIST]
        batches.append([{"t": "Tick", "Time": at}, *events, END])
    return batches


def test_a_capture_converts_to_a_trace_that_replays(tmp_path):
    done = convert_wire_capture(write_capture(tmp_path / "tap", *make_batches()), tmp_path / "out")
    assert done.different == 0 and done.batches == done.replies == 21
    (trace,) = open_traces([tmp_path / "out"])
    timelines = list(dialog_timelines(trace))
    assert len(timelines) == 20 and sum(timeline.outcome == "stood" for timeline in timelines) == 7
    result = CliRunner().invoke(main, ["trace", "replay", str(tmp_path / "out")])
    assert result.exit_code == 0 and "all alike" in result.output


def test_a_restarted_proxy_gets_a_trace_of_its_own(tmp_path):
    convert_wire_capture(write_capture(tmp_path / "tap", *make_batches(restart=True)), tmp_path / "out")
    assert [trace.header.epoch for trace in open_traces([tmp_path / "out"])] == ["0000", "0001"]


def test_a_differing_reply_ends_the_conversion_and_is_reported(tmp_path):
    path = write_capture(tmp_path / "tap", *make_batches())
    text = path.read_text().replace('"Rid":107,"Switch"', '"Rid":107,"Elsewhere"')
    path.write_text(text)
    result = CliRunner().invoke(main, ["trace", "from-tap", str(path), "--out", str(tmp_path / "out")])
    assert result.exit_code == 1 and "1 differ" in result.output and "Elsewhere" in result.output
    (trace,) = open_traces([tmp_path / "out"])
    assert len(list(dialog_timelines(trace))) == 7  # the batches before the difference


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("not a wire\n", "line 1: not a wire capture"),
        (">> process 0, 3 bytes\n{}\n", "line 2"),
        (">> process 0, 3 bytes\n" + json.dumps(TICK) + "\n" + json.dumps(KNOCK) + "\n", "line 3"),
        (">> process 0, 3 bytes\n" + json.dumps(TICK) + "\n<< process 0, 4 bytes\nnot JSON\n", "line 4"),
        ("", "no proxy"),
    ],
)
def test_invalid_captures_are_refused_with_the_line_number(tmp_path, text, message):
    path = tmp_path / "tap"
    path.write_text(text)
    with pytest.raises(BadTraceError, match=message):
        convert_wire_capture(path, tmp_path / "out")


def test_a_missing_file_is_reported_as_bad_trace(tmp_path):
    with pytest.raises(BadTraceError, match="No such file"):
        list(read_batches(tmp_path / "none"))
