"""The lock on the journal: whoever holds it may write."""

from __future__ import annotations

import asyncio
import fcntl
import os
from pathlib import Path

LOCK_FILE = "lock"
LOCK_RETRY_S = 0.05  # between two tries to become the one that holds the journal


class JournalLock:
    """Whoever holds it may write the journal.

    It goes with its process, however that ends.
    """

    def __init__(self, folder: Path) -> None:
        self.path, self.fd = folder / LOCK_FILE, -1

    def try_acquire(self) -> bool:
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

    async def acquire(self) -> None:
        while not self.try_acquire():
            await asyncio.sleep(LOCK_RETRY_S / 10)

    def release(self) -> None:
        if self.fd >= 0:
            os.close(self.fd)
            self.fd = -1
