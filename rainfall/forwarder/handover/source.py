"""The source of a handover: the process that serves until another one takes over."""

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
"""How long clients wait for a target that is slow to read the journal."""
MAX_HOLD_TIMEOUT_S = 3.0
"""A target that asks again gets twice the time, up to this: it has to serve 6 s after
its start.
"""
log = logging.getLogger("rainfall.handover")


class SourceEngine(Protocol):
    """What the engine that serves does for the handover."""

    def pause_for_handover(
        self, then: Callable[[HandoverMessage | None], None]
    ) -> None:
        """Pause, and call with the snapshot, or with None where that is impossible."""

    def resume_after_handover(self) -> None:
        """Go on: the target did not take over."""

    def transfer_ownership(self) -> None:
        """Leave the journal to the target."""

    def target_lost(self) -> None:
        """The target ended after it had taken over."""

    def cancel_call(self, message: str, attempt: int) -> None:
        """Cancel a call that is in flight here."""

    def reload_inbound_settings(self) -> None:
        """Apply a reloaded configuration to the connections that are still here."""


class HandoverSource:
    """Listens for a target, pauses the engine for it, and then serves as its proxy."""

    def __init__(self, engine: SourceEngine) -> None:
        self.engine = engine
        self.transferred = False
        """The target is the journal's writer."""
        self.pause_settled = True
        """No pause is on its way that has not called back yet."""
        self.link: HandoverConnection | None = None
        self.listener: asyncio.Server | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.hold_timeout_s = HOLD_TIMEOUT_S
        self.refuse_until_s = 0.0
        self.last_request_number = 0
        self.response_writers: dict[int, tuple[str, ResponseWriter]] = {}
        """The clients of forwarded messages, with the messages' ids, by number."""
        self.admin_responders: dict[int, AdminResponder] = {}

    async def listen(self, folder: Path) -> None:
        """Listen for a target.

        Where there can be no such socket, this process serves without: a new process
        then waits for its end.
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
        """End the handover, whatever has become of it."""
        if self.listener is not None:
            self.listener.close()
        if self.link is not None:
            self.link.close()

    def on_message(self, link: HandoverConnection, received: HandoverMessage) -> None:
        """Take a line from a target."""
        if is_snapshot_request(received):
            self.start_handover(link)
        elif link is not self.link:
            link.close()
        else:
            self.on_target_message(decode_target_message(received))

    def on_target_message(self, message: TargetMessage | None) -> None:
        """Take a message from the target that the handover is with."""
        match message:
            case Request.OWNERSHIP:
                if not self.transferred:
                    self.stop_timer()
                    self.transferred = True
                    self.engine.transfer_ownership()
            case SubmissionAnswer(number, status, text, headers):
                waiting = self.response_writers.pop(number, None)
                if waiting is not None:
                    _, writer = waiting
                    writer.answer(HTTPStatus(status), text, **headers)
            case DetachAnswer(number, status, text):
                self.admin_responders.pop(number)(HTTPStatus(status), text)
            case CancelRequest(message_id, attempt):
                self.engine.cancel_call(message_id, attempt)

    def start_handover(self, link: HandoverConnection) -> None:
        """Pause the engine for a target, or refuse."""
        # Refused also while the engine pauses for one that has gone meanwhile, and for
        # a while after one that was too slow: asked again at once, it would pause for
        # good.
        busy = self.link is not None or self.transferred or not self.pause_settled
        if busy or time.monotonic() < self.refuse_until_s:
            self.refuse(link)
            return
        self.link = link
        self.pause_settled = False
        self.engine.pause_for_handover(
            lambda snapshot: self.send_snapshot(link, snapshot)
        )

    def refuse(self, link: HandoverConnection) -> None:
        """Tell a target that there is no handover now."""
        link.send_message(Refusal())
        link.close()

    def send_snapshot(
        self, link: HandoverConnection, snapshot: HandoverMessage | None
    ) -> None:
        """Send what the paused engine knows; None where it could not pause."""
        self.pause_settled = True
        if snapshot is None or link is not self.link:
            if link is self.link:
                self.link = None
            self.refuse(link)
            self.engine.resume_after_handover()
            return
        link.send_message(SnapshotReply(snapshot))
        self.timer = asyncio.get_running_loop().call_later(
            self.hold_timeout_s, self.on_hold_timeout
        )

    def stop_timer(self) -> None:
        """The target was quick enough, or is not waited for."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def on_hold_timeout(self) -> None:
        """Serve for as long as the pause took; then the next target has longer."""
        self.refuse_until_s = time.monotonic() + self.hold_timeout_s
        self.hold_timeout_s = min(2 * self.hold_timeout_s, MAX_HOLD_TIMEOUT_S)
        self.abort()

    def abort(self) -> None:
        """Wait for the target no longer, unless it owns the journal already."""
        if self.link is not None and not self.transferred:
            link, self.link = self.link, None
            self.stop_timer()
            link.close()
            log.warning("the new process did not take over; going on")
            # Else the engine goes on as soon as it has paused.
            if self.pause_settled:
                self.engine.resume_after_handover()

    def on_disconnect(self, link: HandoverConnection) -> None:
        """Answer operators and go on, as far as the lost target had come."""
        if link is not self.link:
            return
        if not self.transferred:
            self.abort()
            return
        self.link = None
        responders, self.admin_responders = self.admin_responders, {}
        for answer in responders.values():
            answer(HTTPStatus.SERVICE_UNAVAILABLE, "not ready\n")
        self.engine.target_lost()

    # After the transfer

    def confirm_transfer(self) -> None:
        """Tell the target that it owns the journal."""
        if self.link is not None:
            self.link.send_message(OwnershipConfirmed())

    def submit(self, submitted: SubmittedMessage, writer: ResponseWriter) -> None:
        """Have the target answer a message that came over a connection from here."""
        if self.link is None:
            writer.answer(HTTPStatus.SERVICE_UNAVAILABLE, "not ready", Retry_After="1")
            return
        self.last_request_number += 1
        number = self.last_request_number
        self.response_writers[number] = (submitted.id, writer)
        writer.on_disconnect = lambda: self.forward_disconnect(number)
        self.link.send_message(Submission(number, submitted))

    def forward_disconnect(self, number: int) -> None:
        """Tell the target that the client of a message is gone."""
        if (
            self.response_writers.pop(number, None) is not None
            and self.link is not None
        ):
            self.link.send_message(ClientDisconnected(number))

    def forward_outcome(self, outcome: AttemptFinished) -> None:
        """Tell the target how a call from here ended."""
        if self.link is not None:
            self.link.send_message(AttemptOutcome(outcome))

    def take_response_writers(self) -> dict[int, tuple[str, ResponseWriter]]:
        """The clients that wait for the target's answer; the caller answers them."""
        writers, self.response_writers = self.response_writers, {}
        return writers

    def reload(self) -> None:
        """SIGHUP came here, but the settings are the target's now."""
        self.engine.reload_inbound_settings()
        if self.link is not None:
            self.link.send_message(ReloadRequest())

    def set_detached(
        self, endpoint: str, detached: bool, answer: AdminResponder
    ) -> None:
        """Have the target answer an operator of this process."""
        if self.link is None:
            answer(HTTPStatus.SERVICE_UNAVAILABLE, "not ready\n")
            return
        self.last_request_number += 1
        number = self.last_request_number
        self.admin_responders[number] = answer
        self.link.send_message(DetachRequest(number, endpoint, detached))
