"""Client of a proxy's control socket, used by the operator's commands."""

import socket
from typing import Any

import msgspec


class NoAnswerError(Exception):
    """The proxy gave no answer; the message is one line that says why."""


def ask(path: str, question: str, timeout: float = 5.0) -> Any:
    """Send one question to the control socket at `path` and return the decoded answer; `timeout` in seconds.

    Raises NoAnswerError.
    """
    with socket.socket(socket.AF_UNIX) as sock:
        sock.settimeout(timeout)
        try:
            sock.connect(path)
            sock.sendall(msgspec.json.encode({"ask": question}) + b"\n")
            received = b""
            while not received.endswith(b"\n"):
                data = sock.recv(65_536)
                if not data:
                    raise NoAnswerError(f"{path}: the proxy closed the connection")
                received += data
            reply = msgspec.json.decode(received)
        except OSError as error:
            raise NoAnswerError(f"{path}: {error.strerror or 'no answer in time'}") from None
        except msgspec.MsgspecError:
            raise NoAnswerError(f"{path}: the reply is not valid JSON") from None
    if not isinstance(reply, dict) or "answer" not in reply:
        raise NoAnswerError(f"{path}: {reply.get('error') if isinstance(reply, dict) else 'no answer'}")
    return reply["answer"]
