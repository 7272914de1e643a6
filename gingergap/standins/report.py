"""What a day came to: service by traffic type, declines, set-up times, and how long proxies took over a dialog."""

import json
from pathlib import Path
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from ..sip.fields import tag_of, top_via
from ..sip.message import BadMessageError, parse
from .caller import Offer
from .checker import Verdict

PERCENTILES = (50.0, 90.0, 99.0)


def percentiles(values: list[float]) -> dict[str, float]:
    """`p50`, `p90`, `p99` of seconds, in ms."""
    histogram = HdrHistogram(1, 60_000_000, 3)
    for value in values:
        histogram.record_value(max(1, int(value * 1e6)))
    return {f"p{share:g}": round(histogram.get_value_at_percentile(share) / 1000, 2) for share in PERCENTILES} if values else {}


def service(offers: list[Offer]) -> dict[str, Any]:
    """Importance that stood in time and was not cut, over importance offered; the same by traffic type."""
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
    worth = sum(row["worth"] for row in by_type.values())
    earned = sum(row["earned"] for row in by_type.values())
    for row in by_type.values():
        row["service"] = round(row["earned"] / row["worth"], 4)
    return {
        "offered": len(offers),
        "stood_in_time": sum(row["stood_in_time"] for row in by_type.values()),
        "service": round(earned / worth, 4) if worth else 0.0,
        "by_type": by_type,
    }


def measure_capture(path: Path) -> dict[str, Any]:
    """Added delay of first legs and final answers by status, as seen at the sockets of callers and exchanges."""
    proxies: set[str] = set()
    came: dict[tuple[str, str], float] = {}
    added: list[float] = []
    finals: dict[str, int] = {}
    counted: set[tuple[str, str]] = set()
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
                    came.setdefault((line["to"], *call), line["at"] + line.get("late_by", 0.0))
                elif sender in proxies and (sender, *call) in came:
                    added.append(max(0.0, line["at"] - came[sender, *call]))
                    came[sender, *call] = float("inf")
            elif message.status >= 200 and line["from"] in proxies and message.cseq()[1] == "INVITE":
                key = line["from"], via.branch
                if key not in counted:
                    counted.add(key)
                    finals[str(message.status)] = finals.get(str(message.status), 0) + 1
    return {
        "messages": messages,
        "added_delay_ms": percentiles([gap for gap in added if gap < 60]),
        "final_answers": dict(sorted(finals.items())),
    }


def duties(path: Path) -> dict[str, Any]:
    """Probes under leases as the exchanges saw them: how many were admitted and refused, by whom, the longest gap in
    seconds, and whether a token ever went back. Empty where none came."""
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
                before, newest = last[line["exchange"]]
                row["longest_gap_s"] = round(max(row["longest_gap_s"], line["at"] - before), 3)
                row["went_back"] += token < newest
            last[line["exchange"]] = line["at"], token
            row["admitted"] += 1
            who = line["holder"].partition("/")[0]
            row["by"][who] = row["by"].get(who, 0) + 1
    return {name: rows[name] for name in sorted(rows)}


def rules(verdict: Verdict) -> dict[str, Any]:
    return {
        "rules": {str(rule): {"judged": verdict.judged[rule], "broken": verdict.broken[rule]} for rule in verdict.judged},
        "excused_by_kills": verdict.excused,
        "stood_over_tandems": verdict.over_tandems,
        "breaches": [breach._asdict() for breach in verdict.breaches],
    }


def day_report(folder: Path, verdict: Verdict, offers: list[Offer]) -> dict[str, Any]:
    """The report of a day, as `report.json` has it."""
    return {
        **rules(verdict),
        **service(offers),
        "setup_ms": percentiles([offer.took for offer in offers if offer.stood >= 0]),
        **measure_capture(folder / "capture.jsonl"),
        "duties": duties(folder / "capture.jsonl"),
    }


def read_offers(folder: Path) -> list[Offer]:
    offers: list[Offer] = []
    for path in sorted(folder.glob("callers-*.json")):
        offers += msgspec.json.decode(path.read_bytes(), type=list[Offer])
    return offers
