"""Reads what the platform says of a deployment into what the controller takes: the settings object, reports on trunk
groups, states of the exchange list, reasons of rejections.

The simulator's adapter and the service both use it, so that the controller gets the same values in simulated time and on
sockets. The platform's durations are in microseconds, the controller's in whole tenths of a millisecond.
"""

from typing import Any

from .host import GwState, Rsn, TrafficType

UNIT_US = 100  # microseconds in a tenth of a millisecond
ROUNDING = 1  # between two rounded clock readings a duration may seem one unit longer than it was
NUMBER = (int, float)
RSN_BY_REASON = {
    "no_path": Rsn.NO_CIRCUIT,
    "sent_back": Rsn.TANDEM_DECLINED,
    "queue_long": Rsn.PROCESSOR_FULL,
    "line_taken": Rsn.LINES_BUSY,
    "end_queue_long": Rsn.BEYOND_TANDEM_FULL,
}
STATE_BY_NAME = {"in_service": GwState.READY, "terminating": GwState.DRAINING, "terminated": GwState.GONE}


class BadFieldError(Exception):
    """A missing or malformed value; the text names the field."""


def has_type(value: Any, expected: Any) -> bool:
    """Whether a decoded value has a type; true and false are not numbers."""
    return isinstance(value, expected) and (expected is bool or not isinstance(value, bool))


def min_duration(us: float) -> int:
    """A duration that must have passed, in tenths of a millisecond: rounded up."""
    return -(-int(us) // UNIT_US) + ROUNDING


def max_duration(us: float) -> int:
    """A duration that must not have passed yet, in tenths of a millisecond: rounded down."""
    return int(us) // UNIT_US


class SettingsReader:
    """Reads the fields of a decoded object. Raises BadFieldError, naming the field, if one is missing or ill-typed.

    `path`: the object's own name in errors, with the names of those around it.
    """

    def __init__(self, values: Any, path: str) -> None:
        self.values, self.path = values, path

    def section(self, name: str) -> "SettingsReader":
        return SettingsReader(self.get(name, dict), f"{self.path}.{name}")

    def get(self, name: str, expected: Any, default: Any = None) -> Any:
        value = self.values.get(name, default)
        if value is None:
            raise BadFieldError(f"field {self.path}.{name} is missing")
        if not has_type(value, expected):
            raise BadFieldError(f"field {self.path}.{name} is ill-typed")
        return value


def read_traffic_types(settings: SettingsReader, specifics: SettingsReader) -> list[TrafficType]:
    pools = specifics.get("PoolsByClass", list, [])
    types = []
    for index, lane in enumerate(settings.get("Lanes", list)):
        if not isinstance(lane, dict):
            raise BadFieldError(f"field {settings.path}.Lanes[{index}] is ill-typed")
        lane = SettingsReader(lane, f"{settings.path}.Lanes[{index}]")
        types.append(
            TrafficType(
                setup_objective=max_duration(lane.get("OnTime", NUMBER)),
                no_answer_time=max_duration(lane.get("Deadline", NUMBER)),
                late_share=float(lane.get("LateShare", NUMBER, 0.0)),
                importance=float(lane.get("Value", NUMBER, 1.0)),
                repeatable=lane.get("Repeat", str, "safe") == "safe",
                pools=frozenset(pools[index]) if index < len(pools) and pools[index] is not None else None,
            )
        )
    if not types:
        raise BadFieldError(f"field {settings.path}.Lanes is empty")
    return types


def controller_arguments(settings: SettingsReader) -> tuple[int, int, list[TrafficType], dict[str, Any]]:
    """The settings object as arguments of `CallController`: own exchange number, number of proxies, traffic types, and the
    keyword arguments."""
    specifics, ceilings, rules = settings.section("Specifics"), settings.section("Ceilings"), settings.section("Rules")
    return (
        specifics.get("Here", int, -1),
        settings.get("NInstances", int),
        read_traffic_types(settings, specifics),
        {
            "release_guard": min_duration(specifics.get("Guard", NUMBER, 0)),
            "max_legs": ceilings.get("MostTries", int, 1),
            "max_hold_off": (
                max_duration(ceilings.get("MaxRetryAfter", NUMBER, 0)) if ceilings.get("RetryAfter", bool, False) else 0
            ),
            "can_cancel_legs": ceilings.get("Cancelling", bool, False),
            "can_message_peers": ceilings.get("PeerMessages", bool, False),
            "has_route_advice": specifics.get("RouteAdvice", bool, False),
            "must_subscribe": settings.get("MembershipMode", str, "push") == "ask",
            "cold_share": float(rules.get("ColdFrom", NUMBER, 1.0)),
            "warm_after": min_duration(rules.get("WarmAfter", NUMBER, 0)),
            "overload_factor": float(rules.get("OverloadFactor", NUMBER, 1.0)),
            "overload_span": min_duration(rules.get("Fall", NUMBER, 0)),
        },
    )


def circuits_in_report(report: dict[str, Any]) -> tuple[int, int]:
    """Free circuits and size of the trunk group in a report; -1 for a value that it does not hold."""
    return int(report.get("idle", -1)), int(report.get("circuits", -1))


def gw_state(state: int) -> GwState:
    """An exchange's state by its number; an unknown number counts as gone."""
    return GwState(state) if state in (0, 1, 2) else GwState.GONE


def rsn_of(reason: int, gives_wait: bool) -> int:
    """The number of a rejection's reason. Where switches give a wait with "processor full", it is encoded in the same
    number and left out here."""
    return 3 if gives_wait and reason >= 16 and reason % 16 == 3 else reason
