"""Fleet membership.

Only the list service decides who is a member, by the leases that members renew.
"""
