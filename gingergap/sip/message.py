"""Parsing and serialisation of SIP messages, with their header fields in order (RFC 3261 section 7).

Parsing is lazy: a message is split into field names and values once, and a field value is only parsed when it is
needed (see fields.py). An unusable message raises BadMessageError, which carries the status that the RFC prescribes
for the response, or 0 if no response must be sent.
"""

from collections.abc import Iterable

MAX_HEADER_BYTES = 16_384  # bytes of start line and header fields
MAX_FIELDS = 256
SIP_VERSION = "SIP/2.0"
KNOWN_FIELDS = (
    "Accept",
    "Allow",
    "Allow-Events",
    "Call-ID",
    "Contact",
    "Content-Encoding",
    "Content-Length",
    "Content-Type",
    "CSeq",
    "Event",
    "Expires",
    "From",
    "Max-Forwards",
    "Reason",
    "Record-Route",
    "Require",
    "Resource-Priority",
    "Retry-After",
    "Route",
    "Subject",
    "Subscription-State",
    "Supported",
    "Timestamp",
    "To",
    "Unsupported",
    "Via",
    "Warning",
    "Gingergap-Dialog",
    "Gingergap-Duty",
    "Proxy-Require",
    "User-Agent",
)
COMPACT_NAMES = {  # RFC 3261 section 7.3.3, RFC 6665 section 8.4 for Event and Allow-Events
    "i": "Call-ID",
    "m": "Contact",
    "e": "Content-Encoding",
    "l": "Content-Length",
    "c": "Content-Type",
    "f": "From",
    "s": "Subject",
    "k": "Supported",
    "t": "To",
    "v": "Via",
    "o": "Event",
    "u": "Allow-Events",
}
CANONICAL_NAMES = (
    {name: name for name in KNOWN_FIELDS}
    | {name.lower(): name for name in KNOWN_FIELDS}
    | COMPACT_NAMES
    | {compact.upper(): name for compact, name in COMPACT_NAMES.items()}
)
LIST_FIELDS = frozenset(
    {
        "Via",
        "Route",
        "Record-Route",
        "Contact",
        "Require",
        "Proxy-Require",
        "Resource-Priority",
        "Reason",
        "Supported",
        "Allow",
        "Accept",
    }
)
TOKEN_CHARACTERS = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-.!%*_+`'~")
REASON_PHRASES = {
    100: "Trying",
    180: "Ringing",
    183: "Session Progress",
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    412: "Conditional Request Failed",
    416: "Unsupported URI Scheme",
    420: "Bad Extension",
    480: "Temporarily Unavailable",
    481: "Call/Transaction Does Not Exist",
    482: "Loop Detected",
    483: "Too Many Hops",
    486: "Busy Here",
    487: "Request Terminated",
    489: "Bad Event",
    500: "Server Internal Error",
    503: "Service Unavailable",
    504: "Server Time-out",
    505: "Version Not Supported",
    513: "Message Too Large",
    603: "Decline",
}


class BadMessageError(Exception):
    """Bytes that are not a usable SIP message.

    `status` is the status of the response to a request; 0 means that no response is sent. `message` is the message as
    far as it was parsed, if its start line could be read.
    """

    def __init__(self, reason: str, status: int = 400, message: "Message | None" = None) -> None:
        super().__init__(reason)
        self.status, self.message = status, message


def canonical_name(raw_name: str) -> str:
    """The canonical spelling of a field name; names are case-insensitive and may be compact (section 7.3.1)."""
    return CANONICAL_NAMES.get(raw_name) or CANONICAL_NAMES.get(raw_name.lower()) or raw_name.title()


class Message:
    """A request (`method` and `uri` set) or a response (`status` and `phrase` set).

    `fields` holds (canonical name, value) pairs in order; field names passed to the methods are canonical too.
    """

    __slots__ = ("method", "uri", "status", "phrase", "fields", "body")

    def __init__(
        self,
        method: str = "",
        uri: str = "",
        status: int = 0,
        phrase: str = "",
        fields: Iterable[tuple[str, str]] = (),
        body: bytes = b"",
    ) -> None:
        self.method, self.uri, self.status, self.phrase = method, uri, status, phrase
        self.fields, self.body = list(fields), body

    def get(self, name: str, default: str = "") -> str:
        """The unparsed value of the first field with that name."""
        for field, value in self.fields:
            if field == name:
                return value
        return default

    def all(self, name: str) -> list[str]:
        """All values of a field in order; comma-separated lists are split if the field allows them (section 7.3.1)."""
        values = []
        for field, value in self.fields:
            if field == name:
                if "," in value and name in LIST_FIELDS:
                    values.extend(split_list(value))
                else:
                    values.append(value)
        return values

    def has(self, name: str) -> bool:
        for field, _ in self.fields:  # noqa: SIM110 - any() takes twice as long, and this runs some ten times per call
            if field == name:
                return True
        return False

    def put(self, name: str, value: str) -> None:
        """Replace the first field with that name, or append one."""
        for index, (field, _) in enumerate(self.fields):
            if field == name:
                self.fields[index] = (name, value)
                return
        self.fields.append((name, value))

    def push(self, name: str, value: str) -> None:
        """Insert a value before all others of its field (Via, Record-Route, Route)."""
        self.fields.insert(0, (name, value))

    def drop(self, name: str) -> None:
        self.fields = [entry for entry in self.fields if entry[0] != name]

    def pop_first(self, name: str) -> str:
        """Remove and return the topmost value of a list field; an empty string if there is none."""
        for index, (field, value) in enumerate(self.fields):
            if field == name:
                parts = split_list(value) if "," in value else [value]
                if len(parts) > 1:
                    self.fields[index] = (name, ", ".join(parts[1:]))
                else:
                    del self.fields[index]
                return parts[0]
        return ""

    def replace_first(self, name: str, value: str) -> None:
        """Replace the topmost value of a list field."""
        for index, (field, current) in enumerate(self.fields):
            if field == name:
                parts = split_list(current) if "," in current else [current]
                self.fields[index] = (name, ", ".join([value, *parts[1:]]))
                return

    def copy(self) -> "Message":
        return Message(self.method, self.uri, self.status, self.phrase, self.fields, self.body)

    @property
    def call_id(self) -> str:
        return self.get("Call-ID")

    def cseq(self) -> tuple[int, str]:
        """Sequence number and method (section 20.16). Raises BadMessageError."""
        number, _, method = self.get("CSeq").strip().partition(" ")
        method = method.strip()
        if not number.isascii() or not number.isdigit() or int(number) >= 1 << 32 or not method:
            raise BadMessageError("CSeq is not a number and a method", 400, self)
        return int(number), method

    def __bytes__(self) -> bytes:
        lines = [f"{self.method} {self.uri} {SIP_VERSION}" if self.method else f"{SIP_VERSION} {self.status} {self.phrase}"]
        lines += [f"{name}: {value}" for name, value in self.fields if name != "Content-Length"]
        lines.append(f"Content-Length: {len(self.body)}\r\n\r\n")
        return "\r\n".join(lines).encode("utf-8", "surrogateescape") + self.body


def split_list(value: str) -> list[str]:
    """Split at commas outside quotes and angle brackets; empty parts are dropped."""
    if '"' not in value and "<" not in value:
        return [part.strip() for part in value.split(",") if part.strip()]
    parts, start, quoted, angled, escaped = [], 0, False, False, False
    for index, char in enumerate(value):
        if escaped:
            escaped = False
        elif quoted:
            if char == "\\":
                escaped = True
            elif char == '"':
                quoted = False
        elif char == '"' and not angled:
            quoted = True
        elif char == "<":
            angled = True
        elif char == ">":
            angled = False
        elif char == "," and not angled:
            parts.append(value[start:index].strip())
            start = index + 1
    parts.append(value[start:].strip())
    return [part for part in parts if part]


def parse(data: bytes, stream: bool = False) -> Message:
    """Parse one complete message.

    In a datagram, bytes beyond Content-Length are dropped and a shorter body is an error (section 18.3); in a stream
    the framer has already cut the body to that length. Raises BadMessageError.
    """
    header_end = data.find(b"\r\n\r\n")
    if header_end < 0:
        raise BadMessageError("no empty line ends the header", 0)
    if header_end > MAX_HEADER_BYTES:
        raise BadMessageError("header over the size limit", 513)
    head, body = data[:header_end], data[header_end + 4 :]
    if b"\0" in head:
        raise BadMessageError("NUL in the header", 0)
    text = head.lstrip(b"\r\n").decode("utf-8", "surrogateescape")
    lines = text.split("\r\n")
    if "\r\n " in text or "\r\n\t" in text:  # a folded line continues the one before (section 7.3.1)
        lines = _unfold(lines)
    message = _start_line(lines[0])
    fields = message.fields
    canonical = CANONICAL_NAMES
    for line in lines[1:]:
        raw_name, colon, value = line.partition(":")
        name = canonical.get(raw_name)
        if name is None:
            raw_name = raw_name.rstrip(" \t")
            if not colon or not raw_name or not TOKEN_CHARACTERS.issuperset(raw_name):
                raise BadMessageError(f"a line of the header is no field: {line[:40]!r}", 400, message)
            name = canonical_name(raw_name)
        elif not colon:
            raise BadMessageError(f"a line of the header is no field: {line[:40]!r}", 400, message)
        fields.append((name, value.strip(" \t")))
    if len(fields) > MAX_FIELDS:
        raise BadMessageError("too many header fields", 513, message)
    length = message.get("Content-Length", "-")
    if length != "-":
        if not length.isascii() or not length.isdigit():
            raise BadMessageError("Content-Length is not a number", 400, message)
        if int(length) > len(body):
            raise BadMessageError("the body is shorter than Content-Length", 400, message)
        body = body[: int(length)]
    message.body = body
    return message


def _unfold(lines: list[str]) -> list[str]:
    unfolded: list[str] = []
    for line in lines:
        if line[:1] in (" ", "\t") and len(unfolded) > 1:
            unfolded[-1] += " " + line.strip(" \t")
        else:
            unfolded.append(line)
    return unfolded


def _start_line(line: str) -> Message:
    if "\r" in line or "\n" in line:
        raise BadMessageError("a bare CR or LF in the start line", 0)
    if line.startswith("SIP/"):
        version, _, rest = line.partition(" ")
        code, _, phrase = rest.partition(" ")
        if version != SIP_VERSION or len(code) != 3 or not code.isascii() or not code.isdigit() or code < "100" or code >= "700":
            raise BadMessageError("bad status line", 0)
        return Message(status=int(code), phrase=phrase)
    parts = line.split(" ")
    if len(parts) != 3 or not parts[0] or not TOKEN_CHARACTERS.issuperset(parts[0]):
        raise BadMessageError("bad request line", 400 if line.endswith(SIP_VERSION) else 0)
    method, uri, version = parts
    if not version.startswith("SIP/"):
        raise BadMessageError("bad request line", 0)
    message = Message(method=method, uri=uri)
    if version != SIP_VERSION:
        raise BadMessageError("SIP version not known", 505, message)
    return message


def check_request(message: Message) -> None:
    """Check the mandatory fields of a request, which occur once each (section 8.1.1).

    Raises BadMessageError with the status of the response.
    """
    names = [name for name, _ in message.fields]
    if "Via" not in names:
        raise BadMessageError("Via is missing", 0, message)  # there is no address for a response
    for name in ("From", "To", "Call-ID", "CSeq"):
        if names.count(name) != 1:
            raise BadMessageError(f"{name} is missing" if name not in names else f"{name} stands twice", 400, message)
    for name in ("Max-Forwards", "Content-Length"):
        if names.count(name) > 1:
            raise BadMessageError(f"{name} stands twice", 400, message)
    _, method = message.cseq()
    if method != message.method:
        raise BadMessageError("CSeq names another method", 400, message)
    scheme, _, rest = message.uri.partition(":")
    if scheme != "sip" and scheme.lower() not in ("sip", "sips", "tel"):
        raise BadMessageError("the Request-URI's scheme is not served", 416, message)
    if "<" in rest or not rest:
        raise BadMessageError("the Request-URI is not a URI", 400, message)


def response(request: Message, status: int, tag: str = "", fields: Iterable[tuple[str, str]] = (), body: bytes = b"") -> Message:
    """Build a response to a request (section 8.2.6), with its Via, From, To, Call-ID and CSeq.

    `tag` is added to To unless it has one; Record-Route is copied into responses that establish a dialog.
    """
    answer = Message(status=status, phrase=REASON_PHRASES.get(status, "Unknown"), body=body)
    response_fields = answer.fields
    for name, value in request.fields:
        if name in ("Via", "From", "Call-ID", "CSeq"):
            response_fields.append((name, value))
        elif name == "To":
            response_fields.append((name, f"{value};tag={tag}" if tag and ";tag=" not in value else value))
        elif name == "Record-Route" and 180 <= status < 300:
            response_fields.append((name, value))
    response_fields.extend(fields)
    return answer
