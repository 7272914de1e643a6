"""An experiment: `(experiment ...)`, which day, which policies, which factors at which levels, how many seeds."""

from typing import Annotated, Self

from pydantic import Field, model_validator

from .edge import Count
from .forms import Form

Level = Annotated[float, Field(allow_inf_nan=False)]


class ChangeForm(Form):
    """A piece of the module's text and what stands in its place; the piece must be there once."""

    old: str
    new: str


class PolicyForm(Form):
    """Which decisions: the program's own with changes, a baseline (`base`), or another version from a file (`module`)."""

    name: str
    base: str = "module"
    module: str | None = None
    change: list[ChangeForm] = []


class FactorForm(Form):
    """A field of the day, by its place (`rate`, `groups.mean`, `fault.0.share`), and the levels that it takes."""

    field: str
    level: list[Level]


class ExperimentForm(Form):
    """Policies are compared with the first. Seeds go on from `first_seed` in rounds of `round` until each comparison of a cell is
    clear, or within `tolerance`, or `most_seeds` are done."""

    name: str
    day: str
    policy: list[PolicyForm]
    factor: list[FactorForm] = []
    measure: str = "service"
    first_seed: int = 1
    round: Count = 6
    most_seeds: Count = 24
    tolerance: Annotated[float, Field(gt=0)] = 0.01
    confidence: Annotated[float, Field(gt=0.5, lt=1)] = 0.95

    @model_validator(mode="after")
    def _whole(self) -> Self:
        if not self.policy:
            raise ValueError("a policy is missing")
        names = [policy.name for policy in self.policy]
        for name in names:
            if names.count(name) > 1:
                raise ValueError(f"policy {name!r} stands twice")
        for factor in self.factor:
            if not factor.level:
                raise ValueError(f"factor {factor.field!r} has no level")
        if self.round < 3:
            raise ValueError("a round of fewer than 3 seeds tells nothing of their spread")
        return self
