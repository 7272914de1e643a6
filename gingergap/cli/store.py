"""`gingergap store ...`: what operators do with what a proxy keeps over restarts. The proxy must be down, or use `state`."""

import sys
from pathlib import Path
from typing import Any

import click

from .lines import Group, fail

FOLDER = click.argument("folder", type=click.Path(path_type=Path))


@click.group(cls=Group)
def store() -> None:
    """What a proxy keeps over restarts. FOLDER is the one named in its (store ...) settings."""


def _book(folder: Path) -> Any:
    from ..store.record_store import FILE_NAME, RecordStore

    if not (folder / FILE_NAME).exists():
        fail(f"{folder}: no store there")
    book = RecordStore(folder)
    for line in book.damage:
        click.echo(f"damage: {line}")
    return book


@store.command("info")
@FOLDER
def info(folder: Path) -> None:
    """How many records of each kind, how large, when last written."""
    import time

    from ..store.records import ALIVE, SCHEMA_VERSION
    from .tables import rows

    book = _book(folder)
    alive = next((item.body for item in book.items(ALIVE)), None)
    rows(f"schema {SCHEMA_VERSION}, {book.size()} bytes", [{"kind": kind, "records": many} for kind, many in book.counts().items()])
    if alive is not None:
        click.echo(f"written by {alive.instance}, last {time.time() - alive.wall:.1f} s ago by the wall clock")
    book.close()


@store.command("verify")
@FOLDER
def verify(folder: Path) -> None:
    """Check the pages and every record: exit 0, or 1 with a line for each fault."""
    book = _book(folder)
    faults = [*book.damage, *book.verify()]
    for line in faults[len(book.damage) :]:
        click.echo(line)
    click.echo(f"{sum(book.counts().values())} records, {len(faults)} faults")
    book.close()
    sys.exit(1 if faults else 0)


@store.command("export")
@FOLDER
@click.option("--out", type=click.Path(path_type=Path), required=True, help="The new file, a JSON object a line.")
def export(folder: Path, out: Path) -> None:
    """Write all records as JSON lines: to look at, to keep, to move to another machine."""
    import msgspec

    from ..store.records import RECORD_TYPES, SCHEMA_VERSION

    book = _book(folder)
    many = 0
    with out.open("xb") as file:
        file.write(msgspec.json.encode({"gingergap store": SCHEMA_VERSION}) + b"\n")
        for kind in RECORD_TYPES:
            for item in book.items(kind):
                file.write(msgspec.json.encode({"kind": kind, "key": item.key, "seen": item.seen, "body": item.body}) + b"\n")
                many += 1
    book.close()
    click.echo(f"{out}: {many} records")


@store.command("import")
@FOLDER
@click.option("--from", "source", type=click.Path(path_type=Path), required=True, help="A file that `store export` wrote.")
def import_(folder: Path, source: Path) -> None:
    """Put exported records into a store, all or none; records of the same key are replaced."""
    from ..store.export_reader import read_export
    from ..store.record_store import RecordStore

    changes = read_export(source)
    book = RecordStore(folder)
    book.commit(changes)
    book.close()
    click.echo(f"{folder}: {len(changes)} records put")


@store.command("compact")
@FOLDER
def compact(folder: Path) -> None:
    """Give room back that removed records took."""
    book = _book(folder)
    before, after = book.compact()
    book.close()
    click.echo(f"{folder}: {before} bytes before, {after} after")


@store.command("state")
@click.option("--control", required=True, help="The proxy's control socket.")
def state(control: str) -> None:
    """What a running proxy has written and remembered."""
    from ..control.client import NoAnswerError, ask
    from .tables import rows

    try:
        rows("store", [{"what": name, "value": str(value)} for name, value in ask(control, "store").items()])
    except NoAnswerError as error:
        fail(str(error))
