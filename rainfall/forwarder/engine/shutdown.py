"""Graceful shutdown: which work continues after SIGTERM, and for how long.

The phases start at these times in seconds after SIGTERM. All but the first end early if
this process has nothing left to finish.

======================  ==============================================================
0                       `Shutdown.stop`: a handover in progress is aborted. Messages
                        are still accepted, but health checks answer "not ready", and
                        each connection closes after its next response.
1.0 ACCEPT_PERIOD_S     `advance_shutdown`, from now on every SHUTDOWN_STEP_S: idle
                        connections are closed too; a new one stays open for
                        FIRST_REQUEST_GRACE_US (`connection_registry`).
2.8 FREEZE_AFTER_S      `freeze`: the last round. No more calls are sent; calls in
                        flight may finish, and their outcomes are journaled.
3.3 EXIT_AFTER_S        `signal_stopped`: calls still in flight are abandoned.
then                    `Startup.settle`: the last commit. After it the pool, the
                        clients' connections (`client_grace_s`) and the journal are
                        closed. A request that has no response after half of the grace
                        period gets 503.
======================  ==============================================================

After a transfer to another process there is no freeze: this process only waits for its
own calls and client connections to end, until EXIT_AFTER_S.
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
from rainfall.forwarder.inbound.connection_registry import CLOSE_GRACE_S
from rainfall.forwarder.inbound.server import InboundServer
from rainfall.forwarder.message_store import MessageStore
from rainfall.forwarder.outbound.connection_pool import ConnectionPool

ACCEPT_PERIOD_S = 1.0
"""Time after SIGTERM until idle client connections are closed."""
FREEZE_AFTER_S = 2.8
"""Time after SIGTERM from which no more calls are sent."""
EXIT_AFTER_S = 3.3
"""Time after SIGTERM at which the engine stops; SIGKILL may come at 3.7 s.

The process ends 3.65 s after SIGTERM at the latest: this time, one SHUTDOWN_STEP_S, the
last commit (FINAL_COMMIT_TIMEOUT_S, 0.2 s, with the level `power` only) and
CLOSE_GRACE_S for the clients.
"""
CLIENT_CLOSE_S = 0.5
"""Time for clients to read responses and disconnect; less if EXIT_AFTER_S is near."""
SHUTDOWN_STEP_S = 0.05
"""Interval of the checks whether the engine can stop."""


class Shutdown:
    """Drains and stops the engine after SIGTERM."""

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
        """Start the shutdown (SIGTERM): abort a handover, and drain ACCEPT_PERIOD_S later.

        Does nothing if shutdown has started already.
        """
        if self.state.shutdown_started_s:
            return
        self.handover_source.abort()
        self.state.shutdown_started_s = time.monotonic()
        log.info(
            "stopping: %d messages held, %d calls in flight",
            len(self.store.messages),
            self.pool.in_flight,
        )
        self.server.draining = True
        asyncio.get_running_loop().call_later(ACCEPT_PERIOD_S, self.advance_shutdown)

    def advance_shutdown(self) -> None:
        """Run the current phase, and reschedule until the engine can stop."""
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
            # Rounds stop now rather than in `Startup.settle`: a message submitted before
            # `Startup.run` resumes would be queued for a round that never runs.
            self.stop_rounds()
            self.signal_stopped()
            return
        self.schedule_next_step()

    def advance_after_transfer(self, elapsed_s: float) -> None:
        """Stop once this process has no call in flight and no client connection.

        The handover target owns everything else.

        Args:
            elapsed_s: Seconds since SIGTERM.
        """
        if elapsed_s >= EXIT_AFTER_S or not (
            self.pool.in_flight or self.server.connections
        ):
            log.info("stopped: all messages were handed over")
            self.signal_stopped()
        else:
            self.schedule_next_step()

    def schedule_next_step(self) -> None:
        """Run `advance_shutdown` again after SHUTDOWN_STEP_S."""
        asyncio.get_running_loop().call_later(SHUTDOWN_STEP_S, self.advance_shutdown)

    def is_drained(self) -> bool:
        """Return whether no work is left that this process could still finish.

        Pending notifications are always waited for. Before the freeze, open messages
        are waited for too; after it, only the calls in flight.
        """
        if self.store.pending_notifications:
            return False
        if not self.store.messages and not self.intake.pending_submissions:
            return True
        return (
            self.state.frozen
            and not self.pool.in_flight
            and not self.remote_calls.calls
        )

    def freeze(self) -> None:
        """Run the last round, and send no call after it.

        A call sent right before the end would be cut off, and the next process would
        have to treat it as possibly executed. An unsent one can simply be attempted by
        the next process.
        """
        if self.intake.pending_submissions or self.events.pending_events:
            self.run_round()
        self.stop_rounds()
        # Calls of the last round that could not be sent have posted NOT_SENT outcomes,
        # which no further round journals.
        self.events.record_pending_outcomes()
        self.store.flush()
        # `Startup.settle` repeats the call, for a shutdown that ends without a freeze.
        self.pool.fail_unconnected_calls()

    def stop_rounds(self) -> None:
        """Freeze the engine: no more rounds run."""
        self.state.frozen = True

    def signal_stopped(self) -> None:
        """Let `Startup.run` continue with closing the engine."""
        self.state.stopped.set()

    def client_grace_s(self) -> float:
        """Return how long clients may take to disconnect at the end, in seconds.

        The result is CLIENT_CLOSE_S, or the time left until CLOSE_GRACE_S after
        EXIT_AFTER_S if that is less; but never less than CLOSE_GRACE_S.
        """
        remaining_s = (
            self.state.shutdown_started_s
            + EXIT_AFTER_S
            + CLOSE_GRACE_S
            - time.monotonic()
        )
        return max(CLOSE_GRACE_S, min(CLIENT_CLOSE_S, remaining_s))
