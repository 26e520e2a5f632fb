"""Every frame type between forwarders and every session record type, and session
configurations.
"""

from __future__ import annotations

from rainfall.peer.frames import (
    LENGTH_PREFIX_BYTES,
    AnyFrame,
    CapacityReport,
    Forward,
    Forwarded,
    FrameSplitter,
    Hello,
    SessionMoved,
    encode,
)
from rainfall.session.config import SessionConfig, SessionConfigError, parse_config
from rainfall.session.protocol import (
    Abort,
    Aborted,
    Accept,
    Activated,
    ActivatedRecord,
    AnyRecord,
    Commit,
    CommittedRecord,
    CopyPart,
    CopyStored,
    Decline,
    FinalizedRecord,
    MigrationId,
    Offer,
    ReclaimedRecord,
    RefusedRecord,
    Released,
    ReleasedRecord,
    SealedRecord,
    StoredRecord,
    TailAcceptedRecord,
    TailEnd,
    TailMessage,
    TailMessageResult,
    TransferredMessage,
    UnknownMigration,
    decode_record,
    encode_record,
)
from rainfall.session.states import Limits
from tests.compatibility.references import References

HAND = MigrationId(source="g", epoch=1, lease_number=2, sequence=3)
ITEM = TransferredMessage(
    id="m1",
    class_name="cart",
    destination=7,
    deadline_us=250_000,
    body=b"\x00\xffbody",
    idempotency_key="idem",
    tenant="acme",
    attempts=2,
    max_attempts=9,
    executed_at_us=-5,
    executed_on="s-1",
)
PLAIN = TransferredMessage(id="m2", class_name="pay", destination=8, deadline_us=-1)
FRAMES: list[AnyFrame] = [
    Hello(version=1, name="g", site="a", lease_token=(1, 2)),
    CapacityReport(
        stamp_us=5, sessions=1, bytes=2, load=0.5, draining=False, endpoints=True
    ),
    Forward(
        number=1,
        key="k",
        generation=6,
        forwarded_by=("x", "y"),
        stamp_us=5,
        item=ITEM,
        resent=True,
    ),
    Forwarded(number=1, outcome="taken"),
    Forwarded(number=1, outcome="refused", retry_after_us=500, generation=6),
    SessionMoved(key="k", owner="t", migration_count=3),
    Offer(
        migration_id=HAND,
        key="k",
        site="a",
        reason="over",
        messages=1,
        bytes=2,
        migration_count=3,
    ),
    Accept(migration_id=HAND, stamp_us=9),
    Decline(migration_id=HAND, reason="full"),
    CopyPart(
        migration_id=HAND,
        stamp_us=9,
        part=0,
        parts=2,
        items=(ITEM, PLAIN),
        remembered_ids=("m0",),
    ),
    CopyStored(migration_id=HAND, lease_token=(1, 2)),
    Commit(migration_id=HAND, lease_token=(1, 2)),
    Activated(migration_id=HAND, stamp_us=9),
    Released(migration_id=HAND),
    Abort(migration_id=HAND),
    Aborted(migration_id=HAND),
    UnknownMigration(migration_id=HAND),
    TailMessage(
        migration_id=HAND, stamp_us=9, number=4, valid_until_us=100, item=PLAIN
    ),
    TailMessageResult(migration_id=HAND, number=4, outcome="again", stamp_us=9),
    TailMessageResult(migration_id=HAND, number=4, outcome="taken", stamp_us=9),
    TailMessageResult(migration_id=HAND, number=4, outcome="refused", stamp_us=9),
    TailEnd(migration_id=HAND),
]
RECORDS: list[AnyRecord] = [
    SealedRecord(migration_id=HAND, key="k", target="t"),
    CommittedRecord(migration_id=HAND),
    ReleasedRecord(migration_id=HAND),
    ReclaimedRecord(migration_id=HAND),
    StoredRecord(
        migration_id=HAND,
        key="k",
        migration_count=3,
        items=(ITEM, PLAIN),
        remembered_ids=("m0", "m9"),
    ),
    ActivatedRecord(migration_id=HAND),
    FinalizedRecord(migration_id=HAND),
    RefusedRecord(migration_id=HAND),
    TailAcceptedRecord(migration_id=HAND, number=4, item=ITEM),
]
SITES: dict[str, object] = {
    "a": {"neighbours": {"b": 1.0, "c": 2.5}},
    "b": {"neighbours": {}},
    "c": {"neighbours": {"a": 0}},
}
LIMITS = [
    "offer_us",
    "calls_us",
    "freeze_us",
    "copy_us",
    "commit_us",
    "tail_us",
    "retry_us",
    "ask_us",
    "hold_us",
    "hold_messages",
    "hold_bytes",
    "refuse_us",
    "least_left_us",
    "session_messages",
    "session_bytes",
    "memory",
    "at_once",
    "all_bytes",
    "drift",
]
"""The keys of `limits` in a session configuration."""
NUMBERS = {
    "offer_us": 200_001,
    "calls_us": 300_001,
    "freeze_us": 600_001,
    "copy_us": 1_000_001,
    "commit_us": 600_000_001,
    "tail_us": 30_000_001,
    "retry_us": 100_001,
    "ask_us": 500_001,
    "hold_us": 250_001,
    "hold_messages": 65,
    "hold_bytes": 1_048_577,
    "refuse_us": 500_002,
    "least_left_us": 1_000_002,
    "session_messages": 1_001,
    "session_bytes": 8_388_609,
    "memory": 257,
    "at_once": 9,
    "all_bytes": 33_554_433,
    "drift": 0.03,
}
ALL_SET: dict[str, object] = {
    "sites": SITES,
    "at_once": 7,
    "least_stay_ms": 5_001,
    "pause_ms": 30_001,
    "pair_ms": 10_001,
    "over": 0.8,
    "under": 0.6,
    "limits": NUMBERS,
}
TABLES: list[object] = [
    ALL_SET,
    {"sites": SITES},
    [],
    {"sites": SITES, "over": 0.5, "under": 0.6},
    {"sites": SITES, "limits": dict.fromkeys(LIMITS, 0)},
    {"sites": SITES, "limits": dict.fromkeys(LIMITS, "x") | {"strange": 1}},
    {"sites": SITES, "limits": dict.fromkeys(LIMITS, 10) | {"drift": 0.5}},
    {"sites": SITES, "limits": 5},
    {"sites": {"a": {"neighbours": {"a": 1, "z": -1}}, "b": 5}}
    | dict.fromkeys(
        ["at_once", "least_stay_ms", "pause_ms", "pair_ms", "over", "under"], 0
    )
    | {"strange": 1},
]
"""Session configurations; most are invalid."""


def limits_table(limits: Limits) -> dict[str, object]:
    return {
        "offer": limits.offer_us,
        "calls": limits.calls_us,
        "freeze": limits.freeze_us,
        "copy": limits.copy_us,
        "commit": limits.commit_us,
        "tail": limits.tail_us,
        "retry": limits.retry_us,
        "ask": limits.ask_us,
        "hold": limits.hold_us,
        "hold messages": limits.hold_messages,
        "hold bytes": limits.hold_bytes,
        "refuse": limits.refuse_us,
        "least left": limits.least_left_us,
        "session messages": limits.session_messages,
        "session bytes": limits.session_bytes,
        "memory": limits.memory,
        "at once": limits.at_once,
        "all bytes": limits.all_bytes,
        "drift": limits.drift,
    }


def table_of(table: SessionConfig) -> dict[str, object]:
    return {
        "sites": {site: dict(near) for site, near in table.sites.items()},
        "at once": table.at_once,
        "least stay": table.least_stay_ms,
        "pause": table.pause_ms,
        "pair": table.pair_ms,
        "over": table.over,
        "under": table.under,
        "limits": limits_table(table.limits),
    }


def read_table(raw: object) -> list[object]:
    """Returns the parsed configuration, or the errors reported for it."""
    try:
        return ["read", table_of(parse_config(raw))]
    except SessionConfigError as error:
        return ["faults", *error.errors]


def packed(records: list[AnyRecord]) -> bytes:
    """Encodes records, each preceded by its length as frames are."""
    data = [encode_record(record) for record in records]
    return b"".join(
        len(record_bytes).to_bytes(LENGTH_PREFIX_BYTES, "big") + record_bytes
        for record_bytes in data
    )


def unpacked(data: bytes) -> list[AnyRecord]:
    records: list[AnyRecord] = []
    while data:
        end = LENGTH_PREFIX_BYTES + int.from_bytes(data[:LENGTH_PREFIX_BYTES], "big")
        records.append(decode_record(data[LENGTH_PREFIX_BYTES:end]))
        data = data[end:]
    return records


def sent() -> bytes:
    return b"".join(encode(frame) for frame in FRAMES)


def heard(data: bytes) -> list[AnyFrame]:
    return FrameSplitter().feed(data)


def made() -> References:
    return {
        "peer-frames": sent(),
        "session-records": packed(RECORDS),
        "session-tables": [read_table(raw) for raw in TABLES],
    }
