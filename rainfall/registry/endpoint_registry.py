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

from rainfall.lease.types import MAX_EPOCH_JUMP
from rainfall.registry import request_schemas
from rainfall.registry.request_schemas import (
    Drain,
    Operation,
    Register,
    RequestError,
    SetShare,
)

MAX_TOMBSTONES = 10_000  # removed entries kept so that watchers are told of them
MAX_CHANGE_IDS = 10_000  # change ids kept for idempotent repeats
VERSIONS_PER_MS = 1_000  # a new epoch's first version is at least now_ms * EPOCH_STEP
CLAIM_LIMIT = (
    1 << 52
    # claims from here on are not gone past: one of them must not use up all numbers there
    # are
)


@dataclass
class EndpointEntry:
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

    def to_row(self) -> dict[str, Any]:
        return {**asdict(self), "hosts": list(self.hosts)}

    @staticmethod
    def from_row(raw: dict[str, Any]) -> Change:
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
class PendingChanges:
    """Changes checked and waiting for one sync: the version they reach, their entries
    and ids.
    """

    seq: int
    overlay: dict[str, EndpointEntry] = field(default_factory=dict)
    ids: dict[str, tuple[str, int]] = field(default_factory=dict)


@dataclass
class EndpointRegistry:
    """What is in force.

    `seq` is the newest version on disk; `floor` the oldest one a delta is told from.
    """

    epoch: int = 0
    seq: int = 0
    floor: int = 0
    fence: int = 0
    entries: dict[str, EndpointEntry] = field(default_factory=dict)
    ids: OrderedDict[str, tuple[str, int]] = field(
        default_factory=OrderedDict
    )  # id -> (digest, seq)

    def listed_count(self) -> int:
        return sum(not e.removed for e in self.entries.values())

    # -- reading
    # ---------------------------------------------------------------------------------

    def answer_for(self, since: int | None, epoch: int | None) -> dict[str, Any]:
        """The answer to a reader from version `since` (None: the whole list).

        Whole when `since` is below the floor, ahead of `seq`, or of another epoch;
        otherwise the entries changed after it, merged.
        """
        whole = since is None or since < self.floor or since > self.seq
        whole = whole or (epoch is not None and epoch != self.epoch)
        if whole:
            hosts = [e.fields for e in self.entries.values() if not e.removed]
        else:
            hosts = [e.fields for e in self.entries.values() if e.seq > (since or 0)]
        return {"seq": self.seq, "whole": whole, "epoch": self.epoch, "hosts": hosts}

    def is_up_to_date(self, since: int | None, epoch: int | None) -> bool:
        """Whether a watch from `since` has nothing to be told yet.

        The same version of another epoch is another list: that reader is told the whole
        at once.
        """
        return since == self.seq and epoch in (None, self.epoch)

    def claim_ahead(
        self, since: int | None, epoch: int | None
    ) -> tuple[int, int] | None:
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
            claim[0] if claim[0] < CLAIM_LIMIT else 0,
            claim[1] if claim[1] < CLAIM_LIMIT else 0,
        )
        return claim if any(claim) else None

    # -- changing
    # --------------------------------------------------------------------------------

    def new_epoch(
        self, now_ms: int, past_version: int = 0, past_epoch: int = 0
    ) -> Change:
        """The change that begins an epoch past version `asked` and epoch `seen`; it
        carries the whole list again at its first version. The clock only helps: where
        it was set back, what was seen decides.
        """
        base = max(self.seq + 1, past_version + 1, now_ms * VERSIONS_PER_MS)
        return Change(base, max(self.epoch + 1, past_epoch + 1, now_ms), base=base)

    def initial_epoch(self, now_ms: int) -> Change:
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

    def raise_fence(self, above: int) -> Change | int:
        """The change that raises the fence past `above`, or the version in force where
        it is past it.
        """
        if above > self.fence + MAX_EPOCH_JUMP:
            raise RequestError(422, [f"{above} is further ahead than any fence can be"])
        return (
            self.seq
            if self.fence > above
            else Change(self.seq, self.epoch, fence=above + 1)
        )

    def prepare(
        self, body: Any, digest: str, pending: PendingChanges | None = None
    ) -> Change | int:
        """Check a change against what is in force and what is `pending` (checked, not
        yet on disk). Returns the Change, or the version in force when it alters nothing
        or repeats a kept id; the Change is added to `pending`. Raises Refused.
        """
        pending = pending or PendingChanges(self.seq)
        ops, change_id = request_schemas.parse_change(body)
        previous = pending.ids.get(change_id) or self.ids.get(change_id)
        if change_id and previous:
            if previous[0] != digest:
                raise RequestError(
                    409, [f"id: {change_id} was used for another change"]
                )
            return previous[1]
        visible = ChainMap(pending.overlay, self.entries)
        updated: dict[str, dict[str, Any]] = {}
        for i, op in enumerate(ops):
            # An entry removed earlier in the same change is gone for the ops after it.
            current = (
                updated[op.host]
                if op.host in updated
                else _listed_fields(visible.get(op.host))
            )
            current = (
                None
                if current is not None and current["health"] == "removed"
                else current
            )
            updated[op.host] = _apply(op, current, f"ops[{i}]")
        altered = tuple(
            f for h, f in updated.items() if _listed_fields(visible.get(h)) != f
        )
        if not altered:
            return pending.seq
        change = Change(pending.seq + 1, self.epoch, change_id, digest, altered)
        pending.seq = change.seq
        pending.overlay.update(
            (f["host"], EndpointEntry(f, change.seq)) for f in altered
        )
        if change_id:
            pending.ids[change_id] = (digest, change.seq)
        return change

    def is_newer(self, change: Change) -> bool:
        """Whether a change read from the log is not in the snapshot yet."""
        return change.seq > self.seq or change.fence > self.fence

    def commit(self, change: Change) -> None:
        """Take a change that is on disk.

        Changes come in the order of their versions.
        """
        self.fence = max(self.fence, change.fence)
        if change.base:
            self.epoch, self.floor = change.epoch, change.base
            for entry in self.entries.values():
                entry.seq = change.base
            self._drop_tombstones(everything=True)
        for fields in change.hosts:
            self.entries[fields["host"]] = EndpointEntry(dict(fields), change.seq)
        self.seq = max(self.seq, change.seq)
        if change.id:
            self.ids[change.id] = (change.digest, change.seq)
            while len(self.ids) > MAX_CHANGE_IDS:
                self.ids.popitem(last=False)
        if any(fields["health"] == "removed" for fields in change.hosts):
            self._drop_tombstones()

    def _drop_tombstones(self, everything: bool = False) -> None:
        tombstones = sorted((e.seq, h) for h, e in self.entries.items() if e.removed)
        extra = len(tombstones) if everything else len(tombstones) - MAX_TOMBSTONES
        for at, host in tombstones[: max(extra, 0)]:
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
    def from_snapshot(raw: dict[str, Any]) -> EndpointRegistry:
        registry = EndpointRegistry(
            int(raw["epoch"]),
            int(raw["seq"]),
            int(raw["floor"]),
            int(raw.get("fence", 0)),
        )
        for seq, fields in raw["entries"]:
            registry.entries[fields["host"]] = EndpointEntry(fields, int(seq))
        for key, digest, seq in raw["ids"]:
            registry.ids[key] = (digest, int(seq))
        return registry


@dataclass(slots=True)
class TokenBucket:
    """At most `burst` at once, and one more each `every_us`."""

    burst: int
    interval_us: int
    used: int = 0
    refill_started_us: int = 0  # when the oldest used one began to come back

    def wait_us(self, now_us: int) -> int:
        """How long until one may be had; 0 now."""
        refilled = (
            min(self.used, (now_us - self.refill_started_us) // self.interval_us)
            if self.used
            else 0
        )
        self.used, self.refill_started_us = (
            self.used - refilled,
            self.refill_started_us + refilled * self.interval_us,
        )
        return (
            0
            if self.used < self.burst
            else self.refill_started_us + self.interval_us - now_us
        )

    def try_acquire(self, now_us: int) -> bool:
        if self.wait_us(now_us):
            return False
        self.refill_started_us = self.refill_started_us if self.used else now_us
        self.used += 1
        return True


def _listed_fields(entry: EndpointEntry | None) -> dict[str, Any] | None:
    return None if entry is None or entry.removed else entry.fields


def _apply(op: Operation, current: dict[str, Any] | None, where: str) -> dict[str, Any]:
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
    if current is None:
        raise RequestError(404, [f"{where}.host: {op.host} is not listed"])
    if isinstance(op, Drain):
        return {**current, "health": "draining"}
    if isinstance(op, SetShare):
        return {**current, "share": op.share}
    return {**current, "health": "removed"}
