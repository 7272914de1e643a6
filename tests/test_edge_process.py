"""A running edge: its trace goes on and off, its store outlives a kill, and what it can't open costs memory and not calls."""

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
from gingergap.trace.stream import opened


class Edge:
    """One edge process and a peer that calls through it; everything on loopback, everything awaited."""

    def __init__(self, folder, **more):
        self.folder, self.port = folder, free_ports(1)[0]
        self.peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.peer.bind(("127.0.0.1", 0))
        self.peer.settimeout(0.2)
        self.own = f"127.0.0.1:{self.peer.getsockname()[1]}"
        self.more, self.calls, self.process = more, 0, None

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
                **self.more,
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
        """A request; whether an answer that begins so comes."""
        self.calls += 1
        self.send(method, uri, f"c{self.calls}", f"z9hG4bK{method}{self.calls}", f"<{uri}>")
        return self.wait(lambda text: text.startswith(f"SIP/2.0 {expected}"), 1) is not None

    def send(self, method, uri, call, branch, to, more=""):
        self.peer.sendto(
            (
                f"{method} {uri} SIP/2.0\r\nVia: SIP/2.0/UDP {self.own};branch={branch}\r\nFrom: <sip:a@b>;tag=a\r\n"
                f"To: {to}\r\nCall-ID: {call}\r\nCSeq: 1 {method}\r\nMax-Forwards: 70\r\nContact: <sip:a@{self.own}>\r\n"
                f"{more}Content-Length: 0\r\n\r\n"
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

    def standing(self):
        """A dialog through the proxy that stands; its Call-ID."""
        self.calls += 1
        call = f"call{self.calls}"
        self.send("INVITE", f"sip:001555@127.0.0.1:{self.port}", call, f"z9hG4bKi{self.calls}", "<sip:001555@b>", "Expires: 5\r\n")
        invite = self.wait(lambda text: text.startswith("INVITE") and call in text)
        assert invite is not None
        kept = [line for line in invite.split("\r\n") if line.startswith(("Via:", "From:", "Call-ID:", "CSeq:", "Record-Route:"))]
        kept += ["To: <sip:001555@b>;tag=far", f"Contact: <sip:f@{self.own}>", "Content-Length: 0", "", ""]
        self.peer.sendto("\r\n".join(["SIP/2.0 200 OK", *kept]).encode(), ("127.0.0.1", self.port))
        assert self.wait(lambda text: text.startswith("SIP/2.0 200") and call in text and "CSeq: 1 INVITE" in text)
        return call

    def run(self, *words):
        done = CliRunner().invoke(main, [*words, "--control", str(self.folder / "p0.sock")])
        return done.exit_code, done.output

    def counts(self):
        from gingergap.control.client import ask

        return ask(str(self.folder / "p0.sock"), "counts")["counts"]

    def until(self, true):
        for _ in range(300):
            if true():
                return
            time.sleep(0.02)
        raise AssertionError("never came true")

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
    made = []

    def make(**more):
        made.append(Edge(tmp_path, **more))
        return made[-1]

    yield make
    for one in made:
        one.stop()


def test_recording_goes_off_and_on_while_calls_go_on(edge, tmp_path):
    one = edge(trace={"folder": str(tmp_path / "t"), "recording": False, "metrics": True, "spans_slower_ms": 0}).start()
    one.standing()
    code, text = one.run("trace", "state")
    assert code == 0 and "no" in text
    assert one.run("trace", "on")[0] == 0
    one.standing()
    assert one.run("trace", "remark", "a word of ours")[1].strip() == "noted"
    assert one.run("trace", "off")[0] == 0
    one.standing()
    assert one.run("trace", "on")[0] == 0
    one.standing()
    one.stop()
    (trace,) = opened([tmp_path / "t"])
    records = [entry.record for entry in trace.entries()]
    assert sum(record[0] == CODES["dialog_received"] for record in records) == 2
    assert sum(record[0] == SNAPSHOT for record in records) == 2 and [r[0] for r in records if r[0] == "gap"][:1] == ["gap"]
    assert [record[2] for record in records if record[0] == CODES["remark"]] == ["a word of ours"]
    done = CliRunner().invoke(main, ["trace", "replay", str(tmp_path / "t")])
    assert done.exit_code == 0 and "2 states taken up" in done.output


def test_metrics_count_what_ended(edge, tmp_path):
    one = edge(trace={"folder": str(tmp_path / "t"), "metrics": True, "spans_slower_ms": 0}).start()
    call = one.standing()
    one.send("BYE", f"sip:f@{one.own}", call, "z9hG4bKbye", "<sip:001555@b>;tag=far", f"Route: <sip:127.0.0.1:{one.port};lr>\r\n")
    assert one.wait(lambda text: text.startswith("BYE"))
    wanted = 'gingergap_dialogs_total{cause="",final="stood",type="v",way="direct"} 1.0'
    one.until(lambda: wanted in one.run("trace", "metrics")[1])
    one.stop()
    spans = [json.loads(line) for path in (tmp_path / "t").glob("*.spans") for line in path.read_text().splitlines()]
    assert [span["name"] for span in spans] == ["dialog", "leg"]


def test_a_proxy_killed_outright_knows_its_dialogs_when_it_comes_back(edge, tmp_path):
    one = edge(store={"folder": str(tmp_path / "s"), "every_ms": 20}).start()
    calls = [one.standing() for _ in range(3)]
    one.until(lambda: _written(one) >= 4)
    one.kill()
    assert CliRunner().invoke(main, ["store", "verify", str(tmp_path / "s")]).exit_code == 0
    one.start()
    assert one.counts()["remembered"] == 3
    one.send(
        "BYE", f"sip:f@{one.own}", calls[0], "z9hG4bKbye", "<sip:001555@b>;tag=far", f"Route: <sip:127.0.0.1:{one.port};lr>\r\n"
    )
    assert one.wait(lambda text: text.startswith("BYE") and calls[0] in text)
    one.until(lambda: one.counts().get("legs ended ended") == 1)
    one.stop()
    log = (tmp_path / "log").read_text()
    assert "standing=3" in log and "Traceback" not in log
    book = CliRunner().invoke(main, ["store", "info", str(tmp_path / "s")])
    assert "standing" in book.output and "2" in book.output


def _written(one):
    """How many dialogs and signs of life are on the disk, as the proxy tells."""
    from gingergap.control.client import ask

    state = ask(str(one.folder / "p0.sock"), "store")
    return 0 if state["waiting"] else min(state["batches"], state["records"] - state["batches"] + 1)


def test_a_folder_that_another_process_holds_costs_memory_and_not_calls(edge, tmp_path):
    from gingergap.store.record_store import RecordStore

    held = RecordStore(tmp_path / "s")
    one = edge(store={"folder": str(tmp_path / "s")}).start()
    one.standing()
    code, text = one.run("store", "state")
    assert code == 2 and len(text.strip().splitlines()) == 1
    held.close()
    log = [line for line in (tmp_path / "log").read_text().splitlines() if "store-not-open" in line]
    assert len(log) == 1 and "another process" in log[0]


def test_what_is_not_set_up_is_a_line(edge):
    one = edge().start()
    for words in (["trace", "on"], ["trace", "metrics"], ["trace", "remark", "x"], ["store", "state"]):
        code, text = one.run(*words)
        assert code == 2 and len(text.strip().splitlines()) == 1, text
