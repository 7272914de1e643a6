"""What became of dialogs and legs, counted from their stories by the Prometheus client. Asked for at the control socket."""

from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest

from ..host import LegEnd
from ..trace.timeline import ESTABLISHED, DialogTimeline

BUCKETS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)  # seconds: shapes of a plot, no decision


class CallFigures:
    """`types` names the traffic types."""

    def __init__(self, types: list[str]) -> None:
        self.types = types
        self.registry = CollectorRegistry()
        self.dialogs = Counter(
            "gingergap_dialogs", "Dialogs by traffic type, way and end", ("type", "way", "final", "cause"), registry=self.registry
        )
        self.legs = Counter("gingergap_legs", "Legs by exchange and end", ("exchange", "end"), registry=self.registry)
        self.set_up = Histogram(
            "gingergap_set_up_seconds", "From arrival to standing", ("type", "way"), buckets=BUCKETS, registry=self.registry
        )

    def over(self, story: DialogTimeline) -> None:
        kind = self.types[story.kind]
        way = "transit" if story.transit else "tandem" if any(leg.number != story.far for leg in story.legs) else "direct"
        self.dialogs.labels(kind, way, story.final, story.cause()).inc()
        if story.final == ESTABLISHED:
            self.set_up.labels(kind, way).observe(story.took / 10_000)
        for leg in story.legs:
            end = "stood" if leg.stood >= 0 else LegEnd(leg.how).name.lower() if leg.how is not None else "out"
            self.legs.labels(str(leg.number), end).inc()

    def text(self) -> str:
        return generate_latest(self.registry).decode()
