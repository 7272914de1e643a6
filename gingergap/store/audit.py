"""Dialogs remembered over a restart, set against the switch's own count of circuits. Pure.

While a proxy was down a dialog may have ended without its BYE coming here. Circuits of a group in use are at least those of
the dialogs that stand over it: where the remembered ones need more, the oldest of them are over. The count comes late by
the way of a message, and dialogs stood just before it: nothing is decided on the first count after a start.
"""

from typing import NamedTuple


class Remembered(NamedTuple):
    since: float
    dialog: int
    width: int


class DialogAudit:
    """Remembered dialogs by the number of the exchange that their leg went to."""

    def __init__(self) -> None:
        self.groups: dict[int, list[Remembered]] = {}
        self.counted: dict[int, int] = {}  # counts heard of each group
        self.removed = 0

    def add(self, number: int, since: float, dialog: int, width: int) -> None:
        self.groups.setdefault(number, []).append(Remembered(since, dialog, width))

    def dialog_ended(self, number: int, dialog: int) -> None:
        """One of them has ended as it should."""
        held = self.groups.get(number)
        if held is not None:
            self.groups[number] = [one for one in held if one.dialog != dialog]

    def group_reported(self, number: int, free: int, size: int) -> list[int]:
        """The switch's count of a group; the dialogs that can't stand any more."""
        held = self.groups.get(number)
        if not held or size < 0:
            return []
        self.counted[number] = self.counted.get(number, 0) + 1
        if self.counted[number] < 2:
            return []
        over = sum(one.width for one in held) - max(0, size - free)
        gone: list[int] = []
        for one in sorted(held):
            if over <= 0:
                break
            gone.append(one.dialog)
            over -= one.width
        self.groups[number] = [one for one in held if one.dialog not in set(gone)]
        self.removed += len(gone)
        return gone
