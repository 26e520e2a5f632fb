"""Reads and writes the reference data in the folder `data`: JSON values and bytes."""

from __future__ import annotations

import json
from pathlib import Path

DATA = Path(__file__).resolve().parent / "data"
LINE_LENGTH = 100

Value = bytes | list[object] | dict[str, object]
"""Bytes as stored or sent, or a decoded form as a JSON value."""
References = dict[str, Value]


def escaped(data: bytes) -> str:
    """Returns bytes as escaped ASCII text, broken into lines of LINE_LENGTH characters.

    The line ends are not part of the data: `unescaped` removes them.
    """
    text = data.decode("latin-1").encode("unicode_escape").decode()
    lines = (text[at : at + LINE_LENGTH] for at in range(0, len(text), LINE_LENGTH))
    return "\n".join(lines) + "\n"


def unescaped(text: str) -> bytes:
    return text.replace("\n", "").encode().decode("unicode_escape").encode("latin-1")


def write(name: str, value: Value) -> None:
    if isinstance(value, bytes):
        (DATA / f"{name}.txt").write_text(escaped(value))
    else:
        (DATA / f"{name}.json").write_text(json.dumps(value, indent=1) + "\n")


def kept_bytes(name: str) -> bytes:
    return unescaped((DATA / f"{name}.txt").read_text())


def kept_value(name: str) -> Value:
    """Returns the reference recorded under a name: bytes from a .txt file, else a JSON value."""
    if (DATA / f"{name}.txt").exists():
        return kept_bytes(name)
    value: list[object] | dict[str, object] = json.loads(
        (DATA / f"{name}.json").read_text()
    )
    return value


def as_read(value: object) -> object:
    """Returns a value after a JSON round trip, for comparison with a recorded one."""
    decoded: object = json.loads(json.dumps(value))
    return decoded
