"""The rate of log lines about single calls is limited."""

from gingergap.service.log import MAX_DETAILS, DetailLog


def test_details_over_the_limit_are_dropped_and_counted():
    now, written = [5.0], []
    details = DetailLog(lambda: now[0], lambda event, **fields: written.append((event, fields)))
    for index in range(MAX_DETAILS + 7):
        details("set-up-refused", id=index)
    assert len(written) == MAX_DETAILS
    now[0] = 6.0
    details("set-up-refused", id=0)
    assert written[MAX_DETAILS:] == [("lines-left-out", {"count": 7}), ("set-up-refused", {"id": 0})]
