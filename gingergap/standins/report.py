"""The report of a day: service by traffic type, final answers, set-up times, the delay that proxies add, and breaches of rules."""

import json
from pathlib import Path
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from ..sip.fields import tag_of, top_via
from ..sip.message import BadMessageError, parse
from .caller import Offer
from .checker import Verdict

PERCENTILES = (50.0, 90.0, 99.0)  # per cent


def percentiles(values: list[float]) -> dict[str, float]:
    """`p50`, `p90` and `p99` in ms of durations in seconds; empty if there are none."""
    histogram = HdrHistogram(1, 60_000_000, 3)
    for value in values:
        histogram.record_value(max(1, int(value * 1e6)))
    return {f"p{share:g}": round(histogram.get_value_at_percentile(share) / 1000, 2) for share in PERCENTILES} if values else {}


def measure_service(offers: list[Offer]) -> dict[str, Any]:
    """Importance of the dialogs established in time and not cut, over the importance offered; in all and by traffic type."""
    by_type: dict[str, dict[str, Any]] = {}
    for offer in offers:
        row = by_type.setdefault(
            offer.type, {"offered": 0, "stood": 0, "stood_in_time": 0, "cut": 0, "tries": 0, "worth": 0.0, "earned": 0.0}
        )
        row["offered"] += 1
        row["tries"] += offer.tries
        row["stood"] += offer.stood >= 0
        row["cut"] += offer.cut
        row["worth"] += offer.importance
        if offer.in_time and not offer.cut:
            row["stood_in_time"] += 1
            row["earned"] += offer.importance
    offered_importance = sum(row["worth"] for row in by_type.values())
    earned_importance = sum(row["earned"] for row in by_type.values())
    for row in by_type.values():
        row["service"] = round(row["earned"] / row["worth"], 4)
    return {
        "offered": len(offers),
        "stood_in_time": sum(row["stood_in_time"] for row in by_type.values()),
        "service": round(earned_importance / offered_importance, 4) if offered_importance else 0.0,
        "by_type": by_type,
    }


def measure_capture(path: Path) -> dict[str, Any]:
    """Measurements from a capture: messages, final answers by status, and the added delay.

    The added delay is the time from a dialog's first INVITE to its first leg, as seen at the sockets of callers and exchanges.
    """
    proxies: set[str] = set()
    received_at: dict[tuple[str, str], float] = {}
    added_delays: list[float] = []
    finals: dict[str, int] = {}
    seen_answers: set[tuple[str, str]] = set()
    messages = 0
    with path.open(encoding="utf-8") as file:
        for text in file:
            line = json.loads(text)
            if "note" in line:
                if line["note"] == "proxy":
                    proxies.add(line["address"])
                continue
            messages += 1
            if line.get("lost") or "INVITE" not in line["message"]:
                continue
            try:
                message = parse(line["message"].encode("utf-8", "surrogateescape"))
                via = top_via(message)
            except BadMessageError:
                continue
            call = message.call_id, tag_of(message.get("From"))
            if message.method == "INVITE" and not tag_of(message.get("To")):
                sender = f"{via.host}:{via.port}"
                if line["to"] in proxies:
                    received_at.setdefault((line["to"], *call), line["at"] + line.get("late_by", 0.0))
                elif sender in proxies and (sender, *call) in received_at:
                    added_delays.append(max(0.0, line["at"] - received_at[sender, *call]))
                    received_at[sender, *call] = float("inf")
            elif message.status >= 200 and line["from"] in proxies and message.cseq()[1] == "INVITE":
                key = line["from"], via.branch
                if key not in seen_answers:
                    seen_answers.add(key)
                    finals[str(message.status)] = finals.get(str(message.status), 0) + 1
    return {
        "messages": messages,
        "added_delay_ms": percentiles([delay for delay in added_delays if delay < 60]),
        "final_answers": dict(sorted(finals.items())),
    }


def lease_probes(path: Path) -> dict[str, Any]:
    """Probes sent under a lease, by exchange, as the exchanges saw them; empty if there were none.

    Counts those admitted (in all and by proxy) and refused, the longest gap between two in seconds, and how often the fencing
    token went back.
    """
    rows: dict[str, dict[str, Any]] = {}
    last: dict[str, tuple[float, tuple[int, str]]] = {}
    with path.open(encoding="utf-8") as file:
        for text in file:
            if '"probed"' not in text:
                continue
            line = json.loads(text)
            if line.get("note") != "probed":
                continue
            row = rows.setdefault(line["exchange"], {"admitted": 0, "refused": 0, "longest_gap_s": 0.0, "went_back": 0, "by": {}})
            if not line["admitted"]:
                row["refused"] += 1
                continue
            token = line["counter"], line["holder"]
            if line["exchange"] in last:
                last_at, last_token = last[line["exchange"]]
                row["longest_gap_s"] = round(max(row["longest_gap_s"], line["at"] - last_at), 3)
                row["went_back"] += token < last_token
            last[line["exchange"]] = line["at"], token
            row["admitted"] += 1
            holder = line["holder"].partition("/")[0]
            row["by"][holder] = row["by"].get(holder, 0) + 1
    return {name: rows[name] for name in sorted(rows)}


def rules_section(verdict: Verdict) -> dict[str, Any]:
    """The part of the report on the rules."""
    return {
        "rules": {str(rule): {"judged": verdict.judged[rule], "broken": verdict.broken[rule]} for rule in verdict.judged},
        "excused_by_kills": verdict.excused,
        "stood_over_tandems": verdict.over_tandems,
        "breaches": [breach._asdict() for breach in verdict.breaches],
    }


def day_report(folder: Path, verdict: Verdict, offers: list[Offer]) -> dict[str, Any]:
    """The report of a day, in the form of `report.json`."""
    return {
        **rules_section(verdict),
        **measure_service(offers),
        "setup_ms": percentiles([offer.took for offer in offers if offer.stood >= 0]),
        **measure_capture(folder / "capture.jsonl"),
        "duties": lease_probes(folder / "capture.jsonl"),
    }


def read_offers(folder: Path) -> list[Offer]:
    """The dialogs that the callers of a day wrote into its folder."""
    offers: list[Offer] = []
    for path in sorted(folder.glob("callers-*.json")):
        offers += msgspec.json.decode(path.read_bytes(), type=list[Offer])
    return offers
