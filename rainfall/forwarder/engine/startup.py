"""The lifecycle of an engine: taking over, serving, the last commit and closing.

`rainfall.forwarder.engine.shutdown` lists the phases of shutdown and their times.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from rainfall.forwarder.discovery.endpoint_watch import EndpointWatch, Notifier
from rainfall.forwarder.engine.engine_state import TICK_INTERVAL_S, EngineState, log
from rainfall.forwarder.engine.ownership import answer_from_journal
from rainfall.forwarder.engine.periodic_tasks import PeriodicTasks
from rainfall.forwarder.engine.restoration import Restoration
from rainfall.forwarder.engine.shutdown import Shutdown
from rainfall.forwarder.handover.journal_lock import JournalLock
from rainfall.forwarder.handover.source import HandoverSource
from rainfall.forwarder.handover.target import HandoverTarget, TargetEngine
from rainfall.forwarder.inbound.connection_registry import SETTLE_LOOP_ITERATIONS
from rainfall.forwarder.inbound.server import InboundServer
from rainfall.forwarder.message_store import MessageStore
from rainfall.forwarder.outbound.connection_pool import ConnectionPool

FIRST_LIST_TIMEOUT_S = 0.5
"""Time that a start waits for the endpoint list, before it sends the first message."""
FINAL_COMMIT_TIMEOUT_S = 0.2
"""Timeout of the last commit, so that a hanging disk doesn't keep the process alive."""


class Startup:
    """Starts serving, waits until the engine is stopped, and closes its components."""

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
        periodic_tasks: PeriodicTasks,
        run_round: Callable[[], None],
    ) -> None:
        self.state, self.store = state, store
        self.server, self.pool = server, pool
        self.watch, self.notifier = watch, notifier
        self.journal_lock, self.handover_source = journal_lock, handover_source
        self.handover_target, self.target_engine = handover_target, target_engine
        self.restoration, self.shutdown = restoration, shutdown
        self.periodic_tasks, self.run_round = periodic_tasks, run_round

    async def run(self) -> bool:
        """Take over the journal if there is a handover, then serve until stopped.

        Returns:
            Whether a new engine must start from the journal: the takeover failed, or
            the target of a later handover was lost.
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
            # The next engine answers the clients that are still waiting.
            return True
        await self.server.close(self.shutdown.client_grace_s())
        self.handover_source.close()
        if not self.handover_source.transferred:
            self.store.close()
        return False

    async def take_over(self) -> bool:
        """Request ownership of the journal from the handover source, and begin to write.

        Returns:
            Whether the source transferred the ownership.
        """
        assert self.handover_target is not None and self.journal_lock is not None
        if not await self.handover_target.request_ownership():
            return False
        await self.journal_lock.acquire()
        self.store.begin_writing()
        return True

    async def start_serving(self) -> None:
        """Run a round on the restored state, then listen for clients and a target.

        Returns once this process serves, with the periodic tasks started.
        """
        # Needed even if the settings say that lists are pushed: over sockets, discovery
        # sends a list only in response to a request.
        self.watch.subscribe()
        await self.wait_for_first_list()
        if self.state.fleet is not None:
            self.state.fleet.start()
        self.run_round()
        await self.wait_for_commit()
        self.notifier.post_pending()
        config = self.state.config
        address = config.listen
        await self.server.listen(address.host, address.port, config.inherited_fd)
        # Set before `attach`, which delivers the operators' requests that the handover
        # source forwards: they are executed only while serving.
        self.state.serving = True
        if self.handover_target is not None:
            self.handover_target.attach(self.target_engine)
        if self.journal_lock is not None:
            await self.handover_source.listen(self.state.config.state)
        log.info("ready")
        self.periodic_tasks.tick(time.monotonic())
        self.restoration.continue_restoring()

    async def settle(self) -> None:
        """Stop rounds, commit the journal and read the responses that have arrived."""
        self.shutdown.stop_rounds()
        self.watch.pause()
        self.notifier.pause()
        # Also done by `Shutdown.freeze`, which is skipped if all messages have ended
        # before it, or if the handover target is lost.
        self.pool.fail_unconnected_calls()
        # After a transfer the fleet membership belongs to the handover target.
        if self.state.fleet is not None and not self.handover_source.transferred:
            self.state.fleet.pause()
        # Calls that wait for this commit are journaled as never sent.
        await self.wait_for_commit(FINAL_COMMIT_TIMEOUT_S)
        # Unread responses may be deliveries. These turns of the event loop read and
        # journal them before the connections are closed.
        for _ in range(SETTLE_LOOP_ITERATIONS):
            await asyncio.sleep(0)

    async def wait_for_commit(self, timeout_s: float | None = None) -> None:
        """Commit the journal, and wait until this commit and all earlier ones have ended.

        Earlier rounds have then sent their responses and calls. While the disk fails,
        writing is retried.

        Args:
            timeout_s: Maximum time to wait; None for no limit.
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

    async def wait_for_first_list(self) -> None:
        """Wait for discovery's first answer before any restored message is sent.

        The restored endpoint list may be out of date: no process received updates
        since it was journaled. After FIRST_LIST_TIMEOUT_S the start continues with it.
        """
        try:
            async with asyncio.timeout(FIRST_LIST_TIMEOUT_S):
                await self.watch.list_received.wait()
        except TimeoutError:
            log.info(
                "no endpoint list within %.1f s; continuing with version %d",
                FIRST_LIST_TIMEOUT_S,
                self.watch.version,
            )

    def respond_for_previous(self, previous: HandoverSource) -> None:
        """Answer the clients that the previous engine's lost target left waiting.

        A message that the target accepted is in the journal, which this engine has read.

        Args:
            previous: The handover source of the previous engine in this process.
        """
        previous.close()
        for message_id, writer in previous.response_writers.values():
            accepted = (
                message_id in self.store.messages
                or message_id in self.store.pending_notifications
            )
            answer_from_journal(writer, accepted)
