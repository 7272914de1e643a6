"""Parsers of single header field values: Via, addresses, URIs, Reason (RFC 3261 sections 19 and 20, RFC 3326)."""

from functools import lru_cache
from typing import NamedTuple

from .message import BadMessageError, Message

CACHE_SIZE = 4096  # parsed values per function; the addresses of peers recur in every message


class Via(NamedTuple):
    """One Via value: transport in upper case, sent-by host and port, parameters by lower-case name."""

    transport: str
    host: str
    port: int
    params: dict[str, str]

    @property
    def branch(self) -> str:
        return self.params.get("branch", "")


class Uri(NamedTuple):
    """A sip, sips or tel URI.

    Instances are cached and shared, so the parameter dicts must not be changed. `user` excludes the parameters of the
    user part, which are in `user_params` (RFC 4904).
    """

    scheme: str
    user: str
    host: str
    port: int
    params: dict[str, str]
    user_params: dict[str, str]


def parse_params(text: str) -> dict[str, str]:
    """Parse parameters such as `;a=1;b` into a dict by lower-case name; quotes around values are removed."""
    params: dict[str, str] = {}
    if not text:
        return params
    for part in text.split(";"):
        if part:
            name, _, value = part.partition("=")
            params[name.strip().lower()] = value.strip(' \t"')
    return params


@lru_cache(CACHE_SIZE)
def parse_host_port(text: str, port: int = 5060) -> tuple[str, int]:
    """Parse `host[:port]`, with an IPv6 host in brackets. Raises BadMessageError for an empty host or invalid port."""
    text = text.strip()
    if text.startswith("["):
        host, _, rest = text[1:].partition("]")
        port_text = rest.lstrip(":")
    else:
        host, _, port_text = text.partition(":")
    if not host or port_text and not (port_text.isascii() and port_text.isdigit() and 0 < int(port_text) < 65_536):
        raise BadMessageError("a host and port are not valid")
    return host, int(port_text) if port_text else port


def parse_via(value: str) -> Via:
    """Parse one Via value. Raises BadMessageError."""
    head, _, rest = value.partition(";")
    if head[:8] == "SIP/2.0/" and head.count(" ") == 1:  # fast path for the usual spelling
        transport, _, sent_by = head[8:].partition(" ")
        if transport and "/" not in transport:
            return Via(transport.upper(), *parse_host_port(sent_by), parse_params(rest))
    tokens = head.split()
    if len(tokens) < 2:
        raise BadMessageError("Via is not a protocol and an address")
    protocol = "".join(tokens[:-1]).split("/")
    if len(protocol) != 3 or protocol[0].upper() != "SIP" or protocol[1] != "2.0":
        raise BadMessageError("Via names another protocol")
    host, port = parse_host_port(tokens[-1])
    return Via(protocol[2].upper(), host, port, parse_params(rest))


def top_via(message: Message) -> Via:
    """The topmost Via value, parsed. Raises BadMessageError."""
    value = message.get("Via")
    if not value:
        raise BadMessageError("Via is missing", 0, message)
    if "," in value:
        value = message.all("Via")[0]
    return parse_via(value)


@lru_cache(CACHE_SIZE)
def parse_address(value: str) -> tuple[str, dict[str, str]]:
    """URI and field parameters of a From, To, Contact or Route value (section 20.10).

    The result is cached and shared, so the dict must not be changed. Raises BadMessageError.
    """
    open_bracket = value.rfind("<") if '"' in value else value.find("<")
    if open_bracket >= 0:
        close_bracket = value.find(">", open_bracket)
        if close_bracket < 0:
            raise BadMessageError("an address lacks its closing bracket")
        return value[open_bracket + 1 : close_bracket], parse_params(value[close_bracket + 1 :])
    uri, _, rest = value.partition(";")
    return uri.strip(), parse_params(rest)


def tag_of(value: str) -> str:
    """The tag of a From or To value; an empty string if there is none."""
    tag_start = value.find(";tag=", value.rfind(">") + 1)
    if tag_start < 0:
        return parse_address(value)[1].get("tag", "") if ";" in value else ""
    end = value.find(";", tag_start + 5)
    return value[tag_start + 5 :] if end < 0 else value[tag_start + 5 : end]


@lru_cache(CACHE_SIZE)
def parse_uri(text: str) -> Uri:
    """Parse a sip, sips or tel URI. Raises BadMessageError, with status 416 for any other scheme."""
    scheme, colon, rest = text.partition(":")
    scheme = scheme.lower()
    if not colon or scheme not in ("sip", "sips", "tel"):
        raise BadMessageError("the URI's scheme is not served", 416)
    if scheme == "tel":
        user, _, params = rest.partition(";")
        return Uri(scheme, user, "", 0, {}, parse_params(params))
    rest = rest.partition("?")[0]
    user, separator, host_part = rest.rpartition("@")
    host_part, _, params = host_part.partition(";")
    host, port = parse_host_port(host_part, 5061 if scheme == "sips" else 5060)
    user, _, user_params = user.partition(";")
    return Uri(scheme, user.partition(":")[0] if separator else "", host, port, parse_params(params), parse_params(user_params))


def q850_cause_of(message: Message) -> tuple[int, str]:
    """The Q.850 cause in Reason and its location (RFC 3326, RFC 8606); 0 and an empty string if there is none."""
    for value in message.all("Reason"):
        protocol, _, rest = value.partition(";")
        if protocol.strip().upper() == "Q.850":
            params = parse_params(rest)
            cause = params.get("cause", "")
            if cause.isascii() and cause.isdigit():
                return int(cause), params.get("location", "")
    return 0, ""


def q850_reason(cause: int, location: str = "") -> tuple[str, str]:
    """Name and value of a Reason field with a Q.850 cause."""
    return "Reason", f"Q.850;cause={cause}" + (f";location={location}" if location else "")


def parse_seconds(message: Message, name: str, default: int) -> int:
    """Whole seconds in Expires or Retry-After, without the comment or parameters that may follow.

    Returns `default` if the field is missing. Raises BadMessageError if it is not a number.
    """
    text = message.get(name).strip().split(" ")[0].partition(";")[0].partition("(")[0]
    if not text:
        return default
    if not text.isascii() or not text.isdigit() or int(text) >= 1 << 32:
        raise BadMessageError(f"{name} is not a number of seconds", 400, message)
    return int(text)
