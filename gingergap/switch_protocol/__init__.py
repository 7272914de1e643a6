"""The switches' SIP, without I/O, on the messages and framing of `sip`: its few methods read, and written."""
