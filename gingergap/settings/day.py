"""A scripted day: `(day ...)`, the network, its callers and what goes wrong when. Played by the stand-ins."""

from typing import Annotated, Literal, Self

from pydantic import Field, model_validator

from .edge import BoundsForm, ColdForm, Count, Milliseconds, TrafficTypeForm
from .forms import Form

Share = Annotated[float, Field(ge=0, le=1)]
Seconds = Annotated[float, Field(ge=0, le=86_400)]

KINDS = (
    "burst",
    "flood",
    "slow",
    "all-slow",
    "ageing",
    "pauses",
    "silence",
    "vanish",
    "mass-restart",
    "rolling",
    "kill-exchange",
    "kill-proxy",
    "pause-proxy",
    "split-proxies",
    "resets",
    "answers-lost",
    "district-cut",
    "groups-shrink",
    "cut",
    "stale-list",
    "list-silent",
    "messages-lost",
    "loss",
    "duplication",
    "reordering",
    "delay",
)

CHANCES = ("answers-lost", "messages-lost", "loss", "duplication", "reordering")


class DayTypeForm(TrafficTypeForm):
    """A traffic type with its part of the dialogs and how long they last on average."""

    share: Share = 1.0
    hold_s: Annotated[float, Field(gt=0)] = 3.0
    patience_s: Count = 3


class GroupsForm(Form):
    """Circuits of a pair of exchanges: a mean, how unequal they are, the part of the pairs without any."""

    mean: Count = 24
    spread: Share = 0.3
    without: Share = 0.0


class ProcessorForm(Form):
    """Work of an exchange's one processor line, in ms when warm and well."""

    setup_ms: Milliseconds = 14
    transit_ms: Milliseconds = 7
    release_ms: Milliseconds = 2
    refuse_ms: Milliseconds = 1.5
    message_ms: Milliseconds = 0.5
    turn_away_after_ms: Milliseconds = 800
    lines_busy: Share = 0.01


class CallersForm(Form):
    """What callers do: `impatient` of them hang up before they need to, `tcp` of the workshops call over TCP."""

    redials: Annotated[int, Field(ge=0)] = 3
    backoff_ms: Milliseconds = 800
    honour: Share = 0.7
    impatient: Share = 0.02
    tcp: Share = 0.3
    marks_redial: bool = True


class ListForm(Form):
    """How late the exchange list tells; `partial` of its pushes are changes only."""

    notice_ms: Milliseconds = 500
    silent_notice_ms: Milliseconds = 1_500
    add_ms: Milliseconds = 300


class FaultForm(Form):
    """One trouble. `share` is of the exchanges (or proxies) it strikes, or of the dialogs (`cut`); `factor` what its
    kind multiplies, or the part of the messages that it strikes."""

    kind: Literal[KINDS]  # type: ignore[valid-type]
    at: Seconds
    lasts: Seconds = 0
    share: Share = 0.25
    factor: Annotated[float, Field(gt=0)] = 2.0
    ms: Annotated[float, Field(ge=0)] = 300
    every_ms: Milliseconds = 1_500
    batch: Count = 1


class DayForm(Form):
    """A day of the stand-ins; `rate` is first tries a second at each exchange."""

    name: str
    seconds: Annotated[float, Field(gt=0, le=3_600)]
    seed: int = 1
    exchanges: Annotated[int, Field(ge=2, le=64)] = 4
    rate: Annotated[float, Field(gt=0)] = 10
    skew: Share = 0.2
    exchange_tcp: Share = 0.25
    traffic_type: list[DayTypeForm]
    groups: GroupsForm = GroupsForm()
    processor: ProcessorForm = ProcessorForm()
    callers: CallersForm = CallersForm()
    list_: ListForm = Field(default=ListForm(), alias="list")
    cold: ColdForm = ColdForm()
    bounds: BoundsForm = BoundsForm()
    release_guard_ms: Milliseconds = 200
    drain_grace_ms: Milliseconds = 2_000
    most_legs: Count = 6
    longest_hold_off_ms: Milliseconds = 2_000
    tell_peers: bool = True
    coordination: bool = False
    store: bool = False  # proxies remember over their restarts
    capture: bool = True  # without it nothing is judged from the traffic: for days too long to be kept
    fault: list[FaultForm] = []

    @model_validator(mode="after")
    def _whole(self) -> Self:
        if not self.traffic_type:
            raise ValueError("a traffic-type is missing")
        names = [entry.name for entry in self.traffic_type]
        for name in names:
            if names.count(name) > 1:
                raise ValueError(f"traffic-type {name!r} stands twice")
        total = sum(entry.share for entry in self.traffic_type)
        if abs(total - 1) > 0.001:
            raise ValueError(f"the shares of the traffic types add up to {total:g}, not 1")
        for place, entry in enumerate(self.traffic_type):
            if place and not entry.resource_priority:
                raise ValueError(f"traffic-type {entry.name!r} needs a resource-priority to be told apart")
        for place, fault in enumerate(self.fault):
            if fault.at + fault.lasts > self.seconds:
                raise ValueError(f"fault[{place}] ({fault.kind}) ends after the day does")
            if fault.kind in CHANCES and fault.factor > 1:
                raise ValueError(f"fault[{place}] ({fault.kind}): factor is a part of the messages, 1 at most")
            if fault.kind == "split-proxies" and not self.coordination:
                raise ValueError(f"fault[{place}] (split-proxies): needs (coordination true)")
            if not fault.lasts and fault.kind != "cut":
                raise ValueError(f"fault[{place}] ({fault.kind}): lasts is missing")
        return self


class PlacesForm(Form):
    """Where everybody on a day is: by exchange number, and the list."""

    proxy: list[str]
    exchange: list[str]  # two addresses for each number, one after the other
    member: list[str] = []  # where each proxy's coordination listens
    callers: list[str]
    exchange_list: str


class StandinForm(Form):
    """What one stand-in process is told: the day, who it is on it, and when (monotonic seconds) the day begins."""

    day: str
    number: Annotated[int, Field(ge=0)] = 0
    seed: int = 1
    epoch: float
    report: str
    places: PlacesForm
