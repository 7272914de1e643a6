"""From each schema to the next: rows in, rows out. A row is (kind, key, body, checksum, seen).

1 to 2: a dialog that stands names the number of its leg's exchange too, so that circuits can be set against the switch's own
count; where it is not known the leg counts as direct.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import Any

import msgspec

from .records import STANDING, checksum

Row = tuple[Any, ...]


def to_2(rows: Iterable[Row]) -> Iterator[Row]:
    """Rows whose checksum does not hold go on as they are: the reader tells of them."""
    for kind, key, body, check, seen in rows:
        if kind == STANDING and isinstance(body, bytes) and checksum(kind, key, body) == check:
            fields = msgspec.msgpack.decode(body)
            fields.setdefault("leg_number", fields.get("far", -1))
            body = msgspec.msgpack.encode(fields)
            check = checksum(kind, key, body)
        yield kind, key, body, check, seen


MIGRATIONS: dict[int, Callable[[Iterable[Row]], Iterator[Row]]] = {1: to_2}
