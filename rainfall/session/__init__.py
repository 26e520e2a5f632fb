"""Live migration of sessions to a forwarder of a neighbouring site.

See docs/parts/session.md.
"""
