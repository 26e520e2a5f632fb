"""Reference implementation of the dispatcher, from before queued messages were kept sorted;
tests/dispatch/test_reference_replay.py compares rainfall/dispatch with it.

It is a copy of the decision modules as of f6f3573 with the names of that time; only the
imports were rewritten. Every event scans and sorts the whole queue (pile) of its destination,
so the code states directly which message is dropped and which is sent next. A commit that
intentionally changes a rule in rainfall/dispatch changes it here as well.
"""

from tests.reference.dispatcher import Dispatcher

__all__ = ["Dispatcher"]
