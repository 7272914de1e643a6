"""Estimates the clock offsets of several proxies from the messages that passed between them. No I/O.

A message sent at `s` by one clock and received at `r` by another was received no earlier than it was sent, so each
message bounds the offset between the two clocks: from above in one direction, from below in the other (Cristian 1989;
Paxson, "On calibrating measurements of packet transit times", SIGMETRICS 1998, uses the lower envelope of the delays, as
here). Each clock is modelled as off by a constant and a drift. All clocks are solved for at once by a linear programme
that satisfies every bound and leaves the same slack in both directions; the reported uncertainty is the width of the
range of solutions that satisfy all bounds too. If no straight lines satisfy all bounds (a clock was set meanwhile), the
bounds are relaxed by the smallest amount that suffices, and that amount is reported.
"""

from typing import NamedTuple

import numpy as np
from scipy.optimize import linprog
from scipy.sparse import lil_matrix

SECOND = 10_000
MAX_POINTS = 4_096  # samples of one direction, above which those that cannot bind are dropped
MAX_OFFSET = 3_600.0 * SECOND  # clocks further apart than an hour are not treated as clocks
MAX_DRIFT = 500e-6 * SECOND  # units per second: ten times the drift of an uncompensated oscillator
DRIFT_PENALTY = 0.02  # a drift has to gain more slack than this fraction of the offset that it causes
OFFSET_PENALTY = 1e-6  # of two offsets that fit equally well, the smaller is chosen


class Estimate(NamedTuple):
    """A clock's time plus `offset + drift * seconds` is the common time, in tenths of a millisecond.

    `uncertainty` holds in both directions at the middle of the observed time; it is -1 if nothing bounds it.
    """

    offset: float
    drift: float
    uncertainty: float


class DirectedDelays:
    """The messages from one clock's process to another's: (sent, received), each by its own clock."""

    def __init__(self) -> None:
        self.points: list[tuple[int, int]] = []
        self.count = 0

    def add(self, sent: int, received: int) -> None:
        self.count += 1
        self.points.append((sent, received))
        if len(self.points) > MAX_POINTS:
            self.points = binding_points(self.points)


def binding_points(points: list[tuple[int, int]]) -> list[tuple[int, int]]:
    """The points that can bind a straight line: the lower convex hull of the delays over time (Andrew 1979)."""
    hull: list[tuple[int, int]] = []
    for sent, received in sorted(points, key=lambda point: (point[0], point[1] - point[0])):
        delay = received - sent
        if hull and hull[-1][0] == sent:
            continue
        while len(hull) >= 2:
            (sent1, received1), (sent2, received2) = hull[-2], hull[-1]
            delay1, delay2 = received1 - sent1, received2 - sent2
            if (delay2 - delay1) * (sent - sent1) >= (delay - delay1) * (sent2 - sent1):
                hull.pop()
            else:
                break
        hull.append((sent, received))
    return hull


def estimate_clocks(
    clocks: int,
    delays: dict[tuple[int, int], DirectedDelays],
    orderings: list[tuple[int, int, int, int]] = (),
    begin: int = 0,
    end: int = 0,
) -> tuple[list[Estimate], float]:
    """Estimates each clock against the first one.

    Returns the estimates and the amount by which the bounds had to be relaxed (0: none). `delays` is keyed by sending and
    receiving clock. Each of `orderings` is (clock, time, later clock, time): the first time is known to precede the
    second, as one process's end precedes its successor's start. `begin` and `end` delimit the observed time.
    """
    if clocks == 1:
        return [Estimate(0.0, 0.0, 0.0)], 0.0
    pairs = sorted({(min(pair), max(pair)) for pair in delays})
    two_way = [pair for pair in pairs if pair in delays and pair[::-1] in delays]
    seconds = max(1.0, (end - begin) / SECOND)
    # Columns: offsets, drifts, their absolute values, the slack of each two-way pair, the relaxation.
    offset, drift, offset_size, drift_size = 0, clocks, 2 * clocks, 3 * clocks
    slack, relaxation = 4 * clocks, 4 * clocks + len(two_way)
    columns = relaxation + 1
    rows: list[tuple[dict[int, float], float]] = []

    def add_bound(earlier: int, sent: int, later: int, received: int, extra: dict[int, float]) -> None:
        row = {offset + earlier: 1.0, drift + earlier: (sent - begin) / SECOND}
        for column, value in ((offset + later, -1.0), (drift + later, -(received - begin) / SECOND)):
            row[column] = row.get(column, 0.0) + value
        rows.append((row | extra, float(received - sent)))

    for (earlier, later), direction in sorted(delays.items()):
        pair = (min(earlier, later), max(earlier, later))
        for sent, received in binding_points(direction.points):
            add_bound(earlier, sent, later, received, {relaxation: -1.0})
            if pair in two_way:
                add_bound(earlier, sent, later, received, {slack + two_way.index(pair): 1.0, relaxation: -1.0})
    for earlier, sent, later, received in orderings:
        add_bound(earlier, sent, later, received, {relaxation: -1.0})
    for clock in range(clocks):
        for value, size in ((offset + clock, offset_size + clock), (drift + clock, drift_size + clock)):
            rows.append(({value: 1.0, size: -1.0}, 0.0))
            rows.append(({value: -1.0, size: -1.0}, 0.0))
    matrix, right_side = lil_matrix((len(rows), columns)), np.zeros(len(rows))
    for index, (row, limit) in enumerate(rows):
        right_side[index] = limit
        for column, value in row.items():
            matrix[index, column] = value
    matrix = matrix.tocsr()
    limits: list[tuple[float, float]] = [(-MAX_OFFSET, MAX_OFFSET)] * clocks + [(-MAX_DRIFT, MAX_DRIFT)] * clocks
    limits += [(0.0, MAX_OFFSET)] * clocks + [(0.0, MAX_DRIFT)] * clocks
    limits += [(0.0, MAX_OFFSET)] * len(two_way) + [(0.0, 2 * MAX_OFFSET)]
    limits[offset] = limits[drift] = (0.0, 0.0)  # the first clock is the common one
    goal = np.zeros(columns)
    goal[offset_size : offset_size + clocks] = OFFSET_PENALTY
    goal[drift_size : drift_size + clocks] = DRIFT_PENALTY * seconds
    goal[slack : slack + len(two_way)] = -1.0
    goal[relaxation] = 10.0 * (1 + len(two_way)) * 2
    solution = linprog(goal, A_ub=matrix, b_ub=right_side, bounds=limits, method="highs")
    if solution.x is None:
        raise ValueError(f"the clocks can't be solved for: {solution.message}")
    relaxed_by = float(solution.x[relaxation])
    estimates = [Estimate(0.0, 0.0, 0.0)]
    limits[relaxation] = (relaxed_by, relaxed_by + 1.0)
    for index in range(len(two_way)):
        limits[slack + index] = (0.0, 0.0)
    middle = (end - begin) / 2 / SECOND
    for clock in range(1, clocks):
        objective = np.zeros(columns)
        objective[offset + clock], objective[drift + clock] = 1.0, middle
        extremes = [
            linprog(sign * objective, A_ub=matrix, b_ub=right_side, bounds=limits, method="highs").fun for sign in (1.0, -1.0)
        ]
        width = -1.0 if None in extremes else -(extremes[0] + extremes[1])
        estimates.append(
            Estimate(
                float(solution.x[offset + clock]),
                float(solution.x[drift + clock]),
                width / 2 if 0 <= width < MAX_OFFSET / 2 else -1.0,
            )
        )
    return estimates, relaxed_by if relaxed_by > 0.5 else 0.0
