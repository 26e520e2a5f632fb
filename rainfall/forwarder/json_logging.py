"""The forwarder's log as JSON, one event a line.

It is used where the configuration says ``log_format = "json"``. Each line has
``event``, ``level``, ``logger``, ``process`` (the forwarder's name), ``role``, ``pid``
and ``t_ns`` (``time.monotonic_ns``, the one clock of the machine, so that the fault lab
can order the lines of several processes), and ``message_id`` where the line is about
one message. structlog is imported only here.
"""

from __future__ import annotations

import logging
import os
import sys
import time
from collections.abc import MutableMapping
from typing import Any


def install_json_logging(name: str) -> None:
    """Log JSON to standard error in place of plain text, with the lines of each message.

    Args:
        name: The forwarder's name.

    Raises:
        ImportError: structlog is missing.
    """
    import structlog

    def stamp(
        _: Any, __: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        # A line may give the time of what it reports itself.
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
                stamp,
            ],
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    logging.getLogger("rainfall.trace").setLevel(logging.INFO)
