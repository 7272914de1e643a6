"""The factorial design of an experiment: one cell, with its day, for each combination of factor levels. No I/O."""

from collections.abc import Iterator
from itertools import product
from typing import Any, NamedTuple

from pydantic import ValidationError

from ..settings.day import DayForm
from ..settings.experiment import ExperimentForm


class BadExperimentError(Exception):
    """The experiment can't be run; the message is one line."""


class Cell(NamedTuple):
    """One combination of levels, in the order of the factors, and the day that results from it."""

    levels: tuple[float, ...]
    day: DayForm

    def key(self) -> str:
        return ",".join(f"{level:g}" for level in self.levels)


class Run(NamedTuple):
    """One emulated day to be run: a cell by its key, a policy by its name, and the seed."""

    cell: str
    policy: str
    seed: int


def create_cells(form: ExperimentForm, day: DayForm) -> Iterator[Cell]:
    """The cells of an experiment on a day. Raises BadExperimentError for a factor that is not a field of the day, or a level that
    the field does not accept."""
    for levels in product(*(factor.level for factor in form.factor)):
        values = day.model_dump(by_alias=False)
        for factor, level in zip(form.factor, levels, strict=True):
            _set_field(values, factor.field, level)
        exchanges = values["exchanges"]  # the emulator allows more exchanges than a day on sockets
        try:
            cell_day = DayForm.model_validate({**values, "exchanges": min(exchanges, 64)})
        except ValidationError as error:
            first = error.errors()[0]
            raise BadExperimentError(f"levels {levels}: {'.'.join(map(str, first['loc']))}: {first['msg']}") from None
        yield Cell(levels, cell_day.model_copy(update={"exchanges": int(exchanges)}))


def _set_field(values: Any, field: str, level: float) -> None:
    *parents, last = field.replace("-", "_").split(".")
    container = values
    for part in parents:
        container = _child(container, part, field)
    key = _key_of(container, last, field)
    container[key] = (
        type(container[key])(level) if isinstance(container[key], int) and not isinstance(container[key], bool) else level
    )


def _child(container: Any, part: str, field: str) -> Any:
    return container[_key_of(container, part, field)]


def _key_of(container: Any, part: str, field: str) -> Any:
    """The list index or dictionary key that one part of a field's path names."""
    if isinstance(container, list) and part.isdigit() and int(part) < len(container):
        return int(part)
    if isinstance(container, dict) and part in container:
        return part
    if isinstance(container, dict) and f"{part}_" in container:
        return f"{part}_"
    raise BadExperimentError(f"factor {field!r}: the day has no {part!r}")
