"""Encodes the request body of a batch call, which carries several messages."""

from __future__ import annotations

import base64
import json
from typing import Any

from rainfall.forwarder.http1 import MAX_BODY_BYTES
from rainfall.forwarder.outbound.connection import CallItem

ITEM_OVERHEAD_BYTES = 64
"""Upper bound of an item's JSON in bytes, without its id, key and body."""


def encode_batch(items: list[CallItem]) -> bytes:
    """Return the request body of a batch call, as JSON; message bodies are base64."""
    return json.dumps(
        [_encode_item(item) for item in items], separators=(",", ":")
    ).encode()


def _encode_item(item: CallItem) -> dict[str, Any]:
    encoded = {"id": item.id}
    if item.key is not None:
        encoded["key"] = item.key
    encoded["body"] = base64.b64encode(item.body).decode()
    return encoded


def fits_batch(items: list[CallItem], item: CallItem) -> bool:
    """Whether a call with one more message stays within MAX_BODY_BYTES."""
    encoded_bytes = sum(_encoded_bytes(each) for each in [*items, item])
    return encoded_bytes <= MAX_BODY_BYTES


def _encoded_bytes(item: CallItem) -> int:
    """Return an upper bound of an item's encoded size; base64 turns 3 bytes into 4."""
    body_bytes = 4 * len(item.body) // 3
    return body_bytes + len(item.id) + len(item.key or "") + ITEM_OVERHEAD_BYTES
