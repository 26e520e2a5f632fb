"""One round of decisions, top to bottom. Types, events and actions are those of
rainfall/dispatch (rainfall/interface.py when this copy was made).

Usually, queued messages are sent in groups of similar deadlines, shortest expected call first
in a group; a message that cannot finish in time is rejected unsent; a window that grows with
successes limits the calls to each destination.
"""

from __future__ import annotations

from collections.abc import Iterable, Set
from random import Random
from typing import Any

from rainfall.dispatch import (
    Action,
    AttemptFinished,
    CloseIdleConnections,
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
    SetTimer,
    Settings,
    SettingsChanged,
    SnapshotRestored,
    SubscribeEndpointList,
)
from rainfall.dispatch.quota import change_quota
from tests.reference import giving, health, learning, memory, order, routes
from tests.reference.books import Books
from tests.reference.state import Target


class Dispatcher(Books):
    """Makes the decisions of one forwarder. Pass it every event, and carry out the returned
    actions in order.

    If a decision raises, `actions` holds the actions decided before, and `absorbed` the number
    of events read in the round, including the one that raised.
    """

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        super().__init__(now, Random(seed), settings)
        if settings.subscribe_endpoint_list:
            self.agenda.add(now, routes.THE_LIST)

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        """Applies the events of one round, then decides once and returns the actions."""
        self.now, self.actions, self.round_calls = now, [], {}
        self.looks = self.agenda.due(now)
        self.came_back = []
        self.absorbed = 0
        for event in events:
            self.absorbed += 1
            self.absorb(event)
        if routes.THE_LIST in self.looks:
            self.actions.append(SubscribeEndpointList())
        self.usual.clear()
        giving.recall(self)
        giving.drop(self)
        order.release(self)
        for call in self.came_back:
            if call.gap > self.idle_us > 0 and not call.target.out:
                self.actions.append(CloseIdleConnections(call.target.id))
        if self.agenda.entries and not now < self.armed <= self.agenda.entries[0][0]:
            self.armed = self.agenda.entries[0][0]
            self.actions.append(SetTimer(max(1, self.armed - now), "look"))
        return self.actions

    def absorb(self, event: Event) -> None:
        """Applies one event. An unknown event, or one that changes no state, is ignored."""
        match event:
            case MessageReceived():
                giving.arrived(self, event)
            case AttemptFinished():
                learning.ended(self, event)
            case MessageRestored():
                giving.recalled(self, event)
            case OutageRestored():
                health.recalled_outage(self, event)
            case EndpointListChanged():
                self.listed(event)
            case EndpointDisabled():
                routes.detached(self, event.endpoint)
            case QuotaChanged():
                change_quota(self.shares, self.now, event)
                self.looks.add(event.destination)
            case EndpointEnabled():
                routes.attached(self, event.endpoint)
            case SettingsChanged():
                routes.retuned(self, event.settings)
            case SnapshotRestored():
                memory.remember(self, event.snapshot)
            case MessageWithdrawn() if event.message_id in self.messages:
                giving.over(self, self.messages[event.message_id])
            case NotificationPending():
                giving.owe(self, event.message_id, event.ordering_key)
            case NotificationAcknowledged():
                giving.told(self, event.message_id)

    def listed(self, event: EndpointListChanged) -> None:
        """Applies a change of the endpoint list."""
        routes.listed(self, event)

    # Queries of the surrounding process; they decide nothing.

    def cold(self, t: Target) -> bool:
        return health.cold(self, t)

    def avoids(self, target: int) -> bool:
        return health.avoids(self, target)

    def turn(self, t: Target) -> float:
        return health.turn(self, t)

    def memory(self, out: Set[tuple[str, int]]) -> dict[str, Any]:
        return memory.memory(self, out)
