"""The lock of the journal: only the process that holds it may write the journal."""

from __future__ import annotations

import asyncio
import fcntl
import os
from pathlib import Path

LOCK_FILE = "lock"
"""File name of the lock in the state directory."""
LOCK_RETRY_S = 0.05
"""Interval between two attempts to take over the journal."""
RELEASE_POLL_S = LOCK_RETRY_S / 10
"""Interval between two attempts once the source has granted the journal, as the lock is
then free within moments.
"""


class JournalLock:
    """An exclusive file lock (`flock`), which the system releases when its process ends."""

    def __init__(self, folder: Path) -> None:
        self.path, self.fd = folder / LOCK_FILE, -1

    def try_acquire(self) -> bool:
        """Acquire the lock without waiting.

        Returns:
            Whether this process holds the lock now; False if another one does.
        """
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
        """Acquire the lock, waiting until the previous holder has released it."""
        while not self.try_acquire():
            await asyncio.sleep(RELEASE_POLL_S)

    def release(self) -> None:
        """Release the lock if it is held."""
        if self.fd >= 0:
            os.close(self.fd)
            self.fd = -1
