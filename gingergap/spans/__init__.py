"""Dialogs as trees of OpenTelemetry spans, each with its position in the trace, which leads from a slow call to its records."""
