"""What stands before whatever a lease guards: it serves no token below one that it has
seen for the name.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from typing import Any

from rainfall.lease.fencing_token import ZERO_TOKEN, Token
from rainfall.lease.types import LeaseRejectedError


class FencingGuard:
    """Highest token seen for each name, `most` names at most.

    Past that the name seen longest ago is let go and its token becomes the floor: a
    name not known is refused below it, never served on trust.
    """

    def __init__(self, max_names: int = 10_000) -> None:
        self.max_names, self.floor = max(max_names, 1), ZERO_TOKEN
        self._highest_tokens: OrderedDict[str, Token] = OrderedDict()

    def check(self, name: str, token: Token) -> bool:
        """Before the action.

        Refused(409), with the token `seen`, where a higher one was; else True if this
        one is higher than any before: keep a snapshot before acting where the guard is
        to outlive a crash.
        """
        before = self.required_token(name)
        if token < before:
            raise LeaseRejectedError(
                409,
                [f"token: {token.to_wire()} of {name} is below {before.to_wire()}"],
                before,
            )
        grown = self._highest_tokens.get(name) != token
        self._highest_tokens[name] = token
        self._highest_tokens.move_to_end(name)
        self._trim()
        return grown

    def required_token(self, name: str) -> Token:
        """The lowest token that is served for this name."""
        return self._highest_tokens.get(name, self.floor)

    def highest(self) -> Token:
        """Of all names: what to tell the service, so that it grants nothing below."""
        return max(self._highest_tokens.values(), default=self.floor)

    def snapshot(self) -> dict[str, Any]:
        return {
            "floor": self.floor.to_wire(),
            "seen": [[n, t.to_wire()] for n, t in self._highest_tokens.items()],
        }

    @staticmethod
    def from_snapshot(raw: Mapping[str, Any], max_names: int = 10_000) -> FencingGuard:
        """From a snapshot; KeyError, TypeError or ValueError where it is none."""
        guard = FencingGuard(max_names)
        guard.floor = Token.from_wire(raw["floor"])
        for name, token in raw["seen"]:
            guard._highest_tokens[name] = Token.from_wire(token)
        guard._trim()
        return guard

    def _trim(self) -> None:
        while len(self._highest_tokens) > self.max_names:
            _, gone = self._highest_tokens.popitem(last=False)
            self.floor = max(self.floor, gone)
