"""The proxy's end of its control socket: a Unix stream, one JSON object a line, `{"ask": "members"}` and its answer."""

import os
import socket as plain
from pathlib import Path
from typing import Any, Protocol

import gevent
import msgspec
from gevent import socket

MOST_LINE = 4096
MOST_AT_ONCE = 16


class Asked(Protocol):
    def asked(self, what: str) -> Any:
        """An answer that JSON can hold; raises KeyError where there is none."""


class Control:
    """Only the user that runs the proxy may connect: the socket's mode is 0600."""

    def __init__(self, path: str, owner: Asked) -> None:
        self.path, self.owner = Path(path), owner
        self.listener: socket.socket | None = None
        self.greenlet: gevent.Greenlet | None = None
        self.open_now = 0

    def open(self) -> None:
        """Raises OSError where another process serves there; a socket that a dead one left is taken over."""
        if self.path.exists():
            with plain.socket(plain.AF_UNIX) as probe:
                try:
                    probe.connect(str(self.path))
                except OSError:
                    self.path.unlink()
                else:
                    raise OSError(f"{self.path}: another process serves there")
        self.listener = socket.socket(socket.AF_UNIX)
        mask = os.umask(0o177)
        try:
            self.listener.bind(str(self.path))
        finally:
            os.umask(mask)
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
            if self.open_now >= MOST_AT_ONCE:
                sock.close()
            else:
                gevent.spawn(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        self.open_now += 1
        held = b""
        try:
            while data := sock.recv(MOST_LINE):
                held += data
                while b"\n" in held:
                    line, held = held.split(b"\n", 1)
                    sock.sendall(msgspec.json.encode(self._answer(line)) + b"\n")
                if len(held) > MOST_LINE:
                    return
        except OSError:
            pass
        finally:
            self.open_now -= 1
            sock.close()

    def _answer(self, line: bytes) -> dict[str, Any]:
        try:
            what = msgspec.json.decode(line)["ask"]
            return {"answer": self.owner.asked(what)}
        except (msgspec.MsgspecError, TypeError):
            return {"error": "a line must be an object with a field ask"}
        except KeyError as error:
            return {"error": str(error.args[0]) if error.args[0] != "ask" else "a line must be an object with a field ask"}
