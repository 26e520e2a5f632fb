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

    Equal messages are one object, so that comparing and sorting them is cheap.
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
"""Names for the order of messages in transit, by the names of their types.

The order decides which of several violations a search finds first, and so the counts of
states. The names are fixed here so that renaming a type does not change these counts.
"""
TYPE_NAME = re.compile(r"\b[A-Z]\w+(?=\()")


@cache
def intern_message(content: Hashable) -> ModelMessage:
    """Return the single object for messages of this content."""
    text = TYPE_NAME.sub(
        lambda match: ORDER_NAMES.get(match[0], match[0]), repr(content)
    )
    return ModelMessage(content, text)


@dataclass(slots=True)
class ModelState:
    """Two forwarders `g` (source) and `t` (target), the arbiter, and the network."""

    net: Network
    forwarders: dict[str, ModelForwarder]
    decisions: tuple[tuple[w.MigrationId, Decision], ...] = ()
    lease_state: dict[str, str] = field(
        default_factory=lambda: {"g": "held", "t": "held"}
    )
    """By forwarder: `held`, `out` (expired by the member's own clock) or `lost` (expired by
    the list service's clock, which never happens earlier).
    """
    calls: tuple[int, ...] = (0,)
    outcomes: dict[int, str] = field(default_factory=dict)
    accepted: tuple[int, ...] = ()
    client: str = "new"
    """The client of message 3: `new`, `waits` (submitted, not answered) or `over`."""
    clock: int = 0
    """Number of deadlines of message 2 that have passed: first that of the target, then that
    of the source, then that of a target in doubt.
    """
    events_left: dict[str, int] = field(default_factory=dict)
    """How often each event may still happen."""
    violation: str = ""
    epoch: int = 1

    def fork(self, changed_names: str = "", event: str = "") -> ModelState:
        """Return a copy in which the forwarders named in `changed_names` may be modified.

        `event` names an event that happens now, so that fewer of it are left.
        """
        events_left = (
            {**self.events_left, event: self.events_left[event] - 1}
            if event
            else self.events_left
        )
        forwarders = {
            name: forwarder.fork() if name in changed_names else forwarder
            for name, forwarder in self.forwarders.items()
        }
        return ModelState(
            self.net,
            forwarders,
            self.decisions,
            dict(self.lease_state),
            self.calls,
            dict(self.outcomes),
            self.accepted,
            self.client,
            self.clock,
            events_left,
            self.violation,
            self.epoch,
        )

    def may_act(self, name: str) -> bool:
        """Whether a forwarder may start calls of the session."""
        return (
            self.forwarders[name].alive
            and self.forwarders[name].may_act
            and self.lease_state[name] == "held"
        )


def end_message(
    state: ModelState, forwarder: ModelForwarder, number: int, outcome: str
) -> None:
    """Record a message's outcome and remove it; only its first outcome counts."""
    forwarder.queue = tuple(entry for entry in forwarder.queue if entry[0] != number)
    forwarder.call_in_flight = (
        None if forwarder.call_in_flight == number else forwarder.call_in_flight
    )
    forwarder.remembered_ids = (
        (*forwarder.remembered_ids, str(number))
        if outcome == "delivered"
        else forwarder.remembered_ids
    )
    state.outcomes.setdefault(number, outcome)


def record_answer(state: ModelState, accepted: bool) -> None:
    """Record the answer to the client of message 3."""
    if state.client == "waits":
        state.client = "over" if accepted or not state.events_left["arrive"] else "new"
        state.accepted = (*state.accepted, 3) if accepted else state.accepted


def safety_violation(state: ModelState) -> str:
    """Return the safety invariant that is violated; empty where all hold."""
    if state.may_act("g") and state.may_act("t"):
        return "both sides may act"
    if any(
        earlier >= later
        for earlier, later in zip(state.calls, state.calls[1:], strict=False)
    ):
        return f"called twice or out of order: {state.calls}"
    return state.violation


def is_left_to_timeout(
    forwarder: ModelForwarder,
    live_forwarders: dict[str, ModelForwarder],
    arbiter_restarted: bool,
) -> bool:
    """Whether no migration is open, or only one that the time limit `commit_us` ends.

    The latter is so where the arbiter decided for a side that crashed, or where it lost
    its verdict and the side that received it crashed or finished without the other.
    """
    if arbiter_restarted:
        return len(live_forwarders) < 2 or all(
            isinstance(side, MigrationTarget) and not forwarder.may_act
            for side in forwarder.manager.migrations()
        )
    return all(
        len(live_forwarders) < 2
        and isinstance(side, MigrationSource)
        and side.decided_by_arbiter
        for side in forwarder.manager.migrations()
    )


def liveness_violation(state: ModelState) -> str:
    """Return the invariant that a final state violates; empty where all hold."""
    live_forwarders = {
        name: forwarder
        for name, forwarder in state.forwarders.items()
        if forwarder.alive
    }
    if any(
        not is_left_to_timeout(forwarder, live_forwarders, state.epoch > 1)
        for forwarder in live_forwarders.values()
    ):
        return "a migration stays open"
    owners = [name for name, forwarder in live_forwarders.items() if forwarder.may_act]
    if len(live_forwarders) < 2 and not owners:
        return ""  # The crashed forwarder owned the session, and its disk is lost.
    if len(owners) != 1 and (owners or state.epoch == 1):
        return f"owners of the session: {owners or 'nobody'}"
    if len(live_forwarders) < 2 and state.epoch > 1:
        return ""  # A verdict lost by the arbiter is resolved only by a time limit.
    lost_messages = [
        name
        for name in state.accepted
        if name not in state.outcomes and (name < 3 or "t" in live_forwarders)
    ]
    return (
        f"accepted messages without an outcome: {lost_messages}"
        if lost_messages
        else ""
    )


def describe(content: Any) -> str:
    """Return the name of a message or record for the names of steps."""
    if isinstance(content, tuple):
        return f"{content[0]}: {describe(content[1])}"
    if isinstance(content, (w.Frame, w.Record)):
        parts = [
            str(getattr(content, field_name))
            for field_name in ("number", "lease_token", "outcome")
            if hasattr(content, field_name)
        ]
        return " ".join((type(content).__name__, *parts))
    return (
        f"{content.ruling}"
        if isinstance(content, s.Verdict)
        else type(content).__name__
    )


def concerns_arbiter(message: Hashable) -> bool:
    """Whether a message is a request to the arbiter, or its answer."""
    assert isinstance(message, ModelMessage)
    return message.content[0] == "a" or isinstance(message.content[1], s.Verdict)
