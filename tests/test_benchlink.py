import io
import json

import pytest

from gingergap.benchlink.__main__ import serve
from gingergap.benchlink.codec import BadLineError
from gingergap.call_controller import CallController

FACTS = {
    "Ceilings": {"Cancelling": True, "MaxRetryAfter": 2_000_000, "MostTries": 6, "RetryAfter": True},
    "Lanes": [{"Deadline": 9_000_000, "OnTime": 1_500_000, "Value": 1.0, "Surprise": None}],
    "NInstances": 2,
    "MembershipMode": "push",
    "Novelty": 1,
    "Rules": {"ColdFrom": 0.3, "Fall": 3_000_000, "OverloadFactor": 3.0, "WarmAfter": 14_000_000},
    "Specifics": {"Guard": 200_000, "Here": 0, "ClassHold": [1], "ClassWidth": [1], "PoolsByClass": []},
}
TICK, END = {"t": "Tick", "Time": 1_000_050}, {"t": "End"}
SPAWN = {"t": "Spawn", "Proxy": "proxy_0", "Prng": 5, "Facts": FACTS}
LIST = [
    {"t": "Manifest", "SetId": 0, "Records": [{"Switch": "switch.a", "NodeNo": 1, "Availability": 2}]},
    {"t": "BackendsChanged", "Proxy": "proxy_0", "SetId": 0, "Kind": 2, "Version": 1},
]
KNOCK = {"t": "Knock", "Proxy": "proxy_0", "Rid": 77, "Subject": "num:x", "ExpiresIn": 3_000_000, "FarEnd": 1, "SlotsNeeded": 1}


def play(*messages):
    out = io.StringIO()
    serve([json.dumps(msg) for msg in messages], out)
    return [json.loads(line) for line in out.getvalue().splitlines()]


def test_a_dialog_is_sent_with_its_own_ids_and_units():
    replies = play(TICK, SPAWN, *LIST, KNOCK, END)
    leg = next(reply for reply in replies if reply["t"] == "CallOut")
    assert (leg["Rid"], leg["Switch"]) == (77, "switch.a")
    assert 0 < leg["Timeout"] < 3_000_000
    assert replies[-1] == {"t": "Yield"}


def test_late_words_on_an_ended_dialog_are_taken_calmly():
    result = {"t": "Result", "Proxy": "proxy_0", "Rid": 77, "Attempt": 0, "Switch": "switch.a", "Outcome": "failure", "Reason": 4}
    gone = {"t": "CancelledByClient", "Proxy": "proxy_0", "Rid": 77}
    replies = play(TICK, SPAWN, *LIST, KNOCK, END, TICK, result, gone, gone, result, END)
    assert [reply["t"] for reply in replies].count("NotNow") == 1


def test_a_stopped_instance_knows_nothing_after_its_restart():
    replies = play(TICK, SPAWN, *LIST, END, TICK, {"t": "Stop", "Proxy": "proxy_0"}, SPAWN, KNOCK, END)
    assert "CallOut" not in [reply["t"] for reply in replies]


@pytest.mark.parametrize(
    ("message", "words"),
    [
        ({"t": "Nonsense"}, "line 3: field t"),
        ({**KNOCK, "Rid": "x"}, "line 3: Knock: field Rid is ill-typed"),
        ({**KNOCK, "Proxy": "proxy_9"}, "line 3: Knock: field Proxy"),
        ({k: v for k, v in KNOCK.items() if k != "FarEnd"}, "line 3: Knock: field FarEnd is missing"),
        ({**SPAWN, "Facts": {**FACTS, "Rules": 3}}, "line 3: Spawn: field Facts.Rules is ill-typed"),
        ({**KNOCK, "Rid": True}, "line 3: Knock: field Rid is ill-typed"),
        ({"t": "Message", "Proxy": "proxy_0", "From": 1, "Bytes": "0g"}, "line 3: Message: field Bytes"),
    ],
)
def test_bad_lines_are_named(message, words):
    with pytest.raises(BadLineError, match=words):
        play(TICK, SPAWN, message, END)


def test_an_exception_in_the_module_becomes_the_wires_fault(monkeypatch):
    def fail(*_):
        raise RuntimeError("oh")

    monkeypatch.setattr(CallController, "dialog_received", fail)
    replies = play(TICK, SPAWN, KNOCK, END)
    assert [r["Message"] for r in replies if r["t"] == "Panic"] == ["Knock: RuntimeError('oh')"]
