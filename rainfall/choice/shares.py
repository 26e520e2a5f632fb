"""The forwarder's share of a destination's whole: a number of calls in every sliding
span, told from outside.

Where one is in force it takes the place of the pace that is guessed from limits and
refusals.
"""

from __future__ import annotations

from collections import deque

from rainfall import interface as i

NEVER = 1 << 62  # us; only another share can open it
# in a span: calls of one grain count from its last one on, so a count is never too low
GRAINS = 1_024


class Share:
    """Times are microseconds of the module's clock. Memory: some GRAINS entries,
    whatever is sent.
    """

    __slots__ = (
        "calls",
        "span_us",
        "until_us",
        "reserve",
        "inside",
        "entries",
        "known_us",
    )

    def __init__(self, span_us: int) -> None:
        self.calls, self.span_us, self.until_us, self.reserve = 0, span_us, 0, 0
        self.inside = 0
        """Calls in the span that ends now."""
        self.entries: deque[tuple[int, int, int]] = deque()
        """(first, last, calls), oldest first."""
        self.known_us = -NEVER
        """Calls up to then were let go: a span that comes to reach back there has to
        pass first.
        """

    def forget(self, now: int) -> None:
        while self.entries and self.entries[0][1] <= now - self.span_us:
            _, last, calls = self.entries.popleft()
            self.inside -= calls
            self.known_us = max(self.known_us, last)

    def spend(self, now: int) -> None:
        """One call goes now."""
        self.inside += 1
        if self.entries and now - self.entries[-1][0] < self.span_us // GRAINS:
            first, _, calls = self.entries.pop()
            self.entries.append((first, now, calls + 1))
        else:
            self.entries.append((now, now, 1))

    def room_at(self, now: int) -> int:
        """When the next call may go, by what is told now; NEVER where nothing is left
        to go by.
        """
        self.forget(now)
        if self.calls > 0 and now < self.until_us:
            at = self.free_at(now, self.calls)
            if at < self.until_us:
                return at
        return (
            self.free_at(max(now, self.until_us), self.reserve)
            if self.reserve > 0
            else NEVER
        )

    def free_at(self, now: int, most: int) -> int:
        """When one more makes at most `most` (above 0) in a span."""
        at, over = max(now, self.known_us + self.span_us), self.inside + 1 - most
        for _, last, calls in self.entries:
            if over <= 0:
                break
            over -= calls
            at = max(at, last + self.span_us)
        return at


def told(shares: dict[int, Share], now: int, event: i.Shares) -> None:
    """Another share, or a span of 0: none any more. What was sent under the one before
    still counts.
    """
    if event.span_us <= 0:
        shares.pop(event.destination, None)
        return
    share = shares.setdefault(event.destination, Share(event.span_us))
    share.forget(now)  # by the span until now
    share.calls, share.span_us = event.calls, event.span_us
    share.until_us, share.reserve = event.until_us, event.reserve
    if event.spent:
        share.inside += sum(calls for _, calls in event.spent)
        share.entries.extend((at, at, calls) for at, calls in event.spent)
        share.entries = deque(sorted(share.entries, key=lambda entry: entry[1]))
