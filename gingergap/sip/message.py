"""SIP messages: bytes in, header fields in order, bytes out (RFC 3261 section 7).

Parsing is lazy: a message is cut into lines and names once, and a field's own grammar is looked at only when
somebody asks for it (see fields.py). What makes a message unusable is told by BadMessageError, with the
status that the RFC gives for it, or none where silence is the answer.
"""

from collections.abc import Iterable

MOST_HEAD = 16_384  # bytes of start line and header fields
MOST_FIELDS = 256
VERSION = "SIP/2.0"
KNOWN = (
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
COMPACT = {  # RFC 3261 section 7.3.3 and the RFCs of events
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
NAMES = (
    {name: name for name in KNOWN}
    | {name.lower(): name for name in KNOWN}
    | COMPACT
    | {short.upper(): name for short, name in COMPACT.items()}
)
LISTED = frozenset(
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
TOKEN = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-.!%*_+`'~")
PHRASES = {
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
    """Bytes that are no usable SIP message. `status` is what a request is answered with; 0 means silence."""

    def __init__(self, why: str, status: int = 400, message: "Message | None" = None) -> None:
        super().__init__(why)
        self.status, self.message = status, message


def name_of(raw: str) -> str:
    """A field name in the one spelling used inside: names match whatever their case (section 7.3.1)."""
    return NAMES.get(raw) or NAMES.get(raw.lower()) or raw.title()


class Message:
    """A request (`method` and `uri` set) or a response (`status` and `phrase` set)."""

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
        """The first field of that name, whole."""
        for field, value in self.fields:
            if field == name:
                return value
        return default

    def all(self, name: str) -> list[str]:
        """Every value of a field that may be given as a list, in order (section 7.3.1)."""
        values = []
        for field, value in self.fields:
            if field == name:
                if "," in value and name in LISTED:
                    values.extend(split_list(value))
                else:
                    values.append(value)
        return values

    def has(self, name: str) -> bool:
        for field, _ in self.fields:  # noqa: SIM110 - a generator costs twice as much, some ten times a call
            if field == name:
                return True
        return False

    def put(self, name: str, value: str) -> None:
        """Set a field that stands once, in its old place or else at the end."""
        for place, (field, _) in enumerate(self.fields):
            if field == name:
                self.fields[place] = (name, value)
                return
        self.fields.append((name, value))

    def push(self, name: str, value: str) -> None:
        """Put a value before all others of its name: Via, Record-Route, Route."""
        self.fields.insert(0, (name, value))

    def drop(self, name: str) -> None:
        self.fields = [entry for entry in self.fields if entry[0] != name]

    def pop_first(self, name: str) -> str:
        """Take the topmost value of a list field off; an empty text where there is none."""
        for place, (field, value) in enumerate(self.fields):
            if field == name:
                parts = split_list(value) if "," in value else [value]
                if len(parts) > 1:
                    self.fields[place] = (name, ", ".join(parts[1:]))
                else:
                    del self.fields[place]
                return parts[0]
        return ""

    def replace_first(self, name: str, value: str) -> None:
        for place, (field, old) in enumerate(self.fields):
            if field == name:
                parts = split_list(old) if "," in old else [old]
                self.fields[place] = (name, ", ".join([value, *parts[1:]]))
                return

    def copy(self) -> "Message":
        return Message(self.method, self.uri, self.status, self.phrase, self.fields, self.body)

    @property
    def call_id(self) -> str:
        return self.get("Call-ID")

    def cseq(self) -> tuple[int, str]:
        """Number and method (section 20.16); raises BadMessageError."""
        number, _, method = self.get("CSeq").strip().partition(" ")
        method = method.strip()
        if not number.isascii() or not number.isdigit() or int(number) >= 1 << 32 or not method:
            raise BadMessageError("CSeq is not a number and a method", 400, self)
        return int(number), method

    def __bytes__(self) -> bytes:
        lines = [f"{self.method} {self.uri} {VERSION}" if self.method else f"{VERSION} {self.status} {self.phrase}"]
        lines += [f"{name}: {value}" for name, value in self.fields if name != "Content-Length"]
        lines.append(f"Content-Length: {len(self.body)}\r\n\r\n")
        return "\r\n".join(lines).encode("utf-8", "surrogateescape") + self.body


def split_list(value: str) -> list[str]:
    """Parts between commas that stand outside quotes and angle brackets."""
    if '"' not in value and "<" not in value:
        return [part.strip() for part in value.split(",") if part.strip()]
    parts, start, quoted, angled, escaped = [], 0, False, False, False
    for place, char in enumerate(value):
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
            parts.append(value[start:place].strip())
            start = place + 1
    parts.append(value[start:].strip())
    return [part for part in parts if part]


def parse(data: bytes, stream: bool = False) -> Message:
    """One whole message. Over a datagram, bytes past Content-Length are dropped and too few are an error
    (section 18.3); in a stream the framer has cut the body to length already."""
    cut = data.find(b"\r\n\r\n")
    if cut < 0:
        raise BadMessageError("no empty line ends the header", 0)
    if cut > MOST_HEAD:
        raise BadMessageError("header over the size limit", 513)
    head, body = data[:cut], data[cut + 4 :]
    if b"\0" in head:
        raise BadMessageError("NUL in the header", 0)
    text = head.lstrip(b"\r\n").decode("utf-8", "surrogateescape")
    lines = text.split("\r\n")
    if "\r\n " in text or "\r\n\t" in text:  # folded lines: a run of white space (section 7.3.1)
        lines = _unfold(lines)
    message = _start_line(lines[0])
    fields = message.fields
    known = NAMES
    for line in lines[1:]:
        raw, colon, value = line.partition(":")
        name = known.get(raw)
        if name is None:
            raw = raw.rstrip(" \t")
            if not colon or not raw or not TOKEN.issuperset(raw):
                raise BadMessageError(f"a line of the header is no field: {line[:40]!r}", 400, message)
            name = name_of(raw)
        elif not colon:
            raise BadMessageError(f"a line of the header is no field: {line[:40]!r}", 400, message)
        fields.append((name, value.strip(" \t")))
    if len(fields) > MOST_FIELDS:
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
    whole: list[str] = []
    for line in lines:
        if line[:1] in (" ", "\t") and len(whole) > 1:
            whole[-1] += " " + line.strip(" \t")
        else:
            whole.append(line)
    return whole


def _start_line(line: str) -> Message:
    if "\r" in line or "\n" in line:
        raise BadMessageError("a bare CR or LF in the start line", 0)
    if line.startswith("SIP/"):
        version, _, rest = line.partition(" ")
        code, _, phrase = rest.partition(" ")
        if version != VERSION or len(code) != 3 or not code.isascii() or not code.isdigit() or code < "100" or code >= "700":
            raise BadMessageError("bad status line", 0)
        return Message(status=int(code), phrase=phrase)
    parts = line.split(" ")
    if len(parts) != 3 or not parts[0] or not TOKEN.issuperset(parts[0]):
        raise BadMessageError("bad request line", 400 if line.endswith(VERSION) else 0)
    method, uri, version = parts
    if not version.startswith("SIP/"):
        raise BadMessageError("bad request line", 0)
    message = Message(method=method, uri=uri)
    if version != VERSION:
        raise BadMessageError("SIP version not known", 505, message)
    return message


def check_request(message: Message) -> None:
    """What every request must carry, each once (section 8.1.1); raises BadMessageError with the status."""
    names = [name for name, _ in message.fields]
    if "Via" not in names:
        raise BadMessageError("Via is missing", 0, message)  # nowhere to answer to
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
    """A response to a request (section 8.2.6): Via, From, To, Call-ID and CSeq as they came."""
    answer = Message(status=status, phrase=PHRASES.get(status, "Unknown"), body=body)
    kept = answer.fields
    for name, value in request.fields:
        if name in ("Via", "From", "Call-ID", "CSeq"):
            kept.append((name, value))
        elif name == "To":
            kept.append((name, f"{value};tag={tag}" if tag and ";tag=" not in value else value))
        elif name == "Record-Route" and 180 <= status < 300:
            kept.append((name, value))
    kept.extend(fields)
    return answer
