"""The event bus over sockets: questions that overlap, so that neither a slow answer nor a lost one keeps news back.

A question is *fresh* until an answer to it is overdue. While no question is fresh another is asked on a connection of its
own; those before stay open, since a slow bus answers them yet. Whatever whole answer comes first is taken, and numbers that
are known already change nothing. With a bus that answers in time there is one connection and one question.
"""

from __future__ import annotations

from typing import Protocol

import gevent
from gevent import socket
from gevent.event import Event

from ..listfeed.poll import BadFeedError, Batch, Poll
from .log import log

HOLD = 1000  # milliseconds for which the bus may hold a question
OVERDUE = HOLD / 1000 + 0.4  # seconds after which a question is no longer fresh
MOST_QUESTIONS = 6  # at once: an answer may come as late as MOST_QUESTIONS times OVERDUE
RETRY_AFTER = 0.2  # seconds between questions that failed
LOGGED_TROUBLES = (1, 10, 100)  # of failures in a row, which are logged


class Owner(Protocol):
    """Who takes the events; the service's process."""

    last: int  # number of the last event that was taken

    def seconds(self) -> float: ...

    def batch_came(self, batch: Batch) -> None:
        """Take what is new in it; raises BadFeedError."""


class _Question:
    """One connection to the bus, asked again for as long as its answers come in time."""

    def __init__(self, client: EventBusClient, address: tuple[str, int]) -> None:
        self.client, self.address = client, address
        self.asked_at = client.owner.seconds()
        self.sock: socket.socket | None = None
        self.greenlet = gevent.spawn(self._run)

    def fresh(self) -> bool:
        return self.client.owner.seconds() - self.asked_at < OVERDUE

    def close(self) -> None:
        self.greenlet.kill(block=False)

    def _run(self) -> None:
        host = f"{self.address[0]}:{self.address[1]}"
        try:
            self.sock = socket.create_connection(self.address, OVERDUE * MOST_QUESTIONS)
            self.sock.settimeout(None)
            poll = Poll(host)
            while True:
                self.client.answered(self, self._ask(poll))
                if not self.client.wants_another(self):
                    return
                self.asked_at = self.client.owner.seconds()
        except Exception as error:  # whatever an event made fail, the bus is asked again, after a rest
            self.client.failed(host, error)
        finally:
            if self.sock is not None:
                self.sock.close()
            self.client.over(self)

    def _ask(self, poll: Poll) -> Batch:
        self.sock.sendall(poll.ask(self.client.owner.last, HOLD))
        while True:
            batch = poll.feed(self.sock.recv(65_536))
            if batch is not None:
                return batch


class EventBusClient:
    """Follows one bus at a time. `address`: host and port."""

    def __init__(self, owner: Owner, address: tuple[str, int]) -> None:
        self.owner, self.address = owner, address
        self.questions: list[_Question] = []
        self.troubles = 0
        self.retry_at = 0.0  # seconds of the owner's clock
        self.changed = Event()
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        self.greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        self.greenlet.kill(block=False)
        self._drop_all()

    def move_to(self, address: tuple[str, int]) -> None:
        """Another bus, with the same numbers: whatever was asked of the one before is given up."""
        self.address = address
        self._drop_all()
        self.troubles, self.retry_at = 0, 0.0
        self.changed.set()

    def _drop_all(self) -> None:
        questions, self.questions = self.questions, []
        for question in questions:
            question.close()

    def _run(self) -> None:
        while True:
            now = self.owner.seconds()
            if now >= self.retry_at and not any(question.fresh() for question in self.questions):
                self._ask_anew()
            wait = max(0.0, self.retry_at - now)
            if self.questions:
                freshest = max(question.asked_at for question in self.questions)
                wait = max(wait, freshest + OVERDUE - now)
            self.changed.clear()
            self.changed.wait(max(wait, 0.01))

    def _ask_anew(self) -> None:
        if self.questions:
            log("bus-overdue", bus=f"{self.address[0]}:{self.address[1]}", questions=len(self.questions), last=self.owner.last)
        if len(self.questions) >= MOST_QUESTIONS:
            self.questions.pop(0).close()
        self.questions.append(_Question(self, self.address))

    # --- what questions tell ---

    def answered(self, question: _Question, batch: Batch) -> None:
        if question in self.questions:  # else it was given up while its answer was on its way
            self.owner.batch_came(batch)
            self.troubles = 0

    def wants_another(self, question: _Question) -> bool:
        """Whether to ask again on the same connection: no other question is fresh."""
        return question in self.questions and not any(other.fresh() for other in self.questions if other is not question)

    def failed(self, host: str, error: Exception) -> None:
        self.troubles += 1
        if self.troubles in LOGGED_TROUBLES:
            log("bus-trouble", bus=host, why=str(error)[:100], times=self.troubles)
        if self.troubles > 1 or not isinstance(error, (OSError, BadFeedError)):  # the first is asked again at once
            self.retry_at = self.owner.seconds() + RETRY_AFTER

    def over(self, question: _Question) -> None:
        if question in self.questions:
            self.questions.remove(question)
            self.changed.set()
