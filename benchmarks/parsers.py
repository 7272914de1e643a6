"""Time of the program's SIP parser and of sipmessage for the same message, as a ratio within the same run.

python benchmarks/parsers.py
"""

import statistics
import time

import sipmessage

from gingergap.sip.message import parse

INVITE = (
    b"INVITE sip:011555000123;tgrp=g0-1;trunk-context=v.example@127.0.0.1:5070 SIP/2.0\r\n"
    b"Via: SIP/2.0/UDP 127.0.0.1:5060;branch=z9hG4bK776asdhds;rport\r\nRecord-Route: <sip:127.0.0.1:5060;lr>\r\n"
    b"Via: SIP/2.0/UDP 127.0.0.1:9000;branch=z9hG4bKabc;rport=9000;received=127.0.0.1\r\nMax-Forwards: 69\r\n"
    b'From: "0215550100" <sip:0215550100@127.0.0.1>;tag=1928301774\r\nTo: <sip:011555000123@127.0.0.1>\r\n'
    b"Call-ID: a84b4c76e66710\r\nCSeq: 1 INVITE\r\nContact: <sip:c@127.0.0.1:9000>\r\nExpires: 3\r\n"
    b"Resource-Priority: q735.2\r\nContent-Length: 0\r\n\r\n"
)


def parse_time(parser, rounds=2_000):
    """Mean time of one message in microseconds."""
    start = time.perf_counter()
    for _ in range(rounds):
        parser(INVITE)
    return (time.perf_counter() - start) / rounds * 1e6


def main():
    pairs = [(parse_time(parse), parse_time(sipmessage.Message.parse)) for _ in range(7)]
    own_time, other_time = (statistics.median(column) for column in zip(*pairs, strict=True))
    print(
        f"own {own_time:.1f} us, sipmessage {other_time:.1f} us, ratio "
        f"{statistics.median(theirs / ours for ours, theirs in pairs):.1f}"
    )


if __name__ == "__main__":
    main()
