"""Settings of an experiment, `(experiment ...)`: the day, the policies, the factors with their levels, the number of seeds."""

from typing import Annotated, Self

from pydantic import Field, model_validator

from .edge import Count
from .forms import Form

Level = Annotated[float, Field(allow_inf_nan=False)]


class ChangeForm(Form):
    """A replacement in the source of the decision module: `old`, which must occur exactly once, becomes `new`."""

    old: str
    new: str


class PolicyForm(Form):
    """The source of the decisions: the program's own module with changes, a baseline (`base`), or another version of the
    module in a file (`module`)."""

    name: str
    base: str = "module"
    module: str | None = None
    change: list[ChangeForm] = []


class FactorForm(Form):
    """A field of the day, by its path (`rate`, `groups.mean`, `fault.0.share`), and the levels to try."""

    field: str
    level: list[Level]


class ExperimentForm(Form):
    """All policies are compared with the first one, by `measure`.

    Seeds are run from `first_seed` upwards in rounds of `round`, until each comparison of a cell is significant at
    `confidence`, or known to within `tolerance`, or `most_seeds` have been run.
    """

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
    def _check_consistency(self) -> Self:
        if not self.policy:
            raise ValueError("a policy is missing")
        names = [policy.name for policy in self.policy]
        for name in names:
            if names.count(name) > 1:
                raise ValueError(f"policy {name!r} is given twice")
        for factor in self.factor:
            if not factor.level:
                raise ValueError(f"factor {factor.field!r} has no level")
        if self.round < 3:
            raise ValueError("a round of fewer than 3 seeds does not show the variance between seeds")
        return self
