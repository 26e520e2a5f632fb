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
from rainfall.lab.fleet import READY_S, ROOT
from rainfall.lab.summary import Played, summary, table

MOST_SEEDS = 10_000
MOST_JOBS = 64
END_S = 15.0
"""From SIGTERM to SIGKILL of a run."""


def seeds(text: str) -> list[int]:
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
        if begin > end or end - begin >= MOST_SEEDS:
            raise argparse.ArgumentTypeError(
                f"{part!r} is no range of 1 to {MOST_SEEDS} seeds"
            )
        found |= dict.fromkeys(range(begin, end + 1))
    if len(found) > MOST_SEEDS:
        raise argparse.ArgumentTypeError(
            f"{len(found)} seeds, where {MOST_SEEDS} are the most"
        )
    return list(found)


def jobs(text: str) -> int:
    if not text.isdecimal() or not 1 <= int(text) <= MOST_JOBS:
        raise argparse.ArgumentTypeError(f"{text!r} is not 1 to {MOST_JOBS}")
    return int(text)


def limit_s(experiment: Experiment) -> float:
    """The longest that a run may take: its starts, its load, its faults' ends, its
    settling, and slack.
    """
    tail = max((f.for_s + f.after_s for f in experiment.faults), default=0.0)
    if experiment.nemesis is not None:
        tail = max(tail, experiment.nemesis.longest_s)
    return 2 * READY_S + experiment.duration_s + tail + experiment.settle_s + 60


class Sweep:
    def __init__(
        self, experiment: Experiment, path: Path, out: Path, keep: str
    ) -> None:
        self.experiment, self.path, self.out, self.keep = (
            experiment,
            path.resolve(),
            out.resolve(),
            keep,
        )
        self.limit_s = limit_s(experiment)
        self.runs: list[Played] = []

    async def play(self, wanted: list[int], at_once: int) -> None:
        """Every seed once, ``at_once`` at a time; cancelled, it ends the runs that it
        started.
        """
        waiting = iter(wanted)

        async def worker() -> None:
            for seed in waiting:
                self.runs.append(await self.one(seed))

        workers = [
            asyncio.create_task(worker()) for _ in range(min(at_once, len(wanted)))
        ]
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

    def words(self, seed: int, folder: Path) -> list[str]:
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

    async def one(self, seed: int) -> Played:
        folder = self.out / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "verdict.json").unlink(
            missing_ok=True
        )  # an earlier sweep's says nothing of this one
        begin = time.monotonic()
        with (folder / "run.log").open("wb") as log:
            starting = asyncio.ensure_future(
                asyncio.create_subprocess_exec(
                    sys.executable,
                    *self.words(seed, folder),
                    cwd=ROOT,
                    stdin=asyncio.subprocess.DEVNULL,
                    stdout=log,
                    stderr=log,
                    # an interrupt from the terminal comes to the sweep alone
                    start_new_session=True,
                )
            )
            why = ""
            try:
                await asyncio.wait({starting})
                process = starting.result()
                async with asyncio.timeout(self.limit_s):
                    await process.wait()
            except TimeoutError:
                why = f"took more than {self.limit_s:g} s"
            finally:  # also where the interrupt came while the run was being started
                process = await starting
                await end(process, folder)
        played = self.read(
            seed, folder, process.returncode or 0, time.monotonic() - begin, why
        )
        if self.keep == "none" or (self.keep == "failures" and not played.breaches):
            shutil.rmtree(folder, ignore_errors=True)
        return played

    def read(
        self, seed: int, folder: Path, code: int, wall_s: float, why: str
    ) -> Played:
        verdict: dict[str, Any] = {}
        with contextlib.suppress(OSError, ValueError):
            verdict = json.loads((folder / "verdict.json").read_text())
        if why or code not in (0, 1) or not verdict:
            last = (
                (folder / "run.log")
                .read_text(errors="replace")
                .strip()
                .splitlines()[-1:]
            )
            why = why or f"no verdict, exit {code}: {' '.join(last)[:300]}"
            return Played(
                seed, code, wall_s, {}, [why]
            )  # a verdict of half a run is none
        return Played(seed, code, wall_s, verdict, list(verdict["breaches"]))


async def end(process: asyncio.subprocess.Process, folder: Path) -> None:
    """See a run ended, and all that it had started."""
    if process.returncode is None:
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(END_S):
                await process.wait()
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
    await pids.end(folder)


async def _played(work: Sweep, wanted: list[int], at_once: int) -> None:
    interrupt.once()
    await work.play(wanted, at_once)


def sweep(
    experiment: Experiment,
    path: Path,
    wanted: list[int],
    at_once: int,
    out: Path,
    keep: str = "all",
) -> int:
    """Play, write ``summary.json``, print the table; 0, 1 on any breach, 130 where it
    was interrupted.
    """
    out.mkdir(parents=True, exist_ok=True)
    work = Sweep(experiment, path, out, keep)
    interrupted = False
    try:
        asyncio.run(_played(work, wanted, at_once))
    except (asyncio.CancelledError, KeyboardInterrupt):
        interrupted = True
    told = summary(experiment.name, wanted, work.runs)
    (out / "summary.json").write_text(json.dumps(told, indent=1))
    print(table(told))
    if interrupted:
        print("lab: interrupted; every process it started was ended", file=sys.stderr)
        return 130
    return int(told["exit"])
