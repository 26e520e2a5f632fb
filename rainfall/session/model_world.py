"""What the model of a hand-over keeps, and what must hold in it."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from functools import cache
from typing import Any

from rainfall.explore.net import Net
from rainfall.session import states as s
from rainfall.session import words as w
from rainfall.session.arbiter import Entry
from rainfall.session.giver import Giver
from rainfall.session.model_site import Site
from rainfall.session.taker import Taker


@dataclass(slots=True, eq=False)
class Mail:
    """One message under way. Equal ones are one object, so that comparing and sorting
    them costs little.
    """

    what: Any
    text: str

    def __repr__(self) -> str:
        return self.text


@cache
def mail(what: Hashable) -> Mail:
    return Mail(what, repr(what))


@dataclass(slots=True)
class World:
    net: Net
    sites: dict[str, Site]
    decided: tuple[tuple[w.Hand, Entry], ...] = ()
    lease: dict[str, str] = field(default_factory=lambda: {"g": "held", "t": "held"})
    """`held`; `out` by the member's own clock; `lost` by the service's, never before it
    is out.
    """
    sent: tuple[int, ...] = (0,)
    ends: dict[int, str] = field(default_factory=dict)
    promised: tuple[int, ...] = ()
    client: str = "new"
    """Of message 3: `new`, `waits` (handed in, not answered), `over`."""
    clock: int = 0
    """Message 2: 1 its due at the taker, 2 at the giver, 3 for a taker in doubt."""
    left: dict[str, int] = field(default_factory=dict)
    """How often each thing may still happen."""
    why: str = ""
    epoch: int = 1

    def fork(self, touched: str = "", spend: str = "") -> World:
        """A copy in which the sites named may be changed."""
        left = {**self.left, spend: self.left[spend] - 1} if spend else self.left
        sites = {n: x.fork() if n in touched else x for n, x in self.sites.items()}
        return World(
            self.net,
            sites,
            self.decided,
            dict(self.lease),
            self.sent,
            dict(self.ends),
            self.promised,
            self.client,
            self.clock,
            left,
            self.why,
            self.epoch,
        )

    def acts(self, name: str) -> bool:
        return (
            self.sites[name].alive
            and self.sites[name].runs
            and self.lease[name] == "held"
        )


def end(state: World, at: Site, number: int, how: str) -> None:
    at.queue = tuple(q for q in at.queue if q[0] != number)
    at.out = None if at.out == number else at.out
    at.memory = (*at.memory, str(number)) if how == "delivered" else at.memory
    state.ends.setdefault(number, how)


def answered(state: World, yes: bool) -> None:
    if state.client == "waits":
        state.client = "over" if yes or not state.left["arrive"] else "new"
        state.promised = (*state.promised, 3) if yes else state.promised


def unsafe(state: World) -> str:
    if state.acts("g") and state.acts("t"):
        return "both sides act"
    if any(a >= b for a, b in zip(state.sent, state.sent[1:], strict=False)):
        return f"sent twice or out of order: {state.sent}"
    return state.why


def theirs(at: Site, live: dict[str, Site], forgot: bool) -> bool:
    """No hand-over is open, or only one that time ends (`commit_us`): the arbiter gave
    it to who is dead, or forgot what it said, and the one who could tell is dead or
    went on alone.
    """
    if forgot:
        return len(live) < 2 or all(
            isinstance(c, Taker) and not at.runs for c in at.desk.cores()
        )
    return all(
        len(live) < 2 and isinstance(c, Giver) and c.settled for c in at.desk.cores()
    )


def not_whole(state: World) -> str:
    live = {n: x for n, x in state.sites.items() if x.alive}
    if any(not theirs(x, live, state.epoch > 1) for x in live.values()):
        return "a hand-over stays open"
    have = [n for n, x in live.items() if x.runs]
    if len(live) < 2 and not have:
        return ""  # it was the dead one's, and went with its disk
    if len(have) != 1 and (have or state.epoch == 1):
        return f"it is with {have or 'nobody'}"
    if len(live) < 2 and state.epoch > 1:
        return ""  # what the arbiter forgot about, only time can end
    lost = [n for n in state.promised if n not in state.ends and (n < 3 or "t" in live)]
    return f"lost: {lost}" if lost else ""


def name_of(what: Any) -> str:
    if isinstance(what, tuple):
        return f"{what[0]}: {name_of(what[1])}"
    if isinstance(what, (w.Frame, w.Record)):
        told = [
            str(getattr(what, f)) for f in ("number", "life", "how") if hasattr(what, f)
        ]
        return " ".join((type(what).__name__, *told))
    return f"{what.ruling}" if isinstance(what, s.Verdict) else type(what).__name__


def to_arbiter(one: Hashable) -> bool:
    """A question to it, or its answer."""
    assert isinstance(one, Mail)
    return one.what[0] == "a" or isinstance(one.what[1], s.Verdict)
