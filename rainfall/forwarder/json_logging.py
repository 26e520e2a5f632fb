"""JSON logging for the forwarder, one event per line.

It is enabled by ``log_format = "json"`` in the configuration. Each line has ``event``,
``level``, ``logger``, ``process`` (the forwarder's name), ``role``, ``pid`` and
``t_ns``, and ``message_id`` if the line is about one message. ``t_ns`` is
``time.monotonic_ns()``: all processes of a machine share this clock, so that the fault
lab can order their lines. structlog is imported only here.
"""

from __future__ import annotations

import logging
import os
import sys
import time
from collections.abc import MutableMapping
from typing import Any


def install_json_logging(name: str) -> None:
    """Log JSON to standard error instead of plain text.

    Also enables `rainfall.trace`, which logs events of single messages.

    Args:
        name: The forwarder's name.

    Raises:
        ImportError: structlog is not installed.
    """
    import structlog

    def add_process_fields(
        _: Any, __: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        # A line may already have the time of the event that it reports.
        event.setdefault("t_ns", time.monotonic_ns())
        event.update(process=name, role="forwarder", pid=os.getpid())
        return event

    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                structlog.processors.JSONRenderer(),
            ],
            foreign_pre_chain=[
                structlog.stdlib.add_log_level,
                structlog.stdlib.add_logger_name,
                structlog.stdlib.ExtraAdder(),
                add_process_fields,
            ],
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    logging.getLogger("rainfall.trace").setLevel(logging.INFO)
