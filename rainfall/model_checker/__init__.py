"""Exhaustive search of small models of the fleet's protocols.

The models run the same state machines as the processes.
"""
