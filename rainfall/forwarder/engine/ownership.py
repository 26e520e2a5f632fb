"""The engine's part in handing over to a new process and in taking over from an old
one.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from http import HTTPStatus

from rainfall.dispatch import AttemptFinished, Outcome
from rainfall.forwarder.config.loading import ConfigError, load_replacement
from rainfall.forwarder.engine.engine_state import (
    REJECTED_RETRY_AFTER_S,
    EngineState,
    log,
)
from rainfall.forwarder.handover.roles import HandoverMessage
from rainfall.forwarder.message_store import MessageStore
from rainfall.journal.recovery import UnusableJournalError


class OwnershipTransfer(EngineState):
    def pause_for_handover(
        self, on_paused: Callable[[HandoverMessage | None], None]
    ) -> None:
        """A new process asks for all: stand still, with everything in the journal, and
        tell what that lacks. None where it cannot be had now. While the disk fails it
        cannot: who asks again and again must not cut what is being dialed, the watch
        and the posts each time.
        """
        if (
            not self.serving
            or self.shutdown_started_s
            or self.remote_calls
            or self.journal_lock is None
            or self.store.failed
        ):
            on_paused(None)
            return
        self.restore_messages()
        self.run_round()
        self.paused_for_handover = True
        self.watch.pause()
        self.notifier.pause()
        self.store.commit(lambda ok: self.finish_pause(on_paused))

    def finish_pause(self, on_paused: Callable[[HandoverMessage | None], None]) -> None:
        """All that was decided has left.

        What has ended since is journaled, and that must have its end too: the new
        process reads the file, and a sync under way might put another in its place.
        """
        self.pool.fail_unconnected_calls()
        if self.fleet is not None:
            self.fleet.pause()
        self.record_waiting_outcomes()
        self.store.commit(lambda ok: on_paused(self.handover_snapshot()))

    def handover_snapshot(self) -> HandoverMessage | None:
        if self.store.failed:
            return None
        log.info(
            "a new process takes over: %d messages held, %d calls out",
            len(self.store.messages),
            self.pool.in_flight,
        )
        now = self.clock()
        # The module has not been told of these: its successor is, as of calls that end
        # later.
        ended = {
            (e.message_id, e.attempt)
            for e in self.pending_events
            if isinstance(e, AttemptFinished)
        }
        return {
            "numbers": self.endpoint_ids,
            "numbered": self.last_endpoint_id,
            "recent": list(self.recently_finished),
            "waits": [
                [*place, until]
                for place, until in self.pool.retry_after_until.items()
                if until > now
            ],
            "descriptors": len(self.server.connections) + self.pool.in_flight,
            "module": self.dispatcher.snapshot(self.pool.calls.keys() | ended),
        }

    def resume_after_handover(self) -> None:
        """The new process is gone before it had anything: go on as if it had not asked."""
        if not self.paused_for_handover:
            return
        self.paused_for_handover = False
        if self.fleet is not None:
            self.fleet.resume()
        self.watch.subscribe()
        self.notifier.kick()
        self.schedule_round()
        self.run_deferred_requests()

    def run_deferred_requests(self) -> None:
        requests, self.deferred_requests = self.deferred_requests, []
        for request in requests:
            request()

    def transfer_ownership(self) -> None:
        """The new process has read all: from here on it is the writer, and this one
        only ends what it has.
        """
        assert self.journal_lock is not None
        self.server.hand_over()
        self.store.release()
        self.journal_lock.release()
        self.handover_source.confirm_transfer()
        events, self.pending_events = self.pending_events, []
        undecided, self.undecided = self.undecided, {}
        self.store.forget_messages()
        self.pool.retire()
        for event in events:
            self.post(event)
        for submitted, writer in undecided.values():
            self.handover_source.submit(submitted, writer)
        self.run_deferred_requests()

    def target_lost(self) -> None:
        """The new process is gone, though all was its: the journal says how far it got."""
        if not self.shutdown_started_s:
            log.error("the new process is gone; starting again from the journal")
            self.restart_from_journal = True
            self.stopped.set()
            return
        log.error(
            "the new process is gone, and this one ends; all stays in the journal"
        )
        self.respond_from_journal()

    def respond_from_journal(self) -> None:
        """No engine comes after this one here: who waits for an answer gets it before
        the process ends.
        """
        writers, self.handover_source.response_writers = (
            self.handover_source.response_writers,
            {},
        )
        if not writers:
            return
        try:
            store = MessageStore(self.config.state, self.config.disk_bytes, write=False)
            known = store.messages.keys() | store.pending_notifications.keys()
        except (OSError, UnusableJournalError) as error:
            log.error("the journal cannot be read: %s", error)
            known = set()
        for message_id, writer in writers.values():
            if message_id in known:
                writer.answer(HTTPStatus.ACCEPTED)
            else:
                writer.answer(
                    HTTPStatus.SERVICE_UNAVAILABLE,
                    "not taken on",
                    Retry_After=REJECTED_RETRY_AFTER_S,
                )

    def reload_inbound_settings(self) -> None:
        """SIGHUP when all is the new process's: the doors that are still here go by the
        same file.
        """
        with suppress(ConfigError):  # the new process counts it and says what is wrong
            self.server.settings = replace(
                load_replacement(self.config).settings, notifications_acknowledged=True
            )

    def cancel_call(self, message: str, attempt: int) -> None:
        self.pool.cancel(message, attempt)

    def remote_attempt_finished(self, event: AttemptFinished) -> None:
        """The outcome of a call that was out at the process before."""
        if self.remote_calls.pop((event.message_id, event.attempt), None) is None:
            return
        message = self.store.messages.get(event.message_id)
        name = self.endpoint_names.get(event.endpoint, "")
        if event.retry_after_us and message is not None:
            endpoint = self.endpoints.get(name)
            is_endpoint_scoped = (
                endpoint is not None
                and str(endpoint.raw.get("class")) in self.endpoint_scoped_kinds
            )
            self.pool.set_retry_after(
                (message.destination, event.endpoint if is_endpoint_scoped else -1),
                self.clock() + event.retry_after_us,
            )
        self.post(event)

    def source_lost(self) -> None:
        """The process before is gone. What it had out was cut: it may have run."""
        now = self.clock()
        for (name, number), (target, sent_at) in list(self.remote_calls.items()):
            self.remote_attempt_finished(
                AttemptFinished(
                    name,
                    number,
                    target,
                    Outcome.RESET,
                    now - sent_at,
                    inconclusive=True,
                )
            )
        self.allocate_sockets(self.config.max_sockets)
