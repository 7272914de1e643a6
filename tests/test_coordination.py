"""Coordination of proxy processes over loopback: pauses, kills and partitions, the control socket, and the terminal view."""

import asyncio
import json
import signal
import subprocess
import sys
import time

import pytest
from click.testing import CliRunner

from gingergap.cli.main import main
from gingergap.cli.watch import WatchApp
from gingergap.control.client import NoAnswerError, ask
from gingergap.settings.edge import EdgeForm
from gingergap.settings.forms import BadSettingsError, parse
from gingergap.standins.player import format_settings, free_ports

DAY = """
(day (name "duties") (seconds 17) (exchanges 5) (rate 2) (coordination true)
  (traffic-type (name "voice") (hold-s 1) (setup-objective-ms 1500) (no-answer-time-ms 6000) (patience-s 2))
  (fault (kind pause-proxy) (at 3) (lasts 4.5) (share 0.2))
  (fault (kind kill-proxy) (at 8.5) (lasts 1) (share 0.2))
  (fault (kind split-proxies) (at 11) (lasts 3) (share 0.4)))
"""


def test_five_proxies_stopped_killed_and_split_do_each_duty_about_once(tmp_path):
    path = tmp_path / "day.sexp"
    path.write_text(DAY)
    folder = tmp_path / "report"
    result = CliRunner().invoke(main, ["day", "play", str(path), "--seed", "4", "--report", str(folder)])
    assert result.exit_code == 0, result.output
    report = json.loads((folder / "report.json").read_text())
    duties = report["duties"]
    assert len(duties) == 5
    for row in duties.values():  # a period of 1 s, about 20 s in all, a limit of 6 s
        assert row["went_back"] == 0
        assert 8 <= row["admitted"] <= 26
        assert row["longest_gap_s"] < 8
    assert len({proxy for row in duties.values() for proxy in row["by"]}) >= 3
    assert sum(row["admitted"] for row in duties.values()) <= 5 * 24  # if each of the five proxies probed all, it would be 500
    logs = "".join(log.read_text() for log in folder.glob("*.log"))
    assert "event-failed" not in logs and "Traceback" not in logs
    assert "member-dead" in logs


@pytest.fixture
def two_proxies(tmp_path):
    """Two coordinating proxies: their processes and the paths of their control sockets."""
    ports = free_ports(6)
    addresses = [f"127.0.0.1:{port}" for port in ports]
    processes, paths = [], []
    for number in range(2):
        path = tmp_path / f"edge-{number}.sexp"
        paths.append(str(tmp_path / f"{number}.sock"))
        path.write_text(
            format_settings(
                "edge",
                name=f"p{number}",
                listen=addresses[number],
                here=number,
                control=paths[-1],
                drain_limit_s=2,
                exchange=[
                    {"number": other, "id": f"x{other}", "address": addresses[2 + other], "prefix": [f"00{other}"]}
                    for other in range(2)
                ],
                traffic_type=[{"name": "v", "setup_objective_ms": 1000, "no_answer_time_ms": 5000}],
                coordination={
                    "key": "a key of sixteen or more",
                    "period_ms": 100,
                    "lease_ms": 500,
                    "probe_every_ms": 300,
                    "probe_limit_ms": 2000,
                    "member": [{"name": f"p{other}", "address": addresses[4 + other]} for other in range(2)],
                },
            )
        )
        processes.append(
            subprocess.Popen([sys.executable, "-m", "gingergap", "edge", "run", "--settings", str(path)], stderr=subprocess.DEVNULL)
        )
    yield processes, paths
    for process in processes:
        process.kill()
        process.wait()


def wait_until(condition, timeout=30):
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except NoAnswerError:
            pass
        time.sleep(0.05)
    raise AssertionError("condition not met in time")


def member_states(path):
    return {row["name"]: row["standing"] for row in ask(path, "members")}


def test_operators_see_members_and_duties_and_a_member_leaves(two_proxies):
    processes, paths = two_proxies
    wait_until(lambda: all(member_states(path) == {"p0": "alive", "p1": "alive"} for path in paths))
    wait_until(lambda: all(row["holder"] for row in ask(paths[0], "duties")))
    runner = CliRunner()
    shown = runner.invoke(main, ["duties", "show", "--control", paths[0]])
    assert shown.exit_code == 0 and "probe x0" in shown.output and "check list" in shown.output
    shown = runner.invoke(main, ["members", "show", "--control", paths[1]])
    assert shown.exit_code == 0 and "p0" in shown.output

    async def read_screen():
        app = WatchApp(paths[0], 0.2)
        async with app.run_test(size=(120, 50)) as pilot:
            await pilot.pause(0.6)
            tables = {name: app.query_one(f"#{name}").row_count for name in ("exchanges", "duties", "members")}
            line = str(app.query_one("#line").content)
            await pilot.press("q")
        return tables, line

    tables, line = asyncio.run(read_screen())
    assert tables == {"exchanges": 2, "duties": 3, "members": 2} and line.startswith("p0:")
    assert runner.invoke(main, ["members", "leave", "--control", paths[1]]).exit_code == 0
    wait_until(lambda: member_states(paths[0])["p1"] == "left")
    # One of two configured members is no majority: exclusive duties stop, the other duty continues.
    wait_until(lambda: {row["duty"] for row in ask(paths[0], "duties") if row["holder"] == "p0"} >= {"check list"})
    assert ask(paths[1], "counts")["name"] == "p1"  # it still serves calls
    processes[0].send_signal(signal.SIGTERM)
    assert processes[0].wait(20) == 0


def test_a_paused_proxy_is_declared_dead_and_rejoins_when_it_resumes(two_proxies):
    processes, paths = two_proxies
    wait_until(lambda: all(member_states(path) == {"p0": "alive", "p1": "alive"} for path in paths))
    processes[1].send_signal(signal.SIGSTOP)
    wait_until(lambda: member_states(paths[0])["p1"] == "dead")
    processes[1].send_signal(signal.SIGCONT)
    wait_until(lambda: all(member_states(path) == {"p0": "alive", "p1": "alive"} for path in paths))


def test_the_control_socket_rejects_unknown_questions(two_proxies):
    _, paths = two_proxies
    wait_until(lambda: ask(paths[0], "counts"))
    for question, message in (("nonsense", "unknown question 'nonsense'"),):
        with pytest.raises(NoAnswerError, match=message):
            ask(paths[0], question)
    result = CliRunner().invoke(main, ["duties", "show", "--control", paths[0] + "none"])
    assert result.exit_code == 2 and len(result.stderr.splitlines()) == 1


@pytest.mark.parametrize(
    ("coordination", "message"),
    [
        ('(coordination (key "short") (member (name "p") (address "127.0.0.1:9")))', "coordination.key"),
        ('(coordination (key "long enough, long") (member (name "q") (address "127.0.0.1:9")))', "'p' is not among the members"),
        (
            '(coordination (key "long enough, long") (member (name "p") (address "127.0.0.1:9")) '
            '(member (name "p") (address "127.0.0.1:8")))',
            "is given twice",
        ),
        ('(coordination (key "long enough, long") (member (name "p") (address "here")))', "coordination.member[0].address"),
    ],
)
def test_errors_in_the_coordination_settings_are_named(coordination, message):
    text = (
        '(edge (name "p") (listen "127.0.0.1:1") (here 0) (exchange (number 0) (id "x") (address "127.0.0.1:2")) '
        f'(traffic-type (name "v") (setup-objective-ms 1) (no-answer-time-ms 1)) {coordination})'
    )
    with pytest.raises(BadSettingsError) as bad:
        parse(text, "f", edge=EdgeForm)
    assert message in str(bad.value)
