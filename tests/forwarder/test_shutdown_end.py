"""Events in the last moments of a process, and what the next process restores from its
journal.
"""

from __future__ import annotations

import json
import os
from pathlib import Path

import pytest

from rainfall.forwarder.engine import shutdown
from tests.forwarder.test_restart_races import read_journal_state
from tests.forwarder.test_shutdown_races import (
    ClientSocket,
    RunningEngine,
    run_engine_scene,
    target,
)
from tests.support.loopback_peers import (
    OK,
    Answer,
    Peer,
    Platform,
    answer_in_turn,
    hang,
    message,
)


async def disable_scheduled_rounds(run: RunningEngine) -> None:
    """Disable scheduled rounds; from here on the test runs them."""
    run.engine.events.schedule_round = lambda: None  # type: ignore[method-assign]
    await run.until(lambda: not run.engine.round_scheduled)


def test_call_unsent_in_the_freeze_is_recorded_as_not_sent(
    tmp_path: Path,
) -> None:
    """The freeze runs the last round. A call of that round that cannot be sent finishes
    at once, when the engine runs no more rounds. Left in flight in the journal, it
    counted as possibly executed, and a message that must not be repeated was failed
    without any call.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, answer_in_turn(OK))
        run = await RunningEngine(folder, platform).ready()
        engine = run.engine
        await disable_scheduled_rounds(run)
        client = ClientSocket(run.port)
        client.send(message("m", "pay", Idempotency_Key=None))
        await run.until(lambda: bool(engine.intake.pending_submissions))
        engine.pool.set_endpoints(
            {}
        )  # the endpoint has just been removed; the dispatcher has no update yet
        run.begin_shutdown(shutdown.FREEZE_AFTER_S)
        engine.shutdown.advance_shutdown()
        assert (await client.answer())[0] == 202
        assert (
            engine.store.messages["m"].in_flight == {}
            and engine.store.messages["m"].executed_at_us < 0
        )
        client.socket.close()
        await run.end()
        stored = read_journal_state(folder).messages["m"]
        assert not peer.requests and (stored.attempts, stored.in_flight) == (1, {})
        next_run = await RunningEngine(folder, platform).ready()
        await peer.wait_for_requests(1)
        assert (
            peer.requests[0].headers["x-correlation-id"] == "m" and not platform.notices
        )
        await next_run.end()

    run_engine_scene(scene, tmp_path)


@pytest.mark.parametrize("cls", ["status", "pay"])
def test_unread_response_at_the_end_is_recorded(tmp_path: Path, cls: str) -> None:
    """When the response was dropped with its connection, the next process sent a
    delivered message again, or reported it as failed.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, hang)
        run = await RunningEngine(folder, platform).ready()
        client = ClientSocket(run.port)
        client.send(message("m", cls, Idempotency_Key=None))
        assert (await client.answer())[0] == 202
        await peer.wait_for_requests(1)
        client.socket.close()
        write_response_to_socket(peer)
        await run.end()  # in the loop iteration in which the response arrived
        assert (
            not run.engine.store.messages and not run.engine.store.pending_notifications
        )
        next_run = await RunningEngine(folder, platform).ready()
        assert (
            not next_run.engine.store.messages
            and not platform.notices
            and len(peer.requests) == 1
        )
        await next_run.end()

    run_engine_scene(scene, tmp_path)


@pytest.mark.parametrize("cls", ["status", "pay"])
@pytest.mark.parametrize("half", [True, False])
def test_batch_in_flight_at_the_end_loses_none_of_its_messages(
    tmp_path: Path, cls: str, half: bool
) -> None:
    """None or half of the batch's response has arrived. The next process sends the
    messages again, or reports each as failed.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await Peer(hang).start()
        platform.host("s1", peer.port, kind="lots")
        run = await RunningEngine(folder, platform).ready()
        await disable_scheduled_rounds(run)
        clients = [ClientSocket(run.port) for _ in range(3)]
        for number, client in enumerate(clients):
            client.send(message(f"m{number}", cls, Idempotency_Key=None))
        await run.until(lambda: len(run.engine.intake.pending_submissions) == 3)
        run.engine.run_round()
        for client in clients:
            assert (await client.answer())[0] == 202
            client.socket.close()
        await peer.wait_for_requests(1)
        assert peer.requests[0].path == "/hook/batch"
        if half:
            body = json.dumps(
                [{"id": f"m{n}", "state": "accepted"} for n in range(3)]
            ).encode()
            peer.requests[0].writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Backend-Load: x0=0.4"
                b",x1=25\r\n\r\n%b" % (len(body), body[:-1])
            )
            await run.until(
                lambda: any(c.response_started for c in run.engine.pool.calls.values())
            )
        run.begin_shutdown(shutdown.EXIT_AFTER_S)
        run.engine.shutdown.advance_shutdown()
        await run.end()
        peer.handler = answer_in_turn(Answer(500))
        next_run = await RunningEngine(folder, platform).ready()
        names = {f"m{n}" for n in range(3)}
        if cls == "pay":
            for name in names:
                assert (await platform.notice(name))["state"] == "failed"
            assert len(peer.requests) == 1
        else:
            await peer.until(
                lambda: (
                    names
                    <= {
                        e["id"]
                        for r in peer.requests[1:]
                        if r.path == "/hook/batch"
                        for e in json.loads(r.body)
                    }
                    | {r.headers.get("x-correlation-id", "") for r in peer.requests[1:]}
                )
            )
        await next_run.end()

    run_engine_scene(scene, tmp_path)


def write_response_to_socket(peer: Peer) -> None:
    """Write the response past the peer's own buffers: the bytes are in the forwarder's
    socket buffer when the function returns.
    """
    sock = peer.requests[0].writer.get_extra_info("socket")
    data = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    assert os.write(sock.fileno(), data) == len(data)
