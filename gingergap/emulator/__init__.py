"""A day in simulated time: exchanges, trunk groups, callers and faults as on the scripted days, around the same decision module
through the same `Host`. Deterministic by its seed; no sockets, no clock."""
