"""The fleet lab: fault experiments with many forwarders on loopback.

An open-loop load is sent through the fleet while faults are injected, and a verdict says
what was lost or doubled. See ``python -m rainfall.lab --help`` and ``docs/parts.md``.
"""
