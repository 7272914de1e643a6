"""The adapter between the simulator's wire and the controllers of its proxies."""
