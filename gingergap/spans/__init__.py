"""Dialogs as trees of OpenTelemetry spans, each with its place in the trace: a slow call leads to its decisions."""
