"""Follows the event bus over sockets, with overlapping requests so that neither a slow nor a lost response delays news.

A request is *fresh* until its response is overdue. While no request is fresh, another is sent on a connection of its own;
the earlier ones stay open, since a slow bus may still answer them. The first complete response is applied; events that
have been applied before are skipped. With a bus that answers in time there is one connection and one request at a time.
"""

from __future__ import annotations

from typing import Protocol

import gevent
from gevent import socket
from gevent.event import Event

from ..exchange_list.long_poll import Batch, EventBusError, LongPoll
from .log import log

HOLD_MS = 1000  # for which the bus may delay an empty response
OVERDUE_TIME = HOLD_MS / 1000 + 0.4  # seconds after which a request is no longer fresh
MAX_REQUESTS = 6  # at once: a response may take MAX_REQUESTS times OVERDUE_TIME
RETRY_DELAY = 0.2  # seconds after failed requests
LOGGED_FAILURES = (1, 10, 100)  # consecutive failures at which a line is logged


class Owner(Protocol):
    """Receives the events: the proxy's process."""

    last_offset: int  # of the last event that was applied

    def seconds(self) -> float:
        """Unix time in seconds."""

    def batch_received(self, batch: Batch) -> None:
        """Apply the events that are new; raises EventBusError."""


class _Request:
    """One connection to the bus, used for further requests as long as its responses arrive in time."""

    def __init__(self, client: EventBusClient, address: tuple[str, int]) -> None:
        self.client, self.address = client, address
        self.sent_at = client.owner.seconds()
        self.sock: socket.socket | None = None
        self.greenlet = gevent.spawn(self._run)

    def is_fresh(self) -> bool:
        return self.client.owner.seconds() - self.sent_at < OVERDUE_TIME

    def close(self) -> None:
        self.greenlet.kill(block=False)

    def _run(self) -> None:
        host = f"{self.address[0]}:{self.address[1]}"
        try:
            self.sock = socket.create_connection(self.address, OVERDUE_TIME * MAX_REQUESTS)
            self.sock.settimeout(None)
            poll = LongPoll(host)
            while True:
                self.client.response_received(self, self._poll_once(poll))
                if not self.client.should_repeat(self):
                    return
                self.sent_at = self.client.owner.seconds()
        except Exception as error:  # also of the code that applies an event: the bus is asked again after a delay
            self.client.request_failed(host, error)
        finally:
            if self.sock is not None:
                self.sock.close()
            self.client.request_ended(self)

    def _poll_once(self, poll: LongPoll) -> Batch:
        self.sock.sendall(poll.request(self.client.owner.last_offset, HOLD_MS))
        while True:
            batch = poll.feed(self.sock.recv(65_536))
            if batch is not None:
                return batch


class EventBusClient:
    """Follows one event bus at a time. `address`: host and port."""

    def __init__(self, owner: Owner, address: tuple[str, int]) -> None:
        self.owner, self.address = owner, address
        self.requests: list[_Request] = []
        self.consecutive_failures = 0
        self.retry_at = 0.0  # seconds of the owner's clock
        self.changed = Event()
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        self.greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        self.greenlet.kill(block=False)
        self._close_all()

    def move_to(self, address: tuple[str, int]) -> None:
        """Follow another bus with the same offsets; requests to the previous one are abandoned."""
        self.address = address
        self._close_all()
        self.consecutive_failures, self.retry_at = 0, 0.0
        self.changed.set()

    def _close_all(self) -> None:
        requests, self.requests = self.requests, []
        for request in requests:
            request.close()

    def _run(self) -> None:
        while True:
            now = self.owner.seconds()
            if now >= self.retry_at and not any(request.is_fresh() for request in self.requests):
                self._open_request()
            wait = max(0.0, self.retry_at - now)
            if self.requests:
                latest_sent_at = max(request.sent_at for request in self.requests)
                wait = max(wait, latest_sent_at + OVERDUE_TIME - now)
            self.changed.clear()
            self.changed.wait(max(wait, 0.01))

    def _open_request(self) -> None:
        if self.requests:
            log(
                "bus-overdue",
                bus=f"{self.address[0]}:{self.address[1]}",
                questions=len(self.requests),
                last=self.owner.last_offset,
            )
        if len(self.requests) >= MAX_REQUESTS:
            self.requests.pop(0).close()
        self.requests.append(_Request(self, self.address))

    # --- events of requests ---

    def response_received(self, request: _Request, batch: Batch) -> None:
        if request in self.requests:  # else it was abandoned while its response was on the way
            self.owner.batch_received(batch)
            self.consecutive_failures = 0

    def should_repeat(self, request: _Request) -> bool:
        """Whether to send another request on the same connection: no other request is fresh."""
        return request in self.requests and not any(other.is_fresh() for other in self.requests if other is not request)

    def request_failed(self, host: str, error: Exception) -> None:
        self.consecutive_failures += 1
        if self.consecutive_failures in LOGGED_FAILURES:
            log("bus-trouble", bus=host, why=str(error)[:100], times=self.consecutive_failures)
        # After the first failure of the connection or the bus the request is repeated at once.
        if self.consecutive_failures > 1 or not isinstance(error, (OSError, EventBusError)):
            self.retry_at = self.owner.seconds() + RETRY_DELAY

    def request_ended(self, request: _Request) -> None:
        if request in self.requests:
            self.requests.remove(request)
            self.changed.set()
