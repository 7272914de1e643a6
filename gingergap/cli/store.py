"""`gingergap store ...`: inspect and move the state that a proxy keeps over restarts.

All commands but `state` need the proxy to be stopped.
"""

import sys
from pathlib import Path
from typing import Any

import click

from .errors import SingleLineErrorGroup, fail

FOLDER = click.argument("folder", type=click.Path(path_type=Path))


@click.group(cls=SingleLineErrorGroup)
def store() -> None:
    """State that a proxy keeps over restarts. FOLDER is the folder of its (store ...) settings."""


def _open_store(folder: Path) -> Any:
    from ..store.record_store import FILE_NAME, RecordStore

    if not (folder / FILE_NAME).exists():
        fail(f"{folder}: no store in this folder")
    record_store = RecordStore(folder)
    for line in record_store.damage:
        click.echo(f"damage: {line}")
    return record_store


@store.command("info")
@FOLDER
def info(folder: Path) -> None:
    """Show the number of records by kind, the size, and when the store was last written."""
    import time

    from ..store.records import ALIVE, SCHEMA_VERSION
    from .tables import print_table

    record_store = _open_store(folder)
    heartbeat = next((item.body for item in record_store.items(ALIVE)), None)
    print_table(
        f"schema {SCHEMA_VERSION}, {record_store.size()} bytes",
        [{"kind": kind, "records": count} for kind, count in record_store.counts().items()],
    )
    if heartbeat is not None:
        click.echo(f"written by {heartbeat.instance}, last {time.time() - heartbeat.wall:.1f} s ago by the wall clock")
    record_store.close()


@store.command("verify")
@FOLDER
def verify(folder: Path) -> None:
    """Check the database pages and every record: exit 0, or 1 with a line for each fault."""
    record_store = _open_store(folder)
    faults = [*record_store.damage, *record_store.verify()]
    for line in faults[len(record_store.damage) :]:
        click.echo(line)
    click.echo(f"{sum(record_store.counts().values())} records, {len(faults)} faults")
    record_store.close()
    sys.exit(1 if faults else 0)


@store.command("export")
@FOLDER
@click.option("--out", type=click.Path(path_type=Path), required=True, help="The new file, with one JSON object per line.")
def export(folder: Path, out: Path) -> None:
    """Write all records as JSON lines, to inspect, back up or move them to another machine."""
    import msgspec

    from ..store.records import RECORD_TYPES, SCHEMA_VERSION

    record_store = _open_store(folder)
    count = 0
    with out.open("xb") as file:
        file.write(msgspec.json.encode({"gingergap store": SCHEMA_VERSION}) + b"\n")
        for kind in RECORD_TYPES:
            for item in record_store.items(kind):
                file.write(msgspec.json.encode({"kind": kind, "key": item.key, "seen": item.seen, "body": item.body}) + b"\n")
                count += 1
    record_store.close()
    click.echo(f"{out}: {count} records")


@store.command("import")
@FOLDER
@click.option("--from", "source", type=click.Path(path_type=Path), required=True, help="A file that `store export` wrote.")
def import_(folder: Path, source: Path) -> None:
    """Import exported records into a store, all or none. Records with the same key are replaced."""
    from ..store.export_reader import read_export
    from ..store.record_store import RecordStore

    changes = read_export(source)
    record_store = RecordStore(folder)
    record_store.commit(changes)
    record_store.close()
    click.echo(f"{folder}: {len(changes)} records imported")


@store.command("compact")
@FOLDER
def compact(folder: Path) -> None:
    """Reclaim the disk space of removed records."""
    record_store = _open_store(folder)
    before, after = record_store.compact()
    record_store.close()
    click.echo(f"{folder}: {before} bytes before, {after} after")


@store.command("state")
@click.option("--control", required=True, help="The proxy's control socket.")
def state(control: str) -> None:
    """Show what a running proxy has written and restored."""
    from ..control.client import NoAnswerError, ask
    from .tables import print_table

    try:
        print_table("store", [{"what": name, "value": str(value)} for name, value in ask(control, "store").items()])
    except NoAnswerError as error:
        fail(str(error))
