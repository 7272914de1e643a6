"""The switches' few words of SIP: read whatever the cuts, bounded, and damaged answers never passed on."""

import pytest
from conftest import NotedHost, feed_in_cuts, feed_until
from hypothesis import given, settings
from hypothesis import strategies as st

from gingergap.sip.message import BadMessageError, parse
from gingergap.switches import messages
from gingergap.switches.messages import MOST_MESSAGE, Reader, report_of

ID = "9b1f03aa5c7e2d41"
SDP = "bb904f61c861c4ae\r\nc=IN IP4 10.196.97.200\r\nm=audio 46897 RTP/AVP 0 8 100\r\n"


def response(status, method="INVITE", extra="", body=SDP, length=None, id=ID):
    body = body if status == 200 and method == "INVITE" else ""
    return (
        f"SIP/2.0 {status} Word\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {id}\r\nCSeq: 1 {method}\r\n{extra}"
        f"Content-Length: {len(body) if length is None else length}\r\n\r\n{body}"
    ).encode()


def notify(free):
    return (
        f"NOTIFY sip:exchange@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 0000000000000000\r\n"
        f"CSeq: 1 NOTIFY\r\nLink-State: idle:{free};circuits:71;queue:-1\r\nContent-Length: 0\r\n\r\n"
    ).encode()


BYE = (f"BYE sip:x@net SIP/2.0\r\nCall-ID: {ID}\r\nCSeq: 1 BYE\r\nReason: Q.850;cause=41\r\nContent-Length: 0\r\n\r\n").encode()
REPORT = "Fail-Word: no_path\r\nLink-State: idle:0;circuits:71\r\n"


def told(data):
    noted = NotedHost()
    Reader(noted).feed(data)
    return noted.done


def test_what_a_switch_says_comes_as_calls():
    assert told(response(200)) == [("answered", ID, SDP)]
    assert told(response(503, extra=REPORT)) == [("refused", ID, 503, "no_path", {"idle": 0, "circuits": 71})]
    assert told(BYE) == [("released", ID, 41, {})]
    assert told(notify(5)) == [("reported", {"idle": 5, "circuits": 71, "queue": -1})]
    assert told(response(180) + response(200, "BYE") + response(200, "CANCEL")) == []


def test_a_state_that_says_the_same_again_is_told_once():
    assert len(told(notify(5) + notify(5) + notify(4))) == 2


def test_reports_leave_out_what_is_no_figure():
    assert report_of("idle:3;circuits:x;:;a:1e99;b:nan") == {"idle": 3}


@pytest.mark.parametrize(
    "damaged",
    [
        response(200, length=len(SDP) - 5),
        response(200, length=0),
        response(200, body="\xff" * 30),
        response(200, length="-4"),
        response(200, length="x"),
        response(200, length=3 << 30),
        b"\x00\x01\x02 noise",
        response(200).replace(b"SIP/2.0 200", b"SIP/2.0 2000"),
        response(200).replace(b"Call-ID: 9b", b"Call-ID: "),
        response(200).replace(b"CSeq", b"CSeq no colon here"),
        b"A" * (MOST_MESSAGE + 10),
        response(200).replace(b"Content-Length", b"Content-Lenght"),
        response(200) + b"noise after it",
        b"REGISTER sip:a@b SIP/2.0\r\nCall-ID: 9b1f03aa5c7e2d41\r\nCSeq: 1 REGISTER\r\nContent-Length: 0\r\n\r\n",
    ],
)
def test_what_can_not_be_read_ends_the_connection(damaged):
    with pytest.raises(BadMessageError):
        told(damaged)


# Guards against a caller that is given a description which its switch did not make: one cut by its length at the end of a line,
# or cut on its way and filled up with the next message.
@pytest.mark.parametrize(
    "damaged",
    [
        response(200, length=SDP.index("m=")),
        response(200)[: -len("NOTIFY sip:exchange@net SIP/2.0\r\n")] + notify(5),
        response(200)[: -len("SIP/2.0 200 Word\r\n")] + response(200, "BYE"),
    ],
)
def test_a_description_that_is_cut_is_never_passed_on(damaged):
    noted = NotedHost()
    with pytest.raises(BadMessageError):
        Reader(noted).feed(damaged)
    assert not [entry for entry in noted.done if entry[0] == "answered"]


def test_what_came_whole_before_the_damage_counts():
    noted = NotedHost()
    with pytest.raises(BadMessageError):
        Reader(noted).feed(BYE + response(200) + b"\xff\xff\r\n\r\n")
    assert [entry[0] for entry in noted.done] == ["released", "answered"]


@given(st.lists(st.sampled_from([response(200), response(503, extra=REPORT), BYE, notify(5), notify(6)]), max_size=6), st.data())
@settings(max_examples=150, deadline=None)
def test_any_cut_of_the_bytes_gives_the_same(parts, data):
    noted = NotedHost()
    reader = Reader(noted)
    whole = feed_in_cuts(reader, parts, data)
    assert noted.done == told(whole)
    assert not reader.partial


@given(st.lists(st.binary(max_size=3000), max_size=20))
@settings(max_examples=150, deadline=None)
def test_any_bytes_give_calls_an_error_or_a_wait_in_bounded_memory(parts):
    reader = Reader(NotedHost())
    feed_until(reader, parts, BadMessageError, lambda: reader.framer.buffer, 2 * MOST_MESSAGE)


def test_what_goes_out_is_whole_sip_with_id_number_and_description_unchanged():
    message = parse(messages.invite("7f3a", ID, 2, "voice", 1500, SDP), stream=True)
    assert (message.method, message.uri, message.call_id, message.cseq()) == ("INVITE", "sip:7f3a@net", ID, (2, "INVITE"))
    assert (message.get("Call-Kind"), message.get("Answer-Within"), message.body.decode()) == ("voice", "1500", SDP)
    for data, method in (
        (messages.ack("7f", ID, 2), "ACK"),
        (messages.cancel("7f", ID, 2), "CANCEL"),
        (messages.bye("7f", ID, 2, 16), "BYE"),
    ):
        assert parse(data, stream=True).method == method
    assert parse(messages.bye_heard(ID), stream=True).status == 200
