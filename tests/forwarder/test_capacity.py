"""Past each bound a hand-in is refused with 503 and Retry-After; what was taken on
stays.
"""

from __future__ import annotations

import asyncio
import logging
from dataclasses import replace
from http import HTTPStatus
from pathlib import Path

import pytest

from rainfall.forwarder.engine.engine import Engine
from rainfall.forwarder.engine.message_limits import (
    MESSAGE_BYTES,
    MIN_MESSAGE_MEMORY_BYTES,
    CapacityLimit,
    has_memory,
    message_memory_bytes,
)
from rainfall.forwarder.inbound.server import SubmittedMessage
from tests.forwarder.test_parts import engine as small_engine

SECONDS = 1_000_000


class Client:
    def __init__(self) -> None:
        self.on_disconnect = None
        self.answers: list[tuple[HTTPStatus, dict[str, str]]] = []

    def answer(self, status: HTTPStatus, text: str = "", **headers: str) -> None:
        self.answers.append((status, headers))


def hand_in(engine: Engine, name: str, decide: bool = True) -> HTTPStatus | None:
    """The answer to a message, or None where it waits for the round that is not
    made.
    """
    client = Client()
    due_us = engine.clock() + 60 * SECONDS
    engine.submit(
        SubmittedMessage(name, "order", 7, due_us, None, None, None, False, b"x" * 200),
        client,
    )
    if decide:
        engine.run_round()
    if not client.answers:
        return None
    [(status, headers)] = client.answers
    assert (status is HTTPStatus.SERVICE_UNAVAILABLE) == ("Retry_After" in headers)
    return status


def test_past_the_number_of_messages_a_hand_in_is_refused_before_it_is_decided_on(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def scene() -> None:
        engine = small_engine(tmp_path)
        most = engine.config.settings.max_open_messages
        answers = [hand_in(engine, f"m{n}", decide=False) for n in range(most + 1)]
        assert answers == [*[None] * most, HTTPStatus.SERVICE_UNAVAILABLE]
        assert any(
            CapacityLimit.MESSAGES.value in r.getMessage() for r in caplog.records
        )

    asyncio.run(scene())


@pytest.mark.parametrize("bound", [CapacityLimit.MEMORY, CapacityLimit.DISK])
def test_past_a_bound_a_hand_in_is_refused_and_what_was_taken_on_stays(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, bound: CapacityLimit
) -> None:
    async def scene() -> None:
        first = small_engine(tmp_path / "none").config
        config = replace(
            first,
            state=tmp_path / "state",
            settings=replace(first.settings, max_open_messages=10**6, max_in_flight=1),
            memory_mb=1 if bound is CapacityLimit.MEMORY else 10**5,
            disk_bytes=400_000 if bound is CapacityLimit.DISK else 10**9,
        )
        engine = Engine(config)
        engine.pool.start = lambda call: None  # type: ignore[method-assign]
        most = MIN_MESSAGE_MEMORY_BYTES // MESSAGE_BYTES
        answers = [hand_in(engine, f"m{n}") for n in range(most + 1)]
        taken = answers.count(HTTPStatus.ACCEPTED)
        assert 20 <= taken == len(engine.store.messages) <= most
        assert set(answers[taken:]) == {HTTPStatus.SERVICE_UNAVAILABLE}
        assert any(bound.value in r.getMessage() for r in caplog.records)
        engine.store.append_finished("m0")
        engine.store.compact()
        assert hand_in(engine, "again") is HTTPStatus.ACCEPTED
        assert {f"m{n}" for n in range(1, taken)} <= engine.store.messages.keys()
        engine.store.close()

    (tmp_path / "none").mkdir()
    (tmp_path / "state").mkdir()
    with caplog.at_level(logging.WARNING):
        asyncio.run(scene())


def test_the_memory_for_held_messages_follows_the_limit() -> None:
    assert (
        message_memory_bytes(16) == MIN_MESSAGE_MEMORY_BYTES
        and message_memory_bytes(64) == 32_000_000
    )
    assert has_memory(64, 1_000, 30_200_000) and not has_memory(64, 1_001, 30_200_000)
