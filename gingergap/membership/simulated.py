"""A network of members in simulated time, for tests and measurements: the same decision code, with loss, delay, splits,
standstills and clocks of their own. Deterministic by its seed."""

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random

import msgspec

from .swim import ENCODER, Membership, Message


class Node:
    """One member; also the host of its `Members`."""

    def __init__(self, net: "Network", name: str, generation: int, **figures) -> None:
        self.net, self.name, self.generation, self.address = net, name, generation, f"at-{name}"
        self.paused_until = 0.0
        self.running = True
        self.ups: list[str] = []
        self.downs: list[tuple[int, str, bool]] = []
        self.taken: list[str] = []
        self.inbox: list[Callable[[], None]] = []
        self.sent = self.sent_bytes = 0
        self.members = Membership(
            self, Random(f"{net.seed} {name} {generation}"), net.now, name, self.address, generation, **figures
        )

    def send(self, to: str, address: str, message: Message) -> None:
        self.sent += 1
        self.sent_bytes += len(ENCODER.encode(message)) + 60
        self.net.carry(self, address, message)

    def member_up(self, name: str) -> None:
        self.ups.append(name)

    def member_down(self, name: str, left: bool) -> None:
        self.downs.append((self.net.now, name, left))

    def name_taken(self, address: str) -> None:
        self.taken.append(address)


class Network:
    """`loss` and the two bounds of `delay` (tenths of a millisecond) hold for all ways; `cut` may forbid some."""

    def __init__(self, seed: int, loss: float = 0.0, delay: tuple[int, int] = (2, 20), tick: int = 250) -> None:
        self.seed, self.loss, self.delay, self.tick = seed, loss, delay, tick
        self.draw = Random(f"{seed} network")
        self.now = 0
        self.nodes: dict[str, Node] = {}  # by address
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.pushed = 0
        self.cut: Callable[[str, str], bool] = lambda source, target: False

    def start(self, name: str, generation: int = 1, address: str = "", **figures) -> Node:
        node = Node(self, name, generation, **figures) if not address else self._at_address(name, generation, address, figures)
        self.nodes[node.address] = node
        self.at(self.now + self.draw.randrange(self.tick), lambda: self._tick(node))
        return node

    def _at_address(self, name: str, generation: int, address: str, figures: dict) -> Node:
        node = Node(self, name, generation, **figures)
        node.address = node.members.address = address
        node.members.seeds = tuple(seed for seed in node.members.seeds if seed != address)
        node.members._say_own()
        return node

    def stop(self, node: Node) -> None:
        node.running = False
        if self.nodes.get(node.address) is node:
            del self.nodes[node.address]

    def pause(self, node: Node, span: int) -> None:
        """Stands still: nothing is read or sent; what comes meanwhile waits."""
        node.paused_until = self.now + span

    def at(self, when: int, act: Callable[[], None]) -> None:
        self.pushed += 1
        heappush(self.heap, (when, self.pushed, act))

    def carry(self, source: Node, address: str, message: Message) -> None:
        target = self.nodes.get(address)
        if target is None or self.draw.random() < self.loss or self.cut(source.name, target.name):
            return
        message = msgspec.msgpack.decode(ENCODER.encode(message), type=Message)  # a copy, as over a wire
        self.at(self.now + self.draw.randint(*self.delay), lambda: self._arrive(source, target, message))

    def _arrive(self, source: Node, target: Node, message: Message) -> None:
        if target.running:
            if self.now < target.paused_until:
                target.inbox.append(lambda: self._arrive(source, target, message))
            else:
                target.members.handle_message(self.now, source.name, source.generation, source.address, message)

    def _tick(self, node: Node) -> None:
        if not node.running:
            return
        if self.now >= node.paused_until:
            node.members.tick(self.now)
            inbox, node.inbox = node.inbox, []
            for arrive in inbox:
                arrive()
        self.at(max(self.now + self.tick, int(node.paused_until)), lambda: self._tick(node))

    def run(self, span: int, until: Callable[[], bool] | None = None) -> int:
        """Let time pass, or less once `until` holds; how long it took."""
        began, end = self.now, self.now + span
        while self.heap and self.heap[0][0] <= end:
            self.now, _, act = heappop(self.heap)
            act()
            if until is not None and until():
                return self.now - began
        self.now = end
        return span

    def agree(self, names: set[str]) -> bool:
        """Whether every running node of those names sees just those."""
        return all(
            set(node.members.active_members()) == names
            for node in self.nodes.values()
            if node.name in names and self.now >= node.paused_until
        )
