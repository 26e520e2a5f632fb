"""Handing over to a new version that starts while this one serves: the talk of the two
processes over a Unix socket in the shared folder. What is handed over, the engine
knows.

  new: ask                    old: memory, or no
  new: prepared               old: yours, once the lock is free
  new: answer, rotated, cancel    old: hand_in, gone, ended, rotate, reload
"""

from __future__ import annotations

import asyncio
import base64
import logging
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import asdict
from http import HTTPStatus
from pathlib import Path
from typing import TYPE_CHECKING, Protocol

from rainfall.dispatch import AttemptFinished, LoadReport, Outcome
from rainfall.forwarder.admin.admin_server import AdminResponder
from rainfall.forwarder.handover.connection import (
    HandoverConnection,
    HandoverMessage,
    short_path,
)
from rainfall.forwarder.handover.journal_lock import LOCK_RETRY_S, JournalLock
from rainfall.forwarder.inbound.server import ResponseWriter, SubmittedMessage

__all__ = [
    "HandoverConnection",
    "HandoverMessage",
    "HandoverSource",
    "HandoverTarget",
    "JournalLock",
    "ProxiedResponseWriter",
    "claim_journal",
]
SOCKET_NAME = "handover"
# a new process that takes longer to read the journal is not waited for: clients are
HOLD_TIMEOUT_S = 1.5
MAX_HOLD_TIMEOUT_S = (
    3.0  # one that comes again gets twice the time; its yes is due 6 s after its start
)
SNAPSHOT_TIMEOUT_S = 2.0  # how long the old process may take to stand still
log = logging.getLogger("rainfall.handover")


if TYPE_CHECKING:

    class SourceEngine(Protocol):
        """What the engine that serves does for the handover."""

        def pause_for_handover(
            self, then: Callable[[HandoverMessage | None], None]
        ) -> None: ...

        def resume_after_handover(self) -> None: ...

        def transfer_ownership(self) -> None: ...

        def target_lost(self) -> None: ...

        def cancel_call(self, message: str, attempt: int) -> None: ...

        def reload_inbound_settings(self) -> None: ...


class HandoverSource:
    """The side of the process that serves, until another one asks for what it holds."""

    def __init__(self, engine: SourceEngine) -> None:
        self.engine, self.transferred, self.pause_settled = engine, False, True
        self.link: HandoverConnection | None = None
        self.listener: asyncio.Server | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.hold_timeout_s, self.refuse_until_s = HOLD_TIMEOUT_S, 0.0
        self.last_request_number = 0
        self.response_writers: dict[int, tuple[str, ResponseWriter]] = {}
        self.admin_responders: dict[int, AdminResponder] = {}

    async def listen(self, folder: Path) -> None:
        """Where such a socket cannot be had, this process serves without: a new one
        waits for its end.
        """
        try:
            with short_path(folder / SOCKET_NAME) as path:
                self.listener = await asyncio.get_running_loop().create_unix_server(
                    lambda: HandoverConnection(self.on_message, self.on_disconnect),
                    path,
                )
        except (OSError, NotImplementedError) as error:
            log.warning(
                "no handover to a new version from here: %s",
                error or type(error).__name__,
            )

    def close(self) -> None:
        if self.listener is not None:
            self.listener.close()
        if self.link is not None:
            self.link.close()

    def on_message(self, link: HandoverConnection, received: HandoverMessage) -> None:
        if "ask" in received:
            self.start_handover(link)
        elif link is not self.link:
            link.close()
        elif "prepared" in received and not self.transferred:
            self.stop_timer()
            self.transferred = True
            self.engine.transfer_ownership()
        elif "answer" in received:
            number, status, text, headers = received["answer"]
            waiting = self.response_writers.pop(number, None)
            if waiting is not None:
                waiting[1].answer(HTTPStatus(status), text, **headers)
        elif "rotated" in received:
            number, status, text = received["rotated"]
            self.admin_responders.pop(number)(HTTPStatus(status), text)
        elif "cancel" in received:
            self.engine.cancel_call(*received["cancel"])

    def start_handover(self, link: HandoverConnection) -> None:
        # Also while the engine still stands still for one that has gone meanwhile, and
        # a while after one that was too slow: asked again at once, it would stand still
        # for good.
        busy = self.link is not None or self.transferred or not self.pause_settled
        if busy or time.monotonic() < self.refuse_until_s:
            self.refuse(link)
            return
        self.link = link
        self.pause_settled = False
        self.engine.pause_for_handover(lambda memory: self.send_snapshot(link, memory))

    def refuse(self, link: HandoverConnection) -> None:
        link.send(no=True)
        link.close()

    def send_snapshot(
        self, link: HandoverConnection, snapshot: HandoverMessage | None
    ) -> None:
        """All stands still, or cannot."""
        self.pause_settled = True
        if snapshot is None or link is not self.link:
            if link is self.link:
                self.link = None
            self.refuse(link)
            self.engine.resume_after_handover()
            return
        link.send(memory=snapshot)
        self.timer = asyncio.get_running_loop().call_later(
            self.hold_timeout_s, self.on_hold_timeout
        )

    def stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def on_hold_timeout(self) -> None:
        """Who waits is served for as long as all stood still; then the next try has
        longer.
        """
        self.refuse_until_s = time.monotonic() + self.hold_timeout_s
        self.hold_timeout_s = min(2 * self.hold_timeout_s, MAX_HOLD_TIMEOUT_S)
        self.abort()

    def abort(self) -> None:
        """The new process is not waited for any longer, unless all is its already."""
        if self.link is not None and not self.transferred:
            link, self.link = self.link, None
            self.stop_timer()
            link.close()
            log.warning("the new process did not take over; going on")
            if self.pause_settled:  # else it goes on as soon as all stands still
                self.engine.resume_after_handover()

    def on_disconnect(self, link: HandoverConnection) -> None:
        if link is not self.link:
            return
        if self.transferred:
            self.link = None
            rotations, self.admin_responders = self.admin_responders, {}
            for answer in rotations.values():
                answer(HTTPStatus.SERVICE_UNAVAILABLE, "not ready\n")
            self.engine.target_lost()
        else:
            self.abort()

    # Once all is given away

    def confirm_transfer(self) -> None:
        if self.link is not None:
            self.link.send(yours=True)

    def submit(self, submitted: SubmittedMessage, writer: ResponseWriter) -> None:
        """A request that came over a connection of this process is answered by the new
        one.
        """
        if self.link is None:
            writer.answer(HTTPStatus.SERVICE_UNAVAILABLE, "not ready", Retry_After="1")
            return
        self.last_request_number += 1
        number = self.last_request_number
        self.response_writers[number] = (submitted.id, writer)
        writer.on_disconnect = lambda: self.forward_disconnect(number)
        self.link.send(
            hand_in=[
                number,
                {
                    **asdict(submitted),
                    "body": base64.b64encode(submitted.body).decode(),
                },
            ]
        )

    def forward_disconnect(self, number: int) -> None:
        if (
            self.response_writers.pop(number, None) is not None
            and self.link is not None
        ):
            self.link.send(gone=number)

    def forward_outcome(self, outcome: AttemptFinished) -> None:
        if self.link is not None:
            report = (
                None
                if outcome.load_report is None
                else [
                    outcome.load_report.remaining_share,
                    outcome.load_report.limit_per_s,
                ]
            )
            self.link.send(
                ended=[
                    outcome.message_id,
                    outcome.attempt,
                    outcome.endpoint,
                    outcome.outcome.value,
                    outcome.duration_us,
                    outcome.message_closed,
                    outcome.retry_after_us,
                    report,
                    outcome.inconclusive,
                ]
            )

    def take_response_writers(self) -> dict[int, tuple[str, ResponseWriter]]:
        """The clients whose messages the new process has, with the messages' ids; they
        are this object's no longer.
        """
        writers, self.response_writers = self.response_writers, {}
        return writers

    def reload(self) -> None:
        """SIGHUP came here, but the settings are the new process's now."""
        self.engine.reload_inbound_settings()
        if self.link is not None:
            self.link.send(reload=True)

    def set_detached(
        self, endpoint: str, detached: bool, answer: AdminResponder
    ) -> None:
        if self.link is None:
            answer(HTTPStatus.SERVICE_UNAVAILABLE, "not ready\n")
            return
        self.last_request_number += 1
        self.admin_responders[self.last_request_number] = answer
        self.link.send(rotate=[self.last_request_number, endpoint, detached])


if TYPE_CHECKING:

    class TargetEngine(Protocol):
        """What the engine that takes over does for the handover."""

        def submit(
            self, submitted: SubmittedMessage, writer: ResponseWriter
        ) -> None: ...

        def remote_attempt_finished(self, event: AttemptFinished) -> None: ...

        def set_detached(
            self, name: str, detached: bool, answer: AdminResponder
        ) -> None: ...

        def reload(self) -> None: ...

        def source_lost(self) -> None: ...


class ProxiedResponseWriter:
    """A client's connection that the old process holds."""

    def __init__(self, successor: HandoverTarget, number: int) -> None:
        self.handover_target, self.number = successor, number
        self.on_disconnect: Callable[[], None] | None = None

    def answer(self, status: HTTPStatus, text: str = "", **headers: str) -> None:
        self.on_disconnect = None
        self.handover_target.response_writers.pop(self.number, None)
        self.handover_target.link.send(
            answer=[self.number, status.value, text, headers]
        )


class HandoverTarget:
    """The side of the process that takes over."""

    def __init__(self) -> None:
        self.link = HandoverConnection(self.on_message, self.on_disconnect)
        self.snapshot: HandoverMessage = {}
        self.engine: TargetEngine | None = None
        self.early_messages: list[HandoverMessage] = []
        self.response_writers: dict[int, ProxiedResponseWriter] = {}
        self.reply: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.disconnected = False

    async def request_snapshot(self, folder: Path) -> bool:
        """Whether the old process holds still and has told what it knows."""
        try:
            with short_path(folder / SOCKET_NAME) as path:
                await asyncio.get_running_loop().create_unix_connection(
                    lambda: self.link, path
                )
        except OSError:
            return False
        return await self.request("ask", SNAPSHOT_TIMEOUT_S)

    async def request_ownership(self) -> bool:
        """Whether all is this process's from now on.

        The old one says so, ends the talk, or dies: to give up before might cross its
        yes, and then each would leave all to the other.
        """
        return await self.request("prepared", None)

    async def request(self, word: str, timeout_s: float | None) -> bool:
        if self.disconnected:
            return False
        self.reply = asyncio.get_running_loop().create_future()
        self.link.send(**{word: True})
        try:
            async with asyncio.timeout(timeout_s):
                return await self.reply
        except TimeoutError:
            self.link.close()
            return False

    def cancel_call(self, message: str, attempt: int) -> None:
        """Have the old process cancel a call that it has in flight."""
        self.link.send(cancel=[message, attempt])

    def attach(self, engine: TargetEngine) -> None:
        self.engine = engine
        early_messages, self.early_messages = self.early_messages, []
        for line in early_messages:
            self.on_message(self.link, line)
        if self.disconnected:
            self.disconnect_clients(engine)

    def on_message(self, link: HandoverConnection, received: HandoverMessage) -> None:
        if "memory" in received or "yours" in received or "no" in received:
            self.snapshot = received.get("memory", self.snapshot)
            if not self.reply.done():
                self.reply.set_result("no" not in received)
        elif self.engine is None:
            self.early_messages.append(received)
        elif "hand_in" in received:
            number, parts = received["hand_in"]
            writer = self.response_writers[number] = ProxiedResponseWriter(self, number)
            self.engine.submit(
                SubmittedMessage(**{**parts, "body": base64.b64decode(parts["body"])}),
                writer,
            )
        elif "gone" in received:
            proxy = self.response_writers.pop(received["gone"], None)
            if proxy is not None and proxy.on_disconnect is not None:
                proxy.on_disconnect()
        elif "ended" in received:
            (
                message,
                attempt,
                target,
                outcome,
                took_us,
                closed,
                wait_us,
                report,
                weak,
            ) = received["ended"]
            load_report = None if report is None else LoadReport(*report)
            self.engine.remote_attempt_finished(
                AttemptFinished(
                    message,
                    attempt,
                    target,
                    Outcome(outcome),
                    took_us,
                    closed,
                    wait_us,
                    load_report,
                    weak,
                )
            )
        elif "reload" in received:
            self.engine.reload()
        elif "rotate" in received:
            number, name, out = received["rotate"]
            self.engine.set_detached(
                name,
                out,
                lambda status, text: self.link.send(
                    rotated=[number, status.value, text]
                ),
            )

    def on_disconnect(self, link: HandoverConnection) -> None:
        self.disconnected = True
        if not self.reply.done():
            self.reply.set_result(False)
        if self.engine is not None:
            self.disconnect_clients(self.engine)

    def disconnect_clients(self, engine: TargetEngine) -> None:
        """The clients of the process before went with it, also those whose requests
        were told before there was an engine to take them: none of them can hear an
        answer.
        """
        for proxy in list(self.response_writers.values()):
            if proxy.on_disconnect is not None:
                proxy.on_disconnect()
        self.response_writers.clear()
        engine.source_lost()


async def claim_journal(lock: JournalLock, folder: Path) -> HandoverTarget | None:
    """Become the one that holds the journal: at once where nobody does, else by asking
    who does. A process that neither answers nor ends is waited for: two writers would
    cost what is held.
    """
    waited = False
    while not lock.try_acquire():
        successor = HandoverTarget()
        if await successor.request_snapshot(folder):
            return successor
        with suppress(OSError):
            successor.link.close()
        if not waited:
            waited = True
            log.warning(
                "another process holds the journal and does not hand it over; waiting"
            )
        await asyncio.sleep(LOCK_RETRY_S)
    return None
