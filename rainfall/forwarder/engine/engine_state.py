"""State, clock, loggers and constants that several components of the engine share."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

from rainfall.forwarder.config.loading import Config
from rainfall.forwarder.inbound.server import ResponseWriter, SubmittedMessage
from rainfall.forwarder.units import NS_PER_US

if TYPE_CHECKING:
    from rainfall.forwarder.fleet.member import FleetMember

MIN_ROUND_INTERVAL_US = 5_000
"""Minimum time between the starts of two dispatch rounds.

The messages that one round sends to the same endpoint can be batched into one call.
"""
REJECTED_RETRY_AFTER_S = "1"
"""Value of the Retry-After header in a 503 response, in seconds."""
LOG_INTERVAL_US = 10_000_000
"""Minimum time between two log lines about the same ongoing condition."""
TICK_INTERVAL_S = 0.1
"""Time between two ticks of `PeriodicTasks`, and between retries of a failed commit."""
log = logging.getLogger("rainfall.engine")
trace_log = logging.getLogger("rainfall.trace")
"""Logs one line per message arrival, attempt and final outcome.

Disabled by default; `rainfall.forwarder.json_logging` enables it.
"""
trace_log.setLevel(logging.WARNING)


class EventKind(StrEnum):
    """Event counters of the summary line; the values are the words that it prints.

    The line also counts the outcomes of attempts, under the values of `Outcome`, and
    "untried: <reason>" for messages that were rejected or failed without an attempt.

    The final answer to an undelivered message has a different name in the dispatcher,
    the summary line, the metrics and the journal. External tools read the last three:

    ===============  ================  ==================  =========  =============
    Action           Decided           Summary line        Metric     Journal state
    ===============  ================  ==================  =========  =============
    `RejectMessage`  on arrival        "turned away"       throttled  (no record)
    `FailMessage`    on arrival        "turned away"       faulted    (no record)
    `RejectMessage`  after acceptance  "returned"          throttled  "returned"
    `FailMessage`    after acceptance  "given up"          faulted    "failed"
    (none)           before a round    "turned away full"  throttled  (no record)
    ===============  ================  ==================  =========  =============

    "On arrival" means in the first round after the submission. The client still waits
    for the HTTP response, so that response is the answer, and nothing is journaled.
    After acceptance the answer is a notification that carries the journal state.
    """

    ACCEPTED = "taken"
    """Journaled, and answered with 202."""
    REJECTED = "turned away"
    """Rejected or failed in the first round after the submission."""
    REJECTED_FULL = "turned away full"
    """Answered with 503 before a round: a capacity limit is reached, or no more rounds
    run.
    """
    RETURNED = "returned"
    """Rejected after acceptance; a notification is queued."""
    FAILED = "given up"
    """Failed after acceptance; a notification is queued."""


class Clock:
    """Unix time in microseconds that never goes back.

    It runs on the monotonic clock plus a fixed offset. The engine sets the offset to
    the journal's, so that the times in the journal stay valid after a restart.
    """

    def __init__(self) -> None:
        self.offset_ns = time.time_ns() - time.monotonic_ns()
        """Unix time minus the monotonic clock."""

    def __call__(self) -> int:
        """Return the current time in microseconds since 1970."""
        return (self.offset_ns + time.monotonic_ns()) // NS_PER_US


class Submission(NamedTuple):
    """A submitted message, and the writer of the HTTP response to its client."""

    message: SubmittedMessage
    writer: ResponseWriter


def durability_level(config: Config) -> str:
    """Return the active durability level: "power" or "process".

    A reload doesn't change the level; a new value takes effect at the next start.
    """
    return "power" if config.power else "process"


@dataclass(slots=True)
class EngineState:
    """State that several components read; each field names the one component that sets it.

    The phase of an engine is held in several flags. The table lists them in the order
    in which they are set, together with those of the server and the handover source. A
    flag stays set unless its line says otherwise.

    ============================  ==================================================
    Flag                          Set when
    ============================  ==================================================
    serving                       this process owns the journal, and the clients'
                                  socket listens
    paused_for_handover           a handover target requests the snapshot, while
                                  serving and before SIGTERM; cleared if the handover
                                  is aborted before the target owns the journal
    handover_source.transferred   the target requests ownership, so only during the
                                  pause, which then lasts until this engine ends
    server.draining               SIGTERM arrives, before or after a transfer; at the
                                  latest at the start of `server.close`
    frozen                        FREEZE_AFTER_S have passed since SIGTERM, or no
                                  message is left before that; at the latest right
                                  after `stopped`
    stopped                       shutdown reaches its last step, or, without SIGTERM,
                                  the target is lost after the transfer
    closed                        `Startup.settle` has finished, before the pool
                                  closes; also, as the only flag, if the takeover from
                                  the handover source failed
    server.closed                 `server.close` ends; it is not called if another
                                  engine restarts from the journal
    ============================  ==================================================
    """

    config: Config
    """The active configuration. Set by `Reconfiguration`."""
    fleet: FleetMember | None = None
    """This forwarder's fleet membership; None if no fleet is configured, in which case
    no fleet module is imported. Set by `Engine` during construction.
    """
    event_counts: Counter[str] = field(default_factory=Counter)
    """Number of events of each kind since the last summary line. Every component adds
    to the counters of its own events; `PeriodicTasks` logs and clears them.
    """
    serving: bool = False
    """This process owns the journal, and the clients' socket listens. Set by `Startup`.
    It stays set after a transfer and during shutdown.
    """
    closed: bool = False
    """The connections to endpoints are closed or about to be. Calls that end from now
    on stay open in the journal, because they may have been executed. Set by `Startup`.
    """
    frozen: bool = False
    """No more rounds run, and no new call is sent. Set by `Shutdown`."""
    shutdown_started_s: float = 0.0
    """Time of SIGTERM, in seconds of the monotonic clock; 0 before it. Set by
    `Shutdown`.
    """
    stopped: asyncio.Event = field(default_factory=asyncio.Event)
    """The engine has no work left, and `Startup.run` may end. Set by `Shutdown`."""
    paused_for_handover: bool = False
    """Rounds are paused while a handover target reads the journal; if the target takes
    over, the pause becomes permanent. Set by `HandoverPause`.
    """
    restart_from_journal: bool = False
    """The handover target was lost after the transfer, so another engine must start in
    this process from the journal. Set by `OwnershipTransfer`.
    """

    def is_ready(self) -> bool:
        """Return whether readiness checks of clients and operators succeed.

        True from the start of serving until SIGTERM, also after a transfer.
        """
        return self.serving and not self.shutdown_started_s
