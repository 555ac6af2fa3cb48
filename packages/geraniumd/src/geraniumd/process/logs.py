"""Structured logs on standard error, one JSON object per line."""

import logging
import sys
from types import MappingProxyType

import structlog
from structlog.tracebacks import ExceptionDictTransformer

LEVELS_BY_NAME = MappingProxyType(
    {
        'debug': logging.DEBUG,
        'info': logging.INFO,
        'warning': logging.WARNING,
        'error': logging.ERROR,
    },
)

Logger = structlog.stdlib.BoundLogger


def configure_logs(level: str, host: str) -> None:
    """Configure logging of this process as JSON lines on standard error."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            # Tracebacks omit local variables, which may contain keys.
            structlog.processors.ExceptionRenderer(
                ExceptionDictTransformer(show_locals=False),
            ),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            LEVELS_BY_NAME[level],
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(host=host)


def get_logger() -> Logger:
    """Return the logger of this process."""
    logger: Logger = structlog.get_logger()
    return logger
