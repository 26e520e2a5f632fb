"""The forwarder is killed right after it accepted a message, while the connection for
the call is being established.
"""

from __future__ import annotations

import asyncio
import errno
from pathlib import Path
from typing import Any

import pytest

from rainfall.forwarder.engine.engine import Engine
from tests.forwarder.test_restart_races import Site, play, read_journal_state
from tests.support.loopback_peers import Answer


class DelayedDial:
    """Delays the outbound connections of an engine until `up` is set."""

    def __init__(self, engine: Engine) -> None:
        self.started, self.up = asyncio.Event(), asyncio.Event()
        self.dial = engine.pool.dial
        engine.pool.dial = self.delayed_dial  # type: ignore[method-assign]

    async def delayed_dial(self, *call: Any) -> None:
        self.started.set()
        await self.up.wait()
        await self.dial(*call)


@pytest.mark.parametrize("cls", ["pay", "order", "status"])
def test_message_still_connecting_at_kill_is_sent_by_next_process(
    tmp_path: Path, cls: str
) -> None:
    """Guards against recording the attempt at the decision to send: after the kill an
    at-most-once message was failed without a call.
    """

    async def scene(site: Site) -> None:
        dial = DelayedDial(await site.start())
        assert await site.hand_in("m", cls, 8) == 202
        await dial.started.wait()
        await site.kill()
        assert (
            not site.has_arrived("m")
            and read_journal_state(tmp_path).messages["m"].in_flight == {}
        )
        await site.start()
        await site.until(lambda: site.has_arrived("m"))
        await site.deliver_with_other_key("other")
        assert not site.notified_states("m")

    play(scene, Site(tmp_path))


def test_attempt_is_recorded_before_first_byte_on_delayed_connection(
    tmp_path: Path,
) -> None:
    async def scene(site: Site) -> None:
        dial = DelayedDial(await site.start())
        attempt_recorded: list[bool] = []

        async def endpoint(request: Any) -> Answer:
            attempt_recorded.append(
                0 in read_journal_state(tmp_path).messages["m"].in_flight
            )
            return Answer(200)

        site.peers[1].handler = endpoint
        assert await site.hand_in("m", "pay", 8) == 202
        await dial.started.wait()
        dial.up.set()
        await site.until(lambda: bool(attempt_recorded))
        assert attempt_recorded == [True]

    play(scene, Site(tmp_path))


@pytest.mark.parametrize("cls, is_sent", [("pay", False), ("status", True)])
def test_call_with_unrecordable_attempt_is_sent_only_if_repeatable(
    tmp_path: Path, cls: str, is_sent: bool
) -> None:
    """The disk fills up while the connection is being established. The message that is
    not sent is tried again once the disk has space.
    """

    async def scene(site: Site) -> None:
        engine = await site.start()
        dial = DelayedDial(engine)
        assert await site.hand_in("m", cls, 8) == 202
        await dial.started.wait()
        write = engine.store.files.write

        def raise_no_space(fd: int, data: memoryview, at: int) -> int:
            raise OSError(errno.ENOSPC, "no space left")

        engine.store.files.write = raise_no_space  # type: ignore[method-assign]
        dial.up.set()
        await site.until(
            lambda: (
                engine.store.failed
                and (site.has_arrived("m") or not engine.pool.in_flight)
            )
        )
        assert site.has_arrived("m") is is_sent
        engine.store.files.write = write  # type: ignore[method-assign]
        await site.until(lambda: site.has_arrived("m"))
        assert not site.notified_states("m")

    play(scene, Site(tmp_path))
