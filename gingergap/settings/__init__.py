"""Settings files: S-expressions, parsed and validated against pydantic models, with one line for each error."""
