"""Settings of a signalling proxy, `(edge ...)`."""

from typing import Annotated, Self

from pydantic import AfterValidator, Field, model_validator

from ..sip.fields import parse_host_port
from ..sip.message import BadMessageError
from .forms import Form


def _check_address(text: str) -> str:
    try:
        host, port = parse_host_port(text, 0)
    except BadMessageError:
        raise ValueError("not host:port") from None
    if not port or not host.replace(".", "").isdigit():
        raise ValueError("an IPv4 address and a port are expected")
    return text


Address = Annotated[str, AfterValidator(_check_address)]
Milliseconds = Annotated[float, Field(gt=0, le=3_600_000)]
Count = Annotated[int, Field(gt=0)]


class TrafficTypeForm(Form):
    """A traffic type.

    `resource_priority` lists the Resource-Priority values (RFC 4412) that select it; requests without one belong to the
    first type.
    """

    name: str
    resource_priority: list[str] = []
    circuits: Count = 1
    importance: Annotated[float, Field(gt=0)] = 1.0
    setup_objective_ms: Milliseconds
    no_answer_time_ms: Milliseconds
    late_share: Annotated[float, Field(ge=0, le=1)] = 0.0
    repeatable: bool = True


class ExchangeForm(Form):
    """An exchange: its number, its address until the exchange list reports one, and the prefixes that it serves."""

    number: Annotated[int, Field(ge=0, lt=1000)]
    id: str
    address: Address
    prefix: list[str] = []


class ColdForm(Form):
    """The agreed model of an exchange that has just started.

    It begins at `from_share` of its speed and reaches full speed after `warm_after_ms`. It must not get more than
    `multiple` times the set-ups that it can serve, counted over `span_ms`.
    """

    from_share: Annotated[float, Field(gt=0, le=1)] = 0.35
    warm_after_ms: Milliseconds = 14_000
    multiple: Annotated[float, Field(gt=1)] = 2.5
    span_ms: Milliseconds = 2_000


class BoundsForm(Form):
    """Upper limits of what a proxy may have open at once."""

    dialogs: Count = 20_000
    transactions: Count = 200_000
    connections: Count = 4_000
    queued_bytes: Count = 1 << 20


class MemberForm(Form):
    """A member of the cluster of proxies: its name, its UDP address, and the address to bind if that differs."""

    name: str
    address: Address
    listen: Address | None = None


class CoordinationForm(Form):
    """Shared periodic duties. `key` is the secret of all members; `member` lists all of them, including this one."""

    key: Annotated[str, Field(min_length=16)]
    member: list[MemberForm]
    weight: Count = 1
    period_ms: Milliseconds = 500
    lease_ms: Milliseconds = 3_000
    probe_every_ms: Milliseconds = 2_000
    probe_limit_ms: Milliseconds = 12_000


class TraceForm(Form):
    """Trace files of a proxy: their folder, the maximum size and age of a part, the disk budget of all parts, and whether
    recording begins at the start.

    With `spans_slower_ms`, dialogs with a longer set-up and those that failed are written as spans. With `metrics`, dialogs
    and legs are counted for the control socket.
    """

    folder: str
    part_mb: Annotated[float, Field(gt=0)] = 16
    part_s: Annotated[float, Field(ge=1)] = 900
    budget_mb: Annotated[float, Field(gt=0)] = 256
    recording: bool = True
    spans_slower_ms: Annotated[float, Field(ge=0)] | None = None
    metrics: bool = False

    @model_validator(mode="after")
    def _check_budget(self) -> Self:
        if self.budget_mb < 2 * self.part_mb:
            raise ValueError("budget-mb is less than two parts of part-mb each")
        return self


class StoreForm(Form):
    """State that a proxy keeps over restarts.

    Changes are written every `every_ms`, learned values are collected every `learn_every_ms`. At a start, stored
    entries of the exchange list are used up to an age of `word_lasts_s`. `most_callers` limits the number of stored callers.
    """

    folder: str
    every_ms: Milliseconds = 100
    learn_every_ms: Milliseconds = 5_000
    word_lasts_s: Annotated[float, Field(gt=0)] = 3_600
    most_callers: Count = 100_000


class EdgeForm(Form):
    """A signalling proxy; docs/edge.md describes every field.

    `here` is the number of the proxy's own exchange, `seed` that of the controller's random generator, and `control` the
    path of the control socket.
    """

    name: str
    listen: Address
    domain: str = "gingergap.invalid"
    here: Annotated[int, Field(ge=0, lt=1000)]
    seed: int = 1
    exchange: list[ExchangeForm]
    exchange_list: Address | None = None
    traffic_type: list[TrafficTypeForm]
    release_guard_ms: Milliseconds = 200
    most_legs: Count = 6
    longest_hold_off_ms: Annotated[float, Field(ge=0)] = 2_000
    default_expires_s: Count = 30
    tell_peers: bool = True
    cold: ColdForm = ColdForm()
    bounds: BoundsForm = BoundsForm()
    coordination: CoordinationForm | None = None
    control: str | None = None
    trace: TraceForm | None = None
    store: StoreForm | None = None
    background_ms_per_s: Annotated[float, Field(gt=0, le=500)] = 50
    longest_dialog_s: Annotated[float, Field(gt=0)] = 14_400
    drain_limit_s: Annotated[float, Field(gt=0)] = 60
    t1_ms: Milliseconds = 500
    log_level: str = "info"

    @model_validator(mode="after")
    def _check_consistency(self) -> Self:
        if not self.traffic_type:
            raise ValueError("a traffic-type is missing")
        for description, values in (
            ("exchange number", [entry.number for entry in self.exchange]),
            ("exchange id", [entry.id for entry in self.exchange]),
            ("traffic-type name", [entry.name for entry in self.traffic_type]),
            ("prefix", [prefix for entry in self.exchange for prefix in entry.prefix]),
            ("resource-priority", [value for entry in self.traffic_type for value in entry.resource_priority]),
        ):
            for value in values:
                if values.count(value) > 1:
                    raise ValueError(f"{description} {value!r} is given twice")
        if self.here not in [entry.number for entry in self.exchange]:
            raise ValueError(f"here: no exchange has number {self.here}")
        if self.coordination is not None:
            names = [entry.name for entry in self.coordination.member]
            for name in names:
                if names.count(name) > 1:
                    raise ValueError(f"coordination: member {name!r} is given twice")
            if self.name not in names:
                raise ValueError(f"coordination: {self.name!r} is not among the members")
        if self.log_level not in ("debug", "info", "warning", "error"):
            raise ValueError("log-level is debug, info, warning or error")
        return self
