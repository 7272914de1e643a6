"""What theory says where it has the answer: Erlang's formulas, one line with steady service, alternate routes by fixed point.
Pure."""


def erlang_b(load: float, circuits: int) -> float:
    """The part of a load (erlangs) that finds all circuits taken (Erlang 1917), by its recursion."""
    blocked = 1.0
    for number in range(1, circuits + 1):
        blocked = load * blocked / (number + load * blocked)
    return blocked


def erlang_c(load: float, lines: int) -> float:
    """The part that has to wait for one of several lines."""
    if load >= lines:
        return 1.0
    blocked = erlang_b(load, lines)
    return lines * blocked / (lines - load * (1 - blocked))


def md1_wait(rate: float, service: float) -> float:
    """Mean wait before one line with steady service (Pollaczek and Khinchine), in the units of `service`."""
    busy = rate * service
    return float("inf") if busy >= 1 else busy * service / (2 * (1 - busy))


def reserved_blocking(direct: float, overflow: float, circuits: int, reserved: int) -> tuple[float, float]:
    """Blocking of direct and of two-leg dialogs on one group that keeps circuits for direct ones, as a birth and death
    chain."""
    weights = [1.0]
    for busy in range(circuits):
        rate = direct + (overflow if busy < circuits - reserved else 0.0)
        weights.append(weights[-1] * rate / (busy + 1))
    whole = sum(weights)
    return weights[-1] / whole, sum(weights[circuits - reserved :]) / whole


def reservation_fixed_point(load: float, circuits: int, reserved: int, tandems: int, rounds: int = 2_000) -> float:
    """The part of dialogs lost in a full symmetric mesh with direct-first routing, up to so many random tandems and
    reservation: links are taken to be independent (Akinpelu 1984; Mitra and Gibbens 1992)."""
    direct, two_legs, overflow = erlang_b(load, circuits), 0.0, 0.0
    for _ in range(rounds):
        way = (1 - two_legs) ** 2
        tried = sum((1 - way) ** number for number in range(tandems))
        fresh = 2 * load * direct * tried * (1 - two_legs)  # both legs of each try that the first leg does not end
        overflow += 0.2 * (fresh - overflow)
        direct, two_legs = reserved_blocking(load, overflow, circuits, reserved)
    return direct * (1 - (1 - two_legs) ** 2) ** tandems
