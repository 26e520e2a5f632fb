"""One round of decisions, from events to actions.

The ordinary path: messages leave by groups of near deadlines, shortest expected call
first in each; what cannot finish in time is rejected unsent; a concurrency window that
grows with success bounds each destination. The rules are listed in docs/decisions.md.
"""

from __future__ import annotations

from collections.abc import Iterable, Set
from random import Random
from typing import Any

from rainfall.dispatch.actions import Action, SetTimer, SubscribeEndpointList
from rainfall.dispatch.admission import receive, restore, shed_load
from rainfall.dispatch.attempt_outcomes import finish_attempt
from rainfall.dispatch.capacity import open_due_destinations
from rainfall.dispatch.completion import finish
from rainfall.dispatch.endpoint_list import (
    ENDPOINT_LIST,
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
from rainfall.dispatch.expiry import drop_unsent
from rainfall.dispatch.idle_connections import close_untrusted
from rainfall.dispatch.ordering import (
    acknowledge_notification,
    add_pending_notification,
    end_key_backoffs,
    forget_idle_keys,
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
"""How often idle ordering keys are forgotten."""
TIMER_TOKEN = "look"


class Dispatcher:
    """Decides for one forwarder.

    Feed it every event; carry out, in order, the actions it returns. It does no input
    or output.

    Where a decision raises, `state.actions` holds what was decided until then, and
    `state.events_applied` how many events of the round were read, the one at fault
    included.
    """

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        """Start with nothing known.

        Args:
            settings: all that the operators decide.
            seed: of the random numbers; the same events give the same actions.
            now: microseconds of the caller's clock, which never goes back.
        """
        self.state = DispatcherState(now, Random(seed), settings)
        if settings.subscribe_endpoint_list:
            self.state.wakeups.add(now, ENDPOINT_LIST)

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        """Apply the events of one round, then decide once.

        Args:
            now: microseconds of the caller's clock.
            events: all since the last round, in the order in which they happened.

        Returns:
            The actions, to be carried out in their order.
        """
        state = self.state
        self._begin_round(now)
        for event in events:
            state.events_applied += 1
            self.apply(event)
        if ENDPOINT_LIST in state.dirty_destinations:
            state.actions.append(SubscribeEndpointList())
        state.latency_cache.clear()
        self._follow_time()
        cancel_stalled(state)
        self._forget()
        drop_unsent(state)
        shed_load(state)
        release(state)
        close_untrusted(state)
        self._set_timer()
        return state.actions

    def _begin_round(self, now: int) -> None:
        state = self.state
        if now != state.now:
            state.received_now = []
        state.now = now
        state.actions = []
        state.new_calls = {}
        state.called_destinations = set()
        state.dirty_destinations = state.wakeups.pop_due(now)
        state.finished_calls = []
        state.events_applied = 0

    def apply(self, event: Event) -> None:  # noqa: C901 a flat table of events
        """Apply one event.

        One of something unknown, or that needs nothing, changes nothing.
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
        """Follow the endpoint list."""
        change_endpoint_list(self.state, event)

    def _follow_time(self) -> None:
        """What time alone changes."""
        end_key_backoffs(self.state)
        expire_retries(self.state)
        open_due_destinations(self.state)

    def _forget(self) -> None:
        state = self.state
        if state.now - state.key_sequences_pruned_at >= PRUNE_INTERVAL_US:
            state.key_sequences_pruned_at = state.now
            forget_idle_keys(state)

    def _set_timer(self) -> None:
        """Ask for a timer at the next wakeup, unless one expires by then anyway."""
        state = self.state
        if not state.wakeups.entries:
            return
        next_at = state.wakeups.entries[0][0]
        if not state.now < state.timer_at <= next_at:
            state.timer_at = next_at
            delay_us = max(1, next_at - state.now)
            state.actions.append(SetTimer(delay_us, TIMER_TOKEN))

    # What the process around it asks; nothing is decided by these.

    def in_slow_start(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint is in an outage, or back from one and not surely warm."""
        return in_slow_start(self.state, endpoint)

    def is_avoided(self, endpoint_id: int) -> bool:
        """Whether an endpoint gets nothing now, or nothing while others are sound."""
        return is_avoided(self.state, endpoint_id)

    def ramp_interval(self, endpoint: Endpoint) -> float:
        """Microseconds between our calls to an endpoint in slow start."""
        return ramp_interval(self.state, endpoint)

    def snapshot(self, in_flight: Set[tuple[str, int]]) -> dict[str, Any]:
        """What a successor process must know beside the messages, as JSON data.

        Args:
            in_flight: the attempts that still are, by message id and number.
        """
        return export_snapshot(self.state, in_flight)
