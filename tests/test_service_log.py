"""The service's log lines about single calls are bounded."""

from gingergap.service.log import MOST_DETAILS, DetailLog


def test_a_flood_of_details_is_cut_and_counted():
    now, written = [5.0], []
    details = DetailLog(lambda: now[0], lambda event, **fields: written.append((event, fields)))
    for place in range(MOST_DETAILS + 7):
        details("set-up-refused", id=place)
    assert len(written) == MOST_DETAILS
    now[0] = 6.0
    details("set-up-refused", id=0)
    assert written[MOST_DETAILS:] == [("lines-left-out", {"count": 7}), ("set-up-refused", {"id": 0})]
