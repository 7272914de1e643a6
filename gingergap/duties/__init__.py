"""Periodic duties shared by proxies that may coordinate: who does which, under which lease, and fenced by tokens. Decisions
without I/O; the edge runs them (edge/coordination.py)."""
