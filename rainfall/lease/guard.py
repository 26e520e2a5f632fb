"""What stands before whatever a lease guards: it serves no token below one that it has
seen for the name.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from typing import Any

from rainfall.lease.terms import Refused
from rainfall.lease.token import NEVER, Token


class Guard:
    """Highest token seen for each name, `most` names at most. Past that the name seen
    longest ago is let go and its token becomes the floor: a name not known is refused
    below it, never served on trust.
    """

    def __init__(self, most: int = 10_000) -> None:
        self.most, self.floor = max(most, 1), NEVER
        self._seen: OrderedDict[str, Token] = OrderedDict()

    def check(self, name: str, token: Token) -> bool:
        """Before the action. Refused(409), with the token `seen`, where a higher one
        was; else True if this one is higher than any before: keep a snapshot before
        acting where the guard is to outlive a crash.
        """
        before = self.seen(name)
        if token < before:
            raise Refused(
                409,
                [f"token: {token.told()} of {name} is below {before.told()}"],
                before,
            )
        grown = self._seen.get(name) != token
        self._seen[name] = token
        self._seen.move_to_end(name)
        self._trim()
        return grown

    def seen(self, name: str) -> Token:
        """The lowest token that is served for this name."""
        return self._seen.get(name, self.floor)

    def highest(self) -> Token:
        """Of all names: what to tell the service, so that it grants nothing below."""
        return max(self._seen.values(), default=self.floor)

    def snapshot(self) -> dict[str, Any]:
        return {
            "floor": self.floor.told(),
            "seen": [[n, t.told()] for n, t in self._seen.items()],
        }

    @staticmethod
    def restored(raw: Mapping[str, Any], most: int = 10_000) -> Guard:
        """From a snapshot; KeyError, TypeError or ValueError where it is none."""
        guard = Guard(most)
        guard.floor = Token.of(raw["floor"])
        for name, token in raw["seen"]:
            guard._seen[name] = Token.of(token)
        guard._trim()
        return guard

    def _trim(self) -> None:
        while len(self._seen) > self.most:
            _, gone = self._seen.popitem(last=False)
            self.floor = max(self.floor, gone)
