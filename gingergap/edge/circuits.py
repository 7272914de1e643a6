"""What a proxy knows of its own trunk groups: the exchange's last word, less own legs that it can't have seen.

Counts come late by the way of a message. A leg sent since the exchange looked is not in its count yet, and
taken at its word a burst would send several dialogs for the last circuit. Decisions on circuits stay in brain.py;
here is only what the count is.
"""

BELIEVED = 10_000  # tenths of a millisecond for which a turn-back counts for more than an older count


class Group:
    """One trunk group. `sent` are legs of which nothing was heard: dialog leg to width. `doubted` bounds the free
    count until `doubted_until`."""

    __slots__ = ("free", "size", "sent", "doubted", "doubted_until")

    def __init__(self) -> None:
        self.free, self.size = 0, -1
        self.sent: dict[int, int] = {}
        self.doubted, self.doubted_until = 0, -1

    def now_free(self) -> int:
        """Free circuits as far as known, in circuits; none under 0."""
        free = self.free if self.doubted_until < 0 else min(self.free, self.doubted)
        return max(0, free - sum(self.sent.values()))


class CircuitCounts:
    """The groups of one proxy by the far exchange's number. Times in tenths of a millisecond."""

    def __init__(self) -> None:
        self.groups: dict[int, Group] = {}

    def _group(self, number: int) -> Group:
        if number not in self.groups:
            self.groups[number] = Group()
        return self.groups[number]

    def update(self, number: int, free: int, size: int) -> tuple[int, int]:
        """The exchange's count; returns free and size as the module should have them."""
        group = self._group(number)
        group.free, group.size = max(0, min(free, size)), size
        group.doubted_until = -1
        return group.now_free(), size

    def leg_sent(self, number: int, leg: int, width: int) -> None:
        self._group(number).sent[leg] = width

    def leg_reported(self, number: int, leg: int) -> None:
        """The leg is over, or the far end has it: from now on it is in the exchange's count, or in none."""
        self._group(number).sent.pop(leg, None)

    def group_refused(self, now: int, number: int, width: int) -> None:
        """The far end found no circuit for a leg that wide: with the older count a dialog went to the same full
        group again and again, up to its last leg. Counts are told when they change, so one that was taken and
        freed between two looks is never told: the doubt ends by itself."""
        group = self._group(number)
        group.doubted, group.doubted_until = width - 1, now + BELIEVED

    def no_longer_doubted(self, now: int) -> list[tuple[int, int, int]]:
        """Number, free and size of groups whose last count is believed again."""
        again = []
        for number, group in self.groups.items():
            if 0 <= group.doubted_until <= now:
                group.doubted_until = -1
                if group.size >= 0:
                    again.append((number, group.now_free(), group.size))
        return again

    def count(self, number: int) -> tuple[int, int]:
        """Free and size; -1 for both where nothing was told."""
        group = self.groups.get(number)
        return (-1, -1) if group is None or group.size < 0 else (group.now_free(), group.size)
