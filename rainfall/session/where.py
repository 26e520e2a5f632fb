"""Who has a session now, for a message that comes to a forwarder that does not: pass it
on, or refuse it.

What a forwarder learns of a hand-over (it gave, took, or was told) outranks the map
until the map moves on or the note is old. Of two notes the one with more moves of the
session behind it is the later.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

MOST_HOPS = 1
"""The owner by the map may have given it away: it says so by passing on once more than
the first.
"""


@dataclass(frozen=True, slots=True)
class Note:
    owner: str
    moves: int
    until_us: int


@dataclass(slots=True)
class Where:
    name: str
    most: int = 10_000
    notes: OrderedDict[str, Note] = field(default_factory=OrderedDict)

    def learn(self, key: str, owner: str, moves: int, until_us: int) -> bool:
        """False where something later is known already. The note longest known makes
        room.
        """
        known = self.notes.get(key)
        if known is not None and known.moves > moves:
            return False
        self.notes.pop(key, None)
        self.notes[key] = Note(owner, moves, until_us)
        if len(self.notes) > self.most:
            self.notes.popitem(last=False)
        return True

    def route(
        self, key: str, by_map: str | None, came: tuple[str, ...], now_us: int
    ) -> str | None:
        """The forwarder to go on to (our own name: take it on here), or None: refuse it
        503, with nothing taken on. `came`: who passed it on until here, first first;
        nobody is asked twice.
        """
        note = self.notes.get(key)
        if note is not None and note.until_us <= now_us:
            del self.notes[key]
            note = None
        owner = note.owner if note is not None else by_map
        if owner == self.name:
            return owner
        if owner is None or owner in came or self.name in came or len(came) > MOST_HOPS:
            return None
        return owner
