"""The fleet lab: fault experiments with many forwarders on loopback.

An open-loop load is sent through the fleet while faults are injected. The verdict then
reports lost and duplicated messages and other breaches. See
``python -m rainfall.lab --help`` and ``docs/parts.md``.
"""
