"""The HTTP statuses by which the lab classifies responses (PROTOCOL)."""

from __future__ import annotations

DELIVERED_STATUS = 200
"""An endpoint's status for an executed call."""
ACCEPTED_STATUSES = (200, 202)
"""A forwarder's statuses for an accepted message."""
REJECTED_STATUSES = (429, 503)
"""Statuses for a message that was rejected without execution."""
