"""Runs one experiment with many seeds, each in a process of its own.

A run that exceeds its time limit is sent SIGTERM and then stops its own processes. If the
run does not end, it is killed by SIGKILL, and its processes by the ids stored in its
folder.
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
from typing import Any, NamedTuple

from rainfall.lab import interrupt, pids
from rainfall.lab.experiment import Experiment
from rainfall.lab.processes import READY_TIMEOUT_S, ROOT
from rainfall.lab.sweep_summary import RunResult, format_table, summarize

MAX_SEEDS = 10_000
"""Most seeds of one sweep."""
MAX_JOBS = 64
"""Most parallel runs."""
TERM_TIMEOUT_S = 15.0
"""Time between SIGTERM and SIGKILL of a run."""
SPARE_TIME_S = 60.0
"""Time allowed for a run on top of its starts, its load and its settling."""
SHOWN_CHARACTERS = 300
"""Longest part of a log line in a failure."""
EXIT_CODES_WITH_VERDICT = (0, 1)
EXIT_INTERRUPTED = 130


def parse_seeds(text: str) -> list[int]:
    """Parse the seeds of an option: ``1-3,7`` gives 1, 2, 3, 7.

    Raises:
        argparse.ArgumentTypeError: The text is invalid, or has too many seeds.
    """
    seeds: dict[int, None] = {}
    for part in text.split(","):
        seeds |= dict.fromkeys(_parse_seed_range(part))
    if len(seeds) > MAX_SEEDS:
        raise argparse.ArgumentTypeError(
            f"{len(seeds)} seeds, but at most {MAX_SEEDS} are allowed"
        )
    return list(seeds)


def _parse_seed_range(part: str) -> range:
    first, _, last = part.partition("-")
    is_range = first.isdecimal() and (last or first).isdecimal()
    if not is_range or part.endswith("-"):
        raise argparse.ArgumentTypeError(
            f"{part!r} is neither a seed nor a range such as 1-100"
        )
    begin = int(first)
    end = int(last or first)
    if begin > end or end - begin >= MAX_SEEDS:
        raise argparse.ArgumentTypeError(
            f"{part!r} is not a range of 1 to {MAX_SEEDS} seeds"
        )
    return range(begin, end + 1)


def parse_jobs(text: str) -> int:
    """Parse the number of parallel runs.

    Raises:
        argparse.ArgumentTypeError: The text is not a number from 1 to ``MAX_JOBS``.
    """
    if not text.isdecimal() or not 1 <= int(text) <= MAX_JOBS:
        raise argparse.ArgumentTypeError(f"{text!r} is not 1 to {MAX_JOBS}")
    return int(text)


def run_time_limit_s(experiment: Experiment) -> float:
    """Time limit of a run: starts, load, faults that outlast the load, and settling."""
    tail_s = max(
        (fault.for_s + fault.after_s for fault in experiment.faults), default=0.0
    )
    if experiment.random_faults is not None:
        tail_s = max(tail_s, experiment.random_faults.longest_s)
    starts_s = 2 * READY_TIMEOUT_S
    return (
        starts_s + experiment.duration_s + tail_s + experiment.settle_s + SPARE_TIME_S
    )


class _ProcessOutcome(NamedTuple):
    exit_code: int
    failure: str
    """Why the process was stopped; empty if it exited by itself."""


class Sweep:
    """Runs the seeds of one sweep and collects the results.

    ``path`` is the experiment file. ``keep`` selects the run folders to keep: ``all``,
    ``failures`` (runs with a breach) or ``none``.
    """

    def __init__(
        self, experiment: Experiment, path: Path, out: Path, keep: str
    ) -> None:
        self.experiment = experiment
        self.path = path.resolve()
        self.out = out.resolve()
        self.keep_folders = keep
        self.time_limit_s = run_time_limit_s(experiment)
        self.runs: list[RunResult] = []

    async def run_all(self, seeds: list[int], jobs: int) -> None:
        """Run every seed, ``jobs`` in parallel; cancellation stops the active runs."""
        pending_seeds = iter(seeds)

        async def worker() -> None:
            for seed in pending_seeds:
                self.runs.append(await self.run_seed(seed))

        workers = [asyncio.create_task(worker()) for _ in range(min(jobs, len(seeds)))]
        try:
            # asyncio.gather would return with the first worker if cancelled, and the
            # cancellation below would interrupt the clean-up of the other workers.
            await asyncio.wait(workers, return_when=asyncio.FIRST_EXCEPTION)
        finally:
            for task in workers:
                task.cancel()
            await asyncio.wait(workers)
        for task in workers:
            task.result()

    def run_arguments(self, seed: int, folder: Path) -> list[str]:
        """The interpreter's arguments for the process of a run."""
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
        """Run one seed, and keep or delete its folder."""
        folder = self.out / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        # An earlier sweep may have left its verdict.
        (folder / "verdict.json").unlink(missing_ok=True)
        started_s = time.monotonic()
        outcome = await self._run_process(seed, folder)
        wall_s = time.monotonic() - started_s
        result = self.read_result(
            seed, folder, outcome.exit_code, wall_s, outcome.failure
        )
        keeps_folder = self.keep_folders == "all" or (
            self.keep_folders == "failures" and result.breaches
        )
        if not keeps_folder:
            shutil.rmtree(folder, ignore_errors=True)
        return result

    async def _run_process(self, seed: int, folder: Path) -> _ProcessOutcome:
        with (folder / "run.log").open("wb") as log:
            starting = asyncio.ensure_future(
                asyncio.create_subprocess_exec(
                    sys.executable,
                    *self.run_arguments(seed, folder),
                    cwd=ROOT,
                    stdin=asyncio.subprocess.DEVNULL,
                    stdout=log,
                    stderr=log,
                    # A terminal sends SIGINT to the sweep only.
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
            finally:
                # Cancellation may arrive while the process is being started.
                process = await starting
                await end_run(process, folder)
        return _ProcessOutcome(process.returncode or 0, failure)

    def read_result(
        self, seed: int, folder: Path, exit_code: int, wall_s: float, failure: str
    ) -> RunResult:
        """Read the result of a run; a run that failed has no verdict."""
        verdict: dict[str, Any] = {}
        with contextlib.suppress(OSError, ValueError):
            verdict = json.loads((folder / "verdict.json").read_text())
        if failure or exit_code not in EXIT_CODES_WITH_VERDICT or not verdict:
            log = (folder / "run.log").read_text(errors="replace")
            last_line = " ".join(log.strip().splitlines()[-1:])[:SHOWN_CHARACTERS]
            failure = failure or f"no verdict, exit {exit_code}: {last_line}"
            return RunResult(seed, exit_code, wall_s, {}, [failure])
        return RunResult(seed, exit_code, wall_s, verdict, list(verdict["breaches"]))


async def end_run(process: asyncio.subprocess.Process, folder: Path) -> None:
    """Stop the process of a run if it is running, and all processes it started."""
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
    await pids.kill_all(folder)


async def _run_seeds(runner: Sweep, seeds: list[int], jobs: int) -> None:
    interrupt.cancel_on_first_signal()
    await runner.run_all(seeds, jobs)


def sweep(
    experiment: Experiment,
    path: Path,
    seeds: list[int],
    jobs: int,
    out: Path,
    keep: str = "all",
) -> int:
    """Run the seeds, write ``summary.json`` and print the summary table.

    Returns the exit code: 0, 1 after any breach, or 130 after an interrupt.
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
        print(
            "lab: interrupted; all processes of the runs were stopped", file=sys.stderr
        )
        return EXIT_INTERRUPTED
    return int(result["exit"])
