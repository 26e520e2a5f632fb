"""Measures how long a forwarder takes to recover when it starts on a full state folder.

    python -m measure.recovery_time [REPEATS]

Run from the root of the repository. The program starts on folders with many live messages,
and on folders with few live messages and a long history of finished ones. Prints the time
until the program is ready, the time until it delivers a new message to another destination,
and the recovery time that the journal reports. On a full folder, the new message is
submitted repeatedly until it is accepted.
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from http import HTTPStatus
from pathlib import Path
from typing import NamedTuple

from measure.reporting import cancel_tasks, format_row, repeats_argument
from rainfall.forwarder.message_store import (
    AcceptedMessage,
    DeliveryRules,
    MessageStore,
)
from rainfall.wirehost import parse_settings
from tests.support.loopback_peers import (
    OK,
    SETTINGS,
    Node,
    Peer,
    Platform,
    answer_in_turn,
)

FULL_FOLDER_MESSAGES = 100_000
"""More messages than the folder's limit allows."""
DISK_LIMIT_BYTES = 3_000_000
BODY = b"x" * 200
DESTINATION = 7
OTHER_DESTINATION = 8
DEADLINE_DELAY_US = 50_000_000
OVERDUE_US = 1
FAR_DEADLINE_US = 10**16
US_PER_S = 1e6
MESSAGES_PER_FLUSH = 100
OPEN_MESSAGES = 20_000
"""Limit of unfinished messages in the forwarder."""
UNPACED_SHARE = 1e5
"""A share of the endpoint so large that pacing does not affect the result."""
SEND_ATTEMPTS = 1000
SEND_INTERVAL_S = 0.01
DEFAULT_REPEATS = 5
REPEAT_LIMIT = 20
MS_PER_S = 1000


class FolderContent(NamedTuple):
    """The content of a state folder before the start."""

    live: int
    """Number of unfinished messages, capped by the folder's size limit."""
    history: int
    """Number of finished messages whose records are still in the journal."""
    overdue: bool
    """Whether the deadlines of the live messages have passed."""


class RecoveryTimes(NamedTuple):
    """The times of one start."""

    ready_ms: float
    first_delivery_ms: float
    journal_ms: float
    live: int
    """Number of live messages in the folder."""


CASES = (
    FolderContent(10, 0, False),
    FolderContent(1000, 0, False),
    FolderContent(FULL_FOLDER_MESSAGES, 0, False),
    FolderContent(FULL_FOLDER_MESSAGES, 0, True),
    FolderContent(10, 1000, False),
    FolderContent(10, 20_000, False),
)


def _message(message_id: str, deadline_us: int) -> AcceptedMessage:
    return AcceptedMessage(
        message_id, "status", DESTINATION, deadline_us, None, "acme", BODY
    )


def fill_folder(folder: Path, content: FolderContent) -> int:
    """Fill a state folder, and return its number of live messages."""
    store = MessageStore(folder, DISK_LIMIT_BYTES)
    settings = parse_settings(SETTINGS)
    store.use_rules(DeliveryRules(settings.max_attempts, settings.classes))
    for number in range(content.history):
        store.append_message(_message(f"past{number}", FAR_DEADLINE_US))
        store.append_finished(f"past{number}")
        store.flush()
    live = 0
    while live < content.live and store.has_capacity(len(BODY)):
        deadline_us = OVERDUE_US
        if not content.overdue:
            deadline_us = int(time.time() * US_PER_S) + DEADLINE_DELAY_US
        store.append_message(_message(f"m{live}", deadline_us))
        live += 1
        if live % MESSAGES_PER_FLUSH == 0:
            store.flush()
    store.close()
    return live


async def run_once(content: FolderContent) -> RecoveryTimes:
    """Start the program once on a folder with the given content, and return the times."""
    platform = Platform()
    await platform.start()
    peer = await Peer(answer_in_turn(OK)).start()
    platform.host("s1", peer.port)
    platform.host("s2", peer.port, block=OTHER_DESTINATION)
    platform.hosts["s1"]["share"] = UNPACED_SHARE
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        (folder / "state").mkdir()
        live = fill_folder(folder / "state", content)
        node = Node(folder, platform, max_open=OPEN_MESSAGES)
        began_s = time.perf_counter()
        await node.spawn()
        await node.until_ready()
        ready_s = time.perf_counter() - began_s
        client = await node.client()
        for _ in range(SEND_ATTEMPTS):
            status, _ = await client.hand_in("fresh", dest=OTHER_DESTINATION)
            if status == HTTPStatus.ACCEPTED:
                break
            await asyncio.sleep(SEND_INTERVAL_S)
        await peer.until(
            lambda: any(
                request.headers["x-correlation-id"] == "fresh"
                for request in peer.requests
            )
        )
        first_delivery_s = time.perf_counter() - began_s
        journal_ms = (await node.figures())["journal"]["recovered"]["took_ms"]
        client.writer.close()
        await node.end()
    await cancel_tasks()
    return RecoveryTimes(
        ready_s * MS_PER_S, first_delivery_s * MS_PER_S, journal_ms, live
    )


def main() -> None:
    """Run all cases, and print the results."""
    repeats = repeats_argument(DEFAULT_REPEATS, REPEAT_LIMIT)
    for content in CASES:
        runs = [asyncio.run(run_once(content)) for _ in range(repeats)]
        overdue = ", all overdue" if content.overdue else ""
        title = f"{runs[0].live} live{overdue}, {content.history} finished"
        print(
            format_row(f"{title}: time until ready, ms", [run.ready_ms for run in runs])
        )
        print(
            format_row(
                f"{title}: time until the new message is delivered, ms",
                [run.first_delivery_ms for run in runs],
            )
        )
        print(
            format_row(
                f"{title}: journal recovery, ms", [run.journal_ms for run in runs]
            )
        )


if __name__ == "__main__":
    main()
