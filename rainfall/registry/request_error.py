"""The exception of a rejected request."""

from __future__ import annotations

from typing import Any

from rainfall.errors import RainfallError


class RequestError(RainfallError):
    """A request that is rejected, or that failed.

    `status` is the HTTP status of the answer; `faults` has one entry for each fault, with
    its path. `closes_connection` is set if the rest of the request cannot be skipped, so
    that no further request can be read. `extra_fields` are added to the answer.
    """

    def __init__(
        self, status: int, faults: list[str], closes_connection: bool = False
    ) -> None:
        super().__init__("; ".join(faults))
        self.status = status
        self.faults = faults
        self.closes_connection = closes_connection
        self.extra_fields: dict[str, Any] = {}
