"""The transfer of the journal to another process, and the time after it."""

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
    """Makes another process the journal's writer, and answers for it if it is lost."""

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
        """Leave the journal to the other process, which has read all of it.

        From here on this process only finishes the calls that it has in flight.
        """
        assert self.journal_lock is not None
        self.server.hand_over()
        self.store.release()
        self.journal_lock.release()
        self.handover_source.confirm_transfer()
        events = self.events.take_events()
        undecided = self.intake.take_undecided()
        self.store.forget_messages()
        self.pool.retire()
        for event in events:
            self.events.post(event)
        for submitted, writer in undecided.values():
            self.handover_source.submit(submitted, writer)
        self.pause.run_deferred_requests()

    def target_lost(self) -> None:
        """The process that had taken over is gone: the journal says how far it got."""
        if not self.state.shutdown_started_s:
            log.error("the new process is gone; starting again from the journal")
            self.state.restart_from_journal = True
            self.shutdown.signal_stopped()
            return
        log.error(
            "the new process is gone, and this one ends; all stays in the journal"
        )
        self.respond_from_journal()

    def respond_from_journal(self) -> None:
        """Answer the clients whose messages the lost process had.

        No other engine starts here that could answer them.
        """
        writers = self.handover_source.take_response_writers()
        if not writers:
            return
        known: set[str] = set()
        try:
            config = self.state.config
            store = MessageStore(config.state, config.disk_bytes, write=False)
            known = store.messages.keys() | store.pending_notifications.keys()
        except (OSError, UnusableJournalError) as error:
            log.error("the journal cannot be read: %s", error)
        for message_id, writer in writers.values():
            answer_from_journal(writer, message_id in known)

    def reload_inbound_settings(self) -> None:
        """Apply a reloaded configuration to the connections that are still here.

        After a transfer the other process applies the rest of it; that one also counts
        and logs what is wrong with it.
        """
        with suppress(ConfigError):
            self.server.settings = replace(
                load_replacement(self.state.config).settings,
                notifications_acknowledged=True,
            )


def answer_from_journal(writer: ResponseWriter, accepted: bool) -> None:
    """Answer a client by whether the journal has its message."""
    if accepted:
        writer.answer(HTTPStatus.ACCEPTED)
    else:
        writer.answer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            "not taken on",
            Retry_After=REJECTED_RETRY_AFTER_S,
        )
