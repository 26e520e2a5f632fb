"""`python -m rainfall.registry`: the list service, one primary (docs/parts.md,
docs/operations.md).
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import os
import resource
import signal
import sys
import time
from collections.abc import MutableMapping
from pathlib import Path
from typing import Any

from rainfall.budget.config import Faults
from rainfall.lease.table import Table
from rainfall.lease.terms import Refused, Terms
from rainfall.member.roster import Roster
from rainfall.registry import budget_calls
from rainfall.registry.bounds import OWN_DESCRIPTORS, Bounds, within_descriptors
from rainfall.registry.budget_calls import read_file
from rainfall.registry.disk import Damaged, Disk
from rainfall.registry.parts import Parts, lead
from rainfall.registry.server import Service
from rainfall.registry.writer import Full

log = logging.getLogger("rainfall.registry")


def address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise argparse.ArgumentTypeError(f"{text!r} is not HOST:PORT")
    return host, int(port)


def logs() -> None:
    """JSON lines on standard error: event, level, logger, role, pid, t_ns, and what the
    line adds.
    """
    import structlog

    def stamp(
        _: Any, __: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        event.update(t_ns=time.monotonic_ns(), role="registry", pid=os.getpid())
        return event

    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                structlog.processors.JSONRenderer(),
            ],
            foreign_pre_chain=[
                structlog.stdlib.add_log_level,
                structlog.stdlib.ExtraAdder(),
                stamp,
            ],
        )
    )
    logging.basicConfig(level=logging.INFO, handlers=[handler])


def parser() -> argparse.ArgumentParser:
    ask = argparse.ArgumentParser(
        prog="python -m rainfall.registry",
        description="The list service: discovery, watches, notices and writes.",
    )
    ask.add_argument(
        "--state", type=Path, required=True, help="folder of the durable state"
    )
    ask.add_argument(
        "--listen",
        type=address,
        required=True,
        help="HOST:PORT of discovery (PROTOCOL)",
    )
    ask.add_argument(
        "--write", type=address, required=True, help="HOST:PORT for staff and servers"
    )
    ask.add_argument(
        "--ports", type=Path, help="write the ports taken to this file (for port 0)"
    )
    ask.add_argument(
        "--fleet",
        type=address,
        help="HOST:PORT for members and leases; none without it",
    )
    ask.add_argument(
        "--lease-ms", type=int, default=3_000, help="a member's lease (3000)"
    )
    ask.add_argument(
        "--longest-ms",
        type=int,
        default=10_000,
        help="the longest lease; a start on a lost folder grants nothing for so long (10000)",
    )
    ask.add_argument(
        "--drift",
        type=float,
        default=0.02,
        help="share by which two clocks run apart (0.02)",
    )
    ask.add_argument(
        "--mark",
        type=Path,
        help="file outside of the state folder, such as under /run, that shows an older copy",
    )
    ask.add_argument(
        "--budgets",
        type=Path,
        help="file of budgets, TOML or JSON, read at the start and at SIGHUP; with --fleet",
    )
    ask.add_argument(
        "--reserves-known",
        action="store_true",
        help="no process acts on a reserve that is not known here: a first start, no lost state",
    )
    ask.add_argument(
        "--plan-shards",
        action="store_true",
        help="make a new shard map when members come and go; with --fleet",
    )
    ask.add_argument(
        "--new",
        action="store_true",
        help="begin a history where the folder holds none: the first start, or a state that is lost for good",
    )
    return ask


async def reload(parts: Parts | None, path: Path | None) -> None:
    """The file of budgets anew; with any fault those in force stay, whole."""
    if parts is None or path is None:
        log.info("nothing to read again")
        return
    try:
        await budget_calls.take(parts.fleet, parts.budgets, read_file(path), "file")
    except Faults as error:
        for fault in error.faults:
            log.error("budgets not taken", extra={"why": f"{path}: {fault}"})
    except (OSError, Full) as error:
        log.error(
            "budgets not taken",
            extra={"why": str(error) or "too much waits to be written"},
        )


def allowed_bounds() -> Bounds:
    """The usual bounds, as far as this process's limit of descriptors goes once it is
    raised as far as it is needed and allowed.
    """
    wanted = Bounds()
    needed = wanted.connections + OWN_DESCRIPTORS
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    unlimited = resource.RLIM_INFINITY
    limit = needed if hard == unlimited else min(needed, hard)
    if soft != unlimited and soft < limit:
        try:
            resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
        except (OSError, ValueError):
            limit = soft
    bounds = within_descriptors(wanted, limit)
    if bounds.connections < wanted.connections:
        log.warning(
            "fewer connections than usual",
            extra={"connections": bounds.connections, "descriptors": limit},
        )
    return bounds


async def serve(args: argparse.Namespace) -> int:
    terms = Terms(args.drift, most_ttl_us=args.longest_ms * 1_000)
    if args.fleet:
        Roster(
            Table(terms), args.lease_ms * 1_000
        )  # faults of what was asked, before anything is touched
    budgets = read_file(args.budgets) if args.budgets else None
    disk = Disk(args.state)
    if disk.empty() and not args.new:
        print(
            f"registry: {args.state} holds no state: if it is lost, put it back; if it never was or cannot"
            " be had again, start with --new",
            file=sys.stderr,
        )
        return 2
    registry, had = disk.load()
    service = Service(disk, registry, bounds=allowed_bounds())
    if not had:
        await service.begin()
    parts = None
    if args.fleet:
        parts = await lead(
            service,
            terms,
            args.lease_ms * 1_000,
            args.mark,
            budgets,
            args.plan_shards,
            reserves_known=args.reserves_known,
        )
    (host, port), (write_host, write_port) = args.listen, args.write
    ports = [await service.listen(host, port, False)]
    if parts is None:
        ports.append(await service.listen(write_host, write_port, True))
    else:
        ports += [
            await parts.listen_write(write_host, write_port),
            await parts.listen_fleet(*args.fleet),
        ]
    if args.ports:
        args.ports.write_text(" ".join(map(str, ports)) + "\n")
    log.info(
        "ready",
        extra={
            "listen": ports[0],
            "write": ports[1],
            "fleet": ports[2:],
            "epoch": registry.epoch,
            "seq": registry.seq,
        },
    )
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for sig in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(sig, stop.set)
    again = set[asyncio.Task[None]]()
    loop.add_signal_handler(
        signal.SIGHUP, lambda: again.add(loop.create_task(reload(parts, args.budgets)))
    )
    await stop.wait()
    if not await service.stop():
        logging.shutdown()
        os._exit(
            1
            # a thread that waits for a disk that does not answer would keep the process for
            # good
        )
    log.info("stopped", extra={"seq": registry.seq})
    return 0


def main(argv: list[str] | None = None) -> int:
    ask = parser()
    args = ask.parse_args(argv)
    if not args.fleet and (args.budgets or args.plan_shards or args.reserves_known):
        ask.error("--budgets, --reserves-known and --plan-shards need --fleet")
    logs()
    try:
        return asyncio.run(serve(args))
    except Faults as error:
        for fault in error.faults:
            print(f"registry: {args.budgets}: {fault}", file=sys.stderr)
    except (Damaged, Refused) as error:
        print(f"registry: {error}", file=sys.stderr)
    except OSError as error:
        print(
            f"registry: {error.strerror or error}: {error.filename or ''}".rstrip(": "),
            file=sys.stderr,
        )
    return 2


if __name__ == "__main__":
    sys.exit(main())
