"""Which decisions an emulated day runs: the program's own, a baseline, or another version of the module from a file."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

from ..settings.day import DayForm
from ..trace.compare import module_at
from ..trace.format import BadTraceError
from .policies import baseline


class UnknownPolicyError(Exception):
    """One plain line."""


def maker(policy: str, seed: int, form: DayForm) -> Callable[..., Any] | None:
    """A maker of controllers for `Day`, none for the program's own module. Raises UnknownPolicyError."""
    if policy == "module":
        return None
    if not policy.endswith(".py"):
        try:
            return baseline(policy, seed)
        except KeyError:
            raise UnknownPolicyError("none of module, direct, random tandem, reservation, nor a file that ends in .py") from None
    try:
        module = module_at(Path(policy))
    except (BadTraceError, OSError) as bad:
        raise UnknownPolicyError(str(bad)) from None
    return lambda host, here, proxies, types: module.CallController(
        host, seed * 1000 + here, here, proxies, types, **figures_of(form)
    )


def figures_of(form: DayForm) -> dict[str, Any]:
    """What the module is told of a day's agreements; the guard and spans as the running edge rounds them."""
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
