"""What a message costs in the journal: the journal of before (from the repository's
history) and this one, in pairs. A message is taken on, tried, settled and over, as on
an even day: some are tried twice, some returned.

    python measure/journal_cost.py [REPEATS]
"""

from __future__ import annotations

import subprocess
import sys
import tempfile
import time
import types
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from measure.figures import row  # noqa: E402
from rainfall.dispatch import Idempotency, MessageClass  # noqa: E402
from rainfall.net import store as new_store  # noqa: E402

BEFORE = "a2f2844"  # the last commit with the old journal
MESSAGES, EACH_ROUND, NOW = 4000, 3, 1_700_000_000_000_000


BODY = b"x" * 200


def old_store() -> Any:
    text = subprocess.run(
        ["git", "show", f"{BEFORE}:lemonshunt/net/store.py"],
        cwd=ROOT,
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    module = types.ModuleType("old_store")
    sys.modules["old_store"] = module
    exec(compile(text, "old_store.py", "exec"), module.__dict__)
    return module


def history(made: Any) -> tuple[float, float]:
    """Processor time and bytes written for each message."""
    with tempfile.TemporaryDirectory() as folder:
        store = made.Store(Path(folder), 3_000_000)
        written = 0
        if hasattr(store, "log"):

            def count() -> int:
                return int(store.log.bytes)
        else:
            write = made.os.write

            def counted(fd: int, data: Any) -> int:
                nonlocal written
                written += len(data)
                return int(write(fd, data))

            made.os = types.SimpleNamespace(**{**vars(made.os), "write": counted})

            def count() -> int:
                return written

        classes = (
            MessageClass("status-notice", 1_000_000, 5_000_000),
            MessageClass(
                "fee-payment", 3_000_000, 28_000_000, Idempotency.NEVER, ordered=True
            ),
        )
        store.settle(made.Rules(8, classes))
        began = time.process_time()
        for n in range(0, MESSAGES, EACH_ROUND):
            batch = []
            for k in range(n, n + EACH_ROUND):
                name = f"{k:016x}"
                order = f"{k % 50:016x}" if k % 4 == 0 else None
                m = made.Taken(
                    name,
                    classes[k % 4 == 0].name,
                    k % 12,
                    NOW + k,
                    name * 2,
                    None,
                    BODY,
                    order,
                )
                store.take(m)
                store.attempt(m, 0, NOW + k, "s-5be2a07c")
                batch.append(m)
            store.flush()
            for m in batch:
                if int(m.id, 16) % 5 == 0:
                    store.outcome(m, 0, False)
                    store.attempt(m, 1, NOW, "s-5be2a07c")
                    store.flush()
                if int(m.id, 16) % 17 == 0:
                    store.owe(m.id, "returned", 500)
                    store.told(m.id)
                else:
                    store.over(m.id)
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
        for name, made in (("before", old), ("now", new_store))[:: 1 if n % 2 else -1]:
            results[name].append(history(made))
    for name, pairs in results.items():
        print(row(f"{name}: processor time a message, us", [p[0] for p in pairs]))
        print(row(f"{name}: bytes a message", [p[1] for p in pairs]))
    print(
        row(
            "now less before, us, by pairs",
            [
                b[0] - a[0]
                for a, b in zip(results["before"], results["now"], strict=True)
            ],
        )
    )


if __name__ == "__main__":
    main()
