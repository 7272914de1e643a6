"""The event bus's answers: only whole and well-formed ones are taken, and numbers go on."""

import json

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gingergap.listfeed.poll import BadFeedError, Batch, Poll, address_of, events_after, known_batch

LINE = {"uid": "s-1", "endpoint": "127.0.0.1:3868", "pod_group": 2, "state": "in_service", "capacity_hint": 4, "boot_ms": 0}


def event(offset, whole=False, **changes):
    return {"offset": offset, "topology": {"rev": 7, "all": whole, "targets": [{**LINE, **changes}]}}


def http(batch, status=200):
    body = json.dumps(batch).encode()
    return b"HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


BATCH = {"offset": 2, "batch": [event(1, True), event(2, state="terminating")]}


def test_a_question_and_its_answer_and_the_next_on_the_same_connection():
    poll = Poll("127.0.0.1:9")
    assert poll.ask(3, 1000).startswith(b"GET /bus/read?from=3&hold=1000 HTTP/1.1\r\n")
    found = events_after(0, poll.feed(http(BATCH)))
    assert [(number, whole, lines[0].state) for number, whole, lines in found] == [
        (1, True, "in_service"),
        (2, False, "terminating"),
    ]
    assert b"from=2" in poll.ask(2, 1000)
    assert events_after(2, poll.feed(http(BATCH))) == []


@given(st.data())
@settings(max_examples=100, deadline=None)
def test_any_cut_gives_the_same_and_nothing_before_it_is_whole(data):
    whole = http(BATCH)
    cuts = sorted(data.draw(st.lists(st.integers(0, len(whole) - 1), max_size=8)))
    poll = Poll("h:1")
    poll.ask(0, 1)
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
def test_an_answer_that_can_not_be_used_is_told_as_such(answer):
    poll = Poll("h:1")
    poll.ask(0, 1)
    with pytest.raises(BadFeedError):
        poll.feed(answer)


def test_an_answer_that_breaks_off_is_not_taken():
    poll = Poll("h:1")
    poll.ask(0, 1)
    assert poll.feed(http(BATCH)[:-9]) is None
    with pytest.raises(BadFeedError):
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
def test_a_line_that_makes_no_sense_is_not_taken(changes):
    with pytest.raises(BadFeedError):
        events_after(0, msgspec.convert({"offset": 1, "batch": [event(1, **changes)]}, Batch))


def test_a_switch_that_is_gone_needs_no_address():
    found = events_after(0, msgspec.convert({"offset": 1, "batch": [event(1, state="terminated", endpoint="")]}, Batch))
    assert found[0][2][0].uid == "s-1"


def test_addresses_and_the_known_list_name_their_fault():
    assert address_of("127.0.0.1:80") == ("127.0.0.1", 80)
    for text in ("", "h", "h:", ":1", "h:0", "h:x"):
        with pytest.raises(ValueError, match="host:port"):
            address_of(text)
    with pytest.raises(ValueError, match=r"known.*offset"):
        known_batch({"offset": "x"})
