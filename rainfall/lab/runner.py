"""A whole lab run: the stage set, the load and the faults driven on one clock, the
records written and checked. Every process started is ended by its id on every way
out.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import shutil
import time
from dataclasses import dataclass
from multiprocessing.connection import Connection
from multiprocessing.process import BaseProcess
from pathlib import Path
from typing import Any

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
from rainfall.lab.experiment import Experiment
from rainfall.lab.load_generator import run_load_process
from rainfall.lab.testbed import Testbed

SETTLE_POLL_S = 0.25
PIPE_POLL_S = 0.02
LOAD_READY_TIMEOUT_S = 60.0
LOAD_START_DELAY_NS = 100_000_000
"""From the load's yes to its first planned send."""


@dataclass
class LoadProcess:
    """The load in a process of its own, so that the proxies' work cannot delay its
    sends.
    """

    process: BaseProcess
    pipe: Connection

    async def receive(self, limit_s: float) -> Any:
        """What the load says next.

        Polled, not waited for in a thread: a thread that waits cannot be cancelled, and
        would keep an interrupted lab from ending.
        """
        async with asyncio.timeout(limit_s):
            while not self.pipe.poll():
                if not self.process.is_alive() and not self.pipe.poll():
                    raise RuntimeError(f"the load ended with {self.process.exitcode}")
                await asyncio.sleep(PIPE_POLL_S)
        try:
            return self.pipe.recv()
        except EOFError:
            raise RuntimeError("the load ended without a word") from None

    def end(self) -> None:
        if self.process.is_alive():
            self.process.kill()
        self.process.join()


class ExperimentRun(Testbed):
    load_process: LoadProcess | None = None

    async def play(self) -> None:
        """The load and the faults, on the same clock (CLOCK_MONOTONIC is one for the
        machine).
        """
        experiment = self.experiment
        faults = nemesis.fault_timeline(experiment, self.seed)
        ports = [
            self.links[f"client>{fault}"].listen_port
            for fault in experiment.forwarder_names()
        ]
        context = multiprocessing.get_context("spawn")
        parent_pipe, child_pipe = context.Pipe()
        path = self.output_folder / "load.jsonl"
        process = context.Process(
            target=run_load_process,
            args=(experiment, self.seed, ports, child_pipe, str(path)),
        )
        process.start()
        child_pipe.close()
        self.load_process = LoadProcess(process, parent_pipe)
        pids.note(self.output_folder, "load", process.pid or 0)
        messages = await self.load_process.receive(
            LOAD_READY_TIMEOUT_S
        )  # the load is ready: it has planned its messages
        if not isinstance(messages, int):
            raise RuntimeError(f"the load failed: {messages}")
        start_ns = time.monotonic_ns() + LOAD_START_DELAY_NS
        for record in (
            self.records
        ):  # what was recorded before the start is before it on the run's clock too
            record["at_ns"] += self.start_ns - start_ns
        self.start_ns = start_ns
        parent_pipe.send(start_ns)
        self.log.info(
            "load begins", messages=messages, faults=len(faults), pid=process.pid
        )
        last_fault_s = max(
            (fault.at_s + fault.for_s + fault.after_s for fault in faults), default=0.0
        )
        limit = (
            max(experiment.duration_s, last_fault_s)
            + experiment.load.answer_timeout_s * 3
            + 30
        )
        async with asyncio.timeout(limit):
            done, _ = await asyncio.gather(
                self.load_process.receive(limit),
                fault_injection.inject_faults(self, faults),
            )
        if done != "done":
            raise RuntimeError(f"the load failed: {done}")
        self.records += [
            json.loads(line) for line in path.read_text().splitlines() if line
        ]
        await self._settle()

    async def _settle(self) -> None:
        """Wait until every message taken on has its end, or the settle time has passed."""
        limit = self.clock() + int(self.experiment.settle_s * 1e9)
        while self.clock() < limit and self.check_records()["lost"]:
            await asyncio.sleep(SETTLE_POLL_S)

    def check_records(self) -> dict[str, Any]:
        experiment = self.experiment
        return checker.verdict(
            self.records,
            {c.name: c.effect for c in experiment.load.classes},
            {c.name: int(c.deadline_s * 1e9) for c in experiment.load.classes},
            experiment.load.max_lag_ms,
        )

    async def stop(self) -> None:
        if self.load_process is not None:
            self.load_process.end()
        await super().stop()

    def write_results(self) -> dict[str, Any]:
        """Merge the processes' own records, write all of them and the verdict."""
        known = {
            e: self.experiment.destination_of(e)
            for e in self.experiment.endpoint_names()
        }
        starts = {p.name: p.starts for p in self.processes()}
        process_records, unread = log_records.merge_logs(
            log_records.read_logs(self.output_folder, starts),
            self.start_ns,
            known.__getitem__,
        )
        self.records += process_records
        self.write_records()
        result = self.check_records() | verdicts.check_all(
            self.records, self.experiment
        )
        result |= {
            "experiment": self.experiment.name,
            "seed": self.seed,
            "t0_ns": self.start_ns,
        }
        result |= {"unread_lines": unread, **self.statistics()}
        if self.limiter.rejected and not self.experiment.fleet.most_connections:
            result["valid"] = (
                False  # the lab's own descriptors were the bottleneck, not the fleet
            )
        result["breaches"] = verdicts.breaches(result)
        (self.output_folder / "verdict.json").write_text(json.dumps(result, indent=1))
        return result


async def run(experiment: Experiment, seed: int, out: Path) -> dict[str, Any]:
    """Play an experiment into ``out`` (created) and give its verdict; processes are
    ended also on errors, at SIGINT and at SIGTERM (CancelledError then).
    """
    out.mkdir(parents=True, exist_ok=True)
    if (
        out / pids.PID_FILE
        # a run's folder, played into again: what members kept is not this run's
    ).exists():
        shutil.rmtree(out / "members", ignore_errors=True)
        (out / pids.PID_FILE).unlink()
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
