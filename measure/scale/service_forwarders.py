"""Measures real forwarders beside hollow members.

The result shows what a hollow member leaves out of a forwarder's control part. That
part is the difference between forwarders that are members and the same ones that are
not, both at rest and without messages. Processor time and memory are read from the
processes.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from urllib.request import urlopen

from measure.scale import memory
from measure.scale.hollow_fleet import HollowFleet
from measure.scale.results import ROOT, Measurement, Progress, Series
from measure.scale.service_members import SeriesBuilder, measure_idle
from measure.scale.service_process import ListService
from measure.scale.target import Role
from tests.support.loopback_peers import SETTINGS, free_port

FORWARDERS = 20
HOLLOW_MEMBERS = 60
STRETCH_S = 10.0
REPEATS = 3
START_TIMEOUT_S = 30.0


class Forwarder:
    """A process of the real program on a folder of its own.

    With `fleet`, the configuration makes it a member of the list service's fleet.
    """

    def __init__(
        self, folder: Path, number: int, service: ListService, fleet: bool
    ) -> None:
        folder.mkdir()
        self.admin_port = free_port()
        config: dict[str, Any] = {
            "name": f"forwarder-{number}",
            "listen": f"127.0.0.1:{free_port()}",
            "discovery": f"127.0.0.1:{service.listen_port}",
            "admin_addr": f"127.0.0.1:{self.admin_port}",
            "seed": str(number),
            "limits": {"cores": 1, "memory_mb": 192, "sockets": 256, "disk_mb": 3},
            "settings": SETTINGS,
        }
        if fleet:
            config["fleet"] = {
                "service": f"127.0.0.1:{service.fleet_port}",
                "site": "zone-1",
            }
        path = folder / "config.json"
        path.write_text(json.dumps(config))
        environment = {**os.environ, "LB_CONFIG": str(path), "LB_STATE": str(folder)}
        with (folder / "log").open("w") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "rainfall"],
                cwd=ROOT,
                env=environment,
                stderr=log,
            )

    def figures(self) -> dict[str, Any]:
        """Fetch the content of `/_vars`. Raises OSError while the process starts."""
        with urlopen(f"http://127.0.0.1:{self.admin_port}/_vars", timeout=5) as answer:
            return dict(json.load(answer))

    def processor_s(self) -> float:
        """User and system time of the process."""
        return memory.processor_s(self.process.pid)

    def resident_bytes(self) -> int:
        """Resident memory of the process."""
        return memory.resident_bytes(str(self.process.pid))

    def close(self) -> None:
        """Kill the process."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()


def is_ready(forwarder: Forwarder, fleet: bool) -> bool:
    """Return whether a forwarder answers and, with `fleet`, is a live member."""
    try:
        variables = forwarder.figures()
    except OSError:
        return False
    return not fleet or variables["fleet"]["state"] == "alive"


@contextmanager
def running_forwarders(
    folder: Path, service: ListService, fleet: bool
) -> Iterator[list[Forwarder]]:
    """Start real forwarders, yield them once all are ready, and kill them.

    With `fleet`, all are members. Raises RuntimeError after `START_TIMEOUT_S`.
    """
    forwarders: list[Forwarder] = []
    try:
        for number in range(FORWARDERS):
            state_folder = folder / f"forwarder-{fleet}-{number}"
            forwarders.append(Forwarder(state_folder, number, service, fleet))
        until = time.monotonic() + START_TIMEOUT_S
        while not all(is_ready(forwarder, fleet) for forwarder in forwarders):
            if time.monotonic() > until:
                raise RuntimeError("not all forwarders were ready in time")
            time.sleep(0.2)
        time.sleep(2.0)
        yield forwarders
    finally:
        for forwarder in forwarders:
            forwarder.close()


def measure_idle_forwarders(
    forwarders: list[Forwarder], fleet: bool, figures: SeriesBuilder
) -> None:
    """Measure a stretch at rest; figures are the mean of one forwarder."""
    label = "member" if fleet else "alone"
    count = len(forwarders)
    began = time.monotonic()
    spent_before = [forwarder.processor_s() for forwarder in forwarders]
    beats = sum(f.figures()["fleet"]["beats"] for f in forwarders) if fleet else 0
    time.sleep(STRETCH_S)
    spent_after = [forwarder.processor_s() for forwarder in forwarders]
    took_s = time.monotonic() - began
    figures.add(
        f"{label}: part of a core at rest",
        count,
        (sum(spent_after) - sum(spent_before)) / took_s / count,
    )
    figures.add(
        f"{label}: memory", count, sum(f.resident_bytes() for f in forwarders) / count
    )
    if fleet:
        more = sum(f.figures()["fleet"]["beats"] for f in forwarders) - beats
        figures.add(f"{label}: beats a second", count, more / took_s / count)


def unit_of(name: str) -> str:
    """Return the unit, from the figure's name."""
    return (
        "byte" if name.endswith("memory") else "beat/s" if "beats" in name else "core"
    )


def measure_forwarders(progress: Progress) -> Iterator[Series]:
    """Measure forwarders as members and alone, and the hollow members beside them."""
    figures, hollow = SeriesBuilder(), SeriesBuilder()
    with TemporaryDirectory(prefix="real-forwarders-") as name:
        fleet = HollowFleet(Path(name), HOLLOW_MEMBERS)
        try:
            fleet.start(fleet.names)
            fleet.wait_until_settled()
            for member in (True, False):
                with running_forwarders(
                    Path(name), fleet.service, member
                ) as forwarders:
                    for _ in range(REPEATS):
                        measure_idle_forwarders(forwarders, member, figures)
                progress(f"{FORWARDERS} real forwarders, member: {member}")
            fleet.wait_until_settled()
            for _ in range(REPEATS):
                measure_idle(fleet, HOLLOW_MEMBERS, hollow)
        finally:
            fleet.close()
    for title in figures.values:
        points = figures.points(title)
        yield Series(
            f"real forwarder, {title}",
            Role.CONTROL_PART,
            "forwarder",
            unit_of(title),
            points,
        )
    yield Series(
        "hollow member beside real forwarders: part of a core at rest",
        Role.CONTROL_PART,
        "member",
        "core",
        hollow.points("member core"),
    )


MEASUREMENTS = (
    Measurement(
        "fleet-forwarders", "real forwarders beside hollow members", measure_forwarders
    ),
)
