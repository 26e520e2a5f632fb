"""The talk of two processes at a handover is read and written as recorded."""

from __future__ import annotations

import asyncio
import json

from tests.compatibility import handovers
from tests.compatibility.references import as_read, kept_bytes, kept_value

FROM_OLD = ["no", "memory", "yours", "hand_in", "gone", "ended", "rotate", "reload"]
FROM_NEW = ["ask", "prepared", "answer", "rotated", "cancel"]


def test_every_kind_of_line_is_recorded() -> None:
    for name, words in (("old", FROM_OLD), ("new", FROM_NEW)):
        found = handovers.by_word(kept_bytes(f"handover-from-{name}"))
        assert sorted(found) == sorted(words)


def test_the_process_that_serves_reads_and_sends_the_recorded_lines() -> None:
    async def scene() -> None:
        memory = await handovers.held()
        from_new = kept_bytes("handover-from-new")
        sent, did = await handovers.old_side(memory, from_new)
        assert sent == kept_bytes("handover-from-old")
        assert as_read(did) == kept_value("handover-old-did")

    asyncio.run(scene())


def test_the_process_that_takes_over_reads_and_sends_the_recorded_lines() -> None:
    async def scene() -> None:
        from_old = kept_bytes("handover-from-old")
        sent, heard, memory = await handovers.new_side(from_old)
        assert sent == kept_bytes("handover-from-new")
        assert as_read(heard) == kept_value("handover-new-did")
        assert await handovers.refused(from_old)
        told = json.loads(handovers.by_word(from_old)["memory"])["memory"]
        assert memory == told
        went_on = await handovers.taken_up(memory)
        assert as_read(went_on) == kept_value("handover-taken-up")

    asyncio.run(scene())


def test_a_dispatcher_tells_the_recorded_memory_and_each_part_of_it_has_something() -> (
    None
):
    kept = kept_value("memory")
    assert as_read(handovers.remembered()) == kept
    assert isinstance(kept, dict)
    words = ["targets", "places", "messages", "lines", "calls", "purses", "idle_us"]
    assert list(kept) == words and all(kept.values())


def test_a_dispatcher_goes_on_from_the_recorded_memory() -> None:
    kept = kept_value("memory")
    assert isinstance(kept, dict)
    assert as_read(handovers.restored(kept)) == kept_value("memory-restored")
