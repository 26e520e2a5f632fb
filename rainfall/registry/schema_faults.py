"""Converts JSON values to msgspec types, and reports every fault with its path.

msgspec stops at the first fault. For a value that does not convert, this module converts
its parts separately and collects the faults of each.
"""

from __future__ import annotations

import types
import typing
from collections.abc import Iterator
from typing import Annotated, Any, NamedTuple, TypeVar

import msgspec
from msgspec import Struct, ValidationError, structs

from rainfall.registry.request_error import RequestError

T = TypeVar("T")


class _Part(NamedTuple):
    """A nested value, its expected type, and its path."""

    value: Any
    schema: Any
    path: str


def decode_as(raw: Any, schema: type[T], strict: bool = True) -> T:
    """Convert `raw` to the type `schema`.

    Raises:
        RequestError: 400 with every fault.
    """
    faults = find_faults(raw, schema, "", strict)
    if faults:
        raise RequestError(400, faults)
    return msgspec.convert(raw, schema, strict=strict)


def find_faults(raw: Any, schema: Any, path: str, strict: bool = True) -> list[str]:
    """Return every fault of `raw` against a msgspec type, each with its path."""
    try:
        msgspec.convert(raw, schema, strict=strict)
        return []
    except ValidationError as error:
        first_fault = str(error).partition(" - at `")[0]
    nested_faults = _nested_faults(raw, schema, path, strict)
    return nested_faults or [f"{path or 'the body'}: {first_fault}"]


def _nested_faults(raw: Any, schema: Any, path: str, strict: bool) -> list[str]:
    """Return the faults of the parts of `raw`."""
    schema = _plain_type(schema)
    if isinstance(schema, type) and issubclass(schema, Struct):
        return _struct_faults(raw, schema, path, strict)
    faults: list[str] = []
    for part in _collection_parts(raw, schema, path):
        faults.extend(find_faults(part.value, part.schema, part.path, strict))
    return faults


def _plain_type(schema: Any) -> Any:
    """Return the type without its constraints and without None.

    `X | None` is the only union among the request types.
    """
    while typing.get_origin(schema) is Annotated or isinstance(schema, types.UnionType):
        schema = typing.get_args(schema)[0]
    return schema


def _struct_faults(
    raw: Any, schema: type[Struct], path: str, strict: bool
) -> list[str]:
    if not isinstance(raw, dict):
        return []
    faults: list[str] = []
    for field in structs.fields(schema):
        name = field.encode_name
        field_path = f"{path}.{name}" if path else name
        if name in raw:
            faults.extend(find_faults(raw[name], field.type, field_path, strict))
        elif field.required:
            faults.append(f"{field_path}: is missing")
    return faults


def _collection_parts(raw: Any, schema: Any, path: str) -> Iterator[_Part]:
    """Yield the values of a list or of a dict, with their types and paths."""
    origin = typing.get_origin(schema)
    if origin is list and isinstance(raw, list):
        (item_schema,) = typing.get_args(schema)
        for index, value in enumerate(raw):
            yield _Part(value, item_schema, f"{path}[{index}]")
    elif origin is dict and isinstance(raw, dict):
        _, value_schema = typing.get_args(schema)
        for key, value in raw.items():
            yield _Part(value, value_schema, f"{path}.{key}" if path else key)
