"""What was taken on, and how far it got, outlasts the process: the engine's hand on the
journal in $LB_STATE.

What the records mean, `journal.state` says; how they reach the disk, `journal.writer`.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from rainfall.journal.files import Files, SystemFiles
from rainfall.journal.format import VERSION
from rainfall.journal.recovery import recover, this_boot
from rainfall.journal.state import (
    PER_MESSAGE,
    Owed,
    Rules,
    State,
    Taken,
    kept,
    kept_list,
    record,
)
from rainfall.journal.writer import ROOM, Log, Worker

__all__ = ["Owed", "Rules", "Store", "Taken", "Worker"]
BLOCK = 512
FEW = 4  # of a list, less than this part of it: the changes are written, else the whole
OUTAGE_KEPT_US = 3_600_000_000
log = logging.getLogger("rainfall.store")


def wall_base_us() -> int:
    """What the monotonic clock lacks to Unix time."""
    return (time.time_ns() - time.monotonic_ns()) // 1000


class Store(State):
    """Records are gathered; `flush` writes them, and `commit` tells when they are kept,
    before anything that they precede leaves. With a `worker` that is once they are
    synced (the level `power`).
    """

    def __init__(
        self,
        folder: Path,
        most_bytes: int,
        write: bool = True,
        *,
        base_us: int | None = None,
        worker: Worker | None = None,
        files: Files | None = None,
    ) -> None:
        super().__init__()
        self.files = files or SystemFiles()
        base = wall_base_us() if base_us is None else base_us
        if files is None:
            folder.mkdir(parents=True, exist_ok=True)
        self.log = Log(
            folder,
            self.files,
            self.bound(most_bytes),
            worker,
            self.checkpoint,
            self.least_size,
        )
        self.report = recover(
            self.files,
            folder,
            self,
            base,
            this_boot(),
            time.monotonic_ns() // 1000,
            follow=not write,
        )
        self.ends: dict[
            str, tuple[int, int]
        ] = {}  # owed ends that are not kept yet: position, due
        self.log.size = self.report.size
        (log.warning if self.report.damaged or self.report.torn else log.info)(
            "%s", self.report.line()
        )
        if write:
            self.begin()

    @property
    def path(self) -> Path:
        return self.log.path

    @property
    def size(self) -> int:
        return self.log.size

    @property
    def most(self) -> int:
        return self.log.most

    @most.setter
    def most(self, most: int) -> None:
        self.log.most = most

    @property
    def failed(self) -> bool:
        return self.log.failed

    @property
    def fd(self) -> int:
        return self.log.fd

    @staticmethod
    def bound(most_bytes: int) -> int:
        return most_bytes - 2 * BLOCK

    def begin(self) -> None:
        """Be the one that writes; what was read before is as it stands in the file."""
        r = self.report
        if r.damaged and self.log.set_aside(r.size, self.least_size()):
            log.warning("journal: the damaged file is kept as %s", self.log.aside_path)
        sound = r.version == VERSION and not r.damaged and not r.changed
        self.log.begin(
            r.end, r.torn, (r.salt, r.generation, r.number) if sound else None
        )
        if sound and self.clock is not None:
            self.append("c", *self.clock)

    # Writing

    def append(self, *line: Any) -> None:
        self.log.append(record(*line))

    def settle(self, rules: Rules) -> None:
        """Messages are taken on under these from now on."""
        if self.rules.get(self.current) != rules:
            self.current = max(self.rules, default=-1) + 1
            self.rules[self.current] = rules
            self.log.append(self.kept_rules(self.current))

    def take(self, m: Taken) -> None:
        m.rules = self.current
        self._keep(m)
        self.log.append(kept(m))

    def attempt(self, m: Taken, number: int, at_us: int, host: str) -> None:
        m.out[number] = (at_us, host)
        m.attempts = max(m.attempts, number + 1)
        self.append("a", m.id, number, at_us, host)

    def outcome(self, m: Taken, number: int, ran: bool) -> None:
        self.book(m, number, ran)
        self.append("o", m.id, number, int(ran))

    def over(self, name: str) -> None:
        """Delivered, withdrawn or told by a target to be over: nothing is owed for it
        any more.
        """
        if name in self.messages:
            self._over([name])
            self.append("x", name)

    def owe(self, name: str, state: str, after_ms: int) -> None:
        m = self.messages.get(name)
        end = Owed(state, after_ms, m.order_key if m is not None else None)
        self._owed([name, *end])
        self.append("e", name, *end)
        if self.log.worker is not None:
            self.ends[name] = (self.log.appended, m.due_us if m is not None else 0)

    def told(self, name: str) -> None:
        if name in self.owed:
            self._told([name])
            self.ends.pop(name, None)
            self.append("d", name)

    def owed_now(self, now_us: int) -> dict[str, Owed]:
        """The ends that may be told: a restart that does not know of one could send its
        message on, which its client was told to hand in again. Past the message's time
        no restart does.
        """
        if not self.ends:
            return self.owed
        self.ends = {
            name: (at, due)
            for name, (at, due) in self.ends.items()
            if at > self.log.kept and (due > now_us or not self.log.behind)
        }
        return {name: end for name, end in self.owed.items() if name not in self.ends}

    def list(
        self, seq: int, hosts: dict[str, dict[str, Any]], now_us: int, source: str
    ) -> None:
        """A target may leave the list in an outage and come back cold: its outage is
        kept for a time.
        """
        self.log.append(self.list_record(seq, hosts, source))
        self.seq, self.source, self.hosts = seq, source, dict(hosts)
        self.outages = {
            h: o for h, o in self.outages.items() if max(o) > now_us - OUTAGE_KEPT_US
        }

    def list_record(
        self, seq: int, hosts: dict[str, dict[str, Any]], source: str
    ) -> bytes:
        """What makes the list in force this one: its changes alone where they are
        few.
        """
        old = self.hosts
        changed = [
            h
            for name, h in hosts.items()
            if old.get(name) is not h and old.get(name) != h
        ]
        gone = [name for name in old if name not in hosts]
        if (
            source == self.source
            and self.seq >= 0
            and len(changed) + len(gone) < len(hosts) // FEW
        ):
            self.list_size = self.list_size * len(hosts) // len(old)
            return record("u", self.seq, seq, changed, gone, source)
        payload = kept_list(seq, hosts, source)
        self.list_size = len(payload)
        return payload

    def outage(self, host: str, since_us: int, back_us: int) -> None:
        self._outage([host, since_us, back_us])
        self.append("g", host, since_us, back_us)

    def rotate(self, host: str, out: bool) -> None:
        self._out([host, out])
        self.append("h", host, out)

    def least_size(self) -> int:
        """Bytes of a compacted file, without the small records."""
        return self.live + self.list_size

    def has_room(self, more: int) -> bool:
        """Whether one more message of that size leaves room for a compacted file beside
        the old one.
        """
        others = (
            200 * len(self.owed)
            + self.list_size
            + 100 * (len(self.outages) + len(self.detached))
        )
        need = 2 * (self.live + more + PER_MESSAGE + others) + ROOM
        if need + self.log.aside > self.log.most >= need:
            self.log.drop_aside()
        return not self.log.failed and need + self.log.aside <= self.log.most

    def flush(self) -> None:
        self.log.flush()

    def commit(self, then: Callable[[bool], None]) -> None:
        self.log.commit(then)

    def compact(self) -> bool:
        return self.log.rewrite()

    def close(self) -> None:
        """The process ends in order. Synced, whatever the level: then the next start
        need not wonder whether something is missing at the end.
        """
        self.flush()
        if (
            self.log.busy
        ):  # a disk that does not answer: what is under way must not be closed below it
            self.log.writing = False
            return
        if self.fd >= 0 and not self.log.behind:
            self.append("z")
            self.flush()
            with suppress(OSError):
                self.files.sync(self.fd)
        self.let_go()

    def let_go(self) -> None:
        """Write no more; another may."""
        self.log.let_go()

    def figures(self) -> dict[str, Any]:
        """What was found at the start, and what writing costs."""
        w = self.log
        return {
            "level": "power" if w.worker else "process",
            "generation": w.generation,
            "size": w.size,
            "set_aside": w.aside,
            "failed": w.failed,
            "faults": w.faults,
            "bytes": w.bytes,
            "rewrites": w.rewrites,
            "syncs": w.syncs,
            "sync_s": round(w.synced_s, 3),
            "longest_sync_ms": round(1000 * w.longest_sync_s, 1),
            "recovered": self.report.figures(),
        }
