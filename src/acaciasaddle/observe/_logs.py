"""Configuration of structlog: one line per event, with a prefix for the part of the program."""

from __future__ import annotations

import logging
import sys
import traceback
from typing import Any
from typing import TextIO
from typing import cast

import structlog

from acaciasaddle.observe._bounded import BoundedWriter
from acaciasaddle.observe._bounded import RateLimiter

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING}


def _add_prefix(_: Any, __: str, event: structlog.types.EventDict) -> structlog.types.EventDict:
    part = event.pop("part", "")
    event["event"] = f"[{part}] {event['event']}"
    return event


def configure_node_logging(*, level: str, host: str) -> BoundedWriter:
    """Send log lines to standard output as JSON objects, and return the writer that buffers them.

    Lines are limited in rate, and writing them does not block.
    """
    writer = BoundedWriter(fd=sys.stdout.fileno())
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            RateLimiter(),
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _add_prefix,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        # The logger calls only write and flush, which the writer has.
        logger_factory=structlog.WriteLoggerFactory(file=cast("TextIO", writer)),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(host=host)
    return writer


def configure_logging(*, level: str = "info", json: bool = False, host: str = "") -> None:
    """Send log lines to standard error, as text or as one JSON object per line."""
    renderer: Any = (
        structlog.processors.JSONRenderer()
        if json
        else structlog.processors.KeyValueRenderer(key_order=["timestamp", "level", "event"])
    )
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _add_prefix,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(host=host)


def get_logger(part: str) -> Any:
    """Return a logger whose events begin with ``[part]``."""
    return structlog.get_logger(part=part)


def describe_error(exc: BaseException) -> str:
    """Return an unexpected error's type and message, and the line of code that raised it."""
    frames = traceback.extract_tb(exc.__traceback__)
    where = f" ({frames[-1].filename}:{frames[-1].lineno})" if frames else ""
    return f"{exc!r}{where}"
