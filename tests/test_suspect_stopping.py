"""What ends in the last moments of a process, and what the process after it makes of that."""

from __future__ import annotations

from pathlib import Path

from lemonshunt.net import stopping
from tests.sockets import OK, Platform, always, message
from tests.test_crossing_stopping import Caller, Running, engine_play, target


def test_call_that_comes_back_unsent_in_the_freeze_is_booked_as_unsent(tmp_path: Path) -> None:
    """The freeze decides for the last time. A call of that round that cannot leave comes back at once, to an
    engine that makes no round any more: left open in the journal, its message may have run, and one that
    must not run twice was given up with no call."""
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, always(OK))
        run = await Running(folder, platform).ready()
        engine = run.engine
        before = Caller(run.port)
        before.say(message("before", "status"))
        assert (await before.answer())[0] == 202
        await run.until(lambda: bool(engine.pool.idle))  # the call goes out in the round itself
        engine.schedule = lambda: None  # type: ignore[method-assign]
        client = Caller(run.port)
        client.say(message("m", "pay", Idempotency_Key=None))
        await run.until(lambda: bool(engine.arriving))
        engine.pool.bind((7, -1), engine.clock() + 60_000_000)  # a wait that the module has not read yet
        run.told_to_stop(stopping.FREEZE_S)
        engine.stop_step()
        assert (await client.answer())[0] == 202
        assert engine.store.messages["m"].out == {} and engine.store.messages["m"].ran_at_us < 0
        client.socket.close()
        await run.end()
        assert len(peer.requests) == 1
        again = await Running(folder, platform).ready()
        await peer.got(2)
        assert peer.requests[1].headers["x-correlation-id"] == "m" and not platform.notices
        await again.end()
    engine_play(scene, tmp_path)
