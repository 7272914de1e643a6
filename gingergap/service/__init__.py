"""The proxy in service on a platform: one `CallController` between callers' lines, switches' SIP and the event bus."""
