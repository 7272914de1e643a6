"""A short randomised fault-injection trial: a few service processes among faulty peers, drawn from a seed.

The rules in `trial_rules` are checked against what the peers recorded. By hand: `.venv/bin/python tests/trial.py FIRST LAST
[WORKERS]` plays a range of seeds and prints the broken rules. If TRIAL_TRACE names a folder, what was recorded of each
broken rule is written there.
"""

import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
import time
from enum import Enum
from pathlib import Path
from random import Random

from test_service_calls import SETTINGS
from trial_peers import (
    BadCaller,
    BusFault,
    Caller,
    CallerFault,
    EstablishedCall,
    EventBus,
    Habit,
    Reply,
    Switch,
    free_port,
    now,
    own_address,
)
from trial_rules import CLOCK_TOLERANCE, KILL_AFTER, Record, Stop, broken_rules, write_trace

DRAIN_LIMIT_AFTER_FAULT = 6.0  # seconds from when the bus has the drain and can be reached
DRAIN_LIMIT_AFTER_RELOAD = 4.0  # seconds
SETTLE_TIME = 4.0  # seconds after the last set-up in which outstanding messages arrive
SETTLE_TIME_AFTER_HANDOVERS = 8.3  # in which calls that were cut with their switch are released
CROWD = 60  # clients
MAX_SHOWN_RULES = 6  # per seed


def topology_entry(switch: Switch, state: str = "in_service", boot_ms: int = 0, uid: str = "") -> dict:
    return {"uid": uid or switch.uid, "endpoint": switch.address, "pod_group": switch.number, "state": state, "boot_ms": boot_ms}


class Node:
    """One service process and its configuration."""

    def __init__(self, name: str, folder: Path, bus: EventBus, known: dict, record: Record, sockets: int = 128) -> None:
        self.name, self.folder, self.bus, self.record, self.sockets = name, folder, bus, record, sockets
        self.port = free_port()
        self.known = known
        self.path = folder / f"{name}.json"
        self.log_path = record.logs[name] = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.ready = False
        self.fault_until = -1e9
        self.reloaded_at = -1e9

    def write_config(self) -> None:
        config = {
            "name": self.name, "listen": f"{own_address()}:{self.port}", "seed": "8c1f30d27a5be964", "bus": self.bus.address,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets}, "settings": SETTINGS, "known": self.known,
        }  # fmt: skip
        self.path.write_text(json.dumps(config))

    async def start(self) -> None:
        self.known = {"offset": len(self.bus.events), "batch": list(self.bus.events)}
        self.write_config()
        with self.log_path.open("a") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "gingergap", "serve", stdout=log, stderr=log,
                env={**os.environ, "LB_CONFIG": str(self.path), "LB_NAME": self.name},
            )  # fmt: skip
        ping = json.dumps({"type": "ping", "id": "0" * 16, "fields": {}, "cause": 0}).encode() + b"\n"
        while self.process.returncode is None:
            try:
                reader, writer = await asyncio.open_connection(own_address(), self.port)
                writer.write(ping)
                pong = json.loads(await reader.readline())
                writer.close()
                if pong["cause"] == 1:
                    self.ready = True
                    return
            except (OSError, ValueError):
                pass
            await asyncio.sleep(0.02)
        self.record.crashes.append(f"{self.name} exited at its start with {self.process.returncode}")

    def reload(self, bus: EventBus) -> None:
        """Send SIGHUP after writing a configuration that names another bus."""
        if self.process is None or self.process.returncode is not None or not self.ready:
            return
        self.bus = bus
        self.reloaded_at = now()
        self.write_config()
        self.process.send_signal(signal.SIGHUP)

    async def stop(self, kill_after: float = KILL_AFTER) -> Stop:
        """Send SIGTERM, and SIGKILL `kill_after` seconds later: the earliest time at which it may be sent."""
        stop = Stop(self.name, now())
        self.record.stops.append(stop)
        self.ready = False
        self.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), kill_after)
        except TimeoutError:
            stop.killed = self._kill()
            await self.process.wait()
        stop.ended_at, stop.exit_status = now(), self.process.returncode
        return stop

    def _kill(self) -> bool:
        """Send SIGKILL. Returns whether the process still ran: it may have ended by itself in this moment."""
        try:
            self.process.kill()
        except ProcessLookupError:
            return False
        return True

    def close(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self._kill()


class Trial:
    """The processes, peers and records of one trial; a scenario drives it, `broken_rules` checks its record."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.seed = seed
        self.random = Random(seed)
        self.folder = folder
        self.record = Record()
        self.buses: list[EventBus] = []
        self.switches: list[Switch] = []
        self.nodes: list[Node] = []
        self.callers: list[Caller | BadCaller] = []
        self.tasks: list[asyncio.Task] = []
        self.habits: list[Habit] = []  # that callers may be given

    async def start(self, replies: list[list[Reply]], delay: float = 0.3, sockets: int = 128, nodes: int = 1) -> None:
        """Start the peers and nodes: one switch, numbered from 1, for each list of replies."""
        for number, choice in enumerate(replies, 1):
            switch = Switch(f"s-{number}", number, Random(self.random.random()), choice, delay)
            await switch.listen()
            self.switches.append(switch)
        bus = await self.new_bus()
        own = {"uid": "s-0", "endpoint": "127.0.0.1:9", "pod_group": 0, "state": "in_service", "boot_ms": 0}
        bus.publish(own, *(topology_entry(switch) for switch in self.switches), complete=True)
        self.tasks.append(asyncio.ensure_future(self._record_stalls()))
        self.nodes = [Node(f"n{index}", self.folder, bus, {}, self.record, sockets) for index in range(nodes)]
        for node in self.nodes:
            await node.start()

    @property
    def node(self) -> Node:
        return self.nodes[0]

    async def new_bus(self) -> EventBus:
        """Start a bus. All buses share one list of events, so that a second one continues the numbering of the first."""
        bus = EventBus()
        if self.buses:
            bus.events = self.buses[0].events
        await bus.listen()
        self.buses.append(bus)
        return bus

    async def _record_stalls(self) -> None:
        last = now()
        while True:
            await asyncio.sleep(0.01)
            if now() - last > CLOCK_TOLERANCE:
                self.record.stalls.append((last, now()))
            last = now()

    def add_caller(self, fault: CallerFault = CallerFault.NONE, rate: float = 8.0) -> Caller:
        destinations = [switch.number for switch in self.switches]
        node = self.nodes[len(self.callers) % len(self.nodes)]
        caller = Caller(node.name, node.port, Random(self.random.random()), self.record.set_ups, fault, destinations)
        caller.rate = rate
        caller.habit_random = Random(f"{self.seed} {len(self.callers)}")
        caller.habits = {habit for habit in self.habits if caller.habit_random.random() < 0.4}
        self.start_caller(caller)
        return caller

    def start_caller(self, caller: Caller | BadCaller) -> None:
        self.callers.append(caller)
        self.tasks.append(asyncio.ensure_future(caller.run()))

    def publish(self, *lines: dict) -> None:
        """Publish an event on every bus, and record when drains were published."""
        self.buses[0].publish(*lines)
        for bus in self.buses[1:]:
            changed, bus.changed = bus.changed, asyncio.Event()
            changed.set()
        for line in lines:
            if line["state"] == "in_service":
                self.record.drains.pop(line["uid"], None)
            else:
                self.record.drains.setdefault(line["uid"], now())

    async def finish(self, settle: float = SETTLE_TIME) -> None:
        """Send no more set-ups, wait `settle` seconds for outstanding messages, then stop everything."""
        for caller in self.callers:
            caller.stopping = True
        await asyncio.sleep(settle)
        self.record.closed_at = now()
        for node in self.nodes:
            status = node.process.returncode
            if status not in (None, 0, -signal.SIGKILL):
                self.record.crashes.append(f"{node.name} ended with {status}")
            node.close()
        for task in self.tasks:
            task.cancel()
        for peer in (*self.switches, *self.buses):
            peer.close()
        self.record.legs = sorted((leg for switch in self.switches for leg in switch.legs), key=lambda leg: leg.invite_received_at)
        self.record.caller_closes = [close for caller in self.callers for close in getattr(caller, "closes", [])]
        self.record.calls = [call for switch in self.switches for call in switch.calls]
        await asyncio.sleep(0.05)


# --- scenarios ---


async def cancel(tasks: list[asyncio.Task]) -> None:
    for task in tasks:
        task.cancel()
    for task in tasks:
        with contextlib.suppress(asyncio.CancelledError):
            await task


class SwitchFault(Enum):
    SILENT = "hangs: neither reads nor writes"
    VANISHES = "is cut off"
    LATE_CONNECTIONS = "new connections are established late"
    CLOSES_ONE = "closes a connection"
    RESETS_ALL = "resets its connections"


class Handover(Enum):
    AFTER = "the list tells of both afterwards"
    LISTED_EARLY = "the list has the new switch before the old one dies"
    SAME_ID = "the switch comes back under its id"
    TWICE = "the address changes hands twice"


MIXED_REPLIES = [Reply.ANSWER] * 8 + [
    Reply.LATE,
    Reply.FULL,
    Reply.FAULT,
    Reply.FRAGMENTS,
    Reply.DUPLICATE,
    Reply.RESET,
    Reply.CLOSE,
]
INVALID_REPLIES = [Reply.ANSWER] * 6 + [Reply.TRUNCATED, Reply.GARBAGE, Reply.RESET, Reply.HANG]
HANGING_REPLIES = [Reply.HANG] * 3 + [Reply.LATE, Reply.ANSWER]


class DenseTrial(Trial):
    """Shutdowns in series, bus faults, drains, reloads, switch faults and bad callers, all drawn from the seed."""

    SECONDS = 9.0  # before the callers stop

    async def play(self) -> list[str]:
        random = self.random
        self.habits = list(Habit)
        choices = [
            random.choice([MIXED_REPLIES, INVALID_REPLIES, HANGING_REPLIES, [Reply.ANSWER]]) for _ in range(random.randint(4, 6))
        ]
        await self.start(
            choices, delay=random.choice([0.3, 1.0, 3.5]), sockets=random.choice([64, 128, 256]), nodes=random.choice([1, 1, 2, 3])
        )
        started_at = now()
        for _ in range(random.randint(max(2, len(self.nodes)), 6)):
            self.add_caller(random.choice(list(CallerFault)), rate=random.choice([4.0, 8.0, 16.0]))
        if random.random() < 0.5:
            self.start_caller(BadCaller(self.node.port, Random(random.random())))
        if random.random() < 0.3:
            self.tasks.append(asyncio.ensure_future(self._open_idle_connections(self.node)))
        if Random(f"{self.seed} pauses").random() < 0.4:
            self.tasks += [asyncio.ensure_future(self._pauses(node)) for node in self.nodes]
        stops = [self._stops(node) for node in self.nodes]
        scripts = [self._bus_faults(), self._drains(), self._reloads(), self._switch_faults()]
        settle = SETTLE_TIME
        if Random(f"{self.seed} handovers").random() < 0.6:
            scripts.append(self._handovers(Random(f"{self.seed} handovers")))
            settle = SETTLE_TIME_AFTER_HANDOVERS
        if Random(f"{self.seed} crowd").random() < 0.3:
            self.tasks += [asyncio.ensure_future(self._crowd(node)) for node in self.nodes]
        stopping = [asyncio.ensure_future(script) for script in stops]
        tasks = [asyncio.ensure_future(script) for script in scripts]
        await asyncio.sleep(self.SECONDS)
        await cancel(tasks)
        await asyncio.gather(*stopping)
        await self.finish(settle)
        broken = broken_rules(self.record, self.drain_known_at, now())
        if broken and "TRIAL_TRACE" in os.environ:
            write_trace(
                self.record, broken, Path(os.environ["TRIAL_TRACE"]) / f"trial-{self.seed}-{os.getpid()}-{int(started_at)}.txt"
            )
        return broken

    @property
    def drain_known_at(self) -> dict[str, float]:
        """When the processes must know of each drain: at once, or six seconds after any bus fault, reload or start near it."""
        fault_periods = sorted(self.fault_periods)
        drain_known_at = {}
        for uid, at in self.record.drains.items():
            known_at = at
            for start, end in fault_periods:
                if start - 0.5 <= known_at + DRAIN_LIMIT_AFTER_FAULT and end + DRAIN_LIMIT_AFTER_FAULT > known_at - 0.5:
                    known_at = max(known_at, max(end, at) + DRAIN_LIMIT_AFTER_FAULT)
            drain_known_at[uid] = known_at
        return drain_known_at

    def __init__(self, seed: int, folder: Path) -> None:
        super().__init__(seed, folder)
        self.fault_periods: list[tuple[float, float]] = []
        self.serial = 1000  # of the switches that take over an address
        self.dead: set[Switch] = set()

    async def _stops(self, node: Node) -> None:
        """Up to three shutdowns in a row, each followed by a start soon after; some shortly after a SIGHUP."""
        for _ in range(self.random.randint(1, 3)):
            await asyncio.sleep(self.random.uniform(0.5, 1.5))
            if self.random.random() < 0.4:
                node.reload(self.random.choice(self.buses))
                await asyncio.sleep(self.random.choice([0.0, 0.02, 0.3]))
            await node.stop()
            start = now()
            await asyncio.sleep(self.random.uniform(0, 0.3))
            await node.start()
            self.fault_periods.append((start, now()))

    async def _bus_faults(self) -> None:
        while True:
            await asyncio.sleep(self.random.uniform(0.3, 1.5))
            bus = self.random.choice(self.buses)
            start = now()
            if self.random.random() < 0.3:
                bus.stop_listening()
                bus.reset_all()
                await asyncio.sleep(self.random.uniform(0.5, 2.5))
                await bus.listen()
            else:
                fault = self.random.choice([fault for fault in BusFault if fault is not BusFault.NONE])
                bus.set_fault(fault, self.random.uniform(0.5, 3.5))
                self.fault_periods.append((start, now() + 1000))
                await asyncio.sleep(self.random.uniform(0.5, 3.0))
                bus.set_fault(BusFault.NONE)
                self.fault_periods.pop()
            self.fault_periods.append((start, now()))

    async def _drains(self) -> None:
        serial = 100
        while True:
            await asyncio.sleep(self.random.uniform(0.5, 2.0))
            switch = self.random.choice(self.switches)
            if switch.uid in self.record.drains or switch in self.dead:
                continue
            self.publish(topology_entry(switch, "terminating"))
            if self.random.random() < 0.5:
                serial += 1
                new = Switch(f"s-{serial}", switch.number, Random(self.random.random()), switch.replies, switch.delay)
                await new.listen()
                self.switches.append(new)
                self.publish(topology_entry(new))
                await asyncio.sleep(self.random.uniform(0.0, 1.0))
                self.publish(topology_entry(switch, "terminated"))
                switch.die()

    async def _handovers(self, random: Random) -> None:
        """Switches die, and others listen at their addresses at once. The list tells of it before, soon after or late, with
        starts that are some milliseconds off, most of them early. Some come back under their id, and some addresses change
        hands twice within a second."""
        while True:
            await asyncio.sleep(random.uniform(0.5, 2.0))
            old = random.choice(self.switches)
            if old.uid in self.record.drains or old.silent or old.server is None or old in self.dead:
                continue
            order = random.choice(list(Handover))
            begun_ms = time.time_ns() // 1_000_000 + random.randint(-300, 40)
            uid = old.uid if order is Handover.SAME_ID else self._next_uid()
            if order is Handover.LISTED_EARLY:
                self.publish(topology_entry(old, uid=uid, boot_ms=begun_ms))
                await asyncio.sleep(random.uniform(0.0, 0.3))
            new, cut = await self._take_over(old, uid)
            entries = [] if order is Handover.SAME_ID else [topology_entry(old, "terminated")]
            try:
                if order is Handover.TWICE:
                    await asyncio.sleep(random.uniform(0.0, 0.8))
                    entries.append(topology_entry(new, "terminated", begun_ms))
                    begun_ms = time.time_ns() // 1_000_000 + random.randint(-300, 40)
                    new, more = await self._take_over(new, self._next_uid())
                    cut += more
                await asyncio.sleep(random.choice([0.0, 0.05, 0.5, 2.0]))
            finally:  # also where the trial ends meanwhile: the list tells in the end
                random.shuffle(entries)
                self.publish(*entries, topology_entry(new, boot_ms=begun_ms))
                for call in cut:
                    call.end_told_at = now()

    def _next_uid(self) -> str:
        self.serial += 1
        return f"s-{self.serial}"

    async def _take_over(self, old: Switch, uid: str) -> tuple[Switch, list[EstablishedCall]]:
        """The process of a switch dies, and another listens at its address. Returns that one, and the calls that were cut."""
        new = Switch(uid, old.number, Random(old.random.random()), old.replies, old.delay)
        new.port = old.port
        cut = old.die(address_reused=True)
        await new.listen()
        self.switches.append(new)
        self.dead.add(old)
        return new, cut

    async def _crowd(self, node: Node) -> None:
        """More clients than the process takes write the beginning of a line, byte by byte."""
        writers: list[asyncio.StreamWriter] = []
        while True:
            with contextlib.suppress(OSError):
                writers.append((await asyncio.open_connection(own_address(), node.port))[1])
            for writer in writers:
                with contextlib.suppress(OSError):
                    writer.write(b"{")
            if len(writers) > CROWD:
                writers.pop(0).close()
            await asyncio.sleep(0.02)

    async def _reloads(self) -> None:
        """Reload new configurations, some in quick succession; the old bus closes after 1.5 s."""
        while True:
            await asyncio.sleep(self.random.uniform(1.0, 4.0))
            for _ in range(self.random.randint(1, 3)):
                old, new = self.buses[-1], await self.new_bus()
                for node in self.nodes:
                    node.reload(new)
                self.fault_periods.append(
                    (
                        now() - DRAIN_LIMIT_AFTER_FAULT + DRAIN_LIMIT_AFTER_RELOAD,
                        now() - DRAIN_LIMIT_AFTER_FAULT + DRAIN_LIMIT_AFTER_RELOAD,
                    )
                )
                old.stop_listening()
                asyncio.get_running_loop().call_later(1.5, old.reset_all)
                await asyncio.sleep(self.random.choice([0.0, 0.02, 0.3]))

    async def _switch_faults(self) -> None:
        """Switches that hang for a while, are cut off, lose their connections, or establish new ones late."""
        while True:
            await asyncio.sleep(self.random.uniform(0.3, 1.5))
            switch = self.random.choice(self.switches)
            match self.random.choice(list(SwitchFault)):
                case SwitchFault.SILENT:
                    switch.silent = True
                    await asyncio.sleep(self.random.uniform(0.3, 3.0))
                    switch.silent = False
                case SwitchFault.VANISHES:
                    await switch.vanish(self.random.uniform(0.5, 5.0))
                case SwitchFault.LATE_CONNECTIONS:
                    await switch.delay_connections(self.random.uniform(0.1, 1.5))
                case SwitchFault.CLOSES_ONE:
                    switch.close_one()
                case SwitchFault.RESETS_ALL:
                    switch.reset_all()

    async def _pauses(self, node: Node) -> None:
        """Suspend the process now and then, for less than any time limit, so that it has much to read when it resumes."""
        random = Random(f"{self.seed} {node.name}")
        while True:
            await asyncio.sleep(random.uniform(0.2, 1.0))
            if node.ready and node.process.returncode is None:
                started_at = now()
                node.process.send_signal(signal.SIGSTOP)
                try:
                    await asyncio.sleep(random.uniform(0.02, 0.15))
                finally:
                    with contextlib.suppress(ProcessLookupError):
                        node.process.send_signal(signal.SIGCONT)
                    self.record.pauses.setdefault(node.name, []).append((started_at, now()))

    async def _open_idle_connections(self, node: Node) -> None:
        """Open more idle connections than the process may hold."""
        connections = []
        while True:
            with contextlib.suppress(OSError):
                connections.append(await asyncio.open_connection(own_address(), node.port))
                if len(connections) > 200:
                    connections.pop(0)[1].close()
            await asyncio.sleep(0.01)


def play(seed: int, trial_class: type[DenseTrial] = DenseTrial, trace_folder: Path | None = None) -> list[str]:
    """Play one seed. Returns the broken rules."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(trial_class(seed, trace_folder or Path(folder)).play())


def main() -> None:
    from concurrent.futures import ProcessPoolExecutor

    first, last = int(sys.argv[1]), int(sys.argv[2])
    workers = int(sys.argv[3]) if len(sys.argv) > 3 else 2
    failed = 0
    with ProcessPoolExecutor(workers) as pool:
        for seed, broken in zip(range(first, last + 1), pool.map(play, range(first, last + 1)), strict=True):
            failed += bool(broken)
            more = f" (+{len(broken) - MAX_SHOWN_RULES})" if len(broken) > MAX_SHOWN_RULES else ""
            print(f"seed {seed}: {'; '.join(broken[:MAX_SHOWN_RULES]) or 'passed'}{more}", flush=True)
    print(f"{last - first + 1 - failed} passed, {failed} failed")


if __name__ == "__main__":
    main()
