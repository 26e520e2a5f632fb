"""The real forwarder around lemonshunt.choice: sockets, journal and timers. Decides
nothing.
"""
