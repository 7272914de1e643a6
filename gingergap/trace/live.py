"""Stories of a running proxy's dialogs, from what its recorder has written, away from the event loop."""

from collections.abc import Callable
from typing import Any

from .format import Source, timed
from .stream import Entry
from .timeline import DialogTimeline, TimelineBuilder


class LiveTimelines:
    """What the recorder has written, as stories; `over` is called with each that has come to its end. The recorder's
    own errors must stay its own: what fails here is told once, and recording goes on."""

    def __init__(self, source: Source, log: Any, over: list[Callable[[DialogTimeline], None]]) -> None:
        self.stories = TimelineBuilder([source])
        self.log, self.over = log, over
        self.now = 0
        self.failed = False

    def take(self, records: list[list[Any]]) -> None:
        for record in records:
            if record[0] != "gap" and timed(record):
                self.now = record[1]
            self.stories.take(Entry(0, self.now, record))
            for story in self.stories.over():
                for tell in self.over:
                    try:
                        tell(story)
                    except Exception as error:
                        if not self.failed:
                            self.log.warning("span-not-written", why=repr(error))
                        self.failed = True
