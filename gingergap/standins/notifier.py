"""The notifier of an event package (RFC 6665), for the exchange list and the exchanges: subscriptions and state versions."""

import secrets

import msgspec

from ..sip.dialogs import SipDialog, next_hop
from ..sip.fields import parse_seconds
from ..sip.message import BadMessageError, Message, response
from ..sip.transactions import MAGIC_COOKIE, ClientTransaction, ServerTransaction, Transactions

SECOND = 10_000  # in the transactions' time unit, 0.1 ms


class Subscription:
    """One subscriber's dialog. `expires_at` is in units of 0.1 ms; `key` is the Call-ID."""

    __slots__ = ("dialog", "expires_at", "key", "started")

    def __init__(self, dialog: SipDialog, expires_at: int, key: str) -> None:
        self.dialog, self.expires_at, self.key = dialog, expires_at, key


class Notifier:
    """The notifier of one event package.

    The state is a list of entries, each a JSON object, kept by key. `list_field` names the list in the body of a NOTIFY; every body
    also has `version`, `state` (full or partial) and `epoch`, which differs after a restart. Times are in units of 0.1 ms.
    """

    def __init__(self, transactions: Transactions, event: str, list_field: str, contact: str, max_expires: int = 3600) -> None:
        self.transactions, self.event, self.list_field, self.contact = transactions, event, list_field, contact
        self.max_expires = max_expires
        self.epoch = secrets.token_hex(4)
        self.version = 0
        self.entries: dict[object, dict[str, object]] = {}
        self.subscriptions: dict[str, Subscription] = {}

    def subscribe(self, now: int, server: ServerTransaction, message: Message) -> None:
        """Answer an initial or refreshing SUBSCRIBE and send the full state at once."""
        try:
            expires = min(parse_seconds(message, "Expires", self.max_expires), self.max_expires)
            subscription = self.subscriptions.get(message.call_id)
            tag = secrets.token_hex(4)
            if ";tag=" in message.get("To"):
                if subscription is None:
                    self.transactions.respond(now, server, response(message, 481))
                    return
                subscription.expires_at = now + expires * SECOND
            else:
                subscription = Subscription(SipDialog.from_request(message, tag), now + expires * SECOND, message.call_id)
        except BadMessageError as bad:
            self.transactions.respond(now, server, response(message, bad.status or 400))
            return
        self.transactions.respond(
            now, server, response(message, 200, tag, [("Expires", str(expires)), ("Contact", f"<{self.contact}>")])
        )
        self.subscriptions[message.call_id] = subscription
        self._notify(now, subscription, "full", list(self.entries.values()))
        if expires == 0:
            del self.subscriptions[message.call_id]

    def update(self, now: int, entries: dict[object, dict[str, object]]) -> None:
        """Add or replace entries and send them to all subscribers as a partial state."""
        self.entries.update(entries)
        self.version += 1
        for subscription in list(self.subscriptions.values()):
            if subscription.expires_at <= now:
                del self.subscriptions[subscription.key]
            else:
                self._notify(now, subscription, "partial", list(entries.values()))

    def notify_failed(self, client: ClientTransaction) -> None:
        """End the subscription of a NOTIFY that got no response."""
        if isinstance(client.owner, Subscription):
            self.subscriptions.pop(client.owner.key, None)

    def notify_answered(self, client: ClientTransaction, message: Message) -> None:
        """End the subscription of a NOTIFY that was refused."""
        if isinstance(client.owner, Subscription) and message.status >= 300:
            self.subscriptions.pop(client.owner.key, None)

    def _notify(self, now: int, subscription: Subscription, state: str, entries: list[dict[str, object]]) -> None:
        message = subscription.dialog.request("NOTIFY")
        remaining = max(0, subscription.expires_at - now) // SECOND
        message.fields += [
            ("Event", self.event),
            ("Contact", f"<{self.contact}>"),
            ("Subscription-State", f"active;expires={remaining}" if remaining else "terminated"),
            ("Content-Type", "application/json"),
        ]
        message.body = msgspec.json.encode({"version": self.version, "state": state, "epoch": self.epoch, self.list_field: entries})
        self.transactions.request(now, message, next_hop(message), MAGIC_COOKIE + secrets.token_hex(8), subscription)
