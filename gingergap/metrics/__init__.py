"""Counters and histograms of a running proxy in Prometheus's format, derived from its trace."""
