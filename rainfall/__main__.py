"""Starts one real forwarder: python -m rainfall."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import sys
from dataclasses import replace

from rainfall.journal.recovery import Unusable
from rainfall.net.admin import Admin
from rainfall.net.config import Config, load, replacement
from rainfall.net.engine import Engine
from rainfall.net.faults import ConfigError
from rainfall.net.handover import Lock, claim
from rainfall.net.reconfigure import FIXED

log = logging.getLogger("rainfall")


async def serve(config: Config, asked: list[bool] | None = None) -> None:
    """`asked` gets a SIGHUP that comes while there is no engine to read the
    configuration again.
    """
    sighups: list[bool] = [] if asked is None else asked
    admin = Admin()
    if config.admin is not None:
        await admin.listen(config.admin)
    lock = Lock(config.state)
    loop = asyncio.get_running_loop()
    engine: Engine | None = None
    before: Engine | None = None
    leaving = asyncio.Event()
    """SIGTERM came while no engine was there to heed it: nothing is held here."""

    def stop() -> None:
        leaving.set() if engine is None else engine.stop()

    def reload() -> None:
        sighups.append(True) if engine is None else engine.reload()

    again = True
    while again:
        claiming = asyncio.create_task(claim(lock, config.state))
        for number, heed in (
            (signal.SIGTERM, stop),
            (signal.SIGINT, stop),
            (signal.SIGHUP, reload),
        ):
            loop.add_signal_handler(number, heed)
        end = asyncio.create_task(leaving.wait())
        await asyncio.wait({claiming, end}, return_when=asyncio.FIRST_COMPLETED)
        end.cancel()
        if leaving.is_set():
            claiming.cancel()
            if before is not None:
                before.answer_from_journal()
            break
        successor = claiming.result()
        # the file may have changed, with a SIGHUP to this process or to the one that
        # served till now
        try:
            new = replacement(config)
            config = replace(
                new,
                known=config.known,
                seed=config.seed,
                **{f: getattr(config, f) for f in FIXED},
            )
        except ConfigError as error:
            log.error("the configuration as first read is kept: %s", error)
        admin.operated = engine = Engine(config, lock, successor)
        if before is not None:
            engine.answer_for(before)
        if sighups:
            sighups.clear()
            engine.reload()
        # what is made at the start stays: it need not be looked through again and again
        gc.freeze()
        again = await engine.run()
        config, before, engine = engine.config, engine, None
    admin.close()


def main() -> int:
    asked: list[
        bool
        # a SIGHUP before there is an engine must neither end the process nor be lost
    ] = []
    signal.signal(signal.SIGHUP, lambda *_: asked.append(True))
    logging.basicConfig(
        stream=sys.stderr,
        level=logging.INFO,
        format="%(asctime)s %(levelname)s %(name)s: %(message)s",
    )
    try:
        config = load()
    except ConfigError as error:
        print(f"rainfall: {error}", file=sys.stderr)
        return 2
    if config.log_json:
        try:
            from rainfall.net.logjson import install

            install(config.name)
        except ImportError:
            print(
                "rainfall: log_format 'json' needs structlog (requirements.txt)",
                file=sys.stderr,
            )
            return 2
    try:
        asyncio.run(serve(config, asked))
    except (OSError, Unusable) as error:
        print(f"rainfall: cannot serve: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
