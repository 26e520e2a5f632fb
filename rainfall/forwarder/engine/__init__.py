"""The engine of one forwarder: intake, dispatch rounds, calls, handover and shutdown.

`engine.Engine` builds the components and is the interface to the rest of the program.
"""
