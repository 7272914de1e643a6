"""Dialogs of RFC 3261 section 12: what a user agent keeps of one, and requests built within it."""

from .fields import parse_address, parse_uri, tag_of
from .message import BadMessageError, Message
from .transactions import Hop


class SipDialog:
    """One end's view. `route` is the route set, nearest first; `target` the far end's contact."""

    __slots__ = ("call_id", "local", "remote", "target", "route", "cseq", "remote_cseq", "invite_cseq")

    def __init__(self, call_id: str, local: str, remote: str, target: str, route: list[str], cseq: int, remote_cseq: int) -> None:
        self.call_id, self.local, self.remote, self.target, self.route = call_id, local, remote, target, route
        self.cseq, self.remote_cseq = cseq, remote_cseq
        self.invite_cseq = cseq

    @classmethod
    def from_response(cls, answer: Message) -> "SipDialog":
        """From a response that makes a dialog (section 12.1.2): Record-Route in reverse is the route set."""
        number, _ = answer.cseq()
        contact = answer.all("Contact")
        if not contact:
            raise BadMessageError("a 2xx to INVITE lacks Contact")
        return cls(
            answer.call_id,
            answer.get("From"),
            answer.get("To"),
            parse_address(contact[0])[0],
            answer.all("Record-Route")[::-1],
            number,
            0,
        )

    @classmethod
    def from_request(cls, invite: Message, tag: str) -> "SipDialog":
        """From a request taken (section 12.1.1): Record-Route in order is the route set."""
        contact = invite.all("Contact")
        if not contact:
            raise BadMessageError("INVITE lacks Contact", 400, invite)
        number, _ = invite.cseq()
        to = invite.get("To")
        return cls(
            invite.call_id,
            to if tag_of(to) else f"{to};tag={tag}",
            invite.get("From"),
            parse_address(contact[0])[0],
            invite.all("Record-Route"),
            0,
            number,
        )

    def request(self, method: str) -> Message:
        """A request within the dialog (section 12.2.1.1). An ACK repeats the INVITE's number."""
        if method == "ACK":
            number = self.invite_cseq
        else:
            self.cseq += 1
            number = self.cseq
        message = Message(method, self.target)
        message.fields = [("Route", entry) for entry in self.route]
        message.fields += [
            ("From", self.local),
            ("To", self.remote),
            ("Call-ID", self.call_id),
            ("CSeq", f"{number} {method}"),
            ("Max-Forwards", "70"),
        ]
        return message

    def taken(self, message: Message) -> bool:
        """Whether a request from the far end comes in order (section 12.2.2)."""
        number, _ = message.cseq()
        if self.remote_cseq and number < self.remote_cseq:
            return False
        self.remote_cseq = number
        return True


def next_hop(message: Message) -> Hop:
    """Where a request goes next (section 8.1.2): its first Route, else its Request-URI. Raises BadMessageError."""
    routes = message.all("Route")
    uri = parse_uri(parse_address(routes[0])[0] if routes else message.uri)
    transport = uri.params.get("transport", "udp").upper()
    if transport not in ("UDP", "TCP") or not uri.host:
        raise BadMessageError("the next hop is not one that is served", 400, message)
    return Hop(transport, uri.host, uri.port)


def release_of(answer: Message, own: tuple[str, int]) -> SipDialog:
    """The dialog of a 2xx that nobody wants, as seen by the proxy at `own` on its path: everything that ACK
    and BYE need stands in the response, so a leg is released even when nothing else is known of it."""
    dialog = SipDialog.from_response(answer)
    for place, entry in enumerate(dialog.route):
        uri = parse_uri(parse_address(entry)[0])
        if (uri.host, uri.port) == own:
            dialog.route = dialog.route[place + 1 :]
            break
    return dialog
