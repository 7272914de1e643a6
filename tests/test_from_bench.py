"""Conversion of bench days to scripted days: every kind of trouble becomes a fault, and those without one are reported."""

import json

import pytest
from click.testing import CliRunner

from gingergap.cli.main import main
from gingergap.settings.day import DayForm
from gingergap.settings.forms import parse
from gingergap.standins.from_bench import BadDayFileError, convert_bench_day
from gingergap.standins.player import format_settings

KINDS = {
    "burst": "burst",
    "hot_caller": "flood",
    "slow": "slow",
    "shared_slow": "all-slow",
    "ageing": "ageing",
    "pauses": "pauses",
    "vanish": "vanish",
    "mass_restart": "mass-restart",
    "deploy": "rolling",
    "zone_cut": "district-cut",
    "origin_slow": "groups-shrink",
    "discovery_stale": "stale-list",
    "reconnect": "cut",
    "peer_down": "messages-lost",
}


def trouble(kind, size=0.4, **more):
    return {"kind": kind, "at": 20_000_000, "len": 10_000_000, "size": size, "extra": 1.5, "on": [1], "steps": [0, 1], **more}


def bench(*troubles):
    """A day of four exchanges in the format of the bench, with the fields that the conversion reads."""
    entry = {"share": 3.0, "worth": 1.0, "aim": 1_500_000, "deadline": 9_000_000, "late_worth": 0.1, "effect": "safe"}
    return {
        "family": "trunks",
        "kind": "trouble/twin",
        "length": 50_000_000,
        "servers": [{}] * 4,
        "classes": [{**entry, "name": "narrow"}, {**entry, "name": "wide", "share": 1.0, "worth": 3.0}],
        "fam": {
            "pools": False,
            "hold": [12e6, 12e6],
            "width": [1, 2],
            "n": 4,
            "size": [0, 30, 30, 0] + [0] * 2 + [30, 30] + [0] * 8,
            "erl": [0, 20, 20, 5] + [0] * 2 + [20, 20] + [0] * 8,
            "queue": 2e6,
            "release": 200_000,
            "advice": 1,
        },
        "clients": {
            "try_share": 0.35,
            "retries": 2.7,
            "backoff_us": 500_000,
            "honour": 0.5,
            "impatient": 0.01,
            "marks_retry": True,
            "max_retry_after": 2_000_000,
        },
        "discovery": {"notice": 3e6, "silent_notice": 9e6, "add": 4e5},
        "traffic": {"load": 0.9},
        "tiers": [{"kinds": [{"cold_from": 0.35, "cold": 1e7}], "report_how": "answers"}],
        "fall_multiple": 3.0,
        "fall_for": 2_000_000,
        "drain_grace": 2_000_000,
        "allow": {"max_attempts": 6, "peers": True},
        "troubles": list(troubles),
    }


def day_of(parts):
    return parse(format_settings("day", **parts), "day", day=DayForm)


def test_each_kind_of_trouble_becomes_a_fault():
    parts, remarks = convert_bench_day(
        bench(
            *(trouble(kind, 2.0 if kind in ("burst", "slow", "shared_slow", "ageing", "origin_slow") else 0.4) for kind in KINDS)
        ),
        25,
    )
    day = day_of(parts)
    assert [fault.kind for fault in day.fault] == list(KINDS.values())
    assert all(fault.at == 10 for fault in day.fault)
    assert any("advice" in line for line in remarks) and any("load" in line for line in remarks)


@pytest.mark.parametrize(("how", "kind"), [("silence", "answers-lost"), ("reset", "resets")])
def test_lost_answers_become_silence_or_resets(how, kind):
    day = day_of(convert_bench_day(bench(trouble("answer_lost", how=how)), 25)[0])
    assert [fault.kind for fault in day.fault] == [kind]


def test_trouble_without_a_fault_is_reported():
    parts, remarks = convert_bench_day(bench(trouble("report_late"), trouble("unheard_of")), 25)
    assert "fault" not in parts
    assert sum("faults of this kind are not supported" in line for line in remarks) == 2


def test_group_sizes_keep_their_ratio_to_offered_traffic():
    day = day_of(convert_bench_day(bench(), 25)[0])
    assert day.groups.without == pytest.approx(1 / 3, abs=0.01) and day.exchanges == 4
    circuit_seconds = sum(entry.share * entry.circuits * entry.hold_s for entry in day.traffic_type)
    assert day.groups.mean == pytest.approx(1.5 * 2 * day.rate * circuit_seconds / 3, abs=1)
    assert sum(entry.share for entry in day.traffic_type) == pytest.approx(1)


@pytest.mark.parametrize(
    "change",
    [
        lambda day: day.pop("fam"),
        lambda day: day["fam"].pop("size"),
        lambda day: day.update(family="proxy"),
        lambda day: day.update(length="long"),
        lambda day: day["fam"].update(width=[1]),
        lambda day: day.update(length=0),
    ],
)
def test_invalid_file_is_refused_in_one_line(tmp_path, change):
    day = bench()
    change(day)
    with pytest.raises(BadDayFileError):
        convert_bench_day(day, 25)
    path = tmp_path / "day.json"
    path.write_text(json.dumps(day))
    result = CliRunner().invoke(main, ["day", "from-bench", str(path)])
    assert result.exit_code == 2 and len(result.stderr.splitlines()) == 1


def test_converted_day_passes_settings_check(tmp_path):
    path = tmp_path / "day.json"
    path.write_text(json.dumps(bench(trouble("vanish"))))
    result = CliRunner().invoke(main, ["day", "from-bench", str(path), "--seconds", "10"])
    assert result.exit_code == 0
    (tmp_path / "day.sexp").write_text(result.stdout)
    assert CliRunner().invoke(main, ["settings", "check", str(tmp_path / "day.sexp")]).exit_code == 0
