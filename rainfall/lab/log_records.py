"""Reads records from the processes' JSON logs, after a run.

A line whose ``event`` is one of the following becomes a record: ``t_ns``
(CLOCK_MONOTONIC, the same for all processes) becomes ``at_ns`` from the start of the
load, the process's name ``member``. The other fields:

- ``sent``: ``message_id`` becomes ``id``, ``target`` (an endpoint) its ``destination``;
- ``acted``: ``lease``, ``token`` ([epoch, number]); ``granted``: ``lease``, ``holder``,
  ``token``;
- ``owns``: ``from``, ``to``, ``generation``, ``begin_ns`` and ``end_ns`` (the machine's
  clock; null or absent while the ownership lasts: of several lines with one beginning
  the last counts, and the end of a process ends what it owned);
- ``session``: ``key``, ``step``.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Iterator, Mapping
from pathlib import Path
from typing import Any, NamedTuple

EVENT_KINDS = ("sent", "acted", "granted", "owns", "session")


class MergedLogs(NamedTuple):
    """The records of all logs."""

    records: list[dict[str, Any]]
    """In order of time."""
    unread: int
    """Lines that should have been records and could not be read."""


class ProcessLog(NamedTuple):
    """The text of one log."""

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
    """The record of a log line whose event is one of ``EVENT_KINDS``.

    Raises KeyError, TypeError or ValueError if a field is missing or wrong.
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
    """The records of logs, given as pairs of a process's name and its text.

    A process that was killed in the middle of a line leaves one that cannot be read;
    more than that is a fault of the process.
    """
    records: list[dict[str, Any]] = []
    unread = 0
    for process, text in logs:
        for raw in text.splitlines():
            # Most lines are of other kinds, and need not be decoded.
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
    """The logs of a run, one at a time; ``starts`` counts each process's starts."""
    for process, count in sorted(starts.items()):
        for start in range(1, count + 1):
            path = folder / "members" / process / f"log-{start}.txt"
            if path.exists():
                yield ProcessLog(process, path.read_text(errors="replace"))
