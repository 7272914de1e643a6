"""SIGHUP before the process can act on it: noted, so that it neither ends the process nor is lost."""

import signal

_came: set[int] = set()


def note() -> None:
    """From now on, until another handler takes SIGHUP."""
    signal.signal(signal.SIGHUP, lambda number, frame: _came.add(number))


def reload_came() -> bool:
    return signal.SIGHUP in _came
