"""Journals of versions 1 and 2, and the state that recovery reads from them."""

from __future__ import annotations

import contextlib
import io
import json
import logging
import secrets
import struct
import zlib
from collections.abc import Callable, Iterator
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import mock

from rainfall.dispatch import Idempotency, IdempotencyScope, MessageClass
from rainfall.forwarder.message_store import MessageStore
from rainfall.journal import recovery
from rainfall.journal.__main__ import main as journal_tool
from rainfall.journal.format import scan
from rainfall.journal.recovery import RecoveryReport
from rainfall.journal.state import (
    AcceptedMessage,
    DeliveryRules,
    JournalState,
    PendingNotification,
)
from tests.compatibility.references import References
from tests.support.memory_disk import ManualSyncWorker

SECOND = 1_000_000
BASE_US = 1_700_000_000 * SECOND
"""Unix time minus the monotonic clock, in microseconds; all recorded times are earlier."""
START_US = 1_600_000_000 * SECOND
DUE_US = START_US + 50 * SECOND
MOST_BYTES = 3_000_000
SALT = 0x1234ABCD
CLASSES = (
    MessageClass("status", SECOND, 10 * SECOND),
    MessageClass(
        "order",
        2 * SECOND,
        60 * SECOND,
        Idempotency.WITH_KEY,
        IdempotencyScope.ZONE,
        30 * SECOND,
    ),
    MessageClass(
        "turn",
        SECOND,
        9 * SECOND,
        ordered=True,
        priority_weight=2.5,
        late_priority_weight=0.5,
    ),
    MessageClass(
        "pay", SECOND, 8 * SECOND, Idempotency.AT_MOST_ONCE, IdempotencyScope.ENDPOINT
    ),
)
OLD_CLASS = {
    "name": "pay",
    "aim_us": SECOND,
    "deadline_us": 8 * SECOND,
    "effect": "once",
    "scope": "target",
    "window_us": 5,
    "in_order": True,
    "worth": 1.5,
    "late_worth": 0.25,
}
# Every record type of version 1, with and without the fields that were added to it later.
OLD_LINES: list[tuple[list[object], bytes]] = [
    (["rules", 0, 4, [OLD_CLASS, {**OLD_CLASS, "name": "b", "unheard": 1}]], b""),
    (["rules", 1, 5, [OLD_CLASS]], b""),
    (["list", 2, []], b""),
    (["list", 3, [{"host": "h1", "block": 7}, {"host": "h2"}], "127.0.0.1:9"], b""),
    (["taken", "a", "pay", 7, DUE_US, None, None, 0, -1, "", []], b"x\n"),
    (
        [
            "taken",
            "b",
            "pay",
            7,
            DUE_US,
            "idem",
            "acme",
            2,
            START_US,
            "h1",
            [[1, START_US + 5, "h2"]],
            "line",
            0,
        ],
        b"\x00\xff",
    ),
    (["taken", "c", "b", 8, DUE_US, None, None, 0, -1, "", [], None, 0], b""),
    (["taken", "d", "pay", 8, DUE_US, None, None, 0, -1, "", [], None, 1], b""),
    (["taken", "e", "pay", 8, DUE_US, None, None, 0, -1, "", [], "k", 1], b""),
    (["taken", "f", "pay", 8, DUE_US, None, None, 0, -1, "", [], "k", 1], b""),
    (["attempt", "c", 0, START_US + 7, "h1"], b""),
    (["attempt", "d", 0, START_US + 8, "h1"], b""),
    (["outcome", "d", 0, 1], b""),
    (["over", "a"], b""),
    (["owed", "e", "returned", 250], b""),
    (["owed", "f", "failed", 0, "k"], b""),
    (["owed", "g", "failed", 0], b""),
    (["told", "g"], b""),
    (["outage", "h1", START_US, -1], b""),
    (["outage", "h2", START_US, START_US + 9], b""),
    (["outage", "h2", -1, -1], b""),
    (["out", "h1", True], b""),
    (["out", "h2", True], b""),
    (["out", "h2", False], b""),
]


@contextlib.contextmanager
def fixed_machine() -> Iterator[Path]:
    """Yields an empty state folder, with a fixed boot id and fixed random bits."""
    with TemporaryDirectory() as name:
        boot_before, recovery.BOOT_ID_FILE = (
            recovery.BOOT_ID_FILE,
            Path(name) / "boot_id",
        )
        recovery.BOOT_ID_FILE.write_text("boot-1\n")
        folder = Path(name) / "state"
        folder.mkdir()
        try:
            with mock.patch.object(secrets, "randbits", lambda bits: SALT):
                yield folder
        finally:
            recovery.BOOT_ID_FILE = boot_before


def opened(
    folder: Path, write: bool = True, worker: ManualSyncWorker | None = None
) -> MessageStore:
    return MessageStore(folder, MOST_BYTES, write, base_us=BASE_US, worker=worker)


def host(number: int, share: float = 1.5) -> dict[str, object]:
    return {
        "host": f"h{number}",
        "dial": f"127.0.0.1:{number + 1}",
        "site": "x",
        "class": "plain",
        "block": 7,
        "health": "up",
        "share": share,
        "born_ms": 5,
    }


def hosts(count: int) -> dict[str, dict[str, object]]:
    return {f"h{number}": host(number) for number in range(count)}


def taken(
    name: str,
    class_name: str,
    order_key: str | None = None,
    body: bytes = b"body",
    key: str | None = None,
    tenant: str | None = None,
) -> AcceptedMessage:
    return AcceptedMessage(name, class_name, 7, DUE_US, key, tenant, body, order_key)


def fill(store: MessageStore) -> None:
    """Appends every record type that a forwarder writes, in a fixed order."""
    store.use_rules(DeliveryRules(6, CLASSES))
    store.append_endpoint_list(3, hosts(9), START_US, "127.0.0.1:9")
    store.append_endpoint_list(
        4, {**hosts(9), "h2": host(2, 9.0)}, START_US, "127.0.0.1:9"
    )
    store.append_message(
        taken("live", "status", body=b"line\nline \xb7\x00", tenant="acme")
    )
    store.append_message(taken("flying", "order", key="idem-1"))
    store.append_message(taken("tried", "pay"))
    store.append_message(taken("first", "turn", "line"))
    store.append_message(taken("second", "turn", "line"))
    for name in ("over", "returned", "told"):
        store.append_message(taken(name, "status"))
    flying, tried = store.messages["flying"], store.messages["tried"]
    store.append_attempt(flying, 0, START_US, "h1")
    store.append_attempt(tried, 0, START_US + 1, "h2")
    store.append_outcome(flying, 0, True)
    store.append_outcome(tried, 0, False)
    store.append_attempt(flying, 1, START_US + 2, "h3")
    store.append_attempt(store.messages["over"], 0, START_US + 3, "h4")
    store.append_finished("over")
    store.append_notification("first", "failed", 0)
    store.append_notification("returned", "returned", 250)
    store.append_notification("told", "failed", 0)
    store.append_acknowledgement("told")
    store.append_outage("h5", START_US, -1)
    store.append_outage("h6", START_US, START_US + 4)
    store.append_outage("h7", START_US, START_US + 4)
    store.append_outage("h7", -1, -1)
    store.append_detached("h1", True)
    store.append_detached("h2", True)
    store.append_detached("h2", False)
    store.use_rules(DeliveryRules(7, CLASSES[:2]))
    store.append_message(taken("late", "order"))
    store.flush()


def journal_of(folder: Path) -> bytes:
    return (folder / "journal").read_bytes()


def written() -> References:
    """Returns the journal after a run, after a checkpoint, after a close and after a reopening."""
    with fixed_machine() as folder:
        store = opened(folder)
        fill(store)
        references: References = {"journal-2": journal_of(folder)}
        store.compact()
        references["journal-2-checkpoint"] = journal_of(folder)
        store.append_detached("h3", True)
        store.close()
        references["journal-2-closed"] = journal_of(folder)
        store = opened(folder)
        store.append_detached("h4", True)
        store.flush()
        references["journal-2-again"] = journal_of(folder)
    return references


def written_synced() -> References:
    """Returns the journal written at the durability level that survives a power loss."""
    with fixed_machine() as folder:
        worker = ManualSyncWorker()
        store = opened(folder, worker=worker)
        fill(store)
        store.commit(lambda ok: None)
        while worker.work():
            pass
        return {"journal-2-power": journal_of(folder)}


def written_long_list() -> References:
    """Returns a journal with a list of 600 hosts, enough that its record is compressed."""
    with fixed_machine() as folder:
        store = opened(folder)
        store.append_endpoint_list(5, hosts(600), START_US, "127.0.0.1:9")
        store.flush()
        return {"journal-2-long-list": journal_of(folder)}


def old_journal() -> References:
    """Returns a version 1 journal, a format that the program reads but no longer writes."""
    data = b""
    for line, body in OLD_LINES:
        payload = json.dumps(line, separators=(",", ":")).encode() + b"\n" + body
        data += struct.pack("<II", len(payload), zlib.crc32(payload)) + payload
    return {"journal-1": data}


def spoilt(data: bytes) -> bytes:
    """Returns the journal with one attempt record damaged."""
    return data.replace(b'["a","flying",1', b'["a","flying",2', 1)


def rewritten(data: bytes) -> References:
    """Returns the version 2 journal that a start of the program writes from a version 1 one."""
    with fixed_machine() as folder:
        (folder / "journal").write_bytes(data)
        opened(folder)
        return {"journal-1-as-2": journal_of(folder)}


def message_table(message: AcceptedMessage) -> dict[str, object]:
    return {
        "id": message.id,
        "class": message.class_name,
        "destination": message.destination,
        "due": message.deadline_us,
        "key": message.idempotency_key,
        "tenant": message.tenant,
        "body": message.body.decode("latin-1"),
        "order key": message.order_key,
        "attempts": message.attempts,
        "ran at": message.executed_at_us,
        "ran on": message.executed_on,
        "out": [[number, at, host] for number, (at, host) in message.in_flight.items()],
        "rules": message.rules_number,
        "doubt": message.in_doubt,
    }


def class_table(message_class: MessageClass) -> dict[str, object]:
    return {
        "name": message_class.name,
        "aim": message_class.latency_objective_us,
        "deadline": message_class.deadline_us,
        "effect": message_class.idempotency.value,
        "scope": message_class.idempotency_scope.value,
        "window": message_class.idempotency_window_us,
        "in order": message_class.ordered,
        "worth": message_class.priority_weight,
        "late worth": message_class.late_priority_weight,
    }


def owed_table(owed: PendingNotification) -> dict[str, object]:
    return {
        "state": owed.state,
        "after": owed.after_ms,
        "order key": owed.order_key,
    }


def report_table(report: RecoveryReport) -> dict[str, object]:
    return {
        "version": report.version,
        "records": report.records,
        "gaps": [list(gap) for gap in report.gaps],
        "head damaged": report.head_damaged,
        "torn": report.torn,
        "unknown": report.unknown,
        "doubted": report.messages_in_doubt,
        "ended": report.ordered_messages_failed,
        "lost": report.lost,
        "another boot": report.another_boot,
        "shifted": report.shifted_us,
        "generation": report.generation,
        "number": report.number,
        "salt": report.salt,
        "power": report.power,
    }


def state_table(state: JournalState) -> dict[str, object]:
    return {
        "messages": [message_table(message) for message in state.messages.values()],
        "owed": {
            name: owed_table(notification)
            for name, notification in state.pending_notifications.items()
        },
        "outages": {name: list(times) for name, times in state.outages.items()},
        "hosts": state.hosts,
        "detached": list(state.detached),
        "rules": [
            [
                number,
                rules.attempts,
                [class_table(message_class) for message_class in rules.classes],
            ]
            for number, rules in state.rules.items()
        ],
        "current rules": state.current_rules_number,
        "list": [state.seq, state.source],
        "clock": list(state.clock or ()),
        "closed": state.closed_cleanly,
    }


def recovered(data: bytes) -> dict[str, object]:
    """Returns the state and the recovery report that a start of the program reads."""
    with fixed_machine() as folder:
        (folder / "journal").write_bytes(data)
        store = opened(folder, write=False)
        return {"state": state_table(store), "report": report_table(store.report)}


def tool_output(data: bytes) -> list[object]:
    """Runs the journal tool on a folder; returns each call with its exit code and output."""
    results: list[object] = []
    with fixed_machine() as folder:
        (folder / "journal").write_bytes(data)
        for words in (["check"], ["show"], ["show", "--bodies"]):
            printed = io.StringIO()
            with contextlib.redirect_stdout(printed):
                code = journal_tool([*words, str(folder)])
            logging.disable(logging.NOTSET)
            results.append([*words, code, printed.getvalue()])
    return results


def payloads(data: bytes) -> list[str]:
    return [frame.payload.decode("latin-1") for frame in scan(data).frames]


READ: dict[str, Callable[[bytes], dict[str, object]]] = {
    **dict.fromkeys(
        (
            "journal-1",
            "journal-2",
            "journal-2-checkpoint",
            "journal-2-closed",
            "journal-2-again",
            "journal-2-power",
        ),
        recovered,
    ),
    "journal-1:torn": lambda data: recovered(data[:-3]),
    "journal-2:torn": lambda data: recovered(data[:-3]),
    "journal-2:damaged": lambda data: recovered(spoilt(data)),
}
"""Reads by name: a recorded journal, or a damaged copy of one (`journal:damage`)."""
TOOL = ("journal-1", "journal-2", "journal-2-checkpoint")


def made() -> References:
    files = {**old_journal(), **written(), **written_synced(), **written_long_list()}
    old = files["journal-1"]
    assert isinstance(old, bytes)
    files |= rewritten(old)
    read: References = {}
    for name, reading in READ.items():
        data = files[name.partition(":")[0]]
        assert isinstance(data, bytes)
        read[f"{name.replace(':', '-')}-read"] = reading(data)
        if name in TOOL:
            read[f"{name}-shown"] = tool_output(data)
    return files | read
