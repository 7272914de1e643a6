"""Circuits in use, shared by the exchange processes of a day through a small file: each cell has one writer, the
exchange that the set-up reaches, and both ends of a group read both cells. Two ends that seize the last circuit at
the same moment may overshoot by one, as on a real group.
"""

import mmap
import struct
from pathlib import Path

CELL = struct.Struct("=i")


class SharedCircuits:
    """`cell(a, b)` counts circuits of the group a-b held by set-ups that reached b."""

    def __init__(self, path: Path, exchanges: int, create: bool = False) -> None:
        self.exchanges = exchanges
        size = CELL.size * exchanges * exchanges
        if create:
            path.write_bytes(bytes(size))
        with path.open("r+b") as file:
            self.map = mmap.mmap(file.fileno(), size)

    def _at(self, source: int, target: int) -> int:
        return CELL.size * (source * self.exchanges + target)

    def held(self, a: int, b: int) -> int:
        return CELL.unpack_from(self.map, self._at(a, b))[0] + CELL.unpack_from(self.map, self._at(b, a))[0]

    def add(self, source: int, target: int, width: int) -> None:
        at = self._at(source, target)
        CELL.pack_into(self.map, at, CELL.unpack_from(self.map, at)[0] + width)

    def clear(self, target: int) -> None:
        """An exchange starts: nothing that reached it before is held any more."""
        for source in range(self.exchanges):
            CELL.pack_into(self.map, self._at(source, target), 0)

    def close(self) -> None:
        self.map.close()
