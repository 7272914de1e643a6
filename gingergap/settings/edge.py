"""What one signalling proxy is told at start: `(edge ...)`."""

from typing import Annotated, Self

from pydantic import AfterValidator, Field, model_validator

from ..sip.fields import host_port
from ..sip.message import BadMessageError
from .forms import Form


def _address(text: str) -> str:
    try:
        host, port = host_port(text, 0)
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
    drain_limit_s: Annotated[float, Field(gt=0)] = 60
    t1_ms: Milliseconds = 500
    log_level: str = "info"

    @model_validator(mode="after")
    def _whole(self) -> Self:
        if not self.traffic_type:
            raise ValueError("a traffic-type is missing")
        for what, values in (("exchange number", [entry.number for entry in self.exchange]),
                             ("exchange id", [entry.id for entry in self.exchange]),
                             ("traffic-type name", [entry.name for entry in self.traffic_type]),
                             ("prefix", [p for entry in self.exchange for p in entry.prefix]),
                             ("resource-priority", [p for t in self.traffic_type
                                                    for p in t.resource_priority])):
            for value in values:
                if values.count(value) > 1:
                    raise ValueError(f"{what} {value!r} stands twice")
        if self.here not in [entry.number for entry in self.exchange]:
            raise ValueError(f"here: no exchange has number {self.here}")
        if self.log_level not in ("debug", "info", "warning", "error"):
            raise ValueError("log-level is debug, info, warning or error")
        return self
