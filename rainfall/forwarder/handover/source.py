"""The source of a handover: the process that serves until the target takes over.

The target requests a snapshot, for which the engine pauses, and then the ownership of
the journal. After the transfer the source is a proxy: it keeps its open connections, and
forwards their messages to the target and the target's answers to them.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
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
from rainfall.forwarder.handover.messages import (
    AttemptOutcome,
    CancelRequest,
    ClientDisconnected,
    DetachAnswer,
    DetachRequest,
    HandoverMessage,
    OwnershipConfirmed,
    Refusal,
    ReloadRequest,
    Request,
    SnapshotReply,
    Submission,
    SubmissionAnswer,
    TargetMessage,
    decode_target_message,
    is_snapshot_request,
)
from rainfall.forwarder.inbound.server import ResponseWriter, SubmittedMessage

HOLD_TIMEOUT_S = 1.5
"""Initial hold timeout: how long the engine stays paused while a target reads the
journal. Clients wait during the pause.
"""
MAX_HOLD_TIMEOUT_S = 3.0
"""The hold timeout doubles after each target that exceeds it, up to this: a target has
to serve within 6 s of its start.
"""
log = logging.getLogger("rainfall.handover")


class SourceEngine(Protocol):
    """The methods of the engine that the source calls."""

    def pause_for_handover(
        self, on_paused: Callable[[HandoverMessage | None], None]
    ) -> None:
        """Pause, then call `on_paused` with the snapshot.

        It is called with None where the engine cannot hand over now.
        """

    def resume_after_handover(self) -> None:
        """Resume serving after a pause without a transfer."""

    def transfer_ownership(self) -> None:
        """Release the journal to the target, and confirm it by `confirm_transfer`."""

    def target_lost(self) -> None:
        """Handle the loss of a target that owns the journal."""

    def cancel_call(self, message_id: str, attempt: int) -> None:
        """Cancel a call that this process has in flight."""

    def reload_inbound_settings(self) -> None:
        """Apply a reloaded configuration to the connections that remain here."""


class HandoverSource:
    """Listens for a target, hands the journal over to it, and then acts as its proxy.

    There is one target at a time; others are refused.
    """

    def __init__(self, engine: SourceEngine) -> None:
        self.engine = engine
        self.transferred = False
        """Whether the target owns the journal; it never becomes False again."""
        self.pause_completed = True
        """Whether the engine has called `on_paused` for the last pause requested."""
        self.connection: HandoverConnection | None = None
        """The connection to the current target."""
        self.listener: asyncio.Server | None = None
        self.hold_timer: asyncio.TimerHandle | None = None
        """Runs from the snapshot until the target requests ownership."""
        self.hold_timeout_s = HOLD_TIMEOUT_S
        self.refuse_until_s = 0.0
        """By `time.monotonic`; targets are refused until then."""
        self.last_request_number = 0
        self.response_writers: dict[int, tuple[str, ResponseWriter]] = {}
        """Message id and response writer of each forwarded message, by request number."""
        self.admin_responders: dict[int, AdminResponder] = {}
        """Operators whose request was forwarded, by request number."""

    async def listen(self, folder: Path) -> None:
        """Listen for targets on the handover socket in the state directory.

        If the socket cannot be created, this process serves without handover, and a new
        process waits until this one ends.
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
        """Stop listening and close the connection to the target."""
        if self.listener is not None:
            self.listener.close()
        if self.connection is not None:
            self.connection.close()

    def on_message(
        self, connection: HandoverConnection, received: HandoverMessage
    ) -> None:
        """Handle a line from a target (callback of the connection)."""
        if is_snapshot_request(received):
            self.start_handover(connection)
        elif connection is not self.connection:
            connection.close()
        else:
            self.on_target_message(decode_target_message(received))

    def on_target_message(self, message: TargetMessage | None) -> None:
        """Handle a message from the current target; None, an unknown kind, is ignored."""
        match message:
            case Request.OWNERSHIP:
                if not self.transferred:
                    self.stop_hold_timer()
                    self.transferred = True
                    self.engine.transfer_ownership()
            case SubmissionAnswer(number, status, text, headers):
                entry = self.response_writers.pop(number, None)
                if entry is not None:
                    _, writer = entry
                    writer.answer(HTTPStatus(status), text, **headers)
            case DetachAnswer(number, status, text):
                self.admin_responders.pop(number)(HTTPStatus(status), text)
            case CancelRequest(message_id, attempt):
                self.engine.cancel_call(message_id, attempt)

    def start_handover(self, connection: HandoverConnection) -> None:
        """Pause the engine for a target, or refuse the target."""
        # The pause for a target that has disconnected may still be under way. After a
        # target that was too slow, all targets are refused for a while: one that retries
        # immediately would keep the engine paused.
        busy = (
            self.connection is not None or self.transferred or not self.pause_completed
        )
        if busy or time.monotonic() < self.refuse_until_s:
            self.refuse(connection)
            return
        self.connection = connection
        self.pause_completed = False
        self.engine.pause_for_handover(
            lambda snapshot: self.send_snapshot(connection, snapshot)
        )

    def refuse(self, connection: HandoverConnection) -> None:
        """Send a refusal and close the connection."""
        connection.send_message(Refusal())
        connection.close()

    def send_snapshot(
        self, connection: HandoverConnection, snapshot: HandoverMessage | None
    ) -> None:
        """Send the snapshot once the engine has paused, and start the hold timer.

        If the engine could not pause (None), or the handover was aborted meanwhile, the
        target is refused and the engine resumes.
        """
        self.pause_completed = True
        if snapshot is None or connection is not self.connection:
            if connection is self.connection:
                self.connection = None
            self.refuse(connection)
            self.engine.resume_after_handover()
            return
        connection.send_message(SnapshotReply(snapshot))
        self.hold_timer = asyncio.get_running_loop().call_later(
            self.hold_timeout_s, self.on_hold_timeout
        )

    def stop_hold_timer(self) -> None:
        """Cancel the hold timer, if it is running."""
        if self.hold_timer is not None:
            self.hold_timer.cancel()
            self.hold_timer = None

    def on_hold_timeout(self) -> None:
        """Abort a handover whose target was too slow, and resume serving.

        Targets are refused for as long as the pause lasted; the next one is then given
        twice the time.
        """
        self.refuse_until_s = time.monotonic() + self.hold_timeout_s
        self.hold_timeout_s = min(2 * self.hold_timeout_s, MAX_HOLD_TIMEOUT_S)
        self.abort()

    def abort(self) -> None:
        """Abort the handover, unless the target owns the journal already."""
        if self.connection is not None and not self.transferred:
            connection, self.connection = self.connection, None
            self.stop_hold_timer()
            connection.close()
            log.warning("the new process did not take over; going on")
            # If the pause is still under way, `send_snapshot` resumes the engine.
            if self.pause_completed:
                self.engine.resume_after_handover()

    def on_disconnect(self, connection: HandoverConnection) -> None:
        """Handle the loss of the current target.

        Before the transfer the handover is aborted. After it the operators that wait
        are answered 503, and `SourceEngine.target_lost` is called for everything else.
        """
        if connection is not self.connection:
            return
        if not self.transferred:
            self.abort()
            return
        self.connection = None
        responders, self.admin_responders = self.admin_responders, {}
        for answer in responders.values():
            answer(HTTPStatus.SERVICE_UNAVAILABLE, "not ready\n")
        self.engine.target_lost()

    # After the transfer

    def confirm_transfer(self) -> None:
        """Confirm to the target that it owns the journal."""
        if self.connection is not None:
            self.connection.send_message(OwnershipConfirmed())

    def submit(self, submitted: SubmittedMessage, writer: ResponseWriter) -> None:
        """Forward a client's message to the target, which answers it.

        Without a target, or if the target does not keep up, the client is answered 503.
        """
        if self.connection is None or self.connection.is_congested():
            writer.answer(HTTPStatus.SERVICE_UNAVAILABLE, "not ready", Retry_After="1")
            return
        self.last_request_number += 1
        number = self.last_request_number
        self.response_writers[number] = (submitted.id, writer)
        writer.on_disconnect = lambda: self.forward_disconnect(number)
        self.connection.send_message(Submission(number, submitted))

    def forward_disconnect(self, number: int) -> None:
        """Report to the target that the client of a forwarded message disconnected."""
        if (
            self.response_writers.pop(number, None) is not None
            and self.connection is not None
        ):
            self.connection.send_message(ClientDisconnected(number))

    def forward_outcome(self, outcome: AttemptFinished) -> None:
        """Report the outcome of a call of this process to the target."""
        if self.connection is not None:
            self.connection.send_message(AttemptOutcome(outcome))

    def take_response_writers(self) -> dict[int, tuple[str, ResponseWriter]]:
        """Return `response_writers`, whose clients wait for the target, and clear it.

        The caller has to answer the clients.

        Returns:
            Message id and response writer, by request number.
        """
        writers, self.response_writers = self.response_writers, {}
        return writers

    def reload(self) -> None:
        """Handle a SIGHUP after the transfer.

        The settings of client connections are applied here; the target reloads the
        whole configuration.
        """
        self.engine.reload_inbound_settings()
        if self.connection is not None:
            self.connection.send_message(ReloadRequest())

    def set_detached(
        self, endpoint: str, detached: bool, answer: AdminResponder
    ) -> None:
        """Forward an operator's request to the target, which answers it.

        Without a target the operator is answered 503.
        """
        if self.connection is None:
            answer(HTTPStatus.SERVICE_UNAVAILABLE, "not ready\n")
            return
        self.last_request_number += 1
        number = self.last_request_number
        self.admin_responders[number] = answer
        self.connection.send_message(DetachRequest(number, endpoint, detached))
