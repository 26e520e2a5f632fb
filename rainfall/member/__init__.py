"""Who is in the fleet.

The list service alone decides this, by the leases that members renew.
"""
