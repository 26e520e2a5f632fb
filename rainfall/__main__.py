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
from rainfall.forwarder.handover.journal_lock import JournalLock
from rainfall.forwarder.handover.target import HandoverTarget, claim_journal
from rainfall.journal.recovery import UnusableJournalError

EXIT_CANNOT_SERVE = 1
"""Exit status after an address, a file or a journal that cannot be used."""
EXIT_BAD_CONFIG = 2
"""Exit status after a configuration that cannot be used."""
log = logging.getLogger("rainfall")


class ForwarderProcess:
    """The forwarder's process: one engine after another on one journal.

    An engine may end so that the process starts again from the journal. Between two
    engines the process waits for the journal, and handles signals itself.
    """

    def __init__(self, config: Config, early_reloads: list[bool]) -> None:
        self.config = config
        self.early_reloads = early_reloads
        """An element for each SIGHUP that came while there was no engine."""
        self.admin = AdminServer()
        self.lock = JournalLock(config.state)
        self.engine: Engine | None = None
        self.previous_engine: Engine | None = None
        self.stop_requested = asyncio.Event()
        """SIGTERM came while there was no engine, so nothing has to be shut down."""

    async def serve(self) -> None:
        """Serve until told to stop."""
        if self.config.admin is not None:
            await self.admin.listen(self.config.admin)
        serve_again = True
        while serve_again:
            claiming = asyncio.create_task(claim_journal(self.lock, self.config.state))
            self._handle_signals()
            await self._wait_for_claim(claiming)
            if self.stop_requested.is_set():
                claiming.cancel()
                if self.previous_engine is not None:
                    self.previous_engine.respond_from_journal()
                break
            engine = self._start_engine(claiming.result())
            serve_again = await engine.run()
            self.config = engine.config
            self.previous_engine = engine
            self.engine = None
        self.admin.close()

    def stop(self) -> None:
        """Shut the engine down, or stop waiting for the journal (SIGTERM, SIGINT)."""
        if self.engine is None:
            self.stop_requested.set()
        else:
            self.engine.stop()

    def reload(self) -> None:
        """Read the configuration again, at once or at the engine's start (SIGHUP)."""
        if self.engine is None:
            self.early_reloads.append(True)
        else:
            self.engine.reload()

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stop)
        loop.add_signal_handler(signal.SIGINT, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload)

    async def _wait_for_claim(
        self, claiming: asyncio.Task[HandoverTarget | None]
    ) -> None:
        """Wait until the journal is claimed or a stop is requested."""
        stopping = asyncio.create_task(self.stop_requested.wait())
        await asyncio.wait({claiming, stopping}, return_when=asyncio.FIRST_COMPLETED)
        stopping.cancel()

    def _start_engine(self, handover_target: HandoverTarget | None) -> Engine:
        self._read_config_again()
        engine = Engine(self.config, self.lock, handover_target)
        self.engine = engine
        self.admin.engine = engine
        if self.previous_engine is not None:
            engine.respond_for_previous(self.previous_engine)
        if self.early_reloads:
            self.early_reloads.clear()
            engine.reload()
        # What is made at the start stays: the collector need not go through it again.
        gc.freeze()
        return engine

    def _read_config_again(self) -> None:
        """Take over what may change without a restart from the present file.

        The file may have changed since it was read, and the SIGHUP may have gone to
        this process or to the one that served until now.
        """
        config = self.config
        try:
            self.config = replace(
                load_replacement(config),
                known_endpoints=config.known_endpoints,
                seed=config.seed,
                **{name: getattr(config, name) for name in RESTART_FIELDS},
            )
        except ConfigError as error:
            # The error's text says all: a traceback would only hide it.
            log.error("the configuration as first read is kept: %s", error)  # noqa: TRY400


async def serve(config: Config, early_reloads: list[bool] | None = None) -> None:
    """Serve until told to stop.

    Args:
        config: The configuration that was read at the start.
        early_reloads: Gets an element for each SIGHUP that comes while there is no
            engine; one that is there already makes the first engine reload.
    """
    reloads: list[bool] = [] if early_reloads is None else early_reloads
    await ForwarderProcess(config, reloads).serve()


def main() -> int:
    """Read the configuration, serve, and return the exit status."""
    # A SIGHUP before there is an engine must neither end the process nor be lost.
    early_reloads: list[bool] = []
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
        return EXIT_BAD_CONFIG
    if config.log_json:
        try:
            from rainfall.forwarder.json_logging import install_json_logging

            install_json_logging(config.name)
        except ImportError:
            print(
                "rainfall: log_format 'json' needs structlog (requirements.txt)",
                file=sys.stderr,
            )
            return EXIT_BAD_CONFIG
    try:
        asyncio.run(serve(config, early_reloads))
    except (OSError, UnusableJournalError) as error:
        print(f"rainfall: cannot serve: {error}", file=sys.stderr)
        return EXIT_CANNOT_SERVE
    return 0


if __name__ == "__main__":
    sys.exit(main())
