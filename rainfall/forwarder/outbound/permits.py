"""What a call's permit is answered with, beside a delay in microseconds.

A permit is asked for right before a call's first byte. Who answers it, a fleet's
quotas, and who asks for it, the connection pool, both take the values from here.
"""

from __future__ import annotations

PERMIT_GRANTED = 0
"""The call may be sent now."""
PERMIT_TIME_UNKNOWN = -1
"""No time is known at which to ask again: the call is given back unsent."""
