"""The decisions as they were before held messages were kept in order: what
tests/dispatch/test_reference_replay.py compares with.

A copy of the decisions as of f6f3573, in the names of that time, with only the imports
rewritten. Here every event visits and sorts the whole pile of its destination, so what
is given up and what goes next can be read off. A rule that changes in rainfall/dispatch
on purpose is changed here by the same commit.
"""

from tests.reference.dispatcher import Dispatcher

__all__ = ["Dispatcher"]
