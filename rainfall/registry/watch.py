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

SLICE = 20  # watchers told at once ...
SLICE_S = 0.01  # ... and then this pause


class Watchers:
    """Lives on the running loop."""

    def __init__(self) -> None:
        self.version = 0
        self.stopped = False
        self._all = 0  # the version of the last change that concerned all
        self._of: dict[str, int] = {}  # and of those since that concerned one
        self._held: dict[asyncio.Future[None], str] = {}
        self._due: dict[
            asyncio.Future[None], None
        ] = {}  # in the order in which they are woken
        self._timer: asyncio.TimerHandle | None = None

    def began(self, version: int) -> None:
        self.version = self._all = version

    def behind(self, since: int, name: str = "") -> bool:
        """Whether there is news for a watcher from version `since`; one without a name
        is told of all.
        """
        if not name or since > self.version:
            return since != self.version
        return since < max(self._all, self._of.get(name, 0))

    def add(self, name: str = "") -> asyncio.Future[None]:
        """Done when there is news for it; to be given to `drop` when it waits no
        more.
        """
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._held[future] = name
        if self.stopped:
            self._tell(future)
        return future

    def drop(self, future: asyncio.Future[None]) -> None:
        self._held.pop(future, None)
        self._due.pop(future, None)

    def changed(self, concerned: Collection[str] | None) -> None:
        """A new version, for those concerned; None: all."""
        self.version += 1
        if concerned is None:
            self._all = self.version
            self._of.clear()
        else:
            self._of.update(dict.fromkeys(concerned, self.version))
        woken = [
            f
            for f, name in self._held.items()
            if not name or concerned is None or name in concerned
        ]
        # Whom a change is about comes before those who were only to hear that there is
        # one.
        first = {} if concerned is None else {f: None for f in woken if self._held[f]}
        self._due = {**first, **self._due, **dict.fromkeys(woken)}
        if self._timer is None:
            self._slice()

    def stop(self) -> None:
        """Wake all, now and from now on."""
        self.stopped = True
        if self._timer is not None:
            self._timer.cancel()
        for future in list(self._held):
            self._tell(future)

    def _slice(self) -> None:
        self._timer = None
        for future in list(self._due)[:SLICE]:
            self._tell(future)
        if self._due:
            self._timer = asyncio.get_running_loop().call_later(SLICE_S, self._slice)

    def _tell(self, future: asyncio.Future[None]) -> None:
        self.drop(future)
        if not future.done():
            future.set_result(None)
