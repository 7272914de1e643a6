"""What the platform tells of a deployment, read into what the decision module takes: the settings object, reports on
groups, the list's states, reasons. The bench's adapter and the service both read it here, so that the module is told
the same things in simulated time and on sockets. Facts only: nothing here is tuned, and nothing is decided.

Spans come in microseconds; the module's are whole tenths of a millisecond.
"""

from typing import Any

from .host import GwState, Rsn, TrafficType

UNIT = 100  # microseconds in a tenth of a millisecond
SAFETY = 1  # a span between two rounded clocks may seem one unit longer than it was
NUMBER = (int, float)
NOTES = {
    "no_path": Rsn.NO_CIRCUIT,
    "sent_back": Rsn.TANDEM_DECLINED,
    "queue_long": Rsn.PROCESSOR_FULL,
    "line_taken": Rsn.LINES_BUSY,
    "end_queue_long": Rsn.BEYOND_TANDEM_FULL,
}
STATES = {"in_service": GwState.READY, "terminating": GwState.DRAINING, "terminated": GwState.GONE}


class BadFactError(Exception):
    """Something told that is not as it should be; the text names the field."""


def is_a(value: Any, kind: Any) -> bool:
    """Whether a decoded value has a type; true and false are no numbers."""
    return isinstance(value, kind) and (kind is bool or not isinstance(value, bool))


def at_least(us: float) -> int:
    """A span that must have passed."""
    return -(-int(us) // UNIT) + SAFETY


def at_most(us: float) -> int:
    """A span that must not have passed yet."""
    return int(us) // UNIT


class Facts:
    """Reads an object, naming the field when something is missing or ill-typed (BadFactError)."""

    def __init__(self, values: Any, where: str) -> None:
        self.values, self.where = values, where

    def part(self, name: str) -> "Facts":
        return Facts(self.get(name, dict), f"{self.where}.{name}")

    def get(self, name: str, kind: Any, default: Any = None) -> Any:
        value = self.values.get(name, default)
        if value is None:
            raise BadFactError(f"field {self.where}.{name} is missing")
        if not is_a(value, kind):
            raise BadFactError(f"field {self.where}.{name} is ill-typed")
        return value


def traffic_types(facts: Facts, family: Facts) -> list[TrafficType]:
    pools = family.get("PoolsByClass", list, [])
    types = []
    for place, lane in enumerate(facts.get("Lanes", list)):
        if not isinstance(lane, dict):
            raise BadFactError(f"field {facts.where}.Lanes[{place}] is ill-typed")
        lane = Facts(lane, f"{facts.where}.Lanes[{place}]")
        types.append(
            TrafficType(
                setup_objective=at_most(lane.get("OnTime", NUMBER)),
                no_answer_time=at_most(lane.get("Deadline", NUMBER)),
                late_share=float(lane.get("LateShare", NUMBER, 0.0)),
                importance=float(lane.get("Value", NUMBER, 1.0)),
                repeatable=lane.get("Repeat", str, "safe") == "safe",
                pools=frozenset(pools[place]) if place < len(pools) and pools[place] is not None else None,
            )
        )
    if not types:
        raise BadFactError(f"field {facts.where}.Lanes is empty")
    return types


def controller_facts(start: Facts) -> tuple[int, int, list[TrafficType], dict[str, Any]]:
    """The settings object as the controller's arguments: own number, proxies, traffic types, and the rest by name."""
    family, ceilings, rules = start.part("Specifics"), start.part("Ceilings"), start.part("Rules")
    return (
        family.get("Here", int, -1),
        start.get("NInstances", int),
        traffic_types(start, family),
        {
            "release_guard": at_least(family.get("Guard", NUMBER, 0)),
            "max_legs": ceilings.get("MostTries", int, 1),
            "max_hold_off": (at_most(ceilings.get("MaxRetryAfter", NUMBER, 0)) if ceilings.get("RetryAfter", bool, False) else 0),
            "can_cancel_legs": ceilings.get("Cancelling", bool, False),
            "can_message_peers": ceilings.get("PeerMessages", bool, False),
            "has_route_advice": family.get("RouteAdvice", bool, False),
            "must_subscribe": start.get("MembershipMode", str, "push") == "ask",
            "cold_share": float(rules.get("ColdFrom", NUMBER, 1.0)),
            "warm_after": at_least(rules.get("WarmAfter", NUMBER, 0)),
            "overload_factor": float(rules.get("OverloadFactor", NUMBER, 1.0)),
            "overload_span": at_least(rules.get("Fall", NUMBER, 0)),
        },
    )


def circuits_in(report: dict[str, Any]) -> tuple[int, int]:
    """Free circuits and size of the group in a report; -1 where not told."""
    return int(report.get("idle", -1)), int(report.get("circuits", -1))


def gw_state(state: int) -> GwState:
    return GwState(state) if state in (0, 1, 2) else GwState.GONE


def rsn_of(note: int, tells_wait: bool) -> int:
    """The reason's number; a stated wait may be added to "processor full"."""
    return 3 if tells_wait and note >= 16 and note % 16 == 3 else note
