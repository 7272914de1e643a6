"""The proxy process of a platform: one `CallController` between callers' JSON lines, switches' SIP and the event bus."""
