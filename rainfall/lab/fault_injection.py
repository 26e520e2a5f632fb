"""Injects the faults of a run at their scheduled times and heals them."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Iterable

from rainfall.lab.experiment_model import (
    ENDPOINT_KINDS,
    LINK_KINDS,
    NS_PER_S,
    Fault,
    matching_links,
)
from rainfall.lab.stand_ins import Behaviour, Endpoint
from rainfall.lab.testbed import Testbed


async def inject_faults(testbed: Testbed, faults: Iterable[Fault]) -> None:
    """Inject all faults and wait for the last to end; cancellation cancels them all."""
    tasks = [asyncio.create_task(_inject(testbed, fault)) for fault in faults]
    try:
        await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _inject(testbed: Testbed, fault: Fault) -> None:
    await asyncio.sleep(max(0.0, fault.at_s - testbed.clock() / NS_PER_S))
    start_ns = testbed.clock()
    testbed.log.info("fault", fault=fault.kind, target=fault.target, zone=fault.zone)
    if fault.kind in LINK_KINDS:
        names = matching_links(testbed.experiment, fault)
        for name in names:
            testbed.links[name].set_state(fault.kind, fault.delay_ms, fault.jitter_ms)
        await asyncio.sleep(fault.for_s)
        for name in names:
            testbed.links[name].set_state("pass")
    elif fault.kind in ENDPOINT_KINDS:
        await _inject_endpoint_fault(testbed, testbed.endpoints[fault.target], fault)
    else:
        await _inject_process_fault(testbed, fault)
    testbed.log.info("healed", fault=fault.kind, target=fault.target, zone=fault.zone)
    testbed.record(
        {
            "kind": "fault",
            "fault": fault.kind,
            "target": fault.target or f"zone {fault.zone}",
            "at_ns": start_ns,
            "until_ns": testbed.clock(),
        }
    )


async def _inject_process_fault(testbed: Testbed, fault: Fault) -> None:
    process = testbed.process(fault.target)
    async with process.fault_lock:
        if fault.kind == "pause":
            process.signal(signal.SIGSTOP)
            try:
                await asyncio.sleep(fault.for_s)
            finally:
                process.signal(signal.SIGCONT)
            return
        if fault.kind == "kill":
            await process.kill()
        else:
            await process.terminate()
        if fault.restart:
            await asyncio.sleep(fault.after_s)
            await process.restart(keep_state=fault.restart == "keep")
            testbed.log.info(
                "member ready",
                member=process.name,
                role=process.role,
                pid=process.pids[-1],
            )


async def _inject_endpoint_fault(
    testbed: Testbed, endpoint: Endpoint, fault: Fault
) -> None:
    behaviour = endpoint.behaviour
    if fault.kind == "slow":
        behaviour.slow_ms = fault.delay_ms
    elif fault.kind == "failing":
        behaviour.failure_ratio = fault.share
    elif fault.kind == "limit":
        behaviour.concurrency_limit = fault.limit
    else:  # "cold": calls are slow for a time, as after a restart.
        behaviour.cold_ms = fault.delay_ms
        behaviour.cold_until_ns = testbed.clock() + int(fault.for_s * NS_PER_S)
    if fault.for_s:
        await asyncio.sleep(fault.for_s)
        if fault.kind != "cold":
            endpoint.behaviour = Behaviour()
