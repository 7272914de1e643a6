"""Commands that report invalid input as a single line on standard error and exit with status 2."""

import sys
from typing import Any, NoReturn

import click


def fail(line: str) -> NoReturn:
    click.echo(line, err=True)
    sys.exit(2)


class SingleLineErrorCommand(click.Command):
    """Reports the errors that the program's packages raise for invalid input, and OSError, as a single line."""

    def invoke(self, ctx: click.Context) -> Any:
        try:
            return super().invoke(ctx)
        except OSError as error:
            fail(f"{error.filename or 'a file'}: {error.strerror or error}")
        except Exception as error:
            if not isinstance(error, _single_line_errors()):
                raise
            fail(str(error))


def _single_line_errors() -> tuple[type[Exception], ...]:
    """Errors whose text is a single line. Their packages are imported only after an error, to keep start-up short."""
    from ..store.record_store import BadStoreError
    from ..store.records import BadRecordError
    from ..trace.format import BadTraceError
    from ..trace.snapshot import BadSnapshotError

    return BadStoreError, BadRecordError, BadTraceError, BadSnapshotError


class SingleLineErrorGroup(click.Group):
    command_class = SingleLineErrorCommand
