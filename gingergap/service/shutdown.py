"""Deadlines of a shutdown: when the process stops accepting set-ups, has answered all of them, and closes connections.

The platform sends SIGKILL no earlier than the longest time of a set-up (`MAX_SET_UP_TIME` at most) plus `KILL_AFTER` after
SIGTERM; callers go on sending on open connections until then. Times are tenths of a millisecond.
"""

from typing import NamedTuple

UNITS_PER_SECOND = 10_000
MAX_SET_UP_TIME = 3 * UNITS_PER_SECOND
KILL_AFTER = 7 * UNITS_PER_SECOND // 10
ACCEPT_TIME = 3 * UNITS_PER_SECOND // 4  # new connections arrive for 0.4 s, set-ups on them for 0.2 s more
CLOSE_BEFORE_KILL = 3 * UNITS_PER_SECOND // 10  # for queued writes, peers' closes, and the exit of the process


class ShutdownSchedule(NamedTuple):
    """From `refuse_from` on set-ups are refused at once and the listener is closed; by `answer_by` every set-up has its
    answer; at `close_by` connections are closed even if calls are still open on them."""

    refuse_from: int
    answer_by: int
    close_by: int


def shutdown_schedule(now: int, longest_set_up: int) -> ShutdownSchedule:
    """The schedule for a SIGTERM at `now`, where set-ups may take `longest_set_up`. A set-up that arrived together with the
    signal has its full time."""
    answer_by = now + min(longest_set_up, MAX_SET_UP_TIME)
    return ShutdownSchedule(min(now + ACCEPT_TIME, answer_by), answer_by, answer_by + KILL_AFTER - CLOSE_BEFORE_KILL)
