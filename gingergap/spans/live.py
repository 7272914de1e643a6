"""Writes the spans of a running proxy beside the parts of its trace, for dialogs that failed or took long.

It is fed by the recorder with what that has just written, off the event loop. Each part of the trace has a file of the
same name with the suffix `.spans`, which is removed together with the part.
"""

from pathlib import Path

from ..trace.format import Source
from ..trace.timeline import DialogTimeline
from .export import SpanFileWriter
from .tree import RecordLocator, SpanTreeBuilder, is_worth_keeping


class LiveSpans:
    """Writes spans to `folder`. Established dialogs that took no longer than `slower` (tenths of a millisecond) are
    omitted.
    """

    def __init__(self, folder: Path, source: Source, slower: int) -> None:
        self.folder, self.slower = folder, slower
        self.locator = RecordLocator()
        self.builder = SpanTreeBuilder([source], source.wall, source.started, self.locator)
        self.name = ""
        self.writer: SpanFileWriter | None = None

    def set_file(self, name: str, record_index: int) -> None:
        """Names the trace file of the records to come, and the index of the first of them among all records."""
        if name != self.name:
            self.name = name
            self.locator.add_file(record_index, name)
            del self.locator.files[:-64]
            self.close()

    def write(self, timeline: DialogTimeline) -> None:
        tree = self.builder.build(timeline)
        if is_worth_keeping(tree, self.slower):
            if self.writer is None:
                self.writer = SpanFileWriter(self.folder / f"{self.name.removesuffix('.trace')}.spans")
            self.writer.write(tree)

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
            self.writer = None
