"""Fencing check of a resource: tokens below the highest seen for a name are rejected."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from typing import Any

from rainfall.lease.fencing_token import ZERO_TOKEN, Token
from rainfall.lease.types import CONFLICT, LeaseRejectedError

GUARDED_NAMES_LIMIT = 10_000
"""Names for which the highest token is stored separately."""


class FencingGuard:
    """The highest token seen for each name, for `max_names` names at most.

    Beyond `max_names` the least recently seen name is evicted and the floor is raised to
    its token. A name that is not stored is checked against the floor, so an evicted name
    never accepts a token below one it has seen.
    """

    def __init__(self, max_names: int = GUARDED_NAMES_LIMIT) -> None:
        self.max_names = max(max_names, 1)
        self.floor = ZERO_TOKEN
        self._highest_tokens: OrderedDict[str, Token] = OrderedDict()

    def check(self, name: str, token: Token) -> bool:
        """Check a token before the guarded action.

        Returns:
            Whether the token differs from the one stored for the name. If it does, and
            the guard has to survive a crash, persist a snapshot before acting.

        Raises:
            LeaseRejectedError: 409, the token is below the required one, which the
                error carries.
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
        """The lowest token that is accepted for this name."""
        return self._highest_tokens.get(name, self.floor)

    def highest(self) -> Token:
        """The highest token of all names.

        It is sent to the lease service, which then grants no token below it.
        """
        return max(self._highest_tokens.values(), default=self.floor)

    def snapshot(self) -> dict[str, Any]:
        """The guard's state as a JSON object, for `from_snapshot`."""
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
            KeyError, TypeError, ValueError: `raw` is not a guard snapshot.
        """
        guard = FencingGuard(max_names)
        guard.floor = Token.from_wire(raw["floor"])
        for name, token in raw["seen"]:
            guard._highest_tokens[name] = Token.from_wire(token)
        guard._trim()
        return guard

    def _trim(self) -> None:
        while len(self._highest_tokens) > self.max_names:
            _, evicted_token = self._highest_tokens.popitem(last=False)
            self.floor = max(self.floor, evicted_token)
