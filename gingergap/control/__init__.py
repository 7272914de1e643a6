"""The control socket of a running proxy: one JSON object a line over a local Unix socket."""
