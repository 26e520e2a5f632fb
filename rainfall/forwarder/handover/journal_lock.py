"""The lock on the journal: only the process that holds it may write."""

from __future__ import annotations

import asyncio
import fcntl
import os
from pathlib import Path

LOCK_FILE = "lock"
LOCK_RETRY_S = 0.05
"""Between two attempts to become the process that holds the journal."""
RELEASE_POLL_S = LOCK_RETRY_S / 10
"""Between two attempts while the former holder is just about to release the lock."""


class JournalLock:
    """An exclusive lock that ends with its process, however that ends."""

    def __init__(self, folder: Path) -> None:
        self.path, self.fd = folder / LOCK_FILE, -1

    def try_acquire(self) -> bool:
        """Acquire the lock unless another process holds it; whether it is held here."""
        if self.fd >= 0:
            return True
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
        """Wait until the former holder has released the lock."""
        while not self.try_acquire():
            await asyncio.sleep(RELEASE_POLL_S)

    def release(self) -> None:
        """Let another process acquire the lock."""
        if self.fd >= 0:
            os.close(self.fd)
            self.fd = -1
