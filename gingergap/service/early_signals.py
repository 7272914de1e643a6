"""Records a SIGHUP that arrives before the process can handle it, so that it neither ends the process nor is lost."""

import signal

_received: set[int] = set()


def record_sighup() -> None:
    """Record SIGHUP from now on, until another handler is installed."""
    signal.signal(signal.SIGHUP, lambda number, frame: _received.add(number))


def sighup_received() -> bool:
    return signal.SIGHUP in _received
