"""Runs the list service as a single process: `python -m rainfall.registry`.

docs/parts.md describes the service, docs/operations.md how to operate it.
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
from typing import Any, NamedTuple

from rainfall.budget.config import BudgetConfigError
from rainfall.errors import RainfallError
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

PORT_LIMIT = 65_536
US_PER_MS = 1_000
EXIT_STOPPED = 0
EXIT_WRITE_TIMEOUT = 1
EXIT_FAULTY = 2
log = logging.getLogger("rainfall.registry")


class Address(NamedTuple):
    """A listening address; with port 0 the system chooses the port."""

    host: str
    port: int


class StateMissingError(RainfallError):
    """The state folder is empty and `--new` was not given."""


def parse_address(text: str) -> Address:
    """Parse the HOST:PORT of an option.

    Raises:
        argparse.ArgumentTypeError: The text is not HOST:PORT, or the port is out of range.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < PORT_LIMIT:
        raise argparse.ArgumentTypeError(f"{text!r} is not HOST:PORT")
    return Address(host, int(port))


def configure_logging() -> None:
    """Log JSON lines to standard error.

    Each line has `event`, `level`, `logger`, `role`, `pid`, `t_ns` (monotonic), and the
    fields of the event.
    """
    # Imported here because the import is slow and only this function needs it.
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
    """Build the command-line parser."""
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
        "--ports", type=Path, help="write the bound ports to this file (for port 0)"
    )
    _add_fleet_arguments(parser)
    parser.add_argument(
        "--new",
        action="store_true",
        help="initialize an empty state folder: first start, or after permanent loss of the state",
    )
    return parser


def _add_fleet_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--fleet",
        type=parse_address,
        help="HOST:PORT for members and leases; without it there is no fleet",
    )
    parser.add_argument(
        "--lease-ms", type=int, default=3_000, help="a member's lease (3000)"
    )
    parser.add_argument(
        "--longest-ms",
        type=int,
        default=10_000,
        help="the longest lease; after a loss of the state nothing is granted for this time (10000)",
    )
    parser.add_argument(
        "--drift",
        type=float,
        default=0.02,
        help="maximum relative drift between two clocks (0.02)",
    )
    parser.add_argument(
        "--mark",
        type=Path,
        help="watermark file outside the state folder, such as under /run, to detect an older copy",
    )
    parser.add_argument(
        "--budgets",
        type=Path,
        help="budget file, TOML or JSON, read at start and on SIGHUP; needs --fleet",
    )
    parser.add_argument(
        "--reserves-known",
        action="store_true",
        help="confirm that no process uses a reserve unknown to this service: first start, no lost state",
    )
    parser.add_argument(
        "--plan-shards",
        action="store_true",
        help="plan a new shard map when members join or leave; needs --fleet",
    )


async def reload_budgets(
    fleet_services: FleetServices | None, path: Path | None
) -> None:
    """Reload the budget file; if it has faults, the budgets in force stay."""
    if fleet_services is None or path is None:
        log.info("reload ignored: no budget file")
        return
    try:
        await budget_api.apply_budgets(
            fleet_services.fleet, fleet_services.budgets, read_budget_file(path), "file"
        )
    except BudgetConfigError as error:
        _log_rejected_budgets([f"{path}: {fault}" for fault in error.faults])
    except (OSError, QueueFullError) as error:
        _log_rejected_budgets([str(error) or "write queue is full"])


def _log_rejected_budgets(reasons: list[str]) -> None:
    for reason in reasons:
        log.error("budgets rejected", extra={"why": reason})


def available_limits() -> Limits:
    """Return the default limits, with connections capped by the descriptor limit.

    Raises the process's soft limit of descriptors as far as needed and allowed.
    """
    default_limits = Limits()
    needed = default_limits.connections + RESERVED_DESCRIPTORS
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    descriptors = needed if hard == resource.RLIM_INFINITY else min(needed, hard)
    if soft != resource.RLIM_INFINITY and soft < descriptors:
        try:
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, hard))
        except (OSError, ValueError):
            descriptors = soft
    limits = limit_by_descriptors(default_limits, descriptors)
    if limits.connections < default_limits.connections:
        log.warning(
            "connection limit reduced to fit descriptors",
            extra={"connections": limits.connections, "descriptors": descriptors},
        )
    return limits


async def serve(args: argparse.Namespace) -> int:
    """Run the service until SIGTERM or SIGINT, and return the exit code.

    Raises:
        BudgetConfigError: The budget file has faults.
        LeaseRejectedError: A lease option is out of range.
        StateMissingError: The state folder is empty, and `--new` was not given.
        DamagedStateError: The stored state is damaged.
        OSError: A file or an address cannot be opened.
    """
    ttl_us = args.lease_ms * US_PER_MS
    lease_terms = LeaseSettings(args.drift, max_ttl_us=args.longest_ms * US_PER_MS)
    if args.fleet:
        # Validates the lease options before anything on disk is touched.
        Roster(LeaseTable(lease_terms), ttl_us)
    budgets = read_budget_file(args.budgets) if args.budgets else None
    service = await _open_service(args.state, args.new)
    fleet_services = None
    if args.fleet:
        fleet_services = await start_fleet_services(
            service,
            lease_terms,
            ttl_us,
            args.mark,
            budgets,
            args.plan_shards,
            reserves_known=args.reserves_known,
        )
    await _listen(args, service, fleet_services)
    await _wait_for_stop(fleet_services, args.budgets)
    if not await service.stop():
        logging.shutdown()
        # A thread blocked on a disk that does not respond would keep the process from
        # exiting.
        os._exit(EXIT_WRITE_TIMEOUT)
    log.info("stopped", extra={"seq": service.registry.seq})
    return EXIT_STOPPED


async def _open_service(state_folder: Path, is_new: bool) -> RegistryServer:
    """Load the stored state, or initialize it if there is none, and create the service."""
    storage = Storage(state_folder)
    if storage.is_empty() and not is_new:
        raise StateMissingError(
            f"state folder {state_folder} is empty: restore the state from a backup, or start"
            " with --new if there never was one or it cannot be restored"
        )
    registry, had_state = storage.load()
    service = RegistryServer(storage, registry, limits=available_limits())
    if not had_state:
        await service.begin_history()
    return service


async def _listen(
    args: argparse.Namespace,
    service: RegistryServer,
    fleet_services: FleetServices | None,
) -> None:
    """Open all addresses, and write their ports to the `--ports` file if given."""
    ports = [await service.listen(args.listen.host, args.listen.port, False)]
    if fleet_services is None:
        ports.append(await service.listen(args.write.host, args.write.port, True))
    else:
        ports.append(
            await fleet_services.listen_write(args.write.host, args.write.port)
        )
        ports.append(
            await fleet_services.listen_fleet(args.fleet.host, args.fleet.port)
        )
    if args.ports:
        args.ports.write_text(" ".join(map(str, ports)) + "\n")
    log.info(
        "ready",
        extra={
            "listen": ports[0],
            "write": ports[1],
            "fleet": ports[2:],
            "epoch": service.registry.epoch,
            "seq": service.registry.seq,
        },
    )


async def _wait_for_stop(
    fleet_services: FleetServices | None, budgets_path: Path | None
) -> None:
    """Wait for SIGTERM or SIGINT; reload the budgets on each SIGHUP."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for stop_signal in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(stop_signal, stop.set)
    reload_tasks: set[asyncio.Task[None]] = set()

    def start_reload() -> None:
        reload = reload_budgets(fleet_services, budgets_path)
        reload_tasks.add(loop.create_task(reload))

    loop.add_signal_handler(signal.SIGHUP, start_reload)
    await stop.wait()


def main(argv: list[str] | None = None) -> int:
    """Run the command and return its exit code."""
    parser = build_parser()
    args = parser.parse_args(argv)
    if not args.fleet and (args.budgets or args.plan_shards or args.reserves_known):
        parser.error("--budgets, --reserves-known and --plan-shards need --fleet")
    configure_logging()
    try:
        return asyncio.run(serve(args))
    except BudgetConfigError as error:
        for fault in error.faults:
            _print_error(f"{args.budgets}: {fault}")
    except (DamagedStateError, LeaseRejectedError, StateMissingError) as error:
        _print_error(str(error))
    except OSError as error:
        text = f"{error.strerror or error}: {error.filename or ''}"
        _print_error(text.rstrip(": "))
    return EXIT_FAULTY


def _print_error(text: str) -> None:
    print(f"registry: {text}", file=sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
