"""The real forwarder around rainfall.dispatch: sockets, journal and timers.

Decides nothing.
"""
