"""The guard of a resource: it serves no token below the highest seen for the name."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from typing import Any

from rainfall.lease.fencing_token import ZERO_TOKEN, Token
from rainfall.lease.types import CONFLICT, LeaseRejectedError

GUARDED_NAMES_LIMIT = 10_000
"""Names whose highest token is remembered apart."""


class FencingGuard:
    """The highest token seen for each name, for `max_names` names at most.

    Past that the least recently seen name is forgotten and its token raises the floor:
    an unknown name is rejected below the floor, never served on trust.
    """

    def __init__(self, max_names: int = GUARDED_NAMES_LIMIT) -> None:
        self.max_names = max(max_names, 1)
        self.floor = ZERO_TOKEN
        self._highest_tokens: OrderedDict[str, Token] = OrderedDict()

    def check(self, name: str, token: Token) -> bool:
        """Check a token before the guarded action.

        Returns:
            Whether the token is higher than any before. If so, and if the guard has to
            outlive a crash, persist a snapshot before acting.

        Raises:
            LeaseRejectedError: 409, with the higher token that was seen.
        """
        required = self.required_token(name)
        if token < required:
            fault = f"token: {token.to_wire()} of {name} is below {required.to_wire()}"
            raise LeaseRejectedError(CONFLICT, [fault], required)
        is_higher = self._highest_tokens.get(name) != token
        self._highest_tokens[name] = token
        self._highest_tokens.move_to_end(name)
        self._trim()
        return is_higher

    def required_token(self, name: str) -> Token:
        """The lowest token that is served for this name."""
        return self._highest_tokens.get(name, self.floor)

    def highest(self) -> Token:
        """The highest token of all names.

        The lease service is sent it, so that it grants nothing below.
        """
        return max(self._highest_tokens.values(), default=self.floor)

    def snapshot(self) -> dict[str, Any]:
        """All that a restart needs, for JSON."""
        return {
            "floor": self.floor.to_wire(),
            "seen": [
                [name, token.to_wire()] for name, token in self._highest_tokens.items()
            ],
        }

    @staticmethod
    def from_snapshot(
        raw: Mapping[str, Any], max_names: int = GUARDED_NAMES_LIMIT
    ) -> FencingGuard:
        """Restore a guard from its snapshot.

        Raises:
            KeyError, TypeError, ValueError: `raw` is no snapshot of a guard.
        """
        guard = FencingGuard(max_names)
        guard.floor = Token.from_wire(raw["floor"])
        for name, token in raw["seen"]:
            guard._highest_tokens[name] = Token.from_wire(token)
        guard._trim()
        return guard

    def _trim(self) -> None:
        while len(self._highest_tokens) > self.max_names:
            _, forgotten = self._highest_tokens.popitem(last=False)
            self.floor = max(self.floor, forgotten)
