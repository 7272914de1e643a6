"""Connects the store to a running proxy: it is read before the proxy is built and written in the background.

If the store can't be opened or written, the reason is logged once and the proxy serves calls without it: only the state
that would survive a restart is lost.
"""

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from gevent.lock import BoundedSemaphore

from ..store.proxy_state import RestoredState, StateRecorder, listed_exchange, restore_state
from ..store.record_store import BadStoreError, RecordStore
from ..store.records import CALLER, HeartbeatRecord
from .proxy import EdgeProxy

UNITS_PER_SECOND = 10_000
BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")


def read_boot_id() -> str:
    """The id of the machine's current boot; empty if the kernel does not provide it."""
    try:
        return BOOT_ID_PATH.read_text().strip()
    except OSError:
        return ""


class ProxyStore:
    """The store of one proxy.

    `list_validity`, `max_dialog_age` and `caller_retention` are in seconds, `importances` are by traffic type.
    `run_in_thread` runs a function outside the event loop and returns its result.
    """

    def __init__(
        self,
        folder: Path,
        instance: str,
        log: Any,
        importances: list[float],
        *,
        list_validity: float,
        max_dialog_age: float,
        caller_retention: float,
        max_callers: int,
        run_in_thread: Callable[..., Any],
    ) -> None:
        self.folder, self.instance, self.log, self.run_in_thread = folder, instance, log, run_in_thread
        self.list_validity, self.max_dialog_age, self.caller_retention = list_validity, max_dialog_age, caller_retention
        self.max_callers = max_callers
        self.state_recorder = StateRecorder(list_validity, max_callers, importances)
        self.record_store: RecordStore | None = None
        self.boot_id, self.started_at = read_boot_id(), time.time()
        self.proxy: EdgeProxy | None = None
        self.clock: Callable[[], int] = lambda: 0
        self.token_counters: Callable[[], dict[str, int]] = dict  # of the duties' tokens; empty without coordination
        self.write_lock = BoundedSemaphore(1)
        self.records_written = self.batches = self.failures = self.bytes_written = self.evicted = 0
        self.write_failing = False
        self.read_ms = 0.0

    def open(self) -> RestoredState | None:
        """Read the state of the previous process; None if the store can't be opened, and then nothing is stored."""
        started_at = time.perf_counter()
        try:
            self.record_store = RecordStore(self.folder)
            found = restore_state(
                self.record_store.items,
                time.time(),
                time.monotonic(),
                self.boot_id,
                list_validity=self.list_validity,
                max_dialog_age=self.max_dialog_age,
                caller_retention=self.caller_retention,
                damage=self.record_store.damage,
            )
        except BadStoreError as error:
            self.log.error("store-not-open", why=str(error))
            self.record_store = None
            return None
        self.read_ms = (time.perf_counter() - started_at) * 1000
        for damage in self.record_store.damage[:20]:
            self.log.warning("store-damaged", what=damage)
        self.log.info(
            "recalled",
            age_s=found.age / UNITS_PER_SECOND,
            exchanges=len(found.exchange_ids),
            standing=len(found.dialogs),
            callers=len(found.learned.callers),
            ms=round(self.read_ms, 1),
        )
        self._mark_written(found)
        return found

    def _mark_written(self, found: RestoredState) -> None:
        """Tell the recorder which records exist, so that it writes only changes and deletes obsolete records."""
        self.state_recorder.listed.update(found.listed)
        for item in self.record_store.items("exchange"):
            self.state_recorder.listed.setdefault(item.key, listed_exchange(item.body))
        for item in self.record_store.items("pair"):
            self.state_recorder.written["pair", item.key] = b""

    def start(self, proxy: EdgeProxy, work: Any, clock: Callable[[], int], *, write_interval: float, learn_interval: float) -> None:
        """Start the background tasks on `work`, the proxy's LocalWork; intervals in seconds."""
        self.proxy, self.clock = proxy, clock
        work.add_sweep(
            "store changes",
            self.write,
            period=round(write_interval * UNITS_PER_SECOND),
            limit=round(10 * write_interval * UNITS_PER_SECOND),
            kind="store",
            deadline=60 * UNITS_PER_SECOND,
        )
        work.add_sweep(
            "store what was learned",
            self.learn,
            period=round(learn_interval * UNITS_PER_SECOND),
            limit=round(4 * learn_interval * UNITS_PER_SECOND),
            kind="store",
        )
        work.add_sweep(
            "store eviction",
            self.evict,
            period=60 * UNITS_PER_SECOND,
            limit=600 * UNITS_PER_SECOND,
            kind="store",
            deadline=60 * UNITS_PER_SECOND,
        )

    # --- tasks ---

    def learn(self) -> bool:
        """Collect what the decision module has learned and the duties' token counters."""
        self.proxy.save_learned(self.clock(), self.max_callers)
        for duty, counter in self.token_counters().items():
            self.state_recorder.record_token(duty, counter)
        return True

    def write(self) -> bool:
        """Write all changes as one batch; True if it is on the disk. A failed batch is written again later."""
        with self.write_lock:
            alive = HeartbeatRecord(time.time(), time.monotonic(), self.boot_id, self.instance, self.started_at)
            changes = self.state_recorder.take_batch(alive)
            try:
                self.bytes_written += self.run_in_thread(self.record_store.commit, changes)
            except BadStoreError as error:
                self.state_recorder.restore_batch(changes)
                self.failures += 1
                if not self.write_failing:
                    self.write_failing = True
                    self.log.warning("store-not-written", why=str(error))
                return False
            self.records_written += len(changes)
            self.batches += 1
            if self.write_failing:
                self.write_failing = False
                self.log.info("store-goes-on", failures=self.failures)
            return True

    def evict(self) -> bool:
        """Delete the oldest caller records beyond the limit; False if that failed."""
        with self.write_lock:
            try:
                self.evicted += self.run_in_thread(self.record_store.evict, CALLER, self.max_callers)
            except Exception as error:
                self.log.warning("store-not-evicted", why=str(error))
                return False
        return True

    def close(self) -> None:
        """Write everything and close the store."""
        if self.record_store is None:
            return
        if self.proxy is not None:
            self.learn()
            self.write()
        self.record_store.close()

    def figures(self) -> dict[str, Any]:
        """Figures for operators."""
        return {
            "folder": str(self.folder),
            "batches": self.batches,
            "records": self.records_written,
            "bytes": self.bytes_written,
            "failures": self.failures,
            "waiting": len(self.state_recorder.pending),
            "evicted": self.evicted,
            "read_ms": round(self.read_ms, 1),
            "standing_remembered": self.proxy.counts.get("remembered", 0),
            "found_over": self.proxy.audit.removed,
        }
