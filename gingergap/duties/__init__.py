"""Periodic duties shared among coordinating proxies: which proxy performs each one, under a lease granted by a majority and
with fencing tokens. A protocol without I/O; the edge performs its actions (edge/coordination.py)."""
