"""Tenant quotas: messages beyond a tenant's quota have a lower weight.

Times are integer microseconds.
"""

from __future__ import annotations

from rainfall.dispatch.pacing import take_permit
from rainfall.dispatch.state import DispatcherState
from rainfall.dispatch.times import NEVER, SECOND_US

BURST_US = 2 * SECOND_US
"""Burst allowed to a tenant: the messages that its quota permits in this time."""
MIN_BURST_MESSAGES = 4.0
"""Minimum burst in messages, because a forwarder's part of a quota may be far below one
message per second.
"""


def use_tenant_quota(state: DispatcherState, tenant_name: str | None) -> bool:
    """Count a message against this forwarder's part of its tenant's quota.

    Returns whether the message is over the quota, in which case it is not counted. No
    message is over the quota if there is none, or if `over_quota_weight` is at least 1.
    """
    tenant = state.tenants.get(tenant_name or "")
    if tenant is None or not tenant.quota_per_s:
        return False
    if state.settings.over_quota_weight >= 1:
        return False
    interval = SECOND_US * state.settings.forwarder_count / tenant.quota_per_s
    used_until = state.tenant_quota_used_until.get(tenant.name, -NEVER)
    if used_until > state.now:
        return True
    burst = max(BURST_US, MIN_BURST_MESSAGES * interval)
    state.tenant_quota_used_until[tenant.name] = take_permit(
        state.now, used_until, interval, burst
    )
    return False
