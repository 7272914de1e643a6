"""Dialog timelines of a running proxy, built from what its recorder has written, off the event loop."""

from collections.abc import Callable
from typing import Any

from .format import Source, has_time
from .stream import Entry
from .timeline import DialogTimeline, TimelineBuilder


class LiveTimelines:
    """Builds timelines from written records and passes each finished one to every consumer.

    A failing consumer must not disturb the recorder: its first error is logged, and recording goes on.
    """

    def __init__(self, source: Source, log: Any, consumers: list[Callable[[DialogTimeline], None]]) -> None:
        self.builder = TimelineBuilder([source])
        self.log, self.consumers = log, consumers
        self.now = 0
        self.failed = False

    def add(self, records: list[list[Any]]) -> None:
        for record in records:
            if record[0] != "gap" and has_time(record):
                self.now = record[1]
            self.builder.add(Entry(0, self.now, record))
            for timeline in self.builder.take_finished():
                for consume in self.consumers:
                    try:
                        consume(timeline)
                    except Exception as error:
                        if not self.failed:
                            self.log.warning("span-not-written", why=repr(error))
                        self.failed = True
