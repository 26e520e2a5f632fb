"""A short soak with fixed seeds; the long one is started by hand (measure/soak.py)."""

from __future__ import annotations

import asyncio

import pytest

from measure.soak import run_seed

SECONDS = 12.0


@pytest.mark.parametrize("seed", [101, 102, 103, 104, 106, 108])
def test_forwarder_keeps_the_rules_under_series_of_signals(seed: int) -> None:
    """Those with an even seed have a crowd beside them."""
    soak = asyncio.run(run_seed(seed, SECONDS))
    assert not soak.broken, soak.summary()
    assert any(submission.status == 202 for submission in soak.submissions)
