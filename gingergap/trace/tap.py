"""The recorded wire of a bench run (`--tap FILE`) as traces of its proxies.

The wire tells events and decisions batch by batch, not which event brought forth which decision. So the events go
through the adapter and the module once more, on tape, and every reply is compared with the one recorded: as long as all
are alike, the tape says it. At the first that differs the conversion ends, since what follows answers other decisions.
"""

from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from ..benchlink.codec import BadLineError, decode
from ..benchlink.proxy import Proxy
from ..call_controller import CallController
from .copy import Copy
from .format import FORMAT, BadTraceError, Header, timed
from .stored_names import stored_arguments
from .stream import Entry
from .tape import Tape, module_digest, recorded

UNIT = 100  # microseconds in a tenth of a millisecond


class Converted(NamedTuple):
    """`first` says where replies first differ, empty if nowhere."""

    written: list[tuple[Path, int]]
    batches: int
    replies: int
    differ: int
    first: str


class Batch(NamedTuple):
    """One batch of a process's, or its reply (`came` false), with the number of its first line in the file."""

    process: str
    came: bool
    line: int
    lines: list[str]


def batches(path: Path) -> Iterator[Batch]:
    """Raises BadTraceError."""
    held: Batch | None = None
    try:
        with path.open(encoding="utf-8", errors="replace") as file:
            for number, line in enumerate(file, 1):
                if line.startswith((">> ", "<< ")):
                    if held is not None:
                        yield held
                    held = Batch(line[3:].partition(",")[0], line.startswith(">>"), number + 1, [])
                elif line.strip():
                    if held is None:
                        raise BadTraceError(f"{path}: line {number}: no recorded wire")
                    held.lines.append(line)
    except OSError as error:
        raise BadTraceError(f"{path}: {error.strerror}") from None
    if held is not None:
        yield held


class Taped:
    """One proxy of the run: the adapter's, its tape, its file."""

    def __init__(self, folder: Path, msg: dict[str, Any], life: int, now_us: int, out: list[str]) -> None:
        self.tape = Tape(1 << 40)
        self.figures: dict[str, Any] = {}
        self.proxy = Proxy(msg["Proxy"], msg["Prng"], msg["Facts"], now_us, out, self._made)
        header = Header(
            FORMAT, module_digest(), f"{life:04d}", msg["Proxy"].replace("_", "-"), now_us / 1_000_000, now_us // UNIT, self.figures
        )
        self.copy = Copy(folder / f"{header.instance}-{header.epoch}-000.trace", header)
        self.now = now_us // UNIT

    def _made(self, host: Any, seed: int, here: int, proxies: int, types: list[Any], **figures: Any) -> CallController:
        self.figures.update(
            stored_arguments(figures),
            seed=seed,
            here=here,
            proxies=proxies,
            types=[[*entry[:5], None if entry.pools is None else sorted(entry.pools)] for entry in types],
        )
        return recorded(self.tape, host, seed, here, proxies, types, **figures)

    def write(self) -> None:
        records, _ = self.tape.take()
        for record in records:
            if timed(record):
                self.now = record[1]
            self.copy.put(Entry(0, self.now, record))


class Process:
    """One adapter process of the run."""

    def __init__(self, folder: Path, lives: dict[str, int]) -> None:
        self.folder, self.lives = folder, lives
        self.taped: dict[str, Taped] = {}
        self.over: list[Taped] = []
        self.lists: dict[int, list[dict[str, Any]]] = {}
        self.out: list[str] = []  # what the proxies asked for, one list for all batches as in the adapter

    def take(self, batch: Batch) -> list[str]:
        """The actions for one batch. Raises BadTraceError."""
        self.out.clear()
        now = 0
        for number, line in enumerate(batch.lines, batch.line):
            try:
                msg = decode(line, number)
                if msg["t"] == "Tick":
                    now = msg["Time"]
                elif msg["t"] == "Manifest":
                    self.lists[msg["SetId"]] = msg["Records"]
                elif msg["t"] == "Spawn":
                    name = msg["Proxy"]
                    self._stop(name)
                    self.lives[name] = self.lives.get(name, -1) + 1
                    self.taped[name] = Taped(self.folder, msg, self.lives[name], now, self.out)
                elif msg["t"] == "Stop":
                    self._stop(msg["Proxy"])
                elif msg["t"] != "End":
                    self.taped[msg["Proxy"]].proxy.take(msg, now, self.lists)
            except (BadLineError, KeyError) as bad:
                raise BadTraceError(f"line {number}: {bad}") from None
        return list(self.out)

    def _stop(self, name: str) -> None:
        if name in self.taped:
            self.over.append(self.taped.pop(name))

    def write(self) -> None:
        for one in [*self.taped.values(), *self.over]:
            one.write()


def converted(path: Path, folder: Path) -> Converted:
    """Raises BadTraceError."""
    processes: dict[str, Process] = {}
    lives: dict[str, int] = {}
    asked: dict[str, list[str]] = {}
    many = replies = differ = 0
    first = ""
    for batch in batches(path):
        process = processes.setdefault(batch.process, Process(folder, lives))
        if batch.came:
            many += 1
            asked[batch.process] = process.take(batch)
            continue
        try:
            noted = [msgspec.json.decode(line, type=dict) for line in batch.lines]
        except msgspec.MsgspecError as error:
            raise BadTraceError(f"{path}: reply at line {batch.line}: {error}") from None
        ours = [msgspec.json.decode(line, type=dict) for line in asked.pop(batch.process, [])]
        noted = [action for action in noted if action.get("t") not in ("Yield", "JournalLine")]
        replies += 1
        if noted != ours:
            differ += 1
            first = f"line {batch.line}: recorded {_first(noted, ours)}, this module {_first(ours, noted)}"
            break
        process.write()
    written = []
    for process in processes.values():
        for one in [*process.taped.values(), *process.over]:
            one.copy.close()
            written.append((one.copy.path, one.copy.records))
    if not written:
        raise BadTraceError(f"{path}: no proxy was started on that wire")
    return Converted(sorted(written), many, replies, differ, first)


def _first(one: list[Any], other: list[Any]) -> str:
    for place, action in enumerate(one):
        if place >= len(other) or other[place] != action:
            return str({name: value for name, value in action.items() if name != "Facts"})
    return "nothing more"
