"""This forwarder as a member of the fleet: joins, beats, watches for changes, and keeps
its calls within what its lease and its shares allow. Imported only where the
configuration has `fleet`; see docs/parts/node.md.

One path on which authority moves: the answer to a beat. The watch only says that a beat
is worth it.
"""

from __future__ import annotations

import asyncio
import logging
import random
import re
import secrets
import time
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any, Protocol

import msgspec

from rainfall.dispatch import Dispatcher, Event, QuotaChanged
from rainfall.lease.holder import Ask, Holder
from rainfall.lease.token import NEVER, Token
from rainfall.net.config import Config
from rainfall.net.connection import Call
from rainfall.net.discovery import Client
from rainfall.net.fleet_beat import Answer, Refusal, Told, body
from rainfall.net.fleet_books import Books
from rainfall.net.fleet_config import FleetConfig
from rainfall.net.fleet_file import Keep, Records
from rainfall.net.fleet_talk import Talk, now_us
from rainfall.net.http import BadAnswer
from rainfall.net.store import Store

MOST_RETRY_MS = 60_000  # a longer "not now" is not to be believed: no lease is longer
AGAIN_S = 1.0  # before a record that could not be written is tried again
SAME_LOG_S = 10.0  # between two lines that say the same of a service that stays away
PLAIN = re.compile("0|[1-9][0-9]{0,9}", re.ASCII)  # a destination
log = logging.getLogger("rainfall.fleet")


class Forwarder(Protocol):
    """What a member of a fleet needs of the forwarder that it is part of."""

    config: Config
    dispatcher: Dispatcher
    store: Store

    @property
    def clock(self) -> Callable[[], int]:
        """The module's clock, in microseconds."""
        ...

    def post(self, event: Event) -> None:
        """Tell the module of an event in the next round."""
        ...


class Fleet:
    """`open` before the first round, `pause` and `resume` around a handover, `close` at
    the end.
    """

    def __init__(self, config: FleetConfig, forwarder: Forwarder) -> None:
        self.config, self.forwarder = config, forwarder
        self.dial = str(config.listen or forwarder.config.listen)
        self.random = random.Random(
            secrets.randbits(64)
        )  # those that start as one must not act as one
        self.run = secrets.token_hex(8)
        self.keep = Keep(forwarder.config.state, forwarder.config.power)
        self.shown, records = self.keep.read()
        self.books = Books(config.budgets, config.drift, records, now_us())
        self.holder = Holder(config.lease_us, config.drift, self.random.random)
        self.holder.seen = self.shown
        self.talk = Talk(self.holder, self.random, self.beat)
        self.state = "joining"
        self.list: list[int] | None = None
        self.counts: Counter[str] = Counter()
        self.spent_us, self.tried_s, self.logged_s = 0, 0.0, -SAME_LOG_S

    # From the start to the end

    def open(self) -> None:
        """Write what a successor goes by, tell the module, and begin to beat."""
        # kept from here on, while little is held
        self.forwarder.dispatcher.state.queues.count_by_demand()
        self.write(self.books.standing())
        self.tell()
        self.talk.begin(self.config.service)

    def pause(self) -> None:
        """Nothing leaves from here on; what a successor needs is on disk. A lease that
        is not renewed runs out, or is taken over by who shows its token.
        """
        self.talk.end()
        if self.books.kept:
            self.write(self.books.close(now_us()))
            self.books.kept = False

    def resume(self) -> None:
        """No successor came, nor wrote or sent anything: all is as it was."""
        self.books.reopen()
        self.holder.next_renewal_us = 0
        self.open()

    def write(self, records: Records) -> None:
        self.written(
            self.keep.write(*self.keep.made(self.holder.token or self.shown, records))
        )

    async def kept(self) -> None:
        """What is told binds a successor, too, before this process acknowledges it."""
        made = self.keep.made(self.holder.token or self.shown, self.books.standing())
        # A sync takes its time, and clients wait.
        self.written(
            await asyncio.to_thread(self.keep.write, *made)
            if self.keep.synced
            else self.keep.write(*made)
        )

    def written(self, fault: OSError | None) -> None:
        self.books.kept, self.tried_s = fault is None, time.monotonic()
        if fault is not None:
            log.error(
                "what a successor needs cannot be kept, so no budget's call leaves: %s",
                fault,
            )

    def reload(self, config: FleetConfig) -> None:
        """Another address of the service, other reserves, another lease, between two
        rounds.
        """
        old, self.config = self.config, config
        self.holder.ttl_us = config.lease_us
        for destination in self.books.configure(config.budgets, now_us()):
            self.forwarder.post(QuotaChanged(destination, 0, 0, 0, 0))
        self.write(self.books.standing())
        self.tell()
        if config.service != old.service:
            self.talk.end()
            self.holder.next_renewal_us = 0
            self.talk.begin(self.config.service)

    # The module and the last gate

    def tell(self) -> None:
        """Each budget as it stands, and a line for what is not as it was."""
        now = now_us()
        for destination in sorted(self.books.accounts):
            ahead_us = self.forwarder.clock() - now
            self.forwarder.post(self.books.event(destination, now, ahead_us))
        self.note(now)

    def leaves(self, call: Call) -> int:
        """Asked with nothing between it and the first byte: see `Books.leaves`."""
        self.spent_us = now_us()
        return self.books.leaves(call.place[0], self.spent_us)

    def left(self, call: Call) -> None:
        self.books.left(call.place[0], self.spent_us, now_us())

    def wanted(self, destination: int, class_name: str, tenant: str | None) -> None:
        self.books.wanted(destination, part(class_name, tenant), now_us())

    def tick(self) -> None:
        """Ten times a second."""
        now = now_us()
        if not self.books.kept and time.monotonic() - self.tried_s >= AGAIN_S:
            self.write(self.books.standing())
            self.tell()
        piles = self.forwarder.dispatcher.state.queues.by_destination
        if not self.talk.patient and self.books.grown(
            {d: len(pile) for d, pile in piles.items()}, now
        ):
            self.talk.kicked.set()
        self.note(now)

    def waiting(self) -> dict[int, Counter[str]]:
        """Messages held unsent, by destination and by whose demand they are."""
        return {
            destination: Counter(
                {part(*demand): count for demand, count in counts.items()}
            )
            for destination, counts in self.forwarder.dispatcher.state.queues.count_by_demand().items()
        }

    # Beats

    async def beat(self, client: Client) -> None:
        """Join or renew: one call, and what its answer changes."""
        needs = self.books.needs(self.waiting(), now_us())
        ask = self.holder.asked(
            now_us()
        )  # the lease counts from before the request leaves
        if ask.token is None:
            more: dict[str, Any] = {}
            if (
                self.shown != NEVER
            ):  # what was had before, here or in the process before, is over
                more = {"shown": self.shown.told(), "keeps": self.books.keeps()}
        else:  # of the members that are known, only changes are told
            more = {
                "list": self.list,
                "holds": self.books.holds(ask.token) if self.books.kept else {},
            }
        data = body(self.config, self.dial, self.run, ask, needs, more)
        patience_s = max(0.2, self.holder.ttl_us / 3e6)
        try:
            reader = await client.ask("POST", "/v1/fleet/beat", patience_s, data)
            if reader.status not in (200, 409):
                raise BadAnswer(
                    f"status {reader.status} {reader.body[:300].decode(errors='replace')}"
                )
            if reader.status == 409:
                self.refused(ask, msgspec.json.decode(reader.body, type=Refusal))
                return
            answer = msgspec.json.decode(reader.body, type=Answer)
            if answer.sent != ask.sent:
                raise BadAnswer(f"an answer to {answer.sent}, not to {ask.sent}")
            shares = {
                int(name): told
                for name, told in answer.shares.items()
                if PLAIN.fullmatch(name)
            }
        except (
            OSError,
            TimeoutError,
            BadAnswer,
            ValueError,
            msgspec.MsgspecError,
        ) as error:
            self.holder.failed(now_us())
            self.away(error)
            return
        await self.answered(ask.sent, answer, shares)

    async def answered(
        self, sent: int, answer: Answer, shares: Mapping[int, Told]
    ) -> None:
        token = Token(*answer.token)
        joins = token != self.holder.token
        if not self.holder.answered(now_us(), sent, token, answer.ttl_ms * 1000):
            return
        if not self.talk.reachable or joins:
            log.info(
                "member %s of the fleet under token %s, the service answers",
                self.config.name,
                token.told(),
                extra={"token": token.told(), "ttl_ms": answer.ttl_ms},
            )
        self.state, self.list, self.talk.version = "alive", answer.list, answer.version
        self.talk.reachable, self.talk.patient = True, False
        self.counts["beats"] += 1
        shrank = self.books.told(
            token,
            {d: msgspec.structs.asdict(s) for d, s in shares.items()},
            self.holder.valid_until_us,
            now_us(),
        )
        await self.kept()
        self.tell()
        self.talk.beaten.set()
        if shrank:
            # the service hands on what was given up once it hears that it binds
            self.talk.kicked.set()

    def refused(self, ask: Ask, told: Refusal) -> None:
        """Not now: what is had runs out as it would. Or lost."""
        now = now_us()
        self.talk.reachable = self.talk.patient = True
        if told.error != "lost" or ask.token is None:
            self.holder.held(now, ask.sent, min(told.retry_ms, MOST_RETRY_MS) * 1000)
            if self.state != "held":
                log.warning(
                    "the name %s is held for %d ms more, or not known to be free: %s",
                    self.config.name,
                    told.retry_ms,
                    "; ".join(told.faults),
                )
            self.state = "held" if self.holder.token is None else self.state
            return
        self.shown = (
            ask.token
        )  # not to get the name sooner, but so that its reserve is not counted twice
        self.holder.refused(
            now, ask.sent, NEVER if told.seen is None else Token(*told.seen)
        )
        self.fence(now, "; ".join(told.faults))

    def fence(self, now: int, why: str) -> None:
        """The lease is over: whatever rests on it stops here, and the process joins as
        a new member.
        """
        self.counts["lost"] += 1
        self.state, self.list = "lost", None
        self.books.fenced(now)
        log.error(
            "the lease is lost, only reserves act: %s",
            why,
            extra={"seen": self.holder.seen.told()},
        )
        self.tell()

    def away(self, error: BaseException) -> None:
        now_s = time.monotonic()
        if self.talk.reachable or now_s - self.logged_s >= SAME_LOG_S:
            self.logged_s = now_s
            left_ms = max(0, self.holder.valid_until_us - now_us()) // 1000
            log.warning(
                "the list service does not answer, the lease is good for %d ms: %s",
                left_ms,
                str(error) or type(error).__name__,
            )
        self.talk.reachable, self.talk.patient = False, True

    # Figures

    def note(self, now: int) -> None:
        for destination, f in self.books.changes(now):
            log.info(
                "budget of destination %d: %d of %d calls in %d ms by %s for %d ms, reserve %d, used %d:"
                " %s",
                destination,
                f["share"],
                f["whole"],
                f["span_ms"],
                f["by"],
                f["valid_for_ms"],
                f["reserve"],
                f["used"],
                f["why"],
                extra={"destination": destination, **f},
            )

    def told(self) -> dict[str, Any]:
        now, holder = now_us(), self.holder
        return {
            "name": self.config.name,
            "site": self.config.site,
            "state": self.state,
            "token": holder.token.told() if holder.token is not None else None,
            "valid_for_ms": max(0, holder.valid_until_us - now) // 1000
            if holder.token
            else 0,
            "service": {
                "address": str(self.config.service),
                "answers": self.talk.reachable,
            },
            "beats": self.counts["beats"],
            "lost": self.counts["lost"],
            "budgets": self.books.figures(now),
        }


def part(class_name: str, tenant: str | None) -> str:
    """Whose demand it is, in the words of a beat."""
    return f"{class_name}/{tenant}" if tenant else class_name
