"""Results of an experiment as Parquet files: each flush writes one part and renames it into place, so that an experiment that is
killed at any moment can be resumed."""

import os
from pathlib import Path
from typing import Any

import pyarrow
import pyarrow.parquet

MEASURES = (
    "service",
    "service_at_end",
    "stood",
    "offered",
    "legs_a_dialog",
    "p50",
    "p90",
    "p99",
    "broken",
    "tandems",
    "declined",
    "events",
    "seconds",
)
SCHEMA = pyarrow.schema(
    [
        ("cell", pyarrow.string()),
        ("policy", pyarrow.string()),
        ("seed", pyarrow.int64()),
        *((name, pyarrow.float64()) for name in MEASURES),
    ]
)


class Results:
    """All rows of one experiment, stored in a folder.

    `rows` by cell, policy and seed; `damage` describes the parts that could not be read, whose rows are missing. Raises OSError.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        self.rows: dict[tuple[str, str, int], dict[str, Any]] = {}
        self.unwritten: list[dict[str, Any]] = []
        self.damage: list[str] = []
        self.next_part = 0
        for path in sorted(folder.glob("part-*.parquet")):
            self.next_part = max(self.next_part, int(path.stem.partition("-")[2]) + 1)
            try:
                table = pyarrow.parquet.read_table(path, schema=SCHEMA)
            except (pyarrow.ArrowInvalid, OSError) as error:
                self.damage.append(f"{path.name}: {str(error).splitlines()[0]}")
                continue
            for row in table.to_pylist():
                self.rows[row["cell"], row["policy"], row["seed"]] = row

    def add(self, row: dict[str, Any]) -> None:
        """Add a row, which is written by the next `flush`."""
        self.rows[row["cell"], row["policy"], row["seed"]] = row
        self.unwritten.append(row)

    def flush(self) -> None:
        if not self.unwritten:
            return
        path = self.folder / f"part-{self.next_part:06d}.parquet"
        temporary_path = path.with_suffix(".new")
        pyarrow.parquet.write_table(pyarrow.Table.from_pylist(self.unwritten, schema=SCHEMA), temporary_path, compression="zstd")
        os.replace(temporary_path, path)
        self.next_part += 1
        self.unwritten.clear()

    def values(self, cell: str, policy: str, measure: str, seeds: list[int]) -> list[float]:
        return [self.rows[cell, policy, seed][measure] for seed in seeds]
