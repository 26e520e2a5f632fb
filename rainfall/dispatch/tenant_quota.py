"""Tenant quotas: what a tenant sends beyond its share of the fleet weighs little.

Times are integer microseconds.
"""

from __future__ import annotations

from rainfall.dispatch.pacing import take_permit
from rainfall.dispatch.state import DispatcherState
from rainfall.dispatch.times import NEVER, SECOND_US

BURST_US = 2 * SECOND_US
"""A tenant may run ahead of its quota by this much time."""
LEAST_BURST_MESSAGES = 4.0
"""And by this many messages: our part of a quota may be far under one a second."""


def use_tenant_quota(state: DispatcherState, tenant_name: str | None) -> bool:
    """Count a message against our part of its tenant's quota, if that has room.

    Returns whether the message is over the quota.
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
    burst = max(BURST_US, LEAST_BURST_MESSAGES * interval)
    state.tenant_quota_used_until[tenant.name] = take_permit(
        state.now, used_until, interval, burst
    )
    return False
