"""Compares the cost of a message between the former journal and this one, in pairs.

    python -m measure.journal_cost [REPEATS]

Run from the root of the repository. The former journal is loaded from the repository's
history. Each message is accepted, attempted and finished; some are attempted twice, and
some are returned with a notification. Prints processor time and bytes per message.
"""

from __future__ import annotations

import subprocess
import sys
import tempfile
import time
import types
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from measure.paths import ROOT
from measure.reporting import format_row, repeats_argument
from rainfall.dispatch import Idempotency, MessageClass
from rainfall.forwarder import message_store as new_store

OLD_COMMIT = "a2f2844"
"""The last commit with the former journal."""
MESSAGES = 4000
MESSAGES_PER_ROUND = 3
NOW_US = 1_700_000_000_000_000
DISK_LIMIT_BYTES = 3_000_000
BODY = b"x" * 200
ENDPOINT = "s-5be2a07c"
DESTINATIONS = 12
ORDER_KEYS = 50
ORDERED_EVERY = 4
"""One in this many messages belongs to the ordered class."""
REPEATED_EVERY = 5
"""One in this many messages is attempted twice."""
RETURNED_EVERY = 17
"""One in this many messages is returned with a notification."""
ATTEMPTS = 8
DEFAULT_REPEATS = 9
REPEAT_LIMIT = 50
US_PER_S = 1e6

FORMER_NAMES = {
    "use_rules": "settle",
    "append_message": "take",
    "append_attempt": "attempt",
    "append_outcome": "outcome",
    "append_finished": "over",
    "append_notification": "owe",
    "append_acknowledgement": "told",
}
"""Maps methods of the current store to their names at `OLD_COMMIT`."""


class MessageCost(NamedTuple):
    """The average cost of one message."""

    processor_us: float
    written_bytes: float


def old_store() -> Any:
    """Load the former store's module, with aliases under the current names."""
    for name in ("lemonshunt", "lemonshunt.interface", "old_store"):
        sys.modules[name] = types.ModuleType(name)
    interface, module = sys.modules["lemonshunt.interface"], sys.modules["old_store"]
    vars(sys.modules["lemonshunt"])["interface"] = interface
    run_old_source("lemonshunt/interface.py", interface)
    run_old_source("lemonshunt/net/store.py", module)
    for name, former in FORMER_NAMES.items():
        setattr(module.Store, name, getattr(module.Store, former))
    aliases = {
        "MessageStore": module.Store,
        "DeliveryRules": module.Rules,
        "AcceptedMessage": module.Taken,
    }
    vars(module).update(aliases)
    return module


def run_old_source(path: str, module: types.ModuleType) -> None:
    """Execute a file as of `OLD_COMMIT` in a module's namespace."""
    text = subprocess.run(
        ["git", "show", f"{OLD_COMMIT}:{path}"],
        cwd=ROOT,
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    exec(compile(text, path, "exec"), vars(module))


def classes_of(store_module: Any) -> tuple[Any, ...]:
    """One unordered and one ordered message class, of the types that the store expects."""
    old = sys.modules.get("lemonshunt.interface")
    if old is not None and store_module is sys.modules["old_store"]:
        return (
            old.MessageClass("status-notice", 1_000_000, 5_000_000),
            old.MessageClass(
                "fee-payment", 3_000_000, 28_000_000, old.Effect.ONCE, in_order=True
            ),
        )
    return (
        MessageClass("status-notice", 1_000_000, 5_000_000),
        MessageClass(
            "fee-payment", 3_000_000, 28_000_000, Idempotency.AT_MOST_ONCE, ordered=True
        ),
    )


def written_bytes_counter(store_module: Any, store: Any) -> Callable[[], int]:
    """Return a function that reports the number of bytes a store has written."""
    if hasattr(store, "log"):
        return lambda: int(store.log.bytes_written)
    # The former store has no byte counter and writes only through os.write.
    written = 0
    write = store_module.os.write

    def counting_write(fd: int, data: Any) -> int:
        nonlocal written
        written += len(data)
        return int(write(fd, data))

    store_module.os = types.SimpleNamespace(
        **{**vars(store_module.os), "write": counting_write}
    )
    return lambda: written


def journal_messages(store_module: Any) -> MessageCost:
    """Journal the whole life of `MESSAGES` messages, and return the average cost."""
    with tempfile.TemporaryDirectory() as folder:
        store = store_module.MessageStore(Path(folder), DISK_LIMIT_BYTES)
        written_bytes = written_bytes_counter(store_module, store)
        classes = classes_of(store_module)
        store.use_rules(store_module.DeliveryRules(ATTEMPTS, classes))
        began_s = time.process_time()
        for first in range(0, MESSAGES, MESSAGES_PER_ROUND):
            batch = []
            for number in range(first, first + MESSAGES_PER_ROUND):
                message = _message(store_module, classes, number)
                store.append_message(message)
                store.append_attempt(message, 0, NOW_US + number, ENDPOINT)
                batch.append(message)
            store.flush()
            for message in batch:
                _finish(store, message)
            store.flush()
        took_s = time.process_time() - began_s
        total_bytes = written_bytes()
        store.close()
        return MessageCost(took_s / MESSAGES * US_PER_S, total_bytes / MESSAGES)


def _message(store_module: Any, classes: tuple[Any, ...], number: int) -> Any:
    name = f"{number:016x}"
    is_ordered = number % ORDERED_EVERY == 0
    return store_module.AcceptedMessage(
        name,
        classes[is_ordered].name,
        number % DESTINATIONS,
        NOW_US + number,
        name * 2,
        None,
        BODY,
        f"{number % ORDER_KEYS:016x}" if is_ordered else None,
    )


def _finish(store: Any, message: Any) -> None:
    """Append the records that follow a message's first attempt."""
    number = int(message.id, 16)
    if number % REPEATED_EVERY == 0:
        store.append_outcome(message, 0, False)
        store.append_attempt(message, 1, NOW_US, ENDPOINT)
        store.flush()
    if number % RETURNED_EVERY == 0:
        store.append_notification(message.id, "returned", 500)
        store.append_acknowledgement(message.id)
    else:
        store.append_finished(message.id)


def main() -> None:
    """Run the repeats, and print the results."""
    repeats = repeats_argument(DEFAULT_REPEATS, REPEAT_LIMIT)
    stores = {"before": old_store(), "now": new_store}
    costs: dict[str, list[MessageCost]] = {name: [] for name in stores}
    for repeat in range(repeats):
        names = list(stores) if repeat % 2 else list(reversed(stores))
        for name in names:
            costs[name].append(journal_messages(stores[name]))
    for name, runs in costs.items():
        print(
            format_row(
                f"{name}: processor time per message, us",
                [run.processor_us for run in runs],
            )
        )
        print(
            format_row(
                f"{name}: bytes per message", [run.written_bytes for run in runs]
            )
        )
    differences_us = [
        now.processor_us - before.processor_us
        for before, now in zip(costs["before"], costs["now"], strict=True)
    ]
    print(format_row("now minus before, us, within pairs", differences_us))


if __name__ == "__main__":
    main()
