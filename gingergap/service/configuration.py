"""The proxy's start-up configuration, from the environment and a JSON file, validated field by field."""

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

from ..exchange_list.long_poll import Batch, parse_address, parse_known_batch
from ..platform_settings import BadFieldError, SettingsReader


class Configuration(NamedTuple):
    """Name and addresses of the proxy, the address of the event bus, the random seed, the limit on sockets, the initial
    exchange list, and the platform's settings object."""

    name: str
    listen: tuple[str, int]
    bus: tuple[str, int]
    seed: int
    sockets: int
    known: Batch
    settings: dict[str, Any]


def _address(reader: SettingsReader, field: str) -> tuple[str, int]:
    try:
        return parse_address(reader.get(field, str))
    except ValueError as error:
        raise BadFieldError(f"field {reader.path}.{field}: {error}") from None


def read_configuration(path: Path) -> Configuration:
    """Read the configuration file. Raises BadFieldError with the name of the invalid field, or why the file is unreadable."""
    try:
        text = path.read_bytes()
    except OSError as error:
        raise BadFieldError(f"cannot be read: {error.strerror}") from None
    try:
        values = json.loads(text)
    except (ValueError, RecursionError):
        raise BadFieldError("is not valid JSON") from None
    if not isinstance(values, dict):
        raise BadFieldError("is no object")
    reader = SettingsReader(values, "config")
    try:
        seed = int(reader.get("seed", str), 16)
    except ValueError:
        raise BadFieldError("field config.seed is not a hexadecimal number") from None
    try:
        known = parse_known_batch(reader.get("known", dict, {"offset": 0, "batch": []}))
    except ValueError as error:
        raise BadFieldError(f"config: {error}") from None
    sockets = reader.section("limits").get("sockets", int, 256)
    if sockets < 32:
        raise BadFieldError("field config.limits.sockets is below the minimum of 32")
    return Configuration(
        reader.get("name", str),
        _address(reader, "listen"),
        _address(reader, "bus"),
        seed,
        sockets,
        known,
        reader.get("settings", dict),
    )


def configuration_from_environment(environment: Mapping[str, str]) -> tuple[Path, Configuration]:
    """The file that LB_CONFIG names, and its configuration with LB_LISTEN and LB_NAME applied. Raises BadFieldError."""
    name = environment.get("LB_CONFIG", "")
    if not name:
        raise BadFieldError("LB_CONFIG: is not set; it names the configuration file")
    path = Path(name)
    try:
        configuration = read_configuration(path)
    except BadFieldError as error:
        raise BadFieldError(f"{path}: {error}") from None
    if listen := environment.get("LB_LISTEN", ""):
        try:
            configuration = configuration._replace(listen=parse_address(listen))
        except ValueError as error:
            raise BadFieldError(f"LB_LISTEN: {error}") from None
    return path, configuration._replace(name=environment.get("LB_NAME") or configuration.name)
