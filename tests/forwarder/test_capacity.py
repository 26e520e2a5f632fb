"""A submitted message over a capacity limit is rejected with 503 and Retry-After, and
accepted messages are kept.
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
    BASE_PROCESS_BYTES,
    BYTES_PER_MB,
    CONNECTION_BYTES,
    MESSAGE_BYTES,
    MIN_MESSAGE_MEMORY_BYTES,
    CapacityLimit,
    has_memory,
    input_memory_bytes,
    message_memory_bytes,
)
from rainfall.forwarder.inbound.server import SubmittedMessage
from tests.forwarder.test_parts import make_engine as small_engine

SECOND_US = 1_000_000


class Client:
    def __init__(self) -> None:
        self.on_disconnect = None
        self.answers: list[tuple[HTTPStatus, dict[str, str]]] = []

    def answer(self, status: HTTPStatus, text: str = "", **headers: str) -> None:
        self.answers.append((status, headers))


def hand_in(engine: Engine, name: str, decide: bool = True) -> HTTPStatus | None:
    """Submits a message and returns its status, or None without an answer yet.

    Without `decide`, the engine does not run the round that answers the message.
    """
    client = Client()
    due_us = engine.clock() + 60 * SECOND_US
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


def test_message_over_open_limit_is_rejected_before_the_round(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def scene() -> None:
        engine = small_engine(tmp_path)
        max_messages = engine.config.settings.max_open_messages
        answers = [
            hand_in(engine, f"m{n}", decide=False) for n in range(max_messages + 1)
        ]
        assert answers == [*[None] * max_messages, HTTPStatus.SERVICE_UNAVAILABLE]
        assert any(
            CapacityLimit.MESSAGES.value in record.getMessage()
            for record in caplog.records
        )

    asyncio.run(scene())


@pytest.mark.parametrize("bound", [CapacityLimit.MEMORY, CapacityLimit.DISK])
def test_message_over_memory_or_disk_limit_is_rejected_and_others_kept(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, bound: CapacityLimit
) -> None:
    async def scene() -> None:
        base_config = small_engine(tmp_path / "none").config
        config = replace(
            base_config,
            state=tmp_path / "state",
            settings=replace(
                base_config.settings, max_open_messages=10**6, max_in_flight=1
            ),
            memory_mb=1 if bound is CapacityLimit.MEMORY else 10**5,
            disk_bytes=400_000 if bound is CapacityLimit.DISK else 10**9,
        )
        engine = Engine(config)
        engine.pool.start = lambda call: None  # type: ignore[method-assign]
        max_messages = MIN_MESSAGE_MEMORY_BYTES // MESSAGE_BYTES
        answers = [hand_in(engine, f"m{n}") for n in range(max_messages + 1)]
        accepted = answers.count(HTTPStatus.ACCEPTED)
        assert 20 <= accepted == len(engine.store.messages) <= max_messages
        assert set(answers[accepted:]) == {HTTPStatus.SERVICE_UNAVAILABLE}
        assert any(bound.value in record.getMessage() for record in caplog.records)
        engine.store.append_finished("m0")
        engine.store.compact()
        assert hand_in(engine, "again") is HTTPStatus.ACCEPTED
        assert {f"m{n}" for n in range(1, accepted)} <= engine.store.messages.keys()
        engine.store.close()

    (tmp_path / "none").mkdir()
    (tmp_path / "state").mkdir()
    with caplog.at_level(logging.WARNING):
        asyncio.run(scene())


def test_parts_of_the_memory_limit_add_up_to_it() -> None:
    for memory_mb, connections in ((32, 512), (64, 128), (64, 512), (192, 512)):
        parts = (
            BASE_PROCESS_BYTES,
            CONNECTION_BYTES * connections,
            input_memory_bytes(memory_mb),
            message_memory_bytes(memory_mb, connections),
        )
        assert sum(parts) == memory_mb * BYTES_PER_MB


def test_memory_for_held_messages_follows_memory_limit() -> None:
    assert message_memory_bytes(16, 512) == MIN_MESSAGE_MEMORY_BYTES
    assert message_memory_bytes(64, 0) == 35_000_000
    assert has_memory(31_800_000, 1_000, 10_000_000)
    assert not has_memory(31_800_000, 1_001, 10_000_000)
    assert not has_memory(31_800_000, 1_000, 10_000_001)
