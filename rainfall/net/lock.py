"""The lock on the journal: whoever holds it may write."""

from __future__ import annotations

import asyncio
import fcntl
import os
from pathlib import Path

LOCK = "lock"
PAUSE_S = 0.05  # between two tries to become the one that holds the journal


class Lock:
    """Whoever holds it may write the journal. It goes with its process, however that
    ends.
    """

    def __init__(self, folder: Path) -> None:
        self.path, self.fd = folder / LOCK, -1

    def take(self) -> bool:
        if self.fd < 0:
            self.path.parent.mkdir(parents=True, exist_ok=True)
            fd = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            try:
                fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                os.close(fd)
                return False
            self.fd = fd
        return True

    async def wait(self) -> None:
        while not self.take():
            await asyncio.sleep(PAUSE_S / 10)

    def release(self) -> None:
        if self.fd >= 0:
            os.close(self.fd)
            self.fd = -1
