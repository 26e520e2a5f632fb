"""What all parts of the engine share: its state, events on their way to the next round,
targets by number.
"""

from __future__ import annotations

import asyncio
import logging
import resource
import time
from collections import Counter, OrderedDict
from collections.abc import Callable
from contextlib import suppress
from typing import TYPE_CHECKING

from rainfall.dispatch import (
    NEVER_EXECUTED,
    AttemptFinished,
    Dispatcher,
    EndpointEntry,
    Event,
    MessageRestored,
    Outcome,
    Settings,
    TimerExpired,
)
from rainfall.net import admin
from rainfall.net.admin import MOST_CALLS, Figures
from rainfall.net.client import Call, Pool
from rainfall.net.config import Config, Host, HostList
from rainfall.net.discovery import Notices, Watch
from rainfall.net.handover import Lock, Predecessor, Successor
from rainfall.net.reconfigure import InForce
from rainfall.net.server import ACCEPT_TURNS, ACCEPTS, Asker, Handed, Server
from rainfall.net.store import Store

if TYPE_CHECKING:
    from rainfall.net.fleet import Fleet

# least time between rounds: what goes to one target in one round travels together
ROUND_US = 5_000
AWAY_S = "1"  # when to come again after a refusal at the door
FULL_LOG_US = 10_000_000
TICK_S = 0.1
MOST_GONE = (
    8_192  # targets remembered by name that have left a list of 44,000; 180 bytes each
)
FORGET_STEP = (
    MOST_GONE // 8
)  # forgotten at once, so that not each new name looks through all of them
MOST_RECENT = 2_048  # messages remembered by id after their end; 100 bytes each
# heard of, and still taken on for: 44,000 and those that left; 70 bytes each
MOST_DESTINATIONS = 100_000
OWN = 24
"""Descriptors that the process holds beside clients, operators' calls and calls to
targets: 3 standard ones; the loop's 3; the clients' listener, the platform's own of it,
the operators'; the journal, its new file, its folder; the lock and its folder; the
handover's listener and connection; discovery's and the notices' connections, each with
the one before it that is just closing; the configuration read again; some to spare.
"""
OPERATORS = 1 + MOST_CALLS + ACCEPT_TURNS * admin.ACCEPTS
"""And those of the operators' address."""
SECOND = 1_000_000
log = logging.getLogger("rainfall.engine")
trace = logging.getLogger("rainfall.trace")
"""A line for each message's arrival, send and end; off unless the configuration asks
(net/logjson.py).
"""
trace.setLevel(logging.WARNING)


class Clock:
    """Microseconds of Unix time, so that the journal's times hold after a restart, but
    never going back.
    """

    def __init__(self) -> None:
        self.base = time.time_ns() - time.monotonic_ns()

    def __call__(self) -> int:
        return (self.base + time.monotonic_ns()) // 1000


def level(config: Config) -> str:
    """What is in force; another in a file waits for a start."""
    return "power" if config.power else "process"


class Desk:
    """The engine's parts are classes over this one, for reading apart; `Engine` is all
    of them, and sets what is declared here.
    """

    config: Config
    clock: Clock
    lock: Lock | None
    successor: Successor | None
    predecessor: Predecessor
    store: Store
    dispatcher: Dispatcher
    server: Server
    pool: Pool
    watch: Watch
    notices: Notices
    figures: Figures
    force: InForce
    fleet: Fleet | None
    """None where the configuration has none: then nothing of it is imported."""
    hosts: dict[str, Host]
    numbers: dict[str, int]
    names: dict[int, str]
    numbered: int
    destinations: set[int]
    batches: dict[str, int]
    apart: set[str]
    arriving: dict[str, tuple[Handed, Asker]]
    """Handed in, and not yet decided on."""
    backlog: dict[str, MessageRestored]
    """Messages of before the start that the module has not been told of yet."""
    unanswered: set[str]
    """Taken on, and not yet kept as the level promises."""
    withdrawing: set[str]
    """Of these, those whose client left: until their sync is over nobody may hand the
    same id in.
    """
    events: list[Event]
    recent: OrderedDict[str, None]
    counts: Counter[str]
    remote: dict[tuple[str, int], tuple[int, int]]
    """Calls still out at the process before: their targets, and when they were sent."""
    later: list[Callable[[], None]]
    """Asked while all stands still for a handover."""
    scheduled: bool
    frozen: bool
    closed: bool
    serving: bool
    holding: bool
    again: bool
    round_us: int
    full_us: int
    fault_us: int
    leaving_s: float
    lag_s: float
    swept_s: float
    summed_s: float
    done: asyncio.Event

    def round(self) -> None:
        """Gather, decide, carry out."""
        raise NotImplementedError

    def recall(self, most: int | None = None) -> None:
        """Tell the module of so many messages of before, or of all."""
        raise NotImplementedError

    def recall_some(self) -> None:
        """A first batch of them."""
        raise NotImplementedError

    def recall_more(self) -> None:
        """The next batch, and again until none is left."""
        raise NotImplementedError

    # Events

    def post(self, event: Event) -> None:
        if self.closed:
            # calls that end as the process does are left open in the journal: they may
            # have run
            return
        if self.predecessor.given:
            if isinstance(event, AttemptFinished):
                self.predecessor.ended(event)
            return
        if self.frozen and isinstance(event, AttemptFinished):
            self.book(event)
            self.store.flush()
            return
        self.events.append(event)
        self.schedule()

    def schedule(self) -> None:
        if self.scheduled or self.frozen or self.holding:
            return
        self.scheduled = True
        loop = asyncio.get_running_loop()
        wait = self.round_us + ROUND_US - self.clock()
        if wait <= 0:
            loop.call_soon(self.round)
        else:
            loop.call_later(wait / SECOND, self.round)

    def set_timer(self, at_us: int, token: str) -> None:
        asyncio.get_running_loop().call_later(
            max(0, at_us - self.clock()) / SECOND, self.timer, at_us, token
        )

    def timer(self, at_us: int, token: str) -> None:
        """A loop's timers may be a little early; the module's never are, or it would
        not ask for another.
        """
        if self.clock() < at_us:
            asyncio.get_running_loop().call_later(0.001, self.timer, at_us, token)
        else:
            self.post(TimerExpired(token))

    async def settled(self, patience_s: float | None = None) -> None:
        """All that was decided is kept, and has left."""
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.store.commit(lambda ok: None if turn.done() else turn.set_result(None))
        until = None if patience_s is None else time.monotonic() + patience_s
        while not turn.done() and (until is None or time.monotonic() < until):
            self.store.log.tend()
            await asyncio.wait({turn}, timeout=TICK_S)

    # Outcomes

    def book(self, event: AttemptFinished) -> None:
        """Journal an outcome."""
        self.counts[event.outcome.value] += 1
        m = self.store.messages.get(event.message_id)
        if m is None:
            return
        if event.message_closed or event.outcome is Outcome.DELIVERED:
            good = event.outcome is Outcome.DELIVERED
            self.figures.end(
                self.figures.fulfilled if good else self.figures.faulted, m.class_name
            )
            self.store.over(m.id)
            self.ended(m.id, event.outcome.value)
        else:
            self.store.outcome(m, event.attempt, event.outcome not in NEVER_EXECUTED)
            if self.fleet is not None and event.outcome is not Outcome.NOT_SENT:
                self.fleet.wanted(m.destination, m.class_name, m.tenant)

    def book_waiting(self) -> None:
        """Journal the outcomes that wait for a round, where none may read them any
        more.
        """
        for event in self.events:
            if isinstance(event, AttemptFinished):
                self.book(event)

    def left(self, call: Call) -> None:
        """A call's first byte was handed to its socket: this moment is the one that is
        told.
        """
        at_ns = time.monotonic_ns()
        if self.fleet is not None:
            self.fleet.left(call)
        if trace.isEnabledFor(logging.INFO):
            for item in call.open.values():
                trace.info(
                    "sent",
                    extra={
                        "message_id": item.id,
                        "attempt": item.attempt,
                        "target": self.names.get(call.target, ""),
                        "destination": call.place[0],
                        "t_ns": at_ns,
                    },
                )

    def ended(self, name: str, how: str) -> None:
        """Remember for a while what has had its end: ids are new each time, so one seen
        again is a copy.
        """
        if trace.isEnabledFor(logging.INFO):
            trace.info("ended", extra={"message_id": name, "outcome": how})
        self.recent[name] = None
        if len(self.recent) > MOST_RECENT:
            self.recent.popitem(last=False)

    # Targets

    def entries(self, told: HostList) -> tuple[EndpointEntry, ...]:
        return tuple(h.entry(self.numbered_as(h.name)) for h in told.hosts)

    def take_list(self, told: HostList) -> None:
        if told.whole:
            self.hosts = {}
            if len(self.destinations) > MOST_DESTINATIONS:
                self.destinations = set()
        for h in told.hosts:
            self.destinations.add(h.destination)
            if h.health == "removed":
                self.hosts.pop(h.name, None)
            else:
                self.hosts[h.name] = h
        self.point_pool()
        self.forget_gone()

    def point_pool(self) -> None:
        """Who may be called: asked again before a call's first byte."""
        self.pool.serving(
            {
                self.numbered_as(h.name): h.dial
                for h in self.hosts.values()
                if h.health == "up" and h.name not in self.store.detached
            }
        )

    def number(self, name: str) -> int:
        """The module's number for a target that may be in no list. Those long gone are
        forgotten.
        """
        self.forget_gone()
        return self.numbered_as(name)

    def forget_gone(self) -> None:
        """Past MOST_GONE of them, the oldest names that are in no list. Not while a
        list is taken in: until that is whole, each of its names looks like one that is
        gone.
        """
        if len(self.numbers) <= len(self.hosts) + MOST_GONE:
            return
        gone = [
            n
            for n in self.numbers
            if n not in self.hosts and n not in self.store.detached
        ]
        for name in gone[: max(0, len(gone) - MOST_GONE + FORGET_STEP)]:
            del self.names[self.numbers.pop(name)]

    def numbered_as(self, name: str) -> int:
        """The module's number for a target, a new one where it has none."""
        if name not in self.numbers:
            self.numbered += 1
            self.numbers[name] = self.numbered
            self.names[self.numbered] = name
        return self.numbers[name]

    # Settings

    def derive(self, s: Settings) -> None:
        self.batches = {k.name: k.max_batch_size for k in s.destination_kinds}
        self.apart = {k.name for k in s.destination_kinds if k.endpoint_scoped}

    def share_sockets(self, sockets: int) -> None:
        """A share of the descriptors for each side. What all others need is left, also
        while clients come faster than room is made; clients that ask use a third at
        most (TERMS), and those that do not are let go for them. A limit of the process
        that is lower than the configuration's goes before it.
        """
        with suppress(OSError, ValueError):
            limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
            sockets = (
                sockets if limit == resource.RLIM_INFINITY else min(sockets, limit)
            )
        self.pool.most = max(8, sockets // 3)
        others = self.pool.most + OWN + OPERATORS + ACCEPT_TURNS * ACCEPTS
        self.server.most = max(8, sockets // 4, min(sockets // 2, sockets - others))

    def ready(self) -> bool:
        """The one truth for clients and operators: not before the journal is read, nor
        while leaving.
        """
        return self.serving and not self.leaving_s
