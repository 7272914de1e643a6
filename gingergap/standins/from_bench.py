"""Converts a day file of the decision bench to a scripted day with the same kinds of faults, scaled down to one machine.

Converted are: traffic types, the ratio of dialog durations to circuits, pairs without a group, the redials of callers, the
delays of the exchange list, cold starts, and each fault with its strength and its share of the exchanges. Each thing that is
left out is reported in one line. Times in the bench file are in microseconds.
"""

from typing import Any

RATE = 7.0  # first attempts per second at each exchange
MAX_EXCHANGES = 6
MIN_HOLD, MAX_HOLD = 1.5, 4.0  # mean duration of dialogs, in seconds


class BadDayFileError(Exception):
    """The file is no bench day that can be converted; the text names the reason."""


def _get(part: Any, *names: str) -> Any:
    for name in names:
        if not isinstance(part, dict) or name not in part:
            raise BadDayFileError(f"field {'.'.join(names)} is missing")
        part = part[name]
    return part


def convert_bench_day(bench: Any, seconds: float) -> tuple[dict[str, Any], list[str]]:
    """Convert a decoded bench day to a scripted day that lasts `seconds`.

    Returns the parts of its `(day ...)` form, and a line on each thing that was left out or changed. Raises BadDayFileError.
    """
    if not isinstance(bench, dict):
        raise BadDayFileError("the file does not hold a JSON object")
    remarks: list[str] = []
    if _get(bench, "family") != "trunks" or _get(bench, "fam", "pools"):
        raise BadDayFileError("only days of exchanges joined by trunk groups are supported")
    try:
        return _convert(bench, seconds, remarks), remarks
    except (TypeError, ValueError, IndexError, ZeroDivisionError) as error:
        raise BadDayFileError(f"a field is ill-typed ({error})") from None


def _convert(bench: dict[str, Any], seconds: float, remarks: list[str]) -> dict[str, Any]:
    length = _get(bench, "length") / 1e6
    scale = seconds / length
    bench_exchanges = len(_get(bench, "servers"))
    exchanges = max(3, min(bench_exchanges, MAX_EXCHANGES))
    if bench_exchanges != exchanges:
        remarks.append(f"{bench_exchanges} exchanges became {exchanges}")
    remarks.append(f"{length:.0f} s became {seconds:g} s: times are scaled by {scale:.2f}, stalls and delays of messages are not")
    bench_types, family, clients = _get(bench, "classes"), _get(bench, "fam"), _get(bench, "clients")
    shares = [float(_get(entry, "share")) for entry in bench_types]
    holds = [hold / 1e6 for hold in _get(family, "hold")]
    mean_hold = sum(share * hold for share, hold in zip(shares, holds, strict=True)) / sum(shares)
    hold_factor = min(max(mean_hold * scale, MIN_HOLD), MAX_HOLD) / mean_hold
    try_share = float(_get(clients, "try_share"))
    types = [
        {
            "name": str(_get(entry, "name")),
            "share": round(share / sum(shares), 6),
            "circuits": int(width),
            "importance": float(_get(entry, "worth")),
            "hold_s": round(hold * hold_factor, 2),
            "resource_priority": [f"q735.{min(index, 4)}"] if index else [],
            "setup_objective_ms": _get(entry, "aim") / 1000,
            "no_answer_time_ms": _get(entry, "deadline") / 1000,
            "late_share": float(_get(entry, "late_worth")),
            "repeatable": _get(entry, "effect") == "safe",
            "patience_s": max(1, round(_get(entry, "deadline") / 1e6 * try_share)),
        }
        for index, (entry, share, width, hold) in enumerate(zip(bench_types, shares, _get(family, "width"), holds, strict=True))
    ]
    types[0]["share"] = round(1 - sum(entry["share"] for entry in types[1:]), 6)
    if len(types) > 5:
        raise BadDayFileError("more traffic types than Resource-Priority values of one namespace")
    count = int(_get(family, "n"))
    pairs = [(a, b) for a in range(count) for b in range(a + 1, count)]
    sizes = [_get(family, "size")[a * count + b] for a, b in pairs]
    offered = [_get(family, "erl")[a * count + b] for a, b in pairs]
    group_count = sum(size > 0 for size in sizes) or 1
    circuit_ratio = sum(sizes) / max(1e-9, sum(offered_load for offered_load, size in zip(offered, sizes, strict=True) if size))
    circuit_seconds = sum(entry["share"] * entry["circuits"] * entry["hold_s"] for entry in types)
    erlangs = 2 * RATE * circuit_seconds / (exchanges - 1)
    mean = sum(sizes) / group_count
    spread = min(0.8, (sum((size - mean) ** 2 for size in sizes if size) / group_count) ** 0.5 / mean * 1.7)
    machine_kind = _get(bench, "tiers")[0]["kinds"][0]
    discovery = _get(bench, "discovery")
    load = float(_get(bench, "traffic", "load"))
    per_dialog = 1000 * min(0.9, 0.6 * load) / (RATE * 1.25)
    day = {
        "name": f"bench-{_get(bench, 'kind')}".replace("/", "-"),
        "seconds": seconds,
        "seed": 1,
        "exchanges": exchanges,
        "rate": RATE,
        "traffic_type": types,
        "groups": {
            "mean": max(2, round(circuit_ratio * erlangs)),
            "spread": round(spread, 2),
            "without": round(1 - group_count / len(sizes), 2),
        },
        "processor": {
            "setup_ms": round(per_dialog * 0.7, 1),
            "transit_ms": round(per_dialog * 0.4, 1),
            "release_ms": round(per_dialog * 0.1, 1),
            "turn_away_after_ms": round(_get(family, "queue") / 1000),
        },
        "callers": {
            "redials": int(_get(clients, "retries")),
            "backoff_ms": max(1, round(_get(clients, "backoff_us") / 1000)),
            "honour": round(float(_get(clients, "honour")), 3),
            "impatient": round(float(_get(clients, "impatient")), 4),
            "marks_redial": bool(_get(clients, "marks_retry")),
        },
        "list_": {
            "notice_ms": max(1, round(_get(discovery, "notice") / 1000 * scale)),
            "silent_notice_ms": max(1, round(_get(discovery, "silent_notice") / 1000 * scale)),
            "add_ms": max(1, round(_get(discovery, "add") / 1000 * scale)),
        },
        "cold": {
            "from_share": round(float(_get(machine_kind, "cold_from")), 3),
            "warm_after_ms": round(_get(machine_kind, "cold") / 1000 * scale),
            "multiple": float(_get(bench, "fall_multiple")),
            "span_ms": _get(bench, "fall_for") / 1000,
        },
        "release_guard_ms": _get(family, "release") / 1000,
        "drain_grace_ms": _get(bench, "drain_grace") / 1000,
        "most_legs": int(_get(bench, "allow", "max_attempts")),
        "tell_peers": bool(_get(bench, "allow", "peers")),
        "longest_hold_off_ms": max(1, _get(clients, "max_retry_after") / 1000),
    }
    if _get(family, "advice"):
        remarks.append("a centre's advice on tandems: left out, since no centre is simulated")
    if _get(bench, "tiers")[0].get("report_how") != "none":
        remarks.append("reports of processors' load: left out, since the controller does not use them")
    faults = [
        fault for trouble in _get(bench, "troubles") if (fault := _convert_fault(trouble, bench_exchanges, scale, seconds, remarks))
    ]
    if faults:
        day["fault"] = faults
    return day


def _convert_fault(
    trouble: dict[str, Any], bench_exchanges: int, scale: float, seconds: float, remarks: list[str]
) -> dict[str, Any] | None:
    kind, size, extra = trouble["kind"], float(trouble["size"]), float(trouble["extra"])
    at = min(trouble["at"] / 1e6 * scale, seconds - 0.5)
    lasts = max(0.3, min(trouble["len"] / 1e6 * scale, seconds - at))
    targets = trouble.get("on") or []
    share = round(max(len(targets), 1) / bench_exchanges, 3)
    fault: dict[str, Any] = {"at": round(at, 2), "lasts": round(lasts - 0.01, 2)}
    match kind:
        case "burst":
            return {"kind": "burst", **fault, "factor": round(size, 2)}
        case "hot_caller":
            return {"kind": "flood", **fault, "share": share, "factor": round(1 + size * bench_exchanges / max(1, len(targets)), 2)}
        case "slow":
            return {"kind": "slow", **fault, "share": share, "factor": round(size, 2)}
        case "shared_slow":
            return {"kind": "all-slow", **fault, "factor": round(size, 2)}
        case "ageing":
            return {"kind": "ageing", **fault, "lasts": round(max(0.3, lasts - 2.5), 2), "share": share, "factor": round(size, 2)}
        case "pauses":
            return {
                "kind": "pauses",
                **fault,
                "share": share,
                "ms": round(size),
                "every_ms": round(max(extra * 1000, size + 1)),
            }
        case "vanish":
            return {"kind": "vanish", **fault, "share": share}
        case "mass_restart":
            return {"kind": "mass-restart", **fault, "share": max(share, round(size, 3))}
        case "deploy":
            return {
                "kind": "rolling",
                **fault,
                "share": round(min(1.0, size * max(1, len(trouble["steps"]))), 3),
                "batch": max(1, round(size * bench_exchanges)),
            }
        case "answer_lost":
            return {
                "kind": "resets" if trouble.get("how") == "reset" else "answers-lost",
                **fault,
                "share": share,
                "factor": round(min(1.0, size), 3),
            }
        case "zone_cut":
            return {"kind": "district-cut", **fault, "share": 0.4}
        case "origin_slow":
            return {"kind": "groups-shrink", **fault, "share": 0.4, "factor": round(min(size, 3.0), 2)}
        case "discovery_stale":
            return {"kind": "stale-list", **fault, "ms": round(size * 1000 * scale)}
        case "reconnect":
            return {"kind": "cut", "at": fault["at"], "share": round(min(1.0, size), 3)}
        case "peer_down":
            return {"kind": "messages-lost", **fault, "factor": 1.0}
    remarks.append(f"{kind} at {trouble['at'] / 1e6:.1f} s: left out, since faults of this kind are not supported")
    return None
