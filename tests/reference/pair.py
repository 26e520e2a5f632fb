"""Runs the dispatcher and the reference on the same events and asserts equal results in every
round.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Set
from dataclasses import fields
from typing import Any

from rainfall.dispatch import (
    Action,
    AttemptFinished,
    Dispatcher,
    Event,
    FailMessage,
    IdempotencyScope,
    MessageWithdrawn,
    RejectMessage,
    SendMessage,
    Settings,
    SettingsChanged,
)
from tests import reference


def whole(actions: Iterable[Action]) -> list[tuple[Any, ...]]:
    """Returns the actions with all their fields, including those excluded from comparison."""
    return [
        (type(a).__name__, *(getattr(a, f.name) for f in fields(a))) for a in actions
    ]


class Pair:
    """Stands in for a dispatcher in a world and requires equal answers of both. `seen` counts
    the situations that were reached.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        now: int,
        seen: Counter[str] | None = None,
    ) -> None:
        self.new = Dispatcher(settings, seed, now)
        self.plain = reference.Dispatcher(settings, seed, now)
        self.seen = Counter() if seen is None else seen
        self.rounds = 0

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        events = list(events)
        self.count_before(events, now)
        actions, were = self.new.handle(now, events), self.plain.handle(now, events)
        assert whole(actions) == whole(were), (
            f"round {self.rounds} at {now} us, events {events}"
        )
        self.compare()
        self.count(events, actions)
        self.rounds += 1
        return actions

    def compare(self) -> None:
        """Asserts that the state on which later rounds depend is equal."""
        new, plain = self.new, self.plain
        assert new.state.random.getstate() == plain.random.getstate()
        assert (
            new.state.calls_in_flight,
            new.state.events_applied,
            new.state.saturated,
        ) == (
            plain.calls_out,
            plain.absorbed,
            plain.jammed,
        )
        assert (
            new.state.wakeups.entries == plain.agenda.entries
            and new.state.dirty_destinations == plain.looks
        )
        assert {d: len(p) for d, p in new.state.queues.by_destination.items()} == {
            d: len(p) for d, p in plain.held.piles.items()
        }
        if self.rounds % 10 == 0:
            self.compare_whole()

    def compare_whole(self) -> None:
        new, plain = self.new, self.plain
        for d, pile in new.state.queues.by_destination.items():
            in_turn = sorted(pile.values(), key=lambda m: m.queue_position)
            assert [m.id for m in in_turn] == [
                m.id for m in plain.held.piles[d].values()
            ]
        out = set(plain.attempts)
        assert new.state.attempts.keys() == out and new.snapshot(out) == plain.memory(
            out
        )
        for t in [t for targets in plain.by_destination.values() for t in targets]:
            mine = new.state.endpoints[t.id]
            assert (
                new.is_avoided(t.id),
                new.in_slow_start(mine),
                new.ramp_interval(mine),
            ) == (
                plain.avoids(t.id),
                plain.cold(t),
                plain.turn(t),
            )
        for call in {id(a.call): a.call for a in new.state.attempts.values()}.values():
            assert call in call.endpoint.calls

    def count_before(self, events: list[Event], now: int) -> None:
        plain, seen = self.plain, self.seen
        held = plain.held.piles
        seen["jammed with other destinations"] += plain.jammed and len(held) > 1
        for e in events:
            if (
                isinstance(e, MessageWithdrawn)
                and e.message_id in self.new.state.messages
            ):
                m = self.new.state.messages[e.message_id]
                seen[
                    "withdrawn while held" if m.class_queue else "withdrawn while out"
                ] += 1
                seen["withdrawn from the middle of a line"] += (
                    m.ordering_key is not None
                    and (plain.lines[m.ordering_key].queue[0].id != m.id)
                )
            if isinstance(e, SettingsChanged):
                seen["retuned with held"] += bool(held)
                old, new = plain.s, e.settings
                seen["retuned, other attempts"] += (
                    held != {} and new.max_attempts != old.max_attempts
                )
                seen["retuned, other classes"] += (
                    held != {} and new.classes != old.classes
                )
        seen["rest of a key over"] += any(
            at <= now for at, _ in self.new.state.key_backoffs.entries
        )
        seen["repeat window over while held"] += any(
            at <= now
            and (m := self.new.state.messages.get(name)) is not None
            and m.class_queue is not None
            for at, name in self.new.state.retry_expirations.entries
        )
        seen["line forgotten"] += len(self.new.state.idle_keys.entries) > 0

    def count(self, events: list[Event], actions: list[Action]) -> None:
        seen = self.seen
        seen.update(type(x).__name__ for x in (*events, *actions))
        seen.update(e.outcome.name for e in events if isinstance(e, AttemptFinished))
        seen.update(
            f"{type(a).__name__}: {a.reason}"
            for a in actions
            if isinstance(a, RejectMessage | FailMessage)
        )
        sent = [
            self.new.state.messages[a.message_id]
            for a in actions
            if isinstance(a, SendMessage)
        ]
        seen["several sends in one round"] += len(sent) > 1
        seen["sent over share"] += sum(m.over_quota for m in sent)
        seen["sent again within a scope"] += sum(
            m.executed_at >= 0
            and m.message_class.idempotency_scope is not IdempotencyScope.ALL
            for m in sent
        )
        seen["sent in its key's turn"] += sum(m.ordering_key is not None for m in sent)
        seen["many held"] += len(self.new.state.messages) > 200
        lanes = [
            lane
            for pile in self.new.state.queues.by_destination.values()
            for lane in pile.class_queues.values()
        ]
        seen["untried"] += any(lane.key.restored_untried for lane in lanes)
        seen["kept"] += any(lane.key.protected for lane in lanes)
        seen["spent and held"] += any(lane.key.exhausted for lane in lanes)
        now = self.new.state.now
        seen["faded and held"] += any(
            lane.first_not_sheddable(now) is not lane.messages.head() for lane in lanes
        )
        seen["shut and not looked at in a jam"] += self.new.state.saturated and any(
            d not in self.new.state.possibly_available
            for d in self.new.state.queues.by_destination
        )

    # Queries of the world

    def snapshot(self, out: Set[tuple[str, int]]) -> dict[str, Any]:
        told = self.new.snapshot(out)
        assert told == self.plain.memory(out)
        return told
