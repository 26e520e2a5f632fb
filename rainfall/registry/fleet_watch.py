"""Keeps the watches of the fleet, and wakes those that a change concerns.

There is one version for the whole fleet. A change of the member list or of the shard map
concerns every member; a change of a share concerns the member that has it. A watcher with
a name is woken only by changes that concern that member. Every woken member sends a
heartbeat immediately, so watchers are woken in batches: out of 1,000 watchers the last is
woken half a second after the first.
"""

from __future__ import annotations

import asyncio
from collections.abc import Collection

WAKE_BATCH_SIZE = 20
"""Watchers woken in one batch."""
WAKE_INTERVAL_S = 0.01
"""The pause between two batches."""


class Watchers:
    """The watches that are currently held. Not thread-safe."""

    def __init__(self) -> None:
        self.version = 0
        self.stopped = False
        self._last_common_version = 0
        """The version of the last change that concerned all members."""
        self._last_member_versions: dict[str, int] = {}
        """The version of the last change after that one that concerned a member, by name."""
        self._waiting: dict[asyncio.Future[None], str] = {}
        """The name of each watcher; empty if it gave none."""
        self._wake_queue: dict[asyncio.Future[None], None] = {}
        """The watchers to wake, in this order."""
        self._timer: asyncio.TimerHandle | None = None

    def start_at(self, version: int) -> None:
        """Set the first version, before any watcher is added."""
        self.version = version
        self._last_common_version = version

    def is_behind(self, since: int, name: str = "") -> bool:
        """Return whether there is a change for a watcher at version `since`.

        Every change concerns a watcher without a name.
        """
        if not name or since > self.version:
            return since != self.version
        last_member_version = self._last_member_versions.get(name, 0)
        return since < max(self._last_common_version, last_member_version)

    def add(self, name: str = "") -> asyncio.Future[None]:
        """Return a future that completes at the next change; `remove` it after the wait."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[future] = name
        if self.stopped:
            self._wake(future)
        return future

    def remove(self, future: asyncio.Future[None]) -> None:
        """Remove a watcher, woken or not."""
        self._waiting.pop(future, None)
        self._wake_queue.pop(future, None)

    def notify(self, concerned: Collection[str] | None) -> None:
        """Raise the version, and wake the concerned members' watchers; None: all watchers."""
        self.version += 1
        if concerned is None:
            self._last_common_version = self.version
            self._last_member_versions.clear()
        else:
            self._last_member_versions.update(dict.fromkeys(concerned, self.version))
        woken = [
            future
            for future, name in self._waiting.items()
            if not name or concerned is None or name in concerned
        ]
        # If a change concerns only some members, their watchers are woken before those
        # that are waiting already and those without a name.
        first: list[asyncio.Future[None]] = []
        if concerned is not None:
            first = [future for future in woken if self._waiting[future]]
        self._wake_queue = {
            **dict.fromkeys(first),
            **self._wake_queue,
            **dict.fromkeys(woken),
        }
        if self._timer is None:
            self._wake_batch()

    def stop(self) -> None:
        """Wake all watchers; any added later are woken immediately."""
        self.stopped = True
        if self._timer is not None:
            self._timer.cancel()
        for future in list(self._waiting):
            self._wake(future)

    def _wake_batch(self) -> None:
        self._timer = None
        for future in list(self._wake_queue)[:WAKE_BATCH_SIZE]:
            self._wake(future)
        if self._wake_queue:
            self._timer = asyncio.get_running_loop().call_later(
                WAKE_INTERVAL_S, self._wake_batch
            )

    def _wake(self, future: asyncio.Future[None]) -> None:
        self.remove(future)
        if not future.done():
            future.set_result(None)
