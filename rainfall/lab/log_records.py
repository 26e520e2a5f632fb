"""Converts lines of the processes' JSON logs to records after a run.

A line with one of the events below becomes a record. Its ``t_ns`` (CLOCK_MONOTONIC, the
same for all processes) becomes ``at_ns``, counted from the start of the load, and the
name of the process becomes ``member``. The other fields:

- ``sent``: ``message_id`` becomes ``id``; ``target``, an endpoint, is replaced by its
  ``destination``;
- ``acted``: ``lease``, ``token`` ([epoch, number]); ``granted``: ``lease``, ``holder``,
  ``token``;
- ``owns``: ``from``, ``to``, ``generation``, ``begin_ns`` and ``end_ns`` (also
  CLOCK_MONOTONIC; ``end_ns`` is null or absent while the ownership lasts, and a later
  line with the same ``begin_ns`` may hold the end; ownership also ends with the process);
- ``session``: ``key``, ``step``.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Iterator, Mapping
from pathlib import Path
from typing import Any, NamedTuple

EVENT_KINDS = ("sent", "acted", "granted", "owns", "session")


class MergedLogs(NamedTuple):
    """The records of all logs, and the number of invalid lines."""

    records: list[dict[str, Any]]
    """Ordered by ``at_ns``."""
    unread: int
    """Number of lines that mention an event of ``EVENT_KINDS`` but are invalid."""


class ProcessLog(NamedTuple):
    """The text of one log file, with the name of its process."""

    process: str
    text: str


def _sent_fields(
    line: Mapping[str, Any], destination: Callable[[str], int]
) -> dict[str, Any]:
    return {
        "destination": destination(str(line["target"])),
        "id": str(line["message_id"]),
    }


def _ownership_fields(line: Mapping[str, Any], start_ns: int) -> dict[str, Any]:
    end_ns = line.get("end_ns")
    return {
        "from": str(line["from"]),
        "to": str(line["to"]),
        "generation": int(line["generation"]),
        "begin_ns": int(line["begin_ns"]) - start_ns,
        "end_ns": None if end_ns is None else int(end_ns) - start_ns,
    }


def to_record(
    line: Mapping[str, Any],
    member: str,
    start_ns: int,
    destination: Callable[[str], int],
) -> dict[str, Any]:
    """Convert a log line whose event is one of ``EVENT_KINDS`` to a record.

    ``destination`` maps an endpoint to its destination. Raises KeyError, TypeError or
    ValueError if a field is missing or invalid.
    """
    kind = line["event"]
    fields: dict[str, Any] = {"kind": kind, "member": str(line.get("process", member))}
    if kind == "sent":
        fields |= _sent_fields(line, destination)
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
    logs: Iterable[tuple[str, str]], start_ns: int, destination: Callable[[str], int]
) -> MergedLogs:
    """Convert logs, given as pairs of process name and text, to records.

    A process that is killed while it writes leaves one incomplete line; more invalid
    lines are a bug of the process.
    """
    records: list[dict[str, Any]] = []
    unread = 0
    for process, text in logs:
        for raw in text.splitlines():
            # Most lines have other events: skip them without decoding.
            if not any(f'"{kind}"' in raw for kind in EVENT_KINDS):
                continue
            try:
                line = json.loads(raw)
                if isinstance(line, dict) and line.get("event") in EVENT_KINDS:
                    records.append(to_record(line, process, start_ns, destination))
            except (ValueError, KeyError, TypeError, IndexError):
                unread += 1
    records.sort(key=lambda record: record["at_ns"])
    return MergedLogs(records, unread)


def read_logs(folder: Path, starts: Mapping[str, int]) -> Iterator[ProcessLog]:
    """Yield the logs of a run; ``starts`` has the number of starts by process."""
    for process, count in sorted(starts.items()):
        for start in range(1, count + 1):
            path = folder / "members" / process / f"log-{start}.txt"
            if path.exists():
                yield ProcessLog(process, path.read_text(errors="replace"))
