"""The life of an engine: from taking over the journal to its last commit.

`rainfall.forwarder.engine.shutdown` lists the phases of the end and their times.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from rainfall.forwarder.discovery.endpoint_watch import EndpointWatch, Notifier
from rainfall.forwarder.engine.engine_state import TICK_INTERVAL_S, EngineState, log
from rainfall.forwarder.engine.ownership import answer_from_journal
from rainfall.forwarder.engine.restoration import Restoration
from rainfall.forwarder.engine.shutdown import Shutdown
from rainfall.forwarder.engine.watchdog import Watchdog
from rainfall.forwarder.handover.journal_lock import JournalLock
from rainfall.forwarder.handover.source import HandoverSource
from rainfall.forwarder.handover.target import HandoverTarget, TargetEngine
from rainfall.forwarder.inbound.client_connection import SETTLE_LOOP_TURNS
from rainfall.forwarder.inbound.server import InboundServer
from rainfall.forwarder.message_store import MessageStore
from rainfall.forwarder.outbound.connection_pool import ConnectionPool

FIRST_LIST_TIMEOUT_S = 0.5
"""How long a start waits for the endpoint list, which binds from the first message."""
FINAL_COMMIT_TIMEOUT_S = 0.2
"""How long the last commit is waited for: a disk that does not answer must not keep
the process.
"""


class Startup:
    """Starts serving, waits for the end, and closes in the right order."""

    def __init__(
        self,
        *,
        state: EngineState,
        store: MessageStore,
        server: InboundServer,
        pool: ConnectionPool,
        watch: EndpointWatch,
        notifier: Notifier,
        journal_lock: JournalLock | None,
        handover_source: HandoverSource,
        handover_target: HandoverTarget | None,
        target_engine: TargetEngine,
        restoration: Restoration,
        shutdown: Shutdown,
        watchdog: Watchdog,
        run_round: Callable[[], None],
    ) -> None:
        self.state, self.store = state, store
        self.server, self.pool = server, pool
        self.watch, self.notifier = watch, notifier
        self.journal_lock, self.handover_source = journal_lock, handover_source
        self.handover_target, self.target_engine = handover_target, target_engine
        self.restoration, self.shutdown = restoration, shutdown
        self.watchdog, self.run_round = watchdog, run_round

    async def run(self) -> bool:
        """Serve until stopped.

        Returns:
            Whether another engine has to start from the journal.
        """
        if self.handover_target is not None and not await self.take_over():
            self.state.closed = True
            return True
        await self.start_serving()
        await self.state.stopped.wait()
        await self.settle()
        self.state.closed = True
        self.pool.close()
        if self.state.restart_from_journal:
            # That engine answers the clients that still wait.
            return True
        await self.server.close(self.shutdown.client_grace_s())
        self.handover_source.close()
        if not self.handover_source.transferred:
            self.store.close()
        return False

    async def take_over(self) -> bool:
        """Become the journal's writer once the former process has let go of it.

        Returns:
            Whether the former process did.
        """
        assert self.handover_target is not None and self.journal_lock is not None
        if not await self.handover_target.request_ownership():
            return False
        await self.journal_lock.acquire()
        self.store.begin_writing()
        return True

    async def start_serving(self) -> None:
        """Decide on what was restored, then listen for clients and another process."""
        # Over sockets a list comes only to those who ask, `pushed` or not.
        self.watch.subscribe()
        await self.wait_first_list()
        if self.state.fleet is not None:
            self.state.fleet.start()
        self.run_round()
        await self.wait_committed()
        self.notifier.kick()
        config = self.state.config
        address = config.listen
        await self.server.listen(address.host, address.port, config.inherited_fd)
        # The journal is this process's, so operators' requests that the former process
        # forwards are carried out.
        self.state.serving = True
        if self.handover_target is not None:
            self.handover_target.attach(self.target_engine)
        if self.journal_lock is not None:
            await self.handover_source.listen(self.state.config.state)
        log.info("ready")
        self.watchdog.tick(time.monotonic())
        self.restoration.continue_restoring()

    async def settle(self) -> None:
        """Stop deciding, and commit all that is known."""
        self.shutdown.stop_rounds()
        self.watch.pause()
        self.notifier.pause()
        # Not every end comes through `Shutdown.freeze`: all messages may have ended
        # before it, or the process that took over may be lost.
        self.pool.fail_unconnected_calls()
        # After a transfer the fleet's membership is the other process's.
        if self.state.fleet is not None and not self.handover_source.transferred:
            self.state.fleet.pause()
        # Calls that wait for this are still recorded as never sent.
        await self.wait_committed(FINAL_COMMIT_TIMEOUT_S)
        # Responses that lie unread are deliveries, and are recorded before all
        # connections are closed.
        for _ in range(SETTLE_LOOP_TURNS):
            await asyncio.sleep(0)

    async def wait_committed(self, timeout_s: float | None = None) -> None:
        """Wait until all that was decided is committed and has left.

        Args:
            timeout_s: How long to wait at most; None for as long as it takes.
        """
        committed: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        def on_committed(_committed: bool) -> None:
            if not committed.done():
                committed.set_result(None)

        self.store.commit(on_committed)
        give_up_at = None if timeout_s is None else time.monotonic() + timeout_s
        while not committed.done() and (
            give_up_at is None or time.monotonic() < give_up_at
        ):
            self.store.log.retry_after_failure()
            await asyncio.wait({committed}, timeout=TICK_INTERVAL_S)

    async def wait_first_list(self) -> None:
        """Wait for the endpoint list before anything restored is sent.

        It may have changed while no process was here to hear of it.
        """
        try:
            async with asyncio.timeout(FIRST_LIST_TIMEOUT_S):
                await self.watch.answered.wait()
        except TimeoutError:
            log.info("no list yet; going on with version %d", self.watch.version)

    def respond_for_previous(self, previous: HandoverSource) -> None:
        """Answer clients whose messages another process had taken before it was lost.

        The journal knows whether that process accepted them.
        """
        previous.close()
        for message_id, writer in previous.response_writers.values():
            accepted = (
                message_id in self.store.messages
                or message_id in self.store.pending_notifications
            )
            answer_from_journal(writer, accepted)
