"""The whole state of a controller as bytes, and back, so that a replay can begin in the middle of a trace.

The bytes are a pickle of the controller's fields without its host, with classes and fields under their stored names (see
stored_names.py). Unpickling untrusted bytes could run any code, so nothing but the controller module's own classes, those
of host.py and plain containers are ever made from one.
"""

import io
import pickle
from types import ModuleType
from typing import Any

from .. import call_controller, host
from .earlier_versions import is_earlier
from .stored_names import STORED_MODULE, present_controller_fields, reading_class, stored_controller_fields, stored_form

OUTSIDE = ("host", "trace_buffer")  # fields of a controller that lead out of it
CONTAINERS = {("builtins", name): kind for name, kind in (("set", set), ("frozenset", frozenset), ("bytearray", bytearray))}


class BadSnapshotError(Exception):
    """Bytes that are not a state of this module; one line."""


def freeze(controller: Any) -> bytes:
    """The state of a controller between two events."""
    return from_state({name: value for name, value in vars(controller).items() if name not in OUTSIDE})


def state_of(data: bytes, module: ModuleType = call_controller) -> dict[str, Any]:
    """The controller's fields by name. Raises BadSnapshotError."""
    try:
        state = _Reader(data, module).load()
    except BadSnapshotError:
        raise
    except Exception as error:  # a malformed pickle can raise any exception
        raise BadSnapshotError(f"a snapshot can't be read: {type(error).__name__}: {error}") from None
    if not isinstance(state, dict):
        raise BadSnapshotError("a snapshot holds no state")
    return state if is_earlier(module) else present_controller_fields(state)


def thaw(data: bytes, new_host: Any, module: ModuleType = call_controller) -> Any:
    """A controller of `module` in that state, with `new_host` for its host. Raises BadSnapshotError."""
    state = state_of(data, module)
    controller = module.CallController.__new__(module.CallController)
    vars(controller).update(state)
    controller.host = new_host
    return controller


def from_state(state: dict[str, Any]) -> bytes:
    """Bytes of a controller's fields by name, as `state_of` gives them."""
    file = io.BytesIO()
    _Writer(file, protocol=5).dump(stored_controller_fields(state))
    return file.getvalue()


class _Writer(pickle.Pickler):
    def reducer_override(self, instance: Any) -> Any:
        return stored_form(instance)


class _Reader(pickle.Unpickler):
    def __init__(self, data: bytes, module: ModuleType) -> None:
        super().__init__(io.BytesIO(data))
        self.module = module

    def find_class(self, module: str, name: str) -> Any:
        if (module, name) in CONTAINERS:
            return CONTAINERS[module, name]
        if module in (STORED_MODULE, self.module.__name__):
            found = reading_class(name, self.module, not is_earlier(self.module))
            if found is not None:
                return found
            found = getattr(self.module, name, None)
            own = isinstance(found, type) and found.__module__ == self.module.__name__
        elif module == host.__name__:
            found = getattr(host, name, None)
            own = isinstance(found, type) and found.__module__ == host.__name__
        else:
            found, own = None, False
        if not own:
            raise BadSnapshotError(f"a snapshot refers to {module}.{name}, which is not one of the module's own classes")
        return found
