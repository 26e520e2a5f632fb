"""What callers send, as msgspec types, and the reading that tells every fault of a body
with its path.

msgspec stops at the first fault. So a body is first read loosely (doubled keys and NaN
are marked where they stand), then converted part by part, and each part's fault is kept
with the path to it.
"""

from __future__ import annotations

import json
import types
import typing
from collections import Counter
from typing import Annotated, Any, Literal, TypeVar

import msgspec
from msgspec import Meta, Struct, ValidationError, structs

from rainfall.errors import RainfallError

MAX_OPERATIONS = (
    10_000  # in one change; the body's 1 MiB holds half as many, so that binds first
)
VERSION_LIMIT = 1 << 53  # a version is below: what JSON readers hold exactly
T = TypeVar("T")

ShortText = Annotated[str, Meta(min_length=1, max_length=200)]
Share = Annotated[float, Meta(ge=0.0, le=1_000.0)]
Version = Annotated[int, Meta(ge=0, lt=VERSION_LIMIT)]


class RequestError(RainfallError):
    """A call that is not carried out.

    `status` is the HTTP answer; `faults` name each fault with its path; `closes` where
    what still comes on the connection cannot be read as a next request.
    """

    def __init__(
        self, status: int, faults: list[str], closes_connection: bool = False
    ) -> None:
        super().__init__("; ".join(faults))
        self.status, self.faults, self.closes_connection = (
            status,
            faults,
            closes_connection,
        )
        self.extra_fields: dict[str, Any] = {}  # what else the answer tells, by key


class Register(Struct, tag_field="op", tag="register", rename={"kind": "class"}):
    """`born_ms` is Unix time in ms, 0 for long ago; `dial` is HOST:PORT."""

    host: ShortText
    dial: Annotated[str, Meta(pattern=r":[0-9]{1,5}\Z", max_length=200)]
    site: ShortText
    kind: ShortText
    block: Annotated[int, Meta(ge=0, lt=1 << 31)]
    share: Share
    born_ms: Version
    health: Literal["up", "draining"] = "up"


class Drain(Struct, tag_field="op", tag="drain"):
    host: ShortText


class Remove(Struct, tag_field="op", tag="remove"):
    host: ShortText


class SetShare(Struct, tag_field="op", tag="share"):
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
    """The query of a read: from which version and epoch on, and how long to wait for
    news (ms).
    """

    since: Version | None = None
    epoch: Version | None = None
    hold_ms: int = 0


class NoticesQuery(Struct, rename={"since": "from", "limit": "most"}):
    since: Version = 0
    limit: Annotated[int, Meta(ge=1)] = 1_000


class RaiseEpochRequest(Struct):
    """By hand: go past this epoch and fence (0: past those in force)."""

    above: Version = 0


class Notice(Struct):
    id: str


class _InvalidValue:
    """Stands where a value cannot be taken as it was written."""

    def __init__(self, why: str) -> None:
        self.reason = why


def parse_json(data: bytes) -> Any:
    """The JSON value of a body.

    Raises Refused(400) naming every doubled key and every number that JSON does not
    allow, each with its path.
    """
    invalid_values: list[_InvalidValue] = []

    def mark(why: str) -> _InvalidValue:
        invalid_values.append(_InvalidValue(why))
        return invalid_values[-1]

    def pairs(found: list[tuple[str, Any]]) -> dict[str, Any]:
        told = dict(found)
        if len(told) < len(found):
            times = Counter(name for name, _ in found)
            told.update(
                (name, mark("the key comes twice")) for name in told if times[name] > 1
            )
        return told

    def number(text: str) -> Any:
        value = float(text)
        return (
            mark(f"{text} is past what a number can hold")
            if value in (_INFINITY, -_INFINITY)
            else value
        )

    try:
        value = json.loads(
            data.decode(),
            object_pairs_hook=pairs,
            parse_float=number,
            parse_constant=lambda name: mark(f"{name} is not a number JSON allows"),
        )
        if b"\\ud" in data.lower():
            json.dumps(
                value, ensure_ascii=False, default=str
            ).encode()  # half of a pair cannot be written
        found = list(_invalid_paths(value, "")) if invalid_values else []
    except UnicodeEncodeError:
        raise RequestError(400, ["a text holds half of a surrogate pair"]) from None
    except (ValueError, RecursionError) as error:
        raise RequestError(400, [f"not JSON: {error}"]) from None
    if invalid_values:
        raise RequestError(
            400, found or [mark.reason for mark in invalid_values]
        )  # what a doubled key hid has no path
    return value


_INFINITY = float("inf")


def _invalid_paths(value: Any, where: str) -> typing.Iterator[str]:
    if isinstance(value, _InvalidValue):
        yield f"{where or 'the body'}: {value.reason}"
    elif isinstance(value, dict):
        for key, inner in value.items():
            yield from _invalid_paths(inner, f"{where}.{key}" if where else key)
    elif isinstance(value, list):
        for n, inner in enumerate(value):
            yield from _invalid_paths(inner, f"{where}[{n}]")


def find_faults(raw: Any, schema: Any, where: str, strict: bool = True) -> list[str]:
    """Every fault of `raw` against a msgspec type, each with its path; empty where it
    converts.
    """
    try:
        msgspec.convert(raw, schema, strict=strict)
        return []
    except ValidationError as error:
        first = str(error).partition(" - at `")[0]
    inner = _nested_faults(raw, schema, where, strict)
    return inner or [f"{where or 'the body'}: {first}"]


def _nested_faults(raw: Any, schema: Any, where: str, strict: bool) -> list[str]:
    while typing.get_origin(schema) is Annotated or isinstance(schema, types.UnionType):
        schema = typing.get_args(schema)[
            0
        ]  # `X | None` is the only union among these types
    found: list[str] = []
    if (
        isinstance(schema, type)
        and issubclass(schema, Struct)
        and isinstance(raw, dict)
    ):
        for field in structs.fields(schema):
            at = f"{where}.{field.encode_name}" if where else field.encode_name
            if field.encode_name in raw:
                found.extend(
                    find_faults(raw[field.encode_name], field.type, at, strict)
                )
            elif field.required:
                found.append(f"{at}: is missing")
    elif typing.get_origin(schema) is list and isinstance(raw, list):
        for n, value in enumerate(raw):
            found.extend(
                find_faults(value, typing.get_args(schema)[0], f"{where}[{n}]", strict)
            )
    elif typing.get_origin(schema) is dict and isinstance(raw, dict):
        for key, value in raw.items():
            found.extend(
                find_faults(
                    value,
                    typing.get_args(schema)[1],
                    f"{where}.{key}" if where else key,
                    strict,
                )
            )
    return found


def decode_as(raw: Any, schema: type[T], strict: bool = True) -> T:
    """`raw` as a `kind`, or Refused(400) with every fault."""
    if found := find_faults(raw, schema, "", strict):
        raise RequestError(400, found)
    return msgspec.convert(raw, schema, strict=strict)


def parse_query(given: typing.Mapping[str, str], schema: type[T]) -> T:
    """A query string as a `kind`; an empty value counts as not given."""
    return decode_as(
        {key: value for key, value in given.items() if value}, schema, strict=False
    )


def parse_change(body: Any) -> tuple[list[Operation], str]:
    """The ops and id of a change's body, or Refused(400) listing every fault with its
    path.
    """
    if not isinstance(body, dict):
        raise RequestError(400, ["the change must be a JSON object"])
    change_id = body.get("id", "")
    found = find_faults(change_id, Annotated[str, Meta(max_length=200)], "id")
    raw = body.get("ops")
    if not isinstance(raw, list) or not 0 < len(raw) <= MAX_OPERATIONS:
        raise RequestError(
            400, [*found, f"ops: a list of 1 to {MAX_OPERATIONS} changes"]
        )
    ops: list[Operation] = []
    for n, op in enumerate(raw):
        kind = (
            OPERATIONS.get(op["op"])
            if isinstance(op, dict) and isinstance(op.get("op"), str)
            else None
        )
        if kind is None:
            found.append(f"ops[{n}].op: one of {', '.join(OPERATIONS)}")
        elif wrong := find_faults(op, kind, f"ops[{n}]"):
            found.extend(wrong)
        else:
            ops.append(msgspec.convert(op, kind))
    if found:
        raise RequestError(400, found)
    return ops, change_id


def parse_notices(body: bytes) -> list[dict[str, Any]]:
    """The notices of a post, a JSON object a line; Refused(400) naming each line that
    cannot be read.
    """
    parsed, found = [], []
    for n, line in enumerate(body.splitlines(), 1):
        if line.strip():
            try:
                parsed.append(msgspec.json.decode(line, type=dict[str, Any]))
                found.extend(find_faults(parsed[-1], Notice, f"line {n}"))
            except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
                found.append(f"line {n}: {error}")
    if found:
        raise RequestError(400, found)
    return parsed
