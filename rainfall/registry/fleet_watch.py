"""Who waits for news of the fleet, and whom a change wakes: those it concerns, a few at
a time.

A version is of the whole fleet. Members themselves and the map concern all; a share
concerns one. A watcher that names itself sleeps through what does not concern it. All
that are woken beat at once, so they are woken in slices: with 1,000 watchers the last
hears half a second after the first.
"""

from __future__ import annotations

import asyncio
from collections.abc import Collection

WAKE_BATCH_SIZE = 20  # watchers told at once ...
WAKE_INTERVAL_S = 0.01  # ... and then this pause


class Watchers:
    """Lives on the running loop."""

    def __init__(self) -> None:
        self.version = 0
        self.stopped = False
        self._last_common_version = (
            0  # the version of the last change that concerned all
        )
        self._last_member_versions: dict[
            str, int
        ] = {}  # and of those since that concerned one
        self._waiting: dict[asyncio.Future[None], str] = {}
        self._wake_queue: dict[
            asyncio.Future[None], None
        ] = {}  # in the order in which they are woken
        self._timer: asyncio.TimerHandle | None = None

    def start_at(self, version: int) -> None:
        self.version = self._last_common_version = version

    def is_behind(self, since: int, name: str = "") -> bool:
        """Whether there is news for a watcher from version `since`; one without a name
        is told of all.
        """
        if not name or since > self.version:
            return since != self.version
        return since < max(
            self._last_common_version, self._last_member_versions.get(name, 0)
        )

    def add(self, name: str = "") -> asyncio.Future[None]:
        """Done when there is news for it; to be given to `drop` when it waits no more."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[future] = name
        if self.stopped:
            self._wake(future)
        return future

    def remove(self, future: asyncio.Future[None]) -> None:
        self._waiting.pop(future, None)
        self._wake_queue.pop(future, None)

    def notify(self, concerned: Collection[str] | None) -> None:
        """A new version, for those concerned; None: all."""
        self.version += 1
        if concerned is None:
            self._last_common_version = self.version
            self._last_member_versions.clear()
        else:
            self._last_member_versions.update(dict.fromkeys(concerned, self.version))
        woken = [
            f
            for f, name in self._waiting.items()
            if not name or concerned is None or name in concerned
        ]
        # Whom a change is about comes before those who were only to hear that there is
        # one.
        first = (
            {} if concerned is None else {f: None for f in woken if self._waiting[f]}
        )
        self._wake_queue = {**first, **self._wake_queue, **dict.fromkeys(woken)}
        if self._timer is None:
            self._wake_batch()

    def stop(self) -> None:
        """Wake all, now and from now on."""
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
