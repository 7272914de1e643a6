"""Lets versions of the decisions from before call_controller.py, then called brain.py, be played and compared.

Such a version has other names for its event methods, for the actions that it asks of its host, for its constructor's
arguments, for its fields and for the fields of two types of host.py. `adapted` gives its controller the present interface.
"""

from types import ModuleType
from typing import Any, NamedTuple

from ..host import KnownCaller, KnownPair, Learned
from .stored_names import STORED_CONTROLLER_FIELDS, stored_arguments

# Earlier names of methods by the present ones, where they differ.
EARLIER_EVENTS = {
    "start": "begin",
    "tick": "beat",
    "peer_report_received": "peer_told",
    "exchange_list_received": "list_pushed",
    "exchange_list_failed": "list_failed",
    "trunk_group_reported": "group_told",
    "dialog_received": "dialog_came",
    "dialog_established": "dialog_stands",
    "dialog_cancelled": "dialog_gone",
    "export_learned": "learned",
}
EARLIER_ACTIONS = {"schedule_tick": "wake_after", "send_to_peers": "tell_all"}
ACTIONS = ("send_leg", "cancel_leg", "decline", "abort", "schedule_tick", "send_to_peers", "subscribe")


class EarlierKnownExchange(NamedTuple):
    """`KnownExchange` of host.py under its earlier field names."""

    gw: int
    started: int
    quickest: int
    took: int
    took_ago: int
    pressed_for: int
    size: int
    cap: float
    accept_below: float
    lower_below: float


class EarlierLearned(NamedTuple):
    """`Learned` of host.py under its earlier field names."""

    now: int
    exchanges: list[EarlierKnownExchange]
    pairs: list[KnownPair]
    callers: list[KnownCaller]
    best_rate: float
    pace: float


class EarlierHost:
    """A host under the earlier names of its methods."""

    def __init__(self, host: Any) -> None:
        for name in ACTIONS:
            setattr(self, EARLIER_ACTIONS.get(name, name), getattr(host, name))


class EarlierController:
    """Put before the controller class of an earlier version, it gives it the present interface."""

    def __init__(
        self, host: Any, seed: int, own_exchange: int, proxy_count: int, traffic_types: list[Any], **arguments: Any
    ) -> None:
        super().__init__(host, seed, own_exchange, proxy_count, traffic_types, **stored_arguments(arguments))

    @property
    def host(self) -> EarlierHost:
        return vars(self)["host"]

    @host.setter
    def host(self, host: Any) -> None:
        vars(self)["host"] = EarlierHost(host)

    def __getattr__(self, name: str) -> Any:
        if name not in STORED_CONTROLLER_FIELDS:
            raise AttributeError(name)
        return getattr(self, STORED_CONTROLLER_FIELDS[name])

    def restore(self, now: int, known: Learned, age: int) -> None:
        exchanges = [EarlierKnownExchange(*exchange) for exchange in known.exchanges]
        self.recall(now, EarlierLearned(known.now, exchanges, *known[2:]), age)


def adapted(controller: type) -> type:
    """The controller class of any version with the present interface."""
    if hasattr(controller, "tick") or not hasattr(controller, "beat"):
        return controller
    methods = {present: getattr(controller, earlier) for present, earlier in EARLIER_EVENTS.items() if hasattr(controller, earlier)}
    return type(controller.__name__, (EarlierController, controller), methods)


def is_earlier(module: ModuleType) -> bool:
    """Whether the controller of `module` was adapted from the earlier interface."""
    return issubclass(module.CallController, EarlierController)
