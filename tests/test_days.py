"""Settings of days and proxies, the plan of a day, and short days played over sockets."""

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
from gingergap.standins.day_plan import BEFORE_DAY, NEVER, DayPlan
from gingergap.standins.player import format_settings, free_ports

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
    ("text", "expected"),
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
def test_each_error_in_settings_is_reported_with_its_path(tmp_path, text, expected):
    path = tmp_path / "edge.sexp"
    path.write_text(text)
    result = CliRunner().invoke(main, ["edge", "run", "--settings", str(path)])
    assert result.exit_code == 2 and len(result.stderr.splitlines()) == len(expected)
    for path_or_message in expected:
        assert path_or_message in result.stderr
    assert all(line.startswith(str(path)) for line in result.stderr.splitlines())


def test_format_settings_round_trip(tmp_path):
    text = format_settings(
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
    ("text", "expected"),
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
def test_each_error_in_a_day_is_reported(text, expected):
    with pytest.raises(BadSettingsError, match=expected.replace("[", r"\[")):
        day_of(text)


def test_plan_depends_only_on_settings_and_seed():
    day = day_of("(fault (kind vanish) (at 2) (lasts 1) (share 0.4)) (fault (kind rolling) (at 4) (lasts 2) (share 1))")
    first, second, other = DayPlan(day, 1), DayPlan(day, 1), DayPlan(day, 2)
    assert (first.machine_runs, first.group_sizes, first.destination_weights, first.tcp_exchanges) == (
        second.machine_runs,
        second.group_sizes,
        second.destination_weights,
        second.tcp_exchanges,
    )
    assert first.group_sizes != other.group_sizes


def test_restarted_machines_are_cold():
    day = day_of("(fault (kind vanish) (at 2) (lasts 1) (share 0.34)) (fault (kind rolling) (at 4) (lasts 3) (share 1))")
    plan = DayPlan(day, 1)
    stopped = [run for run in plan.machine_runs if run.stops_at == 2]
    assert len(stopped) == 1 and not stopped[0].orderly_stop
    (restarted,) = [run for run in plan.machine_runs if run.starts_at == 3]
    assert restarted.id == stopped[0].id
    drained = [run for run in plan.machine_runs if run.drains_at < NEVER]
    assert len(drained) == 3 and all(run.stops_at > run.drains_at and run.orderly_stop for run in drained)
    updates = plan.list_updates()
    assert [when for when, *_ in updates] == sorted(when for when, *_ in updates)
    cold_run = next(run for run in plan.machine_runs if run.starts_at > BEFORE_DAY)
    assert plan.processor_speed(cold_run, cold_run.starts_at) == pytest.approx(day.cold.from_share)
    assert plan.processor_speed(cold_run, cold_run.starts_at + 100) == pytest.approx(1)


def test_faults_are_active_at_their_times_on_their_targets():
    plan = DayPlan(
        day_of(
            "(fault (kind district-cut) (at 1) (lasts 2) (share 0.34)) "
            "(fault (kind groups-shrink) (at 5) (lasts 1) (share 1) (factor 2)) "
            "(fault (kind pauses) (at 7) (lasts 2) (share 1) (ms 500) (every-ms 1000))"
        ),
        3,
    )
    (target,) = plan.scheduled_faults[0].targets
    others = [number for number in range(3) if number != target]
    assert plan.is_cut_off(target, others[0], 1.5) and not plan.is_cut_off(others[0], others[1], 1.5)
    assert not plan.is_cut_off(target, others[0], 3.5)
    assert plan.group_size(0, 1, 5.5) == plan.group_size(0, 1, 4) // 2
    assert plan.processor_speed(plan.machine_runs[0], 7.2) == 0 and plan.processor_speed(plan.machine_runs[0], 7.7) == 1


FAULTS = """
  (fault (kind kill-proxy) (at 1.5) (lasts 0.5) (share 0.3)) (fault (kind kill-exchange) (at 2) (lasts 0.6) (share 0.3))
  (fault (kind rolling) (at 0.5) (lasts 1) (share 0.3)) (fault (kind loss) (at 0) (lasts 4) (factor 0.05))
  (fault (kind duplication) (at 0) (lasts 4) (factor 0.05)) (fault (kind reordering) (at 0) (lasts 4) (factor 0.1) (ms 30))
  (fault (kind cut) (at 3) (share 0.5)) (fault (kind answers-lost) (at 1) (lasts 3) (share 0.4) (factor 0.5))
  (fault (kind resets) (at 0.5) (lasts 3) (share 1) (every-ms 300))
"""


def test_short_day_with_faults_over_sockets_keeps_every_rule(tmp_path):
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
    for trace in sorted((folder / "traces").glob("*.trace")):  # of every proxy process of the day, including the killed one
        result = CliRunner().invoke(main, ["trace", "replay", str(trace)])
        assert result.exit_code == 0, result.output
        replayed += int(result.output.split(" events, ")[1].split()[0])
    assert replayed > 300
    merged = CliRunner().invoke(main, ["trace", "merge", str(folder / "traces"), "--out", str(tmp_path / "merged.trace")])
    assert merged.exit_code == 0 and ", 0 received before sent" in merged.output, merged.output
    assert int(merged.output.split(" messages between proxies")[0].split()[-1]) > 20
    result = CliRunner().invoke(main, ["trace", "replay", str(tmp_path / "merged.trace")])
    assert result.exit_code == 0, result.output


def test_sigterm_drains_a_proxy_and_exits_0(tmp_path):
    port, exchange = free_ports(2)
    path = tmp_path / "edge.sexp"
    path.write_text(
        format_settings(
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


def test_address_in_use_exits_2(tmp_path):
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        path = tmp_path / "edge.sexp"
        path.write_text(
            format_settings(
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
