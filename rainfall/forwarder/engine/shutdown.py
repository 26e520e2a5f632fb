"""The engine's part in stopping: SIGTERM, what is still answered and sent, and when the
process ends.
"""

from __future__ import annotations

import asyncio
import time

from rainfall.forwarder.engine.engine_state import EngineState, log
from rainfall.forwarder.inbound.client_connection import CLOSE_GRACE_S

ACCEPT_PERIOD_S = 1.0  # after SIGTERM new connections come for a while
FREEZE_AFTER_S = 2.8  # then nothing new is sent, and what is out is waited for
EXIT_AFTER_S = (
    3.3  # and this long after SIGTERM the process ends: SIGKILL may come at 3.7 s
)
CLIENT_CLOSE_S = (
    0.5  # where there is time, clients have so long to read their answers and let go
)
# The longest way from SIGTERM to the end: EXIT_S, one step, the last sync (SETTLE_S
# 0.2, under `power` alone) and CLOSE_S for the clients: 3.65 s.
SHUTDOWN_STEP_S = 0.05


class Shutdown(EngineState):
    def stop(self) -> None:
        """SIGTERM: go on as before while clients still come, then only wait for what is
        out.
        """
        if self.shutdown_started_s:
            return
        self.handover_source.abort()
        self.shutdown_started_s = time.monotonic()
        log.info(
            "stopping: %d messages held, %d calls out",
            len(self.store.messages),
            self.pool.in_flight,
        )
        self.server.draining = True
        asyncio.get_running_loop().call_later(ACCEPT_PERIOD_S, self.advance_shutdown)

    def advance_shutdown(self) -> None:
        elapsed_s = time.monotonic() - self.shutdown_started_s
        self.server.drain()
        if self.handover_source.transferred:
            if elapsed_s >= EXIT_AFTER_S or not (
                self.pool.in_flight or self.server.connections
            ):
                log.info("stopped: all else is the new process's")
                self.stopped.set()
            else:
                asyncio.get_running_loop().call_later(
                    SHUTDOWN_STEP_S, self.advance_shutdown
                )
            return
        if elapsed_s >= FREEZE_AFTER_S and not self.frozen:
            self.freeze()
        nothing_left = (
            not self.store.messages
            and not self.store.pending_notifications
            and not self.undecided
        )
        if (
            nothing_left
            or elapsed_s >= EXIT_AFTER_S
            or (
                self.frozen
                and not self.pool.in_flight
                and not self.remote_calls
                and not self.store.pending_notifications
            )
        ):
            log.info(
                "stopped: %d messages and %d owed ends stay in the journal",
                len(self.store.messages),
                len(self.store.pending_notifications),
            )
            # From this moment on: what comes before `run` goes on would be taken in and
            # never decided on.
            self.frozen = True
            self.stopped.set()
            return
        asyncio.get_running_loop().call_later(SHUTDOWN_STEP_S, self.advance_shutdown)

    def freeze(self) -> None:
        """Decide for the last time.

        What has not left by now never does: else a call could go out just before the
        end, which the process after this one must take as run. Unsent, it is tried
        there.
        """
        if self.undecided or self.pending_events:
            self.run_round()
        self.frozen = True
        # Calls of that round that could not leave have come back, and no round reads it
        # any more.
        self.record_waiting_outcomes()
        self.store.flush()
        self.pool.fail_unconnected_calls()

    def client_grace_s(self) -> float:
        """How long clients may take to let go at the end."""
        remaining_s = (
            self.shutdown_started_s + EXIT_AFTER_S + CLOSE_GRACE_S - time.monotonic()
        )
        return max(CLOSE_GRACE_S, min(CLIENT_CLOSE_S, remaining_s))
