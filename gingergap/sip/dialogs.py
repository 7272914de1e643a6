"""Dialog state of a user agent, and requests within a dialog (RFC 3261 section 12)."""

from .fields import parse_address, parse_uri, tag_of
from .message import BadMessageError, Message
from .transactions import Hop


class SipDialog:
    """The dialog state at one end.

    `local` and `remote` are From and To values with tags, `target` is the remote contact URI, `route` the route set
    with the nearest hop first.
    """

    __slots__ = ("call_id", "local", "remote", "target", "route", "cseq", "remote_cseq", "invite_cseq")

    def __init__(self, call_id: str, local: str, remote: str, target: str, route: list[str], cseq: int, remote_cseq: int) -> None:
        self.call_id, self.local, self.remote, self.target, self.route = call_id, local, remote, target, route
        self.cseq, self.remote_cseq = cseq, remote_cseq
        self.invite_cseq = cseq

    @classmethod
    def from_response(cls, answer: Message) -> "SipDialog":
        """The caller's dialog state from a response that establishes a dialog (section 12.1.2).

        The route set is Record-Route in reverse. Raises BadMessageError if Contact is missing.
        """
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
        """The callee's dialog state from an accepted request (section 12.1.1), with `tag` as its own tag.

        The route set is Record-Route in order. Raises BadMessageError if Contact is missing.
        """
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
        """Build a request within the dialog (section 12.2.1.1). An ACK has the CSeq number of its INVITE."""
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

    def accept_request(self, message: Message) -> bool:
        """Record the CSeq number of a request from the remote end; False if it is out of order (section 12.2.2)."""
        number, _ = message.cseq()
        if self.remote_cseq and number < self.remote_cseq:
            return False
        self.remote_cseq = number
        return True


def next_hop(message: Message) -> Hop:
    """The next hop of a request (section 8.1.2): its first Route, else its Request-URI. Raises BadMessageError."""
    routes = message.all("Route")
    uri = parse_uri(parse_address(routes[0])[0] if routes else message.uri)
    transport = uri.params.get("transport", "udp").upper()
    if transport not in ("UDP", "TCP") or not uri.host:
        raise BadMessageError("the next hop is not one that is served", 400, message)
    return Hop(transport, uri.host, uri.port)


def dialog_to_release(answer: Message, own_address: tuple[str, int]) -> SipDialog:
    """The dialog established by an unwanted 2xx, as seen by the proxy at `own_address` on its path.

    The response holds everything that ACK and BYE need, so a leg can be released without any other state. Raises
    BadMessageError.
    """
    dialog = SipDialog.from_response(answer)
    for index, entry in enumerate(dialog.route):
        uri = parse_uri(parse_address(entry)[0])
        if (uri.host, uri.port) == own_address:
            dialog.route = dialog.route[index + 1 :]
            break
    return dialog
