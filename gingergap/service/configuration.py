"""What the platform tells a proxy at its start: environment and configuration, checked field by field."""

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

from ..listfeed.poll import Batch, address_of, known_batch
from ..platform_settings import BadFieldError, SettingsReader


class Configuration(NamedTuple):
    """One configuration: names and addresses, the seed, limits, the list at the start, the settings object."""

    name: str
    listen: tuple[str, int]
    bus: tuple[str, int]
    seed: int
    sockets: int
    known: Batch
    settings: dict[str, Any]


def _address(facts: SettingsReader, field: str) -> tuple[str, int]:
    try:
        return address_of(facts.get(field, str))
    except ValueError as bad:
        raise BadFieldError(f"field {facts.path}.{field}: {bad}") from None


def read_configuration(path: Path) -> Configuration:
    """The configuration file; raises BadFieldError naming the field, or why there is no reading it."""
    try:
        text = path.read_bytes()
    except OSError as error:
        raise BadFieldError(f"cannot be read: {error.strerror}") from None
    try:
        values = json.loads(text)
    except (ValueError, RecursionError):
        raise BadFieldError("is no JSON") from None
    if not isinstance(values, dict):
        raise BadFieldError("is no object")
    facts = SettingsReader(values, "config")
    try:
        seed = int(facts.get("seed", str), 16)
    except ValueError:
        raise BadFieldError("field config.seed is no hex number") from None
    try:
        known = known_batch(facts.get("known", dict, {"offset": 0, "batch": []}))
    except ValueError as bad:
        raise BadFieldError(f"config: {bad}") from None
    sockets = facts.section("limits").get("sockets", int, 256)
    if sockets < 32:
        raise BadFieldError("field config.limits.sockets is under 32, the least to serve with")
    return Configuration(
        facts.get("name", str), _address(facts, "listen"), _address(facts, "bus"), seed, sockets, known, facts.get("settings", dict)
    )


def configuration_from_environment(environment: Mapping[str, str]) -> tuple[Path, Configuration]:
    """By LB_CONFIG, and where given by LB_LISTEN and LB_NAME, which come first; raises BadFieldError."""
    name = environment.get("LB_CONFIG", "")
    if not name:
        raise BadFieldError("LB_CONFIG: is not set; it names the configuration file")
    path = Path(name)
    try:
        found = read_configuration(path)
    except BadFieldError as bad:
        raise BadFieldError(f"{path}: {bad}") from None
    if listen := environment.get("LB_LISTEN", ""):
        try:
            found = found._replace(listen=address_of(listen))
        except ValueError as bad:
            raise BadFieldError(f"LB_LISTEN: {bad}") from None
    return path, found._replace(name=environment.get("LB_NAME") or found.name)
