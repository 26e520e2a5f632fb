"""What all parts of the engine share: its state, events on their way to the next round,
targets by number.
"""

from __future__ import annotations

import asyncio
import logging
import resource
import time
from collections import Counter, OrderedDict
from collections.abc import Callable
from contextlib import suppress
from typing import TYPE_CHECKING

from rainfall.dispatch import (
    NEVER_EXECUTED,
    AttemptFinished,
    Dispatcher,
    EndpointEntry,
    Event,
    MessageRestored,
    Outcome,
    Settings,
    TimerExpired,
)
from rainfall.forwarder.admin import admin_server
from rainfall.forwarder.admin.admin_server import MAX_CONNECTIONS, Metrics
from rainfall.forwarder.config.loading import Config, EndpointList, ListedEndpoint
from rainfall.forwarder.config.validation import ActiveConfig
from rainfall.forwarder.discovery.endpoint_watch import EndpointWatch, Notifier
from rainfall.forwarder.handover.roles import (
    HandoverSource,
    HandoverTarget,
    JournalLock,
)
from rainfall.forwarder.inbound.server import (
    ACCEPT_BATCH,
    ACCEPT_LOOP_TURNS,
    InboundServer,
    ResponseWriter,
    SubmittedMessage,
)
from rainfall.forwarder.message_store import MessageStore
from rainfall.forwarder.outbound.connection_pool import ConnectionPool, OutboundCall

if TYPE_CHECKING:
    from rainfall.forwarder.fleet.member import FleetMember

# least time between rounds: what goes to one target in one round travels together
MIN_ROUND_INTERVAL_US = 5_000
REJECTED_RETRY_AFTER_S = "1"  # when to come again after a refusal at the door
LOG_INTERVAL_US = 10_000_000
TICK_INTERVAL_S = 0.1
MAX_REMOVED_ENDPOINTS = (
    8_192  # targets remembered by name that have left a list of 44,000; 180 bytes each
)
FORGET_BATCH = (
    MAX_REMOVED_ENDPOINTS // 8
)  # forgotten at once, so that not each new name looks through all of them
MAX_RECENTLY_FINISHED = (
    2_048  # messages remembered by id after their end; 100 bytes each
)
# heard of, and still taken on for: 44,000 and those that left; 70 bytes each
MAX_DESTINATIONS = 100_000
OWN_DESCRIPTORS = 24
"""Descriptors that the process holds beside clients, operators' calls and calls to
targets: 3 standard ones; the loop's 3; the clients' listener, the platform's own of it,
the operators'; the journal, its new file, its folder; the lock and its folder; the
handover's listener and connection; discovery's and the notices' connections, each with
the one before it that is just closing; the configuration read again; some to spare.
"""
ADMIN_DESCRIPTORS = 1 + MAX_CONNECTIONS + ACCEPT_LOOP_TURNS * admin_server.ACCEPT_BATCH
"""And those of the operators' address."""
US_PER_SECOND = 1_000_000
log = logging.getLogger("rainfall.engine")
trace_log = logging.getLogger("rainfall.trace")
"""A line for each message's arrival, send and end; off unless the configuration asks
(net/logjson.py).
"""
trace_log.setLevel(logging.WARNING)


class Clock:
    """Microseconds of Unix time, so that the journal's times hold after a restart, but
    never going back.
    """

    def __init__(self) -> None:
        self.offset_ns = time.time_ns() - time.monotonic_ns()

    def __call__(self) -> int:
        return (self.offset_ns + time.monotonic_ns()) // 1000


def durability_level(config: Config) -> str:
    """What is in force; another in a file waits for a start."""
    return "power" if config.power else "process"


class EngineState:
    """The engine's parts are classes over this one, for reading apart; `Engine` is all
    of them, and sets what is declared here.
    """

    config: Config
    clock: Clock
    journal_lock: JournalLock | None
    handover_target: HandoverTarget | None
    handover_source: HandoverSource
    store: MessageStore
    dispatcher: Dispatcher
    server: InboundServer
    pool: ConnectionPool
    watch: EndpointWatch
    notifier: Notifier
    metrics: Metrics
    active_config: ActiveConfig
    fleet: FleetMember | None
    """None where the configuration has none: then nothing of it is imported."""
    endpoints: dict[str, ListedEndpoint]
    endpoint_ids: dict[str, int]
    endpoint_names: dict[int, str]
    last_endpoint_id: int
    known_destinations: set[int]
    batch_sizes: dict[str, int]
    endpoint_scoped_kinds: set[str]
    undecided: dict[str, tuple[SubmittedMessage, ResponseWriter]]
    """Handed in, and not yet decided on."""
    restore_backlog: dict[str, MessageRestored]
    """Messages of before the start that the module has not been told of yet."""
    unacknowledged: set[str]
    """Taken on, and not yet kept as the level promises."""
    withdrawing: set[str]
    """Of these, those whose client left: until their sync is over nobody may hand the
    same id in.
    """
    pending_events: list[Event]
    recently_finished: OrderedDict[str, None]
    event_counts: Counter[str]
    remote_calls: dict[tuple[str, int], tuple[int, int]]
    """Calls still out at the process before: their targets, and when they were sent."""
    deferred_requests: list[Callable[[], None]]
    """Asked while all stands still for a handover."""
    round_scheduled: bool
    frozen: bool
    closed: bool
    serving: bool
    paused_for_handover: bool
    restart_from_journal: bool
    last_round_us: int
    last_full_log_us: int
    last_fault_log_us: int
    shutdown_started_s: float
    last_lag_log_s: float
    last_collection_s: float
    last_summary_s: float
    stopped: asyncio.Event

    def run_round(self) -> None:
        """Gather, decide, carry out."""
        raise NotImplementedError

    def restore_messages(self, limit: int | None = None) -> None:
        """Tell the module of so many messages of before, or of all."""
        raise NotImplementedError

    def restore_batch(self) -> None:
        """A first batch of them."""
        raise NotImplementedError

    def continue_restoring(self) -> None:
        """The next batch, and again until none is left."""
        raise NotImplementedError

    # Events

    def post(self, event: Event) -> None:
        if self.closed:
            # calls that end as the process does are left open in the journal: they may
            # have run
            return
        if self.handover_source.transferred:
            if isinstance(event, AttemptFinished):
                self.handover_source.forward_outcome(event)
            return
        if self.frozen and isinstance(event, AttemptFinished):
            self.record_outcome(event)
            self.store.flush()
            return
        self.pending_events.append(event)
        self.schedule_round()

    def schedule_round(self) -> None:
        if self.round_scheduled or self.frozen or self.paused_for_handover:
            return
        self.round_scheduled = True
        loop = asyncio.get_running_loop()
        delay_us = self.last_round_us + MIN_ROUND_INTERVAL_US - self.clock()
        if delay_us <= 0:
            loop.call_soon(self.run_round)
        else:
            loop.call_later(delay_us / US_PER_SECOND, self.run_round)

    def set_timer(self, at_us: int, token: str) -> None:
        asyncio.get_running_loop().call_later(
            max(0, at_us - self.clock()) / US_PER_SECOND, self.fire_timer, at_us, token
        )

    def fire_timer(self, at_us: int, token: str) -> None:
        """A loop's timers may be a little early; the module's never are, or it would
        not ask for another.
        """
        if self.clock() < at_us:
            asyncio.get_running_loop().call_later(0.001, self.fire_timer, at_us, token)
        else:
            self.post(TimerExpired(token))

    async def wait_committed(self, timeout_s: float | None = None) -> None:
        """All that was decided is kept, and has left."""
        committed: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.store.commit(
            lambda ok: None if committed.done() else committed.set_result(None)
        )
        give_up_at = None if timeout_s is None else time.monotonic() + timeout_s
        while not committed.done() and (
            give_up_at is None or time.monotonic() < give_up_at
        ):
            self.store.log.retry_after_failure()
            await asyncio.wait({committed}, timeout=TICK_INTERVAL_S)

    # Outcomes

    def record_outcome(self, event: AttemptFinished) -> None:
        """Journal an outcome."""
        self.event_counts[event.outcome.value] += 1
        message = self.store.messages.get(event.message_id)
        if message is None:
            return
        if event.message_closed or event.outcome is Outcome.DELIVERED:
            delivered = event.outcome is Outcome.DELIVERED
            self.metrics.record_finished(
                self.metrics.fulfilled if delivered else self.metrics.faulted,
                message.class_name,
            )
            self.store.append_finished(message.id)
            self.remember_finished(message.id, event.outcome.value)
        else:
            self.store.append_outcome(
                message, event.attempt, event.outcome not in NEVER_EXECUTED
            )
            if self.fleet is not None and event.outcome is not Outcome.NOT_SENT:
                self.fleet.record_demand(
                    message.destination, message.class_name, message.tenant
                )

    def record_waiting_outcomes(self) -> None:
        """Journal the outcomes that wait for a round, where none may read them any
        more.
        """
        for event in self.pending_events:
            if isinstance(event, AttemptFinished):
                self.record_outcome(event)

    def on_call_sent(self, call: OutboundCall) -> None:
        """A call's first byte was handed to its socket: this moment is the one that is
        told.
        """
        at_ns = time.monotonic_ns()
        if self.fleet is not None:
            self.fleet.on_call_sent(call)
        if trace_log.isEnabledFor(logging.INFO):
            for item in call.open_items.values():
                trace_log.info(
                    "sent",
                    extra={
                        "message_id": item.id,
                        "attempt": item.attempt,
                        "target": self.endpoint_names.get(call.endpoint, ""),
                        "destination": call.throttle_scope[0],
                        "t_ns": at_ns,
                    },
                )

    def remember_finished(self, message_id: str, outcome: str) -> None:
        """Remember for a while what has had its end: ids are new each time, so one seen
        again is a copy.
        """
        if trace_log.isEnabledFor(logging.INFO):
            trace_log.info(
                "ended", extra={"message_id": message_id, "outcome": outcome}
            )
        self.recently_finished[message_id] = None
        if len(self.recently_finished) > MAX_RECENTLY_FINISHED:
            self.recently_finished.popitem(last=False)

    # Targets

    def to_entries(self, endpoints: EndpointList) -> tuple[EndpointEntry, ...]:
        return tuple(
            h.to_entry(self.assign_endpoint_id(h.name)) for h in endpoints.endpoints
        )

    def apply_endpoint_list(self, endpoints: EndpointList) -> None:
        if endpoints.complete:
            self.endpoints = {}
            if len(self.known_destinations) > MAX_DESTINATIONS:
                self.known_destinations = set()
        for h in endpoints.endpoints:
            self.known_destinations.add(h.destination)
            if h.health == "removed":
                self.endpoints.pop(h.name, None)
            else:
                self.endpoints[h.name] = h
        self.update_pool_endpoints()
        self.forget_removed_endpoints()

    def update_pool_endpoints(self) -> None:
        """Who may be called: asked again before a call's first byte."""
        self.pool.set_endpoints(
            {
                self.assign_endpoint_id(h.name): h.address
                for h in self.endpoints.values()
                if h.health == "up" and h.name not in self.store.detached
            }
        )

    def endpoint_id(self, name: str) -> int:
        """The module's number for a target that may be in no list.

        Those long gone are forgotten.
        """
        self.forget_removed_endpoints()
        return self.assign_endpoint_id(name)

    def forget_removed_endpoints(self) -> None:
        """Past MOST_GONE of them, the oldest names that are in no list.

        Not while a list is taken in: until that is whole, each of its names looks like
        one that is gone.
        """
        if len(self.endpoint_ids) <= len(self.endpoints) + MAX_REMOVED_ENDPOINTS:
            return
        removed = [
            n
            for n in self.endpoint_ids
            if n not in self.endpoints and n not in self.store.detached
        ]
        for name in removed[
            : max(0, len(removed) - MAX_REMOVED_ENDPOINTS + FORGET_BATCH)
        ]:
            del self.endpoint_names[self.endpoint_ids.pop(name)]

    def assign_endpoint_id(self, name: str) -> int:
        """The module's number for a target, a new one where it has none."""
        if name not in self.endpoint_ids:
            self.last_endpoint_id += 1
            self.endpoint_ids[name] = self.last_endpoint_id
            self.endpoint_names[self.last_endpoint_id] = name
        return self.endpoint_ids[name]

    # Settings

    def apply_endpoint_kinds(self, settings: Settings) -> None:
        self.batch_sizes = {
            k.name: k.max_batch_size for k in settings.destination_kinds
        }
        self.endpoint_scoped_kinds = {
            k.name for k in settings.destination_kinds if k.endpoint_scoped
        }

    def allocate_sockets(self, sockets: int) -> None:
        """A share of the descriptors for each side.

        What all others need is left, also while clients come faster than room is made;
        clients that ask use a third at most (TERMS), and those that do not are let go
        for them. A limit of the process that is lower than the configuration's goes
        before it.
        """
        with suppress(OSError, ValueError):
            limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
            sockets = (
                sockets if limit == resource.RLIM_INFINITY else min(sockets, limit)
            )
        self.pool.max_connections = max(8, sockets // 3)
        others = (
            self.pool.max_connections
            + OWN_DESCRIPTORS
            + ADMIN_DESCRIPTORS
            + ACCEPT_LOOP_TURNS * ACCEPT_BATCH
        )
        self.server.max_connections = max(
            8, sockets // 4, min(sockets // 2, sockets - others)
        )

    def is_ready(self) -> bool:
        """The one truth for clients and operators: not before the journal is read, nor
        while leaving.
        """
        return self.serving and not self.shutdown_started_s
