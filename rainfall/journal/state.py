"""What the journal's records mean: the state that they add up to, and how each is
written.

A record is a line of JSON, `[kind, ...]`, and for a taken message its body. Kinds
(version 1's names):
  n [id, class, destination, due, key, tenant, order key, rules] + body: a message was
  taken on t (taken) [id, class, destination, due, key, tenant, attempts, ran_at,
  ran_on, [[number, at, host]...],
    order key, rules] + body: the same within a checkpoint; older journals end before
    the last two
  r (rules) [number, attempts, [class...]]: the classes that messages were taken on
  under, and their attempts a (attempt) [id, number, at, host], before the call's first
  byte; o (outcome) [id, number, may have run] x (over) [id]; e (owed) [id, state,
  after_ms, order key], an end that the platform has not acknowledged;
    d (told) [id]
  l (list) [seq, hosts, source]: the last list and the discovery that told it, since
  `known` may be older than
    what this forwarder was told of drains
  p [] + another record, compressed: a list of many hosts u (update) [seq before, seq,
  hosts, names gone, source]: what changed in the list of that version and source h
  (out) [host, whether]: taken out by operators, or put back g (outage) [host, since,
  back]: a target seen in an outage; its cold budget must hold across a restart too c
  [base, boot]: a process began; its clock is the machine's monotonic one, plus the base
  z []: it came to its end in order, and all that it wrote is synced
Waits are not kept: a restart ends them. Windows and means are not either: they are soon
learned anew.
"""

from __future__ import annotations

import json
import logging
import zlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple

from rainfall.dispatch import Idempotency, IdempotencyScope, MessageClass
from rainfall.journal.live import LiveIndex

PER_MESSAGE = 400  # what a held message's further records may add to a compacted file
# ids of lost messages that are named: about what 3 MB of journal name; 100 bytes each
MOST_LOST = 10_000
PLAIN_LIST = 64 * 1024  # bytes of a list's record; one that is longer is compressed
COMPRESSION = (
    1  # zlib's fastest: 8 MB of hosts take 14 ms, and a fourteenth of the room
)
log = logging.getLogger("rainfall.store")


@dataclass(slots=True)
class Taken:
    """A message that was taken on, with all that is needed to go on with it."""

    id: str
    class_name: str
    destination: int
    due_us: int
    key: str | None
    tenant: str | None
    body: bytes
    order_key: str | None = None
    attempts: int = 0
    ran_at_us: int = -1
    ran_on: str = ""
    out: dict[int, tuple[int, str]] = field(default_factory=dict)
    rules: int = -1
    """What it was taken on under; -1 where that is not known."""
    doubt: bool = False
    """An attempt, or its end, may stand in what could not be read."""
    unsent: int = field(default=0, compare=False)
    """Attempts of this process that made no call; not kept."""

    @property
    def size(self) -> int:
        return len(self.body) + len(self.id) + len(self.order_key or "") + PER_MESSAGE


class Rules(NamedTuple):
    """What a message keeps, also when the settings change: its class, and how many
    attempts it has.
    """

    attempts: int
    classes: tuple[MessageClass, ...]


class Owed(NamedTuple):
    """An end that the platform has not acknowledged."""

    state: str
    after_ms: int
    order_key: str | None = None


class State:
    """All that counts, as the records up to here say."""

    def __init__(self) -> None:
        self.messages: dict[str, Taken] = {}
        self.index = LiveIndex()
        """Of `messages`."""
        self.owed: dict[str, Owed] = {}
        self.outages: dict[str, tuple[int, int]] = {}
        self.hosts: dict[str, dict[str, Any]] = {}
        self.detached: dict[str, None] = {}
        self.rules: dict[int, Rules] = {}
        self.current = -1
        self.seq, self.source = -1, ""
        self.live, self.list_size = 0, 0
        self.clock: tuple[int, str] | None = None
        self.closed = False
        self.unknown = 0
        """Records of no form that this program knows."""
        self.lost: dict[str, None] = {}
        """Messages that later records name and that nothing tells more of."""
        self.damaged = False
        self.readers: dict[str, Callable[[list[Any], bytes], None]] = {
            "n": self._new,
            "t": self._taken,
            "taken": self._taken,
            "a": self._attempt,
            "attempt": self._attempt,
            "o": self._outcome,
            "outcome": self._outcome,
            "x": self._over,
            "over": self._over,
            "e": self._owed,
            "owed": self._owed,
            "d": self._told,
            "told": self._told,
            "l": self._list,
            "list": self._list,
            "g": self._outage,
            "outage": self._outage,
            "r": self._rules,
            "rules": self._rules,
            "h": self._out,
            "out": self._out,
            "c": self._clock,
            "z": self._closed,
            "p": self._packed,
            "u": self._update,
        }

    # Reading

    def read(self, payload: bytes) -> None:
        line, _, body = payload.partition(b"\n")
        try:
            kind, *rest = json.loads(line)
            self.closed = False
            self.readers[kind](rest, body)
        except (ValueError, KeyError, TypeError, IndexError, zlib.error) as error:
            self.unknown += 1
            log.error("journal: a record of unknown form is passed over: %r", error)

    def doubt(self) -> None:
        """Records are missing here, that may tell more of what has been taken on until
        now.
        """
        self.damaged = True
        for m in self.messages.values():
            m.doubt = True

    def resolve(self) -> tuple[int, int]:
        """All is read. What is still in doubt gets an attempt that may have run, or its
        end. Returns how many got which.
        """
        doubted = [m for m in self.messages.values() if m.doubt]
        ended = [m for m in doubted if m.order_key is not None]
        for m in ended:  # one behind it may have gone already
            self._owed([m.id, "failed", 0, m.order_key])
        for m in doubted:
            m.doubt = False
            if m.order_key is None:
                cls = self.class_of(m)
                earliest = max(0, m.due_us - cls.deadline_us) if cls is not None else 0
                m.out[m.attempts] = (earliest, "")
                m.attempts += 1
        return len(doubted) - len(ended), len(ended)

    def shift(self, by_us: int) -> None:
        """The wall clock was set, or it is that of another boot: all times move with
        it.
        """
        for m in self.messages.values():
            self.move_deadline(m, m.due_us + by_us)
            if m.ran_at_us >= 0:
                m.ran_at_us = max(0, m.ran_at_us + by_us)
            m.out = {n: (max(0, at + by_us), host) for n, (at, host) in m.out.items()}
        self.outages = {
            h: (max(0, since + by_us), back + by_us if back >= 0 else back)
            for h, (since, back) in self.outages.items()
        }

    def _new(self, rest: list[Any], body: bytes) -> None:
        name, cls, destination, due, key, tenant, order_key, rules = rest
        self._keep(
            Taken(
                name, cls, destination, due, key, tenant, body, order_key, rules=rules
            )
        )

    def _taken(self, rest: list[Any], body: bytes) -> None:
        (
            name,
            cls,
            destination,
            due,
            key,
            tenant,
            attempts,
            ran_at,
            ran_on,
            out,
            *later,
        ) = rest
        self._keep(
            Taken(
                name,
                cls,
                destination,
                due,
                key,
                tenant,
                body,
                later[0] if later else None,
                attempts,
                ran_at,
                ran_on,
                {n: (at, host) for n, at, host in out},
                later[1] if len(later) > 1 else -1,
            )
        )

    def _keep(self, m: Taken) -> None:
        old = self.messages.get(m.id)
        if old is not None:
            self.index.remove(old.id, old.destination, old.due_us)
            self.live -= old.size
        self.messages[m.id] = m
        self.index.add(m.id, m.destination, m.due_us)
        self.live += m.size

    def move_deadline(self, m: Taken, due_us: int) -> None:
        """A live message has another deadline."""
        self.index.move(m.id, m.due_us, due_us)
        m.due_us = due_us

    def forget_messages(self) -> None:
        """They are another process's now."""
        self.messages.clear()
        self.index.clear()

    def _missing(self, name: str) -> None:
        if self.damaged and name not in self.owed and len(self.lost) < MOST_LOST:
            self.lost[name] = None

    def _attempt(self, rest: list[Any], body: bytes) -> None:
        name, number, at, host = rest
        m = self.messages.get(name)
        if m is None:
            self._missing(name)
            return
        if number == m.attempts:
            # the next one that was due: none stood in between, and no end either
            m.doubt = False
        m.out[number] = (at, host)
        m.attempts = max(m.attempts, number + 1)

    def _outcome(self, rest: list[Any], body: bytes) -> None:
        name, number, ran = rest
        m = self.messages.get(name)
        if m is not None:
            self.book(m, number, bool(ran))
        else:
            self._missing(name)

    @staticmethod
    def book(m: Taken, number: int, ran: bool) -> None:
        sent = m.out.pop(number, None)
        if ran and sent is not None and (m.ran_at_us < 0 or sent[0] < m.ran_at_us):
            m.ran_at_us, m.ran_on = sent

    def _over(self, rest: list[Any], body: bytes = b"") -> None:
        m = self.messages.pop(rest[0], None)
        self.lost.pop(rest[0], None)
        if m is not None:
            self.index.remove(m.id, m.destination, m.due_us)
            self.live -= m.size

    def _owed(self, rest: list[Any], body: bytes = b"") -> None:
        self._over(rest)
        self.owed[rest[0]] = Owed(*rest[1:])

    def _told(self, rest: list[Any], body: bytes = b"") -> None:
        self.owed.pop(rest[0], None)

    def _list(self, rest: list[Any], body: bytes = b"") -> None:
        hosts = {h["host"]: h for h in rest[1]}
        self.seq, self.source, self.hosts = (
            rest[0],
            rest[2] if len(rest) > 2 else "",
            hosts,
        )
        self.list_size = 200 * len(self.hosts)

    def _packed(self, rest: list[Any], body: bytes) -> None:
        self.read(zlib.decompress(body))
        self.list_size = len(body)

    def _update(self, rest: list[Any], body: bytes) -> None:
        before, seq, changed, gone, source = rest
        if (before, source) != (self.seq, self.source):
            # damage took what it builds on: no version of the list is known, all is
            # asked for
            self.seq = -1
            return
        for name in gone:
            self.hosts.pop(name, None)
        self.hosts.update((h["host"], h) for h in changed)
        self.seq = seq

    def _rules(self, rest: list[Any], body: bytes = b"") -> None:
        number, attempts, classes = rest
        self.rules[number] = Rules(attempts, tuple(map(_class, classes)))
        self.current = number

    def _out(self, rest: list[Any], body: bytes = b"") -> None:
        name, out = rest
        if out:
            self.detached[name] = None
        else:
            self.detached.pop(name, None)

    def _outage(self, rest: list[Any], body: bytes = b"") -> None:
        host, since, back = rest
        if since < 0:
            self.outages.pop(host, None)
        else:
            self.outages[host] = (since, back)

    def _clock(self, rest: list[Any], body: bytes = b"") -> None:
        base, boot = rest
        self.clock = (base, boot)

    def _closed(self, rest: list[Any], body: bytes = b"") -> None:
        self.closed = True

    # Writing

    def class_of(self, m: Taken) -> MessageClass | None:
        rules = self.rules.get(m.rules)
        return (
            next((c for c in rules.classes if c.name == m.class_name), None)
            if rules
            else None
        )

    def checkpoint(self) -> Iterator[bytes]:
        """The records that say just this state. Rules that nobody names any more are
        left out.
        """
        named = {
            m.rules for m in self.messages.values()
        }  # the one in force stands last
        self.rules = {
            n: r for n, r in self.rules.items() if n in named or n == self.current
        }
        if self.clock is not None:
            yield record("c", *self.clock)
        for number in sorted(self.rules, key=lambda n: (n == self.current, n)):
            yield self.kept_rules(number)
        yield kept_list(self.seq, self.hosts, self.source)
        for h in self.detached:
            yield record("h", h, True)
        for h, o in self.outages.items():
            yield record("g", h, *o)
        for m in self.messages.values():
            yield kept(m)
        for name, end in self.owed.items():
            yield record("e", name, *end)

    def kept_rules(self, number: int) -> bytes:
        rules = self.rules[number]
        return record(
            "r", number, rules.attempts, [class_record(c) for c in rules.classes]
        )

    def facts(self) -> dict[str, Any]:
        """All that must be the same after a recovery, to compare."""
        return {
            "messages": list(self.messages.values()),
            "owed": self.owed,
            "outages": self.outages,
            "hosts": self.hosts,
            "detached": list(self.detached),
            "list": (self.seq, self.source),
            "rules": {
                n: r
                for n, r in self.rules.items()
                if n == self.current
                or any(m.rules == n for m in self.messages.values())
            },
        }


def kept(m: Taken) -> bytes:
    if not m.attempts:
        return record(
            "n",
            m.id,
            m.class_name,
            m.destination,
            m.due_us,
            m.key,
            m.tenant,
            m.order_key,
            m.rules,
            body=m.body,
        )
    out = [[n, at, host] for n, (at, host) in m.out.items()]
    return record(
        "t",
        m.id,
        m.class_name,
        m.destination,
        m.due_us,
        m.key,
        m.tenant,
        m.attempts,
        m.ran_at_us,
        m.ran_on,
        out,
        m.order_key,
        m.rules,
        body=m.body,
    )


def _word(value: object) -> str:
    if isinstance(value, Enum):
        return str(value.value)
    raise TypeError(f"cannot be journaled: {value!r}")


_write = json.JSONEncoder(separators=(",", ":"), default=_word).encode


def record(*line: Any, body: bytes | None = None) -> bytes:
    """A record's payload."""
    text = _write(line).encode()
    return text if body is None else text + b"\n" + body


def kept_list(seq: int, hosts: dict[str, dict[str, Any]], source: str) -> bytes:
    """The record of a list, compressed where it is long: it stands in each file, and
    the disk is small.
    """
    plain = record("l", seq, [*hosts.values()], source)
    return (
        plain
        if len(plain) <= PLAIN_LIST
        else record("p", body=zlib.compress(plain, COMPRESSION))
    )


CLASS_KEYS = {
    "name": "name",
    "latency_objective_us": "aim_us",
    "deadline_us": "deadline_us",
    "idempotency": "effect",
    "idempotency_scope": "scope",
    "idempotency_window_us": "window_us",
    "ordered": "in_order",
    "priority_weight": "worth",
    "late_priority_weight": "late_worth",
}
"""A class's attributes, in the order of its record, and the keys of that record."""


def class_record(cls: MessageClass) -> dict[str, Any]:
    """A class as it is written."""
    return {key: getattr(cls, attribute) for attribute, key in CLASS_KEYS.items()}


def _class(told: dict[str, Any]) -> MessageClass:
    """A class as it was written; what a later program added to it is passed over."""
    known = {
        attribute: told[key] for attribute, key in CLASS_KEYS.items() if key in told
    }
    return MessageClass(
        **{
            **known,
            "idempotency": Idempotency(told["effect"]),
            "idempotency_scope": IdempotencyScope(told["scope"]),
        }
    )
