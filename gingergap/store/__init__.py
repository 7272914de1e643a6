"""State that a proxy keeps across restarts: what it learned about exchanges, the last exchange list, established dialogs and
the counters of duty leases."""
