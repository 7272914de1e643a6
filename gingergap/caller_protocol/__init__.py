"""The callers' JSON lines, without I/O: read and checked, and written."""
