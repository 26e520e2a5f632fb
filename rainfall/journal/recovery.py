"""Recovery of the journal: from its bytes to a state that is safe to go on from.

It also reports what was found: damage, torn writes, doubts and shifts of the clock.
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
"""A compacted file until it replaces the journal."""
DAMAGED_JOURNAL_FILE = "journal.damaged"
"""A damaged file that was kept for staff."""
BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")
MIN_CLOCK_SHIFT_US = 500_000
"""A smaller shift is left alone: time synchronisation makes small ones all the time."""
US_PER_S = 1_000_000
MS_PER_S = 1_000


class UnusableJournalError(RainfallError):
    """The folder's journal cannot be used by this program; the text is one line."""


class ReportedGap(NamedTuple):
    """Bytes of the file that could not be read."""

    offset: int
    size: int
    missing: int
    """How many records they held; -1: not known."""


@dataclass(slots=True)
class RecoveryReport:
    """What a recovery found and did."""

    version: int = 0
    """Version of the file; 0: there was none."""
    size: int = 0
    """Bytes of the file."""
    records: int = 0
    gaps: list[ReportedGap] = field(default_factory=list)
    head_damaged: bool = False
    torn: int = 0
    """Bytes of a write at the end that was never finished."""
    unknown: int = 0
    """Records of a form that this program does not know."""
    doubted: int = 0
    """Messages that got an attempt that may have been executed."""
    ended: int = 0
    """Ordered messages that were ended as failed."""
    lost: list[str] = field(default_factory=list)
    """Messages that were accepted and whose records cannot be read."""
    another_boot: bool = False
    """Whether the machine went down since the file was written."""
    shifted_us: int = 0
    took_ms: float = 0.0
    end: int = 0
    """Offset behind the last readable record."""
    number: int = 0
    """The next record's number."""
    generation: int = 0
    salt: int = 0
    power: bool = False
    """Whether it was written under the level `power`."""

    @property
    def changed(self) -> bool:
        """Whether the state differs by now from what the file says."""
        return bool(self.doubted or self.ended or self.shifted_us)

    @property
    def damaged(self) -> bool:
        """Whether something could not be read that had been written in full."""
        return self.head_damaged or bool(self.gaps) or self.unknown > 0

    @property
    def skipped(self) -> int:
        """Bytes that could not be read."""
        return sum(gap.size for gap in self.gaps)

    @property
    def missing(self) -> int:
        """Records known to be missing; a gap of an unknown number counts as one."""
        return sum(max(1, gap.missing) for gap in self.gaps)

    def metrics(self) -> dict[str, Any]:
        """Return what `/_vars` shows of the recovery."""
        return {
            "version": self.version,
            "size": self.size,
            "records": self.records,
            "head_damaged": self.head_damaged,
            "torn": self.torn,
            "unknown": self.unknown,
            "doubted": self.doubted,
            "ended": self.ended,
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
        """Return one line of text for the log."""
        if not self.version:
            return f"journal: none; an empty start in {self.took_ms:.0f} ms"
        parts = [
            f"{self.records} records of version {self.version} from {self.size} bytes",
            *self._damage(),
            *self._corrections(),
        ]
        return f"journal: {'; '.join(parts)}; in {self.took_ms:.0f} ms"

    def _damage(self) -> list[str]:
        parts = []
        if self.torn:
            parts.append(f"a torn tail of {self.torn} bytes cut")
        if self.head_damaged:
            parts.append("its head damaged")
        if self.gaps:
            parts.append(
                f"{self.skipped} damaged bytes skipped in {len(self.gaps)} places, "
                f"at least {self.missing} records lost"
            )
        if self.unknown:
            parts.append(f"{self.unknown} records of unknown form passed over")
        return parts

    def _corrections(self) -> list[str]:
        parts = []
        if self.another_boot:
            parts.append("the machine went down since it was written")
        if self.doubted or self.ended:
            parts.append(
                f"{self.doubted} messages in doubt, "
                f"and {self.ended} ordered ones ended for it"
            )
        if self.lost:
            parts.append(f"{len(self.lost)} messages lost")
        if self.shifted_us:
            parts.append(
                f"times moved by {self.shifted_us / US_PER_S:.1f} s with the clock"
            )
        return parts


def this_boot() -> str:
    """Return the id of the machine's present run; empty where it is not known."""
    try:
        return BOOT_ID_FILE.read_text().strip()
    except OSError:
        return ""


def replay(found: Scan, state: JournalState) -> None:
    """Apply a file's records to a state, and mark what damage leaves in doubt."""
    header = found.header
    checkpoint_frames = header.checkpoint_frames if header is not None else 0
    for part in found.parts:
        if isinstance(part, Frame):
            state.apply_record(part.payload)
        elif _is_within_checkpoint(part, checkpoint_frames):
            # A checkpoint has no records of attempts: messages are lost as a whole.
            state.damaged = True
        else:
            state.mark_in_doubt()


def _is_within_checkpoint(gap: Gap, checkpoint_frames: int) -> bool:
    if gap.missing < 0 or gap.first_missing < 0:
        return False
    return gap.first_missing + gap.missing <= checkpoint_frames


def read_journal(
    data: bytes, into: JournalState | None = None
) -> tuple[JournalState, RecoveryReport]:
    """Read a file's contents, whatever the clock and the machine are now.

    Raises:
        UnusableJournalError: A later version of the program wrote it.
    """
    state = into if into is not None else JournalState()
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
    boot: str,
    mono_us: int,
    predecessor_runs: bool = False,
) -> RecoveryReport:
    """Fill the state with what the folder holds, safe to go on from; write nothing.

    Args:
        files: The file system.
        folder: The folder of the journal.
        state: An empty state.
        base_us: What the monotonic clock lacks to Unix time now.
        boot: The id of the machine's present run.
        mono_us: The monotonic clock now.
        predecessor_runs: Whether the process that writes the journal still runs; then
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
    now = JournalClock(base_us, boot)
    if state.clock is not None:
        _mark_unsynced_end(report, state, state.clock, now)
        now = _follow_clock(report, state, state.clock, now, mono_us, predecessor_runs)
    state.clock = now
    resolved = state.resolve_doubts()
    report.doubted = resolved.with_assumed_attempt
    report.ended = resolved.ended
    report.lost = list(state.lost_messages)
    report.took_ms = (time.monotonic() - began_s) * MS_PER_S
    return report


def _mark_unsynced_end(
    report: RecoveryReport,
    state: JournalState,
    stored: JournalClock,
    now: JournalClock,
) -> None:
    """After a power loss, records that were not synced may be missing at the end."""
    report.another_boot = bool(
        stored.boot_id and now.boot_id and stored.boot_id != now.boot_id
    )
    if report.another_boot and not state.closed_cleanly and not report.power:
        state.mark_in_doubt()


def _follow_clock(
    report: RecoveryReport,
    state: JournalState,
    stored: JournalClock,
    now: JournalClock,
    mono_us: int,
    predecessor_runs: bool,
) -> JournalClock:
    """Move the state's times with the clock; returns the clock to go by from now on."""
    base_us = now.base_us
    same_boot = stored.boot_id == now.boot_id
    if predecessor_runs and same_boot:
        base_us = stored.base_us
    if same_boot:
        shift_us = base_us - stored.base_us
        if abs(shift_us) < MIN_CLOCK_SHIFT_US:
            # The monotonic clock goes on within a boot, and it is the more accurate.
            base_us = stored.base_us
    else:
        # Time does not run backwards: the clock was set back by this much at least.
        shift_us = min(0, base_us + mono_us - latest_known_time(state))
    if abs(shift_us) >= MIN_CLOCK_SHIFT_US:
        state.shift_times(shift_us)
        report.shifted_us = shift_us
    return JournalClock(base_us, now.boot_id)


def latest_known_time(state: JournalState) -> int:
    """Return the latest time that the state shows to have passed; 0 if it shows none."""
    messages = state.messages.values()
    times = [started_at for m in messages for started_at, _ in m.in_flight.values()]
    times += [message.executed_at_us for message in messages]
    times += [at_us for outage in state.outages.values() for at_us in outage]
    for message in messages:
        # It was accepted no earlier than its class's deadline before its own.
        message_class = state.class_of(message)
        if message_class is not None:
            times.append(message.deadline_us - message_class.deadline_us)
    return max(times, default=0)
