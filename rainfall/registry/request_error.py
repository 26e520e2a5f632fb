"""The error of a call that is not carried out."""

from __future__ import annotations

from typing import Any

from rainfall.errors import RainfallError


class RequestError(RainfallError):
    """A call that is not carried out.

    `status` is the HTTP status of the answer; `faults` name each fault with its path.
    `closes_connection` says that the rest of the request cannot be skipped, so that no
    further request can be read. `extra_fields` are further fields of the answer.
    """

    def __init__(
        self, status: int, faults: list[str], closes_connection: bool = False
    ) -> None:
        super().__init__("; ".join(faults))
        self.status = status
        self.faults = faults
        self.closes_connection = closes_connection
        self.extra_fields: dict[str, Any] = {}
