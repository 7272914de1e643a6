"""What one signalling proxy is told at start: `(edge ...)`."""

from typing import Annotated, Self

from pydantic import AfterValidator, Field, model_validator

from ..sip.fields import parse_host_port
from ..sip.message import BadMessageError
from .forms import Form


def _address(text: str) -> str:
    try:
        host, port = parse_host_port(text, 0)
    except BadMessageError:
        raise ValueError("not host:port") from None
    if not port or not host.replace(".", "").isdigit():
        raise ValueError("an IPv4 address and a port are expected")
    return text


Address = Annotated[str, AfterValidator(_address)]
Milliseconds = Annotated[float, Field(gt=0, le=3_600_000)]
Count = Annotated[int, Field(gt=0)]


class TrafficTypeForm(Form):
    """One traffic type. `resource_priority` lists the RFC 4412 values that mean it; the first type is what
    requests without one count as."""

    name: str
    resource_priority: list[str] = []
    circuits: Count = 1
    importance: Annotated[float, Field(gt=0)] = 1.0
    setup_objective_ms: Milliseconds
    no_answer_time_ms: Milliseconds
    late_share: Annotated[float, Field(ge=0, le=1)] = 0.0
    repeatable: bool = True


class ExchangeForm(Form):
    """An exchange: its place among them, where it is until the list tells, and the numbers it serves."""

    number: Annotated[int, Field(ge=0, lt=1000)]
    id: str
    address: Address
    prefix: list[str] = []


class ColdForm(Form):
    """What is agreed of exchanges that have just started."""

    from_share: Annotated[float, Field(gt=0, le=1)] = 0.35
    warm_after_ms: Milliseconds = 14_000
    multiple: Annotated[float, Field(gt=1)] = 2.5
    span_ms: Milliseconds = 2_000


class BoundsForm(Form):
    """How much of everything may be open at once."""

    dialogs: Count = 20_000
    transactions: Count = 200_000
    connections: Count = 4_000
    queued_bytes: Count = 1 << 20


class MemberForm(Form):
    """A proxy that may coordinate: its name, where datagrams for it go, and where it binds if that is elsewhere."""

    name: str
    address: Address
    listen: Address | None = None


class CoordinationForm(Form):
    """Shared periodic duties. `key` is shared by all members; `member` lists every one of them, this one too."""

    key: Annotated[str, Field(min_length=16)]
    member: list[MemberForm]
    weight: Count = 1
    period_ms: Milliseconds = 500
    lease_ms: Milliseconds = 3_000
    probe_every_ms: Milliseconds = 2_000
    probe_limit_ms: Milliseconds = 12_000


class TraceForm(Form):
    """Where the trace of a proxy goes, how large or old a part becomes, how much all parts may take, and whether it is
    recorded from the start on. With `spans_slower_ms`, dialogs that took longer, or did not stand, are written as spans;
    with `metrics` dialogs and legs are counted for the control socket."""

    folder: str
    part_mb: Annotated[float, Field(gt=0)] = 16
    part_s: Annotated[float, Field(ge=1)] = 900
    budget_mb: Annotated[float, Field(gt=0)] = 256
    recording: bool = True
    spans_slower_ms: Annotated[float, Field(ge=0)] | None = None
    metrics: bool = False

    @model_validator(mode="after")
    def _room(self) -> Self:
        if self.budget_mb < 2 * self.part_mb:
            raise ValueError("budget-mb is less than two parts of part-mb each")
        return self


class StoreForm(Form):
    """What is kept over restarts: where, how often changes are written and what was learned is looked through, how long the
    list's word on an exchange counts at a start, and of how many callers something is kept."""

    folder: str
    every_ms: Milliseconds = 100
    learn_every_ms: Milliseconds = 5_000
    word_lasts_s: Annotated[float, Field(gt=0)] = 3_600
    most_callers: Count = 100_000


class EdgeForm(Form):
    """A signalling proxy. The seed starts the module's chance; the rest is said in docs/edge.md."""

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
    def _whole(self) -> Self:
        if not self.traffic_type:
            raise ValueError("a traffic-type is missing")
        for what, values in (
            ("exchange number", [entry.number for entry in self.exchange]),
            ("exchange id", [entry.id for entry in self.exchange]),
            ("traffic-type name", [entry.name for entry in self.traffic_type]),
            ("prefix", [p for entry in self.exchange for p in entry.prefix]),
            ("resource-priority", [p for t in self.traffic_type for p in t.resource_priority]),
        ):
            for value in values:
                if values.count(value) > 1:
                    raise ValueError(f"{what} {value!r} stands twice")
        if self.here not in [entry.number for entry in self.exchange]:
            raise ValueError(f"here: no exchange has number {self.here}")
        if self.coordination is not None:
            names = [entry.name for entry in self.coordination.member]
            for name in names:
                if names.count(name) > 1:
                    raise ValueError(f"coordination: member {name!r} stands twice")
            if self.name not in names:
                raise ValueError(f"coordination: {self.name!r} is not among the members")
        if self.log_level not in ("debug", "info", "warning", "error"):
            raise ValueError("log-level is debug, info, warning or error")
        return self
