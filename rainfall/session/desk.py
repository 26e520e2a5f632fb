"""All hand-overs of one forwarder: which core a frame is for, how many, how large, what
a restart finds.

The shell that runs it carries out the actions, calls `tick` every `retry_us`, and hands
in what it hears.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from rainfall.session import states as s
from rainfall.session import words as w
from rainfall.session.giver import Giver
from rainfall.session.states import Actions, Limits, State
from rainfall.session.taker import Taker

MOST_PAST = (
    10_000  # hand-overs remembered after their end, of a fleet's; 250 bytes each
)
Done = list[tuple[str, s.Action]]
"""Actions in order, each with the order key of the session that it is about ("" where
there is none).
"""


@dataclass(slots=True)
class Desk:
    name: str
    limits: Limits
    life: w.Life | None = None
    """Our lease; None while we hold none."""
    draining: bool = False
    count: int = 0
    giving: dict[w.Hand, Giver] = field(default_factory=dict)
    taking: dict[w.Hand, Taker] = field(default_factory=dict)
    floors: dict[str, w.Hand] = field(default_factory=dict)
    """By giver: at or below it, what is not known is never taken on."""
    past: dict[w.Hand, bool] = field(default_factory=dict)
    """The newest that are over here: whether they went to the taker for good, or (given
    back, refused) never will. Of one that is at its giver's floor and not in it we know
    nothing, and say nothing.
    """
    keys: dict[str, w.Hand] = field(default_factory=dict)
    """Whose session is being handed over."""

    # Giving

    def give(
        self,
        key: str,
        taker: str,
        site: str,
        why: str,
        moves: int,
        asked: s.Give,
        now_us: int,
    ) -> Done:
        """Offer a session. Nothing is done, and () returned, while we hold no lease,
        have as many out as `at_once` or as many bytes as `all_bytes`, or the session
        itself is in a hand-over.
        """
        size = sum(g.asked.bytes for g in self.giving.values()) + asked.bytes
        busy = sum(g.state is not State.TAIL for g in self.giving.values())
        full = busy >= self.limits.at_once or size > self.limits.all_bytes
        if self.life is None or key in self.keys or full:
            return []
        self.count += 1
        core = Giver(
            w.Hand(self.name, *self.life, self.count),
            self.limits,
            key=key,
            taker=taker,
            site=site,
            why=why,
            moves=moves,
        )
        self.giving[core.hand], self.keys[key] = core, core.hand
        return self.act(core, asked, now_us)

    def to_session(self, key: str, event: object, now_us: int) -> Done | None:
        """`Quiet`, `Arrived`, `Left`, `TailOver`, `Stop`: for a session by its key.
        None where it is not being given away: then the event is the engine's alone.
        """
        core = self.giving.get(self.keys[key]) if key in self.keys else None
        return None if core is None else self.act(core, event, now_us)

    # What comes from outside

    def heard(self, peer: str, frame: w.Frame, now_us: int) -> Done:
        """A frame of the forwarder `peer`. Of a hand-over that is not between us two it
        is passed over.
        """
        if frame.hand.giver == self.name:
            giver = self.giving.get(frame.hand)
            if giver is None:
                asks = isinstance(frame, (w.Copied, w.Begun))
                said = w.Closed if self.past.get(frame.hand) else w.Forgot
                return [("", s.Send(said(frame.hand)))] if asks else []
            return self.act(giver, frame, now_us) if giver.taker == peer else []
        if frame.hand.giver != peer:
            return []
        taker = self.taking.get(frame.hand)
        if taker is None:
            return self._unknown(frame, now_us)
        return self.act(taker, frame, now_us)

    def _unknown(self, frame: w.Frame, now_us: int) -> Done:
        hand, floor = frame.hand, self.floors.get(frame.hand.giver)
        match frame:
            case w.Offer():
                why = self._against(frame, floor)
                if why:
                    return [("", s.Send(w.No(hand, why)))]
                core = Taker(
                    hand,
                    frame.key,
                    frame.moves,
                    self.limits,
                    self.life,
                    now_us,
                    now_us,
                    room=frame.bytes,
                )
                core.open(now_us)
                self.taking[hand], self.keys[frame.key] = core, hand
                return self._done(core, core.accept(frame, now_us))
            case w.Copy():
                return [("", s.Send(w.No(hand, "unknown")))]
            case (
                w.Drop() | w.Commit()
            ):  # the giver waits for our word that it never will begin here
                if hand in self.past:
                    return [
                        (
                            "",
                            s.Send(
                                w.Begun(hand, now_us)
                                if self.past[hand]
                                else w.Dropped(hand)
                            ),
                        )
                    ]
                if floor is not None and hand <= floor:
                    return []
                return [("", s.Journal(w.Refused(hand)))]
        # a Pass too: it may have been taken before we forgot, so it cannot be refused
        return []

    def _against(self, offer: w.Offer, floor: w.Hand | None) -> str:
        """Why an offer is not taken; empty where it is."""
        if self.draining or self.life is None:
            return "draining" if self.draining else "no lease"
        if (floor is not None and offer.hand <= floor) or offer.key in self.keys:
            return "known"
        busy = sum(t.state is not State.TAIL for t in self.taking.values())
        size = sum(t.room for t in self.taking.values()) + offer.bytes
        if (
            busy >= self.limits.at_once
            or size > self.limits.all_bytes
            or offer.messages > self.limits.session_messages
            or offer.bytes > self.limits.session_bytes
        ):
            return "full"
        return ""

    def written(self, record: w.Record, ok: bool, now_us: int) -> Done:
        """The disk's answer to a `Journal`."""
        hand = record.hand
        if ok and isinstance(record, (w.Stored, w.Refused)):
            self._floor(record)
        core = self.giving.get(hand) or self.taking.get(hand)
        if core is not None:
            return self.act(core, s.Kept(record) if ok else s.NotKept(record), now_us)
        return (
            [("", s.Send(w.Dropped(hand)))]
            if ok and isinstance(record, w.Refused)
            else []
        )

    def verdict(self, verdict: s.Verdict, now_us: int) -> Done:
        core = self.giving.get(verdict.hand) or self.taking.get(verdict.hand)
        return [] if core is None else self.act(core, verdict, now_us)

    def due(self, hand: w.Hand, name: str, now_us: int) -> Done:
        core = self.taking.get(hand)
        return [] if core is None else self.act(core, s.Due(name), now_us)

    def link_lost(self, peer: str, now_us: int) -> Done:
        return self._all(s.LinkLost(), now_us, peer)

    def lease(self, life: w.Life | None, now_us: int) -> Done:
        """Our lease is out by our own clock (None), or is held under this token."""
        if life == self.life:
            return []
        self.life = life
        return self._all(s.LeaseLost() if life is None else s.LeaseBack(life), now_us)

    def drain(self, now_us: int) -> Done:
        """We drain: no offer is taken any more; what is copied and not committed is
        asked to be dropped.
        """
        self.draining = True
        return [
            a
            for t in list(self.taking.values())
            for a in self.act(t, s.Drain(), now_us)
        ]

    def tick(self, now_us: int) -> Done:
        return [a for core in self.cores() for a in self._done(core, core.tick(now_us))]

    def cores(self) -> list[Giver | Taker]:
        return [*self.giving.values(), *self.taking.values()]

    def _all(self, event: object, now_us: int, peer: str | None = None) -> Done:
        done: Done = []
        for core in self.cores():
            other = core.taker if isinstance(core, Giver) else core.hand.giver
            if peer in (None, other):
                done += self.act(core, event, now_us)
        return done

    def act(self, core: Giver | Taker, event: object, now_us: int) -> Done:
        """One core hears one event."""
        return self._done(core, core.on(event, now_us))

    def _done(self, core: Giver | Taker, actions: Actions) -> Done:
        if any(isinstance(a, s.Over) for a in actions):
            if (
                core.sure
                if isinstance(core, Taker)
                else core.state is State.DONE and not core.nobodys
            ):
                self._remember(core.hand, True)
            self.giving.pop(core.hand, None)
            self.taking.pop(core.hand, None)
            if self.keys.get(core.key) == core.hand:
                del self.keys[core.key]
        return [(core.key, a) for a in actions]

    def _floor(self, record: w.Record) -> None:
        hand = record.hand
        self.floors[hand.giver] = max(hand, self.floors.get(hand.giver, hand))
        if isinstance(record, w.Refused):
            self._remember(hand, False)

    def _remember(self, hand: w.Hand, ours: bool) -> None:
        self.past[hand] = ours
        if len(self.past) > MOST_PAST:
            del self.past[next(iter(self.past))]

    # After a restart

    def recover(self, records: Iterable[w.Record], now_us: int) -> Mapping[str, State]:
        """Before anything is heard or sent: what the journal holds, in its order.
        Returns the sessions that are in a hand-over. The engine halts each, but for
        those that we take and that are in `tail`: they are ours for good.
        """
        kept: dict[w.Hand, dict[type, w.Record]] = {}
        newest: dict[
            str, w.Hand
        ] = {}  # an earlier one of the same key is over, whatever is missing of it
        for record in records:
            if isinstance(record, (w.Stored, w.Refused)):
                self._floor(record)
            if isinstance(record, (w.Stored, w.Sealed)):
                newest[record.key] = record.hand
            if isinstance(record, w.Gone):
                self._remember(record.hand, True)
            kept.setdefault(record.hand, {})[type(record)] = record
        for hand in newest.values():
            of = kept[hand]
            sealed, stored, took = of.get(w.Sealed), of.get(w.Stored), of.get(w.Took)
            if isinstance(sealed, w.Sealed) and not (w.Gone in of or w.Back in of):
                self.giving[hand] = Giver.recover(
                    sealed, w.Committed in of, self.limits, now_us
                )
                self.keys[sealed.key] = hand
            elif isinstance(stored, w.Stored) and w.Refused not in of:
                number = took.number if isinstance(took, w.Took) else 0
                self.taking[hand] = Taker.recover(
                    stored, w.Began in of, w.Shut in of, number, self.limits, now_us
                )
                self.keys[stored.key] = hand
        return {core.key: core.state for core in self.cores()}

    def checkpoint(self) -> list[w.Record]:
        """What must stay when the journal is compacted, beside the records of the open
        hand-overs.
        """
        return [w.Refused(hand) for _, hand in sorted(self.floors.items())]
