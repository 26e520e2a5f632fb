"""The migration of one session, as a model for `rainfall.model_checker`.

It has two migration managers, the arbiter, an unreliable link between them, disks that
survive crashes, leases that expire, a message that arrives meanwhile and a call in
flight.

The messages must not be executed twice and have one order key, so the numbers of the
calls have to rise: a repetition shows, and so does a wrong order. From each state that
is reached the model also goes on without further faults: then one side has to own the
session, and each accepted message has to have an outcome.
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
    answered,
    concerns_arbiter,
    end,
    intern_message,
    name_of,
)

MUTATIONS = (
    "lets go early",
    "begins early",
    "forgets repeats",
    "fate untold",
    "tail overtakes",
    "stale commit",
    "takes back alone",
    "forgets refusals",
    "late due",
    "takes an old pass",
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
"""How often each event may happen. `late` is a time limit that is over, `due` a deadline
of message 2 (there are 3), and `amnesia` a restart of the arbiter without its journal.
"""
CRASH_EVENTS = ("crash_g", "crash_t", "lease_g", "lease_t", "due", "amnesia")
WRITE_OUTCOMES = (
    ("kept", True, True),
    ("not kept", False, False),
    ("not sure of", False, True),
)
"""The name of each outcome, whether it is reported as done, and whether the record
reached the disk.
"""


class SessionMigrationModel(LivenessModel):
    """A migration in which each event may happen so many times."""

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
        """Make a model.

        Args:
            bug: One of `MUTATIONS`, which the search has to find; empty: none.
            gone: The forwarder that may die for good; empty: none.
            messages: Messages of the session.
            most: Messages in transit.
            losses: Messages that may be lost.
            copies: Messages that may arrive twice.
            begin: Names of the steps that have happened at the start.
            counts: How often events may happen, by the names in `EVENT_BUDGET`.
        """
        self.begin, self.bug, self.gone, self.ids = (
            begin,
            bug,
            gone,
            tuple(range(1, messages + 1)),
        )
        self.net = Network(
            max_in_transit=most, losses_left=losses, duplicates_left=copies
        )
        if unknown := sorted(set(counts) - set(EVENT_BUDGET)):
            raise ValueError(f"no such counts: {unknown}")
        self.left = {
            **EVENT_BUDGET,
            **counts,
            "gone": int(bool(gone)),
            "leave": counts.get("arrive", 0),
        }
        self.calm = not gone and not any(counts.get(n) for n in CRASH_EVENTS)
        super().__init__()

    def start(self) -> ModelState:
        """Return the state after the steps of `begin`."""
        sites = {
            "g": ModelForwarder.of("g", True, self.ids),
            "t": ModelForwarder.of("t", False),
        }
        state = ModelState(self.net, sites, promised=self.ids, events_left=self.left)
        for step in self.begin:
            state = next(after for name, after in self.steps(state) if name == step)
        return state

    def steps(self, state: ModelState) -> Iterator[tuple[str, ModelState]]:
        """Yield what can happen next: the name of each step, and the state after it."""
        for _, name, after in self._all(state):
            yield name, after

    # What can happen

    def _all(self, state: ModelState) -> Iterator[Step]:
        for message, net in state.net.arrivals():
            assert isinstance(message, ModelMessage)
            to, what = message.content
            yield (
                "fair",
                f"{to} hears {name_of(what)}",
                self._hear(state.fork(to), net, to, what),
            )
        for message, net in state.net.lost():
            assert isinstance(message, ModelMessage)
            yield "foul", f"lost: {name_of(message.content)}", replace(state, net=net)
        for n, at in state.forwarders.items():
            yield from self._site(state, n, at) if at.alive else self._dead(state, n)
        yield from self._around(state)

    def _dead(self, state: ModelState, n: str) -> Iterator[Step]:
        if self.gone != n or state.events_left["gone"]:
            after = state.fork(n)
            cut = after.forwarders[n].restart()
            if cut is not None:
                end(after, after.forwarders[n], cut, "failed")
            self._join(after, n)
            yield "fair", f"{n} starts again", after
        if state.lease_state[n] == "held":
            yield (
                "fair",
                f"{n}'s lease is lost",
                replace(state, lease_state={**state.lease_state, n: "lost"}),
            )

    def _site(self, state: ModelState, n: str, at: ModelForwarder) -> Iterator[Step]:
        if at.writing:
            for how, ok, reached in WRITE_OUTCOMES:
                if ok or state.events_left["fault"]:
                    after = state.fork(n, "" if ok else "fault")
                    self._do(after, n, after.forwarders[n].write(ok, reached))
                    yield (
                        "fair" if ok else "foul",
                        f"{n}: {how} {name_of(at.writing[0])}",
                        after,
                    )
        for kind, event in at.events():
            if kind != "fair" and not state.events_left[kind]:
                continue
            after = state.fork(n, "" if kind == "fair" else kind)
            self._do(after, n, after.forwarders[n].tell(event))
            yield kind, f"{n}: {type(event).__name__}", after
        if at.call_in_flight is None and at.freezing:
            after = state.fork(n)
            self._do(
                after,
                n,
                after.forwarders[n].quiet(
                    self.bug == "fate untold", self.bug == "forgets repeats"
                ),
            )
            yield "fair", f"{n} is quiet", after
        if at.call_in_flight is not None:
            after = state.fork(n)
            end(after, after.forwarders[n], at.call_in_flight, "delivered")
            yield "fair", f"{n}'s call {at.call_in_flight} is delivered", after
        elif at.queue and state.may_act(n):
            after = state.fork(n)
            self._release(after, n, after.forwarders[n])
            yield "fair", f"{n} works on {at.queue[0][0]}", after
        if (
            n == "g"
            and not at.may_act
            and state.clock >= 2
            and any(q[0] == 2 for q in at.queue)
        ):
            after = state.fork(n)
            end(after, after.forwarders[n], 2, "failed")
            yield "fair", "g ends 2 by its time", after
        yield from self._harm(state, n, at)

    def _harm(self, state: ModelState, n: str, at: ModelForwarder) -> Iterator[Step]:
        if state.events_left[f"crash_{n}"]:
            yield "foul", f"{n} dies", self._die(state, n, f"crash_{n}", False)
            if at.writing:
                yield (
                    "foul",
                    f"{n} dies, its write done",
                    self._die(state, n, f"crash_{n}", True),
                )
        if self.gone == n and state.events_left["gone"]:
            yield "foul", f"{n} dies for good", self._die(state, n, "gone", False)
        if state.lease_state[n] == "held":
            if state.events_left[f"lease_{n}"]:
                after = state.fork(n, f"lease_{n}")
                after.lease_state[n] = "out"
                self._do(
                    after,
                    n,
                    after.forwarders[n].manager.set_lease(None, at.incarnation),
                )
                yield "foul", f"{n}'s lease is out by its clock", after
            return
        if state.lease_state[n] == "out":
            yield (
                "foul",
                f"{n}'s lease is lost",
                replace(state, lease_state={**state.lease_state, n: "lost"}),
            )
        after = state.fork(n)
        self._join(after, n)
        yield "fair", f"{n} joins again", after

    def _around(self, state: ModelState) -> Iterator[Step]:
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
            self._do(after, "g", after.forwarders["g"].give())
            yield "foul", "g gives", after

    def _client_steps(self, state: ModelState) -> Iterator[Step]:
        left = state.events_left
        if state.client == "new" and left["arrive"]:
            for n in "gt":
                if state.forwarders[n].alive and (n == "g" or state.may_act("t")):
                    after = state.fork(n, "arrive")
                    self._arrive(after, n)
                    yield "foul", f"3 is handed in at {n}", after
        if state.client == "waits" and left["leave"]:
            after = state.fork("g", "leave")
            after.client = "over"
            self._do(after, "g", after.forwarders["g"].tell(s.ClientDisconnected("3")))
            yield "foul", "3's client leaves", after

    def _target_steps(self, state: ModelState) -> Iterator[Step]:
        left = state.events_left
        t = state.forwarders["t"]
        if left["repeat"] and state.may_act("t"):
            after = state.fork("t", "repeat")
            if "0" not in t.remembered_ids:
                after.forwarders["t"].queue = (*t.queue, (0, False))
            yield "foul", "0 comes again at t", after
        if left["full"] and t.manager.incoming:
            after = state.fork("t", "full")
            for core in after.forwarders["t"].manager.incoming.values():
                core.out_of_capacity = True
            yield "foul", "t has no room", after

    def _arbiter_steps(self, state: ModelState) -> Iterator[Step]:
        if state.events_left["amnesia"]:
            after = state.fork(spend="amnesia")
            # Questions and answers end with the arbiter's process.
            in_transit = tuple(
                m for m in state.net.in_transit if not concerns_arbiter(m)
            )
            after.net = replace(state.net, in_transit=in_transit)
            after.decisions = ()
            after.epoch = 2
            yield "foul", "the arbiter forgets", after

    def _deadline_steps(self, state: ModelState) -> Iterator[Step]:
        if state.events_left["due"]:
            after = state.fork("t", "due")
            after.clock += 1
            if after.clock == 3 and state.forwarders["t"].alive:
                self._do(after, "t", after.forwarders["t"].tell(s.MessageExpired("2")))
            yield "foul", f"time {after.clock} of message 2", after

    # What follows

    def _hear(self, state: ModelState, net: Network, to: str, what: Any) -> ModelState:
        state.net = net
        if to == "a":
            arbiter = Arbiter(
                state.epoch, lambda name: state.lease_state[name] != "lost"
            )
            arbiter.decisions.update(state.decisions)
            asker, ask = what
            if isinstance(ask, s.ConfirmVerdict):
                arbiter.confirm(ask)
            elif state.lease_state[asker] == "held":
                self._send(state, (asker, arbiter.decide(ask, 0)[0]))
            state.decisions = tuple(arbiter.decisions.items())
        elif state.forwarders[to].alive:
            at = state.forwarders[to]
            if (
                self.bug == "stale commit"
                and isinstance(what, w.Commit)
                and at.manager.lease_token
            ):
                what = w.Commit(what.migration_id, at.manager.lease_token)
            self._do(state, to, at.hear(what))
        return state

    def _do(self, state: ModelState, n: str, done: list[tuple[str, s.Action]]) -> None:
        at = state.forwarders[n]
        for _, action in done:
            self._carry_out(state, n, at, action)
        if self.bug == "forgets refusals":
            at.manager.refused_up_to.clear()
            at.manager.finished.clear()
        if self.bug == "takes an old pass":
            for target in at.manager.incoming.values():
                target.started_at_us = 0

    def _carry_out(
        self, state: ModelState, n: str, at: ModelForwarder, action: s.Action
    ) -> None:
        match action:
            case s.Send(frame):
                self._send(state, ("t" if n == "g" else "g", frame))
                self._plant(state, n, at, frame)
            case s.AskArbiter() | s.ConfirmVerdict():
                self._send(state, ("a", (n, action)))
            case s.AcceptMessage(item, answer):
                self._accept(state, at, item, answer)
            case s.AnswerAccepted() | s.RejectMessage():
                answered(state, isinstance(action, s.AnswerAccepted))
            case s.FailMessage(name):
                end(state, at, int(name), "failed")
            case s.FailAll():
                self._fail_all(state, at)
            case _:
                at.carry_out(action)

    def _accept(
        self,
        state: ModelState,
        at: ModelForwarder,
        item: w.TransferredMessage,
        answer: bool,
    ) -> None:
        ahead = self.bug == "tail overtakes" and not answer
        one = ((int(item.id), False),)
        at.queue = (*one, *at.queue) if ahead else (*at.queue, *one)
        if answer:
            answered(state, True)

    def _fail_all(self, state: ModelState, at: ModelForwarder) -> None:
        if self.calm and at.queue:
            state.violation = "messages are ended for nothing"
        for number, _ in at.queue:
            end(state, at, number, "failed")

    def _plant(
        self, state: ModelState, n: str, at: ModelForwarder, frame: w.Frame
    ) -> None:
        """Apply the mutations that show where a frame is sent."""
        core: Any = at.manager.outgoing.get(
            frame.migration_id
        ) or at.manager.incoming.get(frame.migration_id)
        if self.bug == "lets go early" and isinstance(frame, w.CopyPart):
            at.queue = ()
        elif (
            self.bug == "begins early"
            and isinstance(frame, w.CopyStored)
            and core.items
        ):
            at.recall(core.items, core.remembered_ids)
            at.may_act, core.items = True, ()
        elif (
            self.bug == "takes back alone"
            and isinstance(frame, w.Abort)
            and core.pending_record is None
        ):
            self._do(state, n, [("", a) for a in core.reclaim(None, 0)])

    def _send(self, state: ModelState, message: Hashable) -> None:
        one = intern_message(message)
        # A second equal message would add nothing that a duplicate does not.
        if one not in state.net.in_transit:
            state.net = state.net.send(one)

    def _release(self, state: ModelState, n: str, at: ModelForwarder) -> None:
        number, ran = at.queue[0]
        up = (
            number == 2
            and state.clock >= {"g": 2, "t": 3 if self.bug == "late due" else 1}[n]
        )
        if ran or up:
            end(state, at, number, "failed")
            return
        if state.ends.get(number) == "failed":
            state.violation = f"{number} is sent by {n} after its end was told"
        at.call_in_flight, at.queue = number, ((number, True), *at.queue[1:])
        state.sent = (*state.sent, number)

    def _arrive(self, state: ModelState, n: str) -> None:
        state.client = "waits"
        done = state.forwarders[n].arrive("3")
        if done is None and state.may_act(n):
            done = [("", s.AcceptMessage(w.TransferredMessage("3", "", 0, 100)))]
        self._do(state, n, [("", s.RejectMessage("3", 0))] if done is None else done)

    def _die(self, state: ModelState, n: str, spend: str, reached: bool) -> ModelState:
        after = state.fork(n, spend)
        after.forwarders[n].crash(reached)
        after.client = "over" if n == "g" and after.client == "waits" else after.client
        return after

    def _join(self, state: ModelState, n: str) -> None:
        at = state.forwarders[n]
        at.incarnation += 1
        state.lease_state[n] = "held"
        self._do(state, n, at.manager.set_lease((1, at.incarnation), at.incarnation))


class FaultySessionMigrationModel(SessionMigrationModel):
    """The model for `python -m rainfall.model_checker`.

    Either side may crash, the target's lease may expire, and a write may fail.
    """

    def __init__(self) -> None:
        super().__init__(crash_g=1, crash_t=1, lease_t=1, fault=1, arrive=1)
