"""The forwarder process around rainfall.dispatch: sockets, journal and timers.

All decisions about messages are made in rainfall.dispatch.
"""
