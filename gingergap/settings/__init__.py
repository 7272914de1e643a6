"""Settings files: S-expressions read with a library, checked with a library, faults told one line each."""
