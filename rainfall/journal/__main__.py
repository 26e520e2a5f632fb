"""For staff: python -m rainfall.journal check|show DIR. Reads only, also beside a
running forwarder.
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

from rainfall.journal.recovery import JOURNAL, Report, Unusable, look
from rainfall.journal.state import State, Taken

WHOLE, DAMAGED, UNUSABLE = 0, 1, 2
MOST_NAMED = 20
AGAIN_S = 0.2  # a running forwarder may be in the middle of a write


class BadCall(Exception):
    """The text is one line."""


def read(where: Path) -> tuple[State, Report]:
    """Twice, where the first look may have met a write that was not at its end."""
    path = where if where.is_file() else where / JOURNAL
    for last in (False, True):
        try:
            data = path.read_bytes()
        except FileNotFoundError:
            raise BadCall(f"no journal at {where}") from None
        except OSError as error:
            raise BadCall(f"cannot read {path}: {error.strerror}") from None
        state, report = look(data)
        if last or not (report.torn or report.damaged):
            break
        time.sleep(AGAIN_S)
    report.doubted, report.ended = _doubts(state)
    return state, report


def _doubts(state: State) -> tuple[int, int]:
    doubted = [m for m in state.messages.values() if m.doubt]
    ordered = sum(m.order_key is not None for m in doubted)
    return len(doubted) - ordered, ordered


def check(where: Path) -> int:
    state, r = read(where)
    if not r.version:
        print("empty: a forwarder would start with nothing")
        return WHOLE
    print(
        f"version {r.version}, generation {r.generation}, level {'power' if r.power else 'process'}: "
        f"{r.records} records in {r.size} bytes; {len(state.messages)} messages held, "
        f"{len(state.owed)} ends not told"
    )
    if r.torn:
        print(
            f"at byte {r.size - r.torn}: {r.torn} bytes of a write that did not come to its end; nothing "
            "was promised on it"
        )
    if r.head_damaged:
        print(
            "at byte 0: a head is damaged"
            + ("" if r.records else "; nothing can be read")
        )
    for at, size, missing in r.gaps:
        many = f"{missing} records" if missing >= 0 else "records of an unknown number"
        print(f"at byte {at}: {size} bytes cannot be read; {many} lost")
    if r.unknown:
        print(f"{r.unknown} records are of a form that this program does not know")
    if r.lost:
        print(f"lost, though taken on: {len(r.lost)} messages: {_named(r.lost)}")
    if r.doubted or r.ended:
        names = [m.id for m in state.messages.values() if m.doubt]
        print(
            f"in doubt, as an attempt or an end may be lost: {len(names)} messages ({r.ended} ordered, "
            f"which a start ends as failed): {_named(names)}"
        )
    print("damaged" if r.damaged else "whole")
    return DAMAGED if r.damaged else WHOLE


def _named(names: list[str]) -> str:
    return ", ".join(names[:MOST_NAMED]) + (", ..." if len(names) > MOST_NAMED else "")


def show(where: Path, bodies: bool) -> int:
    state, r = read(where)
    if state.rules:
        rules = state.rules[state.current]
        print(
            f"classes {', '.join(c.name for c in rules.classes)}; {rules.attempts} attempts"
        )
    print(
        f"list {state.seq} of {state.source or 'unknown'}: {len(state.hosts)} endpoints; taken out by "
        f"operators: {', '.join(state.detached) or 'none'}"
    )
    for m in state.messages.values():
        print(message(m, bodies))
    for name, end in state.owed.items():
        print(
            f"owed {name}: {end.state}"
            + (f", after {end.after_ms} ms" if end.after_ms else "")
        )
    if r.damaged:
        print("damaged: see check")
    return DAMAGED if r.damaged else WHOLE


def message(m: Taken, bodies: bool) -> str:
    due = datetime.fromtimestamp(m.due_us / 1e6, UTC).isoformat(timespec="milliseconds")
    parts = [
        f"held {m.id}: {m.class_name} to {m.destination}, due {due}, {m.attempts} attempts"
    ]
    if m.out:
        parts.append(
            "out to " + ", ".join(host or "unknown" for _, host in m.out.values())
        )
    if m.ran_at_us >= 0:
        parts.append(f"may have run at {m.ran_on or 'unknown'}")
    if m.order_key is not None:
        parts.append(f"order key {m.order_key}")
    if m.doubt:
        parts.append("in doubt")
    parts.append(f"{len(m.body)} bytes")
    if bodies:
        parts.append(json.dumps(m.body.decode("latin-1")))
    return ", ".join(parts)


def main(words: Sequence[str] | None = None) -> int:
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
    told = parser.parse_args(words)  # ends with 2 by itself
    logging.disable(logging.CRITICAL)  # what it would say is in the report
    try:
        return (
            check(told.where) if told.call == "check" else show(told.where, told.bodies)
        )
    except (BadCall, Unusable) as error:
        print(f"journal: {error}", file=sys.stderr)
        return UNUSABLE


if __name__ == "__main__":
    sys.exit(main())
