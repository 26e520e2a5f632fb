"""The endpoint list without I/O: entries, versions, epochs, the fence, and answers.

Shapes follow PROTOCOL "Discovery": an entry is `host, dial, site, class, block, share,
born_ms, health`; an answer is `{"seq", "whole", "hosts"}` with `epoch` beside it. Times
are milliseconds.

Within an epoch the versions of the list are continuous. The fence is the highest epoch
of fencing tokens. The two numbers are separate because any reader can raise the epoch,
at a limited rate, while no reader can raise the fence.
"""

from __future__ import annotations

from collections import ChainMap, OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from rainfall.lease.types import MAX_EPOCH_JUMP
from rainfall.registry import request_schemas
from rainfall.registry.request_error import RequestError
from rainfall.registry.request_schemas import (
    Drain,
    Operation,
    Register,
    SetShare,
)

MAX_TOMBSTONES = 10_000
"""Removed entries kept, so that watchers receive the removal."""
MAX_CHANGE_IDS = 10_000
"""Ids of changes kept to recognise a repeated change."""
VERSIONS_PER_MS = 1_000
"""A new epoch's first version is at least Unix time in ms times this."""
CLAIM_LIMIT = 1 << 52
"""Versions and epochs claimed by a reader are ignored if they are not below this limit:
a single claim could otherwise exhaust the range of versions.
"""


class VersionClaim(NamedTuple):
    """A version and an epoch claimed by a reader; 0 where it is not ahead of the service."""

    version: int
    epoch: int


NO_CLAIM = VersionClaim(0, 0)


class StoredChangeId(NamedTuple):
    """The body digest and the version of a stored change that has an id."""

    digest: str
    seq: int


@dataclass
class EndpointEntry:
    """One endpoint, or the tombstone of one."""

    fields: dict[str, Any]
    """The fields in PROTOCOL, `health` included."""
    seq: int
    """The version that last changed it."""

    @property
    def removed(self) -> bool:
        """Whether this is a tombstone."""
        return bool(self.fields["health"] == "removed")


@dataclass(frozen=True)
class Change:
    """One change of the list, the epoch or the fence, as stored in `changes.log`."""

    seq: int
    epoch: int
    id: str = ""
    """The client's id of the change, used to recognise a repeat."""
    digest: str = ""
    """The digest of the change's body."""
    hosts: tuple[dict[str, Any], ...] = ()
    """The fields of each entry that the change sets."""
    base: int = 0
    """The first version of the epoch that the change begins; 0 if it begins none."""
    fence: int = 0
    """The new fence if the change raises it; else 0."""

    def to_row(self) -> dict[str, Any]:
        """Return the change as a row of `changes.log`."""
        return {
            "seq": self.seq,
            "epoch": self.epoch,
            "id": self.id,
            "digest": self.digest,
            "hosts": list(self.hosts),
            "base": self.base,
            "fence": self.fence,
        }

    @staticmethod
    def from_row(raw: dict[str, Any]) -> Change:
        """Return the change of a row of `changes.log`."""
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
    """Changes that are validated but not stored yet."""

    seq: int
    """The version after the pending changes."""
    overlay: dict[str, EndpointEntry] = field(default_factory=dict)
    """The entries that the pending changes set, by host."""
    ids: dict[str, StoredChangeId] = field(default_factory=dict)


@dataclass
class EndpointRegistry:
    """The stored endpoint list."""

    epoch: int = 0
    seq: int = 0
    """The newest version."""
    floor: int = 0
    """The oldest version from which a reader can receive only the changes."""
    fence: int = 0
    entries: dict[str, EndpointEntry] = field(default_factory=dict)
    ids: OrderedDict[str, StoredChangeId] = field(default_factory=OrderedDict)

    def listed_count(self) -> int:
        """Return the number of listed endpoints, without tombstones."""
        return sum(not entry.removed for entry in self.entries.values())

    def answer_for(self, since: int | None, epoch: int | None) -> dict[str, Any]:
        """Return the answer to a reader; `since` is its version, None if it has no list.

        The list is complete when `since` is below the floor, ahead of `seq`, or of
        another epoch; otherwise the answer has only the entries that changed after `since`.
        """
        is_other_epoch = epoch is not None and epoch != self.epoch
        entries = self.entries.values()
        if since is None or not self.floor <= since <= self.seq or is_other_epoch:
            is_complete = True
            hosts = [entry.fields for entry in entries if not entry.removed]
        else:
            is_complete = False
            hosts = [entry.fields for entry in entries if entry.seq > since]
        return {
            "seq": self.seq,
            "whole": is_complete,
            "epoch": self.epoch,
            "hosts": hosts,
        }

    def is_up_to_date(self, since: int | None, epoch: int | None) -> bool:
        """Return whether a watch from `since` has to wait for a change.

        The same version of another epoch is a different list: that reader is answered
        immediately.
        """
        return since == self.seq and epoch in (None, self.epoch)

    def claim_ahead(self, since: int | None, epoch: int | None) -> VersionClaim | None:
        """Return the version and epoch of a reader that is ahead; None if it is not.

        This service cannot have sent them, so its state is an older copy, or was lost.
        """
        version = since or 0
        if epoch is not None and epoch > self.epoch:
            claimed_version = version if version > self.seq else 0
            claimed_epoch = epoch
        elif version > self.seq and epoch in (None, self.epoch):
            claimed_version = version
            claimed_epoch = 0
        else:
            return None
        claim = VersionClaim(
            claimed_version if claimed_version < CLAIM_LIMIT else 0,
            claimed_epoch if claimed_epoch < CLAIM_LIMIT else 0,
        )
        return claim if any(claim) else None

    def new_epoch(
        self, now_ms: int, past_version: int = 0, past_epoch: int = 0
    ) -> Change:
        """Return the change that begins a new epoch above the given version and epoch.

        All entries count as changed at its first version. That version follows the wall
        clock; if the clock was set back, the two given numbers are the lower bound.
        """
        base = max(self.seq + 1, past_version + 1, now_ms * VERSIONS_PER_MS)
        return Change(base, max(self.epoch + 1, past_epoch + 1, now_ms), base=base)

    def initial_epoch(self, now_ms: int) -> Change:
        """Return the change that initializes an empty registry, new or after data loss."""
        first = self.new_epoch(now_ms)
        return Change(
            first.seq,
            first.epoch,
            base=first.base,
            fence=max(self.fence + 1, now_ms // 1_000),
        )

    def raise_fence(self, above: int) -> Change | int:
        """Return the change that raises the fence past `above`.

        Returns the version in force if the fence is past `above` already.

        Raises:
            RequestError: 422, `above` exceeds the fence by more than `MAX_EPOCH_JUMP`.
        """
        if above > self.fence + MAX_EPOCH_JUMP:
            raise RequestError(
                422,
                [f"{above} is too far above the fence {self.fence}"],
            )
        if self.fence > above:
            return self.seq
        return Change(self.seq, self.epoch, fence=above + 1)

    def prepare(
        self, body: Any, digest: str, pending: PendingChanges | None = None
    ) -> Change | int:
        """Validate a change against the list in force and the pending changes.

        Returns the change, and adds it to `pending`. A change that alters nothing, or
        that repeats one whose id is kept, returns the version it results in.

        Raises:
            RequestError: The change is rejected.
        """
        pending = pending or PendingChanges(self.seq)
        requested = request_schemas.parse_change(body)
        previous = pending.ids.get(requested.id) or self.ids.get(requested.id)
        if requested.id and previous:
            if previous.digest != digest:
                raise RequestError(
                    409, [f"id: {requested.id} was used for another change"]
                )
            return previous.seq
        visible = ChainMap(pending.overlay, self.entries)
        altered = _altered_hosts(requested.operations, visible)
        if not altered:
            return pending.seq
        change = Change(pending.seq + 1, self.epoch, requested.id, digest, altered)
        pending.seq = change.seq
        pending.overlay.update(
            (fields["host"], EndpointEntry(fields, change.seq)) for fields in altered
        )
        if change.id:
            pending.ids[change.id] = StoredChangeId(digest, change.seq)
        return change

    def is_newer(self, change: Change) -> bool:
        """Return whether a change from the log is missing from the snapshot."""
        return change.seq > self.seq or change.fence > self.fence

    def commit(self, change: Change) -> None:
        """Apply a stored change. Changes must be committed in the order of their versions."""
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
            self.ids[change.id] = StoredChangeId(change.digest, change.seq)
            while len(self.ids) > MAX_CHANGE_IDS:
                self.ids.popitem(last=False)
        if any(fields["health"] == "removed" for fields in change.hosts):
            self._drop_tombstones()

    def _drop_tombstones(self, everything: bool = False) -> None:
        tombstones = sorted(
            (entry.seq, host) for host, entry in self.entries.items() if entry.removed
        )
        dropped = len(tombstones) if everything else len(tombstones) - MAX_TOMBSTONES
        for seq, host in tombstones[: max(dropped, 0)]:
            del self.entries[host]
            self.floor = max(self.floor, seq)

    def snapshot(self) -> dict[str, Any]:
        """Return the whole registry as a JSON-compatible object."""
        return {
            "epoch": self.epoch,
            "seq": self.seq,
            "floor": self.floor,
            "fence": self.fence,
            "entries": [[entry.seq, entry.fields] for entry in self.entries.values()],
            "ids": [
                [change_id, stored.digest, stored.seq]
                for change_id, stored in self.ids.items()
            ],
        }

    @staticmethod
    def from_snapshot(raw: dict[str, Any]) -> EndpointRegistry:
        """Return the registry of a snapshot.

        Raises KeyError, TypeError or ValueError if `raw` is not a valid snapshot.
        """
        registry = EndpointRegistry(
            int(raw["epoch"]),
            int(raw["seq"]),
            int(raw["floor"]),
            int(raw.get("fence", 0)),
        )
        for seq, fields in raw["entries"]:
            registry.entries[fields["host"]] = EndpointEntry(fields, int(seq))
        for change_id, digest, seq in raw["ids"]:
            registry.ids[change_id] = StoredChangeId(digest, int(seq))
        return registry


def _listed_fields(entry: EndpointEntry | None) -> dict[str, Any] | None:
    return None if entry is None or entry.removed else entry.fields


def _altered_hosts(
    operations: list[Operation], visible: Mapping[str, EndpointEntry]
) -> tuple[dict[str, Any], ...]:
    """Return the fields of the entries that operations alter, in operation order."""
    updated: dict[str, dict[str, Any]] = {}
    for number, operation in enumerate(operations):
        host = operation.host
        if host in updated:
            current: dict[str, Any] | None = updated[host]
        else:
            current = _listed_fields(visible.get(host))
        # Later operations of the same change treat a removed entry as absent.
        if current is not None and current["health"] == "removed":
            current = None
        updated[host] = _apply(operation, current, f"ops[{number}]")
    return tuple(
        fields
        for host, fields in updated.items()
        if _listed_fields(visible.get(host)) != fields
    )


def _apply(
    operation: Operation, current: dict[str, Any] | None, where: str
) -> dict[str, Any]:
    """Return the fields of an endpoint after an operation.

    Raises:
        RequestError: 404, the operation requires a listed endpoint.
    """
    if isinstance(operation, Register):
        return {
            "host": operation.host,
            "dial": operation.dial,
            "site": operation.site,
            "class": operation.kind,
            "block": operation.block,
            "share": operation.share,
            "born_ms": operation.born_ms,
            "health": operation.health,
        }
    if current is None:
        raise RequestError(404, [f"{where}.host: {operation.host} is not listed"])
    if isinstance(operation, Drain):
        return {**current, "health": "draining"}
    if isinstance(operation, SetShare):
        return {**current, "share": operation.share}
    return {**current, "health": "removed"}
