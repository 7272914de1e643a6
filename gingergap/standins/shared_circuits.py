"""Circuits in use of each trunk group, shared by the exchange processes of a day through a small memory-mapped file.

Each cell has one writer, the exchange that the set-up reaches; both ends of a group read both cells. If both ends seize the
last circuit at the same moment, one circuit too many is in use, as on a real group.
"""

import mmap
import struct
from pathlib import Path

CELL = struct.Struct("=i")


class SharedCircuits:
    """Cell (a, b) of the file counts the circuits of group a-b held by set-ups that reached b.

    `create` writes a new file with all cells at zero.
    """

    def __init__(self, path: Path, exchanges: int, create: bool = False) -> None:
        self.exchanges = exchanges
        size = CELL.size * exchanges * exchanges
        if create:
            path.write_bytes(bytes(size))
        with path.open("r+b") as file:
            self.mapping = mmap.mmap(file.fileno(), size)

    def _offset(self, source: int, target: int) -> int:
        return CELL.size * (source * self.exchanges + target)

    def held(self, a: int, b: int) -> int:
        """Circuits in use of the group between two exchanges."""
        return CELL.unpack_from(self.mapping, self._offset(a, b))[0] + CELL.unpack_from(self.mapping, self._offset(b, a))[0]

    def add(self, source: int, target: int, circuits: int) -> None:
        """Add to the circuits held by set-ups from `source` that reached `target`; a negative count frees them."""
        offset = self._offset(source, target)
        CELL.pack_into(self.mapping, offset, CELL.unpack_from(self.mapping, offset)[0] + circuits)

    def clear(self, target: int) -> None:
        """Free all circuits held by set-ups that reached `target`, for an exchange that starts."""
        for source in range(self.exchanges):
            CELL.pack_into(self.mapping, self._offset(source, target), 0)

    def close(self) -> None:
        self.mapping.close()
