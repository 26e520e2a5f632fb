"""Structured log lines of the lab (JSON, one an event), with the time on the lab's one
monotonic clock.
"""

from __future__ import annotations

import time
from collections.abc import MutableMapping
from pathlib import Path
from typing import IO, Any

import structlog


def _add_timestamp(
    _: Any, __: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    event["t_ns"] = time.monotonic_ns()
    return event


def configure(path: Path) -> IO[str]:
    """Send the lab's log lines to ``path``; the caller closes what is returned at the
    end.
    """
    sink = path.open("a")
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            _add_timestamp,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.WriteLoggerFactory(file=sink),
        cache_logger_on_first_use=False,
    )
    return sink


def logger(**bound: Any) -> Any:
    return structlog.get_logger().bind(process="lab", **bound)
