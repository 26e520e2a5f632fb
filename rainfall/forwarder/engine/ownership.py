"""The transfer of the journal to a handover target, and the handling of its loss."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import replace
from http import HTTPStatus

from rainfall.forwarder.config.loading import ConfigError, load_replacement
from rainfall.forwarder.engine.engine_state import (
    REJECTED_RETRY_AFTER_S,
    EngineState,
    log,
)
from rainfall.forwarder.engine.event_queue import EventQueue
from rainfall.forwarder.engine.handover_pause import HandoverPause
from rainfall.forwarder.engine.intake import Intake
from rainfall.forwarder.engine.shutdown import Shutdown
from rainfall.forwarder.handover.journal_lock import JournalLock
from rainfall.forwarder.handover.source import HandoverSource
from rainfall.forwarder.inbound.server import InboundServer, ResponseWriter
from rainfall.forwarder.message_store import MessageStore
from rainfall.forwarder.outbound.connection_pool import ConnectionPool
from rainfall.journal.recovery import UnusableJournalError


class OwnershipTransfer:
    """Transfers the journal to the target, and recovers if the target is lost later."""

    def __init__(
        self,
        *,
        state: EngineState,
        store: MessageStore,
        server: InboundServer,
        pool: ConnectionPool,
        journal_lock: JournalLock | None,
        handover_source: HandoverSource,
        events: EventQueue,
        intake: Intake,
        pause: HandoverPause,
        shutdown: Shutdown,
    ) -> None:
        self.state, self.store = state, store
        self.server, self.pool = server, pool
        self.journal_lock, self.handover_source = journal_lock, handover_source
        self.events, self.intake = events, intake
        self.pause, self.shutdown = pause, shutdown

    def transfer_ownership(self) -> None:
        """Release the journal to the target, which has read all of it.

        From now on this process only finishes its calls in flight and proxies its
        client connections. Queued outcomes and submissions are forwarded.
        """
        assert self.journal_lock is not None
        self.server.reject_departed()
        self.server.hand_over()
        self.store.release()
        self.journal_lock.release()
        self.handover_source.confirm_transfer()
        events = self.events.take_events()
        undecided = self.intake.take_undecided()
        self.store.clear_messages()
        self.pool.retire()
        for event in events:
            self.events.post(event)
        for submitted, writer in undecided.values():
            self.handover_source.submit(submitted, writer)
        self.pause.run_deferred_requests()

    def target_lost(self) -> None:
        """Handle the loss of the target after the transfer.

        Before SIGTERM this engine stops, and another one starts from the journal.
        During shutdown the waiting clients are answered by what the journal holds, and
        the calls in flight are given up: their outcomes can no longer be journaled, and
        the next process, which counts them as interrupted, may start at any time.
        """
        if not self.state.shutdown_started_s:
            log.error("handover target lost; restarting from the journal")
            self.state.restart_from_journal = True
            self.shutdown.signal_stopped()
            return
        log.error(
            "handover target lost during shutdown; its messages stay in the journal"
        )
        self.pool.close()
        self.respond_from_journal()

    def respond_from_journal(self) -> None:
        """Answer the clients whose messages were forwarded to the lost target.

        Called when no other engine starts in this process that could answer them. The
        journal is read again, because the target has written it since the transfer. If
        it can't be read, all clients get 503.
        """
        writers = self.handover_source.take_response_writers()
        if not writers:
            return
        journaled_ids: set[str] = set()
        try:
            config = self.state.config
            store = MessageStore(config.state, config.disk_bytes, write=False)
            journaled_ids = store.messages.keys() | store.pending_notifications.keys()
        except (OSError, UnusableJournalError) as error:
            log.error("cannot read the journal: %s", error)
        for message_id, writer in writers.values():
            answer_from_journal(writer, message_id in journaled_ids)

    def reload_inbound_settings(self) -> None:
        """Apply reloaded settings to the client connections left in this process.

        Called after a transfer. The target applies the whole configuration, and it
        also counts and logs an invalid one, so an error is ignored here.
        """
        with suppress(ConfigError):
            self.server.settings = replace(
                load_replacement(self.state.config).settings,
                notifications_acknowledged=True,
            )


def answer_from_journal(writer: ResponseWriter, accepted: bool) -> None:
    """Answer 202 if the journal holds the client's message, otherwise 503.

    Args:
        writer: Writes the response.
        accepted: Whether the journal holds the message or its notification.
    """
    if accepted:
        writer.answer(HTTPStatus.ACCEPTED)
    else:
        writer.answer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            "not taken on",
            Retry_After=REJECTED_RETRY_AFTER_S,
        )
