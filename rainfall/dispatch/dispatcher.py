"""The dispatcher's rounds: each applies a batch of events and returns actions.

In the normal case, messages are sent in groups of similar deadlines, within a group in
the order of their expected call durations. A message that cannot be delivered in time
is rejected without being sent. The calls in flight to each destination are limited by a
concurrency window that grows with success. docs/decisions.md lists the rules.
"""

from __future__ import annotations

from collections.abc import Iterable, Set
from random import Random
from typing import Any

from rainfall.dispatch.actions import Action, SetTimer, SubscribeEndpointList
from rainfall.dispatch.admission import receive, restore, shed_load
from rainfall.dispatch.attempt_outcomes import finish_attempt
from rainfall.dispatch.capacity import mark_due_destinations
from rainfall.dispatch.completion import finish
from rainfall.dispatch.endpoint_list import (
    ENDPOINT_LIST_POLL,
    change_endpoint_list,
    disable_endpoint,
    enable_endpoint,
)
from rainfall.dispatch.endpoints import Endpoint
from rainfall.dispatch.events import (
    AttemptFinished,
    EndpointDisabled,
    EndpointEnabled,
    EndpointListChanged,
    Event,
    MessageReceived,
    MessageRestored,
    MessageWithdrawn,
    NotificationAcknowledged,
    NotificationPending,
    OutageRestored,
    QuotaChanged,
    SettingsChanged,
    SnapshotRestored,
)
from rainfall.dispatch.expiry import drop_undeliverable
from rainfall.dispatch.idle_connections import close_stale_connections
from rainfall.dispatch.ordering import (
    acknowledge_notification,
    add_pending_notification,
    end_key_backoffs,
    prune_idle_keys,
)
from rainfall.dispatch.outlier_detection import is_avoided, restore_outage
from rainfall.dispatch.quota import change_quota
from rainfall.dispatch.release import release
from rainfall.dispatch.settings import Settings
from rainfall.dispatch.settings_change import change_settings
from rainfall.dispatch.slow_start import in_slow_start, ramp_interval
from rainfall.dispatch.snapshot import export_snapshot, restore_snapshot
from rainfall.dispatch.stalled_calls import cancel_stalled
from rainfall.dispatch.state import DispatcherState
from rainfall.dispatch.times import SECOND_US
from rainfall.dispatch.waiting import expire_retries

PRUNE_INTERVAL_US = SECOND_US
"""Least time between two removals of idle ordering keys."""
TIMER_TOKEN = "look"
"""Token of all timers that the dispatcher sets."""


class Dispatcher:
    """Makes all sending decisions of one forwarder, without doing any I/O.

    The caller passes in every event and carries out the returned actions in order.

    If a round raises, `state.actions` holds the actions decided up to then, and
    `state.events_applied` the number of events processed, including the one that
    raised.
    """

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        """Start without messages or endpoints.

        Args:
            settings: the initial settings; `SettingsChanged` replaces them.
            seed: seed of the random numbers. With the same seed, the same events
                produce the same actions.
            now: current time of the caller's clock in microseconds. The clock must
                never go back.
        """
        self.state = DispatcherState(now, Random(seed), settings)
        if settings.subscribe_endpoint_list:
            self.state.wakeups.add(now, ENDPOINT_LIST_POLL)

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        """Run one round: apply the events, then decide on actions.

        Args:
            now: current time of the caller's clock in microseconds.
            events: all events since the last round, in the order of their occurrence.

        Returns:
            The actions, to be carried out in the order given.
        """
        state = self.state
        self._begin_round(now)
        for event in events:
            state.events_applied += 1
            self.apply(event)
        if ENDPOINT_LIST_POLL in state.dirty_destinations:
            state.actions.append(SubscribeEndpointList())
        state.latency_cache.clear()
        self._apply_elapsed_time()
        cancel_stalled(state)
        self._prune()
        drop_undeliverable(state)
        shed_load(state)
        release(state)
        close_stale_connections(state)
        self._set_timer()
        return state.actions

    def _begin_round(self, now: int) -> None:
        state = self.state
        if now != state.now:
            state.newly_accepted = []
        state.now = now
        state.actions = []
        state.new_calls = {}
        state.called_destinations = set()
        state.dirty_destinations = state.wakeups.pop_due(now)
        state.finished_calls = []
        state.events_applied = 0

    def apply(self, event: Event) -> None:  # noqa: C901 one flat match over event types
        """Apply one event to the state.

        Events about unknown objects have no effect, nor do `TimerExpired` and
        `HealthCheckFinished`.
        """
        state = self.state
        match event:
            case MessageReceived():
                receive(state, event)
            case AttemptFinished():
                finish_attempt(state, event)
            case MessageRestored():
                restore(state, event)
            case OutageRestored():
                restore_outage(state, event)
            case EndpointListChanged():
                self.change_endpoint_list(event)
            case EndpointDisabled():
                disable_endpoint(state, event.endpoint)
            case QuotaChanged():
                change_quota(state.quotas, state.now, event)
                state.dirty_destinations.add(event.destination)
            case EndpointEnabled():
                enable_endpoint(state, event.endpoint)
            case SettingsChanged():
                change_settings(state, event.settings)
            case SnapshotRestored():
                restore_snapshot(state, event.snapshot)
            case MessageWithdrawn() if event.message_id in state.messages:
                finish(state, state.messages[event.message_id])
            case NotificationPending():
                add_pending_notification(state, event.message_id, event.ordering_key)
            case NotificationAcknowledged():
                acknowledge_notification(state, event.message_id)

    def change_endpoint_list(self, event: EndpointListChanged) -> None:
        """Apply a change of the endpoint list."""
        change_endpoint_list(self.state, event)

    def _apply_elapsed_time(self) -> None:
        """Apply the changes that are due to the passing of time."""
        end_key_backoffs(self.state)
        expire_retries(self.state)
        mark_due_destinations(self.state)

    def _prune(self) -> None:
        state = self.state
        if state.now - state.key_sequences_pruned_at >= PRUNE_INTERVAL_US:
            state.key_sequences_pruned_at = state.now
            prune_idle_keys(state)

    def _set_timer(self) -> None:
        """Set a timer for the next wakeup, unless a pending timer expires by then."""
        state = self.state
        if not state.wakeups.entries:
            return
        next_at = state.wakeups.entries[0][0]
        if not state.now < state.timer_at <= next_at:
            state.timer_at = next_at
            delay_us = max(1, next_at - state.now)
            state.actions.append(SetTimer(delay_us, TIMER_TOKEN))

    # Queries by the surrounding process; they do not change the state.

    def in_slow_start(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint is in an outage, or may still be warming up after one."""
        return in_slow_start(self.state, endpoint)

    def is_avoided(self, endpoint_id: int) -> bool:
        """Whether an endpoint is out of service or in an outage.

        In an outage it gets messages only while no healthy endpoint can take them.
        """
        return is_avoided(self.state, endpoint_id)

    def ramp_interval(self, endpoint: Endpoint) -> float:
        """Mean time in microseconds between our calls to an endpoint in slow start."""
        return ramp_interval(self.state, endpoint)

    def snapshot(self, in_flight: Set[tuple[str, int]]) -> dict[str, Any]:
        """Return the state that a successor process needs, as JSON data.

        The messages themselves are not included: the successor reads them from the
        journal.

        Args:
            in_flight: (message id, attempt number) of the attempts still in flight.
        """
        return export_snapshot(self.state, in_flight)
