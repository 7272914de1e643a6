"""The rule checker on small captures: valid ones pass, and each change of one line breaks exactly the rule that it should."""

import json

import msgspec
import pytest

from gingergap.cli.main import main
from gingergap.standins.checker import BadCaptureError, check
from gingergap.standins.report import measure_capture

PROXY, CALLERS, LIST, X1, X2 = (f"127.0.0.1:{port}" for port in (7000, 9000, 7300, 7101, 7102))


def message(at, source, target, start, branch, call="c1", cseq="1 INVITE", to_tag="", via=None, extra=(), body=""):
    sender = via or source
    lines = [
        start,
        f"Via: SIP/2.0/UDP {sender};branch={branch}",
        "From: <sip:c>;tag=ct",
        "To: <sip:f>" + (f";tag={to_tag}" if to_tag else ""),
        f"Call-ID: {call}",
        f"CSeq: {cseq}",
        *extra,
    ]
    return {"at": at, "transport": "UDP", "from": source, "to": target, "message": "\r\n".join(lines) + "\r\n\r\n" + body}


def invite(at, call="c1", **more):
    return message(at, CALLERS, PROXY, "INVITE sip:001@h SIP/2.0", f"z9hG4bK{call}", call, extra=["Expires: 3"], **more)


def final(at, status, call="c1", tag="t"):
    return message(at, PROXY, CALLERS, f"SIP/2.0 {status} Word", f"z9hG4bK{call}", call, to_tag=tag, via=CALLERS)


def leg(at, branch, target=X1, call="c1"):
    return message(at, PROXY, target, "INVITE sip:001@x SIP/2.0", branch, call)


def cancel(at, branch, target=X1, call="c1"):
    return message(at, PROXY, target, "CANCEL sip:001@x SIP/2.0", branch, call, cseq="1 CANCEL")


def leg_answer(at, status, branch, source=X1, call="c1"):
    return message(at, source, PROXY, f"SIP/2.0 {status} Word", branch, call, to_tag="f", via=PROXY)


def notification(at, lines, state="partial"):
    body = msgspec.json.encode(
        {
            "version": 1,
            "state": state,
            "epoch": "e",
            "exchanges": [
                {"id": name, "number": 1, "state": listed_state, "started": started, "address": address}
                for name, listed_state, started, address in lines
            ],
        }
    ).decode()
    return message(at, LIST, PROXY, "NOTIFY sip:p SIP/2.0", f"z9hG4bKn{at}", "sub", "1 NOTIFY", body=body)


def exchange_start(at, name="x2", address=X2):
    return {
        "at": at,
        "note": "exchange",
        "exchange": name,
        "number": 2,
        "address": address,
        "cold": True,
        "capacity": 10.0,
        "from_share": 0.4,
        "warm_after": 10.0,
    }


NOTES = [
    {"at": 0.0, "note": "rules", "guard": 0.2, "grace": 2.0, "multiple": 2.5, "span": 2.0},
    {"at": 0.0, "note": "list", "address": LIST},
    {"at": 0.0, "note": "proxy", "number": 0, "address": PROXY},
]


def valid_capture():
    """Capture without a breach: a dialog established over its second leg after a cancelled first one, a declined dialog, a drained
    exchange that gets no new legs, and a cold start just below the limit of set-ups."""
    lines = [
        *NOTES,
        invite(1.0),
        leg(1.01, "z9hG4bKl1"),
        leg_answer(1.02, 100, "z9hG4bKl1"),
        cancel(1.5, "z9hG4bKl1"),
        leg_answer(1.52, 487, "z9hG4bKl1"),
        leg(1.72, "z9hG4bKl2"),
        leg_answer(1.8, 200, "z9hG4bKl2"),
        final(1.81, 200),
        invite(2.0, "c2"),
        final(2.5, 503, "c2"),
        notification(3.0, [("x1", "draining", 0.0, X1)]),
        exchange_start(4.0),
        notification(4.5, [("x2", "ready", 99.0, X2)]),
    ]
    for index in range(19):  # limit: 2.5 x 10 x 0.4 x 2 s = 20
        at, call = 5 + index / 20, f"cold{index}"
        lines += [
            invite(at, call),
            leg(at + 0.01, f"z9hG4bKm{index}", X2, call),
            leg_answer(at + 0.02, 200, f"z9hG4bKm{index}", X2, call),
            final(at + 0.03, 200, call),
        ]
    lines += [invite(7.5, "last"), final(7.6, 503, "last"), {"at": 20.0, "note": "end"}]
    return lines


def judge(tmp_path, lines):
    path = tmp_path / "capture.jsonl"
    path.write_text("".join(json.dumps(line) + "\n" for line in sorted(lines, key=lambda line: line["at"])))
    return check(path)


def test_valid_capture_passes_with_the_number_of_judged_cases(tmp_path):
    verdict = judge(tmp_path, valid_capture())
    assert verdict.passed and not verdict.breaches
    assert verdict.judged == {1: 22, 2: 21, 3: 1, 4: 1, 5: 1}


def without_message(lines, text, at):
    return [line for line in lines if not (line["at"] == at and text in line.get("message", ""))]


@pytest.mark.parametrize(
    ("rule", "change"),
    [
        (1, lambda lines: without_message(lines, "SIP/2.0 503", 2.5)),
        (1, lambda lines: [*lines, final(2.6, 486, "c2")]),
        (1, lambda lines: [*lines, final(1.9, 200, tag="other")]),
        (1, lambda lines: [*without_message(lines, "SIP/2.0 503", 2.5), final(5.1, 503, "c2")]),
        (1, lambda lines: [*lines, leg(2.6, "z9hG4bKafter", X1, "c2")]),
        (1, lambda lines: [*lines, message(2.1, CALLERS, PROXY, "CANCEL sip:001@h SIP/2.0", "z9hG4bKc2", "c2", "1 CANCEL")]),
        (
            2,
            lambda lines: (
                without_message(lines, "SIP/2.0 487", 1.52)
                and [line for line in without_message(lines, "SIP/2.0 487", 1.52) if "CANCEL" not in line.get("message", "")]
            ),
        ),
        (2, lambda lines: [line for line in [*lines, leg(1.75, "z9hG4bKl1")]]),
        (
            3,
            lambda lines: [
                *lines,
                invite(5.5, "drained"),
                leg(5.51, "z9hG4bKd", X1, "drained"),
                leg_answer(5.52, 200, "z9hG4bKd", X1, "drained"),
                final(5.53, 200, "drained"),
            ],
        ),
        (
            4,
            lambda lines: [
                *lines,
                *(
                    part
                    for n in range(3)
                    for part in (
                        invite(6 + n / 50, f"more{n}"),
                        leg(6.01 + n / 50, f"z9hG4bKmore{n}", X2, f"more{n}"),
                        leg_answer(6.015 + n / 50, 200, f"z9hG4bKmore{n}", X2, f"more{n}"),
                        final(6.019 + n / 50, 200, f"more{n}"),
                    )
                ),
            ],
        ),
        (
            5,
            lambda lines: [
                dict(line, at=1.62) if "z9hG4bKl2" in line.get("message", "") and line["at"] == 1.72 else line for line in lines
            ],
        ),
    ],
)
def test_one_changed_line_breaks_one_rule(tmp_path, rule, change):
    verdict = judge(tmp_path, change(valid_capture()))
    broken = {number for number, count in verdict.broken.items() if count}
    assert broken == {rule}
    assert verdict.breaches[0].lines and not verdict.passed


def test_unanswered_leg_must_be_silent_for_the_release_guard(tmp_path):
    for gap, broken in ((0.3, 0), (0.1, 1)):
        verdict = judge(
            tmp_path,
            [
                *NOTES,
                invite(1.0),
                leg(1.01, "z9hG4bKa"),
                leg(1.51, "z9hG4bKa"),
                leg(1.51 + gap, "z9hG4bKb"),
                leg_answer(2.0, 200, "z9hG4bKb"),
                final(2.0, 200),
            ],
        )
        assert (verdict.judged[5], verdict.broken[5]) == (1, broken)


def test_dropped_connection_ends_a_leg_in_doubt(tmp_path):
    def over_tcp(line):
        return dict(line, message=line["message"].replace("SIP/2.0/UDP 127.0.0.1:7000", "SIP/2.0/TCP 127.0.0.1:7000"))

    for gap, broken in ((0.25, 0), (0.1, 1)):
        lines = [
            *NOTES,
            invite(1.0),
            over_tcp(leg(1.01, "z9hG4bKa")),
            over_tcp(leg_answer(1.02, 100, "z9hG4bKa")),
            {"at": 1.3, "note": "reset", "address": X1},
            leg(1.3 + gap, "z9hG4bKb", X2),
            leg_answer(2.0, 200, "z9hG4bKb", X2),
            final(2.0, 200),
        ]
        verdict = judge(tmp_path, lines)
        assert (verdict.judged[5], verdict.broken[5], verdict.broken[2]) == (1, broken, 0)
        datagrams = [
            line if "message" not in line else dict(line, message=line["message"].replace("/TCP", "/UDP")) for line in lines
        ]
        assert judge(tmp_path, datagrams).broken[2] == 1  # a drop does not end a leg over UDP, so it was still out


# Guards against a checker that takes a drop for the end of a leg although the next leg was sent before the drop.
@pytest.mark.parametrize(("reset_at", "broken"), [(1.49, 1), (1.52, 0)])
def test_drop_after_the_next_leg_does_not_end_the_previous_one(tmp_path, reset_at, broken):
    def over_tcp(line):
        return dict(line, message=line["message"].replace("SIP/2.0/UDP 127.0.0.1:7000", "SIP/2.0/TCP 127.0.0.1:7000"))

    lines = [
        *NOTES,
        invite(1.0),
        over_tcp(leg(1.01, "z9hG4bKa")),
        over_tcp(leg(1.51, "z9hG4bKb")),
        {"at": reset_at, "note": "reset", "address": X1},
        leg_answer(2.0, 200, "z9hG4bKb"),
        final(2.0, 200),
    ]
    lines.sort(key=lambda line: line["at"])
    assert judge(tmp_path, lines).broken[5] == broken


def test_leg_sent_during_a_drop_ends_with_the_connection(tmp_path):
    def over_tcp(line):
        return dict(line, message=line["message"].replace("SIP/2.0/UDP 127.0.0.1:7000", "SIP/2.0/TCP 127.0.0.1:7000"))

    lines = [
        *NOTES,
        invite(1.0),
        {"at": 1.01, "note": "reset", "address": X1},
        over_tcp(leg(1.015, "z9hG4bKa")),
        {"at": 1.9, "note": "reset", "address": X1},
        over_tcp(leg(2.0, "z9hG4bKb")),
        leg_answer(2.1, 200, "z9hG4bKb"),
        final(2.1, 200),
    ]
    verdict = judge(tmp_path, lines)
    assert verdict.judged[5] == 1 and not any(verdict.broken.values())


def test_lost_notification_does_not_count(tmp_path):
    lines = [
        *NOTES,
        dict(notification(1.0, [("x1", "gone", 0.0, X1)]), lost=True),
        invite(4.0),
        leg(4.1, "z9hG4bKa"),
        leg_answer(4.2, 200, "z9hG4bKa"),
        final(4.2, 200),
    ]
    assert judge(tmp_path, lines).passed


def test_dialogs_of_a_killed_proxy_are_excused(tmp_path):
    lines = [
        *NOTES,
        invite(1.0),
        leg(1.1, "z9hG4bKa"),
        {"at": 1.5, "note": "killed", "address": PROXY},
        invite(1.6, "dead"),
        invite(9.0, "c9"),
        final(9.1, 503, "c9"),
        {"at": 30.0, "note": "end"},
    ]
    verdict = judge(tmp_path, [*lines, invite(8.0, "alive"), final(8.2, 503, "alive"), final(3.0, 503, "other")])
    assert verdict.excused == 1 and not any(verdict.broken.values())


def test_set_ups_from_proxies_not_told_of_a_cold_start_are_no_breach(tmp_path):
    lines = [line for line in valid_capture() if line["at"] != 4.5]
    for index in range(10):
        at, call = 5.96 + index / 200, f"unknown{index}"
        lines += [
            invite(at, call),
            leg(at, f"z9hG4bKu{index}", X2, call),
            leg_answer(at, 200, f"z9hG4bKu{index}", X2, call),
            final(at, 200, call),
        ]
    assert judge(tmp_path, lines).broken[4] == 0


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", "rules"),
        ("{", "line 1"),
        ('{"at": "x"}', "line 1"),
        ('{"at": 1}', "line 1"),
        (json.dumps(NOTES[0]), "no note names a proxy"),
    ],
)
def test_invalid_capture_is_reported_in_one_line(tmp_path, text, expected):
    (tmp_path / "capture.jsonl").write_text(text)
    with pytest.raises(BadCaptureError, match=expected):
        check(tmp_path / "capture.jsonl")


def test_capture_without_judged_cases_does_not_pass(tmp_path):
    assert not judge(tmp_path, NOTES).passed


def test_day_check_exit_codes(tmp_path):
    from click.testing import CliRunner

    runner = CliRunner()
    assert runner.invoke(main, ["day", "check", str(tmp_path)]).exit_code == 2
    judge(tmp_path, valid_capture())
    result = runner.invoke(main, ["day", "check", str(tmp_path)])
    assert result.exit_code == 0
    report = json.loads((tmp_path / "report.json").read_text())
    assert report["rules"]["5"] == {"judged": 1, "broken": 0}
    judge(tmp_path, [*valid_capture(), final(2.6, 486, "c2")])
    assert runner.invoke(main, ["day", "check", str(tmp_path)]).exit_code == 1
    assert measure_capture(tmp_path / "capture.jsonl")["final_answers"]["200"] == 20
