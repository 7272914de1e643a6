"""What a proxy knows of its own trunk groups: the exchange's last word, less own legs that it can't have seen.

Counts come late by the way of a message. A leg sent since the exchange looked is not in its count yet, and
taken at its word a burst would send several dialogs for the last circuit. Decisions on circuits stay in brain.py;
here is only what the count is.
"""


class Group:
    """One trunk group. `sent` are legs of which nothing was heard: dialog leg to width."""

    __slots__ = ("free", "size", "sent")

    def __init__(self) -> None:
        self.free, self.size = 0, -1
        self.sent: dict[int, int] = {}

    def now_free(self) -> int:
        """Free circuits as far as known, in circuits; none under 0."""
        return max(0, self.free - sum(self.sent.values()))


class Circuits:
    """The groups of one proxy by the far exchange's number."""

    def __init__(self) -> None:
        self.groups: dict[int, Group] = {}

    def _group(self, number: int) -> Group:
        if number not in self.groups:
            self.groups[number] = Group()
        return self.groups[number]

    def told(self, number: int, free: int, size: int) -> tuple[int, int]:
        """The exchange's count; returns free and size as the module should have them."""
        group = self._group(number)
        group.free, group.size = max(0, min(free, size)), size
        return group.now_free(), size

    def leg_sent(self, number: int, leg: int, width: int) -> None:
        self._group(number).sent[leg] = width

    def leg_seen(self, number: int, leg: int) -> None:
        """The far end has the leg: from now on it is in the exchange's count."""
        self._group(number).sent.pop(leg, None)

    def leg_over(self, number: int, leg: int) -> None:
        self._group(number).sent.pop(leg, None)

    def count(self, number: int) -> tuple[int, int]:
        """Free and size; -1 for both where nothing was told."""
        group = self.groups.get(number)
        return (-1, -1) if group is None or group.size < 0 else (group.now_free(), group.size)
