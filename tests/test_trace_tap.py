"""The recorded wire of a bench run as traces."""

import io
import json

import pytest
from click.testing import CliRunner
from test_benchlink import END, KNOCK, LIST, SPAWN, TICK

from gingergap.benchlink.__main__ import serve
from gingergap.cli.main import main
from gingergap.trace.format import BadTraceError
from gingergap.trace.stream import open_traces
from gingergap.trace.tap import batches, converted
from gingergap.trace.timeline import dialog_timelines


def wire(path, *played):
    """A recorded wire: each batch with the adapter's own reply to it."""
    out, lines = io.StringIO(), []
    stream = iter(played)

    def asked():
        for batch in stream:
            lines.append(f">> process 0, {len(batch)} bytes")
            for msg in batch:
                lines.append(json.dumps(msg))
                yield lines[-1]
            text = out.getvalue()
            out.seek(0)
            out.truncate()
            lines.append(f"<< process 0, {len(text)} bytes")
            lines.extend(text.splitlines())

    serve(asked(), out)
    path.write_text("\n".join(lines) + "\n")
    return path


def day(restart=False):
    batches_ = [[TICK, SPAWN, *LIST, END]]
    for number in range(20):
        at = TICK["Time"] + number * 30_000
        events = [{**KNOCK, "Rid": 100 + number}, {"t": "Elapsed", "Proxy": "proxy_0", "Cookie": "beat"}]
        if number % 3 == 1:
            events.append({"t": "Headers", "Proxy": "proxy_0", "Rid": 100 + number, "Switch": "switch.a", "TimeTaken": 15_000})
        if number == 10 and restart:
            events = [{"t": "Stop", "Proxy": "proxy_0"}, SPAWN, *LIST]
        batches_.append([{"t": "Tick", "Time": at}, *events, END])
    return batches_


def test_a_wire_becomes_a_trace_that_replays_and_tells_its_dialogs(tmp_path):
    done = converted(wire(tmp_path / "tap", *day()), tmp_path / "out")
    assert done.differ == 0 and done.batches == done.replies == 21
    (trace,) = open_traces([tmp_path / "out"])
    stories = list(dialog_timelines(trace))
    assert len(stories) == 20 and sum(story.final == "stood" for story in stories) == 7
    result = CliRunner().invoke(main, ["trace", "replay", str(tmp_path / "out")])
    assert result.exit_code == 0 and "all alike" in result.output


def test_a_proxy_that_starts_again_is_a_trace_of_its_own(tmp_path):
    converted(wire(tmp_path / "tap", *day(restart=True)), tmp_path / "out")
    assert [trace.header.epoch for trace in open_traces([tmp_path / "out"])] == ["0000", "0001"]


def test_replies_of_another_version_end_the_conversion_and_are_told(tmp_path):
    path = wire(tmp_path / "tap", *day())
    text = path.read_text().replace('"Rid":107,"Switch"', '"Rid":107,"Elsewhere"')
    path.write_text(text)
    result = CliRunner().invoke(main, ["trace", "from-tap", str(path), "--out", str(tmp_path / "out")])
    assert result.exit_code == 1 and "1 differ" in result.output and "Elsewhere" in result.output
    (trace,) = open_traces([tmp_path / "out"])
    assert len(list(dialog_timelines(trace))) == 7  # up to the batch before


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("not a wire\n", "line 1: no recorded wire"),
        (">> process 0, 3 bytes\n{}\n", "line 2"),
        (">> process 0, 3 bytes\n" + json.dumps(TICK) + "\n" + json.dumps(KNOCK) + "\n", "line 3"),
        (">> process 0, 3 bytes\n" + json.dumps(TICK) + "\n<< process 0, 4 bytes\nnot JSON\n", "line 4"),
        ("", "no proxy"),
    ],
)
def test_what_is_no_wire_is_refused_naming_the_line(tmp_path, text, words):
    path = tmp_path / "tap"
    path.write_text(text)
    with pytest.raises(BadTraceError, match=words):
        converted(path, tmp_path / "out")


def test_a_missing_file_is_a_line(tmp_path):
    with pytest.raises(BadTraceError, match="No such file"):
        list(batches(tmp_path / "none"))
