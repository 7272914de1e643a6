"""Span trees of dialogs, their ids and places, their file; metrics; what the edge notes for them."""

import json
import random

import pytest
import structlog
from click.testing import CliRunner
from test_trace import busy, written  # noqa: F401 - busy is a fixture

from gingergap.cli.main import main
from gingergap.edge.serve import build_proxy
from gingergap.metrics.calls import CallFigures
from gingergap.sip.fields import top_via
from gingergap.sip.message import Message
from gingergap.sip.transactions import Hop
from gingergap.spans.live import LiveSpans
from gingergap.spans.tree import Files, Trees, trees, worth_keeping
from gingergap.trace.format import CODES, FORMAT, Header, Source
from gingergap.trace.live import LiveStories
from gingergap.trace.merge import merge
from gingergap.trace.stories import stories_of
from gingergap.trace.stream import opened
from gingergap.trace.tape import Tape, answer_to, crossing

TYPES = [[15_000, 90_000, 0.1, 1.0, True, None], [25_000, 90_000, 0.1, 3.0, True, None]]
FIGURES = {"here": 0, "types": TYPES}


def test_every_dialog_is_a_tree_whose_places_lead_to_its_records(busy, tmp_path):  # noqa: F811
    tape, header = busy
    (trace,) = opened([written(tmp_path, header, tape.records, each=150)])
    records = [entry.record for entry in trace.entries()]
    found = list(trees(trace))
    arrivals = [record for record in records if record[0] == CODES["dialog_received"]]
    assert len(found) == len(arrivals) == len({tree.trace_id for tree in found})
    legs = 0
    for tree in found:
        root, *rest = tree.spans
        assert records[root.place][:3] == [CODES["dialog_received"], root.begin, root.fields["dialog"]]
        for span in rest:
            assert span.parent == root.id and root.begin <= span.begin <= span.end
            if span.name == "leg":
                legs += 1
                assert records[span.place][:2] == [CODES["send_leg"], root.fields["dialog"]]
    assert legs == sum(record[0] == CODES["send_leg"] for record in records) > 20
    ids = [span.id for tree in found for span in tree.spans]
    assert len(ids) == len(set(ids))


def test_waits_are_what_no_leg_and_no_answer_covers(busy, tmp_path):  # noqa: F811
    tape, header = busy
    (trace,) = opened([written(tmp_path, header, tape.records)])
    for story in stories_of(trace):
        covered = sum(over - begun for begun, over in story.waits())
        covered += sum(
            min(leg.stood if leg.stood >= 0 else leg.ended, story.final_at) - leg.sent
            for leg in story.legs
            if leg.sent < story.final_at
        )
        if story.final_at >= 0:
            assert covered == story.took


def test_spans_go_into_a_file_as_the_sdk_writes_them(busy, tmp_path):  # noqa: F811
    tape, header = busy
    path = written(tmp_path, header, tape.records)
    done = CliRunner().invoke(main, ["trace", "spans", str(path), "--out", str(tmp_path / "s.jsonl")])
    assert done.exit_code == 0
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
    slow = CliRunner().invoke(main, ["trace", "spans", str(path), "--out", str(tmp_path / "t.jsonl"), "--slower", "100"])
    assert slow.exit_code == 0 and 0 < len((tmp_path / "t.jsonl").read_text().splitlines()) < len(lines)


def over_a_tandem(folder):
    """Traces of a proxy that sends a dialog over a tandem, and of the tandem's."""
    crossed = crossing("z9hG4bKone")
    rows = {
        "p0": [
            [CODES["exchange_list_received"], 1, [[1, 1, 2, 0], [2, 2, 2, 0]], True],
            [CODES["dialog_received"], 10, 0, 0, 1, 1, "n", 30_000, False, False, False, -1],
            [CODES["send_leg"], 0, 2, 900],
            [CODES["sent"], 10, crossed, 0],
            [CODES["came"], 300, answer_to(crossed), 0],
            [CODES["dialog_established"], 300, 0, 290],
            [CODES["leg_ended"], 900, 0, 2, 0, 0, True, 5, 9],
        ],
        "p2": [
            [CODES["exchange_list_received"], 1, [[1, 1, 2, 0]], True],
            [CODES["came"], 60, crossed, 7],
            [CODES["dialog_received"], 60, 7, 0, 1, 1, "n", 30_000, True, False, False, -1],
            [CODES["send_leg"], 7, 1, 800],
            [CODES["sent"], 250, answer_to(crossed), 7],
            [CODES["dialog_established"], 250, 7, 190],
            [CODES["leg_ended"], 880, 7, 1, 0, 0, True, 5, 9],
        ],
    }
    for name, records in rows.items():
        written(folder, Header(FORMAT, "m", "e", name, 0.0, 0, FIGURES), records, name=f"{name}.trace")
    return crossed


def test_in_a_merged_trace_the_tandems_dialog_hangs_from_the_leg_that_it_is(tmp_path):
    crossed = over_a_tandem(tmp_path)
    merge(opened([tmp_path / "p0.trace", tmp_path / "p2.trace"]), tmp_path / "m.trace")
    (merged,) = opened([tmp_path / "m.trace"])
    mine, theirs = sorted(trees(merged), key=lambda tree: tree.instance)
    assert mine.trace_id == theirs.trace_id and mine.spans[1].id == crossed == theirs.spans[0].parent
    assert theirs.spans[0].name == "transit" and "crossing" not in theirs.spans[0].fields
    (alone,) = trees(opened([tmp_path / "p2.trace"])[0])
    assert alone.spans[0].parent == b"" and alone.spans[0].fields["crossing"] == crossed.hex()


def test_a_running_proxy_writes_what_took_long_or_failed_beside_its_parts(busy, tmp_path):  # noqa: F811
    tape, header = busy
    source = Source(header.module, header.epoch, header.instance, header.wall, header.started, header.figures)
    live = LiveSpans(tmp_path, source, 100)
    figures = CallFigures(["voice", "video"])
    stories = LiveStories(source, structlog.get_logger(), [live.over, figures.over])
    half = len(tape.records) // 2
    for name, records in (("p0-e1-000.trace", tape.records[:half]), ("p0-e1-001.trace", tape.records[half:])):
        live.file(name, stories.stories.place)
        stories.take(records)
    live.close()
    lines = [json.loads(line) for path in sorted(tmp_path.glob("*.spans")) for line in path.read_text().splitlines()]
    (trace,) = opened([written(tmp_path, header, tape.records)])
    kept = [tree for tree in trees(trace) if worth_keeping(tree, 100) and tree.spans[0].fields["final"] != "open"]
    assert sum(line["name"] == "dialog" for line in lines) == len(kept) > 10
    places = {line["attributes"]["gingergap.position"] for line in lines if line["name"] == "dialog"}
    assert {place.partition(":")[0] for place in places} == {"p0-e1-000.trace", "p0-e1-001.trace"}
    for place in places:
        name, _, at = place.partition(":")
        record = tape.records[int(at) + (half if name.endswith("001.trace") else 0)]
        assert record[0] == CODES["dialog_received"]
    text = figures.text()
    counted = sum(float(line.rpartition(" ")[2]) for line in text.splitlines() if line.startswith("gingergap_dialogs_total{"))
    ended = sum(story.final != "open" for story in stories_of(trace)) - sum(
        1 for story in stories_of(trace) if story.final != "open" and any(leg.how is None for leg in story.legs)
    )
    assert counted == ended
    assert 'gingergap_set_up_seconds_count{type="voice",way="direct"}' in text


def test_what_fails_in_a_span_stays_there_and_is_told_once():
    def bad(story):
        raise RuntimeError("no")

    counted = []
    source = Source("m", "e", "p", 0.0, 0, FIGURES)
    with structlog.testing.capture_logs() as logs:
        stories = LiveStories(source, structlog.get_logger(), [bad, counted.append])
        for dialog in range(3):
            stories.take(
                [
                    [CODES["dialog_received"], 10, dialog, 0, 1, 1, "n", 30_000, False, False, False, -1],
                    [CODES["decline"], dialog, 0],
                    ["gap", 1, 2, 3],
                ]
            )
    assert len(counted) == 3 and len(logs) == 1 and logs[0]["event"] == "span-not-written"


def test_a_gap_ends_the_stories_before_it():
    counted = []
    stories = LiveStories(Source("m", "e", "p", 0.0, 0, FIGURES), structlog.get_logger(), [counted.append])
    stories.take(
        [
            [CODES["dialog_received"], 10, 1, 0, 1, 1, "n", 30_000, False, False, False, -1],
            ["gap", 11, 20, 3],
            [CODES["decline"], 1, 0],
        ]
    )
    assert [story.final for story in counted] == ["open"] and stories.stories.held == {}


def test_places_are_found_in_their_files():
    files = Files()
    files.begin(0, "a")
    files.begin(100, "b")
    assert (files.find(99), files.find(100), files.find(450)) == (("a", 99), ("b", 0), ("b", 350))
    assert Trees([], 0.0, 0, Files()).files.find(3) == ("", 3)


# --- what the edge notes ---


@pytest.fixture
def taped(peers_of, monkeypatch):
    """Peers whose proxy is on tape."""
    import conftest

    tape = Tape()
    monkeypatch.setattr(conftest, "build_proxy", lambda *args: build_proxy(*args, tape))
    return peers_of(), tape


def notes(tape, name):
    return [list(record[1:]) for record in tape.records if record[0] == CODES[name]]


def test_a_leg_over_a_tandem_is_noted_under_its_branch_and_so_is_its_answer(taped):
    peers, tape = taped
    peers.tell_groups({1: 0, 2: 20, 3: 20})
    invite = peers.invite("001555")
    (leg,) = peers.legs(invite.call_id)
    crossed = crossing(top_via(leg[0]).branch)
    assert leg[1].port != 7101 and notes(tape, "sent") == [[0, crossed, 0]]
    peers.now += 70
    peers.answer(leg, 200)
    assert notes(tape, "came") == [[70, answer_to(crossed), 0]]
    direct = peers.invite("002555")
    assert peers.legs(direct.call_id) and len(notes(tape, "sent")) == 1


def test_a_dialog_in_transit_is_noted_under_the_branch_that_brought_it_and_its_answer_too(taped):
    peers, tape = taped
    for number, free in ((1, 20), (2, 0)):
        peers.tell_groups({1: free, 2: 20, 3: 20})
        call = f"transit{number}"
        fields = [("Via", f"SIP/2.0/UDP 127.0.0.1:6999;branch=z9hG4bKfar{number}"), ("Gingergap-Dialog", "transit;time-left=3000")]
        peers.invite("001555", call=call, fields=fields)
        ids = [crossing(f"z9hG4bK{call}"), crossing(f"z9hG4bKfar{number}")]
        assert [note[1] for note in notes(tape, "came")][-2:] == ids
        legs = peers.legs(call)
        if free:
            peers.answer(legs[0], 200)
        else:
            assert not legs and peers.finals(call) == [503]
        assert notes(tape, "sent")[-1][1] == answer_to(ids[1])
    events = [record[0] for record in tape.records]
    came, arrived = events.index(CODES["came"]), events.index(CODES["dialog_received"])
    assert came < arrived  # else what the arrival sets off could stand before what it came by


def test_words_between_proxies_are_noted_under_their_call_id(taped, peers_of):
    peers, tape = taped
    message = Message("MESSAGE", "sip:proxy@127.0.0.1:7000", body=b"\0\1\2\3")
    message.fields = [
        ("Via", "SIP/2.0/UDP 127.0.0.1:7100;branch=z9hG4bKm"),
        ("From", "<sip:a>;tag=1"),
        ("To", "<sip:b>"),
        ("Call-ID", "word1"),
        ("CSeq", "1 MESSAGE"),
        ("Max-Forwards", "9"),
    ]
    peers.come(message, Hop("UDP", "127.0.0.1", 7100))
    assert notes(tape, "came") == [[0, crossing("word1"), -1]]
    peers.proxy.send_to_peers(b"\0\1\2\3")
    told = {crossing(message.call_id) for message in peers.all("MESSAGE")}
    assert told == {note[1] for note in notes(tape, "sent")} and told


def test_doors_lateness_and_remarks_are_noted(taped):
    peers, tape = taped
    peers.proxy.timer_ran_late(5_000, 80)
    peers.proxy.timer_ran_late(5_100, 900)
    peers.proxy.timer_ran_late(5_200, 30_000)
    assert notes(tape, "ran_late") == [[5_100, 900], [5_200, 30_000]]
    invite = peers.invite("001555")
    assert peers.finals(invite.call_id) == [503] and notes(tape, "turned_away")[0][1] == 0
    peers.proxy.remark(6_000, "phones dead in Bellville")
    assert notes(tape, "remark") == [[6_000, "phones dead in Bellville"]]


def test_ids_of_different_texts_differ_and_answers_are_not_questions():
    draw = random.Random(3)
    texts = [str(draw.random()) for _ in range(500)]
    ids = {crossing(text) for text in texts}
    assert len(ids) == 500 and not ids & {answer_to(one) for one in ids}
    assert all(answer_to(answer_to(one)) == one for one in ids)
