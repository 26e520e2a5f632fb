"""One forwarder in the model: the real desk, and the least engine and disk around it
that can go wrong.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass, field, fields
from operator import attrgetter
from typing import Any, TypeVar

from rainfall.session import states as s
from rainfall.session import words as w
from rainfall.session.desk import Desk, Done
from rainfall.session.states import Limits

KEY = "k"
LIMITS = Limits(ask_us=0, calls_us=0, least_left_us=1, drift=0.0)
ALIKE = (
    "since_us",
    "until_us",
    "limits",
    "hand",
    "key",
    "taker",
    "site",
    "why",
    "asked",
    "heard_us",
)


X = TypeVar("X")


_getters: dict[tuple[type, tuple[str, ...]], Callable[[Any], tuple[Any, ...]]] = {}


def _getter(cls: type, but: tuple[str, ...] = ()) -> Callable[[Any], tuple[Any, ...]]:
    if (cls, but) not in _getters:
        _getters[cls, but] = attrgetter(
            *(f.name for f in fields(cls) if f.name not in but)
        )
    return _getters[cls, but]


def _copy(one: X) -> X:
    """Many times as quick as copy.copy, of which the search does millions."""
    return type(one)(*_getter(type(one))(one))


_numbers: dict[Hashable, int] = {}


def _alike(key: Hashable) -> int:
    """One number for all equal keys: what is compared often is hashed once."""
    return _numbers.setdefault(key, len(_numbers))


@dataclass(slots=True)
class Site:
    name: str
    life: int = 1
    """Also its clock: all that the cores compare are stamps of this start with those of
    the one before.
    """
    runs: bool = False
    """Its engine may begin a call of the session, if the lease allows it."""
    alive: bool = True
    freezing: bool = False
    out: int | None = None
    queue: tuple[tuple[int, bool], ...] = ()
    """On disk: messages in order, and whether each may have run."""
    memory: tuple[str, ...] = ()
    disk: tuple[w.Record, ...] = ()
    unseen: tuple[w.Record, ...] = ()
    """On disk, and the engine has not acted on them: a restart will."""
    writing: tuple[w.Record, ...] = ()
    owns: bool = False
    """The session began here."""
    desk: Desk = field(default_factory=lambda: Desk("", LIMITS))
    told: Hashable = None

    @staticmethod
    def of(name: str, owns: bool, ids: tuple[int, ...] = ()) -> Site:
        return Site(
            name,
            runs=owns,
            queue=tuple((i, False) for i in ids),
            memory=("0",) if owns else (),
            owns=owns,
            desk=Desk(name, LIMITS, life=(1, 1)),
        )

    def fork(self) -> Site:
        twin, desk = _copy(self), _copy(self.desk)
        desk.giving = {h: _copy(c) for h, c in desk.giving.items()}
        desk.taking = {h: _copy(c) for h, c in desk.taking.items()}
        desk.floors, desk.keys, desk.past = (
            dict(desk.floors),
            dict(desk.keys),
            dict(desk.past),
        )
        twin.desk, twin.told = desk, None
        return twin

    def key(self) -> Hashable:
        """Worked out once: a site that was given away in a state never changes."""
        if self.told is None:
            desk = self.desk
            cores = tuple((c.hand, _getter(type(c), ALIKE)(c)) for c in desk.cores())
            self.told = _alike(
                (
                    self.life,
                    self.runs,
                    self.alive,
                    self.freezing,
                    self.out,
                    self.queue,
                    self.memory,
                    self.disk,
                    self.unseen,
                    self.writing,
                    cores,
                    tuple(desk.floors.items()),
                    tuple(desk.past.items()),
                    desk.life,
                    desk.count,
                )
            )
        return self.told

    # What the desk hears

    def give(self) -> Done:
        return self.desk.give(KEY, "t", "a", "test", 1, s.Give(), self.life)

    def hear(self, what: object) -> Done:
        if isinstance(what, s.Verdict):
            return self.desk.verdict(what, self.life)
        assert isinstance(what, w.Frame)
        return self.desk.heard("t" if self.name == "g" else "g", what, self.life)

    def arrive(self, name: str) -> Done | None:
        return self.desk.to_session(
            KEY, s.Arrived(w.Item(name, "", 0, 100), self.life), self.life
        )

    def tell(self, event: object) -> Done:
        if isinstance(event, (s.Retry, s.Timeout, s.Due)):
            return [
                a for c in self.desk.cores() for a in self.desk.act(c, event, self.life)
            ]
        return self.desk.to_session(KEY, event, self.life) or []

    def quiet(self, fateless: bool, forgetful: bool) -> Done:
        items = tuple(
            w.Item(str(n), "", 0, 100, ran_us=0 if ran and not fateless else None)
            for n, ran in self.queue
        )
        self.freezing = False
        return self.tell(s.Quiet(items, () if forgetful else self.memory))

    def events(self) -> Iterator[tuple[str, object]]:
        """What can come to its cores of itself. A limit that no message outlives is
        none of the model's.
        """
        if self.desk.cores():
            yield "retry", s.Retry()
        limited = [s.State.OFFERED, s.State.TAIL, s.State.FROZEN, s.State.COPIED]
        if any(c.state in limited for c in self.desk.giving.values()) or any(
            c.state in limited[:2] for c in self.desk.taking.values()
        ):
            yield "late", s.Timeout()
        if any(
            c.state is s.State.TAIL and not c.last for c in self.desk.giving.values()
        ):
            yield "fair", s.TailOver()

    # What the desk wants of this site alone

    def carry_out(self, action: s.Action) -> None:
        match action:
            case s.Journal(record):
                self.writing = (*self.writing, record)
            case s.Freeze():
                self.runs, self.freezing = False, True
            case s.CloseCalls():
                self.out = None
            case s.Halt():
                self.runs = False
            case s.Resume():
                self.runs, self.freezing = True, False
            case s.Begin(items, memory):
                self.recall(items, memory)
            case s.LetGo():
                self.queue = ()

    def recall(self, items: tuple[w.Item, ...], memory: tuple[str, ...]) -> None:
        self.queue = (*self.queue, *((int(i.id), i.ran_us is not None) for i in items))
        self.memory = memory

    # The disk

    def write(self, ok: bool, reached: bool) -> Done:
        """The first of what is being written comes to its end."""
        record, *rest = self.writing
        self.writing = tuple(rest)
        if reached:
            self.disk = (*self.disk, record)
            self.unseen = (
                tuple(r for r in self.unseen if r != record)
                if ok
                else (*self.unseen, record)
            )
        return self.desk.written(record, ok, self.life)

    def crash(self, reached: bool) -> None:
        """What was being written may be on disk. The queue is on disk too, and what the
        records say of it.
        """
        if reached:
            self.disk, self.unseen = (
                (*self.disk, *self.writing),
                (*self.unseen, *self.writing),
            )
        for record in self.unseen:
            match record:
                case w.Began(hand) if w.Refused(hand) not in self.disk:
                    stored = next(
                        r
                        for r in self.disk
                        if isinstance(r, w.Stored) and r.hand == hand
                    )
                    if all(
                        str(n) not in [i.id for i in stored.items]
                        for n, _ in self.queue
                    ):
                        self.recall(stored.items, stored.memory)
                case w.Took(_, _, item) if (int(item.id), False) not in self.queue:
                    self.queue = (*self.queue, (int(item.id), False))
                case w.Gone():
                    self.queue = ()
        self.unseen = self.writing = ()
        self.alive = self.runs = self.freezing = False
        self.desk = Desk(self.name, LIMITS)

    def restart(self) -> int | None:
        """Returns the call that was out: it may have run."""
        cut, self.out, self.alive, self.runs = self.out, None, True, self.owns
        self.desk.recover(self.disk, self.life + 1)
        for record in self.disk:
            if isinstance(record, (w.Sealed, w.Back, w.Shut)):
                self.runs = not isinstance(record, w.Sealed)
        return cut
