"""From the bytes in the folder to a state that is safe to go on from, and a report of
what was found.
"""

from __future__ import annotations

import time
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from rainfall.errors import RainfallError
from rainfall.journal.files import FileSystem
from rainfall.journal.format import Frame, NewerVersionError, Scan, scan
from rainfall.journal.records import JournalClock
from rainfall.journal.state import JournalState

JOURNAL_FILE, NEW_JOURNAL_FILE, DAMAGED_JOURNAL_FILE = (
    "journal",
    "journal.new",
    "journal.damaged",
)
BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")
MIN_CLOCK_SHIFT_US = 500_000  # the clock is kept by small steps all the time


class UnusableJournalError(RainfallError):
    """The folder's journal cannot be used by this program; the text is one line."""


@dataclass(slots=True)
class RecoveryReport:
    """What a recovery found and did."""

    version: int = 0
    """0: there was nothing."""
    size: int = 0
    records: int = 0
    gaps: list[tuple[int, int, int]] = field(default_factory=list)
    """Offset, bytes, and how many records are missing (-1: not known)."""
    head_damaged: bool = False
    torn: int = 0
    unknown: int = 0
    doubted: int = 0
    """Messages that got an attempt that may have run."""
    ended: int = 0
    """Ordered messages that were ended as failed."""
    lost: list[str] = field(default_factory=list)
    another_boot: bool = False
    shifted_us: int = 0
    took_ms: float = 0.0
    end: int = 0
    number: int = 0
    generation: int = 0
    salt: int = 0
    power: bool = False
    """Written under that level."""

    @property
    def changed(self) -> bool:
        """Whether what was read stands for something else now than the file says."""
        return bool(self.doubted or self.ended or self.shifted_us)

    @property
    def damaged(self) -> bool:
        return self.head_damaged or bool(self.gaps) or self.unknown > 0

    @property
    def skipped(self) -> int:
        return sum(size for _, size, _ in self.gaps)

    @property
    def missing(self) -> int:
        """Records that are known to be missing; a gap of an unknown number counts as
        one.
        """
        return sum(max(1, n) for _, _, n in self.gaps)

    def metrics(self) -> dict[str, Any]:
        kept = asdict(self)
        for name in ("gaps", "lost", "end", "number", "generation", "salt"):
            del kept[name]
        return {
            **kept,
            "gaps": len(self.gaps),
            "skipped": self.skipped,
            "missing": self.missing,
            "lost": len(self.lost),
            "took_ms": round(self.took_ms, 1),
        }

    def summary(self) -> str:
        if not self.version:
            return f"journal: none; an empty start in {self.took_ms:.0f} ms"
        more = [
            f"{self.records} records of version {self.version} from {self.size} bytes"
        ]
        if self.torn:
            more.append(f"a torn tail of {self.torn} bytes cut")
        if self.head_damaged:
            more.append("its head damaged")
        if self.gaps:
            more.append(
                f"{self.skipped} damaged bytes skipped in {len(self.gaps)} places, "
                f"at least {self.missing} records lost"
            )
        if self.unknown:
            more.append(f"{self.unknown} records of unknown form passed over")
        if self.another_boot:
            more.append("the machine went down since it was written")
        if self.doubted or self.ended:
            more.append(
                f"{self.doubted} messages in doubt, and {self.ended} ordered ones ended for it"
            )
        if self.lost:
            more.append(f"{len(self.lost)} messages lost")
        if self.shifted_us:
            more.append(f"times moved by {self.shifted_us / 1e6:.1f} s with the clock")
        return f"journal: {'; '.join(more)}; in {self.took_ms:.0f} ms"


def this_boot() -> str:
    """What tells this run of the machine from the one before; empty where that is not
    told.
    """
    try:
        return BOOT_ID_FILE.read_text().strip()
    except OSError:
        return ""


def replay(found: Scan, state: JournalState) -> None:
    """Make the state what the records add up to, with what damage leaves in doubt
    marked.
    """
    last = found.header.checkpoint_frames if found.header is not None else 0
    for part in found.parts:
        if isinstance(part, Frame):
            state.apply_record(part.payload)
        elif (
            part.missing < 0
            or part.first_missing < 0
            or part.first_missing + part.missing > last
        ):
            state.mark_in_doubt()
        else:
            state.damaged = (
                True  # within the checkpoint: whole messages are lost, and no attempts
            )


def read_journal(
    data: bytes, into: JournalState | None = None
) -> tuple[JournalState, RecoveryReport]:
    """Read, with no effect and without regard to the clock or the machine."""
    state = into if into is not None else JournalState()
    began = time.monotonic()
    try:
        found = scan(data)
    except NewerVersionError as error:
        raise UnusableJournalError(
            f"the journal is of a newer program: {error}"
        ) from None
    replay(found, state)
    report = RecoveryReport(
        version=found.version if data else 0,
        size=len(data),
        head_damaged=found.header_damaged,
        gaps=[(g.offset, g.size, g.missing) for g in found.gaps],
        torn=found.torn_bytes,
        unknown=state.unknown_records,
        lost=list(state.lost_messages),
        end=found.end,
    )
    for f in found.frames:
        report.records += 1
        report.number = f.number + 1
    if found.header is not None:
        report.generation, report.power = found.header.generation, found.header.power
        report.salt = found.header.salt
    report.took_ms = (time.monotonic() - began) * 1000
    return state, report


def recover(
    files: FileSystem,
    folder: Path,
    state: JournalState,
    base_us: int,
    boot: str,
    mono_us: int,
    predecessor_runs: bool = False,
) -> RecoveryReport:
    """Fill the state with what the folder holds, safe to go on from.

    Writes nothing. One that follows a process which still runs goes by that one's
    clock.
    """
    began = time.monotonic()
    try:
        data = files.read(folder / JOURNAL_FILE)
    except FileNotFoundError:
        data = b""
    _, report = read_journal(data, state)
    if state.clock is not None:
        base, before = state.clock
        report.another_boot = bool(before and boot and before != boot)
        if report.another_boot and not state.closed_cleanly and not report.power:
            # what was not synced may be missing at the end without a trace
            state.mark_in_doubt()
        if predecessor_runs and before == boot:
            base_us = base
        if before == boot:
            clock_shift_us = base_us - base
            if abs(clock_shift_us) < MIN_CLOCK_SHIFT_US:
                # the monotonic clock tells how much time has passed: it is gone by
                # still
                base_us = base
        else:  # time has not run backwards: so much the clock was set back at least
            clock_shift_us = min(0, base_us + mono_us - latest_known_time(state))
        if abs(clock_shift_us) >= MIN_CLOCK_SHIFT_US:
            state.shift_times(clock_shift_us)
            report.shifted_us = clock_shift_us
    state.clock = JournalClock(base_us, boot)
    report.doubted, report.ended = state.resolve_doubts()
    report.lost = list(state.lost_messages)
    report.took_ms = (time.monotonic() - began) * 1000
    return report


def latest_known_time(state: JournalState) -> int:
    """The latest time that the journal shows to have passed; 0 where it shows none."""
    times = [at for m in state.messages.values() for at, _ in m.in_flight.values()]
    times += [m.executed_at_us for m in state.messages.values()]
    times += [at for pair in state.outages.values() for at in pair]
    for m in (
        state.messages.values()
    ):  # it was taken on no sooner than its longest time before its end
        cls = state.class_of(m)
        if cls is not None:
            times.append(m.deadline_us - cls.deadline_us)
    return max(times, default=0)
