"""The exchange list's event bus: a long poll over HTTP/1.1, without I/O, and its events checked."""
