"""The faults of a run, each applied at its time and healed: on links, processes and
endpoints.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Iterable

from rainfall.lab.shapes import ENDPOINT_KINDS, LINK_KINDS, Fault, chosen_links
from rainfall.lab.stage import Stage
from rainfall.lab.standins import Behaviour, Endpoint


async def play(stage: Stage, faults: Iterable[Fault]) -> None:
    """Every fault at its time; returns when all are over, and ends them all where it is
    cancelled.
    """
    tasks = [asyncio.create_task(_fault(stage, f)) for f in faults]
    try:
        await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _fault(stage: Stage, fault: Fault) -> None:
    await asyncio.sleep(max(0.0, fault.at_s - stage.clock() / 1e9))
    start = stage.clock()
    stage.log.info("fault", fault=fault.kind, target=fault.target, zone=fault.zone)
    if fault.kind in LINK_KINDS:
        names = chosen_links(stage.experiment, fault)
        for name in names:
            stage.links[name].set(fault.kind, fault.delay_ms, fault.jitter_ms)
        await asyncio.sleep(fault.for_s)
        for name in names:
            stage.links[name].set("pass")
    elif fault.kind in ENDPOINT_KINDS:
        await _endpoint(stage, stage.endpoints[fault.target], fault)
    else:
        await _process(stage, fault)
    stage.log.info("healed", fault=fault.kind, target=fault.target, zone=fault.zone)
    stage.record(
        {
            "kind": "fault",
            "fault": fault.kind,
            "target": fault.target or f"zone {fault.zone}",
            "at_ns": start,
            "until_ns": stage.clock(),
        }
    )


async def _process(stage: Stage, fault: Fault) -> None:
    process = stage.process(fault.target)
    async with (
        process.turn
    ):  # one fault on a process at a time: no pause in the middle of a start
        if fault.kind == "pause":
            process.signal(signal.SIGSTOP)
            try:
                await asyncio.sleep(fault.for_s)
            finally:
                process.signal(signal.SIGCONT)
            return
        await (process.kill() if fault.kind == "kill" else process.term())
        if fault.restart:
            await asyncio.sleep(fault.after_s)
            await process.restart(keep=fault.restart == "keep")
            stage.log.info(
                "member ready",
                member=process.name,
                role=process.role,
                pid=process.pids[-1],
            )


async def _endpoint(stage: Stage, endpoint: Endpoint, fault: Fault) -> None:
    b = endpoint.behaviour
    if fault.kind == "slow":
        b.slow_ms = fault.delay_ms
    elif fault.kind == "failing":
        b.failing = fault.share
    elif fault.kind == "limit":
        b.limit = fault.limit
    else:  # cold: a restart, whose first calls are slow
        b.cold_ms, b.cold_until_ns = (
            fault.delay_ms,
            stage.clock() + int(fault.for_s * 1e9),
        )
    if fault.for_s:
        await asyncio.sleep(fault.for_s)
        if fault.kind != "cold":
            endpoint.behaviour = Behaviour()
