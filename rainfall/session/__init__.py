"""Sessions handed, alive, to a forwarder of a neighbouring site: see
docs/parts/session.md.
"""
