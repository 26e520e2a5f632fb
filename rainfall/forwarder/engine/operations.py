"""The engine's part for operators: figures, endpoints taken out, another configuration;
and owed ends.
"""

from __future__ import annotations

import json
import time
from dataclasses import replace
from http import HTTPStatus
from typing import Any

from rainfall.dispatch import (
    EndpointDisabled,
    EndpointEnabled,
    NotificationAcknowledged,
    SettingsChanged,
)
from rainfall.forwarder.admin.admin_server import AdminResponder
from rainfall.forwarder.config.errors import ConfigError
from rainfall.forwarder.config.loading import Config, load_replacement
from rainfall.forwarder.config.validation import (
    KEY_BY_FIELD,
    RESTART_FIELDS,
    ActiveConfig,
    config_digest,
    merge_fleet,
    validate_replacement,
)
from rainfall.forwarder.engine.engine_state import EngineState, durability_level, log
from rainfall.forwarder.message_store import DeliveryRules, PendingNotification


class Operations(EngineState):
    def metrics_report(self) -> dict[str, Any]:
        """The figures."""
        metrics = self.metrics
        fleet = {} if self.fleet is None else {"fleet": self.fleet.metrics_report()}
        return {
            "fulfilled": metrics.fulfilled,
            "throttled": metrics.throttled,
            "faulted": metrics.faulted,
            "relayed": self.pool.messages_written,
            "open_requests": len(self.store.messages),
            "registry_entries": len(self.endpoints),
            "out_of_rotation": sum(
                self.dispatcher.is_avoided(self.endpoint_ids[name])
                for name in self.endpoints
            ),
            "cfg_accepted": metrics.configs_accepted,
            "cfg_invalid": metrics.configs_rejected,
            "journal": self.store.metrics(),
            **fleet,
        }

    def set_detached(
        self, endpoint: str, detached: bool, answer: AdminResponder
    ) -> None:
        """Operators take a target out or put it back; the yes comes once it is
        journaled and in force.
        """
        if self.handover_source.transferred:
            self.handover_source.set_detached(endpoint, detached, answer)
            return
        if self.paused_for_handover:
            self.deferred_requests.append(
                lambda: self.set_detached(endpoint, detached, answer)
            )
            return
        if (
            not self.serving or self.closed
        ):  # the journal is not this process's, yet or any more
            answer(HTTPStatus.SERVICE_UNAVAILABLE, "not ready\n")
            return
        if endpoint not in self.endpoint_ids:
            answer(HTTPStatus.NOT_FOUND, "no such endpoint\n")
            return
        if detached is not (endpoint in self.store.detached):
            log.info(
                "target %d (%s) %s by operators",
                self.endpoint_ids[endpoint],
                endpoint,
                "taken out" if detached else "put back",
            )
            self.store.append_detached(endpoint, detached)
            self.update_pool_endpoints()
            self.pending_events.append(
                EndpointDisabled(self.endpoint_ids[endpoint])
                if detached
                else EndpointEnabled(self.endpoint_ids[endpoint])
            )
            self.run_round()
        done = "detached\n" if detached else "attached\n"
        self.store.commit(
            lambda ok: (
                answer(HTTPStatus.OK, done)
                if ok
                else answer(
                    HTTPStatus.INSUFFICIENT_STORAGE,
                    "in force, but it would not outlast a restart\n",
                )
            )
        )

    def check_config(self, text: bytes, answer: AdminResponder) -> None:
        """What an apply of this configuration would find; no effect."""
        verdict = validate_replacement(text, self.config)
        status = HTTPStatus.OK if verdict.valid else HTTPStatus.UNPROCESSABLE_ENTITY
        answer(
            HTTPStatus.BAD_REQUEST if verdict.parse_error else status,
            json.dumps(verdict.to_json()),
        )

    def active_config_report(self) -> dict[str, str]:
        return self.active_config.to_json()

    # Notices

    def pending_notifications(self) -> dict[str, PendingNotification]:
        return self.store.sendable_notifications(self.clock())

    def acknowledge_notifications(self, ids: list[str]) -> None:
        for name in ids:
            notification = self.store.pending_notifications.get(name)
            self.store.append_acknowledgement(name)
            if notification is not None and notification.order_key is not None:
                self.post(NotificationAcknowledged(name))
        self.store.flush()

    # A new configuration

    def reload(self) -> None:
        """SIGHUP: read the configuration again.

        One that cannot hold leaves all as it is.
        """
        old = self.config
        if self.handover_source.transferred:
            log.info("the new process reads the configuration")
            self.handover_source.reload()
            return
        if self.paused_for_handover:
            self.deferred_requests.append(self.reload)
            return
        try:
            new = load_replacement(old)
        except ConfigError as error:
            self.metrics.configs_rejected += 1
            log.error("the old configuration is kept: %s", error)
            return
        self.metrics.configs_accepted += 1
        if self.last_round_us:
            self.run_round()  # what has come till now is decided as it came
        unchanged_fields = [
            f for f in RESTART_FIELDS if getattr(new, f) != getattr(old, f)
        ]
        fleet, fleet_fields = merge_fleet(old.fleet, new.fleet)
        self.config = replace(
            new,
            **{f: getattr(old, f) for f in unchanged_fields},
            known_endpoints=old.known_endpoints,
            seed=old.seed,
            fleet=fleet,
        )
        unchanged_fields = [
            KEY_BY_FIELD.get(f, f) for f in unchanged_fields
        ] + fleet_fields
        if self.closed:  # only an engine that begins again from the journal goes by it
            return
        self.active_config = ActiveConfig(
            config_digest({**new.raw, "durability": durability_level(old)}),
            "SIGHUP",
            time.time(),
        )
        self.allocate_sockets(new.max_sockets)
        self.store.max_bytes = self.store.usable_bytes(new.disk_bytes)
        if (new.settings, new.report_fields) != (old.settings, old.report_fields):
            self.apply_settings(new)
        if self.fleet is not None and fleet is not None and fleet != old.fleet:
            self.fleet.reload(fleet)
        if new.discovery != old.discovery:
            self.watch.change_address(new.discovery)
            self.notifier.change_address(new.discovery)
        log.info(
            "configuration read again: discovery at %s%s",
            new.discovery,
            f"; takes effect at the next start: {', '.join(unchanged_fields)}"
            if unchanged_fields
            else "",
        )

    def apply_settings(self, new: Config) -> None:
        """New settings take hold everywhere between two rounds.

        Open messages keep what they came under.
        """
        settings, previous_kinds = (
            replace(new.settings, notifications_acknowledged=True),
            self.endpoint_scoped_kinds,
        )
        self.apply_endpoint_kinds(settings)
        if self.endpoint_scoped_kinds != previous_kinds:
            self.move_retry_afters(previous_kinds)
        self.server.settings = settings
        self.watch.pushed = not settings.subscribe_endpoint_list
        self.pool.configure(
            new.report_fields, settings.idle_connection_us, settings.connect_timeout_us
        )
        self.metrics.add_classes(c.name for c in settings.classes)
        self.store.use_rules(DeliveryRules(settings.max_attempts, settings.classes))
        self.pending_events.append(SettingsChanged(settings))
        if (
            self.last_round_us
        ):  # the first round of a start waits for the list, whatever comes meanwhile
            self.run_round()

    def move_retry_afters(self, previous_kinds: set[str]) -> None:
        """Routes stand apart now, or no longer: a wait that was told binds whatever it
        may be the wait of.
        """
        throttle_scopes = {}
        for name, host in self.endpoints.items():
            kind, number = str(host.raw.get("class")), self.endpoint_ids[name]
            if (kind in self.endpoint_scoped_kinds) is not (kind in previous_kinds):
                throttle_scopes[number] = (
                    host.destination,
                    number if kind in self.endpoint_scoped_kinds else -1,
                )
        for (destination, route), until in list(self.pool.retry_after_until.items()):
            for number, throttle_scope in throttle_scopes.items():
                if throttle_scope[0] == destination and route in (-1, number):
                    self.pool.set_retry_after(throttle_scope, until)
        for call in self.pool.calls.values():
            call.throttle_scope = throttle_scopes.get(
                call.endpoint, call.throttle_scope
            )
