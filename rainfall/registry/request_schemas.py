"""Schemas of requests to the list service, as msgspec types, and their parsers."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated, Any, Literal, NamedTuple, TypeVar

import msgspec
from msgspec import Meta, Struct

from rainfall.registry.request_error import RequestError
from rainfall.registry.schema_faults import decode_as, find_faults

MAX_OPERATIONS = 10_000
"""Operations of one change; the limit of body bytes allows only about half as many."""
VERSION_LIMIT = 1 << 53
"""Versions are below this: JSON parsers represent integers up to 2**53 exactly."""
T = TypeVar("T")

ShortText = Annotated[str, Meta(min_length=1, max_length=200)]
ChangeId = Annotated[str, Meta(max_length=200)]
Share = Annotated[float, Meta(ge=0.0, le=1_000.0)]
Version = Annotated[int, Meta(ge=0, lt=VERSION_LIMIT)]


class Register(Struct, tag_field="op", tag="register", rename={"kind": "class"}):
    """Add an endpoint, or set all its fields.

    `dial` is HOST:PORT; `born_ms` is Unix time, 0 for an endpoint that is not new.
    """

    host: ShortText
    dial: Annotated[str, Meta(pattern=r":[0-9]{1,5}\Z", max_length=200)]
    site: ShortText
    kind: ShortText
    block: Annotated[int, Meta(ge=0, lt=1 << 31)]
    share: Share
    born_ms: Version
    health: Literal["up", "draining"] = "up"


class Drain(Struct, tag_field="op", tag="drain"):
    """Drain an endpoint: it finishes its current messages and receives no new ones."""

    host: ShortText


class Remove(Struct, tag_field="op", tag="remove"):
    """Remove an endpoint from the list."""

    host: ShortText


class SetShare(Struct, tag_field="op", tag="share"):
    """Set an endpoint's share of the traffic."""

    host: ShortText
    share: Share


Operation = Register | Drain | Remove | SetShare
OPERATIONS: dict[str, type[Operation]] = {
    "register": Register,
    "drain": Drain,
    "remove": Remove,
    "share": SetShare,
}


class ListQuery(Struct, rename={"since": "from"}):
    """The query of a read of the list.

    `since` and `epoch` are the reader's version and epoch; `hold_ms` is how long to wait
    for a newer version.
    """

    since: Version | None = None
    epoch: Version | None = None
    hold_ms: int = 0


class NoticesQuery(Struct, rename={"since": "from", "limit": "most"}):
    """The query of a read of stored notices: the first number, and how many."""

    since: Version = 0
    limit: Annotated[int, Meta(ge=1)] = 1_000


class RaiseEpochRequest(Struct):
    """The body that raises epoch and fence past a number; 0: past the current ones."""

    above: Version = 0


class Notice(Struct):
    """The required field of a notice; other fields are stored unchanged."""

    id: str


class RequestedChange(NamedTuple):
    """The validated body of a change."""

    operations: list[Operation]
    id: str
    """The client's id of the change; empty if it gave none."""


def parse_query(query: Mapping[str, str], schema: type[T]) -> T:
    """Parse a query string as the type `schema`; empty values count as absent.

    Raises:
        RequestError: 400 with every fault.
    """
    given = {key: value for key, value in query.items() if value}
    return decode_as(given, schema, strict=False)


def parse_change(body: Any) -> RequestedChange:
    """Parse the operations and the id of a change.

    Raises:
        RequestError: 400 with every fault.
    """
    if not isinstance(body, dict):
        raise RequestError(400, ["the change must be a JSON object"])
    change_id = body.get("id", "")
    faults = find_faults(change_id, ChangeId, "id")
    raw_operations = body.get("ops")
    if (
        not isinstance(raw_operations, list)
        or not 0 < len(raw_operations) <= MAX_OPERATIONS
    ):
        raise RequestError(
            400, [*faults, f"ops: a list of 1 to {MAX_OPERATIONS} changes"]
        )
    operations: list[Operation] = []
    for index, raw in enumerate(raw_operations):
        schema = _operation_schema(raw)
        if schema is None:
            faults.append(f"ops[{index}].op: one of {', '.join(OPERATIONS)}")
            continue
        operation_faults = find_faults(raw, schema, f"ops[{index}]")
        if operation_faults:
            faults.extend(operation_faults)
        else:
            operations.append(msgspec.convert(raw, schema))
    if faults:
        raise RequestError(400, faults)
    return RequestedChange(operations, change_id)


def _operation_schema(raw: Any) -> type[Operation] | None:
    name = raw.get("op") if isinstance(raw, dict) else None
    return OPERATIONS.get(name) if isinstance(name, str) else None


def parse_notices(body: bytes) -> list[dict[str, Any]]:
    """Parse the notices of a post, one JSON object on each line; skips empty lines.

    Raises:
        RequestError: 400 with every invalid line.
    """
    notices: list[dict[str, Any]] = []
    faults: list[str] = []
    for number, line in enumerate(body.splitlines(), 1):
        if not line.strip():
            continue
        try:
            notice = msgspec.json.decode(line, type=dict[str, Any])
            notices.append(notice)
            faults.extend(find_faults(notice, Notice, f"line {number}"))
        except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
            faults.append(f"line {number}: {error}")
    if faults:
        raise RequestError(400, faults)
    return notices
