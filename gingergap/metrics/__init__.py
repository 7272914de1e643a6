"""Counts and histograms of a running proxy in Prometheus's form, from what its trace tells."""
