"""Scripted, faulty peers of a service process on loopback: event bus, switches and callers, in one event loop.

Times are seconds of the event loop's clock. The peers record what they observe; `trial_rules` checks the records afterwards.
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
LATE_READ_TIME = 0.1  # seconds after a silent period in which a switch still reads what was received during it
ZERO_BACKLOG_CAPACITY = 1  # connections that a listener with a backlog of 0 still queues
MAX_IMMEDIATE_RETRIES = 4  # of an eager caller, per set-up
CROSSING_TIME = 0.05  # seconds before the close of its connection in which a set-up counts as crossing the close, and is sent again


_ports = itertools.count(20_000)


def own_address() -> str:
    """A loopback address used by this process only: outgoing connections of others take their ports at 127.0.0.1."""
    pid = os.getpid()
    return f"127.{1 + (pid >> 16) % 254}.{pid >> 8 & 255}.{pid & 255}"


def free_port() -> int:
    """A port at `own_address` that nothing else uses, even while its listener is closed."""
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
    """A listener on a port of its own; `serve` handles each connection and may raise when the connection fails."""

    def __init__(self) -> None:
        self.port = free_port()
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()
        self.blocked_listener: socket.socket | None = None  # the listener while connections are blocked
        self.backlog_fillers: list[socket.socket] = []  # connections that fill its backlog

    async def listen(self) -> None:
        self.server = await asyncio.start_server(self._connection_accepted, own_address(), self.port, limit=1 << 20)

    def block_connections(self) -> None:
        """Neither accept nor refuse new connections: nothing is accepted, and the listener's backlog is full."""
        if self.server is None or self.blocked_listener is not None:
            return
        self.blocked_listener = socket.socket(fileno=os.dup(self.server.sockets[0].fileno()))
        self.stop_listening()
        self.blocked_listener.listen(0)
        for _ in range(ZERO_BACKLOG_CAPACITY + 1):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((own_address(), self.port))
            self.backlog_fillers.append(filler)

    async def unblock_connections(self) -> None:
        """Accept again. Connections that waited are established when their peers repeat the SYN, after about a second."""
        if self.blocked_listener is None:
            return
        listener, self.blocked_listener = self.blocked_listener, None
        listener.setblocking(False)
        self.server = await asyncio.start_server(self._connection_accepted, sock=listener, limit=1 << 20)
        await asyncio.sleep(0.01)
        for filler in self.backlog_fillers:
            filler.close()
        self.backlog_fillers.clear()

    @property
    def address(self) -> str:
        return f"{own_address()}:{self.port}"

    async def _connection_accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if writer.get_extra_info("peername") in [filler.getsockname() for filler in self.backlog_fillers]:
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

    def close_blocked_listener(self) -> None:
        """Close a blocked listener: from now on connections are refused."""
        for sock in (self.blocked_listener, *self.backlog_fillers):
            if sock is not None:
                sock.close()
        self.blocked_listener = None
        self.backlog_fillers.clear()

    def reset_all(self) -> None:
        for writer in list(self.writers):
            reset(writer)

    def close(self) -> None:
        self.stop_listening()
        self.close_blocked_listener()
        self.reset_all()
        for task in list(self.tasks):
            task.cancel()


# --- the event bus ---


class BusFault(Enum):
    NONE = "none"
    SLOW = "complete responses, late"
    DRIP = "complete responses in pieces, spread over the delay"
    SILENT = "accepts and does not respond"
    BREAKS = "closes in the middle of a response"
    GARBLED = "responses that are not valid HTTP or JSON"


class EventBus(Peer):
    """An event bus that serves numbered events by long polling. `delay` applies to the faults SLOW and DRIP."""

    def __init__(self) -> None:
        super().__init__()
        self.events: list[dict] = []
        self.changed = asyncio.Event()
        self.fault, self.delay = BusFault.NONE, 0.0
        self.requests: list[tuple[float, int]] = []  # (when, after which event number)

    def set_fault(self, fault: BusFault, delay: float = 0.0) -> None:
        self.fault, self.delay = fault, delay

    def publish(self, *lines: dict, complete: bool = False) -> int:
        """Add an event; `complete`: it lists all switches. Returns its number."""
        offset = len(self.events) + 1
        self.events.append({"offset": offset, "topology": {"rev": offset, "all": complete, "targets": list(lines)}})
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return offset

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            while (await reader.readline()).strip():
                pass
            last_seen, hold = (int(part.split("=")[1]) for part in line.decode().split()[1].split("?")[1].split("&"))
            self.requests.append((now(), last_seen))
            if len(self.events) <= last_seen:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), hold / 1000)
            batch = self.events[last_seen:]
            body = json.dumps({"offset": last_seen + len(batch), "batch": batch}).encode()
            await self._answer(writer, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    async def _answer(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        match self.fault:
            case BusFault.SILENT:
                await asyncio.sleep(60)
            case BusFault.SLOW:
                await asyncio.sleep(self.delay)
            case BusFault.DRIP:
                piece_count = 20
                piece_size = len(data) // piece_count + 1
                for start in range(0, len(data), piece_size):
                    await asyncio.sleep(self.delay / piece_count)
                    writer.write(data[start : start + piece_size])
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
    HANG = "no response"
    FULL = "503"
    FAULT = "500"
    FRAGMENTS = "200 in pieces over the delay"
    TRUNCATED = "200 with a truncated body"
    DUPLICATE = "200 twice"
    RESET = "a reset instead of a response"
    CLOSE = "200, then a close at once"
    GARBAGE = "bytes that are not SIP"


@dataclass
class Leg:
    """An INVITE received by a switch, and when and why the leg ended."""

    id: str
    uid: str
    invite_received_at: float
    ended_at: float = 0.0
    end_reason: str = ""
    read_late: bool = False  # its switch was silent, so the times are not exact


@dataclass
class EstablishedCall:
    """A call that was established at a switch."""

    id: str
    uid: str
    established_at: float
    released_at: float = 0.0  # when the switch sent its BYE, 0 if it has not
    bye_received_at: float = 0.0
    cut: bool = False  # ended with its machine, which sends no BYE
    address_reused: bool = False  # another switch listened at the address of that machine at once
    end_told_at: float = float("inf")  # when the exchange list told the end of a machine whose address was used again
    release_writes: list[tuple[float, int]] = field(default_factory=list)  # (when its BYE was written, to which port of a node)
    release_delayed: bool = False  # no connection was open when it ended, so its BYE was sent on the next one
    invite_received_at: float = 0.0  # when the INVITE of its leg was received


def format_message(start_line: str, id: str, method: str, headers: str = "", body: str = "") -> bytes:
    return (
        f"{start_line}\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {id}\r\nCSeq: 1 {method}\r\n{headers}"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


class Switch(Peer):
    """A switch that draws its reply to each set-up from `replies`, and sends a BYE up to `hold` seconds after an answer."""

    def __init__(self, uid: str, number: int, random: Random, replies: list[Reply], delay: float = 0.3) -> None:
        super().__init__()
        self.uid, self.number, self.random, self.replies, self.delay = uid, number, random, replies, delay
        self.hold = 1.0
        self.silent_until = -1e9  # what is read soon after may have been received long before
        self.silent = False  # reads and writes nothing, as a machine that hangs
        self.cut_off = False  # nothing that it writes is delivered either
        self.open_legs: dict[tuple[str, asyncio.StreamWriter], Leg] = {}
        self.legs: list[Leg] = []
        self.established_calls: dict[
            str, list[EstablishedCall]
        ] = {}  # by id, which is all that a BYE names; several legs of a call may be here
        self.calls: list[EstablishedCall] = []
        self.unsent_releases: list[tuple[EstablishedCall, bytes]] = []  # repeated on the next connection that is opened

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        state = f"Link-State: idle:{FREE_CIRCUITS};circuits:{FREE_CIRCUITS}\r\n"
        writer.write(format_message("NOTIFY sip:x@net SIP/2.0", "0" * 16, "NOTIFY", state))
        for call, data in self.unsent_releases:
            self._write_release(call, data, writer)
        self.unsent_releases.clear()
        framer = Framer()
        try:
            while data := await reader.read(65_536):
                is_late = self.silent or now() - self.silent_until < LATE_READ_TIME
                while self.silent:
                    await asyncio.sleep(0.05)
                    self.silent_until = now()
                for key, leg in self.open_legs.items():
                    leg.read_late = leg.read_late or is_late and key[1] is writer
                for message in framer.feed(data):
                    if not isinstance(message, BadMessageError):
                        self._message_received(message, writer, is_late)
        finally:
            for key in [key for key in self.open_legs if key[1] is writer]:
                self._end_leg(key, "its connection ended")

    def _message_received(self, message: Message, writer: asyncio.StreamWriter, is_late: bool) -> None:
        id, method = message.call_id, message.method
        if is_late and (id, writer) in self.open_legs:
            self.open_legs[id, writer].read_late = True
        if method == "INVITE":
            leg = Leg(id, self.uid, now(), read_late=is_late)
            self.legs.append(leg)
            self.open_legs[id, writer] = leg
            task = asyncio.ensure_future(self._reply(id, writer, self.random.choice(self.replies)))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        elif method == "CANCEL":
            self._end_leg((id, writer), "cancelled")
        elif method == "BYE":
            writer.write(format_message("SIP/2.0 200 OK", id, "BYE"))
            for call in self.established_calls.pop(id, []):
                call.bye_received_at = now()

    def _end_leg(self, key: tuple[str, asyncio.StreamWriter], end_reason: str) -> bool:
        leg = self.open_legs.pop(key, None)
        if leg is None:
            return False
        leg.ended_at, leg.end_reason = now(), end_reason
        leg.read_late = leg.read_late or self.silent
        return True

    async def _reply(self, id: str, writer: asyncio.StreamWriter, reply: Reply) -> None:
        body = f"{self.uid} of {id}\r\n{SDP_TAIL}"
        answer = format_message("SIP/2.0 200 OK", id, "INVITE", body=body)
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
                start_line = "SIP/2.0 503 Full" if reply is Reply.FULL else "SIP/2.0 500 Fault"
                self._end_leg(key, "refused")
                writer.write(format_message(start_line, id, "INVITE", "Fail-Word: queue_long\r\n" if reply is Reply.FULL else ""))
                return
            case Reply.RESET:
                reset(writer)
                return
            case Reply.GARBAGE:
                self._end_leg(key, "invalid reply")
                writer.write(b"\x00\xff\x13 no message\r\n\r\n")
                return
            case Reply.TRUNCATED:
                self._end_leg(key, "invalid reply")
                writer.write(answer[:-9])
                return
            case Reply.FRAGMENTS:
                for start in range(0, len(answer), 40):
                    writer.write(answer[start : start + 40])
                    await asyncio.sleep(self.random.uniform(0, 0.04))
                    if key not in self.open_legs:
                        return
            case Reply.DUPLICATE:
                writer.write(answer + answer)
            case _:
                writer.write(answer)
        call = EstablishedCall(id, self.uid, now(), invite_received_at=self.open_legs[key].invite_received_at)
        self._end_leg(key, "answered")
        self.established_calls.setdefault(id, []).append(call)
        self.calls.append(call)
        if reply is Reply.CLOSE:
            writer.close()
        await asyncio.sleep(self.random.uniform(0.1, self.hold))
        while self.cut_off:
            await asyncio.sleep(0.05)
        self._release(call, writer)

    async def vanish(self, seconds: float) -> None:
        """Be cut off for a while: open connections are silent in both directions, and new ones are not established."""
        self.silent = self.cut_off = True
        self.block_connections()
        try:
            await asyncio.sleep(seconds)
        finally:
            await self.unblock_connections()
            self.silent = self.cut_off = False

    async def delay_connections(self, seconds: float) -> None:
        """Block new connections for a while; open ones work."""
        self.block_connections()
        try:
            await asyncio.sleep(seconds)
        finally:
            await self.unblock_connections()

    def close_one(self) -> None:
        """Close a random connection once what is written has been sent, even if set-ups are open on it."""
        if self.writers:
            self.random.choice(sorted(self.writers, key=lambda writer: writer.get_extra_info("peername") or ())).close()

    def die(self, address_reused: bool = False) -> list[EstablishedCall]:
        """End as a process that dies: connections are reset and calls cut. Returns these calls."""
        self.stop_listening()
        self.close_blocked_listener()
        calls = [*itertools.chain.from_iterable(self.established_calls.values()), *(call for call, _ in self.unsent_releases)]
        for call in calls:
            call.released_at, call.cut, call.address_reused = now(), True, address_reused
        self.established_calls.clear()
        self.unsent_releases.clear()
        self.reset_all()
        return calls

    def _release(self, call: EstablishedCall, writer: asyncio.StreamWriter) -> None:
        open_calls = self.established_calls.get(call.id, [])
        if call not in open_calls:
            return
        open_calls.remove(call)
        call.released_at = now()
        data = format_message("BYE sip:x@net SIP/2.0", call.id, "BYE", f"Reason: Q.850;cause={NORMAL_RELEASE}\r\n")
        self.unsent_releases.append((call, data))
        open_connections = [other for other in (writer, *self.writers) if other in self.writers and not other.is_closing()]
        connection = open_connections[0] if open_connections else None
        call.release_delayed = connection is None
        if connection is not None:
            self._write_release(call, data, connection)

    @staticmethod
    def _write_release(call: EstablishedCall, data: bytes, writer: asyncio.StreamWriter) -> None:
        peer = writer.get_extra_info("peername")
        call.release_writes.append((now(), peer[1] if peer else 0))
        writer.write(data)


# --- callers ---


@dataclass
class SetUp:
    """One set-up of a caller. Times are 0 if the event has not occurred."""

    id: str
    node: str
    time_left: float  # seconds in which the caller wants an answer
    sent_at: float = 0.0  # when its last byte was written
    final_answers: list[tuple[float, str, str]] = field(default_factory=list)  # (when, type, description)
    given_up_at: float = 0.0
    releases: list[tuple[float, str]] = field(default_factory=list)  # releases after the answer: (when, by which node)
    ended_by_caller_at: float = 0.0
    connection_ended_at: float = 0.0
    crossed_close: bool = False  # it was sent just before its connection was closed
    resent: bool = False
    withdrawn_at_once: bool = False  # its release was sent together with it
    repeated_at: float = 0.0  # when its line was repeated
    retries: int = 0  # number of refused set-ups that this one retries

    @property
    def released_at(self) -> float:
        """When its first release after an answer was received, 0 if none was."""
        return min((at for at, _ in self.releases), default=0.0)


@dataclass
class CallerClose:
    """A caller closed a connection itself, by its own port; what had been sent to it is unread."""

    at: float
    port: int


class CallerFault(Enum):
    NONE = "none"
    FRAGMENTS = "lines in pieces"
    GIVES_UP = "gives up set-ups early"
    SLOW_READER = "pauses between reads"
    CLOSES = "closes its connection with set-ups open"
    EAGER = "retries as soon as it is refused"
    SLOW_WRITER = "pauses in the middle of lines, for up to a second"


class Habit(Enum):
    """Unusual things that a caller does now and then, in addition to its fault."""

    REPEATS_LINES = "repeats the line of a set-up once or twice"
    WITHDRAWS_AT_ONCE = "sends a set-up and its release in one segment"
    HALF_CLOSES = "shuts down its sending side after a set-up and goes on reading"


class ArrivalTimeProtocol(asyncio.StreamReaderProtocol):
    """Records when lines and the peer's close were received, even if they are read later."""

    peer_closed = False
    peer_closed_at = 0.0

    def __init__(self, reader: asyncio.StreamReader) -> None:
        super().__init__(reader)
        self.arrivals: deque[float] = deque()  # of lines that have not been read yet

    def data_received(self, data: bytes) -> None:
        self.arrivals.extend([now()] * data.count(b"\n"))
        super().data_received(data)

    def eof_received(self) -> bool | None:
        self.peer_closed, self.peer_closed_at = True, now()
        return super().eof_received()


class Caller:
    """A client of one node that sends set-ups on a persistent connection, and reconnects at once when the connection ends."""

    def __init__(
        self, name: str, port: int, random: Random, set_ups: dict[str, SetUp], fault: CallerFault, destinations: list[int]
    ) -> None:
        self.name, self.port, self.random, self.set_ups, self.fault = name, port, random, set_ups, fault
        self.destinations = destinations
        self.rate = 8.0  # set-ups a second
        self.stopping = False
        self.habits: set[Habit] = set()
        self.habit_random = Random(0)  # separate, so that the other draws of a seed do not depend on habits
        self.sending_closed = False
        self.closes: list[CallerClose] = []
        self.is_mid_line, self.held_bytes = False, b""  # part of a line is written: further lines are held back
        self.open_set_ups: dict[str, SetUp] = {}
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
            to_resend = [set_up for set_up in self.open_set_ups.values() if set_up.crossed_close]
            self.open_set_ups, self.is_mid_line, self.held_bytes, self.sending_closed = {}, False, b"", False
            with contextlib.suppress(OSError):
                for set_up in to_resend:
                    await self._send(set_up)
                await self._send_set_ups(reading) if not self.stopping else await self._send_last_set_up()
            if not (self.stopping or self.sending_closed):
                reading.cancel()
            await asyncio.wait([reading])
            self.writer.close()

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        self.reader = asyncio.StreamReader(limit=1 << 20)
        self.protocol = ArrivalTimeProtocol(self.reader)
        transport, _ = await loop.create_connection(lambda: self.protocol, own_address(), self.port)
        self.writer = asyncio.StreamWriter(transport, self.protocol, self.reader, loop)

    async def _send_last_set_up(self) -> None:
        """Send a single set-up after reconnecting at the end of the trial, so that releases can be received here."""
        set_up = SetUp(f"{self.random.getrandbits(64):016x}", self.name, 0.3)
        self.set_ups[set_up.id] = set_up
        await self._send(set_up)

    async def _send_set_ups(self, reading: asyncio.Task) -> None:
        while not self.stopping and not reading.done():
            await asyncio.wait([reading], timeout=self.random.expovariate(self.rate))
            if reading.done() or self.stopping:
                return
            set_up = SetUp(f"{self.random.getrandbits(64):016x}", self.name, self.random.choice([0.3, 1.0, 2.0, 3.0]))
            self.set_ups[set_up.id] = set_up
            await self._send(set_up)
            if self._follows_habit(Habit.HALF_CLOSES, 0.05):
                self.sending_closed = True
                self.writer.write_eof()
                return
            if self.fault is CallerFault.GIVES_UP and self.random.random() < 0.4:
                asyncio.get_running_loop().call_later(self.random.uniform(0.0, 0.3), self._give_up, set_up)
            if self.fault is CallerFault.CLOSES and self.random.random() < 0.1:
                for other in self.open_set_ups.values():
                    other.given_up_at = other.given_up_at or now()
                self.closes.append(CallerClose(now(), self.writer.get_extra_info("sockname")[1]))
                reset(self.writer) if self.random.random() < 0.5 else self.writer.close()
                return

    def _retry(self, refused: SetUp) -> None:
        """Retry a refused set-up at once, with a new id, whatever wait the refusal asked for."""
        if (
            refused.retries >= MAX_IMMEDIATE_RETRIES
            or self.stopping
            or self.sending_closed
            or self.writer.is_closing()
            or self.protocol.peer_closed
        ):
            return
        retry = SetUp(f"{self.random.getrandbits(64):016x}", self.name, refused.time_left, retries=refused.retries + 1)
        self.set_ups[retry.id] = retry
        self.open_set_ups[retry.id] = retry
        retry.sent_at = now()
        self.writer.write(self._set_up_line(retry))

    def _follows_habit(self, habit: Habit, share: float) -> bool:
        return (
            habit in self.habits
            and not (self.writer.is_closing() or self.protocol.peer_closed)
            and self.habit_random.random() < share
        )

    def _repeat_set_up(self, set_up: SetUp, line: bytes, writer: asyncio.StreamWriter) -> None:
        """Send the same line again on the same connection, whatever the state of the set-up."""
        if writer is self.writer and not (
            writer.is_closing() or self.protocol.peer_closed or self.sending_closed or self.is_mid_line
        ):
            set_up.repeated_at = set_up.repeated_at or now()
            writer.write(line)

    async def _send(self, set_up: SetUp) -> None:
        line = self._set_up_line(set_up)
        complete = self.fault not in (CallerFault.FRAGMENTS, CallerFault.SLOW_WRITER) and not set_up.crossed_close
        if complete and self._follows_habit(Habit.WITHDRAWS_AT_ONCE, 0.1):
            set_up.sent_at = set_up.given_up_at = now()
            set_up.withdrawn_at_once = True
            self.writer.write(line + self._release_line(set_up))
            return
        if complete and self._follows_habit(Habit.REPEATS_LINES, 0.2):
            copies = line * self.habit_random.choice([1, 1, 2])
            later = self.habit_random.choice([0.0, 0.01, self.habit_random.uniform(0.0, 0.8)])
            asyncio.get_running_loop().call_later(later, self._repeat_set_up, set_up, copies, self.writer)
        if self.fault in (CallerFault.FRAGMENTS, CallerFault.SLOW_WRITER):
            cut = self.random.randrange(1, len(line))
            self.writer.write(line[:cut])
            self.is_mid_line = True
            await asyncio.sleep(self.random.uniform(0, 0.2 if self.fault is CallerFault.FRAGMENTS else 1.0))
            self.is_mid_line = False
            line, self.held_bytes = line[cut:] + self.held_bytes, b""
        if self.writer.is_closing() or self.protocol.peer_closed:
            return
        set_up.connection_ended_at = 0.0
        self.open_set_ups[set_up.id] = set_up
        set_up.sent_at = now()
        self.writer.write(line)

    def _set_up_line(self, set_up: SetUp) -> bytes:
        extras = f"dest:{self.random.choice(self.destinations)};width:1;via:-1"
        fields = {"class": "voice", "left": str(int(set_up.time_left * 1000)), "key": set_up.id[:8], "extras": extras}
        if set_up.retries:
            fields["retry"] = "1"
        line = {"type": "setup", "id": set_up.id, "fields": fields, "sdp": f"of {set_up.id}\r\n{SDP_TAIL}"}
        return json.dumps(line).encode() + b"\n"

    def _give_up(self, set_up: SetUp) -> None:
        if set_up.id in self.open_set_ups and not (self.writer.is_closing() or self.sending_closed):
            set_up.given_up_at = now()
            self._release(set_up)

    @staticmethod
    def _release_line(set_up: SetUp) -> bytes:
        return json.dumps({"type": "release", "id": set_up.id, "fields": {}, "cause": NORMAL_RELEASE}).encode() + b"\n"

    def _release(self, set_up: SetUp) -> None:
        line = self._release_line(set_up)
        if self.sending_closed:
            return
        if self.is_mid_line:
            self.held_bytes += line
        else:
            self.writer.write(line)

    async def _read(self) -> None:
        reason = "closed"
        try:
            while line := await self.reader.readline():
                if not line.endswith(b"\n"):
                    break
                self._line_received(json.loads(line), self.protocol.arrivals.popleft())
                if self.fault is CallerFault.SLOW_READER and self.random.random() < 0.1:
                    await asyncio.sleep(self.random.uniform(0, 0.3))
        except OSError as error:
            reason = str(error)
        finally:
            for set_up in self.open_set_ups.values():
                set_up.connection_ended_at = now()
                crossed = (self.protocol.peer_closed_at or now()) - set_up.sent_at <= CROSSING_TIME and not set_up.given_up_at
                set_up.crossed_close, set_up.resent = crossed and not set_up.resent, set_up.crossed_close
            self.close_reason = reason

    def _line_received(self, line: dict, at: float) -> None:
        set_up = self.set_ups.get(line["id"])
        if set_up is None:
            return
        answered = any(kind == "answer" for _, kind, _ in set_up.final_answers)
        if line["type"] == "answer":
            self._restore_arrival_order(set_up, at)
        if line["type"] == "release" and (answered or self.name != set_up.node):
            # A switch sends the BYE of a call to any node. That node does not know what the node of the set-up refused, and
            # its caller may receive the release before the call's own caller has read the answer.
            set_up.releases.append((at, self.name))
        elif line["type"] in ("answer", "release"):
            set_up.final_answers.append((at, line["type"], line.get("sdp", "")))
            self.open_set_ups.pop(set_up.id, None)
            if line["type"] == "release" and self.fault is CallerFault.EAGER:
                self._retry(set_up)
            if line["type"] == "answer" and self.random.random() < 0.2:
                asyncio.get_running_loop().call_later(self.random.uniform(0.05, 0.4), self._end_call, set_up)

    def _restore_arrival_order(self, set_up: SetUp, answered_at: float) -> None:
        """Treat a release that was read first, on another connection, but was received after the answer as the end of the call."""
        for final in set_up.final_answers:
            if final[1] == "release" and final[0] > answered_at and self.name not in [by for _, by in set_up.releases]:
                set_up.releases.append((final[0], self.name))
                set_up.final_answers.remove(final)
                return

    def _end_call(self, set_up: SetUp) -> None:
        if set_up.released_at or self.writer.is_closing() or self.protocol.peer_closed or self.sending_closed:
            return
        set_up.ended_by_caller_at = now()
        self._release(set_up)


class BadCaller:
    """A client that sends invalid lines again and again."""

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
