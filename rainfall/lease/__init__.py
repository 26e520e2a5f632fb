"""Named leases with fencing tokens.

`table.py` is the service's lease table, `holder.py` the holder's state of its lease,
and `fencing.py` the token check at the resource that a lease protects.
"""
