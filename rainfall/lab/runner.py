"""Runs an experiment: starts the testbed, the load and the faults; checks the records.

Every started process is stopped by its id, also after an error or an interrupt.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import shutil
import time
from collections.abc import Sequence
from dataclasses import dataclass
from multiprocessing.connection import Connection
from multiprocessing.process import BaseProcess
from pathlib import Path
from typing import Any

from rainfall.errors import RainfallError
from rainfall.lab import (
    checker,
    fault_injection,
    interrupt,
    log_records,
    nemesis,
    pids,
    structured_logging,
    verdicts,
)
from rainfall.lab.experiment_model import CLIENT, NS_PER_S, Experiment, Fault
from rainfall.lab.load_generator import LOAD_DONE, run_load_process
from rainfall.lab.testbed import Testbed

SETTLE_POLL_S = 0.25
PIPE_POLL_S = 0.02
LOAD_READY_TIMEOUT_S = 60.0
LOAD_START_DELAY_NS = 100_000_000
"""Delay between the ready report of the load process and the start of the load."""
ANSWER_TIMEOUTS_AFTER_LOAD = 3
LOAD_SPARE_TIME_S = 30
"""Time allowed on top of the duration, the last fault and the last responses."""


class LoadError(RainfallError):
    """The load process failed."""


@dataclass
class LoadProcess:
    """The process of the load generator, separate so that the proxies cannot delay it."""

    process: BaseProcess
    pipe: Connection

    async def receive(self, limit_s: float) -> Any:
        """Receive the next object from the load process.

        The pipe is polled, because a thread blocked on it could not be cancelled and
        would keep an interrupted lab running.

        Raises:
            TimeoutError: Nothing was received within ``limit_s``.
            LoadError: The process has ended.
        """
        async with asyncio.timeout(limit_s):
            while not self.pipe.poll():
                if not self.process.is_alive() and not self.pipe.poll():
                    raise LoadError(
                        f"the load process exited with code {self.process.exitcode}"
                    )
                await asyncio.sleep(PIPE_POLL_S)
        try:
            return self.pipe.recv()
        except EOFError:
            raise LoadError(
                "the load process closed its pipe without a report"
            ) from None

    def end(self) -> None:
        """Kill the process if it is running, and wait for its exit."""
        if self.process.is_alive():
            self.process.kill()
        self.process.join()


class ExperimentRun(Testbed):
    """A testbed that runs the load and the faults and computes the verdict."""

    load_process: LoadProcess | None = None

    async def execute(self) -> None:
        """Run the load and the faults, then wait for the final state of all messages.

        The load process and the lab use CLOCK_MONOTONIC, which is the same for all
        processes of a machine.

        Raises:
            LoadError: The load failed.
            TimeoutError: The load or the faults exceeded the time limit.
        """
        faults = nemesis.fault_timeline(self.experiment, self.seed)
        records_path = self.output_folder / "load.jsonl"
        load_process = self._start_load(records_path)
        message_count = await load_process.receive(LOAD_READY_TIMEOUT_S)
        if isinstance(message_count, str):
            raise LoadError(f"the load failed: {message_count}")
        self._set_start(time.monotonic_ns() + LOAD_START_DELAY_NS)
        load_process.pipe.send(self.start_ns)
        self.log.info(
            "load begins",
            messages=message_count,
            faults=len(faults),
            pid=load_process.process.pid,
        )
        limit_s = self._time_limit_s(faults)
        async with asyncio.timeout(limit_s):
            report, _ = await asyncio.gather(
                load_process.receive(limit_s),
                fault_injection.inject_faults(self, faults),
            )
        if report != LOAD_DONE:
            raise LoadError(f"the load failed: {report}")
        self.records += [
            json.loads(line) for line in records_path.read_text().splitlines() if line
        ]
        await self._settle()

    def _start_load(self, records_path: Path) -> LoadProcess:
        ports = [
            self.links[f"{CLIENT}>{forwarder}"].listen_port
            for forwarder in self.experiment.forwarder_names()
        ]
        context = multiprocessing.get_context("spawn")
        parent_pipe, child_pipe = context.Pipe()
        process = context.Process(
            target=run_load_process,
            args=(self.experiment, self.seed, ports, child_pipe, str(records_path)),
        )
        process.start()
        child_pipe.close()
        self.load_process = LoadProcess(process, parent_pipe)
        pids.append(self.output_folder, "load", process.pid or 0)
        return self.load_process

    def _set_start(self, start_ns: int) -> None:
        """Set the start of the load and adjust the times of earlier records."""
        for record in self.records:
            record["at_ns"] += self.start_ns - start_ns
        self.start_ns = start_ns

    def _time_limit_s(self, faults: Sequence[Fault]) -> float:
        """Time limit for the load and the faults together."""
        experiment = self.experiment
        last_fault_s = max(
            (fault.at_s + fault.for_s + fault.after_s for fault in faults), default=0.0
        )
        answers_s = experiment.load.answer_timeout_s * ANSWER_TIMEOUTS_AFTER_LOAD
        return max(experiment.duration_s, last_fault_s) + answers_s + LOAD_SPARE_TIME_S

    async def _settle(self) -> None:
        """Wait until no message counts as lost, or the settle time is over."""
        limit_ns = self.clock() + int(self.experiment.settle_s * NS_PER_S)
        while self.clock() < limit_ns and self.check_records()["lost"]:
            await asyncio.sleep(SETTLE_POLL_S)

    def check_records(self) -> dict[str, Any]:
        """The verdict on the messages, from the records collected so far."""
        experiment = self.experiment
        return checker.verdict(
            self.records,
            experiment.effects(),
            experiment.deadlines_ns(),
            experiment.load.max_lag_ms,
        )

    async def stop(self) -> None:
        """Stop the load process and the testbed."""
        if self.load_process is not None:
            self.load_process.end()
        await super().stop()

    def write_results(self) -> dict[str, Any]:
        """Add the records from the logs, and write all records and the verdict."""
        experiment = self.experiment
        destinations = {
            endpoint: experiment.destination_of(endpoint)
            for endpoint in experiment.endpoint_names()
        }
        starts = {process.name: process.starts for process in self.processes()}
        merged = log_records.merge_logs(
            log_records.read_logs(self.output_folder, starts),
            self.start_ns,
            destinations.__getitem__,
        )
        self.records += merged.records
        self.write_records()
        result = self.check_records()
        result |= verdicts.check_all(self.records, experiment)
        result |= {
            "experiment": experiment.name,
            "seed": self.seed,
            "t0_ns": self.start_ns,
            "unread_lines": merged.unread,
            **self.statistics(),
        }
        if self.limiter.rejected and not experiment.fleet.most_connections:
            # The lab ran out of file descriptors: not the fault of the fleet.
            result["valid"] = False
        result["breaches"] = verdicts.breaches(result)
        (self.output_folder / "verdict.json").write_text(json.dumps(result, indent=1))
        return result


async def run(experiment: Experiment, seed: int, out: Path) -> dict[str, Any]:
    """Run an experiment, write its files to the folder ``out`` and return the verdict.

    All processes are stopped, also after errors and on SIGINT and SIGTERM, which raise
    CancelledError.

    Raises:
        StartError: A process did not start.
        LoadError: The load failed.
        TimeoutError: The run exceeded its time limit.
    """
    out.mkdir(parents=True, exist_ok=True)
    pid_file = out / pids.PID_FILE
    if pid_file.exists():
        # The folder holds an earlier run: do not start from the state of its processes.
        shutil.rmtree(out / "members", ignore_errors=True)
        pid_file.unlink()
    sink = structured_logging.configure(out / "lab.jsonl")
    experiment_run = ExperimentRun(experiment, seed, out)
    interrupt.cancel_on_first_signal()
    try:
        await experiment_run.start()
        await experiment_run.execute()
    finally:
        try:
            await experiment_run.stop()
            result = experiment_run.write_results()
        finally:
            sink.close()
    return result
