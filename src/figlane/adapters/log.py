"""structlog configuration."""

from __future__ import annotations

import logging
import sys
from typing import Any

import msgspec
import structlog


def _to_json(line: Any, **_: Any) -> str:
    return msgspec.json.encode(line, enc_hook=repr).decode()


def configure_log(log_format: str, stream: Any = sys.stderr) -> None:
    """Configure structlog to write lines of INFO and above to a stream.

    :param log_format: ``json`` or ``console``.
    :param stream: file-like object; defaults to standard error.
    """
    renderer: structlog.types.Processor = structlog.processors.JSONRenderer(
        serializer=_to_json,
    )
    if log_format == 'console':
        renderer = structlog.dev.ConsoleRenderer()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(stream),
        cache_logger_on_first_use=True,
    )
