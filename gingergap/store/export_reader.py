"""Exported records, a JSON object a line, back as changes: every line is checked before any is put."""

from pathlib import Path

import msgspec

from .records import RECORD_TYPES, SCHEMA_VERSION, BadRecordError, Change


class Line(msgspec.Struct, forbid_unknown_fields=True):
    kind: str
    key: str
    seen: float
    body: msgspec.Raw


def read_export(path: Path) -> list[Change]:
    """Raises BadRecordError naming the line and why, OSError where the file can't be read."""
    changes = []
    with path.open("rb") as file:
        try:
            schema = msgspec.json.decode(file.readline())["gingergap store"]
        except (msgspec.MsgspecError, KeyError, TypeError):
            raise BadRecordError(f"{path}: no exported store") from None
        if schema != SCHEMA_VERSION:
            raise BadRecordError(f"{path}: schema {schema}, this program reads {SCHEMA_VERSION}")
        for number, text in enumerate(file, 2):
            try:
                line = msgspec.json.decode(text, type=Line)
                if line.kind not in RECORD_TYPES:
                    raise BadRecordError(f"{path}: line {number}: kind {line.kind!r} is unknown")
                body = msgspec.json.decode(line.body, type=RECORD_TYPES[line.kind])
            except msgspec.MsgspecError as error:
                raise BadRecordError(f"{path}: line {number}: {error}") from None
            changes.append(Change(line.kind, line.key, body, line.seen))
    return changes
