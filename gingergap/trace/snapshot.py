"""The module's whole state as bytes, and back: what lets a replay begin in the middle of a trace.

The bytes are a pickle of the controller's fields without its host. A pickle from elsewhere could run any code, so
nothing but the module's own classes, those of host.py and plain containers are ever made from one.
"""

import io
import pickle
from types import ModuleType
from typing import Any

from .. import brain, host

OUTSIDE = ("host", "tape")  # fields of a controller that lead out of it
CONTAINERS = {("builtins", name): kind for name, kind in (("set", set), ("frozenset", frozenset), ("bytearray", bytearray))}


class BadSnapshotError(Exception):
    """Bytes that are no state of this module; one plain line."""


def freeze(controller: Any) -> bytes:
    """The state of a controller between two events."""
    return pickle.dumps({name: value for name, value in vars(controller).items() if name not in OUTSIDE}, protocol=5)


def state_of(data: bytes, module: ModuleType = brain) -> dict[str, Any]:
    """The controller's fields by name. Raises BadSnapshotError."""
    try:
        state = _Reader(data, module).load()
    except BadSnapshotError:
        raise
    except Exception as error:  # a pickle that was made wrong fails in any way it likes
        raise BadSnapshotError(f"a snapshot can't be read: {type(error).__name__}: {error}") from None
    if not isinstance(state, dict):
        raise BadSnapshotError("a snapshot holds no state")
    return state


def thaw(data: bytes, to: Any, module: ModuleType = brain) -> Any:
    """A controller of `module` in that state, with `to` for its host. Raises BadSnapshotError."""
    state = state_of(data, module)
    controller = module.CallController.__new__(module.CallController)
    vars(controller).update(state)
    controller.host = to
    return controller


def from_state(state: dict[str, Any]) -> bytes:
    """Bytes of a state whose values have been changed."""
    return pickle.dumps(state, protocol=5)


class _Reader(pickle.Unpickler):
    def __init__(self, data: bytes, module: ModuleType) -> None:
        super().__init__(io.BytesIO(data))
        self.module = module

    def find_class(self, module: str, name: str) -> Any:
        if (module, name) in CONTAINERS:
            return CONTAINERS[module, name]
        if module in (brain.__name__, self.module.__name__):
            found = getattr(self.module, name, None)
            own = isinstance(found, type) and found.__module__ == self.module.__name__
        elif module == host.__name__:
            found = getattr(host, name, None)
            own = isinstance(found, type) and found.__module__ == host.__name__
        else:
            found, own = None, False
        if not own:
            raise BadSnapshotError(f"a snapshot names {module}.{name}, which is not the module's")
        return found
