"""Commands whose bad input is one plain line and exit 2."""

import sys
from typing import Any, NoReturn

import click


def fail(line: str) -> NoReturn:
    click.echo(line, err=True)
    sys.exit(2)


class Command(click.Command):
    """What its work raises on bad input, by any of the packages that commands are on, becomes the line."""

    def invoke(self, ctx: click.Context) -> Any:
        try:
            return super().invoke(ctx)
        except OSError as error:
            fail(f"{error.filename or 'a file'}: {error.strerror or error}")
        except Exception as error:
            if not isinstance(error, _plain()):
                raise
            fail(str(error))


def _plain() -> tuple[type[Exception], ...]:
    """Errors that are one plain line already; their packages are loaded only once one of them is raised."""
    from ..store.record_store import BadStoreError
    from ..store.records import BadRecordError
    from ..trace.format import BadTraceError
    from ..trace.snapshot import BadSnapshotError

    return BadStoreError, BadRecordError, BadTraceError, BadSnapshotError


class Group(click.Group):
    command_class = Command
