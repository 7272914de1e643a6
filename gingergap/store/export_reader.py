"""Reads exported records, one JSON object per line. Every line is checked before any record is stored."""

from pathlib import Path

import msgspec

from .records import RECORD_TYPES, SCHEMA_VERSION, BadRecordError, Change


class ExportedRecord(msgspec.Struct, forbid_unknown_fields=True):
    kind: str
    key: str
    seen: float
    body: msgspec.Raw


def read_export(path: Path) -> list[Change]:
    """Raises BadRecordError, which names the line and the reason, or OSError if the file cannot be read."""
    changes = []
    with path.open("rb") as file:
        try:
            schema = msgspec.json.decode(file.readline())["gingergap store"]
        except (msgspec.MsgspecError, KeyError, TypeError):
            raise BadRecordError(f"{path}: not an exported store") from None
        if schema != SCHEMA_VERSION:
            raise BadRecordError(f"{path}: schema {schema}, this program reads {SCHEMA_VERSION}")
        for number, line in enumerate(file, 2):
            try:
                record = msgspec.json.decode(line, type=ExportedRecord)
                if record.kind not in RECORD_TYPES:
                    raise BadRecordError(f"{path}: line {number}: kind {record.kind!r} is unknown")
                body = msgspec.json.decode(record.body, type=RECORD_TYPES[record.kind])
            except msgspec.MsgspecError as error:
                raise BadRecordError(f"{path}: line {number}: {error}") from None
            changes.append(Change(record.kind, record.key, body, record.seen))
    return changes
