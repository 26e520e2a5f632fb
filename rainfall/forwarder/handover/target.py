"""The target of a handover: the process that takes over."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from contextlib import suppress
from http import HTTPStatus
from pathlib import Path
from typing import Protocol

from rainfall.dispatch import AttemptFinished
from rainfall.forwarder.admin.admin_server import AdminResponder
from rainfall.forwarder.handover.connection import (
    SOCKET_NAME,
    HandoverConnection,
    short_path,
)
from rainfall.forwarder.handover.journal_lock import LOCK_RETRY_S, JournalLock
from rainfall.forwarder.handover.messages import (
    AttemptOutcome,
    CancelRequest,
    ClientDisconnected,
    DetachAnswer,
    DetachRequest,
    HandoverMessage,
    Refusal,
    ReloadRequest,
    Reply,
    Request,
    SnapshotReply,
    SourceMessage,
    Submission,
    SubmissionAnswer,
    decode_reply,
    decode_source_message,
)
from rainfall.forwarder.inbound.server import ResponseWriter, SubmittedMessage

SNAPSHOT_TIMEOUT_S = 2.0
"""How long the source may take to pause."""
log = logging.getLogger("rainfall.handover")


class TargetEngine(Protocol):
    """What the engine that takes over does for the handover."""

    def submit(self, submitted: SubmittedMessage, writer: ResponseWriter) -> None:
        """Take a message that a client of the source submits."""

    def remote_attempt_finished(self, event: AttemptFinished) -> None:
        """Take the outcome of a call of the source."""

    def set_detached(self, name: str, detached: bool, answer: AdminResponder) -> None:
        """Carry out a request of an operator of the source."""

    def reload(self) -> None:
        """Read the configuration again."""

    def source_lost(self) -> None:
        """The source ended."""


class ProxiedResponseWriter:
    """Answers a client whose connection the source holds."""

    def __init__(self, target: HandoverTarget, number: int) -> None:
        self.handover_target, self.number = target, number
        self.on_disconnect: Callable[[], None] | None = None

    def answer(self, status: HTTPStatus, text: str = "", **headers: str) -> None:
        """Send the answer to the source."""
        self.on_disconnect = None
        self.handover_target.response_writers.pop(self.number, None)
        self.handover_target.link.send_message(
            SubmissionAnswer(self.number, status.value, text, headers)
        )


class HandoverTarget:
    """Asks the source for its snapshot and for the journal, then hears its proxy."""

    def __init__(self) -> None:
        self.link = HandoverConnection(self.on_message, self.on_disconnect)
        self.snapshot: HandoverMessage = {}
        """The source's snapshot as JSON data; empty before it has come."""
        self.engine: TargetEngine | None = None
        self.early_messages: list[HandoverMessage] = []
        """Lines that came before there was an engine."""
        self.response_writers: dict[int, ProxiedResponseWriter] = {}
        self.reply: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.disconnected = False

    async def request_snapshot(self, folder: Path) -> bool:
        """Ask the process that listens here to pause; whether it has sent a snapshot."""
        try:
            with short_path(folder / SOCKET_NAME) as path:
                await asyncio.get_running_loop().create_unix_connection(
                    lambda: self.link, path
                )
        except OSError:
            return False
        return await self.request(Request.SNAPSHOT, SNAPSHOT_TIMEOUT_S)

    async def request_ownership(self) -> bool:
        """Ask for the journal; whether this process owns it from now on.

        The source confirms, disconnects or dies, and there is no timeout: giving up
        might cross its confirmation, and then each would leave the journal to the
        other.
        """
        return await self.request(Request.OWNERSHIP, None)

    async def request(self, request: str, timeout_s: float | None) -> bool:
        """Send a request and wait for the reply.

        Args:
            request: One of `Request`, or its value.
            timeout_s: How long to wait; None for as long as the source is there.

        Returns:
            Whether it is granted.
        """
        if self.disconnected:
            return False
        self.reply = asyncio.get_running_loop().create_future()
        self.link.send_message(Request(request))
        try:
            async with asyncio.timeout(timeout_s):
                return await self.reply
        except TimeoutError:
            self.link.close()
            return False

    def cancel_call(self, message_id: str, attempt: int) -> None:
        """Have the source cancel a call that it has in flight."""
        self.link.send_message(CancelRequest(message_id, attempt))

    def attach(self, engine: TargetEngine) -> None:
        """Give the engine all that has come, and all that comes from now on."""
        self.engine = engine
        early_messages, self.early_messages = self.early_messages, []
        for line in early_messages:
            self.on_message(self.link, line)
        if self.disconnected:
            self.disconnect_clients(engine)

    def on_message(self, _link: HandoverConnection, received: HandoverMessage) -> None:
        """Take a line from the source."""
        reply = decode_reply(received)
        if reply is not None:
            self.on_reply(reply)
        elif self.engine is None:
            self.early_messages.append(received)
        else:
            self.on_source_message(self.engine, decode_source_message(received))

    def on_reply(self, reply: Reply) -> None:
        """Take the reply to a request."""
        if isinstance(reply, SnapshotReply):
            self.snapshot = reply.snapshot
        if not self.reply.done():
            self.reply.set_result(not isinstance(reply, Refusal))

    def on_source_message(
        self, engine: TargetEngine, message: SourceMessage | None
    ) -> None:
        """Pass a message of the source's on to the engine."""
        match message:
            case Submission(number, submitted):
                writer = ProxiedResponseWriter(self, number)
                self.response_writers[number] = writer
                engine.submit(submitted, writer)
            case ClientDisconnected(number):
                proxy = self.response_writers.pop(number, None)
                if proxy is not None and proxy.on_disconnect is not None:
                    proxy.on_disconnect()
            case AttemptOutcome(event):
                engine.remote_attempt_finished(event)
            case ReloadRequest():
                engine.reload()
            case DetachRequest(number, endpoint, detached):
                engine.set_detached(
                    endpoint,
                    detached,
                    lambda status, text: self.link.send_message(
                        DetachAnswer(number, status.value, text)
                    ),
                )

    def on_disconnect(self, _link: HandoverConnection) -> None:
        """The source ended, or closed the connection."""
        self.disconnected = True
        if not self.reply.done():
            self.reply.set_result(False)
        if self.engine is not None:
            self.disconnect_clients(self.engine)

    def disconnect_clients(self, engine: TargetEngine) -> None:
        """Tell the engine that the source and its clients are gone.

        This holds also for clients whose messages came before there was an engine: none
        of them can get an answer.
        """
        for proxy in list(self.response_writers.values()):
            if proxy.on_disconnect is not None:
                proxy.on_disconnect()
        self.response_writers.clear()
        engine.source_lost()


async def claim_journal(lock: JournalLock, folder: Path) -> HandoverTarget | None:
    """Become the process that holds the journal.

    A process that neither hands over nor ends is waited for: two writers would lose
    messages.

    Returns:
        The handover with the process that holds it; None where nobody does any more.
    """
    waited = False
    while not lock.try_acquire():
        target = HandoverTarget()
        if await target.request_snapshot(folder):
            return target
        with suppress(OSError):
            target.link.close()
        if not waited:
            waited = True
            log.warning(
                "another process holds the journal and does not hand it over; waiting"
            )
        await asyncio.sleep(LOCK_RETRY_S)
    return None
