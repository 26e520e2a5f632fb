"""The one loop that owns the Dispatcher: gathers events into rounds, carries out its
actions in order.

It decides nothing. In each round what must be journaled is written before anything
leaves that it precedes: a message before its 202, an attempt before its call's first
byte, an end before its notice.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import Counter, OrderedDict
from dataclasses import replace
from http import HTTPStatus

from rainfall.dispatch import (
    Action,
    AttemptFinished,
    CancelAttempt,
    CloseIdleConnections,
    Dispatcher,
    Event,
    FailMessage,
    Idempotency,
    LogNote,
    MessageClass,
    MessageReceived,
    NotificationAcknowledged,
    Outcome,
    RecordOutage,
    RejectMessage,
    SendMessage,
    SetTimer,
    SubscribeEndpointList,
)
from rainfall.dispatch.idempotency import TRANSIT_SLACK_US
from rainfall.net.admin import Figures
from rainfall.net.client import Call, Item, Pool, fits
from rainfall.net.config import Config
from rainfall.net.desk import (
    AWAY_S,
    FULL_LOG_US,
    MOST_GONE,
    MOST_RECENT,
    SECOND,
    Clock,
    level,
    log,
    trace,
)
from rainfall.net.discovery import NO_VERSION, Notices, Watch
from rainfall.net.handover import Lock, Predecessor, Successor
from rainfall.net.reconfigure import InForce, digest
from rainfall.net.server import Asker, Handed, Server
from rainfall.net.starting import LAG_LOG_S, Starting
from rainfall.net.store import Store, Taken, Worker

__all__ = ["MOST_GONE", "MOST_RECENT", "RECALL", "Clock", "Engine"]
RECALL = 100  # messages of before that the module is told of in one round, ...
RECALL_S = 0.01  # ... and between two such rounds
# a call ends so much before its message's time at most where the loop is late, ...
MOST_SOONER_US = 150_000
SOONER_PART = 4  # ... and by no more than this part of what is left of it
# before a call that could not leave for want of its record is decided on again; doubles
UNKEPT_S = 0.25


def sync_thread() -> Worker:
    from rainfall.journal.worker import (
        SyncThread,
    )  # a thread that only the level `power` has

    return SyncThread()


class Engine(Starting):
    """With a `successor`, it takes over from a process that still runs: nothing is
    written until that has let go of the journal. The clock, the numbers of targets and
    what the module knows go on from there.
    """

    def __init__(
        self,
        config: Config,
        lock: Lock | None = None,
        successor: Successor | None = None,
    ) -> None:
        self.config, self.clock, self.lock, self.successor = (
            config,
            Clock(),
            lock,
            successor,
        )
        s = replace(config.settings, notifications_acknowledged=True)
        self.store = Store(
            config.state,
            config.disk_bytes,
            write=successor is None,
            base_us=self.clock.base // 1000,
            worker=sync_thread() if config.power else None,
        )
        if self.store.clock is not None:
            self.clock.base = (
                self.store.clock[0] * 1000
            )  # what is in the journal goes by that one
        self.dispatcher = Dispatcher(s, config.seed, self.clock())
        self.server = Server(s, self.clock, 0, self.hand_in, self.ready)
        self.pool = Pool(
            self.clock,
            self.post,
            config.report_fields,
            s.idle_connection_us,
            s.connect_timeout_us,
            0,
        )
        self.share_sockets(config.sockets)
        self.notices = Notices(config.discovery, self, config.seed)
        self.derive(s)
        self.force = InForce(
            digest({**config.raw, "durability": level(config)}), "start", time.time()
        )
        self.hosts, self.numbers, self.names, self.numbered, self.destinations = (
            {},
            {},
            {},
            0,
            set(),
        )
        self.arriving, self.backlog, self.events = {}, {}, []
        self.unanswered, self.withdrawing = set(), set()
        self.scheduled = False
        self.round_us = 0
        self.frozen = self.closed = False
        self.full_us = self.fault_us = -FULL_LOG_US
        self.recent, self.counts = OrderedDict(), Counter()
        self.leaving_s, self.lag_s, self.swept_s = 0.0, -LAG_LOG_S, 0.0
        self.figures = Figures()
        self.figures.cover(c.name for c in s.classes)
        self.serving = self.holding = self.again = False
        self.predecessor = Predecessor(self)
        self.remote, self.later = {}, []
        self.summed_s = time.monotonic()
        self.done = asyncio.Event()
        self.pool.recorded, self.pool.left = self.recorded, self.left
        self.fleet = None
        if config.fleet is not None:
            from rainfall.net.fleet import Fleet

            self.fleet = Fleet(config.fleet, self)
            self.pool.leaves = self.fleet.leaves
        seq = self.recover()
        # Another address than the list came from may count its versions anew: the whole
        # list is asked for.
        same = self.store.source in ("", str(config.discovery))
        self.watch = Watch(
            config.discovery,
            seq if same else NO_VERSION,
            self.listed,
            config.seed,
            pushed=not config.settings.subscribe_endpoint_list,
        )

    # Messages of before

    def recall_some(self) -> None:
        self.recall(RECALL)

    def recall(self, most: int | None = None) -> None:
        """Tell the module of so many messages of before, or of all."""
        for name in list(self.backlog)[:most]:
            self.events.append(self.backlog.pop(name))

    def recall_more(self) -> None:
        """In batches between rounds, so that what comes now does not wait for all of
        before.
        """
        if self.backlog and not self.frozen:
            if not self.holding:
                self.recall_some()
                self.schedule()
            asyncio.get_running_loop().call_later(RECALL_S, self.recall_more)

    # Rounds

    def round(self) -> None:
        self.scheduled = False
        if self.frozen or self.holding:
            return
        now = self.round_us = self.clock()
        events, self.events = self.events, []
        for event in events:
            if isinstance(event, AttemptFinished):
                self.book(event)
                if (
                    event.outcome is Outcome.NOT_SENT
                    and event.message_id in self.store.messages
                ):
                    self.store.messages[event.message_id].unsent += 1
        arriving, self.arriving = self.arriving, {}
        try:
            actions = self.dispatcher.handle(now, events)
        except Exception:
            actions = self.faulted(events, arriving)
        for a in actions:
            if isinstance(a, RejectMessage | FailMessage) and a.message_id in arriving:
                handed, door = arriving.pop(a.message_id)
                self.turn_away(handed, door, a)
                if handed.order_key is not None:
                    self.post(
                        NotificationAcknowledged(handed.id)
                    )  # by the answer itself
        self.unanswered.update(arriving)
        for handed, _ in arriving.values():
            self.store.take(
                Taken(
                    handed.id,
                    handed.class_name,
                    handed.destination,
                    handed.due_us,
                    handed.key,
                    handed.tenant,
                    handed.body,
                    handed.order_key,
                )
            )
        calls: list[CloseIdleConnections | Call | CancelAttempt] = []
        forming: dict[tuple[int, bool], Call] = {}
        for a in actions:
            match a:
                case SendMessage():
                    self.send(a, now, forming, calls)
                case RejectMessage() if a.message_id in self.store.messages:
                    self.counts["returned"] += 1
                    self.untried(a, now)
                    self.figures.end(
                        self.figures.throttled,
                        self.store.messages[a.message_id].class_name,
                    )
                    self.store.owe(
                        a.message_id, "returned", -(-a.retry_after_us // 1000)
                    )
                    self.ended(a.message_id, "returned")
                case FailMessage() if a.message_id in self.store.messages:
                    self.counts["given up"] += 1
                    self.untried(a, now)
                    self.figures.end(
                        self.figures.faulted,
                        self.store.messages[a.message_id].class_name,
                    )
                    self.store.owe(a.message_id, "failed", 0)
                    self.ended(a.message_id, "failed")
                case CloseIdleConnections() | CancelAttempt():
                    calls.append(a)
                case SetTimer():
                    self.set_timer(now + a.delay_us, a.token)
                case SubscribeEndpointList():
                    self.watch.subscribe()
                case RecordOutage():
                    if a.endpoint in self.names:
                        self.store.outage(
                            self.names[a.endpoint], a.started_at_us, a.recovered_at_us
                        )
                case LogNote():
                    log.info("%s", a.text)
        if arriving or calls or self.store.owed:
            self.store.commit(lambda ok: self.leave(ok, arriving, calls))
        else:  # nobody waits for what only came to its end: that costs no sync
            self.store.flush()

    def untried(self, a: RejectMessage | FailMessage, now: int) -> None:
        """Taken on and given up with no call: one count for each cause, and a line of
        the message.
        """
        m = self.store.messages[a.message_id]
        if m.attempts > m.unsent:
            return
        self.counts[f"untried: {a.reason}"] += 1
        if trace.isEnabledFor(logging.INFO):
            trace.info(
                "given up untried",
                extra={
                    "message_id": m.id,
                    "cause": a.reason,
                    "left_ms": (m.due_us - now) // 1000,
                },
            )

    def leave(
        self,
        ok: bool,
        arriving: dict[str, tuple[Handed, Asker]],
        calls: list[CloseIdleConnections | Call | CancelAttempt],
    ) -> None:
        """What a round decided is kept, or cannot be: answers and calls leave, or do
        not.
        """
        for name, (handed, door) in arriving.items():
            if ok and name in self.unanswered:
                self.counts["taken"] += 1
                self.figures.taken += 1
                door.answer(HTTPStatus.ACCEPTED)
            else:
                self.take_back(handed, door)
        self.unanswered.difference_update(arriving)
        self.withdrawing.difference_update(arriving)
        for step in calls:
            if isinstance(step, CloseIdleConnections):
                self.pool.close_idle(step.endpoint)
            elif isinstance(step, CancelAttempt):
                if (
                    step.message_id,
                    step.attempt,
                ) in self.remote and self.successor is not None:
                    self.successor.link.send(cancel=[step.message_id, step.attempt])
                else:
                    self.pool.cancel(step.message_id, step.attempt)
            elif self.closed:  # its sync took longer than the process lasts
                for item in step.items:
                    if item.id in self.store.messages:
                        self.store.outcome(
                            self.store.messages[item.id], item.attempt, False
                        )
            elif self.cleared(step, ok):
                self.pool.start(step)
        if self.store.owed:
            self.notices.kick()

    def cleared(self, call: Call, ok: bool) -> bool:
        """Leave out of a call what must not leave: what was taken back meanwhile, and
        where attempts are not kept, those that a restart must not make again. Their
        slots come free after a while, or a disk that fails would have them tried
        without a pause.
        """
        kept: list[Item] = []
        # A wait may have been told while the record was synced, or the process may have
        # come to its freeze: then it is left, as never sent, to the one after it.
        waits = self.frozen or (
            self.config.power and self.clock() < self.pool.waits.get(call.place, 0)
        )
        for item in call.items:
            m = self.store.messages.get(item.id)
            if m is not None and not waits and (ok or self.harmless(m)):
                kept.append(item)
                continue
            end = AttemptFinished(
                item.id,
                item.attempt,
                call.target,
                Outcome.NOT_SENT,
                0,
                message_closed=m is None,
            )
            if m is None or ok:
                self.post(end)
            else:
                asyncio.get_running_loop().call_later(
                    self.unkept_s(m, item.attempt), self.post, end
                )
        call.items = kept
        return bool(kept)

    def recorded(self, call: Call) -> bool:
        """Journal a call's attempts right before its first byte, and no sooner: of one
        whose connection comes up while the process is killed it is known that it never
        ran. Whether it may leave.
        """
        if self.config.power:
            return True
        messages = [
            self.store.messages[item.id]
            for item in call.open.values()
            if item.id in self.store.messages
        ]
        name = self.names.get(call.target, "")
        for m in messages:
            self.store.attempt(m, call.open[m.id].attempt, call.sent_us, name)
        self.store.flush()
        return not self.store.log.behind or all(map(self.harmless, messages))

    def book(self, event: AttemptFinished) -> None:
        """Journal an outcome, and an attempt that came back before it was recorded: it
        counts as one.
        """
        m = self.store.messages.get(event.message_id)
        if m is not None and event.attempt not in m.out and not event.message_closed:
            self.store.attempt(
                m, event.attempt, self.clock(), self.names.get(event.endpoint, "")
            )
        super().book(event)

    def unkept_s(self, m: Taken, attempt: int) -> float:
        """Each one uses up an attempt: at a steady pace a full disk would use up all
        before it has room.
        """
        return max(
            0.0, min(UNKEPT_S * 2.0**attempt, (m.due_us - self.clock()) / SECOND)
        )

    def harmless(self, m: Taken) -> bool:
        """Whether an attempt may leave that a restart would not know of. Under `power`
        none does.
        """
        cls = self.store.class_of(m)
        return (
            not self.config.power
            and cls is not None
            and cls.idempotency is Idempotency.ALWAYS
            and m.order_key is None
        )

    def faulted(
        self, events: list[Event], arriving: dict[str, tuple[Handed, Asker]]
    ) -> list[Action]:
        """A fault in a decision must cost its event and neither the process, which
        holds all the others, nor a slot: what was decided till then is booked in the
        module and so carried out, and the events that it has not read come again.
        """
        if self.clock() - self.fault_us >= FULL_LOG_US:
            self.fault_us = self.clock()
            log.exception("a decision failed")
        actions = list(self.dispatcher.state.actions)
        self.events = events[self.dispatcher.state.events_applied :] + self.events
        unread = {e.message_id for e in self.events if isinstance(e, MessageReceived)}
        known = self.dispatcher.state.messages.keys() | {
            a.message_id for a in actions if isinstance(a, RejectMessage | FailMessage)
        }
        for name in list(arriving):
            if name in unread:
                self.arriving[name] = arriving.pop(name)
            elif name not in known:
                handed, door = arriving.pop(name)
                self.figures.throttled[handed.class_name] += 1
                door.answer(
                    HTTPStatus.SERVICE_UNAVAILABLE, "internal fault", Retry_After=AWAY_S
                )
        if self.events:
            self.schedule()
        return actions

    @staticmethod
    def leave_by_us(m: Taken, cls: MessageClass | None) -> int:
        """When the last byte of a keyed message that may have run must have left; 0
        where it is not bound.
        """
        bound = (
            cls is not None
            and cls.idempotency is Idempotency.WITH_KEY
            and m.ran_at_us >= 0
        )
        return (
            m.ran_at_us + cls.idempotency_window_us - TRANSIT_SLACK_US
            if cls is not None and bound
            else 0
        )

    def patience_us(self, m: Taken, now: int) -> int:
        """How long a call may be waited for. A loop that is late ends it so much
        sooner, or its message would be past its time by then; an attempt with little
        time keeps most of it.
        """
        left = m.due_us - now
        return left - min(
            self.server.expected_late_us, MOST_SOONER_US, left // SOONER_PART
        )

    def send(
        self,
        a: SendMessage,
        now: int,
        forming: dict[tuple[int, bool], Call],
        calls: list[CloseIdleConnections | Call | CancelAttempt],
    ) -> None:
        """Count an attempt and put it into a call: those of one round to one target
        travel together. A call is given up as a whole, so messages that are waited for
        till their end, as once-only ones are, share none with those that may be sent
        again sooner.
        """
        m = self.store.messages.get(a.message_id)
        if m is None:  # only after a fault: the slot must come free again
            self.post(
                AttemptFinished(
                    a.message_id,
                    0,
                    a.endpoint,
                    Outcome.NOT_SENT,
                    0,
                    message_closed=True,
                )
            )
            return
        name, number = self.names.get(a.endpoint, ""), m.attempts
        target = self.hosts.get(name)
        if target is None or target.destination != m.destination:
            # A message that reaches a stranger cannot be called back: the last check
            # before the wire.
            log.error(
                "held back: %s is no target of destination %d", name, m.destination
            )
            m.attempts += 1
            self.post(AttemptFinished(m.id, number, a.endpoint, Outcome.NOT_SENT, 0))
            return
        if (
            self.config.power
        ):  # which has to be synced: its connection comes up meanwhile
            self.store.attempt(m, number, now, name)
        # a record that says nothing yet, which shows whether there is room for those to
        # come
        else:
            m.attempts = number + 1
            self.store.outcome(m, number, False)
        cls = self.store.class_of(m)
        once = cls is not None and cls.idempotency is Idempotency.NEVER
        until = now + min(a.timeout_us, self.patience_us(m, now))
        item = Item(m.id, number, m.key, m.body, until, self.leave_by_us(m, cls))
        waits = once or (
            a.timeout_us >= m.due_us - now
            and m.order_key is None
            and cls is not None
            and cls.idempotency is Idempotency.WITH_KEY
        )
        call = forming.get((a.endpoint, waits))
        most = self.batches.get(str(target.raw.get("class")), 1)
        if call is None or len(call.items) >= most or not fits(call.items, item):
            apart = str(target.raw.get("class")) in self.apart
            place = (m.destination, a.endpoint if apart else -1)
            call = forming[a.endpoint, waits] = Call(a.endpoint, place, now, [])
            calls.append(call)
        call.items.append(item)
