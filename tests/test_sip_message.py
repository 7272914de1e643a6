"""Messages, fields and framing: valid input is parsed, invalid input rejected with the status that the RFC gives."""

import pytest
import sipmessage
from hypothesis import given, settings
from hypothesis import strategies as st

from gingergap.sip.fields import parse_address, parse_seconds, parse_uri, parse_via, q850_cause_of, tag_of
from gingergap.sip.framing import Framer
from gingergap.sip.message import BadMessageError, Message, check_request, parse, response, split_list

INVITE = (
    b"INVITE sip:vivek@wine.example SIP/2.0\r\n"
    b"TO :\r\n sip:vivek@wine.example ;   tag    = 1918181833n\r\n"
    b'f   : "J Rosenberg \\\\\\"" <sip:jdrosen@wine.example>\r\n  ;\r\n  tag = 98asjd8\r\n'
    b"Max-Forwards: 0068\r\nCall-ID: wsinv.ndaksdj@192.0.2.1\r\nContent-Length   : 4\r\n"
    b"cseq: 0009\r\n  INVITE\r\nV  : SIP  /   2.0\r\n /UDP\r\n    192.0.2.2;branch=390skdjuw\r\n"
    b"s :\r\nNewFangledHeader:   newfangled value\r\n continued newfangled value\r\n"
    b"Via: SIP/2.0/TCP a.example;branch = z9hG4bK9ikj8 , SIP  /    2.0   / UDP  192.168.255.111   ; "
    b'branch=z9hG4bK30239\r\nm:"Quoted, string <\\"\\">" <sip:jdrosen@wine.example> ; newparam =\r\n '
    b"newvalue ;\r\n  secondparam ; q = 0.33\r\n\r\nbody"
)


def test_a_tortuous_invite_as_in_rfc_4475_is_parsed():
    message = parse(INVITE)
    check_request(message)
    assert message.cseq() == (9, "INVITE")
    assert tag_of(message.get("From")) == "98asjd8" and tag_of(message.get("To")) == "1918181833n"
    vias = [parse_via(value) for value in message.all("Via")]
    assert [(via.transport, via.host, via.branch) for via in vias] == [
        ("UDP", "192.0.2.2", "390skdjuw"),
        ("TCP", "a.example", "z9hG4bK9ikj8"),
        ("UDP", "192.168.255.111", "z9hG4bK30239"),
    ]
    assert len(message.all("Contact")) == 1
    uri, params = parse_address(message.all("Contact")[0])
    assert uri == "sip:jdrosen@wine.example" and params["q"] == "0.33"
    assert message.body == b"body"


HEADER = (
    b"OPTIONS sip:a@b SIP/2.0\r\nVia: SIP/2.0/UDP h;branch=z9hG4bK1\r\nFrom: <sip:a>;tag=1\r\nTo: <sip:b>\r\n"
    b"Call-ID: c\r\nCSeq: 1 OPTIONS\r\n"
)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"", 0),
        (b"\r\n\r\n", 0),
        (b"INVITE", 0),
        (b"hello there\r\n\r\n", 0),
        (b"INVITE sip:a SIP/2.0\r\n", 0),
        (HEADER.replace(b"SIP/2.0\r\n", b"SIP/7.0\r\n", 1) + b"\r\n", 505),
        (HEADER.replace(b"sip:a@b", b"sip:a@b and more") + b"\r\n", 400),
        (HEADER.replace(b"OPTIONS sip", b"OPT<ONS sip", 1) + b"\r\n", 400),
        (HEADER + b"Content-Length: 9\r\n\r\nshort", 400),
        (HEADER + b"Content-Length: -1\r\n\r\n", 400),
        (HEADER + b"Content-Length: x\r\n\r\n", 400),
        (HEADER + b"no colon here\r\n\r\n", 400),
        (HEADER + b"bad name: x\r\n\r\n", 400),
        (HEADER + b"X: a\0b\r\n\r\n", 0),
        (HEADER + b"X: " + b"a" * 20_000 + b"\r\n\r\n", 513),
        (HEADER + b"X: y\r\n" * 300 + b"\r\n", 513),
        (b"SIP/2.0 99 Low\r\n\r\n", 0),
        (b"SIP/2.0 abc Word\r\n\r\n", 0),
        (b"SIP/3.0 200 OK\r\n\r\n", 0),
        (b"SIP/2.0 700 High\r\n\r\n", 0),
        (HEADER.replace(b"OPTIONS sip", b"OPTIONS\rsip", 1) + b"\r\n", 0),
    ],
)
def test_bytes_that_are_not_a_message_are_rejected(data, status):
    with pytest.raises(BadMessageError) as bad:
        parse(data)
    assert bad.value.status == status


@pytest.mark.parametrize(
    ("old", "new", "status"),
    [
        (b"CSeq: 1 OPTIONS\r\n", b"", 400),
        (b"CSeq: 1 OPTIONS", b"CSeq: 1 INVITE", 400),
        (b"CSeq: 1 OPTIONS", b"CSeq: 99999999999 OPTIONS", 400),
        (b"CSeq: 1 OPTIONS", b"CSeq: one OPTIONS", 400),
        (b"Call-ID: c\r\n", b"", 400),
        (b"Call-ID: c\r\n", b"Call-ID: c\r\ni: d\r\n", 400),
        (b"From: <sip:a>;tag=1\r\n", b"", 400),
        (b"Via: SIP/2.0/UDP h;branch=z9hG4bK1\r\n", b"", 0),
        (b"sip:a@b", b"http:a@b", 416),
        (b"sip:a@b", b"<sip:a@b>", 416),
        (b"sip:a@b", b"sip:", 400),
    ],
)
def test_an_invalid_request_is_rejected(old, new, status):
    with pytest.raises(BadMessageError) as bad:
        check_request(parse(HEADER.replace(old, new, 1) + b"\r\n"))
    assert bad.value.status == status


def test_bytes_of_a_datagram_beyond_content_length_are_dropped():
    assert parse(HEADER + b"Content-Length: 2\r\n\r\nabcd").body == b"ab"


def test_field_names_may_be_compact_and_in_any_case():
    message = parse(HEADER.replace(b"Call-ID", b"I").replace(b"Via", b"v").replace(b"From", b"FROM") + b"l: 0\r\n\r\n")
    check_request(message)
    assert message.call_id == "c" and message.get("From") == "<sip:a>;tag=1"


def test_the_values_of_a_list_field_are_popped_one_by_one():
    message = Message(fields=[("Route", '<sip:a;lr>, "x, y" <sip:b;lr>'), ("Route", "<sip:c;lr>")])
    assert [message.pop_first("Route") for _ in range(4)] == ["<sip:a;lr>", '"x, y" <sip:b;lr>', "<sip:c;lr>", ""]


@pytest.mark.parametrize(
    "text",
    ["SIP/2.0/UDP", "SIP/1.0/UDP h", "x", "", "SIP/2.0/UDP h:0", "SIP/2.0/UDP h:99999", "SIP/2.0/UDP h:1x", "HTTP/2.0/TCP h"],
)
def test_an_invalid_via_is_rejected(text):
    with pytest.raises(BadMessageError):
        parse_via(text)


def test_trunk_group_parameters_are_in_the_user_part():
    uri = parse_uri("sip:+27115550100;tgrp=g0-2;trunk-context=kpl.invalid@127.0.0.1:5070;transport=tcp")
    assert uri.user == "+27115550100" and uri.user_params["tgrp"] == "g0-2"
    assert (uri.host, uri.port, uri.params["transport"]) == ("127.0.0.1", 5070, "tcp")


def test_reasons_of_other_protocols_are_ignored():
    message = Message(fields=[("Reason", 'SIP;cause=200, Q.850;cause=34;text="no, circuit"')])
    assert q850_cause_of(message) == (34, "")
    assert q850_cause_of(Message(fields=[("Reason", "Q.850;cause=x")])) == (0, "")


def test_seconds_may_be_followed_by_a_comment_or_parameters():
    assert parse_seconds(Message(fields=[("Retry-After", "18000;duration=3600")]), "Retry-After", 0) == 18000
    assert parse_seconds(Message(fields=[("Retry-After", "120 (I'm in a meeting)")]), "Retry-After", 0) == 120
    with pytest.raises(BadMessageError):
        parse_seconds(Message(fields=[("Expires", "-1")]), "Expires", 0)


NAME = st.sampled_from(["X-One", "Subject", "Warning", "P-Thing"])
VALUE = st.text(st.characters(codec="utf-8", exclude_characters="\r\n\0", exclude_categories=["Cs", "Zs", "Cc"]), max_size=30)
WORD = st.text("abcdefghijklmnopqrstuvwxyz0123456789", min_size=1, max_size=12)


@st.composite
def requests(draw):
    message = Message(
        draw(st.sampled_from(["INVITE", "BYE", "OPTIONS"])),
        f"sip:{draw(WORD)}@h{draw(WORD)}.example",
        body=draw(st.binary(max_size=40)),
    )
    for _ in range(draw(st.integers(1, 3))):
        message.fields.append(
            ("Via", f"SIP/2.0/UDP h{draw(WORD)}.example:{draw(st.integers(1, 65535))};branch=z9hG4bK{draw(WORD)}")
        )
    message.fields += [
        ("From", f"<sip:{draw(WORD)}@a.example>;tag={draw(WORD)}"),
        ("To", f"<sip:{draw(WORD)}@b.example>"),
        ("Call-ID", draw(WORD)),
        ("CSeq", f"{draw(st.integers(0, 2**31))} {message.method}"),
        ("Max-Forwards", str(draw(st.integers(0, 255)))),
    ]
    message.fields += draw(st.lists(st.tuples(NAME, VALUE), max_size=4))
    return message


@given(requests())
@settings(max_examples=150, derandomize=True, deadline=None)
def test_serialised_messages_parse_to_the_same_as_with_another_parser(message):
    parsed = parse(bytes(message))
    assert (parsed.method, parsed.uri, parsed.body) == (message.method, message.uri, message.body)
    assert [entry for entry in parsed.fields if entry[0] != "Content-Length"] == message.fields
    reference = sipmessage.Message.parse(bytes(message).split(b"\r\n\r\n")[0] + b"\r\n\r\n")
    assert isinstance(reference, sipmessage.Request)
    assert reference.method == parsed.method and str(reference.uri) == parsed.uri
    assert reference.call_id == parsed.call_id
    assert (reference.cseq.sequence, reference.cseq.method) == parsed.cseq()
    assert [(via.host, via.port, via.parameters["branch"]) for via in reference.via] == [
        (via.host, via.port, via.branch) for via in map(parse_via, parsed.all("Via"))
    ]
    assert reference.from_address.parameters["tag"] == tag_of(parsed.get("From"))


@given(st.lists(requests(), min_size=1, max_size=4), st.lists(st.integers(1, 60), max_size=60), st.booleans())
@settings(max_examples=100, derandomize=True, deadline=None)
def test_a_stream_may_be_split_anywhere(messages, sizes, blanks):
    stream = b"".join((b"\r\n\r\n" if blanks else b"") + bytes(message) for message in messages)
    framer, found, offset = Framer(), [], 0
    for size in [*sizes, len(stream)]:
        found += framer.feed(stream[offset : offset + size])
        offset += size
    found += framer.feed(stream[offset:])
    assert [bytes(message) for message in found] == [bytes(message) for message in messages]
    assert not framer.buffer.strip(b"\r\n")


@pytest.mark.parametrize(
    "data",
    [
        HEADER + b"\r\n",
        HEADER + b"Content-Length: x\r\n\r\n",
        HEADER + b"Content-Length: 1\r\nl: 2\r\n\r\n",
        HEADER + b"Content-Length: 99999999\r\n\r\n",
        b"a" * 20_000,
    ],
)
def test_a_stream_without_valid_framing_is_abandoned(data):
    with pytest.raises(BadMessageError):
        Framer().feed(data)


def test_the_message_after_an_unusable_one_is_parsed():
    bad = b"OPTIONS sip:a SIP/9.0\r\nContent-Length: 0\r\n\r\n"
    found = Framer().feed(bad + HEADER + b"Content-Length: 0\r\n\r\n")
    assert isinstance(found[0], BadMessageError) and found[1].method == "OPTIONS"


@given(st.binary(max_size=400))
@settings(max_examples=300, derandomize=True, deadline=None)
def test_any_bytes_are_parsed_or_rejected(data):
    for encoded in (data, HEADER + data, HEADER + data + b"\r\n\r\n", b"SIP/2.0 200 OK\r\n" + data + b"\r\n\r\n"):
        try:
            message = parse(encoded)
            if message.method:
                check_request(message)
            [parse_via(value) for value in message.all("Via")]
            parse_address(message.get("From"))
            bytes(response(message, 400, "t"))
        except BadMessageError:
            pass


def test_lists_are_split_outside_quotes_and_angle_brackets():
    assert split_list('"a, \\" b" <sip:x,y>, <sip:z>;p=1,') == ['"a, \\" b" <sip:x,y>', "<sip:z>;p=1"]
