"""Spelling of names in stored traces: classes and fields in snapshots, and the controller's arguments in headers.

Traces are kept for longer than a program version is in use, and are replayed by older and newer versions. They therefore
hold the names that the first versions used, and this module alone translates them: present names are translated when a
snapshot or a header is written, stored names when it is read. A class or field that is not listed has the same name in
both spellings. No present name of a class may equal the stored name of another of its fields.
"""

import sys
from functools import cache
from operator import attrgetter
from types import ModuleType
from typing import Any, NamedTuple

from .. import call_controller

STORED_MODULE = "gingergap.brain"  # where stored snapshots say that the classes of call_controller.py are

# Stored name of each argument of `CallController` by its present name, where they differ.
STORED_ARGUMENTS = {
    "own_exchange": "here",
    "proxy_count": "proxies",
    "traffic_types": "types",
    "max_legs": "most_legs",
    "max_hold_off": "longest_hold_off",
    "can_cancel_legs": "may_cancel",
    "must_subscribe": "must_ask",
    "can_message_peers": "may_tell",
    "has_route_advice": "centre_advises",
    "cold_share": "cold_from",
    "overload_factor": "multiple",
    "overload_span": "fall_span",
}

# Stored name of each field of `CallController` by its present name, where they differ.
STORED_CONTROLLER_FIELDS = {
    "own_exchange": "here",
    "proxy_count": "proxies",
    "traffic_types": "types",
    "max_legs": "most_legs",
    "max_hold_off": "longest_hold_off",
    "can_cancel_legs": "may_cancel",
    "must_subscribe": "must_ask",
    "has_route_advice": "centre_advises",
    "next_report_at": "tell_at",
    "half_life": "ease",
    "exchange_arguments": "cold_figures",
    "generator": "chance",
    "exchanges": "gws",
    "exchange_by_number": "by_number",
    "timers": "due",
    "waiting_dialogs": "waiting",
    "setup_rate": "stood_rate",
    "best_setup_rate": "best_rate",
    "average_setup": "pace",
    "max_circuits": "widest",
    "consecutive_full": "fulls",
    "last_full_at": "full_at",
    "max_importance": "top_importance",
    "proven_tandems": "carried",
    "tandem_backoffs": "turned_back",
}


class StoredClass(NamedTuple):
    """One class of call_controller.py whose instances are in snapshots.

    `fields` gives the stored name of each field by its present one, where they differ. `arguments` are valid arguments of
    the first version's constructor: it makes an instance with them before it sets the stored fields.
    """

    stored_name: str
    present_name: str
    arguments: tuple[Any, ...]
    fields: dict[str, str]


STORED_CLASSES = (
    StoredClass("Chance", "LinearCongruentialGenerator", (0,), {}),
    StoredClass(
        "TrunkGroup",
        "TrunkGroup",
        (None,),
        {
            "generator": "chance",
            "run_limit": "patience",
            "min_cap": "floor",
            "consecutive_declines": "declines",
            "consecutive_low": "idles",
        },
    ),
    StoredClass(
        "Exchange",
        "Exchange",
        (0, None, 0.0, 0, 0.0, 0, 1, 10),
        {
            "half_life": "ease",
            "min_cold_rate": "least",
            "cold_span": "span",
            "overloaded_until": "pressed_until",
            "reachable": "reach",
            "cold_legs": "sent",
            "needs_phase": "unspread",
            "legs_out": "out",
            "fastest_setup": "quickest",
            "recent_setup": "took",
            "recent_setup_at": "took_at",
            "fault_share": "faults",
            "cold_blocked_until": "rests_until",
            "restored": "recalled",
        },
    ),
    StoredClass(
        "Dialog",
        "Dialog",
        (0, 0, 0, 0, "", False, False, 0, 0, 0.0, -1),
        {
            "first_tried_at": "first",
            "traffic_type": "kind",
            "destination": "far",
            "circuits": "width",
            "caller_number": "number",
            "expires_at": "expires",
            "legs_sent": "legs",
            "leg_exchange": "leg_to",
            "next_leg_at": "not_before",
            "in_doubt": "doubt",
            "no_more_legs": "last_leg",
            "tried_gws": "tried",
            "waiting": "waits",
            "established": "stands",
            "random_rank": "luck",
            "advised_tandem": "advised",
        },
    ),
)
_CLASS_BY_STORED_NAME = {stored.stored_name: stored for stored in STORED_CLASSES}
_PRESENT_ARGUMENTS = {stored: present for present, stored in STORED_ARGUMENTS.items()}
_PRESENT_CONTROLLER_FIELDS = {stored: present for present, stored in STORED_CONTROLLER_FIELDS.items()}


def _translated(values: dict[str, Any], names: dict[str, str]) -> dict[str, Any]:
    return {names.get(name, name): value for name, value in values.items()}


def stored_arguments(arguments: dict[str, Any]) -> dict[str, Any]:
    """The controller's arguments under their stored names, as a header holds them."""
    return _translated(arguments, STORED_ARGUMENTS)


def present_arguments(stored: dict[str, Any]) -> dict[str, Any]:
    """The arguments in a header under their present names."""
    return _translated(stored, _PRESENT_ARGUMENTS)


def stored_controller_fields(fields: dict[str, Any]) -> dict[str, Any]:
    return _translated(fields, STORED_CONTROLLER_FIELDS)


def present_controller_fields(stored: dict[str, Any]) -> dict[str, Any]:
    return _translated(stored, _PRESENT_CONTROLLER_FIELDS)


@cache
def reading_class(stored_name: str, module: ModuleType, present: bool = True) -> type | None:
    """What a pickle finds under a stored class name: a class that takes any arguments and the stored fields, and whose
    instances then become instances of that class in `module`, which names classes and fields as present or as stored.
    None if no stored class has that name, or `module` does not define it."""
    stored = _CLASS_BY_STORED_NAME.get(stored_name)
    if stored is None:
        return None
    found = getattr(module, stored.present_name if present else stored_name, None)
    if not isinstance(found, type) or found.__module__ != module.__name__:
        return None
    names = {old: new for new, old in stored.fields.items()} if present else {}

    def initialise(instance: Any, *_: Any) -> None:
        """Does nothing: all fields come with the state."""

    def set_state(instance: Any, state: Any) -> None:
        in_dict, in_slots = state if isinstance(state, tuple) else (state, None)
        instance.__class__ = found
        for fields in (in_dict, in_slots):
            if fields is not None:
                for name, value in fields.items():
                    setattr(instance, names.get(name, name), value)

    members = {"__slots__": (), "__module__": STORED_MODULE, "__init__": initialise, "__setstate__": set_state}
    return type(stored_name, (found,), members)


class _WritingClass:
    """How instances of one class are pickled: as made by the stored class from `arguments`, with stored fields."""

    def __init__(self, stored: StoredClass) -> None:
        self.arguments = stored.arguments
        self.stand_in = type(stored.stored_name, (), {"__module__": STORED_MODULE})
        self.names = stored.fields
        present_class = getattr(call_controller, stored.present_name)
        slots = getattr(present_class, "__slots__", None)
        self.slot_names = tuple(stored.fields.get(name, name) for name in slots) if slots is not None else None
        self.slot_values = attrgetter(*slots) if slots is not None else None

    def reduce(self, instance: Any) -> tuple[Any, ...]:
        if self.slot_names is not None and self.slot_values is not None:
            state: Any = None, dict(zip(self.slot_names, self.slot_values(instance), strict=True))
        else:
            state = _translated(vars(instance), self.names)
        return self.stand_in, self.arguments, state


_WRITING_CLASSES = {getattr(call_controller, stored.present_name): _WritingClass(stored) for stored in STORED_CLASSES}


def stored_form(instance: Any) -> Any:
    """For `pickle.Pickler.reducer_override`: the instance as stored class, arguments and stored fields."""
    writing = _WRITING_CLASSES.get(type(instance))
    return NotImplemented if writing is None else writing.reduce(instance)


def _stored_module() -> ModuleType:
    """The module under whose name the stored classes are pickled: `pickle` writes a class only if it can be imported."""
    module = ModuleType(STORED_MODULE, "Names of the stored classes of snapshots, for pickle only.")
    for writing in _WRITING_CLASSES.values():
        setattr(module, writing.stand_in.__name__, writing.stand_in)
    return module


sys.modules[STORED_MODULE] = _stored_module()
