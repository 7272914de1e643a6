"""One simulated signalling proxy: its ids, its units and its controller, apart from all others."""

from collections.abc import Callable
from typing import Any

from ..call_controller import CallController
from ..facts import UNIT, Facts, at_most, circuits_in, controller_facts, gw_state, rsn_of
from ..host import LegEnd, ListEntry
from .codec import BadLineError, encode

LEG_ENDS = {
    "success": LegEnd.ENDED,
    "failure": LegEnd.BUSY,
    "overloaded": LegEnd.FULL,
    "timed_out": LegEnd.NO_ANSWER,
    "unreachable": LegEnd.UNREACHABLE,
    "broken": LegEnd.CUT,
    "withdrawn": LegEnd.CANCELLED,
    "void": LegEnd.NOT_SENT,
}
REDIALLED, IN_TRANSIT, WAS_CUT = 2, 8, 16


def _hex(text: str) -> bytes:
    try:
        return bytes.fromhex(text)
    except ValueError:
        raise BadLineError("field Bytes is ill-typed") from None


class Proxy:
    """The host of one controller. Ids turn into small indices here, and back."""

    def __init__(
        self,
        name: str,
        seed: int,
        facts: dict[str, Any],
        now_us: int,
        out: list[str],
        make: Callable[..., CallController] = CallController,
    ) -> None:
        self.name, self.out = name, out
        self.switch_of: list[str] = []
        self.gw_of: dict[str, int] = {}
        self.rid_of: dict[int, int] = {}
        self.dialog_of: dict[int, int] = {}
        self.legs_out: dict[int, int] = {}
        self.ended: set[int] = set()
        self.dialogs = 0
        start = Facts(facts, "Facts")
        self.tells_wait = start.part("Specifics").get("GivesWait", bool, False)
        here, proxies, types, figures = controller_facts(start)
        self.controller = make(self, seed, here, proxies, types, **figures)
        self.controller.start(now_us // UNIT)

    # --- what the controller asks for ---

    def send_leg(self, dialog: int, gw: int, limit: int) -> None:
        self.legs_out[dialog] += 1
        self._act("CallOut", Rid=self.rid_of[dialog], Switch=self.switch_of[gw], Timeout=limit * UNIT)

    def cancel_leg(self, dialog: int, leg: int) -> None:
        self._act("UndoSend", Rid=self.rid_of[dialog], Attempt=leg)

    def decline(self, dialog: int, hold_off: int) -> None:
        self._act("NotNow", Rid=self.rid_of[dialog], HoldOff=hold_off * UNIT)
        self._ended(dialog)

    def abort(self, dialog: int) -> None:
        self._act("Abort", Rid=self.rid_of[dialog])
        self._ended(dialog)

    def schedule_tick(self, delay: int) -> None:
        self._act("Remind", FromNow=delay * UNIT, Cookie="beat")

    def send_to_peers(self, told: bytes) -> None:
        self._act("Say", To=-1, Bytes=told.hex())

    def subscribe(self) -> None:
        self._act("Watch", Want=True)

    # --- what the wire tells ---

    def take(self, msg: dict[str, Any], now_us: int, lists: dict[int, list[dict[str, Any]]]) -> None:
        now = now_us // UNIT
        match msg["t"]:
            case "Knock":
                self._knock(msg, now)
            case "Headers":
                dialog = self.dialog_of.get(msg["Rid"])
                if dialog is not None:
                    self.controller.dialog_established(now, dialog, at_most(msg.get("TimeTaken") or 0))
            case "Result":
                self._result(msg, now)
            case "CancelledByClient":
                dialog = self.dialog_of.get(msg["Rid"])
                if dialog is not None:
                    self.controller.dialog_cancelled(now, dialog)
                    self._ended(dialog)
            case "Message":
                self.controller.peer_report_received(now, _hex(msg["Bytes"]))
            case "Elapsed":
                self.controller.tick(now)
            case "ProbeResult":
                gw = self._gw(msg["Switch"])
                free, size = self._stats(msg)
                if size >= 0:
                    self.controller.trunk_group_reported(now, gw, free, size)
            case "BackendsChanged" if msg["Kind"] == 3:
                self.controller.exchange_list_failed(now)
            case "BackendsChanged":
                entries = lists.get(msg.get("SetId"))
                if entries is None:
                    raise BadLineError("field SetId names no list that has come")
                self.controller.exchange_list_received(now, [self._entry(entry) for entry in entries], msg["Kind"] != 0)

    def _knock(self, msg: dict[str, Any], now: int) -> None:
        dialog = self.dialogs
        self.dialogs += 1
        self.rid_of[dialog] = msg["Rid"]
        self.dialog_of[msg["Rid"]] = dialog
        self.legs_out[dialog] = 0
        marks = msg.get("Bitmap") or 0
        kind = msg.get("Class") or 0
        if not 0 <= kind < len(self.controller.traffic_types):
            raise BadLineError("field Class names no class")
        self.controller.dialog_received(
            now,
            dialog,
            kind,
            int(msg["FarEnd"]),
            int(msg["SlotsNeeded"]),
            msg.get("Subject") or "",
            at_most(msg["ExpiresIn"]),
            bool(marks & IN_TRANSIT),
            bool(marks & REDIALLED),
            bool(marks & WAS_CUT),
            -1 if marks & IN_TRANSIT else int(msg.get("AdvisedRoute", -1)),
        )

    def _result(self, msg: dict[str, Any], now: int) -> None:
        dialog = self.dialog_of.get(msg["Rid"])
        how = LEG_ENDS.get(msg["Outcome"])
        if how is None:
            raise BadLineError("field Outcome names no outcome")
        if dialog is None:
            return
        self.legs_out[dialog] -= 1
        free, size = self._stats(msg)
        rsn = rsn_of(msg.get("Reason") or 0, self.tells_wait)
        self.controller.leg_ended(now, dialog, self._gw(msg["Switch"]), how, rsn, bool(msg.get("Ended")), free, size)
        if msg.get("Ended"):
            self._ended(dialog)
        else:
            self._forget(dialog)

    def _entry(self, entry: dict[str, Any]) -> ListEntry:
        return ListEntry(
            self._gw(entry["Switch"]), entry["NodeNo"], gw_state(entry["Availability"]), (entry.get("Born") or 0) // UNIT
        )

    def _stats(self, msg: dict[str, Any]) -> tuple[int, int]:
        """Free circuits and size of the group; -1 where not told."""
        return circuits_in(msg.get("ServerStats") or {})

    def _gw(self, switch: str) -> int:
        if switch not in self.gw_of:
            self.gw_of[switch] = len(self.switch_of)
            self.switch_of.append(switch)
        return self.gw_of[switch]

    def _ended(self, dialog: int) -> None:
        self.ended.add(dialog)
        self._forget(dialog)

    def _forget(self, dialog: int) -> None:
        """A dialog's ids go once it has ended and no leg of it is out."""
        if dialog in self.ended and self.legs_out.get(dialog) == 0:
            self.ended.discard(dialog)
            del self.legs_out[dialog]
            del self.dialog_of[self.rid_of.pop(dialog)]

    def _act(self, action: str, **fields: Any) -> None:
        self.out.append(encode(action, Proxy=self.name, **fields))
