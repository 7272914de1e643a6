"""Simulated peers of a proxy for scripted days: exchanges, callers, the exchange list and faults; and the rule checker."""
