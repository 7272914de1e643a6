"""Peers of a service process in one event loop on loopback, each with faults by script: event bus, switches, callers.

Times are seconds of the loop's clock. What passed is kept as typed records, which `trial_rules` judges afterwards.
"""

import asyncio
import contextlib
import itertools
import json
import os
import socket
import struct
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from gingergap.sip.framing import Framer
from gingergap.sip.message import BadMessageError, Message

NORMAL_RELEASE, TEMPORARY_FAILURE = 16, 41  # causes of Q.850
FREE_CIRCUITS = 40
SDP_TAIL = "c=IN IP4 10.0.0.1\r\nm=audio 1 RTP/AVP 0\r\n"
SILENCE_LASTS = 0.1  # seconds after a silence in which a switch still reads what came during it
QUEUE_OF_NONE = 1  # connections that a listener with a backlog of 0 still takes
MOST_EAGER = 4  # times that an eager caller tries again at once
CROSSING = 0.05  # seconds in which a set-up may cross the close of its connection and be sent again


_ports = itertools.count(20_000)


def own_address() -> str:
    """A loopback address of this process alone: connections that others open take their ports at 127.0.0.1."""
    pid = os.getpid()
    return f"127.{1 + (pid >> 16) % 254}.{pid >> 8 & 255}.{pid & 255}"


def free_port() -> int:
    """A port at `own_address` that nothing else takes, also while its listener is away."""
    return next(_ports)


def now() -> float:
    return asyncio.get_running_loop().time()


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Peer:
    """A listener on a port of its own; `serve` handles each connection and may fail with it."""

    def __init__(self) -> None:
        self.port = free_port()
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()
        self.barred: socket.socket | None = None  # the listener while no connection comes up
        self.fillers: list[socket.socket] = []  # connections that keep its queue full

    async def listen(self) -> None:
        self.server = await asyncio.start_server(self._accepted, own_address(), self.port, limit=1 << 20)

    def bar(self) -> None:
        """New connections neither come up nor are refused: nobody accepts, and the listener's queue is full."""
        if self.server is None or self.barred is not None:
            return
        self.barred = socket.socket(fileno=os.dup(self.server.sockets[0].fileno()))
        self.stop_listening()
        self.barred.listen(0)
        for _ in range(QUEUE_OF_NONE + 1):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((own_address(), self.port))
            self.fillers.append(filler)

    async def unbar(self) -> None:
        """Connections that waited come up when their peers ask again, a second or so after they began."""
        if self.barred is None:
            return
        listener, self.barred = self.barred, None
        listener.setblocking(False)
        self.server = await asyncio.start_server(self._accepted, sock=listener, limit=1 << 20)
        await asyncio.sleep(0.01)
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()

    @property
    def address(self) -> str:
        return f"{own_address()}:{self.port}"

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if writer.get_extra_info("peername") in [filler.getsockname() for filler in self.fillers]:
            writer.close()
            return
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            await self.serve(reader, writer)
        self.writers.discard(writer)
        self.tasks.discard(asyncio.current_task())
        writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def stop_listening(self) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None

    def close_queue(self) -> None:
        """End a listener that is barred: from now on connections are refused."""
        for sock in (self.barred, *self.fillers):
            if sock is not None:
                sock.close()
        self.barred = None
        self.fillers.clear()

    def reset_all(self) -> None:
        for writer in list(self.writers):
            reset(writer)

    def close(self) -> None:
        self.stop_listening()
        self.close_queue()
        self.reset_all()
        for task in list(self.tasks):
            task.cancel()


# --- the event bus ---


class BusFault(Enum):
    NONE = "none"
    SLOW = "whole answers, late"
    DRIP = "whole answers, byte by byte over the delay"
    SILENT = "accepts and says nothing"
    BREAKS = "breaks off in the middle of an answer"
    GARBLED = "answers that are no HTTP or no JSON"


class Bus(Peer):
    """Long polls of numbered events. `delay` belongs to SLOW and DRIP."""

    def __init__(self) -> None:
        super().__init__()
        self.events: list[dict] = []
        self.changed = asyncio.Event()
        self.fault, self.delay = BusFault.NONE, 0.0
        self.asked: list[tuple[float, int]] = []  # when, and after which number

    def set_fault(self, fault: BusFault, delay: float = 0.0) -> None:
        self.fault, self.delay = fault, delay

    def tell(self, *lines: dict, whole: bool = False) -> int:
        offset = len(self.events) + 1
        self.events.append({"offset": offset, "topology": {"rev": offset, "all": whole, "targets": list(lines)}})
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return offset

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            while (await reader.readline()).strip():
                pass
            after, hold = (int(part.split("=")[1]) for part in line.decode().split()[1].split("?")[1].split("&"))
            self.asked.append((now(), after))
            if len(self.events) <= after:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), hold / 1000)
            batch = self.events[after:]
            body = json.dumps({"offset": after + len(batch), "batch": batch}).encode()
            await self._answer(writer, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    async def _answer(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        match self.fault:
            case BusFault.SILENT:
                await asyncio.sleep(60)
            case BusFault.SLOW:
                await asyncio.sleep(self.delay)
            case BusFault.DRIP:
                pieces = 20
                step = len(data) // pieces + 1
                for start in range(0, len(data), step):
                    await asyncio.sleep(self.delay / pieces)
                    writer.write(data[start : start + step])
                return
            case BusFault.BREAKS:
                writer.write(data[: len(data) // 2])
                await writer.drain()
                writer.close()
                return
            case BusFault.GARBLED:
                writer.write(data[:-3] + b"\xff{]")
                return
        writer.write(data)
        await writer.drain()


# --- switches ---


class Reply(Enum):
    ANSWER = "200 at once"
    LATE = "200 after the delay"
    HANG = "nothing"
    FULL = "503"
    FAULT = "500"
    PIECES = "200 in pieces over the delay"
    SPOILT = "200 with a description that is cut"
    TWICE = "200 twice"
    RESET = "a reset under the set-up"
    CLOSE = "200 and a close at once"
    NOISE = "bytes that are no SIP"


@dataclass
class Leg:
    """An INVITE at a switch: when its first byte and all of it came, when and how it was over."""

    id: str
    uid: str
    began: float
    ended: float = 0.0
    how: str = ""
    read_late: bool = False  # its switch was silent, so when it came or was over is not known


@dataclass
class Standing:
    """A call that stands at a switch; `released` is when the switch sent its BYE, 0 while it stands."""

    id: str
    uid: str
    since: float
    released: float = 0.0
    heard_bye: float = 0.0
    cut: bool = False  # with its machine, which sends no release
    sent_on: list[tuple[float, int]] = field(default_factory=list)  # when its BYE was written, to which port of a node
    delayed: bool = False  # no connection was open when it was over, so that its release went on the next one
    began: float = 0.0  # when the INVITE of its leg came


def sip(first: str, id: str, method: str, extra: str = "", body: str = "") -> bytes:
    return (
        f"{first}\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {id}\r\nCSeq: 1 {method}\r\n{extra}Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


class Switch(Peer):
    """Draws a reply for each set-up from `replies`; answered calls stand for `hold` seconds, then it sends BYE."""

    def __init__(self, uid: str, number: int, random: Random, replies: list[Reply], delay: float = 0.3) -> None:
        super().__init__()
        self.uid, self.number, self.random, self.replies, self.delay = uid, number, random, replies, delay
        self.hold = 1.0
        self.silent_until = -1e9  # what is read soon after may have come long before
        self.silent = False  # reads nothing and says nothing, as a machine that hangs
        self.cut_off = False  # nothing of what it says comes through either
        self.open_legs: dict[tuple[str, asyncio.StreamWriter], Leg] = {}
        self.legs: list[Leg] = []
        self.standing: dict[str, list[Standing]] = {}  # by id: several where legs of one call stand here, known by their id alone
        self.calls: list[Standing] = []
        self.unsent: list[tuple[Standing, bytes]] = []  # releases, sent also on the next connection that is opened

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        state = f"Link-State: idle:{FREE_CIRCUITS};circuits:{FREE_CIRCUITS}\r\n"
        writer.write(sip("NOTIFY sip:x@net SIP/2.0", "0" * 16, "NOTIFY", state))
        for call, data in self.unsent:
            self._write_release(call, data, writer)
        self.unsent.clear()
        framer = Framer()
        try:
            while data := await reader.read(65_536):
                late = self.silent or now() - self.silent_until < SILENCE_LASTS
                while self.silent:
                    await asyncio.sleep(0.05)
                    self.silent_until = now()
                for key, leg in self.open_legs.items():
                    leg.read_late = leg.read_late or late and key[1] is writer
                for message in framer.feed(data):
                    if not isinstance(message, BadMessageError):
                        self._came(message, writer, late)
        finally:
            for key in [key for key in self.open_legs if key[1] is writer]:
                self._over(key, "its connection ended")

    def _came(self, message: Message, writer: asyncio.StreamWriter, late: bool) -> None:
        id, method = message.call_id, message.method
        if late and (id, writer) in self.open_legs:
            self.open_legs[id, writer].read_late = True
        if method == "INVITE":
            leg = Leg(id, self.uid, now(), read_late=late)
            self.legs.append(leg)
            self.open_legs[id, writer] = leg
            task = asyncio.ensure_future(self._reply(id, writer, self.random.choice(self.replies)))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        elif method == "CANCEL":
            self._over((id, writer), "cancelled")
        elif method == "BYE":
            writer.write(sip("SIP/2.0 200 OK", id, "BYE"))
            for call in self.standing.pop(id, []):
                call.heard_bye = now()

    def _over(self, key: tuple[str, asyncio.StreamWriter], how: str) -> bool:
        leg = self.open_legs.pop(key, None)
        if leg is None:
            return False
        leg.ended, leg.how = now(), how
        leg.read_late = leg.read_late or self.silent
        return True

    async def _reply(self, id: str, writer: asyncio.StreamWriter, reply: Reply) -> None:
        body = f"{self.uid} of {id}\r\n{SDP_TAIL}"
        answer = sip("SIP/2.0 200 OK", id, "INVITE", body=body)
        key = id, writer
        await asyncio.sleep(self.random.uniform(0.002, 0.03) if reply is not Reply.LATE else self.random.uniform(0.1, self.delay))
        while self.silent:
            await asyncio.sleep(0.05)
        if key not in self.open_legs:
            return
        match reply:
            case Reply.HANG:
                return
            case Reply.FULL | Reply.FAULT:
                first = "SIP/2.0 503 Full" if reply is Reply.FULL else "SIP/2.0 500 Fault"
                self._over(key, "refused")
                writer.write(sip(first, id, "INVITE", "Fail-Word: queue_long\r\n" if reply is Reply.FULL else ""))
                return
            case Reply.RESET:
                reset(writer)
                return
            case Reply.NOISE:
                self._over(key, "spoilt")
                writer.write(b"\x00\xff\x13 no message\r\n\r\n")
                return
            case Reply.SPOILT:
                self._over(key, "spoilt")
                writer.write(answer[:-9])
                return
            case Reply.PIECES:
                for start in range(0, len(answer), 40):
                    writer.write(answer[start : start + 40])
                    await asyncio.sleep(self.random.uniform(0, 0.04))
                    if key not in self.open_legs:
                        return
            case Reply.TWICE:
                writer.write(answer + answer)
            case _:
                writer.write(answer)
        call = Standing(id, self.uid, now(), began=self.open_legs[key].began)
        self._over(key, "answered")
        self.standing.setdefault(id, []).append(call)
        self.calls.append(call)
        if reply is Reply.CLOSE:
            writer.close()
        await asyncio.sleep(self.random.uniform(0.1, self.hold))
        while self.cut_off:
            await asyncio.sleep(0.05)
        self._release(call, writer)

    async def vanish(self, seconds: float) -> None:
        """Cut off for a while: open connections fall silent both ways, and new ones don't come up."""
        self.silent = self.cut_off = True
        self.bar()
        try:
            await asyncio.sleep(seconds)
        finally:
            await self.unbar()
            self.silent = self.cut_off = False

    async def delay_connections(self, seconds: float) -> None:
        """Open connections work; new ones come up late."""
        self.bar()
        try:
            await asyncio.sleep(seconds)
        finally:
            await self.unbar()

    def close_one(self) -> None:
        """Close a connection as soon as what is written has gone, whatever is open on it."""
        if self.writers:
            self.random.choice(sorted(self.writers, key=lambda writer: writer.get_extra_info("peername") or ())).close()

    def die(self) -> None:
        """The process ends: it resets its connections and cuts its calls."""
        self.stop_listening()
        self.close_queue()
        for call in [*itertools.chain.from_iterable(self.standing.values()), *(call for call, _ in self.unsent)]:
            call.released, call.cut = now(), True
        self.standing.clear()
        self.unsent.clear()
        self.reset_all()

    def _release(self, call: Standing, writer: asyncio.StreamWriter) -> None:
        held = self.standing.get(call.id, [])
        if call not in held:
            return
        held.remove(call)
        call.released = now()
        data = sip("BYE sip:x@net SIP/2.0", call.id, "BYE", f"Reason: Q.850;cause={NORMAL_RELEASE}\r\n")
        self.unsent.append((call, data))
        open_now = [other for other in (writer, *self.writers) if other in self.writers and not other.is_closing()]
        carrier = open_now[0] if open_now else None
        call.delayed = carrier is None
        if carrier is not None:
            self._write_release(call, data, carrier)

    @staticmethod
    def _write_release(call: Standing, data: bytes, writer: asyncio.StreamWriter) -> None:
        peer = writer.get_extra_info("peername")
        call.sent_on.append((now(), peer[1] if peer else 0))
        writer.write(data)


# --- callers ---


@dataclass
class SetUp:
    """One set-up of a caller. `sent`: its last byte; `finals`: when and what came back; `lost`: why it counts as such."""

    id: str
    node: str
    left: float
    sent: float = 0.0
    finals: list[tuple[float, str, str]] = field(default_factory=list)  # (when, type, description)
    given_up: float = 0.0
    releases: list[tuple[float, str]] = field(default_factory=list)  # after the answer: when its end was told, and by which node
    ended_by_caller: float = 0.0
    connection_ended: float = 0.0
    crossed: bool = False  # it crossed the close of its connection
    sent_again: bool = False
    taken_back: bool = False  # its release came with it
    repeated_at: float = 0.0  # when its line came again
    tries: int = 0  # refusals that came before, of a caller that tries again at once

    @property
    def released(self) -> float:
        """When its end was first told after an answer, 0 while it was not."""
        return min((at for at, _ in self.releases), default=0.0)


class CallerFault(Enum):
    NONE = "none"
    PIECES = "lines in pieces"
    GIVES_UP = "gives set-ups up early"
    SLOW_READER = "reads seldom"
    CLOSES = "closes its connection with set-ups open"
    EAGER = "tries again as soon as it is refused"
    SLOW_WRITER = "stops in the middle of lines, for up to a second"


class Habit(Enum):
    """What a caller does now and then, beside its fault."""

    REPEATS = "sends the line of a set-up again, once or twice"
    TAKES_BACK = "sends a set-up and its release in one segment"
    SHUTS_DOWN = "shuts down its sending side after a set-up, and reads on"


class NotingProtocol(asyncio.StreamReaderProtocol):
    """Knows when lines and the peer's close have come, however late the reader gets to them."""

    closing = False
    closed_at = 0.0

    def __init__(self, reader: asyncio.StreamReader) -> None:
        super().__init__(reader)
        self.arrivals: deque[float] = deque()  # of lines that are not read yet

    def data_received(self, data: bytes) -> None:
        self.arrivals.extend([now()] * data.count(b"\n"))
        super().data_received(data)

    def eof_received(self) -> bool | None:
        self.closing, self.closed_at = True, now()
        return super().eof_received()


class Caller:
    """A client of one node that keeps a connection open and sends set-ups on it, and comes again at once when it ends."""

    def __init__(
        self, name: str, port: int, random: Random, book: dict[str, SetUp], fault: CallerFault, numbers: list[int]
    ) -> None:
        self.name, self.port, self.random, self.book, self.fault = name, port, random, book, fault
        self.numbers = numbers
        self.rate = 8.0  # set-ups a second
        self.stopping = False
        self.habits: set[Habit] = set()
        self.habit_random = Random(0)  # of its own, so that a seed's other draws do not depend on habits
        self.shut_down = False
        self.closed_at: list[float] = []  # when it closed a connection itself: what came then it has not read
        self.mid_line, self.held_back = False, b""  # a line stands half: what else is to be said waits
        self.open: dict[str, SetUp] = {}
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        while True:
            try:
                await self._connect()
            except OSError:
                await asyncio.sleep(0.05)
                continue
            reading = asyncio.ensure_future(self._read())
            again = [set_up for set_up in self.open.values() if set_up.crossed]
            self.open, self.mid_line, self.held_back, self.shut_down = {}, False, b"", False
            with contextlib.suppress(OSError):
                for set_up in again:
                    await self._send(set_up)
                await self._send_on(reading) if not self.stopping else await self._send_one()
            if not (self.stopping or self.shut_down):
                reading.cancel()
            await asyncio.wait([reading])
            self.writer.close()

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        self.reader = asyncio.StreamReader(limit=1 << 20)
        self.protocol = NotingProtocol(self.reader)
        transport, _ = await loop.create_connection(lambda: self.protocol, own_address(), self.port)
        self.writer = asyncio.StreamWriter(transport, self.protocol, self.reader, loop)

    async def _send_one(self) -> None:
        """A caller that is done still comes back where its connection was closed, and hears of its calls."""
        set_up = SetUp(f"{self.random.getrandbits(64):016x}", self.name, 0.3)
        self.book[set_up.id] = set_up
        await self._send(set_up)

    async def _send_on(self, reading: asyncio.Task) -> None:
        while not self.stopping and not reading.done():
            await asyncio.wait([reading], timeout=self.random.expovariate(self.rate))
            if reading.done() or self.stopping:
                return
            set_up = SetUp(f"{self.random.getrandbits(64):016x}", self.name, self.random.choice([0.3, 1.0, 2.0, 3.0]))
            self.book[set_up.id] = set_up
            await self._send(set_up)
            if self._acts_on_habit(Habit.SHUTS_DOWN, 0.05):
                self.shut_down = True
                self.writer.write_eof()
                return
            if self.fault is CallerFault.GIVES_UP and self.random.random() < 0.4:
                asyncio.get_running_loop().call_later(self.random.uniform(0.0, 0.3), self._give_up, set_up)
            if self.fault is CallerFault.CLOSES and self.random.random() < 0.1:
                for other in self.open.values():
                    other.given_up = other.given_up or now()
                self.closed_at.append(now())
                reset(self.writer) if self.random.random() < 0.5 else self.writer.close()
                return

    def _try_again(self, refused: SetUp) -> None:
        """At once, whatever wait the refusal asked for; a retry has an id of its own."""
        if refused.tries >= MOST_EAGER or self.stopping or self.shut_down or self.writer.is_closing() or self.protocol.closing:
            return
        again = SetUp(f"{self.random.getrandbits(64):016x}", self.name, refused.left, tries=refused.tries + 1)
        self.book[again.id] = again
        self.open[again.id] = again
        again.sent = now()
        self.writer.write(self._line(again))

    def _acts_on_habit(self, habit: Habit, share: float) -> bool:
        return (
            habit in self.habits and not (self.writer.is_closing() or self.protocol.closing) and self.habit_random.random() < share
        )

    def _send_again(self, set_up: SetUp, line: bytes, writer: asyncio.StreamWriter) -> None:
        """The same line on the same connection, whatever has become of the set-up."""
        if writer is self.writer and not (writer.is_closing() or self.protocol.closing or self.shut_down or self.mid_line):
            set_up.repeated_at = set_up.repeated_at or now()
            writer.write(line)

    async def _send(self, set_up: SetUp) -> None:
        line = self._line(set_up)
        whole = self.fault not in (CallerFault.PIECES, CallerFault.SLOW_WRITER) and not set_up.crossed
        if whole and self._acts_on_habit(Habit.TAKES_BACK, 0.1):
            set_up.sent = set_up.given_up = now()
            set_up.taken_back = True
            self.writer.write(line + self._release_line(set_up))
            return
        if whole and self._acts_on_habit(Habit.REPEATS, 0.2):
            copies = line * self.habit_random.choice([1, 1, 2])
            later = self.habit_random.choice([0.0, 0.01, self.habit_random.uniform(0.0, 0.8)])
            asyncio.get_running_loop().call_later(later, self._send_again, set_up, copies, self.writer)
        if self.fault in (CallerFault.PIECES, CallerFault.SLOW_WRITER):
            cut = self.random.randrange(1, len(line))
            self.writer.write(line[:cut])
            self.mid_line = True
            await asyncio.sleep(self.random.uniform(0, 0.2 if self.fault is CallerFault.PIECES else 1.0))
            self.mid_line = False
            line, self.held_back = line[cut:] + self.held_back, b""
        if self.writer.is_closing() or self.protocol.closing:
            return
        set_up.connection_ended = 0.0
        self.open[set_up.id] = set_up
        set_up.sent = now()
        self.writer.write(line)

    def _line(self, set_up: SetUp) -> bytes:
        extras = f"dest:{self.random.choice(self.numbers)};width:1;via:-1"
        fields = {"class": "voice", "left": str(int(set_up.left * 1000)), "key": set_up.id[:8], "extras": extras}
        if set_up.tries:
            fields["retry"] = "1"
        line = {"type": "setup", "id": set_up.id, "fields": fields, "sdp": f"of {set_up.id}\r\n{SDP_TAIL}"}
        return json.dumps(line).encode() + b"\n"

    def _give_up(self, set_up: SetUp) -> None:
        if set_up.id in self.open and not (self.writer.is_closing() or self.shut_down):
            set_up.given_up = now()
            self._release(set_up)

    @staticmethod
    def _release_line(set_up: SetUp) -> bytes:
        return json.dumps({"type": "release", "id": set_up.id, "fields": {}, "cause": NORMAL_RELEASE}).encode() + b"\n"

    def _release(self, set_up: SetUp) -> None:
        line = self._release_line(set_up)
        if self.shut_down:
            return
        if self.mid_line:
            self.held_back += line
        else:
            self.writer.write(line)

    async def _read(self) -> None:
        ended = "closed"
        try:
            while line := await self.reader.readline():
                if not line.endswith(b"\n"):
                    break
                self._came(json.loads(line), self.protocol.arrivals.popleft())
                if self.fault is CallerFault.SLOW_READER and self.random.random() < 0.1:
                    await asyncio.sleep(self.random.uniform(0, 0.3))
        except OSError as error:
            ended = str(error)
        finally:
            for set_up in self.open.values():
                set_up.connection_ended = now()
                crossed = (self.protocol.closed_at or now()) - set_up.sent <= CROSSING and not set_up.given_up
                set_up.crossed, set_up.sent_again = crossed and not set_up.sent_again, set_up.crossed
            self.ended = ended

    def _came(self, line: dict, at: float) -> None:
        set_up = self.book.get(line["id"])
        if set_up is None:
            return
        answered = any(kind == "answer" for _, kind, _ in set_up.finals)
        if line["type"] == "answer":
            self._put_in_order_of_arrival(set_up, at)
        if line["type"] == "release" and (answered or self.name != set_up.node):
            # A switch tells the end of any call to any node. That node can't know what the set-up's own node refused, and
            # its caller may hear of it before the call's own caller has read the answer.
            set_up.releases.append((at, self.name))
        elif line["type"] in ("answer", "release"):
            set_up.finals.append((at, line["type"], line.get("sdp", "")))
            self.open.pop(set_up.id, None)
            if line["type"] == "release" and self.fault is CallerFault.EAGER:
                self._try_again(set_up)
            if line["type"] == "answer" and self.random.random() < 0.2:
                asyncio.get_running_loop().call_later(self.random.uniform(0.05, 0.4), self._end, set_up)

    def _put_in_order_of_arrival(self, set_up: SetUp, answered_at: float) -> None:
        """A release that was read first, on another connection, but came after the answer is the end of the call."""
        for final in set_up.finals:
            if final[1] == "release" and final[0] > answered_at and self.name not in [by for _, by in set_up.releases]:
                set_up.releases.append((final[0], self.name))
                set_up.finals.remove(final)
                return

    def _end(self, set_up: SetUp) -> None:
        if set_up.released or self.writer.is_closing() or self.protocol.closing or self.shut_down:
            return
        set_up.ended_by_caller = now()
        self._release(set_up)


class BadCaller:
    """Sends what no caller should, again and again, and reads nothing but what comes at once."""

    LINES = (b"\xff\xfe\x00\n", b"x" * 20_000, b'{"type":"setup","id":"zz"}\n', b'{"type":"setup","id":"7777777777777777"}\n')

    def __init__(self, port: int, random: Random) -> None:
        self.port, self.random, self.stopping = port, random, False

    async def run(self) -> None:
        while not self.stopping:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(own_address(), self.port)
                writer.write(self.random.choice(self.LINES))
                await asyncio.sleep(self.random.uniform(0.01, 0.3))
                writer.close()
            await asyncio.sleep(self.random.uniform(0.05, 0.3))
