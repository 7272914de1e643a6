"""Joins the store to one running proxy: opens it before the proxy is made, writes while it runs, off the decision path.

A store that can't be opened or written costs memory, never calls: the log says why once, and the proxy goes on.
"""

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from gevent.lock import BoundedSemaphore

from ..store.book import BadStoreError, Book
from ..store.memory import Memory, Recalled, recalled, word_of
from ..store.records import CALLER, KeptAlive
from .proxy import EdgeProxy

UNIT = 10_000
BOOT = Path("/proc/sys/kernel/random/boot_id")


def boot_id() -> str:
    """Which boot of the machine this is; empty where it does not tell."""
    try:
        return BOOT.read_text().strip()
    except OSError:
        return ""


class ProxyStore:
    """`folder` is the store's. Spans in seconds. `apart` runs a function away from the event loop and returns its result."""

    def __init__(
        self,
        folder: Path,
        instance: str,
        log: Any,
        worths: list[float],
        *,
        word_lasts: float,
        longest_dialog: float,
        caller_lasts: float,
        most_callers: int,
        apart: Callable[..., Any],
    ) -> None:
        self.folder, self.instance, self.log, self.apart = folder, instance, log, apart
        self.word_lasts, self.longest_dialog, self.caller_lasts = word_lasts, longest_dialog, caller_lasts
        self.most_callers = most_callers
        self.memory = Memory(word_lasts, most_callers, worths)
        self.book: Book | None = None
        self.boot, self.began = boot_id(), time.time()
        self.proxy: EdgeProxy | None = None
        self.clock: Callable[[], int] = lambda: 0
        self.counters: Callable[[], dict[str, int]] = dict  # of tokens, where duties are shared
        self.one_at_a_time = BoundedSemaphore(1)
        self.acknowledged = self.batches = self.failures = self.written = self.evicted = 0
        self.troubled = False
        self.read_ms = 0.0

    def open(self) -> Recalled | None:
        """What the process before knew; none where there is no store to be had, and then there is no memory either."""
        began = time.perf_counter()
        try:
            self.book = Book(self.folder)
            found = recalled(
                self.book.items,
                time.time(),
                time.monotonic(),
                self.boot,
                word_lasts=self.word_lasts,
                longest_dialog=self.longest_dialog,
                caller_lasts=self.caller_lasts,
                damage=self.book.damage,
            )
        except BadStoreError as bad:
            self.log.error("store-not-open", why=str(bad))
            self.book = None
            return None
        self.read_ms = (time.perf_counter() - began) * 1000
        for line in self.book.damage[:20]:
            self.log.warning("store-damaged", what=line)
        self.log.info(
            "recalled",
            age_s=found.age / UNIT,
            exchanges=len(found.ids),
            standing=len(found.standing),
            callers=len(found.learned.callers),
            ms=round(self.read_ms, 1),
        )
        self._carry_on(found)
        return found

    def _carry_on(self, found: Recalled) -> None:
        """What is in the book is known to be: it is compared with, and taken out when it is over."""
        self.memory.words.update(found.words)
        for item in self.book.items("exchange"):
            self.memory.words.setdefault(item.key, word_of(item.body))
        for item in self.book.items("pair"):
            self.memory.kept["pair", item.key] = b""

    def start(self, proxy: EdgeProxy, work: Any, clock: Callable[[], int], *, every: float, learn_every: float) -> None:
        """Begin the background tasks. `work` is the proxy's LocalWork."""
        self.proxy, self.clock = proxy, clock
        work.add_sweep(
            "store changes",
            self.write,
            period=round(every * UNIT),
            limit=round(10 * every * UNIT),
            kind="store",
            deadline=60 * UNIT,
        )
        work.add_sweep(
            "store what was learned",
            self.learn,
            period=round(learn_every * UNIT),
            limit=round(4 * learn_every * UNIT),
            kind="store",
        )
        work.add_sweep("store eviction", self.evict, period=60 * UNIT, limit=600 * UNIT, kind="store", deadline=60 * UNIT)

    # --- tasks ---

    def learn(self) -> bool:
        self.proxy.save_learned(self.clock(), self.most_callers)
        for duty, counter in self.counters().items():
            self.memory.token(duty, counter)
        return True

    def write(self) -> bool:
        """Everything that has changed, as one batch; whether it is on the disk."""
        with self.one_at_a_time:
            alive = KeptAlive(time.time(), time.monotonic(), self.boot, self.instance, self.began)
            changes = self.memory.batch(alive)
            try:
                self.written += self.apart(self.book.commit, changes)
            except BadStoreError as bad:
                self.memory.not_written(changes)
                self.failures += 1
                if not self.troubled:
                    self.troubled = True
                    self.log.warning("store-not-written", why=str(bad))
                return False
            self.acknowledged += len(changes)
            self.batches += 1
            if self.troubled:
                self.troubled = False
                self.log.info("store-goes-on", failures=self.failures)
            return True

    def evict(self) -> bool:
        with self.one_at_a_time:
            try:
                self.evicted += self.apart(self.book.evict, CALLER, self.most_callers)
            except Exception as error:
                self.log.warning("store-not-evicted", why=str(error))
                return False
        return True

    def close(self) -> None:
        """An orderly end: all that is known is written."""
        if self.book is None:
            return
        if self.proxy is not None:
            self.learn()
            self.write()
        self.book.close()

    def figures(self) -> dict[str, Any]:
        """For operators."""
        return {
            "folder": str(self.folder),
            "batches": self.batches,
            "records": self.acknowledged,
            "bytes": self.written,
            "failures": self.failures,
            "waiting": len(self.memory.pending),
            "evicted": self.evicted,
            "read_ms": round(self.read_ms, 1),
            "standing_remembered": self.proxy.counts.get("remembered", 0),
            "found_over": self.proxy.audit.lost,
        }
