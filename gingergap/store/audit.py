"""Compares the dialogs restored after a restart with the switch's own count of circuits. No I/O.

While a proxy was down a dialog may have ended without its BYE arriving there. The circuits in use of a trunk group are at
least those of the dialogs established over it: where the restored dialogs need more, the oldest of them must have ended.
The count arrives late by the time the message takes, and dialogs were established just before it was taken: the first
count after a start decides nothing.
"""

from typing import NamedTuple


class RestoredDialog(NamedTuple):
    since: float
    dialog: int
    width: int


class DialogAudit:
    """Restored dialogs by the number of the exchange that their leg goes to."""

    def __init__(self) -> None:
        self.groups: dict[int, list[RestoredDialog]] = {}
        self.report_counts: dict[int, int] = {}  # reports received for each group
        self.removed = 0

    def add(self, number: int, since: float, dialog: int, width: int) -> None:
        self.groups.setdefault(number, []).append(RestoredDialog(since, dialog, width))

    def dialog_ended(self, number: int, dialog: int) -> None:
        """A restored dialog ended normally."""
        dialogs = self.groups.get(number)
        if dialogs is not None:
            self.groups[number] = [entry for entry in dialogs if entry.dialog != dialog]

    def group_reported(self, number: int, free: int, size: int) -> list[int]:
        """The switch reported the free circuits of a group. Returns the dialogs that cannot be established any more."""
        dialogs = self.groups.get(number)
        if not dialogs or size < 0:
            return []
        self.report_counts[number] = self.report_counts.get(number, 0) + 1
        if self.report_counts[number] < 2:
            return []
        excess = sum(entry.width for entry in dialogs) - max(0, size - free)
        ended: list[int] = []
        for entry in sorted(dialogs):
            if excess <= 0:
                break
            ended.append(entry.dialog)
            excess -= entry.width
        self.groups[number] = [entry for entry in dialogs if entry.dialog not in set(ended)]
        self.removed += len(ended)
        return ended
