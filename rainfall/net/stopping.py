"""The engine's part in stopping: SIGTERM, what is still answered and sent, and when the
process ends.
"""

from __future__ import annotations

import asyncio
import time

from rainfall.net.client_connection import CLOSE_S
from rainfall.net.desk import Desk, log

LISTEN_S = 1.0  # after SIGTERM new connections come for a while
FREEZE_S = 2.8  # then nothing new is sent, and what is out is waited for
EXIT_S = 3.3  # and this long after SIGTERM the process ends: SIGKILL may come at 3.7 s
LET_GO_S = (
    0.5  # where there is time, clients have so long to read their answers and let go
)
# The longest way from SIGTERM to the end: EXIT_S, one step, the last sync (SETTLE_S
# 0.2, under `power` alone) and CLOSE_S for the clients: 3.65 s.
STEP_S = 0.05


class Stopping(Desk):
    def stop(self) -> None:
        """SIGTERM: go on as before while clients still come, then only wait for what is
        out.
        """
        if self.leaving_s:
            return
        self.predecessor.abort()
        self.leaving_s = time.monotonic()
        log.info(
            "stopping: %d messages held, %d calls out",
            len(self.store.messages),
            self.pool.out,
        )
        self.server.leaving = True
        asyncio.get_running_loop().call_later(LISTEN_S, self.stop_step)

    def stop_step(self) -> None:
        passed = time.monotonic() - self.leaving_s
        self.server.leave()
        if self.predecessor.given:
            if passed >= EXIT_S or not (self.pool.out or self.server.connections):
                log.info("stopped: all else is the new process's")
                self.done.set()
            else:
                asyncio.get_running_loop().call_later(STEP_S, self.stop_step)
            return
        if passed >= FREEZE_S and not self.frozen:
            self.freeze()
        nothing = not self.store.messages and not self.store.owed and not self.arriving
        if (
            nothing
            or passed >= EXIT_S
            or (
                self.frozen
                and not self.pool.out
                and not self.remote
                and not self.store.owed
            )
        ):
            log.info(
                "stopped: %d messages and %d owed ends stay in the journal",
                len(self.store.messages),
                len(self.store.owed),
            )
            # From this moment on: what comes before `run` goes on would be taken in and
            # never decided on.
            self.frozen = True
            self.done.set()
            return
        asyncio.get_running_loop().call_later(STEP_S, self.stop_step)

    def freeze(self) -> None:
        """Decide for the last time. What has not left by now never does: else a call
        could go out just before the end, which the process after this one must take as
        run. Unsent, it is tried there.
        """
        if self.arriving or self.events:
            self.round()
        self.frozen = True
        # Calls of that round that could not leave have come back, and no round reads it
        # any more.
        self.book_waiting()
        self.store.flush()
        self.pool.cut_dials()

    def patience_s(self) -> float:
        """How long clients may take to let go at the end."""
        left = self.leaving_s + EXIT_S + CLOSE_S - time.monotonic()
        return max(CLOSE_S, min(LET_GO_S, left))
