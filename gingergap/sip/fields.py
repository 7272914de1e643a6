"""The grammar of single header fields: Via, addresses, URIs, Reason (RFC 3261 sections 19 and 20, RFC 3326)."""

from functools import lru_cache
from typing import NamedTuple

from .message import BadMessageError, Message

REMEMBERED = 4096  # addresses kept as read: those of peers come again with every message


class Via(NamedTuple):
    """One hop: `sent_by` as it was written, parameters by lower-case name."""

    transport: str
    host: str
    port: int
    params: dict[str, str]

    @property
    def branch(self) -> str:
        return self.params.get("branch", "")


class Uri(NamedTuple):
    """A sip or tel URI, shared by all who read the same text: not to be changed. `user` of a sip URI keeps no
    parameters, they are in `user_params` (RFC 4904)."""

    scheme: str
    user: str
    host: str
    port: int
    params: dict[str, str]
    user_params: dict[str, str]


def parse_params(text: str) -> dict[str, str]:
    """`;a=1;b` as a dict; quotes around values are taken off."""
    params: dict[str, str] = {}
    if not text:
        return params
    for part in text.split(";"):
        if part:
            name, _, value = part.partition("=")
            params[name.strip().lower()] = value.strip(' \t"')
    return params


@lru_cache(REMEMBERED)
def parse_host_port(text: str, port: int = 5060) -> tuple[str, int]:
    """Raises BadMessageError where the port is none."""
    text = text.strip()
    if text.startswith("["):
        host, _, rest = text[1:].partition("]")
        given = rest.lstrip(":")
    else:
        host, _, given = text.partition(":")
    if not host or given and not (given.isascii() and given.isdigit() and 0 < int(given) < 65_536):
        raise BadMessageError("a host and port are not valid")
    return host, int(given) if given else port


def parse_via(value: str) -> Via:
    """Raises BadMessageError with the field's fault."""
    head, _, rest = value.partition(";")
    if head[:8] == "SIP/2.0/" and head.count(" ") == 1:  # as nearly all are written
        transport, _, sent_by = head[8:].partition(" ")
        if transport and "/" not in transport:
            return Via(transport.upper(), *parse_host_port(sent_by), parse_params(rest))
    words = head.split()
    if len(words) < 2:
        raise BadMessageError("Via is not a protocol and an address")
    protocol = "".join(words[:-1]).split("/")
    if len(protocol) != 3 or protocol[0].upper() != "SIP" or protocol[1] != "2.0":
        raise BadMessageError("Via names another protocol")
    host, port = parse_host_port(words[-1])
    return Via(protocol[2].upper(), host, port, parse_params(rest))


def top_via(message: Message) -> Via:
    value = message.get("Via")
    if not value:
        raise BadMessageError("Via is missing", 0, message)
    if "," in value:
        value = message.all("Via")[0]
    return parse_via(value)


@lru_cache(REMEMBERED)
def parse_address(value: str) -> tuple[str, dict[str, str]]:
    """URI and field parameters (shared, not to be changed) of From, To, Contact, Route (section 20.10)."""
    open_at = value.rfind("<") if '"' in value else value.find("<")
    if open_at >= 0:
        close = value.find(">", open_at)
        if close < 0:
            raise BadMessageError("an address lacks its closing bracket")
        return value[open_at + 1 : close], parse_params(value[close + 1 :])
    uri, _, rest = value.partition(";")
    return uri.strip(), parse_params(rest)


def tag_of(value: str) -> str:
    """The tag of From or To; an empty text where there is none."""
    at = value.find(";tag=", value.rfind(">") + 1)
    if at < 0:
        return parse_address(value)[1].get("tag", "") if ";" in value else ""
    end = value.find(";", at + 5)
    return value[at + 5 :] if end < 0 else value[at + 5 : end]


@lru_cache(REMEMBERED)
def parse_uri(text: str) -> Uri:
    """Raises BadMessageError for what is no sip, sips or tel URI."""
    scheme, colon, rest = text.partition(":")
    scheme = scheme.lower()
    if not colon or scheme not in ("sip", "sips", "tel"):
        raise BadMessageError("the URI's scheme is not served", 416)
    if scheme == "tel":
        user, _, params = rest.partition(";")
        return Uri(scheme, user, "", 0, {}, parse_params(params))
    rest = rest.partition("?")[0]
    user, at, where = rest.rpartition("@")
    where, _, params = where.partition(";")
    host, port = parse_host_port(where, 5061 if scheme == "sips" else 5060)
    user, _, user_params = user.partition(";")
    return Uri(scheme, user.partition(":")[0] if at else "", host, port, parse_params(params), parse_params(user_params))


def q850_cause_of(message: Message) -> tuple[int, str]:
    """The Q.850 cause and its location (RFC 3326, RFC 8606); 0 and an empty text where none is given."""
    for value in message.all("Reason"):
        protocol, _, rest = value.partition(";")
        if protocol.strip().upper() == "Q.850":
            params = parse_params(rest)
            cause = params.get("cause", "")
            if cause.isascii() and cause.isdigit():
                return int(cause), params.get("location", "")
    return 0, ""


def q850_reason(cause: int, location: str = "") -> tuple[str, str]:
    """A Reason field with a cause of Q.850."""
    return "Reason", f"Q.850;cause={cause}" + (f";location={location}" if location else "")


def parse_seconds(message: Message, name: str, default: int) -> int:
    """Whole seconds of Expires or Retry-After; what follows them is a comment or parameters."""
    text = message.get(name).strip().split(" ")[0].partition(";")[0].partition("(")[0]
    if not text:
        return default
    if not text.isascii() or not text.isdigit() or int(text) >= 1 << 32:
        raise BadMessageError(f"{name} is not a number of seconds", 400, message)
    return int(text)
