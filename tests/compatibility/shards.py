"""Shard map files: the shard tool's output on them, and their digests."""

from __future__ import annotations

import contextlib
import io
import json
from pathlib import Path
from tempfile import TemporaryDirectory

from rainfall.shard.__main__ import main as shard_tool
from rainfall.shard.map_validation import checked_map
from rainfall.shard.shard_map import decode_json, format_key
from tests.compatibility.references import References

TOP = "f" * 16
BAD: dict[str, object] = {
    "generation": 1,
    "strange": 1,
    "ranges": [
        {"from": "0" * 16, "to": "3" + "f" * 15, "owner": "n1"},
        {"from": "3" + "0" * 15, "to": "4" + "f" * 15, "owner": "n9"},
        {"from": TOP, "to": "f" + "0" * 15, "owner": "n2"},
        {"from": "x", "to": TOP, "owner": ""},
        5,
    ],
}
FLIPPED: dict[str, object] = {
    "generation": 1,
    "ranges": [{"from": "0" * 16, "to": TOP, "owner": "n3"}],
}
LOADS = '{"0000000000000000-5555555555555555":12.5}'
CALLS = (
    "plan --members members --out first",
    "check first --members members",
    'plan --members fewer --from first --weights {"n1":2.0} --out second',
    "check second --members fewer --against first",
    f"plan --members members --from first --load {LOADS} --out loaded",
    "check bad --members members --against first",
    "check flipped --against first",
    "plan --members bad --out none",
)


def tool_calls(folder: Path) -> list[object]:
    """Runs the shard tool; returns each call with its exit code, stdout and stderr."""
    (folder / "members").write_text('["n1", "n2", "n3"]')
    (folder / "fewer").write_text('["n1", "n2"]')
    (folder / "bad").write_text(json.dumps(BAD))
    (folder / "flipped").write_text(json.dumps(FLIPPED))
    results: list[object] = []
    for call in CALLS:
        words = [
            str(folder / word)
            if word.islower() and word.isalpha() and position > 0
            else word
            for position, word in enumerate(call.split())
        ]
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = shard_tool(words)
        printed = [text.getvalue().replace(f"{folder}/", "") for text in (out, err)]
        results.append([call, code, *printed])
    return results


def digests(files: dict[str, bytes]) -> list[object]:
    """Returns the name, generation, digest and 16 evenly spaced keys' owners of each map."""
    tables: list[object] = []
    for name, data in files.items():
        shard_map = checked_map(decode_json(data))
        owners = [shard_map.owner(key << 60) for key in range(16)]
        tables.append(
            [name, shard_map.generation, format_key(shard_map.digest()), owners]
        )
    return tables


FILES = ("first", "second", "loaded")


def made() -> References:
    with TemporaryDirectory() as name:
        folder = Path(name)
        calls = tool_calls(folder)
        files = {file: (folder / file).read_bytes() for file in FILES}
    stored: References = {f"shard-map-{file}": data for file, data in files.items()}
    return stored | {"shard-calls": calls, "shard-maps-read": digests(files)}
