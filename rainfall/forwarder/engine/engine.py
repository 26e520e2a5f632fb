"""The one loop that owns the Dispatcher: gathers events into rounds, carries out its
actions in order.

It decides nothing. In each round what must be journaled is written before anything
leaves that it precedes: a message before its 202, an attempt before its call's first
byte, an end before its notice.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import Counter, OrderedDict
from dataclasses import replace
from http import HTTPStatus

from rainfall.dispatch import (
    Action,
    AttemptFinished,
    CancelAttempt,
    CloseIdleConnections,
    Dispatcher,
    Event,
    FailMessage,
    Idempotency,
    LogNote,
    MessageClass,
    MessageReceived,
    NotificationAcknowledged,
    Outcome,
    RecordOutage,
    RejectMessage,
    SendMessage,
    SetTimer,
    SubscribeEndpointList,
)
from rainfall.dispatch.idempotency import TRANSIT_SLACK_US
from rainfall.forwarder.admin.admin_server import Metrics
from rainfall.forwarder.config.loading import Config
from rainfall.forwarder.config.validation import ActiveConfig, config_digest
from rainfall.forwarder.discovery.endpoint_watch import (
    NO_VERSION,
    EndpointWatch,
    Notifier,
)
from rainfall.forwarder.engine.engine_state import (
    LOG_INTERVAL_US,
    MAX_RECENTLY_FINISHED,
    MAX_REMOVED_ENDPOINTS,
    REJECTED_RETRY_AFTER_S,
    US_PER_SECOND,
    Clock,
    durability_level,
    log,
    trace_log,
)
from rainfall.forwarder.engine.startup import LOOP_LAG_LOG_INTERVAL_S, Startup
from rainfall.forwarder.handover.roles import (
    HandoverSource,
    HandoverTarget,
    JournalLock,
)
from rainfall.forwarder.inbound.server import (
    InboundServer,
    ResponseWriter,
    SubmittedMessage,
)
from rainfall.forwarder.message_store import AcceptedMessage, MessageStore, SyncWorker
from rainfall.forwarder.outbound.connection_pool import (
    CallItem,
    ConnectionPool,
    OutboundCall,
    fits_batch,
)

__all__ = [
    "MAX_RECENTLY_FINISHED",
    "MAX_REMOVED_ENDPOINTS",
    "RESTORE_BATCH",
    "Clock",
    "Engine",
]
RESTORE_BATCH = 100  # messages of before that the module is told of in one round, ...
RESTORE_INTERVAL_S = 0.01  # ... and between two such rounds
# a call ends so much before its message's time at most where the loop is late, ...
MAX_EARLY_TIMEOUT_US = 150_000
EARLY_TIMEOUT_DIVISOR = 4  # ... and by no more than this part of what is left of it
# before a call that could not leave for want of its record is decided on again; doubles
UNPERSISTED_RETRY_S = 0.25


def create_sync_thread() -> SyncWorker:
    from rainfall.journal.sync_thread import (
        SyncThread,  # a thread that only the level `power` has
    )

    return SyncThread()


class Engine(Startup):
    """With a `successor`, it takes over from a process that still runs: nothing is
    written until that has let go of the journal. The clock, the numbers of targets and
    what the module knows go on from there.
    """

    def __init__(
        self,
        config: Config,
        journal_lock: JournalLock | None = None,
        handover_target: HandoverTarget | None = None,
    ) -> None:
        self.config, self.clock, self.journal_lock, self.handover_target = (
            config,
            Clock(),
            journal_lock,
            handover_target,
        )
        settings = replace(config.settings, notifications_acknowledged=True)
        self.store = MessageStore(
            config.state,
            config.disk_bytes,
            write=handover_target is None,
            base_us=self.clock.offset_ns // 1000,
            worker=create_sync_thread() if config.power else None,
        )
        if self.store.clock is not None:
            self.clock.offset_ns = (
                self.store.clock[0] * 1000
            )  # what is in the journal goes by that one
        self.dispatcher = Dispatcher(settings, config.seed, self.clock())
        self.server = InboundServer(settings, self.clock, 0, self.submit, self.is_ready)
        self.pool = ConnectionPool(
            self.clock,
            self.post,
            config.report_fields,
            settings.idle_connection_us,
            settings.connect_timeout_us,
            0,
        )
        self.allocate_sockets(config.max_sockets)
        self.notifier = Notifier(config.discovery, self, config.seed)
        self.apply_endpoint_kinds(settings)
        self.active_config = ActiveConfig(
            config_digest({**config.raw, "durability": durability_level(config)}),
            "start",
            time.time(),
        )
        (
            self.endpoints,
            self.endpoint_ids,
            self.endpoint_names,
            self.last_endpoint_id,
            self.known_destinations,
        ) = (
            {},
            {},
            {},
            0,
            set(),
        )
        self.undecided, self.restore_backlog, self.pending_events = {}, {}, []
        self.unacknowledged, self.withdrawing = set(), set()
        self.round_scheduled = False
        self.last_round_us = 0
        self.frozen = self.closed = False
        self.last_full_log_us = self.last_fault_log_us = -LOG_INTERVAL_US
        self.recently_finished, self.event_counts = OrderedDict(), Counter()
        self.shutdown_started_s, self.last_lag_log_s, self.last_collection_s = (
            0.0,
            -LOOP_LAG_LOG_INTERVAL_S,
            0.0,
        )
        self.metrics = Metrics()
        self.metrics.add_classes(c.name for c in settings.classes)
        self.serving = self.paused_for_handover = self.restart_from_journal = False
        self.handover_source = HandoverSource(self)
        self.remote_calls, self.deferred_requests = {}, []
        self.last_summary_s = time.monotonic()
        self.stopped = asyncio.Event()
        self.pool.record_attempts, self.pool.on_call_sent = (
            self.record_attempts,
            self.on_call_sent,
        )
        self.fleet = None
        if config.fleet is not None:
            from rainfall.forwarder.fleet.member import FleetMember

            self.fleet = FleetMember(config.fleet, self)
            self.pool.acquire_permit = self.fleet.acquire_permit
        version = self.restore_state()
        # Another address than the list came from may count its versions anew: the whole
        # list is asked for.
        same_source = self.store.source in ("", str(config.discovery))
        self.watch = EndpointWatch(
            config.discovery,
            version if same_source else NO_VERSION,
            self.on_endpoint_list,
            config.seed,
            pushed=not config.settings.subscribe_endpoint_list,
        )

    # Messages of before

    def restore_batch(self) -> None:
        self.restore_messages(RESTORE_BATCH)

    def restore_messages(self, most: int | None = None) -> None:
        """Tell the module of so many messages of before, or of all."""
        for message_id in list(self.restore_backlog)[:most]:
            self.pending_events.append(self.restore_backlog.pop(message_id))

    def continue_restoring(self) -> None:
        """In batches between rounds, so that what comes now does not wait for all of
        before.
        """
        if self.restore_backlog and not self.frozen:
            if not self.paused_for_handover:
                self.restore_batch()
                self.schedule_round()
            asyncio.get_running_loop().call_later(
                RESTORE_INTERVAL_S, self.continue_restoring
            )

    # Rounds

    def run_round(self) -> None:
        self.round_scheduled = False
        if self.frozen or self.paused_for_handover:
            return
        now = self.last_round_us = self.clock()
        events, self.pending_events = self.pending_events, []
        for event in events:
            if isinstance(event, AttemptFinished):
                self.record_outcome(event)
                if (
                    event.outcome is Outcome.NOT_SENT
                    and event.message_id in self.store.messages
                ):
                    self.store.messages[event.message_id].unsent_attempts += 1
        undecided, self.undecided = self.undecided, {}
        try:
            actions = self.dispatcher.handle(now, events)
        except Exception:
            actions = self.recover_from_fault(events, undecided)
        for action in actions:
            if (
                isinstance(action, RejectMessage | FailMessage)
                and action.message_id in undecided
            ):
                submitted, writer = undecided.pop(action.message_id)
                self.reject(submitted, writer, action)
                if submitted.order_key is not None:
                    self.post(
                        NotificationAcknowledged(submitted.id)
                    )  # by the answer itself
        self.unacknowledged.update(undecided)
        for submitted, _ in undecided.values():
            self.store.append_message(
                AcceptedMessage(
                    submitted.id,
                    submitted.class_name,
                    submitted.destination,
                    submitted.due_us,
                    submitted.key,
                    submitted.tenant,
                    submitted.body,
                    submitted.order_key,
                )
            )
        calls: list[CloseIdleConnections | OutboundCall | CancelAttempt] = []
        open_calls: dict[tuple[int, bool], OutboundCall] = {}
        for action in actions:
            match action:
                case SendMessage():
                    self.add_to_call(action, now, open_calls, calls)
                case RejectMessage() if action.message_id in self.store.messages:
                    self.event_counts["returned"] += 1
                    self.count_unattempted(action, now)
                    self.metrics.record_finished(
                        self.metrics.throttled,
                        self.store.messages[action.message_id].class_name,
                    )
                    self.store.append_notification(
                        action.message_id, "returned", -(-action.retry_after_us // 1000)
                    )
                    self.remember_finished(action.message_id, "returned")
                case FailMessage() if action.message_id in self.store.messages:
                    self.event_counts["given up"] += 1
                    self.count_unattempted(action, now)
                    self.metrics.record_finished(
                        self.metrics.faulted,
                        self.store.messages[action.message_id].class_name,
                    )
                    self.store.append_notification(action.message_id, "failed", 0)
                    self.remember_finished(action.message_id, "failed")
                case CloseIdleConnections() | CancelAttempt():
                    calls.append(action)
                case SetTimer():
                    self.set_timer(now + action.delay_us, action.token)
                case SubscribeEndpointList():
                    self.watch.subscribe()
                case RecordOutage():
                    if action.endpoint in self.endpoint_names:
                        self.store.append_outage(
                            self.endpoint_names[action.endpoint],
                            action.started_at_us,
                            action.recovered_at_us,
                        )
                case LogNote():
                    log.info("%s", action.text)
        if undecided or calls or self.store.pending_notifications:
            self.store.commit(lambda ok: self.complete_round(ok, undecided, calls))
        else:  # nobody waits for what only came to its end: that costs no sync
            self.store.flush()

    def count_unattempted(
        self, decision: RejectMessage | FailMessage, now: int
    ) -> None:
        """Taken on and given up with no call: one count for each cause, and a line of
        the message.
        """
        message = self.store.messages[decision.message_id]
        if message.attempts > message.unsent_attempts:
            return
        self.event_counts[f"untried: {decision.reason}"] += 1
        if trace_log.isEnabledFor(logging.INFO):
            trace_log.info(
                "given up untried",
                extra={
                    "message_id": message.id,
                    "cause": decision.reason,
                    "left_ms": (message.deadline_us - now) // 1000,
                },
            )

    def complete_round(
        self,
        committed: bool,
        accepted: dict[str, tuple[SubmittedMessage, ResponseWriter]],
        steps: list[CloseIdleConnections | OutboundCall | CancelAttempt],
    ) -> None:
        """What a round decided is kept, or cannot be: answers and calls leave, or do
        not.
        """
        for message_id, (submitted, writer) in accepted.items():
            if committed and message_id in self.unacknowledged:
                self.event_counts["taken"] += 1
                self.metrics.messages_accepted += 1
                writer.answer(HTTPStatus.ACCEPTED)
            else:
                self.revoke_acceptance(submitted, writer)
        self.unacknowledged.difference_update(accepted)
        self.withdrawing.difference_update(accepted)
        for step in steps:
            if isinstance(step, CloseIdleConnections):
                self.pool.close_idle(step.endpoint)
            elif isinstance(step, CancelAttempt):
                if (
                    step.message_id,
                    step.attempt,
                ) in self.remote_calls and self.handover_target is not None:
                    self.handover_target.link.send(
                        cancel=[step.message_id, step.attempt]
                    )
                else:
                    self.pool.cancel(step.message_id, step.attempt)
            elif self.closed:  # its sync took longer than the process lasts
                for item in step.items:
                    if item.id in self.store.messages:
                        self.store.append_outcome(
                            self.store.messages[item.id], item.attempt, False
                        )
            elif self.drop_unsendable(step, committed):
                self.pool.start(step)
        if self.store.pending_notifications:
            self.notifier.kick()

    def drop_unsendable(self, call: OutboundCall, committed: bool) -> bool:
        """Leave out of a call what must not leave: what was taken back meanwhile, and
        where attempts are not kept, those that a restart must not make again. Their
        slots come free after a while, or a disk that fails would have them tried
        without a pause.
        """
        kept: list[CallItem] = []
        # A wait may have been told while the record was synced, or the process may have
        # come to its freeze: then it is left, as never sent, to the one after it.
        must_wait = self.frozen or (
            self.config.power
            and self.clock() < self.pool.retry_after_until.get(call.throttle_scope, 0)
        )
        for item in call.items:
            message = self.store.messages.get(item.id)
            if (
                message is not None
                and not must_wait
                and (committed or self.may_send_unrecorded(message))
            ):
                kept.append(item)
                continue
            not_sent = AttemptFinished(
                item.id,
                item.attempt,
                call.endpoint,
                Outcome.NOT_SENT,
                0,
                message_closed=message is None,
            )
            if message is None or committed:
                self.post(not_sent)
            else:
                asyncio.get_running_loop().call_later(
                    self.unpersisted_retry_s(message, item.attempt), self.post, not_sent
                )
        call.items = kept
        return bool(kept)

    def record_attempts(self, call: OutboundCall) -> bool:
        """Journal a call's attempts right before its first byte, and no sooner: of one
        whose connection comes up while the process is killed it is known that it never
        ran. Whether it may leave.
        """
        if self.config.power:
            return True
        messages = [
            self.store.messages[item.id]
            for item in call.open_items.values()
            if item.id in self.store.messages
        ]
        endpoint = self.endpoint_names.get(call.endpoint, "")
        for message in messages:
            self.store.append_attempt(
                message, call.open_items[message.id].attempt, call.sent_at_us, endpoint
            )
        self.store.flush()
        return not self.store.log.incomplete or all(
            map(self.may_send_unrecorded, messages)
        )

    def record_outcome(self, event: AttemptFinished) -> None:
        """Journal an outcome, and an attempt that came back before it was recorded: it
        counts as one.
        """
        message = self.store.messages.get(event.message_id)
        if (
            message is not None
            and event.attempt not in message.in_flight
            and not event.message_closed
        ):
            self.store.append_attempt(
                message,
                event.attempt,
                self.clock(),
                self.endpoint_names.get(event.endpoint, ""),
            )
        super().record_outcome(event)

    def unpersisted_retry_s(self, message: AcceptedMessage, attempt: int) -> float:
        """Each one uses up an attempt: at a steady pace a full disk would use up all
        before it has room.
        """
        return max(
            0.0,
            min(
                UNPERSISTED_RETRY_S * 2.0**attempt,
                (message.deadline_us - self.clock()) / US_PER_SECOND,
            ),
        )

    def may_send_unrecorded(self, message: AcceptedMessage) -> bool:
        """Whether an attempt may leave that a restart would not know of.

        Under `power` none does.
        """
        message_class = self.store.class_of(message)
        return (
            not self.config.power
            and message_class is not None
            and message_class.idempotency is Idempotency.ALWAYS
            and message.order_key is None
        )

    def recover_from_fault(
        self,
        events: list[Event],
        undecided: dict[str, tuple[SubmittedMessage, ResponseWriter]],
    ) -> list[Action]:
        """A fault in a decision must cost its event and neither the process, which
        holds all the others, nor a slot: what was decided till then is booked in the
        module and so carried out, and the events that it has not read come again.
        """
        if self.clock() - self.last_fault_log_us >= LOG_INTERVAL_US:
            self.last_fault_log_us = self.clock()
            log.exception("a decision failed")
        actions = list(self.dispatcher.state.actions)
        self.pending_events = (
            events[self.dispatcher.state.events_applied :] + self.pending_events
        )
        unread = {
            e.message_id for e in self.pending_events if isinstance(e, MessageReceived)
        }
        decided = self.dispatcher.state.messages.keys() | {
            a.message_id for a in actions if isinstance(a, RejectMessage | FailMessage)
        }
        for message_id in list(undecided):
            if message_id in unread:
                self.undecided[message_id] = undecided.pop(message_id)
            elif message_id not in decided:
                submitted, writer = undecided.pop(message_id)
                self.metrics.throttled[submitted.class_name] += 1
                writer.answer(
                    HTTPStatus.SERVICE_UNAVAILABLE,
                    "internal fault",
                    Retry_After=REJECTED_RETRY_AFTER_S,
                )
        if self.pending_events:
            self.schedule_round()
        return actions

    @staticmethod
    def send_before_us(
        message: AcceptedMessage, message_class: MessageClass | None
    ) -> int:
        """When the last byte of a keyed message that may have run must have left; 0
        where it is not bound.
        """
        is_bound = (
            message_class is not None
            and message_class.idempotency is Idempotency.WITH_KEY
            and message.executed_at_us >= 0
        )
        return (
            message.executed_at_us
            + message_class.idempotency_window_us
            - TRANSIT_SLACK_US
            if message_class is not None and is_bound
            else 0
        )

    def call_timeout_us(self, message: AcceptedMessage, now: int) -> int:
        """How long a call may be waited for.

        A loop that is late ends it so much sooner, or its message would be past its
        time by then; an attempt with little time keeps most of it.
        """
        remaining_us = message.deadline_us - now
        return remaining_us - min(
            self.server.expected_loop_delay_us,
            MAX_EARLY_TIMEOUT_US,
            remaining_us // EARLY_TIMEOUT_DIVISOR,
        )

    def add_to_call(
        self,
        action: SendMessage,
        now: int,
        open_calls: dict[tuple[int, bool], OutboundCall],
        calls: list[CloseIdleConnections | OutboundCall | CancelAttempt],
    ) -> None:
        """Count an attempt and put it into a call: those of one round to one target
        travel together. A call is given up as a whole, so messages that are waited for
        till their end, as once-only ones are, share none with those that may be sent
        again sooner.
        """
        message = self.store.messages.get(action.message_id)
        if message is None:  # only after a fault: the slot must come free again
            self.post(
                AttemptFinished(
                    action.message_id,
                    0,
                    action.endpoint,
                    Outcome.NOT_SENT,
                    0,
                    message_closed=True,
                )
            )
            return
        endpoint_name, number = (
            self.endpoint_names.get(action.endpoint, ""),
            message.attempts,
        )
        endpoint = self.endpoints.get(endpoint_name)
        if endpoint is None or endpoint.destination != message.destination:
            # A message that reaches a stranger cannot be called back: the last check
            # before the wire.
            log.error(
                "held back: %s is no target of destination %d",
                endpoint_name,
                message.destination,
            )
            message.attempts += 1
            self.post(
                AttemptFinished(
                    message.id, number, action.endpoint, Outcome.NOT_SENT, 0
                )
            )
            return
        if (
            self.config.power
        ):  # which has to be synced: its connection comes up meanwhile
            self.store.append_attempt(message, number, now, endpoint_name)
        # a record that says nothing yet, which shows whether there is room for those to
        # come
        else:
            message.attempts = number + 1
            self.store.append_outcome(message, number, False)
        message_class = self.store.class_of(message)
        once = (
            message_class is not None and message_class.idempotency is Idempotency.NEVER
        )
        timeout_at = now + min(action.timeout_us, self.call_timeout_us(message, now))
        item = CallItem(
            message.id,
            number,
            message.idempotency_key,
            message.body,
            timeout_at,
            self.send_before_us(message, message_class),
        )
        waits_until_deadline = once or (
            action.timeout_us >= message.deadline_us - now
            and message.order_key is None
            and message_class is not None
            and message_class.idempotency is Idempotency.WITH_KEY
        )
        call = open_calls.get((action.endpoint, waits_until_deadline))
        batch_size = self.batch_sizes.get(str(endpoint.raw.get("class")), 1)
        if (
            call is None
            or len(call.items) >= batch_size
            or not fits_batch(call.items, item)
        ):
            is_endpoint_scoped = (
                str(endpoint.raw.get("class")) in self.endpoint_scoped_kinds
            )
            throttle_scope = (
                message.destination,
                action.endpoint if is_endpoint_scoped else -1,
            )
            call = open_calls[action.endpoint, waits_until_deadline] = OutboundCall(
                action.endpoint, throttle_scope, now, []
            )
            calls.append(call)
        call.items.append(item)
