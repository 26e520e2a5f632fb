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
    harvest,
    interrupt,
    logs,
    nemesis,
    pids,
    timeline,
    verdicts,
)
from rainfall.lab.experiment import Experiment
from rainfall.lab.load import drive
from rainfall.lab.stage import Stage

POLL_S = 0.25
PIPE_POLL_S = 0.02
READY_S = 60.0
LEAD_NS = 100_000_000
"""From the load's yes to its first planned send."""


@dataclass
class Load:
    """The load in a process of its own, so that the proxies' work cannot delay its
    sends.
    """

    process: BaseProcess
    pipe: Connection

    async def told(self, limit_s: float) -> Any:
        """What the load says next. Polled, not waited for in a thread: a thread that
        waits cannot be cancelled, and would keep an interrupted lab from ending.
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


class Run(Stage):
    load: Load | None = None

    async def play(self) -> None:
        """The load and the faults, on the same clock (CLOCK_MONOTONIC is one for the
        machine).
        """
        exp = self.experiment
        faults = nemesis.timeline(exp, self.seed)
        ports = [self.links[f"client>{f}"].listen for f in exp.forwarder_names()]
        context = multiprocessing.get_context("spawn")
        ours, theirs = context.Pipe()
        path = self.out / "load.jsonl"
        process = context.Process(
            target=drive, args=(exp, self.seed, ports, theirs, str(path))
        )
        process.start()
        theirs.close()
        self.load = Load(process, ours)
        pids.note(self.out, "load", process.pid or 0)
        messages = await self.load.told(
            READY_S
        )  # the load is ready: it has planned its messages
        if not isinstance(messages, int):
            raise RuntimeError(f"the load failed: {messages}")
        began = time.monotonic_ns() + LEAD_NS
        for r in (
            self.records
        ):  # what was recorded before the start is before it on the run's clock too
            r["at_ns"] += self.t0 - began
        self.t0 = began
        ours.send(began)
        self.log.info(
            "load begins", messages=messages, faults=len(faults), pid=process.pid
        )
        tail = max((f.at_s + f.for_s + f.after_s for f in faults), default=0.0)
        limit = max(exp.duration_s, tail) + exp.load.answer_timeout_s * 3 + 30
        async with asyncio.timeout(limit):
            done, _ = await asyncio.gather(
                self.load.told(limit), timeline.play(self, faults)
            )
        if done != "done":
            raise RuntimeError(f"the load failed: {done}")
        self.records += [
            json.loads(line) for line in path.read_text().splitlines() if line
        ]
        await self._settle()

    async def _settle(self) -> None:
        """Wait until every message taken on has its end, or the settle time has
        passed.
        """
        limit = self.clock() + int(self.experiment.settle_s * 1e9)
        while self.clock() < limit and self.checked()["lost"]:
            await asyncio.sleep(POLL_S)

    def checked(self) -> dict[str, Any]:
        exp = self.experiment
        return checker.verdict(
            self.records,
            {c.name: c.effect for c in exp.load.classes},
            {c.name: int(c.deadline_s * 1e9) for c in exp.load.classes},
            exp.load.max_lag_ms,
        )

    async def stop(self) -> None:
        if self.load is not None:
            self.load.end()
        await super().stop()

    def write(self) -> dict[str, Any]:
        """Merge the processes' own records, write all of them and the verdict."""
        known = {
            e: self.experiment.destination_of(e)
            for e in self.experiment.endpoint_names()
        }
        starts = {p.name: p.starts for p in self.processes()}
        own, unread = harvest.merged(
            harvest.logs(self.out, starts), self.t0, known.__getitem__
        )
        self.records += own
        self.dump()
        result = self.checked() | verdicts.sections(self.records, self.experiment)
        result |= {
            "experiment": self.experiment.name,
            "seed": self.seed,
            "t0_ns": self.t0,
        }
        result |= {"unread_lines": unread, **self.figures()}
        if self.gate.refused and not self.experiment.fleet.most_connections:
            result["valid"] = (
                False  # the lab's own descriptors were the bottleneck, not the fleet
            )
        result["breaches"] = verdicts.breaches(result)
        (self.out / "verdict.json").write_text(json.dumps(result, indent=1))
        return result


async def run(experiment: Experiment, seed: int, out: Path) -> dict[str, Any]:
    """Play an experiment into ``out`` (created) and give its verdict; processes are
    ended also on errors, at SIGINT and at SIGTERM (CancelledError then).
    """
    out.mkdir(parents=True, exist_ok=True)
    if (
        out / pids.FILE
        # a run's folder, played into again: what members kept is not this run's
    ).exists():
        shutil.rmtree(out / "members", ignore_errors=True)
        (out / pids.FILE).unlink()
    sink = logs.configure(out / "lab.jsonl")
    lab = Run(experiment, seed, out)
    interrupt.once()
    try:
        await lab.start()
        await lab.play()
    finally:
        try:
            await lab.stop()
            result = lab.write()
        finally:
            sink.close()
    return result
