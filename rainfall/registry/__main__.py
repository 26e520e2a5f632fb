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

from rainfall.budget.config import BudgetConfigError
from rainfall.lease.table import LeaseTable
from rainfall.lease.types import LeaseRejectedError, LeaseSettings
from rainfall.member.roster import Roster
from rainfall.registry import budget_api
from rainfall.registry.budget_api import read_budget_file
from rainfall.registry.fleet_services import FleetServices, start_fleet_services
from rainfall.registry.group_commit import QueueFullError
from rainfall.registry.limits import RESERVED_DESCRIPTORS, Limits, limit_by_descriptors
from rainfall.registry.server import RegistryServer
from rainfall.registry.storage import DamagedStateError, Storage

log = logging.getLogger("rainfall.registry")


def parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise argparse.ArgumentTypeError(f"{text!r} is not HOST:PORT")
    return host, int(port)


def configure_logging() -> None:
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


def build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m rainfall.registry",
        description="The list service: discovery, watches, notices and writes.",
    )
    parser.add_argument(
        "--state", type=Path, required=True, help="folder of the durable state"
    )
    parser.add_argument(
        "--listen",
        type=parse_address,
        required=True,
        help="HOST:PORT of discovery (PROTOCOL)",
    )
    parser.add_argument(
        "--write",
        type=parse_address,
        required=True,
        help="HOST:PORT for staff and servers",
    )
    parser.add_argument(
        "--ports", type=Path, help="write the ports taken to this file (for port 0)"
    )
    parser.add_argument(
        "--fleet",
        type=parse_address,
        help="HOST:PORT for members and leases; none without it",
    )
    parser.add_argument(
        "--lease-ms", type=int, default=3_000, help="a member's lease (3000)"
    )
    parser.add_argument(
        "--longest-ms",
        type=int,
        default=10_000,
        help="the longest lease; a start on a lost folder grants nothing for so long (10000)",
    )
    parser.add_argument(
        "--drift",
        type=float,
        default=0.02,
        help="share by which two clocks run apart (0.02)",
    )
    parser.add_argument(
        "--mark",
        type=Path,
        help="file outside of the state folder, such as under /run, that shows an older copy",
    )
    parser.add_argument(
        "--budgets",
        type=Path,
        help="file of budgets, TOML or JSON, read at the start and at SIGHUP; with --fleet",
    )
    parser.add_argument(
        "--reserves-known",
        action="store_true",
        help="no process acts on a reserve that is not known here: a first start, no lost state",
    )
    parser.add_argument(
        "--plan-shards",
        action="store_true",
        help="make a new shard map when members come and go; with --fleet",
    )
    parser.add_argument(
        "--new",
        action="store_true",
        help="begin a history where the folder holds none: the first start, or a state that is lost for good",
    )
    return parser


async def reload_budgets(
    fleet_services: FleetServices | None, path: Path | None
) -> None:
    """The file of budgets anew; with any fault those in force stay, whole."""
    if fleet_services is None or path is None:
        log.info("nothing to read again")
        return
    try:
        await budget_api.apply_budgets(
            fleet_services.fleet, fleet_services.budgets, read_budget_file(path), "file"
        )
    except BudgetConfigError as error:
        for fault in error.faults:
            log.error("budgets not taken", extra={"why": f"{path}: {fault}"})
    except (OSError, QueueFullError) as error:
        log.error(
            "budgets not taken",
            extra={"why": str(error) or "too much waits to be written"},
        )


def available_limits() -> Limits:
    """The usual bounds, as far as this process's limit of descriptors goes once it is
    raised as far as it is needed and allowed.
    """
    wanted = Limits()
    needed = wanted.connections + RESERVED_DESCRIPTORS
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    unlimited = resource.RLIM_INFINITY
    limit = needed if hard == unlimited else min(needed, hard)
    if soft != unlimited and soft < limit:
        try:
            resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
        except (OSError, ValueError):
            limit = soft
    limits = limit_by_descriptors(wanted, limit)
    if limits.connections < wanted.connections:
        log.warning(
            "fewer connections than usual",
            extra={"connections": limits.connections, "descriptors": limit},
        )
    return limits


async def serve(args: argparse.Namespace) -> int:
    lease_terms = LeaseSettings(args.drift, max_ttl_us=args.longest_ms * 1_000)
    if args.fleet:
        Roster(
            LeaseTable(lease_terms), args.lease_ms * 1_000
        )  # faults of what was asked, before anything is touched
    budgets = read_budget_file(args.budgets) if args.budgets else None
    storage = Storage(args.state)
    if storage.is_empty() and not args.new:
        print(
            f"registry: {args.state} holds no state: if it is lost, put it back; if it never was or cannot"
            " be had again, start with --new",
            file=sys.stderr,
        )
        return 2
    registry, had_state = storage.load()
    service = RegistryServer(storage, registry, limits=available_limits())
    if not had_state:
        await service.begin_history()
    fleet_services = None
    if args.fleet:
        fleet_services = await start_fleet_services(
            service,
            lease_terms,
            args.lease_ms * 1_000,
            args.mark,
            budgets,
            args.plan_shards,
            reserves_known=args.reserves_known,
        )
    (host, port), (write_host, write_port) = args.listen, args.write
    ports = [await service.listen(host, port, False)]
    if fleet_services is None:
        ports.append(await service.listen(write_host, write_port, True))
    else:
        ports += [
            await fleet_services.listen_write(write_host, write_port),
            await fleet_services.listen_fleet(*args.fleet),
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
    reload_tasks = set[asyncio.Task[None]]()
    loop.add_signal_handler(
        signal.SIGHUP,
        lambda: reload_tasks.add(
            loop.create_task(reload_budgets(fleet_services, args.budgets))
        ),
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
    parser = build_parser()
    args = parser.parse_args(argv)
    if not args.fleet and (args.budgets or args.plan_shards or args.reserves_known):
        parser.error("--budgets, --reserves-known and --plan-shards need --fleet")
    configure_logging()
    try:
        return asyncio.run(serve(args))
    except BudgetConfigError as error:
        for fault in error.faults:
            print(f"registry: {args.budgets}: {fault}", file=sys.stderr)
    except (DamagedStateError, LeaseRejectedError) as error:
        print(f"registry: {error}", file=sys.stderr)
    except OSError as error:
        print(
            f"registry: {error.strerror or error}: {error.filename or ''}".rstrip(": "),
            file=sys.stderr,
        )
    return 2


if __name__ == "__main__":
    sys.exit(main())
