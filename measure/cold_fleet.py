"""How near fleets come to what a cold destination bears.

`python -m measure.cold_fleet [seeds] [forwarders...] [scenes...]`

A line for each scene, number of forwarders and N (calls in the settings' time that the
very return allows).
"""

from __future__ import annotations

import statistics
import sys
from concurrent.futures import ProcessPoolExecutor

from tests.support.simulated_fleet import SCENES, Play, Verdict, played

EARLY_CALL_COUNTS = (0.3, 1.0, 4.0, 30.0)


def plays(forwarders: int, n: float, scene: str, seeds: int) -> list[Play]:
    return [SCENES[scene](forwarders, n, seed) for seed in range(1, seeds + 1)]


def format_row(verdicts: list[Verdict]) -> str:
    worst = max(verdicts, key=lambda v: v.part)
    over = sum(v.part > 1 for v in verdicts)
    found = [v.found_us / 1e6 for v in verdicts if v.found_us >= 0]
    first = f"{statistics.median(found):5.1f} s" if found else "  never"
    return (
        f"{worst.count:6.1f} / {worst.limit:6.1f} = {worst.part:4.2f}  over {over:3d} of "
        f"{len(verdicts)}  pushed {sum(v.pushed for v in verdicts):3d}  "
        f"all {max(v.whole for v in verdicts):5.2f}  first {first}  "
        f"delivered {statistics.fmean(v.delivered for v in verdicts):7.1f}"
    )


def main(seeds: int, fleets: list[int], scenes: list[str]) -> None:
    with ProcessPoolExecutor(2) as pool:
        rows = [
            (
                f"{scene:14} {forwarders:3d} forwarders, N {n:4.1f}:",
                [
                    pool.submit(played, play)
                    for play in plays(forwarders, n, scene, seeds)
                ],
            )
            for scene in scenes
            for forwarders in fleets
            for n in EARLY_CALL_COUNTS
        ]
        for name, verdicts in rows:
            print(name, format_row([v.result() for v in verdicts]), flush=True)


if __name__ == "__main__":
    given = [a for a in sys.argv[1:] if a in SCENES]
    numbers = [int(a) for a in sys.argv[1:] if a.isdigit()]
    main(
        numbers[0] if numbers else 10,
        numbers[1:] or [1, 2, 4, 30, 200],
        given or list(SCENES),
    )
