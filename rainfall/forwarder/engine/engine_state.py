"""The record that the engine's parts share, and the constants of several of them."""

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
"""Least time between rounds: one round's messages to an endpoint share a call."""
REJECTED_RETRY_AFTER_S = "1"
"""Retry-After of a 503, in seconds, as the header has it."""
LOG_INTERVAL_US = 10_000_000
"""Least time between two log lines about the same lasting condition."""
TICK_INTERVAL_S = 0.1
"""Between two runs of the watchdog, and between two retries of a failed commit."""
log = logging.getLogger("rainfall.engine")
trace_log = logging.getLogger("rainfall.trace")
"""A line for each message's arrival, attempt and end.

Off unless the configuration asks for it (`rainfall.forwarder.json_logging`).
"""
trace_log.setLevel(logging.WARNING)


class EventKind(StrEnum):
    """What the summary line counts, beside outcomes and reasons by their own names.

    The values are the line's words. The end of a message that is not delivered has a
    name of its own in each place, and these names are read from outside:

    ===============  ================  ==================  =========  =============
    Action           Decided           Word of the line    Metric     Journal state
    ===============  ================  ==================  =========  =============
    `RejectMessage`  on arrival        "turned away"       throttled  (no record)
    `FailMessage`    on arrival        "turned away"       faulted    (no record)
    `RejectMessage`  after acceptance  "returned"          throttled  "returned"
    `FailMessage`    after acceptance  "given up"          faulted    "failed"
    (none)           before a round    "turned away full"  throttled  (no record)
    ===============  ================  ==================  =========  =============

    On arrival means in the round in which the message came: its client waits for the
    response, so the answer is that response and nothing is journaled. A message after
    its acceptance is answered by a notification of the journal's state.
    """

    ACCEPTED = "taken"
    REJECTED = "turned away"
    """Given up in the round in which it came."""
    REJECTED_FULL = "turned away full"
    RETURNED = "returned"
    """Accepted, and then rejected with a notification."""
    FAILED = "given up"
    """Accepted, and then failed with a notification."""


class Clock:
    """Microseconds of Unix time that never go back.

    The journal's times therefore hold after a restart.
    """

    def __init__(self) -> None:
        self.offset_ns = time.time_ns() - time.monotonic_ns()

    def __call__(self) -> int:
        """The time now, in microseconds since 1970."""
        return (self.offset_ns + time.monotonic_ns()) // NS_PER_US


class Submission(NamedTuple):
    """A submitted message and the writer of the response that its client waits for."""

    message: SubmittedMessage
    writer: ResponseWriter


def durability_level(config: Config) -> str:
    """The level of durability in force.

    Another one in a reloaded file takes effect at the next start.
    """
    return "power" if config.power else "process"


@dataclass(slots=True)
class EngineState:
    """What several parts read. Each field is written by the one part named with it.

    The flags of an engine's life, with those that its server and its handover source
    keep themselves, change in this order; each stays set unless a line says otherwise:

    ============================  ==================================================
    Flag                          Set
    ============================  ==================================================
    serving                       once the journal is this process's and the clients'
                                  socket listens
    paused_for_handover           by a new process's request for the snapshot, while
                                  serving and before SIGTERM; cleared if that process
                                  goes before it owns the journal
    handover_source.transferred   by that process's request for ownership, so only
                                  during the pause, which then lasts to the end
    server.draining               by SIGTERM, whether transferred or not; at the
                                  latest as `server.close` begins
    frozen                        after SIGTERM, FREEZE_AFTER_S or the last message
                                  later; at the latest right after `stopped`
    stopped                       by the shutdown's last step, or without SIGTERM if
                                  the process that took over is lost
    closed                        once `Startup.settle` is through, before the pool
                                  closes; also, as the only flag, where the takeover
                                  from the former process failed
    server.closed                 at the end of `server.close`, which is left out where
                                  another engine restarts from the journal
    ============================  ==================================================
    """

    config: Config
    """The configuration in force. Owner: `Reconfiguration`."""
    fleet: FleetMember | None = None
    """The member of a fleet; None where none is configured, and then nothing of the
    fleet's code is imported. Owner: `Engine`, which sets it while it is built.
    """
    event_counts: Counter[str] = field(default_factory=Counter)
    """How often each kind of event happened since the last summary line. Each part
    counts its own kinds. Owner: `Watchdog`, which logs and clears them.
    """
    serving: bool = False
    """This process owns the journal, and clients are listened for. Owner: `Startup`."""
    closed: bool = False
    """The connections to endpoints are closed: calls that end from now on stay open in
    the journal, because they may have been executed. Owner: `Startup`.
    """
    frozen: bool = False
    """No round decides any more, and nothing new is sent. Owner: `Shutdown`."""
    shutdown_started_s: float = 0.0
    """When SIGTERM came, in seconds of the monotonic clock; 0 before. Owner:
    `Shutdown`.
    """
    stopped: asyncio.Event = field(default_factory=asyncio.Event)
    """Set once the engine has nothing more to do. Owner: `Shutdown`."""
    paused_for_handover: bool = False
    """No round decides while another process reads the journal. Owner:
    `HandoverPause`.
    """
    restart_from_journal: bool = False
    """The process that had taken over is gone, so another engine has to start here from
    the journal. Owner: `OwnershipTransfer`.
    """

    def is_ready(self) -> bool:
        """Whether this process serves, for clients and operators alike.

        It does not before the journal is read, nor during shutdown.
        """
        return self.serving and not self.shutdown_started_s
