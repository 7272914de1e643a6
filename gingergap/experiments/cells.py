"""What an experiment consists of: a cell for each combination of levels, each with its day. Pure."""

from collections.abc import Iterator
from itertools import product
from typing import Any, NamedTuple

from pydantic import ValidationError

from ..settings.day import DayForm
from ..settings.experiment import ExperimentForm


class BadExperimentError(Exception):
    """One plain line."""


class Cell(NamedTuple):
    """`levels` in the order of the factors."""

    levels: tuple[float, ...]
    day: DayForm

    def key(self) -> str:
        return ",".join(f"{level:g}" for level in self.levels)


class Work(NamedTuple):
    """One emulated day to be run."""

    cell: str
    policy: str
    seed: int


def cells(form: ExperimentForm, day: DayForm) -> Iterator[Cell]:
    """Raises BadExperimentError for a factor that is no field of the day, or a level that it can't take."""
    for levels in product(*(factor.level for factor in form.factor)):
        values = day.model_dump(by_alias=False)
        for factor, level in zip(form.factor, levels, strict=True):
            _put(values, factor.field, level)
        largest = values["exchanges"]  # sizes past what sockets carry are the emulator's own
        try:
            made = DayForm.model_validate({**values, "exchanges": min(largest, 64)})
        except ValidationError as error:
            first = error.errors()[0]
            raise BadExperimentError(f"levels {levels}: {'.'.join(map(str, first['loc']))}: {first['msg']}") from None
        yield Cell(levels, made.model_copy(update={"exchanges": int(largest)}))


def _put(values: Any, field: str, level: float) -> None:
    *path, last = field.replace("-", "_").split(".")
    here = values
    for part in path:
        here = _part(here, part, field)
    at = _place(here, last, field)
    here[at] = type(here[at])(level) if isinstance(here[at], int) and not isinstance(here[at], bool) else level


def _part(here: Any, part: str, field: str) -> Any:
    return here[_place(here, part, field)]


def _place(here: Any, part: str, field: str) -> Any:
    if isinstance(here, list) and part.isdigit() and int(part) < len(here):
        return int(part)
    if isinstance(here, dict) and part in here:
        return part
    if isinstance(here, dict) and f"{part}_" in here:
        return f"{part}_"
    raise BadExperimentError(f"factor {field!r}: the day has no {part!r}")
