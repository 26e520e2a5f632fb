"""Counts of messages for operators."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass
class Metrics:
    """What became of messages: each is counted once, where it ends.

    A class that was seen once keeps its count.
    """

    fulfilled: Counter[str] = field(default_factory=Counter)
    throttled: Counter[str] = field(default_factory=Counter)
    faulted: Counter[str] = field(default_factory=Counter)
    messages_accepted: int = 0
    """Messages that were accepted: as many as have finished or are open."""
    messages_finished: int = 0
    configs_accepted: int = 0
    configs_rejected: int = 0

    def add_classes(self, classes: Iterable[str]) -> None:
        """Count every class from 0, so that each is reported."""
        for name in classes:
            for counts in (self.fulfilled, self.throttled, self.faulted):
                counts.setdefault(name, 0)

    def record_finished(self, counts: Counter[str], name: str) -> None:
        """Count the end of an accepted message of a class."""
        counts[name] += 1
        self.messages_finished += 1
