"""What clients that load a process cost the others: a short form of `floods.py`, by kinds of lines and of crowds."""

import pytest
from floods import measure

SECONDS = 3.0
SHARE = 4  # the process gets one part in so many of a core
ON_TIME = 380.0  # milliseconds; of the class of the measured caller, as in SETTINGS
MEMORY_LIMIT = 80.0  # MB; as in the configuration of the process


# Guards against a process that passes its memory limit, or answers others late or never, as one client writes at full speed or
# hundreds write slowly, stop, or read nothing (report 4fae32, pictures b and c).
@pytest.mark.parametrize(
    "kind",
    [
        "set-ups",
        "withdrawn",
        "unsound",
        "named, running",
        "named, unlisted",
        "releases",
        "pings",
        "blank lines",
        "crowd, slow",
        "crowd, stopped",
        "crowd, fields",
        "crowd, unread",
    ],
)
def test_others_are_answered_on_time_and_memory_is_bounded(tmp_path, kind):
    measured = measure(kind, SECONDS, tmp_path, share=SHARE)
    print(measured)
    assert measured.lost == 0 and measured.worst <= ON_TIME and measured.memory <= MEMORY_LIMIT
    assert measured.answered > measured.refused
