"""Starts one real forwarder: python -m lemonshunt."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import sys

from lemonshunt.journal.recovery import Unusable
from lemonshunt.net.admin import Admin
from lemonshunt.net.config import Config, ConfigError, load
from lemonshunt.net.engine import Engine
from lemonshunt.net.handover import Lock, claim


async def serve(config: Config, asked: list[bool] | None = None) -> None:
    """`asked` gets a SIGHUP that comes while there is no engine to read the configuration again."""
    asked = [] if asked is None else asked
    admin = Admin()
    if config.admin is not None:
        await admin.listen(config.admin)
    lock = Lock(config.state)
    loop = asyncio.get_running_loop()
    before: Engine | None = None
    again = True
    while again:
        loop.add_signal_handler(signal.SIGHUP, asked.append, True)
        successor = await claim(lock, config.state)
        admin.operated = engine = Engine(config, lock, successor)
        if before is not None:
            engine.answer_for(before)
        loop.add_signal_handler(signal.SIGTERM, engine.stop)
        loop.add_signal_handler(signal.SIGINT, engine.stop)
        loop.add_signal_handler(signal.SIGHUP, engine.reload)
        if asked:
            asked.clear()
            engine.reload()
        gc.freeze()  # what is made at the start stays: it need not be looked through again and again
        again = await engine.run()
        config, before = engine.config, engine
    admin.close()


def main() -> int:
    asked: list[bool] = []  # a SIGHUP before there is an engine must neither end the process nor be lost
    signal.signal(signal.SIGHUP, lambda *_: asked.append(True))
    logging.basicConfig(stream=sys.stderr, level=logging.INFO,
                        format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    try:
        config = load()
    except ConfigError as error:
        print(f"lemonshunt: {error}", file=sys.stderr)
        return 2
    if config.log_json:
        try:
            from lemonshunt.net.logjson import install
            install(config.name)
        except ImportError:
            print("lemonshunt: log_format 'json' needs structlog (requirements.txt)", file=sys.stderr)
            return 2
    try:
        asyncio.run(serve(config, asked))
    except (OSError, Unusable) as error:
        print(f"lemonshunt: cannot serve: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
