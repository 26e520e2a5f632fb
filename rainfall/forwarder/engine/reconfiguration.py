"""Reloading of the configuration on SIGHUP, without a restart."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import replace

from rainfall.dispatch import SettingsChanged
from rainfall.dispatch.endpoints import ANY_ENDPOINT
from rainfall.forwarder.admin.admin_server import Metrics
from rainfall.forwarder.config.errors import ConfigError
from rainfall.forwarder.config.loading import Config, load_replacement
from rainfall.forwarder.config.validation import (
    KEY_BY_FIELD,
    RESTART_FIELDS,
    ActiveConfig,
    config_digest,
    merge_fleet,
)
from rainfall.forwarder.discovery.endpoint_watch import EndpointWatch, Notifier
from rainfall.forwarder.engine.endpoint_directory import (
    EndpointDirectory,
    kind_name,
)
from rainfall.forwarder.engine.engine_state import EngineState, durability_level, log
from rainfall.forwarder.engine.event_queue import EventQueue
from rainfall.forwarder.engine.handover_pause import HandoverPause
from rainfall.forwarder.handover.source import HandoverSource
from rainfall.forwarder.inbound.server import InboundServer
from rainfall.forwarder.message_store import DeliveryRules, MessageStore
from rainfall.forwarder.outbound.connection_pool import ConnectionPool


def to_active_config(config: Config, durability: str, source: str) -> ActiveConfig:
    """Return what operators can read of a configuration that takes effect now.

    Args:
        config: The configuration.
        durability: The active durability level, which a reload doesn't change.
        source: The trigger: `start` or `SIGHUP`.

    Returns:
        The configuration's digest, its source and the current time.
    """
    digest = config_digest({**config.raw, "durability": durability})
    return ActiveConfig(digest, source, time.time())


class Reconfiguration:
    """Reloads the configuration; an invalid one changes nothing."""

    def __init__(
        self,
        *,
        state: EngineState,
        store: MessageStore,
        server: InboundServer,
        pool: ConnectionPool,
        watch: EndpointWatch,
        notifier: Notifier,
        metrics: Metrics,
        active_config: ActiveConfig,
        handover_source: HandoverSource,
        directory: EndpointDirectory,
        events: EventQueue,
        pause: HandoverPause,
        allocate_sockets: Callable[[int], None],
        run_round: Callable[[], None],
    ) -> None:
        self.state, self.store = state, store
        self.server, self.pool = server, pool
        self.watch, self.notifier, self.metrics = watch, notifier, metrics
        self.active_config, self.handover_source = active_config, handover_source
        self.directory, self.events, self.pause = directory, events, pause
        self.allocate_sockets, self.run_round = allocate_sockets, run_round

    def reload(self) -> None:
        """Reload the configuration, and apply what can change without a restart.

        After a transfer the reload is forwarded to the handover target; during a
        handover pause it is deferred.
        """
        old = self.state.config
        if self.handover_source.transferred:
            log.info("reload forwarded to the handover target")
            self.handover_source.reload()
            return
        if self.state.paused_for_handover:
            self.pause.defer(self.reload)
            return
        try:
            new = load_replacement(old)
        except ConfigError as error:
            self.metrics.configs_rejected += 1
            log.error("the old configuration is kept: %s", error)
            return
        self.metrics.configs_accepted += 1
        if self.events.last_round_us:
            # Events that arrived before the reload are handled with the old settings.
            self.run_round()
        restart_keys = self.replace_config(old, new)
        # In a closed engine the new configuration is only kept for an engine that
        # restarts from the journal.
        if not self.state.closed:
            self.apply_config(old, new, restart_keys)

    def replace_config(self, old: Config, new: Config) -> list[str]:
        """Make a configuration the active one, except for what needs a restart.

        Returns:
            The changed keys of the file that take effect only at the next start.
        """
        changed_fields = [
            field
            for field in RESTART_FIELDS
            if getattr(new, field) != getattr(old, field)
        ]
        fleet, fleet_keys = merge_fleet(old.fleet, new.fleet)
        self.state.config = replace(
            new,
            **{field: getattr(old, field) for field in changed_fields},
            known_endpoints=old.known_endpoints,
            seed=old.seed,
            fleet=fleet,
        )
        return [KEY_BY_FIELD.get(field, field) for field in changed_fields] + fleet_keys

    def apply_config(self, old: Config, new: Config, restart_keys: list[str]) -> None:
        """Apply a new configuration to the components, and log the reload.

        Args:
            old: The configuration until now.
            new: The new configuration, as loaded.
            restart_keys: Changed keys that take effect only at the next start.
        """
        self.active_config = to_active_config(new, durability_level(old), "SIGHUP")
        self.allocate_sockets(new.max_sockets)
        self.store.max_bytes = self.store.usable_bytes(new.disk_bytes)
        if (new.settings, new.report_fields) != (old.settings, old.report_fields):
            self.apply_settings(new)
        member, fleet = self.state.fleet, self.state.config.fleet
        if member is not None and fleet is not None and fleet != old.fleet:
            member.reload(fleet)
        if new.discovery != old.discovery:
            self.watch.change_address(new.discovery)
            self.notifier.change_address(new.discovery)
        log.info(
            "configuration reloaded: discovery at %s%s",
            new.discovery,
            f"; takes effect at the next start: {', '.join(restart_keys)}"
            if restart_keys
            else "",
        )

    def apply_settings(self, new: Config) -> None:
        """Apply new settings between two rounds.

        Accepted messages keep the class and the maximum number of attempts under which
        they were accepted.
        """
        settings = replace(new.settings, notifications_acknowledged=True)
        previous_kinds = self.directory.endpoint_scoped_kinds
        self.directory.apply_endpoint_kinds(settings)
        if self.directory.endpoint_scoped_kinds != previous_kinds:
            self.move_retry_afters(previous_kinds)
        self.server.settings = settings
        self.watch.pushed = not settings.subscribe_endpoint_list
        self.pool.configure(
            new.report_fields, settings.idle_connection_us, settings.connect_timeout_us
        )
        self.metrics.add_classes(
            message_class.name for message_class in settings.classes
        )
        self.store.use_rules(DeliveryRules(settings.max_attempts, settings.classes))
        self.events.enqueue(SettingsChanged(settings))
        if self.events.last_round_us:
            # Not before the first round, which waits for the endpoint list.
            self.run_round()

    def move_retry_afters(self, previous_kinds: set[str]) -> None:
        """Copy active Retry-Afters to the new throttle scopes after a settings change.

        A kind whose throttle scope was the destination may now have one per endpoint,
        or the reverse. A Retry-After applies to every new scope to which it may refer.

        Args:
            previous_kinds: The kinds that were endpoint-scoped until now.
        """
        scopes = {}
        for name, endpoint in self.directory.endpoints.items():
            kind, endpoint_id = kind_name(endpoint), self.directory.ids[name]
            is_scoped = kind in self.directory.endpoint_scoped_kinds
            if is_scoped is not (kind in previous_kinds):
                scopes[endpoint_id] = self.directory.throttle_scope(
                    endpoint.destination, endpoint_id, endpoint
                )
        for (destination, endpoint_id), until_us in list(
            self.pool.retry_after_until.items()
        ):
            for rescoped_id, scope in scopes.items():
                is_affected = endpoint_id in (ANY_ENDPOINT, rescoped_id)
                if scope.destination == destination and is_affected:
                    self.pool.set_retry_after(scope, until_us)
        for call in self.pool.calls.values():
            call.throttle_scope = scopes.get(call.endpoint, call.throttle_scope)
