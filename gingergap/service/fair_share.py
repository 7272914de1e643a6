"""A bound on what several owners hold together, of which none can use up all. No I/O.

An owner is admitted as long as it holds less than what is still free. So one alone takes half at most, a second a quarter of
the whole beside it, and of many that take all they can each has the same: the dynamic threshold of shared packet buffers
(Choudhury and Hahne, 1998), with a factor of 1.
"""

from collections.abc import Hashable

Owner = Hashable


class FairShare:
    """What each owner holds of `capacity` units."""

    def __init__(self, capacity: int) -> None:
        self.capacity, self.held = capacity, 0
        self.by_owner: dict[Owner, int] = {}

    def admits(self, owner: Owner, amount: int = 1) -> bool:
        """Whether the owner may take `amount` more."""
        return self.by_owner.get(owner, 0) + amount <= self.capacity - self.held

    def take(self, owner: Owner, amount: int = 1) -> None:
        self.by_owner[owner] = self.by_owner.get(owner, 0) + amount
        self.held += amount

    def give_back(self, owner: Owner, amount: int = 1) -> None:
        left = self.by_owner[owner] - amount
        self.held -= amount
        if left:
            self.by_owner[owner] = left
        else:
            del self.by_owner[owner]

    def clear(self) -> None:
        self.held = 0
        self.by_owner.clear()
