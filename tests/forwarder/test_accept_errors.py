"""Errors of accept(2) that concern one connection do not cost the others theirs."""

from __future__ import annotations

import asyncio
import errno
import socket
from http import HTTPStatus

import pytest

from rainfall.forwarder.inbound import connection_registry
from tests.forwarder.test_shutdown_races import ClientSocket, ServerHarness, play
from tests.support.loopback_peers import message


class FlakySocket(socket.socket):
    """Fails in its first calls of accept, and accepts then."""

    errnos: list[int] = []

    def accept(self) -> tuple[socket.socket, object]:
        if FlakySocket.errnos:
            raise OSError(FlakySocket.errnos.pop(0), "injected")
        return super().accept()


@pytest.mark.parametrize(
    "error", [errno.ECONNABORTED, errno.EPROTO, errno.ENETDOWN, errno.ENOBUFS]
)
def test_backlog_is_accepted_at_the_end_though_one_accept_fails(
    error: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene(harness: ServerHarness) -> None:
        harness.immediate_status = HTTPStatus.ACCEPTED
        FlakySocket.errnos = [error, error]
        monkeypatch.setattr(connection_registry.socket, "socket", FlakySocket)
        loop = asyncio.get_running_loop()
        assert harness.server.listener is not None
        for sock in harness.server.listener.sockets:
            loop.remove_reader(sock.fileno())  # the clients stay in the backlog
        clients = [ClientSocket(harness.port) for _ in range(3)]
        for number, client in enumerate(clients):
            client.send(message(f"m{number}"))
        harness.server.stop_listening()
        for client in clients:
            assert (await client.answer())[0] == 202
        assert not FlakySocket.errnos
        monkeypatch.undo()
        for client in clients:
            client.socket.close()

    play(scene)
