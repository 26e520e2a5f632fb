"""Watchers of the fleet, and which of them a change wakes.

The version is that of the whole fleet. Changes of the member list and of the shard map
concern every member; a change of a quota concerns one. A watcher that gives its name is
woken only by changes that concern it. Every woken member sends a heartbeat at once, so
watchers are woken in batches: of 1,000, the last half a second after the first.
"""

from __future__ import annotations

import asyncio
from collections.abc import Collection

WAKE_BATCH_SIZE = 20
"""Watchers woken at once."""
WAKE_INTERVAL_S = 0.01
"""The pause between two batches."""


class Watchers:
    """The watches held now. Used from the event loop alone."""

    def __init__(self) -> None:
        self.version = 0
        self.stopped = False
        self._last_common_version = 0
        """The version of the last change that concerned all members."""
        self._last_member_versions: dict[str, int] = {}
        """By name, the versions of later changes that concerned this member."""
        self._waiting: dict[asyncio.Future[None], str] = {}
        """The watchers' names; empty for a watcher without one."""
        self._wake_queue: dict[asyncio.Future[None], None] = {}
        """The watchers to be woken, in this order."""
        self._timer: asyncio.TimerHandle | None = None

    def start_at(self, version: int) -> None:
        """Set the first version, before any watcher is added."""
        self.version = version
        self._last_common_version = version

    def is_behind(self, since: int, name: str = "") -> bool:
        """Whether a watcher that has version `since` need not wait.

        A watcher without a name is concerned by every change.
        """
        if not name or since > self.version:
            return since != self.version
        last_member_version = self._last_member_versions.get(name, 0)
        return since < max(self._last_common_version, last_member_version)

    def add(self, name: str = "") -> asyncio.Future[None]:
        """A future that is done at the next change; `remove` it when the wait ends."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[future] = name
        if self.stopped:
            self._wake(future)
        return future

    def remove(self, future: asyncio.Future[None]) -> None:
        """Forget a watcher, whether it was woken or not."""
        self._waiting.pop(future, None)
        self._wake_queue.pop(future, None)

    def notify(self, concerned: Collection[str] | None) -> None:
        """Raise the version, and wake those concerned; None: every watcher."""
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
        # A change of some members: these go before watchers of the whole fleet.
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
        """Wake all watchers; later ones are woken as they are added."""
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
