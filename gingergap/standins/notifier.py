"""The notifier's half of RFC 6665, for the exchange list and the exchanges: who has subscribed, and versions."""

import secrets

import msgspec

from ..sip.dialogs import SipDialog, next_hop
from ..sip.fields import parse_seconds
from ..sip.message import BadMessageError, Message, response
from ..sip.transactions import MAGIC_COOKIE, ClientTransaction, ServerTransaction, Transactions

SECOND = 10_000


class Subscription:
    __slots__ = ("dialog", "ends", "key", "started")

    def __init__(self, dialog: SipDialog, ends: int, key: str) -> None:
        self.dialog, self.ends, self.key = dialog, ends, key


class Notifier:
    """One event package. `field` names the list in the body; lines are kept by key."""

    def __init__(self, transactions: Transactions, event: str, field: str, contact: str, longest: int = 3600) -> None:
        self.transactions, self.event, self.field, self.contact = transactions, event, field, contact
        self.longest = longest
        self.epoch = secrets.token_hex(4)
        self.version = 0
        self.lines: dict[object, dict[str, object]] = {}
        self.subscriptions: dict[str, Subscription] = {}

    def subscribe(self, now: int, server: ServerTransaction, message: Message) -> None:
        """A SUBSCRIBE, the first or one that refreshes: answered, and the full state sent at once."""
        try:
            lasts = min(parse_seconds(message, "Expires", self.longest), self.longest)
            subscription = self.subscriptions.get(message.call_id)
            tag = secrets.token_hex(4)
            if ";tag=" in message.get("To"):
                if subscription is None:
                    self.transactions.respond(now, server, response(message, 481))
                    return
                subscription.ends = now + lasts * SECOND
            else:
                subscription = Subscription(SipDialog.from_request(message, tag), now + lasts * SECOND, message.call_id)
        except BadMessageError as bad:
            self.transactions.respond(now, server, response(message, bad.status or 400))
            return
        self.transactions.respond(
            now, server, response(message, 200, tag, [("Expires", str(lasts)), ("Contact", f"<{self.contact}>")])
        )
        self.subscriptions[message.call_id] = subscription
        self._notify(now, subscription, "full", list(self.lines.values()))
        if lasts == 0:
            del self.subscriptions[message.call_id]

    def changed(self, now: int, lines: dict[object, dict[str, object]]) -> None:
        """Some lines are new or others; told to all as a change."""
        self.lines.update(lines)
        self.version += 1
        for subscription in list(self.subscriptions.values()):
            if subscription.ends <= now:
                del self.subscriptions[subscription.key]
            else:
                self._notify(now, subscription, "partial", list(lines.values()))

    def lost(self, client: ClientTransaction) -> None:
        """A NOTIFY that nobody answered ends its subscription."""
        if isinstance(client.owner, Subscription):
            self.subscriptions.pop(client.owner.key, None)

    def answered(self, client: ClientTransaction, message: Message) -> None:
        if isinstance(client.owner, Subscription) and message.status >= 300:
            self.subscriptions.pop(client.owner.key, None)

    def _notify(self, now: int, subscription: Subscription, state: str, lines: list[dict[str, object]]) -> None:
        message = subscription.dialog.request("NOTIFY")
        left = max(0, subscription.ends - now) // SECOND
        message.fields += [
            ("Event", self.event),
            ("Contact", f"<{self.contact}>"),
            ("Subscription-State", f"active;expires={left}" if left else "terminated"),
            ("Content-Type", "application/json"),
        ]
        message.body = msgspec.json.encode({"version": self.version, "state": state, "epoch": self.epoch, self.field: lines})
        self.transactions.request(now, message, next_hop(message), MAGIC_COOKIE + secrets.token_hex(8), subscription)
