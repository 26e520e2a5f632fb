"""Records from the processes' own JSON log lines, merged into ``records.jsonl`` after a
run.

A line whose ``event`` is a kind below becomes a record: ``t_ns`` (CLOCK_MONOTONIC, one
clock for the machine) becomes ``at_ns`` from the start of the load, the process's name
``member``. Taken from lines:

- ``sent``: ``message_id`` becomes ``id``, ``target`` (an endpoint) its ``destination``;
- ``acted``: ``lease``, ``token`` ([epoch, number]); ``granted``: ``lease``, ``holder``,
  ``token``;
- ``owns``: ``from``, ``to``, ``generation``, ``begin_ns`` and ``end_ns`` (the machine's
  clock; null or absent
  while it lasts: the later line of one beginning wins, and a process's end ends what it
  owned);
- ``session``: ``key``, ``step``.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path
from typing import Any

EVENT_KINDS = ("sent", "acted", "granted", "owns", "session")


def _sent_fields(
    line: Mapping[str, Any], t0: int, destination: Callable[[str], int]
) -> dict[str, Any]:
    return {
        "destination": destination(str(line["target"])),
        "id": str(line["message_id"]),
    }


def _ownership_fields(line: Mapping[str, Any], t0: int) -> dict[str, Any]:
    end = line.get("end_ns")
    return {
        "from": str(line["from"]),
        "to": str(line["to"]),
        "generation": int(line["generation"]),
        "begin_ns": int(line["begin_ns"]) - t0,
        "end_ns": None if end is None else int(end) - t0,
    }


def to_record(
    line: Mapping[str, Any],
    member: str,
    start_ns: int,
    destination: Callable[[str], int],
) -> dict[str, Any]:
    """The record of one line of a known kind; KeyError, TypeError or ValueError where
    it is malformed.
    """
    kind = line["event"]
    fields: dict[str, Any] = {"kind": kind, "member": str(line.get("process", member))}
    if kind == "sent":
        fields |= _sent_fields(line, start_ns, destination)
    elif kind == "owns":
        fields |= _ownership_fields(line, start_ns)
    elif kind == "session":
        fields |= {"key": str(line["key"]), "step": str(line["step"])}
    else:
        epoch, number = line["token"]
        fields |= {"lease": str(line["lease"]), "token": [int(epoch), int(number)]}
        if kind == "granted":
            fields["holder"] = str(line["holder"])
    return fields | {"at_ns": int(line["t_ns"]) - start_ns}


def merge_logs(
    texts: Iterable[tuple[str, str]], start_ns: int, destination: Callable[[str], int]
) -> tuple[list[dict[str, Any]], int]:
    """Records of (member, log text) pairs in order of time, and how many lines of a
    known kind could not be read: a process killed in the middle of a line leaves one,
    more than that is a fault of the processes.
    """
    records: list[dict[str, Any]] = []
    unread = 0
    for member, text in texts:
        for raw in text.splitlines():
            if not any(f'"{kind}"' in raw for kind in EVENT_KINDS):
                continue
            try:
                line = json.loads(raw)
                if isinstance(line, dict) and line.get("event") in EVENT_KINDS:
                    records.append(to_record(line, member, start_ns, destination))
            except (ValueError, KeyError, TypeError, IndexError):
                unread += 1
    return sorted(records, key=lambda r: r["at_ns"]), unread


def read_logs(folder: Path, starts: Mapping[str, int]) -> Iterable[tuple[str, str]]:
    """The log texts of each process of a run, by its name and how often it was started,
    one at a time.
    """
    for name, count in sorted(starts.items()):
        for n in range(1, count + 1):
            path = folder / "members" / name / f"log-{n}.txt"
            if path.exists():
                yield name, path.read_text(errors="replace")
