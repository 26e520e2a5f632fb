"""Who is in the fleet: decided by the list service alone, from the leases its members
renew.
"""
