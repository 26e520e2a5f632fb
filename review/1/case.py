"""A forwarder is held up between reading its clock and writing, near a window's end."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    Call,
    CannotRunError,
    ClientConnection,
    Endpoint,
    Forwarder,
    Platform,
    Record,
    accepted,
    now,
    play,
    response,
    service,
    settings,
)

WINDOW_S = 1.5
"""turku-ferry-freight: receivers of a berth-change drop a repeat for 1.5 s."""
SLACK_S = 0.05
"""PROTOCOL: on sockets every time limit is 50 ms longer."""
HOLD_S = 0.14
LONGEST_HOLD_S = 0.15
"""FLEET: a forwarder may be held up for up to 0.15 s. A longer one does not count."""
WAIT_END_S = 0.072
"""The destinations tell a wait that ends so long before the window does."""
DESTINATIONS = 20
LENGTH_S = 100.0
SERVICES = [
    service("arrival-estimate", "repeatable", 12, 3),
    service(
        "berth-change",
        "by_key",
        10,
        1.5,
        window_us=1_500_000,
        key_scope="all",
        by_arrival=True,
    ),
]


class Receivers:
    """The destinations: they remember the keys of what they have run."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.first: dict[str, float] = {}
        """When the first call of each booking arrived, which was run."""
        self.seen: dict[str, int] = {}
        self.again_at = 0.0
        """When the round's destinations take calls again."""
        self.hold_up: HoldUp | None = None
        """Begins when the first call of the round arrives after the told wait."""
        self.late: list[str] = []
        """Bookings of the present round that were sent again after the window."""

    async def answer(self, call: Call) -> bytes:
        """Run a booking and fail; tell a wait to its second call; take the third."""
        name = call.ids[0]
        if not name.startswith("booking"):
            return accepted(call)
        self.seen[name] = self.seen.get(name, 0) + 1
        if self.seen[name] == 1:
            if not self.again_at:
                self.again_at = call.arrived + WINDOW_S - WAIT_END_S + 0.003
            self.first[name] = call.arrived
            return response(500)
        if now() >= self.again_at and self.hold_up is not None:
            self.hold_up.start()
        after_s = call.arrived - self.first[name]
        if after_s > WINDOW_S + SLACK_S:
            self.late.append(
                f"{name} was sent again {after_s:.4f} s after its first call, which had "
                f"run; allowed are {WINDOW_S + SLACK_S} s"
            )
        wait_ms = int(1000 * (self.again_at - now()))
        if self.seen[name] == 2 and wait_ms > 0:
            return response(429, X_RateLimit_Wait_Ms=str(wait_ms))
        return accepted(call)


def waited_s(pid: int) -> float:
    """Return for how long a process has waited for a processor so far."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9


class HoldUp:
    """Stops a process once, and continues it HOLD_S later."""

    def __init__(self, pid: int) -> None:
        self.pid = pid
        self.over = asyncio.Event()
        self.longest_s = 0.0
        """The longest that the process can have been held up, by this and by others."""
        self.started = False

    def start(self) -> None:
        """Stop the process; later calls do nothing."""
        if self.started:
            return
        self.started = True
        self.waited_s, self.began = waited_s(self.pid), now()
        os.kill(self.pid, signal.SIGSTOP)
        asyncio.get_running_loop().call_later(HOLD_S, self.end)

    def end(self) -> None:
        """Continue the process."""
        os.kill(self.pid, signal.SIGCONT)
        held_s = now() - self.began
        asyncio.get_running_loop().call_later(0.02, self.measure, held_s)

    def measure(self, held_s: float) -> None:
        """Add the time for which the process waited for a processor meanwhile."""
        self.longest_s = held_s + waited_s(self.pid) - self.waited_s
        self.over.set()


async def case(record: Record, trouble: bool) -> list[str]:
    """Play the case, and return what broke the rule."""
    platform = Platform(record)
    await platform.start()
    receivers = Receivers(record)
    for block in range(1, DESTINATIONS + 1):
        await Endpoint(record, platform, f"s-{block}", block, receivers.answer).start()
    forwarder = Forwarder(
        record,
        platform,
        settings(services=SERVICES, balancers=1, family_info={"slots": DESTINATIONS}),
    )
    try:
        process = forwarder.spawn()
        if not await forwarder.ready():
            raise CannotRunError("the forwarder does not start")
        clients = [
            ClientConnection(record, forwarder.port) for _ in range(DESTINATIONS)
        ]
        number = 0
        broken: list[str] = []
        while now() < LENGTH_S and not broken:
            number += 1
            broken = await play_round(
                record, receivers, clients, process.pid, number, trouble
            )
    finally:
        forwarder.end()
    record.note(f"{number} rounds")
    return broken


async def play_round(
    record: Record,
    receivers: Receivers,
    clients: list[ClientConnection],
    pid: int,
    number: int,
    trouble: bool,
) -> list[str]:
    """Send a booking to each destination, and hold the forwarder up at its retry.

    Returns:
        The bookings that were sent again too late, if the hold-up was a fair one.
    """
    for part in range(3):  # Usual traffic: the destinations are healthy.
        await asyncio.gather(
            *(
                client.submit(
                    f"status-{number}-{part}-{block}", "arrival-estimate", block, 12
                )
                for block, client in enumerate(clients, 1)
            )
        )
        await asyncio.sleep(0.1)
    receivers.again_at = 0.0
    await asyncio.gather(
        *(
            client.submit(
                f"booking-{number}-{block}",
                "berth-change",
                block,
                10,
                idem=f"key-{number}-{block}",
                key=f"berth-{number}-{block}",
            )
            for block, client in enumerate(clients, 1)
        )
    )
    await asyncio.sleep(0.3)
    if not receivers.again_at:
        raise CannotRunError("no booking was sent")
    receivers.late.clear()
    receivers.hold_up = HoldUp(pid) if trouble else None
    await asyncio.sleep(max(0, receivers.again_at + 0.4 - now()))
    hold_up, receivers.hold_up = receivers.hold_up, None
    if hold_up is not None and hold_up.started:
        await hold_up.over.wait()
        record.note(
            f"held up at {hold_up.began:.4f}, for {hold_up.longest_s:.4f} s at the "
            f"longest; {len(receivers.late)} sent again too late"
        )
        if hold_up.longest_s > LONGEST_HOLD_S:
            return []
    return list(receivers.late)


if __name__ == "__main__":
    sys.exit(play(sys.argv[1], case))
