"""Randomised trials by seed of who is told the end of a call: a client that comes and goes, restarts, kills, idle connections.

More seeds by hand: `.venv/bin/python tests/test_service_owed_soak.py FIRST LAST [WORKERS]`.
"""

import contextlib
import signal
import sys
import tempfile
import time
from collections import Counter
from enum import Enum
from pathlib import Path
from random import Random

import pytest
import test_service_process as scripted
from test_service_owed_releases import Switch, releases_read, restart

SEEDS = range(2, 7)
STEPS = 14
TEST_TIME = 2.5  # seconds in which a client that only tests is told what has ended
READ_TIME = 0.1  # seconds in which what was written to a client arrives


class Step(Enum):
    """What happens next in a trial."""

    SET_UP = "the client sets a call up"
    CLOSE = "the client closes its connections"
    TEST = "the client opens a connection and only tests on it"
    HEALTH_CHECK = "another client tests and goes"
    END = "a switch ends a call"
    CLOSE_IDLE = "a switch closes its connections"
    RESTART = "the process is restarted"
    KILL = "the process is killed and started"
    END_WHILE_DOWN = "the process is killed, calls end, and it is started"
    WAIT = "nothing happens for a while"


class OwedTrial:
    """One client, two switches and one process. `held`: switch numbers by the ids of the calls that were answered."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.random = Random(seed)
        self.service = scripted.Service(folder, s1=Switch(), s2=Switch())
        self.connections = []
        self.held: dict[str, int] = {}
        self.ended: set[str] = set()
        self.releases = Counter()
        self.steps: list[Step] = []

    def play(self) -> list[str]:
        """Returns the broken rules, a sentence each."""
        try:
            for _ in range(STEPS):
                self.steps.append(self.random.choice(list(Step)))
                self.take(self.steps[-1])
                self.read()
            self.come_back()
        finally:
            self.service.close()
        return self.broken_rules()

    def broken_rules(self) -> list[str]:
        untold = sorted(self.ended - set(self.releases))
        wrong = sorted(set(self.releases) - self.ended)
        return [f"not released: {id}" for id in untold] + [f"released though it stands: {id}" for id in wrong]

    def take(self, step: Step) -> None:
        match step:
            case Step.SET_UP:
                self.set_up()
            case Step.CLOSE:
                self.close_connections()
            case Step.TEST:
                self.open().send("ping", "0" * 16)
                time.sleep(TEST_TIME)
            case Step.HEALTH_CHECK:
                other = self.service.caller()
                other.send("ping", "0" * 16)
                time.sleep(0.2)
                other.close()
            case Step.END:
                self.end_call()
            case Step.CLOSE_IDLE:
                self.random.choice(list(self.service.switches.values())).close_connections()
            case Step.RESTART:
                restart(self.service, signal.SIGTERM)
            case Step.KILL:
                restart(self.service, signal.SIGKILL)
            case Step.END_WHILE_DOWN:
                self.service.process.kill()
                self.service.process.wait()
                time.sleep(READ_TIME)
                self.end_call()
                self.service.start_process()
            case Step.WAIT:
                time.sleep(self.random.uniform(0.2, 2.0))

    def open(self) -> scripted.Caller:
        self.connections.append(self.service.caller())
        return self.connections[-1]

    def set_up(self) -> None:
        self.read()
        caller = self.connections[-1] if self.connections else self.open()
        id, number = f"{self.random.getrandbits(64):016x}", self.random.choice([1, 2])
        caller.set_up(id, destination=number)
        caller.sock.settimeout(scripted.WAIT)
        while (line := caller.next())["type"] != "answer":
            self.releases[line["id"]] += 1
        self.held[id] = number

    def end_call(self) -> None:
        standing = [id for id in self.held if id not in self.ended]
        if standing:
            id = self.random.choice(standing)
            self.ended.add(id)
            switch = self.service.switches[f"s{self.held[id]}"]
            switch.end_call(id, on=switch.open_connection())
            time.sleep(READ_TIME)

    def read(self) -> None:
        """Read what was written to the client, and forget the connections that have ended."""
        for caller in list(self.connections):
            self.releases.update(releases_read(caller, READ_TIME))
            if caller.has_ended:
                self.connections.remove(caller)

    def close_connections(self) -> None:
        self.read()
        for caller in self.connections:
            caller.close()
        self.connections = []
        time.sleep(READ_TIME)

    def come_back(self) -> None:
        """The client names the calls that it holds, and has time to be told."""
        caller = self.open()
        for id in self.held:
            if id not in self.releases:
                caller.name_call(id, f"s{self.held[id]}")
        self.releases.update(releases_read(caller, TEST_TIME))
        self.read()


def play(seed: int) -> list[str]:
    with tempfile.TemporaryDirectory() as folder:
        trial = OwedTrial(seed, Path(folder))
        broken = trial.play()
        log = Path(folder, "log").read_text()
    if "Traceback" in log:
        broken.append("a traceback in the log")
    return [*broken, *(step.name for step in trial.steps)] if broken else []


# Guards against the end of a call that is told to nobody, in the order of events that a seed draws (review, cases 7 and 8).
@pytest.mark.parametrize("seed", SEEDS)
def test_every_end_of_a_call_is_told_to_its_client(seed):
    assert play(seed) == []


def main() -> None:
    from concurrent.futures import ProcessPoolExecutor

    seeds = range(int(sys.argv[1]), int(sys.argv[2]) + 1)
    workers = int(sys.argv[3]) if len(sys.argv) > 3 else 2
    failed = 0
    with ProcessPoolExecutor(workers) as pool:
        for seed, broken in zip(seeds, pool.map(play, seeds), strict=True):
            failed += bool(broken)
            print(f"seed {seed}: {', '.join(broken) or 'passed'}", flush=True)
    print(f"{len(seeds) - failed} passed, {failed} failed")


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        main()
