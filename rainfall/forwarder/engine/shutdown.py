"""Graceful shutdown: what is still accepted and sent after SIGTERM, and until when.

The phases, in seconds after SIGTERM. All but the first may end sooner, as soon as
nothing is left that this process could finish:

======================  ==============================================================
0                       `Shutdown.stop`: a handover under way ends. Messages are still
                        accepted, but health checks say "not ready" and each
                        connection closes after its next answer.
1.0 ACCEPT_PERIOD_S     `advance_shutdown`, from now on every SHUTDOWN_STEP_S: idle
                        connections close, too; a new one has its
                        FIRST_REQUEST_GRACE_US (`client_connection`) first.
2.8 FREEZE_AFTER_S      `freeze`: the last round. Nothing new is sent; calls in flight
                        are awaited, and their outcomes journaled.
3.3 EXIT_AFTER_S        `signal_stopped`: the end, also of calls in flight.
then                    `Startup.settle`: the last commit; after it the pool, the
                        clients' connections (`client_grace_s`) and the journal close.
                        Half way through that grace a request without an answer gets 503.
======================  ==============================================================

After a transfer to another process there is no freeze: only the calls and connections
that are still here are awaited, until EXIT_AFTER_S.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from rainfall.forwarder.engine.engine_state import EngineState, log
from rainfall.forwarder.engine.event_queue import EventQueue
from rainfall.forwarder.engine.intake import Intake
from rainfall.forwarder.engine.remote_calls import RemoteCallTracker
from rainfall.forwarder.handover.source import HandoverSource
from rainfall.forwarder.inbound.client_connection import CLOSE_GRACE_S
from rainfall.forwarder.inbound.server import InboundServer
from rainfall.forwarder.message_store import MessageStore
from rainfall.forwarder.outbound.connection_pool import ConnectionPool

ACCEPT_PERIOD_S = 1.0
"""After SIGTERM, how long new connections are accepted."""
FREEZE_AFTER_S = 2.8
"""After SIGTERM, when nothing new is sent any more and calls in flight are awaited."""
EXIT_AFTER_S = 3.3
"""After SIGTERM, when the process ends: SIGKILL may come at 3.7 s.

The longest way to the end is this, one step, the last commit (FINAL_COMMIT_TIMEOUT_S,
0.2 s, under `power` alone) and CLOSE_GRACE_S for the clients: 3.65 s.
"""
CLIENT_CLOSE_S = 0.5
"""Where there is time, how long clients may take to read answers and disconnect."""
SHUTDOWN_STEP_S = 0.05
"""Between two looks at whether the process may end."""


class Shutdown:
    """Takes the engine from SIGTERM to its end."""

    def __init__(
        self,
        *,
        state: EngineState,
        store: MessageStore,
        server: InboundServer,
        pool: ConnectionPool,
        handover_source: HandoverSource,
        events: EventQueue,
        intake: Intake,
        remote_calls: RemoteCallTracker,
        run_round: Callable[[], None],
    ) -> None:
        self.state, self.store = state, store
        self.server, self.pool = server, pool
        self.handover_source, self.events = handover_source, events
        self.intake, self.remote_calls = intake, remote_calls
        self.run_round = run_round

    def stop(self) -> None:
        """SIGTERM: go on as before while clients still connect, then drain."""
        if self.state.shutdown_started_s:
            return
        self.handover_source.abort()
        self.state.shutdown_started_s = time.monotonic()
        log.info(
            "stopping: %d messages held, %d calls out",
            len(self.store.messages),
            self.pool.in_flight,
        )
        self.server.draining = True
        asyncio.get_running_loop().call_later(ACCEPT_PERIOD_S, self.advance_shutdown)

    def advance_shutdown(self) -> None:
        """Take the next step, and come again until the process may end."""
        elapsed_s = time.monotonic() - self.state.shutdown_started_s
        self.server.drain()
        if self.handover_source.transferred:
            self.advance_after_transfer(elapsed_s)
            return
        if elapsed_s >= FREEZE_AFTER_S and not self.state.frozen:
            self.freeze()
        if elapsed_s >= EXIT_AFTER_S or self.is_drained():
            log.info(
                "stopped: %d messages and %d owed ends stay in the journal",
                len(self.store.messages),
                len(self.store.pending_notifications),
            )
            # From this moment on: what comes before `Startup.run` resumes would be
            # admitted and never decided on.
            self.stop_rounds()
            self.signal_stopped()
            return
        self.schedule_next_step()

    def advance_after_transfer(self, elapsed_s: float) -> None:
        """All but the connections is another process's: wait for these alone."""
        if elapsed_s >= EXIT_AFTER_S or not (
            self.pool.in_flight or self.server.connections
        ):
            log.info("stopped: all else is the new process's")
            self.signal_stopped()
        else:
            self.schedule_next_step()

    def schedule_next_step(self) -> None:
        """Look again after SHUTDOWN_STEP_S."""
        asyncio.get_running_loop().call_later(SHUTDOWN_STEP_S, self.advance_shutdown)

    def is_drained(self) -> bool:
        """Whether there is nothing left that this process could still finish."""
        if self.store.pending_notifications:
            return False
        if not self.store.messages and not self.intake.undecided:
            return True
        return (
            self.state.frozen
            and not self.pool.in_flight
            and not self.remote_calls.calls
        )

    def freeze(self) -> None:
        """Decide for the last time.

        What has not left by now never does. Otherwise a call could leave just before
        the end, and the next process would have to take it as executed; unsent, the
        next process attempts it.
        """
        if self.intake.undecided or self.events.pending_events:
            self.run_round()
        self.stop_rounds()
        # Calls of that round that could not leave are reported as not sent, and no
        # round decides on that any more.
        self.events.record_waiting_outcomes()
        self.store.flush()
        # `Startup.settle` does so again, for an end that comes without a freeze.
        self.pool.fail_unconnected_calls()

    def stop_rounds(self) -> None:
        """Let no round decide any more."""
        self.state.frozen = True

    def signal_stopped(self) -> None:
        """Have `Startup.run` go on to its end."""
        self.state.stopped.set()

    def client_grace_s(self) -> float:
        """How long clients may take to disconnect at the end, in seconds."""
        remaining_s = (
            self.state.shutdown_started_s
            + EXIT_AFTER_S
            + CLOSE_GRACE_S
            - time.monotonic()
        )
        return max(CLOSE_GRACE_S, min(CLIENT_CLOSE_S, remaining_s))
