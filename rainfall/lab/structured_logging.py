"""The log of the lab: one JSON line for each event, with the monotonic time in ns."""

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
    """Append the log of the lab to ``path``; the caller closes the returned file."""
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
    """A logger that adds the fields ``bound`` to each line."""
    return structlog.get_logger().bind(process="lab", **bound)
