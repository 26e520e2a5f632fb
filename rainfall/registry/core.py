"""The list service's state without I/O: entries, versions, epochs, the fence, and what
a reader is owed.

Shapes follow PROTOCOL "Discovery": an entry is `host, dial, site, class, block, share,
born_ms, health`; an answer is `{"seq", "whole", "hosts"}` with `epoch` beside it. Times
are milliseconds.

The epoch names a stretch of the list's history proved continuous; the fence is the
highest epoch of fencing tokens. They are kept apart: any reader can make the epoch rise
(within a bound), none the fence.
"""

from __future__ import annotations

from collections import ChainMap, OrderedDict
from dataclasses import asdict, dataclass, field
from typing import Any

from rainfall.lease.terms import MOST_LEAP
from rainfall.registry import bodies
from rainfall.registry.bodies import Drain, Op, Refused, Register, Weigh

MOST_TOMBSTONES = 10_000  # removed entries kept so that watchers are told of them
MOST_IDS = 10_000  # change ids kept for idempotent repeats
EPOCH_STEP = 1_000  # a new epoch's first version is at least now_ms * EPOCH_STEP
BELIEVED = (
    1 << 52
    # claims from here on are not gone past: one of them must not use up all numbers there
    # are
)


@dataclass
class Entry:
    fields: dict[str, Any]  # as PROTOCOL lists them, health included
    seq: int  # the version that last changed it

    @property
    def removed(self) -> bool:
        return bool(self.fields["health"] == "removed")


@dataclass(frozen=True)
class Change:
    """One change as it goes to disk: its version and epoch, the id it came with, the
    new entries.
    """

    seq: int
    epoch: int
    id: str = ""
    digest: str = ""
    hosts: tuple[dict[str, Any], ...] = ()
    base: int = 0  # set when the change begins an epoch: its first version
    fence: int = 0  # set when the change raises the fence: what it is from now on

    def line(self) -> dict[str, Any]:
        return {**asdict(self), "hosts": list(self.hosts)}

    @staticmethod
    def of(raw: dict[str, Any]) -> Change:
        return Change(
            int(raw["seq"]),
            int(raw["epoch"]),
            str(raw["id"]),
            str(raw["digest"]),
            tuple(raw["hosts"]),
            int(raw.get("base", 0)),
            int(raw.get("fence", 0)),
        )


@dataclass
class Pending:
    """Changes checked and waiting for one sync: the version they reach, their entries
    and ids.
    """

    seq: int
    overlay: dict[str, Entry] = field(default_factory=dict)
    ids: dict[str, tuple[str, int]] = field(default_factory=dict)


@dataclass
class Registry:
    """What is in force. `seq` is the newest version on disk; `floor` the oldest one a
    delta is told from.
    """

    epoch: int = 0
    seq: int = 0
    floor: int = 0
    fence: int = 0
    entries: dict[str, Entry] = field(default_factory=dict)
    ids: OrderedDict[str, tuple[str, int]] = field(
        default_factory=OrderedDict
    )  # id -> (digest, seq)

    def listed(self) -> int:
        return sum(not e.removed for e in self.entries.values())

    # -- reading
    # ---------------------------------------------------------------------------------

    def owed(self, since: int | None, epoch: int | None) -> dict[str, Any]:
        """The answer to a reader from version `since` (None: the whole list). Whole
        when `since` is below the floor, ahead of `seq`, or of another epoch; otherwise
        the entries changed after it, merged.
        """
        whole = since is None or since < self.floor or since > self.seq
        whole = whole or (epoch is not None and epoch != self.epoch)
        if whole:
            hosts = [e.fields for e in self.entries.values() if not e.removed]
        else:
            hosts = [e.fields for e in self.entries.values() if e.seq > (since or 0)]
        return {"seq": self.seq, "whole": whole, "epoch": self.epoch, "hosts": hosts}

    def waits(self, since: int | None, epoch: int | None) -> bool:
        """Whether a watch from `since` has nothing to be told yet. The same version of
        another epoch is another list: that reader is told the whole at once.
        """
        return since == self.seq and epoch in (None, self.epoch)

    def overtaken(self, since: int | None, epoch: int | None) -> tuple[int, int] | None:
        """What a reader has seen and this service cannot have told, as (version, epoch)
        to go past; None where nothing. It shows an older copy of the state, or a lost
        one: our history is not its history.
        """
        version = since or 0
        if epoch is not None and epoch > self.epoch:
            claim = version if version > self.seq else 0, epoch
        elif version > self.seq and epoch in (None, self.epoch):
            claim = version, 0
        else:
            return None
        claim = (
            claim[0] if claim[0] < BELIEVED else 0,
            claim[1] if claim[1] < BELIEVED else 0,
        )
        return claim if any(claim) else None

    # -- changing
    # --------------------------------------------------------------------------------

    def new_epoch(self, now_ms: int, asked: int = 0, seen: int = 0) -> Change:
        """The change that begins an epoch past version `asked` and epoch `seen`; it
        carries the whole list again at its first version. The clock only helps: where
        it was set back, what was seen decides.
        """
        base = max(self.seq + 1, asked + 1, now_ms * EPOCH_STEP)
        return Change(base, max(self.epoch + 1, seen + 1, now_ms), base=base)

    def begun(self, now_ms: int) -> Change:
        """The change an operator's word begins a history with: no state is there, and
        none is missed.
        """
        first = self.new_epoch(now_ms)
        return Change(
            first.seq,
            first.epoch,
            base=first.base,
            fence=max(self.fence + 1, now_ms // 1_000),
        )

    def lifted(self, above: int) -> Change | int:
        """The change that raises the fence past `above`, or the version in force where
        it is past it.
        """
        if above > self.fence + MOST_LEAP:
            raise Refused(422, [f"{above} is further ahead than any fence can be"])
        return (
            self.seq
            if self.fence > above
            else Change(self.seq, self.epoch, fence=above + 1)
        )

    def prepare(
        self, body: Any, digest: str, pending: Pending | None = None
    ) -> Change | int:
        """Check a change against what is in force and what is `pending` (checked, not
        yet on disk). Returns the Change, or the version in force when it alters nothing
        or repeats a kept id; the Change is added to `pending`. Raises Refused.
        """
        pending = pending or Pending(self.seq)
        ops, key = bodies.change(body)
        kept = pending.ids.get(key) or self.ids.get(key)
        if key and kept:
            if kept[0] != digest:
                raise Refused(409, [f"id: {key} was used for another change"])
            return kept[1]
        seen = ChainMap(pending.overlay, self.entries)
        news: dict[str, dict[str, Any]] = {}
        for i, op in enumerate(ops):
            # An entry removed earlier in the same change is gone for the ops after it.
            now = news[op.host] if op.host in news else _live(seen.get(op.host))
            now = None if now is not None and now["health"] == "removed" else now
            news[op.host] = _applied(op, now, f"ops[{i}]")
        altered = tuple(f for h, f in news.items() if _live(seen.get(h)) != f)
        if not altered:
            return pending.seq
        change = Change(pending.seq + 1, self.epoch, key, digest, altered)
        pending.seq = change.seq
        pending.overlay.update((f["host"], Entry(f, change.seq)) for f in altered)
        if key:
            pending.ids[key] = (digest, change.seq)
        return change

    def newer(self, change: Change) -> bool:
        """Whether a change read from the log is not in the snapshot yet."""
        return change.seq > self.seq or change.fence > self.fence

    def commit(self, change: Change) -> None:
        """Take a change that is on disk. Changes come in the order of their
        versions.
        """
        self.fence = max(self.fence, change.fence)
        if change.base:
            self.epoch, self.floor = change.epoch, change.base
            for entry in self.entries.values():
                entry.seq = change.base
            self._drop_tombstones(everything=True)
        for fields in change.hosts:
            self.entries[fields["host"]] = Entry(dict(fields), change.seq)
        self.seq = max(self.seq, change.seq)
        if change.id:
            self.ids[change.id] = (change.digest, change.seq)
            while len(self.ids) > MOST_IDS:
                self.ids.popitem(last=False)
        if any(fields["health"] == "removed" for fields in change.hosts):
            self._drop_tombstones()

    def _drop_tombstones(self, everything: bool = False) -> None:
        gone = sorted((e.seq, h) for h, e in self.entries.items() if e.removed)
        extra = len(gone) if everything else len(gone) - MOST_TOMBSTONES
        for at, host in gone[: max(extra, 0)]:
            del self.entries[host]
            self.floor = max(self.floor, at)

    # -- snapshot
    # ----------------------------------------------------------------------------------

    def snapshot(self) -> dict[str, Any]:
        return {
            "epoch": self.epoch,
            "seq": self.seq,
            "floor": self.floor,
            "fence": self.fence,
            "entries": [[e.seq, e.fields] for e in self.entries.values()],
            "ids": [[k, d, s] for k, (d, s) in self.ids.items()],
        }

    @staticmethod
    def restored(raw: dict[str, Any]) -> Registry:
        found = Registry(
            int(raw["epoch"]),
            int(raw["seq"]),
            int(raw["floor"]),
            int(raw.get("fence", 0)),
        )
        for seq, fields in raw["entries"]:
            found.entries[fields["host"]] = Entry(fields, int(seq))
        for key, digest, seq in raw["ids"]:
            found.ids[key] = (digest, int(seq))
        return found


@dataclass(slots=True)
class Spaced:
    """At most `burst` at once, and one more each `every_us`."""

    burst: int
    every_us: int
    used: int = 0
    since_us: int = 0  # when the oldest used one began to come back

    def wait_us(self, now_us: int) -> int:
        """How long until one may be had; 0 now."""
        back = (
            min(self.used, (now_us - self.since_us) // self.every_us)
            if self.used
            else 0
        )
        self.used, self.since_us = (
            self.used - back,
            self.since_us + back * self.every_us,
        )
        return 0 if self.used < self.burst else self.since_us + self.every_us - now_us

    def take(self, now_us: int) -> bool:
        if self.wait_us(now_us):
            return False
        self.since_us = self.since_us if self.used else now_us
        self.used += 1
        return True


def _live(entry: Entry | None) -> dict[str, Any] | None:
    return None if entry is None or entry.removed else entry.fields


def _applied(op: Op, now: dict[str, Any] | None, where: str) -> dict[str, Any]:
    if isinstance(op, Register):
        return {
            "host": op.host,
            "dial": op.dial,
            "site": op.site,
            "class": op.kind,
            "block": op.block,
            "share": op.share,
            "born_ms": op.born_ms,
            "health": op.health,
        }
    if now is None:
        raise Refused(404, [f"{where}.host: {op.host} is not listed"])
    if isinstance(op, Drain):
        return {**now, "health": "draining"}
    if isinstance(op, Weigh):
        return {**now, "share": op.share}
    return {**now, "health": "removed"}
