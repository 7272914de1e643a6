"""Analytical results that the emulator is checked against: Erlang's formulas, the M/D/1 queue, and the fixed-point approximation
of alternate routing. Pure functions."""


def erlang_b(load: float, circuits: int) -> float:
    """Blocking probability of a load in erlangs on a group of circuits (Erlang 1917), by recursion."""
    blocking = 1.0
    for number in range(1, circuits + 1):
        blocking = load * blocking / (number + load * blocking)
    return blocking


def erlang_c(load: float, servers: int) -> float:
    """Probability that an arrival has to wait for one of several servers; `load` in erlangs."""
    if load >= servers:
        return 1.0
    blocking = erlang_b(load, servers)
    return servers * blocking / (servers - load * (1 - blocking))


def md1_wait(rate: float, service_time: float) -> float:
    """Mean waiting time of an M/D/1 queue (Pollaczek and Khinchine), in the unit of `service_time`."""
    utilisation = rate * service_time
    return float("inf") if utilisation >= 1 else utilisation * service_time / (2 * (1 - utilisation))


def reserved_blocking(direct: float, overflow: float, circuits: int, reserved: int) -> tuple[float, float]:
    """Blocking of direct dialogs and of two-leg dialogs on one group with circuits reserved for direct ones, from the stationary
    distribution of a birth and death chain. Loads in erlangs."""
    weights = [1.0]
    for busy in range(circuits):
        rate = direct + (overflow if busy < circuits - reserved else 0.0)
        weights.append(weights[-1] * rate / (busy + 1))
    total = sum(weights)
    return weights[-1] / total, sum(weights[circuits - reserved :]) / total


def reservation_fixed_point(load: float, circuits: int, reserved: int, tandems: int, rounds: int = 2_000) -> float:
    """Share of dialogs lost in a full symmetric mesh with direct routes first, then up to `tandems` random tandems, and trunk
    reservation. Links are assumed to be independent (Akinpelu 1984; Mitra and Gibbens 1992). `load` in erlangs a group."""
    direct, two_legs, overflow = erlang_b(load, circuits), 0.0, 0.0
    for _ in range(rounds):
        route_free = (1 - two_legs) ** 2
        attempts = sum((1 - route_free) ** number for number in range(tandems))
        offered = 2 * load * direct * attempts * (1 - two_legs)  # the second leg is only tried if the first one succeeds
        overflow += 0.2 * (offered - overflow)
        direct, two_legs = reserved_blocking(load, overflow, circuits, reserved)
    return direct * (1 - (1 - two_legs) ** 2) ** tandems
