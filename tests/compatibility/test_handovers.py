"""Checks the handover protocol and the dispatcher snapshot against recorded data."""

from __future__ import annotations

import asyncio
import json

from tests.compatibility import handovers
from tests.compatibility.references import as_read, kept_bytes, kept_value

FROM_OLD = ["no", "memory", "yours", "hand_in", "gone", "ended", "rotate", "reload"]
FROM_NEW = ["ask", "prepared", "answer", "rotated", "cancel"]


def test_recorded_handover_covers_every_line_type() -> None:
    for name, words in (("old", FROM_OLD), ("new", FROM_NEW)):
        found = handovers.by_word(kept_bytes(f"handover-from-{name}"))
        assert sorted(found) == sorted(words)


def test_handover_source_reads_and_sends_the_recorded_lines() -> None:
    async def scene() -> None:
        memory = await handovers.held()
        from_new = kept_bytes("handover-from-new")
        sent, engine_calls = await handovers.old_side(memory, from_new)
        assert sent == kept_bytes("handover-from-old")
        assert as_read(engine_calls) == kept_value("handover-old-did")

    asyncio.run(scene())


def test_handover_target_reads_and_sends_the_recorded_lines() -> None:
    async def scene() -> None:
        from_old = kept_bytes("handover-from-old")
        sent, engine_calls, memory = await handovers.new_side(from_old)
        assert sent == kept_bytes("handover-from-new")
        assert as_read(engine_calls) == kept_value("handover-new-did")
        assert await handovers.refused(from_old)
        sent_memory = json.loads(handovers.by_word(from_old)["memory"])["memory"]
        assert memory == sent_memory
        restored = await handovers.taken_up(memory)
        assert as_read(restored) == kept_value("handover-taken-up")

    asyncio.run(scene())


def test_dispatcher_snapshot_equals_the_recorded_one_and_has_no_empty_part() -> None:
    kept = kept_value("memory")
    assert as_read(handovers.remembered()) == kept
    assert isinstance(kept, dict)
    words = ["targets", "places", "messages", "lines", "calls", "purses", "idle_us"]
    assert list(kept) == words and all(kept.values())


def test_dispatcher_restores_the_recorded_snapshot() -> None:
    kept = kept_value("memory")
    assert isinstance(kept, dict)
    assert as_read(handovers.restored(kept)) == kept_value("memory-restored")
