"""Counters of messages and reloads for operators."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass
class Metrics:
    """Counters of one engine.

    Each message is counted once, by its class, in `fulfilled`, `throttled` or
    `faulted`. The counters of a class remain when a reload removes the class.
    """

    fulfilled: Counter[str] = field(default_factory=Counter)
    """Messages that were delivered."""
    throttled: Counter[str] = field(default_factory=Counter)
    """Messages that were rejected, on arrival or after their acceptance."""
    faulted: Counter[str] = field(default_factory=Counter)
    """Messages that failed, on arrival or after their acceptance."""
    messages_accepted: int = 0
    """Accepted messages: the finished ones and those that are still open."""
    messages_finished: int = 0
    """Accepted messages that have finished."""
    configs_accepted: int = 0
    """Reloads (SIGHUP) whose configuration was applied."""
    configs_rejected: int = 0
    """Reloads (SIGHUP) that left the old configuration in place."""

    def add_classes(self, classes: Iterable[str]) -> None:
        """Start the counters of classes at 0, so that every class is reported."""
        for name in classes:
            for counts in (self.fulfilled, self.throttled, self.faulted):
                counts.setdefault(name, 0)

    def record_finished(self, counts: Counter[str], class_name: str) -> None:
        """Count the end of an accepted message.

        Args:
            counts: `fulfilled`, `throttled` or `faulted` of this object.
            class_name: The message's class.
        """
        counts[class_name] += 1
        self.messages_finished += 1
