"""`python -m lemonshunt.registry`: the list service, one primary (docs/parts.md, docs/operations.md)."""

from __future__ import annotations

import argparse
import asyncio
import logging
import os
import signal
import sys
import time
from collections.abc import MutableMapping
from pathlib import Path
from typing import Any

from lemonshunt.registry.disk import Damaged, Disk
from lemonshunt.registry.server import Service

log = logging.getLogger("lemonshunt.registry")


def address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise argparse.ArgumentTypeError(f"{text!r} is not HOST:PORT")
    return host, int(port)


def logs() -> None:
    """JSON lines on standard error: event, level, logger, role, pid, t_ns, and what the line adds."""
    import structlog

    def stamp(_: Any, __: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        event.update(t_ns=time.monotonic_ns(), role="registry", pid=os.getpid())
        return event

    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                structlog.processors.JSONRenderer(),
            ],
            foreign_pre_chain=[structlog.stdlib.add_log_level, structlog.stdlib.ExtraAdder(), stamp],
        )
    )
    logging.basicConfig(level=logging.INFO, handlers=[handler])


def parser() -> argparse.ArgumentParser:
    ask = argparse.ArgumentParser(
        prog="python -m lemonshunt.registry",
        description="The list service: discovery, watches, notices and writes.",
    )
    ask.add_argument("--state", type=Path, required=True, help="folder of the durable state")
    ask.add_argument("--listen", type=address, required=True, help="HOST:PORT of discovery (PROTOCOL)")
    ask.add_argument("--write", type=address, required=True, help="HOST:PORT for staff and servers")
    ask.add_argument("--ports", type=Path, help="write the two ports taken to this file (for port 0)")
    return ask


async def serve(args: argparse.Namespace) -> int:
    disk = Disk(args.state)
    registry, had = disk.load()
    service = Service(disk, registry)
    if not had:
        await service.begin_epoch(0)  # state lost or never had: history begins here
    (host, port), (write_host, write_port) = args.listen, args.write
    ports = [await service.listen(host, port, False), await service.listen(write_host, write_port, True)]
    if args.ports:
        args.ports.write_text(f"{ports[0]} {ports[1]}\n")
    log.info(
        "ready", extra={"listen": ports[0], "write": ports[1], "epoch": registry.epoch, "seq": registry.seq}
    )
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for sig in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(sig, stop.set)
    await stop.wait()
    await service.stop()
    log.info("stopped", extra={"seq": registry.seq})
    return 0


def main(argv: list[str] | None = None) -> int:
    args = parser().parse_args(argv)
    logs()
    try:
        return asyncio.run(serve(args))
    except Damaged as error:
        print(f"registry: {error}", file=sys.stderr)
    except OSError as error:
        print(f"registry: {error.strerror or error}: {error.filename or ''}".rstrip(": "), file=sys.stderr)
    return 2


if __name__ == "__main__":
    sys.exit(main())
