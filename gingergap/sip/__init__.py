"""SIP without I/O: messages, transactions and dialogs (RFC 3261, RFC 6026). Nothing here reads a clock or a socket."""
