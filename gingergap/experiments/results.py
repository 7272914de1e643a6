"""Results as Parquet: one part for each flush, whole or not there at all, so that an experiment killed at any moment goes on."""

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
    """All rows of one experiment in a folder. Raises OSError; a part that can't be read is told in `damage` and left out."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        self.rows: dict[tuple[str, str, int], dict[str, Any]] = {}
        self.held: list[dict[str, Any]] = []
        self.damage: list[str] = []
        self.parts = 0
        for path in sorted(folder.glob("part-*.parquet")):
            self.parts = max(self.parts, int(path.stem.partition("-")[2]) + 1)
            try:
                table = pyarrow.parquet.read_table(path, schema=SCHEMA)
            except (pyarrow.ArrowInvalid, OSError) as error:
                self.damage.append(f"{path.name}: {str(error).splitlines()[0]}")
                continue
            for row in table.to_pylist():
                self.rows[row["cell"], row["policy"], row["seed"]] = row

    def put(self, row: dict[str, Any]) -> None:
        self.rows[row["cell"], row["policy"], row["seed"]] = row
        self.held.append(row)

    def flush(self) -> None:
        if not self.held:
            return
        path = self.folder / f"part-{self.parts:06d}.parquet"
        aside = path.with_suffix(".new")
        pyarrow.parquet.write_table(pyarrow.Table.from_pylist(self.held, schema=SCHEMA), aside, compression="zstd")
        os.replace(aside, path)
        self.parts += 1
        self.held.clear()

    def values(self, cell: str, policy: str, measure: str, seeds: list[int]) -> list[float]:
        return [self.rows[cell, policy, seed][measure] for seed in seeds]
