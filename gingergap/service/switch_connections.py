"""The connections to one switch: a few, opened as they are needed, and whether anybody is there.

A set-up gets a connection of its own while there are any, since what spoils one answer spoils all that wait on its
connection. What a switch says of its group is taken from one of them, in order; each says the same.
"""

from __future__ import annotations

from typing import Any, Protocol

import gevent

from ..sip.message import BadMessageError
from ..switches.messages import Reader
from ..transport.stream import Stream

MOST_LINKS = 4  # a switch tells states on so many at most
MOST_QUEUED = 1 << 18
LONGEST_WRITE = 2.0
STALLED = 0.25  # seconds: messages come in one piece, so one that has stood half for this long won't be whole
SILENT = 1.5  # seconds without a word before a new connection asks whether anybody is there
LOST = 2.5  # seconds for which nobody was there before the machine counts as lost
FINISH = 1.0  # seconds in which a switch may close its end of a connection that is given back
AGAIN = 0.2  # seconds between tries to connect
LATEST = 3.0  # seconds for which a connection that is late is still tried
MOST_LATE = 3


class Owner(Protocol):
    """Who hears of connections; the proxy's process."""

    def clock(self) -> int: ...

    def link_up(self, link: SwitchConnection) -> None: ...

    def link_lost(self, link: SwitchConnection, was_up: bool) -> None: ...

    def link_busy(self, link: SwitchConnection) -> int:
        """How many set-ups are out on it."""

    def machine_lost(self, switch: SwitchConnections) -> None: ...

    def standing_at(self, switch: SwitchConnections) -> int: ...

    def spoilt_by(self, link: SwitchConnection, why: str) -> None: ...

    calls: Any


class SwitchConnection(Stream):
    """One connection to a switch."""

    def __init__(self, switch: SwitchConnections) -> None:
        super().__init__(None, most_queued=MOST_QUEUED, longest_write=LONGEST_WRITE)
        self.switch = switch
        self.reader = Reader(self)
        self.up = self.retired = False
        self.renews = False  # it was opened since another was lost, for what the switch had written to that one
        self.late = False  # not up within the time for a connection, and still tried
        self.opened_at = switch.now()
        self.heard_at = 0.0
        self.state: dict[str, float] = {}

    def open(self) -> None:
        if not self.connect(self.switch.address, LATEST):
            return
        self.up = True
        self.switch.came_up(self)
        self.read()

    def usable(self) -> bool:
        """Whether a set-up may go out on it, now or once it is up."""
        return not self.retired and not self.finishing and not self.late

    def came(self, data: bytes) -> None:
        self.heard_at = self.switch.heard_at = self.switch.now()
        try:
            self.reader.feed(data)
        except BadMessageError as bad:
            self.switch.owner.spoilt_by(self, str(bad))
            self.close(True, str(bad)[:60])

    def ended(self, reset: bool) -> None:
        self.switch.gone(self, reset and self.up)

    # --- what the reader makes of it ---

    def answered(self, id: str, sdp: str) -> None:
        owner = self.switch.owner
        owner.calls.answered(owner.clock(), self.switch.gw, self, id, sdp)

    def refused(self, id: str, status: int, word: str, report: dict[str, float]) -> None:
        owner = self.switch.owner
        owner.calls.refused(owner.clock(), self.switch.gw, self, id, status, word, report)

    def released(self, id: str, cause: int, report: dict[str, float]) -> None:
        owner = self.switch.owner
        owner.calls.call_released(owner.clock(), self.switch.gw, self, id, cause, report)

    def reported(self, report: dict[str, float]) -> None:
        self.state = report
        if self.switch.main is self:
            owner = self.switch.owner
            owner.calls.reported(owner.clock(), self.switch.gw, report)


class SwitchConnections:
    """One switch by its id. Connections belong to the id: another switch may come to its address. Times in seconds."""

    def __init__(self, owner: Owner, gw: int, address: tuple[str, int], connect_timeout: float) -> None:
        self.owner, self.gw, self.address, self.connect_timeout = owner, gw, address, connect_timeout
        self.links: list[SwitchConnection] = []
        self.main: SwitchConnection | None = None
        self.waiting: list[bytes] = []  # for the next connection
        self.wanted = True
        self.renew = False  # a connection was lost: what the switch wrote to it comes again on the next one
        self.heard_at = self.tried_at = 0.0
        self.nobody_listens = False  # by the last try: its process has died, and cut its calls
        self.failed_since = 0.0  # 0 while the last try to connect went well or none has ended

    def now(self) -> float:
        return self.owner.clock() / 10_000

    def close(self) -> None:
        self.wanted = False
        for link in list(self.links):
            link.close(True, "another address")

    def link_to(self, used: set[Any]) -> SwitchConnection | None:
        """A connection for a set-up: a free one, else a new one, else the least busy. None: nobody is there."""
        free = [link for link in self.links if link.usable() and link not in used]
        up = sorted((self.owner.link_busy(link), not link.up, place) for place, link in enumerate(free))
        if up and up[0][0] == 0 and free[up[0][2]].up:
            return free[up[0][2]]
        if self.failed_since and not any(link.up for link in free):
            return None
        if len([link for link in self.links if link.usable()]) < MOST_LINKS:
            return self._open()
        return free[up[0][2]] if up else self._open()

    def send(self, data: bytes) -> None:
        """On any connection, or the next."""
        for link in self.links:
            if link.up and link.usable():
                link.put(data)
                return
        self.waiting.append(data)
        del self.waiting[:-1000]

    def give_up_opening(self) -> None:
        """Close connections that are not up yet and for which no set-up waits."""
        for link in list(self.links):
            if not link.up and self.owner.link_busy(link) == 0:
                link.close(False, "nobody is left to be told what it would bring")

    def _open(self) -> SwitchConnection:
        link = SwitchConnection(self)
        self.links.append(link)
        link.renews, self.renew = self.renew, False
        self.tried_at = self.now()
        gevent.spawn(link.open)
        return link

    def came_up(self, link: SwitchConnection) -> None:
        self.failed_since, self.nobody_listens = 0.0, False
        link.late = False
        self.heard_at = link.heard_at = self.now()
        waiting, self.waiting = self.waiting, []
        for data in waiting:
            link.put(data)
        self._choose_main()
        self.owner.link_up(link)

    def gone(self, link: SwitchConnection, was_up: bool) -> None:
        if link in self.links:
            self.links.remove(link)
        self.renew = self.renew or was_up or link.renews and not link.late
        self.nobody_listens = not was_up and link.nobody_listens
        if not was_up and not self.failed_since:
            self.failed_since = self.now()
        if self.main is link:
            self._choose_main()
        self.owner.link_lost(link, was_up)

    def _choose_main(self) -> None:
        """States are taken from one connection: by several they would come out of order."""
        if self.main is not None and self.main in self.links and not self.main.retired:
            return
        self.main = next((link for link in self.links if link.up and not link.retired), None)
        if self.main is not None and self.main.state:
            self.main.reported(self.main.state)

    def _look_at_late(self, now: float) -> None:
        """Set-ups don't wait for a connection that is late; it may still come up, as from a slow machine."""
        for link in self.links:
            if not link.up and not link.late and now - link.opened_at > self.connect_timeout:
                link.late = True
                self.renew = self.renew or link.renews
                self.failed_since = self.failed_since or now
                self.owner.link_lost(link, False)
        late = [link for link in self.links if link.late]
        for link in late[:-MOST_LATE]:
            link.close(False, "late, and others are tried")

    def look(self) -> None:
        """From time to time: stalled messages, retired connections, and whether anybody is there."""
        now = self.now()
        for link in list(self.links):
            if link.retired and self.owner.link_busy(link) == 0:
                # Closed at once, it took a release with it that the switch had just written: one call in some
                # thousands was over without its caller being told.
                link.finish(FINISH)
                self._choose_main()
            elif link.up and link.reader.partial and now - link.heard_at > STALLED and not link.readable():
                self.owner.spoilt_by(link, "a message stands half")
                link.close(True, "a message stands half")
        standing = self.owner.standing_at(self)
        if not self.wanted and not standing:
            for link in list(self.links):
                if self.owner.link_busy(link) == 0:
                    link.retired = True
                    link.finish(FINISH)
            return
        self._look_at_late(now)
        up = [link for link in self.links if link.up and link.usable()]
        opening = any(not link.up and not link.late for link in self.links)
        # A release that crossed the close of its connection went to nobody while others stayed open: it is sent again
        # on the next connection that is opened, and has to reach its caller within a second.
        if (
            not opening
            and (not up or standing and (self.renew or now - self.heard_at > SILENT))
            and (self.renew or now - self.tried_at >= AGAIN)
        ):
            self._open()
        # A vanished machine resets nothing: what stood there is over when new connections have failed for so long.
        if self.failed_since and now - self.failed_since > LOST and now - self.heard_at > LOST:
            if standing:
                self.owner.machine_lost(self)
            for link in up:
                link.close(True, "nobody there")
