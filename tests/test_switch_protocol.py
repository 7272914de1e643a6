"""The switches' SIP: parsed the same however the bytes are cut, within bounded memory, and damaged answers are never passed on."""

import pytest
from conftest import RecordingHost, feed_in_chunks, feed_until_error
from hypothesis import given, settings
from hypothesis import strategies as st

from gingergap.sip.message import BadMessageError, parse
from gingergap.switch_protocol import sip_messages
from gingergap.switch_protocol.sip_messages import MAX_MESSAGE_BYTES, SwitchMessageParser, parse_report

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


def events_of(data):
    handler = RecordingHost()
    SwitchMessageParser(handler).feed(data)
    return handler.calls


def test_each_message_calls_its_handler_method():
    assert events_of(response(200)) == [("answer_received", ID, SDP)]
    assert events_of(response(503, extra=REPORT)) == [("refusal_received", ID, 503, "no_path", {"idle": 0, "circuits": 71})]
    assert events_of(BYE) == [("release_received", ID, 41, {})]
    assert events_of(notify(5)) == [("report_received", {"idle": 5, "circuits": 71, "queue": -1})]
    assert events_of(response(180) + response(200, "BYE") + response(200, "CANCEL")) == []


def test_a_repeated_report_is_passed_on_once():
    assert len(events_of(notify(5) + notify(5) + notify(4))) == 2


def test_entries_of_a_report_that_are_not_numbers_are_left_out():
    assert parse_report("idle:3;circuits:x;:;a:1e99;b:nan") == {"idle": 3}


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
        b"A" * (MAX_MESSAGE_BYTES + 10),
        response(200).replace(b"Content-Length", b"Content-Lenght"),
        response(200) + b"noise after it",
        b"REGISTER sip:a@b SIP/2.0\r\nCall-ID: 9b1f03aa5c7e2d41\r\nCSeq: 1 REGISTER\r\nContent-Length: 0\r\n\r\n",
    ],
)
def test_an_invalid_message_raises(damaged):
    with pytest.raises(BadMessageError):
        events_of(damaged)


# Guards against a session description that differs from the switch's: one truncated by its length at the end of a line, or
# truncated on its way and followed by the next message.
@pytest.mark.parametrize(
    "damaged",
    [
        response(200, length=SDP.index("m=")),
        response(200)[: -len("NOTIFY sip:exchange@net SIP/2.0\r\n")] + notify(5),
        response(200)[: -len("SIP/2.0 200 Word\r\n")] + response(200, "BYE"),
    ],
)
def test_a_truncated_description_is_never_passed_on(damaged):
    handler = RecordingHost()
    with pytest.raises(BadMessageError):
        SwitchMessageParser(handler).feed(damaged)
    assert not [entry for entry in handler.calls if entry[0] == "answer_received"]


def test_complete_messages_before_a_damaged_one_are_passed_on():
    handler = RecordingHost()
    with pytest.raises(BadMessageError):
        SwitchMessageParser(handler).feed(BYE + response(200) + b"\xff\xff\r\n\r\n")
    assert [entry[0] for entry in handler.calls] == ["release_received", "answer_received"]


@given(st.lists(st.sampled_from([response(200), response(503, extra=REPORT), BYE, notify(5), notify(6)]), max_size=6), st.data())
@settings(max_examples=150, deadline=None)
def test_parsing_does_not_depend_on_where_the_bytes_are_cut(parts, data):
    handler = RecordingHost()
    parser = SwitchMessageParser(handler)
    whole = feed_in_chunks(parser, parts, data)
    assert handler.calls == events_of(whole)
    assert not parser.has_partial_message


@given(st.lists(st.binary(max_size=3000), max_size=20))
@settings(max_examples=150, deadline=None)
def test_any_bytes_are_parsed_or_rejected_in_bounded_memory(parts):
    parser = SwitchMessageParser(RecordingHost())
    feed_until_error(parser, parts, BadMessageError, lambda: parser.framer.buffer, 2 * MAX_MESSAGE_BYTES)


def test_requests_are_encoded_with_id_number_and_description_unchanged():
    message = parse(sip_messages.invite("7f3a", ID, 2, "voice", 1500, SDP), stream=True)
    assert (message.method, message.uri, message.call_id, message.cseq()) == ("INVITE", "sip:7f3a@net", ID, (2, "INVITE"))
    assert (message.get("Call-Kind"), message.get("Answer-Within"), message.body.decode()) == ("voice", "1500", SDP)
    for data, method in (
        (sip_messages.ack("7f", ID, 2), "ACK"),
        (sip_messages.cancel("7f", ID, 2), "CANCEL"),
        (sip_messages.bye("7f", ID, 2, 16), "BYE"),
    ):
        assert parse(data, stream=True).method == method
    assert parse(sip_messages.bye_response(ID), stream=True).status == 200
