"""Converts the wire capture of a bench run (`--tap FILE`) to traces of its proxies.

The capture holds events and decisions batch by batch, but not which event caused which decision. So the events are fed to
the adapter and the module again, with recording, and every reply is compared with the captured one: as long as they are
equal, the recording is exact. The conversion ends at the first reply that differs, because the events after it respond to
other decisions.
"""

from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from ..benchlink.codec import BadLineError, decode
from ..benchlink.proxy import Proxy
from ..call_controller import CallController
from .entry_writer import EntryWriter
from .format import FORMAT, BadTraceError, Header, has_time
from .instrumentation import TraceBuffer, module_digest, recording_controller
from .stored_names import stored_arguments
from .stream import Entry

UNIT_US = 100  # microseconds in a tenth of a millisecond


class ConversionResult(NamedTuple):
    """Files written with their record counts, batches and replies read, replies that differ (0 or 1), and a description
    of the first difference, empty if there is none.
    """

    written: list[tuple[Path, int]]
    batches: int
    replies: int
    different: int
    first_difference: str


class Batch(NamedTuple):
    """One batch to a process, or the reply to it (`is_request` false), with the number of its first line in the file."""

    process: str
    is_request: bool
    line: int
    lines: list[str]


def read_batches(path: Path) -> Iterator[Batch]:
    """The batches and replies of a capture in order. Raises BadTraceError."""
    batch: Batch | None = None
    try:
        with path.open(encoding="utf-8", errors="replace") as file:
            for number, line in enumerate(file, 1):
                if line.startswith((">> ", "<< ")):
                    if batch is not None:
                        yield batch
                    batch = Batch(line[3:].partition(",")[0], line.startswith(">>"), number + 1, [])
                elif line.strip():
                    if batch is None:
                        raise BadTraceError(f"{path}: line {number}: not a wire capture")
                    batch.lines.append(line)
    except OSError as error:
        raise BadTraceError(f"{path}: {error.strerror}") from None
    if batch is not None:
        yield batch


class RecordedProxy:
    """One proxy of the run with its trace buffer and its file. `run` counts the proxy's starts."""

    def __init__(self, folder: Path, msg: dict[str, Any], run: int, now_us: int, out: list[str]) -> None:
        self.buffer = TraceBuffer(1 << 40)
        self.figures: dict[str, Any] = {}
        self.proxy = Proxy(msg["Proxy"], msg["Prng"], msg["Facts"], now_us, out, self._create_controller)
        header = Header(
            FORMAT,
            module_digest(),
            f"{run:04d}",
            msg["Proxy"].replace("_", "-"),
            now_us / 1_000_000,
            now_us // UNIT_US,
            self.figures,
        )
        self.writer = EntryWriter(folder / f"{header.instance}-{header.epoch}-000.trace", header)
        self.now = now_us // UNIT_US

    def _create_controller(
        self, host: Any, seed: int, own_exchange: int, proxy_count: int, traffic_types: list[Any], **figures: Any
    ) -> CallController:
        self.figures.update(
            stored_arguments(figures),
            seed=seed,
            here=own_exchange,
            proxies=proxy_count,
            types=[[*entry[:5], None if entry.pools is None else sorted(entry.pools)] for entry in traffic_types],
        )
        return recording_controller(self.buffer, host, seed, own_exchange, proxy_count, traffic_types, **figures)

    def write(self) -> None:
        records, _ = self.buffer.drain()
        for record in records:
            if has_time(record):
                self.now = record[1]
            self.writer.write(Entry(0, self.now, record))


class AdapterProcess:
    """One adapter process of the run."""

    def __init__(self, folder: Path, run_counts: dict[str, int]) -> None:
        self.folder, self.run_counts = folder, run_counts
        self.proxies: dict[str, RecordedProxy] = {}
        self.stopped: list[RecordedProxy] = []
        self.lists: dict[int, list[dict[str, Any]]] = {}
        self.out: list[str] = []  # the proxies' actions, one list for all batches as in the adapter

    def handle(self, batch: Batch) -> list[str]:
        """Feeds a batch to the proxies and returns their actions. Raises BadTraceError."""
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
                    self.run_counts[name] = self.run_counts.get(name, -1) + 1
                    self.proxies[name] = RecordedProxy(self.folder, msg, self.run_counts[name], now, self.out)
                elif msg["t"] == "Stop":
                    self._stop(msg["Proxy"])
                elif msg["t"] != "End":
                    self.proxies[msg["Proxy"]].proxy.handle(msg, now, self.lists)
            except (BadLineError, KeyError) as error:
                raise BadTraceError(f"line {number}: {error}") from None
        return list(self.out)

    def _stop(self, name: str) -> None:
        if name in self.proxies:
            self.stopped.append(self.proxies.pop(name))

    def write(self) -> None:
        for proxy in [*self.proxies.values(), *self.stopped]:
            proxy.write()


def convert_wire_capture(path: Path, folder: Path) -> ConversionResult:
    """Converts a capture to one trace for each start of a proxy, in `folder`. Raises BadTraceError."""
    processes: dict[str, AdapterProcess] = {}
    run_counts: dict[str, int] = {}
    replayed_lines: dict[str, list[str]] = {}
    batches = replies = different = 0
    first_difference = ""
    for batch in read_batches(path):
        process = processes.setdefault(batch.process, AdapterProcess(folder, run_counts))
        if batch.is_request:
            batches += 1
            replayed_lines[batch.process] = process.handle(batch)
            continue
        try:
            captured = [msgspec.json.decode(line, type=dict) for line in batch.lines]
        except msgspec.MsgspecError as error:
            raise BadTraceError(f"{path}: reply at line {batch.line}: {error}") from None
        replayed = [msgspec.json.decode(line, type=dict) for line in replayed_lines.pop(batch.process, [])]
        captured = [action for action in captured if action.get("t") not in ("Yield", "JournalLine")]
        replies += 1
        if captured != replayed:
            different += 1
            first_difference = (
                f"line {batch.line}: recorded {_first_difference(captured, replayed)}, "
                f"this module {_first_difference(replayed, captured)}"
            )
            break
        process.write()
    written = []
    for process in processes.values():
        for proxy in [*process.proxies.values(), *process.stopped]:
            proxy.writer.close()
            written.append((proxy.writer.path, proxy.writer.record_count))
    if not written:
        raise BadTraceError(f"{path}: no proxy was started in this capture")
    return ConversionResult(sorted(written), batches, replies, different, first_difference)


def _first_difference(actions: list[Any], others: list[Any]) -> str:
    """The first of `actions` that differs from its counterpart in `others`."""
    for index, action in enumerate(actions):
        if index >= len(others) or others[index] != action:
            return str({name: value for name, value in action.items() if name != "Facts"})
    return "nothing more"
