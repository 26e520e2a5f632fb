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
from rainfall.journal.live_index import LiveIndex

MESSAGE_OVERHEAD_BYTES = (
    400  # what a held message's further records may add to a compacted file
)
# ids of lost messages that are named: about what 3 MB of journal name; 100 bytes each
MAX_LOST_MESSAGES = 10_000
UNCOMPRESSED_LIST_BYTES = (
    64 * 1024
)  # bytes of a list's record; one that is longer is compressed
COMPRESSION_LEVEL = (
    1  # zlib's fastest: 8 MB of hosts take 14 ms, and a fourteenth of the room
)
log = logging.getLogger("rainfall.store")


@dataclass(slots=True)
class AcceptedMessage:
    """A message that was taken on, with all that is needed to go on with it."""

    id: str
    class_name: str
    destination: int
    deadline_us: int
    idempotency_key: str | None
    tenant: str | None
    body: bytes
    order_key: str | None = None
    attempts: int = 0
    executed_at_us: int = -1
    executed_on: str = ""
    in_flight: dict[int, tuple[int, str]] = field(default_factory=dict)
    rules_number: int = -1
    """What it was taken on under; -1 where that is not known."""
    in_doubt: bool = False
    """An attempt, or its end, may stand in what could not be read."""
    unsent_attempts: int = field(default=0, compare=False)
    """Attempts of this process that made no call; not kept."""

    @property
    def size(self) -> int:
        return (
            len(self.body)
            + len(self.id)
            + len(self.order_key or "")
            + MESSAGE_OVERHEAD_BYTES
        )


class DeliveryRules(NamedTuple):
    """What a message keeps, also when the settings change: its class, and how many
    attempts it has.
    """

    attempts: int
    classes: tuple[MessageClass, ...]


class PendingNotification(NamedTuple):
    """An end that the platform has not acknowledged."""

    state: str
    after_ms: int
    order_key: str | None = None


class JournalState:
    """All that counts, as the records up to here say."""

    def __init__(self) -> None:
        self.messages: dict[str, AcceptedMessage] = {}
        self.live_index = LiveIndex()
        """Of `messages`."""
        self.pending_notifications: dict[str, PendingNotification] = {}
        self.outages: dict[str, tuple[int, int]] = {}
        self.hosts: dict[str, dict[str, Any]] = {}
        self.detached: dict[str, None] = {}
        self.rules: dict[int, DeliveryRules] = {}
        self.current_rules_number = -1
        self.seq, self.source = -1, ""
        self.live_bytes, self.list_bytes = 0, 0
        self.clock: tuple[int, str] | None = None
        self.closed_cleanly = False
        self.unknown_records = 0
        """Records of no form that this program knows."""
        self.lost_messages: dict[str, None] = {}
        """Messages that later records name and that nothing tells more of."""
        self.damaged = False
        self.record_readers: dict[str, Callable[[list[Any], bytes], None]] = {
            "n": self._read_message,
            "t": self._read_checkpoint_message,
            "taken": self._read_checkpoint_message,
            "a": self._read_attempt,
            "attempt": self._read_attempt,
            "o": self._read_outcome,
            "outcome": self._read_outcome,
            "x": self._remove_message,
            "over": self._remove_message,
            "e": self._add_pending_notification,
            "owed": self._add_pending_notification,
            "d": self._remove_pending_notification,
            "told": self._remove_pending_notification,
            "l": self._read_list,
            "list": self._read_list,
            "g": self._set_outage,
            "outage": self._set_outage,
            "r": self._read_rules,
            "rules": self._read_rules,
            "h": self._set_detached,
            "out": self._set_detached,
            "c": self._read_clock,
            "z": self._read_closed,
            "p": self._read_compressed,
            "u": self._read_list_update,
        }

    # Reading

    def apply_record(self, payload: bytes) -> None:
        line, _, body = payload.partition(b"\n")
        try:
            kind, *rest = json.loads(line)
            self.closed_cleanly = False
            self.record_readers[kind](rest, body)
        except (ValueError, KeyError, TypeError, IndexError, zlib.error) as error:
            self.unknown_records += 1
            log.error("journal: a record of unknown form is passed over: %r", error)

    def mark_in_doubt(self) -> None:
        """Records are missing here, that may tell more of what has been taken on until
        now.
        """
        self.damaged = True
        for m in self.messages.values():
            m.in_doubt = True

    def resolve_doubts(self) -> tuple[int, int]:
        """All is read.

        What is still in doubt gets an attempt that may have run, or its end. Returns
        how many got which.
        """
        doubted = [m for m in self.messages.values() if m.in_doubt]
        ended = [m for m in doubted if m.order_key is not None]
        for m in ended:  # one behind it may have gone already
            self._add_pending_notification([m.id, "failed", 0, m.order_key])
        for m in doubted:
            m.in_doubt = False
            if m.order_key is None:
                cls = self.class_of(m)
                earliest = (
                    max(0, m.deadline_us - cls.deadline_us) if cls is not None else 0
                )
                m.in_flight[m.attempts] = (earliest, "")
                m.attempts += 1
        return len(doubted) - len(ended), len(ended)

    def shift_times(self, by_us: int) -> None:
        """The wall clock was set, or it is that of another boot: all times move with
        it.
        """
        for m in self.messages.values():
            self.move_deadline(m, m.deadline_us + by_us)
            if m.executed_at_us >= 0:
                m.executed_at_us = max(0, m.executed_at_us + by_us)
            m.in_flight = {
                n: (max(0, at + by_us), host) for n, (at, host) in m.in_flight.items()
            }
        self.outages = {
            h: (max(0, since + by_us), back + by_us if back >= 0 else back)
            for h, (since, back) in self.outages.items()
        }

    def _read_message(self, rest: list[Any], body: bytes) -> None:
        name, cls, destination, due, key, tenant, order_key, rules = rest
        self._add_message(
            AcceptedMessage(
                name,
                cls,
                destination,
                due,
                key,
                tenant,
                body,
                order_key,
                rules_number=rules,
            )
        )

    def _read_checkpoint_message(self, rest: list[Any], body: bytes) -> None:
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
        self._add_message(
            AcceptedMessage(
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

    def _add_message(self, m: AcceptedMessage) -> None:
        old = self.messages.get(m.id)
        if old is not None:
            self.live_index.remove(old.id, old.destination, old.deadline_us)
            self.live_bytes -= old.size
        self.messages[m.id] = m
        self.live_index.add(m.id, m.destination, m.deadline_us)
        self.live_bytes += m.size

    def move_deadline(self, m: AcceptedMessage, due_us: int) -> None:
        """A live message has another deadline."""
        self.live_index.change_deadline(m.id, m.deadline_us, due_us)
        m.deadline_us = due_us

    def forget_messages(self) -> None:
        """They are another process's now."""
        self.messages.clear()
        self.live_index.clear()

    def _note_missing(self, name: str) -> None:
        if (
            self.damaged
            and name not in self.pending_notifications
            and len(self.lost_messages) < MAX_LOST_MESSAGES
        ):
            self.lost_messages[name] = None

    def _read_attempt(self, rest: list[Any], body: bytes) -> None:
        name, number, at, host = rest
        m = self.messages.get(name)
        if m is None:
            self._note_missing(name)
            return
        if number == m.attempts:
            # the next one that was due: none stood in between, and no end either
            m.in_doubt = False
        m.in_flight[number] = (at, host)
        m.attempts = max(m.attempts, number + 1)

    def _read_outcome(self, rest: list[Any], body: bytes) -> None:
        name, number, ran = rest
        m = self.messages.get(name)
        if m is not None:
            self.apply_outcome(m, number, bool(ran))
        else:
            self._note_missing(name)

    @staticmethod
    def apply_outcome(m: AcceptedMessage, number: int, ran: bool) -> None:
        sent = m.in_flight.pop(number, None)
        if (
            ran
            and sent is not None
            and (m.executed_at_us < 0 or sent[0] < m.executed_at_us)
        ):
            m.executed_at_us, m.executed_on = sent

    def _remove_message(self, rest: list[Any], body: bytes = b"") -> None:
        m = self.messages.pop(rest[0], None)
        self.lost_messages.pop(rest[0], None)
        if m is not None:
            self.live_index.remove(m.id, m.destination, m.deadline_us)
            self.live_bytes -= m.size

    def _add_pending_notification(self, rest: list[Any], body: bytes = b"") -> None:
        self._remove_message(rest)
        self.pending_notifications[rest[0]] = PendingNotification(*rest[1:])

    def _remove_pending_notification(self, rest: list[Any], body: bytes = b"") -> None:
        self.pending_notifications.pop(rest[0], None)

    def _read_list(self, rest: list[Any], body: bytes = b"") -> None:
        hosts = {h["host"]: h for h in rest[1]}
        self.seq, self.source, self.hosts = (
            rest[0],
            rest[2] if len(rest) > 2 else "",
            hosts,
        )
        self.list_bytes = 200 * len(self.hosts)

    def _read_compressed(self, rest: list[Any], body: bytes) -> None:
        self.apply_record(zlib.decompress(body))
        self.list_bytes = len(body)

    def _read_list_update(self, rest: list[Any], body: bytes) -> None:
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

    def _read_rules(self, rest: list[Any], body: bytes = b"") -> None:
        number, attempts, classes = rest
        self.rules[number] = DeliveryRules(attempts, tuple(map(_decode_class, classes)))
        self.current_rules_number = number

    def _set_detached(self, rest: list[Any], body: bytes = b"") -> None:
        name, out = rest
        if out:
            self.detached[name] = None
        else:
            self.detached.pop(name, None)

    def _set_outage(self, rest: list[Any], body: bytes = b"") -> None:
        host, since, back = rest
        if since < 0:
            self.outages.pop(host, None)
        else:
            self.outages[host] = (since, back)

    def _read_clock(self, rest: list[Any], body: bytes = b"") -> None:
        base, boot = rest
        self.clock = (base, boot)

    def _read_closed(self, rest: list[Any], body: bytes = b"") -> None:
        self.closed_cleanly = True

    # Writing

    def class_of(self, m: AcceptedMessage) -> MessageClass | None:
        rules = self.rules.get(m.rules_number)
        return (
            next((c for c in rules.classes if c.name == m.class_name), None)
            if rules
            else None
        )

    def checkpoint(self) -> Iterator[bytes]:
        """The records that say just this state.

        Rules that nobody names any more are left out.
        """
        named = {
            m.rules_number for m in self.messages.values()
        }  # the one in force stands last
        self.rules = {
            n: r
            for n, r in self.rules.items()
            if n in named or n == self.current_rules_number
        }
        if self.clock is not None:
            yield encode_record("c", *self.clock)
        for number in sorted(
            self.rules, key=lambda n: (n == self.current_rules_number, n)
        ):
            yield self.encode_rules(number)
        yield encode_list(self.seq, self.hosts, self.source)
        for h in self.detached:
            yield encode_record("h", h, True)
        for h, o in self.outages.items():
            yield encode_record("g", h, *o)
        for m in self.messages.values():
            yield encode_message(m)
        for name, end in self.pending_notifications.items():
            yield encode_record("e", name, *end)

    def encode_rules(self, number: int) -> bytes:
        rules = self.rules[number]
        return encode_record(
            "r", number, rules.attempts, [class_record(c) for c in rules.classes]
        )

    def comparable_contents(self) -> dict[str, Any]:
        """All that must be the same after a recovery, to compare."""
        return {
            "messages": list(self.messages.values()),
            "owed": self.pending_notifications,
            "outages": self.outages,
            "hosts": self.hosts,
            "detached": list(self.detached),
            "list": (self.seq, self.source),
            "rules": {
                n: r
                for n, r in self.rules.items()
                if n == self.current_rules_number
                or any(m.rules_number == n for m in self.messages.values())
            },
        }


def encode_message(m: AcceptedMessage) -> bytes:
    if not m.attempts:
        return encode_record(
            "n",
            m.id,
            m.class_name,
            m.destination,
            m.deadline_us,
            m.idempotency_key,
            m.tenant,
            m.order_key,
            m.rules_number,
            body=m.body,
        )
    out = [[n, at, host] for n, (at, host) in m.in_flight.items()]
    return encode_record(
        "t",
        m.id,
        m.class_name,
        m.destination,
        m.deadline_us,
        m.idempotency_key,
        m.tenant,
        m.attempts,
        m.executed_at_us,
        m.executed_on,
        out,
        m.order_key,
        m.rules_number,
        body=m.body,
    )


def _json_default(value: object) -> str:
    if isinstance(value, Enum):
        return str(value.value)
    raise TypeError(f"cannot be journaled: {value!r}")


_encode_json = json.JSONEncoder(separators=(",", ":"), default=_json_default).encode


def encode_record(*line: Any, body: bytes | None = None) -> bytes:
    """A record's payload."""
    text = _encode_json(line).encode()
    return text if body is None else text + b"\n" + body


def encode_list(seq: int, hosts: dict[str, dict[str, Any]], source: str) -> bytes:
    """The record of a list, compressed where it is long: it stands in each file, and
    the disk is small.
    """
    plain = encode_record("l", seq, [*hosts.values()], source)
    return (
        plain
        if len(plain) <= UNCOMPRESSED_LIST_BYTES
        else encode_record("p", body=zlib.compress(plain, COMPRESSION_LEVEL))
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


def _decode_class(told: dict[str, Any]) -> MessageClass:
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
