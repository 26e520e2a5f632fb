"""Leases by name with fencing tokens.

The service's table (`table.py`), the holder's view of its lease (`holder.py`) and the
guard of the resource that a lease protects (`fencing.py`).
"""
