"""The engine's part at the door: messages handed in, turned away, taken back; and news
of the list.
"""

from __future__ import annotations

import logging
from http import HTTPStatus

from rainfall.dispatch import (
    EndpointListChanged,
    EndpointListKind,
    FailMessage,
    MessageReceived,
    MessageWithdrawn,
    NotificationAcknowledged,
    RejectMessage,
)
from rainfall.net.config import HostList
from rainfall.net.desk import AWAY_S, FULL_LOG_US, SECOND, Desk, log, trace
from rainfall.net.room import Bound, memory_left
from rainfall.net.server import Asker, Handed


class Taking(Desk):
    def hand_in(self, handed: Handed, door: Asker) -> None:
        """A message came in. At the door only what the module never sees is turned
        away.
        """
        if self.predecessor.given:
            self.predecessor.hand_in(handed, door)
            return
        open_yet = handed.id in self.unanswered or handed.id in self.withdrawing
        ours = handed.id in self.store.messages or handed.id in self.recent
        if ours and not open_yet:
            door.answer(
                HTTPStatus.ACCEPTED
            )  # it is ours already, or was: it must not be delivered twice
            return
        if handed.id in self.arriving or open_yet:
            self.figures.throttled[handed.class_name] += 1
            door.answer(
                HTTPStatus.SERVICE_UNAVAILABLE,
                "handed in twice at once",
                Retry_After=AWAY_S,
            )
            return
        bound = None if self.frozen else self.bound_met(handed)
        if self.frozen or bound is not None:
            if bound is not None and self.clock() - self.full_us > FULL_LOG_US:
                self.full_us = self.clock()
                log.warning(
                    "full: %d messages held; new ones are turned away by %s",
                    len(self.store.messages) + len(self.arriving),
                    bound.value,
                )
            self.counts["turned away full"] += 1
            self.figures.throttled[handed.class_name] += 1
            door.answer(HTTPStatus.SERVICE_UNAVAILABLE, "full", Retry_After=AWAY_S)
            return
        if handed.destination not in self.destinations:
            self.figures.throttled[handed.class_name] += 1
            door.answer(
                HTTPStatus.SERVICE_UNAVAILABLE,
                "no such destination",
                Retry_After=AWAY_S,
            )
            return
        if handed.order_key is not None and self.backlog:
            self.recall_line(handed.order_key)
        self.arriving[handed.id] = (handed, door)
        door.left = lambda: self.withdrawn(handed.id)
        self.post(
            MessageReceived(
                handed.id,
                handed.destination,
                handed.class_name,
                handed.due_us,
                handed.order_key,
                handed.tenant,
                handed.resent,
            )
        )
        if self.fleet is not None:
            self.fleet.wanted(handed.destination, handed.class_name, handed.tenant)
        if trace.isEnabledFor(logging.INFO):
            trace.info(
                "arrived", extra={"message_id": handed.id, "cls": handed.class_name}
            )

    def bound_met(self, handed: Handed) -> Bound | None:
        """The bound that one more message would pass, if any. What was taken on stays
        whatever is full.
        """
        held = len(self.store.messages) + len(self.arriving)
        size = len(handed.body) + sum(
            len(other.body) for other, _ in self.arriving.values()
        )
        if held >= self.config.settings.max_open_messages:
            return Bound.MESSAGES
        if not memory_left(self.config.memory_mb, held + 1, self.store.live + size):
            return Bound.MEMORY
        return None if self.store.has_room(size) else Bound.DISK

    def recall_line(self, key: str) -> None:
        """What was taken on before goes before what comes now."""
        for name in [
            name for name, event in self.backlog.items() if event.ordering_key == key
        ]:
            self.events.append(self.backlog.pop(name))

    def withdrawn(self, name: str) -> None:
        """The client has gone before its answer: it may hand the message in elsewhere,
        so it is not ours.
        """
        if self.arriving.pop(name, None) is not None:
            self.post(MessageWithdrawn(name))
        if name in self.unanswered:
            # Its record may be in the file, and waits to be synced: a process killed
            # now must not find it.
            self.unanswered.discard(name)
            self.withdrawing.add(name)
            if name in self.store.messages:
                self.store.over(name)
                self.store.flush()
                self.post(MessageWithdrawn(name))

    def take_back(self, handed: Handed, door: Asker) -> None:
        """Its client has gone before the answer, or it could not be kept: it was never
        taken on.
        """
        if handed.id in self.unanswered:
            self.figures.throttled[handed.class_name] += 1
            door.answer(
                HTTPStatus.SERVICE_UNAVAILABLE, "cannot be kept", Retry_After=AWAY_S
            )
        if handed.id in self.store.messages:
            self.store.over(handed.id)
            self.post(MessageWithdrawn(handed.id))
        if (
            handed.id in self.store.owed
        ):  # given up meanwhile: its key must not wait for a notice
            self.store.told(handed.id)
            self.post(NotificationAcknowledged(handed.id))

    def turn_away(
        self, handed: Handed, door: Asker, a: RejectMessage | FailMessage
    ) -> None:
        """Given up in the round in which it came: the client hears so, and it was never
        taken on.
        """
        self.counts["turned away"] += 1
        counts = (
            self.figures.faulted
            if isinstance(a, FailMessage)
            else self.figures.throttled
        )
        counts[handed.class_name] += 1
        if isinstance(a, FailMessage):
            door.answer(HTTPStatus.INTERNAL_SERVER_ERROR, "cannot be delivered")
        elif a.retry_after_us > 0:
            door.answer(
                HTTPStatus.TOO_MANY_REQUESTS,
                "refused",
                Retry_After=f"{a.retry_after_us / SECOND:.3f}",
            )
        else:
            door.answer(HTTPStatus.TOO_MANY_REQUESTS, "refused")

    def listed(self, told: HostList | None) -> None:
        """News of the list reaches the module at once: a drained target must get
        nothing from now on.
        """
        if told is None:
            self.post(EndpointListChanged(EndpointListKind.FAILED))
            return
        if told.hosts or told.whole:
            entries = self.entries(told)
            self.take_list(told)
            log.info(
                "list %d: %d of %d targets up%s",
                told.seq,
                sum(h.health == "up" for h in self.hosts.values()),
                len(self.hosts),
                "" if told.whole else f", {len(told.hosts)} changed",
            )
            self.store.list(
                told.seq,
                {h.name: h.raw for h in self.hosts.values()},
                self.clock(),
                str(self.config.discovery),
            )
        else:
            entries = ()
        kind = EndpointListKind.SNAPSHOT if told.whole else EndpointListKind.CHANGES
        self.events.append(EndpointListChanged(kind, entries))
        if not self.frozen:
            self.round()
