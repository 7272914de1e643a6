"""Encoding, decoding and checks of the wire's lines, each a JSON object."""

import json
from typing import Any

from ..platform_settings import NUMBER, BadFieldError, has_type

REQUIRED: dict[str, dict[str, Any]] = {
    "Tick": {"Time": int},
    "End": {},
    "Spawn": {"Proxy": str, "Prng": int, "Facts": dict},
    "Stop": {"Proxy": str},
    "Manifest": {"SetId": int, "Records": list},
    "BackendsChanged": {"Proxy": str, "Kind": int},
    "Knock": {"Proxy": str, "Rid": int, "ExpiresIn": int, "FarEnd": NUMBER, "SlotsNeeded": NUMBER},
    "Headers": {"Proxy": str, "Rid": int, "Switch": str},
    "Result": {"Proxy": str, "Rid": int, "Attempt": int, "Switch": str, "Outcome": str},
    "CancelledByClient": {"Proxy": str, "Rid": int},
    "Elapsed": {"Proxy": str, "Cookie": str},
    "ProbeResult": {"Proxy": str, "Switch": str, "Outcome": str},
    "Message": {"Proxy": str, "From": int, "Bytes": str},
}
OPTIONAL: dict[str, Any] = {
    "SetId": int,
    "Version": int,
    "Owner": int,
    "Subject": str,
    "AdvisedRoute": NUMBER,
    "Class": int,
    "Bitmap": int,
    "WeightHint": int,
    "Attempt": int,
    "TimeTaken": int,
    "Ended": bool,
    "Reason": int,
    "ServerStats": dict,
}
ENTRY: dict[str, Any] = {"Switch": str, "NodeNo": int, "Availability": int}
ENTRY_OPTIONAL: dict[str, Any] = {"Dc": int, "Model": int, "Weight": NUMBER, "Born": int}


class BadLineError(BadFieldError):
    """A line that the wire does not allow."""


def _check(msg: dict[str, Any], required: dict[str, Any], optional: dict[str, Any], where: str) -> None:
    for field, expected in required.items():
        if field not in msg:
            raise BadLineError(f"{where}: field {field} is missing")
        if not has_type(msg[field], expected):
            raise BadLineError(f"{where}: field {field} is ill-typed")
    for field, value in msg.items():
        if field in required or field not in optional or value is None:
            continue
        if not has_type(value, optional[field]):
            raise BadLineError(f"{where}: field {field} is ill-typed")


def decode(line: str, number: int) -> dict[str, Any]:
    """A line as a checked object. Raises BadLineError with the line's number and the offending field."""
    try:
        msg = json.loads(line)
    except (ValueError, RecursionError):
        raise BadLineError(f"line {number}: not JSON") from None
    if not isinstance(msg, dict):
        raise BadLineError(f"line {number}: not an object")
    name = msg.get("t")
    if not isinstance(name, str):
        raise BadLineError(f"line {number}: field t is missing or ill-typed")
    required = REQUIRED.get(name)
    if required is None:
        raise BadLineError(f"line {number}: field t names an unknown event")
    _check(msg, required, OPTIONAL, f"line {number}: {name}")
    if name == "Manifest":
        for index, entry in enumerate(msg["Records"]):
            if not isinstance(entry, dict):
                raise BadLineError(f"line {number}: Manifest: field Records[{index}] is ill-typed")
            _check(entry, ENTRY, ENTRY_OPTIONAL, f"line {number}: Manifest: Records[{index}]")
    elif msg.get("ServerStats"):
        for field, value in msg["ServerStats"].items():
            if not has_type(value, NUMBER):
                raise BadLineError(f"line {number}: {name}: field ServerStats.{field} is ill-typed")
    return msg


def encode(action: str, **fields: Any) -> str:
    return json.dumps({"t": action, **fields}, separators=(",", ":"))
