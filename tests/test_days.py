"""Settings, scripts and whole short days over sockets."""

import json
import signal
import socket
import subprocess
import sys
import time

import pytest
from click.testing import CliRunner

from gingergap.cli.main import main
from gingergap.settings.day import DayForm
from gingergap.settings.edge import EdgeForm
from gingergap.settings.forms import BadSettingsError, parse
from gingergap.standins.player import form, free_ports
from gingergap.standins.script import LONG_AGO, NEVER, Plan

DAY = """
(day (name "short") (seconds %s) (exchanges 3) (rate 8)
  (traffic-type (name "voice") (share 0.8) (hold-s 0.8) (setup-objective-ms 1500) (no-answer-time-ms 6000) (patience-s 2))
  (traffic-type (name "video") (share 0.2) (hold-s 0.8) (circuits 2) (importance 3) (resource-priority "q735.2")
                (setup-objective-ms 2000) (no-answer-time-ms 6000) (patience-s 2))
  (groups (mean 10)) (callers (tcp 0.5) (impatient 0.1)) (exchange-tcp 0.4)
  (cold (warm-after-ms 3000)) %s)
"""


def day_of(text="", seconds=10):
    return parse(DAY % (seconds, text), "day", day=DayForm)


@pytest.mark.parametrize(
    ("text", "places"),
    [
        ("(edge", ["no S-expression"]),
        ("(day)", ["named 'day'"]),
        ("", ["one form"]),
        ("edge", ["one form"]),
        ('(edge (nome "a"))', ["edge: nome: no such part"]),
        ("(edge stray)", ["'stray' is no part"]),
        ('(edge (name "a") (name "b"))', ["name: is given twice"]),
        ('(edge (name "a" "b"))', ["one value"]),
        (
            '(edge (name "p") (listen "nowhere") (here 5) (exchange (number -1) (id a) (address "1.2.3.4:99999")))',
            ["edge.listen", "edge.exchange[0].number", "edge.exchange[0].address", "edge.traffic-type: field required"],
        ),
        (
            '(edge (name "p") (listen "127.0.0.1:1") (here 5) (exchange (number 1) (id a) (address "127.0.0.1:2")) (traffic-type '
            "(name v) (setup-objective-ms 1) (no-answer-time-ms 1)))",
            ["here: no exchange has number 5"],
        ),
        (
            '(edge (name "p") (listen "127.0.0.1:1") (here 1) (exchange (number 1) (id a) (address "127.0.0.1:2")) (traffic-type '
            "(name v) (setup-objective-ms soon) (no-answer-time-ms 1)))",
            ["edge.traffic-type[0].setup-objective-ms"],
        ),
    ],
)
def test_each_fault_in_settings_is_named_with_its_place(tmp_path, text, places):
    path = tmp_path / "edge.sexp"
    path.write_text(text)
    result = CliRunner().invoke(main, ["edge", "run", "--settings", str(path)])
    assert result.exit_code == 2 and len(result.stderr.splitlines()) == len(places)
    for place in places:
        assert place in result.stderr
    assert all(line.startswith(str(path)) for line in result.stderr.splitlines())


def test_settings_written_are_settings_read(tmp_path):
    text = form(
        "edge",
        name="p",
        listen="127.0.0.1:1",
        here=0,
        tell_peers=False,
        exchange=[{"number": 0, "id": "x", "address": "127.0.0.1:2", "prefix": ["01", "02"]}],
        traffic_type=[{"name": "v", "setup_objective_ms": 1, "no_answer_time_ms": 2, "resource_priority": []}],
    )
    read = parse(text, "f", edge=EdgeForm)
    assert read.exchange[0].prefix == ["01", "02"] and read.tell_peers is False
    path = tmp_path / "f.sexp"
    path.write_text(text + " ; a note (with brackets\n")
    assert CliRunner().invoke(main, ["settings", "check", str(path)]).exit_code == 0
    assert CliRunner().invoke(main, ["settings", "check", str(tmp_path / "none")]).exit_code == 2


@pytest.mark.parametrize(
    ("text", "word"),
    [
        ("(fault (kind storm) (at 1))", "fault[0].kind"),
        ("(fault (kind slow) (at 9) (lasts 3))", "ends after the day"),
        ("(fault (kind loss) (at 1) (lasts 1) (factor 3))", "1 at most"),
        ("(fault (kind slow) (at 1))", "lasts is missing"),
        (
            '(traffic-type (name "more") (share 0.5) (setup-objective-ms 1) (no-answer-time-ms 1) (resource-priority "a"))',
            "add up to 1.5",
        ),
    ],
)
def test_each_fault_of_a_day_is_named(text, word):
    with pytest.raises(BadSettingsError, match=word.replace("[", r"\[")):
        day_of(text)


def test_a_day_is_drawn_alike_by_every_process():
    day = day_of("(fault (kind vanish) (at 2) (lasts 1) (share 0.4)) (fault (kind rolling) (at 4) (lasts 2) (share 1))")
    one, two, other = Plan(day, 1), Plan(day, 1), Plan(day, 2)
    assert (one.lives, one.sizes, one.weights, one.tcp) == (two.lives, two.sizes, two.weights, two.tcp)
    assert one.sizes != other.sizes


def test_machines_are_replaced_and_come_back_cold():
    day = day_of("(fault (kind vanish) (at 2) (lasts 1) (share 0.34)) (fault (kind rolling) (at 4) (lasts 3) (share 1))")
    plan = Plan(day, 1)
    gone = [life for life in plan.lives if life.dies == 2]
    assert len(gone) == 1 and not gone[0].orderly
    (back,) = [life for life in plan.lives if life.born == 3]
    assert back.id == gone[0].id
    drained = [life for life in plan.lives if life.drains < NEVER]
    assert len(drained) == 3 and all(life.dies > life.drains and life.orderly for life in drained)
    news = plan.list_news()
    assert [when for when, *_ in news] == sorted(when for when, *_ in news)
    fresh = next(life for life in plan.lives if life.born > LONG_AGO)
    assert plan.speed(fresh, fresh.born) == pytest.approx(day.cold.from_share)
    assert plan.speed(fresh, fresh.born + 100) == pytest.approx(1)


def test_faults_strike_when_and_whom_the_script_says():
    plan = Plan(
        day_of(
            "(fault (kind district-cut) (at 1) (lasts 2) (share 0.34)) "
            "(fault (kind groups-shrink) (at 5) (lasts 1) (share 1) (factor 2)) "
            "(fault (kind pauses) (at 7) (lasts 2) (share 1) (ms 500) (every-ms 1000))"
        ),
        3,
    )
    (member,) = plan.strikes[0].members
    others = [number for number in range(3) if number != member]
    assert plan.cut_off(member, others[0], 1.5) and not plan.cut_off(others[0], others[1], 1.5)
    assert not plan.cut_off(member, others[0], 3.5)
    assert plan.size(0, 1, 5.5) == plan.size(0, 1, 4) // 2
    assert plan.speed(plan.lives[0], 7.2) == 0 and plan.speed(plan.lives[0], 7.7) == 1


FAULTS = """
  (fault (kind kill-proxy) (at 1.5) (lasts 0.5) (share 0.3)) (fault (kind kill-exchange) (at 2) (lasts 0.6) (share 0.3))
  (fault (kind rolling) (at 0.5) (lasts 1) (share 0.3)) (fault (kind loss) (at 0) (lasts 4) (factor 0.05))
  (fault (kind duplication) (at 0) (lasts 4) (factor 0.05)) (fault (kind reordering) (at 0) (lasts 4) (factor 0.1) (ms 30))
  (fault (kind cut) (at 3) (share 0.5)) (fault (kind answers-lost) (at 1) (lasts 3) (share 0.4) (factor 0.5))
  (fault (kind resets) (at 0.5) (lasts 3) (share 1) (every-ms 300))
"""


def test_a_short_bad_day_over_sockets_keeps_every_rule(tmp_path):
    path = tmp_path / "day.sexp"
    path.write_text(DAY % (4, FAULTS))
    folder = tmp_path / "report"
    result = CliRunner().invoke(main, ["day", "play", str(path), "--seed", "5", "--report", str(folder)])
    assert result.exit_code == 0, result.output
    report = json.loads((folder / "report.json").read_text())
    assert all(rule["broken"] == 0 for rule in report["rules"].values())
    assert report["rules"]["1"]["judged"] > 50 and report["rules"]["2"]["judged"] > 30
    assert report["stood_in_time"] > 0 and report["final_answers"]["200"] > 0
    logs = "".join(log.read_text() for log in folder.glob("*.log"))
    assert "event-failed" not in logs and "Traceback" not in logs
    replayed = 0
    for trace in sorted((folder / "traces").glob("*.trace")):  # every process of the day, the killed one too
        result = CliRunner().invoke(main, ["trace", "replay", str(trace)])
        assert result.exit_code == 0, result.output
        replayed += int(result.output.split(" events, ")[1].split()[0])
    assert replayed > 300
    merged = CliRunner().invoke(main, ["trace", "merge", str(folder / "traces"), "--out", str(tmp_path / "merged.trace")])
    assert merged.exit_code == 0 and ", 0 received before sent" in merged.output, merged.output
    assert int(merged.output.split(" messages between proxies")[0].split()[-1]) > 20
    result = CliRunner().invoke(main, ["trace", "replay", str(tmp_path / "merged.trace")])
    assert result.exit_code == 0, result.output


def test_a_proxy_drains_on_sigterm_and_ends_with_0(tmp_path):
    port, exchange = free_ports(2)
    path = tmp_path / "edge.sexp"
    path.write_text(
        form(
            "edge",
            name="p",
            listen=f"127.0.0.1:{port}",
            here=0,
            drain_limit_s=5,
            exchange=[{"number": 0, "id": "x0", "address": f"127.0.0.1:{exchange}", "prefix": ["0"]}],
            traffic_type=[{"name": "v", "setup_objective_ms": 1000, "no_answer_time_ms": 5000}],
        )
    )
    process = subprocess.Popen(
        [sys.executable, "-m", "gingergap", "edge", "run", "--settings", str(path)], stderr=subprocess.PIPE, text=True
    )
    try:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
            peer.bind(("127.0.0.1", 0))
            peer.settimeout(0.2)
            own = f"127.0.0.1:{peer.getsockname()[1]}"
            options = (
                f"OPTIONS sip:127.0.0.1:{port} SIP/2.0\r\nVia: SIP/2.0/UDP {own};branch=z9hG4bKo\r\n"
                "From: <sip:a>;tag=1\r\nTo: <sip:b>\r\nCall-ID: o\r\nCSeq: 1 OPTIONS\r\n\r\n"
            ).encode()
            for _ in range(200):
                peer.sendto(options, ("127.0.0.1", port))
                try:
                    answer = peer.recv(2000)
                    break
                except OSError:
                    time.sleep(0.05)
            assert answer.startswith(b"SIP/2.0 200")
        process.send_signal(signal.SIGTERM)
        assert process.wait(20) == 0
        log = process.stderr.read()
        assert "event=draining" in log and "event=ended" in log
    finally:
        process.kill()
        process.wait()
        process.stderr.close()


def test_a_taken_address_ends_a_proxy_with_2(tmp_path):
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        path = tmp_path / "edge.sexp"
        path.write_text(
            form(
                "edge",
                name="p",
                listen=f"127.0.0.1:{taken.getsockname()[1]}",
                here=0,
                exchange=[{"number": 0, "id": "x0", "address": "127.0.0.1:9"}],
                traffic_type=[{"name": "v", "setup_objective_ms": 1000, "no_answer_time_ms": 5000}],
            )
        )
        done = subprocess.run(
            [sys.executable, "-m", "gingergap", "edge", "run", "--settings", str(path)], capture_output=True, text=True, timeout=60
        )
    assert done.returncode == 2 and "address-taken" in done.stderr and "Traceback" not in done.stderr
