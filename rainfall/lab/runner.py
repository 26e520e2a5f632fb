"""Plays an experiment: starts the testbed, the load and the faults, and checks the records.

Every started process is ended by its id, however the run ends.
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
"""The time between the load's report that it is ready and its start."""
ANSWER_TIMEOUTS_AFTER_LOAD = 3
LOAD_SPARE_TIME_S = 30
"""What the load may take beside its duration, the last fault and the last answers."""


class LoadError(RainfallError):
    """The load process has failed."""


@dataclass
class LoadProcess:
    """The load in a process of its own, so that the proxies cannot delay it."""

    process: BaseProcess
    pipe: Connection

    async def receive(self, limit_s: float) -> Any:
        """The next object that the load sends.

        The pipe is polled: a thread that waits for it could not be cancelled, and would
        keep an interrupted lab from ending.

        Raises:
            TimeoutError: Nothing came within ``limit_s``.
            LoadError: The process has ended.
        """
        async with asyncio.timeout(limit_s):
            while not self.pipe.poll():
                if not self.process.is_alive() and not self.pipe.poll():
                    raise LoadError(f"the load ended with {self.process.exitcode}")
                await asyncio.sleep(PIPE_POLL_S)
        try:
            return self.pipe.recv()
        except EOFError:
            raise LoadError("the load ended without a word") from None

    def end(self) -> None:
        """End the process, if it runs, and wait for its end."""
        if self.process.is_alive():
            self.process.kill()
        self.process.join()


class ExperimentRun(Testbed):
    """A testbed with its load, its faults and its verdict."""

    load_process: LoadProcess | None = None

    async def play(self) -> None:
        """Run the load and the faults, and wait until all messages have ended.

        Both use CLOCK_MONOTONIC, which is the same for all processes of a machine.

        Raises:
            LoadError: The load has failed.
            TimeoutError: It took too long.
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
        pids.note(self.output_folder, "load", process.pid or 0)
        return self.load_process

    def _set_start(self, start_ns: int) -> None:
        """Set the start of the load, and move the times of earlier records to it."""
        for record in self.records:
            record["at_ns"] += self.start_ns - start_ns
        self.start_ns = start_ns

    def _time_limit_s(self, faults: Sequence[Fault]) -> float:
        """How long load and faults may take."""
        experiment = self.experiment
        last_fault_s = max(
            (fault.at_s + fault.for_s + fault.after_s for fault in faults), default=0.0
        )
        answers_s = experiment.load.answer_timeout_s * ANSWER_TIMEOUTS_AFTER_LOAD
        return max(experiment.duration_s, last_fault_s) + answers_s + LOAD_SPARE_TIME_S

    async def _settle(self) -> None:
        """Wait until every accepted message has ended, or the settle time is over."""
        limit_ns = self.clock() + int(self.experiment.settle_s * NS_PER_S)
        while self.clock() < limit_ns and self.check_records()["lost"]:
            await asyncio.sleep(SETTLE_POLL_S)

    def check_records(self) -> dict[str, Any]:
        """The verdict on the messages, by the records so far."""
        experiment = self.experiment
        return checker.verdict(
            self.records,
            experiment.effects(),
            experiment.deadlines_ns(),
            experiment.load.max_lag_ms,
        )

    async def stop(self) -> None:
        """End the load, and the testbed."""
        if self.load_process is not None:
            self.load_process.end()
        await super().stop()

    def write_results(self) -> dict[str, Any]:
        """Merge the processes' own records, and write all records and the verdict."""
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
            # The lab ran out of descriptors, which says nothing of the fleet.
            result["valid"] = False
        result["breaches"] = verdicts.breaches(result)
        (self.output_folder / "verdict.json").write_text(json.dumps(result, indent=1))
        return result


async def run(experiment: Experiment, seed: int, out: Path) -> dict[str, Any]:
    """Play an experiment; its verdict. ``out`` is the folder for its files.

    Processes are ended on errors too, and at SIGINT and SIGTERM, which raise
    CancelledError.

    Raises:
        StartError: A process did not come up.
        LoadError: The load has failed.
        TimeoutError: The run took too long.
    """
    out.mkdir(parents=True, exist_ok=True)
    pid_file = out / pids.PID_FILE
    if pid_file.exists():
        # The folder is an earlier run's, whose processes' state is not this run's.
        shutil.rmtree(out / "members", ignore_errors=True)
        pid_file.unlink()
    sink = structured_logging.configure(out / "lab.jsonl")
    experiment_run = ExperimentRun(experiment, seed, out)
    interrupt.cancel_on_first_signal()
    try:
        await experiment_run.start()
        await experiment_run.play()
    finally:
        try:
            await experiment_run.stop()
            result = experiment_run.write_results()
        finally:
            sink.close()
    return result
