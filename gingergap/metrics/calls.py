"""Counts the outcomes of dialogs and legs from their timelines, with the Prometheus client. Read over the control socket."""

from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest

from ..host import LegEnd
from ..trace.timeline import ESTABLISHED, DialogTimeline

BUCKETS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)  # upper bounds in seconds, for plots only


class CallMetrics:
    """`types` are the names of the traffic types, by index."""

    def __init__(self, types: list[str]) -> None:
        self.types = types
        self.registry = CollectorRegistry()
        self.dialogs = Counter(
            "gingergap_dialogs", "Dialogs by traffic type, way and end", ("type", "way", "final", "cause"), registry=self.registry
        )
        self.legs = Counter("gingergap_legs", "Legs by exchange and end", ("exchange", "end"), registry=self.registry)
        self.setup_seconds = Histogram(
            "gingergap_set_up_seconds",
            "From arrival to standing",
            ("type", "way"),
            buckets=BUCKETS,
            registry=self.registry,
        )

    def observe(self, timeline: DialogTimeline) -> None:
        """Counts a finished dialog and its legs."""
        traffic_type = self.types[timeline.traffic_type]
        way = (
            "transit"
            if timeline.transit
            else "tandem"
            if any(leg.exchange != timeline.destination for leg in timeline.legs)
            else "direct"
        )
        self.dialogs.labels(traffic_type, way, timeline.outcome, timeline.failure_cause()).inc()
        if timeline.outcome == ESTABLISHED:
            self.setup_seconds.labels(traffic_type, way).observe(timeline.final_answer_delay / 10_000)
        for leg in timeline.legs:
            end = "stood" if leg.established_at >= 0 else LegEnd(leg.end).name.lower() if leg.end is not None else "out"
            self.legs.labels(str(leg.exchange), end).inc()

    def render(self) -> str:
        """All metrics in Prometheus's text format."""
        return generate_latest(self.registry).decode()
