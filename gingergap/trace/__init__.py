"""Trace files: a proxy's decision inputs (events) and outputs (actions) in order, for replay and analysis."""
