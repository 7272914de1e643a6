"""A short dense trial of a few service processes among peers that fail, by a seed; and the rules judged from what passed.

By hand: `.venv/bin/python tests/trial.py FIRST LAST [SIDE_BY_SIDE]` plays the seeds of a range and prints what broke.
With TRIAL_TRACE naming a folder, what is known of each broken rule is written there.
"""

import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
from enum import Enum
from pathlib import Path
from random import Random

from test_service_calls import SETTINGS
from trial_peers import (
    BadCaller,
    Bus,
    BusFault,
    Caller,
    CallerFault,
    Habit,
    Reply,
    Switch,
    free_port,
    now,
    own_address,
)
from trial_rules import KILL_AFTER, MEASURING, Record, Stop, broken_rules, trace

TOLD_AFTER_TROUBLE = 6.0  # seconds from when the bus had a change and could be reached
TOLD_AFTER_RELOAD = 4.0
MOST_SHOWN = 6  # broken rules a seed


def entry(switch: Switch, state: str = "in_service", boot_ms: int = 0) -> dict:
    return {"uid": switch.uid, "endpoint": switch.address, "pod_group": switch.number, "state": state, "boot_ms": boot_ms}


class Node:
    """One service process and its configuration."""

    def __init__(self, name: str, folder: Path, bus: Bus, known: dict, record: Record, sockets: int = 128) -> None:
        self.name, self.folder, self.bus, self.record, self.sockets = name, folder, bus, record, sockets
        self.port = free_port()
        self.known = known
        self.path = folder / f"{name}.json"
        self.log_path = record.logs[name] = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.ready = False
        self.trouble_until = -1e9
        self.reloaded_at = -1e9

    def write(self) -> None:
        config = {
            "name": self.name, "listen": f"{own_address()}:{self.port}", "seed": "8c1f30d27a5be964", "bus": self.bus.address,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets}, "settings": SETTINGS, "known": self.known,
        }  # fmt: skip
        self.path.write_text(json.dumps(config))

    async def start(self) -> None:
        self.known = {"offset": len(self.bus.events), "batch": list(self.bus.events)}
        self.write()
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
        self.record.crashes.append(f"{self.name} ended at its start with {self.process.returncode}")

    def reload(self, bus: Bus) -> None:
        """SIGHUP with a configuration that names another bus."""
        if self.process is None or self.process.returncode is not None or not self.ready:
            return
        self.bus = bus
        self.reloaded_at = now()
        self.write()
        self.process.send_signal(signal.SIGHUP)

    async def stop(self, kill_after: float = KILL_AFTER) -> Stop:
        """SIGTERM, and SIGKILL at the earliest moment at which it may come."""
        stop = Stop(self.name, now())
        self.record.stops.append(stop)
        self.ready = False
        self.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), kill_after)
        except TimeoutError:
            stop.killed = True
            self.process.kill()
            await self.process.wait()
        stop.ended, stop.status = now(), self.process.returncode
        return stop

    def close(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()


class Trial:
    """The world of one trial; a scenario drives it, `judged` says what broke."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.seed = seed
        self.random = Random(seed)
        self.folder = folder
        self.record = Record()
        self.buses: list[Bus] = []
        self.switches: list[Switch] = []
        self.nodes: list[Node] = []
        self.callers: list[Caller | BadCaller] = []
        self.tasks: list[asyncio.Task] = []
        self.habits: list[Habit] = []  # that callers may have

    async def begin(self, replies: list[list[Reply]], delay: float = 0.3, sockets: int = 128, nodes: int = 1) -> None:
        """One switch a list of replies, numbered from 1; the events of a second bus go on where the first's end."""
        for number, choice in enumerate(replies, 1):
            switch = Switch(f"s-{number}", number, Random(self.random.random()), choice, delay)
            await switch.listen()
            self.switches.append(switch)
        bus = await self.new_bus()
        own = {"uid": "s-0", "endpoint": "127.0.0.1:9", "pod_group": 0, "state": "in_service", "boot_ms": 0}
        bus.tell(own, *(entry(switch) for switch in self.switches), whole=True)
        self.tasks.append(asyncio.ensure_future(self._watch_stalls()))
        self.nodes = [Node(f"n{place}", self.folder, bus, {}, self.record, sockets) for place in range(nodes)]
        for node in self.nodes:
            await node.start()

    @property
    def node(self) -> Node:
        return self.nodes[0]

    async def new_bus(self) -> Bus:
        bus = Bus()
        if self.buses:
            bus.events = self.buses[0].events
        await bus.listen()
        self.buses.append(bus)
        return bus

    async def _watch_stalls(self) -> None:
        last = now()
        while True:
            await asyncio.sleep(0.01)
            if now() - last > MEASURING:
                self.record.stalls.append((last, now()))
            last = now()

    def add_caller(self, fault: CallerFault = CallerFault.NONE, rate: float = 8.0) -> Caller:
        numbers = [switch.number for switch in self.switches]
        node = self.nodes[len(self.callers) % len(self.nodes)]
        caller = Caller(node.name, node.port, Random(self.random.random()), self.record.set_ups, fault, numbers)
        caller.rate = rate
        caller.habit_random = Random(f"{self.seed} {len(self.callers)}")
        caller.habits = {habit for habit in self.habits if caller.habit_random.random() < 0.4}
        self.run(caller)
        return caller

    def run(self, caller: Caller | BadCaller) -> None:
        self.callers.append(caller)
        self.tasks.append(asyncio.ensure_future(caller.run()))

    def tell(self, *lines: dict) -> None:
        """An event on every bus. A drain counts as told now, or later where a bus was or is in trouble."""
        self.buses[0].tell(*lines)
        for bus in self.buses[1:]:
            changed, bus.changed = bus.changed, asyncio.Event()
            changed.set()
        for line in lines:
            if line["state"] == "in_service":
                self.record.drains.pop(line["uid"], None)
            else:
                self.record.drains.setdefault(line["uid"], now())

    async def end(self, settle: float = 4.0) -> None:
        """No more set-ups; wait for what is owed, then stop everything."""
        for caller in self.callers:
            caller.stopping = True
        await asyncio.sleep(settle)
        for node in self.nodes:
            status = node.process.returncode
            if status not in (None, 0, -signal.SIGKILL):
                self.record.crashes.append(f"{node.name} ended with {status}")
            node.close()
        for task in self.tasks:
            task.cancel()
        for peer in (*self.switches, *self.buses):
            peer.close()
        self.record.legs = sorted((leg for switch in self.switches for leg in switch.legs), key=lambda leg: leg.began)
        self.record.caller_closes = [at for caller in self.callers for at in getattr(caller, "closed_at", [])]
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
    SILENT = "hangs: neither reads nor answers"
    VANISHES = "is cut off"
    LATE_CONNECTIONS = "new connections come up late"
    CLOSES_ONE = "closes a connection early"
    RESETS_ALL = "resets its connections"


MIXED = [Reply.ANSWER] * 8 + [Reply.LATE, Reply.FULL, Reply.FAULT, Reply.PIECES, Reply.TWICE, Reply.RESET, Reply.CLOSE]
SPOILT = [Reply.ANSWER] * 6 + [Reply.SPOILT, Reply.NOISE, Reply.RESET, Reply.HANG]
HANGING = [Reply.HANG] * 3 + [Reply.LATE, Reply.ANSWER]


class DenseTrial(Trial):
    """Stops in series, faults of the bus, drains, reloads and bad callers, all drawn from the seed."""

    SECONDS = 9.0

    async def play(self) -> list[str]:
        draw = self.random
        self.habits = list(Habit)
        choices = [draw.choice([MIXED, SPOILT, HANGING, [Reply.ANSWER]]) for _ in range(draw.randint(4, 6))]
        await self.begin(
            choices, delay=draw.choice([0.3, 1.0, 3.5]), sockets=draw.choice([64, 128, 256]), nodes=draw.choice([1, 1, 2, 3])
        )
        began = now()
        for _ in range(draw.randint(max(2, len(self.nodes)), 6)):
            self.add_caller(draw.choice(list(CallerFault)), rate=draw.choice([4.0, 8.0, 16.0]))
        if draw.random() < 0.5:
            self.run(BadCaller(self.node.port, Random(draw.random())))
        if draw.random() < 0.3:
            self.tasks.append(asyncio.ensure_future(self._crowd(self.node)))
        if Random(f"{self.seed} pauses").random() < 0.4:
            self.tasks += [asyncio.ensure_future(self._pauses(node)) for node in self.nodes]
        stops = [self._stops(node) for node in self.nodes]
        scripts = [self._bus_faults(), self._drains(), self._reloads(), self._switch_faults()]
        stopping = [asyncio.ensure_future(script) for script in stops]
        tasks = [asyncio.ensure_future(script) for script in scripts]
        await asyncio.sleep(self.SECONDS)
        await cancel(tasks)
        await asyncio.gather(*stopping)
        await self.end()
        broken = broken_rules(self.record, self.told, now())
        if broken and "TRIAL_TRACE" in os.environ:
            trace(self.record, broken, Path(os.environ["TRIAL_TRACE"]) / f"trial-{self.seed}-{os.getpid()}-{int(began)}.txt")
        return broken

    @property
    def told(self) -> dict[str, float]:
        """When each drain counts as told: with any trouble of a bus, reload or start near it, six seconds after that."""
        troubles = sorted(self.troubles)
        told = {}
        for uid, at in self.record.drains.items():
            latest = at
            for start, end in troubles:
                if start - 0.5 <= latest + TOLD_AFTER_TROUBLE and end + TOLD_AFTER_TROUBLE > latest - 0.5:
                    latest = max(latest, max(end, at) + TOLD_AFTER_TROUBLE)
            told[uid] = latest
        return told

    def __init__(self, seed: int, folder: Path) -> None:
        super().__init__(seed, folder)
        self.troubles: list[tuple[float, float]] = []

    async def _stops(self, node: Node) -> None:
        """Up to three ends in a row, each followed by a start at once; some begin just after a SIGHUP."""
        for _ in range(self.random.randint(1, 3)):
            await asyncio.sleep(self.random.uniform(0.5, 1.5))
            if self.random.random() < 0.4:
                node.reload(self.random.choice(self.buses))
                await asyncio.sleep(self.random.choice([0.0, 0.02, 0.3]))
            await node.stop()
            start = now()
            await asyncio.sleep(self.random.uniform(0, 0.3))
            await node.start()
            self.troubles.append((start, now()))

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
                self.troubles.append((start, now() + 1000))
                await asyncio.sleep(self.random.uniform(0.5, 3.0))
                bus.set_fault(BusFault.NONE)
                self.troubles.pop()
            self.troubles.append((start, now()))

    async def _drains(self) -> None:
        serial = 100
        while True:
            await asyncio.sleep(self.random.uniform(0.5, 2.0))
            switch = self.random.choice(self.switches)
            if switch.uid in self.record.drains:
                continue
            self.tell(entry(switch, "terminating"))
            if self.random.random() < 0.5:
                serial += 1
                new = Switch(f"s-{serial}", switch.number, Random(self.random.random()), switch.replies, switch.delay)
                await new.listen()
                self.switches.append(new)
                self.tell(entry(new))
                await asyncio.sleep(self.random.uniform(0.0, 1.0))
                self.tell(entry(switch, "terminated"))
                switch.die()

    async def _reloads(self) -> None:
        """New configurations, some in quick succession; the old bus closes after 1.5 s."""
        while True:
            await asyncio.sleep(self.random.uniform(1.0, 4.0))
            for _ in range(self.random.randint(1, 3)):
                old, new = self.buses[-1], await self.new_bus()
                for node in self.nodes:
                    node.reload(new)
                self.troubles.append(
                    (now() - TOLD_AFTER_TROUBLE + TOLD_AFTER_RELOAD, now() - TOLD_AFTER_TROUBLE + TOLD_AFTER_RELOAD)
                )
                old.stop_listening()
                asyncio.get_running_loop().call_later(1.5, old.reset_all)
                await asyncio.sleep(self.random.choice([0.0, 0.02, 0.3]))

    async def _switch_faults(self) -> None:
        """Switches that fall silent for a while, vanish, lose their connections, or let new ones come up late."""
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
        """The process stands still now and then, shorter than any bound, and has everything to read at once."""
        draw = Random(f"{self.seed} {node.name}")
        while True:
            await asyncio.sleep(draw.uniform(0.2, 1.0))
            if node.ready and node.process.returncode is None:
                began = now()
                node.process.send_signal(signal.SIGSTOP)
                try:
                    await asyncio.sleep(draw.uniform(0.02, 0.15))
                finally:
                    with contextlib.suppress(ProcessLookupError):
                        node.process.send_signal(signal.SIGCONT)
                    self.record.pauses.setdefault(node.name, []).append((began, now()))

    async def _crowd(self, node: Node) -> None:
        """Connections that say nothing, more than the process may hold."""
        held = []
        while True:
            with contextlib.suppress(OSError):
                held.append(await asyncio.open_connection(own_address(), node.port))
                if len(held) > 200:
                    held.pop(0)[1].close()
            await asyncio.sleep(0.01)


def play(seed: int, kind: type[DenseTrial] = DenseTrial, keep: Path | None = None) -> list[str]:
    """Play one seed; what broke."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(kind(seed, keep or Path(folder)).play())


def main() -> None:
    from concurrent.futures import ProcessPoolExecutor

    first, last = int(sys.argv[1]), int(sys.argv[2])
    side_by_side = int(sys.argv[3]) if len(sys.argv) > 3 else 2
    failed = 0
    with ProcessPoolExecutor(side_by_side) as pool:
        for seed, broken in zip(range(first, last + 1), pool.map(play, range(first, last + 1)), strict=True):
            failed += bool(broken)
            more = f" (+{len(broken) - MOST_SHOWN})" if len(broken) > MOST_SHOWN else ""
            print(f"seed {seed}: {'; '.join(broken[:MOST_SHOWN]) or 'kept'}{more}", flush=True)
    print(f"{last - first + 1 - failed} passed, {failed} failed")


if __name__ == "__main__":
    main()
