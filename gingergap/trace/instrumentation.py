"""Records the decision module's inputs and outputs without changing the module.

`RecordingController` is the controller with each event appended to a `TraceBuffer` before it is handled, and
`RecordingHost` appends each action before it passes it on to the real host. The buffer is bounded and lives in memory;
recorder.py writes it to files.
"""

import hashlib
import inspect
from collections.abc import Callable
from typing import Any

from .. import call_controller
from ..call_controller import CallController
from ..host import Host, Learned
from .format import ACTION_NAMES, CODES, EVENT_NAMES, SNAPSHOT
from .snapshot import freeze

(
    START,
    TICK,
    PEER_REPORT_RECEIVED,
    EXCHANGE_LIST_RECEIVED,
    EXCHANGE_LIST_FAILED,
    TRUNK_GROUP_REPORTED,
    DIALOG_RECEIVED,
    DIALOG_ESTABLISHED,
    LEG_ENDED,
    DIALOG_CANCELLED,
) = (CODES[name] for name in EVENT_NAMES)
RESTORE = CODES["restore"]
SEND_LEG, CANCEL_LEG, DECLINE, ABORT, SCHEDULE_TICK, SEND_TO_PEERS, SUBSCRIBE = (CODES[name] for name in ACTION_NAMES)


def module_digest() -> str:
    """A digest of the decision module's source, which identifies the version that made the decisions."""
    return hashlib.blake2s(inspect.getsource(call_controller).encode(), digest_size=12).hexdigest()


def message_id(text: str) -> bytes:
    """The 8-byte id by which the traces of sender and receiver name the same message.

    `text` is something that both see, such as a Via branch or a Call-ID.
    """
    return hashlib.blake2s(text.encode("utf-8", "replace"), digest_size=8).digest()


def answer_id(request_id: bytes) -> bytes:
    """The id of the answer to a message."""
    return request_id[:-1] + bytes([request_id[-1] ^ 1])


class TraceBuffer:
    """A bounded list of records that have not been written yet.

    It holds at most `max_records`. Beyond them, events are dropped with their actions and counted, with their times,
    until there is room again: a record of half an event would replay as a difference. After each gap a snapshot of the
    module's state precedes the next event, so that a replay can resume there.
    """

    def __init__(self, max_records: int = 200_000) -> None:
        self.max_records = max_records
        self.enabled = True
        self.records: list[tuple[Any, ...]] = []
        self.gaps: list[tuple[int, int, int, int]] = []  # index among the records, first and last time, events lost
        self.dropping = False
        self.snapshot_requested = False
        self.fast_path = True  # enabled, not dropping, no snapshot requested: a record only has to be appended
        self.take_snapshot: Callable[[], bytes] = bytes  # set by `recording_controller`

    # --- called by the instrumented controller and host ---

    def event(self, record: tuple[Any, ...]) -> None:
        """Appends an event: its code, its time, its fields.

        Records are tuples because the garbage collector untracks tuples of plain values at its first pass, but never lists.
        """
        if self.fast_path and len(self.records) < self.max_records:
            self.records.append(record)
            return
        now = record[1]
        if not self.enabled or len(self.records) >= self.max_records:
            self._drop_event(now)
            return
        self.fast_path = True  # set before the requests are read: the writer's thread may request a snapshot meanwhile
        if self.dropping or self.snapshot_requested:
            self.dropping = self.snapshot_requested = False
            self.records.append((SNAPSHOT, now, self.take_snapshot()))
        self.records.append(record)

    def action(self, record: tuple[Any, ...]) -> None:
        """Appends an action, unless the event that caused it was dropped."""
        if not self.dropping:
            self.records.append(record)

    def note(self, name: str, now: int, *fields: Any) -> None:
        """Appends something that the module does not see. Without room it is dropped uncounted: no replay needs it."""
        if self.enabled and not self.dropping and len(self.records) < self.max_records:
            self.records.append((CODES[name], now, *fields))

    def set_enabled(self, enabled: bool) -> None:
        """Switches recording on or off. Events while it is off are counted as a gap."""
        self.enabled = enabled
        self.fast_path = False

    def request_snapshot(self) -> None:
        """Has a snapshot precede the next event, because records were lost on their way to the disk."""
        self.snapshot_requested = True
        self.fast_path = False

    def _drop_event(self, now: int) -> None:
        index = len(self.records)
        if self.dropping and self.gaps and self.gaps[-1][0] == index:
            _, first, _, count = self.gaps[-1]
            self.gaps[-1] = index, first, now, count + 1
        else:
            self.gaps.append((index, now, now, 1))
        self.dropping = True
        self.fast_path = False

    def drain(self) -> tuple[list[tuple[Any, ...]], list[tuple[int, int, int, int]]]:
        """Removes and returns all records since the last call, and the gaps among them."""
        records, gaps = self.records, self.gaps
        self.records, self.gaps = [], []
        return records, gaps


class RecordingHost:
    """Records each action and passes it on to `host`."""

    def __init__(self, host: Host, buffer: TraceBuffer) -> None:
        self.host, self.buffer = host, buffer

    def send_leg(self, dialog_index: int, gw: int, time_limit: int) -> None:
        self.buffer.action((SEND_LEG, dialog_index, gw, time_limit))
        self.host.send_leg(dialog_index, gw, time_limit)

    def cancel_leg(self, dialog_index: int, leg_index: int) -> None:
        self.buffer.action((CANCEL_LEG, dialog_index, leg_index))
        self.host.cancel_leg(dialog_index, leg_index)

    def decline(self, dialog_index: int, hold_off: int) -> None:
        self.buffer.action((DECLINE, dialog_index, hold_off))
        self.host.decline(dialog_index, hold_off)

    def abort(self, dialog_index: int) -> None:
        self.buffer.action((ABORT, dialog_index))
        self.host.abort(dialog_index)

    def schedule_tick(self, delay: int) -> None:
        self.buffer.action((SCHEDULE_TICK, delay))
        self.host.schedule_tick(delay)

    def send_to_peers(self, report: bytes) -> None:
        self.buffer.action((SEND_TO_PEERS, report))
        self.host.send_to_peers(report)

    def subscribe(self) -> None:
        self.buffer.action((SUBSCRIBE,))
        self.host.subscribe()


class RecordingController(CallController):
    """The controller, with each event recorded before it is handled."""

    trace_buffer: TraceBuffer

    def start(self, now: int) -> None:
        self.trace_buffer.event((START, now))
        super().start(now)

    def tick(self, now: int) -> None:
        self.trace_buffer.event((TICK, now))
        CallController.tick(self, now)

    def peer_report_received(self, now: int, report: bytes) -> None:
        self.trace_buffer.event((PEER_REPORT_RECEIVED, now, report))
        CallController.peer_report_received(self, now, report)

    def exchange_list_received(self, now: int, entries: list, complete: bool) -> None:
        self.trace_buffer.event((EXCHANGE_LIST_RECEIVED, now, [[int(field) for field in entry] for entry in entries], complete))
        super().exchange_list_received(now, entries, complete)

    def restore(self, now: int, known: Learned, age: int) -> None:
        self.trace_buffer.event((RESTORE, now, known, age))
        super().restore(now, known, age)

    def exchange_list_failed(self, now: int) -> None:
        self.trace_buffer.event((EXCHANGE_LIST_FAILED, now))
        super().exchange_list_failed(now)

    def trunk_group_reported(self, now: int, gw: int, free: int, size: int) -> None:
        self.trace_buffer.event((TRUNK_GROUP_REPORTED, now, gw, free, size))
        CallController.trunk_group_reported(self, now, gw, free, size)

    def dialog_received(
        self,
        now: int,
        dialog_index: int,
        traffic_type: int,
        destination: int,
        circuits: int,
        caller_number: str,
        expires_in: int,
        transit: bool,
        redialled: bool,
        after_cut: bool,
        advised_tandem: int = -1,
    ) -> None:
        self.trace_buffer.event(
            (
                DIALOG_RECEIVED,
                now,
                dialog_index,
                traffic_type,
                destination,
                circuits,
                caller_number,
                expires_in,
                transit,
                redialled,
                after_cut,
                advised_tandem,
            )
        )
        CallController.dialog_received(
            self,
            now,
            dialog_index,
            traffic_type,
            destination,
            circuits,
            caller_number,
            expires_in,
            transit,
            redialled,
            after_cut,
            advised_tandem,
        )

    def dialog_established(self, now: int, dialog_index: int, setup_duration: int) -> None:
        self.trace_buffer.event((DIALOG_ESTABLISHED, now, dialog_index, setup_duration))
        CallController.dialog_established(self, now, dialog_index, setup_duration)

    def leg_ended(self, now: int, dialog_index: int, gw: int, leg_end, rsn: int, finished: bool, free: int, size: int) -> None:
        self.trace_buffer.event((LEG_ENDED, now, dialog_index, gw, int(leg_end), int(rsn), finished, free, size))
        CallController.leg_ended(self, now, dialog_index, gw, leg_end, rsn, finished, free, size)

    def dialog_cancelled(self, now: int, dialog_index: int) -> None:
        self.trace_buffer.event((DIALOG_CANCELLED, now, dialog_index))
        super().dialog_cancelled(now, dialog_index)


def recording_controller(buffer: TraceBuffer, host: Host, *args: Any, **figures: Any) -> CallController:
    """Creates a controller as `CallController(host, ...)` would, recorded into `buffer`."""
    controller = RecordingController(RecordingHost(host, buffer), *args, **figures)
    controller.trace_buffer = buffer
    buffer.take_snapshot = lambda: freeze(controller)
    return controller
