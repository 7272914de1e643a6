"""The operator's end of the control socket."""

import socket
from typing import Any

import msgspec


class NoAnswerError(Exception):
    """One plain line on why there is no answer."""


def ask(path: str, what: str, timeout: float = 5.0) -> Any:
    """One question, one answer. Raises NoAnswerError."""
    with socket.socket(socket.AF_UNIX) as sock:
        sock.settimeout(timeout)
        try:
            sock.connect(path)
            sock.sendall(msgspec.json.encode({"ask": what}) + b"\n")
            held = b""
            while not held.endswith(b"\n"):
                data = sock.recv(65_536)
                if not data:
                    raise NoAnswerError(f"{path}: the proxy closed the connection")
                held += data
            reply = msgspec.json.decode(held)
        except OSError as error:
            raise NoAnswerError(f"{path}: {error.strerror or 'no answer in time'}") from None
        except msgspec.MsgspecError:
            raise NoAnswerError(f"{path}: what answers there is no proxy") from None
    if not isinstance(reply, dict) or "answer" not in reply:
        raise NoAnswerError(f"{path}: {reply.get('error') if isinstance(reply, dict) else 'no answer'}")
    return reply["answer"]
