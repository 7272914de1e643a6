"""SIP messages, transactions and dialogs without I/O or clock (RFC 3261, RFC 6026)."""
