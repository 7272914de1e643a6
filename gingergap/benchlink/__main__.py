"""`python -m gingergap.benchlink`: reads batches of events from standard input and writes a reply to each to standard output."""

import sys
from collections.abc import Iterable
from typing import Any, TextIO

from ..platform_settings import BadFieldError
from .codec import BadLineError, decode, encode
from .proxy import Proxy


def serve(lines: Iterable[str], reply: TextIO) -> None:
    """Answer every batch until the input ends. Raises BadLineError for a line that the wire does not allow."""
    proxies: dict[str, Proxy] = {}
    lists: dict[int, list[dict[str, Any]]] = {}
    out: list[str] = []
    now: int | None = None
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        msg = decode(line, number)
        event = msg["t"]
        if event == "Tick":
            if now is not None:
                raise BadLineError(f"line {number}: Tick inside a batch")
            now = msg["Time"]
        elif now is None:
            raise BadLineError(f"line {number}: {event} outside a batch")
        elif event == "End":
            out.append(encode("Yield"))
            reply.write("\n".join(out) + "\n")
            reply.flush()
            out.clear()
            now = None
        elif event == "Manifest":
            lists[msg["SetId"]] = msg["Records"]
        else:
            try:
                _handle(proxies, msg, now, lists, out)
            except BadFieldError as error:
                raise BadLineError(f"line {number}: {event}: {error}") from None
            except Exception as error:  # a failure of the controller is reported by an action of the wire
                print(f"{msg['Proxy']}: {event}: {error!r}", file=sys.stderr)
                out.append(encode("Panic", Proxy=msg["Proxy"], Message=f"{event}: {error!r}"))


def _handle(
    proxies: dict[str, Proxy], msg: dict[str, Any], now: int, lists: dict[int, list[dict[str, Any]]], out: list[str]
) -> None:
    name = msg["Proxy"]
    if msg["t"] == "Spawn":
        proxies[name] = Proxy(name, msg["Prng"], msg["Facts"], now, out)
    elif msg["t"] == "Stop":
        proxies.pop(name, None)
    elif name in proxies:
        proxies[name].handle(msg, now, lists)
    else:
        raise BadLineError("field Proxy names no running instance")


def main() -> int:
    sys.stdin.reconfigure(encoding="utf-8", errors="replace")
    try:
        serve(sys.stdin, sys.stdout)
    except BadLineError as error:
        print(error, file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
