"""The control socket of a running proxy: questions and answers as JSON lines over a local socket."""
