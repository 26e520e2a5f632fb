"""For staff: python -m rainfall.journal check|show DIR.

Reads only, also beside a running forwarder.
"""

from __future__ import annotations

import argparse
import json
import logging
import sys
import time
from collections.abc import Sequence
from datetime import UTC, datetime
from pathlib import Path

from rainfall.errors import RainfallError
from rainfall.journal.recovery import (
    JOURNAL_FILE,
    RecoveryReport,
    UnusableJournalError,
    read_journal,
)
from rainfall.journal.state import AcceptedMessage, JournalState

EXIT_INTACT, EXIT_DAMAGED, EXIT_UNUSABLE = 0, 1, 2
MAX_NAMED = 20
REREAD_DELAY_S = 0.2  # a running forwarder may be in the middle of a write


class UsageError(RainfallError):
    """The text is one line."""


def read(where: Path) -> tuple[JournalState, RecoveryReport]:
    """Twice, where the first look may have met a write that was not at its end."""
    path = where if where.is_file() else where / JOURNAL_FILE
    for last in (False, True):
        try:
            data = path.read_bytes()
        except FileNotFoundError:
            raise UsageError(f"no journal at {where}") from None
        except OSError as error:
            raise UsageError(f"cannot read {path}: {error.strerror}") from None
        state, report = read_journal(data)
        if last or not (report.torn or report.damaged):
            break
        time.sleep(REREAD_DELAY_S)
    report.doubted, report.ended = _count_doubts(state)
    return state, report


def _count_doubts(state: JournalState) -> tuple[int, int]:
    doubted = [m for m in state.messages.values() if m.in_doubt]
    ordered = sum(m.order_key is not None for m in doubted)
    return len(doubted) - ordered, ordered


def check(where: Path) -> int:
    state, report = read(where)
    if not report.version:
        print("empty: a forwarder would start with nothing")
        return EXIT_INTACT
    print(
        f"version {report.version}, generation {report.generation}, "
        f"level {'power' if report.power else 'process'}: "
        f"{report.records} records in {report.size} bytes; {len(state.messages)} messages held, "
        f"{len(state.pending_notifications)} ends not told"
    )
    if report.torn:
        print(
            f"at byte {report.size - report.torn}: {report.torn} bytes of a write "
            "that did not come to its end; nothing "
            "was promised on it"
        )
    if report.head_damaged:
        print(
            "at byte 0: a head is damaged"
            + ("" if report.records else "; nothing can be read")
        )
    for at, size, missing in report.gaps:
        many = f"{missing} records" if missing >= 0 else "records of an unknown number"
        print(f"at byte {at}: {size} bytes cannot be read; {many} lost")
    if report.unknown:
        print(f"{report.unknown} records are of a form that this program does not know")
    if report.lost:
        print(
            f"lost, though taken on: {len(report.lost)} messages: {_named(report.lost)}"
        )
    if report.doubted or report.ended:
        names = [m.id for m in state.messages.values() if m.in_doubt]
        print(
            f"in doubt, as an attempt or an end may be lost: {len(names)} messages ({report.ended} ordered, "
            f"which a start ends as failed): {_named(names)}"
        )
    print("damaged" if report.damaged else "whole")
    return EXIT_DAMAGED if report.damaged else EXIT_INTACT


def _named(names: list[str]) -> str:
    return ", ".join(names[:MAX_NAMED]) + (", ..." if len(names) > MAX_NAMED else "")


def show(where: Path, bodies: bool) -> int:
    state, report = read(where)
    if state.rules:
        rules = state.rules[state.current_rules_number]
        print(
            f"classes {', '.join(c.name for c in rules.classes)}; {rules.attempts} attempts"
        )
    print(
        f"list {state.seq} of {state.source or 'unknown'}: {len(state.hosts)} endpoints; taken out by "
        f"operators: {', '.join(state.detached) or 'none'}"
    )
    for m in state.messages.values():
        print(describe_message(m, bodies))
    for name, end in state.pending_notifications.items():
        print(
            f"owed {name}: {end.state}"
            + (f", after {end.after_ms} ms" if end.after_ms else "")
        )
    if report.damaged:
        print("damaged: see check")
    return EXIT_DAMAGED if report.damaged else EXIT_INTACT


def describe_message(m: AcceptedMessage, bodies: bool) -> str:
    due = datetime.fromtimestamp(m.deadline_us / 1e6, UTC).isoformat(
        timespec="milliseconds"
    )
    parts = [
        f"held {m.id}: {m.class_name} to {m.destination}, due {due}, {m.attempts} attempts"
    ]
    if m.in_flight:
        parts.append(
            "out to " + ", ".join(host or "unknown" for _, host in m.in_flight.values())
        )
    if m.executed_at_us >= 0:
        parts.append(f"may have run at {m.executed_on or 'unknown'}")
    if m.order_key is not None:
        parts.append(f"order key {m.order_key}")
    if m.in_doubt:
        parts.append("in doubt")
    parts.append(f"{len(m.body)} bytes")
    if bodies:
        parts.append(json.dumps(m.body.decode("latin-1")))
    return ", ".join(parts)


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="python -m rainfall.journal", description=__doc__
    )
    calls = parser.add_subparsers(dest="call", required=True)
    for name, text in (
        ("check", "whether it is whole: exit 0 whole, 1 damaged, 2 unusable call"),
        ("show", "what it holds; message bodies only with --bodies"),
    ):
        one = calls.add_parser(name, help=text, description=text)
        one.add_argument(
            "where",
            type=Path,
            metavar="DIR",
            help="a forwarder's folder, or a journal file",
        )
        if name == "show":
            one.add_argument(
                "--bodies", action="store_true", help="print message bodies too"
            )
    options = parser.parse_args(arguments)  # ends with 2 by itself
    logging.disable(logging.CRITICAL)  # what it would say is in the report
    try:
        return (
            check(options.where)
            if options.call == "check"
            else show(options.where, options.bodies)
        )
    except (UsageError, UnusableJournalError) as error:
        print(f"journal: {error}", file=sys.stderr)
        return EXIT_UNUSABLE


if __name__ == "__main__":
    sys.exit(main())
