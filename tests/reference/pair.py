"""A dispatcher and its plain reference, given the same events: every round must come
out the same.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Set
from dataclasses import fields
from typing import Any

from rainfall import interface as i
from rainfall.choice import Dispatcher
from tests import reference


def whole(actions: Iterable[i.Action]) -> list[tuple[Any, ...]]:
    """Actions with all their fields, also those that do not count when they are
    compared.
    """
    return [
        (type(a).__name__, *(getattr(a, f.name) for f in fields(a))) for a in actions
    ]


class Pair:
    """What a world asks of a dispatcher is answered by both alike; `seen` counts what
    was reached.
    """

    def __init__(
        self,
        settings: i.Settings,
        seed: int,
        now: int,
        seen: Counter[str] | None = None,
    ) -> None:
        self.new = Dispatcher(settings, seed, now)
        self.plain = reference.Dispatcher(settings, seed, now)
        self.seen = Counter() if seen is None else seen
        self.rounds = 0

    def handle(self, now: int, events: Iterable[i.Event]) -> list[i.Action]:
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
        """What the next rounds depend on."""
        new, plain = self.new, self.plain
        assert new.random.getstate() == plain.random.getstate()
        assert (new.calls_out, new.absorbed, new.jammed) == (
            plain.calls_out,
            plain.absorbed,
            plain.jammed,
        )
        assert new.agenda.entries == plain.agenda.entries and new.looks == plain.looks
        assert {d: len(p) for d, p in new.held.piles.items()} == {
            d: len(p) for d, p in plain.held.piles.items()
        }
        if self.rounds % 10 == 0:
            self.compare_whole()

    def compare_whole(self) -> None:
        new, plain = self.new, self.plain
        for d, pile in new.held.piles.items():
            in_turn = sorted(pile.values(), key=lambda m: m.position)
            assert [m.id for m in in_turn] == [
                m.id for m in plain.held.piles[d].values()
            ]
        out = set(plain.attempts)
        assert new.attempts.keys() == out and new.memory(out) == plain.memory(out)
        for t in [t for targets in plain.by_destination.values() for t in targets]:
            mine = new.targets[t.id]
            assert (new.avoids(t.id), new.cold(mine), new.turn(mine)) == (
                plain.avoids(t.id),
                plain.cold(t),
                plain.turn(t),
            )
        for call in {id(a.call): a.call for a in new.attempts.values()}.values():
            assert call in call.target.calls

    def count_before(self, events: list[i.Event], now: int) -> None:
        plain, seen = self.plain, self.seen
        held = plain.held.piles
        seen["jammed with other destinations"] += plain.jammed and len(held) > 1
        for e in events:
            if isinstance(e, i.Withdrawn) and e.message in self.new.messages:
                m = self.new.messages[e.message]
                seen["withdrawn while held" if m.lane else "withdrawn while out"] += 1
                seen["withdrawn from the middle of a line"] += m.key is not None and (
                    plain.lines[m.key].queue[0].id != m.id
                )
            if isinstance(e, i.Retuned):
                seen["retuned with held"] += bool(held)
                old, new = plain.s, e.settings
                seen["retuned, other attempts"] += (
                    held != {} and new.max_attempts != old.max_attempts
                )
                seen["retuned, other classes"] += (
                    held != {} and new.classes != old.classes
                )
        seen["rest of a key over"] += any(
            at <= now for at, _ in self.new.resting.entries
        )
        seen["repeat window over while held"] += any(
            at <= now
            and (m := self.new.messages.get(name)) is not None
            and m.lane is not None
            for at, name in self.new.expiring.entries
        )
        seen["line forgotten"] += len(self.new.over_lines.entries) > 0

    def count(self, events: list[i.Event], actions: list[i.Action]) -> None:
        seen = self.seen
        seen.update(type(x).__name__ for x in (*events, *actions))
        seen.update(e.outcome.name for e in events if isinstance(e, i.Ended))
        seen.update(
            f"{type(a).__name__}: {a.cause}"
            for a in actions
            if isinstance(a, i.Refuse | i.Fail)
        )
        sent = [self.new.messages[a.message] for a in actions if isinstance(a, i.Send)]
        seen["several sends in one round"] += len(sent) > 1
        seen["sent over share"] += sum(m.over_share for m in sent)
        seen["sent again within a scope"] += sum(
            m.ran_at >= 0 and m.cls.scope is not i.Scope.ALL for m in sent
        )
        seen["sent in its key's turn"] += sum(m.key is not None for m in sent)
        seen["many held"] += len(self.new.messages) > 200
        lanes = [
            lane
            for pile in self.new.held.piles.values()
            for lane in pile.lanes.values()
        ]
        seen["untried"] += any(lane.key.untried for lane in lanes)
        seen["kept"] += any(lane.key.kept for lane in lanes)
        seen["spent and held"] += any(lane.key.spent for lane in lanes)
        now = self.new.now
        seen["faded and held"] += any(
            lane.first_fresh(now) is not lane.held.head() for lane in lanes
        )
        seen["shut and not looked at in a jam"] += self.new.jammed and any(
            d not in self.new.may_open for d in self.new.held.piles
        )

    # What the world asks

    def memory(self, out: Set[tuple[str, int]]) -> dict[str, Any]:
        told = self.new.memory(out)
        assert told == self.plain.memory(out)
        return told
