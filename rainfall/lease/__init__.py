"""Leases by name with fencing tokens: the service's table, the holder's view, the guard
of what is held.
"""
