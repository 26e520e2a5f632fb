"""The list service's state without I/O: entries, versions, epochs, checks of a change, and answers.

Shapes follow PROTOCOL "Discovery": an entry is `host, dial, site, class, block, health, share,
born_ms`; an answer is `{"seq", "whole", "hosts"}` with `epoch` beside it. Times are milliseconds.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

MOST_TOMBSTONES = 10_000  # removed entries kept so that watchers are told of them
MOST_IDS = 10_000  # change ids kept for idempotent repeats
MOST_OPS = 1_000  # in one change
EPOCH_STEP = 1_000  # a new epoch's first version is at least now_ms * EPOCH_STEP
OPS = ("register", "drain", "remove", "share")
HEALTH = ("up", "draining")


class Refused(Exception):
    """A change that is not made. `status` is the HTTP answer; `faults` name each fault with its path."""

    def __init__(self, status: int, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.status, self.faults = status, faults


@dataclass
class Entry:
    fields: dict[str, Any]  # as PROTOCOL lists them, health included
    seq: int  # the version that last changed it

    @property
    def removed(self) -> bool:
        return bool(self.fields["health"] == "removed")


@dataclass(frozen=True)
class Change:
    """One change as it goes to disk: its version and epoch, the id it came with, the new entries."""

    seq: int
    epoch: int
    id: str
    digest: str
    hosts: tuple[dict[str, Any], ...]
    base: int = 0  # set when the change begins an epoch: its first version

    def line(self) -> dict[str, Any]:
        return {
            "seq": self.seq,
            "epoch": self.epoch,
            "id": self.id,
            "digest": self.digest,
            "hosts": list(self.hosts),
            "base": self.base,
        }

    @staticmethod
    def of(raw: dict[str, Any]) -> Change:
        return Change(
            int(raw["seq"]),
            int(raw["epoch"]),
            str(raw["id"]),
            str(raw["digest"]),
            tuple(raw["hosts"]),
            int(raw.get("base", 0)),
        )


@dataclass
class Pending:
    """Changes checked and waiting for one sync: the version they reach, their entries and ids."""

    seq: int
    overlay: dict[str, Entry] = field(default_factory=dict)
    ids: dict[str, tuple[str, int]] = field(default_factory=dict)


@dataclass
class Registry:
    """What is in force. `seq` is the newest version on disk; `floor` the oldest one a delta is told from."""

    epoch: int = 0
    seq: int = 0
    floor: int = 0
    entries: dict[str, Entry] = field(default_factory=dict)
    ids: OrderedDict[str, tuple[str, int]] = field(default_factory=OrderedDict)  # id -> (digest, seq)

    def listed(self) -> int:
        return sum(not e.removed for e in self.entries.values())

    # -- reading ---------------------------------------------------------------------------------

    def owed(self, since: int | None, epoch: int | None) -> dict[str, Any]:
        """The answer to a reader from version `since` (None: the whole list). Whole when `since` is below
        the floor, ahead of `seq`, or of another epoch; otherwise the entries changed after it, merged."""
        whole = since is None or since < self.floor or since > self.seq
        whole = whole or (epoch is not None and epoch != self.epoch)
        if whole:
            hosts = [e.fields for e in self.entries.values() if not e.removed]
        else:
            hosts = [e.fields for e in self.entries.values() if e.seq > (since or 0)]
        return {"seq": self.seq, "whole": whole, "epoch": self.epoch, "hosts": hosts}

    def ahead(self, since: int | None, epoch: int | None) -> bool:
        """A client holds a version this service never had in this epoch: its history is not continuous."""
        return since is not None and since > self.seq and epoch in (None, self.epoch)

    # -- changing --------------------------------------------------------------------------------

    def new_epoch(self, now_ms: int, asked: int = 0) -> Change:
        """The change that begins an epoch; it carries the whole list again at its first version."""
        base = max(self.seq + 1, asked + 1, now_ms * EPOCH_STEP)
        return Change(base, self.epoch + 1, "", "", (), base)

    def prepare(self, body: Any, digest: str, pending: Pending | None = None) -> Change | int:
        """Check a change against what is in force and what is `pending` (checked, not yet on disk).
        Returns the Change, or the version in force when it alters nothing or repeats a kept id; the
        Change is added to `pending`. Raises Refused."""
        pending = pending or Pending(self.seq)
        ops, key = checked(body)
        kept = pending.ids.get(key) or self.ids.get(key)
        if key and kept:
            if kept[0] != digest:
                raise Refused(409, [f"id: {key} was used for another change"])
            return kept[1]
        seen = {**self.entries, **pending.overlay}
        news: dict[str, dict[str, Any]] = {}
        for i, op in enumerate(ops):
            # An entry removed earlier in the same change is gone for the ops after it.
            now = news[op["host"]] if op["host"] in news else _live(seen.get(op["host"]))
            now = None if now is not None and now["health"] == "removed" else now
            after = _applied(op, now, f"ops[{i}]")
            news[op["host"]] = after
        altered = tuple(f for h, f in news.items() if _live(seen.get(h)) != f)
        if not altered:
            return pending.seq
        change = Change(pending.seq + 1, self.epoch, key, digest, altered)
        pending.seq = change.seq
        pending.overlay.update((f["host"], Entry(f, change.seq)) for f in altered)
        if key:
            pending.ids[key] = (digest, change.seq)
        return change

    def commit(self, change: Change) -> None:
        """Take a change that is on disk. Changes come in the order of their versions."""
        if change.base:
            self.epoch, self.floor = change.epoch, change.base
            for entry in self.entries.values():
                entry.seq = change.base
            self._drop_tombstones(everything=True)
        for fields in change.hosts:
            self.entries[fields["host"]] = Entry(dict(fields), change.seq)
        self.seq = change.seq
        if change.id:
            self.ids[change.id] = (change.digest, change.seq)
            while len(self.ids) > MOST_IDS:
                self.ids.popitem(last=False)
        self._drop_tombstones()

    def _drop_tombstones(self, everything: bool = False) -> None:
        gone = sorted((e.seq, h) for h, e in self.entries.items() if e.removed)
        extra = len(gone) if everything else len(gone) - MOST_TOMBSTONES
        for at, host in gone[: max(extra, 0)]:
            del self.entries[host]
            self.floor = max(self.floor, at)

    # -- snapshot ----------------------------------------------------------------------------------

    def snapshot(self) -> dict[str, Any]:
        return {
            "epoch": self.epoch,
            "seq": self.seq,
            "floor": self.floor,
            "entries": [[e.seq, e.fields] for e in self.entries.values()],
            "ids": [[k, d, s] for k, (d, s) in self.ids.items()],
        }

    @staticmethod
    def restored(raw: dict[str, Any]) -> Registry:
        found = Registry(int(raw["epoch"]), int(raw["seq"]), int(raw["floor"]))
        for seq, fields in raw["entries"]:
            found.entries[fields["host"]] = Entry(fields, int(seq))
        for key, digest, seq in raw["ids"]:
            found.ids[key] = (digest, int(seq))
        return found


def _live(entry: Entry | None) -> dict[str, Any] | None:
    return None if entry is None or entry.removed else entry.fields


def _applied(op: dict[str, Any], now: dict[str, Any] | None, where: str) -> dict[str, Any]:
    if op["op"] == "register":
        fields = {k: op[k] for k in ("host", "dial", "site", "class", "block", "share", "born_ms")}
        return {**fields, "health": op.get("health", "up")}
    if now is None:
        raise Refused(404, [f"{where}.host: {op['host']} is not listed"])
    if op["op"] == "drain":
        return {**now, "health": "draining"}
    if op["op"] == "share":
        return {**now, "share": op["share"]}
    return {**now, "health": "removed"}


def checked(body: Any) -> tuple[list[dict[str, Any]], str]:
    """The ops and id of a change body, or Refused(400) listing every fault with its path."""
    faults: list[str] = []
    if not isinstance(body, dict):
        raise Refused(400, ["the change must be a JSON object"])
    key = body.get("id", "")
    if not isinstance(key, str) or len(key) > 200:
        faults.append("id: a string of at most 200 characters")
    ops = body.get("ops")
    if not isinstance(ops, list) or not 0 < len(ops) <= MOST_OPS:
        raise Refused(400, [*faults, f"ops: a list of 1 to {MOST_OPS} changes"])
    for i, op in enumerate(ops):
        faults.extend(_op_faults(op, f"ops[{i}]"))
    if faults:
        raise Refused(400, faults)
    return ops, key if isinstance(key, str) else ""


def _op_faults(op: Any, where: str) -> list[str]:
    if not isinstance(op, dict) or op.get("op") not in OPS:
        return [f"{where}.op: one of {', '.join(OPS)}"]
    faults = [] if _text(op.get("host")) else [f"{where}.host: a name of 1 to 200 characters"]
    if op["op"] == "share" or op["op"] == "register":
        if not _number(op.get("share"), 0.0, 1_000.0):
            faults.append(f"{where}.share: a number from 0 to 1000")
    if op["op"] != "register":
        return faults
    for name in ("dial", "site", "class"):
        if not _text(op.get(name)):
            faults.append(f"{where}.{name}: a string of 1 to 200 characters")
    if not isinstance(op.get("dial"), str) or not op["dial"].rpartition(":")[2].isdigit():
        faults.append(f"{where}.dial: HOST:PORT")
    for name, top in (("block", 1 << 31), ("born_ms", 1 << 53)):
        value = op.get(name)
        if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value < top:
            faults.append(f"{where}.{name}: a whole number from 0 below {top}")
    if op.get("health", "up") not in HEALTH:
        faults.append(f"{where}.health: up or draining")
    return faults


def _text(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= 200


def _number(value: Any, low: float, high: float) -> bool:
    ok = isinstance(value, int | float) and not isinstance(value, bool)
    return ok and math.isfinite(value) and low <= value <= high
