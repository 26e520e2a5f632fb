"""The engine: one forwarder's parts, and what its neighbours call.

The parts stand in modules of their own. Each one's constructor names the collaborators
that it calls and changes; `EngineState` names the owner of each field that several
parts read.
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
from rainfall.forwarder.engine.operations import Operations
from rainfall.forwarder.engine.outcomes import OutcomeRecorder
from rainfall.forwarder.engine.ownership import OwnershipTransfer
from rainfall.forwarder.engine.reconfiguration import Reconfiguration, to_active_config
from rainfall.forwarder.engine.remote_calls import RemoteCall, RemoteCallTracker
from rainfall.forwarder.engine.restoration import Restoration
from rainfall.forwarder.engine.round_completion import RoundCompletion
from rainfall.forwarder.engine.rounds import Rounds
from rainfall.forwarder.engine.shutdown import Shutdown
from rainfall.forwarder.engine.sockets import allocate_sockets
from rainfall.forwarder.engine.startup import Startup
from rainfall.forwarder.engine.watchdog import Watchdog
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
    """The thread that syncs the journal, which only the level `power` has."""
    from rainfall.journal.sync_thread import SyncThread

    return SyncThread()


class Engine:
    """Builds the parts in the order that they need, and passes calls on to them.

    With a handover target it takes over from a process that still runs: nothing is
    written until that has let go of the journal. The clock, the endpoints' numbers and
    the dispatcher's knowledge go on from there.
    """

    def __init__(
        self,
        config: Config,
        journal_lock: JournalLock | None = None,
        handover_target: HandoverTarget | None = None,
    ) -> None:
        # The order matters: the journal sets the clock that all others read, the fleet's
        # quotas are known before messages are restored, and the restored list has the
        # version from which the watch goes on.
        self.journal_lock, self.handover_target = journal_lock, handover_target
        self.state = EngineState(config)
        self.clock = Clock()
        settings = replace(config.settings, notifications_acknowledged=True)
        self._open_store(config)
        self.dispatcher = Dispatcher(settings, config.seed, self.clock())
        self._create_connections(config, settings)
        self.metrics = Metrics()
        self.metrics.add_classes(c.name for c in settings.classes)
        self.handover_source = HandoverSource(self)
        self._create_event_parts(settings)
        active_config = to_active_config(config, durability_level(config), "start")
        started_s = time.monotonic()
        self.pool.record_attempts = self.call_dispatch.record_attempts
        self.pool.on_call_sent = self.call_dispatch.on_call_sent
        self._create_fleet_member(config)
        version = self.restoration.restore_state()
        self._create_watch(config, version)
        self._create_rounds()
        self._create_handover_parts()
        self._create_operations(active_config)
        self._create_startup(started_s)

    # Construction

    def _open_store(self, config: Config) -> None:
        """Read the journal; its clock goes on, so that its times keep their meaning."""
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
        """The clients' and the endpoints' connections, and the notifier's."""
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

    def _create_event_parts(self, settings: Settings) -> None:
        """The parts through which events reach the next round."""
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
        """The parts that messages come from: the journal and clients."""
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
        )

    def _create_fleet_member(self, config: Config) -> None:
        """Join the fleet that is configured, if any."""
        if config.fleet is None:
            return
        # Without a fleet nothing of its code is imported.
        from rainfall.forwarder.fleet.member import FleetMember

        self.state.fleet = FleetMember(config.fleet, self)
        self.pool.acquire_permit = self.state.fleet.acquire_permit

    def _create_watch(self, config: Config, version: int) -> None:
        """Watch the endpoint list from the version that was restored."""
        # Another discovery service may number its versions anew, so its full list is
        # asked for.
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
        """The parts that decide, and carry the decisions out."""
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
            events=self.events,
            outcomes=self.outcomes,
            intake=self.intake,
            actions=actions,
            completion=self.round_completion,
        )

    def _create_handover_parts(self) -> None:
        """The parts that end this process's work, or leave it to another one."""
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
            # Looked up at each call: a test may put another dispatcher in place.
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
        """The parts that operators use."""
        self.operations = Operations(
            state=self.state,
            clock=self.clock,
            store=self.store,
            dispatcher=self.dispatcher,
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
        """The parts that run the engine from its start to its end."""
        self.watchdog = Watchdog(
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
            watchdog=self.watchdog,
            run_round=self.run_round,
        )

    # For the program

    async def run(self) -> bool:
        """Serve until stopped; returns whether to start again from the journal."""
        return await self.startup.run()

    def stop(self) -> None:
        """Begin the graceful shutdown, as on SIGTERM."""
        self.shutdown.stop()

    def reload(self) -> None:
        """Read the configuration again, as on SIGHUP."""
        self.reconfiguration.reload()

    def respond_for_previous(self, previous: Engine) -> None:
        """Answer the clients that an engine before this one in the process still has."""
        self.startup.respond_for_previous(previous.handover_source)

    def respond_from_journal(self) -> None:
        """Answer the clients whose messages another process had, as this one ends."""
        self.ownership.respond_from_journal()

    # For clients, endpoints and discovery

    def submit(self, submitted: SubmittedMessage, writer: ResponseWriter) -> None:
        """Take a message that a client submits."""
        self.intake.submit(submitted, writer)

    def post(self, event: Event) -> None:
        """Have the next round decide on an event."""
        self.events.post(event)

    def run_round(self) -> None:
        """Decide now on all events that have come."""
        self.rounds.run_round()

    def on_endpoint_list(self, update: EndpointList | None) -> None:
        """Apply an update of the endpoint list."""
        self.endpoint_updates.on_endpoint_list(update)

    def pending_notifications(self) -> dict[str, PendingNotification]:
        """The notifications that may be delivered now."""
        return self.operations.pending_notifications()

    def acknowledge_notifications(self, ids: list[str]) -> None:
        """Take note that notifications were delivered."""
        self.operations.acknowledge_notifications(ids)

    def allocate_sockets(self, sockets: int) -> None:
        """Share so many descriptors between clients and endpoints."""
        allocate_sockets(sockets, self.pool, self.server)

    # For operators

    def is_ready(self) -> bool:
        """Whether this process serves."""
        return self.state.is_ready()

    def metrics_report(self) -> dict[str, Any]:
        """All metrics."""
        return self.operations.metrics_report()

    def set_detached(self, name: str, detached: bool, answer: AdminResponder) -> None:
        """Take an endpoint out of rotation or put it back."""
        self.operations.set_detached(name, detached, answer)

    def check_config(self, text: bytes, answer: AdminResponder) -> None:
        """Answer what a reload of this configuration would find."""
        self.operations.check_config(text, answer)

    def active_config_report(self) -> dict[str, str]:
        """What operators can read of the configuration in force."""
        return self.reconfiguration.active_config.to_json()

    # For the handover, as its source

    def pause_for_handover(
        self, then: Callable[[HandoverMessage | None], None]
    ) -> None:
        """Stop for another process that wants to take over."""
        self.pause.pause_for_handover(then)

    def handover_snapshot(self) -> HandoverMessage | None:
        """What that process needs beside the journal."""
        return self.pause.handover_snapshot()

    def resume_after_handover(self) -> None:
        """Go on: that process did not take over."""
        self.pause.resume_after_handover()

    def transfer_ownership(self) -> None:
        """Leave the journal to that process."""
        self.ownership.transfer_ownership()

    def target_lost(self) -> None:
        """That process ended after it had taken over."""
        self.ownership.target_lost()

    def cancel_call(self, message: str, attempt: int) -> None:
        """Cancel a call that is in flight here, for that process."""
        self.pool.cancel(message, attempt)

    def reload_inbound_settings(self) -> None:
        """Apply a reloaded configuration to the connections that are still here."""
        self.ownership.reload_inbound_settings()

    # For the handover, as its target

    def remote_attempt_finished(self, event: AttemptFinished) -> None:
        """Take the outcome of a call of the former process."""
        self.remote_call_tracker.attempt_finished(event)

    def source_lost(self) -> None:
        """The former process ended: its calls were cut, its descriptors are free."""
        self.remote_call_tracker.fail_all()
        self.allocate_sockets(self.config.max_sockets)

    # Views of the parts, for the fleet's member, for tests and for measurements

    @property
    def config(self) -> Config:
        """The configuration in force."""
        return self.state.config

    @config.setter
    def config(self, config: Config) -> None:
        self.state.config = config

    @property
    def fleet(self) -> FleetMember | None:
        """The member of a fleet, where one is configured."""
        return self.state.fleet

    @property
    def serving(self) -> bool:
        """Whether this process owns the journal and serves."""
        return self.state.serving

    @serving.setter
    def serving(self, value: bool) -> None:
        self.state.serving = value

    @property
    def frozen(self) -> bool:
        """Whether no round decides any more."""
        return self.state.frozen

    @frozen.setter
    def frozen(self, value: bool) -> None:
        self.state.frozen = value

    @property
    def round_scheduled(self) -> bool:
        """Whether the next round is scheduled."""
        return self.events.round_scheduled

    @round_scheduled.setter
    def round_scheduled(self, value: bool) -> None:
        self.events.round_scheduled = value

    @property
    def pending_events(self) -> list[Event]:
        """What the next round decides on."""
        return self.events.pending_events

    @property
    def recently_finished(self) -> OrderedDict[str, None]:
        """Ids of messages that ended a short while ago."""
        return self.outcomes.recently_finished

    @property
    def remote_calls(self) -> Mapping[tuple[str, int], RemoteCall]:
        """Calls that the former process has in flight, by message and attempt."""
        return self.remote_call_tracker.calls

    @property
    def endpoints(self) -> dict[str, ListedEndpoint]:
        """The endpoints that are listed, by name."""
        return self.directory.endpoints

    @property
    def endpoint_ids(self) -> dict[str, int]:
        """The numbers of endpoints, by name."""
        return self.directory.ids

    @endpoint_ids.setter
    def endpoint_ids(self, value: dict[str, int]) -> None:
        self.directory.ids = value

    @property
    def endpoint_names(self) -> dict[int, str]:
        """The names of endpoints, by number."""
        return self.directory.names

    @property
    def last_endpoint_id(self) -> int:
        """The highest number that an endpoint was given."""
        return self.directory.last_id

    @last_endpoint_id.setter
    def last_endpoint_id(self, value: int) -> None:
        self.directory.last_id = value

    @property
    def known_destinations(self) -> set[int]:
        """The destinations that messages are accepted for."""
        return self.directory.known_destinations

    @property
    def batch_sizes(self) -> dict[str, int]:
        """How many messages a call may have, by kind of destination."""
        return self.directory.batch_sizes

    def endpoint_id(self, name: str) -> int:
        """The number of an endpoint that may be in no list."""
        return self.directory.endpoint_id(name)

    def to_entries(self, endpoints: EndpointList) -> tuple[EndpointEntry, ...]:
        """A list as the decisions read it."""
        return self.directory.to_entries(endpoints)

    def apply_endpoint_list(self, endpoints: EndpointList) -> None:
        """Take a list into the directory, without deciding on it."""
        self.directory.apply_endpoint_list(endpoints)

    def restore_state(self) -> int:
        """Queue events for all that the journal holds; returns the list's version."""
        return self.restoration.restore_state()

    def add_to_call(
        self,
        action: SendMessage,
        now: int,
        open_calls: dict[tuple[int, bool], OutboundCall],
        calls: list[CallStep],
    ) -> None:
        """Put an attempt into a call."""
        self.call_dispatch.add_to_call(action, now, open_calls, calls)

    def complete_round(
        self,
        committed: bool,
        submissions: dict[str, Submission],
        steps: list[CallStep],
    ) -> None:
        """Let a round's answers and calls leave."""
        self.round_completion.complete_round(committed, submissions, steps)

    def on_call_sent(self, call: OutboundCall) -> None:
        """Report that a call's first byte was handed to its socket."""
        self.call_dispatch.on_call_sent(call)

    def count_unattempted(
        self, decision: RejectMessage | FailMessage, now: int
    ) -> None:
        """Count a message that was accepted and given up unattempted."""
        self.outcomes.count_unattempted(decision, now)

    def remember_finished(self, message_id: str, outcome: str) -> None:
        """Remember an ended message for a while."""
        self.outcomes.remember_finished(message_id, outcome)
