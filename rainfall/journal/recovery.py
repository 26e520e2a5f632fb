"""Recovery: rebuilds the state that a journal file holds, so that delivery can resume.

The recovery report lists damage, torn writes, messages in doubt and clock shifts.
"""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

from rainfall.errors import RainfallError
from rainfall.journal.files import FileSystem
from rainfall.journal.format import Frame, Gap, NewerVersionError, Scan, scan
from rainfall.journal.records import JournalClock
from rainfall.journal.state import JournalState

JOURNAL_FILE = "journal"
NEW_JOURNAL_FILE = "journal.new"
"""Name of a compacted file until it replaces the journal."""
DAMAGED_JOURNAL_FILE = "journal.damaged"
"""Name of a damaged file that is kept for inspection by operators."""
BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")
MIN_CLOCK_SHIFT_US = 500_000
"""Smaller clock shifts are ignored: time synchronisation causes them constantly."""
US_PER_S = 1_000_000
MS_PER_S = 1_000


class UnusableJournalError(RainfallError):
    """This program cannot use the journal in the folder; the text is one line."""


class ReportedGap(NamedTuple):
    """A range of bytes of the file that could not be decoded."""

    offset: int
    size: int
    missing: int
    """Number of records lost in the range; -1: unknown."""


@dataclass(slots=True)
class RecoveryReport:
    """What a recovery found in the file and which corrections it made."""

    version: int = 0
    """Version of the file; 0: the file is missing or empty."""
    size: int = 0
    """Size of the file in bytes."""
    records: int = 0
    gaps: list[ReportedGap] = field(default_factory=list)
    head_damaged: bool = False
    torn: int = 0
    """Bytes at the end that belong to a write that was never completed."""
    unknown: int = 0
    """Records of a form that this program does not support."""
    messages_in_doubt: int = 0
    """Messages to which an attempt that may have been executed was added."""
    ordered_messages_failed: int = 0
    """Messages with an order key that were ended as failed."""
    lost: list[str] = field(default_factory=list)
    """Ids of accepted messages whose own records cannot be read."""
    another_boot: bool = False
    """Whether the machine has rebooted since the file was written."""
    shifted_us: int = 0
    took_ms: float = 0.0
    end: int = 0
    """Offset of the first byte after the last readable record."""
    number: int = 0
    """Number of the next record."""
    generation: int = 0
    salt: int = 0
    power: bool = False
    """Whether the file was written with durability level `power`."""

    @property
    def changed(self) -> bool:
        """Whether recovery has made the state differ from the file."""
        return bool(
            self.messages_in_doubt or self.ordered_messages_failed or self.shifted_us
        )

    @property
    def damaged(self) -> bool:
        """Whether data that was written completely could not be read."""
        return self.head_damaged or bool(self.gaps) or self.unknown > 0

    @property
    def skipped(self) -> int:
        """Number of bytes that could not be decoded."""
        return sum(gap.size for gap in self.gaps)

    @property
    def missing(self) -> int:
        """Least number of missing records; a gap of unknown content counts as one."""
        return sum(max(1, gap.missing) for gap in self.gaps)

    def metrics(self) -> dict[str, Any]:
        """Return the figures of the recovery that `/_vars` shows."""
        return {
            "version": self.version,
            "size": self.size,
            "records": self.records,
            "head_damaged": self.head_damaged,
            "torn": self.torn,
            "unknown": self.unknown,
            "doubted": self.messages_in_doubt,
            "ended": self.ordered_messages_failed,
            "another_boot": self.another_boot,
            "shifted_us": self.shifted_us,
            "took_ms": round(self.took_ms, 1),
            "power": self.power,
            "gaps": len(self.gaps),
            "skipped": self.skipped,
            "missing": self.missing,
            "lost": len(self.lost),
        }

    def summary(self) -> str:
        """Return a one-line summary for the log."""
        if not self.version:
            return f"journal: none found; started empty in {self.took_ms:.0f} ms"
        parts = [
            f"{self.records} records of version {self.version} from {self.size} bytes",
            *self._damage(),
            *self._corrections(),
        ]
        return f"journal: {'; '.join(parts)}; in {self.took_ms:.0f} ms"

    def _damage(self) -> list[str]:
        parts = []
        if self.torn:
            parts.append(f"torn tail of {self.torn} bytes truncated")
        if self.head_damaged:
            parts.append("file header damaged")
        if self.gaps:
            parts.append(
                f"{self.skipped} damaged bytes skipped in {len(self.gaps)} places, "
                f"at least {self.missing} records lost"
            )
        if self.unknown:
            parts.append(f"{self.unknown} records of unknown form skipped")
        return parts

    def _corrections(self) -> list[str]:
        parts = []
        if self.another_boot:
            parts.append("the machine has rebooted since it was written")
        if self.messages_in_doubt or self.ordered_messages_failed:
            parts.append(
                f"{self.messages_in_doubt} messages in doubt, "
                f"{self.ordered_messages_failed} ordered messages in doubt ended as failed"
            )
        if self.lost:
            parts.append(f"{len(self.lost)} messages lost")
        if self.shifted_us:
            parts.append(
                f"times shifted by {self.shifted_us / US_PER_S:.1f} s with the clock"
            )
        return parts


def this_boot() -> str:
    """Return the id of the machine's current boot; empty if it is unknown."""
    try:
        return BOOT_ID_FILE.read_text().strip()
    except OSError:
        return ""


def replay(found: Scan, state: JournalState) -> None:
    """Apply a file's records to a state, and mark messages in doubt after gaps."""
    header = found.header
    checkpoint_frames = header.checkpoint_frames if header is not None else 0
    for part in found.parts:
        if isinstance(part, Frame):
            state.apply_record(part.payload)
        elif _is_within_checkpoint(part, checkpoint_frames):
            # A checkpoint has no attempt records: the gap loses whole messages and
            # leaves no others in doubt.
            state.damaged = True
        else:
            state.mark_all_in_doubt()


def _is_within_checkpoint(gap: Gap, checkpoint_frames: int) -> bool:
    if gap.missing < 0 or gap.first_missing < 0:
        return False
    return gap.first_missing + gap.missing <= checkpoint_frames


def read_journal(
    data: bytes, target_state: JournalState | None = None
) -> tuple[JournalState, RecoveryReport]:
    """Read the contents of a file, without adjusting to the current clock or boot.

    Raises:
        UnusableJournalError: A later version of the program wrote the journal.
    """
    state = target_state if target_state is not None else JournalState()
    began_s = time.monotonic()
    try:
        found = scan(data)
    except NewerVersionError as error:
        raise UnusableJournalError(
            f"the journal is of a newer program: {error}"
        ) from None
    replay(found, state)
    report = _report(data, found, state)
    report.took_ms = (time.monotonic() - began_s) * MS_PER_S
    return state, report


def _report(data: bytes, found: Scan, state: JournalState) -> RecoveryReport:
    report = RecoveryReport(
        version=found.version if data else 0,
        size=len(data),
        head_damaged=found.header_damaged,
        gaps=[ReportedGap(gap.offset, gap.size, gap.missing) for gap in found.gaps],
        torn=found.torn_bytes,
        unknown=state.unknown_records,
        lost=list(state.lost_messages),
        end=found.end,
    )
    for frame in found.frames:
        report.records += 1
        report.number = frame.number + 1
    if found.header is not None:
        report.generation = found.header.generation
        report.power = found.header.power
        report.salt = found.header.salt
    return report


def recover(
    files: FileSystem,
    folder: Path,
    state: JournalState,
    base_us: int,
    boot_id: str,
    monotonic_us: int,
    predecessor_runs: bool = False,
) -> RecoveryReport:
    """Restore the state from the folder's journal and resolve doubts; write nothing.

    Args:
        files: The file system.
        folder: The folder of the journal.
        state: An empty state.
        base_us: Current offset from the monotonic clock to Unix time.
        boot_id: The id of the machine's current boot.
        monotonic_us: The current monotonic clock.
        predecessor_runs: Whether the process that writes the journal still runs; if so,
            its clock is kept.

    Raises:
        UnusableJournalError: A later version of the program wrote the journal.
    """
    began_s = time.monotonic()
    try:
        data = files.read(folder / JOURNAL_FILE)
    except FileNotFoundError:
        data = b""
    _, report = read_journal(data, state)
    now = JournalClock(base_us, boot_id)
    if state.clock is not None:
        _mark_unsynced_records(report, state, state.clock, now)
        now = _adjust_to_clock(
            report, state, state.clock, now, monotonic_us, predecessor_runs
        )
    state.clock = now
    resolved = state.resolve_doubts()
    report.messages_in_doubt = resolved.with_assumed_attempt
    report.ordered_messages_failed = resolved.ended
    report.lost = list(state.lost_messages)
    report.took_ms = (time.monotonic() - began_s) * MS_PER_S
    return report


def _mark_unsynced_records(
    report: RecoveryReport,
    state: JournalState,
    stored: JournalClock,
    now: JournalClock,
) -> None:
    """Mark messages in doubt after a reboot that may have lost unsynced records."""
    report.another_boot = bool(
        stored.boot_id and now.boot_id and stored.boot_id != now.boot_id
    )
    if report.another_boot and not state.closed_cleanly and not report.power:
        state.mark_all_in_doubt()


def _adjust_to_clock(
    report: RecoveryReport,
    state: JournalState,
    stored: JournalClock,
    now: JournalClock,
    monotonic_us: int,
    predecessor_runs: bool,
) -> JournalClock:
    """Shift the state's times by the change of the clock; return the clock to use."""
    base_us = now.base_us
    same_boot = stored.boot_id == now.boot_id
    if predecessor_runs and same_boot:
        base_us = stored.base_us
    if same_boot:
        shift_us = base_us - stored.base_us
        if abs(shift_us) < MIN_CLOCK_SHIFT_US:
            # The monotonic clock continues within a boot and is more accurate.
            base_us = stored.base_us
    else:
        # A clock behind the latest stored time was set back by at least the difference.
        shift_us = min(0, base_us + monotonic_us - latest_known_time(state))
    if abs(shift_us) >= MIN_CLOCK_SHIFT_US:
        state.shift_times(shift_us)
        report.shifted_us = shift_us
    return JournalClock(base_us, now.boot_id)


def latest_known_time(state: JournalState) -> int:
    """Return the latest time that the state proves to have passed; 0 if it has none."""
    messages = state.messages.values()
    times = [
        started_at
        for accepted in messages
        for started_at, _ in accepted.in_flight.values()
    ]
    times += [message.executed_at_us for message in messages]
    times += [at_us for outage in state.outages.values() for at_us in outage]
    for message in messages:
        # It was accepted at its deadline minus the class's deadline, or later.
        message_class = state.class_of(message)
        if message_class is not None:
            times.append(message.deadline_us - message_class.deadline_us)
    return max(times, default=0)
