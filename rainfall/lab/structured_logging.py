"""The lab's log: a JSON line for each event, with the time of the monotonic clock."""

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
    """Write the lab's log to ``path``; the caller closes the returned file at the end."""
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
    """A logger whose lines have the fields ``bound``."""
    return structlog.get_logger().bind(process="lab", **bound)
