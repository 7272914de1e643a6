"""When a process that was told to end stops taking set-ups, has answered all, and is gone.

The platform sends SIGKILL no earlier than the longest time of a set-up (`LONGEST_COUNTED` at most) and `KILL_AFTER` after
SIGTERM; callers go on sending on open connections until then. Times are tenths of a millisecond.
"""

from typing import NamedTuple

SECOND = 10_000
LONGEST_COUNTED = 3 * SECOND
KILL_AFTER = 7 * SECOND // 10
TAKES_FOR = 3 * SECOND // 4  # new connections come for 0.4 s, set-ups on them for 0.2 s more
CLOSES_BEFORE_KILL = 3 * SECOND // 10  # for what is queued, peers' closes, and the end of the process


class Schedule(NamedTuple):
    """From `refuse_from` on set-ups are refused at once and the listener is closed; by `answer_by` every one has its answer;
    at `close_by` connections are closed whatever still stands on them."""

    refuse_from: int
    answer_by: int
    close_by: int


def schedule(now: int, longest_time: int) -> Schedule:
    """For SIGTERM at `now`, where set-ups may take `longest_time`. One that came with the signal has its whole time."""
    answer_by = now + min(longest_time, LONGEST_COUNTED)
    return Schedule(min(now + TAKES_FOR, answer_by), answer_by, answer_by + KILL_AFTER - CLOSES_BEFORE_KILL)
