"""The switches by id: an index for each (gw), and which exchange number it holds. No I/O."""

from collections.abc import Iterable, Sequence

from ..host import GwState
from .fair_share import FairShare
from .switch_processes import ListedProcess
from .wire import Conn

MAX_UNLISTED = 1000  # switches that callers name and the exchange list does not have
UNLISTED_ID = "unlisted"  # stands for all further ones


class SwitchDirectory:
    """All switches that were ever listed, or that calls named by callers stand at. A gw stays that of its id."""

    def __init__(self) -> None:
        self.ids: list[str] = []  # by gw
        self.unlisted_share = FairShare(MAX_UNLISTED)
        self.named_by: dict[int, Conn] = {}  # by gw of an unlisted switch: the connection that named it first
        self.free_gws: list[int] = []
        self.gw_of: dict[str, int] = {}  # by id
        self.exchange_numbers: dict[int, int] = {}  # by gw, of those that were listed
        self.gws_by_exchange: dict[int, list[int]] = {}  # the switches that hold an exchange number now

    def entry_received(self, entry: ListedProcess) -> int:
        """Take an entry of the exchange list; returns the gw. An entry without a number keeps the number known."""
        gw = self._gw_for(entry.id)
        if gw in self.named_by:
            self.unlisted_share.give_back(self.named_by.pop(gw))
        number = self.exchange_numbers.setdefault(gw, entry.number) if entry.number < 0 else entry.number
        self.exchange_numbers[gw] = number
        gws = self.gws_by_exchange.setdefault(number, [])
        if (entry.state == GwState.GONE) == (gw in gws):
            (gws.remove if entry.state == GwState.GONE else gws.append)(gw)
        return gw

    def gw_of_named(self, id: str, conn: Conn) -> int:
        """The gw of a switch that a caller names, which may not be listed. Callers can not make the number of ids grow without
        bound, and share it: those that are not admitted share one id."""
        if id not in self.gw_of and not self.unlisted_share.admits(conn):
            id = UNLISTED_ID
        if id not in self.gw_of and id != UNLISTED_ID:
            self.unlisted_share.take(conn)
            self.named_by[self._gw_for(id)] = conn
        return self._gw_for(id)

    def forget_unlisted(self, gw: int) -> None:
        """No call is left at a switch that is not listed: its gw may be given to another."""
        if gw in self.named_by:
            self.unlisted_share.give_back(self.named_by.pop(gw))
        del self.gw_of[self.ids[gw]]
        self.free_gws.append(gw)

    def is_listed(self, gw: int) -> bool:
        return gw in self.exchange_numbers

    def listed_without(self, gws: Iterable[int]) -> set[int]:
        """All that were ever listed, without `gws`."""
        return set(self.exchange_numbers).difference(gws)

    def sharing_number(self, gw: int) -> Sequence[int]:
        """The switches that hold the exchange number of `gw` now; only itself if it no longer holds it."""
        gws = self.gws_by_exchange.get(self.exchange_numbers.get(gw, -1), ())
        return gws if gw in gws else (gw,)

    def _gw_for(self, id: str) -> int:
        if id in self.gw_of:
            return self.gw_of[id]
        if self.free_gws:
            gw = self.free_gws.pop()
            self.ids[gw] = id
        else:
            gw = len(self.ids)
            self.ids.append(id)
        self.gw_of[id] = gw
        return gw
