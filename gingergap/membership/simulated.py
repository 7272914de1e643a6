"""A network of members in simulated time, for tests and benchmarks: the protocol code of swim.py with message loss, delay,
partitions and paused members. Deterministic for a seed. Times in tenths of a millisecond."""

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random

import msgspec

from .swim import ENCODER, Membership, Message


class Node:
    """One member, and the host of its `Membership`. `options` are passed on to `Membership`."""

    def __init__(self, net: "Network", name: str, generation: int, **options) -> None:
        self.net, self.name, self.generation, self.address = net, name, generation, f"at-{name}"
        self.paused_until = 0.0
        self.running = True
        self.joined: list[str] = []
        self.departed: list[tuple[int, str, bool]] = []  # time, name, whether it left
        self.name_conflicts: list[str] = []
        self.inbox: list[Callable[[], None]] = []
        self.sent = self.sent_bytes = 0
        self.members = Membership(
            self, Random(f"{net.seed} {name} {generation}"), net.now, name, self.address, generation, **options
        )

    def send(self, to: str, address: str, message: Message) -> None:
        self.sent += 1
        self.sent_bytes += len(ENCODER.encode(message)) + 60
        self.net.transmit(self, address, message)

    def member_up(self, name: str) -> None:
        self.joined.append(name)

    def member_down(self, name: str, left: bool) -> None:
        self.departed.append((self.net.now, name, left))

    def name_taken(self, address: str) -> None:
        self.name_conflicts.append(address)


class Network:
    """`loss` is a probability; `delay` gives the shortest and the longest delay; both hold for every pair of members.
    `is_blocked(source, target)` may suppress messages."""

    def __init__(self, seed: int, loss: float = 0.0, delay: tuple[int, int] = (2, 20), tick_interval: int = 250) -> None:
        self.seed, self.loss, self.delay, self.tick_interval = seed, loss, delay, tick_interval
        self.rng = Random(f"{seed} network")
        self.now = 0
        self.nodes: dict[str, Node] = {}  # by address
        self.events: list[tuple[int, int, Callable[[], None]]] = []  # heap of (time, serial number, action)
        self.event_count = 0
        self.is_blocked: Callable[[str, str], bool] = lambda source, target: False

    def start(self, name: str, generation: int = 1, address: str = "", **options) -> Node:
        node = Node(self, name, generation, **options) if not address else self._at_address(name, generation, address, options)
        self.nodes[node.address] = node
        self.schedule(self.now + self.rng.randrange(self.tick_interval), lambda: self._tick(node))
        return node

    def _at_address(self, name: str, generation: int, address: str, options: dict) -> Node:
        node = Node(self, name, generation, **options)
        node.address = node.members.address = address
        node.members.seeds = tuple(seed for seed in node.members.seeds if seed != address)
        node.members._announce_self()
        return node

    def stop(self, node: Node) -> None:
        node.running = False
        if self.nodes.get(node.address) is node:
            del self.nodes[node.address]

    def pause(self, node: Node, duration: int) -> None:
        """The node neither reads nor sends; messages that arrive meanwhile are queued."""
        node.paused_until = self.now + duration

    def schedule(self, when: int, action: Callable[[], None]) -> None:
        self.event_count += 1
        heappush(self.events, (when, self.event_count, action))

    def transmit(self, source: Node, address: str, message: Message) -> None:
        target = self.nodes.get(address)
        if target is None or self.rng.random() < self.loss or self.is_blocked(source.name, target.name):
            return
        message = msgspec.msgpack.decode(ENCODER.encode(message), type=Message)  # a copy, as over a wire
        self.schedule(self.now + self.rng.randint(*self.delay), lambda: self._deliver(source, target, message))

    def _deliver(self, source: Node, target: Node, message: Message) -> None:
        if target.running:
            if self.now < target.paused_until:
                target.inbox.append(lambda: self._deliver(source, target, message))
            else:
                target.members.handle_message(self.now, source.name, source.generation, source.address, message)

    def _tick(self, node: Node) -> None:
        if not node.running:
            return
        if self.now >= node.paused_until:
            node.members.tick(self.now)
            inbox, node.inbox = node.inbox, []
            for deliver in inbox:
                deliver()
        self.schedule(max(self.now + self.tick_interval, int(node.paused_until)), lambda: self._tick(node))

    def run(self, duration: int, until: Callable[[], bool] | None = None) -> int:
        """Advances the time by `duration`, or less once `until` holds. Returns the time that passed."""
        started_at, end = self.now, self.now + duration
        while self.events and self.events[0][0] <= end:
            self.now, _, action = heappop(self.events)
            action()
            if until is not None and until():
                return self.now - started_at
        self.now = end
        return duration

    def has_converged(self, names: set[str]) -> bool:
        """Whether every running node among `names` sees exactly these members."""
        return all(
            set(node.members.active_members()) == names
            for node in self.nodes.values()
            if node.name in names and self.now >= node.paused_until
        )
