"""Spans of a running proxy, beside the parts of its trace: of dialogs that did not stand or took long.

Fed by the recorder with what it has just written, away from the event loop. A file for each part of the trace, under
the same name with `.spans`: they are removed with the parts.
"""

from pathlib import Path

from ..trace.format import Source
from ..trace.timeline import DialogTimeline
from .export import FileSpans
from .tree import Files, Trees, worth_keeping


class LiveSpans:
    """`slower` in tenths of a millisecond: dialogs that stood sooner are not written."""

    def __init__(self, folder: Path, source: Source, slower: int) -> None:
        self.folder, self.slower = folder, slower
        self.files = Files()
        self.trees = Trees([source], source.wall, source.started, self.files)
        self.name = ""
        self.out: FileSpans | None = None

    def file(self, name: str, place: int) -> None:
        """The records that come now stand in this file, the first of them at this place among all."""
        if name != self.name:
            self.name = name
            self.files.begin(place, name)
            del self.files.begins[:-64]
            self.close()

    def over(self, story: DialogTimeline) -> None:
        tree = self.trees.tree(story)
        if worth_keeping(tree, self.slower):
            if self.out is None:
                self.out = FileSpans(self.folder / f"{self.name.removesuffix('.trace')}.spans")
            self.out.put(tree)

    def close(self) -> None:
        if self.out is not None:
            self.out.close()
            self.out = None
