"""Structured logs on standard error: one logfmt line per event, written by structlog."""

import logging
import sys
from typing import Any

import structlog


def configure_logging(level: str) -> Any:
    """Configure structlog and return a logger that drops events below `level`."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"]),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.WriteLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    return structlog.get_logger()
