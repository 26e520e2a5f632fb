"""Special results of a request for a call's permit.

The connection pool requests a permit right before a call's first byte, and the fleet's
quotas grant it. Any other result is the delay in microseconds after which to request
the permit again.
"""

from __future__ import annotations

PERMIT_GRANTED = 0
"""The call may be sent now."""
PERMIT_TIME_UNKNOWN = -1
"""It is unknown when a permit will be available: the call ends as not sent."""
