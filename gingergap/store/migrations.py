"""Migrations from each schema version to the next. They map rows to rows; a row is (kind, key, body, checksum, seen).

1 to 2: the record of an established dialog also has the number of the exchange that its leg goes to, so that circuits can
be compared with the switch's own count. Where it is not known the leg counts as direct.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import Any

import msgspec

from .records import STANDING, checksum

Row = tuple[Any, ...]


def migrate_to_2(rows: Iterable[Row]) -> Iterator[Row]:
    """Rows with a wrong checksum are passed on unchanged: the reader reports them."""
    for kind, key, body, check, seen in rows:
        if kind == STANDING and isinstance(body, bytes) and checksum(kind, key, body) == check:
            fields = msgspec.msgpack.decode(body)
            fields.setdefault("leg_number", fields.get("far", -1))
            body = msgspec.msgpack.encode(fields)
            check = checksum(kind, key, body)
        yield kind, key, body, check, seen


MIGRATIONS: dict[int, Callable[[Iterable[Row]], Iterator[Row]]] = {1: migrate_to_2}
