"""Starts one real forwarder: python -m rainfall."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import sys
from dataclasses import replace

from rainfall.forwarder.admin.admin_server import AdminServer
from rainfall.forwarder.config.errors import ConfigError
from rainfall.forwarder.config.loading import Config, load, load_replacement
from rainfall.forwarder.config.validation import RESTART_FIELDS
from rainfall.forwarder.engine.engine import Engine
from rainfall.forwarder.handover.roles import JournalLock, claim_journal
from rainfall.journal.recovery import UnusableJournalError

log = logging.getLogger("rainfall")


async def serve(config: Config, early_reloads: list[bool] | None = None) -> None:
    """`asked` gets a SIGHUP that comes while there is no engine to read the
    configuration again.
    """
    sighups: list[bool] = [] if early_reloads is None else early_reloads
    admin = AdminServer()
    if config.admin is not None:
        await admin.listen(config.admin)
    lock = JournalLock(config.state)
    loop = asyncio.get_running_loop()
    engine: Engine | None = None
    previous: Engine | None = None
    stop_requested = asyncio.Event()
    """SIGTERM came while no engine was there to heed it: nothing is held here."""

    def stop() -> None:
        stop_requested.set() if engine is None else engine.stop()

    def reload() -> None:
        sighups.append(True) if engine is None else engine.reload()

    serve_again = True
    while serve_again:
        claiming = asyncio.create_task(claim_journal(lock, config.state))
        for number, handler in (
            (signal.SIGTERM, stop),
            (signal.SIGINT, stop),
            (signal.SIGHUP, reload),
        ):
            loop.add_signal_handler(number, handler)
        stopping = asyncio.create_task(stop_requested.wait())
        await asyncio.wait({claiming, stopping}, return_when=asyncio.FIRST_COMPLETED)
        stopping.cancel()
        if stop_requested.is_set():
            claiming.cancel()
            if previous is not None:
                previous.respond_from_journal()
            break
        successor = claiming.result()
        # the file may have changed, with a SIGHUP to this process or to the one that
        # served till now
        try:
            replacement_config = load_replacement(config)
            config = replace(
                replacement_config,
                known_endpoints=config.known_endpoints,
                seed=config.seed,
                **{f: getattr(config, f) for f in RESTART_FIELDS},
            )
        except ConfigError as error:
            log.error("the configuration as first read is kept: %s", error)
        admin.engine = engine = Engine(config, lock, successor)
        if previous is not None:
            engine.respond_for_previous(previous)
        if sighups:
            sighups.clear()
            engine.reload()
        # what is made at the start stays: it need not be looked through again and again
        gc.freeze()
        serve_again = await engine.run()
        config, previous, engine = engine.config, engine, None
    admin.close()


def main() -> int:
    early_reloads: list[
        bool
        # a SIGHUP before there is an engine must neither end the process nor be lost
    ] = []
    signal.signal(signal.SIGHUP, lambda *_: early_reloads.append(True))
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
            from rainfall.forwarder.json_logging import install_json_logging

            install_json_logging(config.name)
        except ImportError:
            print(
                "rainfall: log_format 'json' needs structlog (requirements.txt)",
                file=sys.stderr,
            )
            return 2
    try:
        asyncio.run(serve(config, early_reloads))
    except (OSError, UnusableJournalError) as error:
        print(f"rainfall: cannot serve: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
