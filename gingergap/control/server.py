"""Server of the control socket: a Unix stream socket with one JSON object a line.

A question is `{"ask": "members"}`; the reply is `{"answer": ...}` or `{"error": "..."}`.
"""

import os
import socket as blocking_socket
from pathlib import Path
from typing import Any, Protocol

import gevent
import msgspec
from gevent import socket

MAX_LINE_BYTES = 4096
MAX_CONNECTIONS = 16


class QuestionHandler(Protocol):
    """Answers the questions that the control socket receives."""

    def answer_question(self, question: str) -> Any:
        """The answer, which must be serialisable as JSON. Raises KeyError with a message if there is none."""


class ControlServer:
    """Listens on a Unix socket of mode 0600: only the user that runs the proxy may connect."""

    def __init__(self, path: str, handler: QuestionHandler) -> None:
        self.path, self.handler = Path(path), handler
        self.listener: socket.socket | None = None
        self.greenlet: gevent.Greenlet | None = None
        self.open_connections = 0

    def open(self) -> None:
        """Start listening. A socket file left by a dead process is replaced.

        Raises OSError if another process listens on the path.
        """
        if self.path.exists():
            with blocking_socket.socket(blocking_socket.AF_UNIX) as probe:
                try:
                    probe.connect(str(self.path))
                except OSError:
                    self.path.unlink()
                else:
                    raise OSError(f"{self.path}: another process listens on this socket")
        self.listener = socket.socket(socket.AF_UNIX)
        previous_umask = os.umask(0o177)
        try:
            self.listener.bind(str(self.path))
        finally:
            os.umask(previous_umask)
        self.listener.listen(8)
        self.greenlet = gevent.spawn(self._accept)

    def close(self) -> None:
        if self.listener is not None:
            self.greenlet.kill(block=False)
            self.listener.close()
            self.path.unlink(missing_ok=True)

    def _accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            if self.open_connections >= MAX_CONNECTIONS:
                sock.close()
            else:
                gevent.spawn(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        self.open_connections += 1
        received = b""
        try:
            while data := sock.recv(MAX_LINE_BYTES):
                received += data
                while b"\n" in received:
                    line, received = received.split(b"\n", 1)
                    sock.sendall(msgspec.json.encode(self._answer(line)) + b"\n")
                if len(received) > MAX_LINE_BYTES:
                    return
        except OSError:
            pass
        finally:
            self.open_connections -= 1
            sock.close()

    def _answer(self, line: bytes) -> dict[str, Any]:
        try:
            question = msgspec.json.decode(line)["ask"]
            return {"answer": self.handler.answer_question(question)}
        except (msgspec.MsgspecError, TypeError):
            return {"error": "a line must be an object with a field ask"}
        except KeyError as error:
            return {"error": str(error.args[0]) if error.args[0] != "ask" else "a line must be an object with a field ask"}
