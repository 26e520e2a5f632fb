"""Many runs of one experiment, each seed a process of its own, some at a time; one
summary of all.

A run has a bounded time. It is ended by SIGTERM to its id (it then ends what it started
itself); should it not, by SIGKILL, and what it had started by the ids that it noted in
its folder.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import shutil
import signal
import sys
import time
from pathlib import Path
from typing import Any

from rainfall.lab import interrupt, pids
from rainfall.lab.experiment import Experiment
from rainfall.lab.processes import READY_TIMEOUT_S, ROOT
from rainfall.lab.sweep_summary import RunResult, format_table, summarize

MAX_SEEDS = 10_000
MAX_JOBS = 64
TERM_TIMEOUT_S = 15.0
"""From SIGTERM to SIGKILL of a run."""


def parse_seeds(text: str) -> list[int]:
    """``1-3,7`` is 1, 2, 3, 7; ArgumentTypeError where it is not so written, or beyond
    MOST_SEEDS.
    """
    found: dict[int, None] = {}
    for part in text.split(","):
        first, _, last = part.partition("-")
        if (
            not first.isdecimal()
            or not (last or first).isdecimal()
            or part.endswith("-")
        ):
            raise argparse.ArgumentTypeError(
                f"{part!r} is no seed and no range such as 1-100"
            )
        begin, end = int(first), int(last or first)
        if begin > end or end - begin >= MAX_SEEDS:
            raise argparse.ArgumentTypeError(
                f"{part!r} is no range of 1 to {MAX_SEEDS} seeds"
            )
        found |= dict.fromkeys(range(begin, end + 1))
    if len(found) > MAX_SEEDS:
        raise argparse.ArgumentTypeError(
            f"{len(found)} seeds, where {MAX_SEEDS} are the most"
        )
    return list(found)


def parse_jobs(text: str) -> int:
    if not text.isdecimal() or not 1 <= int(text) <= MAX_JOBS:
        raise argparse.ArgumentTypeError(f"{text!r} is not 1 to {MAX_JOBS}")
    return int(text)


def run_time_limit_s(experiment: Experiment) -> float:
    """The longest that a run may take: its starts, its load, its faults' ends, its
    settling, and slack.
    """
    tail = max((f.for_s + f.after_s for f in experiment.faults), default=0.0)
    if experiment.nemesis is not None:
        tail = max(tail, experiment.nemesis.longest_s)
    return 2 * READY_TIMEOUT_S + experiment.duration_s + tail + experiment.settle_s + 60


class Sweep:
    def __init__(
        self, experiment: Experiment, path: Path, out: Path, keep: str
    ) -> None:
        self.experiment, self.path, self.out, self.keep_folders = (
            experiment,
            path.resolve(),
            out.resolve(),
            keep,
        )
        self.time_limit_s = run_time_limit_s(experiment)
        self.runs: list[RunResult] = []

    async def run_all(self, seeds: list[int], jobs: int) -> None:
        """Every seed once, ``at_once`` at a time; cancelled, it ends the runs that it
        started.
        """
        waiting = iter(seeds)

        async def worker() -> None:
            for seed in waiting:
                self.runs.append(await self.run_seed(seed))

        workers = [asyncio.create_task(worker()) for _ in range(min(jobs, len(seeds)))]
        try:
            # Not gather: cancelled, it cancels the workers and returns with the first
            # of them, and a second cancel would break off the ending in another.
            await asyncio.wait(workers, return_when=asyncio.FIRST_EXCEPTION)
        finally:
            for task in workers:
                task.cancel()
            await asyncio.wait(workers)
        for task in workers:
            task.result()

    def run_arguments(self, seed: int, folder: Path) -> list[str]:
        return [
            "-m",
            "rainfall.lab",
            "run",
            str(self.path),
            "--seed",
            str(seed),
            "--out",
            str(folder),
            "--no-report",
        ]

    async def run_seed(self, seed: int) -> RunResult:
        folder = self.out / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "verdict.json").unlink(
            missing_ok=True
        )  # an earlier sweep's says nothing of this one
        started_s = time.monotonic()
        with (folder / "run.log").open("wb") as log:
            starting = asyncio.ensure_future(
                asyncio.create_subprocess_exec(
                    sys.executable,
                    *self.run_arguments(seed, folder),
                    cwd=ROOT,
                    stdin=asyncio.subprocess.DEVNULL,
                    stdout=log,
                    stderr=log,
                    # an interrupt from the terminal comes to the sweep alone
                    start_new_session=True,
                )
            )
            failure = ""
            try:
                await asyncio.wait({starting})
                process = starting.result()
                async with asyncio.timeout(self.time_limit_s):
                    await process.wait()
            except TimeoutError:
                failure = f"took more than {self.time_limit_s:g} s"
            finally:  # also where the interrupt came while the run was being started
                process = await starting
                await end_run(process, folder)
        result = self.read_result(
            seed, folder, process.returncode or 0, time.monotonic() - started_s, failure
        )
        if self.keep_folders == "none" or (
            self.keep_folders == "failures" and not result.breaches
        ):
            shutil.rmtree(folder, ignore_errors=True)
        return result

    def read_result(
        self, seed: int, folder: Path, exit_code: int, wall_s: float, failure: str
    ) -> RunResult:
        verdict: dict[str, Any] = {}
        with contextlib.suppress(OSError, ValueError):
            verdict = json.loads((folder / "verdict.json").read_text())
        if failure or exit_code not in (0, 1) or not verdict:
            last = (
                (folder / "run.log")
                .read_text(errors="replace")
                .strip()
                .splitlines()[-1:]
            )
            failure = failure or f"no verdict, exit {exit_code}: {' '.join(last)[:300]}"
            return RunResult(
                seed, exit_code, wall_s, {}, [failure]
            )  # a verdict of half a run is none
        return RunResult(seed, exit_code, wall_s, verdict, list(verdict["breaches"]))


async def end_run(process: asyncio.subprocess.Process, folder: Path) -> None:
    """See a run ended, and all that it had started."""
    if process.returncode is None:
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(TERM_TIMEOUT_S):
                await process.wait()
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
    await pids.end(folder)


async def _run_seeds(work: Sweep, wanted: list[int], at_once: int) -> None:
    interrupt.cancel_on_first_signal()
    await work.run_all(wanted, at_once)


def sweep(
    experiment: Experiment,
    path: Path,
    seeds: list[int],
    jobs: int,
    out: Path,
    keep: str = "all",
) -> int:
    """Play, write ``summary.json``, print the table; 0, 1 on any breach, 130 where it
    was interrupted.
    """
    out.mkdir(parents=True, exist_ok=True)
    runner = Sweep(experiment, path, out, keep)
    interrupted = False
    try:
        asyncio.run(_run_seeds(runner, seeds, jobs))
    except (asyncio.CancelledError, KeyboardInterrupt):
        interrupted = True
    result = summarize(experiment.name, seeds, runner.runs)
    (out / "summary.json").write_text(json.dumps(result, indent=1))
    print(format_table(result))
    if interrupted:
        print("lab: interrupted; every process it started was ended", file=sys.stderr)
        return 130
    return int(result["exit"])
