"""One connection to a target, and the call that is out on it.

What parts 'could not connect' (it never ran) from 'reset' (it may have run) is whether
the call's last byte was handed to the socket; so every byte is written here and no
library below keeps or resends one.
"""

from __future__ import annotations

import asyncio
import base64
import json
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from rainfall.dispatch import AttemptFinished, Outcome
from rainfall.net.config import Address
from rainfall.net.http import MOST_BODY, BadAnswer, ResponseReader, unread

STALE_US = 30_000  # a kept connection that breaks so soon under its call was stale


@dataclass(slots=True)
class Item:
    """One message of a call."""

    id: str
    attempt: int
    key: str | None
    body: bytes
    until_us: int
    leave_by_us: int = 0
    """When it may have run before: after this its receivers may have forgotten its key.
    0: at any time.
    """


@dataclass(slots=True)
class Call:
    target: int
    place: tuple[int, int]
    """What shares a wait: its destination, or one route where routes are apart."""
    sent_us: int
    items: list[Item]
    until_us: int = 0
    dial_until_us: int = 0
    connection: Connection | None = None
    timer: asyncio.TimerHandle | None = None
    written: bool = False
    batched: bool = False
    rendered: int = 0
    """Messages that its bytes hold."""
    begun: bool = False
    """Some of its answer has come."""
    open: dict[str, Item] = field(default_factory=dict)


@dataclass(slots=True)
class Result:
    outcome: Outcome
    closed: bool = False
    wait_us: int = 0
    weak: bool = False


Sink = Callable[[AttemptFinished], None]


if TYPE_CHECKING:

    class Owner(Protocol):
        """The pool, as its connections need it."""

        clock: Callable[[], int]
        relayed: int

        def spoilt(self, call: Call, error: object) -> None: ...

        def begun(self, call: Call) -> None: ...

        def ended(
            self, call: Call, reader: ResponseReader, broken: bool = False
        ) -> None: ...

        def was_stale(self, age_us: int, stale: bool) -> None: ...

        def keep(self, connection: Connection, target: int) -> None: ...

        def lost(self, connection: Connection) -> None: ...


class Connection(asyncio.Protocol):
    """A connection to a target, with at most one call on it."""

    def __init__(self, pool: Owner, where: Address) -> None:
        self.pool, self.where, self.idle_us = pool, where, -1
        self.start_us, self.age_us = (
            0,
            -1,
        )  # how long it had been idle before its call; -1 on a new one
        self.call: Call | None = None
        self.transport: asyncio.Transport | None = None
        self.reader = ResponseReader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        transport.set_write_buffer_limits(
            0
        )  # so that resume_writing tells that the last byte is out
        self.transport = transport

    def resume_writing(self) -> None:
        if self.call is not None:
            self.whole(self.call)

    def whole(self, call: Call) -> None:
        """The call's last byte is out."""
        if not call.written:
            call.written = True
            self.pool.relayed += call.rendered

    def closing(self) -> bool:
        return self.transport is None or self.transport.is_closing()

    def quiet(self) -> bool:
        """Whether nothing has come on it unasked. An end, a second answer or noise that
        waits unread would be taken for the next call's.
        """
        return not self.closing() and not self.unread()

    def unread(self) -> bool:
        """Whether something lies at its socket that the loop has not read: bytes, an
        end, a reset.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        return unread(self.transport)

    def start(self, call: Call, data: bytes) -> None:
        assert self.transport is not None
        self.reader.renew()
        self.start_us = self.pool.clock()
        self.age_us = self.start_us - self.idle_us if self.idle_us >= 0 else -1
        self.idle_us = -1
        self.call, call.connection = call, self
        self.transport.write(data)
        # A write that fails leaves the buffer empty, too: then the socket did not take
        # the last byte.
        if (
            self.transport.get_write_buffer_size() == 0
            and not self.transport.is_closing()
        ):
            self.whole(call)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def give_up(self) -> None:
        """Close it with its call out. A transport closes in the loop's next turn, and
        by then the call's copy may have left: so the sending ends here and now, which
        gives the call up as well.
        """
        if self.transport is not None and not self.transport.is_closing():
            with suppress(OSError):  # the target was first
                self.transport.get_extra_info("socket").shutdown(socket.SHUT_WR)
        self.close()

    def data_received(self, data: bytes) -> None:
        call = self.call
        if call is None:  # nothing was asked: not to be trusted any more
            self.close()
            return
        try:
            self.reader.feed(data)
        except BadAnswer as error:
            self.pool.spoilt(call, error)
            self.call, call.connection = None, None
            # before its end is told: the call may still be out, and its copy leave at
            # once
            self.give_up()
            self.pool.ended(call, self.reader, broken=True)
            return
        if not self.reader.complete:
            if self.reader.begun:
                self.pool.begun(call)
        else:
            self.pool.was_stale(self.age_us, False)
            self.call, call.connection = None, None
            self.pool.ended(call, self.reader)
            # What is left of a request that was answered early must not follow: its
            # call would start yet.
            if self.reader.keep_alive and call.written and not self.closing():
                self.pool.keep(self, call.target)
            else:
                self.close()

    def eof_received(self) -> None:
        """The target's end. A transport would go on and write what is left of a request
        before it closes; and what is not whole by now must not become so.
        """
        if self.call is not None and not self.call.written:
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        self.pool.lost(self)
        call, self.call = self.call, None
        if call is not None:
            call.connection = None
            if error is None:
                self.reader.ended()
            if (
                self.age_us >= 0
                and not self.reader.started
                and self.pool.clock() - self.start_us < STALE_US
            ):
                self.pool.was_stale(self.age_us, True)
            self.pool.ended(call, self.reader, broken=not self.reader.complete)
        self.reader.let_go()


def batch_body(items: list[Item]) -> bytes:
    return json.dumps(
        [
            {
                "id": item.id,
                **({} if item.key is None else {"key": item.key}),
                "body": base64.b64encode(item.body).decode(),
            }
            for item in items
        ],
        separators=(",", ":"),
    ).encode()


def fits(items: list[Item], item: Item) -> bool:
    """Whether one more message leaves the body of a batch call within what targets
    take.
    """
    return (
        sum(
            4 * len(x.body) // 3 + len(x.id) + len(x.key or "") + 64
            for x in [*items, item]
        )
        <= MOST_BODY
    )
