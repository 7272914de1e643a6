"""Between the module and its host: notes each event before it enters and each action as it is asked for.

The module's text is not touched: `RecordedController` is the same controller with its event methods noted, and
`RecordedHost` stands before the real host. Notes go into a bounded list; writing is somebody else's work (recorder.py).
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
    """Which text of the module decided."""
    return hashlib.blake2s(inspect.getsource(call_controller).encode(), digest_size=12).hexdigest()


def crossing(text: str) -> bytes:
    """The id under which the traces of two proxies name one thing that passed between them, of a text that both saw."""
    return hashlib.blake2s(text.encode("utf-8", "replace"), digest_size=8).digest()


def answer_to(crossed: bytes) -> bytes:
    """The id of the answer to it."""
    return crossed[:-1] + bytes([crossed[-1] ^ 1])


class Tape:
    """Holds at most `most` records; beyond them events are counted as lost, whole ones, with their times, until there is
    room again: a record of half an event would replay as a difference. After every hole the module's state is noted
    before the next event, so that a replay can go on from there."""

    def __init__(self, most: int = 200_000) -> None:
        self.most = most
        self.on = True
        self.records: list[tuple[Any, ...]] = []
        self.gaps: list[tuple[int, int, int, int]] = []  # place among the records, first, last, how many
        self.dropping = False
        self.wants_state = False
        self.plain = True  # on, nothing dropped, no state asked for: a record only has to be appended
        self.state: Callable[[], bytes] = bytes  # set by `recorded`

    # --- what can happen ---

    def event(self, record: tuple[Any, ...]) -> None:
        """A code, the time, the fields. Tuples: the collector of garbage lets go of them at its first look, of lists never."""
        if self.plain and len(self.records) < self.most:
            self.records.append(record)
            return
        now = record[1]
        if not self.on or len(self.records) >= self.most:
            self._lose(now)
            return
        self.plain = True  # before the look at what asks for a state: the writer's thread may ask meanwhile
        if self.dropping or self.wants_state:
            self.dropping = self.wants_state = False
            self.records.append((SNAPSHOT, now, self.state()))
        self.records.append(record)

    def action(self, record: tuple[Any, ...]) -> None:
        if not self.dropping:
            self.records.append(record)

    def note(self, name: str, now: int, *fields: Any) -> None:
        """What the module does not see. Without room it goes unnoted: no replay needs it."""
        if self.on and not self.dropping and len(self.records) < self.most:
            self.records.append((CODES[name], now, *fields))

    def switch(self, on: bool) -> None:
        """Recording goes on or off; what passes meanwhile is a gap, and counted."""
        self.on = on
        self.plain = False

    def after_a_hole(self) -> None:
        """Records were lost on their way to the disk: the next event is preceded by the state."""
        self.wants_state = True
        self.plain = False

    def _lose(self, now: int) -> None:
        place = len(self.records)
        if self.dropping and self.gaps and self.gaps[-1][0] == place:
            _, first, _, count = self.gaps[-1]
            self.gaps[-1] = place, first, now, count + 1
        else:
            self.gaps.append((place, now, now, 1))
        self.dropping = True
        self.plain = False

    def take(self) -> tuple[list[tuple[Any, ...]], list[tuple[int, int, int, int]]]:
        """All that was noted since the last taking, and the gaps in it."""
        records, gaps = self.records, self.gaps
        self.records, self.gaps = [], []
        return records, gaps


class RecordedHost:
    """Passes each action on and notes it."""

    def __init__(self, host: Host, tape: Tape) -> None:
        self.host, self.tape = host, tape

    def send_leg(self, dialog: int, gw: int, limit: int) -> None:
        self.tape.action((SEND_LEG, dialog, gw, limit))
        self.host.send_leg(dialog, gw, limit)

    def cancel_leg(self, dialog: int, leg: int) -> None:
        self.tape.action((CANCEL_LEG, dialog, leg))
        self.host.cancel_leg(dialog, leg)

    def decline(self, dialog: int, hold_off: int) -> None:
        self.tape.action((DECLINE, dialog, hold_off))
        self.host.decline(dialog, hold_off)

    def abort(self, dialog: int) -> None:
        self.tape.action((ABORT, dialog))
        self.host.abort(dialog)

    def schedule_tick(self, delay: int) -> None:
        self.tape.action((SCHEDULE_TICK, delay))
        self.host.schedule_tick(delay)

    def send_to_peers(self, told: bytes) -> None:
        self.tape.action((SEND_TO_PEERS, told))
        self.host.send_to_peers(told)

    def subscribe(self) -> None:
        self.tape.action((SUBSCRIBE,))
        self.host.subscribe()


class RecordedController(CallController):
    """The controller with its events noted on `tape` before they enter."""

    tape: Tape

    def start(self, now: int) -> None:
        self.tape.event((START, now))
        super().start(now)

    def tick(self, now: int) -> None:
        self.tape.event((TICK, now))
        CallController.tick(self, now)

    def peer_report_received(self, now: int, told: bytes) -> None:
        self.tape.event((PEER_REPORT_RECEIVED, now, told))
        CallController.peer_report_received(self, now, told)

    def exchange_list_received(self, now: int, entries: list, whole: bool) -> None:
        self.tape.event((EXCHANGE_LIST_RECEIVED, now, [[int(part) for part in entry] for entry in entries], whole))
        super().exchange_list_received(now, entries, whole)

    def restore(self, now: int, known: Learned, age: int) -> None:
        self.tape.event((RESTORE, now, known, age))
        super().restore(now, known, age)

    def exchange_list_failed(self, now: int) -> None:
        self.tape.event((EXCHANGE_LIST_FAILED, now))
        super().exchange_list_failed(now)

    def trunk_group_reported(self, now: int, gw: int, free: int, size: int) -> None:
        self.tape.event((TRUNK_GROUP_REPORTED, now, gw, free, size))
        CallController.trunk_group_reported(self, now, gw, free, size)

    def dialog_received(
        self,
        now: int,
        dialog: int,
        kind: int,
        far: int,
        width: int,
        number: str,
        expires_in: int,
        transit: bool,
        redialled: bool,
        cut: bool,
        advised: int = -1,
    ) -> None:
        self.tape.event((DIALOG_RECEIVED, now, dialog, kind, far, width, number, expires_in, transit, redialled, cut, advised))
        CallController.dialog_received(self, now, dialog, kind, far, width, number, expires_in, transit, redialled, cut, advised)

    def dialog_established(self, now: int, dialog: int, took: int) -> None:
        self.tape.event((DIALOG_ESTABLISHED, now, dialog, took))
        CallController.dialog_established(self, now, dialog, took)

    def leg_ended(self, now: int, dialog: int, gw: int, how, rsn: int, over: bool, free: int, size: int) -> None:
        self.tape.event((LEG_ENDED, now, dialog, gw, int(how), int(rsn), over, free, size))
        CallController.leg_ended(self, now, dialog, gw, how, rsn, over, free, size)

    def dialog_cancelled(self, now: int, dialog: int) -> None:
        self.tape.event((DIALOG_CANCELLED, now, dialog))
        super().dialog_cancelled(now, dialog)


def recorded(tape: Tape, host: Host, *args: Any, **figures: Any) -> CallController:
    """A controller made as `CallController(host, ...)` would be, on a tape."""
    controller = RecordedController(RecordedHost(host, tape), *args, **figures)
    controller.tape = tape
    tape.state = lambda: freeze(controller)
    return controller
