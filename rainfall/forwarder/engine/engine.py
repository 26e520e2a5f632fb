"""The engine of one forwarder: builds its components and is their public interface.

Each component is in a module of its own, and its constructor names the components that
it calls. `EngineState` holds the fields that several components read, and names the
component that sets each.
"""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from rainfall.dispatch import (
    AttemptFinished,
    Dispatcher,
    EndpointEntry,
    Event,
    FailMessage,
    RejectMessage,
    SendMessage,
    Settings,
)
from rainfall.forwarder.admin.admin_server import AdminResponder, Metrics
from rainfall.forwarder.config.loading import Config, EndpointList, ListedEndpoint
from rainfall.forwarder.config.validation import ActiveConfig
from rainfall.forwarder.discovery.endpoint_watch import (
    NO_VERSION,
    EndpointWatch,
    Notifier,
)
from rainfall.forwarder.engine.action_runner import ActionRunner
from rainfall.forwarder.engine.call_dispatch import CallDispatch, CallStep
from rainfall.forwarder.engine.endpoint_directory import EndpointDirectory
from rainfall.forwarder.engine.endpoint_updates import EndpointUpdates
from rainfall.forwarder.engine.engine_state import (
    Clock,
    EngineState,
    Submission,
    durability_level,
)
from rainfall.forwarder.engine.event_queue import EventQueue
from rainfall.forwarder.engine.handover_pause import HandoverPause
from rainfall.forwarder.engine.intake import Intake
from rainfall.forwarder.engine.message_limits import input_memory_bytes
from rainfall.forwarder.engine.operations import Operations
from rainfall.forwarder.engine.outcome_recorder import OutcomeRecorder
from rainfall.forwarder.engine.ownership import OwnershipTransfer
from rainfall.forwarder.engine.periodic_tasks import PeriodicTasks
from rainfall.forwarder.engine.reconfiguration import Reconfiguration, to_active_config
from rainfall.forwarder.engine.remote_calls import RemoteCall, RemoteCallTracker
from rainfall.forwarder.engine.restoration import Restoration
from rainfall.forwarder.engine.round_completion import RoundCompletion
from rainfall.forwarder.engine.rounds import Rounds
from rainfall.forwarder.engine.shutdown import Shutdown
from rainfall.forwarder.engine.sockets import allocate_sockets
from rainfall.forwarder.engine.startup import Startup
from rainfall.forwarder.handover.journal_lock import JournalLock
from rainfall.forwarder.handover.messages import HandoverMessage
from rainfall.forwarder.handover.source import HandoverSource
from rainfall.forwarder.handover.target import HandoverTarget
from rainfall.forwarder.inbound.server import (
    InboundServer,
    ResponseWriter,
    SubmittedMessage,
)
from rainfall.forwarder.message_store import (
    MessageStore,
    PendingNotification,
    SyncWorker,
)
from rainfall.forwarder.outbound.connection_pool import ConnectionPool, OutboundCall
from rainfall.forwarder.units import NS_PER_US

if TYPE_CHECKING:
    from rainfall.forwarder.fleet.member import FleetMember


def create_sync_thread() -> SyncWorker:
    """Create the thread that syncs the journal; used with the level `power` only."""
    from rainfall.journal.sync_thread import SyncThread

    return SyncThread()


class Engine:
    """Builds the components in dependency order, and delegates calls to them.

    With a `handover_target` the engine takes over from a running process, the handover
    source: it writes nothing until the source has released the journal. It continues
    with the source's clock, endpoint ids and dispatcher state.
    """

    def __init__(
        self,
        config: Config,
        journal_lock: JournalLock | None = None,
        handover_target: HandoverTarget | None = None,
    ) -> None:
        # The order matters: the journal sets the offset of the clock that all other
        # components use, the fleet's quotas must be known before messages are restored,
        # and the watch continues from the version of the restored endpoint list.
        self.journal_lock, self.handover_target = journal_lock, handover_target
        self.state = EngineState(config)
        self.clock = Clock()
        settings = replace(config.settings, notifications_acknowledged=True)
        self._open_store(config)
        self.dispatcher = Dispatcher(settings, config.seed, self.clock())
        self._create_connections(config, settings)
        self.metrics = Metrics()
        self.metrics.add_classes(
            message_class.name for message_class in settings.classes
        )
        self.handover_source = HandoverSource(self)
        self._create_event_components(settings)
        active_config = to_active_config(config, durability_level(config), "start")
        started_s = time.monotonic()
        self.pool.record_attempts = self.call_dispatch.record_attempts
        self.pool.on_call_sent = self.call_dispatch.on_call_sent
        self._create_fleet_member(config)
        version = self.restoration.restore_state()
        self._create_watch(config, version)
        self._create_rounds()
        self._create_handover_components()
        self._create_operations(active_config)
        self._create_startup(started_s)

    # Construction

    def _open_store(self, config: Config) -> None:
        """Read the journal, and continue its clock so that its times stay valid."""
        self.store = MessageStore(
            config.state,
            config.disk_bytes,
            write=self.handover_target is None,
            base_us=self.clock.offset_ns // NS_PER_US,
            worker=create_sync_thread() if config.power else None,
        )
        if self.store.clock is not None:
            journal_offset_us, *_ = self.store.clock
            self.clock.offset_ns = journal_offset_us * NS_PER_US

    def _create_connections(self, config: Config, settings: Settings) -> None:
        """Create the inbound server, the pool of outgoing connections and the notifier."""
        self.server = InboundServer(
            settings, self.clock, 0, self.submit, self.state.is_ready
        )
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

    def _create_event_components(self, settings: Settings) -> None:
        """Create the components that produce and queue events for the next round."""
        self.directory = EndpointDirectory(self.pool, self.store)
        self.directory.apply_endpoint_kinds(settings)
        self.outcomes = OutcomeRecorder(
            state=self.state,
            clock=self.clock,
            store=self.store,
            metrics=self.metrics,
            directory=self.directory,
        )
        self.events = EventQueue(
            state=self.state,
            clock=self.clock,
            store=self.store,
            handover_source=self.handover_source,
            outcomes=self.outcomes,
            run_round=self.run_round,
        )
        self.call_dispatch = CallDispatch(
            state=self.state,
            clock=self.clock,
            store=self.store,
            pool=self.pool,
            server=self.server,
            directory=self.directory,
            events=self.events,
        )
        self.remote_call_tracker = RemoteCallTracker(
            clock=self.clock,
            store=self.store,
            pool=self.pool,
            directory=self.directory,
            post=self.events.post,
        )
        self._create_intake()

    def _create_intake(self) -> None:
        """Create the components that bring in messages, from the journal and clients."""
        self.restoration = Restoration(
            state=self.state,
            clock=self.clock,
            store=self.store,
            pool=self.pool,
            metrics=self.metrics,
            handover_target=self.handover_target,
            directory=self.directory,
            events=self.events,
            outcomes=self.outcomes,
            remote_calls=self.remote_call_tracker,
            allocate_sockets=self.allocate_sockets,
        )
        self.intake = Intake(
            state=self.state,
            clock=self.clock,
            store=self.store,
            metrics=self.metrics,
            handover_source=self.handover_source,
            directory=self.directory,
            events=self.events,
            outcomes=self.outcomes,
            restoration=self.restoration,
            max_connections=lambda: self.server.max_connections,
        )

    def _create_fleet_member(self, config: Config) -> None:
        """Create the fleet member if a fleet is configured."""
        if config.fleet is None:
            return
        # Imported here, because a forwarder without a fleet doesn't need the module.
        from rainfall.forwarder.fleet.member import FleetMember

        self.state.fleet = FleetMember(config.fleet, self)
        self.pool.acquire_permit = self.state.fleet.acquire_permit

    def _create_watch(self, config: Config, version: int) -> None:
        """Create the watch, which continues from the version of the restored list."""
        # Another discovery service may have its own version numbers, so the watch
        # requests a complete list from it.
        is_same_source = self.store.source in ("", str(config.discovery))
        self.endpoint_updates = EndpointUpdates(
            state=self.state,
            clock=self.clock,
            store=self.store,
            directory=self.directory,
            events=self.events,
            run_round=self.run_round,
        )
        self.watch = EndpointWatch(
            config.discovery,
            version if is_same_source else NO_VERSION,
            self.endpoint_updates.on_endpoint_list,
            config.seed,
            pushed=not config.settings.subscribe_endpoint_list,
        )

    def _create_rounds(self) -> None:
        """Create the components that run rounds and execute their actions."""
        actions = ActionRunner(
            state=self.state,
            store=self.store,
            metrics=self.metrics,
            watch=self.watch,
            directory=self.directory,
            events=self.events,
            outcomes=self.outcomes,
            call_dispatch=self.call_dispatch,
        )
        self.round_completion = RoundCompletion(
            state=self.state,
            store=self.store,
            pool=self.pool,
            notifier=self.notifier,
            handover_target=self.handover_target,
            intake=self.intake,
            call_dispatch=self.call_dispatch,
            remote_calls=self.remote_call_tracker,
        )
        self.rounds = Rounds(
            state=self.state,
            clock=self.clock,
            store=self.store,
            dispatcher=self.dispatcher,
            server=self.server,
            events=self.events,
            outcomes=self.outcomes,
            intake=self.intake,
            actions=actions,
            completion=self.round_completion,
        )

    def _create_handover_components(self) -> None:
        """Create the components for shutdown and for handing over to another process."""
        self.shutdown = Shutdown(
            state=self.state,
            store=self.store,
            server=self.server,
            pool=self.pool,
            handover_source=self.handover_source,
            events=self.events,
            intake=self.intake,
            remote_calls=self.remote_call_tracker,
            run_round=self.run_round,
        )
        self.pause = HandoverPause(
            state=self.state,
            clock=self.clock,
            store=self.store,
            # A lambda looks the dispatcher up at each call: tests replace it.
            snapshot_dispatcher=lambda calls: self.dispatcher.snapshot(calls),
            server=self.server,
            pool=self.pool,
            watch=self.watch,
            notifier=self.notifier,
            journal_lock=self.journal_lock,
            directory=self.directory,
            events=self.events,
            outcomes=self.outcomes,
            restoration=self.restoration,
            remote_calls=self.remote_call_tracker,
            run_round=self.run_round,
        )
        self.ownership = OwnershipTransfer(
            state=self.state,
            store=self.store,
            server=self.server,
            pool=self.pool,
            journal_lock=self.journal_lock,
            handover_source=self.handover_source,
            events=self.events,
            intake=self.intake,
            pause=self.pause,
            shutdown=self.shutdown,
        )

    def _create_operations(self, active_config: ActiveConfig) -> None:
        """Create the components behind the operators' interface."""
        self.operations = Operations(
            state=self.state,
            clock=self.clock,
            store=self.store,
            dispatcher=self.dispatcher,
            server=self.server,
            pool=self.pool,
            metrics=self.metrics,
            handover_source=self.handover_source,
            directory=self.directory,
            events=self.events,
            pause=self.pause,
            run_round=self.run_round,
        )
        self.reconfiguration = Reconfiguration(
            state=self.state,
            store=self.store,
            server=self.server,
            pool=self.pool,
            watch=self.watch,
            notifier=self.notifier,
            metrics=self.metrics,
            active_config=active_config,
            handover_source=self.handover_source,
            directory=self.directory,
            events=self.events,
            pause=self.pause,
            allocate_sockets=self.allocate_sockets,
            run_round=self.run_round,
        )

    def _create_startup(self, started_s: float) -> None:
        """Create the periodic tasks, and the component that runs the engine until it ends."""
        self.periodic_tasks = PeriodicTasks(
            state=self.state,
            clock=self.clock,
            store=self.store,
            dispatcher=self.dispatcher,
            server=self.server,
            pool=self.pool,
            metrics=self.metrics,
            events=self.events,
            restoration=self.restoration,
            started_s=started_s,
            run_round=self.run_round,
        )
        self.startup = Startup(
            state=self.state,
            store=self.store,
            server=self.server,
            pool=self.pool,
            watch=self.watch,
            notifier=self.notifier,
            journal_lock=self.journal_lock,
            handover_source=self.handover_source,
            handover_target=self.handover_target,
            target_engine=self,
            restoration=self.restoration,
            shutdown=self.shutdown,
            periodic_tasks=self.periodic_tasks,
            run_round=self.run_round,
        )

    # Called by the program (`rainfall.forwarder.process`)

    async def run(self) -> bool:
        """Serve until stopped; return whether a new engine must start from the journal."""
        return await self.startup.run()

    def stop(self) -> None:
        """Start the graceful shutdown (SIGTERM)."""
        self.shutdown.stop()

    def reload(self) -> None:
        """Reload the configuration (SIGHUP)."""
        self.reconfiguration.reload()

    def respond_for_previous(self, previous: Engine) -> None:
        """Answer the clients of this process's previous engine that are still waiting."""
        self.startup.respond_for_previous(previous.handover_source)

    def respond_from_journal(self) -> None:
        """Answer the clients whose messages were forwarded to a lost handover target.

        Called at shutdown, when no new engine starts that could answer them.
        """
        self.ownership.respond_from_journal()

    # Called by the server, the connection pool, the notifier and the components

    def submit(self, submitted: SubmittedMessage, writer: ResponseWriter) -> None:
        """Accept or answer a message that a client submits."""
        self.intake.submit(submitted, writer)

    def post(self, event: Event) -> None:
        """Queue an event for the next round."""
        self.events.post(event)

    def run_round(self) -> None:
        """Run a round now, on all queued events."""
        self.rounds.run_round()

    def on_endpoint_list(self, update: EndpointList | None) -> None:
        """Apply an update of the endpoint list."""
        self.endpoint_updates.on_endpoint_list(update)

    def pending_notifications(self) -> dict[str, PendingNotification]:
        """Return the notifications that may be delivered now, by message id."""
        return self.operations.pending_notifications()

    def acknowledge_notifications(self, ids: list[str]) -> None:
        """Journal that notifications were delivered."""
        self.operations.acknowledge_notifications(ids)

    def allocate_sockets(self, sockets: int) -> None:
        """Divide descriptors between endpoints and clients, and limit clients' memory."""
        allocate_sockets(sockets, self.pool, self.server)
        self.server.input_budget.limit_bytes = input_memory_bytes(self.config.memory_mb)

    # Called by the operators' interface (`rainfall.forwarder.admin`)

    def is_ready(self) -> bool:
        """Return whether readiness checks succeed."""
        return self.state.is_ready()

    def metrics_report(self) -> dict[str, Any]:
        """Return all metrics by name."""
        return self.operations.metrics_report()

    def set_detached(self, name: str, detached: bool, answer: AdminResponder) -> None:
        """Detach an endpoint from the rotation, or attach it again."""
        self.operations.set_detached(name, detached, answer)

    def check_config(self, text: bytes, answer: AdminResponder) -> None:
        """Validate a configuration without applying it, and answer with the report."""
        self.operations.check_config(text, answer)

    def active_config_report(self) -> dict[str, str]:
        """Return the digest, source and time of the active configuration."""
        return self.reconfiguration.active_config.to_json()

    # Called by the handover, in the source process

    def pause_for_handover(
        self, then: Callable[[HandoverMessage | None], None]
    ) -> None:
        """Pause for a target process, and call `then` with the snapshot or None."""
        self.pause.pause_for_handover(then)

    def handover_snapshot(self) -> HandoverMessage | None:
        """Return what the target needs in addition to the journal, as JSON data."""
        return self.pause.handover_snapshot()

    def resume_after_handover(self) -> None:
        """End the pause, because the target did not take over."""
        self.pause.resume_after_handover()

    def transfer_ownership(self) -> None:
        """Release the journal to the target."""
        self.ownership.transfer_ownership()

    def target_lost(self) -> None:
        """Handle the loss of the target after the transfer."""
        self.ownership.target_lost()

    def cancel_call(self, message: str, attempt: int) -> None:
        """Cancel a call that is in flight in this process, at the target's request."""
        self.pool.cancel(message, attempt)

    def reload_inbound_settings(self) -> None:
        """Apply reloaded settings to the client connections left in this process."""
        self.ownership.reload_inbound_settings()

    # Called by the handover, in the target process

    def remote_attempt_finished(self, event: AttemptFinished) -> None:
        """Handle the outcome of a call that the source had in flight."""
        self.remote_call_tracker.attempt_finished(event)

    def source_lost(self) -> None:
        """Fail the calls that the source had in flight, and use its descriptors here."""
        self.remote_call_tracker.fail_all()
        self.allocate_sockets(self.config.max_sockets)

    # Delegating properties and methods. They expose state of the components to the
    # program, the fleet member, tests and measurements; the components themselves refer
    # to each other directly.

    @property
    def config(self) -> Config:
        """The active configuration."""
        return self.state.config

    @config.setter
    def config(self, config: Config) -> None:
        self.state.config = config

    @property
    def fleet(self) -> FleetMember | None:
        """This forwarder's fleet member; None if no fleet is configured."""
        return self.state.fleet

    @property
    def serving(self) -> bool:
        """See `EngineState.serving`."""
        return self.state.serving

    @serving.setter
    def serving(self, value: bool) -> None:
        self.state.serving = value

    @property
    def frozen(self) -> bool:
        """See `EngineState.frozen`."""
        return self.state.frozen

    @frozen.setter
    def frozen(self, value: bool) -> None:
        self.state.frozen = value

    @property
    def round_scheduled(self) -> bool:
        """Whether the next round is scheduled (`EventQueue`)."""
        return self.events.round_scheduled

    @round_scheduled.setter
    def round_scheduled(self, value: bool) -> None:
        self.events.round_scheduled = value

    @property
    def pending_events(self) -> list[Event]:
        """The events queued for the next round (`EventQueue`)."""
        return self.events.pending_events

    @property
    def recently_finished(self) -> OrderedDict[str, None]:
        """Ids of recently finished messages, oldest first (`OutcomeRecorder`)."""
        return self.outcomes.recently_finished

    @property
    def remote_calls(self) -> Mapping[tuple[str, int], RemoteCall]:
        """Calls in flight in the handover source, by message id and attempt."""
        return self.remote_call_tracker.calls

    @property
    def endpoints(self) -> dict[str, ListedEndpoint]:
        """The listed endpoints by name (`EndpointDirectory`)."""
        return self.directory.endpoints

    @property
    def endpoint_ids(self) -> dict[str, int]:
        """Endpoint ids by name, including removed endpoints (`EndpointDirectory`)."""
        return self.directory.ids

    @endpoint_ids.setter
    def endpoint_ids(self, value: dict[str, int]) -> None:
        self.directory.ids = value

    @property
    def endpoint_names(self) -> dict[int, str]:
        """Endpoint names by id (`EndpointDirectory`)."""
        return self.directory.names

    @property
    def last_endpoint_id(self) -> int:
        """The highest endpoint id assigned so far (`EndpointDirectory`)."""
        return self.directory.last_id

    @last_endpoint_id.setter
    def last_endpoint_id(self, value: int) -> None:
        self.directory.last_id = value

    @property
    def known_destinations(self) -> set[int]:
        """The destinations for which messages are accepted (`EndpointDirectory`)."""
        return self.directory.known_destinations

    @property
    def batch_sizes(self) -> dict[str, int]:
        """Maximum messages per call, by kind of destination (`EndpointDirectory`)."""
        return self.directory.batch_sizes

    def endpoint_id(self, name: str) -> int:
        """Return the id of an endpoint that is possibly not listed."""
        return self.directory.endpoint_id(name)

    def to_entries(self, endpoints: EndpointList) -> tuple[EndpointEntry, ...]:
        """Convert an endpoint list for the dispatcher."""
        return self.directory.to_entries(endpoints)

    def apply_endpoint_list(self, endpoints: EndpointList) -> None:
        """Apply an endpoint list to the directory, without running a round."""
        self.directory.apply_endpoint_list(endpoints)

    def restore_state(self) -> int:
        """Queue events that restore the journal's state; return the list's version."""
        return self.restoration.restore_state()

    def add_to_call(
        self,
        action: SendMessage,
        now: int,
        open_calls: dict[tuple[int, bool], OutboundCall],
        steps: list[CallStep],
    ) -> None:
        """Add an attempt to a call."""
        self.call_dispatch.add_to_call(action, now, open_calls, steps)

    def complete_round(
        self,
        committed: bool,
        submissions: dict[str, Submission],
        steps: list[CallStep],
    ) -> None:
        """Answer a round's clients and start its calls, after the commit."""
        self.round_completion.complete_round(committed, submissions, steps)

    def on_call_sent(self, call: OutboundCall) -> None:
        """Count a call against the fleet quota and trace it, after its first byte."""
        self.call_dispatch.on_call_sent(call)

    def count_unattempted(
        self, decision: RejectMessage | FailMessage, now: int
    ) -> None:
        """Count an accepted message that ended without an attempt, by reason."""
        self.outcomes.count_unattempted(decision, now)

    def remember_finished(self, message_id: str, outcome: str) -> None:
        """Add a message to the recently finished ones."""
        self.outcomes.remember_finished(message_id, outcome)
