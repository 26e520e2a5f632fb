"""The migration of one session, as a model for `rainfall.model_checker`.

The model has two migration managers, the arbiter, an unreliable link between them, disks
that survive crashes, leases that expire, a message that arrives during the migration and
a call in flight.

The messages have one order key and must not be executed twice, so the numbers of the
calls must increase; a repeated call or a wrong order violates the invariant. From each
state reached, the model also runs on without further faults: at the end one side must own
the session, and each accepted message must have an outcome.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from dataclasses import replace
from typing import Any

from rainfall.model_checker.network import Network
from rainfall.session import protocol as w
from rainfall.session import states as s
from rainfall.session.arbiter import Arbiter
from rainfall.session.model_forwarder import ModelForwarder
from rainfall.session.model_liveness import LivenessModel, Step
from rainfall.session.model_state import (
    ModelMessage,
    ModelState,
    concerns_arbiter,
    describe,
    end_message,
    intern_message,
    record_answer,
)

MUTATIONS = (
    "source releases before commit",
    "target activates before commit",
    "remembered ids omitted",
    "executed times omitted",
    "tail message overtakes",
    "stale commit",
    "source reclaims without refusal",
    "target drops refusals",
    "target expires late",
    "outdated tail message accepted",
)
EVENT_BUDGET = {
    "give": 1,
    "late": 1,
    "retry": 0,
    "crash_g": 0,
    "crash_t": 0,
    "lease_g": 0,
    "lease_t": 0,
    "fault": 0,
    "arrive": 0,
    "repeat": 0,
    "full": 0,
    "due": 0,
    "amnesia": 0,
}
"""How often each event may happen.

`give` starts a migration, `late` is a time limit that has passed, `fault` a failed write,
`arrive` a message of a client, `repeat` a repeated message, `full` exhausted capacity,
`due` a deadline of message 2 (there are 3), and `amnesia` a restart of the arbiter without
its journal. `crash_` and `lease_` events are of the source (`g`) or the target (`t`).
"""
CRASH_EVENTS = ("crash_g", "crash_t", "lease_g", "lease_t", "due", "amnesia")
WRITE_OUTCOMES = (
    ("kept", True, True),
    ("not kept", False, False),
    ("not sure of", False, True),
)
"""Outcomes of a write: the name in steps, whether success is reported, and whether the
record reached the disk.
"""


class SessionMigrationModel(LivenessModel):
    """A migration in which each event may happen a limited number of times."""

    def __init__(
        self,
        bug: str = "",
        *,
        gone: str = "",
        messages: int = 1,
        most: int = 3,
        losses: int = 0,
        copies: int = 0,
        begin: tuple[str, ...] = (),
        **counts: int,
    ) -> None:
        """Build the model.

        Args:
            bug: One of `MUTATIONS`, which a search must detect; empty: none.
            gone: The forwarder that may crash and never restart; empty: none.
            messages: Number of messages of the session.
            most: Most messages in transit.
            losses: Number of messages that may be lost.
            copies: Number of messages that may arrive twice.
            begin: Names of the steps taken before the initial state.
            counts: How often events may happen, by the names in `EVENT_BUDGET`.
        """
        self.initial_steps, self.bug, self.gone, self.message_numbers = (
            begin,
            bug,
            gone,
            tuple(range(1, messages + 1)),
        )
        self.net = Network(
            max_in_transit=most, losses_left=losses, duplicates_left=copies
        )
        if unknown := sorted(set(counts) - set(EVENT_BUDGET)):
            raise ValueError(f"unknown event names in counts: {unknown}")
        self.initial_events = {
            **EVENT_BUDGET,
            **counts,
            "gone": int(bool(gone)),
            "leave": counts.get("arrive", 0),
        }
        self.is_fault_free = not gone and not any(
            counts.get(event) for event in CRASH_EVENTS
        )
        super().__init__()

    def start(self) -> ModelState:
        """Return the state after the initial steps."""
        forwarders = {
            "g": ModelForwarder.initial("g", True, self.message_numbers),
            "t": ModelForwarder.initial("t", False),
        }
        state = ModelState(
            self.net,
            forwarders,
            accepted=self.message_numbers,
            events_left=self.initial_events,
        )
        for step in self.initial_steps:
            state = next(after for name, after in self.steps(state) if name == step)
        return state

    def steps(self, state: ModelState) -> Iterator[tuple[str, ModelState]]:
        """Yield the name of each possible step and the state after it."""
        for _, name, after in self._labelled_steps(state):
            yield name, after

    # Possible steps

    def _labelled_steps(self, state: ModelState) -> Iterator[Step]:
        for message, net in state.net.arrivals():
            assert isinstance(message, ModelMessage)
            receiver, content = message.content
            yield (
                "fair",
                f"{receiver} receives {describe(content)}",
                self._deliver(state.fork(receiver), net, receiver, content),
            )
        for message, net in state.net.lost():
            assert isinstance(message, ModelMessage)
            yield "foul", f"lost: {describe(message.content)}", replace(state, net=net)
        for name, forwarder in state.forwarders.items():
            yield from (
                self._forwarder_steps(state, name, forwarder)
                if forwarder.alive
                else self._dead_steps(state, name)
            )
        yield from self._environment_steps(state)

    def _dead_steps(self, state: ModelState, name: str) -> Iterator[Step]:
        if self.gone != name or state.events_left["gone"]:
            after = state.fork(name)
            interrupted = after.forwarders[name].restart()
            if interrupted is not None:
                end_message(after, after.forwarders[name], interrupted, "failed")
            self._acquire_lease(after, name)
            yield "fair", f"{name} restarts", after
        if state.lease_state[name] == "held":
            yield (
                "fair",
                f"{name}'s lease expires at the arbiter",
                replace(state, lease_state={**state.lease_state, name: "lost"}),
            )

    def _forwarder_steps(
        self, state: ModelState, name: str, forwarder: ModelForwarder
    ) -> Iterator[Step]:
        if forwarder.writing:
            for outcome, reported_ok, reached_disk in WRITE_OUTCOMES:
                if reported_ok or state.events_left["fault"]:
                    after = state.fork(name, "" if reported_ok else "fault")
                    self._apply_actions(
                        after,
                        name,
                        after.forwarders[name].finish_write(reported_ok, reached_disk),
                    )
                    yield (
                        "fair" if reported_ok else "foul",
                        f"{name}: {outcome} {describe(forwarder.writing[0])}",
                        after,
                    )
        for kind, event in forwarder.events():
            if kind != "fair" and not state.events_left[kind]:
                continue
            after = state.fork(name, "" if kind == "fair" else kind)
            self._apply_actions(after, name, after.forwarders[name].handle(event))
            yield kind, f"{name}: {type(event).__name__}", after
        if forwarder.call_in_flight is None and forwarder.freezing:
            after = state.fork(name)
            self._apply_actions(
                after,
                name,
                after.forwarders[name].report_quiesced(
                    self.bug == "executed times omitted",
                    self.bug == "remembered ids omitted",
                ),
            )
            yield "fair", f"{name} is quiesced", after
        if forwarder.call_in_flight is not None:
            after = state.fork(name)
            end_message(
                after, after.forwarders[name], forwarder.call_in_flight, "delivered"
            )
            yield (
                "fair",
                f"{name}'s call {forwarder.call_in_flight} is delivered",
                after,
            )
        elif forwarder.queue and state.may_act(name):
            after = state.fork(name)
            self._start_call(after, name, after.forwarders[name])
            yield "fair", f"{name} starts call {forwarder.queue[0][0]}", after
        if (
            name == "g"
            and not forwarder.may_act
            and state.clock >= 2
            and any(entry[0] == 2 for entry in forwarder.queue)
        ):
            after = state.fork(name)
            end_message(after, after.forwarders[name], 2, "failed")
            yield "fair", "g expires message 2", after
        yield from self._fault_steps(state, name, forwarder)

    def _fault_steps(
        self, state: ModelState, name: str, forwarder: ModelForwarder
    ) -> Iterator[Step]:
        if state.events_left[f"crash_{name}"]:
            yield (
                "foul",
                f"{name} crashes",
                self._crash(state, name, f"crash_{name}", False),
            )
            if forwarder.writing:
                yield (
                    "foul",
                    f"{name} crashes after its write",
                    self._crash(state, name, f"crash_{name}", True),
                )
        if self.gone == name and state.events_left["gone"]:
            yield (
                "foul",
                f"{name} crashes for good",
                self._crash(state, name, "gone", False),
            )
        if state.lease_state[name] == "held":
            if state.events_left[f"lease_{name}"]:
                after = state.fork(name, f"lease_{name}")
                after.lease_state[name] = "out"
                self._apply_actions(
                    after,
                    name,
                    after.forwarders[name].manager.set_lease(
                        None, forwarder.incarnation
                    ),
                )
                yield "foul", f"{name}'s lease expires by its clock", after
            return
        if state.lease_state[name] == "out":
            yield (
                "foul",
                f"{name}'s lease expires at the arbiter",
                replace(state, lease_state={**state.lease_state, name: "lost"}),
            )
        after = state.fork(name)
        self._acquire_lease(after, name)
        yield "fair", f"{name} acquires a lease", after

    def _environment_steps(self, state: ModelState) -> Iterator[Step]:
        yield from self._operator_steps(state)
        yield from self._client_steps(state)
        yield from self._target_steps(state)
        yield from self._arbiter_steps(state)
        yield from self._deadline_steps(state)

    def _operator_steps(self, state: ModelState) -> Iterator[Step]:
        if (
            state.events_left["give"]
            and state.may_act("g")
            and not state.forwarders["g"].manager.migration_by_key
        ):
            after = state.fork("g", "give")
            self._apply_actions(after, "g", after.forwarders["g"].start_migration())
            yield "foul", "g starts the migration", after

    def _client_steps(self, state: ModelState) -> Iterator[Step]:
        events_left = state.events_left
        if state.client == "new" and events_left["arrive"]:
            for name in "gt":
                if state.forwarders[name].alive and (name == "g" or state.may_act("t")):
                    after = state.fork(name, "arrive")
                    self._submit(after, name)
                    yield "foul", f"message 3 is submitted at {name}", after
        if state.client == "waits" and events_left["leave"]:
            after = state.fork("g", "leave")
            after.client = "over"
            self._apply_actions(
                after, "g", after.forwarders["g"].handle(s.ClientDisconnected("3"))
            )
            yield "foul", "client of message 3 disconnects", after

    def _target_steps(self, state: ModelState) -> Iterator[Step]:
        events_left = state.events_left
        target = state.forwarders["t"]
        if events_left["repeat"] and state.may_act("t"):
            after = state.fork("t", "repeat")
            if "0" not in target.remembered_ids:
                after.forwarders["t"].queue = (*target.queue, (0, False))
            yield "foul", "message 0 is repeated at t", after
        if events_left["full"] and target.manager.incoming:
            after = state.fork("t", "full")
            for side in after.forwarders["t"].manager.incoming.values():
                side.out_of_capacity = True
            yield "foul", "t has no capacity", after

    def _arbiter_steps(self, state: ModelState) -> Iterator[Step]:
        if state.events_left["amnesia"]:
            after = state.fork(event="amnesia")
            # Requests and answers in transit are lost with the arbiter's process.
            in_transit = tuple(
                message
                for message in state.net.in_transit
                if not concerns_arbiter(message)
            )
            after.net = replace(state.net, in_transit=in_transit)
            after.decisions = ()
            after.epoch = 2
            yield "foul", "the arbiter restarts without its journal", after

    def _deadline_steps(self, state: ModelState) -> Iterator[Step]:
        if state.events_left["due"]:
            after = state.fork("t", "due")
            after.clock += 1
            if after.clock == 3 and state.forwarders["t"].alive:
                self._apply_actions(
                    after, "t", after.forwarders["t"].handle(s.MessageExpired("2"))
                )
            yield "foul", f"deadline {after.clock} of message 2", after

    # Effects of steps

    def _deliver(
        self, state: ModelState, net: Network, receiver: str, content: Any
    ) -> ModelState:
        state.net = net
        if receiver == "a":
            arbiter = Arbiter(
                state.epoch, lambda name: state.lease_state[name] != "lost"
            )
            arbiter.decisions.update(state.decisions)
            sender, question = content
            if isinstance(question, s.ConfirmVerdict):
                arbiter.confirm(question)
            elif state.lease_state[sender] == "held":
                self._send(state, (sender, arbiter.decide(question, 0)[0]))
            state.decisions = tuple(arbiter.decisions.items())
        elif state.forwarders[receiver].alive:
            forwarder = state.forwarders[receiver]
            if (
                self.bug == "stale commit"
                and isinstance(content, w.Commit)
                and forwarder.manager.lease_token
            ):
                content = w.Commit(content.migration_id, forwarder.manager.lease_token)
            self._apply_actions(state, receiver, forwarder.receive(content))
        return state

    def _apply_actions(
        self, state: ModelState, name: str, actions: list[tuple[str, s.Action]]
    ) -> None:
        forwarder = state.forwarders[name]
        for _, action in actions:
            self._apply_action(state, name, forwarder, action)
        if self.bug == "target drops refusals":
            forwarder.manager.refused_up_to.clear()
            forwarder.manager.finished.clear()
        if self.bug == "outdated tail message accepted":
            for target in forwarder.manager.incoming.values():
                target.started_at_us = 0

    def _apply_action(
        self, state: ModelState, name: str, forwarder: ModelForwarder, action: s.Action
    ) -> None:
        match action:
            case s.Send(frame):
                self._send(state, ("t" if name == "g" else "g", frame))
                self._apply_mutation(state, name, forwarder, frame)
            case s.AskArbiter() | s.ConfirmVerdict():
                self._send(state, ("a", (name, action)))
            case s.AcceptMessage(item, answer_client):
                self._accept(state, forwarder, item, answer_client)
            case s.AnswerAccepted() | s.RejectMessage():
                record_answer(state, isinstance(action, s.AnswerAccepted))
            case s.FailMessage(message_id):
                end_message(state, forwarder, int(message_id), "failed")
            case s.FailAll():
                self._fail_all(state, forwarder)
            case _:
                forwarder.apply_action(action)

    def _accept(
        self,
        state: ModelState,
        forwarder: ModelForwarder,
        item: w.TransferredMessage,
        answer_client: bool,
    ) -> None:
        is_put_first = self.bug == "tail message overtakes" and not answer_client
        entry = ((int(item.id), False),)
        forwarder.queue = (
            (*entry, *forwarder.queue) if is_put_first else (*forwarder.queue, *entry)
        )
        if answer_client:
            record_answer(state, True)

    def _fail_all(self, state: ModelState, forwarder: ModelForwarder) -> None:
        if self.is_fault_free and forwarder.queue:
            state.violation = "messages are failed without a fault"
        for number, _ in forwarder.queue:
            end_message(state, forwarder, number, "failed")

    def _apply_mutation(
        self, state: ModelState, name: str, forwarder: ModelForwarder, frame: w.Frame
    ) -> None:
        """Apply the mutations that act when a frame is sent."""
        side: Any = forwarder.manager.outgoing.get(
            frame.migration_id
        ) or forwarder.manager.incoming.get(frame.migration_id)
        if self.bug == "source releases before commit" and isinstance(
            frame, w.CopyPart
        ):
            forwarder.queue = ()
        elif (
            self.bug == "target activates before commit"
            and isinstance(frame, w.CopyStored)
            and side.items
        ):
            forwarder.import_session(side.items, side.remembered_ids)
            forwarder.may_act, side.items = True, ()
        elif (
            self.bug == "source reclaims without refusal"
            and isinstance(frame, w.Abort)
            and side.pending_record is None
        ):
            self._apply_actions(
                state, name, [("", action) for action in side.reclaim(None, 0)]
            )

    def _send(self, state: ModelState, message: Hashable) -> None:
        interned = intern_message(message)
        # A second equal message has no effect beyond that of a duplicate.
        if interned not in state.net.in_transit:
            state.net = state.net.send(interned)

    def _start_call(
        self, state: ModelState, name: str, forwarder: ModelForwarder
    ) -> None:
        number, may_be_executed = forwarder.queue[0]
        is_expired = (
            number == 2
            and state.clock
            >= {"g": 2, "t": 3 if self.bug == "target expires late" else 1}[name]
        )
        if may_be_executed or is_expired:
            end_message(state, forwarder, number, "failed")
            return
        if state.outcomes.get(number) == "failed":
            state.violation = (
                f"{number} is sent to an endpoint by {name} after it failed"
            )
        forwarder.call_in_flight, forwarder.queue = (
            number,
            ((number, True), *forwarder.queue[1:]),
        )
        state.calls = (*state.calls, number)

    def _submit(self, state: ModelState, name: str) -> None:
        state.client = "waits"
        actions = state.forwarders[name].submit("3")
        if actions is None and state.may_act(name):
            actions = [("", s.AcceptMessage(w.TransferredMessage("3", "", 0, 100)))]
        self._apply_actions(
            state, name, [("", s.RejectMessage("3", 0))] if actions is None else actions
        )

    def _crash(
        self, state: ModelState, name: str, event: str, writes_reached_disk: bool
    ) -> ModelState:
        after = state.fork(name, event)
        after.forwarders[name].crash(writes_reached_disk)
        after.client = (
            "over" if name == "g" and after.client == "waits" else after.client
        )
        return after

    def _acquire_lease(self, state: ModelState, name: str) -> None:
        forwarder = state.forwarders[name]
        forwarder.incarnation += 1
        state.lease_state[name] = "held"
        self._apply_actions(
            state,
            name,
            forwarder.manager.set_lease(
                (1, forwarder.incarnation), forwarder.incarnation
            ),
        )


class FaultySessionMigrationModel(SessionMigrationModel):
    """The model for `python -m rainfall.model_checker`, which passes no arguments.

    Either side may crash, the target's lease may expire, a write may fail, and a message
    may arrive.
    """

    def __init__(self) -> None:
        super().__init__(crash_g=1, crash_t=1, lease_t=1, fault=1, arrive=1)
