"""Stand-ins for what a proxy meets: exchanges, callers, the exchange list, faults; and the checker of the rules."""
