"""Responses of the event bus: only complete and valid ones are accepted, and known events are skipped."""

import json

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gingergap.exchange_list.long_poll import Batch, EventBusError, LongPoll, events_after, parse_address, parse_known_batch

ENTRY = {"uid": "s-1", "endpoint": "127.0.0.1:3868", "pod_group": 2, "state": "in_service", "capacity_hint": 4, "boot_ms": 0}


def event(offset, whole=False, **changes):
    return {"offset": offset, "topology": {"rev": 7, "all": whole, "targets": [{**ENTRY, **changes}]}}


def http(batch, status=200):
    body = json.dumps(batch).encode()
    return b"HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


BATCH = {"offset": 2, "batch": [event(1, True), event(2, state="terminating")]}


def test_two_requests_on_the_same_connection():
    poll = LongPoll("127.0.0.1:9")
    assert poll.request(3, 1000).startswith(b"GET /bus/read?from=3&hold=1000 HTTP/1.1\r\n")
    found = events_after(0, poll.feed(http(BATCH)))
    assert [(offset, whole, entries[0].state) for offset, whole, entries in found] == [
        (1, True, "in_service"),
        (2, False, "terminating"),
    ]
    assert b"from=2" in poll.request(2, 1000)
    assert events_after(2, poll.feed(http(BATCH))) == []


@given(st.data())
@settings(max_examples=100, deadline=None)
def test_a_response_is_parsed_once_complete_however_the_bytes_are_cut(data):
    whole = http(BATCH)
    cuts = sorted(data.draw(st.lists(st.integers(0, len(whole) - 1), max_size=8)))
    poll = LongPoll("h:1")
    poll.request(0, 1)
    for start, end in zip([0, *cuts[:-1]], cuts, strict=False):
        if end > start:
            assert poll.feed(whole[start:end]) is None
    assert poll.feed(whole[cuts[-1] if cuts else 0 :]).offset == 2


@pytest.mark.parametrize(
    "answer",
    [
        http(BATCH, 500),
        b"noise\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
        http({"offset": "x", "batch": []}),
        http([]),
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]",
    ],
)
def test_an_invalid_response_raises(answer):
    poll = LongPoll("h:1")
    poll.request(0, 1)
    with pytest.raises(EventBusError):
        poll.feed(answer)


def test_an_incomplete_response_raises():
    poll = LongPoll("h:1")
    poll.request(0, 1)
    assert poll.feed(http(BATCH)[:-9]) is None
    with pytest.raises(EventBusError):
        poll.feed(b"")


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "asleep"},
        {"endpoint": "nowhere"},
        {"endpoint": "h:99999"},
        {"boot_ms": -1},
        {"pod_group": -7},
    ],
)
def test_an_entry_with_an_invalid_field_raises(changes):
    with pytest.raises(EventBusError):
        events_after(0, msgspec.convert({"offset": 1, "batch": [event(1, **changes)]}, Batch))


def test_a_terminated_switch_needs_no_address():
    found = events_after(0, msgspec.convert({"offset": 1, "batch": [event(1, state="terminated", endpoint="")]}, Batch))
    assert found[0][2][0].uid == "s-1"


def test_invalid_addresses_and_known_lists_are_reported():
    assert parse_address("127.0.0.1:80") == ("127.0.0.1", 80)
    for text in ("", "h", "h:", ":1", "h:0", "h:x"):
        with pytest.raises(ValueError, match="host:port"):
            parse_address(text)
    with pytest.raises(ValueError, match=r"known.*offset"):
        parse_known_batch({"offset": "x"})
