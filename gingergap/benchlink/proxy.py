"""One simulated signalling proxy: the host of one controller, with the simulator's ids and units."""

from collections.abc import Callable
from typing import Any

from ..call_controller import CallController
from ..host import LegEnd, ListEntry
from ..platform_settings import UNIT_US, SettingsReader, circuits_in_report, controller_arguments, gw_state, max_duration, rsn_of
from .codec import BadLineError, encode

LEG_END_BY_OUTCOME = {
    "success": LegEnd.ENDED,
    "failure": LegEnd.BUSY,
    "overloaded": LegEnd.FULL,
    "timed_out": LegEnd.NO_ANSWER,
    "unreachable": LegEnd.UNREACHABLE,
    "broken": LegEnd.CUT,
    "withdrawn": LegEnd.CANCELLED,
    "void": LegEnd.NOT_SENT,
}
REDIALLED, IN_TRANSIT, AFTER_CUT = 2, 8, 16  # bits of the field Bitmap


def _bytes_of_hex(text: str) -> bytes:
    try:
        return bytes.fromhex(text)
    except ValueError:
        raise BadLineError("field Bytes is ill-typed") from None


class Proxy:
    """The host of one controller. It replaces the simulator's ids by small indices and microseconds by the controller's
    unit, and back; actions are appended to `out` as lines of the wire."""

    def __init__(
        self,
        name: str,
        seed: int,
        facts: dict[str, Any],
        now_us: int,
        out: list[str],
        make_controller: Callable[..., CallController] = CallController,
    ) -> None:
        self.name, self.out = name, out
        self.switch_by_gw: list[str] = []
        self.gw_by_switch: dict[str, int] = {}
        self.rid_by_dialog: dict[int, int] = {}
        self.dialog_by_rid: dict[int, int] = {}
        self.legs_out: dict[int, int] = {}  # number of unanswered or established legs by dialog
        self.answered: set[int] = set()
        self.dialog_count = 0
        settings = SettingsReader(facts, "Facts")
        self.gives_wait = settings.section("Specifics").get("GivesWait", bool, False)
        own_exchange, proxy_count, traffic_types, arguments = controller_arguments(settings)
        self.controller = make_controller(self, seed, own_exchange, proxy_count, traffic_types, **arguments)
        self.controller.start(now_us // UNIT_US)

    # --- actions of the controller ---

    def send_leg(self, dialog_index: int, gw: int, time_limit: int) -> None:
        self.legs_out[dialog_index] += 1
        self._act("CallOut", Rid=self.rid_by_dialog[dialog_index], Switch=self.switch_by_gw[gw], Timeout=time_limit * UNIT_US)

    def cancel_leg(self, dialog_index: int, leg_index: int) -> None:
        self._act("UndoSend", Rid=self.rid_by_dialog[dialog_index], Attempt=leg_index)

    def decline(self, dialog_index: int, hold_off: int) -> None:
        self._act("NotNow", Rid=self.rid_by_dialog[dialog_index], HoldOff=hold_off * UNIT_US)
        self._mark_answered(dialog_index)

    def abort(self, dialog_index: int) -> None:
        self._act("Abort", Rid=self.rid_by_dialog[dialog_index])
        self._mark_answered(dialog_index)

    def schedule_tick(self, delay: int) -> None:
        self._act("Remind", FromNow=delay * UNIT_US, Cookie="beat")

    def send_to_peers(self, report: bytes) -> None:
        self._act("Say", To=-1, Bytes=report.hex())

    def subscribe(self) -> None:
        self._act("Watch", Want=True)

    # --- events of the wire ---

    def handle(self, msg: dict[str, Any], now_us: int, lists: dict[int, list[dict[str, Any]]]) -> None:
        """Give one event to the controller. `lists`: the exchange lists received so far by SetId. Raises BadLineError for
        a field whose value refers to nothing known."""
        now = now_us // UNIT_US
        match msg["t"]:
            case "Knock":
                self._dialog_received(msg, now)
            case "Headers":
                dialog_index = self.dialog_by_rid.get(msg["Rid"])
                if dialog_index is not None:
                    self.controller.dialog_established(now, dialog_index, max_duration(msg.get("TimeTaken") or 0))
            case "Result":
                self._leg_ended(msg, now)
            case "CancelledByClient":
                dialog_index = self.dialog_by_rid.get(msg["Rid"])
                if dialog_index is not None:
                    self.controller.dialog_cancelled(now, dialog_index)
                    self._mark_answered(dialog_index)
            case "Message":
                self.controller.peer_report_received(now, _bytes_of_hex(msg["Bytes"]))
            case "Elapsed":
                self.controller.tick(now)
            case "ProbeResult":
                gw = self._gw(msg["Switch"])
                free, size = self._circuits(msg)
                if size >= 0:
                    self.controller.trunk_group_reported(now, gw, free, size)
            case "BackendsChanged" if msg["Kind"] == 3:
                self.controller.exchange_list_failed(now)
            case "BackendsChanged":
                entries = lists.get(msg.get("SetId"))
                if entries is None:
                    raise BadLineError("field SetId names no list received so far")
                self.controller.exchange_list_received(now, [self._entry(entry) for entry in entries], msg["Kind"] != 0)

    def _dialog_received(self, msg: dict[str, Any], now: int) -> None:
        dialog_index = self.dialog_count
        self.dialog_count += 1
        self.rid_by_dialog[dialog_index] = msg["Rid"]
        self.dialog_by_rid[msg["Rid"]] = dialog_index
        self.legs_out[dialog_index] = 0
        marks = msg.get("Bitmap") or 0
        traffic_type = msg.get("Class") or 0
        if not 0 <= traffic_type < len(self.controller.traffic_types):
            raise BadLineError("field Class names no class")
        self.controller.dialog_received(
            now,
            dialog_index,
            traffic_type,
            int(msg["FarEnd"]),
            int(msg["SlotsNeeded"]),
            msg.get("Subject") or "",
            max_duration(msg["ExpiresIn"]),
            bool(marks & IN_TRANSIT),
            bool(marks & REDIALLED),
            bool(marks & AFTER_CUT),
            -1 if marks & IN_TRANSIT else int(msg.get("AdvisedRoute", -1)),
        )

    def _leg_ended(self, msg: dict[str, Any], now: int) -> None:
        dialog_index = self.dialog_by_rid.get(msg["Rid"])
        leg_end = LEG_END_BY_OUTCOME.get(msg["Outcome"])
        if leg_end is None:
            raise BadLineError("field Outcome names no outcome")
        if dialog_index is None:
            return
        self.legs_out[dialog_index] -= 1
        free, size = self._circuits(msg)
        rsn = rsn_of(msg.get("Reason") or 0, self.gives_wait)
        self.controller.leg_ended(now, dialog_index, self._gw(msg["Switch"]), leg_end, rsn, bool(msg.get("Ended")), free, size)
        if msg.get("Ended"):
            self._mark_answered(dialog_index)
        else:
            self._forget_if_done(dialog_index)

    def _entry(self, entry: dict[str, Any]) -> ListEntry:
        return ListEntry(
            self._gw(entry["Switch"]), entry["NodeNo"], gw_state(entry["Availability"]), (entry.get("Born") or 0) // UNIT_US
        )

    def _circuits(self, msg: dict[str, Any]) -> tuple[int, int]:
        """Free circuits and size of the trunk group; -1 where the message does not give them."""
        return circuits_in_report(msg.get("ServerStats") or {})

    def _gw(self, switch: str) -> int:
        if switch not in self.gw_by_switch:
            self.gw_by_switch[switch] = len(self.switch_by_gw)
            self.switch_by_gw.append(switch)
        return self.gw_by_switch[switch]

    def _mark_answered(self, dialog_index: int) -> None:
        self.answered.add(dialog_index)
        self._forget_if_done(dialog_index)

    def _forget_if_done(self, dialog_index: int) -> None:
        """Forget the ids of a dialog that has been answered and has no leg out."""
        if dialog_index in self.answered and self.legs_out.get(dialog_index) == 0:
            self.answered.discard(dialog_index)
            del self.legs_out[dialog_index]
            del self.dialog_by_rid[self.rid_by_dialog.pop(dialog_index)]

    def _act(self, action: str, **fields: Any) -> None:
        self.out.append(encode(action, Proxy=self.name, **fields))
