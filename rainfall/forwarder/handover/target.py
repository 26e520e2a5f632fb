"""The target of a handover: the process that takes over from the source.

It requests a snapshot, for which the source pauses, reads the journal, and then
requests ownership of the journal. After the transfer it handles the messages and
operators' requests that the source forwards, and receives the outcomes of the calls
that the source still has in flight.
"""

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
"""How long the target waits for a snapshot; the source pauses first."""
log = logging.getLogger("rainfall.handover")


class TargetEngine(Protocol):
    """What the handover needs of the engine that takes over."""

    def submit(self, submitted: SubmittedMessage, writer: ResponseWriter) -> None:
        """Handle a message that a client of the source has submitted."""

    def remote_attempt_finished(self, event: AttemptFinished) -> None:
        """Handle the outcome of a call of the source."""

    def set_detached(
        self, endpoint: str, detached: bool, answer: AdminResponder
    ) -> None:
        """Take an endpoint out of rotation or put it back, for the source's operator."""

    def reload(self) -> None:
        """Reload the configuration."""

    def source_lost(self) -> None:
        """Handle the end of the source, and of all its calls and connections."""


class ProxiedResponseWriter:
    """Answers a client whose connection the source holds."""

    def __init__(self, target: HandoverTarget, number: int) -> None:
        self.handover_target, self.number = target, number
        self.on_disconnect: Callable[[], None] | None = None

    def answer(self, status: HTTPStatus, text: str = "", **headers: str) -> None:
        """Send the answer to the source, which writes it to the client."""
        self.on_disconnect = None
        self.handover_target.response_writers.pop(self.number, None)
        self.handover_target.connection.send_message(
            SubmissionAnswer(self.number, status.value, text, headers)
        )


class HandoverTarget:
    """Takes the journal over from the source, then handles what the source forwards."""

    def __init__(self) -> None:
        self.connection = HandoverConnection(self.on_message, self.on_disconnect)
        """The connection to the source."""
        self.snapshot: HandoverMessage = {}
        """The source's snapshot as JSON data; empty until it is received."""
        self.engine: TargetEngine | None = None
        self.early_messages: list[HandoverMessage] = []
        """Lines received before an engine was attached."""
        self.response_writers: dict[int, ProxiedResponseWriter] = {}
        """Clients whose messages are not answered yet, by the source's number."""
        self.pending_reply: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )
        """Result of the last request: whether the source granted it."""
        self.disconnected = False
        """Whether the connection to the source has ended."""

    async def request_snapshot(self, folder: Path) -> bool:
        """Connect to the process that listens in a directory, and request a snapshot.

        Args:
            folder: The state directory.

        Returns:
            Whether `snapshot` holds one now; False if nothing listens there, or the
            source refuses, disconnects or takes longer than SNAPSHOT_TIMEOUT_S.
        """
        try:
            with short_path(folder / SOCKET_NAME) as path:
                await asyncio.get_running_loop().create_unix_connection(
                    lambda: self.connection, path
                )
        except OSError:
            return False
        return await self.send_request(Request.SNAPSHOT, SNAPSHOT_TIMEOUT_S)

    async def request_ownership(self) -> bool:
        """Request ownership of the journal.

        There is no timeout: the request ends when the source confirms it or its
        connection ends. If the target gave up, the source's confirmation might already
        be on its way, and then neither process would write the journal.

        Returns:
            Whether this process owns the journal from now on.
        """
        return await self.send_request(Request.OWNERSHIP, None)

    async def send_request(self, request: str, timeout_s: float | None) -> bool:
        """Send a request and wait for the reply.

        Args:
            request: A `Request`, or the value of one.
            timeout_s: How long to wait before the connection is closed; None: until
                the source replies or disconnects.

        Returns:
            Whether the source granted the request.
        """
        if self.disconnected:
            return False
        self.pending_reply = asyncio.get_running_loop().create_future()
        self.connection.send_message(Request(request))
        try:
            async with asyncio.timeout(timeout_s):
                return await self.pending_reply
        except TimeoutError:
            self.connection.close()
            return False

    def cancel_call(self, message_id: str, attempt: int) -> None:
        """Request that the source cancel a call that it has in flight."""
        self.connection.send_message(CancelRequest(message_id, attempt))

    def attach(self, engine: TargetEngine) -> None:
        """Pass the source's messages on to an engine, beginning with the buffered ones.

        If the source has disconnected already, that is reported after them.
        """
        self.engine = engine
        early_messages, self.early_messages = self.early_messages, []
        for line in early_messages:
            self.on_message(self.connection, line)
        if self.disconnected:
            self.disconnect_clients(engine)

    def on_message(self, _link: HandoverConnection, received: HandoverMessage) -> None:
        """Handle a line from the source (callback of the connection)."""
        reply = decode_reply(received)
        if reply is not None:
            self.on_reply(reply)
        elif self.engine is None:
            self.early_messages.append(received)
        else:
            self.on_source_message(self.engine, decode_source_message(received))

    def on_reply(self, reply: Reply) -> None:
        """Store a snapshot, and complete the pending request."""
        if isinstance(reply, SnapshotReply):
            self.snapshot = reply.snapshot
        if not self.pending_reply.done():
            self.pending_reply.set_result(not isinstance(reply, Refusal))

    def on_source_message(
        self, engine: TargetEngine, message: SourceMessage | None
    ) -> None:
        """Pass a message from the source on; None, an unknown kind, is ignored."""
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
                    lambda status, text: self.connection.send_message(
                        DetachAnswer(number, status.value, text)
                    ),
                )

    def on_disconnect(self, _link: HandoverConnection) -> None:
        """Handle the end of the connection: a pending request fails."""
        self.disconnected = True
        if not self.pending_reply.done():
            self.pending_reply.set_result(False)
        if self.engine is not None:
            self.disconnect_clients(self.engine)

    def disconnect_clients(self, engine: TargetEngine) -> None:
        """Report to the engine that the source and all its clients are gone.

        This includes clients whose messages were received before an engine was
        attached: none of them can be answered any more.
        """
        for proxy in list(self.response_writers.values()):
            if proxy.on_disconnect is not None:
                proxy.on_disconnect()
        self.response_writers.clear()
        engine.source_lost()


async def claim_journal(lock: JournalLock, folder: Path) -> HandoverTarget | None:
    """Claim the journal, by its lock or by a handover.

    While another process holds the lock and does not hand over, this waits without
    limit: two writers of one journal would lose messages.

    Returns:
        The handover in progress, with the snapshot received; None if this process holds
        the lock.
    """
    waited = False
    while not lock.try_acquire():
        target = HandoverTarget()
        if await target.request_snapshot(folder):
            return target
        with suppress(OSError):
            target.connection.close()
        if not waited:
            waited = True
            log.warning(
                "another process holds the journal and does not hand it over; waiting"
            )
        await asyncio.sleep(LOCK_RETRY_S)
    return None
