"""Span trees of dialogs, their ids and positions, their files; metrics; the notes that the edge records for them."""

import json
import random

import pytest
import structlog
from click.testing import CliRunner
from test_trace import recorded_run, write_trace  # noqa: F401 - recorded_run is a fixture

from gingergap.cli.main import main
from gingergap.edge.serve import build_proxy
from gingergap.metrics.calls import CallMetrics
from gingergap.sip.fields import top_via
from gingergap.sip.message import Message
from gingergap.sip.transactions import Hop
from gingergap.spans.live import LiveSpans
from gingergap.spans.tree import RecordLocator, SpanTreeBuilder, is_worth_keeping, span_trees
from gingergap.trace.format import CODES, FORMAT, Header, Source
from gingergap.trace.instrumentation import TraceBuffer, answer_id, message_id
from gingergap.trace.live import LiveTimelines
from gingergap.trace.merge import merge
from gingergap.trace.stream import open_traces
from gingergap.trace.timeline import dialog_timelines

TYPES = [[15_000, 90_000, 0.1, 1.0, True, None], [25_000, 90_000, 0.1, 3.0, True, None]]
FIGURES = {"here": 0, "types": TYPES}


def test_every_dialog_has_a_tree_whose_record_indexes_match_its_records(recorded_run, tmp_path):  # noqa: F811
    buffer, header = recorded_run
    (trace,) = open_traces([write_trace(tmp_path, header, buffer.records, block_records=150)])
    records = [entry.record for entry in trace.entries()]
    found = list(span_trees(trace))
    arrivals = [record for record in records if record[0] == CODES["dialog_received"]]
    assert len(found) == len(arrivals) == len({tree.trace_id for tree in found})
    legs = 0
    for tree in found:
        root, *rest = tree.spans
        assert records[root.record_index][:3] == [CODES["dialog_received"], root.begin, root.attributes["dialog"]]
        for span in rest:
            assert span.parent == root.id and root.begin <= span.begin <= span.end
            if span.name == "leg":
                legs += 1
                assert records[span.record_index][:2] == [CODES["send_leg"], root.attributes["dialog"]]
    assert legs == sum(record[0] == CODES["send_leg"] for record in records) > 20
    ids = [span.id for tree in found for span in tree.spans]
    assert len(ids) == len(set(ids))


def test_waits_cover_the_time_without_a_leg_before_the_final_answer(recorded_run, tmp_path):  # noqa: F811
    buffer, header = recorded_run
    (trace,) = open_traces([write_trace(tmp_path, header, buffer.records)])
    for timeline in dialog_timelines(trace):
        covered = sum(end - begin for begin, end in timeline.waits())
        covered += sum(
            min(leg.established_at if leg.established_at >= 0 else leg.ended_at, timeline.final_at) - leg.sent_at
            for leg in timeline.legs
            if leg.sent_at < timeline.final_at
        )
        if timeline.final_at >= 0:
            assert covered == timeline.final_answer_delay


def test_spans_are_exported_in_the_format_of_the_sdk(recorded_run, tmp_path):  # noqa: F811
    buffer, header = recorded_run
    path = write_trace(tmp_path, header, buffer.records)
    result = CliRunner().invoke(main, ["trace", "spans", str(path), "--out", str(tmp_path / "s.jsonl")])
    assert result.exit_code == 0
    lines = [json.loads(line) for line in (tmp_path / "s.jsonl").read_text().splitlines()]
    roots = [line for line in lines if line["name"] == "dialog"]
    assert roots and all(line["parent_id"] is None for line in roots)
    by_id = {line["context"]["span_id"]: line for line in lines}
    for line in lines:
        assert line["attributes"]["gingergap.position"].startswith("a.trace:")
        assert line["resource"]["attributes"]["service.instance.id"] == "p0"
        if line["parent_id"]:
            assert by_id[line["parent_id"]]["context"]["trace_id"] == line["context"]["trace_id"]
    assert {line["status"]["status_code"] for line in roots} == {"ERROR", "UNSET"}
    slow_result = CliRunner().invoke(main, ["trace", "spans", str(path), "--out", str(tmp_path / "t.jsonl"), "--slower", "100"])
    assert slow_result.exit_code == 0 and 0 < len((tmp_path / "t.jsonl").read_text().splitlines()) < len(lines)


def write_tandem_traces(folder):
    """Traces of a proxy that sends a dialog over a tandem, and of the tandem's proxy. Returns the message id of the leg."""
    sent_id = message_id("z9hG4bKone")
    rows = {
        "p0": [
            [CODES["exchange_list_received"], 1, [[1, 1, 2, 0], [2, 2, 2, 0]], True],
            [CODES["dialog_received"], 10, 0, 0, 1, 1, "n", 30_000, False, False, False, -1],
            [CODES["send_leg"], 0, 2, 900],
            [CODES["sent"], 10, sent_id, 0],
            [CODES["received"], 300, answer_id(sent_id), 0],
            [CODES["dialog_established"], 300, 0, 290],
            [CODES["leg_ended"], 900, 0, 2, 0, 0, True, 5, 9],
        ],
        "p2": [
            [CODES["exchange_list_received"], 1, [[1, 1, 2, 0]], True],
            [CODES["received"], 60, sent_id, 7],
            [CODES["dialog_received"], 60, 7, 0, 1, 1, "n", 30_000, True, False, False, -1],
            [CODES["send_leg"], 7, 1, 800],
            [CODES["sent"], 250, answer_id(sent_id), 7],
            [CODES["dialog_established"], 250, 7, 190],
            [CODES["leg_ended"], 880, 7, 1, 0, 0, True, 5, 9],
        ],
    }
    for name, records in rows.items():
        write_trace(folder, Header(FORMAT, "m", "e", name, 0.0, 0, FIGURES), records, name=f"{name}.trace")
    return sent_id


def test_in_a_merged_trace_the_tandems_dialog_is_a_child_of_the_leg(tmp_path):
    leg_id = write_tandem_traces(tmp_path)
    merge(open_traces([tmp_path / "p0.trace", tmp_path / "p2.trace"]), tmp_path / "m.trace")
    (merged,) = open_traces([tmp_path / "m.trace"])
    sender_tree, tandem_tree = sorted(span_trees(merged), key=lambda tree: tree.instance)
    assert sender_tree.trace_id == tandem_tree.trace_id and sender_tree.spans[1].id == leg_id == tandem_tree.spans[0].parent
    assert tandem_tree.spans[0].name == "transit" and "crossing" not in tandem_tree.spans[0].attributes
    (separate_tree,) = span_trees(open_traces([tmp_path / "p2.trace"])[0])
    assert separate_tree.spans[0].parent == b"" and separate_tree.spans[0].attributes["crossing"] == leg_id.hex()


def test_a_running_proxy_writes_spans_of_slow_and_failed_dialogs_per_part(recorded_run, tmp_path):  # noqa: F811
    buffer, header = recorded_run
    source = Source(header.module, header.epoch, header.instance, header.wall, header.started, header.figures)
    live = LiveSpans(tmp_path, source, 100)
    metrics = CallMetrics(["voice", "video"])
    timelines = LiveTimelines(source, structlog.get_logger(), [live.write, metrics.observe])
    half = len(buffer.records) // 2
    for name, records in (("p0-e1-000.trace", buffer.records[:half]), ("p0-e1-001.trace", buffer.records[half:])):
        live.set_file(name, timelines.builder.record_index)
        timelines.add(records)
    live.close()
    lines = [json.loads(line) for path in sorted(tmp_path.glob("*.spans")) for line in path.read_text().splitlines()]
    (trace,) = open_traces([write_trace(tmp_path, header, buffer.records)])
    expected_trees = [
        tree for tree in span_trees(trace) if is_worth_keeping(tree, 100) and tree.spans[0].attributes["final"] != "open"
    ]
    assert sum(line["name"] == "dialog" for line in lines) == len(expected_trees) > 10
    positions = {line["attributes"]["gingergap.position"] for line in lines if line["name"] == "dialog"}
    assert {position.partition(":")[0] for position in positions} == {"p0-e1-000.trace", "p0-e1-001.trace"}
    for position in positions:
        name, _, record_index = position.partition(":")
        record = buffer.records[int(record_index) + (half if name.endswith("001.trace") else 0)]
        assert record[0] == CODES["dialog_received"]
    text = metrics.render()
    counted = sum(float(line.rpartition(" ")[2]) for line in text.splitlines() if line.startswith("gingergap_dialogs_total{"))
    ended = sum(timeline.outcome != "open" for timeline in dialog_timelines(trace)) - sum(
        1 for timeline in dialog_timelines(trace) if timeline.outcome != "open" and any(leg.end is None for leg in timeline.legs)
    )
    assert counted == ended
    assert 'gingergap_set_up_seconds_count{type="voice",way="direct"}' in text


def test_a_failing_consumer_is_logged_once_and_the_others_go_on():
    def failing_consumer(timeline):
        raise RuntimeError("no")

    consumed = []
    source = Source("m", "e", "p", 0.0, 0, FIGURES)
    with structlog.testing.capture_logs() as logs:
        timelines = LiveTimelines(source, structlog.get_logger(), [failing_consumer, consumed.append])
        for dialog in range(3):
            timelines.add(
                [
                    [CODES["dialog_received"], 10, dialog, 0, 1, 1, "n", 30_000, False, False, False, -1],
                    [CODES["decline"], dialog, 0],
                    ["gap", 1, 2, 3],
                ]
            )
    assert len(consumed) == 3 and len(logs) == 1 and logs[0]["event"] == "span-not-written"


def test_a_gap_ends_the_timelines_before_it():
    consumed = []
    timelines = LiveTimelines(Source("m", "e", "p", 0.0, 0, FIGURES), structlog.get_logger(), [consumed.append])
    timelines.add(
        [
            [CODES["dialog_received"], 10, 1, 0, 1, 1, "n", 30_000, False, False, False, -1],
            ["gap", 11, 20, 3],
            [CODES["decline"], 1, 0],
        ]
    )
    assert [timeline.outcome for timeline in consumed] == ["open"] and timelines.builder.open_dialogs == {}


def test_record_indexes_are_located_in_their_files():
    locator = RecordLocator()
    locator.add_file(0, "a")
    locator.add_file(100, "b")
    assert (locator.locate(99), locator.locate(100), locator.locate(450)) == (("a", 99), ("b", 0), ("b", 350))
    assert SpanTreeBuilder([], 0.0, 0, RecordLocator()).locator.locate(3) == ("", 3)


# --- notes recorded by the edge ---


@pytest.fixture
def recorded_peers(make_peers, monkeypatch):
    """Peers whose proxy records into a trace buffer, and the buffer."""
    import conftest

    buffer = TraceBuffer()
    monkeypatch.setattr(conftest, "build_proxy", lambda *args: build_proxy(*args, buffer))
    return make_peers(), buffer


def notes_named(buffer, name):
    return [list(record[1:]) for record in buffer.records if record[0] == CODES[name]]


def test_a_leg_over_a_tandem_and_its_answer_are_noted_under_its_branch(recorded_peers):
    peers, buffer = recorded_peers
    peers.notify_groups({1: 0, 2: 20, 3: 20})
    invite = peers.invite("001555")
    (leg,) = peers.legs(invite.call_id)
    leg_id = message_id(top_via(leg[0]).branch)
    assert leg[1].port != 7101 and notes_named(buffer, "sent") == [[0, leg_id, 0]]
    peers.now += 70
    peers.answer(leg, 200)
    assert notes_named(buffer, "received") == [[70, answer_id(leg_id), 0]]
    direct = peers.invite("002555")
    assert peers.legs(direct.call_id) and len(notes_named(buffer, "sent")) == 1


def test_a_dialog_in_transit_and_its_answer_are_noted_under_the_incoming_branch(recorded_peers):
    peers, buffer = recorded_peers
    for number, free in ((1, 20), (2, 0)):
        peers.notify_groups({1: free, 2: 20, 3: 20})
        call = f"transit{number}"
        fields = [("Via", f"SIP/2.0/UDP 127.0.0.1:6999;branch=z9hG4bKfar{number}"), ("Gingergap-Dialog", "transit;time-left=3000")]
        peers.invite("001555", call=call, fields=fields)
        ids = [message_id(f"z9hG4bK{call}"), message_id(f"z9hG4bKfar{number}")]
        assert [note[1] for note in notes_named(buffer, "received")][-2:] == ids
        legs = peers.legs(call)
        if free:
            peers.answer(legs[0], 200)
        else:
            assert not legs and peers.final_statuses(call) == [503]
        assert notes_named(buffer, "sent")[-1][1] == answer_id(ids[1])
    events = [record[0] for record in buffer.records]
    received, arrival = events.index(CODES["received"]), events.index(CODES["dialog_received"])
    assert received < arrival  # otherwise records caused by the arrival could precede the note


def test_messages_between_proxies_are_noted_under_their_call_id(recorded_peers, make_peers):
    peers, buffer = recorded_peers
    message = Message("MESSAGE", "sip:proxy@127.0.0.1:7000", body=b"\0\1\2\3")
    message.fields = [
        ("Via", "SIP/2.0/UDP 127.0.0.1:7100;branch=z9hG4bKm"),
        ("From", "<sip:a>;tag=1"),
        ("To", "<sip:b>"),
        ("Call-ID", "word1"),
        ("CSeq", "1 MESSAGE"),
        ("Max-Forwards", "9"),
    ]
    peers.deliver(message, Hop("UDP", "127.0.0.1", 7100))
    assert notes_named(buffer, "received") == [[0, message_id("word1"), -1]]
    peers.proxy.send_to_peers(b"\0\1\2\3")
    sent_ids = {message_id(message.call_id) for message in peers.all_messages("MESSAGE")}
    assert sent_ids == {note[1] for note in notes_named(buffer, "sent")} and sent_ids


def test_turned_away_dialogs_lateness_and_remarks_are_noted(recorded_peers):
    peers, buffer = recorded_peers
    peers.proxy.timer_ran_late(5_000, 80)
    peers.proxy.timer_ran_late(5_100, 900)
    peers.proxy.timer_ran_late(5_200, 30_000)
    assert notes_named(buffer, "ran_late") == [[5_100, 900], [5_200, 30_000]]
    invite = peers.invite("001555")
    assert peers.final_statuses(invite.call_id) == [503] and notes_named(buffer, "dialog_rejected")[0][1] == 0
    peers.proxy.remark(6_000, "phones dead in Bellville")
    assert notes_named(buffer, "remark") == [[6_000, "phones dead in Bellville"]]


def test_message_ids_differ_and_an_answer_has_another_id_than_its_request():
    generator = random.Random(3)
    texts = [str(generator.random()) for _ in range(500)]
    ids = {message_id(text) for text in texts}
    assert len(ids) == 500 and not ids & {answer_id(id_) for id_ in ids}
    assert all(answer_id(answer_id(id_)) == id_ for id_ in ids)
