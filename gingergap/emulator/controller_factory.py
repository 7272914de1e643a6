"""Selects the controller of an emulated day: the program's own, a baseline, or another version of the module from a file."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

from ..settings.day import DayForm
from ..trace.compare import module_at
from ..trace.format import BadTraceError
from .baselines import baseline_factory


class UnknownPolicyError(Exception):
    """The policy names no baseline and no usable module; the message is one line."""


def controller_factory(policy: str, seed: int, form: DayForm) -> Callable[..., Any] | None:
    """The factory of controllers that `Day` takes; None for the program's own module. Raises UnknownPolicyError."""
    if policy == "module":
        return None
    if not policy.endswith(".py"):
        try:
            return baseline_factory(policy, seed)
        except KeyError:
            raise UnknownPolicyError("must be module, direct, random tandem, reservation, or a file that ends in .py") from None
    try:
        module = module_at(Path(policy))
    except (BadTraceError, OSError) as error:
        raise UnknownPolicyError(str(error)) from None
    return lambda host, own_exchange, proxy_count, traffic_types: module.CallController(
        host, seed * 1000 + own_exchange, own_exchange, proxy_count, traffic_types, **controller_arguments(form)
    )


def controller_arguments(form: DayForm) -> dict[str, Any]:
    """Keyword arguments of `CallController` for a day's agreements; guard and spans are rounded as in the running edge."""
    cold = form.cold
    return {
        "release_guard": round(form.release_guard_ms * 10) + 1,
        "max_legs": form.most_legs,
        "max_hold_off": round(form.longest_hold_off_ms * 10),
        "can_cancel_legs": True,
        "must_subscribe": False,
        "can_message_peers": form.tell_peers,
        "has_route_advice": False,
        "cold_share": cold.from_share,
        "warm_after": round(cold.warm_after_ms * 10) + 1,
        "overload_factor": cold.multiple,
        "overload_span": round(cold.span_ms * 10) + 1,
    }
