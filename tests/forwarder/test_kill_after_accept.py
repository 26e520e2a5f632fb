"""A kill right behind the answer that takes a message on, while the connection for its
call comes up.
"""

from __future__ import annotations

import asyncio
import errno
from pathlib import Path
from typing import Any

import pytest

from rainfall.forwarder.engine.engine import Engine
from tests.forwarder.test_restart_races import Site, on_disk, play
from tests.support.loopback_peers import Answer


class LateDial:
    """Connections of an engine come up once the test says so."""

    def __init__(self, engine: Engine) -> None:
        self.begun, self.up = asyncio.Event(), asyncio.Event()
        self.dial = engine.pool.dial
        engine.pool.dial = self.late  # type: ignore[method-assign]

    async def late(self, *call: Any) -> None:
        self.begun.set()
        await self.up.wait()
        await self.dial(*call)


@pytest.mark.parametrize("cls", ["pay", "order", "status"])
def test_message_whose_connection_was_coming_up_at_the_kill_is_tried_by_the_next_process(
    tmp_path: Path, cls: str
) -> None:
    """Its attempt stood in the journal from the decision on: a once-only message was
    failed with no call.
    """

    async def scene(site: Site) -> None:
        dial = LateDial(await site.start())
        assert await site.hand_in("m", cls, 8) == 202
        await dial.begun.wait()
        await site.kill()
        assert not site.came("m") and on_disk(tmp_path).messages["m"].in_flight == {}
        await site.start()
        await site.until(lambda: site.came("m"))
        await site.passes("other")
        assert not site.told("m")

    play(scene, Site(tmp_path))


def test_attempt_is_in_the_file_before_its_first_byte_also_behind_a_late_connection(
    tmp_path: Path,
) -> None:
    async def scene(site: Site) -> None:
        dial = LateDial(await site.start())
        kept: list[bool] = []

        async def side(request: Any) -> Answer:
            kept.append(0 in on_disk(tmp_path).messages["m"].in_flight)
            return Answer(200)

        site.sides[1].handler = side
        assert await site.hand_in("m", "pay", 8) == 202
        await dial.begun.wait()
        dial.up.set()
        await site.until(lambda: bool(kept))
        assert kept == [True]

    play(scene, Site(tmp_path))


@pytest.mark.parametrize("cls, goes", [("pay", False), ("status", True)])
def test_call_whose_attempt_cannot_be_kept_leaves_only_if_it_may_be_repeated(
    tmp_path: Path, cls: str, goes: bool
) -> None:
    """The disk filled while its connection came up. The other is tried once there is
    room.
    """

    async def scene(site: Site) -> None:
        engine = await site.start()
        dial = LateDial(engine)
        assert await site.hand_in("m", cls, 8) == 202
        await dial.begun.wait()
        write = engine.store.files.write

        def full(fd: int, data: memoryview, at: int) -> int:
            raise OSError(errno.ENOSPC, "no space left")

        engine.store.files.write = full  # type: ignore[method-assign]
        dial.up.set()
        await site.until(
            lambda: (
                engine.store.failed and (site.came("m") or not engine.pool.in_flight)
            )
        )
        assert site.came("m") is goes
        engine.store.files.write = write  # type: ignore[method-assign]
        await site.until(lambda: site.came("m"))
        assert not site.told("m")

    play(scene, Site(tmp_path))
