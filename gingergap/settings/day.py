"""Settings of a scripted day, `(day ...)`: the network, its callers and the faults to inject. Stand-ins and emulator run it."""

from typing import Annotated, Literal, Self

from pydantic import Field, model_validator

from .edge import BoundsForm, ColdForm, Count, Milliseconds, TrafficTypeForm
from .forms import Form

Share = Annotated[float, Field(ge=0, le=1)]
Seconds = Annotated[float, Field(ge=0, le=86_400)]

FAULT_KINDS = (
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

PROBABILITY_KINDS = ("answers-lost", "messages-lost", "loss", "duplication", "reordering")


class DayTypeForm(TrafficTypeForm):
    """A traffic type as callers offer it.

    `share` is its share of all dialogs, `hold_s` their mean duration, and `patience_s` the time that a caller waits for
    a final answer.
    """

    share: Share = 1.0
    hold_s: Annotated[float, Field(gt=0)] = 3.0
    patience_s: Count = 3


class GroupsForm(Form):
    """Trunk group sizes: the mean number of circuits between two exchanges, the relative spread around the mean, and the
    share of the pairs without a trunk group."""

    mean: Count = 24
    spread: Share = 0.3
    without: Share = 0.0


class ProcessorForm(Form):
    """Processing times of an exchange, which serves one message at a time, at its full speed.

    A set-up is declined when its expected wait exceeds `turn_away_after_ms`. `lines_busy` is the share of set-ups whose
    called line is busy.
    """

    setup_ms: Milliseconds = 14
    transit_ms: Milliseconds = 7
    release_ms: Milliseconds = 2
    refuse_ms: Milliseconds = 1.5
    message_ms: Milliseconds = 0.5
    turn_away_after_ms: Milliseconds = 800
    lines_busy: Share = 0.01


class CallersForm(Form):
    """How callers behave.

    `redials` is the maximum number of redials, `backoff_ms` the mean wait before one, `honour` the share of callers that
    obey Retry-After, `impatient` the share that hang up before their time is up, and `tcp` the share that call over TCP.
    """

    redials: Annotated[int, Field(ge=0)] = 3
    backoff_ms: Milliseconds = 800
    honour: Share = 0.7
    impatient: Share = 0.02
    tcp: Share = 0.3
    marks_redial: bool = True


class ListForm(Form):
    """Delay with which the exchange list reports a stopped exchange (`notice_ms` after an orderly stop, `silent_notice_ms`
    after a crash) and a started one (`add_ms`)."""

    notice_ms: Milliseconds = 500
    silent_notice_ms: Milliseconds = 1_500
    add_ms: Milliseconds = 300


class FaultForm(Form):
    """A fault to inject, from `at` for `lasts` seconds.

    `share` is the share of the exchanges or proxies that it affects, or of the dialogs (`cut`). `factor` is what its kind
    multiplies, or the share of the messages that it affects (kinds in PROBABILITY_KINDS).
    """

    kind: Literal[FAULT_KINDS]  # type: ignore[valid-type]
    at: Seconds
    lasts: Seconds = 0
    share: Share = 0.25
    factor: Annotated[float, Field(gt=0)] = 2.0
    ms: Annotated[float, Field(ge=0)] = 300
    every_ms: Milliseconds = 1_500
    batch: Count = 1


class DayForm(Form):
    """A scripted day of `seconds`. `rate` is the number of new calls per second and exchange, without redials."""

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
    store: bool = False  # proxies keep their state over restarts
    capture: bool = True  # off for days too long to store the traffic; then no rule is checked
    fault: list[FaultForm] = []

    @model_validator(mode="after")
    def _check_consistency(self) -> Self:
        if not self.traffic_type:
            raise ValueError("a traffic-type is missing")
        names = [entry.name for entry in self.traffic_type]
        for name in names:
            if names.count(name) > 1:
                raise ValueError(f"traffic-type {name!r} is given twice")
        total = sum(entry.share for entry in self.traffic_type)
        if abs(total - 1) > 0.001:
            raise ValueError(f"the shares of the traffic types add up to {total:g}, not 1")
        for index, entry in enumerate(self.traffic_type):
            if index and not entry.resource_priority:
                raise ValueError(f"traffic-type {entry.name!r} needs a resource-priority: only the first may have none")
        for index, fault in enumerate(self.fault):
            if fault.at + fault.lasts > self.seconds:
                raise ValueError(f"fault[{index}] ({fault.kind}) ends after the day")
            if fault.kind in PROBABILITY_KINDS and fault.factor > 1:
                raise ValueError(f"fault[{index}] ({fault.kind}): factor is a share of the messages, 1 at most")
            if fault.kind == "split-proxies" and not self.coordination:
                raise ValueError(f"fault[{index}] (split-proxies): needs (coordination true)")
            if not fault.lasts and fault.kind != "cut":
                raise ValueError(f"fault[{index}] ({fault.kind}): lasts is missing")
        return self


class PlacesForm(Form):
    """Addresses of all processes of a day, host:port, in the order of the exchange numbers."""

    proxy: list[str]
    exchange: list[str]  # two consecutive addresses per exchange
    member: list[str] = []  # UDP address of each proxy's coordination
    callers: list[str]
    exchange_list: str


class StandinForm(Form):
    """Settings of one stand-in process, `(standin ...)`.

    `day` is the path of the day's file, `number` the exchange number that the process belongs to, `epoch` the start of
    the day in seconds of the monotonic clock, and `report` the path for its results.
    """

    day: str
    number: Annotated[int, Field(ge=0)] = 0
    seed: int = 1
    epoch: float
    report: str
    places: PlacesForm
