"""One forwarder process: its engines, signals and exit status."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import sys
from dataclasses import replace

from rainfall.forwarder.admin.admin_server import AdminServer
from rainfall.forwarder.config.errors import ConfigError
from rainfall.forwarder.config.loading import Config, load_config, load_replacement
from rainfall.forwarder.config.validation import RESTART_FIELDS
from rainfall.forwarder.engine.engine import Engine
from rainfall.forwarder.handover.journal_lock import JournalLock
from rainfall.forwarder.handover.target import HandoverTarget, claim_journal
from rainfall.journal.recovery import UnusableJournalError

EXIT_CANNOT_SERVE = 1
"""Exit status if an address, a file or the journal cannot be used."""
EXIT_BAD_CONFIG = 2
"""Exit status if the configuration cannot be used."""
log = logging.getLogger("rainfall")


class ForwarderProcess:
    """Runs engines one after another on one journal.

    An engine may end so that the process restarts from the journal. While there is no
    engine, the process waits for the journal and handles signals itself.
    """

    def __init__(self, config: Config, early_reloads: list[bool]) -> None:
        self.config = config
        self.early_reloads = early_reloads
        """Holds an element for each SIGHUP received while there was no engine."""
        self.admin = AdminServer()
        self.lock = JournalLock(config.state)
        self.engine: Engine | None = None
        """The running engine; None while the process waits for the journal."""
        self.previous_engine: Engine | None = None
        """The engine that ended last. Clients may still wait for its answers."""
        self.stop_requested = asyncio.Event()
        """Set by a SIGTERM while there is no engine, so nothing has to be shut down."""

    async def serve(self) -> None:
        """Run engines until one ends for good, or a stop is requested without one."""
        if self.config.admin is not None:
            await self.admin.listen(self.config.admin)
        serve_again = True
        while serve_again:
            claim_task = asyncio.create_task(
                claim_journal(self.lock, self.config.state)
            )
            self._handle_signals()
            await self._wait_for_claim(claim_task)
            if self.stop_requested.is_set():
                claim_task.cancel()
                if self.previous_engine is not None:
                    self.previous_engine.respond_from_journal()
                break
            engine = self._start_engine(claim_task.result())
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
        """Reload the configuration now, or when the next engine starts (SIGHUP)."""
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
        self, claim_task: asyncio.Task[HandoverTarget | None]
    ) -> None:
        """Wait until the journal is claimed or a stop is requested."""
        stop_task = asyncio.create_task(self.stop_requested.wait())
        await asyncio.wait({claim_task, stop_task}, return_when=asyncio.FIRST_COMPLETED)
        stop_task.cancel()

    def _start_engine(self, handover_target: HandoverTarget | None) -> Engine:
        self._refresh_config()
        engine = Engine(self.config, self.lock, handover_target)
        self.engine = engine
        self.admin.engine = engine
        if self.previous_engine is not None:
            engine.respond_for_previous(self.previous_engine)
        if self.early_reloads:
            self.early_reloads.clear()
            engine.reload()
        # Objects created at startup stay alive: exclude them from garbage collection.
        gc.freeze()
        return engine

    def _refresh_config(self) -> None:
        """Load the current configuration file, except for fields that need a restart.

        The file may have changed since it was read, and a SIGHUP for that change may
        have been sent to this process or to the one that served before.
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
            # The error's text is sufficient; a traceback would only obscure it.
            log.error(  # noqa: TRY400
                "cannot reload the configuration, keeping the previous one: %s", error
            )


async def serve(config: Config, early_reloads: list[bool] | None = None) -> None:
    """Run the forwarder until it is stopped, see `ForwarderProcess.serve`.

    Args:
        config: The configuration that was read at the start.
        early_reloads: An element is appended for each SIGHUP received while there is no
            engine. If it is not empty, the next engine reloads the configuration when
            it starts.
    """
    reloads: list[bool] = [] if early_reloads is None else early_reloads
    await ForwarderProcess(config, reloads).serve()


def main() -> int:
    """Read the configuration, serve, and return the exit status."""
    # A SIGHUP before the engine starts must neither end the process nor be lost.
    early_reloads: list[bool] = []
    signal.signal(signal.SIGHUP, lambda *_: early_reloads.append(True))
    logging.basicConfig(
        stream=sys.stderr,
        level=logging.INFO,
        format="%(asctime)s %(levelname)s %(name)s: %(message)s",
    )
    try:
        config = load_config()
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
