"""How far apart the clocks of several proxies are, from what passed between them. Pure.

A thing sent at `s` by one clock and received at `r` by another was received no earlier than it was sent: each crossing
is a bound on the two clocks' offsets, one way a bound from above, the other way from below (Cristian 1989; Paxson, "On
calibrating measurements of packet transit times", SIGMETRICS 1998, takes the lower envelope of the delays as here). Each
clock is taken to be off by a constant and a drift. All clocks are solved for at once, by a linear programme that keeps every
bound and leaves the same room both ways; the width of what else would keep all bounds is the uncertainty that is
reported. Where no straight lines keep all bounds (a clock was set meanwhile), the least is given up, and told.
"""

from typing import NamedTuple

import numpy as np
from scipy.optimize import linprog
from scipy.sparse import lil_matrix

SECOND = 10_000
MOST_POINTS = 4_096  # bounds of one way kept before those that can't bind are dropped
MOST_OFFSET = 3_600.0 * SECOND  # clocks further apart than an hour are no clocks
MOST_DRIFT = 500e-6 * SECOND  # units a second: ten times what an oscillator without any care drifts
DRIFT_COSTS = 0.02  # a drift must earn more room than this part of what it moves
NEARER = 1e-6  # of two offsets that fit alike, the smaller


class Estimate(NamedTuple):
    """A clock's time plus `offset + drift * seconds` is the common time (tenths of a millisecond); `uncertain` either
    way at the middle of what is known, -1 where nothing bounds it."""

    offset: float
    drift: float
    uncertain: float


class Way:
    """What passed from one clock's process to another's: (sent, received), each by its own clock."""

    def __init__(self) -> None:
        self.points: list[tuple[int, int]] = []
        self.many = 0

    def add(self, sent: int, received: int) -> None:
        self.many += 1
        self.points.append((sent, received))
        if len(self.points) > MOST_POINTS:
            self.points = binding(self.points)


def binding(points: list[tuple[int, int]]) -> list[tuple[int, int]]:
    """The points that can bind a straight line: the lower convex hull of the delays over time (Andrew 1979)."""
    hull: list[tuple[int, int]] = []
    for sent, received in sorted(points, key=lambda point: (point[0], point[1] - point[0])):
        delay = received - sent
        if hull and hull[-1][0] == sent:
            continue
        while len(hull) >= 2:
            (s1, r1), (s2, r2) = hull[-2], hull[-1]
            d1, d2 = r1 - s1, r2 - s2
            if (d2 - d1) * (sent - s1) >= (delay - d1) * (s2 - s1):
                hull.pop()
            else:
                break
        hull.append((sent, received))
    return hull


def estimate(
    clocks: int, ways: dict[tuple[int, int], Way], after: list[tuple[int, int, int, int]] = (), begin: int = 0, end: int = 0
) -> tuple[list[Estimate], float]:
    """Each clock's estimate against the first one, and by how much the worst bound had to be given up (0: none).

    `after` are (clock, time, later clock, time): the first is known to lie before the second, as one process's end lies
    before its successor's start. Times about `begin` to `end`, the span of what is known."""
    if clocks == 1:
        return [Estimate(0.0, 0.0, 0.0)], 0.0
    pairs = sorted({(min(pair), max(pair)) for pair in ways})
    both = [pair for pair in pairs if pair in ways and pair[::-1] in ways]
    seconds = max(1.0, (end - begin) / SECOND)
    # Columns: offsets, drifts, their sizes, the room of each pair both ways, the bound given up.
    offset, drift, offset_size, drift_size = 0, clocks, 2 * clocks, 3 * clocks
    room, given_up = 4 * clocks, 4 * clocks + len(both)
    columns = given_up + 1
    rows: list[tuple[dict[int, float], float]] = []

    def bound(early: int, sent: int, late: int, received: int, more: dict[int, float]) -> None:
        row = {offset + early: 1.0, drift + early: (sent - begin) / SECOND}
        for column, value in ((offset + late, -1.0), (drift + late, -(received - begin) / SECOND)):
            row[column] = row.get(column, 0.0) + value
        rows.append((row | more, float(received - sent)))

    for (early, late), way in sorted(ways.items()):
        pair = (min(early, late), max(early, late))
        for sent, received in binding(way.points):
            bound(early, sent, late, received, {given_up: -1.0})
            if pair in both:
                bound(early, sent, late, received, {room + both.index(pair): 1.0, given_up: -1.0})
    for early, sent, late, received in after:
        bound(early, sent, late, received, {given_up: -1.0})
    for clock in range(clocks):
        for value, size in ((offset + clock, offset_size + clock), (drift + clock, drift_size + clock)):
            rows.append(({value: 1.0, size: -1.0}, 0.0))
            rows.append(({value: -1.0, size: -1.0}, 0.0))
    matrix, right = lil_matrix((len(rows), columns)), np.zeros(len(rows))
    for place, (row, limit) in enumerate(rows):
        right[place] = limit
        for column, value in row.items():
            matrix[place, column] = value
    matrix = matrix.tocsr()
    limits: list[tuple[float, float]] = [(-MOST_OFFSET, MOST_OFFSET)] * clocks + [(-MOST_DRIFT, MOST_DRIFT)] * clocks
    limits += [(0.0, MOST_OFFSET)] * clocks + [(0.0, MOST_DRIFT)] * clocks
    limits += [(0.0, MOST_OFFSET)] * len(both) + [(0.0, 2 * MOST_OFFSET)]
    limits[offset] = limits[drift] = (0.0, 0.0)  # the first clock is the common one
    goal = np.zeros(columns)
    goal[offset_size : offset_size + clocks] = NEARER
    goal[drift_size : drift_size + clocks] = DRIFT_COSTS * seconds
    goal[room : room + len(both)] = -1.0
    goal[given_up] = 10.0 * (1 + len(both)) * 2
    found = linprog(goal, A_ub=matrix, b_ub=right, bounds=limits, method="highs")
    if found.x is None:
        raise ValueError(f"the clocks can't be solved for: {found.message}")
    lost = float(found.x[given_up])
    estimates = [Estimate(0.0, 0.0, 0.0)]
    limits[given_up] = (lost, lost + 1.0)
    for place in range(len(both)):
        limits[room + place] = (0.0, 0.0)
    middle = (end - begin) / 2 / SECOND
    for clock in range(1, clocks):
        way = np.zeros(columns)
        way[offset + clock], way[drift + clock] = 1.0, middle
        ends = [linprog(sign * way, A_ub=matrix, b_ub=right, bounds=limits, method="highs").fun for sign in (1.0, -1.0)]
        width = -1.0 if None in ends else -(ends[0] + ends[1])
        estimates.append(
            Estimate(
                float(found.x[offset + clock]), float(found.x[drift + clock]), width / 2 if 0 <= width < MOST_OFFSET / 2 else -1.0
            )
        )
    return estimates, lost if lost > 0.5 else 0.0
