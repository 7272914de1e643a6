"""Free circuits of a proxy's own trunk groups: the exchange's last count minus legs that it can't have counted yet.

A count is older than its message. Legs sent since the exchange counted are not in it, and without subtracting them a
burst would send several dialogs for the last circuit. Decisions on circuits are left to the decision module.
"""

DOUBT_DURATION = 10_000  # tenths of a millisecond; a refusal for lack of circuits overrides an older count for so long


class GroupCount:
    """The count of one trunk group, in circuits.

    `unseen_legs` maps legs without any response to their circuits. `doubted_free` is an upper bound of the free count
    until `doubted_until`; -1 there means no doubt. `size` is -1 before the first count.
    """

    __slots__ = ("free", "size", "unseen_legs", "doubted_free", "doubted_until")

    def __init__(self) -> None:
        self.free, self.size = 0, -1
        self.unseen_legs: dict[int, int] = {}
        self.doubted_free, self.doubted_until = 0, -1

    def free_circuits(self) -> int:
        """Free circuits as far as known, at least 0."""
        free = self.free if self.doubted_until < 0 else min(self.free, self.doubted_free)
        return max(0, free - sum(self.unseen_legs.values()))


class CircuitCounts:
    """The trunk groups of one proxy by the number of the exchange at their other end. Times in tenths of a millisecond."""

    def __init__(self) -> None:
        self.groups: dict[int, GroupCount] = {}

    def _group(self, number: int) -> GroupCount:
        if number not in self.groups:
            self.groups[number] = GroupCount()
        return self.groups[number]

    def update(self, number: int, free: int, size: int) -> tuple[int, int]:
        """Record the exchange's count and return free circuits and size for the decision module."""
        group = self._group(number)
        group.free, group.size = max(0, min(free, size)), size
        group.doubted_until = -1
        return group.free_circuits(), size

    def leg_sent(self, number: int, leg: int, width: int) -> None:
        self._group(number).unseen_legs[leg] = width

    def leg_reported(self, number: int, leg: int) -> None:
        """The leg has ended or has a response: from now on the exchange's count includes it if it holds circuits."""
        self._group(number).unseen_legs.pop(leg, None)

    def group_refused(self, now: int, number: int, width: int) -> None:
        """The exchange refused a leg of `width` circuits for lack of circuits.

        With the older count a dialog tried the same full group again until its last leg. Counts are only sent when
        they change, so a circuit taken and freed between two counts is never reported: the doubt expires by itself.
        """
        group = self._group(number)
        group.doubted_free, group.doubted_until = width - 1, now + DOUBT_DURATION

    def expire_doubts(self, now: int) -> list[tuple[int, int, int]]:
        """End the expired doubts; returns number, free circuits and size of their groups."""
        restored = []
        for number, group in self.groups.items():
            if 0 <= group.doubted_until <= now:
                group.doubted_until = -1
                if group.size >= 0:
                    restored.append((number, group.free_circuits(), group.size))
        return restored

    def count(self, number: int) -> tuple[int, int]:
        """Free circuits and size; both -1 before the first count."""
        group = self.groups.get(number)
        return (-1, -1) if group is None or group.size < 0 else (group.free_circuits(), group.size)
