"""The real forwarder around rainfall.choice: sockets, journal and timers. Decides
nothing.
"""
