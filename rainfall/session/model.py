"""One session handed over, as a model for `rainfall.explore`: two desks, the arbiter,
an unsound link between them, disks that survive crashes, leases that run out, one
message in the middle, a call that is out.

The messages are of the kind that must never run twice, and one key's, so that the calls
that left must have rising numbers: a repeat and an overtaking both show. From each
state reached it also plays on with nothing more going wrong: then one side must end up
with the session, and every message taken on with its end.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from dataclasses import replace
from typing import Any

from rainfall.explore.net import Net
from rainfall.session import states as s
from rainfall.session import words as w
from rainfall.session.arbiter import Arbiter
from rainfall.session.model_fair import Fair, Step
from rainfall.session.model_site import Site
from rainfall.session.model_world import (
    Mail,
    World,
    answered,
    end,
    mail,
    name_of,
    to_arbiter,
)

BUGS = (
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
COUNTS = {
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
"""How often each may happen. A limit that is over is `late`; `due` takes 3; `amnesia`
is the arbiter's.
"""
HARM = ("crash_g", "crash_t", "lease_g", "lease_t", "due", "amnesia")
WRITES = (
    ("kept", True, True),
    ("not kept", False, False),
    ("not sure of", False, True),
)


class Sessions(Fair):
    """A hand-over with these counts of what may go wrong. `gone`: who may die for
    good.
    """

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
        """`begin`: steps that have happened already, by their names."""
        self.begin, self.bug, self.gone, self.ids = (
            begin,
            bug,
            gone,
            tuple(range(1, messages + 1)),
        )
        self.net = Net(most=most, losses=losses, copies=copies)
        if unknown := sorted(set(counts) - set(COUNTS)):
            raise ValueError(f"no such counts: {unknown}")
        self.left = {
            **COUNTS,
            **counts,
            "gone": int(bool(gone)),
            "leave": counts.get("arrive", 0),
        }
        self.calm = not gone and not any(counts.get(n) for n in HARM)
        super().__init__()

    def start(self) -> World:
        sites = {"g": Site.of("g", True, self.ids), "t": Site.of("t", False)}
        state = World(self.net, sites, promised=self.ids, left=self.left)
        for step in self.begin:
            state = next(after for name, after in self.steps(state) if name == step)
        return state

    def steps(self, state: World) -> Iterator[tuple[str, World]]:
        for _, name, after in self._all(state):
            yield name, after

    # What can happen

    def _all(self, state: World) -> Iterator[Step]:
        for message, net in state.net.arrivals():
            assert isinstance(message, Mail)
            to, what = message.what
            yield (
                "fair",
                f"{to} hears {name_of(what)}",
                self._hear(state.fork(to), net, to, what),
            )
        for message, net in state.net.lost():
            assert isinstance(message, Mail)
            yield "foul", f"lost: {name_of(message.what)}", replace(state, net=net)
        for n, at in state.sites.items():
            yield from self._site(state, n, at) if at.alive else self._dead(state, n)
        yield from self._around(state)

    def _dead(self, state: World, n: str) -> Iterator[Step]:
        if self.gone != n or state.left["gone"]:
            after = state.fork(n)
            cut = after.sites[n].restart()
            if cut is not None:
                end(after, after.sites[n], cut, "failed")
            self._join(after, n)
            yield "fair", f"{n} starts again", after
        if state.lease[n] == "held":
            yield (
                "fair",
                f"{n}'s lease is lost",
                replace(state, lease={**state.lease, n: "lost"}),
            )

    def _site(self, state: World, n: str, at: Site) -> Iterator[Step]:
        if at.writing:
            for how, ok, reached in WRITES:
                if ok or state.left["fault"]:
                    after = state.fork(n, "" if ok else "fault")
                    self._do(after, n, after.sites[n].write(ok, reached))
                    yield (
                        "fair" if ok else "foul",
                        f"{n}: {how} {name_of(at.writing[0])}",
                        after,
                    )
        for kind, event in at.events():
            if kind != "fair" and not state.left[kind]:
                continue
            after = state.fork(n, "" if kind == "fair" else kind)
            self._do(after, n, after.sites[n].tell(event))
            yield kind, f"{n}: {type(event).__name__}", after
        if at.out is None and at.freezing:
            after = state.fork(n)
            self._do(
                after,
                n,
                after.sites[n].quiet(
                    self.bug == "fate untold", self.bug == "forgets repeats"
                ),
            )
            yield "fair", f"{n} is quiet", after
        if at.out is not None:
            after = state.fork(n)
            end(after, after.sites[n], at.out, "delivered")
            yield "fair", f"{n}'s call {at.out} is delivered", after
        elif at.queue and state.acts(n):
            after = state.fork(n)
            self._release(after, n, after.sites[n])
            yield "fair", f"{n} works on {at.queue[0][0]}", after
        if (
            n == "g"
            and not at.runs
            and state.clock >= 2
            and any(q[0] == 2 for q in at.queue)
        ):
            after = state.fork(n)
            end(after, after.sites[n], 2, "failed")
            yield "fair", "g ends 2 by its time", after
        yield from self._harm(state, n, at)

    def _harm(self, state: World, n: str, at: Site) -> Iterator[Step]:
        if state.left[f"crash_{n}"]:
            yield "foul", f"{n} dies", self._die(state, n, f"crash_{n}", False)
            if at.writing:
                yield (
                    "foul",
                    f"{n} dies, its write done",
                    self._die(state, n, f"crash_{n}", True),
                )
        if self.gone == n and state.left["gone"]:
            yield "foul", f"{n} dies for good", self._die(state, n, "gone", False)
        if state.lease[n] == "held":
            if state.left[f"lease_{n}"]:
                after = state.fork(n, f"lease_{n}")
                after.lease[n] = "out"
                self._do(after, n, after.sites[n].desk.lease(None, at.life))
                yield "foul", f"{n}'s lease is out by its clock", after
            return
        if state.lease[n] == "out":
            yield (
                "foul",
                f"{n}'s lease is lost",
                replace(state, lease={**state.lease, n: "lost"}),
            )
        after = state.fork(n)
        self._join(after, n)
        yield "fair", f"{n} joins again", after

    def _around(self, state: World) -> Iterator[Step]:
        left, t = state.left, state.sites["t"]
        if left["give"] and state.acts("g") and not state.sites["g"].desk.keys:
            after = state.fork("g", "give")
            self._do(after, "g", after.sites["g"].give())
            yield "foul", "g gives", after
        if state.client == "new" and left["arrive"]:
            for n in "gt":
                if state.sites[n].alive and (n == "g" or state.acts("t")):
                    after = state.fork(n, "arrive")
                    self._arrive(after, n)
                    yield "foul", f"3 is handed in at {n}", after
        if state.client == "waits" and left["leave"]:
            after = state.fork("g", "leave")
            after.client = "over"
            self._do(after, "g", after.sites["g"].tell(s.Left("3")))
            yield "foul", "3's client leaves", after
        if left["repeat"] and state.acts("t"):
            after = state.fork("t", "repeat")
            if "0" not in t.memory:
                after.sites["t"].queue = (*t.queue, (0, False))
            yield "foul", "0 comes again at t", after
        if left["full"] and t.desk.taking:
            after = state.fork("t", "full")
            for core in after.sites["t"].desk.taking.values():
                core.full = True
            yield "foul", "t has no room", after
        if left["amnesia"]:
            after = state.fork(spend="amnesia")
            calls = tuple(
                m for m in state.net.bag if to_arbiter(m)
            )  # they end with its process
            after.net = replace(
                state.net, bag=tuple(m for m in state.net.bag if m not in calls)
            )
            after.decided, after.epoch = (), 2
            yield "foul", "the arbiter forgets", after
        if left["due"]:
            after = state.fork("t", "due")
            after.clock += 1
            if after.clock == 3 and t.alive:
                self._do(after, "t", after.sites["t"].tell(s.Due("2")))
            yield "foul", f"time {after.clock} of message 2", after

    # What follows

    def _hear(self, state: World, net: Net, to: str, what: Any) -> World:
        state.net = net
        if to == "a":
            arbiter = Arbiter(state.epoch, lambda name: state.lease[name] != "lost")
            arbiter.decided.update(state.decided)
            asker, ask = what
            if isinstance(ask, s.Confirm):
                arbiter.confirm(ask)
            elif state.lease[asker] == "held":
                self._send(state, (asker, arbiter.rule(ask, 0)[0]))
            state.decided = tuple(arbiter.decided.items())
        elif state.sites[to].alive:
            at = state.sites[to]
            if (
                self.bug == "stale commit"
                and isinstance(what, w.Commit)
                and at.desk.life
            ):
                what = w.Commit(what.hand, at.desk.life)
            self._do(state, to, at.hear(what))
        return state

    def _do(self, state: World, n: str, done: list[tuple[str, s.Action]]) -> None:
        at, other = state.sites[n], "t" if n == "g" else "g"
        for _, action in done:
            match action:
                case s.Send(frame):
                    self._send(state, (other, frame))
                    self._plant(state, n, at, frame)
                case s.Ask() | s.Confirm():
                    self._send(state, ("a", (n, action)))
                case s.Take(item, answer):
                    ahead = self.bug == "tail overtakes" and not answer
                    one = ((int(item.id), False),)
                    at.queue = (*one, *at.queue) if ahead else (*at.queue, *one)
                    if answer:
                        answered(state, True)
                case s.Answer() | s.Refuse():
                    answered(state, isinstance(action, s.Answer))
                case s.Fail(name):
                    end(state, at, int(name), "failed")
                case s.FailAll():
                    if self.calm and at.queue:
                        state.why = "messages are ended for nothing"
                    for number, _ in at.queue:
                        end(state, at, number, "failed")
                case _:
                    at.carry_out(action)
        if self.bug == "forgets refusals":
            at.desk.floors.clear()
            at.desk.past.clear()
        if self.bug == "takes an old pass":
            for taker in at.desk.taking.values():
                taker.born_us = 0

    def _plant(self, state: World, n: str, at: Site, frame: w.Frame) -> None:
        """Bugs that show where a frame leaves."""
        core: Any = at.desk.giving.get(frame.hand) or at.desk.taking.get(frame.hand)
        if self.bug == "lets go early" and isinstance(frame, w.Copy):
            at.queue = ()
        elif self.bug == "begins early" and isinstance(frame, w.Copied) and core.items:
            at.recall(core.items, core.memory)
            at.runs, core.items = True, ()
        elif (
            self.bug == "takes back alone"
            and isinstance(frame, w.Drop)
            and core.record is None
        ):
            self._do(state, n, [("", a) for a in core.back(None, 0)])

    def _send(self, state: World, message: Hashable) -> None:
        one = mail(message)
        if (
            one not in state.net.bag
        ):  # a second one alike adds nothing that a copy does not
            state.net = state.net.send(one)

    def _release(self, state: World, n: str, at: Site) -> None:
        number, ran = at.queue[0]
        up = (
            number == 2
            and state.clock >= {"g": 2, "t": 3 if self.bug == "late due" else 1}[n]
        )
        if ran or up:
            end(state, at, number, "failed")
            return
        if state.ends.get(number) == "failed":
            state.why = f"{number} is sent by {n} after its end was told"
        at.out, at.queue = number, ((number, True), *at.queue[1:])
        state.sent = (*state.sent, number)

    def _arrive(self, state: World, n: str) -> None:
        state.client = "waits"
        done = state.sites[n].arrive("3")
        if done is None and state.acts(n):
            done = [("", s.Take(w.Item("3", "", 0, 100)))]
        self._do(state, n, [("", s.Refuse("3", 0))] if done is None else done)

    def _die(self, state: World, n: str, spend: str, reached: bool) -> World:
        after = state.fork(n, spend)
        after.sites[n].crash(reached)
        after.client = "over" if n == "g" and after.client == "waits" else after.client
        return after

    def _join(self, state: World, n: str) -> None:
        at = state.sites[n]
        at.life += 1
        state.lease[n] = "held"
        self._do(state, n, at.desk.lease((1, at.life), at.life))


class Rough(Sessions):
    """For `python -m rainfall.explore`: either side may die, the taker's lease run
    out, a write fail.
    """

    def __init__(self) -> None:
        super().__init__(crash_g=1, crash_t=1, lease_t=1, fault=1, arrive=1)
