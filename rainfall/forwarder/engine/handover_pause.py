"""The pause of a handover source, in which the target process reads the journal.

`rainfall.forwarder.handover.source` drives it: the source pauses and sends a snapshot,
then either transfers the journal or resumes.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Set as AbstractSet
from typing import Any

from rainfall.dispatch import AttemptFinished
from rainfall.forwarder.discovery.endpoint_watch import EndpointWatch, Notifier
from rainfall.forwarder.engine.endpoint_directory import EndpointDirectory
from rainfall.forwarder.engine.engine_state import Clock, EngineState, log
from rainfall.forwarder.engine.event_queue import EventQueue
from rainfall.forwarder.engine.outcome_recorder import OutcomeRecorder
from rainfall.forwarder.engine.remote_calls import RemoteCallTracker
from rainfall.forwarder.engine.restoration import Restoration
from rainfall.forwarder.handover.journal_lock import JournalLock
from rainfall.forwarder.handover.messages import (
    HandoverMessage,
    HandoverSnapshot,
    RetryAfter,
)
from rainfall.forwarder.inbound.server import InboundServer
from rainfall.forwarder.message_store import MessageStore
from rainfall.forwarder.outbound.connection_pool import ConnectionPool


class HandoverPause:
    """Pauses rounds for a handover target, and resumes them if it doesn't take over."""

    def __init__(
        self,
        *,
        state: EngineState,
        clock: Clock,
        store: MessageStore,
        snapshot_dispatcher: Callable[[AbstractSet[tuple[str, int]]], dict[str, Any]],
        server: InboundServer,
        pool: ConnectionPool,
        watch: EndpointWatch,
        notifier: Notifier,
        journal_lock: JournalLock | None,
        directory: EndpointDirectory,
        events: EventQueue,
        outcomes: OutcomeRecorder,
        restoration: Restoration,
        remote_calls: RemoteCallTracker,
        run_round: Callable[[], None],
    ) -> None:
        self.state, self.clock, self.store = state, clock, store
        self.snapshot_dispatcher = snapshot_dispatcher
        self.server, self.pool = server, pool
        self.watch, self.notifier = watch, notifier
        self.journal_lock, self.directory = journal_lock, directory
        self.events, self.outcomes = events, outcomes
        self.restoration, self.remote_calls = restoration, remote_calls
        self.run_round = run_round
        self.deferred_requests: list[Callable[[], None]] = []
        """Reloads and detach requests received during the pause, in order."""

    def pause_for_handover(
        self, on_paused: Callable[[HandoverMessage | None], None]
    ) -> None:
        """Run a last round, commit the journal, and pass the snapshot to the callback.

        The pause is refused before serving, during shutdown, without a journal lock and
        while calls of a previous handover are in flight. It is also refused while the
        disk fails: otherwise a target that keeps asking would interrupt new
        connections, the watch and notifications each time.

        Args:
            on_paused: Called with the snapshot, or with None if the pause is refused or
                the commit fails.
        """
        if (
            not self.state.serving
            or self.state.shutdown_started_s
            or self.remote_calls.calls
            or self.journal_lock is None
            or self.store.failed
        ):
            on_paused(None)
            return
        self.restoration.restore_messages()
        self.run_round()
        self.state.paused_for_handover = True
        self.watch.pause()
        self.notifier.pause()
        self.store.commit(lambda _committed: self.finish_pause(on_paused))

    def finish_pause(self, on_paused: Callable[[HandoverMessage | None], None]) -> None:
        """Commit the outcomes since the last round, and then create the snapshot.

        The snapshot waits for that commit: the target reads the journal's file, which a
        sync in progress could still replace.
        """
        self.pool.fail_unconnected_calls()
        if self.state.fleet is not None:
            self.state.fleet.pause()
        self.events.record_pending_outcomes()
        self.store.commit(lambda _committed: on_paused(self.handover_snapshot()))

    def handover_snapshot(self) -> HandoverMessage | None:
        """Return what the target needs in addition to the journal; None if the disk fails.

        The snapshot is JSON data.
        """
        if self.store.failed:
            return None
        log.info(
            "a new process takes over: %d messages held, %d calls in flight",
            len(self.store.messages),
            self.pool.in_flight,
        )
        now = self.clock()
        # This process's dispatcher has not handled the queued outcomes. Their attempts
        # count as in flight in the snapshot, and after the transfer the target receives
        # the outcomes like those of calls that end later.
        finished_attempts = {
            (event.message_id, event.attempt)
            for event in self.events.pending_events
            if isinstance(event, AttemptFinished)
        }
        snapshot = HandoverSnapshot(
            endpoint_ids=self.directory.ids,
            last_endpoint_id=self.directory.last_id,
            recently_finished=list(self.outcomes.recently_finished),
            retry_afters=[
                RetryAfter(*throttle_scope, until_us)
                for throttle_scope, until_us in self.pool.retry_after_until.items()
                if until_us > now
            ],
            descriptors=len(self.server.connections) + self.pool.in_flight,
            dispatcher=self.snapshot_dispatcher(
                self.pool.calls.keys() | finished_attempts
            ),
        )
        return snapshot.to_json()

    def resume_after_handover(self) -> None:
        """End the pause without a transfer; does nothing if there is no pause."""
        if not self.state.paused_for_handover:
            return
        self.state.paused_for_handover = False
        if self.state.fleet is not None:
            self.state.fleet.resume()
        self.watch.subscribe()
        self.notifier.post_pending()
        self.events.schedule_round()
        self.run_deferred_requests()

    def defer(self, request: Callable[[], None]) -> None:
        """Hold a request until the pause ends, by a transfer or without one."""
        self.deferred_requests.append(request)

    def run_deferred_requests(self) -> None:
        """Execute the requests held during the pause, in order."""
        requests, self.deferred_requests = self.deferred_requests, []
        for request in requests:
            request()
