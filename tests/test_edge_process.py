"""A running proxy process: its trace is switched, its store survives a kill, and it serves calls without its store."""

import json
import socket
import subprocess
import sys
import time

import pytest
from click.testing import CliRunner

from gingergap.cli.main import main
from gingergap.standins.player import format_settings, free_ports
from gingergap.trace.format import CODES, SNAPSHOT
from gingergap.trace.stream import open_traces


class Edge:
    """One proxy process and a peer that sets calls up through it, over loopback; all waits are for an event."""

    def __init__(self, folder, **settings):
        self.folder, self.port = folder, free_ports(1)[0]
        self.peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.peer.bind(("127.0.0.1", 0))
        self.peer.settimeout(0.2)
        self.own = f"127.0.0.1:{self.peer.getsockname()[1]}"
        self.settings, self.calls, self.process = settings, 0, None

    def start(self):
        path = self.folder / "edge.sexp"
        path.write_text(
            format_settings(
                "edge",
                name="p0",
                listen=f"127.0.0.1:{self.port}",
                here=0,
                drain_limit_s=1,
                control=str(self.folder / "p0.sock"),
                exchange=[
                    {"number": 0, "id": "x0", "address": self.own, "prefix": ["000"]},
                    {"number": 1, "id": "x1", "address": self.own, "prefix": ["001"]},
                ],
                traffic_type=[{"name": "v", "setup_objective_ms": 1500, "no_answer_time_ms": 5000}],
                **self.settings,
            )
        )
        self.log = (self.folder / "log").open("a")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "gingergap", "edge", "run", "--settings", str(path)], stderr=self.log, stdout=self.log
        )
        while not self.ask("OPTIONS", f"sip:127.0.0.1:{self.port}", "200"):
            assert self.process.poll() is None, (self.folder / "log").read_text()
        return self

    def ask(self, method, uri, expected):
        """Send a request; whether a response with this status arrives within 0.2 s."""
        self.calls += 1
        self.send(method, uri, f"c{self.calls}", f"z9hG4bK{method}{self.calls}", f"<{uri}>")
        return self.wait(lambda text: text.startswith(f"SIP/2.0 {expected}"), 1) is not None

    def send(self, method, uri, call, branch, to, extra_fields=""):
        self.peer.sendto(
            (
                f"{method} {uri} SIP/2.0\r\nVia: SIP/2.0/UDP {self.own};branch={branch}\r\nFrom: <sip:a@b>;tag=a\r\n"
                f"To: {to}\r\nCall-ID: {call}\r\nCSeq: 1 {method}\r\nMax-Forwards: 70\r\nContact: <sip:a@{self.own}>\r\n"
                f"{extra_fields}Content-Length: 0\r\n\r\n"
            ).encode(),
            ("127.0.0.1", self.port),
        )

    def wait(self, wanted, tries=40):
        for _ in range(tries):
            try:
                text = self.peer.recv(65_536).decode()
            except TimeoutError:
                continue
            if wanted(text):
                return text
        return None

    def establish_dialog(self):
        """Set a dialog up through the proxy; its Call-ID."""
        self.calls += 1
        call = f"call{self.calls}"
        self.send("INVITE", f"sip:001555@127.0.0.1:{self.port}", call, f"z9hG4bKi{self.calls}", "<sip:001555@b>", "Expires: 5\r\n")
        invite = self.wait(lambda text: text.startswith("INVITE") and call in text)
        assert invite is not None
        headers = [
            line for line in invite.split("\r\n") if line.startswith(("Via:", "From:", "Call-ID:", "CSeq:", "Record-Route:"))
        ]
        headers += ["To: <sip:001555@b>;tag=far", f"Contact: <sip:f@{self.own}>", "Content-Length: 0", "", ""]
        self.peer.sendto("\r\n".join(["SIP/2.0 200 OK", *headers]).encode(), ("127.0.0.1", self.port))
        assert self.wait(lambda text: text.startswith("SIP/2.0 200") and call in text and "CSeq: 1 INVITE" in text)
        return call

    def run(self, *arguments):
        result = CliRunner().invoke(main, [*arguments, "--control", str(self.folder / "p0.sock")])
        return result.exit_code, result.output

    def counts(self):
        from gingergap.control.client import ask

        return ask(str(self.folder / "p0.sock"), "counts")["counts"]

    def wait_until(self, condition):
        for _ in range(300):
            if condition():
                return
            time.sleep(0.02)
        raise AssertionError("the condition did not become true in time")

    def kill(self):
        self.process.kill()
        self.process.wait()

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.terminate()
            self.process.wait(30)
        self.log.close()
        self.peer.close()


@pytest.fixture
def edge(tmp_path):
    processes = []

    def make(**settings):
        processes.append(Edge(tmp_path, **settings))
        return processes[-1]

    yield make
    for proxy in processes:
        proxy.stop()


def test_recording_is_switched_off_and_on_while_calls_continue(edge, tmp_path):
    proxy = edge(trace={"folder": str(tmp_path / "t"), "recording": False, "metrics": True, "spans_slower_ms": 0}).start()
    proxy.establish_dialog()
    code, text = proxy.run("trace", "state")
    assert code == 0 and "no" in text
    assert proxy.run("trace", "on")[0] == 0
    proxy.establish_dialog()
    assert proxy.run("trace", "remark", "a word of ours")[1].strip() == "noted"
    assert proxy.run("trace", "off")[0] == 0
    proxy.establish_dialog()
    assert proxy.run("trace", "on")[0] == 0
    proxy.establish_dialog()
    proxy.stop()
    (trace,) = open_traces([tmp_path / "t"])
    records = [entry.record for entry in trace.entries()]
    assert sum(record[0] == CODES["dialog_received"] for record in records) == 2
    assert sum(record[0] == SNAPSHOT for record in records) == 2 and [r[0] for r in records if r[0] == "gap"][:1] == ["gap"]
    assert [record[2] for record in records if record[0] == CODES["remark"]] == ["a word of ours"]
    result = CliRunner().invoke(main, ["trace", "replay", str(tmp_path / "t")])
    assert result.exit_code == 0 and "2 states restored" in result.output


def test_metrics_and_spans_of_an_ended_dialog(edge, tmp_path):
    proxy = edge(trace={"folder": str(tmp_path / "t"), "metrics": True, "spans_slower_ms": 0}).start()
    call = proxy.establish_dialog()
    proxy.send(
        "BYE", f"sip:f@{proxy.own}", call, "z9hG4bKbye", "<sip:001555@b>;tag=far", f"Route: <sip:127.0.0.1:{proxy.port};lr>\r\n"
    )
    assert proxy.wait(lambda text: text.startswith("BYE"))
    wanted = 'gingergap_dialogs_total{cause="",final="stood",type="v",way="direct"} 1.0'
    proxy.wait_until(lambda: wanted in proxy.run("trace", "metrics")[1])
    proxy.stop()
    spans = [json.loads(line) for path in (tmp_path / "t").glob("*.spans") for line in path.read_text().splitlines()]
    assert [span["name"] for span in spans] == ["dialog", "leg"]


def test_a_killed_proxy_restores_its_dialogs_after_a_restart(edge, tmp_path):
    proxy = edge(store={"folder": str(tmp_path / "s"), "every_ms": 20}).start()
    calls = [proxy.establish_dialog() for _ in range(3)]
    proxy.wait_until(lambda: _written(proxy) >= 4)
    proxy.kill()
    assert CliRunner().invoke(main, ["store", "verify", str(tmp_path / "s")]).exit_code == 0
    proxy.start()
    assert proxy.counts()["remembered"] == 3
    proxy.send(
        "BYE", f"sip:f@{proxy.own}", calls[0], "z9hG4bKbye", "<sip:001555@b>;tag=far", f"Route: <sip:127.0.0.1:{proxy.port};lr>\r\n"
    )
    assert proxy.wait(lambda text: text.startswith("BYE") and calls[0] in text)
    proxy.wait_until(lambda: proxy.counts().get("legs ended ended") == 1)
    proxy.stop()
    log = (tmp_path / "log").read_text()
    assert "standing=3" in log and "Traceback" not in log
    info = CliRunner().invoke(main, ["store", "info", str(tmp_path / "s")])
    assert "standing" in info.output and "2" in info.output


def _written(proxy):
    """How many dialog records and heartbeats are on the disk, according to the proxy."""
    from gingergap.control.client import ask

    state = ask(str(proxy.folder / "p0.sock"), "store")
    return 0 if state["waiting"] else min(state["batches"], state["records"] - state["batches"] + 1)


def test_a_proxy_whose_store_is_locked_serves_without_a_store(edge, tmp_path):
    from gingergap.store.record_store import RecordStore

    locked = RecordStore(tmp_path / "s")
    proxy = edge(store={"folder": str(tmp_path / "s")}).start()
    proxy.establish_dialog()
    code, text = proxy.run("store", "state")
    assert code == 2 and len(text.strip().splitlines()) == 1
    locked.close()
    log = [line for line in (tmp_path / "log").read_text().splitlines() if "store-not-open" in line]
    assert len(log) == 1 and "another process" in log[0]


def test_a_question_about_an_unconfigured_part_fails_with_one_line(edge):
    proxy = edge().start()
    for arguments in (["trace", "on"], ["trace", "metrics"], ["trace", "remark", "x"], ["store", "state"]):
        code, text = proxy.run(*arguments)
        assert code == 2 and len(text.strip().splitlines()) == 1, text
