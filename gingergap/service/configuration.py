"""What the platform tells a proxy at its start: environment and configuration, checked field by field."""

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

from ..facts import BadFactError, Facts
from ..listfeed.poll import Batch, address_of, known_batch


class Configuration(NamedTuple):
    """One configuration: names and addresses, the seed, limits, the list at the start, the settings object."""

    name: str
    listen: tuple[str, int]
    bus: tuple[str, int]
    seed: int
    sockets: int
    known: Batch
    settings: dict[str, Any]


def _address(facts: Facts, field: str) -> tuple[str, int]:
    try:
        return address_of(facts.get(field, str))
    except ValueError as bad:
        raise BadFactError(f"field {facts.where}.{field}: {bad}") from None


def read_configuration(path: Path) -> Configuration:
    """The configuration file; raises BadFactError naming the field, or why there is no reading it."""
    try:
        text = path.read_bytes()
    except OSError as error:
        raise BadFactError(f"cannot be read: {error.strerror}") from None
    try:
        values = json.loads(text)
    except (ValueError, RecursionError):
        raise BadFactError("is no JSON") from None
    if not isinstance(values, dict):
        raise BadFactError("is no object")
    facts = Facts(values, "config")
    try:
        seed = int(facts.get("seed", str), 16)
    except ValueError:
        raise BadFactError("field config.seed is no hex number") from None
    try:
        known = known_batch(facts.get("known", dict, {"offset": 0, "batch": []}))
    except ValueError as bad:
        raise BadFactError(f"config: {bad}") from None
    sockets = facts.part("limits").get("sockets", int, 256)
    if sockets < 32:
        raise BadFactError("field config.limits.sockets is under 32, the least to serve with")
    return Configuration(
        facts.get("name", str), _address(facts, "listen"), _address(facts, "bus"), seed, sockets, known, facts.get("settings", dict)
    )


def configuration_from_environment(environment: Mapping[str, str]) -> tuple[Path, Configuration]:
    """By LB_CONFIG, and where given by LB_LISTEN and LB_NAME, which come first; raises BadFactError."""
    name = environment.get("LB_CONFIG", "")
    if not name:
        raise BadFactError("LB_CONFIG: is not set; it names the configuration file")
    path = Path(name)
    try:
        found = read_configuration(path)
    except BadFactError as bad:
        raise BadFactError(f"{path}: {bad}") from None
    if listen := environment.get("LB_LISTEN", ""):
        try:
            found = found._replace(listen=address_of(listen))
        except ValueError as bad:
            raise BadFactError(f"LB_LISTEN: {bad}") from None
    return path, found._replace(name=environment.get("LB_NAME") or found.name)
