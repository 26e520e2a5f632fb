"""The HTTP statuses by which the lab judges answers (PROTOCOL)."""

from __future__ import annotations

DELIVERED_STATUS = 200
"""An endpoint's answer to a call that it has executed."""
ACCEPTED_STATUSES = (200, 202)
"""A forwarder's answers to a message that it accepts."""
REJECTED_STATUSES = (429, 503)
"""Answers to a message that was not executed."""
