"""What a message costs in the journal: the journal of before (from the repository's
history) and this one, in pairs. A message is taken on, tried, settled and over, as on
an even day: some are tried twice, some returned.

    python -m measure.journal_cost [REPEATS]
"""

from __future__ import annotations

import subprocess
import sys
import tempfile
import time
import types
from pathlib import Path
from typing import Any

from measure.paths import ROOT
from measure.reporting import format_row
from rainfall.dispatch import Idempotency, MessageClass
from rainfall.forwarder import message_store as new_store

OLD_COMMIT = "a2f2844"  # the last commit with the old journal
MESSAGES, MESSAGES_PER_ROUND, NOW_US = 4000, 3, 1_700_000_000_000_000


BODY = b"x" * 200


FORMER_NAMES = {
    "use_rules": "settle",
    "append_message": "take",
    "append_attempt": "attempt",
    "append_outcome": "outcome",
    "append_finished": "over",
    "append_notification": "owe",
    "append_acknowledgement": "told",
}
"""Methods of today's store, and their names at OLD_COMMIT."""


def old_store() -> Any:
    """The store of OLD_COMMIT under today's names."""
    for name in ("lemonshunt", "lemonshunt.interface", "old_store"):
        sys.modules[name] = types.ModuleType(name)
    interface, module = sys.modules["lemonshunt.interface"], sys.modules["old_store"]
    vars(sys.modules["lemonshunt"])["interface"] = interface
    run_old_source("lemonshunt/interface.py", interface)
    run_old_source("lemonshunt/net/store.py", module)
    for name, former in FORMER_NAMES.items():
        setattr(module.Store, name, getattr(module.Store, former))
    module.MessageStore = module.Store
    module.DeliveryRules, module.AcceptedMessage = module.Rules, module.Taken
    return module


def run_old_source(path: str, module: types.ModuleType) -> None:
    """Fill a module with the text of a file at OLD_COMMIT."""
    text = subprocess.run(
        ["git", "show", f"{OLD_COMMIT}:{path}"],
        cwd=ROOT,
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    exec(compile(text, path, "exec"), vars(module))


def classes_of(store_module: Any) -> tuple[Any, ...]:
    """Two classes, as the store's own version has them."""
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


def run_history(store_module: Any) -> tuple[float, float]:
    """Processor time and bytes written for each message."""
    with tempfile.TemporaryDirectory() as folder:
        store = store_module.MessageStore(Path(folder), 3_000_000)
        written = 0
        if hasattr(store, "log"):

            def count() -> int:
                return int(store.log.bytes_written)
        else:
            write = store_module.os.write

            def counted(fd: int, data: Any) -> int:
                nonlocal written
                written += len(data)
                return int(write(fd, data))

            store_module.os = types.SimpleNamespace(
                **{**vars(store_module.os), "write": counted}
            )

            def count() -> int:
                return written

        classes = classes_of(store_module)
        store.use_rules(store_module.DeliveryRules(8, classes))
        began = time.process_time()
        for n in range(0, MESSAGES, MESSAGES_PER_ROUND):
            batch = []
            for number in range(n, n + MESSAGES_PER_ROUND):
                name = f"{number:016x}"
                order = f"{number % 50:016x}" if number % 4 == 0 else None
                message = store_module.AcceptedMessage(
                    name,
                    classes[number % 4 == 0].name,
                    number % 12,
                    NOW_US + number,
                    name * 2,
                    None,
                    BODY,
                    order,
                )
                store.append_message(message)
                store.append_attempt(message, 0, NOW_US + number, "s-5be2a07c")
                batch.append(message)
            store.flush()
            for message in batch:
                if int(message.id, 16) % 5 == 0:
                    store.append_outcome(message, 0, False)
                    store.append_attempt(message, 1, NOW_US, "s-5be2a07c")
                    store.flush()
                if int(message.id, 16) % 17 == 0:
                    store.append_notification(message.id, "returned", 500)
                    store.append_acknowledgement(message.id)
                else:
                    store.append_finished(message.id)
            store.flush()
        took = time.process_time() - began
        total = count()
        store.close()
        return took / MESSAGES * 1e6, total / MESSAGES


def main() -> None:
    repeats = min(50, int(sys.argv[1]) if len(sys.argv) > 1 else 9)
    old = old_store()
    results: dict[str, list[tuple[float, float]]] = {"before": [], "now": []}
    for n in range(repeats):
        for name, store_module in (("before", old), ("now", new_store))[
            :: 1 if n % 2 else -1
        ]:
            results[name].append(run_history(store_module))
    for name, pairs in results.items():
        print(
            format_row(f"{name}: processor time a message, us", [p[0] for p in pairs])
        )
        print(format_row(f"{name}: bytes a message", [p[1] for p in pairs]))
    print(
        format_row(
            "now less before, us, by pairs",
            [
                b[0] - a[0]
                for a, b in zip(results["before"], results["now"], strict=True)
            ],
        )
    )


if __name__ == "__main__":
    main()
