"""Discrete-event emulation of a scripted day: exchanges, trunk groups, callers and faults as on the stand-ins, around unmodified
controllers that are reached through `Host`. Deterministic for a given seed; uses no sockets and no clock."""
