"""The state of the model of a migration, and its invariants."""

from __future__ import annotations

import re
from collections.abc import Hashable
from dataclasses import dataclass, field
from functools import cache
from typing import Any

from rainfall.model_checker.network import Network
from rainfall.session import protocol as w
from rainfall.session import states as s
from rainfall.session.arbiter import Decision
from rainfall.session.migration_source import MigrationSource
from rainfall.session.migration_target import MigrationTarget
from rainfall.session.model_forwarder import ModelForwarder


@dataclass(slots=True, eq=False)
class ModelMessage:
    """A message in transit.

    Equal messages are one object, so that comparing and sorting them costs little.
    """

    content: Any
    text: str

    def __repr__(self) -> str:
        return self.text


ORDER_NAMES = {
    "AskArbiter": "Ask",
    "ConfirmVerdict": "Confirm",
    "Decline": "No",
    "CopyPart": "Copy",
    "CopyStored": "Copied",
    "Activated": "Begun",
    "Released": "Closed",
    "Abort": "Drop",
    "Aborted": "Dropped",
    "UnknownMigration": "Forgot",
    "TailMessage": "Pass",
    "TailMessageResult": "Passed",
    "TailEnd": "End",
}
"""Names by which messages in transit are ordered, by their types' names.

The order decides which of several violations a search meets first, and so the counts
that earlier searches are compared by: it does not follow a type's name.
"""
TYPE_NAME = re.compile(r"\b[A-Z]\w+(?=\()")


@cache
def intern_message(what: Hashable) -> ModelMessage:
    """Return the one object for a message of this content."""
    text = TYPE_NAME.sub(lambda name: ORDER_NAMES.get(name[0], name[0]), repr(what))
    return ModelMessage(what, text)


@dataclass(slots=True)
class ModelState:
    """Two forwarders `g` (source) and `t` (target), the arbiter, and what joins them."""

    net: Network
    forwarders: dict[str, ModelForwarder]
    decisions: tuple[tuple[w.MigrationId, Decision], ...] = ()
    lease_state: dict[str, str] = field(
        default_factory=lambda: {"g": "held", "t": "held"}
    )
    """`held`; `out` by the member's own clock; `lost` by the list service's clock, which
    is never the earlier.
    """
    sent: tuple[int, ...] = (0,)
    ends: dict[int, str] = field(default_factory=dict)
    promised: tuple[int, ...] = ()
    client: str = "new"
    """That of message 3: `new`, `waits` (submitted, not answered) or `over`."""
    clock: int = 0
    """Deadlines of message 2 that are over: 1 that of the target, 2 that of the source,
    3 that of a target in doubt.
    """
    events_left: dict[str, int] = field(default_factory=dict)
    """How often each thing may still happen."""
    violation: str = ""
    epoch: int = 1

    def fork(self, touched: str = "", spend: str = "") -> ModelState:
        """Return a copy in which the forwarders of these letters may be changed.

        `spend` names an event that happens once less from here on.
        """
        left = (
            {**self.events_left, spend: self.events_left[spend] - 1}
            if spend
            else self.events_left
        )
        sites = {n: x.fork() if n in touched else x for n, x in self.forwarders.items()}
        return ModelState(
            self.net,
            sites,
            self.decisions,
            dict(self.lease_state),
            self.sent,
            dict(self.ends),
            self.promised,
            self.client,
            self.clock,
            left,
            self.violation,
            self.epoch,
        )

    def may_act(self, name: str) -> bool:
        """Whether a forwarder may call endpoints for the session."""
        return (
            self.forwarders[name].alive
            and self.forwarders[name].may_act
            and self.lease_state[name] == "held"
        )


def end(state: ModelState, at: ModelForwarder, number: int, how: str) -> None:
    """End a message; the first outcome is the one that counts."""
    at.queue = tuple(q for q in at.queue if q[0] != number)
    at.call_in_flight = None if at.call_in_flight == number else at.call_in_flight
    at.remembered_ids = (
        (*at.remembered_ids, str(number)) if how == "delivered" else at.remembered_ids
    )
    state.ends.setdefault(number, how)


def answered(state: ModelState, yes: bool) -> None:
    """Note the answer to the client of message 3."""
    if state.client == "waits":
        state.client = "over" if yes or not state.events_left["arrive"] else "new"
        state.promised = (*state.promised, 3) if yes else state.promised


def safety_violation(state: ModelState) -> str:
    """Return what must never happen and has; empty where nothing has."""
    if state.may_act("g") and state.may_act("t"):
        return "both sides act"
    if any(a >= b for a, b in zip(state.sent, state.sent[1:], strict=False)):
        return f"sent twice or out of order: {state.sent}"
    return state.violation


def only_time_ends_it(
    at: ModelForwarder, live: dict[str, ModelForwarder], forgot: bool
) -> bool:
    """Whether no migration is open, or only one that `commit_us` ends.

    The arbiter gave the session to a side that is dead, or it forgot its verdict, and the
    side that knows is dead or went on alone.
    """
    if forgot:
        return len(live) < 2 or all(
            isinstance(c, MigrationTarget) and not at.may_act
            for c in at.manager.migrations()
        )
    return all(
        len(live) < 2 and isinstance(c, MigrationSource) and c.decided_by_arbiter
        for c in at.manager.migrations()
    )


def liveness_violation(state: ModelState) -> str:
    """Return what is wrong in a state that nothing follows; empty where it is right."""
    live = {n: x for n, x in state.forwarders.items() if x.alive}
    if any(not only_time_ends_it(x, live, state.epoch > 1) for x in live.values()):
        return "a hand-over stays open"
    have = [n for n, x in live.items() if x.may_act]
    if len(live) < 2 and not have:
        return ""  # The dead forwarder owned it, and its disk is gone.
    if len(have) != 1 and (have or state.epoch == 1):
        return f"it is with {have or 'nobody'}"
    if len(live) < 2 and state.epoch > 1:
        return ""  # Only time ends what the arbiter has forgotten.
    lost = [n for n in state.promised if n not in state.ends and (n < 3 or "t" in live)]
    return f"lost: {lost}" if lost else ""


def name_of(what: Any) -> str:
    """Return a message's or record's name, as it stands in the names of steps."""
    if isinstance(what, tuple):
        return f"{what[0]}: {name_of(what[1])}"
    if isinstance(what, (w.Frame, w.Record)):
        parts = [
            str(getattr(what, f))
            for f in ("number", "lease_token", "outcome")
            if hasattr(what, f)
        ]
        return " ".join((type(what).__name__, *parts))
    return f"{what.ruling}" if isinstance(what, s.Verdict) else type(what).__name__


def concerns_arbiter(one: Hashable) -> bool:
    """Whether a message is a question to the arbiter, or its answer."""
    assert isinstance(one, ModelMessage)
    return one.content[0] == "a" or isinstance(one.content[1], s.Verdict)
