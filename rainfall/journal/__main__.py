"""Inspect a journal: `python -m rainfall.journal check|show DIR`.

The command only reads, and may run while a forwarder writes the journal.
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

EXIT_INTACT = 0
EXIT_DAMAGED = 1
EXIT_UNUSABLE = 2
"""The arguments are invalid, or the journal is missing or cannot be opened."""
MAX_LISTED_IDS = 20
"""Maximum number of message ids on one printed line."""
REREAD_DELAY_S = 0.2
"""Delay before the second read: longer than a write that is in progress."""
US_PER_S = 1_000_000


class UsageError(RainfallError):
    """The journal at the given path cannot be read; the text is one line."""


def read(location: Path) -> tuple[JournalState, RecoveryReport]:
    """Read a journal, and read it again if the first read shows damage or a torn write.

    A forwarder may have been writing during the first read.

    Raises:
        UsageError: There is no journal, or it cannot be opened.
        UnusableJournalError: A later version of the program wrote it.
    """
    path = location if location.is_file() else location / JOURNAL_FILE
    state, report = read_journal(_read_file(location, path))
    if report.torn or report.damaged:
        time.sleep(REREAD_DELAY_S)
        state, report = read_journal(_read_file(location, path))
    _count_messages_in_doubt(state, report)
    return state, report


def _read_file(location: Path, path: Path) -> bytes:
    try:
        return path.read_bytes()
    except FileNotFoundError:
        raise UsageError(f"no journal at {location}") from None
    except OSError as error:
        raise UsageError(f"cannot read {path}: {error.strerror}") from None


def _count_messages_in_doubt(state: JournalState, report: RecoveryReport) -> None:
    in_doubt = [message for message in state.messages.values() if message.in_doubt]
    report.ordered_messages_failed = sum(
        message.order_key is not None for message in in_doubt
    )
    report.messages_in_doubt = len(in_doubt) - report.ordered_messages_failed


def check(location: Path) -> int:
    """Print whether a journal is intact and what it lost; return the exit code."""
    state, report = read(location)
    if not report.version:
        print("empty: a forwarder would start with nothing")
        return EXIT_INTACT
    for line in (
        _contents(state, report),
        *_damage(report),
        *_losses(state, report),
        "damaged" if report.damaged else "whole",
    ):
        print(line)
    return EXIT_DAMAGED if report.damaged else EXIT_INTACT


def _contents(state: JournalState, report: RecoveryReport) -> str:
    return (
        f"version {report.version}, generation {report.generation}, "
        f"level {'power' if report.power else 'process'}: "
        f"{report.records} records in {report.size} bytes; "
        f"{len(state.messages)} messages held, "
        f"{len(state.pending_notifications)} ends not told"
    )


def _damage(report: RecoveryReport) -> list[str]:
    lines = []
    if report.torn:
        lines.append(
            f"at byte {report.size - report.torn}: {report.torn} bytes of a write "
            "that was not completed; nothing that depends on it was sent"
        )
    if report.head_damaged:
        consequence = "" if report.records else "; nothing can be read"
        lines.append(f"at byte 0: a file header is damaged{consequence}")
    for gap in report.gaps:
        lost = "records of an unknown number"
        if gap.missing >= 0:
            lost = f"{gap.missing} records"
        lines.append(
            f"at byte {gap.offset}: {gap.size} bytes cannot be read; {lost} lost"
        )
    return lines


def _losses(state: JournalState, report: RecoveryReport) -> list[str]:
    lines = []
    if report.unknown:
        lines.append(
            f"{report.unknown} records have a form that this program does not support"
        )
    if report.lost:
        lines.append(
            f"accepted but lost: {len(report.lost)} messages: {_join_ids(report.lost)}"
        )
    if report.messages_in_doubt or report.ordered_messages_failed:
        names = [message.id for message in state.messages.values() if message.in_doubt]
        lines.append(
            f"in doubt, as an attempt or outcome may be lost: {len(names)} messages "
            f"({report.ordered_messages_failed} ordered, failed at the next start): {_join_ids(names)}"
        )
    return lines


def _join_ids(names: list[str]) -> str:
    more = ", ..." if len(names) > MAX_LISTED_IDS else ""
    return ", ".join(names[:MAX_LISTED_IDS]) + more


def show(location: Path, bodies: bool) -> int:
    """Print a journal's contents; return the exit code."""
    state, report = read(location)
    if state.rules:
        rules = state.rules[state.current_rules_number]
        names = ", ".join(message_class.name for message_class in rules.classes)
        print(f"classes {names}; {rules.attempts} attempts")
    print(
        f"list {state.seq} of {state.source or 'unknown'}: "
        f"{len(state.hosts)} endpoints; taken out by operators: "
        f"{', '.join(state.detached) or 'none'}"
    )
    for message in state.messages.values():
        print(describe_message(message, bodies))
    for message_id, end in state.pending_notifications.items():
        delay = f", after {end.after_ms} ms" if end.after_ms else ""
        print(f"owed {message_id}: {end.state}{delay}")
    if report.damaged:
        print("damaged: run check for details")
    return EXIT_DAMAGED if report.damaged else EXIT_INTACT


def describe_message(message: AcceptedMessage, bodies: bool) -> str:
    """Return one line about a message; the body is included only with `bodies`."""
    deadline = datetime.fromtimestamp(message.deadline_us / US_PER_S, UTC)
    due = deadline.isoformat(timespec="milliseconds")
    parts = [
        f"held {message.id}: {message.class_name} to {message.destination}, "
        f"due {due}, {message.attempts} attempts"
    ]
    if message.in_flight:
        hosts = [host or "unknown" for _, host in message.in_flight.values()]
        parts.append("out to " + ", ".join(hosts))
    if message.executed_at_us >= 0:
        parts.append(f"may have run at {message.executed_on or 'unknown'}")
    if message.order_key is not None:
        parts.append(f"order key {message.order_key}")
    if message.in_doubt:
        parts.append("in doubt")
    parts.append(f"{len(message.body)} bytes")
    if bodies:
        parts.append(json.dumps(message.body.decode("latin-1")))
    return ", ".join(parts)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m rainfall.journal", description=__doc__
    )
    commands = parser.add_subparsers(dest="call", required=True)
    for name, text in (
        (
            "check",
            "check for damage: exit 0 whole, 1 damaged, 2 unusable call or journal",
        ),
        ("show", "print the contents; message bodies only with --bodies"),
    ):
        command = commands.add_parser(name, help=text, description=text)
        command.add_argument(
            "where",
            type=Path,
            metavar="DIR",
            help="a forwarder's folder, or a journal file",
        )
        if name == "show":
            command.add_argument(
                "--bodies", action="store_true", help="print message bodies too"
            )
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command; return its exit code."""
    # argparse itself exits with EXIT_UNUSABLE for invalid arguments.
    options = _parser().parse_args(arguments)
    # The report lists all damage that the reader logs, so the log is redundant here.
    logging.disable(logging.CRITICAL)
    try:
        if options.call == "check":
            return check(options.where)
        return show(options.where, options.bodies)
    except (UsageError, UnusableJournalError) as error:
        print(f"journal: {error}", file=sys.stderr)
        return EXIT_UNUSABLE


if __name__ == "__main__":
    sys.exit(main())
